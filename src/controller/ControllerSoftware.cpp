// Duties of the leader towards the software versions of registered runners: it records them in the
// log and states to routers which versions services had before.

#include <algorithm>
#include <utility>

#include "controller/ControllerImplementation.h"

namespace fernlift::controller
{

void ControllerCore::Implementation::recordSoftwareVersion (const std::string& instance,
                                                            base::UnixMilliseconds startedAt,
                                                            const std::string& version)
{
    const cell::ServiceInstance* known = m_state.instances().find (instance);
    const bool isSameIncarnation =
        known != nullptr && (startedAt == 0 || startedAt == known->startedAt);
    if (! isSameIncarnation)
        return;
    const std::optional<std::string> recorded = m_state.softwareVersions().versionOf (instance);
    // A heartbeat without a version does not mean that the runner has another one.
    if (recorded && (version.empty() || version == *recorded))
        return;
    propose (cell::AddInstance{ *known, cellTime(), version }, ForNothing{});
}

void ControllerCore::Implementation::stateSoftwareHistory()
{
    const bool isKnown = m_state.softwareVersions().covers (m_state.instances());
    if (std::exchange (m_leader->isSoftwareHistoryStated, isKnown) || ! isKnown)
        return;
    // The history reaches routers and relays only with a change of the table.
    m_leader->instances.renewFirstRow();
}

cell::SoftwareHistory ControllerCore::Implementation::softwareHistory() const
{
    const cell::SoftwareVersionHistory& recorded = m_state.softwareVersions();
    if (! recorded.covers (m_state.instances()))
        return {};
    const base::UnixMilliseconds now = cellTime();
    cell::SoftwareHistory history;
    history.knownMilliseconds = recorded.completeSince() == 0
                                    ? cell::SoftwareHistory::kWholePast
                                    : std::max<std::int64_t> (now - recorded.completeSince(), 0);
    for (cell::DepartedSoftwareVersion& departed : recorded.departed())
    {
        history.departed.push_back ({ std::move (departed.service), std::move (departed.version),
                                      std::max<std::int64_t> (now - departed.lastListedAt, 0) });
    }
    return history;
}

}  // namespace fernlift::controller
