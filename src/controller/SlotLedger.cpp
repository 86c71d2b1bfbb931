#include "controller/SlotLedger.h"

#include <algorithm>
#include <cmath>

namespace fernlift::controller
{
namespace
{

/// Time in which routers and relays connect to a new leader and report what is in use.
constexpr base::Duration kCollectingTime = base::seconds (1);
/// Maximum time between an event and its arrival here or at a runner: the way of a message, the
/// time to open a connection, a busy process.
constexpr base::Duration kDelay = base::milliseconds (200);
/// A router that waits reports more often. Grants to one that is not heard would expire unused.
constexpr base::Duration kHeardWithin = base::milliseconds (700);
/// Time in which a runner drops requests whose connections have closed.
constexpr base::Duration kDropTime = base::milliseconds (500);
/// A runner that declines has requests that are not known here.
constexpr base::Duration kPauseAfterDecline = base::seconds (1);
constexpr base::Duration kPollInterval = base::milliseconds (20);
/// A runner is preferred over a better one for its request from this difference of the used shares.
constexpr double kMaxFillDifference = 0.25;

}  // namespace

SlotLedger::SlotLedger (base::Term term, base::TimePoint since, Finder finder)
    : m_term (term), m_grantsFrom (since + kCollectingTime), m_finder (std::move (finder))
{
}

SlotLedger::Order SlotLedger::orderOf (std::uint64_t holder, const Claim& claim)
{
    return { claim.content.priority, claim.since, holder, claim.content.id };
}

void SlotLedger::subtract (const Runner& runner, std::uint32_t slots)
{
    const auto found = m_used.find (runner);
    if (found == m_used.end())
        return;
    found->second -= std::min (found->second, slots);
    if (found->second == 0)
        m_used.erase (found);
    m_freed.insert (runner.first);
}

void SlotLedger::onReport (const cell::SlotReport& report, base::TimePoint now)
{
    const auto [found, isNew] = m_holders.try_emplace (report.holder);
    Holder& holder = found->second;
    if (report.sequence < holder.sequence)
        return;
    if (isNew)
    {
        endEarlierProcesses (report.holder, report.router, now);
        // The holder counts on if its account here had ended while it was not heard.
        holder.lastGrant = report.term == m_term ? report.grantsSeen : 0;
    }
    holder.router = report.router;
    holder.sequence = report.sequence;
    holder.reportedAt = now;
    setUses (holder, report, now);
    setClaims (report.holder, holder, report, now);
    for (const std::string& instance : std::exchange (m_freed, {}))
        serveWaiting (instance, now);
}

void SlotLedger::setUses (Holder& holder, const cell::SlotReport& report, base::TimePoint now)
{
    for (const Use& use : std::exchange (holder.uses, {}))
        subtract (use.runner, use.slots);
    const std::uint64_t seen = report.term == m_term ? report.grantsSeen : 0;
    std::erase_if (holder.unseen,
                   [&] (const UnseenGrant& unseen)
                   {
                       const cell::SlotGrant& grant = unseen.grant;
                       const bool isKnown =
                           grant.number <= seen || grant.sequence < report.firstSequence;
                       if (isKnown)
                           subtract ({ grant.instance, grant.startedAt }, 1);
                       return isKnown;
                   });
    for (const cell::SlotUse& use : report.uses)
    {
        const base::TimePoint end = now + base::milliseconds (use.endsInMilliseconds) + kDelay;
        holder.uses.push_back ({ { use.instance, use.startedAt }, use.slots, end });
        add (holder.uses.back().runner, use.slots);
    }
}

void SlotLedger::setClaims (std::uint64_t id, Holder& holder, const cell::SlotReport& report,
                            base::TimePoint now)
{
    std::set<std::uint64_t> stated;
    for (const cell::SlotClaim& claim : report.claims)
        stated.insert (claim.id);
    std::vector<std::uint64_t> ended;
    for (const auto& [claim, content] : holder.claims)
    {
        if (! stated.contains (claim))
            ended.push_back (claim);
    }
    for (const std::uint64_t claim : ended)
        removeClaim (id, holder, claim);
    for (const cell::SlotClaim& claim : report.claims)
    {
        const auto isGranted = [&] (const UnseenGrant& unseen)
        { return unseen.grant.claim == claim.id; };
        if (holder.claims.contains (claim.id) || std::ranges::any_of (holder.unseen, isGranted))
            continue;
        const Claim added{ claim, now - base::milliseconds (claim.waitedMilliseconds) };
        holder.claims[claim.id] = added;
        if (const auto runner = chooseRunner (added, now))
        {
            grant (id, holder, claim.id, *runner, now);
            continue;
        }
        for (const std::string& instance : claim.instances)
            m_waiting[instance].insert (orderOf (id, added));
    }
}

void SlotLedger::removeClaim (std::uint64_t id, Holder& holder, std::uint64_t claim)
{
    const auto found = holder.claims.find (claim);
    if (found == holder.claims.end())
        return;
    for (const std::string& instance : found->second.content.instances)
    {
        const auto waiting = m_waiting.find (instance);
        if (waiting == m_waiting.end())
            continue;
        waiting->second.erase (orderOf (id, found->second));
        if (waiting->second.empty())
            m_waiting.erase (waiting);
    }
    holder.claims.erase (found);
}

void SlotLedger::endClaims (std::uint64_t id, Holder& holder)
{
    while (! holder.claims.empty())
        removeClaim (id, holder, holder.claims.begin()->first);
}

void SlotLedger::endEarlierProcesses (std::uint64_t id, const std::string& router,
                                      base::TimePoint now)
{
    for (auto& [other, holder] : m_holders)
    {
        if (other == id || holder.router != router)
            continue;
        endClaims (other, holder);
        for (Use& use : holder.uses)
            use.end = std::min<base::TimePoint> (use.end, now + kDropTime);
        for (UnseenGrant& unseen : holder.unseen)
            unseen.end = std::min<base::TimePoint> (unseen.end, now + kDropTime);
    }
}

void SlotLedger::onDecline (const std::string& instance, base::UnixMilliseconds startedAt,
                            base::TimePoint now)
{
    m_pausedUntil[{ instance, startedAt }] = now + kPauseAfterDecline;
}

std::uint32_t SlotLedger::slotsOf (const cell::ServiceInstance& instance) const
{
    // The rest is left to the routers of earlier builds.
    const auto slots = static_cast<std::uint32_t> (std::floor (m_share * instance.slots));
    return m_share == 1 ? instance.slots : slots;
}

std::optional<double> SlotLedger::fillOf (const std::string& instance, base::TimePoint now) const
{
    const cell::ServiceInstance* const known = m_finder (instance);
    if (known == nullptr)
        return std::nullopt;
    const auto paused = m_pausedUntil.find ({ instance, known->startedAt });
    if (paused != m_pausedUntil.end() && now < paused->second)
        return std::nullopt;
    const std::uint32_t slots = slotsOf (*known);
    const std::uint32_t inUse = used (instance, known->startedAt);
    if (inUse >= slots)
        return std::nullopt;
    return static_cast<double> (inUse) / slots;
}

std::optional<std::string> SlotLedger::chooseRunner (const Claim& claim, base::TimePoint now) const
{
    if (now < m_grantsFrom)
        return std::nullopt;
    std::vector<std::pair<double, const std::string*>> free;
    double lowest = 1;
    for (const std::string& instance : claim.content.instances)
    {
        const std::optional<double> fill = fillOf (instance, now);
        if (! fill)
            continue;
        free.emplace_back (*fill, &instance);
        lowest = std::min (lowest, *fill);
    }
    const auto chosen = std::ranges::find_if (
        free, [&] (const auto& runner) { return runner.first <= lowest + kMaxFillDifference; });
    if (chosen == free.end())
        return std::nullopt;
    return *chosen->second;
}

bool SlotLedger::isHeard (const Holder& holder, base::TimePoint now)
{
    return now - holder.reportedAt < kHeardWithin;
}

void SlotLedger::grant (std::uint64_t id, Holder& holder, std::uint64_t claim,
                        const std::string& instance, base::TimePoint now)
{
    const Claim content = holder.claims.at (claim);
    removeClaim (id, holder, claim);
    const cell::SlotGrant made{ id,    ++holder.lastGrant, holder.sequence,
                                claim, instance,           m_finder (instance)->startedAt };
    const base::TimePoint end = now + cell::kSlotGrantLifetime + kDelay
                                + base::milliseconds (content.content.lastsMilliseconds);
    holder.unseen.push_back ({ made, end });
    add ({ made.instance, made.startedAt }, 1);
    ++m_granted;
    m_grants.push_back (made);
}

void SlotLedger::serveWaiting (const std::string& instance, base::TimePoint now)
{
    // Each round grants a claim or removes one.
    while (now >= m_grantsFrom && fillOf (instance, now))
    {
        const auto waiting = m_waiting.find (instance);
        if (waiting == m_waiting.end())
            return;
        const auto [priority, since, id, claim] = *waiting->second.begin();
        Holder& holder = m_holders.at (id);
        if (isHeard (holder, now))
            grant (id, holder, claim, instance, now);
        else
            removeClaim (id, holder, claim);
    }
}

void SlotLedger::serveAll (base::TimePoint now)
{
    std::vector<std::string> instances;
    for (const auto& [instance, orders] : m_waiting)
        instances.push_back (instance);
    for (const std::string& instance : instances)
        serveWaiting (instance, now);
}

void SlotLedger::endUses (Holder& holder, base::TimePoint now)
{
    std::erase_if (holder.uses,
                   [&] (const Use& use)
                   {
                       const bool hasEnded = now >= use.end;
                       if (hasEnded)
                           subtract (use.runner, use.slots);
                       return hasEnded;
                   });
    std::erase_if (holder.unseen,
                   [&] (const UnseenGrant& unseen)
                   {
                       const bool hasEnded = now >= unseen.end;
                       if (hasEnded)
                           subtract ({ unseen.grant.instance, unseen.grant.startedAt }, 1);
                       return hasEnded;
                   });
}

void SlotLedger::poll (base::TimePoint now)
{
    if (now < m_nextPollAt || m_holders.empty())
        return;
    m_nextPollAt = now + kPollInterval;
    for (auto it = m_holders.begin(); it != m_holders.end();)
    {
        Holder& holder = it->second;
        endUses (holder, now);
        if (! isHeard (holder, now))
            endClaims (it->first, holder);
        const bool isGone = holder.uses.empty() && holder.unseen.empty() && ! isHeard (holder, now);
        it = isGone ? m_holders.erase (it) : std::next (it);
    }
    std::erase_if (m_pausedUntil, [&] (const auto& item) { return now >= item.second; });
    m_freed.clear();
    serveAll (now);
}

std::uint32_t SlotLedger::used (const std::string& instance, base::UnixMilliseconds startedAt) const
{
    const auto found = m_used.find ({ instance, startedAt });
    return found == m_used.end() ? 0 : found->second;
}

std::size_t SlotLedger::waiting() const
{
    std::size_t sum = 0;
    for (const auto& [id, holder] : m_holders)
        sum += holder.claims.size();
    return sum;
}

}  // namespace fernlift::controller
