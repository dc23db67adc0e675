#include "Tests/Support/child_process.h"

#include "Kernel/verify.h"
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace zinnialedge::tests {

static std::string findProgram(std::string const& program)
{
    auto const* folder = std::getenv("ZINNIALEDGE_PROGRAMS");
    return (folder ? std::string { folder } : std::string { "build" }) + "/" + program;
}

child_process::child_process(std::string const& program, std::vector<std::string> const& arguments)
{
    int ends[2] = { -1, -1 };
    auto const piped = ::pipe2(ends, O_CLOEXEC);
    VERIFY(piped == 0);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDERR_FILENO);
    auto const path = findProgram(program);
    std::vector<char*> texts { const_cast<char*>(path.c_str()) };
    for (auto const& argument : arguments)
        texts.push_back(const_cast<char*>(argument.c_str()));
    texts.push_back(nullptr);
    auto const failure = ::posix_spawn(&m_id, path.c_str(), &actions, nullptr, texts.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    ::close(ends[1]);
    if (failure != 0)
        std::fprintf(stderr, "failed to start %s\n", path.c_str());
    VERIFY(failure == 0);
    m_reader = std::thread([this, descriptor = ends[0]] { readLines(descriptor); });
}

child_process::~child_process()
{
    if (!m_exitCode) {
        ::kill(m_id, SIGKILL);
        reap();
    }
    m_reader.join();
}

void child_process::readLines(int descriptor)
{
    std::FILE* const stream = ::fdopen(descriptor, "r");
    VERIFY(stream);
    char* line = nullptr;
    std::size_t capacity = 0;
    while (::getline(&line, &capacity, stream) > 0) {
        std::string text { line };
        if (text.ends_with('\n'))
            text.pop_back();
        std::lock_guard const lock(m_mutex);
        m_lines.push_back(std::move(text));
        m_changed.notify_all();
    }
    std::free(line);
    std::fclose(stream);
    std::lock_guard const lock(m_mutex);
    m_isAtEnd = true;
    m_changed.notify_all();
}

std::optional<std::string> child_process::waitForLine(std::string const& text, std::chrono::milliseconds timeout)
{
    std::unique_lock lock(m_mutex);
    std::size_t checked = 0;
    std::optional<std::string> found;
    m_changed.wait_for(lock, timeout, [&] {
        for (; checked < m_lines.size() && !found; ++checked) {
            if (m_lines[checked].find(text) != std::string::npos)
                found = m_lines[checked];
        }
        return found || m_isAtEnd;
    });
    return found;
}

std::vector<std::string> child_process::lines()
{
    std::lock_guard const lock(m_mutex);
    return m_lines;
}

void child_process::pause() const
{
    signal(SIGSTOP);
    siginfo_t info {};
    auto const waited = ::waitid(P_PID, static_cast<id_t>(m_id), &info, WSTOPPED);
    VERIFY(waited == 0);
}

void child_process::signal(int number) const
{
    if (!m_exitCode)
        ::kill(m_id, number);
}

void child_process::reap()
{
    int status = 0;
    ::waitpid(m_id, &status, 0);
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

std::optional<int> child_process::waitForExit(std::chrono::milliseconds timeout)
{
    if (m_exitCode)
        return m_exitCode;
    {
        // The output pipe reaches its end when the process exits.
        std::unique_lock lock(m_mutex);
        if (!m_changed.wait_for(lock, timeout, [&] { return m_isAtEnd; }))
            return std::nullopt;
    }
    reap();
    return m_exitCode;
}

std::string fieldOf(std::string const& line, std::string const& key)
{
    auto const start = line.find(key + "=");
    if (start == std::string::npos)
        return {};
    auto const from = start + key.size() + 1;
    return line.substr(from, line.find(' ', from) - from);
}

}
