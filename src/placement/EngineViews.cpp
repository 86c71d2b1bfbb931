/**
 * Queries of EnginePlacement on its state: demand and holders of models, used memory and slots,
 * limits of the weight store, and the views of a round that are derived from these.
 */

#include <algorithm>
#include <utility>

#include "placement/EnginePlacement.h"
#include "placement/EnginePlacementFigures.h"

namespace fernlift::placement
{

void EnginePlacement::setDemand (TargetDemand& target, std::uint64_t router,
                                 const cell::EngineDemand& demand)
{
    if (const auto earlier = target.byRouter.find (router); earlier != target.byRouter.end())
    {
        target.waiting -= earlier->second.waiting;
        target.running -= earlier->second.running;
        target.unread -= earlier->second.unread;
        target.byRouter.erase (earlier);
    }
    if (demand.waiting == 0 && demand.running == 0)
        return;
    target.waiting += demand.waiting;
    target.running += demand.running;
    target.unread += demand.unread;
    target.byRouter.emplace (router, demand);
}

void EnginePlacement::updateModelViews (base::TimePoint now)
{
    ++m_round;
    for (auto& [key, view] : m_models)
        view = ModelView (*view.locations);
    countDemands (now);
    countPendingLoads();
    countRateLimited();
    measureCongestion();
    measureStreamDurations();
    m_hasStoreSlot = hasStoreSlot();
}

void EnginePlacement::countDemands (base::TimePoint now)
{
    for (const auto& [key, target] : m_demands)
    {
        ModelDemand& total = viewFor (key.service, key.model).demand;
        total.waiting += target.waiting;
        total.running += target.running;
        total.unread += target.unread;
        total.requestedAt = std::max (total.requestedAt, target.requestedAt);
        total.perSecond += target.arrivals.perSecond (kRateWindow, now);
        total.tokensPerSecond += target.promptTokens.perSecond (kRateWindow, now);
        if (target.waiting == 0)
            continue;
        const bool isFirst = total.waitingSince == base::TimePoint{};
        total.waitingSince =
            isFirst ? target.waitingSince : std::min (total.waitingSince, target.waitingSince);
    }
}

void EnginePlacement::countPendingLoads()
{
    for (const std::string& id : m_withOrders)
    {
        const Engine& engine = m_engines.at (id);
        if (! engine.isUsable)
            continue;
        std::set<std::string> pendingLoads;
        if (! engine.reservedFor.empty())
            pendingLoads.insert (engine.reservedFor);
        for (const auto* pending : { &engine.unanswered, &engine.modelOrder, &engine.unconfirmed })
        {
            if (*pending && (*pending)->order.isLoad && (*pending)->order.adapter.empty())
                pendingLoads.insert ((*pending)->order.model);
        }
        for (const std::string& model : pendingLoads)
        {
            if (! engine.models.contains (model))
                ++viewFor (engine.service, model).pendingLoads;
        }
    }
}

void EnginePlacement::countRateLimited()
{
    for (const std::string& id : m_rateLimited)
    {
        const auto found = m_engines.find (id);
        if (found == m_engines.end())
            continue;
        const IndexedModels& heldModels = found->second.indexed;
        for (const std::string& model : heldModels.models)
            ++viewFor (heldModels.service, model).rateLimitedHolders;
    }
}

void EnginePlacement::updateLoadCosts (Engine& engine, base::TimePoint now)
{
    const EngineSpecIndex* spec = specOf (engine);
    if (spec == nullptr || engine.loadCostsRound == m_round)
        return;
    engine.loadCostsRound = m_round;
    engine.freeMemory = spec->modelMemory() - usedMemory (engine, *spec);
    engine.adapterDelayCost = adapterDelayCost (engine, *spec, now);
    engine.blockedCopyCost = blockedCopyCost (engine, now);
}

ModelView& EnginePlacement::viewFor (const std::string& service, const std::string& model)
{
    const ServiceModelOrder::Names names{ service, model };
    const auto found = m_models.lower_bound (names);
    if (found != m_models.end() && ! ServiceModelOrder() (names, found->first))
        return found->second;
    const ModelView view (m_index.locationsOf (service, model));
    return m_models.emplace_hint (found, ServiceModel (service, model), view)->second;
}

const ModelView& EnginePlacement::viewOf (std::string_view service, std::string_view model) const
{
    static const EngineIndex::ModelLocations kNoLocations;
    static const ModelView kNoView (kNoLocations);
    const auto found = m_models.find (ServiceModelOrder::Names (service, model));
    return found == m_models.end() ? kNoView : found->second;
}

EnginePlacementStatus EnginePlacement::status() const
{
    EnginePlacementStatus status;
    status.engines = m_engines.size();
    status.unknownEngines = m_unknownSequence.size();
    status.enginesWithOrders = m_withOrders.size();
    status.waitingAdapters = m_waitingAdapters.size();
    status.adapterOrders = m_adapterOrders;
    status.adapterWait = m_adapterWait;
    return status;
}

std::size_t EnginePlacement::storeLoads() const
{
    const auto usesStore = [this] (const std::string& id)
    {
        const Engine& engine = m_engines.at (id);
        const auto loads = [] (const std::optional<PendingOrder>& pending)
        { return pending && pending->isFromStore; };
        const bool isPlanned =
            ! engine.reservedFor.empty() && ! isLocal (engine, engine.reservedFor);
        return isPlanned || loads (engine.unanswered) || loads (engine.modelOrder)
               || loads (engine.unconfirmed);
    };
    return static_cast<std::size_t> (std::ranges::count_if (m_withOrders, usesStore));
}

bool EnginePlacement::hasStoreSlot (std::size_t spare) const
{
    const auto most =
        static_cast<std::size_t> (kStoreLoadShare * static_cast<double> (m_engines.size()));
    return storeLoads() + spare < std::min (std::max<std::size_t> (most, 1), m_store.limit());
}

const EngineSpecIndex* EnginePlacement::specOf (const Engine& engine) const
{
    const auto found = m_specs.find (engine.service);
    return found == m_specs.end() ? nullptr : &found->second;
}

double EnginePlacement::usedMemory (const Engine& engine, const EngineSpecIndex& spec)
{
    double used = 0;
    const auto count = [&] (const std::string& name)
    {
        const config::EngineModel* model = spec.findModel (name);
        if (model != nullptr)
            used += model->memoryMb;
    };
    for (const auto& [name, state] : engine.models)
        count (name);
    std::set<std::string_view> counted;
    for (const auto* pending : { &engine.unanswered, &engine.modelOrder, &engine.unconfirmed })
    {
        if (! *pending || ! (*pending)->order.isLoad)
            continue;
        const std::string& name = (*pending)->order.model;
        if (! engine.models.contains (name) && counted.insert (name).second)
            count (name);
    }
    return used;
}

bool EnginePlacement::isFree (const Engine& engine) const
{
    return engine.isUsable && m_now >= engine.ordersFrom && ! engine.unanswered
           && ! engine.modelOrder;
}

bool EnginePlacement::mayTakeOrder (const Engine& engine) const
{
    return isFree (engine) && engine.sequence;
}

bool EnginePlacement::mayBePolled (const Engine& engine) const
{
    return isFree (engine) && ! engine.sequence && ! engine.isPolled && m_now >= engine.pollAt;
}

bool EnginePlacement::isReportDue (const Engine& engine) const
{
    return isFree (engine) && ! engine.sequence && engine.isPolled
           && m_now - engine.polledAt < kReportTimeout;
}

bool EnginePlacement::isLocal (const Engine& engine, const std::string& model)
{
    return engine.inMemory.contains (model) || engine.onDisk.contains (model);
}

bool EnginePlacement::mayLoadFromStore (const std::string& service, base::TimePoint now)
{
    while (! m_storeLoads.empty() && now - m_storeLoads.front() >= m_options.storeWindow)
    {
        m_storeLoads.pop_front();
    }
    const auto found = m_specs.find (service);
    const double seconds = std::chrono::duration<double> (m_options.storeWindow).count();
    const double allowed =
        m_options.storeRateFactor * found->second.spec().loadsPerSecond * seconds;
    return static_cast<double> (m_storeLoads.size()) + 1 <= allowed;
}

bool EnginePlacement::isKnownCurrent (const std::string& instance,
                                      const std::vector<cell::HeldModel>& shown) const
{
    const auto found = m_engines.find (instance);
    if (found == m_engines.end() || ! found->second.hasReported)
        return true;
    const Engine& engine = found->second;
    const bool isPlain = engine.adaptersDue.empty() && engine.withdrawn.empty()
                         && ! engine.modelOrder && ! engine.unanswered;
    const auto isSame = [] (const auto& held, const cell::HeldModel& model)
    {
        const auto& [name, state] = held;
        return name == model.model && state.version == model.version
               && std::ranges::equal (state.adapters, model.adapters);
    };
    return isPlain && std::ranges::equal (engine.models, shown, isSame);
}

std::optional<std::vector<cell::HeldModel>> EnginePlacement::routableModels (
    const std::string& instance, base::TimePoint now) const
{
    const auto found = m_engines.find (instance);
    if (found == m_engines.end() || ! found->second.hasReported)
        return std::nullopt;
    const Engine& engine = found->second;
    std::vector<cell::HeldModel> models;
    for (const auto& [name, state] : engine.models)
    {
        if (! isRoutable (engine, name))
            continue;
        std::set<std::string> adapters = state.adapters;
        for (const auto& [key, due] : engine.adaptersDue)
        {
            const std::size_t slash = key.find ('/');
            if (key.substr (0, slash) == name && now >= due)
                adapters.insert (key.substr (slash + 1));
        }
        models.push_back ({ name, state.version, { adapters.begin(), adapters.end() } });
    }
    return models;
}

}  // namespace fernlift::placement
