#include "standin/WeightStoreModel.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fernlift::standin
{
namespace
{

constexpr double kMicrosecondsPerSecond = 1e6;
/// Megabytes below which a transfer counts as whole; covers rounding.
constexpr double kNegligible = 1e-6;

}  // namespace

WeightStoreModel::WeightStoreModel (const WeightStoreOptions& options, base::TimePoint now)
    : options_ (options), now_ (now), tokens_ (std::max (1.0, options.loadsPerSecond))
{
}

std::optional<base::Duration> WeightStoreModel::begin (TransferId transfer, engine::Megabytes size)
{
    if (tokens_ < 1.0)
    {
        const double seconds = (1.0 - tokens_) / options_.loadsPerSecond;
        return base::Duration (
            static_cast<std::int64_t> (std::ceil (seconds * kMicrosecondsPerSecond)));
    }
    tokens_ -= 1.0;
    remaining_[transfer] = static_cast<double> (size);
    return std::nullopt;
}

void WeightStoreModel::cancel (TransferId transfer) { remaining_.erase (transfer); }

void WeightStoreModel::advance (base::TimePoint now)
{
    const double elapsed = static_cast<double> ((now - now_).count());
    // The speed is constant in between: calls come at each end and before each change.
    const double received = elapsed * speed();
    now_ = now;
    tokens_ = std::min (std::max (1.0, options_.loadsPerSecond),
                        tokens_ + elapsed * options_.loadsPerSecond / kMicrosecondsPerSecond);
    for (auto entry = remaining_.begin(); entry != remaining_.end();)
    {
        entry->second -= received;
        if (entry->second > kNegligible)
        {
            ++entry;
            continue;
        }
        finished_.push_back (entry->first);
        entry = remaining_.erase (entry);
    }
}

std::optional<base::TimePoint> WeightStoreModel::nextEvent() const
{
    if (remaining_.empty() || faults_.isStalled)
        return std::nullopt;
    const auto least = std::min_element (remaining_.begin(), remaining_.end(),
                                         [] (const auto& left, const auto& right)
                                         { return left.second < right.second; });
    return now_ + base::Duration (static_cast<std::int64_t> (std::ceil (least->second / speed())));
}

std::vector<TransferId> WeightStoreModel::takeFinished() { return std::exchange (finished_, {}); }

double WeightStoreModel::speed() const
{
    if (faults_.isStalled || remaining_.empty())
        return 0;
    const double share = std::min (1.0, static_cast<double> (options_.fullSpeedTransfers)
                                            / static_cast<double> (remaining_.size()));
    return options_.megabytesPerSecond * share / faults_.slowdown / kMicrosecondsPerSecond;
}

}  // namespace fernlift::standin
