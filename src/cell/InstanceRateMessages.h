#pragma once

/**
 * Messages by which all routers together keep to the rates that runners state in their answers. A
 * router reports what a runner stated; the leader tells all routers which runners are limited, and
 * grants permits for single requests to them. A controller that does not lead passes all of it on.
 * See docs/design/runner-rates.md.
 *
 * They go only to a peer that is known to read them: to a controller once it has sent an
 * InstanceRateUpdate, to a router or relay whose hello has the feature.
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

/** A runner that gets no request states nothing, so that the end of its need would never be heard
   of: one that states less gets a request in 10 s all the same.
*/
constexpr double kLeastRatePerSecond = 0.1;

/** What one answer of a runner told of its rate. */
struct InstanceRateStatement
{
    std::string instance;
    base::UnixMilliseconds startedAt = 0;  ///< Of the incarnation; 0: it does not tell.
    bool isLimited = false;                ///< False: the answer states no rate.
    double perSecond = 0;                  ///< When limited.
    /** Limited: since the answer came. Else: since its request was sent, so that it says nothing of
        the time before.
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

/** A runner that takes so many requests a second from all routers. */
struct InstanceRate
{
    std::string instance;
    base::UnixMilliseconds startedAt = 0;
    double perSecond = 0;
    std::int64_t ageMilliseconds = 0;  ///< Since an answer stated it last, as far as known.

    bool operator== (const InstanceRate&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& instance& startedAt& perSecond& ageMilliseconds;
    }
};

/** All limited runners. The first message on a connection, then whenever they change. */
struct InstanceRateUpdate
{
    base::Term term = 0;        ///< Of the leader that the table comes from; 0: none yet.
    std::uint64_t version = 0;  ///< Of the table; versions count within one term.
    /** Whether the leader grants permits. One of an earlier version does not: each router then
        keeps to its own share of a rate.
    */
    bool isGranting = true;
    std::vector<InstanceRate> limited;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& term& version& isGranting& limited;
    }
};

/** Asks for permits; the account of each claim is a runner, its units are requests. */
struct InstancePermitRequest
{
    QuotaRequest claims;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& claims;
    }
};

/** Answer to the request of that sequence. */
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
