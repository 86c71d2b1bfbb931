#pragma once

/// Idempotency keys held for requests that may run at most once.

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

/// What is known of one claimed key.
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

/// The table. A key is kept until its expiry; when the table is full, new keys are refused and no
/// held one is forgotten.
class ClaimTable
{
public:
    /// Most keys held at once.
    static constexpr std::size_t kMaximumKeys = 500'000;
    /// A claim may not ask to be kept longer than this: the longest deadline of a class (one day)
    /// and a window of up to another day.
    static constexpr base::UnixMilliseconds kMaximumLifetime = 172'800'000;
    static constexpr std::size_t kMaximumKeyBytes = 256;
    /// Of the digest, the router and the request.
    static constexpr std::size_t kMaximumFieldBytes = 512;

    /// Decides one claim at state time `now`.
    ClaimAnswer claim (const Claim& claim, base::UnixMilliseconds now);
    /// Records an outcome; ignored unless it comes from the request that holds the key.
    bool record (const OutcomeRecord& outcome);
    /// Forgets keys that expired before `now`.
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
    std::set<std::pair<base::UnixMilliseconds, base::IdempotencyKey>> m_expiries;  ///< Derived.
};

}  // namespace fernlift::cell
