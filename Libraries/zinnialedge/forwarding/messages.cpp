#include "Libraries/zinnialedge/forwarding/messages.h"

namespace zinnialedge::forwarding {

quarantine::request_digest digestOf(caller_request const& request)
{
    // Each attempt has another identifier and time limit, so these are no part of the request.
    return quarantine::computeDigest({ request.method, request.host, request.target, request.body });
}

}
