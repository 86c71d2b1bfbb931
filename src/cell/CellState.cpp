#include "cell/CellState.h"

#include <algorithm>
#include <utility>

#include "wire/Codec.h"
#include "wire/OptionalTail.h"

namespace fernlift::cell
{
namespace
{

std::string_view toString (ConfigurationOutcome outcome)
{
    switch (outcome)
    {
        case ConfigurationOutcome::kAccepted:
            return "accepted";
        case ConfigurationOutcome::kUnchanged:
            return "unchanged";
        case ConfigurationOutcome::kConflict:
            return "conflict";
        case ConfigurationOutcome::kStale:
            return "stale";
        case ConfigurationOutcome::kInvalid:
            return "invalid";
    }
    return "unknown";
}

/// First bytes of a snapshot. Any change to the layout of StoredState requires a new number.
constexpr std::string_view kSnapshotFormat = "fernlift cell 4\n";
/// Format without start times of instances. The class versions of the instance types tell the two
/// layouts apart, so that both formats are decoded in the same way.
constexpr std::string_view kFormatWithoutStarts = "fernlift cell 3\n";
/// Format without start times of instances and without the table of suspects.
constexpr std::string_view kFormatWithoutSuspects = "fernlift cell 2\n";
static_assert (kFormatWithoutStarts.size() == kSnapshotFormat.size());
static_assert (kFormatWithoutSuspects.size() == kSnapshotFormat.size());

/// Layout of a snapshot, for writing. Refers to the members of the state instead of copying them,
/// because copying a large claim table is slow.
struct StoredStateView
{
    const ConfigurationIdentity& configuration;
    const std::string& configurationText;
    const ReplicaTable& replicas;
    const ServiceInstances& instances;
    const ClaimTable& claims;
    const DecisionJournal& journal;
    const base::UnixMilliseconds& time;
    const base::LogIndex& appliedIndex;
    const QuarantineTable& quarantine;
    const SoftwareVersionHistory& softwareVersions;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/) const
    {
        archive& configuration& configurationText& replicas& instances& claims& journal& time&
            appliedIndex& quarantine;
        wire::serializeTail (archive, softwareVersions);
    }
};

/// Layout of format 2, for reading.
struct EarlierStoredState
{
    ConfigurationIdentity configuration;
    std::string configurationText;
    ReplicaTable replicas;
    ServiceInstances instances;
    ClaimTable claims;
    DecisionJournal journal;
    base::UnixMilliseconds time = 0;
    base::LogIndex appliedIndex = 0;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& configuration& configurationText& replicas& instances& claims& journal& time&
            appliedIndex;
    }
};

/// Layout of formats 3 and 4, for reading. Earlier builds ignore what follows `quarantine`.
struct StoredState : EarlierStoredState
{
    QuarantineTable quarantine;
    SoftwareVersionHistory softwareVersions;

    template <class Archive>
    void serialize (Archive& archive, unsigned version)
    {
        EarlierStoredState::serialize (archive, version);
        archive& quarantine;
        wire::serializeTail (archive, softwareVersions);
    }
};

base::Result<StoredState> decodeState (std::string_view bytes)
{
    if (bytes.starts_with (kSnapshotFormat) || bytes.starts_with (kFormatWithoutStarts))
        return wire::decodeValue<StoredState> (bytes.substr (kSnapshotFormat.size()));
    if (! bytes.starts_with (kFormatWithoutSuspects))
    {
        return base::fail (base::ErrorKind::kStorageFormatUnknown,
                           "snapshot has an unknown format; expected format 2, 3 or 4");
    }
    BOOST_LEAF_AUTO (earlier,
                     wire::decodeValue<EarlierStoredState> (bytes.substr (kSnapshotFormat.size())));
    StoredState stored;
    static_cast<EarlierStoredState&> (stored) = std::move (earlier);
    return stored;
}

}  // namespace

ApplyResult CellState::apply (base::LogIndex index, const Command& command)
{
    m_appliedIndex = index;
    return std::visit (
        [&] (const auto& value)
        {
            m_time = std::max (m_time, value.proposedAt);
            return applyCommand (index, value);
        },
        command);
}

ApplyResult CellState::applyCommand (base::LogIndex index, const ApplyConfiguration& command)
{
    ConfigurationResult result = m_configuration.apply (index, command);
    note (index, command.proposedAt, DecisionKind::kConfiguration, nullptr,
          toString (result.outcome),
          "version " + std::to_string (command.version) + " digest " + command.digest);
    return result;
}

ApplyResult CellState::applyCommand (base::LogIndex index, const ObserveRunner& command)
{
    std::vector<Replica> released;
    const bool changed = m_replicas.observe (command, &released);
    if (changed)
    {
        DecisionRecord record{
            index, command.proposedAt, DecisionKind::kRunnerObserved, "", {}, 0, "", ""
        };
        record.runner = command.machine.runner;
        record.outcome = "granted";
        record.reason = std::string (command.isLeaving ? "leaving" : "live") + ", incarnation "
                        + std::to_string (command.incarnation);
        m_journal.add (std::move (record));
    }
    recordReleased (index, command.proposedAt, released, "the runner restarted");
    return ChangeResult{ changed };
}

ApplyResult CellState::applyCommand (base::LogIndex index, const RemoveRunner& command)
{
    std::vector<Replica> released;
    const bool changed = m_replicas.removeRunner (command.runner, &released);
    if (changed)
    {
        m_journal.add ({ index, command.proposedAt, DecisionKind::kRunnerRemoved, "",
                         command.runner, 0, "granted", "the machine list no longer names it" });
    }
    recordReleased (index, command.proposedAt, released, "the machine is gone");
    return ChangeResult{ changed };
}

ApplyResult CellState::applyCommand (base::LogIndex index, const DecideLoad& command)
{
    const LoadRefusal refusal = m_replicas.load (index, command, m_configuration.catalogue());
    const std::string& target =
        command.adapter.empty() ? command.model.value : command.adapter.value;
    m_journal.add ({ index, command.proposedAt, DecisionKind::kLoad, target, command.runner,
                     refusal == LoadRefusal::kNone ? index : 0,
                     std::string (cell::toString (refusal)), command.reason });
    return LoadResult{ refusal };
}

ApplyResult CellState::applyCommand (base::LogIndex index, const DecideUnload& command)
{
    const UnloadRefusal refusal = m_replicas.unload (index, command.replica);
    note (index, command.proposedAt, DecisionKind::kUnload,
          m_replicas.findReplica (command.replica), cell::toString (refusal), command.reason);
    return UnloadResult{ refusal };
}

ApplyResult CellState::applyCommand (base::LogIndex index, const ReplicaReady& command)
{
    const bool changed = m_replicas.ready (command.replica, command.proposedAt);
    if (changed)
    {
        note (index, command.proposedAt, DecisionKind::kReady,
              m_replicas.findReplica (command.replica), "granted", "the engine reported it ready");
    }
    return ChangeResult{ changed };
}

ApplyResult CellState::applyCommand (base::LogIndex index, const ReplicaReleased& command)
{
    const Replica* found = m_replicas.findReplica (command.replica);
    if (found == nullptr)
        return ChangeResult{ false };
    const Replica replica = *found;
    const bool changed = m_replicas.release (command.replica);
    if (changed)
        recordReleased (index, command.proposedAt, { replica }, command.reason);
    return ChangeResult{ changed };
}

ApplyResult CellState::applyCommand (base::LogIndex /*index*/, const ClaimKeys& command)
{
    m_claims.expire (m_time);
    ClaimResult result;
    result.answers.reserve (command.claims.size());
    for (const Claim& claim : command.claims)
        result.answers.push_back (m_claims.claim (claim, m_time));
    return result;
}

ApplyResult CellState::applyCommand (base::LogIndex /*index*/, const RecordOutcomes& command)
{
    m_claims.expire (m_time);
    bool changed = false;
    for (const OutcomeRecord& outcome : command.outcomes)
    {
        changed = m_claims.record (outcome) || changed;
    }
    return ChangeResult{ changed };
}

ApplyResult CellState::applyCommand (base::LogIndex index, const SetDraining& command)
{
    const bool changed = m_replicas.setDraining (command.runner, command.isDraining);
    if (changed)
    {
        m_journal.add ({ index, command.proposedAt, DecisionKind::kDraining, "", command.runner, 0,
                         command.isDraining ? "draining" : "in service",
                         "an operator asked for it" });
    }
    return ChangeResult{ changed };
}

ApplyResult CellState::applyCommand (base::LogIndex /*index*/, const AddInstance& command)
{
    const std::string& id = command.instance.id;
    const bool changed = m_instances.add (command.instance);
    const ServiceInstance* known = m_instances.find (id);
    const bool isKnown = known != nullptr && known->startedAt == command.instance.startedAt;
    if (isKnown && command.softwareVersion)
        m_softwareVersions.record (*known, *command.softwareVersion, m_time);
    else if (isKnown && changed)
        m_softwareVersions.recordUnknown (id, m_time);
    return ChangeResult{ changed };
}

ApplyResult CellState::applyCommand (base::LogIndex /*index*/, const DrainInstance& command)
{
    return ChangeResult{ m_instances.drain (command.instance, command.startedAt) };
}

ApplyResult CellState::applyCommand (base::LogIndex /*index*/, const RemoveInstance& command)
{
    const bool changed =
        m_instances.remove (command.instance, command.isDeregistered, command.startedAt);
    if (changed)
        m_softwareVersions.remove (command.instance, m_time);
    return ChangeResult{ changed };
}

ApplyResult CellState::applyCommand (base::LogIndex /*index*/, const RecordOrders& /*command*/)
{
    return ChangeResult{ false };
}

ApplyResult CellState::applyCommand (base::LogIndex /*index*/, const RecordHeldModels& command)
{
    bool changed = false;
    for (const InstanceHeldModels& heldModels : command.heldModels)
    {
        changed =
            m_instances.setModels (heldModels.instance, heldModels.models, heldModels.startedAt)
            || changed;
    }
    return ChangeResult{ changed };
}

ApplyResult CellState::applyCommand (base::LogIndex index, const RecordSuspects& command)
{
    bool changed = m_quarantine.expire (index, m_time);
    for (const std::string& digest : command.cleared)
        changed = m_quarantine.release (index, digest) || changed;
    for (const RunnerCrash& crash : command.crashes)
        changed = m_quarantine.note (index, crash) || changed;
    return ChangeResult{ changed };
}

ApplyResult CellState::applyCommand (base::LogIndex index, const ReleaseSuspects& command)
{
    if (command.digests.empty())
        return ChangeResult{ m_quarantine.releaseAll (index) };
    bool changed = false;
    for (const std::string& digest : command.digests)
        changed = m_quarantine.release (index, digest) || changed;
    return ChangeResult{ changed };
}

void CellState::note (base::LogIndex index, base::UnixMilliseconds at, DecisionKind kind,
                      const Replica* replica, std::string_view outcome, const std::string& reason)
{
    DecisionRecord record;
    record.index = index;
    record.at = at;
    record.kind = kind;
    if (replica != nullptr)
    {
        record.target = replica->target();
        record.runner = replica->runner;
        record.replica = replica->id;
    }
    record.outcome = outcome;
    record.reason = reason;
    m_journal.add (std::move (record));
}

void CellState::recordReleased (base::LogIndex index, base::UnixMilliseconds at,
                                const std::vector<Replica>& released, const std::string& reason)
{
    for (const Replica& replica : released)
    {
        note (index, at, DecisionKind::kReleased, &replica, "granted", reason);
    }
}

std::string CellState::encode() const
{
    const ClaimTable noClaims;
    const bool forgetsClaims = m_fault == PlantedFault::kClaimsNotSnapshotted;
    const StoredStateView stored{ m_configuration.identity(),
                                  m_configuration.text(),
                                  m_replicas,
                                  m_instances,
                                  forgetsClaims ? noClaims : m_claims,
                                  m_journal,
                                  m_time,
                                  m_appliedIndex,
                                  m_quarantine,
                                  m_softwareVersions };
    return std::string (kSnapshotFormat) + wire::encodeValue (stored);
}

base::Result<void> CellState::restore (std::string_view bytes)
{
    BOOST_LEAF_AUTO (stored, decodeState (bytes));
    if (! m_configuration.restore (std::move (stored.configuration),
                                   std::move (stored.configurationText)))
    {
        return base::fail (base::ErrorKind::kMessageInvalid,
                           "configuration in the snapshot cannot be parsed");
    }
    m_replicas.replaceWith (std::move (stored.replicas));
    m_instances = std::move (stored.instances);
    m_softwareVersions = std::move (stored.softwareVersions);
    if (m_softwareVersions.isMissing())
        m_softwareVersions.beginAt (stored.time);
    m_claims = std::move (stored.claims);
    m_quarantine = std::move (stored.quarantine);
    m_journal = std::move (stored.journal);
    m_time = stored.time;
    m_appliedIndex = stored.appliedIndex;
    return {};
}

}  // namespace fernlift::cell
