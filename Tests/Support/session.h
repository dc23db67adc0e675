#pragma once

#include "Libraries/zinnialedge/queries/query_engine.h"
#include <map>
#include <sstream>
#include <string>

namespace zinnialedge::tests {

/// Runs a scripted session against the query engine on virtual time and records every action in a transcript.
///
/// Each script line is "at MILLISECONDS EVENT key=value ...". Timers that are due up to the time of a line run before the line.
/// Events: declare, remove, status, query, left, reply, refuse, fail, relayed, end.
class session {
public:
    session();

    /// Runs all lines of a script and returns the transcript.
    std::string run(std::string const& script);

private:
    using fields = std::map<std::string, std::string>;

    void runLine(std::string const& line);
    void runTimersUntil(kernel::time_point);
    queries::event makeEvent(std::string const& name, fields const&);
    queries::event makeDeclaration(fields const&);
    queries::event makeQuery(fields const&);
    queries::event makeCallEnd(std::string const& name, fields const&);
    void step(queries::event const&);
    void write(queries::action const&);
    std::string timeText(kernel::time_point) const;

    kernel::time_point m_now;
    queries::query_engine m_engine;
    /// Leaf calls by id. They supply the shard and the snapshot of a reply whose script line gives none.
    std::map<queries::call_id, queries::send_leaf_call> m_calls;
    std::ostringstream m_transcript;
};

}
