#pragma once

/// Reserves a share of each runner's slots for urgent classes.

#include <cstdint>
#include <map>
#include <vector>

#include "config/Catalogue.h"

namespace fernlift::admission
{

/// Requests in flight by urgency.
using InFlightByUrgency = std::map<int, std::uint32_t>;

class SlotReservation
{
public:
    SlotReservation() = default;
    explicit SlotReservation (const std::vector<config::RequestClass>& classes);

    /// Whether a request of `urgency` may take one more of `capacity` slots, of which `used` are
    /// taken. `inFlight` counts the requests whose urgency is known. Slots that more urgent classes
    /// have reserved and do not use stay free.
    [[nodiscard]] bool mayStart (int urgency, std::uint32_t capacity, std::uint32_t used,
                                 const InFlightByUrgency& inFlight) const;
    /// Whether any class of this urgency has reserved slots.
    [[nodiscard]] bool hasReservation (int urgency) const { return m_shares.contains (urgency); }
    /// Slots of `capacity` that are reserved for this urgency.
    [[nodiscard]] std::uint32_t reservedSlots (int urgency, std::uint32_t capacity) const;

private:
    [[nodiscard]] std::uint32_t slotsKeptFree (int urgency, std::uint32_t capacity,
                                               const InFlightByUrgency& inFlight) const;

    /// Reserved share by urgency; the shares of several classes of one urgency add up.
    std::map<int, double> m_shares;
};

}  // namespace fernlift::admission
