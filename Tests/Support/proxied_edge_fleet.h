#pragma once

#include "Tests/Support/loopback_proxy.h"
#include "Tests/Support/small_edge_fleet.h"
#include <boost/asio/executor_work_guard.hpp>
#include <thread>

namespace zinnialedge::tests {

/// Daemons that reach their leafs through proxies, so that single daemons can lose their links to all leafs. There is one leaf for each
/// of four shards and two leafs for the service "desk".
class proxied_edge_fleet : public edge_fleet {
public:
    using reply_hook = std::function<scripted_reply(std::string const&)>;

    /// `dataCentres` has one entry for each daemon.
    explicit proxied_edge_fleet(std::vector<std::string> const& dataCentres, bool isSingleRepeatable = false, reply_hook reply = replySuccessfully);
    ~proxied_edge_fleet();

    /// Changes the links of one daemon to all leafs.
    void setLinks(std::size_t daemon, link_state);
    void restoreLinks(std::size_t daemon);
    /// Returns the requests that the leafs of the service have received, without status requests.
    std::vector<std::string> requestsOf(std::string const& service) const;

private:
    struct proxied_leaf {
        std::string service;
        std::unique_ptr<scripted_leaf> leaf;
        std::unique_ptr<loopback_proxy> proxy;
    };

    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard { m_context.get_executor() };
    std::vector<proxied_leaf> m_leafs;
    std::thread m_proxyThread;
};

}
