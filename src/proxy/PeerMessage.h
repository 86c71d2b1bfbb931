#pragma once

/**
 * Header fields between two routers, one of which serves a request for the other.
 *
 * The request is sent as the caller sent it, with one more field at its end. The router that serves
 * it adds one field at the end of its answer, whether the answer is a runner's or its own. Only the
 * last field of the name counts, so that fields of the same name from callers and runners pass
 * unchanged.
 */

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/Error.h"
#include "base/Time.h"
#include "cell/StreamMessages.h"
#include "http/Message.h"
#include "proxy/ProtocolNames.h"
#include "proxy/RequestParser.h"

namespace fernlift::proxy
{

/** Sent to the other routers when a stream has begun. */
using cell::StreamNotice;

/** How a router reaches the runners. */
enum class PeerPath : std::uint8_t
{
    kOpen,
    kInDoubt,   ///< A probe has failed; routers of the same zone check their own paths.
    kIsolated,  ///< It reaches no runner and serves nothing for other routers.
};

/** Path of the sending router; sent to the others when it changes. */
struct PathNotice
{
    PeerPath path = PeerPath::kOpen;

    bool operator== (const PathNotice&) const = default;
};

/** Asks for the streams that the other router has recorded; its answer has a StreamPage as body. */
struct StreamQuery
{
    std::string after;  ///< Only streams with higher keys; empty: all.

    bool operator== (const StreamQuery&) const = default;
};

using PeerNotice = std::variant<StreamNotice, PathNotice, StreamQuery>;

/** Statement of the router that received a request from its caller. */
struct PeerRequest
{
    std::string router;     ///< Name of that router.
    std::uint64_t key = 0;  ///< Key of the router that the request is sent to.
    /// Version of the configuration by which the request was admitted; an older one must not be
    /// applied to it.
    std::uint64_t configurationVersion = 0;
    std::string avoidedInstance;  ///< Runner of an earlier attempt; may be empty.
    /// Set for a stream that goes on: no runner of another software version may be chosen.
    std::string softwareVersion{};
    /// Set in a message that is no request but a notice. Earlier builds answer that no route leads
    /// there.
    std::optional<PeerNotice> notice{};

    bool operator== (const PeerRequest&) const = default;
};

enum class PeerOutcome : std::uint8_t
{
    kAnswered,     ///< The answer is a runner's.
    kRefused,      ///< No runner executed the request, and none would now at another router.
    kFailed,       ///< The request may have been executed.
    kUnreachable,  ///< Not executed: the router cannot connect to runners that could serve it.
    kUnavailable,  ///< Not executed: the router serves nothing for others at the moment.
};

/** Statement of the router that served a request for another one. */
struct PeerAnswer
{
    PeerOutcome outcome = PeerOutcome::kFailed;
    std::uint32_t attempts = 0;  ///< Runners that the request was sent to; 0 or 1.
    std::string runner;          ///< Last of these runners; may be empty.
    bool isIsolated = false;     ///< The router can connect to no runner at all.
    bool isNoticeRead = false;   ///< The answer is to a notice.
    /// Software version of the runner; empty if not known. None from routers of earlier builds,
    /// which choose runners without regard to it.
    std::optional<std::string> softwareVersion{};

    bool operator== (const PeerAnswer&) const = default;
};

[[nodiscard]] std::string_view toString (PeerOutcome outcome);
[[nodiscard]] std::string_view toString (PeerPath path);

/** Text of the field, for example "router=a;key=1f;configuration=7;avoid=". */
[[nodiscard]] std::string formatPeerRequest (const PeerRequest& request);
[[nodiscard]] std::string formatPeerAnswer (const PeerAnswer& answer);

/** Removes the field from the end of the header fields and parses it. Fails with kMessageInvalid
    when it is missing or invalid.
*/
[[nodiscard]] base::Result<PeerRequest> takePeerRequest (http::Headers& headers);
[[nodiscard]] base::Result<PeerAnswer> takePeerAnswer (http::Headers& headers);
/** Adds the field at the end. */
void addPeerAnswer (http::Headers& headers, const PeerAnswer& answer);

/** Fields of a request that a router sets when it sends the request to another one. */
struct PeerRequestFields
{
    PeerRequest statement;
    base::Duration timeLeft{};
    std::optional<std::string> lastEventId;  ///< Event after which a stream is resumed.
};

/** Request as sent to another router, with all fields of the caller but those of the connection. */
[[nodiscard]] std::string peerRequestBytes (const ParsedRequest& request,
                                            const ProtocolNames& names,
                                            const PeerRequestFields& fields);

/** Notice as sent to another router. */
[[nodiscard]] std::string peerNoticeBytes (const PeerRequest& statement);

}  // namespace fernlift::proxy
