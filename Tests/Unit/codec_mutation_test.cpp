#include "Kernel/clock.h"
#include "Libraries/zinnialedge/configuration/daemon_settings.h"
#include "Libraries/zinnialedge/configuration/service_codec.h"
#include "Libraries/zinnialedge/membership/daemon_record.h"
#include "Libraries/zinnialedge/wire/caller_codec.h"
#include "Libraries/zinnialedge/wire/leaf_codec.h"
#include "Libraries/zinnialedge/wire/peer_codec.h"
#include "Libraries/zinnialedge/wire/store_codec.h"
#include <CppUTest/TestHarness.h>
#include <boost/json.hpp>

// Decoders must return a value or an error for any input. The sanitizer build detects invalid memory accesses and undefined
// behaviour in decoders of mutated input.

using namespace zinnialedge;

static constexpr unsigned mutationsPerSample = 4000;
static constexpr unsigned changesPerMutation = 4;

TEST_GROUP(CodecMutation)
{
    kernel::random_hook random = kernel::makeSeededRandom(20261203);

    std::string mutate(std::string text)
    {
        for (unsigned changeIndex = 0; changeIndex < changesPerMutation && !text.empty(); ++changeIndex) {
            auto const position = random() % text.size();
            switch (random() % 4) {
            case 0:
                text[position] = static_cast<char>(random());
                break;
            case 1:
                text.erase(position, 1 + random() % 8);
                break;
            case 2:
                text.insert(position, 1, static_cast<char>(random()));
                break;
            default:
                text.insert(position, text.substr(random() % text.size(), random() % 16));
                break;
            }
        }
        return text;
    }

    void decodeMutations(std::string const& sample, std::function<void(std::string const&)> const& decode)
    {
        decode(sample);
        for (unsigned mutation = 0; mutation < mutationsPerSample; ++mutation)
            decode(mutate(sample));
    }

    static model::answer makeAnswer()
    {
        return { "q1", { 3, 7 }, { 2, 1, { { 1, model::missing_reason::deadline } } }, { { "key", "value" } }, false };
    }
};

TEST(CodecMutation, MutatedCallerMessagesAreDecodedWithoutFault)
{
    model::query_request request;
    request.id = "q1";
    request.service = "lunch-portal";
    request.requestKind = "menu";
    request.deadline = std::chrono::milliseconds { 80 };
    decodeMutations(wire::formatQuery(request), [](auto const& text) { (void)wire::parseQuery(text, "fallback"); });
    decodeMutations(wire::formatAnswer(makeAnswer()), [](auto const& text) { (void)wire::parseAnswer(text); });
    decodeMutations(wire::formatError({ errors::error_kind::overloaded, "m", std::chrono::milliseconds { 5 } }), [](auto const& text) { (void)wire::parseError(text); });
}

TEST(CodecMutation, RowsOtherThanStringPairsAreRejected)
{
    auto const text = wire::formatAnswer(makeAnswer());
    auto const rows = std::string { R"([["key","value"]])" };
    for (auto const* invalidRows : { "[1]", "[[]]", R"([["key"]])", R"([["key",1]])", "{}" }) {
        auto changedText = text;
        changedText.replace(changedText.find(rows), rows.size(), invalidRows);
        CHECK(!wire::parseAnswer(changedText));
    }
}

TEST(CodecMutation, MutatedLeafMessagesAreDecodedWithoutFault)
{
    wire::leaf_call const call { "c1", "menu", "key", "body", "ticket", 3, { 1, 2 }, std::chrono::microseconds { 5000 }, true };
    queries::leaf_status const status { { 1 }, { 1, 2 }, 0.5, false };
    decodeMutations(wire::formatLeafCall(call).body, [](auto const& text) { (void)wire::parseLeafCall(text); });
    decodeMutations(wire::formatLeafAnswer(call, status, { { "key", "value" } }), [](auto const& text) { (void)wire::parseLeafReply({ 200, text, {} }, "c1"); });
    decodeMutations(wire::formatLeafRefusal(call, status, queries::leaf_refusal::shed), [](auto const& text) { (void)wire::parseLeafReply({ 503, text, {} }, "c1"); });
    decodeMutations(wire::formatLeafStatus(status), [](auto const& text) { (void)wire::parseLeafStatus(text); });
}

TEST(CodecMutation, MutatedPeerMessagesAreDecodedWithoutFault)
{
    auto const sample = wire::encodePeerMessage({ 5, model::answer_or_error { makeAnswer() } }).substr(wire::peerLengthPrefixBytes);
    decodeMutations(sample, [](auto const& bytes) { (void)wire::decodePeerMessage(bytes); });
}

TEST(CodecMutation, MutatedStoreObjectsAreDecodedWithoutFault)
{
    model::service_declaration service;
    service.name = "lunch-portal";
    service.partner = "suva";
    service.requests = { { "menu", true, true, true } };
    service.targets = { { "t1", { "127.0.0.1", 80 }, 0, 2, 25, false } };
    auto const body = boost::json::serialize(configuration::toJson(service));
    decodeMutations(body, [](auto const& text) { (void)configuration::parseService(text); });
    decodeMutations(wire::formatStoreListing({ 9, { { "services/a", 9, body } } }), [](auto const& text) { (void)wire::parseStoreListing(text); });
    membership::daemon_record const record { "d", "suva", "suva", "suva-a", 5, { "127.0.0.1", 80 }, { "127.0.0.1", 81 }, false };
    decodeMutations(membership::formatDaemonRecord(record), [](auto const& text) { (void)membership::parseDaemonRecord(text); });
}
