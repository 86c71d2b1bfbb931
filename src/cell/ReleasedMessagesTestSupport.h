#pragma once

/// Test support: one sample of each message and command of the last release. Each list in a sample
/// has an element, so that the layout of the elements is checked, too.

#include <string>
#include <utility>
#include <vector>

#include "cell/CellState.h"
#include "cell/CommandCodec.h"
#include "cell/Commands.h"
#include "cell/RouterMessages.h"
#include "consensus/Messages.h"
#include "wire/Codec.h"

namespace fernlift::cell::test
{

/// Name of a message and its bytes.
using MessageSample = std::pair<std::string, std::string>;

inline std::string hexOf (const std::string& bytes)
{
    constexpr const char* kDigits = "0123456789abcdef";
    constexpr unsigned kLow = 15;
    std::string hex;
    for (const char each : bytes)
    {
        const auto value = static_cast<unsigned char> (each);
        hex += kDigits[value >> 4U];
        hex += kDigits[value & kLow];
    }
    return hex;
}

inline std::vector<MessageSample> samplesFromRouters()
{
    RouterHello hello;
    hello.router = base::RouterId ("r-1");
    hello.cell = base::CellId ("cell");
    hello.zone = base::ZoneName ("z1");
    hello.address = "10.0.0.1:80";
    hello.configurationVersion = 7;
    hello.acceptsLastKnownState = true;
    hello.instanceTerm = 3;
    hello.instanceVersion = 9;
    LeaseRequest lease;
    lease.sequence = 5;
    lease.configurationVersion = 7;
    lease.instanceVersion = 9;
    lease.routers = 4;
    RelayedHeartbeat relayed;
    relayed.instance = "i-1";
    relayed.models.emplace_back();
    relayed.inMemory.emplace_back ("m1");
    relayed.first.emplace_back();
    RunnerCrashReport crash;
    crash.instance = "i-1@5";
    const auto encode = [] (const RouterToController& message)
    { return wire::encodeMessage (message); };
    return {
        { "RouterHello", encode (hello) },
        { "LeaseRequest", encode (lease) },
        { "DemandReport", encode (DemandReport{ { Demand{} } }) },
        { "ClaimRequest", encode (ClaimRequest{ 2, { Claim{} } }) },
        { "OutcomeReport", encode (OutcomeReport{ { OutcomeRecord{} } }) },
        { "RunnerLeavingSeen", encode (RunnerLeavingReport{}) },
        { "EngineDemandReport", encode (EngineDemandReport{ { EngineDemand{} } }) },
        { "MemberJoinRequest", encode (MemberJoinRequest{}) },
        { "InstanceUnreachable", encode (InstanceUnreachable{ "i-1" }) },
        { "InstanceSightings", encode (RelayedHeartbeats{ { relayed } }) },
        { "QuotaRequest", encode (QuotaRequest{ 6, { { "farm", { 9000, 12 } } } }) },
        { "SuspectReport", encode (SuspectReport{ { crash }, { "digest" } }) },
        { "InstanceLoadReport",
          encode (InstanceLoadReport{
              { { "i-1", 3, 900 } }, { { "i-1", "m1", 4, 50 } }, { { "i-1", 120, 8 } } }) },
    };
}

inline std::vector<MessageSample> samplesToRouters()
{
    ConfigurationUpdate configuration{ 8, "digest", "text" };
    configuration.baseVersion = 7;
    configuration.pieces.push_back ({ 1, 2, "new" });
    LeaseGrant grant;
    grant.sequence = 5;
    grant.configurationVersion = 8;
    grant.term = 3;
    grant.durationMilliseconds = 2000;
    ReplicaUpdate replicas;
    replicas.upserts.emplace_back();
    replicas.estimates.emplace_back();
    replicas.loads.emplace_back();
    InstanceUpdate instances;
    instances.term = 3;
    instances.toVersion = 9;
    instances.upserts.emplace_back();
    instances.upserts.back().instance.id = "i-1";
    instances.removals.emplace_back ("i-2");
    instances.controllers.push_back ({ "10.0.0.2:7380", "z1", true });
    const auto encode = [] (const ControllerToRouter& message)
    { return wire::encodeMessage (message); };
    return {
        { "NotLeaderReply", encode (NotLeaderReply{ "10.0.0.2:7380" }) },
        { "ConfigurationUpdate", encode (configuration) },
        { "LeaseGrant", encode (grant) },
        { "ReplicaUpdate", encode (replicas) },
        { "ClaimReply", encode (ClaimReply{ 2, { ClaimAnswer{} } }) },
        { "InstanceUpdate", encode (instances) },
        { "MemberJoinReply", encode (MemberJoinReply{ true }) },
        { "QuotaGrant", encode (QuotaGrant{ 6, { { "farm", 9000, 50, 20 } } }) },
        { "SuspectUpdate", encode (SuspectUpdate{ 1, 2, { SuspectRow{} }, { "digest" } }) },
        { "SuspectHint", encode (SuspectReport{}) },
        { "InstanceLoadUpdate",
          encode (InstanceLoadUpdate{ true, { { "i-1", 3, 900, 110, 120, 8 } } }) },
    };
}

inline std::vector<MessageSample> samplesBetweenMembers()
{
    consensus::AppendRequest append;
    append.entries.emplace_back();
    append.entries.back().data = "command";
    consensus::SnapshotChunk chunk;
    chunk.data = "snapshot";
    const auto encode = [] (const consensus::Payload& payload)
    { return wire::encodeMessage (payload); };
    return {
        { "VoteRequest", encode (consensus::VoteRequest{}) },
        { "VoteReply", encode (consensus::VoteReply{}) },
        { "AppendRequest", encode (append) },
        { "AppendReply", encode (consensus::AppendReply{}) },
        { "SnapshotChunk", encode (chunk) },
        { "SnapshotReply", encode (consensus::SnapshotReply{}) },
        { "TransferLeadership", encode (consensus::TransferLeadership{}) },
    };
}

inline std::vector<MessageSample> samplesOfCommands()
{
    ApplyConfiguration configuration;
    configuration.version = 7;
    configuration.text = "text";
    ClaimKeys claims;
    claims.claims.emplace_back();
    RecordOutcomes outcomes;
    outcomes.outcomes.emplace_back();
    AddInstance add;
    add.instance.id = "i-1";
    add.instance.startedAt = 5;
    add.instance.models.emplace_back();
    RecordHeldModels heldModels;
    heldModels.heldModels.emplace_back();
    RecordOrders orders;
    orders.orders.emplace_back();
    return {
        { "ApplyConfiguration", encodeCommand (configuration) },
        { "ObserveRunner", encodeCommand (ObserveRunner{}) },
        { "RemoveRunner", encodeCommand (RemoveRunner{}) },
        { "DecideLoad", encodeCommand (DecideLoad{}) },
        { "DecideUnload", encodeCommand (DecideUnload{}) },
        { "ReplicaReady", encodeCommand (ReplicaReady{}) },
        { "ReplicaReleased", encodeCommand (ReplicaReleased{}) },
        { "ClaimKeys", encodeCommand (claims) },
        { "RecordOutcomes", encodeCommand (outcomes) },
        { "SetDraining", encodeCommand (SetDraining{}) },
        { "AddInstance", encodeCommand (add) },
        { "DrainInstance", encodeCommand (DrainInstance{}) },
        { "RemoveInstance", encodeCommand (RemoveInstance{}) },
        { "NoteHoldings", encodeCommand (heldModels) },
        { "NoteOrders", encodeCommand (orders) },
        { "NoteSuspects", encodeCommand (RecordSuspects{}) },
        { "ReleaseSuspects", encodeCommand (ReleaseSuspects{}) },
    };
}

/// Returns a snapshot of a state with a draining instance and a deregistered one.
inline std::string sampleSnapshot()
{
    CellState state;
    base::LogIndex index = 0;
    for (const std::string id : { "i-1", "i-2" })
    {
        AddInstance add;
        add.instance.id = id;
        add.instance.service = "llm";
        add.instance.address = "10.0.0.1:80";
        add.instance.zone = "z1";
        add.instance.slots = 4;
        add.instance.startedAt = 5;
        add.instance.models.push_back ({ "m", 1, { "a" } });
        add.proposedAt = 7;
        state.apply (++index, add);
    }
    DrainInstance drain;
    drain.instance = "i-1";
    drain.startedAt = 5;
    state.apply (++index, drain);
    RemoveInstance remove;
    remove.instance = "i-2";
    remove.isDeregistered = true;
    remove.startedAt = 5;
    state.apply (++index, remove);
    return state.encode();
}

}  // namespace fernlift::cell::test
