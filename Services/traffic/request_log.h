#pragma once

#include "Libraries/zinnialedge/forwarding/request_engine.h"

namespace zinnialedge::services::traffic {

/// Writes what became of requests: each failure and late or partial answer up to a rate, and one in so many of the others.
class request_log {
public:
    explicit request_log(kernel::clock_hook);

    void note(forwarding::request_report const&);
    void noteLeafEvent(std::string const& attemptId, std::string const& leafId, std::string_view event, kernel::duration age);

private:
    /// Counts a line in its second, unless there were as many already.
    bool mayWrite(unsigned& lines, unsigned most);

    kernel::clock_hook m_clock;
    kernel::time_point m_secondBegan;
    unsigned m_endsThisSecond { 0 };
    unsigned m_callsThisSecond { 0 };
    std::uint64_t m_leftOut { 0 };
    std::uint64_t m_ordinary { 0 };
};

}
