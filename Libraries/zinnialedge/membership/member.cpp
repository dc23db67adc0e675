#include "Libraries/zinnialedge/membership/member.h"

#include <array>
#include <tuple>

namespace zinnialedge::membership {

static constexpr std::array<char const*, 5> statusNames { "joining", "serving", "leaving", "suspect", "dead" };

char const* toString(member_status status)
{
    return statusNames.at(static_cast<std::size_t>(status));
}

bool isSelfDeclared(member_status status)
{
    return status != member_status::suspect && status != member_status::dead;
}

static int severityOf(member_status status)
{
    if (isSelfDeclared(status))
        return 0;
    return status == member_status::suspect ? 1 : 2;
}

bool supersedes(member_update const& left, member_update const& right)
{
    auto const precedenceOf = [](member_update const& update) { return std::tuple { update.record.incarnation, update.version, severityOf(update.status) }; };
    return precedenceOf(left) > precedenceOf(right);
}

std::size_t maximumEncodedBytes(member_update const& update)
{
    // Field headers, string lengths and numbers of a record.
    static constexpr std::size_t fixedBytes = 30;
    static constexpr std::size_t fixedEndpointBytes = 32;
    // Field header and an eight-byte number.
    static constexpr std::size_t strengthBytes = 9;
    auto const& record = update.record;
    if (!isSelfDeclared(update.status))
        return fixedBytes + record.name.size();
    return fixedBytes + fixedEndpointBytes + (update.strength ? strengthBytes : 0) + record.name.size() + record.partner.size() + record.region.size()
        + record.dataCentre.size() + record.callerEndpoint.address.size() + record.peerEndpoint.address.size();
}

}
