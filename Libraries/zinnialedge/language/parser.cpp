#include "Libraries/zinnialedge/language/parser.h"

#include "Libraries/zinnialedge/language/statement_check.h"
#include "Libraries/zinnialedge/model/service_limits.h"
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <limits>
#include <tao/pegtl.hpp>

namespace zinnialedge::language {

namespace pegtl = tao::pegtl;
namespace {

    // Grammar rules. Every token consumes the whitespace that follows, so no other rule has to match whitespace.

    struct comment : pegtl::seq<pegtl::one<'#'>, pegtl::until<pegtl::eolf>> { };
    struct whitespace : pegtl::star<pegtl::sor<pegtl::space, comment>> { };
    struct name_character : pegtl::sor<pegtl::alnum, pegtl::one<'-', '_', '.'>> { };
    struct name : pegtl::plus<name_character> { };

    // The lookahead makes the parser report an error at the start of the token.
    template <typename... Rules>
    struct token : pegtl::seq<pegtl::at<Rules...>, Rules..., whitespace> { };
    template <typename Text>
    struct keyword : token<Text, pegtl::not_at<name_character>> { };

    struct number : pegtl::plus<pegtl::digit> { };
    struct count : token<number, pegtl::not_at<name_character>> { };
    struct duration : token<number, pegtl::string<'m', 's'>, pegtl::not_at<name_character>> { };
    struct percentage : token<number, pegtl::one<'%'>> { };

    struct service_name : name { };
    struct service_token : token<service_name> { };
    struct target_name : name { };
    struct target_token : token<target_name> { };
    struct request_name : name { };
    struct request_token : token<request_name> { };
    struct partner_name : name { };
    struct partner_token : token<partner_name> { };
    struct state_name : name { };
    struct state_token : token<state_name> { };
    struct address : pegtl::plus<pegtl::sor<pegtl::alnum, pegtl::one<'.', '-', '[', ']'>, pegtl::seq<pegtl::one<':'>, pegtl::at<pegtl::star<pegtl::sor<pegtl::xdigit, pegtl::one<'.', '[', ']'>>>, pegtl::one<':'>>>>> { };
    struct endpoint : pegtl::seq<address, pegtl::one<':'>, pegtl::plus<pegtl::digit>> { };
    struct endpoint_token : token<endpoint> { };

    struct keyword_of : keyword<TAO_PEGTL_STRING("of")> { };
    struct keyword_at : keyword<TAO_PEGTL_STRING("at")> { };
    struct keyword_shard : keyword<TAO_PEGTL_STRING("shard")> { };
    struct keyword_request : keyword<TAO_PEGTL_STRING("request")> { };
    struct keyword_target : keyword<TAO_PEGTL_STRING("target")> { };
    struct keyword_state : keyword<TAO_PEGTL_STRING("state")> { };
    struct opening_brace : token<pegtl::one<'{'>> { };
    struct equals_sign : token<pegtl::one<'='>> { };

    struct whole : keyword<TAO_PEGTL_STRING("whole")> { };
    struct partial : keyword<TAO_PEGTL_STRING("partial")> { };
    struct coverage_keyword : pegtl::sor<whole, partial> { };
    struct shards_field : pegtl::if_must<keyword<TAO_PEGTL_STRING("shards")>, count> { };
    struct epoch_field : pegtl::if_must<keyword<TAO_PEGTL_STRING("epoch")>, count> { };
    struct coverage_field : pegtl::if_must<keyword<TAO_PEGTL_STRING("coverage")>, coverage_keyword> { };
    struct deadline_field : pegtl::if_must<keyword<TAO_PEGTL_STRING("deadline")>, duration> { };
    struct soft_share : pegtl::if_must<keyword<TAO_PEGTL_STRING("after")>, percentage> { };
    struct soft_deadline : pegtl::if_must<keyword<TAO_PEGTL_STRING("soft-deadline")>, duration> { };
    struct soft_deadline_field : pegtl::seq<soft_deadline, pegtl::opt<soft_share>> { };
    struct hedge_field : pegtl::if_must<keyword<TAO_PEGTL_STRING("hedge")>, percentage> { };
    struct group_field : pegtl::if_must<keyword<TAO_PEGTL_STRING("group")>, count> { };
    struct service_field : pegtl::sor<shards_field, epoch_field, coverage_field, deadline_field, soft_deadline_field, hedge_field, group_field> { };
    struct closing_brace : token<pegtl::one<'}'>> { };
    struct service_fields : pegtl::until<closing_brace, pegtl::must<service_field>> { };
    struct service_statement : pegtl::if_must<keyword<TAO_PEGTL_STRING("service")>, service_token, opening_brace, service_fields> { };

    struct urgent : keyword<TAO_PEGTL_STRING("urgent")> { };
    struct ordinary : keyword<TAO_PEGTL_STRING("ordinary")> { };
    struct repeatable : keyword<TAO_PEGTL_STRING("repeatable")> { };
    struct not_repeatable : keyword<TAO_PEGTL_STRING("not-repeatable")> { };
    struct keyed : keyword<TAO_PEGTL_STRING("keyed")> { };
    struct all_shards : keyword<TAO_PEGTL_STRING("all-shards")> { };
    struct marks : pegtl::plus<pegtl::sor<urgent, ordinary, repeatable, not_repeatable, keyed, all_shards>> { };
    struct mark_statement : pegtl::if_must<keyword<TAO_PEGTL_STRING("mark")>, keyword_request, request_token, keyword_of, service_token, marks> { };

    struct slots_field : pegtl::if_must<keyword<TAO_PEGTL_STRING("slots")>, count> { };
    struct connections_field : pegtl::if_must<keyword<TAO_PEGTL_STRING("connections")>, count> { };
    struct shard_index : count { };
    struct target_options : pegtl::star<pegtl::sor<slots_field, connections_field>> { };
    struct target_statement : pegtl::if_must<keyword_target, target_token, keyword_of, service_token, keyword_at, endpoint_token, keyword_shard, shard_index, target_options> { };

    struct remove_target_tail : pegtl::if_must<keyword_target, target_token, keyword_of, service_token> { };
    struct remove_service_tail : pegtl::if_must<keyword<TAO_PEGTL_STRING("service")>, service_token> { };
    struct remove_tail : pegtl::sor<remove_target_tail, remove_service_tail> { };
    struct remove_statement : pegtl::if_must<keyword<TAO_PEGTL_STRING("remove")>, remove_tail> { };

    struct drain_statement : pegtl::if_must<keyword<TAO_PEGTL_STRING("drain")>, keyword_target, target_token, keyword_of, service_token> { };
    struct undrain_statement : pegtl::if_must<keyword<TAO_PEGTL_STRING("undrain")>, keyword_target, target_token, keyword_of, service_token> { };
    struct share_statement : pegtl::if_must<keyword<TAO_PEGTL_STRING("share")>, keyword_of, partner_token, percentage> { };

    struct show_services : keyword<TAO_PEGTL_STRING("services")> { };
    struct show_daemons : keyword<TAO_PEGTL_STRING("daemons")> { };
    struct state_condition : pegtl::if_must<keyword<TAO_PEGTL_STRING("where")>, keyword_state, equals_sign, state_token> { };
    struct show_targets : pegtl::if_must<keyword<TAO_PEGTL_STRING("targets")>, keyword_of, service_token, pegtl::opt<state_condition>> { };
    struct show_arguments : pegtl::sor<show_services, show_daemons, show_targets> { };
    struct show_statement : pegtl::if_must<keyword<TAO_PEGTL_STRING("show")>, show_arguments> { };

    struct statement_start : pegtl::success { };
    struct any_statement : pegtl::sor<service_statement, mark_statement, target_statement, remove_statement, drain_statement, undrain_statement, share_statement, show_statement> { };
    struct statements : pegtl::seq<whitespace, pegtl::until<pegtl::eof, statement_start, pegtl::must<any_statement>>> { };

    // Descriptions of the expected input, for error messages about rules that must match.

    template <typename>
    inline constexpr char const* expected = "different input";
    template <>
    constexpr char const* expected<service_token> = "the name of a service";
    template <>
    constexpr char const* expected<target_token> = "the name of a target";
    template <>
    constexpr char const* expected<request_token> = "the name of a request";
    template <>
    constexpr char const* expected<partner_token> = "the name of a partner";
    template <>
    constexpr char const* expected<state_token> = "the name of a state";
    template <>
    constexpr char const* expected<endpoint_token> = "ADDRESS:PORT";
    template <>
    constexpr char const* expected<count> = "a whole number";
    template <>
    constexpr char const* expected<shard_index> = "a whole number";
    template <>
    constexpr char const* expected<duration> = "a duration such as 80ms";
    template <>
    constexpr char const* expected<percentage> = "a percentage such as 5%";
    template <>
    constexpr char const* expected<keyword_of> = "of";
    template <>
    constexpr char const* expected<keyword_at> = "at";
    template <>
    constexpr char const* expected<keyword_shard> = "shard";
    template <>
    constexpr char const* expected<keyword_request> = "request";
    template <>
    constexpr char const* expected<keyword_target> = "target";
    template <>
    constexpr char const* expected<keyword_state> = "state";
    template <>
    constexpr char const* expected<equals_sign> = "=";
    template <>
    constexpr char const* expected<opening_brace> = "{";
    template <>
    constexpr char const* expected<coverage_keyword> = "whole or partial";
    template <>
    constexpr char const* expected<service_field> = "shards, epoch, coverage, deadline, soft-deadline, hedge, group or }";
    template <>
    constexpr char const* expected<marks> = "urgent, ordinary, repeatable, not-repeatable, keyed or all-shards";
    template <>
    constexpr char const* expected<remove_tail> = "target or service";
    template <>
    constexpr char const* expected<show_arguments> = "services, targets or daemons";
    template <>
    constexpr char const* expected<any_statement> = "service, mark, target, remove, drain, undrain, share or show";

    struct expectations {
        template <typename Rule>
        static constexpr char const* message = expected<Rule>;
        /// Disables errors for rules that may fail to match; only rules inside pegtl::must raise errors.
        template <typename Rule>
        static constexpr bool raise_on_failure = false; // NOLINT(readability-identifier-naming): PEGTL looks up this name.
    };

    template <typename Rule>
    using control = pegtl::must_if<expectations>::control<Rule>;

    /// Parser state: finished statements, errors, and the fields of the statement that is being parsed.
    struct parser_state {
        std::vector<statement> statements;
        std::vector<statement_error> errors;
        std::uint64_t number { 0 };
        source_position numberPosition;
        source_position statementStart;
        declare_service service;
        mark_request request;
        declare_target target;
        std::string partner;
        std::string targetState;

        void reportError(source_position position, std::string message) { errors.push_back({ position, std::move(message) }); }

        std::uint64_t numberWithin(std::uint64_t minimum, std::uint64_t maximum)
        {
            if (number >= minimum && number <= maximum)
                return number;
            reportError(numberPosition, "expected a number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
            return minimum;
        }

        template <typename T>
        void setOnce(std::optional<T>& field, T value, source_position position, std::string const& what)
        {
            if (field)
                reportError(position, "expected " + what + " at most once");
            field = value;
        }

        void addStatement(command parsedCommand)
        {
            statements.push_back({ statementStart, std::move(parsedCommand) });
            service = {};
            request = {};
            target = {};
            targetState.clear();
        }
    };

    template <typename Input>
    source_position positionOf(Input const& in)
    {
        auto const position = in.position();
        return { position.line, position.column };
    }

    // Actions that run when a rule has matched.

    template <typename Rule>
    struct action { };

    template <>
    struct action<number> {
        template <typename Input>
        static void apply(Input const& in, parser_state& state)
        {
            auto const digits = in.string_view();
            state.numberPosition = positionOf(in);
            auto const result = std::from_chars(digits.data(), digits.data() + digits.size(), state.number);
            if (result.ec != std::errc {})
                state.number = std::numeric_limits<std::uint64_t>::max();
        }
    };

    template <>
    struct action<service_name> {
        template <typename Input>
        static void apply(Input const& in, parser_state& state)
        {
            state.service.service = state.request.service = state.target.service = in.string();
        }
    };

    template <>
    struct action<target_name> {
        template <typename Input>
        static void apply(Input const& in, parser_state& state)
        {
            state.target.target = in.string();
        }
    };

    template <>
    struct action<request_name> {
        template <typename Input>
        static void apply(Input const& in, parser_state& state)
        {
            state.request.request = in.string();
        }
    };

    template <>
    struct action<partner_name> {
        template <typename Input>
        static void apply(Input const& in, parser_state& state)
        {
            state.partner = in.string();
        }
    };

    template <>
    struct action<state_name> {
        template <typename Input>
        static void apply(Input const& in, parser_state& state)
        {
            state.targetState = in.string();
        }
    };

    template <>
    struct action<endpoint> {
        template <typename Input>
        static void apply(Input const& in, parser_state& state)
        {
            auto const parsedEndpoint = model::parseEndpoint(in.string());
            boost::system::error_code failure;
            if (parsedEndpoint)
                boost::asio::ip::make_address(parsedEndpoint->address, failure);
            if (!parsedEndpoint || failure || parsedEndpoint->port == 0)
                state.reportError(positionOf(in), "expected an IP address and a port from 1 to 65535");
            else
                state.target.place = *parsedEndpoint;
        }
    };

    /// Action that calls Function with the parser state and the position of the match.
    template <auto Function>
    struct on_match {
        template <typename Input>
        static void apply(Input const& in, parser_state& state)
        {
            Function(state, positionOf(in));
        }
    };

    template <>
    struct action<shards_field> : on_match<[](parser_state& state, source_position position) { state.setOnce(state.service.shardCount, static_cast<std::uint32_t>(state.numberWithin(1, model::maximumShardCount)), position, "shards"); }> { };
    template <>
    struct action<epoch_field> : on_match<[](parser_state& state, source_position position) { state.setOnce(state.service.epoch, state.numberWithin(1, std::numeric_limits<std::int64_t>::max()), position, "epoch"); }> { };
    template <>
    struct action<whole> : on_match<[](parser_state& state, source_position position) { state.setOnce(state.service.coverage, model::coverage_policy::whole, position, "coverage"); }> { };
    template <>
    struct action<partial> : on_match<[](parser_state& state, source_position position) { state.setOnce(state.service.coverage, model::coverage_policy::partial, position, "coverage"); }> { };
    template <>
    struct action<deadline_field> : on_match<[](parser_state& state, source_position position) { state.setOnce(state.service.deadline, std::chrono::milliseconds { state.numberWithin(1, model::maximumDeadlineMilliseconds) }, position, "deadline"); }> { };
    template <>
    struct action<soft_deadline> : on_match<[](parser_state& state, source_position position) { state.setOnce(state.service.softDeadline, std::chrono::milliseconds { state.numberWithin(1, model::maximumDeadlineMilliseconds) }, position, "soft-deadline"); }> { };
    template <>
    struct action<soft_share> : on_match<[](parser_state& state, source_position position) { state.setOnce(state.service.minimumCoveragePercent, static_cast<std::uint32_t>(state.numberWithin(1, 100)), position, "after"); }> { };
    template <>
    struct action<hedge_field> : on_match<[](parser_state& state, source_position position) { state.setOnce(state.service.maximumHedgePercent, static_cast<std::uint32_t>(state.numberWithin(0, 100)), position, "hedge"); }> { };
    template <>
    struct action<group_field> : on_match<[](parser_state& state, source_position position) { state.setOnce(state.service.daemonGroupSize, static_cast<std::uint32_t>(state.numberWithin(1, model::maximumGroupSize)), position, "group"); }> { };
    template <>
    struct action<urgent> : on_match<[](parser_state& state, source_position position) { state.setOnce(state.request.isUrgent, true, position, "urgent or ordinary"); }> { };
    template <>
    struct action<ordinary> : on_match<[](parser_state& state, source_position position) { state.setOnce(state.request.isUrgent, false, position, "urgent or ordinary"); }> { };
    template <>
    struct action<repeatable> : on_match<[](parser_state& state, source_position position) { state.setOnce(state.request.isRepeatable, true, position, "repeatable or not-repeatable"); }> { };
    template <>
    struct action<not_repeatable> : on_match<[](parser_state& state, source_position position) { state.setOnce(state.request.isRepeatable, false, position, "repeatable or not-repeatable"); }> { };
    template <>
    struct action<keyed> : on_match<[](parser_state& state, source_position position) { state.setOnce(state.request.isAllShardsQuery, false, position, "keyed or all-shards"); }> { };
    template <>
    struct action<all_shards> : on_match<[](parser_state& state, source_position position) { state.setOnce(state.request.isAllShardsQuery, true, position, "keyed or all-shards"); }> { };
    template <>
    struct action<shard_index> : on_match<[](parser_state& state, source_position /*position*/) { state.target.shard = static_cast<std::uint32_t>(state.numberWithin(0, model::maximumShardCount - 1)); }> { };
    template <>
    struct action<slots_field> : on_match<[](parser_state& state, source_position position) { state.setOnce(state.target.slots, static_cast<std::uint32_t>(state.numberWithin(1, model::maximumTargetConnections)), position, "slots"); }> { };
    template <>
    struct action<connections_field> : on_match<[](parser_state& state, source_position position) { state.setOnce(state.target.connectionCap, static_cast<std::uint32_t>(state.numberWithin(1, model::maximumTargetConnections)), position, "connections"); }> { };

    template <>
    struct action<statement_start> : on_match<[](parser_state& state, source_position position) { state.statementStart = position; }> { };
    template <>
    struct action<service_statement> : on_match<[](parser_state& state, source_position /*position*/) { state.addStatement(state.service); }> { };
    template <>
    struct action<mark_statement> : on_match<[](parser_state& state, source_position /*position*/) { state.addStatement(state.request); }> { };
    template <>
    struct action<target_statement> : on_match<[](parser_state& state, source_position /*position*/) { state.addStatement(state.target); }> { };
    template <>
    struct action<remove_target_tail> : on_match<[](parser_state& state, source_position /*position*/) { state.addStatement(remove_target { state.target.service, state.target.target }); }> { };
    template <>
    struct action<remove_service_tail> : on_match<[](parser_state& state, source_position /*position*/) { state.addStatement(remove_service { state.service.service }); }> { };
    template <>
    struct action<drain_statement> : on_match<[](parser_state& state, source_position /*position*/) { state.addStatement(change_drain { state.target.service, state.target.target, true }); }> { };
    template <>
    struct action<undrain_statement> : on_match<[](parser_state& state, source_position /*position*/) { state.addStatement(change_drain { state.target.service, state.target.target, false }); }> { };
    template <>
    struct action<share_statement> : on_match<[](parser_state& state, source_position /*position*/) { state.addStatement(declare_share { state.partner, static_cast<std::uint32_t>(state.numberWithin(0, 100)) }); }> { };
    template <>
    struct action<show_services> : on_match<[](parser_state& state, source_position /*position*/) { state.addStatement(show { show_subject::services, {}, {} }); }> { };
    template <>
    struct action<show_daemons> : on_match<[](parser_state& state, source_position /*position*/) { state.addStatement(show { show_subject::daemons, {}, {} }); }> { };
    template <>
    struct action<show_targets> : on_match<[](parser_state& state, source_position /*position*/) { state.addStatement(show { show_subject::targets, state.target.service, state.targetState }); }> { };

}

std::string toString(statement_error const& error)
{
    return "line " + std::to_string(error.position.line) + ", column " + std::to_string(error.position.column) + ": " + error.message;
}

tl::expected<std::vector<statement>, std::vector<statement_error>> parseStatements(std::string_view text)
{
    parser_state state;
    pegtl::memory_input in { text.data(), text.size(), "" };
    try {
        pegtl::parse<statements, action, control>(in, state);
    } catch (pegtl::parse_error const& failure) {
        auto const& position = failure.positions().front();
        state.reportError({ position.line, position.column }, "expected " + std::string { failure.message() });
    }
    checkStatements(state.statements, [&](source_position position, std::string message) { state.reportError(position, std::move(message)); });
    if (!state.errors.empty())
        return tl::unexpected(std::move(state.errors));
    return std::move(state.statements);
}

}
