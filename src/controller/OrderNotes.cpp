#include "controller/OrderNotes.h"

#include <algorithm>

namespace fernlift::controller
{
namespace
{

/// Notes older than this concern no pause and no rate.
constexpr base::Duration kNoteLife = base::seconds (60);

}  // namespace

void OrderNotes::onNote (const cell::NoteOrders& note, base::TimePoint now)
{
    for (const cell::NotedOrder& order : note.orders)
    {
        orderedAt_[order.instance] = now;
        if (order.isFromStore)
            storeLoads_.push_back (now);
    }
    std::erase_if (orderedAt_, [&] (const auto& item) { return now - item.second > kNoteLife; });
    while (! storeLoads_.empty() && now - storeLoads_.front() > kNoteLife)
        storeLoads_.pop_front();
}

void OrderNotes::forget (base::TimePoint now)
{
    knownFrom_ = now;
    orderedAt_.clear();
    storeLoads_.clear();
}

base::TimePoint OrderNotes::orderedAt (const std::string& instance) const
{
    const auto found = orderedAt_.find (instance);
    return found == orderedAt_.end() ? knownFrom_ : std::max (found->second, knownFrom_);
}

}  // namespace fernlift::controller
