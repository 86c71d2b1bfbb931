#pragma once

/**
 * Versions of the table of instances, which goes on when the leader changes.
 *
 * A new leader takes over the table that it was sent as a controller that does not lead, with its
 * versions, so that routers and controllers go on with what they hold and get what changed. The
 * earlier leader may have sent later versions to others. Those never meet the versions of the new
 * one, since each leader counts from its term on, and who holds one of them needs the whole table.
 */

#include <cstdint>

#include "base/Ids.h"

namespace fernlift::controller
{

constexpr unsigned kBitsOfLeadersVersions = 32;

/** The first version of the leader of that term. */
[[nodiscard]] constexpr std::uint64_t firstVersionOf (base::Term term)
{
    return term << kBitsOfLeadersVersions;
}

/** Term of the leader that gave the version. */
[[nodiscard]] constexpr base::Term leaderOf (std::uint64_t version)
{
    return version >> kBitsOfLeadersVersions;
}

/** The versions from which a table has been followed without a gap up to the present one. Pure. */
class TableVersions
{
public:
    /** The whole table came, or begins, in this version. */
    void restart (std::uint64_t version)
    {
        m_first = version;
        m_gapBegin = m_gapEnd = 0;
    }
    /** After `last` comes a version of another leader; what lies between is not known here. */
    void passTo (std::uint64_t last, base::Term leader)
    {
        // One gap is remembered: changes before an earlier one are not told any more.
        if (m_gapEnd != 0)
            m_first = m_gapEnd;
        m_gapBegin = last;
        m_gapEnd = firstVersionOf (leader);
    }
    /** Whether changes since this version are known; not for versions above the present one. */
    [[nodiscard]] bool contains (std::uint64_t version) const
    {
        const bool isInGap = m_gapBegin < version && version < m_gapEnd;
        return version != 0 && version >= m_first && ! isInGap;
    }

private:
    std::uint64_t m_first = 1;
    std::uint64_t m_gapBegin = 0;
    std::uint64_t m_gapEnd = 0;  ///< 0: there is none.
};

}  // namespace fernlift::controller
