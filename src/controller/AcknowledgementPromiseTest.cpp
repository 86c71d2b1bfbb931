// Guarantees of an acknowledgement under random faults: once a configuration is acknowledged, no
// router serves under an earlier one; once a drain is acknowledged, no router with a lease treats
// the runner as ready. Each seed is one run of a cell with overlapping network cuts, kills,
// freezes, disconnected routers and changes. Routers are served by the leader alone, or by every
// controller on behalf of the leader.

#include <gtest/gtest.h>

#include <cstdlib>
#include <set>
#include <string>

#include "base/Random.h"
#include "controller/ControllerCore.h"
#include "controller/TestCell.h"

namespace fernlift::controller
{
namespace
{

using test::TestCell;
using test::TestRouter;

constexpr std::size_t kControllers = 5;
constexpr std::size_t kRouters = 4;
constexpr int kSteps = 120;
constexpr std::uint64_t kSeedsInCi = 150;

enum class Serving : std::uint8_t
{
    kLeader,           ///< Routers take their leases from the leader.
    kEveryController,  ///< Routers take leases from any controller, which has one from the leader.
};

/// One run; `violation` describes the guarantee that was broken, if any.
class PromiseRun
{
public:
    PromiseRun (std::uint64_t seed, Serving serving)
        : m_random (seed), m_cell (options (seed)), m_serving (serving)
    {
        for (std::size_t number = 0; number < kRouters; ++number)
            m_cell.router (number).acceptsLastKnownState = serving == Serving::kEveryController;
        m_cell.onStep = [this] { checkPromises(); };
    }

    void run()
    {
        m_cell.awaitLeader();
        if (m_serving == Serving::kEveryController)
            spreadRouters();
        for (int step = 0; step < kSteps && violation.empty(); ++step)
        {
            applyRandomEvent();
            m_cell.run (base::milliseconds (m_random.uniformInteger (5, 400)));
        }
    }

    std::string violation;
    std::uint64_t acknowledged = 0;  ///< Highest acknowledged version.
    std::set<std::string> drained;   ///< Instances whose drain is acknowledged.

private:
    /// Spreads the routers over all controllers that are alive.
    void spreadRouters()
    {
        for (std::size_t number = 0; number < kRouters; ++number)
        {
            const base::MemberId member = number % kControllers + 1;
            if (m_cell.isAlive (member))
                m_cell.reconnect (number, member);
        }
    }

    static TestCell::Options options (std::uint64_t seed)
    {
        TestCell::Options options = test::testOptions();
        options.controllers = kControllers;
        options.routers = kRouters;
        options.seed = seed;
        options.controller.catalogueParser = &test::parseVersion;
        options.controller.hasMachineList = false;
        return options;
    }

    base::MemberId anyMember() { return m_random.uniformInteger (1, kControllers); }
    TestRouter& anyRouter() { return m_cell.router (m_random.uniformInteger (0, kRouters - 1)); }

    void applyRandomEvent()
    {
        switch (m_random.uniformInteger (0, 11))
        {
            case 0:
                toggleAlive();
                break;
            case 1:
                m_cell.isolate (anyMember(), m_random.uniformInteger (0, 1) == 0);
                break;
            case 2:
                m_cell.freeze (anyMember(), m_random.uniformInteger (0, 2) == 0);
                break;
            case 3:
            case 4:
                anyRouter().isCut = m_random.uniformInteger (0, 1) == 0;
                break;
            case 5:
                reconnectOne();
                break;
            case 6:
                drainOne();
                break;
            case 7:
                registerOne();
                break;
            default:
                replaceConfiguration();
                break;
        }
    }

    void toggleAlive()
    {
        const base::MemberId member = anyMember();
        if (m_cell.isAlive (member))
            m_cell.kill (member);
        else
            m_cell.restart (member);
    }

    void reconnectOne()
    {
        const base::MemberId member = anyMember();
        const std::size_t router = m_random.uniformInteger (0, kRouters - 1);
        if (m_cell.isAlive (member) && ! m_cell.router (router).isCut)
            m_cell.reconnect (router, member);
    }

    /// Sends the request to the leader, or to any member without one, as an operator or a runner
    /// would. Returns whether it is done within a random timeout; the answer may never arrive.
    bool isDone (ControlRequest request)
    {
        const base::MemberId member = m_cell.leader() != 0 ? m_cell.leader() : anyMember();
        if (! m_cell.isAlive (member))
            return false;
        const base::Duration timeout = base::milliseconds (m_random.uniformInteger (50, 3000));
        const auto answer = m_cell.sendControlRequest (member, std::move (request), timeout);
        return answer && answer->verdict == ControlVerdict::kDone;
    }

    void replaceConfiguration()
    {
        const std::uint64_t version = ++m_version;
        if (isDone (ReplaceConfiguration{ std::to_string (version) + " " }))
            acknowledged = std::max (acknowledged, version);
    }

    InstanceHeartbeat heartbeatOf (std::uint64_t number)
    {
        InstanceHeartbeat heartbeat;
        heartbeat.instance.id = "i-" + std::to_string (number);
        heartbeat.instance.service = "llm";
        heartbeat.instance.address = "10.0.0.1:" + std::to_string (number);
        heartbeat.sequence = ++m_sequence;
        return heartbeat;
    }

    void registerOne() { isDone (heartbeatOf (++m_instances)); }

    void drainOne()
    {
        if (m_instances == 0)
            return;
        InstanceHeartbeat heartbeat = heartbeatOf (m_random.uniformInteger (1, m_instances));
        heartbeat.instance.isDraining = true;
        if (isDone (heartbeat))
            drained.insert (heartbeat.instance.id);
    }

    void checkPromises()
    {
        for (std::size_t number = 0; number < kRouters && violation.empty(); ++number)
        {
            const TestRouter& router = m_cell.router (number);
            if (! router.admits (m_cell.now()))
                continue;
            if (router.configurationVersion < acknowledged)
            {
                violation = "router " + std::to_string (number) + " serves under "
                            + std::to_string (router.configurationVersion) + " after "
                            + std::to_string (acknowledged) + " was acknowledged";
            }
            for (const std::string& id : drained)
            {
                const auto row = router.instances.find (id);
                if (row != router.instances.end() && ! row->second.instance.isDraining)
                    violation = "router " + std::to_string (number) + " may send to " + id;
            }
        }
    }

    base::Random m_random;
    TestCell m_cell;
    Serving m_serving;
    std::uint64_t m_version = 0;
    std::uint64_t m_instances = 0;
    std::uint64_t m_sequence = 0;
};

/// Number of seeds to run: kSeedsInCi, or the value of FERNLIFT_SEEDS if set.
std::uint64_t seedsToRun()
{
    const char* const text = std::getenv ("FERNLIFT_SEEDS");
    return text == nullptr ? kSeedsInCi : std::stoull (text);
}

void runSeeds (Serving serving)
{
    std::uint64_t acknowledged = 0;
    std::size_t drained = 0;
    for (std::uint64_t seed = 1; seed <= seedsToRun(); ++seed)
    {
        PromiseRun run (seed, serving);
        run.run();
        EXPECT_EQ (run.violation, "") << "seed " << seed;
        acknowledged += run.acknowledged > 0 ? 1 : 0;
        drained += run.drained.size();
    }
    EXPECT_GT (acknowledged, seedsToRun() / 2) << "most runs should acknowledge a change";
    EXPECT_GT (drained, seedsToRun() / 2);
}

TEST (AcknowledgementPromiseTest, HoldsUnderRandomFaults) { runSeeds (Serving::kLeader); }

TEST (AcknowledgementPromiseTest, HoldsWhereEveryControllerServesRouters)
{
    runSeeds (Serving::kEveryController);
}

}  // namespace
}  // namespace fernlift::controller
