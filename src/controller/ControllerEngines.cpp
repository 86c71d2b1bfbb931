// Placement of models on the engines of registered services.

#include <utility>

#include "controller/ControllerImplementation.h"

namespace fernlift::controller {

void ControllerCore::Implementation::refreshEngines() {
  const config::Catalogue* catalogue = state_.configuration().catalogue();
  if (catalogue == nullptr) return;
  leader_->engines.setServices(catalogue->version, catalogue->services.services);
  leader_->engines.refresh(leader_->instances.rows(), now_);
  publishHoldings();
}

void ControllerCore::Implementation::publishHoldings() {
  bool isChanged = false;
  for (const auto& [id, row] : leader_->instances.rows()) {
    auto models = leader_->engines.routableModels(id, now_);
    if (!models || (row.instance.isReported && *models == row.instance.models)) continue;
    leader_->instances.setModels(id, std::move(*models));
    isChanged = true;
  }
  if (isChanged) leader_->instances.refresh(state_.instances(), now_);
}

void ControllerCore::Implementation::placeOnEngines() {
  if (!leader_->isEnginePlacementDue || !holdsLease()) return;
  leader_->isEnginePlacementDue = false;
  for (placement::EngineCommand& command : leader_->engines.decide(now_)) {
    std::visit([this](auto& value) { effects_.emplace_back(std::move(value)); }, command);
  }
  leader_->isInstanceTableDue = true;
}

void ControllerCore::Implementation::onEngineOrderAnswer(const engine::ServiceOrder& order,
                                                         engine::OrderOutcome outcome) {
  if (!leader_) return;
  leader_->engines.onOrderAnswer(order, outcome, now_);
  leader_->isEnginePlacementDue = true;
  drain();
}

void ControllerCore::Implementation::onEngineReport(const std::string& instance,
                                                    const engine::ServiceReport* report) {
  if (!leader_) return;
  if (report != nullptr) {
    leader_->engines.onReport(instance, *report, now_);
  } else {
    leader_->engines.onReportFailed(instance, now_);
  }
  leader_->isEnginePlacementDue = true;
  drain();
}

}  // namespace fernlift::controller
