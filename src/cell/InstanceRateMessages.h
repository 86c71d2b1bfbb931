#pragma once

/**
 * Messages for enforcing, over all routers together, the rate limits that runners state in their
 * answers. A router reports the limit that a runner stated. The leader sends the table of limited
 * runners to all routers and grants permits for single requests to them. Controllers that do not
 * lead forward these messages. See docs/design/runner-rates.md.
 *
 * The messages are sent only to peers that support them: to a controller that has sent an
 * InstanceRateUpdate, and to a router or relay whose hello has the feature bit.
 */

#include <boost/serialization/string.hpp>
#include <boost/serialization/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"
#include "cell/QuotaMessages.h"

namespace fernlift::cell
{

/** Lowest rate that is enforced. A runner reports the end of its limit only in an answer, so that a
   runner without requests would stay limited forever. Runners that state a lower rate still receive
   one request in 10 s.
*/
constexpr double kMinRatePerSecond = 0.1;

/** Rate limit stated, or not stated, in one answer of a runner. */
struct InstanceRateStatement
{
    std::string instance;
    base::UnixMilliseconds startedAt = 0;  ///< Start of the incarnation; 0: not stated.
    bool isLimited = false;                ///< False: the answer states no rate.
    double perSecond = 0;                  ///< Requests per second; set if isLimited.
    /** If limited: time since the answer arrived. Otherwise: time since the request was sent,
        because answers overtake one another: only the answer to a request that was sent after the
        last answer with a limit shows that the limit has ended.
    */
    std::int64_t ageMilliseconds = 0;

    bool operator== (const InstanceRateStatement&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& instance& startedAt& isLimited& perSecond& ageMilliseconds;
    }
};

struct InstanceRateReport
{
    std::vector<InstanceRateStatement> statements;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& statements;
    }
};

/** Rate limit of a runner, for the requests of all routers together. */
struct InstanceRate
{
    std::string instance;
    base::UnixMilliseconds startedAt = 0;
    double perSecond = 0;
    std::int64_t ageMilliseconds = 0;  ///< Time since the last known answer that stated it.

    bool operator== (const InstanceRate&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& instance& startedAt& perSecond& ageMilliseconds;
    }
};

/** All limited runners. Sent first on a connection, and again after every change. */
struct InstanceRateUpdate
{
    base::Term term = 0;        ///< Term of the leader that sent the table; 0: no table yet.
    std::uint64_t version = 0;  ///< Version of the table; counted within one term.
    /** Whether the leader grants permits. Leaders of earlier program versions do not; each router
        then limits itself to its own share of a rate.
    */
    bool isGranting = true;
    std::vector<InstanceRate> limited;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& term& version& isGranting& limited;
    }
};

/** Requests permits. The account of each claim is a runner, its units are requests. */
struct InstancePermitRequest
{
    QuotaRequest claims;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& claims;
    }
};

/** Answer to the InstancePermitRequest with the same sequence. */
struct InstancePermitGrant
{
    QuotaGrant grant;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& grant;
    }
};

}  // namespace fernlift::cell
