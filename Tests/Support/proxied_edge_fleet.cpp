#include "Tests/Support/proxied_edge_fleet.h"

namespace zinnialedge::tests {

static constexpr std::size_t shardCount = 4;
static constexpr std::size_t deskCount = 2;

proxied_edge_fleet::proxied_edge_fleet(std::vector<std::string> const& dataCentres, bool isSingleRepeatable, reply_hook reply)
    : edge_fleet(dataCentres.size())
{
    auto const addLeaf = [&](std::string const& id, std::string const& service) {
        auto leaf = std::make_unique<scripted_leaf>(reply);
        auto proxy = std::make_unique<loopback_proxy>(m_context, leaf->place());
        registerLeaf(id, service, proxy->listenEndpoint());
        m_leafs.push_back({ service, std::move(leaf), std::move(proxy) });
    };
    for (std::size_t shard = 0; shard < shardCount; ++shard)
        addLeaf("leaf" + std::to_string(shard), "shard" + std::to_string(shard));
    for (std::size_t desk = 0; desk < deskCount; ++desk)
        addLeaf("desk" + std::to_string(desk), "desk");
    declare(1, shardCount, isSingleRepeatable);
    m_proxyThread = std::thread { [this] { m_context.run(); } };
    for (std::size_t index = 0; index < dataCentres.size(); ++index) {
        setDataCentre(index, dataCentres[index]);
        start(index);
    }
    VERIFY(waitUntilReady());
}

proxied_edge_fleet::~proxied_edge_fleet()
{
    m_context.stop();
    m_proxyThread.join();
}

void proxied_edge_fleet::setLinks(std::size_t index, link_state state)
{
    for (auto const& each : m_leafs)
        each.proxy->setStateFrom(daemon(index).callers.address, state);
}

void proxied_edge_fleet::restoreLinks(std::size_t index)
{
    for (auto const& each : m_leafs)
        each.proxy->clearStateFrom(daemon(index).callers.address);
}

std::vector<std::string> proxied_edge_fleet::requestsOf(std::string const& service) const
{
    std::vector<std::string> requests;
    for (auto const& each : m_leafs) {
        for (auto const& request : each.leaf->requests()) {
            if (each.service == service && !rawHeaderValue(request, "Zinnialedge-Attempt-Id").empty())
                requests.push_back(request);
        }
    }
    return requests;
}

}
