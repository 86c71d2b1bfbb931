#pragma once

/// Identifiers of the parts of a cell. Each is its own type, so that one cannot stand for another.

#include <boost/serialization/string.hpp>
#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace fernlift::base
{

/// A name of one kind. `Tag` only tells the kinds apart.
template <class Tag>
struct Name
{
    std::string value;

    Name() = default;
    explicit Name (std::string text) : value (std::move (text)) {}

    [[nodiscard]] bool empty() const { return value.empty(); }
    // clang-tidy 14 takes the zero of a defaulted comparison for a pointer.
    auto operator<=> (const Name&) const = default;  // NOLINT(modernize-use-nullptr)

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& value;
    }
};

template <class Tag>
std::ostream& operator<< (std::ostream& stream, const Name<Tag>& name)
{
    return stream << name.value;
}

/// One controller quorum with the routers and runners it serves.
using CellId = Name<struct CellTag>;
using ZoneName = Name<struct ZoneTag>;
/// A model together with its version, as callers name it in the `model` field.
using ModelName = Name<struct ModelTag>;
using AdapterName = Name<struct AdapterTag>;
using ApplicationName = Name<struct ApplicationTag>;
/// Name of a request class of the catalogue, for example "urgent".
using RequestClassName = Name<struct RequestClassTag>;
/// A machine that runs a model engine or an application back end.
using RunnerId = Name<struct RunnerTag>;
using RouterId = Name<struct RouterTag>;
/// Identifies one request of a caller through all its attempts.
using RequestId = Name<struct RequestTag>;
/// `Idempotency-Key` of a caller.
using IdempotencyKey = Name<struct IdempotencyTag>;

/// Identity of one controller's disk. A controller that lost its disk comes back under a new one.
using MemberId = std::uint64_t;
/// Number a runner draws anew at each start; a restarted runner has nothing loaded.
using Incarnation = std::uint64_t;
/// Position in the replicated log; the first entry has index 1.
using LogIndex = std::uint64_t;
using Term = std::uint64_t;
/// Fence of an order: the log index of the decision that made it, so it only grows.
using Fence = LogIndex;
/// Number of one replica within a cell; unique for the life of the cell.
using ReplicaId = std::uint64_t;

}  // namespace fernlift::base

template <class Tag>
struct std::hash<fernlift::base::Name<Tag>>
{
    std::size_t operator() (const fernlift::base::Name<Tag>& name) const
    {
        return std::hash<std::string>() (name.value);
    }
};
