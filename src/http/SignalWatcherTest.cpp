// Signals that come while a planned stop is under way.

#include <gtest/gtest.h>

#include <csignal>

#include "http/HttpTestSupport.h"
#include "http/SignalWatcher.h"

namespace fernlift::http::test
{
namespace
{

TEST (SignalWatcherTest, FurtherSignalsDoNotBeginPlannedStopAgain)
{
    application();
    int stops = 0;
    int reloads = 0;
    const SignalWatcher watcher ([&] { ++stops; }, [&] { ++reloads; });
    for (const int signal : { SIGTERM, SIGTERM, SIGINT, SIGHUP })
    {
        std::raise (signal);
        runFor (std::chrono::milliseconds (20));
    }
    EXPECT_EQ (stops, 1);
    EXPECT_EQ (reloads, 1);
}

}  // namespace
}  // namespace fernlift::http::test
