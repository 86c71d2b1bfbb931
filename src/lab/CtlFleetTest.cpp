// Tests fernliftctl against a fleet of real processes.

#include <gtest/gtest.h>

#include <QTemporaryDir>
#include <cstdlib>
#include <memory>

#include "lab/Fleet.h"
#include "lab/FleetProbes.h"
#include "lab/HttpCall.h"
#include "lab/TestSupport.h"

namespace fernlift::lab
{
namespace
{

constexpr const char* kRequest = "explained-1";
constexpr const char* kModel = "assistant-small";

std::string environment (const char* name)
{
    const char* const value = std::getenv (name);
    return value == nullptr ? "" : value;
}

HttpOutcome complete (const Fleet& fleet)
{
    HttpRequest request;
    request.address = fleet.httpAddresses (NodeRole::kRouter).front();
    request.path = "/v1/chat/completions";
    request.headers = { { "Content-Type", "application/json" }, { "X-Request-Id", kRequest } };
    request.body = std::string (R"({"model":")") + kModel
                   + R"(","max_tokens":4,"messages":[{"role":"user","content":"hello"}]})";
    return callAndWait (request);
}

void expectCtl (const Fleet& fleet, const std::vector<std::string>& arguments,
                const std::string& expected)
{
    const CtlOutcome outcome = runCtl (fleet, arguments);
    EXPECT_EQ (outcome.exitCode, 0) << testing::PrintToString (arguments) << "\n" << outcome.output;
    EXPECT_NE (outcome.output.find (expected), std::string::npos)
        << testing::PrintToString (arguments) << "\n"
        << outcome.output;
}

TEST (CtlFleetTest, CommandsShowWhatHappenedToARequest)
{
    ensureApplication();
    const QTemporaryDir folder;
    const std::string examples = environment ("FERNLIFT_SOURCE_DIR") + "/examples";
    std::unique_ptr<Fleet> fleet;
    ASSERT_TRUE (succeeds (
        [&]() -> base::Result<void>
        {
            BOOST_LEAF_AUTO (spec, readFleetSpec (examples + "/demo-fleet.toml"));
            spec.timeScale = 0.02;
            fleet = std::make_unique<Fleet> (
                std::move (spec),
                FleetFolders{ environment ("FERNLIFT_BIN_DIR"), folder.path().toStdString() });
            return fleet->start();
        }));
    expectCtl (*fleet, { "apply", examples + "/demo.toml", "--wait" }, "accepted");
    ASSERT_TRUE (succeeds ([&] { return waitForRouters (*fleet, base::seconds (20)); }));
    EXPECT_EQ (complete (*fleet).status, 200);
    expectCtl (*fleet, { "explain", "request", kRequest }, kModel);
    expectCtl (*fleet, { "explain", "model", kModel }, "load");
    expectCtl (*fleet, { "status" }, "router-2");
    expectCtl (*fleet, { "drain", "engine-1" }, "ok");
    expectCtl (*fleet, { "explain", "runner", "engine-1" }, "an operator asked for it");
    EXPECT_TRUE (succeeds ([&] { return fleet->stop(); }));
}

}  // namespace
}  // namespace fernlift::lab
