#pragma once

/**
 * The leader's table of registered runners, as a controller that serves routers on its behalf holds
 * it.
 *
 * Keeps the leader's numbers of versions, so that a router that comes from another controller goes
 * on with the table it has. Which version a row last changed in is kept for each row, so that
 * routers get changes only.
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
class InstanceMirror
{
public:
    /** Takes over a change. False when it does not fit what is held: the whole table is needed. */
    bool apply (const cell::InstanceUpdate& update);

    /** What changed since a version of the same term; the whole table when that is not known. */
    [[nodiscard]] cell::InstanceUpdate updateSince (std::uint64_t version) const;
    /** Those of which updateSince() gives the changes only. */
    [[nodiscard]] const TableVersions& knownVersions() const { return m_known; }

    [[nodiscard]] bool hasTable() const { return m_version != 0; }
    /** Of the leader that began the table, which later ones go on with. */
    [[nodiscard]] base::Term term() const { return m_term; }
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] std::size_t size() const { return m_rows.size(); }
    [[nodiscard]] bool contains (const std::string& id) const { return m_rows.contains (id); }
    /** Routers that have not applied this version or a later one get no lease any more: an earlier
        table shows runners as ready whose leaving may have been acknowledged.
    */
    [[nodiscard]] std::uint64_t requiredVersion() const { return m_requiredVersion; }

private:
    friend class InstanceTable;  // Goes on with the rows and versions once this member leads.

    base::Term m_term = 0;
    std::uint64_t m_version = 0;  ///< 0: nothing is held.
    TableVersions m_known;
    std::uint64_t m_requiredVersion = 0;  ///< Never above m_version.
    std::uint32_t m_routers = 1;
    std::vector<cell::ControllerEndpoint> m_controllers;
    std::map<std::string, cell::RoutableInstance> m_rows;
    VersionIndex m_changed;  ///< Of the rows.
    VersionIndex m_removed;  ///< Of rows that are gone.
};

}  // namespace fernlift::controller
