#pragma once

/// Bounded history of the decisions of a cell with their reasons, for operators. Part of the
/// replicated state.

#include <boost/serialization/deque.hpp>
#include <boost/serialization/string.hpp>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "base/Ids.h"
#include "base/Time.h"

namespace fernlift::cell
{

enum class DecisionKind : std::uint8_t
{
    kConfiguration,
    kRunnerObserved,
    kRunnerRemoved,
    kDraining,
    kLoad,
    kUnload,
    kReady,
    kReleased,
};
[[nodiscard]] std::string_view toString (DecisionKind kind);

/// One decision and its outcome.
struct DecisionRecord
{
    base::LogIndex index = 0;
    base::UnixMilliseconds at = 0;
    DecisionKind kind = DecisionKind::kConfiguration;
    std::string target;  ///< Model or adapter; empty if the decision concerns neither.
    base::RunnerId runner;
    base::ReplicaId replica = 0;
    std::string outcome;  ///< "granted", or the reason of the refusal.
    std::string reason;   ///< Reason given by the proposer.

    bool operator== (const DecisionRecord&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& index& at& kind& target& runner& replica& outcome& reason;
    }
};

/// Bounded list of records, oldest first.
class DecisionJournal
{
public:
    static constexpr std::size_t kMaxRecords = 2000;
    /// Longer reasons are truncated.
    static constexpr std::size_t kMaxReasonBytes = 1000;

    void add (DecisionRecord record);
    [[nodiscard]] const std::deque<DecisionRecord>& records() const { return m_records; }

    bool operator== (const DecisionJournal&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& m_records;
    }

private:
    std::deque<DecisionRecord> m_records;
};

}  // namespace fernlift::cell
