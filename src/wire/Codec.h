#pragma once

/// Encodes and decodes typed messages between fernlift's processes with Boost.Serialization.

#include <boost/archive/archive_exception.hpp>
#include <boost/archive/binary_iarchive.hpp>
#include <boost/archive/binary_oarchive.hpp>
#include <boost/iostreams/device/array.hpp>
#include <boost/iostreams/device/back_inserter.hpp>
#include <boost/iostreams/stream.hpp>
#include <cstdint>
#include <exception>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "base/Error.h"

namespace fernlift::wire
{

/// Encodes any serializable value. The archive has no header, so equal values give equal bytes.
template <class Value>
[[nodiscard]] std::string encodeValue (const Value& value)
{
    std::string bytes;
    {
        boost::iostreams::stream<boost::iostreams::back_insert_device<std::string>> stream (bytes);
        boost::archive::binary_oarchive archive (
            stream, boost::archive::no_header | boost::archive::no_tracking);
        archive << value;
    }
    return bytes;
}

/// Inverse of encodeValue; fails with kMessageInvalid on damaged bytes. Callers must check
/// integrity (checksum and length limit) first, so that a damaged element count cannot cause a
/// large allocation.
template <class Value>
[[nodiscard]] base::Result<Value> decodeValue (std::string_view bytes)
{
    try
    {
        boost::iostreams::stream<boost::iostreams::array_source> stream (bytes.data(),
                                                                         bytes.size());
        boost::archive::binary_iarchive archive (
            stream, boost::archive::no_header | boost::archive::no_tracking);
        Value value;
        archive >> value;
        return value;
    }
    catch (const std::exception& exception)
    {
        return base::fail (base::ErrorKind::kMessageInvalid, exception.what());
    }
}

namespace detail
{

template <class Variant, std::size_t kIndex = 0>
base::Result<Variant> decodeAlternative (std::size_t index, std::string_view bytes)
{
    if constexpr (kIndex < std::variant_size_v<Variant>)
    {
        if (index == kIndex)
        {
            auto value = decodeValue<std::variant_alternative_t<kIndex, Variant>> (bytes);
            if (! value)
                return value.error();
            return Variant (std::in_place_index<kIndex>, std::move (value.value()));
        }
        return decodeAlternative<Variant, kIndex + 1> (index, bytes);
    }
    else
    {
        return base::fail (base::ErrorKind::kMessageInvalid, "unknown message type");
    }
}

}  // namespace detail

/// Encodes a message: one byte for the index of the variant's alternative, then its value.
template <class Variant>
[[nodiscard]] std::string encodeMessage (const Variant& message)
{
    std::string bytes (1, static_cast<char> (message.index()));
    bytes += std::visit ([] (const auto& value) { return encodeValue (value); }, message);
    return bytes;
}

/// Inverse of encodeMessage; fails with kMessageInvalid.
template <class Variant>
[[nodiscard]] base::Result<Variant> decodeMessage (std::string_view bytes)
{
    if (bytes.empty())
        return base::fail (base::ErrorKind::kMessageInvalid, "empty message");
    const auto index = static_cast<std::uint8_t> (bytes.front());
    return detail::decodeAlternative<Variant> (index, bytes.substr (1));
}

}  // namespace fernlift::wire
