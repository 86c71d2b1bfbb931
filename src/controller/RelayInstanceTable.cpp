#include "controller/RelayInstanceTable.h"

namespace fernlift::controller
{

bool RelayInstanceTable::apply (const cell::InstanceUpdate& update, base::TimePoint now)
{
    const bool isWhole = update.fromVersion == 0;
    const bool fits = update.term == m_term && update.fromVersion == m_version;
    if (update.term < m_term || (! isWhole && ! fits))
        return false;
    if (isWhole)
    {
        m_rows.clear();
        m_changed.clear();
        m_removed.clear();
        m_known.restart (update.toVersion);
        m_requiredVersion = 0;
    }
    else if (termOf (update.toVersion) != termOf (m_version))
    {
        m_known.continueUnderLeader (m_version, termOf (update.toVersion));
    }
    m_term = update.term;
    m_version = update.toVersion;
    m_routers = update.routers;
    m_controllers = update.controllers;
    m_softwareHistory = update.softwareHistory;
    m_appliedAt = now;
    if (update.mustConfirm)
        m_requiredVersion = update.toVersion;
    for (const std::string& id : update.removals)
    {
        m_rows.erase (id);
        m_changed.forget (id);
        m_removed.record (id, m_version);
    }
    for (const cell::RoutableInstance& row : update.upserts)
    {
        const std::string& id = row.instance.id;
        m_rows[id] = row;
        m_changed.record (id, m_version);
        m_removed.forget (id);
    }
    return true;
}

cell::InstanceUpdate RelayInstanceTable::updateSince (std::uint64_t version,
                                                      base::TimePoint now) const
{
    const bool isWhole = ! m_known.contains (version);
    cell::InstanceUpdate update;
    update.term = m_term;
    update.fromVersion = isWhole ? 0 : version;
    update.toVersion = m_version;
    update.controllers = m_controllers;
    update.routers = m_routers;
    update.mustConfirm = version < m_requiredVersion;
    update.softwareHistory = m_softwareHistory.aged (now - m_appliedAt);
    const std::uint64_t since = isWhole ? 0 : version;
    m_changed.visitSince (
        since, [&] (const std::string& id) { update.upserts.push_back (m_rows.at (id)); });
    if (isWhole)
        return update;
    m_removed.visitSince (since,
                          [&] (std::string id) { update.removals.push_back (std::move (id)); });
    return update;
}

}  // namespace fernlift::controller
