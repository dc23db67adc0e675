#include "Tests/Soak/soak_checker.h"

#include "Libraries/zinnialedge/forwarding/record_merge.h"
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

namespace zinnialedge::tests::soak {

static constexpr std::size_t recordLimit = 5;
static constexpr double leastShare = 0.75;

std::string recordsOf(std::string const& service)
{
    std::string records;
    for (char letter = 'a'; letter < 'e'; ++letter)
        records += (letter + service + std::string(forwarding::recordBytes, '.')).substr(0, forwarding::recordBytes);
    return records;
}

std::string bodyOf(std::string const& attemptId)
{
    return "the answer to " + attemptId;
}

std::string sealOf(std::string const& service, std::string const& attemptId)
{
    return service + "/" + attemptId;
}

void soak_checker::find(std::string const& attemptId, std::string what)
{
    m_findings.push_back("id=" + attemptId + " " + std::move(what));
}

void soak_checker::noteDeclared(std::size_t shards)
{
    std::lock_guard const lock(m_mutex);
    m_shardCounts.insert(shards);
}

void soak_checker::noteRun(std::string const& attemptId)
{
    std::lock_guard const lock(m_mutex);
    ++m_runs[attemptId];
}

void soak_checker::checkSingle(std::string const& attemptId, raw_answer const& answer)
{
    std::lock_guard const lock(m_mutex);
    ++m_asked;
    if (answer.isCut && answer.status >= 200 && answer.status < 300)
        return;
    if (answer.status == 200) {
        ++m_served;
        if (answer.body != bodyOf(attemptId) || answer.header("Zinnialedge-Server-Seal").empty())
            find(attemptId, "MIXED: wrong body or missing seal: " + answer.body.substr(0, 60));
        if (m_runs[attemptId] == 0)
            find(attemptId, "MIXED: success of a request that no leaf executed");
    }
    static std::set<int> const promises { 408, 421, 429, 503 };
    if (promises.contains(answer.status))
        m_promisedNotRun.insert(attemptId);
}

void soak_checker::checkGather(std::string const& attemptId, raw_answer const& answer)
{
    std::lock_guard const lock(m_mutex);
    ++m_asked;
    if (answer.status != 200 || answer.isCut)
        return;
    ++m_served;
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
            find(attemptId, "MIXED: seal of another request: " + seal);
        if (!services.insert(service).second)
            find(attemptId, "MIXED: duplicate part of " + service);
        bodies.push_back(recordsOf(service));
    }
    auto const total = services.size() + std::stoul("0" + answer.header("Zinnialedge-Missing-Parts"));
    if (!m_shardCounts.contains(total))
        find(attemptId, "MIXED: no declared version has " + std::to_string(total) + " shards");
    if (static_cast<double>(services.size()) < leastShare * static_cast<double>(total))
        find(attemptId, "MIXED: fewer parts than the minimum coverage");
    std::vector<std::string const*> parts;
    parts.reserve(bodies.size());
    for (auto const& body : bodies)
        parts.push_back(&body);
    if (answer.body != forwarding::mergeGreatest(parts, recordLimit))
        find(attemptId, "MIXED: body differs from the greatest records of the sealed parts");
}

void soak_checker::finish()
{
    std::lock_guard const lock(m_mutex);
    for (auto const& [id, runs] : m_runs) {
        bool const isOnce = id.starts_with("once");
        if (isOnce && runs > 1)
            find(id, "TWICE: executed " + std::to_string(runs) + " times");
        if (isOnce && m_promisedNotRun.contains(id))
            find(id, "REFUSED: executed, although the answer promised that it was not");
    }
}

std::vector<std::string> soak_checker::findings() const
{
    std::lock_guard const lock(m_mutex);
    return m_findings;
}

std::size_t soak_checker::served() const
{
    std::lock_guard const lock(m_mutex);
    return m_served;
}

std::size_t soak_checker::asked() const
{
    std::lock_guard const lock(m_mutex);
    return m_asked;
}

void soak_checker::restartCounts()
{
    std::lock_guard const lock(m_mutex);
    m_served = 0;
    m_asked = 0;
}

}
