#pragma once

/// Checks invariants of the configuration: answers to operators are linearizable; a router that
/// holds a lease serves from the latest accepted file, or from one that was replaced less than a
/// lease duration ago, and never returns to an earlier version.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cell/CellState.h"
#include "sim/World.h"

namespace fernlift::sim
{

/// Kind of an operator request.
enum class OperatorCall : std::uint8_t
{
    kApply,
    kRead
};

/// A request that an operator sent.
struct OperatorRecord
{
    OperatorCall call = OperatorCall::kApply;
    std::uint64_t version = 0;  ///< Version of the file in the request.
    std::string digest;
    base::TimePoint sentAt{};
};

/// Content of the answer to an operator request.
struct OperatorAnswer
{
    int httpStatus = 0;
    std::string result;     ///< "accepted", "unchanged" or the name of an error kind.
    bool hasState = false;  ///< The answer contains the configuration in force.
    std::uint64_t inForceVersion = 0;
    std::string inForceDigest;
    bool isInForceEverywhere = false;
};

class ConfigurationChecker
{
public:
    explicit ConfigurationChecker (World& world) : m_world (world) {}

    void onCommitted (const cell::Command& command, const cell::ApplyResult& result);
    void onRouterStarted (RouterNode& router);
    /// Called after every input of a router.
    void onRouterInput (RouterNode& router);
    /// Called when a router makes the first attempt for a request.
    void onFirstDispatch (RouterNode& router);
    void onOperatorAnswer (const OperatorRecord& record, const OperatorAnswer& answer);
    /// Checks that every live router of the healed cell serves from the latest file.
    void checkEnd();

    [[nodiscard]] std::uint64_t latestVersion() const { return m_accepted.size(); }

private:
    struct Accepted
    {
        std::uint64_t version = 0;
        std::string digest;
        base::TimePoint at{};
    };

    void checkRouter (RouterNode& router);
    void checkReportedState (const OperatorRecord& record, const OperatorAnswer& answer);
    void checkOrder (const OperatorRecord& record, const OperatorAnswer& answer);
    [[nodiscard]] const Accepted* find (std::uint64_t version) const;
    /// Time at which the file with this version was replaced; none while it is the latest.
    [[nodiscard]] std::optional<base::TimePoint> replacedAt (std::uint64_t version) const;
    void addViolation (const std::string& invariant, const OperatorRecord& record,
                       const OperatorAnswer& answer, const std::string& problem);

    World& m_world;
    std::vector<Accepted> m_accepted;  ///< Accepted files in order of acceptance.
    /// Versions that answers reported, each higher than all before, with the time of the answer.
    std::vector<std::pair<base::TimePoint, std::uint64_t>> m_reportedVersions;
    std::map<std::string, std::uint64_t> m_servedByRouter;
    std::uint64_t m_everywhereVersion = 0;
};

}  // namespace fernlift::sim
