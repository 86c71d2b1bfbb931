#include "scale/ScaleProbe.h"

#include <algorithm>
#include <map>

#include "lab/FleetProbes.h"
#include "lab/HttpCall.h"

namespace fernlift::scale
{
namespace
{

constexpr double kKilobytesInMegabyte = 1024;
constexpr int kOk = 200;
/// A process that is too busy to answer sooner is what a step at its limit looks like.
constexpr base::Duration kMetricsTimeout = base::seconds (20);

double inSeconds (base::Duration duration)
{
    return std::chrono::duration<double> (duration).count();
}

void addTraffic (const TrafficByKind& traffic, double divisor, std::vector<Quantity>& quantities)
{
    std::map<std::string, TrafficCount> totals;
    for (const auto& [kind, count] : traffic)
    {
        totals[kind.direction].messages += count.messages;
        totals[kind.direction].bytes += count.bytes;
    }
    for (const auto& [direction, count] : totals)
    {
        quantities.push_back ({ "bytes_" + direction + "_per_second", count.bytes / divisor });
        quantities.push_back (
            { "messages_" + direction + "_per_second", count.messages / divisor });
    }
    for (const auto& [kind, count] : traffic)
    {
        const std::string suffix = kind.direction + "_per_second:" + kind.kind;
        quantities.push_back ({ "bytes_" + suffix, count.bytes / divisor });
        quantities.push_back ({ "messages_" + suffix, count.messages / divisor });
    }
}

}  // namespace

base::Result<Reading> readProcess (const MeteredProcess& process, const base::Clock& clock)
{
    Reading reading;
    const lab::HttpOutcome outcome = lab::callAndWait ({ .address = process.metricsAddress,
                                                         .method = "GET",
                                                         .path = "/metrics",
                                                         .timeout = kMetricsTimeout });
    if (outcome.status != kOk)
    {
        return base::fail (base::ErrorKind::kConnectionFailed,
                           "no /metrics from the " + process.role);
    }
    reading.metrics = outcome.body;
    BOOST_LEAF_ASSIGN (reading.use, readProcessUse (process.processId));
    reading.at = clock.now();
    reading.traffic = parseTraffic (reading.metrics);
    return reading;
}

std::vector<Quantity> quantitiesBetween (const MeteredProcess& process, const Reading& before,
                                         const Reading& after,
                                         const std::vector<std::string>& counters)
{
    const double divisor = inSeconds (after.at - before.at) * process.nodes;
    const double processorSeconds = after.use.processorSeconds - before.use.processorSeconds;
    std::vector<Quantity> quantities{
        { "processor_share", processorSeconds / divisor },
        { "resident_megabytes", static_cast<double> (after.use.residentKilobytes)
                                    / kKilobytesInMegabyte / process.nodes },
        { "peak_megabytes",
          static_cast<double> (after.use.peakKilobytes) / kKilobytesInMegabyte / process.nodes }
    };
    for (const std::string& counter : counters)
    {
        const double first = lab::metricValue (before.metrics, counter).value_or (0);
        const double last = lab::metricValue (after.metrics, counter).value_or (0);
        quantities.push_back ({ counter + "_per_second", (last - first) / divisor });
    }
    addTraffic (trafficBetween (before.traffic, after.traffic), divisor, quantities);
    return quantities;
}

std::vector<Quantity> meansOf (const std::string& role, const std::vector<RoleQuantities>& readings)
{
    std::vector<Quantity> means;
    double nodes = 0;
    for (const RoleQuantities& reading : readings)
    {
        if (reading.role != role)
            continue;
        nodes += reading.nodes;
        for (const Quantity& quantity : reading.quantities)
        {
            auto found =
                std::find_if (means.begin(), means.end(),
                              [&] (const Quantity& mean) { return mean.name == quantity.name; });
            if (found == means.end())
                found = means.insert (means.end(), { quantity.name, 0 });
            found->value += quantity.value * reading.nodes;
        }
    }
    for (Quantity& mean : means)
        mean.value /= nodes;
    return means;
}

}  // namespace fernlift::scale
