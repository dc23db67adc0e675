#pragma once

#include "Utilities/zl-load/latency_histogram.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace zinnialedge::utilities::load {

/// What became of the requests of one stream in some span of time.
struct stream_result {
    latency_histogram latency;
    /// Of refusals and failures.
    latency_histogram refusalLatency;
    std::uint64_t sent { 0 };
    std::uint64_t whole { 0 };
    std::uint64_t partial { 0 };
    /// Answers within the deadline that the stream names.
    std::uint64_t inTime { 0 };
    /// Those of them with whole coverage.
    std::uint64_t wholeInTime { 0 };
    /// By the name of the error kind; "connection" when there was no reply.
    std::map<std::string, std::uint64_t> errors;
    /// Requests by how many percent of the shards answered, in steps of ten.
    std::map<unsigned, std::uint64_t> coverage;
};

struct load_result {
    /// By the place of the stream in the plan.
    std::vector<stream_result> streams;
    /// The same for each second of the run.
    std::vector<std::vector<stream_result>> seconds;
    std::vector<std::string> faults;
    std::uint64_t faultCount { 0 };
    /// Differences of the daemons' counters over the measured time.
    std::map<std::string, std::uint64_t> counters;
};

}
