#include "Tests/Support/mortal_leafs.h"

#include "Kernel/verify.h"
#include <algorithm>

namespace zinnialedge::tests {

mortal_fleet::mortal_fleet(mortal_fleet_shape shape)
    : edge_fleet(shape.daemons)
{
    for (std::size_t number = 0; number < shape.deskLeafs; ++number)
        addLeaf("desk", number);
    for (std::size_t shard = 0; shard < shape.shards; ++shard) {
        addLeaf("shard" + std::to_string(shard), 0);
        addLeaf("shard" + std::to_string(shard), 1);
    }
    declare(1, shape.shards, shape.isSingleRepeatable);
    for (std::size_t index = 0; index < shape.daemons; ++index)
        start(index);
    VERIFY(waitUntilReady());
}

void mortal_fleet::addLeaf(std::string const& service, std::size_t number)
{
    auto const id = service + "." + std::to_string(number);
    m_leafs.push_back(std::unique_ptr<mortal_leaf> { new mortal_leaf { service, 0, id, scripted_leaf { [this](std::string const& request) { return answer(request); } } } });
    registerLeaf(id, service, m_leafs.back()->leaf.place());
}

scripted_reply mortal_fleet::answer(std::string const& request)
{
    scripted_reply reply { sealedReply(request, std::string(32, 'b')) };
    reply.runTime = runTime;
    if (request.find(mark) == std::string::npos)
        return reply;
    reply.downTime = downTime;
    std::scoped_lock const lock { m_mutex };
    m_markedArrivals.push_back(std::chrono::steady_clock::now());
    return reply;
}

void mortal_fleet::renewEndedLeafs()
{
    for (auto& each : m_leafs) {
        if (each->leaf.endCount() == each->registeredEndCount)
            continue;
        removeLeaf(each->id);
        each->registeredEndCount = each->leaf.endCount();
        each->id += "+";
        registerLeaf(each->id, each->service, each->leaf.place());
    }
}

std::size_t mortal_fleet::endCount() const
{
    std::size_t count = 0;
    for (auto const& each : m_leafs)
        count += each->leaf.endCount();
    return count;
}

std::size_t mortal_fleet::countedMarkedRequests() const
{
    std::scoped_lock const lock { m_mutex };
    return static_cast<std::size_t>(std::count_if(m_markedArrivals.begin(), m_markedArrivals.end(), [this](auto at) { return at >= m_countedFrom; }));
}

}
