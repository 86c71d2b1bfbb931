#include "proxy/InstanceDirectory.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace fernlift::proxy
{
namespace
{

/// A load that a runner stated longer ago says little.
constexpr base::Duration kLoadLife = base::milliseconds (500);
constexpr base::Duration kNotHeldLife = base::milliseconds (1500);
constexpr base::Duration kFirstAvoidance = base::milliseconds (300);
constexpr base::Duration kLongestAvoidance = base::seconds (4);
constexpr base::Duration kUnreachableAvoidance = base::milliseconds (500);
constexpr std::uint32_t kFailuresBeforeAvoidance = 3;
constexpr std::uint32_t kUnreachableBeforeReport = 2;
constexpr double kFailureWeight = 0.2;
// Costs in milliseconds.
constexpr double kOtherZoneCost = 3;
constexpr double kFailureCost = 500;
constexpr double kSilentCost = 500;
/// A runner that works on requests and sent nothing for this long may be dead.
constexpr base::Duration kQuietAfter = base::milliseconds (700);
constexpr double kAvoidedCost = 100'000;
/// Work of an application's request, of which as many run at once as there are slots.
constexpr double kApplicationWork = 30;
/// Delay by each request that an engine works on.
constexpr double kEngineWork = 25;
/// Time to read one token of a prompt.
constexpr double kTokenReading = 0.026;

double hashShare (const std::string& id, const std::string& affinity)
{
    const std::size_t hash = std::hash<std::string>() (id + '\n' + affinity);
    constexpr double kRange = 18446744073709551616.0;
    return static_cast<double> (hash) / kRange;
}

std::string incarnationNameOf (const cell::RoutableInstance& row)
{
    return cell::Incarnation{ row.instance.id, row.instance.startedAt }.name();
}

const cell::HeldModel* findModel (const cell::RoutableInstance& row, const std::string& name)
{
    const auto found = std::ranges::find (row.instance.models, name, &cell::HeldModel::model);
    return found == row.instance.models.end() ? nullptr : &*found;
}

/// Whether MODEL/ADAPTER, or MODEL/ without one, is among the models.
bool isListed (const std::vector<cell::HeldModel>& models, const std::string& key)
{
    const std::size_t slash = key.find ('/');
    const std::string adapter = key.substr (slash + 1);
    const auto found = std::ranges::find (models, key.substr (0, slash), &cell::HeldModel::model);
    if (found == models.end())
        return false;
    return adapter.empty() || std::ranges::find (found->adapters, adapter) != found->adapters.end();
}

}  // namespace

std::string_view nameOf (NoChoice reason)
{
    switch (reason)
    {
        case NoChoice::kNone:
            return "none";
        case NoChoice::kUnknown:
            return "no_runner";
        case NoChoice::kNotLoaded:
            return "not_loaded";
        case NoChoice::kUnconfirmed:
            return "unconfirmed";
        case NoChoice::kFull:
            break;
    }
    return "full";
}

bool InstanceDirectory::apply (const cell::InstanceUpdate& update, base::TimePoint now)
{
    const bool isWhole = update.fromVersion == 0;
    const bool fits = update.term == m_term && update.fromVersion == m_version;
    if (update.term < m_term || (! isWhole && ! fits))
        return false;
    if (isWhole)
    {
        std::set<std::string> present;
        for (const cell::RoutableInstance& row : update.upserts)
            present.insert (row.instance.id);
        for (const auto& [id, view] : m_views)
        {
            if (! present.contains (id))
                noteReplaced (view);
        }
        std::erase_if (m_views, [&] (const auto& item) { return ! present.contains (item.first); });
    }
    for (const std::string& id : update.removals)
    {
        const auto found = m_views.find (id);
        if (found == m_views.end())
            continue;
        noteReplaced (found->second);
        m_views.erase (found);
    }
    for (const cell::RoutableInstance& row : update.upserts)
        put (row);
    m_term = update.term;
    m_version = update.toVersion;
    m_appliedAt = now;
    m_routers = std::max (update.routers, 1U);
    m_controllers = update.controllers;
    return true;
}

void InstanceDirectory::applyLoads (const cell::InstanceLoadUpdate& /*update*/,
                                    base::TimePoint /*now*/)
{
}

void InstanceDirectory::noteReplaced (const View& view)
{
    if (! view.row.instance.isDraining)
        m_replaced.push_back (incarnationNameOf (view.row));
}

void InstanceDirectory::forgetEarlier (View& view, const cell::RoutableInstance& row)
{
    const base::UnixMilliseconds startedAt = view.row.instance.startedAt;
    if (startedAt == row.instance.startedAt)
        return;
    // One whose start was not known may be the same.
    if (startedAt != 0)
        noteReplaced (view);
    view = View{};
}

void InstanceDirectory::put (const cell::RoutableInstance& row)
{
    View& view = m_views[row.instance.id];
    forgetEarlier (view, row);
    // A new leader knows the models only once it has heard the runner.
    std::vector<cell::HeldModel> known = std::move (view.row.instance.models);
    view.row = row;
    if (! row.instance.isReported)
    {
        view.row.instance.models = std::move (known);
        return;
    }
    // Only a model or adapter that has come since may be there now; what else changed at the runner
    // says nothing of one that it answered not to hold.
    std::erase_if (
        view.notHeldUntil, [&] (const auto& doubt)
        { return isListed (row.instance.models, doubt.first) && ! isListed (known, doubt.first); });
}

bool InstanceDirectory::holds (const View& view, const InstanceQuery& query, base::TimePoint now)
{
    if (query.model.empty())
        return true;
    const cell::HeldModel* model = findModel (view.row, query.model);
    if (model == nullptr)
        return false;
    const bool hasAdapter =
        query.adapter.empty()
        || std::ranges::find (model->adapters, query.adapter) != model->adapters.end();
    if (! hasAdapter)
        return false;
    const auto doubt = view.notHeldUntil.find (query.model + "/" + query.adapter);
    return doubt == view.notHeldUntil.end() || now >= doubt->second;
}

bool InstanceDirectory::isCandidate (const View& view, const InstanceQuery& query,
                                     base::TimePoint now)
{
    return view.row.instance.service == query.service && ! view.row.instance.isDraining
           && now >= view.unreachableUntil;
}

double InstanceDirectory::loadOf (const View& view, base::TimePoint now)
{
    const double own = view.inFlight;
    const bool isStated = now - view.loadStatedAt < kLoadLife;
    return isStated ? std::max (own, static_cast<double> (view.statedLoad)) : own;
}

double InstanceDirectory::costOf (const View& view, const InstanceQuery& query,
                                  base::TimePoint now) const
{
    const double load = loadOf (view, now);
    const double slots = std::max (view.row.instance.slots, 1U);
    double cost = kFailureCost * view.failureShare;
    if (query.model.empty())
    {
        cost += kApplicationWork * load / slots;
    }
    else
    {
        cost += kEngineWork * load + kTokenReading * static_cast<double> (view.tokensToRead);
    }
    if (view.row.instance.zone != m_zone)
        cost += kOtherZoneCost;
    if (view.row.isSilent || isQuiet (view, now))
        cost += kSilentCost;
    const bool isAvoided = now < view.avoidedUntil || view.row.instance.id == query.avoidedInstance;
    return isAvoided ? cost + kAvoidedCost : cost;
}

bool InstanceDirectory::canServe (const View& view, const InstanceQuery& query, base::TimePoint now)
{
    const auto hasEnded = [&]
    {
        const std::vector<std::string>& ended = query.endedInstances;
        return ! ended.empty()
               && std::ranges::find (ended, incarnationNameOf (view.row)) != ended.end();
    };
    return isCandidate (view, query, now) && ! hasEnded() && holds (view, query, now);
}

std::string InstanceDirectory::homeOf (const InstanceQuery& query, base::TimePoint now) const
{
    std::string home;
    if (query.affinity.empty())
        return home;
    double highest = -1;
    for (const auto& [id, view] : m_views)
    {
        if (! canServe (view, query, now))
            continue;
        const double share = hashShare (id, query.affinity);
        if (share <= highest)
            continue;
        highest = share;
        home = id;
    }
    return home;
}

bool InstanceDirectory::isQuiet (const View& view, base::TimePoint now)
{
    return view.inFlight > 0 && now - view.heardAt > kQuietAfter;
}

bool InstanceDirectory::isInDoubt (const View& view, base::TimePoint now)
{
    return view.row.isSilent || isQuiet (view, now) || now < view.avoidedUntil;
}

InstanceChoice InstanceDirectory::chooseForTrial (const InstanceQuery& query,
                                                  base::TimePoint now) const
{
    InstanceChoice choice;
    choice.reason = NoChoice::kNotLoaded;
    // Runners in doubt come last: requests of a crashed runner that went by their text alone to
    // others of its rack, which had fallen silent with it, would wait for a second one in vain.
    std::pair<int, double> best;
    for (const auto& [id, view] : m_views)
    {
        if (! canServe (view, query, now))
            continue;
        const bool isLastResort = id == query.avoidedInstance;
        const int doubt = (isInDoubt (view, now) ? 1 : 0) + (isLastResort ? 2 : 0);
        const std::pair<int, double> rank (-doubt, hashShare (id, query.trial));
        if (choice.reason == NoChoice::kNone && rank <= best)
            continue;
        best = rank;
        choice = { NoChoice::kNone, id, view.row.instance.address };
    }
    return choice;
}

InstanceChoice InstanceDirectory::choose (const InstanceQuery& query, base::TimePoint now) const
{
    if (! query.trial.empty())
        return chooseForTrial (query, now);
    InstanceChoice choice;
    double lowest = 0;
    const std::string home = homeOf (query, now);
    for (const auto& [id, view] : m_views)
    {
        if (! isCandidate (view, query, now))
            continue;
        if (choice.reason == NoChoice::kUnknown)
            choice.reason = NoChoice::kNotLoaded;
        if (! holds (view, query, now))
            continue;
        double cost = costOf (view, query, now);
        if (id == home)
            cost -= kTokenReading * static_cast<double> (query.sharedTokens);
        if (choice.reason == NoChoice::kNone && cost >= lowest)
            continue;
        lowest = cost;
        choice.reason = NoChoice::kNone;
        choice.id = id;
        choice.address = view.row.instance.address;
    }
    return choice;
}

void InstanceDirectory::onBytes (const std::string& id, base::TimePoint now)
{
    const auto found = m_views.find (id);
    if (found != m_views.end())
        found->second.heardAt = now;
}

void InstanceDirectory::onAttemptBegin (const std::string& id, std::uint64_t promptTokens,
                                        base::TimePoint now)
{
    const auto found = m_views.find (id);
    if (found == m_views.end())
        return;
    if (found->second.inFlight == 0)
        found->second.heardAt = now;
    ++found->second.inFlight;
    found->second.tokensToRead += promptTokens;
}

void InstanceDirectory::onAnswerBegun (const std::string& id, std::uint64_t promptTokens)
{
    const auto found = m_views.find (id);
    if (found == m_views.end())
        return;
    found->second.tokensToRead -= std::min (found->second.tokensToRead, promptTokens);
}

void InstanceDirectory::onAttemptEnd (const std::string& id, AttemptEnd end, base::TimePoint now)
{
    const auto found = m_views.find (id);
    if (found == m_views.end())
        return;
    View& view = found->second;
    if (view.inFlight > 0)
        --view.inFlight;
    if (end == AttemptEnd::kAbandoned || end == AttemptEnd::kNotHeld)
        return;
    const bool isFailure = end != AttemptEnd::kAnswered;
    view.failureShare += kFailureWeight * ((isFailure ? 1.0 : 0.0) - view.failureShare);
    view.consecutiveFailures = isFailure ? view.consecutiveFailures + 1 : 0;
    if (end == AttemptEnd::kUnreachable)
    {
        noteUnreachable (view, now);
    }
    else
    {
        view.unreachableCount = 0;
    }
    if (view.consecutiveFailures >= kFailuresBeforeAvoidance)
    {
        const std::uint32_t doublings =
            std::min (view.consecutiveFailures - kFailuresBeforeAvoidance, 4U);
        const base::Duration pause =
            std::min<base::Duration> (kFirstAvoidance * (1U << doublings), kLongestAvoidance);
        view.avoidedUntil = std::max (view.avoidedUntil, now + pause);
    }
}

void InstanceDirectory::noteUnreachable (View& view, base::TimePoint now)
{
    view.unreachableUntil = now + kUnreachableAvoidance;
    // A single packet that was lost is no reason to tell the leader.
    if (++view.unreachableCount == kUnreachableBeforeReport)
    {
        m_unreachable.push_back (view.row.instance.id);
    }
}

void InstanceDirectory::onLoad (const std::string& id, std::uint32_t running, std::uint32_t waiting,
                                base::TimePoint now)
{
    const auto found = m_views.find (id);
    if (found == m_views.end())
        return;
    found->second.statedLoad = running + waiting;
    found->second.loadStatedAt = now;
}

void InstanceDirectory::onNotHeld (const std::string& id, const std::string& model,
                                   const std::string& adapter, base::TimePoint now)
{
    const auto found = m_views.find (id);
    if (found == m_views.end())
        return;
    View& view = found->second;
    view.notHeldUntil[model + "/" + adapter] = now + kNotHeldLife;
    if (model.empty())
        noteUnreachable (view, now);  // Another instance answers there.
}

}  // namespace fernlift::proxy
