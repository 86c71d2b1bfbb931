#include "proxy/InstanceDirectory.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include "base/HashShare.h"

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
constexpr double kFailureCost = 500;
constexpr double kSilentCost = 500;
/// A runner that works on requests and sent nothing for this long may be dead.
constexpr base::Duration kQuietAfter = base::milliseconds (700);
constexpr double kAvoidedCost = 100'000;
/// Loads of other routers count in full for this time after the last news of any, and less and less
/// up to the end of their life: news come several times a second while loads change.
constexpr base::Duration kOthersFresh = base::milliseconds (500);
constexpr base::Duration kOthersLife = base::seconds (1);
/// A report comes back as part of the sums after some such time.
constexpr base::Duration kReportTravel = base::milliseconds (150);
/// Routers that see the same picture choose at random among runners that are behind the best by
/// less than so many requests like theirs; the nearer, the likelier. 80 routers before 12 runners
/// of two speeds, on loads 0.2 s old, 75 requests a second, two thirds with prompts of 9,000
/// tokens: of the others 0.16 to 0.17 were late by each router's own knowledge, 0.36 to 0.45 with
/// the best taken, 0.002 at most so (SharedLoadsPlay, four seeds).
constexpr double kSpread = 2;
/// What a runner has kept of a prompt counts this many times over when the runner is behind others:
/// tokens that another one reads once more delay all that wait there too.
constexpr double kKeptWorth = 2;

double hashShare (const std::string& id, const std::string& affinity)
{
    return base::hashShare (id + '\n' + affinity);
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

double shareOf (std::uint32_t percent)
{
    return static_cast<double> (std::clamp (percent, cell::kLeastPercent, cell::kMostPercent))
           / cell::kUsualPercent;
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

double millisecondsOf (base::Duration duration)
{
    return std::chrono::duration<double, std::milli> (duration).count();
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
        case NoChoice::kRateLimited:
            return "rate_limited";
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
        std::erase_if (m_views,
                       [&] (const auto& item)
                       {
                           const bool isGone = ! present.contains (item.first);
                           if (isGone)
                               dropFromIndex (item.second);
                           return isGone;
                       });
    }
    for (const std::string& id : update.removals)
    {
        const auto found = m_views.find (id);
        if (found == m_views.end())
            continue;
        noteReplaced (found->second);
        dropFromIndex (found->second);
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

void InstanceDirectory::applyLoads (const cell::InstanceLoadUpdate& update, base::TimePoint now)
{
    m_loadsAt = now;
    if (update.isWhole)
    {
        for (auto& [id, view] : m_views)
        {
            view.others = {};
            view.speed = 1;
        }
    }
    for (const cell::InstanceLoad& load : update.loads)
    {
        const auto found = m_views.find (load.instance);
        if (found == m_views.end())
            continue;
        View& view = found->second;
        view.others = usedByOthers (view, { load.inFlight, load.unreadTokens }, now);
        view.speed = shareOf (load.speedPercent);
        noteSlowdown (view, load.slowdownPercent,
                      now - base::milliseconds (load.slowdownAgeMilliseconds));
    }
}

void InstanceDirectory::onReported (const cell::InstanceLoadReport& report, base::TimePoint now)
{
    for (const cell::InstanceUse& use : report.uses)
    {
        const auto found = m_views.find (use.instance);
        if (found == m_views.end())
            continue;
        View& view = found->second;
        view.toldBefore = std::exchange (view.told, { use.inFlight, use.unreadTokens });
        view.toldAt = now;
    }
}

void InstanceDirectory::onLinkLost()
{
    for (auto& [id, view] : m_views)
    {
        view.told = {};
        view.toldBefore = {};
    }
}

InstanceDirectory::Use InstanceDirectory::usedByOthers (const View& view, const Use& all,
                                                        base::TimePoint now)
{
    const Use& told = now - view.toldAt < kReportTravel ? view.toldBefore : view.told;
    return { all.inFlight - std::min (all.inFlight, told.inFlight),
             all.unreadTokens - std::min (all.unreadTokens, told.unreadTokens) };
}

double InstanceDirectory::shareOfOthers (base::TimePoint now) const
{
    if (m_loadsAt == base::TimePoint{})
        return 0;
    const std::chrono::duration<double> old = now - m_loadsAt - kOthersFresh;
    const std::chrono::duration<double> fading = kOthersLife - kOthersFresh;
    return std::clamp (1 - old / fading, 0.0, 1.0);
}

void InstanceDirectory::noteSlowdown (View& view, std::uint32_t percent, base::TimePoint statedAt)
{
    if (statedAt < view.slowdownAt)
        return;
    view.slowdown = shareOf (percent);
    view.slowdownAt = statedAt;
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

void InstanceDirectory::addToIndex (View& view)
{
    const cell::ServiceInstance& instance = view.row.instance;
    std::map<std::string, Views>& models = m_index[instance.service];
    models[{}][instance.id] = &view;
    for (const cell::HeldModel& model : instance.models)
        models[model.model][instance.id] = &view;
}

void InstanceDirectory::dropFromIndex (const View& view)
{
    const cell::ServiceInstance& instance = view.row.instance;
    const auto service = m_index.find (instance.service);
    if (service == m_index.end())
        return;
    std::map<std::string, Views>& models = service->second;
    const auto drop = [&] (const std::string& model)
    {
        const auto found = models.find (model);
        if (found != models.end() && found->second.erase (instance.id) > 0 && found->second.empty())
            models.erase (found);
    };
    drop ({});
    for (const cell::HeldModel& model : instance.models)
        drop (model.model);
    if (models.empty())
        m_index.erase (service);
}

const InstanceDirectory::Views& InstanceDirectory::viewsFor (const std::string& service,
                                                             const std::string& model) const
{
    static const Views kNone;
    const auto models = m_index.find (service);
    if (models == m_index.end())
        return kNone;
    const auto views = models->second.find (model);
    return views == models->second.end() ? kNone : views->second;
}

void InstanceDirectory::put (const cell::RoutableInstance& row)
{
    View& view = m_views[row.instance.id];
    dropFromIndex (view);
    forgetEarlier (view, row);
    // A new leader knows the models only once it has heard the runner.
    std::vector<cell::HeldModel> known = std::move (view.row.instance.models);
    view.row = row;
    view.address =
        base::SocketAddress::tryParse (row.instance.address).value_or (base::SocketAddress());
    if (! row.instance.isReported)
    {
        view.row.instance.models = std::move (known);
        addToIndex (view);
        return;
    }
    addToIndex (view);
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

RunnerState InstanceDirectory::stateOf (const View& view, const InstanceQuery& query,
                                        base::TimePoint now) const
{
    RunnerState state;
    state.requests = view.own.inFlight;
    state.unreadTokens = static_cast<double> (view.own.unreadTokens);
    state.slots = view.row.instance.slots;
    state.speed = view.speed;
    state.slowdown = fadedSlowdown (view.slowdown, millisecondsOf (now - view.slowdownAt));
    state.isInOtherZone = view.row.instance.zone != m_zone;
    const double others = shareOfOthers (now);
    if (others > 0)
    {
        state.requests += others * view.others.inFlight;
        state.unreadTokens += others * static_cast<double> (view.others.unreadTokens);
        state.needsConnection = query.hasConnection && ! query.hasConnection (view.address);
    }
    else if (now - view.loadStatedAt < kLoadLife)
    {
        state.requests = std::max (state.requests, static_cast<double> (view.statedLoad));
    }
    return state;
}

InstanceDirectory::Offer InstanceDirectory::offerOf (const View& view, const View* home,
                                                     const InstanceQuery& query,
                                                     base::TimePoint now) const
{
    const std::uint64_t kept =
        &view == home ? std::min (query.sharedTokens, query.promptTokens) : 0;
    Offer offer;
    offer.view = &view;
    offer.state = stateOf (view, query, now);
    offer.work = { ! query.model.empty(), query.promptTokens - kept };
    offer.milliseconds =
        expectedMilliseconds (offer.state, offer.work) + kFailureCost * view.failureShare;
    // While an engine reads a long prompt all that it answers waits. Of 2,000 short chats whose
    // events must not be 500 ms apart 347, 401 and 532 were late without this, 326, 333 and 483
    // with it (whole days of three seeds, played before and after).
    if (offer.work.isForModel && query.gapTarget > base::Duration::zero() && knowsOthers (now))
    {
        offer.milliseconds +=
            delayOfStreams (offer.state, offer.work, millisecondsOf (query.gapTarget));
    }
    offer.savedMilliseconds = readingMilliseconds (offer.state, static_cast<double> (kept));
    if (view.row.isSilent || isQuiet (view, now))
        offer.milliseconds += kSilentCost;
    const bool isAvoided = now < view.avoidedUntil || view.row.instance.id == query.avoidedInstance;
    if (isAvoided)
        offer.milliseconds += kAvoidedCost;
    return offer;
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

const InstanceDirectory::View* InstanceDirectory::homeOf (const InstanceQuery& query,
                                                          base::TimePoint now) const
{
    const View* home = nullptr;
    if (query.affinity.empty())
        return home;
    double highest = -1;
    for (const auto& [id, view] : viewsFor (query.service, query.model))
    {
        if (! canServe (*view, query, now))
            continue;
        const double share = hashShare (id, query.affinity);
        if (share <= highest)
            continue;
        highest = share;
        home = view;
    }
    return home;
}

bool InstanceDirectory::isQuiet (const View& view, base::TimePoint now)
{
    return view.own.inFlight > 0 && now - view.heardAt > kQuietAfter;
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
    RateRoom room;
    for (const auto& [id, view] : viewsFor (query.service, query.model))
    {
        if (! canServe (*view, query, now))
            continue;
        const bool isLastResort = id == query.avoidedInstance;
        const int doubt = (isInDoubt (*view, now) ? 1 : 0) + (isLastResort ? 2 : 0);
        const std::pair<int, double> rank (-doubt, hashShare (id, query.trial));
        if (choice.reason == NoChoice::kNone && rank <= best)
            continue;
        best = rank;
        room = roomByRate (*view, query);
        choice = choiceOf (offerOf (*view, nullptr, query, now), query, now);
    }
    // All copies go to this one runner, so that they wait for its rate together.
    return room.wait > base::Duration::zero() ? rateLimited (room) : choice;
}

NoChoice InstanceDirectory::reasonWithout (const InstanceQuery& query, base::TimePoint now) const
{
    const Views& views = viewsFor (query.service, {});
    const bool isAny = std::ranges::any_of (
        views, [&] (const auto& item) { return isCandidate (*item.second, query, now); });
    return isAny ? NoChoice::kNotLoaded : NoChoice::kUnknown;
}

InstanceChoice InstanceDirectory::choiceOf (const Offer& offer, const InstanceQuery& query,
                                            base::TimePoint now) const
{
    InstanceChoice choice;
    choice.reason = NoChoice::kNone;
    choice.id = offer.view->row.instance.id;
    choice.address = offer.view->row.instance.address;
    choice.expectedAnswer = std::chrono::duration_cast<base::Duration> (
        std::chrono::duration<double, std::milli> (expectedMilliseconds (offer.state, offer.work)));
    choice.tokensToRead = knowsOthers (now) ? offer.work.tokensToRead : query.promptTokens;
    return choice;
}

const InstanceDirectory::Offer& InstanceDirectory::pickAmongBest (const std::vector<Offer>& offers,
                                                                  const Offer& lowest, double draw)
{
    const auto isWorthItsDelay = [&] (const Offer& offer)
    {
        return offer.savedMilliseconds > 0
               && offer.milliseconds < lowest.milliseconds + kKeptWorth * offer.savedMilliseconds;
    };
    const auto home = std::ranges::find_if (offers, isWorthItsDelay);
    if (home != offers.end())
        return *home;
    const double limit =
        lowest.milliseconds + kSpread * addedMilliseconds (lowest.state, lowest.work);
    const bool isConnected = std::ranges::any_of (
        offers, [&] (const Offer& offer)
        { return ! offer.state.needsConnection && offer.milliseconds < limit; });
    const auto weightOf = [&] (const Offer& offer)
    {
        const bool isLeftOut = isConnected && offer.state.needsConnection;
        return isLeftOut ? 0.0 : std::max (limit - offer.milliseconds, 0.0);
    };
    double sum = 0;
    for (const Offer& offer : offers)
        sum += weightOf (offer);
    double left = draw * sum;
    for (const Offer& offer : offers)
    {
        left -= weightOf (offer);
        if (left < 0)
            return offer;
    }
    return lowest;
}

RateRoom InstanceDirectory::roomByRate (const View& view, const InstanceQuery& query)
{
    if (! query.roomByRate)
        return {};
    return query.roomByRate (view.row.instance.id, view.row.instance.startedAt);
}

InstanceChoice InstanceDirectory::rateLimited (const RateRoom& room)
{
    InstanceChoice choice;
    choice.reason = NoChoice::kRateLimited;
    choice.rateWait = room.wait;
    choice.ratePerSecond = room.perSecond;
    return choice;
}

bool InstanceDirectory::mayStillServe (const std::string& id, const InstanceQuery& query,
                                       base::TimePoint now) const
{
    const auto found = m_views.find (id);
    return found != m_views.end() && canServe (found->second, query, now);
}

InstanceChoice InstanceDirectory::choose (const InstanceQuery& query, base::TimePoint now) const
{
    if (! query.trial.empty())
        return chooseForTrial (query, now);
    const View* const home = homeOf (query, now);
    std::vector<Offer> offers;
    std::optional<RateRoom> later;  ///< Of those that have none left now, together.
    for (const auto& [id, view] : viewsFor (query.service, query.model))
    {
        if (! canServe (*view, query, now))
            continue;
        const RateRoom room = roomByRate (*view, query);
        if (room.wait == base::Duration::zero())
        {
            offers.push_back (offerOf (*view, home, query, now));
            continue;
        }
        later =
            later ? RateRoom{ std::min (later->wait, room.wait), later->perSecond + room.perSecond }
                  : room;
    }
    if (offers.empty() && later)
        return rateLimited (*later);
    if (offers.empty())
        return { reasonWithout (query, now) };
    // In a small cell what is known is this router's own, and never the same at two of them.
    const bool spreads = query.draw && knowsOthers (now);
    const Offer& lowest = *std::ranges::min_element (offers, {}, &Offer::milliseconds);
    const Offer& chosen = spreads ? pickAmongBest (offers, lowest, *query.draw) : lowest;
    return choiceOf (chosen, query, now);
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
    if (found->second.own.inFlight == 0)
        found->second.heardAt = now;
    ++found->second.own.inFlight;
    found->second.own.unreadTokens += promptTokens;
}

void InstanceDirectory::onAnswerBegun (const std::string& id, std::uint64_t promptTokens)
{
    const auto found = m_views.find (id);
    if (found == m_views.end())
        return;
    std::uint64_t& unread = found->second.own.unreadTokens;
    unread -= std::min (unread, promptTokens);
}

void InstanceDirectory::onAttemptEnd (const std::string& id, AttemptEnd end, base::TimePoint now)
{
    const auto found = m_views.find (id);
    if (found == m_views.end())
        return;
    View& view = found->second;
    if (view.own.inFlight > 0)
        --view.own.inFlight;
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

void InstanceDirectory::onLoad (const std::string& id, const StatedLoad& load, base::TimePoint now)
{
    const auto found = m_views.find (id);
    if (found == m_views.end())
        return;
    View& view = found->second;
    view.statedLoad = load.running + load.waiting;
    view.loadStatedAt = now;
    if (load.slowdownPercent)
    {
        // A runner that always takes longer than others states that too.
        const double share = shareOf (*load.slowdownPercent) * view.speed;
        noteSlowdown (view, static_cast<std::uint32_t> (std::lround (share * cell::kUsualPercent)),
                      now);
    }
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
