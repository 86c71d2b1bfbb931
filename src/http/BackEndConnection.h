#pragma once

/// One connection to a runner, which carries one request at a time.

#include <QTimer>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

#include "base/SocketAddress.h"
#include "base/Time.h"
#include "http/AnswerParser.h"
#include "http/StreamSocket.h"

namespace fernlift::http
{

/// Reason why a request got no complete answer.
enum class BackEndFailure : std::uint8_t
{
    kNotConnected,   ///< No connection was opened; nothing was sent.
    kClosed,         ///< The connection closed before the answer was complete.
    kInvalidAnswer,  ///< The received bytes are not a valid HTTP answer.
};

/// Receives the answer to one request. May release the connection from within any call.
class AnswerListener
{
public:
    virtual ~AnswerListener() = default;
    AnswerListener() = default;
    AnswerListener (const AnswerListener&) = delete;
    AnswerListener& operator= (const AnswerListener&) = delete;

    /// The connection is open and the request has been written.
    virtual void onSent() = 0;
    /// The system has taken all bytes of the request.
    virtual void onFlushed() {}
    virtual void onHead (AnswerHead head) = 0;
    virtual void onBody (std::string_view data) = 0;
    virtual void onDone() = 0;
    virtual void onFailed (BackEndFailure failure) = 0;
};

/// Sends a request and delivers its answer. An answer with another request's id belongs to an
/// earlier request and is discarded. As the id does not tell two sends of one request apart, a
/// connection should carry a request once: see hasCarried().
class BackEndConnection final : public std::enable_shared_from_this<BackEndConnection>,
                                private StreamListener
{
public:
    /// A serialized request, and the id by which its answer is recognized.
    struct Call
    {
        std::string bytes;
        bool answerHasBody = true;    ///< False for HEAD.
        std::string requestIdHeader;  ///< Answer field in which the runner returns the id.
        std::string requestId;
    };

    /// Keep-alive time assumed for a back end that states none. It is short, as the back end may
    /// close the connection at any moment.
    static constexpr base::Duration kDefaultKeepAlive = base::seconds (2);

    BackEndConnection (base::SocketAddress address, base::Duration connectTimeout,
                       base::Duration defaultKeepAlive = kDefaultKeepAlive);
    ~BackEndConnection() override;
    BackEndConnection (const BackEndConnection&) = delete;
    BackEndConnection& operator= (const BackEndConnection&) = delete;

    /// `listener` must stay valid until the answer has ended or detach() is called.
    void send (Call call, AnswerListener* listener);
    /// Delivers the rest of the answer to `listener`, to which the same applies as in send().
    void setListener (AnswerListener& listener) { m_listener = &listener; }
    /// Stops calls to the listener; the connection is reusable only if its answer was complete.
    void detach();
    /// Stops or resumes reading from the connection until detach(). Up to the bytes of one read may
    /// still be delivered.
    void setPaused (bool isPaused) { m_socket.setReading (! isPaused); }
    /// Sets the most bytes of one read.
    void setMaxReadBytes (std::size_t bytes) { m_socket.setMaxReadBytes (bytes); }
    /// Whether another request may be sent: the last answer was complete, the connection is still
    /// open and persistent, no surplus bytes followed, and its keep-alive time has not passed.
    [[nodiscard]] bool isReusable (base::TimePoint now) const;
    /// Whether the back end has sent bytes, or closed the connection, since the last answer ended.
    /// An answer to a further request could not be told from such bytes.
    [[nodiscard]] bool hasUnreadInput() const { return m_socket.hasUnreadInput(); }
    /// Records that the connection is idle since `now`.
    void markIdle (base::TimePoint now);
    [[nodiscard]] const base::SocketAddress& address() const { return m_address; }
    [[nodiscard]] bool wasUsedBefore() const { return m_callsSent > 1; }
    /// Whether a request with this id was sent on the connection lately. A late copy of its answer
    /// would be taken for the answer to a further send. May hold for other ids, too.
    [[nodiscard]] bool hasCarried (std::string_view requestId) const;

private:
    void onConnected() override;
    void onFlushed() override;
    void onData (std::string_view data) override;
    void onEnd (StreamEnd end) override;
    void write();
    void parse();
    void beginAnswer();
    void onHead (AnswerHead head);
    void remember (std::string_view requestId);
    void finish();
    void fail (BackEndFailure failure);

    base::SocketAddress m_address;
    base::Duration m_connectTimeout;
    base::Duration m_defaultKeepAlive;
    StreamSocket m_socket{ this };
    Call m_call;
    AnswerListener* m_listener = nullptr;
    std::unique_ptr<AnswerParser> m_parser;
    std::string m_buffer;
    bool m_isActive = false;  ///< A call is waiting for its answer.
    bool m_isStale = false;   ///< The answer being read is interim or of an earlier request.
    bool m_isClosed = false;
    bool m_isPersistent = false;
    bool m_isHeadRead = false;
    std::size_t m_callsSent = 0;
    std::deque<std::size_t> m_carriedIds;  ///< Hashes of the last ids, oldest first.
    std::size_t m_discardedAnswers = 0;    ///< Stale answers since the call was sent.
    base::Duration m_keepAlive{};          ///< Idle time that the runner allows.
    base::TimePoint m_idleSince{};
    std::unique_ptr<QTimer> m_connectTimer;
};

}  // namespace fernlift::http
