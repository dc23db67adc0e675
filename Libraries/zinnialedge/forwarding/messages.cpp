#include "Libraries/zinnialedge/forwarding/messages.h"

namespace zinnialedge::forwarding {

quarantine::request_digests digestsOf(caller_request const& request)
{
    // Each attempt has another identifier, time limit and connection, so these are no part of the request. A caller may add another
    // query to each attempt.
    std::string_view const target { request.target };
    auto const path = target.substr(0, target.find('?'));
    quarantine::request_digests digests { quarantine::computeDigest({ request.method, request.host, target, request.body }) };
    if (path.size() < target.size())
        digests.push_back(quarantine::computeDigest({ request.method, request.host, path, request.body }));
    return digests;
}

}
