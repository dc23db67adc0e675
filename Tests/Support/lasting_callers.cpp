#include "Tests/Support/lasting_callers.h"

namespace zinnialedge::tests {

using namespace std::chrono_literals;

/// A connection that ends sooner after the request was sent may have been closed before the daemon read it.
static constexpr auto crossingTime = 200ms;
static constexpr int unavailableStatus = 503;

lasting_callers::lasting_callers(model::endpoint const& endpoint, std::size_t count, std::function<std::string(std::string const& id)> const& makeRequest)
{
    m_threads.reserve(count);
    for (std::size_t number = 0; number < count; ++number)
        m_threads.emplace_back([this, endpoint, number, makeRequest] { callLoop(endpoint, number, makeRequest); });
}

lasting_callers::~lasting_callers()
{
    stop();
}

std::vector<caller_outcome> lasting_callers::stop()
{
    m_shouldStop = true;
    for (auto& each : m_threads)
        each.join();
    m_threads.clear();
    return std::move(m_outcomes);
}

void lasting_callers::callLoop(model::endpoint const& endpoint, std::size_t number, std::function<std::string(std::string const&)> const& makeRequest)
{
    persistent_connection kept { endpoint };
    for (std::size_t count = 0; !m_shouldStop; ++count) {
        caller_outcome outcome { "c" + std::to_string(number) + "-" + std::to_string(count), std::chrono::steady_clock::now(), {}, {} };
        auto const bytes = makeRequest(outcome.id);
        outcome.answer = number % 2 == 0 ? kept.ask(bytes) : sendOverNewConnection(endpoint, bytes);
        outcome.endedAt = std::chrono::steady_clock::now();
        bool const isAnswered = !outcome.answer.isTruncated;
        {
            std::scoped_lock const lock { m_mutex };
            m_outcomes.push_back(std::move(outcome));
        }
        std::this_thread::sleep_for(isAnswered ? 1ms : 5ms);
    }
}

std::vector<std::string> findCutRequests(std::vector<caller_outcome> const& outcomes, received_attempts const& received)
{
    std::vector<std::string> cut;
    for (auto const& each : outcomes) {
        if (each.answer.isTruncated && (received.contains(each.id) || each.endedAt - each.sentAt > crossingTime))
            cut.push_back(each.id);
    }
    return cut;
}

std::vector<std::string> findFalseRejections(std::vector<caller_outcome> const& outcomes, received_attempts const& received)
{
    std::vector<std::string> rejected;
    for (auto const& each : outcomes) {
        if (each.answer.status == unavailableStatus && received.contains(each.id))
            rejected.push_back(each.id);
    }
    return rejected;
}

}
