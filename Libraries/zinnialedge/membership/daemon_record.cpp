#include "Libraries/zinnialedge/membership/daemon_record.h"

#include "Libraries/zinnialedge/configuration/json_reader.h"
#include <boost/algorithm/string/join.hpp>
#include <boost/json.hpp>

namespace zinnialedge::membership {

errors::error_or<daemon_record> parseDaemonRecord(std::string_view text)
{
    std::vector<std::string> problems;
    auto const value = configuration::parseJson(text, problems);
    daemon_record record;
    if (value) {
        configuration::json_reader reader { *value, problems };
        record.name = reader.text("name");
        record.partner = reader.text("partner");
        record.region = reader.text("region");
        record.dataCentre = reader.text("data_centre");
        record.incarnation = reader.number("incarnation", 1, std::numeric_limits<std::uint64_t>::max());
        record.callerEndpoint = reader.endpoint("callers", false);
        record.peerEndpoint = reader.endpoint("peers", false);
        record.isLeaving = reader.flag("leaving", false);
        reader.finish();
    }
    if (!problems.empty())
        return errors::makeError(errors::error_kind::malformed_request, boost::algorithm::join(problems, "; "));
    return record;
}

static boost::json::value toJson(model::endpoint const& endpoint)
{
    return { { "address", endpoint.address }, { "port", endpoint.port } };
}

std::string formatDaemonRecord(daemon_record const& record)
{
    return boost::json::serialize(boost::json::value {
        { "name", record.name },
        { "partner", record.partner },
        { "region", record.region },
        { "data_centre", record.dataCentre },
        { "incarnation", record.incarnation },
        { "callers", toJson(record.callerEndpoint) },
        { "peers", toJson(record.peerEndpoint) },
        { "leaving", record.isLeaving },
    });
}

}
