// Callers that keep no rules: bytes without an end, requests that never end, and answers that nobody reads. Each group holds one crowd, so that
// KNOWN-RED.txt can name it.

#include "Tests/Faults/crowd_checks.h"
#include "Tests/Support/small_edge_fleet.h"

using namespace zinnialedge;
using tests::checkBears;
using tests::checkBearsBytes;
using tests::chunkedHead;
using tests::crowded_daemon;

namespace {

model::endpoint callers(crowded_daemon& daemon)
{
    return daemon.callers();
}

model::endpoint relays(crowded_daemon& daemon)
{
    return daemon.relays();
}

std::string const chunkedBody = chunkedHead() + "1\r\nx\r\n";
std::string const trailerStart = chunkedBody + "0\r\n";
std::string const lookup = "GET /single/crowd HTTP/1.1\r\nHost: host\r\nZinnialedge-Attempt-Id: crowd\r\nZinnialedge-Deadline-Ms: 30000\r\n\r\n";

/// A head of nearly the permitted size with as many fields as fit.
std::string headWithManyFields()
{
    std::string head = "POST /single/crowd HTTP/1.1\r\nHost: host\r\nZinnialedge-Attempt-Id: crowd\r\nZinnialedge-Deadline-Ms: 1000\r\nContent-Length: 10\r\n";
    while (head.size() < crowded_daemon::maximumHeaderBytes - 64)
        head += "a:\r\n";
    return head + "\r\n";
}

/// A reply to a call with a body that does not fit into the buffers of a connection.
tests::scripted_reply replyAtLength(std::string const& request)
{
    return { tests::sealedReply(request, std::string(1U << 20U, 'x')) };
}

}

TEST_GROUP(CrowdEndlessTrailer) {};

TEST(CrowdEndlessTrailer, Fields)
{
    checkBearsBytes(callers, trailerStart, "X-Trailer: x\r\n");
}

TEST_GROUP(CrowdEndlessTrailerLine) {};

TEST(CrowdEndlessTrailerLine, Value)
{
    checkBearsBytes(callers, trailerStart + "X-Trailer: ", "x");
}

TEST_GROUP(CrowdLongTrailer) {};

// The fields of a trailer take far more memory than their bytes.
TEST(CrowdLongTrailer, ManyFieldsWithAnEnd)
{
    checkBearsBytes(callers, trailerStart, "a:\r\n", 2U << 20U, "\r\n");
}

TEST_GROUP(CrowdEndlessChunkExtension) {};

TEST(CrowdEndlessChunkExtension, OfAChunk)
{
    checkBearsBytes(callers, chunkedBody + "1;", "x");
}

TEST_GROUP(CrowdEndlessLastChunkExtension) {};

TEST(CrowdEndlessLastChunkExtension, OfTheLastChunk)
{
    checkBearsBytes(callers, chunkedBody + "0;", "x");
}

TEST_GROUP(CrowdEndlessChunkSize) {};

TEST(CrowdEndlessChunkSize, Zeros)
{
    checkBearsBytes(callers, chunkedBody, "0");
}

TEST_GROUP(CrowdEndlessChunks) {};

TEST(CrowdEndlessChunks, SmallOnes)
{
    checkBearsBytes(callers, chunkedBody, "1\r\nx\r\n");
}

TEST_GROUP(CrowdEndlessRelayTrailer) {};

TEST(CrowdEndlessRelayTrailer, Fields)
{
    checkBearsBytes(relays, trailerStart, "X-Trailer: x\r\n");
}

TEST_GROUP(CrowdEndlessHeads) {};

TEST(CrowdEndlessHeads, BytesThatAreNoRequest)
{
    checkBearsBytes(callers, "", "x");
}

TEST(CrowdEndlessHeads, RequestLine)
{
    checkBearsBytes(callers, "GET /", "x");
}

TEST(CrowdEndlessHeads, HeaderLine)
{
    checkBearsBytes(callers, "GET /single/crowd HTTP/1.1\r\nX-Long: ", "x");
}

TEST(CrowdEndlessHeads, HeaderLines)
{
    checkBearsBytes(callers, "GET /single/crowd HTTP/1.1\r\n", "a:\r\n");
}

TEST(CrowdEndlessHeads, EmptyLines)
{
    checkBearsBytes(callers, "", "\r\n");
}

TEST_GROUP(CrowdUnfinishedBodies) {};

// Each body is within the limit; all of them together exceed the memory of the VM.
TEST(CrowdUnfinishedBodies, AllButTheLastBytes)
{
    auto const head = "POST /single/crowd HTTP/1.1\r\nHost: host\r\nZinnialedge-Attempt-Id: crowd\r\nZinnialedge-Deadline-Ms: 1000\r\nContent-Length: " + std::to_string(crowded_daemon::maximumBodyBytes) + "\r\n\r\n";
    checkBearsBytes(callers, head, "x", crowded_daemon::maximumBodyBytes - 65'536, {}, 150);
}

TEST_GROUP(CrowdUnfinishedRelayedBodies) {};

TEST(CrowdUnfinishedRelayedBodies, AllButTheLastBytes)
{
    auto const head = "POST /single/crowd HTTP/1.1\r\nHost: host\r\nZinnialedge-Attempt-Id: crowd\r\nContent-Length: " + std::to_string(crowded_daemon::maximumBodyBytes) + "\r\n\r\n";
    checkBearsBytes(relays, head, "x", crowded_daemon::maximumBodyBytes - 65'536, {}, 150);
}

TEST_GROUP(CrowdManyFields) {};

TEST(CrowdManyFields, InHeadsOfUnfinishedRequests)
{
    checkBearsBytes(callers, headWithManyFields(), "", 0, {}, 300);
}

TEST_GROUP(CrowdManyFieldsInFlight) {};

// The leafs take their time, so that the requests wait for their answers.
TEST(CrowdManyFieldsInFlight, InHeadsOfWaitingRequests)
{
    auto const replyLate = [](std::string const& request) {
        auto reply = tests::replySuccessfully(request);
        reply.runTime = std::chrono::milliseconds { 500 };
        return reply;
    };
    crowded_daemon daemon { replyLate, replyLate };
    checkBears(daemon.meet({ { .endpoint = daemon.callers(), .connectionCount = 300, .start = headWithManyFields() + "0123456789" } }));
}

TEST_GROUP(CrowdUnreadAnswers) {};

TEST(CrowdUnreadAnswers, LargeOnes)
{
    crowded_daemon daemon { replyAtLength };
    std::string requests;
    for (int count = 0; count < 20; ++count)
        requests += lookup;
    checkBears(daemon.meet({ { .endpoint = daemon.callers(), .connectionCount = 150, .start = requests, .receiveBufferBytes = 4096 } }));
}

TEST_GROUP(CrowdPipelinedRequests) {};

// Requests behind one whose answer nobody reads.
TEST(CrowdPipelinedRequests, BehindUnreadAnswers)
{
    crowded_daemon daemon { replyAtLength };
    checkBears(daemon.meet({ { .endpoint = daemon.callers(), .connectionCount = 400, .start = lookup, .repeated = lookup, .maximumRepeatedBytes = 4U << 20U, .receiveBufferBytes = 4096 } }));
}
