#pragma once

/// Requests of registered runners and of the operator of services, and their answers. How they look
/// on the wire is the business of a ControlCodec.

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

/// A runner tells that it lives. `instance.isDraining`: it will leave and wants no new requests.
struct InstanceHeartbeat
{
    cell::ServiceInstance instance;
    std::uint64_t sequence = 0;  ///< Rises with each heartbeat of one incarnation of the instance.
    std::vector<cell::HeldModel> models;
    std::vector<std::string> inMemory;  ///< Models it can load from its host memory.
    std::vector<std::string> onDisk;    ///< Models it can load from its own disk.
};

/// A runner tells that it ends.
struct InstanceDeregistration
{
    std::string instance;
    base::UnixMilliseconds startedAt = 0;  ///< Of the incarnation; 0: it does not tell.
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
    kInvalid,      ///< The request cannot be carried out as it stands.
    kNotLeader,    ///< Another controller decides; its address may be known.
    kUnavailable,  ///< Nobody can decide now; send again.
};

/// For logs, for example "not_leader".
[[nodiscard]] constexpr const char* nameOf (ControlVerdict verdict)
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
    std::string text;   ///< The configuration read, or what is invalid.
};

}  // namespace fernlift::controller
