#pragma once

/**
 * Software versions of the registered runners, and of those that left, from the replicated log. A
 * restarted router or controller learns from it which versions a service had before.
 *
 * Leaders of earlier builds record no versions. The record is incomplete until the end of their
 * terms.
 */

#include <boost/serialization/map.hpp>
#include <boost/serialization/string.hpp>
#include <map>
#include <string>
#include <vector>

#include "base/Time.h"
#include "cell/ServiceInstances.h"
#include "cell/SoftwareHistoryMessage.h"
#include "cell/SoftwareVersionUses.h"

namespace fernlift::cell
{

/** Deterministic: all times are those that the commands state. Not thread-safe. */
class SoftwareVersionHistory
{
public:
    /** A record that is not complete at any time. */
    SoftwareVersionHistory() = default;
    /** The record of a cell without runners so far. */
    [[nodiscard]] static SoftwareVersionHistory ofNewCell();

    /** Records the version of a registered runner; empty if it states none. */
    void record (const ServiceInstance& instance, const std::string& version,
                 base::UnixMilliseconds at);
    /** Records that a runner registered whose version was not recorded. */
    void recordUnknown (const std::string& instance, base::UnixMilliseconds at);
    /** Records that a runner left the table. */
    void remove (const std::string& instance, base::UnixMilliseconds at);

    /** Recorded version of a registered runner; null if it was not recorded. */
    [[nodiscard]] const std::string* versionOf (const std::string& instance) const;
    /** Whether the version of each of these runners is recorded. */
    [[nodiscard]] bool covers (const ServiceInstances& instances) const
    {
        return m_runners.size() == instances.all().size();
    }
    /** What the record states to routers at `now`. */
    [[nodiscard]] SoftwareHistory statedAt (base::UnixMilliseconds now) const;
    [[nodiscard]] std::vector<DepartedSoftwareVersion> departed() const
    {
        return m_uses.departed();
    }
    /** Time since which all versions are recorded; 0: since the cell was founded. */
    [[nodiscard]] base::UnixMilliseconds completeSince() const { return m_uses.completeSince(); }
    /** Whether nothing was recorded, as in a snapshot of an earlier build. */
    [[nodiscard]] bool isMissing() const
    {
        return m_uses.completeSince() == SoftwareVersionUses::kNeverComplete;
    }
    /** Begins the record at this time. */
    void beginAt (base::UnixMilliseconds time) { m_uses.setCompleteSince (time); }

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& m_runners& m_uses;
    }

private:
    struct Runner
    {
        std::string service;
        std::string version;  ///< Empty: the runner states none.

        template <class Archive>
        void serialize (Archive& archive, unsigned /*version*/)
        {
            archive& service& version;
        }
    };

    std::map<std::string, Runner> m_runners;  ///< Runners of recorded version, by instance.
    SoftwareVersionUses m_uses;
};

}  // namespace fernlift::cell
