#include "proxy/InstanceDirectory.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace fernlift::proxy
{
namespace
{

constexpr base::Duration kNotHeldLifetime = base::milliseconds (1500);
constexpr base::Duration kFirstAvoidance = base::milliseconds (300);
constexpr base::Duration kMaxAvoidance = base::seconds (4);
/// Above the interval of the probes of an unreachable runner.
constexpr base::Duration kUnreachableAvoidance = base::milliseconds (700);
constexpr std::uint32_t kFailuresBeforeAvoidance = 3;
constexpr std::uint32_t kUnreachableBeforeReport = 2;
constexpr double kFailureWeight = 0.2;
constexpr base::Duration kFailureHalfLife = base::seconds (2);
/// Failures further apart than this are not consecutive.
constexpr base::Duration kFailureMemory = 2 * kMaxAvoidance;
/// Loads of other routers have full weight for this time after the last update; the weight then
/// falls to zero at the end of their lifetime. Updates arrive several times per second while loads
/// change.
constexpr base::Duration kOthersFullWeightTime = base::milliseconds (500);
constexpr base::Duration kOthersLifetime = base::seconds (1);
/// Approximate time after which the sums from the controller include a report.
constexpr base::Duration kReportRoundTrip = base::milliseconds (150);

double shareOf (std::uint32_t percent)
{
    return static_cast<double> (std::clamp (percent, cell::kMinPercent, cell::kMaxPercent))
           / cell::kNominalPercent;
}

/// Whether the models include MODEL/ADAPTER, or MODEL/ for the model without an adapter.
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
                recordReplaced (view, now);
        }
        std::erase_if (m_views,
                       [&] (const auto& item)
                       {
                           const bool isGone = ! present.contains (item.first);
                           if (isGone)
                               dropFromIndex (item.second, now);
                           return isGone;
                       });
    }
    for (const std::string& id : update.removals)
    {
        const auto found = m_views.find (id);
        if (found == m_views.end())
            continue;
        recordReplaced (found->second, now);
        dropFromIndex (found->second, now);
        m_views.erase (found);
    }
    for (const cell::RoutableInstance& row : update.upserts)
        put (row, now);
    m_softwareVersions.onHistory (update.softwareHistory, now);
    m_term = update.term;
    m_version = update.toVersion;
    m_appliedAt = now;
    setRouters (update.routers);
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
        view.others = usedByOthers (view, { load.inFlight, load.pendingPrefillTokens }, now);
        view.speed = shareOf (load.speedPercent);
        setSlowdown (view, load.slowdownPercent,
                     now - base::milliseconds (load.slowdownAgeMilliseconds));
    }
}

void InstanceDirectory::onLoadsReported (const cell::InstanceLoadReport& report,
                                         base::TimePoint now)
{
    for (const cell::InstanceUse& use : report.uses)
    {
        const auto found = m_views.find (use.instance);
        if (found == m_views.end())
            continue;
        View& view = found->second;
        view.reportedBefore =
            std::exchange (view.reported, { use.inFlight, use.pendingPrefillTokens });
        view.reportedAt = now;
    }
}

void InstanceDirectory::onLinkLost()
{
    for (auto& [id, view] : m_views)
    {
        view.reported = {};
        view.reportedBefore = {};
    }
}

InstanceDirectory::Use InstanceDirectory::usedByOthers (const View& view, const Use& all,
                                                        base::TimePoint now)
{
    const Use& reported =
        now - view.reportedAt < kReportRoundTrip ? view.reportedBefore : view.reported;
    return { all.inFlight - std::min (all.inFlight, reported.inFlight),
             all.pendingPrefillTokens
                 - std::min (all.pendingPrefillTokens, reported.pendingPrefillTokens) };
}

double InstanceDirectory::weightOfOthers (base::TimePoint now) const
{
    if (m_loadsAt == base::TimePoint{})
        return 0;
    const std::chrono::duration<double> old = now - m_loadsAt - kOthersFullWeightTime;
    const std::chrono::duration<double> fading = kOthersLifetime - kOthersFullWeightTime;
    return std::clamp (1 - old / fading, 0.0, 1.0);
}

void InstanceDirectory::setSlowdown (View& view, std::uint32_t percent, base::TimePoint statedAt)
{
    if (statedAt < view.slowdownAt)
        return;
    view.slowdown = shareOf (percent);
    view.slowdownAt = statedAt;
}

bool InstanceDirectory::isDraining (const View& view, base::TimePoint now) const
{
    const bool isStated =
        ! m_availability.isEmpty() && m_availability.isLeaving (view.row.incarnation(), now);
    return view.row.instance.isDraining || isStated;
}

bool InstanceDirectory::isDraining (const std::string& id, base::TimePoint now) const
{
    const auto found = m_views.find (id);
    return found != m_views.end() && isDraining (found->second, now);
}

void InstanceDirectory::recordReplaced (const View& view, base::TimePoint now)
{
    if (! isDraining (view, now))
        m_replaced.push_back (view.row.incarnation().name());
}

void InstanceDirectory::resetIfRestarted (View& view, const cell::RoutableInstance& row,
                                          base::TimePoint now)
{
    const base::UnixMilliseconds startedAt = view.row.instance.startedAt;
    if (startedAt == row.instance.startedAt)
        return;
    // An incarnation whose start was unknown may be the same one.
    if (startedAt != 0)
        recordReplaced (view, now);
    view = View{};
}

void InstanceDirectory::addToIndex (View& view)
{
    const cell::ServiceInstance& instance = view.row.instance;
    m_softwareVersions.add (instance.service, view.row.softwareVersion);
    std::map<std::string, Views>& models = m_index[instance.service];
    models[{}][instance.id] = &view;
    for (const cell::HeldModel& model : instance.models)
        models[model.model][instance.id] = &view;
}

void InstanceDirectory::dropFromIndex (const View& view, base::TimePoint now)
{
    const cell::ServiceInstance& instance = view.row.instance;
    m_softwareVersions.remove (instance.service, view.row.softwareVersion, now);
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

void InstanceDirectory::put (const cell::RoutableInstance& row, base::TimePoint now)
{
    View& view = m_views[row.instance.id];
    dropFromIndex (view, now);
    resetIfRestarted (view, row, now);
    // A new leader sends the row of a runner without models until the runner has reported to it.
    // The models of the previous row stay in effect until then.
    std::vector<cell::HeldModel> known = std::move (view.row.instance.models);
    std::string knownVersion = std::move (view.row.softwareVersion);
    view.row = row;
    if (row.softwareVersion.empty())
        view.row.softwareVersion = std::move (knownVersion);
    view.address =
        base::SocketAddress::tryParse (row.instance.address).value_or (base::SocketAddress());
    if (! row.instance.isReported)
    {
        view.row.instance.models = std::move (known);
        addToIndex (view);
        return;
    }
    addToIndex (view);
    // After a runner has answered that it does not hold a model, a changed row overrides that
    // answer only if it lists the model and the previous row did not.
    std::erase_if (
        view.notHeldUntil, [&] (const auto& entry)
        { return isListed (row.instance.models, entry.first) && ! isListed (known, entry.first); });
}

void InstanceDirectory::onBytes (const std::string& id, base::TimePoint now)
{
    const auto found = m_views.find (id);
    if (found != m_views.end())
        found->second.lastBytesAt = now;
}

void InstanceDirectory::onAttemptBegin (const std::string& id, std::uint64_t promptTokens,
                                        base::TimePoint now)
{
    const auto found = m_views.find (id);
    if (found == m_views.end())
        return;
    m_availability.onAttemptBegin (found->second.row.incarnation(), now);
    if (found->second.own.inFlight == 0)
        found->second.lastBytesAt = now;
    ++found->second.own.inFlight;
    found->second.own.pendingPrefillTokens += promptTokens;
}

void InstanceDirectory::onAnswerBegun (const std::string& id, std::uint64_t promptTokens)
{
    const auto found = m_views.find (id);
    if (found == m_views.end())
        return;
    std::uint64_t& pendingTokens = found->second.own.pendingPrefillTokens;
    pendingTokens -= std::min (pendingTokens, promptTokens);
}

base::TimePoint InstanceDirectory::lastBytesAt (const std::string& id) const
{
    const auto found = m_views.find (id);
    return found == m_views.end() ? base::TimePoint() : found->second.lastBytesAt;
}

void InstanceDirectory::onPaused (const std::string& id)
{
    const auto found = m_views.find (id);
    if (found != m_views.end())
        ++found->second.paused;
}

void InstanceDirectory::onResumed (const std::string& id, base::TimePoint now)
{
    const auto found = m_views.find (id);
    if (found == m_views.end())
        return;
    View& view = found->second;
    view.paused -= std::min (view.paused, 1U);
    view.lastBytesAt = now;
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
    // The backoff takes the place of the marks of a failure.
    if (end == AttemptEnd::kRefused && isBackingOff (id, now))
        return;
    lapseFailures (view, now);
    const bool isFailure = end != AttemptEnd::kAnswered;
    view.failureShare += kFailureWeight * ((isFailure ? 1.0 : 0.0) - view.failureShare);
    view.consecutiveFailures = isFailure ? view.consecutiveFailures + 1 : 0;
    if (end == AttemptEnd::kUnreachable)
    {
        recordUnreachable (view, now);
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
            std::min<base::Duration> (kFirstAvoidance * (1U << doublings), kMaxAvoidance);
        view.avoidedUntil = std::max (view.avoidedUntil, now + pause);
    }
}

double InstanceDirectory::failureShareOf (const View& view, base::TimePoint now)
{
    const std::chrono::duration<double> age = now - view.attemptEndedAt;
    const std::chrono::duration<double> halfLife = kFailureHalfLife;
    return view.failureShare * std::exp2 (-age / halfLife);
}

void InstanceDirectory::lapseFailures (View& view, base::TimePoint now)
{
    view.failureShare = failureShareOf (view, now);
    if (now - view.attemptEndedAt > kFailureMemory)
    {
        view.consecutiveFailures = 0;
        view.unreachableCount = 0;
    }
    view.attemptEndedAt = now;
}

void InstanceDirectory::recordUnreachable (View& view, base::TimePoint now)
{
    view.unreachableUntil = now + kUnreachableAvoidance;
    // One failure may be due to a single lost packet and is not reported.
    if (++view.unreachableCount == kUnreachableBeforeReport)
    {
        m_unreachable.push_back (view.row.instance.id);
    }
}

std::vector<std::string> InstanceDirectory::instances() const
{
    std::vector<std::string> ids;
    for (const auto& [id, view] : m_views)
        ids.push_back (id);
    return ids;
}

base::SocketAddress InstanceDirectory::addressOf (const std::string& id) const
{
    const auto found = m_views.find (id);
    return found == m_views.end() ? base::SocketAddress() : found->second.address;
}

void InstanceDirectory::onProbed (const std::string& id, bool isReachable, base::TimePoint now)
{
    const auto found = m_views.find (id);
    if (found == m_views.end())
        return;
    if (! isReachable)
    {
        recordUnreachable (found->second, now);
        return;
    }
    found->second.unreachableUntil = {};
    found->second.unreachableCount = 0;
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
        // A runner that is slower than others also states its permanent slowdown, which `speed`
        // already covers.
        const double share = shareOf (*load.slowdownPercent) * view.speed;
        setSlowdown (view, static_cast<std::uint32_t> (std::lround (share * cell::kNominalPercent)),
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
    view.notHeldUntil[model + "/" + adapter] = now + kNotHeldLifetime;
    if (model.empty())
        recordUnreachable (view, now);  // Another instance answers at that address.
}

}  // namespace fernlift::proxy
