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
    [[nodiscard]] bool isLeaving() const override { return m_model && m_model->isLeaving(); }
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

    std::optional<standin::ApplicationModel> m_model;
    std::map<standin::RequestHandle, Attempt> m_answers;
    std::uint64_t m_wakeNumber = 0;
    std::set<std::string> m_formerRuns;
    std::map<std::string, std::uint64_t> m_formerKeyCounts;
};

}  // namespace fernlift::sim
