#pragma once

/// The leader's table of registered runners: the replicated table of the cell joined with the state
/// reported in heartbeats. The table is versioned, so that routers can be sent changes only.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/Time.h"
#include "cell/RouterMessages.h"
#include "cell/ServiceInstances.h"
#include "cell/SoftwareVersionHistory.h"
#include "controller/ControlRequests.h"
#include "controller/RelayInstanceTable.h"
#include "controller/TableVersions.h"
#include "controller/VersionIndex.h"

namespace fernlift::controller
{

class InstanceTable
{
public:
    /// An instance without a heartbeat for `silence` is shown as silent to routers.
    InstanceTable (base::Term term, base::Duration silence)
        : m_term (term), m_silence (silence), m_version (firstVersionOf (term))
    {
        m_known.restart (m_version);
    }

    /// Continues the table of an earlier leader from the relay copy that this member holds. Call it
    /// before any other update. `leader` is the term of the new leader.
    void continueFrom (RelayInstanceTable&& earlier, base::Term leader);
    /// Takes the software versions that are recorded in the log for runners that have not reported
    /// to this leader.
    void restoreSoftwareVersions (const cell::SoftwareVersionHistory& recorded);
    /// Discards the version history, so that all receivers get the whole table. Needed when a
    /// receiver holds a table that was created by a later leader than this one.
    void restartVersions (base::Term term);

    /// Records a heartbeat. Returns false when one with a higher sequence or of a later incarnation
    /// was recorded before. The first one of a later incarnation replaces all recorded state of the
    /// instance.
    bool onHeartbeat (const InstanceHeartbeat& heartbeat, base::TimePoint now);
    /// Returns the other instances at the address of this one. An address belongs to the instance
    /// that registered there last; the earlier ones have ended.
    [[nodiscard]] std::vector<std::string> predecessorsOf (
        const cell::ServiceInstance& instance) const;
    /// Whether a heartbeat is a late one of an instance that is not in the table any more and whose
    /// address now belongs to another instance.
    [[nodiscard]] bool isFromPredecessor (const InstanceHeartbeat& heartbeat,
                                          base::TimePoint now) const;
    /// Records a relayed heartbeat that does not change the held models.
    void onUnchangedHeartbeat (const cell::RelayedHeartbeat& relayed, base::TimePoint now);
    /// Records that a router could not reach the instance: it counts as silent until its next
    /// heartbeat.
    void onUnreachable (const std::string& id, base::TimePoint now);
    /// Replaces the models of an engine, which a report or a completed order has shown.
    void setModels (const std::string& id, std::vector<cell::HeldModel> models);
    /// Records that the replicated table changed or removed the entry of the instance.
    void onReplicatedChange (const std::string& id) { m_pendingRefresh.insert (id); }
    /// Updates all rows from the replicated table and the silence of each instance.
    void refresh (const cell::ServiceInstances& replicated, base::TimePoint now);
    /// Updates only the rows of instances with a heartbeat or change since the last refresh; does
    /// not detect instances that became silent.
    void refreshChanged (const cell::ServiceInstances& replicated, base::TimePoint now);

    /// Sends the first row again with the next update, so that there is one.
    void renewFirstRow();

    /// Returns the instances without a heartbeat for at least `limit`.
    [[nodiscard]] std::vector<std::string> silentFor (base::Duration limit,
                                                      base::TimePoint now) const;
    [[nodiscard]] const std::map<std::string, cell::RoutableInstance>& rows() const
    {
        return m_rows;
    }
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    /// Term of the leader that created the table; identifies the table together with a version.
    [[nodiscard]] base::Term term() const { return m_term; }
    /// Versions since which updateSince() can return the changes alone.
    [[nodiscard]] const TableVersions& knownVersions() const { return m_known; }
    /// Returns the changes since a version, or the whole table when they are not known.
    [[nodiscard]] cell::InstanceUpdate updateSince (std::uint64_t version) const;
    /// Calls `visit` with the id and row of each instance that changed after `version`, or with
    /// null in place of the row of a removed instance.
    template <class Visit>
    void visitSince (std::uint64_t version, const Visit& visit) const
    {
        visitBetween (version, m_version, visit);
    }
    /// As visitSince(), for changes after `version` and up to version `last`.
    template <class Visit>
    void visitBetween (std::uint64_t version, std::uint64_t last, const Visit& visit) const
    {
        m_changed.visitBetween (version, last,
                                [&] (const std::string& id) { visit (id, &m_rows.at (id)); });
        m_removed.visitBetween (version, last,
                                [&] (const std::string& id) { visit (id, nullptr); });
    }
    /// Returns the version of the `count`th change or removal of a row after `version`, or the
    /// current version when there are fewer.
    [[nodiscard]] std::uint64_t versionAfter (std::uint64_t version, std::size_t count) const;

private:
    struct HeartbeatState
    {
        base::UnixMilliseconds startedAt = 0;  ///< Start of the incarnation; 0: not reported.
        base::TimePoint lastHeartbeatAt{};
        base::TimePoint unreachableAt{};
        std::uint64_t sequence = 0;
        bool isReported = false;
        bool isPlaced = false;  ///< Whether `models` was set by setModels(), which is
                                ///< more accurate than heartbeats.
        std::vector<cell::HeldModel> models;
        std::string softwareVersion;  ///< Empty: not reported.
    };

    using Rows = std::map<std::string, cell::RoutableInstance>;

    [[nodiscard]] bool isSilent (const HeartbeatState& state, base::TimePoint now) const;
    /// Returns the initial state of a replicated instance without a heartbeat so far. A new leader
    /// counts its silence from `now`. `row` is its row from an earlier leader; may be null.
    [[nodiscard]] static HeartbeatState initialStateOf (const cell::ServiceInstance& instance,
                                                        const cell::RoutableInstance* row,
                                                        base::TimePoint now);
    /// Returns whether the version changed. Relays of earlier builds report none.
    static bool recordSoftwareVersion (HeartbeatState& state, const std::string& version);
    void refreshRow (const std::string& id, const cell::ServiceInstances& replicated,
                     base::TimePoint now);
    [[nodiscard]] static cell::RoutableInstance rowOf (const cell::ServiceInstance& instance,
                                                       const HeartbeatState& state, bool isSilent);
    [[nodiscard]] static bool isShownBy (const cell::RoutableInstance& row,
                                         const cell::ServiceInstance& instance,
                                         const HeartbeatState& state, bool isSilent);
    /// Adds or replaces a row, with `at` as insertion hint; returns its position.
    Rows::iterator put (Rows::iterator at, cell::RoutableInstance row);
    /// Removes a row; returns the position after it.
    Rows::iterator remove (Rows::iterator row);
    /// Marks the earlier instances at the address of this one as unreachable.
    void markPredecessorsUnreachable (const InstanceHeartbeat& heartbeat, base::TimePoint now);

    base::Term m_term;
    base::Duration m_silence;
    std::uint64_t m_version;
    TableVersions m_known;
    std::map<std::string, HeartbeatState> m_heartbeats;
    Rows m_rows;
    std::map<std::string, std::set<std::string>> m_idsAt;  ///< Ids of the rows, by address.
    VersionIndex m_changed;                  ///< Versions of the last change of each row.
    VersionIndex m_removed;                  ///< Versions in which rows were removed.
    std::set<std::string> m_pendingRefresh;  ///< Instances changed since the last refresh.
};

}  // namespace fernlift::controller
