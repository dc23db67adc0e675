#include "Libraries/zinnialedge/configuration/change_plan.h"

#include "Kernel/try.h"
#include <algorithm>

namespace zinnialedge::configuration {

using errors::error_kind;
using errors::error_or;
using errors::makeError;

std::vector<service_commands> groupByService(std::vector<language::statement> const& statements)
{
    std::vector<service_commands> groups;
    for (auto const& statement : statements) {
        auto const service = std::visit(
            [](auto const& command) {
                using command_type = std::decay_t<decltype(command)>;
                if constexpr (std::is_same_v<command_type, language::show> || std::is_same_v<command_type, language::declare_share>)
                    return std::string {};
                else
                    return command.service;
            },
            statement.command);
        if (service.empty())
            continue;
        auto const found = std::find_if(groups.begin(), groups.end(), [&](auto const& each) { return each.service == service; });
        auto& group = found == groups.end() ? groups.emplace_back(service_commands { service, {} }) : *found;
        group.statements.push_back(statement);
    }
    return groups;
}

/// Applies commands in sequence to the declaration of one service.
class declaration_editor {
public:
    declaration_editor(std::optional<model::service_declaration> declaration, std::string const& partner)
        : m_declaration(std::move(declaration))
        , m_partner(partner)
    {
    }

    std::optional<model::service_declaration> take() { return std::move(m_declaration); }

    error_or<void> apply(language::declare_service const& declared)
    {
        if (!m_declaration && !declared.shardCount)
            return makeError(error_kind::malformed_command, "service " + declared.service + " does not exist; creating a service requires 'shards'");
        if (!m_declaration)
            m_declaration = model::service_declaration { .name = declared.service, .partner = m_partner };
        auto& service = *m_declaration;
        service.shardCount = declared.shardCount.value_or(service.shardCount);
        service.epoch = declared.epoch.value_or(service.epoch);
        service.coverage = declared.coverage.value_or(service.coverage);
        service.deadline = declared.deadline.value_or(service.deadline);
        // A deadline below the current soft deadline lowers the soft deadline. A soft deadline that the command sets is never
        // lowered silently: checkConsistency() rejects a value above the deadline.
        service.softDeadline = declared.softDeadline.value_or(std::min(service.softDeadline, service.deadline));
        service.minimumCoveragePercent = declared.minimumCoveragePercent.value_or(service.minimumCoveragePercent);
        service.maximumHedgePercent = declared.maximumHedgePercent.value_or(service.maximumHedgePercent);
        service.daemonGroupSize = declared.daemonGroupSize.value_or(service.daemonGroupSize);
        return {};
    }

    error_or<void> apply(language::remove_service const& removed)
    {
        TRY_VOID(requireService(removed.service));
        m_declaration = std::nullopt;
        return {};
    }

    error_or<void> apply(language::mark_request const& marked)
    {
        TRY_VOID(requireService(marked.service));
        auto& requests = m_declaration->requests;
        auto found = std::find_if(requests.begin(), requests.end(), [&](auto const& each) { return each.name == marked.request; });
        if (found == requests.end())
            found = requests.insert(found, { .name = marked.request });
        found->isUrgent = marked.isUrgent.value_or(found->isUrgent);
        found->isRepeatable = marked.isRepeatable.value_or(found->isRepeatable);
        found->isAllShardsQuery = marked.isAllShardsQuery.value_or(found->isAllShardsQuery);
        return {};
    }

    error_or<void> apply(language::declare_target const& declared)
    {
        TRY_VOID(requireService(declared.service));
        auto& targets = m_declaration->targets;
        auto found = findTarget(declared.target);
        if (found == targets.end())
            found = targets.insert(found, { .name = declared.target });
        found->place = declared.place;
        found->shard = declared.shard;
        found->slots = declared.slots.value_or(found->slots);
        found->connectionCap = declared.connectionCap.value_or(found->connectionCap);
        return {};
    }

    error_or<void> apply(language::remove_target const& removed)
    {
        TRY_VOID(requireTarget(removed.service, removed.target));
        m_declaration->targets.erase(findTarget(removed.target));
        return {};
    }

    error_or<void> apply(language::change_drain const& change)
    {
        TRY_VOID(requireTarget(change.service, change.target));
        findTarget(change.target)->isDraining = change.isDraining;
        return {};
    }

    error_or<void> apply(language::declare_share const& /*share*/) { return {}; }
    error_or<void> apply(language::show const& /*shown*/) { return {}; }

private:
    std::vector<model::target_declaration>::iterator findTarget(std::string const& name)
    {
        auto& targets = m_declaration->targets;
        return std::find_if(targets.begin(), targets.end(), [&](auto const& each) { return each.name == name; });
    }

    error_or<void> requireService(std::string const& service) const
    {
        if (!m_declaration)
            return makeError(error_kind::malformed_command, "unknown service " + service);
        return {};
    }

    error_or<void> requireTarget(std::string const& service, std::string const& target)
    {
        TRY_VOID(requireService(service));
        if (findTarget(target) == m_declaration->targets.end())
            return makeError(error_kind::malformed_command, "unknown target " + target + " of service " + service);
        return {};
    }

    std::optional<model::service_declaration> m_declaration;
    std::string const& m_partner;
};

static error_or<void> checkConsistency(model::service_declaration const& service)
{
    if (service.softDeadline > service.deadline)
        return makeError(error_kind::malformed_command, "the soft-deadline of service " + service.name + " exceeds the deadline");
    for (auto const& target : service.targets) {
        if (target.shard >= service.shardCount)
            return makeError(error_kind::malformed_command, "target " + target.name + " of service " + service.name + " requires a shard below " + std::to_string(service.shardCount));
    }
    return {};
}

static errors::error withPosition(errors::error reason, language::source_position position)
{
    reason.message = "line " + std::to_string(position.line) + ", column " + std::to_string(position.column) + ": " + reason.message;
    return reason;
}

error_or<std::optional<model::service_declaration>> applyCommands(std::optional<model::service_declaration> current, service_commands const& commands, std::string const& partner)
{
    auto const firstPosition = commands.statements.empty() ? language::source_position {} : commands.statements.front().position;
    if (current && current->partner != partner)
        return tl::unexpected(withPosition({ error_kind::not_permitted, "service " + commands.service + " does not belong to partner '" + partner + "'", {} }, firstPosition));
    declaration_editor editor { std::move(current), partner };
    for (auto const& statement : commands.statements) {
        auto const applied = std::visit([&](auto const& command) { return editor.apply(command); }, statement.command);
        if (!applied)
            return tl::unexpected(withPosition(applied.error(), statement.position));
    }
    auto declaration = editor.take();
    if (declaration) {
        if (auto const consistency = checkConsistency(*declaration); !consistency)
            return tl::unexpected(withPosition(consistency.error(), firstPosition));
    }
    return declaration;
}

tl::expected<std::vector<planned_change>, std::vector<errors::error>> plan(std::vector<language::statement> const& statements, std::string const& partner, declaration_lookup const& current)
{
    std::vector<planned_change> changes;
    std::vector<errors::error> problems;
    for (auto const& group : groupByService(statements)) {
        auto const before = current(group.service);
        auto const after = applyCommands(before, group, partner);
        if (!after) {
            problems.push_back(after.error());
            continue;
        }
        if (auto fields = compareFields(toFieldValues(before), toFieldValues(*after)); !fields.empty())
            changes.push_back({ group.service, std::move(fields) });
    }
    if (!problems.empty())
        return tl::unexpected(std::move(problems));
    return changes;
}

}
