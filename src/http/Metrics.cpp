#include "http/Metrics.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <ctime>
#include <fstream>
#include <optional>
#include <utility>

namespace fernlift::http
{
namespace
{

std::string formatNumber (double value)
{
    char buffer[32];
    const auto [end, status] = std::to_chars (std::begin (buffer), std::end (buffer), value);
    return { std::begin (buffer), end };
}

std::string escapeLabelValue (const std::string& value)
{
    std::string escaped;
    for (const char character : value)
    {
        if (character == '\\' || character == '"')
            escaped += '\\';
        if (character == '\n')
        {
            escaped += "\\n";
        }
        else
        {
            escaped += character;
        }
    }
    return escaped;
}

/// Labels in the text format, without the braces.
std::string formatLabels (const Labels& labels)
{
    std::string text;
    for (const auto& [name, value] : labels)
    {
        if (! text.empty())
            text += ',';
        text += name + "=\"" + escapeLabelValue (value) + '"';
    }
    return text;
}

std::string formatSample (const std::string& name, const std::string& labels,
                          const std::string& value)
{
    const std::string braces = labels.empty() ? std::string() : "{" + labels + "}";
    return name + braces + ' ' + value + '\n';
}

std::string formatHistogram (const std::string& name, const std::string& labels,
                             const Histogram& histogram)
{
    const std::string prefix = labels.empty() ? labels : labels + ',';
    std::string text;
    std::uint64_t total = 0;
    for (std::size_t index = 0; index < histogram.counts().size(); ++index)
    {
        total += histogram.counts()[index];
        const bool isLast = index == histogram.bounds().size();
        const std::string bound = isLast ? "+Inf" : formatNumber (histogram.bounds()[index]);
        std::string bucketLabels = prefix;
        bucketLabels.append ("le=\"").append (bound).append ("\"");
        text += formatSample (name + "_bucket", bucketLabels, std::to_string (total));
    }
    text += formatSample (name + "_sum", labels, formatNumber (histogram.sum()));
    text += formatSample (name + "_count", labels, std::to_string (total));
    return text;
}

double processorSeconds()
{
    rusage usage{};
    getrusage (RUSAGE_SELF, &usage);
    const auto toSeconds = [] (const timeval& time)
    {
        constexpr double kMicrosecond = 1e-6;
        return static_cast<double> (time.tv_sec)
               + static_cast<double> (time.tv_usec) * kMicrosecond;
    };
    return toSeconds (usage.ru_utime) + toSeconds (usage.ru_stime);
}

double residentBytes()
{
    std::ifstream file ("/proc/self/statm");
    std::uint64_t totalPages = 0;
    std::uint64_t residentPages = 0;
    file >> totalPages >> residentPages;
    return static_cast<double> (residentPages) * static_cast<double> (sysconf (_SC_PAGESIZE));
}

}  // namespace

Histogram::Histogram (std::vector<double> bounds)
    : m_bounds (std::move (bounds)), m_counts (m_bounds.size() + 1, 0)
{
}

void Histogram::observe (double value)
{
    const auto bucket = std::lower_bound (m_bounds.begin(), m_bounds.end(), value);
    ++m_counts[static_cast<std::size_t> (bucket - m_bounds.begin())];
    m_sum += value;
}

std::vector<double> latencyBounds()
{
    return { 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
             0.5,    1,     2.5,    5,     10,   20,    30,   60 };
}

struct Metrics::Series
{
    Counter counter;
    Gauge gauge;
    std::optional<Histogram> histogram;
};

Metrics::Series& Metrics::seriesOf (const std::string& name, const std::string& help,
                                    const std::string& type, const Labels& labels)
{
    Family& family = m_families[name];
    family.help = help;
    family.type = type;
    std::shared_ptr<Series>& series = family.series[formatLabels (labels)];
    if (! series)
        series = std::make_shared<Series>();
    return *series;
}

Counter& Metrics::counter (const std::string& name, const std::string& help, const Labels& labels)
{
    return seriesOf (name, help, "counter", labels).counter;
}

Gauge& Metrics::gauge (const std::string& name, const std::string& help, const Labels& labels)
{
    return seriesOf (name, help, "gauge", labels).gauge;
}

Histogram& Metrics::histogram (const std::string& name, const std::string& help,
                               const std::vector<double>& bounds, const Labels& labels)
{
    std::optional<Histogram>& histogram = seriesOf (name, help, "histogram", labels).histogram;
    if (! histogram)
        histogram.emplace (bounds);
    return *histogram;
}

void Metrics::addUpdate (std::function<void()> update) { m_updates.push_back (std::move (update)); }

void Metrics::addText (std::function<std::string()> text) { m_texts.push_back (std::move (text)); }

void Metrics::addProcessMetrics()
{
    gauge ("process_start_time_seconds", "Start of the process since the Unix epoch.")
        .set (static_cast<double> (std::time (nullptr)));
    Gauge& processor = gauge ("process_cpu_seconds_total", "Processor time used.");
    Gauge& memory = gauge ("process_resident_memory_bytes", "Resident memory.");
    addUpdate (
        [&processor, &memory]
        {
            processor.set (processorSeconds());
            memory.set (residentBytes());
        });
}

std::string Metrics::text()
{
    for (const auto& update : m_updates)
        update();
    std::string text;
    for (const auto& [name, family] : m_families)
    {
        text += "# HELP " + name + ' ' + family.help + '\n';
        text += "# TYPE " + name + ' ' + family.type + '\n';
        for (const auto& [labels, series] : family.series)
        {
            if (family.type == "histogram")
            {
                text += formatHistogram (name, labels, *series->histogram);
            }
            else if (family.type == "counter")
            {
                text += formatSample (name, labels, std::to_string (series->counter.value()));
            }
            else
            {
                text += formatSample (name, labels, formatNumber (series->gauge.value()));
            }
        }
    }
    for (const auto& extra : m_texts)
        text += extra();
    return text;
}

}  // namespace fernlift::http
