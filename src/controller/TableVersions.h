#pragma once

/**
 * Versions of the table of instances, which is continued when the leader changes.
 *
 * A new leader continues the relay copy of the table that it held before, with its versions, so
 * that routers and controllers keep their tables and are sent changes only. The earlier leader may
 * have sent later versions to others. Those never coincide with versions of the new leader, since
 * each leader counts from a number that its term determines. A receiver that holds such a version
 * needs the whole table.
 */

#include <cstdint>

#include "base/Ids.h"

namespace fernlift::controller
{

constexpr unsigned kVersionBitsPerTerm = 32;

/** Returns the first version of the leader of that term. */
[[nodiscard]] constexpr std::uint64_t firstVersionOf (base::Term term)
{
    return term << kVersionBitsPerTerm;
}

/** Returns the term of the leader that assigned the version. */
[[nodiscard]] constexpr base::Term termOf (std::uint64_t version)
{
    return version >> kVersionBitsPerTerm;
}

/** Set of the versions since which all changes up to the current version are known. Pure. */
class TableVersions
{
public:
    /** Starts with a whole table of this version. */
    void restart (std::uint64_t version)
    {
        m_first = version;
        m_gapBegin = m_gapEnd = 0;
    }
    /** Continues with the versions of another leader after `last`. Versions between `last` and the
        first one of the new leader are not known here.
    */
    void continueUnderLeader (std::uint64_t last, base::Term leader)
    {
        // Only one gap is stored: versions before an earlier gap are dropped.
        if (m_gapEnd != 0)
            m_first = m_gapEnd;
        m_gapBegin = last;
        m_gapEnd = firstVersionOf (leader);
    }
    /** Whether the changes since this version are known. Not for versions above the current one. */
    [[nodiscard]] bool contains (std::uint64_t version) const
    {
        const bool isInGap = m_gapBegin < version && version < m_gapEnd;
        return version != 0 && version >= m_first && ! isInGap;
    }

private:
    std::uint64_t m_first = 1;
    std::uint64_t m_gapBegin = 0;
    std::uint64_t m_gapEnd = 0;  ///< 0: no gap.
};

}  // namespace fernlift::controller
