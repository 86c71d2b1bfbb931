#pragma once

/**
 * Division of the routers of a large cell into groups whose members know each other.
 *
 * A router needs some tens of others, not all of them: each list that is sent, and each change of
 * it, then costs the same in a cell of a thousand routers as in one of sixty. The groups follow
 * from the names, so that all controllers divide alike and a router that joins or leaves changes
 * one.
 */

#include <cstdint>
#include <string_view>
#include <vector>

#include "cell/RouterPeerMessages.h"

namespace fernlift::controller
{

/** Pure. Threading: none; owned by one ControllerCore. */
class RouterPeerGroups
{
public:
    /** Largest mean number of routers in a group. */
    static constexpr std::size_t kMaxMeanSize = 64;

    /** Divides all routers anew. */
    void set (cell::RouterPeers all);

    /** All routers. */
    [[nodiscard]] const cell::RouterPeers& all() const { return m_all; }
    /** Rises with each change of any group; 0 before the first call of set(). */
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    /** Number of the group that a router belongs to. */
    [[nodiscard]] std::size_t groupOf (std::string_view router) const;
    [[nodiscard]] std::size_t groups() const { return m_groups.size(); }
    [[nodiscard]] const cell::RouterPeers& members (std::size_t group) const
    {
        return m_groups[group].members;
    }
    /** Version in which the group changed last. */
    [[nodiscard]] std::uint64_t versionOf (std::size_t group) const
    {
        return m_groups[group].changedAt;
    }

private:
    struct Group
    {
        cell::RouterPeers members;
        std::uint64_t changedAt = 0;
    };

    cell::RouterPeers m_all;
    std::uint64_t m_version = 0;
    std::vector<Group> m_groups;
};

}  // namespace fernlift::controller
