#include "controller/SlotRelay.h"

#include <algorithm>
#include <utility>

namespace fernlift::controller
{
void SlotRelay::onLeaderLost()
{
    m_leaderGrants.reset();
    m_statements.clear();
    for (auto& [holder, kept] : m_kept)
        kept.isDue = true;
}

void SlotRelay::onOtherMessage()
{
    if (m_leaderGrants)
        return;
    m_leaderGrants = false;
    if (std::exchange (m_services.isGranting, false))
        ++m_version;
}

void SlotRelay::onServices (const cell::BrittleServices& services, base::TimePoint now)
{
    m_leaderGrants = services.isGranting;
    m_services = services;
    ++m_version;
    removeEnded (now);
}

void SlotRelay::onReports (std::uint64_t router, const cell::SlotReports& reports,
                           base::TimePoint now)
{
    if (m_leaderGrants.value_or (false))
        std::ranges::copy (reports.statements, std::back_inserter (m_statements));
    for (const cell::SlotReport& report : reports.reports)
        m_kept[report.holder] = { report, now, router, true };
}

void SlotRelay::onRouterDisconnected (std::uint64_t router)
{
    for (auto& [holder, kept] : m_kept)
    {
        if (kept.router != router)
            continue;
        kept.router.reset();
        kept.isDue = true;
    }
}

cell::SlotReport SlotRelay::reportOf (const Kept& kept, base::TimePoint now)
{
    cell::SlotReport report = kept.report;
    const std::int64_t age = base::toMilliseconds (now - kept.receivedAt);
    for (cell::SlotUse& use : report.uses)
        use.endsInMilliseconds = std::max<std::int64_t> (use.endsInMilliseconds - age, 0);
    if (! kept.router)
    {
        report.claims.clear();
        // Grants that were not sent to it yet are dropped; the others are among its uses.
        report.firstSequence = report.sequence + 1;
    }
    return report;
}

std::optional<cell::SlotReports> SlotRelay::takeReports (base::TimePoint now)
{
    if (! m_leaderGrants.value_or (false))
        return std::nullopt;
    cell::SlotReports message;
    message.statements = std::exchange (m_statements, {});
    for (auto& [holder, kept] : m_kept)
    {
        if (std::exchange (kept.isDue, false))
            message.reports.push_back (reportOf (kept, now));
    }
    if (message.statements.empty() && message.reports.empty())
        return std::nullopt;
    return message;
}

std::vector<SlotRelay::Answer> SlotRelay::onGrants (const cell::SlotGrants& grants,
                                                    base::TimePoint now)
{
    std::map<std::uint64_t, cell::SlotGrants> byRouter;
    for (const cell::SlotGrant& grant : grants.grants)
    {
        const auto kept = m_kept.find (grant.holder);
        if (kept == m_kept.end() || ! kept->second.router)
            continue;
        cell::SlotGrants& answer = byRouter[*kept->second.router];
        answer.term = grants.term;
        answer.grants.push_back (grant);
        keepGrant (grants, grant, now);
    }
    std::vector<Answer> answers;
    answers.reserve (byRouter.size());
    for (auto& [router, answer] : byRouter)
        answers.push_back ({ router, std::move (answer) });
    return answers;
}

void SlotRelay::keepGrant (const cell::SlotGrants& grants, const cell::SlotGrant& grant,
                           base::TimePoint now)
{
    Kept& kept = m_kept.at (grant.holder);
    const auto claim = std::ranges::find (kept.report.claims, grant.claim, &cell::SlotClaim::id);
    if (claim == kept.report.claims.end())
        return;
    const std::int64_t age = base::toMilliseconds (now - kept.receivedAt);
    const std::int64_t lasts =
        claim->lastsMilliseconds + base::toMilliseconds (cell::kSlotGrantLifetime);
    kept.report.claims.erase (claim);
    kept.report.uses.push_back ({ grant.instance, grant.startedAt, 1, lasts + age });
    kept.report.term = grants.term;
    kept.report.grantsSeen = grant.number;
}

std::vector<cell::SlotReport> SlotRelay::reports (base::TimePoint now) const
{
    std::vector<cell::SlotReport> all;
    for (const auto& [holder, kept] : m_kept)
        all.push_back (reportOf (kept, now));
    return all;
}

void SlotRelay::removeEnded (base::TimePoint now)
{
    std::erase_if (m_kept,
                   [&] (const auto& item)
                   {
                       const Kept& kept = item.second;
                       const cell::SlotReport report = reportOf (kept, now);
                       return ! kept.router
                              && std::ranges::all_of (report.uses, [] (const cell::SlotUse& use)
                                                      { return use.endsInMilliseconds == 0; });
                   });
}

}  // namespace fernlift::controller
