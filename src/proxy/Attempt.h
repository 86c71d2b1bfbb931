#pragma once

/** One attempt of an exchange at a runner or at another router. */

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/SocketAddress.h"
#include "base/Time.h"
#include "cell/ServiceInstances.h"
#include "http/AnswerParser.h"
#include "http/BackEndConnection.h"
#include "http/EventSplitter.h"
#include "proxy/PeerMessage.h"
#include "proxy/PeerRouters.h"

namespace fernlift::proxy
{

/** Treatment of the answer that is being read. */
enum class AnswerUse : std::uint8_t
{
    kNone,      ///< No answer head was received yet.
    kBuffer,    ///< Buffered until complete.
    kForward,   ///< Forwarded as it arrives.
    kEvents,    ///< Forwarded event by event.
    kRefusal,   ///< The runner did not execute the request.
    kRetry,     ///< The runner failed; the request is sent again.
    kDeclined,  ///< Another router did not serve the request; nothing was executed.
};

struct Attempt
{
    std::shared_ptr<http::BackEndConnection> connection;  ///< Null before the begin and after the
                                                          ///< end.
    base::SocketAddress address;
    std::string instance;                      ///< Runner; with a peer, the one that it stated.
    base::UnixMilliseconds instanceStart = 0;  ///< Start of the incarnation; 0 if not stated.
    std::string softwareVersion;               ///< Of that incarnation; empty if not known.
    std::optional<PeerChoice> peer;            ///< None: the attempt is at a runner.
    PeerAnswer peerAnswer;                     ///< Statement of the peer; set with the answer head.
    std::optional<base::Duration> peerRetryAfter;
    std::uint64_t prefillTokens = 0;  ///< Prompt tokens that the runner has to process.
    bool isSent = false;              ///< Whether the request was written.
    bool isPrefillDone = true;        ///< Whether the answer has begun.
    bool isPaused = false;            ///< The answer is not read, as the caller is behind.
    base::TimePoint sentAt{};
    base::TimePoint resumedAt{};        ///< End of the last pause; zero: there was none.
    base::TimePoint silenceDeadline{};  ///< The runner counts as silent without bytes until then.
    AnswerUse use = AnswerUse::kNone;
    http::AnswerHead head;
    std::string bufferedBody;
    /// Events of an answer that is not forwarded event by event.
    std::optional<http::EventSplitter> unsplitEvents;

    /** Incarnation of the runner that the request was sent to. */
    [[nodiscard]] cell::Incarnation incarnation() const { return { instance, instanceStart }; }
};

}  // namespace fernlift::proxy
