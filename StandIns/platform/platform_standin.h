#pragma once

#include "Libraries/zinnialedge/wire/http_server.h"
#include "StandIns/platform/object_store.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>

namespace zinnialedge::stand_ins::platform {

/// Injected faults, which can be changed while the stand-in runs.
struct platform_faults {
    /// True when no request except /faults and /counts is answered, so that each call ends by the caller's timeout.
    bool isUnresponsive { false };
    /// True when every request except /faults and /counts fails immediately with status 503.
    bool isFailing { false };
    /// True when watches are not answered. All other requests are served.
    bool areWatchesUnanswered { false };
    std::chrono::milliseconds delay { 0 };
    /// Number of upcoming writes that take effect but whose responses are lost.
    std::uint64_t remainingRepliesToDrop { 0 };
};

struct platform_counts {
    std::uint64_t reads { 0 };
    std::uint64_t writes { 0 };
    std::uint64_t watches { 0 };
    std::uint64_t droppedReplies { 0 };
};

/// Simulates the platform over HTTP: the object store with its watches, and the list of VMs.
class platform_standin {
public:
    static errors::error_or<std::unique_ptr<platform_standin>> create(boost::asio::io_context&, model::endpoint const&);

    std::uint16_t port() const { return m_server->port(); }

private:
    struct pending_watch {
        std::uint64_t after { 0 };
        std::string prefix;
        wire::http_responder respond;
        boost::asio::steady_timer timer;
    };

    explicit platform_standin(boost::asio::io_context&);
    void handle(wire::http_request const&, wire::http_responder const&);
    void serve(wire::http_request const&, wire::http_responder const&);
    void serveObject(wire::http_request const&, std::string const& key, wire::http_responder const&);
    void serveWrite(wire::http_request const&, std::string const& key, wire::http_responder const&);
    void serveWatch(wire::http_request const&, wire::http_responder const&);
    void serveVmList(wire::http_request const&, wire::http_responder const&);
    void changeFaults(wire::http_request const&, wire::http_responder const&);
    void sendCounts(wire::http_responder const&) const;
    void completeWatches();

    boost::asio::io_context& m_context;
    std::unique_ptr<wire::http_server> m_server;
    object_store m_store;
    platform_faults m_faults;
    platform_counts m_counts;
    std::list<pending_watch> m_pendingWatches;
    /// Responders of requests that are never answered. The responders are kept, because destroying them would close the
    /// connections.
    std::vector<wire::http_responder> m_unansweredResponders;
    std::string m_vmListJson { R"({"vms":[]})" };
};

}
