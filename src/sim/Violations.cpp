#include "sim/Violations.h"

#include <utility>

namespace fernlift::sim
{

void Violations::add (std::string invariant, std::string detail)
{
    if (m_list.size() >= kMaxKept)
        return;
    m_trace.add (m_queue.now(), "VIOLATION " + invariant + ": " + detail);
    m_list.push_back ({ m_queue.now(), std::move (invariant), std::move (detail) });
}

}  // namespace fernlift::sim
