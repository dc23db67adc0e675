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

/// A program that a test started. It is killed, by its id, when the object goes.
class child_process {
public:
    /// `program` is the name of one of our programs, in the folder that ZINNIALEDGE_PROGRAMS names.
    child_process(std::string const& program, std::vector<std::string> const& arguments);
    ~child_process();
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    /// Waits until it has written a line with that text to standard output or error. Returns the line.
    std::optional<std::string> waitForLine(std::string const& text, std::chrono::milliseconds timeout = defaultTimeout);
    /// Every line of its output so far.
    std::vector<std::string> lines();
    void signal(int number) const;
    /// Sends SIGSTOP and waits until every thread has stopped: a busy machine may run some of them for a while.
    void pause() const;
    /// The exit code, or minus the signal; nothing when it still runs after the timeout.
    std::optional<int> waitForExit(std::chrono::milliseconds timeout = defaultTimeout);
    int id() const { return m_id; }

    static constexpr std::chrono::milliseconds defaultTimeout { 30'000 };

private:
    void readLines(int descriptor);
    void reap();

    int m_id { -1 };
    std::optional<int> m_exitCode;
    std::thread m_reader;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::string> m_lines;
    bool m_isAtEnd { false };
};

/// The value of "key=value" in a log line.
std::string fieldOf(std::string const& line, std::string const& key);

}
