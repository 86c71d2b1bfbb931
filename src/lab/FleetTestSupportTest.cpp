#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "lab/EventWait.h"
#include "lab/FleetFaults.h"
#include "lab/FleetProbes.h"
#include "lab/FleetTestSupport.h"
#include "lab/Ledgers.h"

namespace fernlift::lab
{
namespace
{

constexpr std::string_view kFleetFile = R"(
cell = "test"
time_scale = 0.05
[[controllers]]
id = 1
zone = "z1"
[[controllers]]
id = 2
zone = "z2"
[[controllers]]
id = 3
zone = "z3"
[[routers]]
id = "router-1"
zone = "z1"
fault_proxy = true
[[routers]]
id = "router-2"
zone = "z2"
fault_proxy = true
[[engines]]
id = "engine-1"
zone = "z1"
memory_mb = 20000
slots = 32
fault_proxy = true
[[engines]]
id = "engine-2"
zone = "z2"
memory_mb = 20000
slots = 32
fault_proxy = true
[[application_runners]]
id = "portal-1"
zone = "z1"
slots = 32
applications = ["portal"]
fault_proxy = true
[[application_runners]]
id = "portal-2"
zone = "z2"
slots = 32
applications = ["portal"]
fault_proxy = true
[weight_store]
loads_per_second = 100
concurrent_loads = 100
[flags]
routers = ["--between-tokens-timeout-ms", "2000"]
)";

/// Short deadlines, so that requests to an unresponsive back end time out soon.
constexpr std::string_view kCatalogue = R"(
cell = "test"
version = 1
zones = ["z1", "z2", "z3"]
largest_runner_memory_mb = 20000
[[class]]
name = "standard"
urgency = 4
deadline_ms = 6000
[[class]]
name = "approval"
urgency = 1
deadline_ms = 3000
repeatable = false
[[model]]
name = "small"
version = "1"
memory_mb = 16000
min_replicas = 2
max_replicas = 2
class = "standard"
[[application]]
name = "portal"
class = "approval"
)";

constexpr base::Duration kLoadLength = base::milliseconds (1000);
constexpr std::uint64_t kTokens = 16;

std::string programFolder()
{
    const char* folder = std::getenv ("FERNLIFT_BIN_DIR");
    return folder == nullptr ? "bin" : folder;
}

void removeProxies (FleetSpec& spec)
{
    const auto remove = [] (auto& items)
    {
        for (auto& item : items)
        {
            item.hasFaultProxy = false;
        }
    };
    remove (spec.controllers);
    remove (spec.routers);
    remove (spec.engines);
    remove (spec.applicationRunners);
}

std::vector<Violation> checkIdleRouters (const Fleet& fleet)
{
    std::vector<Violation> all;
    for (const NodeStatus& node : fleet.status())
    {
        if (node.role == NodeRole::kRouter && node.state == NodeState::kRunning)
        {
            const auto violations = checkIdleRouter (node.name, fetchMetrics (node.httpAddress));
            all.insert (all.end(), violations.begin(), violations.end());
        }
    }
    return all;
}

std::string describe (const std::vector<Violation>& violations)
{
    std::ostringstream text;
    for (const Violation& violation : violations)
    {
        text << toString (violation.kind) << " " << violation.requestId << " " << violation.detail
             << "\n";
    }
    return text.str();
}

}  // namespace

std::unique_ptr<QTemporaryDir> FleetTest::folder;
std::unique_ptr<Fleet> FleetTest::runningFleet;
int FleetTest::loadCount = 0;

TraceTarget chatTarget() { return { CallKind::kChat, kModel, "standard", 1, true }; }

TraceTarget nonRepeatableTarget()
{
    return { CallKind::kApplication, "portal", "approval", 1, false };
}

void FleetTest::startFleet (bool hasProxies)
{
    ensureApplication();
    folder = std::make_unique<QTemporaryDir>();
    const std::string run = folder->path().toStdString();
    const bool isUp = succeeds (
        [&]() -> base::Result<void>
        {
            BOOST_LEAF_AUTO (spec, parseFleetSpec (kFleetFile));
            if (! hasProxies)
            {
                removeProxies (spec);
            }
            runningFleet =
                std::make_unique<Fleet> (std::move (spec), FleetFolders{ programFolder(), run });
            BOOST_LEAF_CHECK (runningFleet->start());
            BOOST_LEAF_CHECK (waitForLeader (*runningFleet, kTestTimeout));
            std::ofstream (run + "/catalogue.toml") << kCatalogue;
            const CtlOutcome applied =
                runCtl (*runningFleet, { "apply", run + "/catalogue.toml", "--wait" });
            EXPECT_EQ (applied.exitCode, 0) << applied.output;
            return waitForRouters (*runningFleet, kTestTimeout);
        });
    ASSERT_TRUE (isUp);
}

void FleetTest::TearDownTestSuite()
{
    if (runningFleet)
    {
        EXPECT_TRUE (succeeds ([] { return runningFleet->stop(); }));
    }
    runningFleet.reset();
    folder.reset();
}

void FleetTest::SetUp()
{
    ASSERT_TRUE (runningFleet);
    ASSERT_TRUE (succeeds ([] { return clearFaults (fleet()); }));
    ASSERT_TRUE (succeeds ([] { return waitForRouters (fleet(), kTestTimeout); }));
    ASSERT_TRUE (
        waitUntil ([] { return countReadyReplicas (fleet(), kModel) == 2; }, kTestTimeout));
}

void FleetTest::TearDown()
{
    EXPECT_TRUE (succeeds ([] { return clearFaults (fleet()); }));
    if (HasFailure())
    {
        folder->setAutoRemove (false);
        std::cerr << "logs of the fleet: " << folder->path().toStdString() << "\n";
    }
}

std::vector<CallRecord> FleetTest::runLoad (std::vector<TraceTarget> targets, std::size_t calls,
                                            const Fault& fault)
{
    LoadOptions before;
    before.routers = fleet().callerAddresses (NodeRole::kRouter);
    before.idPrefix = "load" + std::to_string (++loadCount);
    before.callTimeout = kTestTimeout;
    LoadOptions after = before;
    after.idPrefix += "-after";
    for (std::size_t index = 0; index < calls; ++index)
    {
        const auto at =
            kLoadLength * static_cast<std::int64_t> (index) / static_cast<std::int64_t> (calls);
        const bool isBefore = index < calls / 2;
        (isBefore ? before : after)
            .arrivals.push_back ({ isBefore ? at : at - kLoadLength / 2, index / 2 % targets.size(),
                                   index / 4 % 2 == 0, kTokens });
    }
    before.targets = targets;
    after.targets = std::move (targets);
    const std::size_t callsBefore = before.arrivals.size();
    LoadRunner first (std::move (before));
    first.start();
    EXPECT_TRUE (waitUntil (
        [&] { return first.history().size() + first.openCalls() >= callsBefore; }, kTestTimeout));
    EXPECT_TRUE (succeeds (fault));
    // The second half starts only after the fault is in force. On a busy machine overdue calls go
    // out together, and with a single load all of them could be sent before the fault.
    LoadRunner second (std::move (after));
    second.start();
    EXPECT_TRUE (
        waitUntil ([&] { return first.isFinished() && second.isFinished(); }, 2 * kTestTimeout))
        << "calls are open";
    std::vector<CallRecord> history = first.history();
    history.insert (history.end(), second.history().begin(), second.history().end());
    return history;
}

CallRecord FleetTest::repeatAt (const std::string& router, CallRecord first)
{
    first.requestId += "-again";
    EXPECT_TRUE (succeeds (
        [&]() -> base::Result<void>
        {
            BOOST_LEAF_AUTO (address, fleet().httpAddress (router));
            first.router = address.toString();
            readOutcome (callAndWait (requestOf (first, address, kTestTimeout)), first);
            return {};
        }));
    return first;
}

void FleetTest::requireNoViolation (const std::vector<CallRecord>& history,
                                    const CheckOptions& options)
{
    EXPECT_TRUE (waitUntil ([] { return checkIdleRouters (fleet()).empty(); }, kTestTimeout))
        << describe (checkIdleRouters (fleet()));
    EXPECT_TRUE (succeeds (
        [&]() -> base::Result<void>
        {
            BOOST_LEAF_AUTO (ledger, fetchLedgers (fleet()));
            const auto violations = checkHistory (history, ledger, standinAnswerDigest, options);
            EXPECT_TRUE (violations.empty()) << describe (violations);
            return {};
        }));
}

std::vector<LedgerRun> FleetTest::runsAt (const std::string& node)
{
    std::vector<LedgerRun> runs;
    EXPECT_TRUE (succeeds (
        [&]() -> base::Result<void>
        {
            BOOST_LEAF_AUTO (address, fleet().httpAddress (node));
            BOOST_LEAF_ASSIGN (runs, fetchLedger (node, address));
            return {};
        }));
    return runs;
}

std::size_t countUnanswered (const std::vector<CallRecord>& history)
{
    return static_cast<std::size_t> (std::count_if (
        history.begin(), history.end(),
        [] (const CallRecord& call) { return ! call.isAnswerComplete && ! call.isResent; }));
}

std::string describeUnanswered (const std::vector<CallRecord>& history)
{
    std::ostringstream text;
    for (const CallRecord& call : history)
    {
        if (! call.isAnswerComplete)
        {
            text << call.requestId << " at " << call.router << ": " << toString (call.end)
                 << ", status " << call.status << " " << call.errorKind << " " << call.execution
                 << "\n";
        }
    }
    return text.str();
}

}  // namespace fernlift::lab
