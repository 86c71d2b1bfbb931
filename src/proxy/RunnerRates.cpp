#include "proxy/RunnerRates.h"

#include "base/Overloaded.h"
#include "log/Log.h"

namespace fernlift::proxy
{

void RunnerRates::onAnswer (const RateObservation& seen, const StatedRate& stated,
                            base::TimePoint now)
{
    std::visit (
        base::Overloaded{ [&] (const LimitedRate& rate) { noteLimit (seen, rate.perSecond, now); },
                          [&] (const UnlimitedRate&) { noteEnd (seen); },
                          [&] (const UnreadableRate& rate)
                          {
                              log::write (log::Event::kRunnerRateUnreadable,
                                          { { "runner", seen.instance }, { "text", rate.text } });
                          } },
        stated);
}

void RunnerRates::noteLimit (const RateObservation& seen, double perSecond, base::TimePoint now)
{
    Limit& limit = m_limits[seen.instance];
    const bool isNews = limit.statedAt == base::TimePoint{} || limit.perSecond != perSecond;
    limit = { perSecond, seen.startedAt, now };
    if (isNews)
        log::write (log::Event::kRunnerRateStated,
                    { { "runner", seen.instance }, { "per_second", perSecond } });
}

void RunnerRates::noteEnd (const RateObservation& seen)
{
    const auto found = m_limits.find (seen.instance);
    if (found == m_limits.end())
        return;
    // Answers overtake one another: one to a request that was sent before the rate was heard of may
    // have been written before the runner stated it.
    const bool isNewer = seen.sentAt > found->second.statedAt;
    if (! isNewer || ! seen.isProper)
        return;
    log::write (log::Event::kRunnerRateEnded, { { "runner", seen.instance } });
    m_limits.erase (found);
}

}  // namespace fernlift::proxy
