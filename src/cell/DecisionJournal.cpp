#include "cell/DecisionJournal.h"

#include <utility>

namespace fernlift::cell
{

std::string_view toString (DecisionKind kind)
{
    switch (kind)
    {
        case DecisionKind::kConfiguration:
            return "configuration";
        case DecisionKind::kRunnerObserved:
            return "runner_observed";
        case DecisionKind::kRunnerRemoved:
            return "runner_removed";
        case DecisionKind::kDraining:
            return "draining";
        case DecisionKind::kLoad:
            return "load";
        case DecisionKind::kUnload:
            return "unload";
        case DecisionKind::kReady:
            return "ready";
        case DecisionKind::kReleased:
            return "released";
    }
    return "unknown";
}

void DecisionJournal::add (DecisionRecord record)
{
    if (record.reason.size() > kMaxReasonBytes)
        record.reason.resize (kMaxReasonBytes);
    m_records.push_back (std::move (record));
    if (m_records.size() > kMaxRecords)
        m_records.pop_front();
}

}  // namespace fernlift::cell
