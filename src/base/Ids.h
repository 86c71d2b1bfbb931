#pragma once

/// Identifiers of the parts of a cell. Each has its own type, so that they cannot be mixed up.

#include <boost/serialization/string.hpp>
#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace fernlift::base
{

/// A strongly typed name. `Tag` only distinguishes the types.
template <class Tag>
struct Name
{
    std::string value;

    Name() = default;
    explicit Name (std::string text) : value (std::move (text)) {}

    [[nodiscard]] bool empty() const { return value.empty(); }
    // clang-tidy 14 mistakes the zero in a defaulted comparison for a null pointer.
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

/// Identifies a cell: one controller quorum with the routers and runners it serves.
using CellId = Name<struct CellTag>;
using ZoneName = Name<struct ZoneTag>;
/// A model together with its version, as callers name it in the `model` field.
using ModelName = Name<struct ModelTag>;
using AdapterName = Name<struct AdapterTag>;
using ApplicationName = Name<struct ApplicationTag>;
/// Name of a request class of the catalogue, for example "urgent".
using RequestClassName = Name<struct RequestClassTag>;
/// Identifies a machine that runs a model engine or an application back end.
using RunnerId = Name<struct RunnerTag>;
using RouterId = Name<struct RouterTag>;
/// Identifies one request of a caller across all its attempts.
using RequestId = Name<struct RequestTag>;
/// Value of a caller's `Idempotency-Key` header.
using IdempotencyKey = Name<struct IdempotencyTag>;

/// Identity of a controller's data folder. A controller that lost its disk rejoins under a new
/// identity.
using MemberId = std::uint64_t;
/// Number that a runner draws at each start. A new one shows a restart, after which the runner has
/// nothing loaded.
using Incarnation = std::uint64_t;
/// Position in the replicated log; the first entry has index 1.
using LogIndex = std::uint64_t;
using Term = std::uint64_t;
/// Fencing token of an order: the log index of the decision that issued it, so it only increases.
using Fence = LogIndex;
/// Number of a replica; unique within a cell over the cell's lifetime.
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
