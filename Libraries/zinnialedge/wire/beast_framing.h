#pragma once

// For sources that parse requests with Beast only, since including it is slow.

#include "Libraries/zinnialedge/wire/request_framing.h"
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <vector>

namespace zinnialedge::wire {

/// Returns whether the end of the request's body is certain, from its head.
inline bool isFramingCertain(boost::beast::http::header<true, boost::beast::http::fields> const& head)
{
    namespace http = boost::beast::http;
    std::vector<std::string_view> transferEncodings;
    auto const [first, last] = head.equal_range(http::field::transfer_encoding);
    for (auto each = first; each != last; ++each)
        transferEncodings.emplace_back(each->value().data(), each->value().size());
    return isFramingCertain(request_framing { transferEncodings, head.count(http::field::content_length) > 0, head.version() });
}

}
