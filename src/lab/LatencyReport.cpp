#include "lab/LatencyReport.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <cstdio>
#include <memory>

namespace fernlift::lab
{
namespace
{

constexpr unsigned kBins = 1200;
constexpr double kMinMicroseconds = 1;
constexpr double kMaxMicroseconds = 3.6e9;
constexpr int kFirstError = 400;
constexpr double kMicrosecondsPerMillisecond = 1000;

using LogarithmicAxis =
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

std::string row (const std::string& name, const ClassReport& report)
{
    const auto milliseconds = [] (const LatencyHistogram& histogram, double share) {
        return static_cast<double> (histogram.quantile (share).count())
               / kMicrosecondsPerMillisecond;
    };
    char line[256];
    std::snprintf (line, sizeof (line),
                   "%-14s %8llu %8llu %8llu %8llu %8llu %10.1f %10.1f %10.1f %10.1f\n",
                   name.c_str(), static_cast<unsigned long long> (report.calls),
                   static_cast<unsigned long long> (report.answered),
                   static_cast<unsigned long long> (report.refused),
                   static_cast<unsigned long long> (report.failed),
                   static_cast<unsigned long long> (report.resent),
                   milliseconds (report.toFirstByte, 0.5), milliseconds (report.toFirstByte, 0.99),
                   milliseconds (report.toEnd, 0.5), milliseconds (report.toEnd, 0.99));
    return line;
}

}  // namespace

struct LatencyHistogram::Bins
{
    decltype (boost::histogram::make_histogram (LogarithmicAxis (1, 1, 2))) histogram =
        boost::histogram::make_histogram (
            LogarithmicAxis (kBins, kMinMicroseconds, kMaxMicroseconds));
};

LatencyHistogram::LatencyHistogram() : m_bins (std::make_unique<Bins>()) {}
LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram (LatencyHistogram&&) noexcept = default;
LatencyHistogram& LatencyHistogram::operator= (LatencyHistogram&&) noexcept = default;

void LatencyHistogram::add (base::Duration duration)
{
    // The upper bound of the axis is exclusive.
    m_bins->histogram (std::clamp (static_cast<double> (duration.count()), kMinMicroseconds,
                                   kMaxMicroseconds - 1));
    ++m_count;
}

base::Duration LatencyHistogram::quantile (double share) const
{
    if (m_count == 0)
    {
        return {};
    }
    const double wanted = std::max (1.0, std::ceil (share * static_cast<double> (m_count)));
    double seen = 0;
    for (const auto& bin : boost::histogram::indexed (m_bins->histogram))
    {
        seen += static_cast<double> (*bin);
        if (seen >= wanted)
        {
            return base::Duration (static_cast<std::int64_t> (std::ceil (bin.bin().upper())));
        }
    }
    return base::Duration (static_cast<std::int64_t> (kMaxMicroseconds));
}

std::map<std::string, ClassReport> reportByClass (const std::vector<CallRecord>& history)
{
    std::map<std::string, ClassReport> reports;
    for (const CallRecord& record : history)
    {
        ClassReport& report = reports[record.requestClass];
        if (record.isResent)
        {
            ++report.resent;
            continue;
        }
        ++report.calls;
        if (record.isAnswerComplete && record.status != 0 && record.status < kFirstError)
        {
            ++report.answered;
            report.toFirstByte.add (base::microseconds (record.firstByteMicroseconds));
            report.toEnd.add (base::microseconds (record.endMicroseconds));
        }
        else if (record.end == CallEnd::kComplete && record.execution == "not_run")
        {
            ++report.refused;
        }
        else
        {
            ++report.failed;
        }
    }
    return reports;
}

std::string renderReport (const std::map<std::string, ClassReport>& report)
{
    char header[256];
    std::snprintf (header, sizeof (header), "%-14s %8s %8s %8s %8s %8s %10s %10s %10s %10s\n",
                   "class", "calls", "answered", "refused", "failed", "resent", "first p50",
                   "first p99", "end p50", "end p99");
    std::string table = header;
    for (const auto& [name, classReport] : report)
    {
        table += row (name.empty() ? "(default)" : name, classReport);
    }
    return table + "(milliseconds)\n";
}

}  // namespace fernlift::lab
