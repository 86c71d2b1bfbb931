#pragma once

/// Test fixture: a fleet of real processes with fault proxies, shared by the integration tests of
/// this module.

#include <gtest/gtest.h>

#include <QTemporaryDir>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lab/Fleet.h"
#include "lab/HistoryCheck.h"
#include "lab/LoadRunner.h"
#include "lab/TestSupport.h"

namespace fernlift::lab
{

/// Limit on waits for expected events. It only ends a failed test; no test measures time with it.
inline constexpr base::Duration kTestTimeout = base::seconds (60);

/// Names of the processes and of the model that is loaded on both engines.
inline constexpr const char* kFirstEngine = "engine-1";
inline constexpr const char* kSecondEngine = "engine-2";
inline constexpr const char* kFirstApplication = "portal-1";
inline constexpr const char* kSecondApplication = "portal-2";
inline constexpr const char* kFirstRouter = "router-1";
inline constexpr const char* kSecondRouter = "router-2";
inline constexpr const char* kModel = "small";

/// Repeatable chat calls to a model that is loaded on both engines.
[[nodiscard]] TraceTarget chatTarget();
/// Application calls that must not be repeated; each has an idempotency key.
[[nodiscard]] TraceTarget nonRepeatableTarget();

/// Three controllers, two routers, two engines and two application runners; a fault proxy before
/// each back end and router. One fleet serves all tests of a suite, and each test begins without
/// faults and with idle routers.
class FleetTest : public testing::Test
{
protected:
    static void SetUpTestSuite() { startFleet (true); }
    static void TearDownTestSuite();
    void SetUp() override;
    void TearDown() override;

    /// Action performed while a load runs.
    using Fault = std::function<base::Result<void>()>;

    /// Makes `calls` calls at both routers within about a second, injects the fault after half of
    /// them and waits until every call has ended.
    std::vector<CallRecord> runLoad (std::vector<TraceTarget> targets, std::size_t calls,
                                     const Fault& fault);
    /// Repeats the call `first` at `router` with the same idempotency key and returns its record.
    CallRecord repeatAt (const std::string& router, CallRecord first);
    /// Expects that the history has no violation and that the routers become idle.
    void requireNoViolation (const std::vector<CallRecord>& history,
                             const CheckOptions& options = {});
    /// Returns the runs in the ledger of a back end.
    static std::vector<LedgerRun> runsAt (const std::string& node);

    static Fleet& fleet() { return *runningFleet; }
    /// Starts the fleet. Without proxies, connections to a process that does not run are refused.
    static void startFleet (bool hasProxies);

private:
    static std::unique_ptr<QTemporaryDir> folder;
    static std::unique_ptr<Fleet> runningFleet;
    static int loadCount;
};

/// Counts the calls without a complete answer, except those that were resent to another router.
[[nodiscard]] std::size_t countUnanswered (const std::vector<CallRecord>& history);
/// Formats the calls without a complete answer, one a line, for messages of failed tests.
[[nodiscard]] std::string describeUnanswered (const std::vector<CallRecord>& history);

}  // namespace fernlift::lab
