#include "Libraries/zinnialedge/forwarding/messages.h"

namespace zinnialedge::forwarding {

quarantine::request_digest digestOf(caller_request const& request)
{
    // Each attempt has another identifier and time limit, so these are no part of the request. The caller is, so that no caller can
    // bring the requests of another one under suspicion.
    return quarantine::computeDigest({ request.caller, request.method, request.host, request.target, request.body });
}

}
