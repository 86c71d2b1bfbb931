#include <algorithm>
#include <utility>

#include "placement/EnginePlayTestSupport.h"

namespace fernlift::placement
{
namespace
{

constexpr base::Duration kTick = base::milliseconds (10);
constexpr base::Duration kDemandInterval = base::milliseconds (500);
constexpr base::Duration kHeartbeat = base::milliseconds (1200);
constexpr base::Duration kLoadFromStore = base::seconds (6);
constexpr base::Duration kLoadFromCopy = base::milliseconds (800);
constexpr double kTokensOfStream = 280;
constexpr double kTokensOfEvent = 6;
constexpr double kStepMilliseconds = 4.4;
constexpr double kStepMillisecondsForStream = 0.3;
constexpr std::uint64_t kPromptTokens = 715;
constexpr const char* kService = "llm";
constexpr double kModelMemory = 70;

config::Service playedService (std::size_t models)
{
    config::Service service;
    service.name = kService;
    service.engine.emplace();
    service.engine->memoryMb = 3 * kModelMemory;
    service.engine->slots = 64;
    service.engine->adapterSlots = 8;
    service.engine->loadsPerSecond = 2.3;
    for (std::size_t number = 0; number < models; ++number)
    {
        config::EngineModel model;
        model.name = EnginePlay::modelName (number);
        model.memoryMb = kModelMemory;
        model.loadTime = kLoadFromStore;
        model.diskLoadTime = kLoadFromCopy;
        service.engine->models.push_back (model);
    }
    return service;
}

EnginePlacementOptions playedOptions()
{
    EnginePlacementOptions options;
    options.holder = "c1";
    options.fence = 1;
    options.ordersFrom = [] (const std::string&) { return base::TimePoint{}; };
    return options;
}

}  // namespace

std::string EnginePlay::modelName (std::size_t number) { return "m" + std::to_string (number); }

EnginePlay::EnginePlay (std::size_t engines, std::size_t models, std::uint64_t seed)
    : m_placement (playedOptions()), m_random (seed), m_engines (engines), m_now (start())
{
    m_placement.setServices (1, { playedService (models) });
    for (std::size_t number = 0; number < engines; ++number)
        place (number, {}, {});
}

void EnginePlay::place (std::size_t number, const std::vector<std::string>& held,
                        const std::set<std::string>& copies)
{
    Engine& engine = m_engines[number];
    if (engine.id.empty())
        engine.id = "e" + std::to_string (number);
    engine.held = { held.begin(), held.end() };
    engine.copies = copies;
    engine.copies.insert (held.begin(), held.end());
    cell::RoutableInstance row;
    row.instance.id = engine.id;
    row.instance.service = kService;
    m_rows[engine.id] = row;
    m_placement.refresh (m_rows, m_now);
    sendHeartbeat (engine);
}

void EnginePlay::replace (std::size_t number)
{
    Engine& engine = m_engines[number];
    m_rows.erase (engine.id);
    engine = Engine{};
    engine.id = "n" + std::to_string (++m_replaced);
    place (number, {}, {});
}

void EnginePlay::run (const std::vector<PlayedRate>& rates, base::Duration duration)
{
    const base::TimePoint end = m_now + duration;
    while (m_now < end)
    {
        addArrivals (rates);
        tick();
    }
}

void EnginePlay::addArrivals (const std::vector<PlayedRate>& rates)
{
    for (const PlayedRate& rate : rates)
    {
        if (m_random.uniformReal() >= rate.perSecond * base::toSeconds (kTick))
            continue;
        m_waiting.push_back (m_streams.size());
        m_streams.push_back ({ rate.model, m_now, {}, {} });
        ++m_arrivals[rate.model];
        m_isUrgent = m_isUrgent || holderOf (rate.model) == nullptr;
    }
}

void EnginePlay::tick()
{
    m_now += kTick;
    sendWaiting();
    for (Engine& engine : m_engines)
    {
        advanceStreams (engine);
        advanceOrder (engine);
        if (m_now - engine.heartbeatAt >= kHeartbeat)
            sendHeartbeat (engine);
    }
    if (m_isUrgent || m_now - m_reportedAt >= kDemandInterval)
        reportDemand();
    for (const EngineCommand& command : m_placement.decide (m_now))
    {
        if (const auto* order = std::get_if<SendEngineOrder> (&command))
            acceptOrder (*order);
    }
}

EnginePlay::Engine* EnginePlay::holderOf (const std::string& model)
{
    Engine* fewest = nullptr;
    for (Engine& engine : m_engines)
    {
        const auto shown = m_placement.routableModels (engine.id, m_now);
        const bool isShown =
            shown && std::ranges::find (*shown, model, &cell::HeldModel::model) != shown->end();
        if (! isShown || ! engine.held.contains (model))
            continue;
        if (fewest == nullptr || engine.running.size() < fewest->running.size())
            fewest = &engine;
    }
    return fewest;
}

void EnginePlay::sendWaiting()
{
    std::vector<std::size_t> left;
    for (const std::size_t index : std::exchange (m_waiting, {}))
    {
        PlayedStream& stream = m_streams[index];
        Engine* holder = holderOf (stream.model);
        if (holder == nullptr)
        {
            left.push_back (index);
            continue;
        }
        stream.waited = m_now - stream.arrivedAt;
        holder->running.push_back ({ index, stream.model, kTokensOfStream, kTokensOfEvent, m_now });
    }
    m_waiting = std::move (left);
}

void EnginePlay::advanceStreams (Engine& engine)
{
    const double step = kStepMilliseconds
                        + kStepMillisecondsForStream * static_cast<double> (engine.running.size());
    const double tokens = static_cast<double> (base::toMilliseconds (kTick)) / step;
    for (Running& running : engine.running)
    {
        running.tokensLeft -= tokens;
        running.tokensToEvent -= tokens;
        if (running.tokensToEvent > 0)
            continue;
        base::Duration& longest = m_streams[running.stream].longestPause;
        longest = std::max<base::Duration> (longest, m_now - running.lastEventAt);
        running.tokensToEvent += kTokensOfEvent;
        running.lastEventAt = m_now;
    }
    std::erase_if (engine.running, [] (const Running& running) { return running.tokensLeft <= 0; });
}

void EnginePlay::advanceOrder (Engine& engine)
{
    if (! engine.order)
        return;
    const engine::ServiceOrder& order = engine.order->order;
    const bool isUsed = std::ranges::any_of (
        engine.running, [&] (const Running& running) { return running.model == order.model; });
    const bool isDone = order.isLoad ? m_now >= engine.order->doneAt : ! isUsed;
    if (! isDone)
        return;
    if (order.isLoad)
    {
        engine.held.insert (order.model);
        engine.copies.insert (order.model);
    }
    else
    {
        engine.held.erase (order.model);
    }
    engine.order.reset();
    sendHeartbeat (engine);
}

void EnginePlay::acceptOrder (const SendEngineOrder& command)
{
    const auto isMeant = [&] (const Engine& engine) { return engine.id == command.order.instance; };
    const auto engine = std::ranges::find_if (m_engines, isMeant);
    if (engine == m_engines.end())
        return;
    const bool isFromStore =
        command.order.isLoad && ! engine->copies.contains (command.order.model);
    engine->order =
        Order{ command.order, m_now + (isFromStore ? kLoadFromStore : kLoadFromCopy), isFromStore };
    ++engine->sequence;
    const auto loadsFromStore = [] (const Engine& other)
    { return other.order && other.order->isFromStore; };
    const auto loads = static_cast<std::size_t> (std::ranges::count_if (m_engines, loadsFromStore));
    m_mostStoreLoads = std::max (m_mostStoreLoads, loads);
    m_placement.onOrderAnswer (command.order, engine::OrderOutcome::kUnderWay, m_now);
}

void EnginePlay::sendHeartbeat (Engine& engine)
{
    engine.heartbeatAt = m_now;
    EngineHeldModels heldModels;
    engine::ServiceReport report;
    for (const std::string& model : engine.held)
    {
        heldModels.models.push_back ({ model, 1, {} });
        report.models.push_back ({ model, 1, {} });
    }
    heldModels.onDisk = engine.copies;
    m_placement.onHeartbeat (engine.id, heldModels, m_now);
    report.sequence = engine.sequence;
    report.isBusy = engine.order.has_value();
    m_placement.onReport (engine.id, report, m_now);
}

void EnginePlay::reportDemand()
{
    std::map<std::string, cell::EngineDemand> demands;
    for (const PlayedStream& stream : m_streams)
        demands[stream.model].model = stream.model;
    for (const std::size_t index : m_waiting)
        ++demands[m_streams[index].model].waiting;
    for (const Engine& engine : m_engines)
    {
        for (const Running& running : engine.running)
            ++demands[running.model].running;
    }
    std::vector<cell::EngineDemand> report;
    for (auto& [model, demand] : demands)
    {
        demand.service = kService;
        demand.arrivals = m_arrivals[model];
        demand.promptTokens = demand.arrivals * kPromptTokens;
        report.push_back (demand);
    }
    m_arrivals.clear();
    m_placement.onDemand (1, report, m_now);
    m_reportedAt = m_now;
    m_isUrgent = false;
}

template <class IsCounted, class IsLate>
double EnginePlay::shareOf (const IsCounted& isCounted, const IsLate& isLate) const
{
    const auto isCountedAndLate = [&] (const PlayedStream& stream)
    { return isCounted (stream) && isLate (stream); };
    return static_cast<double> (std::ranges::count_if (m_streams, isCountedAndLate))
           / static_cast<double> (std::ranges::count_if (m_streams, isCounted));
}

double EnginePlay::shareWithPausesOver (base::Duration pause, base::Duration from) const
{
    return shareOf ([&] (const PlayedStream& stream) { return stream.arrivedAt >= start() + from; },
                    [&] (const PlayedStream& stream) { return stream.longestPause > pause; });
}

double EnginePlay::shareWaitingOver (base::Duration wait, base::Duration from) const
{
    return shareOf (
        [&] (const PlayedStream& stream)
        { return stream.arrivedAt >= start() + from && stream.arrivedAt + wait <= m_now; },
        [&] (const PlayedStream& stream)
        { return stream.waited.value_or (m_now - stream.arrivedAt) > wait; });
}

}  // namespace fernlift::placement
