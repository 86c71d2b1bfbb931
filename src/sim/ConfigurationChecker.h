#pragma once

/// Invariants of the configuration: answers to operators are linearizable, a router that holds a
/// lease serves from the latest accepted file or one replaced a moment ago, and never goes back.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cell/CellState.h"
#include "sim/World.h"

namespace fernlift::sim
{

/// What an operator did.
enum class OperatorCall : std::uint8_t
{
    kApply,
    kRead
};

/// One call of an operator, from its sending to its answer.
struct OperatorRecord
{
    OperatorCall call = OperatorCall::kApply;
    std::uint64_t version = 0;  ///< Of the file sent.
    std::string digest;
    base::TimePoint sentAt{};
};

/// What the answer said.
struct OperatorAnswer
{
    int httpStatus = 0;
    std::string result;       ///< "accepted", "unchanged", or the name of an error kind.
    bool namesState = false;  ///< It says what is in force.
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
    /// After every input of a router.
    void onRouterInput (RouterNode& router);
    /// A router sends a request to a back end for the first time.
    void onFirstDispatch (RouterNode& router);
    void onOperatorAnswer (const OperatorRecord& record, const OperatorAnswer& answer);
    /// Once the cell has healed: every live router serves from the latest file.
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
    void checkNames (const OperatorRecord& record, const OperatorAnswer& answer);
    void checkOrder (const OperatorRecord& record, const OperatorAnswer& answer);
    [[nodiscard]] const Accepted* find (std::uint64_t version) const;
    /// When the file of this version was replaced; none while it is the latest.
    [[nodiscard]] std::optional<base::TimePoint> replacedAt (std::uint64_t version) const;
    void violate (const std::string& invariant, const OperatorRecord& record,
                  const OperatorAnswer& answer, const std::string& problem);

    World& m_world;
    std::vector<Accepted> m_accepted;  ///< In the order of acceptance.
    /// Highest version that an answer told, with the time of the answer.
    std::vector<std::pair<base::TimePoint, std::uint64_t>> m_told;
    std::map<std::string, std::uint64_t> m_servedByRouter;
    std::uint64_t m_everywhereVersion = 0;
};

}  // namespace fernlift::sim
