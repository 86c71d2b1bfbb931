#include "controller/InstanceMirror.h"

namespace fernlift::controller
{

bool InstanceMirror::apply (const cell::InstanceUpdate& update)
{
    const bool isWhole = update.fromVersion == 0;
    const bool fits = update.term == m_term && update.fromVersion == m_version;
    if (update.term < m_term || (! isWhole && ! fits))
        return false;
    if (isWhole)
    {
        m_rows.clear();
        m_changedAt.clear();
        m_removedAt.clear();
        m_wholeVersion = update.toVersion;
        m_requiredVersion = 0;
    }
    m_term = update.term;
    m_version = update.toVersion;
    m_routers = update.routers;
    m_controllers = update.controllers;
    if (update.mustConfirm)
        m_requiredVersion = update.toVersion;
    for (const std::string& id : update.removals)
    {
        m_rows.erase (id);
        m_changedAt.erase (id);
        m_removedAt[id] = m_version;
    }
    for (const cell::RoutableInstance& row : update.upserts)
    {
        const std::string& id = row.instance.id;
        m_rows[id] = row;
        m_changedAt[id] = m_version;
        m_removedAt.erase (id);
    }
    return true;
}

cell::InstanceUpdate InstanceMirror::updateSince (std::uint64_t version) const
{
    const bool isWhole = version < m_wholeVersion || version == 0;
    cell::InstanceUpdate update;
    update.term = m_term;
    update.fromVersion = isWhole ? 0 : version;
    update.toVersion = m_version;
    update.controllers = m_controllers;
    update.routers = m_routers;
    update.mustConfirm = version < m_requiredVersion;
    for (const auto& [id, changed] : m_changedAt)
    {
        if (isWhole || changed > version)
            update.upserts.push_back (m_rows.at (id));
    }
    if (isWhole)
        return update;
    for (const auto& [id, removed] : m_removedAt)
    {
        if (removed > version)
            update.removals.push_back (id);
    }
    return update;
}

}  // namespace fernlift::controller
