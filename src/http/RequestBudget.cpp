#include "http/RequestBudget.h"

#include <utility>

namespace fernlift::http
{

RequestBudget::Usage::Usage (RequestBudget& budget, std::function<void()> refuse)
    : m_budget (budget), m_refuse (std::move (refuse))
{
    m_budget.m_usages.insert (this);
}

RequestBudget::Usage::~Usage()
{
    release();
    m_budget.m_usages.erase (this);
}

void RequestBudget::Usage::set (std::size_t bytes)
{
    m_budget.m_used += bytes;
    m_budget.m_used -= m_bytes;
    m_bytes = bytes;
}

bool RequestBudget::Usage::receive (std::size_t bytes)
{
    const bool grows = bytes > m_bytes;
    set (bytes);
    m_isReceiving = true;
    while (grows && m_bytes > kMinBytesPerRequest && m_budget.m_used > m_budget.m_maxBytes)
    {
        // This request is not small, so that there is one.
        Usage* const usage = m_budget.largest();
        ++m_budget.m_refused;
        usage->m_isReceiving = false;
        if (usage == this)
            return false;
        usage->m_refuse();
    }
    return true;
}

void RequestBudget::Usage::hold (std::size_t bytes)
{
    set (bytes);
    m_isReceiving = false;
}

RequestBudget::Usage* RequestBudget::largest() const
{
    Usage* found = nullptr;
    std::size_t most = kMinBytesPerRequest;
    for (Usage* usage : m_usages)
    {
        if (! usage->m_isReceiving || usage->m_bytes <= most)
            continue;
        most = usage->m_bytes;
        found = usage;
    }
    return found;
}

}  // namespace fernlift::http
