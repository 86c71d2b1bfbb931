#pragma once

/// A caller's request and its outcome.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/Time.h"
#include "router/RouterCore.h"

namespace fernlift::sim
{

struct CallerRequest
{
    router::RequestHead head;
    std::string prompt;           ///< Empty for applications.
    std::uint64_t maxTokens = 0;  ///< 0 for applications.
    std::string expectedText;
    base::Duration deadline{};
    int repetition = 0;  ///< Number of earlier requests with the same idempotency key.

    // Outcome.
    std::size_t router = 0;             ///< Index of the receiving router.
    std::uint64_t routerRunNumber = 0;  ///< Router's run number when sent.
    bool hasReachedRouter = false;
    bool isFirstAttemptMade = false;
    bool hasCallerDisconnected = false;
    bool isRouterLost = false;  ///< The router was killed before it completed the answer.
    int finalAnswers = 0;       ///< Number of final events (end or error) from the router.
    int httpStatus = 0;
    std::string text;
    std::optional<base::Error> error;
    base::Execution execution = base::Execution::kUnknown;

    [[nodiscard]] bool isOver() const
    {
        return finalAnswers > 0 || hasCallerDisconnected || isRouterLost;
    }
};
using CallerRequestPointer = std::shared_ptr<CallerRequest>;

}  // namespace fernlift::sim
