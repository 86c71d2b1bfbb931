#pragma once

/// Operators of a simulated cell: they race each other with files of equal versions, resend when an
/// answer is lost, read what is in force, and replace members whose disk was lost.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "sim/ConfigurationChecker.h"
#include "sim/ControllerNode.h"
#include "sim/Process.h"
#include "sim/World.h"

namespace fernlift::sim
{

class Operators final : public Process
{
public:
    Operators (World& world, NodeId node);

    /// Applies the first file and then goes on until `end`.
    void begin (base::TimePoint end);
    /// Replaces the member of a dead controller, whose disk is lost, by a new one on the same
    /// machine: adds it, has it catch up, promotes it and removes the old one.
    void replaceMember (ControllerNode& controller);
    /// Applies one more file; used once the cell has healed.
    void applyNext();

    [[nodiscard]] std::uint64_t appliesAnswered() const { return appliesAnswered_; }
    [[nodiscard]] std::uint64_t readsAnswered() const { return readsAnswered_; }
    [[nodiscard]] std::uint64_t membersReplaced() const { return membersReplaced_; }
    [[nodiscard]] bool isReplacing() const { return replacing_ > 0; }

private:
    struct Apply
    {
        OperatorRecord record;
        std::string text;
        int sendings = 0;
    };
    struct Replacement
    {
        consensus::Member member;
        base::MemberId former = 0;
    };
    using OnAnswer = std::function<void (const controller::AnswerAdmin&)>;

    void scheduleApply (base::TimePoint end);
    void scheduleRead (base::TimePoint end);
    void sendApply (Apply apply);
    void read();
    void continueReplacement (Replacement replacement);
    /// Sends to a controller; the operator guesses who leads.
    void ask (ControllerNode& controller, const controller::AdminRequest& request,
              OnAnswer onAnswer, Action onFailed);
    [[nodiscard]] ControllerNode& likelyLeader();

    World& world_;
    std::uint64_t knownVersion_ = 0;  ///< Highest version that any operator heard of.
    std::uint64_t variants_ = 0;
    std::uint64_t appliesAnswered_ = 0;
    std::uint64_t readsAnswered_ = 0;
    std::uint64_t membersReplaced_ = 0;
    base::MemberId lastMember_ = 100;
    int replacing_ = 0;
};

}  // namespace fernlift::sim
