#include "Tests/Support/crowd.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>

namespace zinnialedge::tests {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

static constexpr std::size_t blockBytes = 65'536;
/// A crowd without progress for so long has settled.
static constexpr auto quietTime = 1500ms;
static constexpr auto maximumSettlingTime = 60s;
static constexpr auto settlingCheckInterval = 20ms;

struct crowd::connection {
    explicit connection(asio::io_context& context)
        : socket(context)
    {
    }

    tcp::socket socket;
    bool hasSentStart { false };
    std::size_t repeatedByteCount { 0 };
    bool hasSentEnd { false };
};

static std::string makeBlock(std::string const& repeated)
{
    std::string block;
    while (!repeated.empty() && block.size() < blockBytes)
        block += repeated;
    return block;
}

crowd::crowd(crowd_plan plan)
    : m_plan(std::move(plan))
    , m_block(makeBlock(m_plan.repeated))
    , m_unfinishedCount(m_plan.connectionCount)
{
    for (std::size_t index = 0; index < m_plan.connectionCount; ++index) {
        auto const created = std::make_shared<connection>(m_context);
        m_connections.push_back(created);
        error_code ignored;
        created->socket.open(tcp::v4(), ignored);
        if (m_plan.receiveBufferBytes > 0)
            created->socket.set_option(asio::socket_base::receive_buffer_size(m_plan.receiveBufferBytes), ignored);
        created->socket.async_connect({ asio::ip::make_address(m_plan.endpoint.address), m_plan.endpoint.port }, [this, created](error_code failure) {
            ++m_stepCount;
            if (failure)
                --m_unfinishedCount;
            else
                send(created);
        });
    }
    m_thread = std::thread([this] { m_context.run(); });
}

crowd::~crowd()
{
    m_context.stop();
    m_thread.join();
}

void crowd::send(std::shared_ptr<connection> const& origin)
{
    auto const* next = &m_plan.start;
    if (std::exchange(origin->hasSentStart, true)) {
        next = nullptr;
        if (!m_block.empty() && origin->repeatedByteCount < m_plan.maximumRepeatedBytes) {
            origin->repeatedByteCount += m_block.size();
            next = &m_block;
        } else if (!std::exchange(origin->hasSentEnd, true)) {
            next = &m_plan.end;
        }
    }
    if (!next) {
        --m_unfinishedCount;
        return;
    }
    asio::async_write(origin->socket, asio::buffer(*next), [this, origin](error_code failure, std::size_t bytes) {
        ++m_stepCount;
        m_sentByteCount += bytes;
        if (failure)
            --m_unfinishedCount;
        else
            send(origin);
    });
}

void crowd::waitUntilSettled() const
{
    auto const now = [] { return std::chrono::steady_clock::now(); };
    auto const end = now() + maximumSettlingTime;
    auto lastStepAt = now();
    std::size_t stepCount = 0;
    while (now() < end && now() - lastStepAt < quietTime) {
        if (stepCount != m_stepCount) {
            stepCount = m_stepCount;
            lastStepAt = now();
        }
        // What was sent last is still on its way when all has been sent.
        std::this_thread::sleep_for(m_unfinishedCount == 0 ? quietTime : settlingCheckInterval);
    }
}

}
