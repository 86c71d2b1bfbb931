#include "proxy/InstanceLoadReporter.h"

namespace fernlift::proxy
{

void InstanceLoadReporter::onAttemptBegin (const std::string& /*instance*/,
                                           std::uint64_t /*promptTokens*/)
{
}

void InstanceLoadReporter::onAnswerBegun (const std::string& /*instance*/,
                                          std::uint64_t /*promptTokens*/)
{
}

void InstanceLoadReporter::onAttemptEnd (const std::string& /*instance*/) {}

void InstanceLoadReporter::onPause (const std::string& /*instance*/, const std::string& /*model*/,
                                    base::Duration /*pause*/)
{
}

void InstanceLoadReporter::onSlowdown (const std::string& /*instance*/, std::uint32_t /*percent*/,
                                       base::TimePoint /*now*/)
{
}

void InstanceLoadReporter::onLinkLost() {}

std::optional<cell::InstanceLoadReport> InstanceLoadReporter::takeDue (base::TimePoint /*now*/)
{
    return std::nullopt;
}

}  // namespace fernlift::proxy
