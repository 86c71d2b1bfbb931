#pragma once

/// Test support: a simulated controller for the model test of RouterCore. It records what it sent
/// to the router, so that the model can check which leases, claims and rows the router may use.

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "router/RouterTestHarness.h"

namespace fernlift::router::testing
{

/// Leader with claims, leases and a replica table, and a connection that can be interrupted.
class ModelController
{
public:
    bool isConnected = false;

    void onSent (const cell::RouterToController& message, base::TimePoint now)
    {
        if (const auto* request = std::get_if<cell::LeaseRequest> (&message))
        {
            m_leaseRequests.emplace_back (*request, now);
        }
        else if (const auto* claims = std::get_if<cell::ClaimRequest> (&message))
        {
            m_claimRequests.push_back (*claims);
        }
        else if (const auto* report = std::get_if<cell::OutcomeReport> (&message))
        {
            m_outcomes.insert (m_outcomes.end(), report->outcomes.begin(), report->outcomes.end());
        }
    }

    /// Drops the connection and the messages in transit. With `commits`, they are committed first
    /// and only their replies are lost.
    void disconnect (bool commits)
    {
        isConnected = false;
        m_leaseRequests.clear();
        if (commits)
            commit();
        m_claimRequests.clear();
        m_outcomes.clear();
    }

    /// Returns a grant for every unanswered lease request.
    std::vector<cell::ControllerToRouter> grantLeases (std::int64_t milliseconds)
    {
        std::vector<cell::ControllerToRouter> grants;
        for (const auto& [request, sentAt] : std::exchange (m_leaseRequests, {}))
        {
            m_leaseUntil = std::max<base::TimePoint> (m_leaseUntil,
                                                      sentAt + base::milliseconds (milliseconds));
            grants.emplace_back (cell::LeaseGrant{ request.sequence, configurationVersion,
                                                   digestOf (configurationVersion), 1, milliseconds,
                                                   m_tableVersion });
            if (request.replicaTableVersion == 0)
                grants.emplace_back (wholeTable());
        }
        return grants;
    }
    /// True if no granted lease is valid at `now`.
    [[nodiscard]] bool hasNoLease (base::TimePoint now) const { return now >= m_leaseUntil; }

    /// Commits the received outcomes and claims, and returns the replies to the claims.
    std::vector<cell::ControllerToRouter> commit()
    {
        for (const auto& outcome : std::exchange (m_outcomes, {}))
            recordOutcome (outcome);
        std::vector<cell::ControllerToRouter> replies;
        for (const auto& request : std::exchange (m_claimRequests, {}))
        {
            replies.emplace_back (decide (request));
        }
        return replies;
    }
    /// True if the key is held by the claim of the router's request `id`.
    [[nodiscard]] bool isGranted (const base::IdempotencyKey& key, const std::string& id) const
    {
        const auto entry = m_keys.find (key);
        return entry != m_keys.end() && entry->second.outcome == cell::ClaimOutcome::kPending
               && entry->second.request.value.rfind (id + "/", 0) == 0;
    }

    [[nodiscard]] cell::ControllerToRouter configuration (std::uint64_t version) const
    {
        std::string text = kCatalogueText;
        text.replace (text.find ("version = 1"), 11, "version = " + std::to_string (version));
        return cell::ConfigurationUpdate{ version, digestOf (version), text };
    }
    std::uint64_t configurationVersion = 1;

    /// Adds or replaces a row and returns the change as a delta. The incarnation of a replaced row
    /// may be new.
    cell::ReplicaUpdate upsert (const cell::RoutableReplica& row)
    {
        m_rows[row.runner.value + row.target] = row;
        return difference ({ row }, {});
    }
    cell::ReplicaUpdate remove (const std::string& runner, const std::string& target)
    {
        const auto entry = m_rows.find (runner + target);
        if (entry == m_rows.end())
            return difference ({}, {});
        const cell::RoutableReplica row = entry->second;
        m_rows.erase (entry);
        return difference ({}, { row });
    }
    cell::ReplicaUpdate estimate (const cell::TargetEstimate& estimate)
    {
        m_estimates[estimate.target] = estimate;
        cell::ReplicaUpdate update = difference ({}, {});
        update.estimates = { estimate };
        return update;
    }
    [[nodiscard]] cell::ReplicaUpdate wholeTable() const
    {
        cell::ReplicaUpdate update;
        update.toVersion = m_tableVersion;
        for (const auto& [key, row] : m_rows)
            update.upserts.push_back (row);
        for (const auto& [target, estimate] : m_estimates)
            update.estimates.push_back (estimate);
        return update;
    }
    using RunnerStart = std::pair<base::RunnerId, base::Incarnation>;
    /// True if the target has a row at a runner that is not in `leaving`.
    [[nodiscard]] bool hasRow (const std::string& target,
                               const std::set<RunnerStart>& leaving) const
    {
        return std::any_of (
            m_rows.begin(), m_rows.end(),
            [&] (const auto& entry)
            {
                const cell::RoutableReplica& row = entry.second;
                return row.target == target && ! leaving.contains ({ row.runner, row.incarnation });
            });
    }

private:
    struct Key
    {
        base::RequestId request;
        cell::ClaimOutcome outcome = cell::ClaimOutcome::kPending;
    };

    static std::string digestOf (std::uint64_t version)
    {
        return "digest-" + std::to_string (version);
    }

    cell::ReplicaUpdate difference (std::vector<cell::RoutableReplica> upserts,
                                    std::vector<cell::RoutableReplica> removals)
    {
        cell::ReplicaUpdate update;
        update.fromVersion = m_tableVersion;
        update.toVersion = ++m_tableVersion;
        update.upserts = std::move (upserts);
        update.removals = std::move (removals);
        return update;
    }

    cell::ClaimReply decide (const cell::ClaimRequest& request)
    {
        cell::ClaimReply reply{ request.sequence, {} };
        for (const cell::Claim& claim : request.claims)
        {
            reply.answers.push_back ({ claim.key, claim.request, verdictOf (claim), 200 });
        }
        return reply;
    }

    cell::ClaimVerdict verdictOf (const cell::Claim& claim)
    {
        const auto [entry, isNew] = m_keys.try_emplace (claim.key, Key{ claim.request });
        Key& key = entry->second;
        if (! isNew && key.outcome == cell::ClaimOutcome::kNotRun)
            key = Key{ claim.request };
        if (key.outcome == cell::ClaimOutcome::kRan)
            return cell::ClaimVerdict::kAlreadyRan;
        if (key.outcome == cell::ClaimOutcome::kUnknown)
            return cell::ClaimVerdict::kOutcomeUnknown;
        const bool isOwn = key.request == claim.request;
        return isOwn ? cell::ClaimVerdict::kGranted : cell::ClaimVerdict::kInProgress;
    }

    void recordOutcome (const cell::OutcomeRecord& record)
    {
        const auto entry = m_keys.find (record.key);
        if (entry == m_keys.end() || entry->second.request != record.request)
            return;
        if (entry->second.outcome == cell::ClaimOutcome::kPending)
            entry->second.outcome = record.outcome;
    }

    std::vector<std::pair<cell::LeaseRequest, base::TimePoint>> m_leaseRequests;
    std::vector<cell::ClaimRequest> m_claimRequests;
    std::vector<cell::OutcomeRecord> m_outcomes;
    base::TimePoint m_leaseUntil{};
    std::map<base::IdempotencyKey, Key> m_keys;
    std::map<std::string, cell::RoutableReplica> m_rows;
    std::map<std::string, cell::TargetEstimate> m_estimates;
    std::uint64_t m_tableVersion = 1;
};

}  // namespace fernlift::router::testing
