#pragma once

/// Types and JSON conversions of the protocol of model engines, application back ends, the weight
/// store and the machine list. docs/back-end-protocol.md specifies it for implementers of back
/// ends.

#include <boost/serialization/string.hpp>
#include <boost/serialization/vector.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"
#include "base/Ids.h"

namespace fernlift::engine
{

using Megabytes = std::uint64_t;

enum class OrderKind : std::uint8_t
{
    kLoadModel,
    kUnloadModel,
    kLoadAdapter,
    kUnloadAdapter
};

/// A fenced order. An engine accepts it if `incarnation` is its own and `fence` is at least the
/// highest accepted so far. An equal fence marks a retransmission, which gets the same answer.
struct Order
{
    OrderKind kind = OrderKind::kLoadModel;
    base::Fence fence = 0;
    base::Incarnation incarnation = 0;
    base::ReplicaId replica = 0;
    base::ReplicaId baseReplica = 0;  ///< Loaded replica of the base model, for orders on adapters.
    base::ModelName model;
    std::string version;
    base::AdapterName adapter;  ///< Set only in orders on adapters.
    Megabytes memory = 0;

    bool operator== (const Order&) const = default;
};

/// Answer to an order. An accepted order is recorded; its progress appears in reports.
struct OrderAnswer
{
    bool accepted = false;
    base::ErrorKind refusal = base::ErrorKind::kInternal;  ///< Reason, if not accepted.
    base::Fence highestFence = 0;
    base::Incarnation incarnation = 0;

    bool operator== (const OrderAnswer&) const = default;
};

enum class ReplicaPhase : std::uint8_t
{
    kLoading,
    kReady,
    kUnloading,
    kFailed
};

/// State of one replica in an engine's report.
struct ReplicaReport
{
    base::ReplicaId replica = 0;
    ReplicaPhase phase = ReplicaPhase::kLoading;
    base::ModelName model;
    std::string version;
    base::AdapterName adapter;  ///< Empty for a base model.
    Megabytes memory = 0;
    std::uint32_t runningRequests = 0;
    std::uint32_t waitingRequests = 0;

    bool operator== (const ReplicaReport&) const = default;
};

enum class CheckpointPlace : std::uint8_t
{
    kRemote,
    kDisk,
    kMemory
};

/// Location of a checkpoint at a runner. Checkpoints that are not listed are remote.
struct CheckpointReport
{
    std::string artifact;  ///< Model or adapter name.
    CheckpointPlace place = CheckpointPlace::kRemote;

    bool operator== (const CheckpointReport&) const = default;
};

/// Answer to GET /engine/report. Lags behind the actual state of the engine.
struct Report
{
    base::RunnerId runner;
    base::Incarnation incarnation = 0;
    bool isLeaving = false;
    Megabytes totalMemory = 0;
    Megabytes usedMemory = 0;
    base::Fence highestFence = 0;
    std::uint32_t slots = 0;  ///< Maximum of requests running at the same time.
    std::uint32_t runningRequests = 0;
    std::uint32_t waitingRequests = 0;
    std::vector<ReplicaReport> replicas;
    std::vector<CheckpointReport> checkpoints;

    bool operator== (const Report&) const = default;
};

enum class MachineRole : std::uint8_t
{
    kModelRunner,
    kApplicationRunner
};
enum class MachineState : std::uint8_t
{
    kLive,
    kLeaving
};

/// One entry of the platform's machine list.
struct Machine
{
    base::RunnerId runner;
    MachineRole role = MachineRole::kModelRunner;
    MachineState state = MachineState::kLive;
    base::ZoneName zone;
    std::string address;   ///< Address of the HTTP interface as "ip:port".
    Megabytes memory = 0;  ///< Accelerator memory.
    std::uint32_t accelerators = 0;
    std::vector<base::ApplicationName> applications;  ///< Set only for application runners.

    bool operator== (const Machine&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& runner& role& state& zone& address& memory& accelerators& applications;
    }
};

/// Answer to GET /machines. Lags behind the actual state of the platform.
struct MachineList
{
    std::vector<Machine> machines;

    bool operator== (const MachineList&) const = default;
};

/// Conversions to and from JSON. Parsers fail with kMessageInvalid and an error that names the
/// field.
[[nodiscard]] std::string toJson (const Order& order);
[[nodiscard]] std::string toJson (const OrderAnswer& answer);
[[nodiscard]] std::string toJson (const Report& report);
[[nodiscard]] std::string toJson (const MachineList& list);
[[nodiscard]] base::Result<Order> parseOrder (std::string_view json);
[[nodiscard]] base::Result<OrderAnswer> parseOrderAnswer (std::string_view json);
[[nodiscard]] base::Result<Report> parseReport (std::string_view json);
[[nodiscard]] base::Result<MachineList> parseMachineList (std::string_view json);

}  // namespace fernlift::engine
