// Placement of models on the engines of registered services.

#include <utility>

#include "controller/ControllerImplementation.h"

namespace fernlift::controller
{
namespace
{

/// An order leaves within this time after it was decided, or not at all; a new leader adds it to
/// the pause.
constexpr base::Duration kLongestOrderDelay = base::milliseconds (400);

constexpr std::size_t kUnknownStoreLoads = 8;

}  // namespace

void ControllerCore::Implementation::refreshEngines()
{
    const config::Catalogue* catalogue = state_.configuration().catalogue();
    if (catalogue == nullptr)
        return;
    leader_->engines.setServices (catalogue->version, catalogue->services.services);
    leader_->engines.refresh (leader_->instances.rows(), now_);
    publishHoldings();
}

void ControllerCore::Implementation::publishHoldings()
{
    bool isChanged = false;
    for (const auto& [id, row] : leader_->instances.rows())
    {
        auto models = leader_->engines.routableModels (id, now_);
        if (! models || (row.instance.isReported && *models == row.instance.models))
            continue;
        leader_->instances.setModels (id, std::move (*models));
        isChanged = true;
    }
    if (isChanged)
        leader_->instances.refresh (state_.instances(), now_);
}

placement::EnginePlacementOptions ControllerCore::Implementation::engineOptions() const
{
    placement::EnginePlacementOptions options;
    options.holder = std::to_string (self_);
    options.fence = status_.term;
    options.ordersFrom = [this] (const std::string& instance)
    { return orderNotes_.orderedAt (instance) + options_.orderPause + kLongestOrderDelay; };
    options.earlierStoreLoads = orderNotes_.storeLoads();
    // What was loaded just before anything was noted is not known.
    options.earlierStoreLoads.insert (options.earlierStoreLoads.begin(), kUnknownStoreLoads,
                                      orderNotes_.knownFrom());
    return options;
}

void ControllerCore::Implementation::placeOnEngines()
{
    if (! leader_->isEnginePlacementDue || ! holdsLease())
        return;
    leader_->isEnginePlacementDue = false;
    std::vector<placement::SendEngineOrder> orders;
    for (placement::EngineCommand& command : leader_->engines.decide (now_))
    {
        if (auto* order = std::get_if<placement::SendEngineOrder> (&command))
        {
            orders.push_back (std::move (*order));
        }
        else
        {
            effects_.emplace_back (std::get<placement::PollEngine> (std::move (command)));
        }
    }
    if (! orders.empty())
        noteAndSend (std::move (orders));
    leader_->isInstanceTableDue = true;
}

void ControllerCore::Implementation::noteAndSend (std::vector<placement::SendEngineOrder> orders)
{
    cell::NoteOrders note;
    note.proposedAt = cellTime();
    for (const placement::SendEngineOrder& order : orders)
    {
        note.orders.push_back ({ order.order.instance, order.isFromStore });
    }
    const ForEngineOrders purpose{ std::move (orders), now_ };
    if (propose (note, purpose))
        return;
    for (const placement::SendEngineOrder& order : purpose.orders)
    {
        leader_->engines.onOrderAnswer (order.order, engine::OrderOutcome::kBusy, now_);
    }
}

void ControllerCore::Implementation::finish (const ForEngineOrders& purpose,
                                             base::LogIndex /*index*/,
                                             const cell::ApplyResult& /*result*/)
{
    const bool mayLeave = holdsLease() && now_ - purpose.notedAt < kLongestOrderDelay;
    for (const placement::SendEngineOrder& order : purpose.orders)
    {
        if (mayLeave)
        {
            effects_.emplace_back (order);
        }
        else
        {
            // It never left; a report tells the sequence before the next one.
            leader_->engines.onOrderAnswer (order.order, engine::OrderOutcome::kBusy, now_);
        }
    }
}

void ControllerCore::Implementation::onEngineOrderAnswer (const engine::ServiceOrder& order,
                                                          engine::OrderOutcome outcome)
{
    if (! leader_)
        return;
    leader_->engines.onOrderAnswer (order, outcome, now_);
    leader_->isEnginePlacementDue = true;
    drain();
}

void ControllerCore::Implementation::onEngineReport (const std::string& instance,
                                                     const engine::ServiceReport* report)
{
    if (! leader_)
        return;
    if (report != nullptr)
    {
        leader_->engines.onReport (instance, *report, now_);
    }
    else
    {
        leader_->engines.onReportFailed (instance, now_);
    }
    leader_->isEnginePlacementDue = true;
    drain();
}

}  // namespace fernlift::controller
