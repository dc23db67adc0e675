#pragma once

#include "Libraries/zinnialedge/errors/error_kind.h"
#include "Libraries/zinnialedge/membership/datagram.h"

namespace zinnialedge::wire {

std::string encodeDatagram(membership::datagram const&);
errors::error_or<membership::datagram> decodeDatagram(std::string_view bytes);

}
