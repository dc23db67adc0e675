#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/fleet/store_budget.h"
#include "Libraries/zinnialedge/fleet/store_protocol.h"
#include "Libraries/zinnialedge/wire/http_client.h"
#include <boost/asio/steady_timer.hpp>
#include <boost/json/value.hpp>

namespace zinnialedge::services::fleet {

/// Writes this daemon's registration at startup and removes the registration at a planned stop. Also removes stale registrations
/// of dead daemons. Each write is conditional, so that a write whose reply was lost can be repeated. A write of an earlier era of
/// the store counts as lost.
class registration_link {
public:
    /// `eraSeen` is called with the era of each reply that tells one.
    registration_link(boost::asio::io_context&, model::endpoint store, zinnialedge::fleet::store_protocol const&, zinnialedge::fleet::store_budget&, std::function<void(std::uint64_t)> eraSeen);

    void registerDaemon(std::string name, boost::json::value content);
    void unregisterDaemon();
    /// Writes the registration again after another daemon removed the object because it took this live daemon for dead.
    /// `asOf` is the store position at which the object was missing.
    void registerAgain(zinnialedge::fleet::store_position asOf);
    /// Repeats the last write after a random delay because the store has begun a later era, possibly from a copy that is older
    /// than that write.
    void enterEra(std::uint64_t era);
    /// Removes another daemon's registration, unless the object has changed since the given revision.
    void removeStaleRegistration(std::string const& name, std::uint64_t revision);
    std::uint64_t callCount() const { return m_callCount; }
    std::uint64_t repeatedWriteCount() const { return m_repeatedWriteCount; }

private:
    void writeRegistration();
    void handleWriteResult(wire::http_result const&);
    /// Returns the era of a reply. Without a told era, a reply belongs to the current era.
    std::uint64_t eraOf(wire::http_response const&) const;
    void removeRegistration();
    void scheduleRetry();
    void scheduleWrite(kernel::time_point);

    boost::asio::io_context& m_context;
    model::endpoint m_store;
    zinnialedge::fleet::store_protocol const& m_protocol;
    zinnialedge::fleet::store_budget& m_budget;
    std::function<void(std::uint64_t)> m_eraSeen;
    std::unique_ptr<wire::http_client> m_writeClient;
    std::unique_ptr<wire::http_client> m_removalClient;
    boost::asio::steady_timer m_timer;
    kernel::random_hook m_random;
    std::string m_objectName;
    boost::json::value m_objectContent;
    std::optional<std::uint64_t> m_replacedRevision;
    /// Position of the object in the store after this daemon wrote the registration.
    std::optional<zinnialedge::fleet::store_position> m_writtenAt;
    std::chrono::milliseconds m_retryDelay;
    std::uint64_t m_era { 0 };
    /// Number of the current write; replies to earlier writes are ignored.
    std::uint64_t m_writeNumber { 0 };
    std::uint64_t m_callCount { 0 };
    std::uint64_t m_repeatedWriteCount { 0 };
    bool m_isWritten { false };
    bool m_isUnregistered { false };
};

}
