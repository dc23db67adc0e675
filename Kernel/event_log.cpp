#include "Kernel/event_log.h"

#include <condition_variable>
#include <deque>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <mutex>
#include <thread>

namespace zinnialedge::kernel {

static log4cplus::Logger logger()
{
    return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("zinnialedge"));
}

/// Lines that wait to be written. A reader that stands still must not hold up the threads that log, so more are dropped.
static constexpr std::size_t waitingLineLimit = 2048;
/// Lines are written together, which spares a wake for each.
static constexpr std::chrono::milliseconds writeInterval { 50 };

/// Writes the lines on a thread of its own.
class log_writer {
public:
    log_writer()
        : m_thread([this] { run(); })
    {
    }

    ~log_writer() { finish(); }

    /// Writes what waits and ends the thread; later lines are dropped.
    void finish()
    {
        {
            std::lock_guard const lock(m_mutex);
            m_isStopping = true;
        }
        m_changed.notify_one();
        if (m_thread.joinable())
            m_thread.join();
    }

    log_writer(log_writer const&) = delete;
    log_writer& operator=(log_writer const&) = delete;

    void push(log4cplus::spi::InternalLoggingEvent event)
    {
        {
            std::lock_guard const lock(m_mutex);
            if (m_isStopping || m_waiting.size() >= waitingLineLimit) {
                ++m_dropped;
                return;
            }
            m_waiting.push_back(std::move(event));
            if (m_waiting.size() > 1)
                return;
        }
        m_changed.notify_one();
    }

    std::uint64_t droppedTotal()
    {
        std::lock_guard const lock(m_mutex);
        return m_droppedTotal + m_dropped;
    }

private:
    void run()
    {
        std::unique_lock lock(m_mutex);
        while (true) {
            m_changed.wait(lock, [this] { return m_isStopping || !m_waiting.empty(); });
            if (!m_isStopping)
                m_changed.wait_for(lock, writeInterval, [this] { return m_isStopping; });
            auto const lines = std::exchange(m_waiting, {});
            auto const dropped = std::exchange(m_dropped, 0);
            m_droppedTotal += dropped;
            bool const isLast = m_isStopping;
            lock.unlock();
            auto const target = logger();
            for (auto const& line : lines)
                target.callAppenders(line);
            if (dropped > 0)
                target.callAppenders({ target.getName(), log4cplus::WARN_LOG_LEVEL, "event=log_lines_dropped count=" + std::to_string(dropped), nullptr, 0 });
            lock.lock();
            if (isLast && m_waiting.empty())
                return;
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<log4cplus::spi::InternalLoggingEvent> m_waiting;
    std::uint64_t m_dropped { 0 };
    std::uint64_t m_droppedTotal { 0 };
    bool m_isStopping { false };
    std::thread m_thread;
};

static log_writer& writer()
{
    static log_writer made;
    return made;
}

static std::string upperCase(std::string_view text)
{
    std::string upper { text };
    for (auto& letter : upper) {
        if (letter >= 'a' && letter <= 'z')
            letter = static_cast<char>(letter - 'a' + 'A');
    }
    return upper;
}

void openLog(std::string_view process, std::string_view level)
{
    static log4cplus::Initializer const initializer;
    log4cplus::SharedAppenderPtr const appender { new log4cplus::ConsoleAppender(false, true) };
    auto const pattern = "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p process=" + std::string { process } + " %m%n";
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    logger().removeAllAppenders();
    logger().addAppender(appender);
    setLogLevel(level);
    writer();
}

void closeLog()
{
    writer().finish();
}

std::uint64_t droppedLogLines()
{
    return writer().droppedTotal();
}

bool setLogLevel(std::string_view level)
{
    auto const parsed = log4cplus::getLogLevelManager().fromString(upperCase(level));
    if (parsed == log4cplus::NOT_SET_LOG_LEVEL)
        return false;
    logger().setLogLevel(parsed);
    return true;
}

std::string logLevel()
{
    return log4cplus::getLogLevelManager().toString(logger().getLogLevel());
}

static int levelNumber(log_level level)
{
    switch (level) {
    case log_level::trace:
        return log4cplus::TRACE_LOG_LEVEL;
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warn:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

static void appendValue(std::string& line, std::string const& value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\\") == std::string::npos) {
        line += value;
        return;
    }
    line += '"';
    for (auto const letter : value) {
        if (letter == '"' || letter == '\\')
            line += '\\';
        line += letter == '\n' ? ' ' : letter;
    }
    line += '"';
}

void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    auto const number = levelNumber(level);
    auto target = logger();
    if (!target.isEnabledFor(number))
        return;
    std::string line = "event=" + std::string { event };
    for (auto const& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        appendValue(line, field.value);
    }
    writer().push({ target.getName(), number, line, nullptr, 0 });
}

}
