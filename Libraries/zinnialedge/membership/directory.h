#pragma once

#include "Libraries/zinnialedge/membership/daemon_record.h"
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace zinnialedge::membership {

/// Time for which a caller may cache a directory answer.
inline constexpr std::chrono::milliseconds directoryValidity { 2000 };

/// Daemons that callers may use for a service.
struct directory_answer {
    std::string service;
    std::vector<daemon_record> daemons;
    std::string ticketPrefix;
    std::chrono::milliseconds validFor { directoryValidity };
};

/// Daemons that are known to serve, with their registrations.
class directory {
public:
    /// Inserts or updates a daemon. Callers are directed to the daemon only while `isUsable` is true.
    void insertOrUpdate(daemon_record, bool isUsable);
    void remove(std::string const& name);
    daemon_record const* find(std::string const& name) const;
    std::size_t size() const { return m_recordsByName.size(); }

    /// Returns the usable daemons: first those in the caller's data centre, then those in the caller's region, then the rest.
    /// Daemons at an equal distance are ordered by a hash of the service and the daemon's name.
    std::vector<daemon_record> findUsableDaemons(std::string const& service, std::string const& dataCentre) const;

private:
    std::map<std::string, daemon_record> m_recordsByName;
    std::set<std::string> m_usableNames;
};

}
