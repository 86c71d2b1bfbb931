// Property: whatever routers and controllers restart, and whichever software versions come, leave
// and come back, a router never lets a stream go on at another version than the one that began it,
// unless a message was lost; and streams whose version still has runners go on, also after all
// routers were killed. Plays drawn histories without a network. FERNLIFT_HISTORY_FIRST_SEED and
// FERNLIFT_HISTORY_SEEDS set the seeds.

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/Random.h"
#include "cell/SoftwareVersionHistory.h"
#include "cell/StreamVersions.h"
#include "proxy/ProxyTestSupport.h"
#include "proxy/StreamPage.h"
#include "proxy/StreamPin.h"
#include "proxy/StreamRecorder.h"

namespace fernlift::proxy::test
{
namespace
{

using base::Duration;
using base::milliseconds;
using base::seconds;
using base::TimePoint;

constexpr Duration kStep = milliseconds (20);
constexpr Duration kPlayTime = seconds (60);
constexpr Duration kLeaseInterval = milliseconds (700);
/// Time after which the other routers have the address of a router that has started.
constexpr Duration kJoinDelay = milliseconds (300);
/// Time after which they drop a router that is cut off from the controllers.
constexpr Duration kPeerLifetime = seconds (10);
constexpr std::size_t kMaxGroup = 64;
constexpr int kMaxTries = 2;
constexpr Duration kRetryAfter = milliseconds (100);
constexpr std::size_t kMaxMixed = 2;
/// Time after which the controllers have a stream that was announced.
constexpr Duration kRecordTime = milliseconds (300);
constexpr Duration kMaxLookupWait = seconds (3);
constexpr std::size_t kGoOnPercent = 95;
const std::string kService = "service";

/// Faults that the property has to find.
enum class PlantedFault : std::uint8_t
{
    kNone,
    kForgetsPast,     ///< A router takes its own start for the beginning of the service.
    kFetchesNothing,  ///< A router that joins asks no other one and no controller for streams.
    kRecordsNothing,  ///< Routers do not record streams at the controllers.
};

struct Runner
{
    std::string id;
    std::string version;
    bool isRegistered = true;
    TimePoint endsAt = TimePoint::max();
};

struct PlayedRouter
{
    std::string name;
    std::size_t group = 0;
    bool isUp = true;
    TimePoint startedAt{};
    TimePoint cutUntil{};      ///< Cut off from the controllers until then.
    TimePoint controlledAt{};  ///< Last message of a controller.
    Duration tableLag{};
    TimePoint nextLeaseAt{};
    std::vector<TimePoint> fetchesAt;
    std::uint64_t tableVersion = 0;
    std::map<std::string, std::string> table;  ///< Version of each runner.
    SoftwareVersions versions;
    cell::StreamVersions streams;
    StreamRecorder recorder;
};

struct PlayedStream
{
    std::string key;
    std::string version;
    std::size_t runner = 0;
    std::size_t router = 0;
    bool isAnnounced = false;
    TimePoint begunAt{};
    TimePoint callerLeavesAt{};
    bool isAtNewRouter = false;  ///< First resumed at a router that started after the stream began,
                                 ///< while versions are mixed.
    int tries = 0;
    TimePoint waitsSince{};  ///< Begin of the wait for a lookup; a default time point without one.
    bool isOnlyAtControllers = false;
    bool hadChance = false;  ///< A router that could let it go on was up at the first try.
};

struct Tally
{
    std::size_t streams = 0;
    std::size_t mixed = 0;
    std::size_t resumable = 0;  ///< Resumed ones of a version that serves and that a router knew.
    std::size_t wentOn = 0;
    std::size_t atNewRouter = 0;  ///< Those first resumed at a router that had just started.
    std::size_t wentOnAtNewRouter = 0;
    std::size_t onlyAtControllers = 0;  ///< Resumable ones that no router knew any more.
    std::size_t wentOnByControllers = 0;
};

class HistoryPlay
{
public:
    HistoryPlay (std::uint64_t seed, PlantedFault fault) : m_random (seed), m_fault (fault)
    {
        m_hasLoss = chance (0.3);
        m_hasEarlierControllers = chance (0.15);
        m_versions = number (1, 3);
        m_timeout = seconds (std::vector<int>{ 1, 5, 15, 60, 300 }[number (0, 4)]);
        const std::size_t routers = chance (0.1) ? number (65, 130) : number (2, 12);
        for (std::size_t each = 0; each < routers; ++each)
        {
            m_routers.push_back (std::make_unique<PlayedRouter>());
            m_routers.back()->name = "router-" + std::to_string (each);
            m_routers.back()->group = each / kMaxGroup;
            start (*m_routers.back());
        }
        for (int each = 0; each < 3; ++each)
            addRunner ("v1");
    }

    Tally play()
    {
        while (m_now < m_begin + kPlayTime)
        {
            m_now += kStep;
            deliver();
            for (const auto& router : m_routers)
                serve (*router);
            if (chance (0.02))
                fail();
            if (chance (0.01))
                changeRunners();
            if (chance (0.2))
                beginStream();
            visitStreams();
        }
        return m_tally;
    }

    /// Whether notices are lost or late.
    [[nodiscard]] bool hasLoss() const { return m_hasLoss; }

private:
    bool chance (double probability) { return m_random.uniformReal() < probability; }
    std::size_t number (std::int64_t first, std::int64_t last)
    {
        return static_cast<std::size_t> (m_random.uniformInteger (first, last));
    }
    Duration between (int first, int last)
    {
        return milliseconds (m_random.uniformInteger (first, last));
    }
    [[nodiscard]] std::int64_t time() const
    {
        return base::toMilliseconds (m_now.time_since_epoch());
    }
    [[nodiscard]] Duration lifetime() const { return 2 * m_timeout; }

    // The cell.
    void addRunner (const std::string& version)
    {
        m_runners.push_back ({ "i-" + std::to_string (m_runners.size()), version });
        cell::ServiceInstance instance;
        instance.id = m_runners.back().id;
        instance.service = kService;
        m_history.record (instance, version, time());
        ++m_tableVersion;
    }
    void removeRunner (Runner& runner)
    {
        runner.isRegistered = false;
        runner.endsAt = m_now + between (0, 6000);
        m_history.remove (runner.id, time());
        ++m_tableVersion;
    }
    /// A release replaces all runners of one version; else one comes or leaves.
    void changeRunners()
    {
        const std::string version =
            "v" + std::to_string (number (1, static_cast<int> (m_versions)));
        if (m_now < m_controllersBackAt)
            return;
        std::vector<Runner*> registered;
        for (Runner& runner : m_runners)
        {
            if (runner.isRegistered)
                registered.push_back (&runner);
        }
        if (registered.size() > 4 || chance (0.4))
        {
            const std::string leaving =
                registered[number (0, std::ssize (registered) - 1)]->version;
            const bool isRelease = chance (0.5);
            for (Runner* runner : registered)
            {
                if (runner->version != leaving)
                    continue;
                removeRunner (*runner);
                if (! isRelease)
                    break;
            }
        }
        addRunner (version);
    }
    [[nodiscard]] cell::SoftwareHistory statedHistory() const
    {
        if (m_hasEarlierControllers)
            return {};
        return m_history.statedAt (time());
    }

    // Routers.
    void start (PlayedRouter& router)
    {
        router.isUp = true;
        router.startedAt = m_now;
        router.controlledAt = m_now;
        router.tableLag = between (20, 300);
        router.nextLeaseAt = m_now + between (20, 300);
        router.tableVersion = 0;
        router.table.clear();
        router.versions = {};
        router.streams = {};
        router.recorder = {};
        router.fetchesAt.clear();
        if (m_fault != PlantedFault::kFetchesNothing)
            router.fetchesAt = { m_now + kJoinDelay, m_now + kJoinDelay + seconds (2) };
        if (m_fault == PlantedFault::kForgetsPast)
            router.versions.onHistory ({ cell::SoftwareHistory::kWholePast, {} }, m_now);
    }
    void kill (PlayedRouter& router)
    {
        router.isUp = false;
        later (between (50, 1500), [this, &router] { start (router); });
    }
    [[nodiscard]] bool isControlled (const PlayedRouter& router) const
    {
        return m_now >= router.cutUntil && m_now >= m_controllersBackAt;
    }
    void serve (PlayedRouter& router)
    {
        if (! router.isUp)
            return;
        if (isControlled (router) && m_now >= router.nextLeaseAt)
        {
            router.nextLeaseAt = m_now + kLeaseInterval;
            router.controlledAt = m_now;
            if (router.tableVersion != 0 && router.versions.onLease (m_now)
                && router.startedAt < m_now - seconds (3) && m_fault == PlantedFault::kNone)
                router.fetchesAt = { m_now + kJoinDelay, m_now + kJoinDelay + seconds (2) };
        }
        if (isControlled (router) && router.tableVersion != m_tableVersion)
            sendTable (router);
        while (! router.fetchesAt.empty() && m_now >= router.fetchesAt.front())
        {
            router.fetchesAt.erase (router.fetchesAt.begin());
            fetch (router);
        }
        exchangeStreams (router);
    }
    /// Records streams at the controllers and looks others up there.
    void exchangeStreams (PlayedRouter& router)
    {
        const bool isSupported = isControlled (router) && ! m_hasEarlierControllers
                                 && m_fault != PlantedFault::kFetchesNothing;
        if (! isSupported)
        {
            router.recorder.onLinkLost();
            return;
        }
        router.recorder.onSupported();
        router.recorder.expire (m_now);
        if (auto records = router.recorder.takeRecords (m_now))
        {
            later (between (1, 20),
                   [this, records = std::move (*records)]
                   {
                       for (const StreamNotice& stream : records.streams)
                           m_recorded.record (stream, m_now);
                   });
        }
        if (auto lookup = router.recorder.takeLookup())
        {
            later (between (1, 40),
                   [this, &router, startedAt = router.startedAt, lookup = std::move (*lookup)]
                   {
                       if (router.isUp && router.startedAt == startedAt)
                           reply (router, lookup);
                   });
        }
    }
    void reply (PlayedRouter& router, const cell::StreamLookup& lookup)
    {
        cell::StreamLookupReply reply{ lookup.sequence, {} };
        for (const std::string& key : lookup.keys)
        {
            if (auto stream = m_recorded.findNotice (key, m_now))
                reply.streams.push_back (std::move (*stream));
        }
        router.recorder.onReply (reply, router.streams, m_now);
    }
    /// Notes that the controllers have to know the stream from some time later on.
    void expectRecord (const PlayedRouter& router, const PlayedStream& stream)
    {
        if (! isControlled (router) || m_hasEarlierControllers)
            return;
        const std::size_t controllerStarts = m_controllerStarts;
        later (kRecordTime,
               [this, &router, startedAt = router.startedAt, controllerStarts, key = stream.key,
                version = stream.version]
               {
                   const bool isSame = router.isUp && router.startedAt == startedAt
                                       && controllerStarts == m_controllerStarts;
                   if (isSame && isControlled (router))
                       m_expected.record (key, version, m_now + lifetime() - kRecordTime);
               });
    }
    /// The table arrives as it is now, some time later.
    void sendTable (PlayedRouter& router)
    {
        router.tableVersion = m_tableVersion;
        std::map<std::string, std::string> rows;
        for (const Runner& runner : m_runners)
        {
            if (runner.isRegistered)
                rows[runner.id] = runner.version;
        }
        cell::SoftwareHistory history = statedHistory();
        const TimePoint sentAt = m_now;
        const TimePoint startedAt = router.startedAt;
        later (router.tableLag,
               [this, &router, rows = std::move (rows), history = std::move (history), sentAt,
                startedAt]
               {
                   if (router.isUp && router.startedAt == startedAt)
                       applyTable (router, rows, history.aged (m_now - sentAt));
               });
    }
    void applyTable (PlayedRouter& router, const std::map<std::string, std::string>& rows,
                     const cell::SoftwareHistory& history)
    {
        for (const auto& [id, version] : router.table)
        {
            if (! rows.contains (id))
                router.versions.remove (kService, version, m_now);
        }
        for (const auto& [id, version] : rows)
        {
            if (! router.table.contains (id))
                router.versions.add (kService, version);
        }
        router.table = rows;
        if (m_fault != PlantedFault::kForgetsPast)
            router.versions.onHistory (history, m_now);
        else
            router.versions.onHistory ({ cell::SoftwareHistory::kWholePast, {} }, m_now);
    }
    /// Whether the other routers have the address of this one.
    [[nodiscard]] bool isKnown (const PlayedRouter& router) const
    {
        return router.isUp && m_now >= router.startedAt + kJoinDelay
               && m_now - router.controlledAt < kPeerLifetime;
    }
    void fetch (PlayedRouter& router)
    {
        std::vector<PlayedRouter*> others;
        for (const auto& other : m_routers)
        {
            if (other.get() != &router && other->group == router.group && isKnown (*other))
                others.push_back (other.get());
        }
        for (std::size_t asked = 0; asked < 2 && ! others.empty(); ++asked)
        {
            const std::size_t index = number (0, std::ssize (others) - 1);
            copyStreams (*others[index], router);
            others.erase (others.begin() + static_cast<std::ptrdiff_t> (index));
        }
    }
    void copyStreams (const PlayedRouter& from, PlayedRouter& to)
    {
        std::string after;
        while (true)
        {
            const auto page = from.streams.listAfter (after, kStreamsPerPage, m_now);
            for (const StreamNotice& stream : page)
                to.streams.record (stream, m_now);
            if (page.size() < kStreamsPerPage)
                return;
            after = page.back().key;
        }
    }
    void announce (PlayedRouter& router, PlayedStream& stream)
    {
        if (stream.isAnnounced || ! needsNotice (inUse (router)))
            return;
        stream.isAnnounced = true;
        router.streams.record (stream.key, stream.version, m_now + lifetime());
        if (m_fault != PlantedFault::kRecordsNothing)
            router.recorder.record ({ stream.key, stream.version, lifetime() });
        expectRecord (router, stream);
        for (const auto& other : m_routers)
        {
            if (other.get() == &router || other->group != router.group || ! isKnown (*other))
                continue;
            if (m_hasLoss && chance (0.05))
                continue;
            const Duration delay = m_hasLoss ? between (1, 400) : between (1, 20);
            const TimePoint startedAt = other->startedAt;
            later (
                delay,
                [this, other = other.get(), startedAt, key = stream.key, version = stream.version]
                {
                    if (other->isUp && other->startedAt == startedAt)
                        other->streams.record (key, version, m_now + lifetime());
                });
        }
    }
    [[nodiscard]] SoftwareVersionsInUse inUse (const PlayedRouter& router) const
    {
        return router.versions.inUseSince (kService, m_now - lifetime(), m_now);
    }
    /// Kills, cuts and planned restarts, of one or all, of routers and controllers.
    void fail()
    {
        PlayedRouter& one = *m_routers[number (0, std::ssize (m_routers) - 1)];
        switch (number (0, 6))
        {
            case 0:
            case 1:
            case 2:
                if (one.isUp)
                    kill (one);
                break;
            case 3:
                one.cutUntil = m_now + between (200, 15'000);
                break;
            case 4:
                m_controllersBackAt = m_now + between (200, 3000);
                break;
            case 5:
                if (chance (0.5))
                    killAll();
                break;
            default:
                if (chance (0.2))
                    m_controllersBackAt = m_now + between (3000, 12'000);
        }
    }
    void killAll()
    {
        for (const auto& router : m_routers)
        {
            if (router->isUp)
                kill (*router);
        }
        if (chance (0.5))
            killControllers();
    }
    void killControllers()
    {
        m_controllersBackAt = m_now + between (200, 3000);
        ++m_controllerStarts;
        m_recorded = {};
        m_expected = {};
    }

    // Callers.
    void beginStream()
    {
        const std::size_t at = number (0, std::ssize (m_routers) - 1);
        PlayedRouter& router = *m_routers[at];
        if (! router.isUp || router.table.empty())
            return;
        auto row = router.table.begin();
        std::advance (row, number (0, std::ssize (router.table) - 1));
        const auto runner = std::ranges::find (m_runners, row->first, &Runner::id);
        if (m_now >= runner->endsAt)
            return;
        PlayedStream stream;
        stream.key = "stream-" + std::to_string (++m_tally.streams);
        stream.version = runner->version;
        stream.runner = static_cast<std::size_t> (runner - m_runners.begin());
        stream.router = at;
        stream.begunAt = m_now;
        stream.callerLeavesAt = m_now + m_timeout;
        announce (router, stream);
        m_open.push_back (stream);
    }
    void visitStreams()
    {
        std::vector<PlayedStream> open;
        for (PlayedStream& stream : std::exchange (m_open, {}))
        {
            PlayedRouter& router = *m_routers[stream.router];
            const bool isCut = ! router.isUp || m_now >= m_runners[stream.runner].endsAt;
            if (isCut || chance (0.02))
            {
                later (between (50, 1000), [this, stream]() mutable { resume (stream); });
                continue;
            }
            if (m_now >= stream.callerLeavesAt)
                continue;
            announce (router, stream);
            open.push_back (stream);
        }
        std::ranges::move (open, std::back_inserter (m_open));
    }
    /// Whether a router that is up could let the stream go on.
    [[nodiscard]] bool isKnownSomewhere (const PlayedStream& stream) const
    {
        return std::ranges::any_of (
            m_routers,
            [&] (const auto& router)
            {
                const auto stated = router->streams.find (stream.key, m_now);
                return router->isUp && pinResumedStream (stated, inUse (*router)).has_value();
            });
    }
    /// Whether the controllers must have the stream and every router can ask them.
    [[nodiscard]] bool isKnownAtControllers (const PlayedStream& stream) const
    {
        const bool areAllControlled = std::ranges::all_of (
            m_routers, [&] (const auto& router) { return isControlled (*router); });
        return areAllControlled && m_expected.find (stream.key, m_now).has_value();
    }
    [[nodiscard]] bool isServing (const std::string& version) const
    {
        return std::ranges::all_of (
            m_routers, [&] (const auto& router)
            { return ! router->isUp || router->versions.isListed (kService, version); });
    }
    /// A router that is up and has a table, if there is one.
    std::optional<std::size_t> servingRouter()
    {
        std::vector<std::size_t> serving;
        for (std::size_t index = 0; index < m_routers.size(); ++index)
        {
            if (m_routers[index]->isUp && ! m_routers[index]->table.empty())
                serving.push_back (index);
        }
        if (serving.empty())
            return std::nullopt;
        return serving[number (0, std::ssize (serving) - 1)];
    }
    void resume (PlayedStream& stream)
    {
        const bool isWaiting = stream.waitsSince != TimePoint{};
        if (m_now >= stream.callerLeavesAt || (! isWaiting && ++stream.tries > kMaxTries))
            return;
        const std::optional<std::size_t> at = isWaiting ? stream.router : servingRouter();
        if (! at || ! m_routers[*at]->isUp)
            return;
        PlayedRouter& router = *m_routers[*at];
        if (stream.tries == 1 && ! isWaiting)
        {
            const bool isKnownToRouter = m_routers.size() <= kMaxGroup && isKnownSomewhere (stream);
            const bool isKnownToControllers = isKnownAtControllers (stream);
            stream.hadChance = ! m_hasEarlierControllers && isServing (stream.version)
                               && (isKnownToRouter || isKnownToControllers);
            stream.isOnlyAtControllers =
                stream.hadChance && isKnownToControllers && ! isKnownSomewhere (stream);
            m_tally.onlyAtControllers += stream.isOnlyAtControllers ? 1 : 0;
            stream.isAtNewRouter = stream.hadChance && router.startedAt > stream.begunAt
                                   && needsNotice (inUse (router));
            m_tally.resumable += stream.hadChance ? 1 : 0;
            m_tally.atNewRouter += stream.isAtNewRouter ? 1 : 0;
        }
        const auto pin = pinResumedStream (router.streams.find (stream.key, m_now), inUse (router));
        const bool isServed = pin && router.versions.isListed (kService, pin->version);
        if (! pin && mayWait (stream) && router.recorder.lookUp (stream.key, m_now))
        {
            if (! isWaiting)
                stream.waitsSince = m_now;
            stream.router = *at;
            later (kStep, [this, stream]() mutable { resume (stream); });
            return;
        }
        stream.waitsSince = {};
        if (! isServed)
        {
            later (kRetryAfter, [this, stream]() mutable { resume (stream); });
            return;
        }
        m_tally.wentOn += stream.hadChance ? 1 : 0;
        m_tally.wentOnAtNewRouter += stream.isAtNewRouter ? 1 : 0;
        m_tally.wentOnByControllers += stream.isOnlyAtControllers ? 1 : 0;
        m_tally.mixed += pin->version == stream.version ? 0 : 1;
    }

    [[nodiscard]] bool mayWait (const PlayedStream& stream) const
    {
        return stream.waitsSince == TimePoint{} || m_now < stream.waitsSince + kMaxLookupWait;
    }

    // Time.
    void later (Duration delay, std::function<void()> action)
    {
        m_events.emplace (m_now + delay, std::move (action));
    }
    void deliver()
    {
        while (! m_events.empty() && m_events.begin()->first <= m_now)
        {
            const auto action = std::move (m_events.begin()->second);
            m_events.erase (m_events.begin());
            action();
        }
    }

    base::Random m_random;
    PlantedFault m_fault;
    const TimePoint m_begin{ seconds (10'000) };
    TimePoint m_now = m_begin;
    std::multimap<TimePoint, std::function<void()>> m_events;
    bool m_hasLoss = false;
    bool m_hasEarlierControllers = false;  ///< They state no history.
    std::size_t m_versions = 1;
    Duration m_timeout{};
    TimePoint m_controllersBackAt{};
    std::size_t m_controllerStarts = 0;  ///< Times at which all controllers were killed.
    cell::StreamVersions m_recorded;     ///< Streams that the controllers have.
    cell::StreamVersions m_expected;     ///< Streams that they have to have.
    std::uint64_t m_tableVersion = 0;
    cell::SoftwareVersionHistory m_history = cell::SoftwareVersionHistory::ofNewCell();
    std::vector<Runner> m_runners;
    std::vector<std::unique_ptr<PlayedRouter>> m_routers;
    std::vector<PlayedStream> m_open;
    Tally m_tally;
};

/// Tally of several seeds.
struct Sum : Tally
{
    std::size_t seedsAbove = 0;  ///< Seeds with more mixed streams than allowed.

    void add (const Tally& tally)
    {
        streams += tally.streams;
        mixed += tally.mixed;
        resumable += tally.resumable;
        wentOn += tally.wentOn;
        atNewRouter += tally.atNewRouter;
        wentOnAtNewRouter += tally.wentOnAtNewRouter;
        onlyAtControllers += tally.onlyAtControllers;
        wentOnByControllers += tally.wentOnByControllers;
    }
};

Sum playSeeds (std::uint64_t first, std::uint64_t seeds, PlantedFault fault)
{
    Sum sum;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed)
    {
        HistoryPlay play (seed, fault);
        const Tally tally = play.play();
        const std::size_t allowed = play.hasLoss() ? kMaxMixed : 0;
        const bool isExpected = fault != PlantedFault::kNone || tally.mixed <= allowed;
        EXPECT_TRUE (isExpected) << "seed " << seed << ": " << tally.mixed;
        sum.add (tally);
        sum.seedsAbove += tally.mixed > allowed ? 1 : 0;
    }
    std::cout << sum.streams << " streams, " << sum.mixed << " of two versions, " << sum.wentOn
              << " of " << sum.resumable << " resumable ones went on, " << sum.wentOnAtNewRouter
              << " of " << sum.atNewRouter << " at routers that had started since, "
              << sum.wentOnByControllers << " of " << sum.onlyAtControllers
              << " known to controllers only\n";
    return sum;
}

TEST (StreamHistoryBoundTest, RestartsMixNoSoftwareVersionsAndStreamsGoOn)
{
    const Sum sum = playSeeds (numberFrom ("FERNLIFT_HISTORY_FIRST_SEED", 1),
                               numberFrom ("FERNLIFT_HISTORY_SEEDS", 60), PlantedFault::kNone);
    EXPECT_GT (sum.resumable, 0U);
    EXPECT_GE (sum.wentOn * 100, sum.resumable * kGoOnPercent);
    EXPECT_GT (sum.onlyAtControllers, 0U);
    EXPECT_GE (sum.wentOnByControllers * 100, sum.onlyAtControllers * kGoOnPercent);
}

TEST (StreamHistoryBoundTest, FindsRouterThatForgetsPast)
{
    EXPECT_GT (playSeeds (1, 20, PlantedFault::kForgetsPast).seedsAbove, 0U);
}

TEST (StreamHistoryBoundTest, FindsRouterThatFetchesNoStreams)
{
    const Sum sum = playSeeds (1, 20, PlantedFault::kFetchesNothing);
    EXPECT_LT (sum.wentOnAtNewRouter * 100, sum.atNewRouter * kGoOnPercent);
}

TEST (StreamHistoryBoundTest, FindsRouterThatRecordsNoStreamsAtControllers)
{
    const Sum sum = playSeeds (1, 20, PlantedFault::kRecordsNothing);
    EXPECT_LT (sum.wentOnByControllers * 100, sum.onlyAtControllers * kGoOnPercent);
}

}  // namespace
}  // namespace fernlift::proxy::test
