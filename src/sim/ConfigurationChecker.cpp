#include "sim/ConfigurationChecker.h"

#include <algorithm>
#include <iterator>

#include "sim/RouterNode.h"

namespace fernlift::sim
{
namespace
{

/// A router may go on with a replaced file for the length of its lease; clocks drift.
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
    world_.note ("configuration " + describe (apply->version, apply->digest) + " accepted");
    accepted_.push_back ({ apply->version, apply->digest, world_.now() });
}

// Accepted versions only grow, so both searches may halve the list.

const ConfigurationChecker::Accepted* ConfigurationChecker::find (std::uint64_t version) const
{
    const auto found = std::ranges::lower_bound (accepted_, version, {}, &Accepted::version);
    return found == accepted_.end() || found->version != version ? nullptr : &*found;
}

std::optional<base::TimePoint> ConfigurationChecker::replacedAt (std::uint64_t version) const
{
    const auto next = std::ranges::upper_bound (accepted_, version, {}, &Accepted::version);
    if (next == accepted_.end())
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
    world_.violations.add ("nothing is admitted without a lease",
                           router.name() + " sent a new request to a back end");
}

void ConfigurationChecker::checkRouter (RouterNode& router)
{
    const std::uint64_t version = router.core()->configurationVersion();
    const std::string& digest = router.core()->configurationDigest();
    const Accepted* accepted = find (version);
    if (accepted == nullptr || accepted->digest != digest)
    {
        world_.violations.add ("only accepted configurations are served",
                               router.name() + " serves from " + describe (version, digest));
        return;
    }
    std::uint64_t& served = servedByRouter_[router.name()];
    if (version < served)
    {
        world_.violations.add (kNeverBack, router.name() + " went from " + std::to_string (served)
                                               + " to " + std::to_string (version));
    }
    served = std::max (served, version);
    if (version < everywhereVersion_)
    {
        world_.violations.add (kNeverBack, router.name() + " serves from "
                                               + std::to_string (version) + " although "
                                               + std::to_string (everywhereVersion_)
                                               + " was said to be in force everywhere");
    }
    const auto replaced = replacedAt (version);
    if (! replaced || world_.now() - *replaced <= kLeaseWithDrift)
        return;
    world_.violations.add (
        "a lease ends with its configuration",
        router.name() + " serves from " + std::to_string (version) + ", replaced long ago");
}

void ConfigurationChecker::onOperatorAnswer (const OperatorRecord& record,
                                             const OperatorAnswer& answer)
{
    checkNames (record, answer);
    checkOrder (record, answer);
    if (answer.isInForceEverywhere)
    {
        everywhereVersion_ = std::max (everywhereVersion_, answer.inForceVersion);
        for (const auto& router : world_.routers)
        {
            if (router->isReadyNow())
                checkRouter (*router);
        }
    }
}

void ConfigurationChecker::violate (const std::string& invariant, const OperatorRecord& record,
                                    const OperatorAnswer& answer, const std::string& problem)
{
    const std::string call = record.call == OperatorCall::kApply
                                 ? "apply of " + describe (record.version, record.digest)
                                 : "read";
    world_.violations.add (invariant, call + " answered '" + answer.result + "' with "
                                          + describe (answer.inForceVersion, answer.inForceDigest)
                                          + " in force: " + problem);
}

/// What an answer names must have been accepted, and must fit to what was sent.
void ConfigurationChecker::checkNames (const OperatorRecord& record, const OperatorAnswer& answer)
{
    const bool isApplied = answer.result == "accepted" || answer.result == "unchanged";
    const bool namesState = isApplied || record.call == OperatorCall::kRead;
    if (! namesState)
    {
        if (answer.result == "configuration_conflict")
        {
            const Accepted* winner = find (record.version);
            if (winner == nullptr || winner->digest == record.digest)
            {
                violate (kAnswers, record, answer, "no other file won with this version");
            }
        }
        else if (answer.result == "configuration_stale" && ! replacedAt (record.version))
        {
            violate (kAnswers, record, answer, "no higher version was accepted");
        }
        return;
    }
    if (record.call == OperatorCall::kRead && answer.inForceVersion == 0)
        return;
    const Accepted* accepted = find (answer.inForceVersion);
    if (accepted == nullptr || accepted->digest != answer.inForceDigest)
    {
        violate (kAnswers, record, answer, "that file was never accepted");
    }
    else if (isApplied && answer.inForceDigest != record.digest)
    {
        violate (kAnswers, record, answer, "another file is in force under this version");
    }
}

/// An answer must not show a state older than one that was told before the call was sent.
void ConfigurationChecker::checkOrder (const OperatorRecord& record, const OperatorAnswer& answer)
{
    if (! answer.namesState)
        return;
    // Each entry tells a higher version at a later time than the one before.
    const auto after =
        std::ranges::lower_bound (told_, record.sentAt, {}, &decltype (told_)::value_type::first);
    const std::uint64_t known = after == told_.begin() ? 0 : std::prev (after)->second;
    if (known > answer.inForceVersion)
    {
        violate (kAnswers, record, answer,
                 "version " + std::to_string (known) + " was told before the call");
    }
    const bool isNew = told_.empty() || answer.inForceVersion > told_.back().second;
    if (isNew)
        told_.emplace_back (world_.now(), answer.inForceVersion);
}

void ConfigurationChecker::checkEnd()
{
    for (const auto& router : world_.routers)
    {
        if (! router->isAlive() || router->isFrozen())
            continue;
        const std::uint64_t version = router->core()->configurationVersion();
        const bool isLatest =
            router->isReadyNow() && ! accepted_.empty() && version == accepted_.back().version;
        if (isLatest)
            continue;
        world_.violations.add ("every live router reaches the latest configuration",
                               router->name() + " has " + std::to_string (version)
                                   + (router->isReadyNow() ? "" : " and no lease"));
    }
}

}  // namespace fernlift::sim
