#pragma once

#include "Libraries/zinnialedge/queries/query_engine.h"
#include <map>
#include <sstream>
#include <string>

namespace zinnialedge::tests {

/// Runs a written session against the query engine on virtual time and writes down every action.
///
/// Each line is "at MILLISECONDS EVENT key=value ...". Timers that are due before a line are run first.
/// Events: declare, remove, status, query, left, reply, refuse, fail, relayed, end.
class session {
public:
    session();

    /// The transcript of a whole session.
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
    /// What each call asked for, so that a reply need not say it again.
    std::map<queries::call_id, queries::send_leaf_call> m_calls;
    std::ostringstream m_transcript;
};

}
