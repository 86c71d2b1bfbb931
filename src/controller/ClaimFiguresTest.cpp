// Prints the processor time and the log size of claims at the controller core, without network and
// disk. The figures are used in docs/design/at-most-once-claims.md.

#include <gtest/gtest.h>

#include <ctime>
#include <iostream>

#include "controller/ControllerCore.h"
#include "wire/Codec.h"

namespace fernlift::controller
{
namespace
{

constexpr std::uint64_t kRequests = 400;
constexpr std::uint64_t kClaimsPerRequest = 50;

/// A cell of one controller whose writes are confirmed at once.
class SingleController
{
public:
    SingleController() : m_core (1, options(), recovered(), 1, m_now, kUnixStart)
    {
        while (m_core.raftStatus().role != consensus::Role::kLeader)
            advance (base::milliseconds (10));
        advance (base::milliseconds (10));
    }
    void advance (base::Duration duration)
    {
        m_now += duration;
        m_core.setTime (m_now, kUnixStart);
        m_core.onTick();
        runEffects();
    }
    void receive (const cell::RouterToController& message)
    {
        m_core.onRouterMessage (1, message);
        runEffects();
    }

    std::uint64_t granted = 0;
    std::uint64_t bytesWritten = 0;
    std::uint64_t writes = 0;

    static constexpr base::UnixMilliseconds kUnixStart = 1'800'000'000'000;

private:
    static ControllerOptions options()
    {
        ControllerOptions options;
        options.cell = base::CellId ("c");
        return options;
    }
    static consensus::RecoveredState recovered()
    {
        consensus::RecoveredState state;
        state.initialMembers.members = { { 1, "a:1", "a:2", "z1", true } };
        return state;
    }
    void runEffects()
    {
        for (bool isBusy = true; isBusy;)
        {
            isBusy = false;
            for (const Effect& effect : m_core.takeEffects())
            {
                if (const auto* write = std::get_if<PersistEffect> (&effect))
                {
                    isBusy = true;
                    ++writes;
                    for (const auto& entry : write->request.entries)
                        bytesWritten += entry.data.size();
                    m_core.onPersisted (write->request.sequence);
                }
                else if (const auto* sent = std::get_if<SendToRouter> (&effect))
                {
                    count (sent->message);
                }
            }
        }
    }
    void count (const cell::ControllerToRouter& message)
    {
        const auto* reply = std::get_if<cell::ClaimReply> (&message);
        if (reply == nullptr)
            return;
        for (const cell::ClaimAnswer& answer : reply->answers)
        {
            if (answer.verdict == cell::ClaimVerdict::kGranted)
                ++granted;
        }
    }

    base::TimePoint m_now{ base::seconds (1) };
    ControllerCore m_core;
};

cell::ClaimRequest requestOf (std::uint64_t sequence)
{
    cell::ClaimRequest request{ sequence, {} };
    for (std::uint64_t number = 0; number < kClaimsPerRequest; ++number)
    {
        const std::string id = std::to_string (sequence) + "-" + std::to_string (number);
        request.claims.push_back ({ base::IdempotencyKey (std::string (30, 'k') + id),
                                    std::string (64, 'd'), base::RouterId ("router-1"),
                                    base::RequestId (std::string (40, 'q') + id),
                                    SingleController::kUnixStart + 600'000 });
    }
    return request;
}

TEST (ClaimFigures, PrintsProcessorTimeOfClaims)
{
    SingleController controller;
    cell::RouterHello hello;
    hello.cell = base::CellId ("c");
    controller.receive (hello);
    const std::uint64_t bytesBefore = controller.bytesWritten;
    const std::uint64_t writesBefore = controller.writes;
    const std::clock_t begin = std::clock();
    for (std::uint64_t sequence = 1; sequence <= kRequests; ++sequence)
    {
        controller.receive (requestOf (sequence));
    }
    const double seconds = static_cast<double> (std::clock() - begin) / CLOCKS_PER_SEC;
    constexpr std::uint64_t kClaims = kRequests * kClaimsPerRequest;
    EXPECT_EQ (controller.granted, kClaims);
    std::cout << kClaims << " claims in requests of " << kClaimsPerRequest << ": " << seconds
              << " s of processor time, " << static_cast<double> (kClaims) / seconds
              << " claims a second, " << (controller.bytesWritten - bytesBefore) / kClaims
              << " bytes each in the log, " << controller.writes - writesBefore << " writes\n";
}

}  // namespace
}  // namespace fernlift::controller
