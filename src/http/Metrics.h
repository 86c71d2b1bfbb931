#pragma once

/// Counters, gauges and histograms, exported in the Prometheus text format.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fernlift::http
{

/// Label names and values of one series, for example {{"kind", "lease"}}.
using Labels = std::vector<std::pair<std::string, std::string>>;

class Counter
{
public:
    void add (std::uint64_t amount = 1) { m_value += amount; }
    [[nodiscard]] std::uint64_t value() const { return m_value; }

private:
    std::uint64_t m_value = 0;
};

class Gauge
{
public:
    void set (double value) { m_value = value; }
    [[nodiscard]] double value() const { return m_value; }

private:
    double m_value = 0;
};

/// Counts observations in buckets with the given upper bounds.
class Histogram
{
public:
    explicit Histogram (std::vector<double> bounds);
    void observe (double value);
    [[nodiscard]] const std::vector<double>& bounds() const { return m_bounds; }
    /// Observations per bucket, not cumulative; the last bucket is above all bounds.
    [[nodiscard]] const std::vector<std::uint64_t>& counts() const { return m_counts; }
    [[nodiscard]] double sum() const { return m_sum; }

private:
    std::vector<double> m_bounds;
    std::vector<std::uint64_t> m_counts;
    double m_sum = 0;
};

/// Bucket bounds for latencies, in seconds, from 0.5 ms to 60 s.
[[nodiscard]] std::vector<double> latencyBounds();

/// Registry of the metrics of one process. Returned references stay valid as long as the registry.
/// Not thread-safe.
class Metrics
{
public:
    /// Each call with the same name and labels returns the same object.
    Counter& counter (const std::string& name, const std::string& help, const Labels& labels = {});
    Gauge& gauge (const std::string& name, const std::string& help, const Labels& labels = {});
    Histogram& histogram (const std::string& name, const std::string& help,
                          const std::vector<double>& bounds, const Labels& labels = {});
    /// `update` runs before each export, to refresh gauges.
    void addUpdate (std::function<void()> update);
    /// Appends preformatted text (complete families in the same format) to each export.
    void addText (std::function<std::string()> text);
    /// Adds CPU time, resident memory and start time of this process.
    void addProcessMetrics();

    [[nodiscard]] std::string text();

private:
    struct Series;
    struct Family
    {
        std::string help;
        std::string type;
        std::map<std::string, std::shared_ptr<Series>> series;  ///< Keyed by the formatted labels.
    };
    Series& seriesOf (const std::string& name, const std::string& help, const std::string& type,
                      const Labels& labels);

    std::map<std::string, Family> m_families;
    std::vector<std::function<void()>> m_updates;
    std::vector<std::function<std::string()>> m_texts;
};

}  // namespace fernlift::http
