#include "Tests/Soak/loopback_proxy.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace zinnialedge::tests::soak {

namespace asio = boost::asio;
using asio::ip::tcp;

static constexpr std::chrono::milliseconds heldCheck { 20 };
static constexpr std::chrono::milliseconds delay { 40 };

struct loopback_proxy::link {
    explicit link(asio::io_context& context, tcp::socket accepted)
        : caller(std::move(accepted))
        , target(context)
    {
    }

    tcp::socket caller;
    tcp::socket target;
    std::array<std::array<char, 16'384>, 2> buffers {};
    bool isEnded { false };
};

loopback_proxy::loopback_proxy(asio::io_context& context, model::endpoint target)
    : m_context(context)
    , m_target(std::move(target))
    , m_acceptor(context, tcp::endpoint { asio::ip::make_address("127.0.0.1"), 0 })
{
    accept();
}

model::endpoint loopback_proxy::place() const
{
    return { "127.0.0.1", m_acceptor.local_endpoint().port() };
}

void loopback_proxy::resetAll()
{
    asio::post(m_context, [this] {
        for (auto const& each : std::set { m_links }) {
            boost::system::error_code ignored;
            each->caller.set_option(asio::socket_base::linger(true, 0), ignored);
            each->target.set_option(asio::socket_base::linger(true, 0), ignored);
            remove(each);
        }
    });
}

void loopback_proxy::remove(std::shared_ptr<link> const& ended)
{
    if (std::exchange(ended->isEnded, true))
        return;
    boost::system::error_code ignored;
    ended->caller.close(ignored);
    ended->target.close(ignored);
    m_links.erase(ended);
}

void loopback_proxy::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code failure, tcp::socket accepted) {
        if (failure)
            return;
        auto const made = std::make_shared<link>(m_context, std::move(accepted));
        m_links.insert(made);
        made->target.async_connect({ asio::ip::make_address(m_target.address), m_target.port }, [this, made](boost::system::error_code refused) {
            if (refused) {
                remove(made);
                return;
            }
            boost::system::error_code ignored;
            made->caller.set_option(tcp::no_delay(true), ignored);
            made->target.set_option(tcp::no_delay(true), ignored);
            pump(made, true);
            pump(made, false);
        });
        accept();
    });
}

void loopback_proxy::pump(std::shared_ptr<link> const& over, bool isTowardsTarget)
{
    auto& from = isTowardsTarget ? over->caller : over->target;
    from.async_read_some(asio::buffer(over->buffers[isTowardsTarget ? 0 : 1]), [this, over, isTowardsTarget](boost::system::error_code failure, std::size_t bytes) {
        if (failure)
            remove(over);
        else
            forward(over, isTowardsTarget, bytes);
    });
}

bool loopback_proxy::isHeld(bool isTowardsTarget) const
{
    auto const state = m_state.load();
    return state == link_state::silent || (state == link_state::cut_one_way && !isTowardsTarget);
}

void loopback_proxy::forward(std::shared_ptr<link> const& over, bool isTowardsTarget, std::size_t bytes)
{
    if (over->isEnded)
        return;
    if (isHeld(isTowardsTarget) || m_state == link_state::delayed) {
        bool const isDelay = !isHeld(isTowardsTarget);
        auto const timer = std::make_shared<asio::steady_timer>(m_context, isDelay ? delay : heldCheck);
        timer->async_wait([this, timer, over, isTowardsTarget, bytes, isDelay](boost::system::error_code) {
            if (!isDelay || m_state != link_state::delayed) {
                forward(over, isTowardsTarget, bytes);
                return;
            }
            auto& to = isTowardsTarget ? over->target : over->caller;
            asio::async_write(to, asio::buffer(over->buffers[isTowardsTarget ? 0 : 1].data(), bytes), [this, over, isTowardsTarget](boost::system::error_code failure, std::size_t) { failure ? remove(over) : pump(over, isTowardsTarget); });
        });
        return;
    }
    auto& to = isTowardsTarget ? over->target : over->caller;
    asio::async_write(to, asio::buffer(over->buffers[isTowardsTarget ? 0 : 1].data(), bytes), [this, over, isTowardsTarget](boost::system::error_code failure, std::size_t) { failure ? remove(over) : pump(over, isTowardsTarget); });
}

}
