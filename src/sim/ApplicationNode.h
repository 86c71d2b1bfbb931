#pragma once

/// Simulated application back end. Keeps a ledger of the requests it ran, across restarts.

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
    [[nodiscard]] bool isLeaving() const override { return m_model && m_model->isLeaving(); }
    [[nodiscard]] bool isBusy() override;

    void setFaults (const standin::ApplicationFaults& faults);
    [[nodiscard]] std::set<std::string> requestsRun() const;
    /// Number of executions of each idempotency key, summed over all runs of the process.
    [[nodiscard]] std::map<std::string, std::uint64_t> keyCounts() const;

protected:
    void onKilled() override;

private:
    void advanceModel();
    void armWake();

    std::optional<standin::ApplicationModel> m_model;
    std::map<standin::RequestHandle, Attempt> m_answers;
    std::uint64_t m_wakeNumber = 0;
    std::set<std::string> m_formerRuns;
    std::map<std::string, std::uint64_t> m_formerKeyCounts;
};

}  // namespace fernlift::sim
