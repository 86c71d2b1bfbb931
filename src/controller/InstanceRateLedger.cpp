#include "controller/InstanceRateLedger.h"

#include <algorithm>
#include <chrono>

#include "log/Log.h"

namespace fernlift::controller
{
namespace
{

/// Any window of this length keeps to a runner's rate; shorter ones hold the burst besides.
constexpr base::Duration kWindow = base::seconds (4);
/// Permits that gather while nobody asks. With one, a request that comes a little late for its
/// permit costs the runner the rest of an interval.
constexpr double kBurst = 2;
/// A request arrives at its runner within this time after it left its router, connections that
/// have to be opened included.
constexpr base::Duration kTravel = base::milliseconds (200);
/// The way of a statement to the leader takes up to this long and is not counted in its age.
constexpr base::Duration kStatementTravel = base::milliseconds (50);
/// A router that was cut off for longer works with no controller any more (isolated_grace_ms).
constexpr base::Duration kEndedKeptFor = base::seconds (30);
/// For so long before it began a leader may not have heard what the one before was told: a leader
/// is replaced within 0.6 s, and a router that finds it again reports within 0.5 s.
constexpr base::Duration kElection = base::seconds (2);
/// A router asks for a runner that the leader does not know as limited: its statement, or the end
/// of the limit, is on its way.
constexpr base::Duration kUnknownRetry = base::milliseconds (50);

}  // namespace

double InstanceRateLedger::grantedPerSecond (double stated) const
{
    // What arrives within a window was granted within one that is longer by the life of a permit
    // and the way: 0.91 of the rate keep the window to the rate and the burst.
    constexpr base::Duration kGrantWindow = kWindow + kPermitLife + kTravel;
    const double part = m_share * base::toSeconds (kWindow) / base::toSeconds (kGrantWindow);
    // In a window the least rate is no more than the burst.
    return std::max (stated * part, cell::kLeastRatePerSecond);
}

void InstanceRateLedger::setShare (double share, base::TimePoint now)
{
    if (share == m_share)
        return;
    for (auto& [instance, entry] : m_accounts)
        refill (entry, now);
    m_share = share;
}

void InstanceRateLedger::refill (Entry& entry, base::TimePoint now) const
{
    const double added =
        grantedPerSecond (entry.account.perSecond) * base::toSeconds (now - entry.filledAt);
    entry.account.level = std::min (entry.account.level + added, kBurst);
    entry.filledAt = now;
}

void InstanceRateLedger::limit (const cell::InstanceRate& rate, base::TimePoint statedAt,
                                base::TimePoint now)
{
    const auto found = m_accounts.find (rate.instance);
    if (found != m_accounts.end() && found->second.startedAt == rate.startedAt)
    {
        Entry& entry = found->second;
        const bool isOlder = statedAt < entry.account.statedAt;
        if (isOlder)
            return;
        entry.account.statedAt = statedAt;
        if (entry.account.perSecond == rate.perSecond)
            return;
        refill (entry, now);
        entry.account.perSecond = rate.perSecond;
    }
    else
    {
        // Empty: routers have just sent what they liked.
        m_accounts[rate.instance] = { { rate.perSecond, 0, 0, 0, statedAt }, rate.startedAt, now };
    }
    ++m_version;
    log::write (log::Event::kRunnerRateInForce,
                { { "runner", rate.instance }, { "per_second", rate.perSecond } });
}

void InstanceRateLedger::begin (const std::vector<cell::InstanceRate>& limited, base::TimePoint now)
{
    m_knownSince = now - kElection;
    for (const cell::InstanceRate& rate : limited)
        limit (rate, now - base::milliseconds (rate.ageMilliseconds), now);
}

bool InstanceRateLedger::isOutdated (const std::string& instance, base::TimePoint statedAt) const
{
    if (m_accounts.contains (instance))
        return false;
    const auto ended = m_ended.find (instance);
    return statedAt < m_knownSince || (ended != m_ended.end() && statedAt < ended->second);
}

void InstanceRateLedger::onStatement (const cell::InstanceRateStatement& statement,
                                      base::UnixMilliseconds startedAt, base::TimePoint now)
{
    // What an earlier incarnation said does not hold for this one.
    if (statement.startedAt != startedAt)
        return;
    const base::TimePoint madeAt = now - base::milliseconds (statement.ageMilliseconds);
    if (statement.isLimited)
    {
        if (isOutdated (statement.instance, madeAt))
            return;
        limit ({ statement.instance, startedAt, statement.perSecond, 0 }, madeAt, now);
        return;
    }
    const auto found = m_accounts.find (statement.instance);
    if (found == m_accounts.end())
        return;
    // Answers overtake one another. Only one to a request that was sent after the last answer with
    // a rate came tells that the need is over; the other way round a limit would be lifted while
    // the runner still states it.
    if (madeAt <= found->second.account.statedAt + kStatementTravel)
        return;
    m_accounts.erase (found);
    std::erase_if (m_ended, [&] (const auto& item) { return now - item.second > kEndedKeptFor; });
    m_ended[statement.instance] = madeAt;
    ++m_version;
    log::write (log::Event::kRunnerRateLifted, { { "runner", statement.instance } });
}

void InstanceRateLedger::keepOnly (
    const std::function<bool (const cell::InstanceRate& rate)>& isKept)
{
    const auto isGone = [&] (const auto& item)
    {
        const Entry& entry = item.second;
        return ! isKept ({ item.first, entry.startedAt, entry.account.perSecond, 0 });
    };
    if (std::erase_if (m_accounts, isGone) > 0)
        ++m_version;
}

cell::QuotaGrant InstanceRateLedger::answer (const cell::QuotaRequest& request, base::TimePoint now)
{
    cell::QuotaGrant grant;
    grant.sequence = request.sequence;
    for (const cell::QuotaNeed& need : request.needs)
        grant.allowances.push_back (allowanceFor (need, now));
    return grant;
}

cell::QuotaAllowance InstanceRateLedger::allowanceFor (const cell::QuotaNeed& need,
                                                       base::TimePoint now)
{
    cell::QuotaAllowance allowance;
    allowance.account = need.account;
    allowance.lifetimeMilliseconds = base::toMilliseconds (kPermitLife);
    const auto found = m_accounts.find (need.account);
    if (found == m_accounts.end())
    {
        allowance.waitMilliseconds = base::toMilliseconds (kUnknownRetry);
        return allowance;
    }
    Entry& entry = found->second;
    refill (entry, now);
    for (const std::uint64_t claim : need.claims)
    {
        const auto units = static_cast<double> (claim);
        if (units <= entry.account.level)
        {
            entry.account.level -= units;
            ++entry.account.granted;
            ++m_granted;
            allowance.units += claim;
            continue;
        }
        ++entry.account.refused;
        ++m_refused;
        const double seconds =
            (units - entry.account.level) / grantedPerSecond (entry.account.perSecond);
        const auto wait = std::chrono::duration<double> (seconds);
        allowance.waitMilliseconds = std::chrono::ceil<base::milliseconds> (wait).count();
    }
    return allowance;
}

std::vector<cell::InstanceRate> InstanceRateLedger::limited (base::TimePoint now) const
{
    std::vector<cell::InstanceRate> rates;
    for (const auto& [instance, entry] : m_accounts)
    {
        const std::int64_t age = base::toMilliseconds (now - entry.account.statedAt);
        rates.push_back ({ instance, entry.startedAt, entry.account.perSecond, age });
    }
    return rates;
}

const InstanceRateLedger::Account* InstanceRateLedger::find (const std::string& instance) const
{
    const auto found = m_accounts.find (instance);
    return found == m_accounts.end() ? nullptr : &found->second.account;
}

}  // namespace fernlift::controller
