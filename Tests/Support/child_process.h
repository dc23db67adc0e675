#pragma once

#include <chrono>
#include <condition_variable>
#include <csignal>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace zinnialedge::tests {

/// A child process of a test. The destructor sends SIGKILL to the process id if the process still runs.
class child_process {
public:
    /// Starts `program` from `folder`. If that is empty, the environment variable ZINNIALEDGE_PROGRAMS names the folder, by default
    /// `build`.
    child_process(std::string const& program, std::vector<std::string> const& arguments, std::string const& folder = {});
    ~child_process();
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    /// Waits until the process has written a line that contains `text` to standard output or standard error.
    /// Returns the line, or nothing when the output ends or the timeout expires first.
    std::optional<std::string> waitForLine(std::string const& text, std::chrono::milliseconds timeout = defaultTimeout);
    /// Returns every line that the process has written so far.
    std::vector<std::string> lines();
    void signal(int signalNumber) const;
    /// Sends SIGSTOP and waits until every thread has stopped, since on a busy machine some threads run on for a while.
    void pause() const;
    /// Returns the exit code, or the negated number of the signal that ended the process, or nothing when the process still
    /// runs after the timeout.
    std::optional<int> waitForExit(std::chrono::milliseconds timeout = defaultTimeout);
    int id() const { return m_processId; }
    /// Reads no output until the end of the process, which can write only a few lines more.
    void stopReading();
    /// Returns the name, the state and the place in the kernel of each thread, a line each.
    std::vector<std::string> threadStates() const;

    static constexpr std::chrono::milliseconds defaultTimeout { 30'000 };

private:
    void readOutputLines(int descriptor);
    void reap();
    void awaitOutputEnd();

    int m_processId { -1 };
    std::optional<int> m_exitCode;
    std::thread m_outputReader;
    std::mutex m_mutex;
    std::condition_variable m_outputChanged;
    std::vector<std::string> m_outputLines;
    int m_outputDescriptor { -1 };
    bool m_hasOutputEnded { false };
    bool m_isReadingStopped { false };
};

/// Returns the value of `key` in a log line of "key=value" fields, or an empty string.
std::string logFieldValue(std::string const& line, std::string const& key);

}
