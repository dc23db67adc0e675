// Reports of the requests that count towards quotas, which this daemon sends to given daemons at once.

#include "Libraries/zinnialedge/membership/membership_engine.h"

namespace zinnialedge::membership {

void membership_engine::handle(usage_reported const& reported, kernel::time_point)
{
    for (auto const& [report, receivers] : reported.reports) {
        auto content = makeDatagram(datagram_kind::usage_report, 0, {});
        content.usage = report;
        for (auto const& receiver : receivers)
            send(receiver, content);
    }
}

}
