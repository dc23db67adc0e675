#pragma once

#include "review/support/record.h"
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

struct edge_options {
    std::string name;
    std::string address;
    std::string zone;
    std::string store;
    std::vector<std::string> seeds;
    /// Folder for the settings and the log.
    std::string folder;
    /// Ports are the same on all machines.
    unsigned firstPort { 0 };
    int stopSeconds { 6 };
    /// Further settings, each a line that begins with a comma.
    std::string furtherSettings {};
};

/// A machine's process of the role edge, started with the command of the deploy file.
class edge_process {
public:
    explicit edge_process(edge_options);
    ~edge_process();
    edge_process(edge_process const&) = delete;
    edge_process& operator=(edge_process const&) = delete;

    bool start();
    void signal(int number) const;
    /// Waits for the end of the process and returns whether it ended in time.
    bool waitForEnd(time_point until);
    /// Wait status of a process that has ended by itself, as of waitpid(); -1 while it runs.
    int endStatus() const { return m_endStatus; }
    bool isReady() const;
    std::string callers() const { return m_options.address + ":" + std::to_string(m_options.firstPort); }
    std::string directory() const { return m_options.address + ":" + std::to_string(m_options.firstPort + 1); }
    std::string const& name() const { return m_options.name; }
    pid_t pid() const { return m_pid; }

private:
    std::string readiness() const { return m_options.address + ":" + std::to_string(m_options.firstPort + 2); }
    std::string settingsFile() const { return m_options.folder + "/" + m_options.name + ".json"; }
    void writeSettings() const;

    edge_options m_options;
    pid_t m_pid { -1 };
    int m_endStatus { -1 };
};

bool waitUntilReady(std::vector<edge_process*> const& processes, milliseconds limit);

/// Asks a directory; returns the addresses, or nothing on failure.
std::vector<std::string> resolve(std::string const& directory, std::string const& host, std::string const& zone);

}
