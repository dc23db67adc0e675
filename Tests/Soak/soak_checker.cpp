#include "Tests/Soak/soak_checker.h"

#include "Libraries/zinnialedge/forwarding/record_merge.h"
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

namespace zinnialedge::tests::soak {

static constexpr std::size_t recordLimit = 5;
static constexpr double minimumCoverage = 0.75;

std::string makeRecords(std::string const& service)
{
    std::string records;
    for (char letter = 'a'; letter < 'e'; ++letter)
        records += (letter + service + std::string(forwarding::recordBytes, '.')).substr(0, forwarding::recordBytes);
    return records;
}

std::string makeBody(std::string const& attemptId)
{
    return "the answer to " + attemptId;
}

std::string makeSeal(std::string const& service, std::string const& attemptId)
{
    return service + "/" + attemptId;
}

void soak_checker::addFinding(std::string const& attemptId, std::string description)
{
    m_findings.push_back("id=" + attemptId + " " + std::move(description));
}

void soak_checker::recordDeclaredShardCount(std::size_t shards)
{
    std::lock_guard const lock(m_mutex);
    m_declaredShardCounts.insert(shards);
}

void soak_checker::recordExecution(std::string const& attemptId)
{
    std::lock_guard const lock(m_mutex);
    ++m_executionCounts[attemptId];
}

void soak_checker::checkEnd(std::string const& attemptId, caller_answer const& answer, std::chrono::steady_clock::duration elapsed)
{
    std::lock_guard const lock(m_mutex);
    // A connection that ends sooner may have been closed before the daemon read the request.
    static constexpr std::chrono::milliseconds crossingTime { 200 };
    if (answer.isTruncated && (m_executionCounts.contains(attemptId) || elapsed > crossingTime))
        addFinding(attemptId, "LOST: cut after " + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count()) + " ms, " + (m_executionCounts.contains(attemptId) ? "executed" : "not executed"));
}

void soak_checker::checkSingle(std::string const& attemptId, caller_answer const& answer)
{
    std::lock_guard const lock(m_mutex);
    ++m_requestCount;
    if (answer.isTruncated && answer.status >= 200 && answer.status < 300)
        return;
    if (answer.status == 200) {
        ++m_servedCount;
        if (answer.body != makeBody(attemptId) || answer.header("Zinnialedge-Server-Seal").empty())
            addFinding(attemptId, "MIXED: wrong body or missing seal: " + answer.body.substr(0, 60));
        if (m_executionCounts[attemptId] == 0)
            addFinding(attemptId, "MIXED: success of a request that no leaf executed");
    }
    recordPromise(attemptId, answer);
}

void soak_checker::recordPromise(std::string const& attemptId, caller_answer const& answer)
{
    static std::set<int> const notExecutedStatuses { 401, 408, 421, 429, 503 };
    if (notExecutedStatuses.contains(answer.status))
        m_promisedNotExecuted.insert(attemptId);
}

void soak_checker::checkUncounted(std::string const& attemptId, caller_answer const& answer)
{
    std::lock_guard const lock(m_mutex);
    recordPromise(attemptId, answer);
}

void soak_checker::checkMarked(std::string const& attemptId, caller_answer const& answer)
{
    std::lock_guard const lock(m_mutex);
    if (answer.status >= 200 && answer.status < 300 && !answer.isTruncated)
        addFinding(attemptId, "MIXED: success of a request that no leaf answered");
    if (answer.status == 502 && !answer.header("Retry-After").empty())
        addFinding(attemptId, "a request that may have run was offered another try");
    recordPromise(attemptId, answer);
}

void soak_checker::checkGather(std::string const& attemptId, caller_answer const& answer)
{
    std::lock_guard const lock(m_mutex);
    ++m_requestCount;
    if (answer.status != 200 || answer.isTruncated)
        return;
    ++m_servedCount;
    std::vector<std::string> seals;
    auto const list = answer.header("Zinnialedge-Part-Stamps");
    boost::algorithm::split(seals, list, [](char letter) { return letter == ','; });
    std::set<std::string> services;
    std::vector<std::string> bodies;
    for (auto& seal : seals) {
        boost::algorithm::trim(seal);
        auto const slash = seal.find('/');
        auto const service = seal.substr(0, slash);
        if (slash == std::string::npos || seal.substr(slash + 1) != attemptId)
            addFinding(attemptId, "MIXED: seal of another request: " + seal);
        if (!services.insert(service).second)
            addFinding(attemptId, "MIXED: duplicate part of " + service);
        bodies.push_back(makeRecords(service));
    }
    auto const total = services.size() + std::stoul("0" + answer.header("Zinnialedge-Missing-Parts"));
    if (!m_declaredShardCounts.contains(total))
        addFinding(attemptId, "MIXED: no declared version has " + std::to_string(total) + " shards");
    if (static_cast<double>(services.size()) < minimumCoverage * static_cast<double>(total))
        addFinding(attemptId, "MIXED: fewer parts than the minimum coverage");
    std::vector<std::string const*> parts;
    parts.reserve(bodies.size());
    for (auto const& body : bodies)
        parts.push_back(&body);
    if (answer.body != forwarding::mergeGreatestRecords(parts, recordLimit))
        addFinding(attemptId, "MIXED: body differs from the greatest records of the sealed parts");
}

void soak_checker::checkFinalState()
{
    std::lock_guard const lock(m_mutex);
    for (auto const& [id, executionCount] : m_executionCounts) {
        bool const isNonIdempotent = id.starts_with("once");
        if (isNonIdempotent && executionCount > 1)
            addFinding(id, "TWICE: executed " + std::to_string(executionCount) + " times");
        if (isNonIdempotent && m_promisedNotExecuted.contains(id))
            addFinding(id, "REFUSED: executed, although the answer promised that it was not");
    }
}

std::vector<std::string> soak_checker::findings() const
{
    std::lock_guard const lock(m_mutex);
    return m_findings;
}

std::size_t soak_checker::servedCount() const
{
    std::lock_guard const lock(m_mutex);
    return m_servedCount;
}

std::size_t soak_checker::requestCount() const
{
    std::lock_guard const lock(m_mutex);
    return m_requestCount;
}

void soak_checker::resetCounts()
{
    std::lock_guard const lock(m_mutex);
    m_servedCount = 0;
    m_requestCount = 0;
}

}
