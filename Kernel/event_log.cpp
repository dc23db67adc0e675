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
#include <optional>
#include <thread>

namespace zinnialedge::kernel {

static log4cplus::Logger logger()
{
    return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("zinnialedge"));
}

/// Maximum number of log lines that are buffered for writing. Further lines are dropped, so that a blocked reader of
/// standard output does not block the threads that log.
static constexpr std::size_t maximumBufferedLines = 2048;
/// Interval at which buffered log lines are written. Batching avoids one wake-up of the writer thread per line.
static constexpr std::chrono::milliseconds writeInterval { 50 };

/// Writes log lines on a dedicated thread.
class log_writer {
public:
    log_writer()
        : m_thread([this] { run(); })
    {
    }

    ~log_writer() { stop({}); }

    /// Writes the buffered log lines and ends the thread. After the time limit, if there is one, the thread is left to itself. Lines pushed
    /// later are dropped.
    void stop(std::optional<std::chrono::milliseconds> limit)
    {
        if (!m_thread.joinable())
            return;
        {
            std::unique_lock lock(m_mutex);
            m_isStopping = true;
            m_wakeCondition.notify_one();
            if (limit && !m_endCondition.wait_for(lock, *limit, [this] { return m_hasEnded; })) {
                m_thread.detach();
                return;
            }
        }
        m_thread.join();
    }

    log_writer(log_writer const&) = delete;
    log_writer& operator=(log_writer const&) = delete;

    void push(log4cplus::spi::InternalLoggingEvent event)
    {
        {
            std::lock_guard const lock(m_mutex);
            if (m_isStopping || m_bufferedLines.size() >= maximumBufferedLines) {
                ++m_unreportedDroppedLines;
                return;
            }
            m_bufferedLines.push_back(std::move(event));
            if (m_bufferedLines.size() > 1)
                return;
        }
        m_wakeCondition.notify_one();
    }

    std::uint64_t droppedLineCount()
    {
        std::lock_guard const lock(m_mutex);
        return m_reportedDroppedLines + m_unreportedDroppedLines;
    }

private:
    void run()
    {
        std::unique_lock lock(m_mutex);
        while (true) {
            m_wakeCondition.wait(lock, [this] { return m_isStopping || !m_bufferedLines.empty(); });
            if (!m_isStopping)
                m_wakeCondition.wait_for(lock, writeInterval, [this] { return m_isStopping; });
            auto const lines = std::exchange(m_bufferedLines, {});
            auto const dropped = std::exchange(m_unreportedDroppedLines, 0);
            m_reportedDroppedLines += dropped;
            bool const isLast = m_isStopping;
            lock.unlock();
            auto const target = logger();
            for (auto const& line : lines)
                target.callAppenders(line);
            if (dropped > 0)
                target.callAppenders({ target.getName(), log4cplus::WARN_LOG_LEVEL, "event=log_lines_dropped count=" + std::to_string(dropped), nullptr, 0 });
            lock.lock();
            if (!isLast || !m_bufferedLines.empty())
                continue;
            m_hasEnded = true;
            m_endCondition.notify_one();
            return;
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_wakeCondition;
    std::condition_variable m_endCondition;
    std::deque<log4cplus::spi::InternalLoggingEvent> m_bufferedLines;
    std::uint64_t m_unreportedDroppedLines { 0 };
    std::uint64_t m_reportedDroppedLines { 0 };
    bool m_isStopping { false };
    bool m_hasEnded { false };
    std::thread m_thread;
};

static log_writer& writer()
{
    static log_writer instance;
    return instance;
}

static std::string toUpperCase(std::string_view text)
{
    std::string upper { text };
    for (auto& character : upper) {
        if (character >= 'a' && character <= 'z')
            character = static_cast<char>(character - 'a' + 'A');
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

void closeLog(std::chrono::milliseconds limit)
{
    writer().stop(limit);
}

std::uint64_t droppedLogLineCount()
{
    return writer().droppedLineCount();
}

bool setLogLevel(std::string_view level)
{
    auto const parsed = log4cplus::getLogLevelManager().fromString(toUpperCase(level));
    if (parsed == log4cplus::NOT_SET_LOG_LEVEL)
        return false;
    logger().setLogLevel(parsed);
    return true;
}

std::string logLevel()
{
    return log4cplus::getLogLevelManager().toString(logger().getLogLevel());
}

static int toLog4cplusLevel(log_level level)
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

static void appendQuotedValue(std::string& line, std::string const& value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\\") == std::string::npos) {
        line += value;
        return;
    }
    line += '"';
    for (auto const character : value) {
        if (character == '"' || character == '\\')
            line += '\\';
        line += character == '\n' ? ' ' : character;
    }
    line += '"';
}

void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    auto const number = toLog4cplusLevel(level);
    auto target = logger();
    if (!target.isEnabledFor(number))
        return;
    std::string line = "event=" + std::string { event };
    for (auto const& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        appendQuotedValue(line, field.value);
    }
    writer().push({ target.getName(), number, line, nullptr, 0 });
}

}
