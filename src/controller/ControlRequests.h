#pragma once

/// Requests of registered runners and of the operator of services, and their answers. A
/// ControlCodec defines their form on the wire.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/Time.h"
#include "cell/RouterMessages.h"
#include "cell/ServiceInstances.h"

namespace fernlift::controller
{

/// Identifies one pending request of the control interface; the adapter numbers them.
using ControlTicket = std::uint64_t;

/// Periodic message of a live runner. When `instance.isDraining` is set, the runner will leave and
/// is to be sent no new requests.
struct InstanceHeartbeat
{
    cell::ServiceInstance instance;
    std::uint64_t sequence = 0;  ///< Increases with each heartbeat of an incarnation.
    std::vector<cell::HeldModel> models;
    std::vector<std::string> inMemory;  ///< Models that it can load from its host memory.
    std::vector<std::string> onDisk;    ///< Models that it can load from its own disk.
    std::string softwareVersion{};      ///< Version of its software; empty: not reported.
};

/// Message by which a runner deregisters when it ends.
struct InstanceDeregistration
{
    std::string instance;
    base::UnixMilliseconds startedAt = 0;  ///< Start time of the incarnation; 0: unknown.
};

/// The operator replaces the configuration as a whole.
struct ReplaceConfiguration
{
    std::string text;
};

/// The operator reads the newest configuration.
struct ReadConfiguration
{
};

using ControlRequest = std::variant<InstanceHeartbeat, InstanceDeregistration, ReplaceConfiguration,
                                    ReadConfiguration>;

enum class ControlVerdict : std::uint8_t
{
    kDone,
    kInvalid,      ///< The content of the request is invalid.
    kNotLeader,    ///< Another controller leads; its address may be known.
    kUnavailable,  ///< No controller can decide now; the request is to be repeated.
};

/// For logs, for example "not_leader".
[[nodiscard]] constexpr const char* toString (ControlVerdict verdict)
{
    switch (verdict)
    {
        case ControlVerdict::kDone:
            return "done";
        case ControlVerdict::kInvalid:
            return "invalid";
        case ControlVerdict::kNotLeader:
            return "not_leader";
        case ControlVerdict::kUnavailable:
            break;
    }
    return "unavailable";
}

struct ControlAnswer
{
    ControlVerdict verdict = ControlVerdict::kDone;
    std::string
        leaderAddress;  ///< "ip:port" of the leader's control interface; empty when unknown.
    std::string text;   ///< The configuration that was read, or the problems of an invalid one.
};

}  // namespace fernlift::controller
