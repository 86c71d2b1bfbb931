#pragma once

/// Simulated model engine. Runs the engine model of the stand-in and takes the place of its HTTP
/// server.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sim/BackEnd.h"
#include "standin/EngineModel.h"

namespace fernlift::sim
{

class EngineNode final : public BackEnd
{
public:
    EngineNode (World& world, NodeId node, const engine::Machine& machine);

    void start() override;
    engine::OrderAnswer onOrder (const engine::Order& order) override;
    engine::Report report() override;
    void submit (Attempt attempt) override;
    void setLeaving (bool isLeaving) override;
    [[nodiscard]] bool isLeaving() const override { return m_model && m_model->isLeaving(); }
    [[nodiscard]] bool isBusy() override;

    /// The current state of the engine, without the delay of report().
    [[nodiscard]] engine::Report actualReport();
    void setFaults (const standin::EngineFaults& faults);
    void onFetched (standin::FetchId fetch);
    void onFetchRefused (standin::FetchId fetch, base::Duration retryAfter);
    /// Ids of all requests that engines on this machine have begun to run.
    [[nodiscard]] std::set<std::string> requestsRun() const;

protected:
    void onKilled() override;

private:
    struct Answer
    {
        Attempt attempt;
        bool hasBegun = false;
        std::map<std::uint64_t, std::string> parts;
    };

    void advanceModel();
    void armWake();
    void cancel (standin::RequestHandle handle);
    void apply (const standin::FetchWeights& effect);
    void apply (const standin::CancelFetch& effect);
    void apply (const standin::TokenChunk& effect);
    void apply (const standin::AnswerEnded& effect);
    void apply (const standin::AnswerRefused& effect);
    void apply (const standin::AnswerBroken& effect);
    void apply (const standin::ExitProcess& effect);
    std::optional<Answer> takeAnswer (standin::RequestHandle handle);
    [[nodiscard]] standin::EngineOptions modelOptions() const;

    std::vector<standin::Checkpoint> m_disk;
    std::optional<standin::EngineModel> m_model;
    std::map<standin::RequestHandle, Answer> m_answers;
    std::map<standin::FetchId, std::uint64_t> m_transfers;
    base::TimePoint m_wakeAt{};
    std::uint64_t m_wakeNumber = 0;
    std::set<std::string> m_formerRuns;
};

}  // namespace fernlift::sim
