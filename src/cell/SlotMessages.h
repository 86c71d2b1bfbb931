#pragma once

/**
 * Messages that bound the requests which all routers together have at runners that state that they
 * are brittle: such a runner fails when it has to decline requests. While a service is brittle,
 * each request to one of its runners needs a slot of that runner, which the leader assigns and
 * which is in use until the request has ended. See docs/design/brittle-runners.md.
 *
 * A router states all that it has in use and all that it waits for in each report, so that a lost
 * report does no harm. Controllers that do not lead forward reports and grants. The messages are
 * sent only to peers that support them: to a controller that has sent a BrittleServices message,
 * and to a router or relay whose hello has the feature bit.
 */

#include <boost/serialization/string.hpp>
#include <boost/serialization/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"

namespace fernlift::cell
{

/** What one answer of a runner states about its brittleness. */
struct BrittleStatement
{
    std::string instance;
    base::UnixMilliseconds startedAt = 0;  ///< Start of the incarnation; 0: not stated.
    bool isBrittle = false;
    bool isDecline = false;  ///< The answer declined its request.
    /** If brittle: time since the answer arrived. Otherwise: time since the request was sent,
       because answers overtake one another.
    */
    std::int64_t ageMilliseconds = 0;

    bool operator== (const BrittleStatement&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& instance& startedAt& isBrittle& isDecline& ageMilliseconds;
    }
};

/** Slots of one runner that a router has in use: open requests, and grants it has not used yet. */
struct SlotUse
{
    std::string instance;
    base::UnixMilliseconds startedAt = 0;
    std::uint32_t slots = 0;
    std::int64_t endsInMilliseconds = 0;  ///< Time until the last of these requests has ended.

    bool operator== (const SlotUse&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& instance& startedAt& slots& endsInMilliseconds;
    }
};

/** A request that waits for a slot of one of some runners. */
struct SlotClaim
{
    std::uint64_t id = 0;       ///< Unique within the process of the router.
    std::int32_t priority = 0;  ///< 0: most urgent.
    std::int64_t waitedMilliseconds = 0;
    std::int64_t lastsMilliseconds = 0;  ///< Longest time for which the request may use the slot.
    std::vector<std::string> instances;  ///< Runners that could serve it, the best one first.

    bool operator== (const SlotClaim&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& id& priority& waitedMilliseconds& lastsMilliseconds& instances;
    }
};

/** Everything that one process of a router has in use and waits for. */
struct SlotReport
{
    std::uint64_t holder = 0;    ///< Drawn by the process at its start; never used again.
    std::string router;          ///< Name of the router.
    std::uint64_t sequence = 0;  ///< Increases with each report of the holder.
    /** The holder uses no grant that answers an earlier report than this one. */
    std::uint64_t firstSequence = 0;
    base::Term term = 0;           ///< Term of the leader whose grants `grantsSeen` counts.
    std::uint64_t grantsSeen = 0;  ///< Last grant of this term that `uses` takes into account.
    std::vector<SlotUse> uses;
    std::vector<SlotClaim> claims;

    bool operator== (const SlotReport&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& holder& router& sequence& firstSequence& term& grantsSeen& uses& claims;
    }
};

/** Report of one router, or those that a relay received since its last message of this type. */
struct SlotReports
{
    std::vector<BrittleStatement> statements;
    std::vector<SlotReport> reports;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& statements& reports;
    }
};

/** Services whose runners are brittle. Sent first on a connection, and after every change. */
struct BrittleServices
{
    base::Term term = 0;        ///< Term of the leader that sent the list; 0: no list yet.
    std::uint64_t version = 0;  ///< Version of the list; counted within one term.
    /** Whether the leader assigns slots. Leaders of earlier program versions do not. */
    bool isGranting = true;
    std::vector<std::string> services;

    bool operator== (const BrittleServices&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& term& version& isGranting& services;
    }
};

/** A slot of `instance` for the request of this claim. */
struct SlotGrant
{
    std::uint64_t holder = 0;
    std::uint64_t number = 0;  ///< Increases with each grant of the holder within a term.
    /** Last report of the holder that the leader had. The grant is valid for a limited time after
        that report was SENT.
    */
    std::uint64_t sequence = 0;
    std::uint64_t claim = 0;
    std::string instance;
    base::UnixMilliseconds startedAt = 0;

    bool operator== (const SlotGrant&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& holder& number& sequence& claim& instance& startedAt;
    }
};

struct SlotGrants
{
    base::Term term = 0;
    std::vector<SlotGrant> grants;

    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& term& grants;
    }
};

/** Time for which a grant may be used after its holder sent the report that it answers. */
constexpr base::Duration kSlotGrantLifetime = base::seconds (1);

}  // namespace fernlift::cell
