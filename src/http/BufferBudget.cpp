#include "http/BufferBudget.h"

#include <algorithm>

namespace fernlift::http
{

std::size_t BufferBudget::maxBytesPerAnswer() const
{
    const std::size_t free = m_maxBytes - std::min (m_used, m_maxBytes);
    return std::clamp (free / kAnswersPerFreeBudget, kMinBytesPerAnswer, kMaxBytesPerAnswer);
}

}  // namespace fernlift::http
