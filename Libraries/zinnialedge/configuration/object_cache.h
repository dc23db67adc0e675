#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace zinnialedge::configuration {

/// Object of the platform's store at a given version.
struct stored_object {
    std::string key;
    std::uint64_t version { 0 };
    /// Content of the object, or nothing when the object was deleted at this version.
    std::optional<std::string> body;

    auto operator<=>(stored_object const&) const = default;
};

/// Cache of the newest version of each object that this daemon has received. A version is never replaced by an older version.
class object_cache {
public:
    /// Stores the object if its version is newer than the stored version. Returns whether the object was stored.
    bool offer(stored_object);
    stored_object const* find(std::string const& key) const;
    /// Calls the function for each object whose key begins with `prefix`, in key order.
    void forEachWithPrefix(std::string const& prefix, std::function<void(stored_object const&)> const&) const;
    std::size_t size() const { return m_objects.size(); }
    /// Returns the total size of all keys and bodies in bytes.
    std::size_t bytes() const { return m_bytes; }

private:
    std::map<std::string, stored_object> m_objects;
    std::size_t m_bytes { 0 };
};

inline constexpr char const* servicePrefix = "services/";
inline constexpr char const* daemonPrefix = "daemons/";

}
