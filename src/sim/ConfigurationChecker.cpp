#include "sim/ConfigurationChecker.h"

#include <algorithm>
#include <iterator>

#include "sim/RouterNode.h"

namespace fernlift::sim
{
namespace
{

/// A router may serve from a replaced file until its 2 s lease ends; 10 ms allow for clock drift.
constexpr base::Duration kLeaseWithDrift = base::milliseconds (2010);

constexpr const char* kAnswers = "answers to operators are linearizable";
constexpr const char* kNeverBack = "configuration never goes back at a router";

std::string describe (std::uint64_t version, const std::string& digest)
{
    return std::to_string (version) + "/" + digest.substr (0, 8);
}

}  // namespace

void ConfigurationChecker::onCommitted (const cell::Command& command,
                                        const cell::ApplyResult& result)
{
    const auto* apply = std::get_if<cell::ApplyConfiguration> (&command);
    if (apply == nullptr)
        return;
    const auto& outcome = std::get<cell::ConfigurationResult> (result);
    if (outcome.outcome != cell::ConfigurationOutcome::kAccepted)
        return;
    m_world.addToTrace ("configuration " + describe (apply->version, apply->digest) + " accepted");
    m_accepted.push_back ({ apply->version, apply->digest, m_world.now() });
}

// Accepted versions only increase, so find() and replacedAt() can use binary search.

const ConfigurationChecker::Accepted* ConfigurationChecker::find (std::uint64_t version) const
{
    const auto found = std::ranges::lower_bound (m_accepted, version, {}, &Accepted::version);
    return found == m_accepted.end() || found->version != version ? nullptr : &*found;
}

std::optional<base::TimePoint> ConfigurationChecker::replacedAt (std::uint64_t version) const
{
    const auto next = std::ranges::upper_bound (m_accepted, version, {}, &Accepted::version);
    if (next == m_accepted.end())
        return std::nullopt;
    return next->at;
}

void ConfigurationChecker::onRouterStarted (RouterNode& /*router*/) {}

void ConfigurationChecker::onRouterInput (RouterNode& router)
{
    if (router.core()->isReady())
        checkRouter (router);
}

void ConfigurationChecker::onFirstDispatch (RouterNode& router)
{
    if (router.core()->isReady())
        return;
    m_world.violations.add ("nothing is admitted without a lease",
                            router.name() + " sent a new request to a back end");
}

void ConfigurationChecker::checkRouter (RouterNode& router)
{
    const std::uint64_t version = router.core()->configurationVersion();
    const std::string& digest = router.core()->configurationDigest();
    const Accepted* accepted = find (version);
    if (accepted == nullptr || accepted->digest != digest)
    {
        m_world.violations.add ("only accepted configurations are served",
                                router.name() + " serves from " + describe (version, digest));
        return;
    }
    std::uint64_t& served = m_servedByRouter[router.name()];
    if (version < served)
    {
        m_world.violations.add (kNeverBack, router.name() + " went from " + std::to_string (served)
                                                + " to " + std::to_string (version));
    }
    served = std::max (served, version);
    if (version < m_everywhereVersion)
    {
        m_world.violations.add (kNeverBack, router.name() + " serves from "
                                                + std::to_string (version) + " although "
                                                + std::to_string (m_everywhereVersion)
                                                + " was reported as in force everywhere");
    }
    const auto replaced = replacedAt (version);
    if (! replaced || m_world.now() - *replaced <= kLeaseWithDrift)
        return;
    m_world.violations.add ("a lease ends with its configuration",
                            router.name() + " serves from " + std::to_string (version)
                                + ", which was replaced more than one lease duration ago");
}

void ConfigurationChecker::onOperatorAnswer (const OperatorRecord& record,
                                             const OperatorAnswer& answer)
{
    checkReportedState (record, answer);
    checkOrder (record, answer);
    if (answer.isInForceEverywhere)
    {
        m_everywhereVersion = std::max (m_everywhereVersion, answer.inForceVersion);
        for (const auto& router : m_world.routers)
        {
            if (router->isReadyNow())
                checkRouter (*router);
        }
    }
}

void ConfigurationChecker::addViolation (const std::string& invariant, const OperatorRecord& record,
                                         const OperatorAnswer& answer, const std::string& problem)
{
    const std::string call = record.call == OperatorCall::kApply
                                 ? "apply of " + describe (record.version, record.digest)
                                 : "read";
    m_world.violations.add (invariant, call + " answered '" + answer.result + "' with "
                                           + describe (answer.inForceVersion, answer.inForceDigest)
                                           + " in force: " + problem);
}

/// Checks that the configuration in an answer was accepted and is consistent with the request.
void ConfigurationChecker::checkReportedState (const OperatorRecord& record,
                                               const OperatorAnswer& answer)
{
    const bool isApplied = answer.result == "accepted" || answer.result == "unchanged";
    const bool hasState = isApplied || record.call == OperatorCall::kRead;
    if (! hasState)
    {
        if (answer.result == "configuration_conflict")
        {
            const Accepted* winner = find (record.version);
            if (winner == nullptr || winner->digest == record.digest)
            {
                addViolation (kAnswers, record, answer,
                              "no other file was accepted with this version");
            }
        }
        else if (answer.result == "configuration_stale" && ! replacedAt (record.version))
        {
            addViolation (kAnswers, record, answer, "no higher version was accepted");
        }
        return;
    }
    if (record.call == OperatorCall::kRead && answer.inForceVersion == 0)
        return;
    const Accepted* accepted = find (answer.inForceVersion);
    if (accepted == nullptr || accepted->digest != answer.inForceDigest)
    {
        addViolation (kAnswers, record, answer, "that file was never accepted");
    }
    else if (isApplied && answer.inForceDigest != record.digest)
    {
        addViolation (kAnswers, record, answer, "another file is in force under this version");
    }
}

/// Checks that an answer is not older than a state reported before the request was sent.
void ConfigurationChecker::checkOrder (const OperatorRecord& record, const OperatorAnswer& answer)
{
    if (! answer.hasState)
        return;
    // Times and versions increase from entry to entry.
    const auto after = std::ranges::lower_bound (m_reportedVersions, record.sentAt, {},
                                                 &decltype (m_reportedVersions)::value_type::first);
    const std::uint64_t known = after == m_reportedVersions.begin() ? 0 : std::prev (after)->second;
    if (known > answer.inForceVersion)
    {
        addViolation (
            kAnswers, record, answer,
            "version " + std::to_string (known) + " had been reported before the request was sent");
    }
    const bool isNew =
        m_reportedVersions.empty() || answer.inForceVersion > m_reportedVersions.back().second;
    if (isNew)
        m_reportedVersions.emplace_back (m_world.now(), answer.inForceVersion);
}

void ConfigurationChecker::checkEnd()
{
    for (const auto& router : m_world.routers)
    {
        if (! router->isAlive() || router->isFrozen())
            continue;
        const std::uint64_t version = router->core()->configurationVersion();
        const bool isLatest =
            router->isReadyNow() && ! m_accepted.empty() && version == m_accepted.back().version;
        if (isLatest)
            continue;
        m_world.violations.add ("every live router reaches the latest configuration",
                                router->name() + " has " + std::to_string (version)
                                    + (router->isReadyNow() ? "" : " and no lease"));
    }
}

}  // namespace fernlift::sim
