#include "standin/WeightStoreModel.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fernlift::standin
{
namespace
{

constexpr double kMicrosecondsPerSecond = 1e6;
/// Remaining megabytes at which a transfer counts as complete; allows for rounding errors.
constexpr double kNegligible = 1e-6;

}  // namespace

WeightStoreModel::WeightStoreModel (const WeightStoreOptions& options, base::TimePoint now)
    : m_options (options), m_now (now), m_tokens (std::max (1.0, options.loadsPerSecond))
{
}

std::optional<base::Duration> WeightStoreModel::begin (TransferId transfer, engine::Megabytes size)
{
    if (m_tokens < 1.0)
    {
        const double seconds = (1.0 - m_tokens) / m_options.loadsPerSecond;
        return base::Duration (
            static_cast<std::int64_t> (std::ceil (seconds * kMicrosecondsPerSecond)));
    }
    m_tokens -= 1.0;
    m_remaining[transfer] = static_cast<double> (size);
    return std::nullopt;
}

void WeightStoreModel::cancel (TransferId transfer) { m_remaining.erase (transfer); }

void WeightStoreModel::advance (base::TimePoint now)
{
    const double elapsed = static_cast<double> ((now - m_now).count());
    // The speed was constant since the last call, because advance() is called at the end of each
    // transfer and before each change.
    const double received = elapsed * speed();
    m_now = now;
    m_tokens = std::min (std::max (1.0, m_options.loadsPerSecond),
                         m_tokens + elapsed * m_options.loadsPerSecond / kMicrosecondsPerSecond);
    for (auto entry = m_remaining.begin(); entry != m_remaining.end();)
    {
        entry->second -= received;
        if (entry->second > kNegligible)
        {
            ++entry;
            continue;
        }
        m_finished.push_back (entry->first);
        entry = m_remaining.erase (entry);
    }
}

std::optional<base::TimePoint> WeightStoreModel::nextEvent() const
{
    if (m_remaining.empty() || m_faults.isStalled)
        return std::nullopt;
    const auto least = std::min_element (m_remaining.begin(), m_remaining.end(),
                                         [] (const auto& left, const auto& right)
                                         { return left.second < right.second; });
    return m_now + base::Duration (static_cast<std::int64_t> (std::ceil (least->second / speed())));
}

std::vector<TransferId> WeightStoreModel::takeFinished() { return std::exchange (m_finished, {}); }

double WeightStoreModel::speed() const
{
    if (m_faults.isStalled || m_remaining.empty())
        return 0;
    const double share = std::min (1.0, static_cast<double> (m_options.fullSpeedTransfers)
                                            / static_cast<double> (m_remaining.size()));
    return m_options.megabytesPerSecond * share / m_faults.slowdown / kMicrosecondsPerSecond;
}

}  // namespace fernlift::standin
