/// Choice of a runner for a request: which runners can serve it, what each would cost, and how
/// routers with the same view of the load spread over the best ones.

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include "base/HashToUnitInterval.h"
#include "proxy/InstanceDirectory.h"

namespace fernlift::proxy
{
namespace
{

/// Lifetime of a load stated by a runner.
constexpr base::Duration kLoadLifetime = base::milliseconds (500);
// Costs in milliseconds.
constexpr double kFailureCost = 500;
constexpr double kSilentCost = 500;
/// A runner with open requests that sent nothing for this time may be dead.
constexpr base::Duration kQuietAfter = base::milliseconds (700);
constexpr double kAvoidedCost = 100'000;
/// Routers with the same view of the load choose at random among the runners whose cost exceeds the
/// lowest by less than this many requests of the same kind; lower costs are more likely. With 80
/// routers, 12 runners of two speeds, loads 0.2 s old and 75 requests per second, two thirds of
/// them with prompts of 9,000 tokens, the late share of the other requests is at most 0.002 with
/// this choice, 0.36 to 0.45 if each router takes the best runner, and 0.16 to 0.17 if each router
/// knows only its own load.
constexpr double kSpread = 2;
/// Weight of the prefill time saved by a cached prefix against the higher cost of its runner.
/// Processing the tokens again at another runner also delays all requests that wait there.
constexpr double kCachedPrefixWeight = 2;

double hashToUnitInterval (const std::string& id, const std::string& affinity)
{
    return base::hashToUnitInterval (id + '\n' + affinity);
}

const cell::HeldModel* findModel (const cell::RoutableInstance& row, const std::string& name)
{
    const auto found = std::ranges::find (row.instance.models, name, &cell::HeldModel::model);
    return found == row.instance.models.end() ? nullptr : &*found;
}

double millisecondsOf (base::Duration duration)
{
    return std::chrono::duration<double, std::milli> (duration).count();
}

}  // namespace

std::string_view toString (NoRunnerReason reason)
{
    switch (reason)
    {
        case NoRunnerReason::kNone:
            return "none";
        case NoRunnerReason::kUnknown:
            return "no_runner";
        case NoRunnerReason::kNotLoaded:
            return "not_loaded";
        case NoRunnerReason::kUnconfirmed:
            return "unconfirmed";
        case NoRunnerReason::kRateLimited:
            return "rate_limited";
        case NoRunnerReason::kBackoff:
            return "backoff";
        case NoRunnerReason::kUnreachable:
            return "unreachable";
        case NoRunnerReason::kSoftwareVersion:
            return "software_version";
        case NoRunnerReason::kFull:
            break;
    }
    return "full";
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
    const auto entry = view.notHeldUntil.find (query.model + "/" + query.adapter);
    return entry == view.notHeldUntil.end() || now >= entry->second;
}

bool InstanceDirectory::isAccepting (const View& view, const InstanceQuery& query,
                                     base::TimePoint now) const
{
    return view.row.instance.service == query.service && ! isDraining (view, now);
}

RunnerState InstanceDirectory::stateOf (const View& view, const InstanceQuery& query,
                                        base::TimePoint now) const
{
    RunnerState state;
    state.requests = view.own.inFlight;
    state.pendingPrefillTokens = static_cast<double> (view.own.pendingPrefillTokens);
    state.slots = view.row.instance.slots;
    state.speed = view.speed;
    state.slowdown = decayedSlowdown (view.slowdown, millisecondsOf (now - view.slowdownAt));
    state.isInOtherZone = view.row.instance.zone != m_zone;
    const double others = weightOfOthers (now);
    if (others > 0)
    {
        state.requests += others * view.others.inFlight;
        state.pendingPrefillTokens +=
            others * static_cast<double> (view.others.pendingPrefillTokens);
        state.needsConnection = query.hasConnection && ! query.hasConnection (view.address);
    }
    else if (now - view.loadStatedAt < kLoadLifetime)
    {
        state.requests = std::max (state.requests, static_cast<double> (view.statedLoad));
    }
    return state;
}

RunnerLoad InstanceDirectory::loadOf (const std::string& id, base::TimePoint now) const
{
    const auto found = m_views.find (id);
    if (found == m_views.end())
        return {};
    const View& view = found->second;
    const std::uint32_t others = weightOfOthers (now) > 0 ? view.others.inFlight : 0;
    return { view.own.inFlight, others, view.row.instance.slots };
}

bool InstanceDirectory::isFull (const std::string& id, base::TimePoint now) const
{
    const auto found = m_views.find (id);
    if (found == m_views.end())
        return false;
    const RunnerState state = stateOf (found->second, {}, now);
    return state.slots > 0 && state.requests >= state.slots;
}

InstanceDirectory::Candidate InstanceDirectory::candidateOf (const View& view,
                                                             const View* affinityRunner,
                                                             const InstanceQuery& query,
                                                             base::TimePoint now) const
{
    const std::uint64_t cachedTokens =
        &view == affinityRunner ? std::min (query.sharedTokens, query.promptTokens) : 0;
    Candidate candidate;
    candidate.view = &view;
    candidate.state = stateOf (view, query, now);
    candidate.work = { ! query.model.empty(), query.promptTokens - cachedTokens };
    candidate.milliseconds = expectedMilliseconds (candidate.state, candidate.work)
                             + kFailureCost * failureShareOf (view, now);
    // All streams of an engine wait during the prefill of a long prompt. Of 2,000 short chats with
    // a gap target of 500 ms, 347 to 532 are late without this term, and 6 to 17 % fewer with it
    // (326 to 483).
    if (candidate.work.isForModel && query.gapTarget > base::Duration::zero()
        && hasLoadsOfOthers (now))
    {
        candidate.milliseconds += streamDelayMilliseconds (candidate.state, candidate.work,
                                                           millisecondsOf (query.gapTarget));
    }
    candidate.savedMilliseconds =
        prefillMilliseconds (candidate.state, static_cast<double> (cachedTokens));
    if (view.row.isSilent || isQuiet (view, now))
        candidate.milliseconds += kSilentCost;
    const bool isAvoided = now < view.avoidedUntil || view.row.instance.id == query.avoidedInstance;
    if (isAvoided)
        candidate.milliseconds += kAvoidedCost;
    return candidate;
}

bool InstanceDirectory::couldServe (const View& view, const InstanceQuery& query,
                                    base::TimePoint now) const
{
    const bool hasSoftware =
        ! query.softwareVersion || *query.softwareVersion == view.row.softwareVersion;
    return hasSoftware && couldServeAtAnyVersion (view, query, now);
}

bool InstanceDirectory::couldServeAtAnyVersion (const View& view, const InstanceQuery& query,
                                                base::TimePoint now) const
{
    const auto hasCrashed = [&]
    {
        const std::vector<std::string>& crashed = query.crashedInstances;
        return ! crashed.empty()
               && std::ranges::find (crashed, view.row.incarnation().name()) != crashed.end();
    };
    return isAccepting (view, query, now) && ! hasCrashed() && holds (view, query, now);
}

bool InstanceDirectory::canServe (const View& view, const InstanceQuery& query,
                                  base::TimePoint now) const
{
    return now >= view.unreachableUntil && couldServe (view, query, now);
}

const InstanceDirectory::View* InstanceDirectory::affinityRunnerOf (const InstanceQuery& query,
                                                                    base::TimePoint now) const
{
    const View* affinityRunner = nullptr;
    if (query.affinity.empty())
        return affinityRunner;
    double highest = -1;
    for (const auto& [id, view] : viewsFor (query.service, query.model))
    {
        if (! canServe (*view, query, now))
            continue;
        const double share = hashToUnitInterval (id, query.affinity);
        if (share <= highest)
            continue;
        highest = share;
        affinityRunner = view;
    }
    return affinityRunner;
}

bool InstanceDirectory::isQuiet (const View& view, base::TimePoint now)
{
    return view.own.inFlight > view.paused && now - view.lastBytesAt > kQuietAfter;
}

bool InstanceDirectory::mayHaveFailed (const View& view, base::TimePoint now)
{
    return view.row.isSilent || isQuiet (view, now) || now < view.avoidedUntil;
}

InstanceChoice InstanceDirectory::chooseIsolationRunner (const InstanceQuery& query,
                                                         base::TimePoint now) const
{
    InstanceChoice choice;
    // Runners that may have failed rank last. Otherwise the key alone could select another failed
    // runner, such as one in the rack of the crashed runner, and the request would wait for a
    // failed runner a second time.
    std::pair<int, double> best;
    RateCapacity capacity;
    base::Duration backoff{};
    for (const auto& [id, view] : viewsFor (query.service, query.model))
    {
        if (! canServe (*view, query, now))
            continue;
        const bool isLastResort = id == query.avoidedInstance;
        const int penalty = (mayHaveFailed (*view, now) ? 1 : 0) + (isLastResort ? 2 : 0);
        const std::pair<int, double> rank (-penalty, hashToUnitInterval (id, query.isolationKey));
        if (choice.reason == NoRunnerReason::kNone && rank <= best)
            continue;
        best = rank;
        capacity = rateCapacity (*view, query);
        backoff = backoffOf (*view, now);
        choice = choiceOf (candidateOf (*view, nullptr, query, now), query, now);
    }
    if (choice.reason != NoRunnerReason::kNone)
        return { reasonWithout (query, now) };
    // All copies are sent to this one runner, so they share the wait for it.
    if (backoff > base::Duration::zero())
        return backingOff (backoff);
    return capacity.wait > base::Duration::zero() ? rateLimited (capacity) : choice;
}

NoRunnerReason InstanceDirectory::reasonWithout (const InstanceQuery& query,
                                                 base::TimePoint now) const
{
    const auto isServing = [&] (const auto& item) { return couldServe (*item.second, query, now); };
    if (std::ranges::any_of (viewsFor (query.service, query.model), isServing))
        return NoRunnerReason::kUnreachable;
    const auto isServingOthers = [&] (const auto& item)
    { return couldServeAtAnyVersion (*item.second, query, now); };
    if (query.softwareVersion
        && std::ranges::any_of (viewsFor (query.service, query.model), isServingOthers))
        return NoRunnerReason::kSoftwareVersion;
    const Views& views = viewsFor (query.service, {});
    const bool isAny = std::ranges::any_of (
        views, [&] (const auto& item) { return isAccepting (*item.second, query, now); });
    return isAny ? NoRunnerReason::kNotLoaded : NoRunnerReason::kUnknown;
}

InstanceChoice InstanceDirectory::choiceOf (const Candidate& candidate, const InstanceQuery& query,
                                            base::TimePoint now) const
{
    InstanceChoice choice;
    choice.reason = NoRunnerReason::kNone;
    choice.id = candidate.view->row.instance.id;
    choice.address = candidate.view->row.instance.address;
    choice.expectedAnswer =
        std::chrono::duration_cast<base::Duration> (std::chrono::duration<double, std::milli> (
            expectedMilliseconds (candidate.state, candidate.work)));
    choice.prefillTokens =
        hasLoadsOfOthers (now) ? candidate.work.prefillTokens : query.promptTokens;
    return choice;
}

const InstanceDirectory::Candidate& InstanceDirectory::pickAmongBest (
    const std::vector<Candidate>& candidates, const Candidate& lowest, double draw)
{
    const auto isWorthItsDelay = [&] (const Candidate& candidate)
    {
        return candidate.savedMilliseconds > 0
               && candidate.milliseconds
                      < lowest.milliseconds + kCachedPrefixWeight * candidate.savedMilliseconds;
    };
    const auto affinityRunner = std::ranges::find_if (candidates, isWorthItsDelay);
    if (affinityRunner != candidates.end())
        return *affinityRunner;
    const double limit =
        lowest.milliseconds + kSpread * addedMilliseconds (lowest.state, lowest.work);
    const bool isConnected = std::ranges::any_of (
        candidates, [&] (const Candidate& candidate)
        { return ! candidate.state.needsConnection && candidate.milliseconds < limit; });
    const auto weightOf = [&] (const Candidate& candidate)
    {
        const bool isLeftOut = isConnected && candidate.state.needsConnection;
        return isLeftOut ? 0.0 : std::max (limit - candidate.milliseconds, 0.0);
    };
    double sum = 0;
    for (const Candidate& candidate : candidates)
        sum += weightOf (candidate);
    double left = draw * sum;
    for (const Candidate& candidate : candidates)
    {
        left -= weightOf (candidate);
        if (left < 0)
            return candidate;
    }
    return lowest;
}

RateCapacity InstanceDirectory::rateCapacity (const View& view, const InstanceQuery& query)
{
    if (! query.rateCapacity)
        return {};
    return query.rateCapacity (view.row.instance.id, view.row.instance.startedAt);
}

InstanceChoice InstanceDirectory::rateLimited (const RateCapacity& capacity)
{
    InstanceChoice choice;
    choice.reason = NoRunnerReason::kRateLimited;
    choice.wait = capacity.wait;
    choice.ratePerSecond = capacity.perSecond;
    return choice;
}

InstanceChoice InstanceDirectory::backingOff (base::Duration wait)
{
    InstanceChoice choice;
    choice.reason = NoRunnerReason::kBackoff;
    choice.wait = wait;
    return choice;
}

base::Duration InstanceDirectory::backoffOf (const View& view, base::TimePoint now) const
{
    if (m_availability.isEmpty())
        return base::Duration::zero();
    return m_availability.waitFor (view.row.incarnation(), now);
}

bool InstanceDirectory::isBackingOff (const std::string& id, base::TimePoint now) const
{
    const auto found = m_views.find (id);
    return found != m_views.end()
           && m_availability.isBackingOff (found->second.row.incarnation(), now);
}

bool InstanceDirectory::mayStillServe (const std::string& id, const InstanceQuery& query,
                                       base::TimePoint now) const
{
    const auto found = m_views.find (id);
    return found != m_views.end() && canServe (found->second, query, now)
           && backoffOf (found->second, now) == base::Duration::zero();
}

std::vector<std::string> InstanceDirectory::rank (const InstanceQuery& query, std::size_t most,
                                                  base::TimePoint now) const
{
    const View* const affinityRunner = affinityRunnerOf (query, now);
    std::vector<Candidate> candidates;
    for (const auto& [id, view] : viewsFor (query.service, query.model))
    {
        const bool isFree = mayStillServe (id, query, now)
                            && rateCapacity (*view, query).wait == base::Duration::zero();
        if (isFree)
            candidates.push_back (candidateOf (*view, affinityRunner, query, now));
    }
    std::ranges::stable_sort (candidates, {}, &Candidate::milliseconds);
    std::vector<std::string> ids;
    for (std::size_t number = 0; number < std::min (most, candidates.size()); ++number)
        ids.push_back (candidates[number].view->row.instance.id);
    return ids;
}

InstanceChoice InstanceDirectory::choiceOf (const std::string& id, const InstanceQuery& query,
                                            base::TimePoint now) const
{
    if (! mayStillServe (id, query, now))
        return {};
    return choiceOf (candidateOf (m_views.at (id), affinityRunnerOf (query, now), query, now),
                     query, now);
}

InstanceChoice InstanceDirectory::choose (const InstanceQuery& query, base::TimePoint now) const
{
    if (! query.isolationKey.empty())
        return chooseIsolationRunner (query, now);
    const View* const affinityRunner = affinityRunnerOf (query, now);
    std::vector<Candidate> candidates;
    std::optional<RateCapacity> later;  ///< Combined capacity of the runners that are at their rate
                                        ///< limits.
    std::optional<base::Duration> shortestBackoff;
    for (const auto& [id, view] : viewsFor (query.service, query.model))
    {
        if (! canServe (*view, query, now))
            continue;
        const base::Duration backoff = backoffOf (*view, now);
        if (backoff > base::Duration::zero())
        {
            shortestBackoff = std::min (shortestBackoff.value_or (backoff), backoff);
            continue;
        }
        const RateCapacity capacity = rateCapacity (*view, query);
        if (capacity.wait == base::Duration::zero())
        {
            candidates.push_back (candidateOf (*view, affinityRunner, query, now));
            continue;
        }
        later = later ? RateCapacity{ std::min (later->wait, capacity.wait),
                                      later->perSecond + capacity.perSecond }
                      : capacity;
    }
    if (candidates.empty() && later && later->wait <= shortestBackoff.value_or (later->wait))
        return rateLimited (*later);
    if (candidates.empty() && shortestBackoff)
        return backingOff (*shortestBackoff);
    if (candidates.empty())
        return { reasonWithout (query, now) };
    // Without the loads of other routers, the view of each router contains only its own load, so
    // the views of two routers differ anyway.
    const bool spreads = query.draw && hasLoadsOfOthers (now);
    const Candidate& lowest = *std::ranges::min_element (candidates, {}, &Candidate::milliseconds);
    const Candidate& chosen = spreads ? pickAmongBest (candidates, lowest, *query.draw) : lowest;
    return choiceOf (chosen, query, now);
}

}  // namespace fernlift::proxy
