#pragma once

/// Connection names for one back end, so that each exchange uses a connection of its own.

#include <cstdint>
#include <string>
#include <vector>

#include "base/Time.h"

namespace fernlift::http
{

/// Qt's network access opens at most six connections per peer name and queues further requests.
/// With one name per slot and one exchange per slot at a time, neither the limit nor the queue
/// applies.
class ConnectionSlots
{
public:
    struct Slot
    {
        std::uint64_t number = 0;
        bool isOpen = false;  ///< The connection stayed open after its last use.
        base::TimePoint lastUsed;

        [[nodiscard]] std::string name() const { return "slot-" + std::to_string (number); }
    };

    /// Returns the slot with the most recently used open connection, or a slot without a connection
    /// if there is none or a fresh connection is needed.
    Slot acquire (base::TimePoint now, bool needsFreshConnection);
    /// Returns a slot for reuse. Slots of broken or cancelled exchanges must not be returned.
    void release (Slot slot, bool isOpen, base::TimePoint now);
    /// Stops the reuse of all open connections, after another one to this back end stopped
    /// responding.
    void forgetOpen() { m_open.clear(); }

private:
    std::vector<Slot> m_open;    ///< Slots by last use, the most recent last.
    std::vector<Slot> m_closed;  ///< Slots whose connection ended with `Connection: close`.
    std::uint64_t m_next = 0;
};

}  // namespace fernlift::http
