#include "Tests/Soak/soak_leaf.h"

#include "Tests/Soak/soak_flags.h"

namespace zinnialedge::tests::soak {

soak_leaf::soak_leaf(boost::asio::io_context& context, std::string leafId, std::string leafService, std::string leafDataCentre, soak_watches& watches, std::uint64_t seed)
    : name(std::move(leafId))
    , service(std::move(leafService))
    , dataCentre(std::move(leafDataCentre))
    , random(kernel::makeSeededRandom(seed))
    , leaf([this, &watches](std::string const& request, std::string const& source) { return answer(request, source, watches); })
    , proxy(context, leaf.place())
{
}

scripted_reply soak_leaf::answer(std::string const& request, std::string const& source, soak_watches& watches)
{
    auto const limit = limits.recordArrival();
    auto const attempt = rawHeaderValue(request, "Zinnialedge-Attempt-Id");
    watches.tenants.checkArrival(request, attempt);
    if (rawHeaderValue(request, "Zinnialedge-Target-Instance") != id())
        return { "HTTP/1.1 421 Misdirected Request\r\nZinnialedge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", false, false };
    auto const daemon = watches.daemonsByAddress.find(source);
    watches.evacuations.checkArrival(dataCentre, daemon == watches.daemonsByAddress.end() ? std::nullopt : std::optional { daemon->second }, id(), request.substr(0, request.find("\r\n")));
    if (request.starts_with("GET /health "))
        return { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false, false };
    bool const shouldInjectFault = random() % 1000 < faultsPerThousand;
    auto const fault = shouldInjectFault ? random() % 4 : 99;
    if (fault == 0)
        return { "HTTP/1.1 503 Service Unavailable\r\nZinnialedge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", false, false };
    if (pauseLength.load().count() > 0 && random() % 2 == 0)
        return { "HTTP/1.1 503 Service Unavailable\r\nZinnialedge-Not-Executed: 1\r\nRetry-After: " + std::to_string(std::chrono::duration<double> { pauseLength.load() }.count()) + "\r\nContent-Length: 0\r\n\r\n", false, false };
    watches.checker.recordExecution(attempt);
    watches.quotas.recordExecution(rawHeaderValue(request, "Zinnialedge-Tenant"), attempt);
    for (auto const& each : watches.marked) {
        if (request.find(" " + each->target()) == std::string::npos)
            continue;
        if (hasHealthyLink)
            each->recordEnd();
        scripted_reply ending;
        ending.runTime = std::chrono::milliseconds { 5 };
        ending.downTime = leafDownTime;
        return ending;
    }
    auto const body = service == "desk" ? makeBody(attempt) : makeRecords(service);
    auto bytes = "HTTP/1.1 200 OK\r\nZinnialedge-Server-Seal: " + makeSeal(service, attempt) + "\r\nZinnialedge-Attempt-Id: " + attempt + "\r\nContent-Length: " + std::to_string(body.size()) + (isLeaving ? "\r\nServer-Leaving: 1" : "") + (limit > 0 ? "\r\nServer-Limit: " + std::to_string(limit) : "") + "\r\n\r\n" + body;
    scripted_reply reply { fault == 3 ? bytes + bytes : bytes, false, false };
    // One in four requests takes most of the time that its caller waits.
    if (FLAGS_planned_stops && service == "desk" && random() % 4 == 0)
        reply.runTime = std::chrono::milliseconds { random() % 800 };
    if (fault == 1)
        return { {}, false, true };
    if (fault == 2)
        return { bytes.substr(0, bytes.size() - 3), true, false };
    return reply;
}

}
