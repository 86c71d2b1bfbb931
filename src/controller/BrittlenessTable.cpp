#include "controller/BrittlenessTable.h"

#include <algorithm>

#include "log/Log.h"

namespace fernlift::controller
{
namespace
{

/// Maximum delay of a statement on its way to the leader, which its age does not include.
constexpr base::Duration kStatementDelay = base::milliseconds (50);
/// A runner that has not been heard for this time no longer keeps its service brittle while another
/// one states that it is sound.
constexpr base::Duration kStatementLifetime = base::seconds (5);

}  // namespace

void BrittlenessTable::begin (const std::vector<std::string>& services, base::TimePoint now)
{
    for (const std::string& service : services)
        m_services[service].lastStatedAt = now;
    if (! services.empty())
        ++m_version;
}

void BrittlenessTable::onStatement (const std::string& service,
                                    const cell::BrittleStatement& statement, base::TimePoint now)
{
    const base::TimePoint madeAt = now - base::milliseconds (statement.ageMilliseconds);
    if (statement.isBrittle)
        onBrittle (service, statement, madeAt);
    else
        onSound (service, statement, madeAt);
}

void BrittlenessTable::onBrittle (const std::string& service,
                                  const cell::BrittleStatement& statement, base::TimePoint madeAt)
{
    const auto ended = m_ended.find (service);
    if (ended != m_ended.end() && madeAt < ended->second)
        return;
    const auto [found, isNew] = m_services.try_emplace (service);
    Service& brittle = found->second;
    base::TimePoint& statedAt = brittle.statedAt[statement.instance];
    statedAt = std::max (statedAt, madeAt);
    brittle.lastStatedAt = std::max (brittle.lastStatedAt, madeAt);
    if (! isNew)
        return;
    ++m_version;
    log::write (log::Event::kServiceBrittle,
                { { "service", service }, { "runner", statement.instance } });
}

void BrittlenessTable::onSound (const std::string& service, const cell::BrittleStatement& statement,
                                base::TimePoint madeAt)
{
    const auto found = m_services.find (service);
    if (found == m_services.end())
        return;
    Service& brittle = found->second;
    std::erase_if (brittle.statedAt,
                   [&] (const auto& item)
                   {
                       const bool isSame = item.first == statement.instance;
                       return madeAt
                              > item.second + (isSame ? kStatementDelay : kStatementLifetime);
                   });
    const bool hasEnded =
        brittle.statedAt.empty() && madeAt > brittle.lastStatedAt + kStatementDelay;
    if (! hasEnded)
        return;
    m_services.erase (found);
    m_ended[service] = madeAt;
    ++m_version;
    log::write (log::Event::kServiceNotBrittle,
                { { "service", service }, { "runner", statement.instance } });
}

std::vector<std::string> BrittlenessTable::services() const
{
    std::vector<std::string> names;
    for (const auto& [service, brittle] : m_services)
        names.push_back (service);
    return names;
}

}  // namespace fernlift::controller
