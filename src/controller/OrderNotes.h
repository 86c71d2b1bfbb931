#pragma once

/// When this member learnt of each leader's orders to registered engines. A new leader may order an
/// engine only once the last order that an earlier one may have sent there is long enough ago.

#include <deque>
#include <map>
#include <string>

#include "base/Time.h"
#include "cell/Commands.h"

namespace fernlift::controller
{

class OrderNotes
{
public:
    /// Nothing is known of orders before `now`.
    explicit OrderNotes (base::TimePoint now) : m_knownFrom (now) {}

    /// A committed note was applied. Orders leave at that time or shortly after.
    void onNote (const cell::NoteOrders& note, base::TimePoint now);
    /// The state was replaced: what was noted meanwhile is not known.
    void forget (base::TimePoint now);

    /// Latest time at which an order to the instance may have been noted.
    [[nodiscard]] base::TimePoint orderedAt (const std::string& instance) const;
    /// Times of loads from the weight store that were noted lately, oldest first.
    [[nodiscard]] const std::deque<base::TimePoint>& storeLoads() const { return m_storeLoads; }
    [[nodiscard]] base::TimePoint knownFrom() const { return m_knownFrom; }

private:
    base::TimePoint m_knownFrom;
    std::map<std::string, base::TimePoint> m_orderedAt;
    std::deque<base::TimePoint> m_storeLoads;
};

}  // namespace fernlift::controller
