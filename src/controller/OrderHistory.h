#pragma once

/// Times at which this member applied the log entries that record orders of leaders to registered
/// engines. A new leader may send an engine an order only when the last order that an earlier
/// leader may have sent there is long enough ago.

#include <deque>
#include <map>
#include <string>

#include "base/Time.h"
#include "cell/Commands.h"

namespace fernlift::controller
{

class OrderHistory
{
public:
    /// Starts without information on orders before `now`.
    explicit OrderHistory (base::TimePoint now) : m_knownFrom (now) {}

    /// Records the orders of an applied log entry. They are sent at that time or shortly after.
    void onOrdersRecorded (const cell::RecordOrders& record, base::TimePoint now);
    /// Discards all records after the state was replaced by a snapshot, which skips log entries.
    void forget (base::TimePoint now);

    /// Returns the latest time at which an order to the instance may have been recorded.
    [[nodiscard]] base::TimePoint orderedAt (const std::string& instance) const;
    /// Times of recent loads from the weight store, oldest first.
    [[nodiscard]] const std::deque<base::TimePoint>& storeLoads() const { return m_storeLoads; }
    [[nodiscard]] base::TimePoint knownFrom() const { return m_knownFrom; }

private:
    base::TimePoint m_knownFrom;
    std::map<std::string, base::TimePoint> m_orderedAt;
    std::deque<base::TimePoint> m_storeLoads;
};

}  // namespace fernlift::controller
