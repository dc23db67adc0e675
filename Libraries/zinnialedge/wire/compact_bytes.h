#pragma once

// Include this header only from .cpp files of this folder, because it includes Thrift headers.

#include "Libraries/zinnialedge/errors/error_kind.h"
#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace zinnialedge::wire {

/// Serializes a generated Thrift structure in the compact protocol.
template <typename T>
std::string serializeCompact(T const& structure)
{
    using namespace apache::thrift;
    auto const buffer = std::make_shared<transport::TMemoryBuffer>();
    protocol::TCompactProtocolT<transport::TMemoryBuffer> protocol { buffer };
    structure.write(&protocol);
    return buffer->getBufferAsString();
}

/// Parses a Thrift structure from the compact protocol. `structureName` names the structure in the error message.
template <typename T>
errors::error_or<T> parseCompact(std::string_view bytes, char const* structureName)
{
    using namespace apache::thrift;
    // The generated code makes room for all elements that a list announces before it reads the first one. Each element of the messages has
    // two required fields at least, of a header and a value, and an end.
    static constexpr std::size_t smallestElementBytes = 5;
    static constexpr std::size_t maximumElements = 1U << 20U;
    T structure;
    try {
        std::string mutableBytes { bytes };
        auto const byteCount = static_cast<std::int32_t>(mutableBytes.size());
        // A limit of zero would be none.
        auto const elementLimit = static_cast<std::int32_t>(std::clamp<std::size_t>(mutableBytes.size() / smallestElementBytes, 1, maximumElements));
        auto const buffer = std::make_shared<transport::TMemoryBuffer>(reinterpret_cast<std::uint8_t*>(mutableBytes.data()), static_cast<std::uint32_t>(byteCount));
        protocol::TCompactProtocolT<transport::TMemoryBuffer> protocol { buffer, std::max(byteCount, 1), elementLimit };
        structure.read(&protocol);
    } catch (std::exception const& failure) {
        return errors::makeError(errors::error_kind::malformed_request, std::string { "not a " } + structureName + ": " + failure.what());
    }
    return structure;
}

}
