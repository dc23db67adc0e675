#include "Libraries/zinnialedge/wire/peer_codec.h"

#include "Libraries/zinnialedge/wire/compact_bytes.h"
#include "Libraries/zinnialedge/wire/generated/peer_messages_types.h"
#include <boost/endian/conversion.hpp>

namespace zinnialedge::wire {

static generated::RelayedQuery toThrift(model::query_request const& request)
{
    generated::RelayedQuery query;
    query.__set_id(request.id);
    query.__set_serviceName(request.service);
    query.__set_requestKind(request.requestKind);
    query.__set_key(request.key);
    query.__set_body(request.body);
    query.__set_ticket(request.ticket);
    query.__set_deadlineMilliseconds(request.deadline.count());
    return query;
}

static model::query_request fromThrift(generated::RelayedQuery const& query)
{
    return {
        .id = query.id,
        .service = query.serviceName,
        .requestKind = query.requestKind,
        .key = query.key,
        .body = query.body,
        .ticket = query.ticket,
        .deadline = std::chrono::milliseconds { query.deadlineMilliseconds },
        .isRelayed = true,
    };
}

static generated::RelayedAnswer toThrift(model::answer const& answer)
{
    generated::RelayedAnswer relayed;
    relayed.__set_id(answer.id);
    relayed.__set_epoch(static_cast<std::int64_t>(answer.reflects.epoch));
    relayed.__set_version(static_cast<std::int64_t>(answer.reflects.version));
    relayed.__set_shardsAsked(static_cast<std::int32_t>(answer.covered.asked));
    relayed.__set_shardsAnswered(static_cast<std::int32_t>(answer.covered.answered));
    for (auto const& missing : answer.covered.missing) {
        auto& added = relayed.missing.emplace_back();
        added.__set_shard(static_cast<std::int32_t>(missing.shard));
        added.__set_reason(static_cast<std::int32_t>(missing.reason));
    }
    for (auto const& row : answer.rows) {
        auto& added = relayed.rows.emplace_back();
        added.__set_key(row.key);
        added.__set_value(row.value);
    }
    relayed.__set_isRemembered(answer.isRemembered);
    relayed.__set_isCutOff(answer.isCutOff);
    return relayed;
}

static model::answer fromThrift(generated::RelayedAnswer const& relayed)
{
    model::answer answer;
    answer.id = relayed.id;
    answer.reflects = { static_cast<std::uint64_t>(relayed.epoch), static_cast<std::uint64_t>(relayed.version) };
    answer.covered.asked = static_cast<std::uint32_t>(relayed.shardsAsked);
    answer.covered.answered = static_cast<std::uint32_t>(relayed.shardsAnswered);
    for (auto const& missing : relayed.missing)
        answer.covered.missing.push_back({ static_cast<std::uint32_t>(missing.shard), static_cast<model::missing_reason>(missing.reason) });
    for (auto const& row : relayed.rows)
        answer.rows.push_back({ row.key, row.value });
    answer.isRemembered = relayed.isRemembered;
    answer.isCutOff = relayed.isCutOff;
    return answer;
}

static generated::RelayedError toThrift(errors::error const& error)
{
    generated::RelayedError relayed;
    relayed.__set_kind(std::string { errors::propertiesOf(error.kind).name });
    relayed.__set_message(error.message);
    if (error.retryAfter)
        relayed.__set_retryAfterMilliseconds(error.retryAfter->count());
    return relayed;
}

static errors::error fromThrift(generated::RelayedError const& relayed)
{
    errors::error error { errors::parseErrorKind(relayed.kind).value_or(errors::error_kind::internal), relayed.message, std::nullopt };
    if (relayed.__isset.retryAfterMilliseconds)
        error.retryAfter = std::chrono::milliseconds { relayed.retryAfterMilliseconds };
    return error;
}

static generated::PushedObject toThrift(configuration::stored_object const& object)
{
    generated::PushedObject pushed;
    pushed.__set_key(object.key);
    pushed.__set_version(static_cast<std::int64_t>(object.version));
    if (object.body)
        pushed.__set_body(*object.body);
    return pushed;
}

static configuration::stored_object fromThrift(generated::PushedObject const& pushed)
{
    configuration::stored_object object { pushed.key, static_cast<std::uint64_t>(pushed.version), std::nullopt };
    if (pushed.__isset.body)
        object.body = pushed.body;
    return object;
}

static generated::ObjectsAsked toThrift(configuration::objects_request const& request)
{
    generated::ObjectsAsked encoded;
    encoded.replyTo.__set_address(request.replyTo.address);
    encoded.replyTo.__set_port(request.replyTo.port);
    encoded.__set_after(request.after);
    encoded.__set_isLastPage(request.isLastPage);
    for (auto const& known : request.known) {
        auto& added = encoded.known.emplace_back();
        added.__set_key(known.key);
        added.__set_version(static_cast<std::int64_t>(known.version));
    }
    return encoded;
}

static configuration::objects_request fromThrift(generated::ObjectsAsked const& encoded)
{
    configuration::objects_request request { { encoded.replyTo.address, static_cast<std::uint16_t>(encoded.replyTo.port) }, encoded.after, {}, encoded.isLastPage };
    for (auto const& known : encoded.known)
        request.known.push_back({ known.key, static_cast<std::uint64_t>(known.version) });
    return request;
}

static void setContent(generated::PeerMessage& encoded, model::query_request const& query)
{
    encoded.__set_query(toThrift(query));
}

static void setContent(generated::PeerMessage& encoded, model::answer_or_error const& result)
{
    if (result)
        encoded.__set_answer(toThrift(*result));
    else
        encoded.__set_error(toThrift(result.error()));
}

static void setContent(generated::PeerMessage& encoded, configuration::stored_object const& object)
{
    encoded.__set_pushed(toThrift(object));
}

static void setContent(generated::PeerMessage& encoded, configuration::objects_request const& request)
{
    encoded.__set_asked(toThrift(request));
}

std::string encodePeerMessage(peer_message const& message)
{
    generated::PeerMessage encoded;
    encoded.__set_call(static_cast<std::int64_t>(message.call));
    std::visit([&](auto const& content) { setContent(encoded, content); }, message.content);
    auto const bytes = serializeCompact(encoded);
    std::string framed(peerLengthPrefixBytes, '\0');
    boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(framed.data()), static_cast<std::uint32_t>(bytes.size()));
    return framed + bytes;
}

errors::error_or<peer_message> decodePeerMessage(std::string_view bytes)
{
    auto const parsed = parseCompact<generated::PeerMessage>(bytes, "peer message");
    if (!parsed)
        return tl::unexpected(parsed.error());
    auto const& decoded = *parsed;
    peer_message message;
    message.call = static_cast<std::uint64_t>(decoded.call);
    if (decoded.__isset.query)
        message.content = fromThrift(decoded.query);
    else if (decoded.__isset.answer)
        message.content = model::answer_or_error { fromThrift(decoded.answer) };
    else if (decoded.__isset.error)
        message.content = model::answer_or_error { tl::unexpected(fromThrift(decoded.error)) };
    else if (decoded.__isset.pushed)
        message.content = fromThrift(decoded.pushed);
    else if (decoded.__isset.asked)
        message.content = fromThrift(decoded.asked);
    else
        return errors::makeError(errors::error_kind::malformed_request, "the peer message is empty");
    return message;
}

std::size_t decodePeerMessageLength(std::string_view bytes)
{
    return boost::endian::load_big_u32(reinterpret_cast<unsigned char const*>(bytes.data()));
}

}
