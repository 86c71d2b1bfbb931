#pragma once

/// An application back end of a simulation, with the ledger of what it ran.

#include <map>
#include <optional>
#include <set>
#include <string>

#include "sim/BackEnd.h"
#include "standin/ApplicationModel.h"

namespace fernlift::sim
{

class ApplicationNode final : public BackEnd
{
public:
    ApplicationNode (World& world, NodeId node, const engine::Machine& machine);

    void start() override;
    engine::OrderAnswer onOrder (const engine::Order& order) override;
    engine::Report report() override;
    void submit (Attempt attempt) override;
    void setLeaving (bool isLeaving) override;
    [[nodiscard]] bool isLeaving() const override { return model_ && model_->isLeaving(); }
    [[nodiscard]] bool isBusy() override;

    void setFaults (const standin::ApplicationFaults& faults);
    [[nodiscard]] std::set<std::string> requestsRun() const;
    /// How often each idempotency key ran here, in all lives of the process.
    [[nodiscard]] std::map<std::string, std::uint64_t> keyCounts() const;

protected:
    void onKilled() override;

private:
    void settle();
    void armWake();

    std::optional<standin::ApplicationModel> model_;
    std::map<standin::RequestHandle, Attempt> answers_;
    std::uint64_t wakeNumber_ = 0;
    std::set<std::string> formerRuns_;
    std::map<std::string, std::uint64_t> formerKeyCounts_;
};

}  // namespace fernlift::sim
