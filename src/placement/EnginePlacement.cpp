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
        refreshRow (id, &row, now);
    std::vector<std::string> gone;
    for (const auto& [id, engine] : m_engines)
    {
        if (! rows.contains (id))
            gone.push_back (id);
    }
    for (const std::string& id : gone)
        refreshRow (id, nullptr, now);
    std::erase_if (m_earlyHeldModels, [&] (const auto& item)
                   { return now - item.second.receivedAt > kOrderEffectLifetime; });
}

void EnginePlacement::refreshRow (const std::string& instance, const cell::RoutableInstance* row,
                                  base::TimePoint now)
{
    if (row == nullptr)
    {
        const auto found = m_engines.find (instance);
        if (found == m_engines.end())
            return;
        m_store.onAbandoned (instance);
        removeFromIndexes (found->second);
        m_engines.erase (found);
        return;
    }
    if (! m_specs.contains (row->instance.service))
        return;
    Engine& engine = m_engines[instance];
    const bool isNew = engine.id.empty();
    if (isNew)
    {
        engine.id = instance;
        engine.pollAt = now;
        engine.ordersFrom = m_options.ordersFrom (instance);
    }
    const bool isLaterIncarnation = resetForNewIncarnation (engine, *row, now);
    if (isNew || isLaterIncarnation)
        applyInitialState (engine, row->instance, now);
    const bool isUsable = ! row->instance.isDraining && ! row->isSilent;
    const bool isSame = ! isNew && engine.isUsable == isUsable
                        && engine.address == row->instance.address
                        && engine.service == row->instance.service;
    if (isSame)
        return;
    engine.address = row->instance.address;
    engine.service = row->instance.service;
    engine.isUsable = isUsable;
    updateDerivedState (engine);
}

void EnginePlacement::applyInitialState (Engine& engine, const cell::ServiceInstance& instance,
                                         base::TimePoint now)
{
    if (const auto early = m_earlyHeldModels.extract (engine.id))
    {
        applyHeartbeat (engine, early.mapped().heldModels, now);
        return;
    }
    if (! instance.isReported)
        return;
    EngineHeldModels agreed;
    agreed.models = instance.models;
    applyHeldModels (engine, agreed, now);
    engine.hasReported = false;  // The local copies are not known.
}

void EnginePlacement::removeFromIndexes (Engine& engine)
{
    endPoll (engine);
    m_index.remove (engine);
    m_withOrders.erase (engine.id);
    m_unknownSequence.erase (engine.id);
    m_unreported.erase (engine.id);
    m_changed.erase (engine.id);
}

bool EnginePlacement::resetForNewIncarnation (Engine& engine, const cell::RoutableInstance& row,
                                              base::TimePoint now)
{
    const base::UnixMilliseconds startedAt = row.instance.startedAt;
    const bool isLaterIncarnation = engine.startedAt != 0 && engine.startedAt != startedAt;
    if (isLaterIncarnation)
    {
        m_store.onAbandoned (engine.id);
        removeFromIndexes (engine);
        // Orders in transit to the earlier incarnation may still arrive at this one.
        const base::TimePoint ordersFrom = engine.ordersFrom;
        std::string id = std::move (engine.id);
        engine = Engine{};
        engine.id = std::move (id);
        engine.ordersFrom = ordersFrom;
        engine.pollAt = now;
    }
    engine.startedAt = startedAt;
    return isLaterIncarnation;
}

void EnginePlacement::updateDerivedState (Engine& engine)
{
    if (m_index.update (engine))
    {
        // Models of which the engine only has copies need a view as well.
        for (const std::string& model : engine.indexed.copies)
            viewFor (engine.service, model);
    }
    for (auto& [model, state] : engine.models)
    {
        if (state.view == nullptr)
            state.view = &viewFor (engine.service, model);
    }
    const auto note = [&] (std::set<std::string>& engines, bool isMember)
    {
        if (isMember)
            engines.insert (engine.id);
        else
            engines.erase (engine.id);
    };
    note (m_withOrders, engine.unanswered || engine.modelOrder || engine.unconfirmed
                            || ! engine.reservedFor.empty());
    note (m_unknownSequence, engine.isUsable && ! engine.sequence);
    note (m_unreported, engine.isUsable && ! engine.hasReported);
    m_changed.insert (engine.id);
}

bool EnginePlacement::hasChangedEngines (base::TimePoint now) const
{
    return ! m_changed.empty()
           || (! m_adaptersDueAt.empty() && m_adaptersDueAt.begin()->first <= now);
}

std::set<std::string> EnginePlacement::takeChangedEngines (base::TimePoint now)
{
    std::set<std::string> engines = std::exchange (m_changed, {});
    while (! m_adaptersDueAt.empty() && m_adaptersDueAt.begin()->first <= now)
        engines.insert (m_adaptersDueAt.extract (m_adaptersDueAt.begin()).value().second);
    return engines;
}

void EnginePlacement::applyHeldModels (Engine& engine, const EngineHeldModels& heldModels,
                                       base::TimePoint now)
{
    engine.hasReported = true;
    std::map<std::string, HeldState> held;
    for (const cell::HeldModel& model : heldModels.models)
    {
        HeldState& state = held[model.model];
        state.version = model.version;
        state.adapters.insert (model.adapters.begin(), model.adapters.end());
        state.confirmedAt = now;
    }
    // Heartbeats and reports are delayed, so models confirmed more recently are kept.
    for (const auto& [name, state] : engine.models)
    {
        const bool isFresh =
            now - state.confirmedAt < kOrderEffectLifetime && ! isUnloading (engine, name);
        if (isFresh)
            held.try_emplace (name, state);
    }
    std::erase_if (engine.adaptersDue,
                   [&] (const auto& item) { return now - item.second > kOrderEffectLifetime; });
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
    const std::size_t concurrent = m_store.underWay();
    if (pending.isFromStore && isHeld && model != nullptr)
        m_store.onEnd (engine.id, model->loadTime, now);
    else
        m_store.onAbandoned (engine.id);
    if (isHeld == pending.order.isLoad)
    {
        m_done.push_back ({ pending.order, pending.isFromStore, now - pending.sentAt, concurrent,
                            m_store.limit() });
    }
}

void EnginePlacement::onHeartbeat (const std::string& instance, const EngineHeldModels& heldModels,
                                   base::TimePoint now)
{
    const auto found = m_engines.find (instance);
    if (found == m_engines.end())
    {
        m_earlyHeldModels[instance] = { heldModels, now };
        return;
    }
    applyHeartbeat (found->second, heldModels, now);
    updateDerivedState (found->second);
}

void EnginePlacement::applyHeartbeat (Engine& engine, const EngineHeldModels& heldModels,
                                      base::TimePoint now)
{
    engine.inMemory = heldModels.inMemory;
    engine.onDisk = heldModels.onDisk;
    applyHeldModels (engine, heldModels, now);
}

void EnginePlacement::onDemand (std::uint64_t router,
                                const std::vector<cell::EngineDemand>& demands, base::TimePoint now)
{
    for (const cell::EngineDemand& demand : demands)
    {
        const TargetKey key{ demand.service, demand.model, demand.adapter };
        TargetDemand& target = m_demands[key];
        target.arrivals.add (demand.arrivals, kRateWindow, now);
        target.promptTokens.add (static_cast<double> (demand.promptTokens), kRateWindow, now);
        if (demand.arrivals > 0 || demand.waiting > 0 || demand.running > 0)
            target.requestedAt = now;
        const bool wasWaiting = target.waiting > 0;
        setDemand (target, router, demand);
        if (target.waiting > 0 && ! wasWaiting)
            target.waitingSince = now;
        updateWaitingAdapters (key, target);
    }
}

void EnginePlacement::updateWaitingAdapters (const TargetKey& key, const TargetDemand& target)
{
    if (! key.adapter.empty() && target.waiting > 0)
        m_waitingAdapters.insert (key);
    else
        m_waitingAdapters.erase (key);
}

void EnginePlacement::onRouterDisconnected (std::uint64_t router)
{
    for (auto& [key, target] : m_demands)
    {
        setDemand (target, router, {});
        updateWaitingAdapters (key, target);
    }
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
    applyAnswer (engine, order, outcome, now);
    updateDerivedState (engine);
}

void EnginePlacement::applyAnswer (Engine& engine, const ServiceOrder& order, OrderOutcome outcome,
                                   base::TimePoint now)
{
    PendingOrder pending = std::move (*engine.unanswered);
    engine.unanswered.reset();
    switch (outcome)
    {
        case OrderOutcome::kUnderWay:
            engine.sequence = order.expectedSequence.value_or (0) + 1;
            onOrderAccepted (engine, std::move (pending), now);
            return;
        case OrderOutcome::kAlreadyHolds:
            applyCompletedOrder (engine, order, now);
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
            engine.unconfirmed = std::move (pending);
            engine.pollAt = now + kMaxReportLag;
            return;
    }
}

void EnginePlacement::onOrderAccepted (Engine& engine, PendingOrder pending, base::TimePoint now)
{
    const ServiceOrder& order = pending.order;
    if (order.adapter.empty())
    {
        beginModelOrder (engine, std::move (pending), now);
        return;
    }
    if (order.isLoad)
    {
        expectAdapter (engine, adapterKey (order.model, order.adapter), now + kAdapterLoadTime);
    }
    else
    {
        applyCompletedOrder (engine, order, now);
    }
}

void EnginePlacement::applyCompletedOrder (Engine& engine, const ServiceOrder& order,
                                           base::TimePoint now)
{
    // The sequence is a guess. If it is wrong, the engine refuses the next order and is polled.
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
        expectAdapter (engine, key, now);
        return;
    }
    engine.adaptersDue.erase (key);
    const auto model = engine.models.find (order.model);
    if (model != engine.models.end())
        model->second.adapters.erase (order.adapter);
}

void EnginePlacement::expectAdapter (Engine& engine, std::string adapter, base::TimePoint due)
{
    engine.adaptersDue[std::move (adapter)] = due;
    m_adaptersDueAt.emplace (due, engine.id);
}

void EnginePlacement::onReport (const std::string& instance, const engine::ServiceReport& report,
                                base::TimePoint now)
{
    const auto found = m_engines.find (instance);
    if (found == m_engines.end())
        return;
    endPoll (found->second);
    applyReport (found->second, report, now);
    updateDerivedState (found->second);
}

void EnginePlacement::applyReport (Engine& engine, const engine::ServiceReport& report,
                                   base::TimePoint now)
{
    const bool isOfOther =
        report.startedAt != 0 && engine.startedAt != 0 && report.startedAt != engine.startedAt;
    if (isOfOther)
    {
        engine.pollAt = now + kPollInterval;
        return;
    }
    if (engine.unanswered)
        return;  // An order was sent after the poll.
    engine.sequence = report.sequence;
    EngineHeldModels heldModels;
    for (const engine::ReportedModel& model : report.models)
    {
        heldModels.models.push_back ({ model.name, model.version, model.adapters });
    }
    const bool wasTaken =
        engine.unconfirmed
        && report.sequence > engine.unconfirmed->order.expectedSequence.value_or (0);
    if (wasTaken && report.isBusy && engine.unconfirmed->order.adapter.empty())
    {
        beginModelOrder (engine, std::move (*engine.unconfirmed), now);
    }
    engine.unconfirmed.reset();
    applyHeldModels (engine, heldModels, now);
    const bool isSettled =
        engine.modelOrder && ! report.isBusy && now - engine.modelOrder->sentAt > kMaxReportLag;
    if (isSettled)
        endModelOrder (engine, engine.models.contains (engine.modelOrder->order.model), now);
    if (report.isBusy && ! engine.modelOrder)
    {
        engine.sequence.reset();  // Busy with an order from elsewhere: poll again.
        engine.pollAt = now + kMaxReportLag;
    }
}

void EnginePlacement::onReportFailed (const std::string& instance, base::TimePoint now)
{
    const auto found = m_engines.find (instance);
    if (found == m_engines.end())
        return;
    Engine& engine = found->second;
    endPoll (engine);
    engine.pollAt = now + kPollInterval;
    // The engine was chosen while its sequence was unknown, and does not answer. Dropping the plan
    // allows another engine to load the model.
    if (! engine.sequence && ! engine.reservedFor.empty())
        dropPlan (engine);
}

std::vector<EngineCommand> EnginePlacement::decide (base::TimePoint now)
{
    m_now = now;
    std::vector<EngineCommand> commands;
    pollWhereNeeded (commands, now);
    expireOrders (now);
    continuePlans (commands, now);
    updateModelViews (now);
    planModels (commands, now);
    planAdapters (commands, now);
    fillFreeMemory (commands, now);
    fetchAhead (commands, now);
    return commands;
}

std::vector<EngineCommand> EnginePlacement::decideUrgent (base::TimePoint now)
{
    m_now = now;
    std::vector<EngineCommand> commands;
    expireOrders (now);
    continuePlans (commands, now);
    planAdapters (commands, now);
    return commands;
}

void EnginePlacement::pollWhereNeeded (std::vector<EngineCommand>& commands, base::TimePoint now)
{
    const auto mayPoll = [&] (const Engine& engine)
    { return engine.isUsable && ! engine.unanswered && ! engine.isPolled && now >= engine.pollAt; };
    for (const std::string& id : m_withOrders)
    {
        Engine& engine = m_engines.at (id);
        const bool isLate =
            engine.modelOrder && now - engine.modelOrder->sentAt > kModelOrderTimeout;
        if (m_polls < kMaxPolls && (! engine.sequence || isLate) && mayPoll (engine))
            poll (engine, commands, now);
    }
    for (const std::string& id : m_unknownSequence)
    {
        Engine& engine = m_engines.at (id);
        if (! mayPoll (engine))
            continue;
        if (m_polls >= kMaxPolls || ! m_pollsWithoutNeed.take (now))
            return;
        poll (engine, commands, now);
    }
}

void EnginePlacement::poll (Engine& engine, std::vector<EngineCommand>& commands,
                            base::TimePoint now)
{
    engine.isPolled = true;
    engine.polledAt = now;
    engine.pollAt = now + kPollInterval;
    ++m_polls;
    commands.emplace_back (PollEngine{ engine.id, engine.address });
}

void EnginePlacement::endPoll (Engine& engine)
{
    if (std::exchange (engine.isPolled, false))
        --m_polls;
}

void EnginePlacement::expireOrders (base::TimePoint now)
{
    for (const std::string& id : std::set (m_withOrders))
    {
        Engine& engine = m_engines.at (id);
        if (! engine.unanswered || now - engine.unanswered->sentAt < kOrderTimeout)
            continue;
        engine.unconfirmed = std::move (engine.unanswered);
        engine.unanswered.reset();
        engine.sequence.reset();
        engine.pollAt = now + kMaxReportLag;
        updateDerivedState (engine);
    }
}

void EnginePlacement::continuePlans (std::vector<EngineCommand>& commands, base::TimePoint now)
{
    for (const std::string& id : std::set (m_withOrders))
    {
        Engine& engine = m_engines.at (id);
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
        if (mayBePolled (engine))
            poll (engine, commands, now);
        if (! mayTakeOrder (engine))
            continue;
        continuePlan (engine, *spec, *model, commands, now);
    }
}

void EnginePlacement::continuePlan (Engine& engine, const EngineSpecIndex& spec,
                                    const config::EngineModel& model,
                                    std::vector<EngineCommand>& commands, base::TimePoint now)
{
    for (const std::string& evicted : engine.withdrawn)
    {
        if (! engine.models.contains (evicted))
            continue;
        // Routers must receive the withdrawal before the model is unloaded.
        if (now - engine.withdrawnAt >= kWithdrawalDelay)
        {
            send (engine, { false, evicted, "", "makes way for " + model.name }, commands, now);
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
    updateDerivedState (engine);
}

void EnginePlacement::send (Engine& engine, const PlannedOrder& intention,
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
    updateDerivedState (engine);
    commands.emplace_back (
        SendEngineOrder{ engine.address, std::move (order), isFromStore, intention.reason });
}

}  // namespace fernlift::placement
