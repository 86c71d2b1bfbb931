#include "http/ConnectionSlots.h"

namespace fernlift::http
{
namespace
{

/// Connections idle for longer are not reused, as the back end may close them at any moment.
constexpr base::Duration kMaxIdle = base::seconds (15);

}  // namespace

ConnectionSlots::Slot ConnectionSlots::acquire (base::TimePoint now, bool needsFreshConnection)
{
    std::erase_if (m_open, [&] (const Slot& slot) { return now - slot.lastUsed > kMaxIdle; });
    std::vector<Slot>& source = needsFreshConnection || m_open.empty() ? m_closed : m_open;
    if (source.empty())
        return Slot{ m_next++, false, now };
    const Slot slot = source.back();
    source.pop_back();
    return slot;
}

void ConnectionSlots::release (Slot slot, bool isOpen, base::TimePoint now)
{
    slot.isOpen = isOpen;
    slot.lastUsed = now;
    (isOpen ? m_open : m_closed).push_back (slot);
}

}  // namespace fernlift::http
