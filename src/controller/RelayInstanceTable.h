#pragma once

/**
 * Relay copy of the leader's table of registered runners, held by a controller that serves routers
 * on behalf of the leader.
 *
 * Keeps the leader's version numbers, so that a router that connects after it was connected to
 * another controller can keep its table. Each row keeps the version in which it last changed, so
 * that routers are sent changes only.
 */

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cell/RouterMessages.h"
#include "controller/TableVersions.h"
#include "controller/VersionIndex.h"

namespace fernlift::controller
{

/** Pure. Threading: none; owned by one RouterRelay. */
class RelayInstanceTable
{
public:
    /** Applies an update. Returns false when it does not follow on the held version; the whole
       table is needed then.
    */
    bool apply (const cell::InstanceUpdate& update, base::TimePoint now);

    /** Returns the changes since a version of the same term, or the whole table when they are not
        known.
    */
    [[nodiscard]] cell::InstanceUpdate updateSince (std::uint64_t version,
                                                    base::TimePoint now) const;
    /** Versions since which updateSince() can return the changes alone. */
    [[nodiscard]] const TableVersions& knownVersions() const { return m_known; }

    [[nodiscard]] bool hasTable() const { return m_version != 0; }
    /** Term of the leader that created the table, which later leaders continue. */
    [[nodiscard]] base::Term term() const { return m_term; }
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] std::size_t size() const { return m_rows.size(); }
    [[nodiscard]] bool contains (const std::string& id) const { return m_rows.contains (id); }
    /** Routers that have not applied this version or a later one are granted no more leases: an
        earlier table may show a runner as ready that has been acknowledged as leaving.
    */
    [[nodiscard]] std::uint64_t requiredVersion() const { return m_requiredVersion; }

private:
    friend class InstanceTable;  // Takes over the rows and versions when this member becomes
                                 // leader.

    base::Term m_term = 0;
    std::uint64_t m_version = 0;  ///< 0: no table received yet.
    TableVersions m_known;
    std::uint64_t m_requiredVersion = 0;  ///< Never above m_version.
    std::uint32_t m_routers = 1;
    std::vector<cell::ControllerEndpoint> m_controllers;
    cell::SoftwareHistory m_softwareHistory;  ///< As stated at m_appliedAt.
    base::TimePoint m_appliedAt{};
    std::map<std::string, cell::RoutableInstance> m_rows;
    VersionIndex m_changed;  ///< Versions of the last change of each row.
    VersionIndex m_removed;  ///< Versions in which rows were removed.
};

}  // namespace fernlift::controller
