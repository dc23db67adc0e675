#include "Libraries/zinnialedge/wire/http_server.h"
#include "Libraries/zinnialedge/wire/leaf_codec.h"
#include "Services/targets/leaf_pool.h"
#include <boost/asio/io_context.hpp>

// CppUTest defines a macro `new` that breaks library headers, so its header is included last.
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using services::targets::leaf_pool;

TEST_GROUP(LeafPool)
{
    boost::asio::io_context m_context;
    std::unique_ptr<wire::http_server> m_leaf;
    std::shared_ptr<leaf_pool> m_pool;
    unsigned m_statusRequestCount { 0 };
    unsigned m_statusReportCount { 0 };
    unsigned m_endedCallCount { 0 };

    void setup() override
    {
        auto listening = wire::http_server::listen(m_context, { "127.0.0.1", 0 }, {}, [this](wire::http_request const& request, wire::http_responder const& respond) { answer(request, respond); });
        CHECK(listening.has_value());
        m_leaf = std::move(*listening);
        services::targets::leaf_pool_hooks hooks {
            kernel::makeSteadyClock(),
            [this](queries::leaf_call_ended const&) { ++m_endedCallCount; },
            [this](queries::leaf_status_received const&) { ++m_statusReportCount; },
        };
        m_pool = std::make_shared<leaf_pool>(m_context, 0, model::endpoint { "127.0.0.1", m_leaf->port() }, "test-", std::move(hooks));
        m_pool->resize(1);
        runUntil([this] { return m_statusReportCount == 1; });
    }

    void teardown() override
    {
        m_pool->resize(0);
        m_leaf->cutConnections();
        m_context.poll();
    }

    void answer(wire::http_request const& request, wire::http_responder const& respond)
    {
        queries::leaf_status const status { { 1 }, { 1 }, 0, false };
        if (request.target == "/status") {
            ++m_statusRequestCount;
            respond({ 200, wire::formatLeafStatus(status), {} });
            return;
        }
        respond({ 200, wire::formatLeafAnswer(*wire::parseLeafCall(request.body), status, {}), {} });
    }

    void runUntil(std::function<bool()> const& condition)
    {
        auto const deadline = std::chrono::steady_clock::now() + std::chrono::seconds { 30 };
        while (!condition() && std::chrono::steady_clock::now() < deadline)
            m_context.run_one_for(std::chrono::milliseconds { 100 });
        CHECK(condition());
    }

    void send(queries::call_id id)
    {
        queries::send_leaf_call call;
        call.call = id;
        call.pin = { 1, 1 };
        call.deadline = std::chrono::steady_clock::now() + std::chrono::seconds { 30 };
        call.request = std::make_shared<model::query_request const>();
        m_pool->send(call);
    }

    void callOnce()
    {
        auto const id = m_endedCallCount + 1;
        send(id);
        runUntil([this, id] { return m_endedCallCount == id; });
    }
};

TEST(LeafPool, RefreshOfIdleLeafSendsStatusRequest)
{
    m_pool->refresh();
    runUntil([this] { return m_statusReportCount == 2; });
    LONGS_EQUAL(2, m_statusRequestCount);
}

TEST(LeafPool, ResizeToZeroFailsQueuedCallsAsNotSent)
{
    send(1);
    send(2);
    m_pool->resize(0);
    LONGS_EQUAL(1, m_endedCallCount);
    runUntil([this] { return m_endedCallCount == 2; });
    CHECK(m_pool->isClosed());
}

TEST(LeafPool, RefreshAfterReplySendsNoStatusRequest)
{
    callOnce();
    m_pool->refresh();
    // A status request would occupy the only connection, so the next call would end after the status request.
    callOnce();
    LONGS_EQUAL(1, m_statusRequestCount);
    m_pool->refresh();
    m_pool->refresh();
    runUntil([this] { return m_statusReportCount == 2; });
    LONGS_EQUAL(2, m_statusRequestCount);
}
