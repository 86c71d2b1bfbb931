// Property: whichever routers of a cell lose their paths to all runners, and however few requests
// they get, their callers are served like those of the other routers from half a second later on,
// and few routers are asked for each request. Plays random cells without a network.
// FERNLIFT_PEER_SEARCH_SEEDS sets the number of seeds, FERNLIFT_PEER_SEARCH_SEED the first one.

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "base/Random.h"
#include "proxy/PathAnnouncements.h"
#include "proxy/PeerSearch.h"
#include "proxy/ProxyTestSupport.h"
#include "proxy/RunnerReachability.h"

namespace fernlift::proxy
{
namespace
{

using base::milliseconds;
using test::numberFrom;

constexpr milliseconds kOneWay (1);
constexpr milliseconds kTick (25);
constexpr milliseconds kWork (5);
constexpr milliseconds kDeadline (1500);
constexpr milliseconds kSilenceLimit (500);  ///< A request that may run twice is then sent again.
constexpr milliseconds kConnectTimeout (250);
constexpr milliseconds kProbeTimeout (200);
/// Routers get lists of groups of this size, as in RouterPeerGroups.
constexpr std::size_t kGroup = 64;
constexpr base::TimePoint kCutAt{ base::seconds (102) };
constexpr base::TimePoint kMeasuredFrom = kCutAt + milliseconds (500);

/// What becomes of the connections of a cut router to the runners.
enum class CutKind : std::uint8_t
{
    kResets,  ///< New and open ones are reset.
    kHangs,   ///< New ones do not open.
    kSilent,  ///< They open and deliver nothing.
};

struct CellShape
{
    std::size_t routers = 0;
    std::size_t zones = 0;
    std::size_t runners = 0;
    double requestsPerSecond = 0;  ///< At each router.
    CutKind kind = CutKind::kResets;
    std::vector<bool> isCut;
};

struct Tally
{
    std::size_t requests = 0;
    std::size_t served = 0;

    [[nodiscard]] double share() const
    {
        return requests == 0 ? 1 : static_cast<double> (served) / static_cast<double> (requests);
    }
};

struct PlayResult
{
    Tally cut;
    Tally others;
    std::size_t forwarded = 0;  ///< Requests that were served by another router.
    std::size_t asked = 0;      ///< Routers that were asked for them.
};

class CellPlay
{
public:
    CellPlay (CellShape shape, std::uint64_t seed) : m_shape (std::move (shape)), m_random (seed)
    {
        for (std::size_t number = 0; number < m_shape.routers; ++number)
            addRouter (number);
        exchangeLists();
    }

    /// Whether each group has a router that is not cut.
    [[nodiscard]] bool hasOpenRouterInEachGroup() const
    {
        std::set<std::size_t> groups;
        std::set<std::size_t> open;
        for (std::size_t number = 0; number < m_shape.routers; ++number)
        {
            groups.insert (groupOf (number));
            if (! m_shape.isCut[number])
                open.insert (groupOf (number));
        }
        return groups == open;
    }

    PlayResult run()
    {
        // Enough for a request at each router, and not more than the play can bear.
        const double perSecond = m_shape.requestsPerSecond * static_cast<double> (m_shape.routers);
        const double seconds = std::clamp (4000 / perSecond, 1.5, 30.0);
        m_end =
            kMeasuredFrom
            + std::chrono::duration_cast<base::Duration> (std::chrono::duration<double> (seconds));
        for (std::size_t number = 0; number < m_shape.routers; ++number)
        {
            const milliseconds phase (m_random.uniformInteger (0, kTick.count() - 1));
            at (m_now + phase, [this, number] { tick (number); });
            scheduleRequest (number);
        }
        while (! m_events.empty() && m_events.top().time <= m_end + kDeadline)
        {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.action();
        }
        return m_result;
    }

private:
    struct Router
    {
        std::string name;
        std::string zone;
        std::unique_ptr<PeerRouters> peers;
        RunnerReachability reachability;
        PathAnnouncements announcements;
    };

    struct Request
    {
        std::size_t router = 0;
        base::TimePoint arrivedAt{};
        bool mayRunTwice = false;
        bool wasResent = false;
        bool isEnded = false;
        PeerSearch search;
        std::size_t asked = 0;
    };
    using RequestPointer = std::shared_ptr<Request>;

    struct Event
    {
        base::TimePoint time;
        std::uint64_t number = 0;
        std::function<void()> action;

        bool operator<(const Event& other) const
        {
            return std::tie (time, number) > std::tie (other.time, other.number);
        }
    };

    void at (base::TimePoint time, std::function<void()> action)
    {
        m_events.push ({ time, m_nextEvent++, std::move (action) });
    }
    void in (base::Duration time, std::function<void()> action)
    {
        at (m_now + time, std::move (action));
    }

    void addRouter (std::size_t number)
    {
        auto router = std::make_unique<Router>();
        router->name = "r" + std::to_string (number);
        router->zone = "z" + std::to_string (number % m_shape.zones);
        router->peers = std::make_unique<PeerRouters> (router->name, router->zone);
        std::vector<std::string> runners;
        for (std::size_t runner = 0; runner < m_shape.runners; ++runner)
            runners.push_back ("i-" + std::to_string (runner));
        router->reachability.setRunners (std::move (runners));
        router->reachability.setRouters (static_cast<std::uint32_t> (m_shape.routers));
        m_routers.push_back (std::move (router));
    }

    [[nodiscard]] std::size_t groupOf (std::size_t number) const
    {
        const std::size_t groups = std::bit_ceil ((m_shape.routers + kGroup - 1) / kGroup);
        return std::hash<std::string>() (m_routers[number]->name) % groups;
    }

    void exchangeLists()
    {
        std::map<std::size_t, cell::RouterPeers> lists;
        for (std::size_t number = 0; number < m_routers.size(); ++number)
        {
            const Router& router = *m_routers[number];
            lists[groupOf (number)].peers.push_back (
                { router.name, router.zone, "10.0.0.1:70", number });
        }
        for (std::size_t number = 0; number < m_routers.size(); ++number)
            m_routers[number]->peers->apply (lists[groupOf (number)], m_now);
    }

    [[nodiscard]] bool isCut (std::size_t number) const
    {
        return m_now >= kCutAt && m_shape.isCut[number];
    }

    void tick (std::size_t number)
    {
        sendProbes (number);
        announce (number);
        if (m_now < m_end)
            in (kTick, [this, number] { tick (number); });
    }

    void sendProbes (std::size_t number)
    {
        RunnerReachability& reachability = m_routers[number]->reachability;
        for (const std::string& runner : reachability.takeProbes (m_now, m_random))
            probe (number, runner);
    }

    void probe (std::size_t number, const std::string& runner)
    {
        const auto end = [this, number, runner] (bool isAnswered, bool isSilent)
        {
            Router& router = *m_routers[number];
            if (isAnswered)
                router.reachability.onConnected (runner, m_now);
            else if (isSilent)
                router.reachability.onProbeUnanswered (runner, kProbeTimeout, m_now);
            else
                router.reachability.onConnectFailed (runner, m_now);
            if (! isAnswered)
                announceDoubt (number);
            announce (number);
        };
        if (! isCut (number))
            in (2 * kOneWay, [end] { end (true, false); });
        else if (m_shape.kind == CutKind::kResets)
            in (kOneWay, [end] { end (false, false); });
        else
            in (kProbeTimeout, [this, end] { end (false, m_shape.kind == CutKind::kSilent); });
    }

    void announce (std::size_t number)
    {
        Router& router = *m_routers[number];
        send (number, router.announcements.takeDue (router.reachability, m_now));
    }

    void announceDoubt (std::size_t number)
    {
        Router& router = *m_routers[number];
        send (number, router.announcements.takeDoubt (router.reachability, m_now));
    }

    void send (std::size_t number, std::optional<PeerPath> path)
    {
        if (! path)
            return;
        forPeers (number, [this, path = *path, from = m_routers[number]->name] (std::size_t peer)
                  { receive (peer, from, path); });
    }

    void receive (std::size_t number, const std::string& from, PeerPath path)
    {
        Router& router = *m_routers[number];
        if (applyPathNotice (*router.peers, router.reachability, from, path, m_now))
            sendProbes (number);
    }

    /// Calls `deliver` for each other router of the group, after the time that a notice takes over
    /// a new connection.
    void forPeers (std::size_t number, const std::function<void (std::size_t peer)>& deliver)
    {
        for (std::size_t other = 0; other < m_routers.size(); ++other)
        {
            if (other != number && groupOf (other) == groupOf (number))
                in (3 * kOneWay, [this, other, deliver] { deliver (other); });
        }
    }

    void scheduleRequest (std::size_t number)
    {
        const double seconds = -std::log (1 - m_random.uniformReal()) / m_shape.requestsPerSecond;
        in (std::chrono::duration_cast<base::Duration> (std::chrono::duration<double> (seconds)),
            [this, number]
            {
                if (m_now > m_end)
                    return;
                auto request = std::make_shared<Request>();
                request->router = number;
                request->arrivedAt = m_now;
                request->mayRunTwice = m_random.uniformReal() < 0.5;
                in (kDeadline, [this, request] { finish (request, false); });
                dispatch (request);
                scheduleRequest (number);
            });
    }

    void finish (const RequestPointer& request, bool isServed)
    {
        if (std::exchange (request->isEnded, true) || request->arrivedAt < kMeasuredFrom)
            return;
        Tally& tally = m_shape.isCut[request->router] ? m_result.cut : m_result.others;
        ++tally.requests;
        tally.served += isServed ? 1 : 0;
        if (request->asked > 0)
            ++m_result.forwarded;
        m_result.asked += request->asked;
    }

    void dispatch (const RequestPointer& request)
    {
        if (request->isEnded)
            return;
        Router& router = *m_routers[request->router];
        if (router.reachability.mustForward (m_random.uniformReal(), m_now))
            forward (request);
        else
            attempt (request->router, request,
                     [this, request] (AttemptResult outcome) { onAttemptEnd (request, outcome); });
    }

    enum class AttemptResult : std::uint8_t
    {
        kServed,
        kNotSent,
        kLost,
    };
    using OnAttemptEnd = std::function<void (AttemptResult outcome)>;

    void attempt (std::size_t number, const RequestPointer& request, const OnAttemptEnd& onEnd)
    {
        RunnerReachability& reachability = m_routers[number]->reachability;
        reachability.onAttemptBegin (m_now);
        if (! isCut (number))
        {
            in (2 * kOneWay + kWork,
                [this, number, onEnd]
                {
                    RunnerReachability& ended = m_routers[number]->reachability;
                    ended.onBytes (m_now);
                    ended.onAttemptEnd();
                    onEnd (AttemptResult::kServed);
                });
        }
        else if (m_shape.kind == CutKind::kSilent)
        {
            in (request->mayRunTwice ? kSilenceLimit : kDeadline,
                [this, number, onEnd]
                {
                    m_routers[number]->reachability.onAttemptEnd();
                    onEnd (AttemptResult::kLost);
                });
        }
        else
        {
            const std::string runner = "i-" + std::to_string (m_random.bits() % m_shape.runners);
            in (m_shape.kind == CutKind::kResets ? kOneWay : kConnectTimeout,
                [this, number, runner, onEnd]
                {
                    RunnerReachability& failed = m_routers[number]->reachability;
                    failed.onConnectFailed (runner, m_now);
                    failed.onAttemptEnd();
                    announce (number);
                    onEnd (AttemptResult::kNotSent);
                });
        }
    }

    void onAttemptEnd (const RequestPointer& request, AttemptResult outcome)
    {
        const bool isResent = outcome == AttemptResult::kLost && request->mayRunTwice
                              && ! std::exchange (request->wasResent, true);
        if (outcome == AttemptResult::kNotSent || isResent)
            dispatch (request);
        else
            finish (request, outcome == AttemptResult::kServed);
    }

    void forward (const RequestPointer& request)
    {
        PeerRouters& peers = *m_routers[request->router]->peers;
        const std::optional<PeerChoice> peer = request->search.next (
            peers, "service", m_random.uniformReal(), m_now, request->arrivedAt + kDeadline);
        if (! peer)
        {
            finish (request, false);
            return;
        }
        ++request->asked;
        peers.onBegin (peer->router);
        const std::size_t number = peer->key;
        in (kOneWay, [this, request, number] { serve (request, number); });
    }

    void serve (const RequestPointer& request, std::size_t number)
    {
        if (m_routers[number]->reachability.path (m_now) != RunnerPath::kOpen)
        {
            in (kOneWay, [this, request, number] { onDeclined (request, number); });
            return;
        }
        attempt (number, request,
                 [this, request, number] (AttemptResult outcome)
                 {
                     if (outcome == AttemptResult::kNotSent)
                         serve (request, number);
                     else
                         in (kOneWay, [this, request, number, outcome]
                             { onPeerEnd (request, number, outcome); });
                 });
    }

    void onDeclined (const RequestPointer& request, std::size_t number)
    {
        PeerRouters& peers = *m_routers[request->router]->peers;
        const std::string& name = m_routers[number]->name;
        peers.onEnd (name);
        request->search.onDeclined (peers, name, PeerDecline::kIsolated, "service", m_now);
        dispatch (request);
    }

    void onPeerEnd (const RequestPointer& request, std::size_t number, AttemptResult outcome)
    {
        PeerRouters& peers = *m_routers[request->router]->peers;
        const std::string& name = m_routers[number]->name;
        peers.onEnd (name);
        if (outcome == AttemptResult::kServed)
            peers.onServing (name, m_now);
        else
            request->search.onDeclined (peers, name, PeerDecline::kFailed, "service", m_now);
        onAttemptEnd (request, outcome);
    }

    CellShape m_shape;
    base::Random m_random;
    base::TimePoint m_now{ base::seconds (100) };
    base::TimePoint m_end{};
    std::uint64_t m_nextEvent = 0;
    std::priority_queue<Event> m_events;
    std::vector<std::unique_ptr<Router>> m_routers;
    PlayResult m_result;
};

/// Which routers are cut: whole zones, all but one router, or any.
std::vector<bool> drawCut (const CellShape& shape, base::Random& random)
{
    std::vector<bool> isCut (shape.routers, false);
    const double way = random.uniformReal();
    if (way < 0.5 && shape.zones > 1)
    {
        const auto zones = random.uniformInteger (1, static_cast<std::int64_t> (shape.zones) - 1);
        for (std::size_t router = 0; router < shape.routers; ++router)
            isCut[router] = static_cast<std::int64_t> (router % shape.zones) < zones;
        return isCut;
    }
    const double share = way < 0.7 ? 1 : random.uniformReal();
    for (std::size_t router = 1; router < shape.routers; ++router)
        isCut[router] = random.uniformReal() < share;
    return isCut;
}

CellShape drawCell (base::Random& random)
{
    CellShape shape;
    const auto drawLogarithmic = [&] (double low, double high)
    { return low * std::pow (high / low, random.uniformReal()); };
    shape.routers = static_cast<std::size_t> (drawLogarithmic (2, 301));
    shape.zones = static_cast<std::size_t> (random.uniformInteger (
        1, std::min<std::int64_t> (6, static_cast<std::int64_t> (shape.routers))));
    shape.runners = static_cast<std::size_t> (random.uniformInteger (3, 40));
    shape.requestsPerSecond = drawLogarithmic (0.05, 100);
    constexpr std::array kKinds{ CutKind::kResets, CutKind::kHangs, CutKind::kSilent };
    shape.kind = kKinds[random.bits() % kKinds.size()];
    shape.isCut = drawCut (shape, random);
    return shape;
}

std::string toString (CutKind kind)
{
    switch (kind)
    {
        case CutKind::kResets:
            return "resets";
        case CutKind::kHangs:
            return "hangs";
        case CutKind::kSilent:
            return "silent";
    }
    return "";
}

std::string describe (const CellShape& shape, std::uint64_t seed)
{
    return "seed " + std::to_string (seed) + ": " + std::to_string (shape.routers) + " routers, "
           + std::to_string (std::ranges::count (shape.isCut, true)) + " cut, "
           + std::to_string (shape.zones) + " zones, " + std::to_string (shape.requestsPerSecond)
           + " requests a second each, " + toString (shape.kind);
}

/// Plays drawn cells for which `isWanted` holds and checks what their callers got.
void playCells (std::uint64_t seeds, const std::function<bool (const CellPlay& play)>& isWanted)
{
    constexpr double kMinShare = 0.99;
    constexpr double kMaxAsked = 1.5;
    const std::uint64_t first = numberFrom ("FERNLIFT_PEER_SEARCH_SEED", 1);
    for (std::uint64_t seed = first; seed < first + seeds; ++seed)
    {
        base::Random random (seed);
        const CellShape shape = drawCell (random);
        CellPlay play (shape, seed);
        if (! isWanted (play))
            continue;
        const PlayResult result = play.run();
        EXPECT_GE (result.cut.share(), kMinShare * result.others.share())
            << describe (shape, seed) << ": served " << result.cut.served << " of "
            << result.cut.requests << ", the others " << result.others.served << " of "
            << result.others.requests;
        EXPECT_LT (static_cast<double> (result.asked),
                   kMaxAsked * static_cast<double> (std::max<std::size_t> (result.forwarded, 1)))
            << describe (shape, seed);
    }
}

TEST (PeerSearchBoundTest, CutRoutersServeLikeTheOthersAndAskFew)
{
    playCells (numberFrom ("FERNLIFT_PEER_SEARCH_SEEDS", 60),
               [] (const CellPlay& play) { return play.hasOpenRouterInEachGroup(); });
}

// Routers know only those of their group, which may all be cut.
TEST (PeerSearchBoundTest, RoutersWhoseWholeGroupIsCutServeLikeTheOthers)
{
    playCells (numberFrom ("FERNLIFT_PEER_SEARCH_SEEDS", 60),
               [] (const CellPlay& play) { return ! play.hasOpenRouterInEachGroup(); });
}

}  // namespace
}  // namespace fernlift::proxy
