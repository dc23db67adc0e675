// Some clients fetch reports of some megabytes at the same time, over lines of ordinary speed.

#include "review/support-3/deployment.h"
#include <arpa/inet.h>
#include <array>
#include <boost/json.hpp>
#include <charconv>
#include <iostream>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace zinnialedge::review;
using namespace zinnialedge;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr int exitHeld = 0;
static constexpr int exitBroken = 1;
static constexpr int exitNotRun = 2;

static constexpr std::size_t reportBytes = 4'000'000;
static constexpr std::size_t clientCount = 40;
static constexpr std::size_t rounds = 2;
/// A line of 8 Mbit/s for each client, read in pieces.
static constexpr std::size_t bytesPerMillisecond = 1000;
static constexpr std::size_t pieceBytes = 50'000;
static constexpr milliseconds pollTime { 50 };
static constexpr int receiveBufferBytes = 65'536;
static constexpr milliseconds clientTimeout { 6000 };
/// The rule allows this many.
static constexpr std::size_t allowedLosses = 3;

/// What became of one report.
struct fetched_report {
    int status { 0 };
    std::size_t received { 0 };
    bool isComplete { false };
    bool wasClosed { false };
};

/// A client with a kept connection, whose line is slower than the machine's.
class line_client {
public:
    line_client(std::string const& address, std::uint16_t port)
        : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        if (m_descriptor < 0)
            throw std::runtime_error("no socket");
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
        sockaddr_in to {};
        to.sin_family = AF_INET;
        to.sin_port = htons(port);
        ::inet_pton(AF_INET, address.c_str(), &to.sin_addr);
        if (::connect(m_descriptor, reinterpret_cast<sockaddr const*>(&to), sizeof(to)) != 0)
            throw std::runtime_error("cannot connect");
    }
    ~line_client() { ::close(m_descriptor); }
    line_client(line_client const&) = delete;
    line_client& operator=(line_client const&) = delete;

    fetched_report fetch(std::string const& path, std::string const& attemptId) const
    {
        auto const request = "GET " + path + " HTTP/1.1\r\nHost: " + deployment::host + "\r\nZinnialedge-Attempt-Id: " + attemptId + "\r\nZinnialedge-Deadline-Ms: " + std::to_string(clientTimeout.count()) + "\r\n\r\n";
        fetched_report report;
        auto const beganAt = steady::now();
        auto const end = beganAt + clientTimeout;
        if (::send(m_descriptor, request.data(), request.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(request.size()))
            return report;
        std::string head;
        std::size_t expected = 0;
        std::vector<char> piece(pieceBytes);
        while (!report.isComplete && steady::now() < end) {
            pollfd ready { m_descriptor, POLLIN, 0 };
            if (::poll(&ready, 1, static_cast<int>(pollTime.count())) != 1)
                continue;
            auto const count = ::recv(m_descriptor, piece.data(), piece.size(), 0);
            if (count <= 0) {
                report.wasClosed = true;
                return report;
            }
            report.received += static_cast<std::size_t>(count);
            if (expected == 0) {
                head.append(piece.data(), static_cast<std::size_t>(count));
                auto const headEnd = head.find("\r\n\r\n");
                if (headEnd == std::string::npos)
                    continue;
                auto const length = tests::rawHeaderValue(head.substr(0, headEnd + 4), "Content-Length");
                std::size_t bodyLength = 0;
                std::from_chars(length.data(), length.data() + length.size(), bodyLength);
                expected = headEnd + 4 + bodyLength;
                report.status = std::stoi(head.substr(9, 3));
            }
            report.isComplete = report.received >= expected;
            if (!report.isComplete)
                std::this_thread::sleep_until(beganAt + milliseconds { report.received / bytesPerMillisecond });
        }
        return report;
    }

private:
    int m_descriptor;
};

int main(int /*argumentCount*/, char** arguments)
{
    record_file record { arguments[1] };
    std::mutex mutex;
    std::size_t runCount = 0;
    deployment system { record, { "suva-north", "suva-north", "suva-south", "nausori", "lami" }, [&](leaf_server const& leaf, leaf_request const& request, std::string reply) {
                           tests::scripted_reply scripted { std::move(reply) };
                           if (!request.target.starts_with("/ledger/report"))
                               return scripted;
                           std::lock_guard const lock(mutex);
                           ++runCount;
                           record.write("leaf " + leaf.id + " runs " + request.attemptId);
                           scripted.bytes = "HTTP/1.1 200 OK\r\nZinnialedge-Attempt-Id: " + request.attemptId + "\r\nZinnialedge-Server-Seal: " + leaf.id + "." + request.attemptId + "\r\nContent-Length: " + std::to_string(reportBytes) + "\r\n\r\n" + std::string(reportBytes, 'r');
                           return scripted;
                       } };
    for (auto const* const zone : { "suva-north", "suva-south", "nausori", "lami" })
        system.addLeaf("billing-ledger", zone);
    system.configure(makeConfiguration(1, { serviceRoute("reports", "/ledger/", "idempotent", "billing-ledger") }, { "billing-ledger" }));
    system.startAll();
    if (!system.waitUntilReady()) {
        record.write("the machines did not become ready");
        return exitNotRun;
    }
    std::this_thread::sleep_for(seconds { 5 });

    std::size_t complete = 0;
    std::size_t lost = 0;
    std::size_t others = 0;
    auto const runClient = [&](std::size_t client, std::size_t count) {
        line_client const line { system.machines()[0].address, system.clientPort() };
        line.fetch("/ledger/small", "small" + std::to_string(client));
        for (std::size_t round = 0; round < count; ++round) {
            auto const attemptId = "report" + std::to_string(client) + "-" + std::to_string(round);
            auto const report = line.fetch("/ledger/report" + std::to_string(client), attemptId);
            std::lock_guard const lock(mutex);
            record.write("client got " + std::to_string(report.received) + " bytes for " + attemptId + ", status " + std::to_string(report.status) + (report.isComplete ? "" : report.wasClosed ? ", and the connection was closed"
                                                                                                                                                                                                : ", and its time was over"));
            // A complete refusal is an answer.
            complete += report.isComplete ? 1 : 0;
            lost += report.wasClosed ? 1 : 0;
            others += !report.isComplete && !report.wasClosed ? 1 : 0;
            if (!report.isComplete)
                return;
        }
    };
    if (isTroubleWanted()) {
        std::vector<std::thread> clients;
        clients.reserve(clientCount);
        for (std::size_t client = 0; client < clientCount; ++client)
            clients.emplace_back(runClient, client, rounds);
        for (auto& each : clients)
            each.join();
    } else {
        // As many clients, four at a time.
        static constexpr std::size_t atATime = 4;
        for (std::size_t first = 0; first < clientCount; first += atATime) {
            std::vector<std::thread> clients;
            clients.reserve(atATime);
            for (std::size_t client = first; client < first + atATime; ++client)
                clients.emplace_back(runClient, client, rounds);
            for (auto& each : clients)
                each.join();
        }
    }
    auto const verdict = "reports: " + std::to_string(runCount) + " run by leafs, " + std::to_string(complete) + " answered, " + std::to_string(lost) + " cut by the machine (allowed: " + std::to_string(allowedLosses) + "), " + std::to_string(others) + " not received in time";
    record.write(verdict);
    std::cout << verdict << "\n";
    if (runCount == 0)
        return exitNotRun;
    return lost > allowedLosses ? exitBroken : exitHeld;
}
