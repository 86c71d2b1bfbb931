#include <fcntl.h>
#include <unistd.h>

#include <QTimer>
#include <algorithm>
#include <filesystem>
#include <ostream>

#include "lab/ControllerCluster.h"
#include "lab/EventWait.h"
#include "lab/Measure.h"
#include "lab/RouterStub.h"

namespace fernlift::lab
{
namespace
{

constexpr std::size_t kRouters = 4;
constexpr std::size_t kOpenRequestsEach =
    64;                               ///< Requests that each router keeps open at full load.
constexpr double kTargetRate = 3000;  ///< Claims per second that a cell is required to sustain.
constexpr std::size_t kBytesOfOneSync = 4096;
constexpr int kSyncs = 500;
constexpr std::chrono::milliseconds kPaceInterval (1);
constexpr base::Duration kWaitTimeout = base::seconds (30);
/// Short enough that at full load the claim table stays below its capacity.
constexpr std::int64_t kKeyLifetimeMilliseconds = 20'000;

/// Measures appended and synced writes to the disk of `folder`.
base::Result<Samples> measureSyncs (const std::string& folder)
{
    const std::string path = folder + "/sync-probe";
    const int file = ::open (path.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
    if (file < 0)
        return base::fail (base::ErrorKind::kInternal, path + ": cannot be opened");
    const std::string bytes (kBytesOfOneSync, 'x');
    base::SystemClock clock;
    Samples samples;
    bool isComplete = true;
    for (int count = 0; count < kSyncs; ++count)
    {
        const base::TimePoint begin = clock.now();
        isComplete =
            isComplete
            && ::write (file, bytes.data(), bytes.size()) == static_cast<ssize_t> (bytes.size())
            && ::fdatasync (file) == 0;
        samples.add (clock.now() - begin);
    }
    ::close (file);
    std::filesystem::remove (path);
    if (! isComplete)
        return base::fail (base::ErrorKind::kInternal, path + ": a write failed");
    return samples;
}

/// Sends claims of one key each over several connections and times the replies.
class ClaimLoad
{
public:
    explicit ClaimLoad (const ControllerCluster& cluster)
    {
        for (std::size_t number = 0; number < kRouters; ++number)
        {
            RouterStub::Handlers handlers;
            handlers.onClaims = [this, number] (const cell::ClaimReply& reply)
            { onReply (number, reply); };
            m_routers.push_back (std::make_unique<RouterStub> ("router-" + std::to_string (number),
                                                               ControllerCluster::kCell,
                                                               std::move (handlers)));
            m_routers.back()->connectTo (cluster.peerAddress (1));
        }
    }

    [[nodiscard]] bool isReady() const
    {
        return std::all_of (m_routers.begin(), m_routers.end(),
                            [] (const auto& router) { return router->isReady(); });
    }

    /// Closed loop: keeps a fixed number of requests open. Returns the claims granted per second.
    double runFull (base::Duration duration)
    {
        m_isClosedLoop = true;
        m_granted = 0;
        const base::TimePoint begin = m_clock.now();
        for (std::size_t router = 0; router < kRouters; ++router)
        {
            for (std::size_t count = 0; count < kOpenRequestsEach; ++count)
                sendOne (router);
        }
        handleEventsFor (duration);
        m_isClosedLoop = false;
        const double rate = static_cast<double> (m_granted)
                            / std::chrono::duration<double> (m_clock.now() - begin).count();
        awaitReplies();
        return rate;
    }

    /// Open loop: sends at a steady rate regardless of the answers. Returns the latencies.
    Samples runSteady (double perSecond, base::Duration duration)
    {
        m_latencies = Samples();
        const base::TimePoint begin = m_clock.now();
        std::uint64_t sent = 0;
        QTimer pace;
        pace.setTimerType (Qt::PreciseTimer);
        QObject::connect (&pace, &QTimer::timeout, &m_context,
                          [&]
                          {
                              const double elapsed =
                                  std::chrono::duration<double> (m_clock.now() - begin).count();
                              while (static_cast<double> (sent) < elapsed * perSecond)
                                  sendOne (sent++ % kRouters);
                          });
        pace.start (kPaceInterval);
        handleEventsFor (duration);
        pace.stop();
        awaitReplies();
        return std::move (m_latencies);
    }

    [[nodiscard]] std::uint64_t refused() const { return m_refused; }
    [[nodiscard]] std::size_t open() const { return m_open.size(); }

private:
    void awaitReplies()
    {
        waitUntil ([this] { return m_open.empty(); }, kWaitTimeout);
    }

    void sendOne (std::size_t router)
    {
        const std::uint64_t sequence = ++m_lastSequence;
        cell::Claim claim;
        claim.key = base::IdempotencyKey ("key-" + std::to_string (sequence));
        claim.requestDigest = std::string (64, 'd');
        claim.router = base::RouterId (m_routers[router]->id());
        claim.request = base::RequestId ("request-" + std::to_string (sequence));
        claim.expiresAt = m_clock.unixNow() + kKeyLifetimeMilliseconds;
        m_open.emplace (sequence, m_clock.now());
        m_routers[router]->send (cell::ClaimRequest{ sequence, { claim } });
    }

    void onReply (std::size_t router, const cell::ClaimReply& reply)
    {
        const auto found = m_open.find (reply.sequence);
        if (found == m_open.end())
            return;
        m_latencies.add (m_clock.now() - found->second);
        m_open.erase (found);
        for (const cell::ClaimAnswer& answer : reply.answers)
        {
            ++(answer.verdict == cell::ClaimVerdict::kGranted ? m_granted : m_refused);
        }
        if (m_isClosedLoop)
            sendOne (router);
    }

    base::SystemClock m_clock;
    QObject m_context;
    std::uint64_t m_lastSequence = 0;
    std::map<std::uint64_t, base::TimePoint> m_open;
    Samples m_latencies;
    std::uint64_t m_granted = 0;
    std::uint64_t m_refused = 0;
    bool m_isClosedLoop = false;
    std::vector<std::unique_ptr<RouterStub>> m_routers;
};

}  // namespace

base::Result<int> measureClaims (const MeasureOptions& options, std::ostream& out)
{
    ControllerCluster cluster ({ .programs = options.programs,
                                 .run = options.run,
                                 .hasProxies = false,
                                 .flags = options.controllerFlags });
    BOOST_LEAF_CHECK (cluster.start());
    BOOST_LEAF_AUTO (syncs, measureSyncs (options.run));
    out << summaryLine ("synced write of 4 KiB on this disk", syncs);
    if (cluster.apply (clusterCatalogue (1)).status != 200)
    {
        return base::fail (base::ErrorKind::kInternal,
                           "the cluster did not accept the first apply");
    }
    ClaimLoad load (cluster);
    if (! waitUntil ([&] { return load.isReady(); }, kWaitTimeout))
    {
        return base::fail (base::ErrorKind::kRequestTimeout,
                           "a router did not receive a lease in time");
    }
    const base::Duration duration = base::seconds (options.seconds);
    const Samples aimed = load.runSteady (kTargetRate / 2, duration);
    out << summaryLine ("a claim at 1,500 a second", aimed);
    const double rate = load.runFull (duration);
    out << "claims a second with " << kRouters * kOpenRequestsEach
        << " open: " << static_cast<std::int64_t> (rate) << "\n";
    const Samples half = load.runSteady (rate / 2, duration);
    out << summaryLine ("a claim at half that rate", half);
    out << "refused: " << load.refused() << ", without an answer: " << load.open() << "\n";
    std::vector<std::string> rows{ "figure,median,ninety_nine_in_100,worst,samples" };
    const auto row = [] (const std::string& name, const Samples& samples)
    {
        return name + "," + std::to_string (samples.quantile (0.5)) + ","
               + std::to_string (samples.quantile (0.99)) + ","
               + std::to_string (samples.quantile (1)) + "," + std::to_string (samples.count());
    };
    rows.push_back (row ("synced_write_ms", syncs));
    rows.push_back ("claims_a_second," + std::to_string (rate) + ",,,1");
    rows.push_back (row ("claim_at_half_rate_ms", half));
    rows.push_back (row ("claim_at_1500_a_second_ms", aimed));
    BOOST_LEAF_CHECK (writeCsv (options.csvFile, rows));
    return 0;
}

}  // namespace fernlift::lab
