#pragma once

/// JSON bodies of the answers to operators' requests.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"
#include "cell/CellState.h"
#include "config/Catalogue.h"
#include "consensus/RaftNode.h"
#include "controller/DemandTable.h"
#include "controller/InstanceLoadTable.h"
#include "controller/InstanceRateLedger.h"
#include "controller/InstanceTable.h"
#include "controller/RetryReserveLedger.h"
#include "controller/RouterSessions.h"
#include "controller/RunnerWatch.h"
#include "placement/EnginePlacement.h"

namespace fernlift::controller
{

/// HTTP status and JSON body of an answer.
struct AdminAnswer
{
    int httpStatus = 200;
    std::string json;
};

/// {"error":{"kind","message","execution"}} with the status of the error's kind.
[[nodiscard]] AdminAnswer errorAnswer (const base::Error& error);
/// kNotLeader, with "leader": the leader's HTTP address, empty when unknown.
[[nodiscard]] AdminAnswer notLeaderAnswer (const consensus::RaftStatus& status);
/// kConfigurationInvalid with "problems": [{"line","key","message"}].
[[nodiscard]] AdminAnswer problemsAnswer (const std::vector<config::CatalogueProblem>& problems);
/// Outcome of an apply. `inForceEverywhere` is set when the request waited for it.
[[nodiscard]] AdminAnswer configurationAnswer (const cell::ConfigurationResult& result,
                                               std::optional<bool> inForceEverywhere);
/// {"result":"ok"}
[[nodiscard]] AdminAnswer doneAnswer();

/// State that answers are made from. At a follower the volatile parts are missing.
struct AdminView
{
    const cell::CellState& state;
    const consensus::RaftStatus& raft;
    const RunnerWatch* watch = nullptr;        ///< Leader only.
    const RouterSessions* sessions = nullptr;  ///< Leader only.
    const DemandTable* demands = nullptr;      ///< Leader only.
    const InstanceLoadTable* loads = nullptr;  ///< Loads of registered runners.
    base::TimePoint now{};
    const InstanceRateLedger* rates = nullptr;                    ///< Leader only.
    const InstanceTable* instances = nullptr;                     ///< Leader only.
    std::optional<placement::EnginePlacementStatus> placement{};  ///< Leader only.
    const RetryReserveLedger* retryReserve = nullptr;             ///< Leader only.
};

/// {"suspects": [{"request","kind","ends","quarantined","runners","last_end_ms"}]}, with the
/// requests in quarantine first.
[[nodiscard]] AdminAnswer quarantineAnswer (const cell::QuarantineTable& table);
[[nodiscard]] AdminAnswer membersAnswer (const consensus::RaftStatus& status);
[[nodiscard]] AdminAnswer statusAnswer (const AdminView& view);
/// Kind "model" (also adapters and applications), "runner" or "configuration"; kNotFound for
/// others.
[[nodiscard]] AdminAnswer explainAnswer (const AdminView& view, const std::string& kind,
                                         const std::string& name);

}  // namespace fernlift::controller
