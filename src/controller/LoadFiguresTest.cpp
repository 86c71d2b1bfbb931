// Processor time of the controllers that distribute the loads of runners, at the size of a large
// deployment: 300 routers at 9 controllers, 3,000 runners, 900 requests a second. Prints the
// figures; no time is asserted.

#include <gtest/gtest.h>

#include <chrono>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "base/Random.h"
#include "cell/RouterMessages.h"
#include "controller/InstanceLoadSum.h"
#include "controller/InstanceLoadTable.h"
#include "controller/RunnerSpeeds.h"
#include "wire/Codec.h"

namespace fernlift::controller
{
namespace
{

using base::milliseconds;

constexpr std::size_t kRouters = 300;
constexpr std::size_t kRelays = 8;
constexpr std::int64_t kRunners = 3000;
constexpr int kSeconds = 5;
constexpr base::Duration kStep = milliseconds (50);
/// Three rows for each of 900 requests a second, in steps of 50 ms: a request starts, its prompt is
/// read, and it ends.
constexpr std::size_t kChangesInStep = 900 * 3 / 20;

/// Sums the elapsed time of calls, in microseconds.
class Stopwatch
{
public:
    template <class Call>
    auto measure (Call call)
    {
        const auto began = std::chrono::steady_clock::now();
        struct Stop
        {
            Stopwatch& watch;
            std::chrono::steady_clock::time_point began;
            ~Stop()
            {
                watch.m_sum += std::chrono::duration<double, std::micro> (
                                   std::chrono::steady_clock::now() - began)
                                   .count();
            }
        } stop{ *this, began };
        return call();
    }
    [[nodiscard]] double millisecondsPerSecond() const { return m_sum / 1000 / kSeconds; }

private:
    double m_sum = 0;
};

std::string runnerId (std::int64_t number) { return "i-" + std::to_string (1'000'000 + number); }

TEST (LoadFigures, PrintsTheCostOfSharingLoadsAtALargeSize)
{
    base::Random random (1);
    std::vector<std::map<std::string, cell::InstanceUse>> routers (kRouters);
    std::vector<InstanceLoadSum> relaySums (kRelays);
    std::vector<InstanceLoadTable> relayTables (kRelays);
    InstanceLoadSum sum;
    InstanceLoadTable table;
    RunnerSpeeds speeds;
    std::uint64_t sent = 0;
    std::vector<std::uint64_t> relayVersionsSent (kRelays);
    Stopwatch relay;
    Stopwatch leader;
    Stopwatch speedUpdates;
    std::size_t bytesToRelay = 0;
    std::size_t bytesToRouter = 0;
    std::size_t updates = 0;
    base::TimePoint now{ base::seconds (100) };
    const base::TimePoint end = now + base::seconds (kSeconds);
    for (; now < end; now += kStep)
    {
        std::map<std::size_t, cell::InstanceLoadReport> reports;
        for (std::size_t change = 0; change < kChangesInStep; ++change)
        {
            const auto router = static_cast<std::size_t> (random.uniformInteger (0, kRouters - 1));
            const std::string instance = runnerId (random.uniformInteger (0, kRunners - 1));
            const auto inFlight = static_cast<std::uint32_t> (random.uniformInteger (0, 3));
            cell::InstanceLoadReport& report = reports[router];
            report.uses.push_back ({ instance, inFlight, inFlight * 3000UL });
            report.paces.push_back (
                { instance, "m" + std::to_string (random.uniformInteger (0, 200)), 3, 80'000 });
            report.slowdowns.push_back ({ instance, 120, 20 });
        }
        for (auto& [router, report] : reports)
        {
            const std::string bytes = wire::encodeMessage (cell::RouterToController (report));
            const std::size_t at = router % kRelays;
            if (at != 0)
            {
                InstanceLoadSum& toSum = relaySums[at];
                toSum.onReport (router, report, now);
                continue;
            }
            relay.measure (
                [&]
                {
                    const auto read = wire::decodeMessage<cell::RouterToController> (bytes);
                    relaySums[0].onReport (router,
                                           std::get<cell::InstanceLoadReport> (read.value()), now);
                });
        }
        for (std::size_t at = 0; at < kRelays; ++at)
        {
            Stopwatch others;
            Stopwatch& watch = at == 0 ? relay : others;
            const auto due = watch.measure ([&] { return relaySums[at].takeDue (now); });
            if (! due)
                continue;
            const std::string bytes = watch.measure (
                [&] { return wire::encodeMessage (cell::RouterToController (*due)); });
            leader.measure (
                [&]
                {
                    const auto read = wire::decodeMessage<cell::RouterToController> (bytes);
                    sum.onReport (at, std::get<cell::InstanceLoadReport> (read.value()), now);
                });
        }
        leader.measure (
            [&]
            {
                if (const auto report = sum.takeDue (now))
                {
                    for (const cell::InstanceSlowdown& slowdown : report->slowdowns)
                        speeds.onReportedWorkTime ({ slowdown.instance, "llm" }, slowdown.percent,
                                                   now);
                    for (const cell::InstancePace& pace : report->paces)
                    {
                        speeds.onPauses ({ pace.instance, "llm" },
                                         { pace.model, pace.pauses, pace.microseconds }, 3);
                    }
                    table.onReport (*report, now);
                }
            });
        speedUpdates.measure (
            [&]
            {
                for (const RunnerSpeeds::Speed& speed : speeds.takeChanged (now))
                    table.setSpeed (speed.instance, speed.percent);
            });
        const std::string update = leader.measure (
            [&] {
                return wire::encodeMessage (
                    cell::ControllerToRouter (table.updateSince (sent, now)));
            });
        sent = table.version();
        ++updates;
        bytesToRelay += update.size();
        relay.measure (
            [&]
            {
                const auto read = wire::decodeMessage<cell::ControllerToRouter> (update);
                relayTables[0].apply (std::get<cell::InstanceLoadUpdate> (read.value()), now);
                const std::string onward = wire::encodeMessage (cell::ControllerToRouter (
                    relayTables[0].updateSince (relayVersionsSent[0], now)));
                bytesToRouter += onward.size();
            });
        relayVersionsSent[0] = relayTables[0].version();
    }
    std::cout << "ms of processor time a second: relay " << relay.millisecondsPerSecond()
              << ", leader " << leader.millisecondsPerSecond() << ", speeds "
              << speedUpdates.millisecondsPerSecond() << "; bytes a second to each relay "
              << bytesToRelay / kSeconds << ", to each router " << bytesToRouter / kSeconds
              << ", in " << updates / kSeconds << " updates\n";
    EXPECT_GT (table.size(), 0U);
}

}  // namespace
}  // namespace fernlift::controller
