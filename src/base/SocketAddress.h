#pragma once

/// An IP number with a port.

#include <boost/serialization/string.hpp>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/Error.h"

namespace fernlift::base
{

/// Numeric IPv4 address and port of a TCP endpoint. Names are never resolved.
struct SocketAddress
{
    std::string host;
    std::uint16_t port = 0;

    // clang-tidy 14 takes the zero of a defaulted comparison for a pointer.
    auto operator<=> (const SocketAddress&) const = default;  // NOLINT(modernize-use-nullptr)
    /// "host:port".
    [[nodiscard]] std::string toString() const;
    /// Parses "host:port"; fails with kInvalidRequest on anything but a numeric IPv4 and a port.
    static Result<SocketAddress> parse (std::string_view text);
    /// The same for texts of other processes, which may hold anything; none where parse() fails.
    [[nodiscard]] static std::optional<SocketAddress> tryParse (std::string_view text);

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& host& port;
    }
};

}  // namespace fernlift::base
