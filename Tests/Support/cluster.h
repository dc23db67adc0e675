#pragma once

#include "Libraries/zinnialedge/configuration/object_cache.h"
#include "Libraries/zinnialedge/membership/daemon_record.h"
#include "Libraries/zinnialedge/model/query.h"
#include "Libraries/zinnialedge/model/service_declaration.h"
#include "StandIns/target/leaf_settings.h"
#include "Tests/Support/child_process.h"
#include "Tests/Support/http_call.h"
#include <filesystem>
#include <functional>
#include <map>
#include <memory>

namespace zinnialedge::tests {

/// A service to start: the declaration without targets, and the settings of its leafs.
struct service_plan {
    model::service_declaration declaration;
    std::uint32_t leafsPerShard { 2 };
    stand_ins::target::leaf_settings leaf;
    /// Whether each leaf runs as a separate process, so that a test can kill or freeze a single leaf.
    bool isProcessPerLeaf { false };
};

/// A leaf of a started service, the endpoint where the leaf listens and the process that runs the leaf.
struct running_leaf {
    std::string name;
    std::uint32_t shard { 0 };
    model::endpoint place;
    std::shared_ptr<child_process> process;
};

/// A started daemon, and its endpoints for callers, operators and peers.
struct running_daemon {
    std::string name;
    model::endpoint callers;
    model::endpoint operators;
    model::endpoint peers;
    std::shared_ptr<child_process> process;
};

/// Real processes on loopback: one platform stand-in, leafs and daemons. The destructor ends all processes.
class cluster {
public:
    cluster();
    ~cluster();

    model::endpoint const& platform() const { return m_platformEndpoint; }
    child_process& platformProcess() { return *m_platformProcess; }
    /// Starts the leafs of the service and declares the service in the store.
    std::vector<running_leaf>& startService(service_plan);
    std::vector<running_leaf>& leafsOf(std::string const& service) { return m_leafsByService.at(service); }
    model::service_declaration const& declarationOf(std::string const& service) const { return m_declarationsByService.at(service); }
    /// Writes a new or changed declaration to the store.
    void declare(model::service_declaration const&);
    /// Starts a daemon. `adjustSettings` may change the settings object before the daemon starts.
    running_daemon& startDaemon(std::string const& name, std::string const& partner, std::string const& dataCentre, std::function<void(boost::json::object&)> const& adjustSettings = {});
    running_daemon& daemon(std::string const& name) { return m_daemonsByName.at(name); }
    /// Waits until the daemon reports every leaf of the service as serving. Returns false when the wait times out.
    bool waitForLeafs(running_daemon const&, std::string const& service);
    void setLeafFaults(running_leaf const&, boost::json::value const& faults) const;
    void setPlatformFaults(boost::json::value const& faults) const;
    std::filesystem::path const& folder() const { return m_folder; }

private:
    std::shared_ptr<child_process> startLeafProcess(std::string const& name, std::vector<stand_ins::target::leaf_settings> const&, std::vector<running_leaf>&);
    std::string writeFile(std::string const& name, std::string const& text) const;

    std::filesystem::path m_folder;
    std::shared_ptr<child_process> m_platformProcess;
    model::endpoint m_platformEndpoint;
    std::map<std::string, std::vector<running_leaf>> m_leafsByService;
    std::map<std::string, model::service_declaration> m_declarationsByService;
    std::map<std::string, running_daemon> m_daemonsByName;
};

/// Sends a query to a daemon and parses the answer. Returns an `internal` error when the connection fails.
model::answer_or_error query(model::endpoint const& daemon, model::query_request const&);
/// Returns the ticket prefix that the directory of a daemon issues for the service.
std::string ticketPrefix(model::endpoint const& daemon, std::string const& service);

/// Plans of the services that the partners run today, at their present sizes.
service_plan lunchPortalPlan();
service_plan kitchenDeskPlan();
service_plan kerbsideAppPlan();
service_plan permitDeskPlan();
/// Returns the plan of a service with few shards and a separate process for each leaf.
service_plan smallPlan(std::string const& name, std::string const& partner, std::uint32_t shards);

/// Sends an object, which may be outdated, over a peer connection, as a daemon does that was cut off for a while.
void sendToPeer(model::endpoint const& peer, configuration::stored_object);

}
