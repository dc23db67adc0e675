#include "Libraries/zinnialedge/language/statement_check.h"

#include <map>

namespace zinnialedge::language {

/// Checks the statements of one command text in order and collects what they declare.
class statement_checker {
public:
    explicit statement_checker(report_hook const& report)
        : m_report(report)
    {
    }

    void check(source_position position, declare_service const& declared)
    {
        recordSubject(position, "service " + declared.service);
        if (declared.shardCount)
            m_shardCounts[declared.service] = *declared.shardCount;
        if (declared.deadline && declared.softDeadline && *declared.softDeadline > *declared.deadline)
            m_report(position, "expected a soft-deadline that does not exceed the deadline");
    }

    void check(source_position position, declare_target const& declared)
    {
        recordSubject(position, "target " + declared.target + " of " + declared.service);
        auto const shards = m_shardCounts.find(declared.service);
        if (shards != m_shardCounts.end() && declared.shard >= shards->second)
            m_report(position, "expected a shard below " + std::to_string(shards->second));
    }

    void check(source_position position, mark_request const& marked) { recordSubject(position, "request " + marked.request + " of " + marked.service); }
    void check(source_position position, remove_service const& removed) { recordSubject(position, "service " + removed.service); }
    void check(source_position position, remove_target const& removed) { recordSubject(position, "target " + removed.target + " of " + removed.service); }
    void check(source_position position, change_drain const& drain) { recordSubject(position, "draining of target " + drain.target + " of " + drain.service); }
    void check(source_position position, declare_share const& share) { recordSubject(position, "share of " + share.partner); }
    void check(source_position /*position*/, show const& /*shown*/) { }

private:
    void recordSubject(source_position position, std::string const& subject)
    {
        auto const [earlierStatement, isNew] = m_positionBySubject.emplace(subject, position);
        if (!isNew)
            m_report(position, "expected one statement for " + subject + ", but line " + std::to_string(earlierStatement->second.line) + " already contains such a statement");
    }

    report_hook const& m_report;
    std::map<std::string, source_position> m_positionBySubject;
    std::map<std::string, std::uint32_t> m_shardCounts;
};

void checkStatements(std::vector<statement> const& statements, report_hook const& report)
{
    statement_checker checker { report };
    for (auto const& each : statements)
        std::visit([&](auto const& command) { checker.check(each.position, command); }, each.command);
}

}
