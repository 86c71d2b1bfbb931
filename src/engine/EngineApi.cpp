#include "engine/EngineApi.h"

#include "engine/JsonFields.h"

namespace fernlift::engine
{
namespace
{

constexpr auto kOrderKinds =
    std::to_array<JsonName<OrderKind>> ({ { OrderKind::kLoadModel, "load_model" },
                                          { OrderKind::kUnloadModel, "unload_model" },
                                          { OrderKind::kLoadAdapter, "load_adapter" },
                                          { OrderKind::kUnloadAdapter, "unload_adapter" } });
constexpr auto kReplicaPhases =
    std::to_array<JsonName<ReplicaPhase>> ({ { ReplicaPhase::kLoading, "loading" },
                                             { ReplicaPhase::kReady, "ready" },
                                             { ReplicaPhase::kUnloading, "unloading" },
                                             { ReplicaPhase::kFailed, "failed" } });
constexpr auto kCheckpointPlaces =
    std::to_array<JsonName<CheckpointPlace>> ({ { CheckpointPlace::kRemote, "remote" },
                                                { CheckpointPlace::kDisk, "disk" },
                                                { CheckpointPlace::kMemory, "memory" } });
constexpr auto kMachineRoles = std::to_array<JsonName<MachineRole>> (
    { { MachineRole::kModelRunner, "model" }, { MachineRole::kApplicationRunner, "application" } });
constexpr auto kMachineStates = std::to_array<JsonName<MachineState>> (
    { { MachineState::kLive, "live" }, { MachineState::kLeaving, "leaving" } });
constexpr auto kLeavingStates =
    std::to_array<JsonName<bool>> ({ { false, "live" }, { true, "leaving" } });

template <class Value, std::size_t kCount>
QJsonValue nameOf (const std::array<JsonName<Value>, kCount>& names, Value value)
{
    for (const auto& entry : names)
    {
        if (entry.value == value)
            return jsonText (entry.name);
    }
    return {};
}

QJsonObject toObject (const ReplicaReport& replica)
{
    QJsonObject object;
    object[QLatin1String ("replica")] = jsonInteger (replica.replica);
    object[QLatin1String ("phase")] = nameOf (kReplicaPhases, replica.phase);
    object[QLatin1String ("model")] = jsonText (replica.model.value);
    object[QLatin1String ("version")] = jsonText (replica.version);
    object[QLatin1String ("adapter")] = jsonText (replica.adapter.value);
    object[QLatin1String ("memory_mb")] = jsonInteger (replica.memory);
    object[QLatin1String ("running")] = jsonInteger (replica.runningRequests);
    object[QLatin1String ("waiting")] = jsonInteger (replica.waitingRequests);
    return object;
}

QJsonObject toObject (const CheckpointReport& checkpoint)
{
    QJsonObject object;
    object[QLatin1String ("artifact")] = jsonText (checkpoint.artifact);
    object[QLatin1String ("place")] = nameOf (kCheckpointPlaces, checkpoint.place);
    return object;
}

QJsonObject toObject (const Machine& machine)
{
    QJsonObject object;
    object[QLatin1String ("id")] = jsonText (machine.runner.value);
    object[QLatin1String ("role")] = nameOf (kMachineRoles, machine.role);
    object[QLatin1String ("state")] = nameOf (kMachineStates, machine.state);
    object[QLatin1String ("zone")] = jsonText (machine.zone.value);
    object[QLatin1String ("address")] = jsonText (machine.address);
    object[QLatin1String ("memory_mb")] = jsonInteger (machine.memory);
    object[QLatin1String ("accelerators")] = jsonInteger (machine.accelerators);
    QJsonArray applications;
    for (const auto& application : machine.applications)
    {
        applications.append (jsonText (application.value));
    }
    object[QLatin1String ("applications")] = applications;
    return object;
}

template <class Element>
QJsonArray toArray (const std::vector<Element>& elements)
{
    QJsonArray array;
    for (const auto& element : elements)
        array.append (toObject (element));
    return array;
}

void readReplica (JsonFields& fields, ReplicaReport& replica)
{
    fields.readInteger ("replica", &replica.replica)
        .readEnumeration ("phase", kReplicaPhases, &replica.phase)
        .readText ("model", &replica.model.value)
        .readText ("version", &replica.version)
        .readText ("adapter", &replica.adapter.value)
        .readInteger ("memory_mb", &replica.memory)
        .readInteger ("running", &replica.runningRequests)
        .readInteger ("waiting", &replica.waitingRequests);
}

void readCheckpoint (JsonFields& fields, CheckpointReport& checkpoint)
{
    fields.readText ("artifact", &checkpoint.artifact)
        .readEnumeration ("place", kCheckpointPlaces, &checkpoint.place);
}

void readMachine (JsonFields& fields, Machine& machine)
{
    std::vector<std::string> applications;
    fields.readText ("id", &machine.runner.value)
        .readEnumeration ("role", kMachineRoles, &machine.role)
        .readEnumeration ("state", kMachineStates, &machine.state)
        .readText ("zone", &machine.zone.value)
        .readText ("address", &machine.address)
        .readInteger ("memory_mb", &machine.memory)
        .readInteger ("accelerators", &machine.accelerators)
        .readTexts ("applications", &applications);
    for (auto& name : applications)
        machine.applications.emplace_back (std::move (name));
}

/// Parses a JSON object and reads its fields into a new `Value`.
template <class Value, class Read>
base::Result<Value> parse (std::string_view json, const Read& read)
{
    auto object = parseJsonObject (json);
    if (! object)
        return object.error();
    JsonFields fields (object.value());
    Value value;
    read (fields, value);
    auto finished = fields.finish();
    if (! finished)
        return finished.error();
    return value;
}

void readRefusal (JsonFields& fields, OrderAnswer& answer)
{
    std::string name;
    fields.readText ("refusal", &name);
    if (fields.failed() || answer.accepted)
        return;
    for (const auto& traits : base::allErrorTraits())
    {
        if (traits.name == name)
            answer.refusal = traits.kind;
    }
}

}  // namespace

std::string toJson (const Order& order)
{
    QJsonObject object;
    object[QLatin1String ("kind")] = nameOf (kOrderKinds, order.kind);
    object[QLatin1String ("fence")] = jsonInteger (order.fence);
    object[QLatin1String ("incarnation")] = jsonInteger (order.incarnation);
    object[QLatin1String ("replica")] = jsonInteger (order.replica);
    object[QLatin1String ("base_replica")] = jsonInteger (order.baseReplica);
    object[QLatin1String ("model")] = jsonText (order.model.value);
    object[QLatin1String ("version")] = jsonText (order.version);
    object[QLatin1String ("adapter")] = jsonText (order.adapter.value);
    object[QLatin1String ("memory_mb")] = jsonInteger (order.memory);
    return writeJson (object);
}

std::string toJson (const OrderAnswer& answer)
{
    QJsonObject object;
    const std::string_view refusal =
        answer.accepted ? std::string_view() : base::traitsOf (answer.refusal).name;
    object[QLatin1String ("accepted")] = answer.accepted;
    object[QLatin1String ("refusal")] = jsonText (refusal);
    object[QLatin1String ("highest_fence")] = jsonInteger (answer.highestFence);
    object[QLatin1String ("incarnation")] = jsonInteger (answer.incarnation);
    return writeJson (object);
}

std::string toJson (const Report& report)
{
    QJsonObject object;
    object[QLatin1String ("runner")] = jsonText (report.runner.value);
    object[QLatin1String ("incarnation")] = jsonInteger (report.incarnation);
    object[QLatin1String ("state")] = nameOf (kLeavingStates, report.isLeaving);
    object[QLatin1String ("total_memory_mb")] = jsonInteger (report.totalMemory);
    object[QLatin1String ("used_memory_mb")] = jsonInteger (report.usedMemory);
    object[QLatin1String ("highest_fence")] = jsonInteger (report.highestFence);
    object[QLatin1String ("slots")] = jsonInteger (report.slots);
    object[QLatin1String ("running")] = jsonInteger (report.runningRequests);
    object[QLatin1String ("waiting")] = jsonInteger (report.waitingRequests);
    object[QLatin1String ("replicas")] = toArray (report.replicas);
    object[QLatin1String ("checkpoints")] = toArray (report.checkpoints);
    return writeJson (object);
}

std::string toJson (const MachineList& list)
{
    QJsonObject object;
    object[QLatin1String ("machines")] = toArray (list.machines);
    return writeJson (object);
}

base::Result<Order> parseOrder (std::string_view json)
{
    return parse<Order> (json,
                         [] (JsonFields& fields, Order& order)
                         {
                             fields.readEnumeration ("kind", kOrderKinds, &order.kind)
                                 .readInteger ("fence", &order.fence)
                                 .readInteger ("incarnation", &order.incarnation)
                                 .readInteger ("replica", &order.replica)
                                 .readInteger ("base_replica", &order.baseReplica)
                                 .readText ("model", &order.model.value)
                                 .readText ("version", &order.version)
                                 .readText ("adapter", &order.adapter.value)
                                 .readInteger ("memory_mb", &order.memory);
                         });
}

base::Result<OrderAnswer> parseOrderAnswer (std::string_view json)
{
    return parse<OrderAnswer> (json,
                               [] (JsonFields& fields, OrderAnswer& answer)
                               {
                                   fields.readBoolean ("accepted", &answer.accepted)
                                       .readInteger ("highest_fence", &answer.highestFence)
                                       .readInteger ("incarnation", &answer.incarnation);
                                   readRefusal (fields, answer);
                               });
}

base::Result<Report> parseReport (std::string_view json)
{
    return parse<Report> (
        json,
        [] (JsonFields& fields, Report& report)
        {
            fields.readText ("runner", &report.runner.value)
                .readInteger ("incarnation", &report.incarnation)
                .readEnumeration ("state", kLeavingStates, &report.isLeaving)
                .readInteger ("total_memory_mb", &report.totalMemory)
                .readInteger ("used_memory_mb", &report.usedMemory)
                .readInteger ("highest_fence", &report.highestFence)
                .readInteger ("slots", &report.slots)
                .readInteger ("running", &report.runningRequests)
                .readInteger ("waiting", &report.waitingRequests)
                .readObjects<ReplicaReport> ("replicas", &report.replicas, readReplica)
                .readObjects<CheckpointReport> ("checkpoints", &report.checkpoints, readCheckpoint);
        });
}

base::Result<MachineList> parseMachineList (std::string_view json)
{
    return parse<MachineList> (
        json, [] (JsonFields& fields, MachineList& list)
        { fields.readObjects<Machine> ("machines", &list.machines, readMachine); });
}

}  // namespace fernlift::engine
