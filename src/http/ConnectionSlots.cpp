#include "http/ConnectionSlots.h"

namespace fernlift::http
{
namespace
{

/// Connections idle for longer may be closed by the back end at any moment and are not reused.
constexpr base::Duration kMaximumIdle = base::seconds (15);

}  // namespace

ConnectionSlots::Slot ConnectionSlots::acquire (base::TimePoint now, bool needsFreshConnection)
{
    std::erase_if (open_, [&] (const Slot& slot) { return now - slot.lastUsed > kMaximumIdle; });
    std::vector<Slot>& source = needsFreshConnection || open_.empty() ? closed_ : open_;
    if (source.empty())
        return Slot{ next_++, false, now };
    const Slot slot = source.back();
    source.pop_back();
    return slot;
}

void ConnectionSlots::release (Slot slot, bool isOpen, base::TimePoint now)
{
    slot.isOpen = isOpen;
    slot.lastUsed = now;
    (isOpen ? open_ : closed_).push_back (slot);
}

}  // namespace fernlift::http
