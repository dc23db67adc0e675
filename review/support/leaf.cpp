#include "review/support/leaf.h"

#include <algorithm>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

static constexpr milliseconds stopCheckInterval { 100 };
/// Time for the rest of a request whose first bytes have come.
static constexpr milliseconds messageTime { 5000 };
static constexpr milliseconds workStep { 10 };
static constexpr unsigned queueLength = 16;
static constexpr milliseconds idleTimeout { 15'000 };

leaf::leaf(leaf_options options, store& platform, record& to)
    : m_options(std::move(options))
    , m_store(platform)
    , m_record(to)
    , m_listener(listenOn(m_options.address, 0))
    , m_address(boundAddress(m_listener))
    , m_born(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
{
    writeEntry();
    m_acceptor = std::thread { [this] {
        while (!m_isStopping) {
            pollfd waiting { m_listener, POLLIN, 0 };
            if (::poll(&waiting, 1, static_cast<int>(stopCheckInterval.count())) <= 0)
                continue;
            int const accepted = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            std::lock_guard const lock(m_threadsMutex);
            m_threads.emplace_back([this, accepted] { serve(connection { accepted }); });
        }
    } };
}

leaf::~leaf()
{
    stop();
}

void leaf::stop()
{
    if (m_isStopping.exchange(true))
        return;
    m_slotFreed.notify_all();
    m_acceptor.join();
    for (auto& each : m_threads)
        each.join();
    ::close(m_listener);
}

void leaf::writeEntry()
{
    m_store.put("servers", m_options.id, { { "service", m_options.service }, { "address", m_address }, { "zone", m_options.zone }, { "version", "v1" }, { "max_concurrency", m_options.slots }, { "state", m_isLeaving ? "draining" : "ready" }, { "warmup_left_ms", 0 }, { "sequence", ++m_sequence }, { "born", m_born } });
}

void leaf::beat()
{
    writeEntry();
}

void leaf::drain()
{
    m_isLeaving = true;
    writeEntry();
}

std::vector<leaf_run> leaf::runs()
{
    std::lock_guard const lock(m_mutex);
    return m_runs;
}

void leaf::serve(connection client)
{
    auto idleUntil = clock::now() + idleTimeout;
    while (!m_isStopping && clock::now() < idleUntil) {
        auto const request = client.readNext(stopCheckInterval, messageTime);
        if (!request) {
            if (client.hasEnded())
                return;
            continue;
        }
        auto const answer = handle(client, *request);
        if (answer.empty() || !client.write(answer))
            return;
        idleUntil = clock::now() + idleTimeout;
    }
}

/// Returns the answer, or nothing when the connection is no longer to be served.
std::string leaf::handle(connection& client, http_message const& request)
{
    auto const attemptId = request.header("zinnialedge-attempt-id");
    std::multimap<std::string, std::string> headers { { "Zinnialedge-Instance-Id", m_options.id }, { "Keep-Alive", "timeout=15" } };
    if (!attemptId.empty())
        headers.emplace("Zinnialedge-Attempt-Id", attemptId);
    if (m_isLeaving)
        headers.emplace("Server-Leaving", "1");
    auto const target = request.header("zinnialedge-target-instance");
    if (!target.empty() && target != m_options.id) {
        headers.emplace("Zinnialedge-Not-Executed", "1");
        return formatResponse(421, headers, {});
    }
    if (request.target() == "/health")
        return formatResponse(m_isLeaving ? 503 : 200, headers, {});
    std::size_t index = 0;
    {
        std::unique_lock lock(m_mutex);
        if (m_running >= m_options.slots && m_waiting >= queueLength) {
            headers.emplace("Zinnialedge-Not-Executed", "1");
            return formatResponse(503, headers, {});
        }
        ++m_waiting;
        m_slotFreed.wait(lock, [this] { return m_running < m_options.slots || m_isStopping; });
        --m_waiting;
        ++m_running;
        index = m_runs.size();
        m_runs.push_back({ .attemptId = attemptId, .leaf = m_options.id, .beganAt = clock::now(), .method = request.method(), .target = request.target(), .body = request.body });
    }
    m_record.write("leaf " + m_options.id + " runs " + attemptId);
    auto const endsAt = clock::now() + m_options.workTime(request);
    bool isDropped = false;
    while (clock::now() < endsAt && !m_isStopping && !isDropped) {
        std::this_thread::sleep_for(std::min<clock::duration>(workStep, endsAt - clock::now()));
        isDropped = client.isClosedByPeer();
    }
    headers.emplace("Zinnialedge-Server-Seal", "seal." + m_options.id + "." + attemptId);
    {
        std::lock_guard const lock(m_mutex);
        --m_running;
        headers.emplace("Zinnialedge-Server-Load", std::to_string(m_running) + "," + std::to_string(m_waiting) + "," + std::to_string(m_options.slots));
        m_runs[index].endedAt = clock::now();
        m_runs[index].wasDropped = isDropped;
    }
    m_slotFreed.notify_one();
    m_record.write("leaf " + m_options.id + (isDropped ? " drops " : " answers ") + attemptId);
    if (isDropped)
        return {};
    auto answer = formatResponse(200, headers, m_options.makeBody(request));
    if (m_options.onAnswer && !m_options.onAnswer(client, request, answer))
        return {};
    return answer;
}

}
