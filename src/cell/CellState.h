#pragma once

/// The replicated state machine of a cell. Every controller applies the same commands in the same
/// order and thus has the same state. Replication itself is left to the consensus module. Not
/// thread-safe.

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/Error.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "cell/ClaimTable.h"
#include "cell/Commands.h"
#include "cell/ConfigurationState.h"
#include "cell/DecisionJournal.h"
#include "cell/PlantedFault.h"
#include "cell/QuarantineTable.h"
#include "cell/ReplicaTable.h"
#include "cell/ServiceInstances.h"
#include "cell/SoftwareVersionHistory.h"

namespace fernlift::cell
{

/// Result of DecideLoad. If granted, the id of the replica is the log index of the command.
struct LoadResult
{
    LoadRefusal refusal = LoadRefusal::kNone;

    bool operator== (const LoadResult&) const = default;
};

/// Result of DecideUnload.
struct UnloadResult
{
    UnloadRefusal refusal = UnloadRefusal::kNone;

    bool operator== (const UnloadResult&) const = default;
};

/// Result of ClaimKeys: one answer per claim, in the order of the claims.
struct ClaimResult
{
    std::vector<ClaimAnswer> answers;

    bool operator== (const ClaimResult&) const = default;
};

/// Result of every other command.
struct ChangeResult
{
    bool changed = false;

    bool operator== (const ChangeResult&) const = default;
};

using ApplyResult =
    std::variant<ConfigurationResult, LoadResult, UnloadResult, ClaimResult, ChangeResult>;

/// Deterministic: uses no clock, no randomness and no I/O.
class CellState
{
public:
    explicit CellState (CatalogueParser parser = &config::parseCatalogue,
                        PlantedFault fault = PlantedFault::kNone)
        : m_fault (fault), m_configuration (parser, fault), m_replicas (fault)
    {
    }

    /// Applies the command at a log index. Indexes must increase from call to call.
    ApplyResult apply (base::LogIndex index, const Command& command);

    [[nodiscard]] const ConfigurationState& configuration() const { return m_configuration; }
    /// See ConfigurationState::keepParsed.
    void keepParsed (std::string digest, config::Catalogue catalogue)
    {
        m_configuration.keepParsed (std::move (digest), std::move (catalogue));
    }
    [[nodiscard]] const ReplicaTable& replicas() const { return m_replicas; }
    [[nodiscard]] const ServiceInstances& instances() const { return m_instances; }
    [[nodiscard]] const SoftwareVersionHistory& softwareVersions() const
    {
        return m_softwareVersions;
    }
    [[nodiscard]] const ClaimTable& claims() const { return m_claims; }
    [[nodiscard]] const QuarantineTable& quarantine() const { return m_quarantine; }
    [[nodiscard]] const DecisionJournal& journal() const { return m_journal; }
    /// Latest time stated by any proposer; never decreases.
    [[nodiscard]] base::UnixMilliseconds time() const { return m_time; }
    [[nodiscard]] base::LogIndex appliedIndex() const { return m_appliedIndex; }

    /// Encodes the state for restore(). Equal states give equal bytes.
    [[nodiscard]] std::string encode() const;
    /// Replaces the state with an encoded one. Fails without a change on damaged bytes
    /// (kMessageInvalid) and on unknown formats (kStorageFormatUnknown). Also reads the two earlier
    /// formats: format 3 has no start times of instances, format 2 has no suspects either.
    base::Result<void> restore (std::string_view bytes);

private:
    ApplyResult applyCommand (base::LogIndex index, const ApplyConfiguration& command);
    ApplyResult applyCommand (base::LogIndex index, const ObserveRunner& command);
    ApplyResult applyCommand (base::LogIndex index, const RemoveRunner& command);
    ApplyResult applyCommand (base::LogIndex index, const DecideLoad& command);
    ApplyResult applyCommand (base::LogIndex index, const DecideUnload& command);
    ApplyResult applyCommand (base::LogIndex index, const ReplicaReady& command);
    ApplyResult applyCommand (base::LogIndex index, const ReplicaReleased& command);
    ApplyResult applyCommand (base::LogIndex index, const ClaimKeys& command);
    ApplyResult applyCommand (base::LogIndex index, const RecordOutcomes& command);
    ApplyResult applyCommand (base::LogIndex index, const SetDraining& command);
    ApplyResult applyCommand (base::LogIndex index, const AddInstance& command);
    ApplyResult applyCommand (base::LogIndex index, const DrainInstance& command);
    ApplyResult applyCommand (base::LogIndex index, const RemoveInstance& command);
    ApplyResult applyCommand (base::LogIndex index, const RecordHeldModels& command);
    ApplyResult applyCommand (base::LogIndex index, const RecordOrders& command);
    ApplyResult applyCommand (base::LogIndex index, const RecordSuspects& command);
    ApplyResult applyCommand (base::LogIndex index, const ReleaseSuspects& command);
    void note (base::LogIndex index, base::UnixMilliseconds at, DecisionKind kind,
               const Replica* replica, std::string_view outcome, const std::string& reason);
    void recordReleased (base::LogIndex index, base::UnixMilliseconds at,
                         const std::vector<Replica>& released, const std::string& reason);

    PlantedFault m_fault;
    ConfigurationState m_configuration;
    ReplicaTable m_replicas;
    ServiceInstances m_instances;
    SoftwareVersionHistory m_softwareVersions = SoftwareVersionHistory::ofNewCell();
    ClaimTable m_claims;
    QuarantineTable m_quarantine;
    DecisionJournal m_journal;
    base::UnixMilliseconds m_time = 0;
    base::LogIndex m_appliedIndex = 0;
};

}  // namespace fernlift::cell
