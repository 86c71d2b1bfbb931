#pragma once

/// Typed form of the HTTP and JSON protocol of model engines, application back ends, the weight
/// store and the machine list. docs/back-end-protocol.md describes it for the owners of back ends.

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

/// A fenced order. An engine takes it when `incarnation` is its own and `fence` is at least the
/// highest it has taken; an equal fence is the same order sent again and gets the same answer.
struct Order
{
    OrderKind kind = OrderKind::kLoadModel;
    base::Fence fence = 0;
    base::Incarnation incarnation = 0;
    base::ReplicaId replica = 0;
    base::ReplicaId baseReplica = 0;  ///< Adapters: the loaded replica of the base model.
    base::ModelName model;
    std::string version;
    base::AdapterName adapter;  ///< Adapters only.
    Megabytes memory = 0;

    bool operator== (const Order&) const = default;
};

/// Answer to an order. Acceptance means the order is recorded; progress shows in reports.
struct OrderAnswer
{
    bool accepted = false;
    base::ErrorKind refusal = base::ErrorKind::kInternal;  ///< When not accepted.
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

/// One replica as its engine reports it.
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

/// Where a runner has a checkpoint cached. Checkpoints that are not listed are remote.
struct CheckpointReport
{
    std::string artifact;  ///< Model or adapter name.
    CheckpointPlace place = CheckpointPlace::kRemote;

    bool operator== (const CheckpointReport&) const = default;
};

/// GET /engine/report. Lags behind the engine's real state.
struct Report
{
    base::RunnerId runner;
    base::Incarnation incarnation = 0;
    bool isLeaving = false;
    Megabytes totalMemory = 0;
    Megabytes usedMemory = 0;
    base::Fence highestFence = 0;
    std::uint32_t slots = 0;  ///< Requests it can run at once.
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

/// One machine of the platform's list.
struct Machine
{
    base::RunnerId runner;
    MachineRole role = MachineRole::kModelRunner;
    MachineState state = MachineState::kLive;
    base::ZoneName zone;
    std::string address;   ///< "ip:port" of its HTTP interface.
    Megabytes memory = 0;  ///< Accelerator memory.
    std::uint32_t accelerators = 0;
    std::vector<base::ApplicationName> applications;  ///< Application runners only.

    bool operator== (const Machine&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& runner& role& state& zone& address& memory& accelerators& applications;
    }
};

/// GET /machines. Lags behind the platform's real state.
struct MachineList
{
    std::vector<Machine> machines;

    bool operator== (const MachineList&) const = default;
};

/// JSON forms. Parsers fail with kMessageInvalid and name the field.
[[nodiscard]] std::string toJson (const Order& order);
[[nodiscard]] std::string toJson (const OrderAnswer& answer);
[[nodiscard]] std::string toJson (const Report& report);
[[nodiscard]] std::string toJson (const MachineList& list);
[[nodiscard]] base::Result<Order> parseOrder (std::string_view json);
[[nodiscard]] base::Result<OrderAnswer> parseOrderAnswer (std::string_view json);
[[nodiscard]] base::Result<Report> parseReport (std::string_view json);
[[nodiscard]] base::Result<MachineList> parseMachineList (std::string_view json);

}  // namespace fernlift::engine
