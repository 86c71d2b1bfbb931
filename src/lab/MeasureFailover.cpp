#include <ostream>

#include "lab/ControllerCluster.h"
#include "lab/EventWait.h"
#include "lab/Measure.h"

namespace fernlift::lab
{
namespace
{

constexpr int kOk = 200;
constexpr base::Duration kTrialTimeout = base::seconds (30);
constexpr base::Duration kSettle = base::milliseconds (300);

enum class Failure : std::uint8_t
{
    kKilled,
    kFrozen,
    kStopped
};

const char* toString (Failure failure)
{
    switch (failure)
    {
        case Failure::kKilled:
            return "killed";
        case Failure::kFrozen:
            return "frozen";
        case Failure::kStopped:
            break;
    }
    return "planned_stop";
}

/// Repeated failover trials on one cluster.
class FailoverTrials
{
public:
    FailoverTrials (ControllerCluster& cluster, std::vector<std::string>& rows)
        : m_cluster (cluster), m_rows (rows)
    {
    }

    base::Result<Samples> run (Failure failure, std::int64_t trials)
    {
        Samples samples;
        for (std::int64_t trial = 1; trial <= trials; ++trial)
        {
            BOOST_LEAF_AUTO (duration, runOne (failure));
            samples.add (duration);
            m_rows.push_back (
                std::string (toString (failure)) + "," + std::to_string (trial) + ","
                + std::to_string (std::chrono::duration<double, std::milli> (duration).count()));
        }
        return samples;
    }

private:
    base::Result<base::Duration> runOne (Failure failure)
    {
        if (! m_cluster.awaitEverywhere (m_version))
        {
            return base::fail (base::ErrorKind::kNoQuorum,
                               "not every member applied the last version in time");
        }
        const base::MemberId leader = m_cluster.awaitLeader();
        const std::string text = clusterCatalogue (++m_version);
        const base::TimePoint begin = m_clock.now();
        injectFailure (failure, leader);
        const ConfigurationAnswer answer = m_cluster.apply (text, kTrialTimeout);
        const base::Duration duration = m_clock.now() - begin;
        if (answer.status != kOk)
        {
            return base::fail (base::ErrorKind::kNoQuorum,
                               "no apply succeeded in time after the failure");
        }
        BOOST_LEAF_CHECK (repair (failure, leader));
        handleEventsFor (kSettle);
        return duration;
    }

    void injectFailure (Failure failure, base::MemberId leader)
    {
        if (failure == Failure::kKilled)
            m_cluster.kill (leader);
        if (failure == Failure::kFrozen)
            m_cluster.freeze (leader);
        if (failure == Failure::kStopped)
            m_cluster.process (leader).requestStop();
    }

    base::Result<void> repair (Failure failure, base::MemberId leader)
    {
        if (failure == Failure::kFrozen)
        {
            m_cluster.thaw (leader);
            return {};
        }
        if (failure == Failure::kStopped && ! m_cluster.process (leader).waitForEnd (kTrialTimeout))
        {
            return base::fail (base::ErrorKind::kInternal, "the planned stop did not end in time");
        }
        return m_cluster.restart (leader);
    }

    ControllerCluster& m_cluster;
    std::vector<std::string>& m_rows;
    base::SystemClock m_clock;
    std::uint64_t m_version = 0;
};

}  // namespace

base::Result<int> measureFailover (const MeasureOptions& options, std::ostream& out)
{
    ControllerCluster cluster ({ .programs = options.programs,
                                 .run = options.run,
                                 .hasProxies = false,
                                 .flags = options.controllerFlags });
    BOOST_LEAF_CHECK (cluster.start());
    std::vector<std::string> rows{ "failure,trial,milliseconds_to_next_apply" };
    FailoverTrials trials (cluster, rows);
    for (const Failure failure : { Failure::kKilled, Failure::kFrozen, Failure::kStopped })
    {
        BOOST_LEAF_AUTO (samples, trials.run (failure, options.trials));
        out << summaryLine (
            std::string ("leader ") + toString (failure) + ", until an apply is taken", samples)
            << std::flush;
    }
    BOOST_LEAF_CHECK (writeCsv (options.csvFile, rows));
    return 0;
}

}  // namespace fernlift::lab
