#pragma once

/// A fleet with fault proxies that the integration tests of this module share.

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

/// Longest wait for something that must come; no test measures time.
inline constexpr base::Duration kGuard = base::seconds (60);

/// Names of the processes and of the model that is loaded on both engines.
inline constexpr const char* kFirstEngine = "engine-1";
inline constexpr const char* kSecondEngine = "engine-2";
inline constexpr const char* kFirstApplication = "portal-1";
inline constexpr const char* kSecondApplication = "portal-2";
inline constexpr const char* kFirstRouter = "router-1";
inline constexpr const char* kSecondRouter = "router-2";
inline constexpr const char* kModel = "small";

/// Repeatable chat calls of a model that is loaded on both engines.
[[nodiscard]] TraceTarget chatTarget();
/// Application calls that may not be repeated: each has an idempotency key.
[[nodiscard]] TraceTarget onceTarget();

/// Three controllers, two routers, two engines and two application runners; a fault proxy before
/// each back end and router. One fleet serves all tests of a suite: each begins without faults and
/// with idle routers.
class FleetTest : public testing::Test
{
protected:
    static void SetUpTestSuite() { startFleet (true); }
    static void TearDownTestSuite();
    void SetUp() override;
    void TearDown() override;

    /// What is done while a load runs.
    using Fault = std::function<base::Result<void>()>;

    /// Makes `calls` calls at both routers within about a second, brings about the fault in the
    /// middle and waits until every call has ended.
    std::vector<CallRecord> runLoad (std::vector<TraceTarget> targets, std::size_t calls,
                                     const Fault& fault);
    /// Calls with the same idempotency key as `first`, made by its caller again at `router`.
    CallRecord repeatAt (const std::string& router, CallRecord first);
    /// Requires that the history has no violation and that the routers have nothing left.
    void requireNoViolation (const std::vector<CallRecord>& history,
                             const CheckOptions& options = {});
    /// Runs of a back end so far.
    static std::vector<LedgerRun> runsAt (const std::string& node);

    static Fleet& fleet() { return *runningFleet; }
    /// Without proxies, connections to a process that does not run are refused as usual.
    static void startFleet (bool hasProxies);

private:
    static std::unique_ptr<QTemporaryDir> folder;
    static std::unique_ptr<Fleet> runningFleet;
    static int loadCount;
};

/// Calls that were not answered, without those that were made again elsewhere.
[[nodiscard]] std::size_t countUnanswered (const std::vector<CallRecord>& history);
/// One line for each call without a whole answer, for messages of failed tests.
[[nodiscard]] std::string describeUnanswered (const std::vector<CallRecord>& history);

}  // namespace fernlift::lab
