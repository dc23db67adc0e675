#pragma once

#include "review/support/http_message.h"
#include <fstream>
#include <mutex>

namespace review {

/// File of what was sent, answered and run; each line begins with the seconds since the start of the script.
class record {
public:
    explicit record(std::string const& file);

    void write(std::string const& line);
    double seconds(time_point at) const { return std::chrono::duration<double> { at - m_startedAt }.count(); }

private:
    time_point m_startedAt { clock::now() };
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// Exit codes of a script.
inline constexpr int exitHeld = 0;
inline constexpr int exitBroken = 1;
inline constexpr int exitNotRun = 2;

/// Returns whether the script plays the disruption: TROUBLE is not 0.
bool isTroubleWanted();

}
