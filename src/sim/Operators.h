#pragma once

/// Operators of a simulated cell. They concurrently apply different files with equal versions,
/// resend a file when the answer is lost, read the configuration in force, and replace members
/// whose disk was lost.

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

    /// Applies the first file and then applies and reads configurations until `end`.
    void begin (base::TimePoint end);
    /// Replaces the member of a stopped controller whose disk was lost by a new member on the same
    /// machine: adds it, promotes it once it has caught up and removes the old member.
    void replaceMember (ControllerNode& controller);
    /// Applies one more file.
    void applyNext();

    [[nodiscard]] std::uint64_t appliesAnswered() const { return m_appliesAnswered; }
    [[nodiscard]] std::uint64_t readsAnswered() const { return m_readsAnswered; }
    [[nodiscard]] std::uint64_t membersReplaced() const { return m_membersReplaced; }
    [[nodiscard]] bool isReplacing() const { return m_replacing > 0; }

private:
    struct Apply
    {
        OperatorRecord record;
        std::string text;
        int sendCount = 0;
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
    /// Sends a request to a controller, which need not be the leader.
    void sendRequest (ControllerNode& controller, const controller::AdminRequest& request,
                      OnAnswer onAnswer, Action onFailed);
    [[nodiscard]] ControllerNode& likelyLeader();

    World& m_world;
    std::uint64_t m_knownVersion = 0;  ///< Highest version in any answer.
    std::uint64_t m_variants = 0;
    std::uint64_t m_appliesAnswered = 0;
    std::uint64_t m_readsAnswered = 0;
    std::uint64_t m_membersReplaced = 0;
    base::MemberId m_lastMember = 100;
    int m_replacing = 0;
};

}  // namespace fernlift::sim
