#pragma once

/// Idempotency keys of requests that may run at most once. Part of the replicated state; not
/// thread-safe.

#include <boost/serialization/map.hpp>
#include <boost/serialization/string.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "base/Ids.h"
#include "base/Time.h"
#include "cell/Commands.h"
#include "cell/RouterMessages.h"

namespace fernlift::cell
{

/// State of a claimed key.
struct ClaimRecord
{
    std::string requestDigest;
    base::RouterId router;
    base::RequestId request;
    base::UnixMilliseconds expiresAt = 0;
    ClaimOutcome outcome = ClaimOutcome::kPending;
    std::int32_t httpStatus = 0;

    bool operator== (const ClaimRecord&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& requestDigest& router& request& expiresAt& outcome& httpStatus;
    }
};

/// Table of claimed keys. A key is kept until it expires. When the table is full, new keys are
/// refused and no existing key is evicted.
class ClaimTable
{
public:
    /// Maximum number of keys in the table.
    static constexpr std::size_t kMaxKeys = 500'000;
    /// Longest time for which a claim may be kept, in milliseconds: the longest deadline of a class
    /// (one day) plus a window of up to another day.
    static constexpr base::UnixMilliseconds kMaxLifetime = 172'800'000;
    static constexpr std::size_t kMaxKeyBytes = 256;
    /// Limit for each of the digest, the router id and the request id.
    static constexpr std::size_t kMaxFieldBytes = 512;

    /// Decides a claim; `now` is the time of the replicated state.
    ClaimAnswer claim (const Claim& claim, base::UnixMilliseconds now);
    /// Records an outcome. Returns false and changes nothing unless it comes from the request that
    /// holds the key and is more certain than the recorded one.
    bool record (const OutcomeRecord& outcome);
    /// Removes keys that expired before `now`.
    void expire (base::UnixMilliseconds now);

    [[nodiscard]] std::size_t size() const { return m_claims.size(); }
    [[nodiscard]] const ClaimRecord* find (const base::IdempotencyKey& key) const;

    bool operator== (const ClaimTable& other) const { return m_claims == other.m_claims; }

    template <class Archive>
    void save (Archive& archive, unsigned /*version*/) const
    {
        archive& m_claims;
    }
    template <class Archive>
    void load (Archive& archive, unsigned /*version*/)
    {
        archive& m_claims;
        m_expiries.clear();
        for (const auto& [key, record] : m_claims)
            m_expiries.emplace (record.expiresAt, key);
    }
    BOOST_SERIALIZATION_SPLIT_MEMBER()

private:
    std::map<base::IdempotencyKey, ClaimRecord> m_claims;
    std::set<std::pair<base::UnixMilliseconds, base::IdempotencyKey>>
        m_expiries;  ///< Derived from m_claims.
};

}  // namespace fernlift::cell
