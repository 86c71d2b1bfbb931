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

const char* nameOf (Failure failure)
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

/// Trials on one cluster.
class FailoverTrials
{
public:
    FailoverTrials (ControllerCluster& cluster, std::vector<std::string>& rows)
        : cluster_ (cluster), rows_ (rows)
    {
    }

    base::Result<Samples> run (Failure failure, std::int64_t trials)
    {
        Samples samples;
        for (std::int64_t trial = 1; trial <= trials; ++trial)
        {
            BOOST_LEAF_AUTO (duration, runOne (failure));
            samples.add (duration);
            rows_.push_back (
                std::string (nameOf (failure)) + "," + std::to_string (trial) + ","
                + std::to_string (std::chrono::duration<double, std::milli> (duration).count()));
        }
        return samples;
    }

private:
    base::Result<base::Duration> runOne (Failure failure)
    {
        if (! cluster_.awaitEverywhere (version_))
        {
            return base::fail (base::ErrorKind::kNoQuorum, "the cluster did not settle");
        }
        const base::MemberId leader = cluster_.awaitLeader();
        const std::string text = clusterCatalogue (++version_);
        const base::TimePoint begin = clock_.now();
        bring (failure, leader);
        const ConfigurationAnswer answer = cluster_.apply (text, kTrialTimeout);
        const base::Duration duration = clock_.now() - begin;
        if (answer.status != kOk)
        {
            return base::fail (base::ErrorKind::kNoQuorum, "no apply was taken after the failure");
        }
        BOOST_LEAF_CHECK (repair (failure, leader));
        handleEventsFor (kSettle);
        return duration;
    }

    void bring (Failure failure, base::MemberId leader)
    {
        if (failure == Failure::kKilled)
            cluster_.kill (leader);
        if (failure == Failure::kFrozen)
            cluster_.freeze (leader);
        if (failure == Failure::kStopped)
            cluster_.process (leader).requestStop();
    }

    base::Result<void> repair (Failure failure, base::MemberId leader)
    {
        if (failure == Failure::kFrozen)
        {
            cluster_.thaw (leader);
            return {};
        }
        if (failure == Failure::kStopped && ! cluster_.process (leader).waitForEnd (kTrialTimeout))
        {
            return base::fail (base::ErrorKind::kInternal, "the planned stop did not end");
        }
        return cluster_.restart (leader);
    }

    ControllerCluster& cluster_;
    std::vector<std::string>& rows_;
    base::SystemClock clock_;
    std::uint64_t version_ = 0;
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
            std::string ("leader ") + nameOf (failure) + ", until an apply is taken", samples)
            << std::flush;
    }
    BOOST_LEAF_CHECK (writeCsv (options.csvFile, rows));
    return 0;
}

}  // namespace fernlift::lab
