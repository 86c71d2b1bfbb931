#pragma once

/// An IPv4 address with a port.

#include <boost/serialization/string.hpp>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/Error.h"

namespace fernlift::base
{

/// Numeric IPv4 address and port of a TCP endpoint. Host names are never resolved.
struct SocketAddress
{
    std::string host;
    std::uint16_t port = 0;

    // clang-tidy 14 mistakes the zero in a defaulted comparison for a null pointer.
    auto operator<=> (const SocketAddress&) const = default;  // NOLINT(modernize-use-nullptr)
    /// Formats the address as "host:port".
    [[nodiscard]] std::string toString() const;
    /// Parses "host:port"; fails with kInvalidRequest on anything but a numeric IPv4
    /// address with a port.
    static Result<SocketAddress> parse (std::string_view text);
    /// Parses untrusted text of another process; nullopt where parse() fails.
    [[nodiscard]] static std::optional<SocketAddress> tryParse (std::string_view text);

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& host& port;
    }
};

}  // namespace fernlift::base
