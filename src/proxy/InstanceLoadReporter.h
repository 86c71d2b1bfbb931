#pragma once

/**
 * What this router tells the cell of its requests at runners, and of how fast the runners work.
 *
 * Each router sends a runner a request now and then and learns little of it; all routers together
 * know all of its load. Reports hold what changed, and wait for nothing: a request that has just
 * been sent is told within one interval.
 */

#include <cstdint>
#include <optional>
#include <string>

#include "base/Time.h"
#include "cell/InstanceLoadMessages.h"

namespace fernlift::proxy
{

/** Pure: time is passed in. Threading: none; owned by one router. */
class InstanceLoadReporter
{
public:
    /** A request with a prompt of so many tokens goes to the runner. */
    void onAttemptBegin (const std::string& instance, std::uint64_t promptTokens);
    /** The runner has read the prompt, or never will. */
    void onAnswerBegun (const std::string& instance, std::uint64_t promptTokens);
    void onAttemptEnd (const std::string& instance);
    /** An event of a stream followed the one before it after `pause`. */
    void onPause (const std::string& instance, const std::string& model, base::Duration pause);
    /** The runner stated how much longer work takes on its machine: 100 as usual. */
    void onSlowdown (const std::string& instance, std::uint32_t percent, base::TimePoint now);
    /** The controller is another one, or has forgotten: the next report tells all. */
    void onLinkLost();

    /** The report that is due; nothing when nothing changed. It must be sent at `now`. */
    [[nodiscard]] std::optional<cell::InstanceLoadReport> takeDue (base::TimePoint now);
};

}  // namespace fernlift::proxy
