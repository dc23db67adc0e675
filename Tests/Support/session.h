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
    using event_fields = std::map<std::string, std::string>;

    void executeLine(std::string const& line);
    void runTimersUntil(kernel::time_point);
    queries::event makeEvent(std::string const& name, event_fields const&);
    queries::event makeDeclaration(event_fields const&);
    queries::event makeQuery(event_fields const&);
    queries::event makeLeafCallEnded(std::string const& name, event_fields const&);
    void stepEngine(queries::event const&);
    void recordAction(queries::action const&);
    std::string formatTime(kernel::time_point) const;

    kernel::time_point m_now;
    queries::query_engine m_engine;
    /// Leaf calls by id. They supply the shard and the snapshot of a reply whose script line gives none.
    std::map<queries::call_id, queries::send_leaf_call> m_sentCalls;
    std::ostringstream m_transcript;
};

}
