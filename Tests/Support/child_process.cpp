#include "Tests/Support/child_process.h"

#include "Kernel/verify.h"
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <poll.h>
#include <spawn.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace zinnialedge::tests {

static std::string programPath(std::string const& program, std::string const& folder)
{
    if (!folder.empty())
        return folder + "/" + program;
    auto const* programFolder = std::getenv("ZINNIALEDGE_PROGRAMS");
    return (programFolder ? std::string { programFolder } : std::string { "build" }) + "/" + program;
}

child_process::child_process(std::string const& program, std::vector<std::string> const& arguments, std::string const& folder)
{
    int pipeEnds[2] = { -1, -1 };
    auto const pipeResult = ::pipe2(pipeEnds, O_CLOEXEC);
    VERIFY(pipeResult == 0);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDERR_FILENO);
    // Sockets of the test that the process inherited would stay open when the test closes them.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    auto const path = programPath(program, folder);
    std::vector<char*> argumentPointers { const_cast<char*>(path.c_str()) };
    for (auto const& argument : arguments)
        argumentPointers.push_back(const_cast<char*>(argument.c_str()));
    argumentPointers.push_back(nullptr);
    auto const spawnError = ::posix_spawn(&m_processId, path.c_str(), &actions, nullptr, argumentPointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    ::close(pipeEnds[1]);
    if (spawnError != 0)
        std::fprintf(stderr, "failed to start %s\n", path.c_str());
    VERIFY(spawnError == 0);
    m_outputDescriptor = pipeEnds[0];
    m_outputReader = std::thread([this] { readOutputLines(m_outputDescriptor); });
}

child_process::~child_process()
{
    if (!m_exitCode) {
        ::kill(m_processId, SIGKILL);
        reap();
    }
    m_outputReader.join();
}

void child_process::readOutputLines(int descriptor)
{
    std::FILE* const stream = ::fdopen(descriptor, "r");
    VERIFY(stream);
    char* line = nullptr;
    std::size_t capacity = 0;
    while (::getline(&line, &capacity, stream) > 0) {
        std::string text { line };
        if (text.ends_with('\n'))
            text.pop_back();
        std::unique_lock lock(m_mutex);
        m_outputLines.push_back(std::move(text));
        m_outputChanged.notify_all();
        m_outputChanged.wait(lock, [this] { return !m_isReadingStopped || m_exitCode; });
    }
    std::free(line);
    std::fclose(stream);
    std::lock_guard const lock(m_mutex);
    m_hasOutputEnded = true;
    m_outputChanged.notify_all();
}

std::optional<std::string> child_process::waitForLine(std::string const& text, std::chrono::milliseconds timeout)
{
    std::unique_lock lock(m_mutex);
    std::size_t checkedLineCount = 0;
    std::optional<std::string> found;
    m_outputChanged.wait_for(lock, timeout, [&] {
        for (; checkedLineCount < m_outputLines.size() && !found; ++checkedLineCount) {
            if (m_outputLines[checkedLineCount].find(text) != std::string::npos)
                found = m_outputLines[checkedLineCount];
        }
        return found || m_hasOutputEnded;
    });
    return found;
}

std::vector<std::string> child_process::lines()
{
    std::lock_guard const lock(m_mutex);
    return m_outputLines;
}

void child_process::pause() const
{
    signal(SIGSTOP);
    siginfo_t info {};
    auto const waitResult = ::waitid(P_PID, static_cast<id_t>(m_processId), &info, WSTOPPED);
    VERIFY(waitResult == 0);
}

void child_process::signal(int signalNumber) const
{
    if (!m_exitCode)
        ::kill(m_processId, signalNumber);
}

void child_process::stopReading()
{
    static constexpr int smallPipeBytes = 4096;
    std::lock_guard const lock(m_mutex);
    ::fcntl(m_outputDescriptor, F_SETPIPE_SZ, smallPipeBytes);
    m_isReadingStopped = true;
}

std::vector<std::string> child_process::threadStates() const
{
    std::vector<std::string> states;
    std::error_code failure;
    for (auto const& thread : std::filesystem::directory_iterator { "/proc/" + std::to_string(m_processId) + "/task", failure }) {
        std::string line;
        for (auto const* const name : { "stat", "wchan", "syscall" }) {
            std::string text;
            std::getline(std::ifstream { thread.path() / name }, text);
            // The fields after the state and the parents are numbers of no use here.
            line += std::string { line.empty() ? "" : " | " } + text.substr(0, 60);
        }
        states.push_back(std::move(line));
    }
    return states;
}

void child_process::reap()
{
    int status = 0;
    ::waitpid(m_processId, &status, 0);
    std::lock_guard const lock(m_mutex);
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    m_outputChanged.notify_all();
}

void child_process::awaitOutputEnd()
{
    std::unique_lock lock(m_mutex);
    m_outputChanged.wait(lock, [this] { return m_hasOutputEnded; });
}

std::optional<int> child_process::waitForExit(std::chrono::milliseconds timeout)
{
    if (m_exitCode)
        return m_exitCode;
    auto const descriptor = static_cast<int>(::syscall(SYS_pidfd_open, m_processId, 0));
    VERIFY(descriptor >= 0);
    pollfd ended { descriptor, POLLIN, 0 };
    auto const count = ::poll(&ended, 1, static_cast<int>(std::max<std::int64_t>(timeout.count(), 0)));
    ::close(descriptor);
    if (count <= 0)
        return std::nullopt;
    reap();
    // The last lines are read after the end.
    awaitOutputEnd();
    return m_exitCode;
}

std::string logFieldValue(std::string const& line, std::string const& key)
{
    auto const start = line.find(key + "=");
    if (start == std::string::npos)
        return {};
    auto const valueStart = start + key.size() + 1;
    return line.substr(valueStart, line.find(' ', valueStart) - valueStart);
}

}
