#include "Services/fleet/evacuation_link.h"

#include "Kernel/event_log.h"
#include "Libraries/zinnialedge/fleet/evacuations.h"

namespace zinnialedge::services::fleet {

using kernel::log_level;
using kernel::logEvent;
/// As for the other kinds: each new watch consumes store budget.
static constexpr std::chrono::milliseconds watchHoldTime { 20'000 };
/// Time for which a daemon that starts waits for the evacuations after it knows the leafs. The store lists them within milliseconds; when
/// it is away and no other daemon knows them, callers must not wait for it.
static constexpr std::chrono::milliseconds firstReadLimit { 2000 };

evacuation_link::evacuation_link(boost::asio::io_context& context, model::endpoint const& store, bool isEnabled, zinnialedge::fleet::store_protocol const& protocol, zinnialedge::fleet::store_budget& budget, store_link_hooks hooks)
    : m_changed(hooks.changed)
{
    if (!isEnabled)
        return;
    m_link = std::make_unique<store_link>(context, store, zinnialedge::fleet::object_kind::evacuations, protocol, budget, zinnialedge::fleet::evacuationMirrorSettings(), watchHoldTime, std::move(hooks));
}

bool evacuation_link::isKnown() const
{
    return m_link && (m_link->mirror().hasCompletedListing() || m_link->mirror().position() != zinnialedge::fleet::store_position {});
}

bool evacuation_link::mayCallLeafs(kernel::time_point now)
{
    if (!m_link || isKnown())
        return true;
    m_waitEndsAt = m_waitEndsAt.value_or(now + firstReadLimit);
    return now >= *m_waitEndsAt;
}

std::set<std::string> evacuation_link::dataCentres() const
{
    std::set<std::string> names;
    if (!m_link)
        return names;
    for (auto const& [name, object] : m_link->mirror().objects())
        names.insert(name);
    return names;
}

std::optional<object_snapshot> evacuation_link::snapshot() const
{
    if (!isKnown())
        return std::nullopt;
    return object_snapshot { m_link->mirror().position(), m_link->mirror().objects() };
}

void evacuation_link::adopt(std::optional<object_snapshot> const& told, model::endpoint const& origin)
{
    if (!m_link || !told)
        return;
    std::vector<zinnialedge::fleet::store_object> objects;
    objects.reserve(told->objects.size());
    for (auto const& [name, object] : told->objects)
        objects.push_back(object);
    bool const wasKnown = isKnown();
    if (!m_link->adopt(objects, told->position) && wasKnown == isKnown())
        return;
    reportAdoption(*told, origin);
}

bool evacuation_link::replicate(object_snapshot const& told, bool isSettled, model::endpoint const& origin)
{
    if (!m_link)
        return true;
    if (m_link->mirror().isConnected()) {
        adopt(told, origin);
        return true;
    }
    bool const wasKnown = isKnown();
    auto const generation = m_link->mirror().generation();
    if (!m_link->replicate(told.objects, {}, true, told.position, isSettled))
        return false;
    if (generation != m_link->mirror().generation() || wasKnown != isKnown())
        reportAdoption(told, origin);
    return true;
}

void evacuation_link::reportAdoption(object_snapshot const& told, model::endpoint const& origin)
{
    logEvent(log_level::info, "evacuations_from_peer", { { "peer", toString(origin) }, { "evacuations", m_link->mirror().objects().size() }, { "era", told.position.era }, { "as_of", told.position.revision } });
    m_changed();
}

}
