#pragma once

/// Names of connections to one back end, so that each exchange has a connection of its own.

#include <cstdint>
#include <string>
#include <vector>

#include "base/Time.h"

namespace fernlift::http
{

/// Qt's network access keeps at most six connections for each peer name; with one name for each
/// slot and one exchange for each slot at a time, there is no such limit and no queueing.
class ConnectionSlots
{
public:
    struct Slot
    {
        std::uint64_t number = 0;
        bool isOpen = false;  ///< Its connection was open when last used.
        base::TimePoint lastUsed;

        [[nodiscard]] std::string name() const { return "slot-" + std::to_string (number); }
    };

    /// A slot whose connection was used a moment ago if there is one, else one without a
    /// connection.
    Slot acquire (base::TimePoint now, bool needsFreshConnection);
    /// Gives a slot back. Slots of broken or cancelled exchanges are not given back.
    void release (Slot slot, bool isOpen, base::TimePoint now);
    /// Uses none of the open connections again: one that was used like them has gone silent.
    void forgetOpen() { m_open.clear(); }

private:
    std::vector<Slot> m_open;    ///< The most recently used one last.
    std::vector<Slot> m_closed;  ///< Their connections were closed by the back end's own wish.
    std::uint64_t m_next = 0;
};

}  // namespace fernlift::http
