#pragma once

#include "Utilities/zl-load/latency_histogram.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace zinnialedge::utilities::load {

/// Results of the requests of one stream in a time span.
struct stream_result {
    latency_histogram latency;
    /// Latencies of requests that were rejected or failed.
    latency_histogram errorLatency;
    std::uint64_t sent { 0 };
    std::uint64_t whole { 0 };
    std::uint64_t partial { 0 };
    /// Number of answers within the deadline of the stream.
    std::uint64_t answersWithinDeadline { 0 };
    /// Number of answers within the deadline of the stream that have complete coverage.
    std::uint64_t completeAnswersWithinDeadline { 0 };
    /// Number of errors by the name of the error kind; "connection" counts requests without a response.
    std::map<std::string, std::uint64_t> errors;
    /// Number of answers by the percentage of shards that answered, rounded down to a multiple of ten.
    std::map<unsigned, std::uint64_t> coverage;
};

struct load_result {
    /// Results over the measured time, by the index of the stream in the plan.
    std::vector<stream_result> streams;
    /// Results by the second of the run, warm-up included, and then by the index of the stream.
    std::vector<std::vector<stream_result>> seconds;
    std::vector<std::string> faults;
    std::uint64_t answerErrorCount { 0 };
    /// Increase of each daemon counter over the measured time, summed over all daemons.
    std::map<std::string, std::uint64_t> counters;
};

}
