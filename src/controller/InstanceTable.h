#pragma once

/// The leader's view of registered runners: what the cell has agreed on, joined with what their
/// heartbeats say, in versions that routers can follow.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/Time.h"
#include "cell/RouterMessages.h"
#include "cell/ServiceInstances.h"
#include "controller/ControlRequests.h"
#include "controller/InstanceMirror.h"
#include "controller/TableVersions.h"
#include "controller/VersionIndex.h"

namespace fernlift::controller
{

class InstanceTable
{
public:
    /// An instance that was not heard for `silence` is told as silent to routers.
    InstanceTable (base::Term term, base::Duration silence)
        : m_term (term), m_silence (silence), m_version (firstVersionOf (term))
    {
        m_known.restart (m_version);
    }

    /// Goes on with the table of an earlier leader, as this member was sent it; before anything
    /// else is told. `leader` is the term of the new one.
    void continueFrom (InstanceMirror&& earlier, base::Term leader);
    /// Somebody holds a table begun by a later leader than this one: nobody goes on with what they
    /// hold.
    void beginAnew (base::Term term);

    /// Notes a heartbeat; false when a later one, or one of a later incarnation, was noted before.
    /// With the first one of a later incarnation all that was noted of the instance is forgotten.
    bool onHeartbeat (const InstanceHeartbeat& heartbeat, base::TimePoint now);
    /// Other instances at the address of this one. An address belongs to the instance that
    /// registered there last: those before it have ended.
    [[nodiscard]] std::vector<std::string> predecessorsOf (
        const cell::ServiceInstance& instance) const;
    /// Whether a heartbeat of an instance that is not in the table was sent before one that is
    /// registered at the same address, and arrives late.
    [[nodiscard]] bool isOfPredecessor (const InstanceHeartbeat& heartbeat,
                                        base::TimePoint now) const;
    /// The same as onHeartbeat for a heartbeat that told nothing new.
    void onHeard (const cell::InstanceSighting& heard, base::TimePoint now);
    /// A router could not reach the instance: it counts as silent until it is heard again.
    void onUnreachable (const std::string& id, base::TimePoint now);
    /// Replaces what is known of an engine's models by a report or a finished order.
    void setModels (const std::string& id, std::vector<cell::HeldModel> models);
    /// The agreed table has another entry for the instance, or none any more.
    void onAgreed (const std::string& id) { m_unrefreshed.insert (id); }
    /// Takes over the agreed table and the silence of each instance.
    void refresh (const cell::ServiceInstances& agreed, base::TimePoint now);
    /// The same for what was told of since the last time only; who fell silent is not noticed.
    void refreshChanged (const cell::ServiceInstances& agreed, base::TimePoint now);

    /// Instances that have been silent for longer than `limit`.
    [[nodiscard]] std::vector<std::string> silentFor (base::Duration limit,
                                                      base::TimePoint now) const;
    [[nodiscard]] const std::map<std::string, cell::RoutableInstance>& rows() const
    {
        return m_rows;
    }
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    /// Of the leader that began the table; names it together with a version.
    [[nodiscard]] base::Term term() const { return m_term; }
    /// Those of which updateSince() gives the changes.
    [[nodiscard]] const TableVersions& knownVersions() const { return m_known; }
    /// What changed since a version; the whole table when that is not known.
    [[nodiscard]] cell::InstanceUpdate updateSince (std::uint64_t version) const;
    /// Calls `visit` with the id and row of each instance that changed after `version`; with null
    /// for one that is gone.
    template <class Visit>
    void visitSince (std::uint64_t version, const Visit& visit) const
    {
        visitBetween (version, m_version, visit);
    }
    /// The same for those that changed no later than in `last`.
    template <class Visit>
    void visitBetween (std::uint64_t version, std::uint64_t last, const Visit& visit) const
    {
        m_changed.visitBetween (version, last,
                                [&] (const std::string& id) { visit (id, &m_rows.at (id)); });
        m_removed.visitBetween (version, last,
                                [&] (const std::string& id) { visit (id, nullptr); });
    }
    /// Version in which the `count`th row changed, or went, after `version`; the present one when
    /// there are fewer.
    [[nodiscard]] std::uint64_t versionAfter (std::uint64_t version, std::size_t count) const;

private:
    struct Sighting
    {
        base::UnixMilliseconds startedAt = 0;  ///< Of the incarnation; 0: it did not tell.
        base::TimePoint heardAt{};
        base::TimePoint unreachableAt{};
        std::uint64_t sequence = 0;
        bool isReported = false;
        bool isPlaced = false;  ///< The models were set by setModels(), which knows more.
        std::vector<cell::HeldModel> models;
    };

    using Rows = std::map<std::string, cell::RoutableInstance>;

    [[nodiscard]] bool isSilent (const Sighting& sighting, base::TimePoint now) const;
    /// What is known of an agreed instance that has not been heard; a new leader counts silence
    /// from when it first looked.
    [[nodiscard]] static Sighting firstSightingOf (const cell::ServiceInstance& instance,
                                                   base::TimePoint now);
    void refreshRow (const std::string& id, const cell::ServiceInstances& agreed,
                     base::TimePoint now);
    [[nodiscard]] static cell::RoutableInstance rowOf (const cell::ServiceInstance& instance,
                                                       const Sighting& sighting, bool isSilent);
    [[nodiscard]] static bool isShownBy (const cell::RoutableInstance& row,
                                         const cell::ServiceInstance& instance,
                                         const Sighting& sighting, bool isSilent);
    /// Adds or replaces a row, at or before `at`; where it is.
    Rows::iterator put (Rows::iterator at, cell::RoutableInstance row);
    /// The row after the one that was removed.
    Rows::iterator remove (Rows::iterator row);
    /// Another instance that is heard at the same address has taken the place of this one.
    void noteSuccessor (const InstanceHeartbeat& heartbeat, base::TimePoint now);

    base::Term m_term;
    base::Duration m_silence;
    std::uint64_t m_version;
    TableVersions m_known;
    std::map<std::string, Sighting> m_sightings;
    Rows m_rows;
    std::map<std::string, std::set<std::string>> m_idsAt;  ///< Of the rows, by address.
    VersionIndex m_changed;                                ///< Of the rows.
    VersionIndex m_removed;                                ///< Of rows that are gone.
    std::set<std::string> m_unrefreshed;                   ///< Told of since the last refresh.
};

}  // namespace fernlift::controller
