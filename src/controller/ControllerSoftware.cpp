// Duties of the leader towards the software versions of registered runners: it records them in the
// log and states to routers which versions services had before.

#include <utility>

#include "controller/ControllerImplementation.h"

namespace fernlift::controller
{

void ControllerCore::Implementation::recordSoftwareVersion (const cell::ServiceInstance& known,
                                                            base::UnixMilliseconds startedAt,
                                                            const std::string& version)
{
    const bool isSameIncarnation = startedAt == 0 || startedAt == known.startedAt;
    if (! isSameIncarnation)
        return;
    const std::string* const recorded = m_state.softwareVersions().versionOf (known.id);
    // A heartbeat without a version does not mean that the runner has another one.
    if (recorded != nullptr && (version.empty() || version == *recorded))
        return;
    propose (cell::AddInstance{ known, cellTime(), version }, ForNothing{});
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
    return recorded.statedAt (cellTime());
}

}  // namespace fernlift::controller
