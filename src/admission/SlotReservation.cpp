#include "admission/SlotReservation.h"

#include <algorithm>
#include <cmath>

namespace fernlift::admission
{

SlotReservation::SlotReservation (const std::vector<config::RequestClass>& classes)
{
    for (const config::RequestClass& requestClass : classes)
    {
        if (requestClass.reservedSlotShare <= 0)
            continue;
        m_shares[requestClass.urgency] += requestClass.reservedSlotShare;
    }
}

std::uint32_t SlotReservation::reservedSlots (int urgency, std::uint32_t capacity) const
{
    const auto share = m_shares.find (urgency);
    if (share == m_shares.end())
        return 0;
    return static_cast<std::uint32_t> (std::lround (share->second * capacity));
}

std::uint32_t SlotReservation::slotsKeptFree (int urgency, std::uint32_t capacity,
                                              const InFlightByUrgency& inFlight) const
{
    std::uint32_t kept = 0;
    for (const auto& entry : m_shares)
    {
        const int moreUrgent = entry.first;
        if (moreUrgent >= urgency)
            break;
        const std::uint32_t reserved = reservedSlots (moreUrgent, capacity);
        const auto taken = inFlight.find (moreUrgent);
        const std::uint32_t used = taken == inFlight.end() ? 0 : taken->second;
        kept += reserved - std::min (reserved, used);
    }
    // At least one slot is left, or small runners would never serve the other classes.
    return std::min (kept, capacity == 0 ? 0 : capacity - 1);
}

bool SlotReservation::mayStart (int urgency, std::uint32_t capacity, std::uint32_t used,
                                const InFlightByUrgency& inFlight) const
{
    return used + 1 + slotsKeptFree (urgency, capacity, inFlight) <= capacity;
}

}  // namespace fernlift::admission
