// Placement of models on the engines of registered services.

#include <algorithm>
#include <utility>

#include "controller/ControllerImplementation.h"

namespace fernlift::controller
{
namespace
{

/// Maximum time between the decision on an order and its sending; later orders are dropped. A new
/// leader adds this time to its wait before it sends orders.
constexpr base::Duration kMaxOrderDelay = base::milliseconds (400);

constexpr std::size_t kUnknownStoreLoads = 8;

/// Minimum interval between placement rounds for each engine, in small cells. A round covers the
/// models in use and their holders.
constexpr base::Duration kPlacementIntervalForEngine = std::chrono::microseconds (400);
/// Minimum interval between placement rounds in large cells. It is longer where rounds would
/// otherwise take more than one part in kPartsOfTimeForPlacement of the leader's time.
constexpr base::Duration kNominalPlacementInterval = base::milliseconds (100);
constexpr int kPartsOfTimeForPlacement = 10;
/// Instances passed to placement in one portion, when many have changed or all are passed: the
/// leader's event loop runs in between.
constexpr std::size_t kMaxInstancesAtOnce = 1000;
constexpr base::Duration kMissingInstancesInterval = base::milliseconds (20);
/// Minimum interval between placements of models that requests wait for, in cells of any size.
constexpr base::Duration kUrgentPlacementInterval = base::milliseconds (10);

}  // namespace

void ControllerCore::Implementation::refreshEngines (bool isSweep)
{
    const config::Catalogue* catalogue = m_state.configuration().catalogue();
    if (catalogue == nullptr)
        return;
    const bool isChanged =
        std::exchange (m_leader->placedConfiguration, catalogue->version) != catalogue->version;
    if (isChanged)
    {
        m_leader->engines.setServices (catalogue->version, catalogue->services.services);
        m_leader->firstUnplaced = "";
    }
    const bool areAllPlaced = placeChangedInstances();
    if (m_leader->firstUnplaced)
        placeMissingInstances();
    else if (isSweep && areAllPlaced)
        m_leader->engines.refresh (m_leader->instances.rows(), m_now);
    else if (isSweep)
        m_leader->instanceSweep.request();
}

bool ControllerCore::Implementation::placeChangedInstances()
{
    const InstanceTable& instances = m_leader->instances;
    const std::uint64_t last =
        instances.versionAfter (m_leader->placedInstances, kMaxInstancesAtOnce);
    instances.visitBetween (m_leader->placedInstances, last,
                            [this] (const std::string& id, const cell::RoutableInstance* row)
                            { m_leader->engines.refreshRow (id, row, m_now); });
    m_leader->placedInstances = last;
    const bool areAllPlaced = last == instances.version();
    if (! areAllPlaced)
        m_leader->instanceTable.request();
    return areAllPlaced;
}

void ControllerCore::Implementation::placeMissingInstances()
{
    m_leader->instanceTable.request();
    m_leader->missingInstances.request();
    if (! m_leader->missingInstances.takeDue (m_now, kMissingInstancesInterval))
        return;
    const auto& rows = m_leader->instances.rows();
    auto row = rows.lower_bound (*m_leader->firstUnplaced);
    for (std::size_t count = 0; count < kMaxInstancesAtOnce && row != rows.end(); ++count, ++row)
        m_leader->engines.refreshRow (row->first, &row->second, m_now);
    m_leader->firstUnplaced.reset();
    if (row != rows.end())
        m_leader->firstUnplaced = row->first;
}

void ControllerCore::Implementation::publishHeldModels (bool isSweep)
{
    bool isChanged = false;
    const auto& rows = m_leader->instances.rows();
    for (const std::string& id : m_leader->engines.takeChangedEngines (m_now))
    {
        const auto row = rows.find (id);
        if (row != rows.end())
            isChanged = publishHeldModels (id, row->second) || isChanged;
    }
    if (isSweep)
    {
        for (const auto& [id, row] : rows)
            isChanged = publishHeldModels (id, row) || isChanged;
    }
    if (isChanged)
        m_leader->instances.refreshChanged (m_state.instances(), m_now);
}

bool ControllerCore::Implementation::publishHeldModels (const std::string& instance,
                                                        const cell::RoutableInstance& row)
{
    const std::vector<cell::HeldModel>& published = row.instance.models;
    if (row.instance.isReported && m_leader->engines.isKnownCurrent (instance, published))
        return false;
    auto models = m_leader->engines.routableModels (instance, m_now);
    if (! models || (row.instance.isReported && *models == published))
        return false;
    m_leader->instances.setModels (instance, std::move (*models));
    return true;
}

placement::EnginePlacementOptions ControllerCore::Implementation::engineOptions() const
{
    placement::EnginePlacementOptions options;
    options.holder = std::to_string (m_self);
    options.fence = m_status.term;
    options.fetchesAhead = m_options.fetchesAhead;
    options.ordersFrom = [this] (const std::string& instance) {
        return m_orderHistory.orderedAt (instance) + m_options.newLeaderOrderDelay + kMaxOrderDelay;
    };
    options.earlierStoreLoads = m_orderHistory.storeLoads();
    // Loads from before the first recorded order are unknown.
    options.earlierStoreLoads.insert (options.earlierStoreLoads.begin(), kUnknownStoreLoads,
                                      m_orderHistory.knownFrom());
    return options;
}

void ControllerCore::Implementation::requestPlacement()
{
    m_leader->enginePlacement.request();
    m_leader->urgentPlacement.request();
}

base::Duration ControllerCore::Implementation::placementInterval() const
{
    const auto engines = static_cast<std::int64_t> (m_leader->instances.rows().size());
    const base::Duration inLargeCell = std::max<base::Duration> (
        kNominalPlacementInterval, kPartsOfTimeForPlacement * m_leader->placementTime);
    return std::min<base::Duration> (engines * kPlacementIntervalForEngine, inLargeCell);
}

base::TimePoint ControllerCore::Implementation::workTime() const
{
    return m_options.workClock ? m_options.workClock() : base::TimePoint{};
}

void ControllerCore::Implementation::placeOnEngines()
{
    if (! holdsLease())
        return;
    const bool isRoundDue = m_leader->enginePlacement.takeDue (m_now, placementInterval());
    const bool isUrgentDue = m_leader->urgentPlacement.takeDue (m_now, kUrgentPlacementInterval);
    if (! isRoundDue && ! isUrgentDue)
        return;
    const base::TimePoint startedAt = workTime();
    std::vector<placement::EngineCommand> commands =
        isRoundDue ? m_leader->engines.decide (m_now) : m_leader->engines.decideUrgent (m_now);
    if (isRoundDue)
        m_leader->placementTime = workTime() - startedAt;
    std::vector<placement::SendEngineOrder> orders;
    for (placement::EngineCommand& command : commands)
    {
        if (auto* order = std::get_if<placement::SendEngineOrder> (&command))
        {
            orders.push_back (std::move (*order));
        }
        else
        {
            m_effects.emplace_back (std::get<placement::PollEngine> (std::move (command)));
        }
    }
    for (placement::EngineOrderDone& done : m_leader->engines.takeCompletedOrders())
        m_effects.emplace_back (std::move (done));
    if (! orders.empty())
        recordAndSend (std::move (orders));
    m_leader->instanceTable.request();
}

void ControllerCore::Implementation::recordAndSend (std::vector<placement::SendEngineOrder> orders)
{
    cell::RecordOrders record;
    record.proposedAt = cellTime();
    for (const placement::SendEngineOrder& order : orders)
    {
        record.orders.push_back ({ order.order.instance, order.isFromStore });
    }
    const ForEngineOrders purpose{ std::move (orders), m_now };
    if (propose (record, purpose))
        return;
    for (const placement::SendEngineOrder& order : purpose.orders)
    {
        m_leader->engines.onOrderAnswer (order.order, engine::OrderOutcome::kBusy, m_now);
    }
}

void ControllerCore::Implementation::finish (const ForEngineOrders& purpose,
                                             base::LogIndex /*index*/,
                                             const cell::ApplyResult& /*result*/)
{
    const bool maySend = holdsLease() && m_now - purpose.recordedAt < kMaxOrderDelay;
    for (const placement::SendEngineOrder& order : purpose.orders)
    {
        if (maySend)
        {
            m_effects.emplace_back (order);
        }
        else
        {
            // The order was not sent. It is recorded as refused by a busy engine, so that the
            // engine is polled for its sequence before its next order.
            m_leader->engines.onOrderAnswer (order.order, engine::OrderOutcome::kBusy, m_now);
        }
    }
}

void ControllerCore::Implementation::onEngineOrderAnswer (const engine::ServiceOrder& order,
                                                          engine::OrderOutcome outcome)
{
    if (! m_leader)
        return;
    m_leader->engines.onOrderAnswer (order, outcome, m_now);
    requestPlacement();
    drain();
}

void ControllerCore::Implementation::onEngineReport (const std::string& instance,
                                                     const engine::ServiceReport* report)
{
    if (! m_leader)
        return;
    if (report != nullptr)
    {
        m_leader->engines.onReport (instance, *report, m_now);
    }
    else
    {
        m_leader->engines.onReportFailed (instance, m_now);
    }
    requestPlacement();
    drain();
}

}  // namespace fernlift::controller
