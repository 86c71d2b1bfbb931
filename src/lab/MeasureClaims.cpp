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
constexpr std::size_t kOpenRequestsEach = 64;  ///< Of one router at full load.
constexpr double kAimedRate = 3000;            ///< Claims a second that one cell must take.
constexpr std::size_t kBytesOfOneSync = 4096;
constexpr int kSyncs = 500;
constexpr std::chrono::milliseconds kPaceInterval (1);
constexpr base::Duration kPatience = base::seconds (30);
/// At full load this keeps the table below the most keys that it holds.
constexpr std::int64_t kKeyLifetimeMilliseconds = 20'000;

/// Time of one appended and synced write of this disk.
base::Result<Samples> measureSyncs (const std::string& folder)
{
    const std::string path = folder + "/sync-probe";
    const int file = ::open (path.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
    if (file < 0)
        return base::fail (base::ErrorKind::kInternal, path + ": cannot be opened");
    const std::string bytes (kBytesOfOneSync, 'x');
    base::SystemClock clock;
    Samples samples;
    bool isWhole = true;
    for (int count = 0; count < kSyncs; ++count)
    {
        const base::TimePoint begin = clock.now();
        isWhole =
            isWhole
            && ::write (file, bytes.data(), bytes.size()) == static_cast<ssize_t> (bytes.size())
            && ::fdatasync (file) == 0;
        samples.add (clock.now() - begin);
    }
    ::close (file);
    std::filesystem::remove (path);
    if (! isWhole)
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
            routers_.push_back (std::make_unique<RouterStub> ("router-" + std::to_string (number),
                                                              ControllerCluster::kCell,
                                                              std::move (handlers)));
            routers_.back()->connectTo (cluster.peerAddress (1));
        }
    }

    [[nodiscard]] bool isReady() const
    {
        return std::all_of (routers_.begin(), routers_.end(),
                            [] (const auto& router) { return router->isReady(); });
    }

    /// Keeps a fixed number of requests open; returns the claims granted a second.
    double runFull (base::Duration duration)
    {
        isClosedLoop_ = true;
        granted_ = 0;
        const base::TimePoint begin = clock_.now();
        for (std::size_t router = 0; router < kRouters; ++router)
        {
            for (std::size_t count = 0; count < kOpenRequestsEach; ++count)
                sendOne (router);
        }
        handleEventsFor (duration);
        isClosedLoop_ = false;
        const double rate = static_cast<double> (granted_)
                            / std::chrono::duration<double> (clock_.now() - begin).count();
        settle();
        return rate;
    }

    /// Sends at a steady rate whatever the answers do; the latencies.
    Samples runSteady (double perSecond, base::Duration duration)
    {
        latencies_ = Samples();
        const base::TimePoint begin = clock_.now();
        std::uint64_t sent = 0;
        QTimer pace;
        pace.setTimerType (Qt::PreciseTimer);
        QObject::connect (&pace, &QTimer::timeout, &context_,
                          [&]
                          {
                              const double elapsed =
                                  std::chrono::duration<double> (clock_.now() - begin).count();
                              while (static_cast<double> (sent) < elapsed * perSecond)
                                  sendOne (sent++ % kRouters);
                          });
        pace.start (kPaceInterval);
        handleEventsFor (duration);
        pace.stop();
        settle();
        return std::move (latencies_);
    }

    [[nodiscard]] std::uint64_t refused() const { return refused_; }
    [[nodiscard]] std::size_t open() const { return open_.size(); }

private:
    void settle()
    {
        waitUntil ([this] { return open_.empty(); }, kPatience);
    }

    void sendOne (std::size_t router)
    {
        const std::uint64_t sequence = ++lastSequence_;
        cell::Claim claim;
        claim.key = base::IdempotencyKey ("key-" + std::to_string (sequence));
        claim.requestDigest = std::string (64, 'd');
        claim.router = base::RouterId (routers_[router]->id());
        claim.request = base::RequestId ("request-" + std::to_string (sequence));
        claim.expiresAt = clock_.unixNow() + kKeyLifetimeMilliseconds;
        open_.emplace (sequence, clock_.now());
        routers_[router]->send (cell::ClaimRequest{ sequence, { claim } });
    }

    void onReply (std::size_t router, const cell::ClaimReply& reply)
    {
        const auto found = open_.find (reply.sequence);
        if (found == open_.end())
            return;
        latencies_.add (clock_.now() - found->second);
        open_.erase (found);
        for (const cell::ClaimAnswer& answer : reply.answers)
        {
            ++(answer.verdict == cell::ClaimVerdict::kGranted ? granted_ : refused_);
        }
        if (isClosedLoop_)
            sendOne (router);
    }

    base::SystemClock clock_;
    QObject context_;
    std::uint64_t lastSequence_ = 0;
    std::map<std::uint64_t, base::TimePoint> open_;
    Samples latencies_;
    std::uint64_t granted_ = 0;
    std::uint64_t refused_ = 0;
    bool isClosedLoop_ = false;
    std::vector<std::unique_ptr<RouterStub>> routers_;
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
        return base::fail (base::ErrorKind::kInternal, "the first apply was not taken");
    }
    ClaimLoad load (cluster);
    if (! waitUntil ([&] { return load.isReady(); }, kPatience))
    {
        return base::fail (base::ErrorKind::kRequestTimeout, "a router did not get a lease");
    }
    const base::Duration duration = base::seconds (options.seconds);
    const Samples aimed = load.runSteady (kAimedRate / 2, duration);
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
