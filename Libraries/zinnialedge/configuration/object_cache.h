#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace zinnialedge::configuration {

/// One object of the platform's store at one version.
struct stored_object {
    std::string key;
    std::uint64_t version { 0 };
    /// Nothing when the object was deleted at that version.
    std::optional<std::string> body;

    auto operator<=>(stored_object const&) const = default;
};

/// The newest version of each object that this daemon has ever seen. It never goes back.
class object_cache {
public:
    /// True when the object is newer than what was known.
    bool offer(stored_object);
    stored_object const* find(std::string const& key) const;
    void forEach(std::string const& prefix, std::function<void(stored_object const&)> const&) const;
    std::size_t size() const { return m_objects.size(); }
    std::size_t bytes() const { return m_bytes; }

private:
    std::map<std::string, stored_object> m_objects;
    std::size_t m_bytes { 0 };
};

inline constexpr char const* servicePrefix = "services/";
inline constexpr char const* daemonPrefix = "daemons/";

}
