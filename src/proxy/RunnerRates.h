#pragma once

/**
 * Which runners state in their answers how many requests a second they take, as this router has
 * heard it.
 */

#include <cstddef>
#include <map>
#include <string>

#include "base/Time.h"
#include "proxy/StatedRate.h"

namespace fernlift::proxy
{

/** What one answer of a runner tells of its rate. */
struct RateObservation
{
    std::string instance;
    base::UnixMilliseconds startedAt = 0;  ///< Of the incarnation; 0: it does not tell.
    /** When the request was sent: what the answer says was not said before. */
    base::TimePoint sentAt{};
    /** The runner ran the request and did not fail: only such an answer tells that there is no
       limit any more. Refusals may come from what stands before a runner.
    */
    bool isProper = false;
};

/** Pure but for log lines. Threading: none; owned by one router. */
class RunnerRates
{
public:
    void onAnswer (const RateObservation& seen, const StatedRate& stated, base::TimePoint now);
    /** Runners that state a rate, as far as known. */
    [[nodiscard]] std::size_t size() const { return m_limits.size(); }

private:
    struct Limit
    {
        double perSecond = 0;
        base::UnixMilliseconds startedAt = 0;
        base::TimePoint statedAt{};  ///< Last.
    };

    void noteLimit (const RateObservation& seen, double perSecond, base::TimePoint now);
    void noteEnd (const RateObservation& seen);

    std::map<std::string, Limit> m_limits;  ///< By instance.
};

}  // namespace fernlift::proxy
