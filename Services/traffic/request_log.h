#pragma once

#include "Libraries/zinnialedge/forwarding/request_engine.h"

namespace zinnialedge::services::traffic {

/// Logs the outcome of requests: each failure and each late or partial answer up to a rate limit, and a sample of all others.
class request_log {
public:
    explicit request_log(kernel::clock_hook);

    void logRequest(forwarding::request_report const&);
    /// Logs a request that gets no answer since the process ends.
    static void logInterrupted(forwarding::open_request const&);
    void logLeafEvent(std::string const& attemptId, std::string const& leafId, std::string_view event, kernel::duration age);
    void logConnectFailure(std::string const& leafId, std::string_view reason, std::size_t leafsRepliedLately);
    void logBrokenCall(forwarding::broken_call_report const&);
    void logQuarantine(forwarding::quarantine_report const&);
    void logEvacuation(forwarding::evacuation_report const&);
    void logLinks(forwarding::link_report const&, std::size_t leafCount);
    void logQuotas(forwarding::quota_report const&);
    void logLeafLimit(std::string const& leafId, std::string_view event, forwarding::leaf_rate_limit const&);
    void logLeafPhase(forwarding::leaf_phase_report const&);

private:
    /// Returns true and counts a line, unless the current second already has `limit` lines of this type.
    bool tryCountLine(unsigned& lineCount, unsigned limit);

    kernel::clock_hook m_clock;
    kernel::time_point m_currentSecondStart;
    unsigned m_requestLineCount { 0 };
    unsigned m_callLineCount { 0 };
    unsigned m_quarantineLineCount { 0 };
    std::uint64_t m_suppressedLineCount { 0 };
    std::uint64_t m_ordinaryRequestCount { 0 };
};

}
