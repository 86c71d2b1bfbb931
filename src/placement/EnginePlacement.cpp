#include "placement/EnginePlacement.h"

#include <algorithm>
#include <utility>

#include "placement/EnginePlacementFigures.h"

namespace fernlift::placement
{
namespace
{

using engine::OrderOutcome;
using engine::ServiceOrder;

}  // namespace

EnginePlacement::EnginePlacement (EnginePlacementOptions options)
    : m_options (std::move (options)), m_storeLoads (m_options.earlierStoreLoads)
{
}

void EnginePlacement::setServices (std::uint64_t version,
                                   const std::vector<config::Service>& services)
{
    if (version == m_servicesVersion)
        return;
    m_servicesVersion = version;
    m_catalogue.services = services;
    m_specs.clear();
    for (const config::Service& service : m_catalogue.services)
    {
        if (service.engine)
            m_specs.emplace (service.name, EngineSpecIndex (*service.engine));
    }
}

void EnginePlacement::refresh (const std::map<std::string, cell::RoutableInstance>& rows,
                               base::TimePoint now)
{
    for (const auto& [id, row] : rows)
    {
        if (! m_specs.contains (row.instance.service))
            continue;
        Engine& engine = m_engines[id];
        const bool isNew = engine.id.empty();
        if (isNew)
        {
            engine.id = id;
            engine.pollAt = now;
            engine.ordersFrom = m_options.ordersFrom (id);
        }
        forgetEarlier (engine, row, now);
        engine.id = id;
        if (isNew)
            takeFirstHoldings (engine, row.instance, now);
        engine.address = row.instance.address;
        engine.service = row.instance.service;
        engine.isUsable = ! row.instance.isDraining && ! row.isSilent;
    }
    std::erase_if (m_engines,
                   [&] (const auto& item)
                   {
                       const bool isGone = ! rows.contains (item.first);
                       if (isGone)
                           m_store.onGivenUp (item.first);
                       return isGone;
                   });
    std::erase_if (m_earlyHoldings,
                   [&] (const auto& item) { return now - item.second.toldAt > kHoldingsAge; });
}

void EnginePlacement::takeFirstHoldings (Engine& engine, const cell::ServiceInstance& instance,
                                         base::TimePoint now)
{
    if (const auto early = m_earlyHoldings.extract (engine.id))
    {
        takeHoldings (engine, early.mapped().holdings, now);
        return;
    }
    if (! instance.isReported)
        return;
    EngineHoldings agreed;
    agreed.models = instance.models;
    take (engine, agreed, now);
    engine.hasTold = false;  // Its copies are not known.
}

void EnginePlacement::forgetEarlier (Engine& engine, const cell::RoutableInstance& row,
                                     base::TimePoint now)
{
    const base::UnixMilliseconds startedAt = row.instance.startedAt;
    if (engine.startedAt != 0 && engine.startedAt != startedAt)
    {
        m_store.onGivenUp (engine.id);
        // Orders to the earlier one that are on their way still could reach this one.
        const base::TimePoint ordersFrom = engine.ordersFrom;
        engine = Engine{};
        engine.ordersFrom = ordersFrom;
        engine.pollAt = now;
    }
    engine.startedAt = startedAt;
}

void EnginePlacement::take (Engine& engine, const EngineHoldings& holdings, base::TimePoint now)
{
    engine.hasTold = true;
    std::map<std::string, HeldState> held;
    for (const cell::HeldModel& model : holdings.models)
    {
        HeldState& state = held[model.model];
        state.version = model.version;
        state.adapters.insert (model.adapters.begin(), model.adapters.end());
        state.confirmedAt = now;
    }
    // What was told was seen a while ago: what is newer than that stays.
    for (const auto& [name, state] : engine.models)
    {
        const bool isFresh = now - state.confirmedAt < kHoldingsAge && ! isUnloading (engine, name);
        if (isFresh)
            held.try_emplace (name, state);
    }
    std::erase_if (engine.adaptersDue,
                   [&] (const auto& item) { return now - item.second > kHoldingsAge; });
    engine.models = std::move (held);
    if (! engine.modelOrder)
        return;
    const ServiceOrder& order = engine.modelOrder->order;
    const bool isHeld = engine.models.contains (order.model);
    if (isHeld == order.isLoad)
        endModelOrder (engine, isHeld, now);
}

void EnginePlacement::beginModelOrder (Engine& engine, PendingOrder pending, base::TimePoint now)
{
    pending.sentAt = now;
    if (pending.isFromStore)
        m_store.onBegin (engine.id, now);
    engine.modelOrder = std::move (pending);
}

void EnginePlacement::endModelOrder (Engine& engine, bool isHeld, base::TimePoint now)
{
    const PendingOrder pending = std::move (*engine.modelOrder);
    engine.modelOrder.reset();
    const EngineSpecIndex* spec = specOf (engine);
    const config::EngineModel* model =
        spec == nullptr ? nullptr : spec->findModel (pending.order.model);
    const std::size_t atOnce = m_store.underWay();
    if (pending.isFromStore && isHeld && model != nullptr)
        m_store.onEnd (engine.id, model->loadTime, now);
    else
        m_store.onGivenUp (engine.id);
    if (isHeld == pending.order.isLoad)
    {
        m_done.push_back (
            { pending.order, pending.isFromStore, now - pending.sentAt, atOnce, m_store.limit() });
    }
}

bool EnginePlacement::isUnloading (const Engine& engine, const std::string& model)
{
    const auto unloads = [&] (const std::optional<PendingOrder>& pending)
    { return pending && ! pending->order.isLoad && pending->order.model == model; };
    return unloads (engine.modelOrder) || unloads (engine.unanswered);
}

void EnginePlacement::onHeartbeat (const std::string& instance, const EngineHoldings& holdings,
                                   base::TimePoint now)
{
    const auto found = m_engines.find (instance);
    if (found == m_engines.end())
    {
        m_earlyHoldings[instance] = { holdings, now };
        return;
    }
    takeHoldings (found->second, holdings, now);
}

void EnginePlacement::takeHoldings (Engine& engine, const EngineHoldings& holdings,
                                    base::TimePoint now)
{
    engine.inMemory = holdings.inMemory;
    engine.onDisk = holdings.onDisk;
    take (engine, holdings, now);
}

void EnginePlacement::onDemand (std::uint64_t router,
                                const std::vector<cell::EngineDemand>& demands, base::TimePoint now)
{
    for (const cell::EngineDemand& demand : demands)
    {
        TargetDemand& target = m_demands[{ demand.service, demand.model, demand.adapter }];
        target.arrivals.add (demand.arrivals, kRateMemory, now);
        target.promptTokens.add (static_cast<double> (demand.promptTokens), kRateMemory, now);
        if (demand.arrivals > 0 || demand.waiting > 0 || demand.running > 0)
            target.askedAt = now;
        const bool wasWaiting = target.waiting > 0;
        setDemand (target, router, demand);
        if (target.waiting > 0 && ! wasWaiting)
            target.waitingSince = now;
    }
}

void EnginePlacement::onRouterGone (std::uint64_t router)
{
    for (auto& [key, target] : m_demands)
        setDemand (target, router, {});
}

void EnginePlacement::onOrderAnswer (const ServiceOrder& order, OrderOutcome outcome,
                                     base::TimePoint now)
{
    const auto found = m_engines.find (order.instance);
    if (found == m_engines.end())
        return;
    Engine& engine = found->second;
    const bool isExpected = engine.unanswered && engine.unanswered->order == order;
    if (! isExpected)
        return;
    PendingOrder pending = std::move (*engine.unanswered);
    engine.unanswered.reset();
    switch (outcome)
    {
        case OrderOutcome::kUnderWay:
            engine.sequence = order.expectedSequence.value_or (0) + 1;
            noteUnderWay (engine, std::move (pending), now);
            return;
        case OrderOutcome::kAlreadyHolds:
            noteDone (engine, order, now);
            return;
        case OrderOutcome::kOtherInstance:
            engine.isUsable = false;
            return;
        case OrderOutcome::kInvalid:
            engine.reservedFor.clear();
            engine.withdrawn.clear();
            return;
        case OrderOutcome::kUnknown:
        case OrderOutcome::kBusy:
        case OrderOutcome::kFenced:
            engine.sequence.reset();
            engine.doubtful = std::move (pending);
            engine.pollAt = now + kReportAge;
            return;
    }
}

void EnginePlacement::noteUnderWay (Engine& engine, PendingOrder pending, base::TimePoint now)
{
    const ServiceOrder& order = pending.order;
    if (order.adapter.empty())
    {
        beginModelOrder (engine, std::move (pending), now);
        return;
    }
    if (order.isLoad)
    {
        engine.adaptersDue[adapterKey (order.model, order.adapter)] = now + kAdapterLoadTime;
    }
    else
    {
        noteDone (engine, order, now);
    }
}

void EnginePlacement::noteDone (Engine& engine, const ServiceOrder& order, base::TimePoint now)
{
    // Where this guess about the sequence is wrong, the next order is refused and a report asked
    // for.
    const bool wasCounted = ! order.isLoad;
    engine.sequence = order.expectedSequence.value_or (0) + (wasCounted ? 1 : 0);
    if (order.adapter.empty())
    {
        if (order.isLoad)
        {
            engine.models[order.model].confirmedAt = now;
        }
        else
        {
            engine.models.erase (order.model);
        }
        return;
    }
    const std::string key = adapterKey (order.model, order.adapter);
    if (order.isLoad)
    {
        engine.adaptersDue[key] = now;
        return;
    }
    engine.adaptersDue.erase (key);
    const auto model = engine.models.find (order.model);
    if (model != engine.models.end())
        model->second.adapters.erase (order.adapter);
}

void EnginePlacement::onReport (const std::string& instance, const engine::ServiceReport& report,
                                base::TimePoint now)
{
    const auto found = m_engines.find (instance);
    if (found == m_engines.end())
        return;
    Engine& engine = found->second;
    engine.isPolled = false;
    const bool isOfOther =
        report.startedAt != 0 && engine.startedAt != 0 && report.startedAt != engine.startedAt;
    if (isOfOther)
    {
        engine.pollAt = now + kPollPause;
        return;
    }
    if (engine.unanswered)
        return;  // An order went out meanwhile.
    engine.sequence = report.sequence;
    EngineHoldings holdings;
    for (const engine::ReportedModel& model : report.models)
    {
        holdings.models.push_back ({ model.name, model.version, model.adapters });
    }
    const bool wasTaken =
        engine.doubtful && report.sequence > engine.doubtful->order.expectedSequence.value_or (0);
    if (wasTaken && report.isBusy && engine.doubtful->order.adapter.empty())
    {
        beginModelOrder (engine, std::move (*engine.doubtful), now);
    }
    engine.doubtful.reset();
    take (engine, holdings, now);
    const bool isSettled =
        engine.modelOrder && ! report.isBusy && now - engine.modelOrder->sentAt > kReportAge;
    if (isSettled)
        endModelOrder (engine, engine.models.contains (engine.modelOrder->order.model), now);
    if (report.isBusy && ! engine.modelOrder)
    {
        engine.sequence.reset();  // Somebody else's order: look again.
        engine.pollAt = now + kReportAge;
    }
}

void EnginePlacement::onReportFailed (const std::string& instance, base::TimePoint now)
{
    const auto found = m_engines.find (instance);
    if (found == m_engines.end())
        return;
    found->second.isPolled = false;
    found->second.pollAt = now + kPollPause;
}

std::vector<EngineCommand> EnginePlacement::decide (base::TimePoint now)
{
    std::vector<EngineCommand> commands;
    endPauses (now);
    pollWhereNeeded (commands, now);
    expireOrders (now);
    continuePlans (commands, now);
    lookAtModels (now);
    planModels (commands, now);
    planAdapters (commands, now);
    fillFreeMemory (commands, now);
    fetchAhead (commands, now);
    return commands;
}

void EnginePlacement::pollWhereNeeded (std::vector<EngineCommand>& commands, base::TimePoint now)
{
    std::size_t polled = static_cast<std::size_t> (
        std::ranges::count_if (m_engines, [] (const auto& item) { return item.second.isPolled; }));
    for (auto& [id, engine] : m_engines)
    {
        if (polled >= kMostPolls)
            return;
        const bool isLate =
            engine.modelOrder && now - engine.modelOrder->sentAt > kLatestModelOrder;
        const bool isNeeded =
            engine.isUsable && (! engine.sequence || isLate) && ! engine.unanswered;
        if (! isNeeded || engine.isPolled || now < engine.pollAt)
            continue;
        engine.isPolled = true;
        ++polled;
        engine.pollAt = now + kPollPause;
        commands.emplace_back (PollEngine{ id, engine.address });
    }
}

void EnginePlacement::endPauses (base::TimePoint now)
{
    for (auto& [id, engine] : m_engines)
        engine.isPaused = now < engine.ordersFrom;
}

void EnginePlacement::expireOrders (base::TimePoint now)
{
    for (auto& [id, engine] : m_engines)
    {
        if (! engine.unanswered || now - engine.unanswered->sentAt < kOrderTimeout)
            continue;
        engine.doubtful = std::move (engine.unanswered);
        engine.unanswered.reset();
        engine.sequence.reset();
        engine.pollAt = now + kReportAge;
    }
}

void EnginePlacement::continuePlans (std::vector<EngineCommand>& commands, base::TimePoint now)
{
    for (auto& [id, engine] : m_engines)
    {
        if (engine.reservedFor.empty())
            continue;
        const EngineSpecIndex* spec = specOf (engine);
        const config::EngineModel* model =
            spec == nullptr ? nullptr : spec->findModel (engine.reservedFor);
        if (! engine.isUsable || model == nullptr)
        {
            dropPlan (engine);
            continue;
        }
        if (! mayTakeOrder (engine))
            continue;
        continuePlan (engine, *spec, *model, commands, now);
    }
}

void EnginePlacement::continuePlan (Engine& engine, const EngineSpecIndex& spec,
                                    const config::EngineModel& model,
                                    std::vector<EngineCommand>& commands, base::TimePoint now)
{
    for (const std::string& victim : engine.withdrawn)
    {
        if (! engine.models.contains (victim))
            continue;
        // Routers hear that the model goes before it does.
        if (now - engine.withdrawnAt >= kWithdrawalTime)
        {
            send (engine, { false, victim, "", "makes way for " + model.name }, commands, now);
        }
        return;
    }
    const bool fits = usedMemory (engine, spec) + model.memoryMb <= spec.modelMemory();
    if (! fits || engine.models.contains (model.name))
    {
        dropPlan (engine);
        return;
    }
    const bool isFromStore = ! isLocal (engine, model.name);
    if (isFromStore && ! mayLoadFromStore (engine.service, now))
        return;
    if (isFromStore)
        m_storeLoads.push_back (now);
    send (engine, { true, model.name, "", "requests want it" }, commands, now);
    dropPlan (engine);
}

void EnginePlacement::dropPlan (Engine& engine)
{
    engine.reservedFor.clear();
    engine.withdrawn.clear();
}

void EnginePlacement::send (Engine& engine, const Intention& intention,
                            std::vector<EngineCommand>& commands, base::TimePoint now)
{
    ServiceOrder order;
    order.isLoad = intention.isLoad;
    order.instance = engine.id;
    order.model = intention.model;
    order.adapter = intention.adapter;
    order.holder = m_options.holder;
    order.fence = m_options.fence;
    order.expectedSequence = engine.sequence;
    order.startedAt = engine.startedAt;
    const bool isFromStore =
        order.isLoad && order.adapter.empty() && ! isLocal (engine, intention.model);
    engine.unanswered = PendingOrder{ order, now, isFromStore };
    commands.emplace_back (
        SendEngineOrder{ engine.address, std::move (order), isFromStore, intention.reason });
}

}  // namespace fernlift::placement
