#pragma once

#include "Libraries/zinnialedge/membership/daemon_record.h"
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace zinnialedge::membership {

/// How long a caller may keep an answer of the directory.
inline constexpr std::chrono::milliseconds directoryValidity { 2000 };

/// The daemons that callers may use for a service.
struct directory_answer {
    std::string service;
    std::vector<daemon_record> daemons;
    std::string ticketPrefix;
    std::chrono::milliseconds validFor { directoryValidity };
};

/// The daemons that are known to serve.
class directory {
public:
    /// Callers are sent to it only while it is usable.
    void note(daemon_record, bool isUsable);
    void remove(std::string const& name);
    daemon_record const* find(std::string const& name) const;
    std::size_t size() const { return m_daemons.size(); }

    /// Those of the caller's data centre first, then those of its region; unusable ones are left out.
    std::vector<daemon_record> daemonsFor(std::string const& service, std::string const& dataCentre) const;

private:
    std::map<std::string, daemon_record> m_daemons;
    std::set<std::string> m_usable;
};

}
