#pragma once

/// One request of a caller and what became of it.

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
    std::string prompt;           ///< Of completions.
    std::uint64_t maxTokens = 0;  ///< Of completions.
    std::string expectedText;
    base::Duration deadline{};
    int repetition = 0;  ///< How often this key was sent before.

    // What happened.
    std::size_t router = 0;        ///< Number of the router it was sent to.
    std::uint64_t routerLife = 0;  ///< Life of that router's process.
    bool hasReachedRouter = false;
    bool isFirstAttemptMade = false;
    bool hasCallerLeft = false;
    bool isRouterLost = false;  ///< The router was killed before the answer ended.
    int finals = 0;             ///< Final events the router gave.
    int httpStatus = 0;
    std::string text;
    std::optional<base::Error> error;
    base::Execution execution = base::Execution::kUnknown;

    [[nodiscard]] bool isOver() const { return finals > 0 || hasCallerLeft || isRouterLost; }
};
using CallerRequestPointer = std::shared_ptr<CallerRequest>;

}  // namespace fernlift::sim
