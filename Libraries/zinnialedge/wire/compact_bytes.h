#pragma once

// Includes Thrift; only sources of this folder include it.

#include "Libraries/zinnialedge/errors/error_kind.h"
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace zinnialedge::wire {

/// A generated Thrift structure in the compact protocol.
template <typename T>
std::string toCompactBytes(T const& structure)
{
    using namespace apache::thrift;
    auto const buffer = std::make_shared<transport::TMemoryBuffer>();
    protocol::TCompactProtocolT<transport::TMemoryBuffer> protocol { buffer };
    structure.write(&protocol);
    return buffer->getBufferAsString();
}

/// The structure back; `what` names it in the error.
template <typename T>
errors::error_or<T> fromCompactBytes(std::string_view bytes, char const* what)
{
    using namespace apache::thrift;
    T structure;
    try {
        std::string copy { bytes };
        auto const buffer = std::make_shared<transport::TMemoryBuffer>(reinterpret_cast<std::uint8_t*>(copy.data()), static_cast<std::uint32_t>(copy.size()));
        protocol::TCompactProtocolT<transport::TMemoryBuffer> protocol { buffer };
        structure.read(&protocol);
    } catch (TException const& failure) {
        return errors::fail(errors::error_kind::malformed_request, std::string { "not a " } + what + ": " + failure.what());
    }
    return structure;
}

}
