#include "Libraries/zinnialedge/configuration/object_cache.h"

namespace zinnialedge::configuration {

static std::size_t sizeOf(stored_object const& object)
{
    return object.key.size() + (object.body ? object.body->size() : 0);
}

bool object_cache::offer(stored_object object)
{
    auto& stored = m_objects[object.key];
    if (object.version <= stored.version)
        return false;
    m_bytes += sizeOf(object);
    m_bytes -= stored.version > 0 ? sizeOf(stored) : 0;
    stored = std::move(object);
    return true;
}

stored_object const* object_cache::find(std::string const& key) const
{
    auto const found = m_objects.find(key);
    return found == m_objects.end() ? nullptr : &found->second;
}

void object_cache::forEachWithPrefix(std::string const& prefix, std::function<void(stored_object const&)> const& visit) const
{
    for (auto each = m_objects.lower_bound(prefix); each != m_objects.end() && each->first.starts_with(prefix); ++each)
        visit(each->second);
}

}
