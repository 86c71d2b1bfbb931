#pragma once

/// One connection to a runner, which carries one request at a time.

#include <QTimer>
#include <memory>
#include <string>

#include "base/SocketAddress.h"
#include "base/Time.h"
#include "http/AnswerParser.h"
#include "http/StreamSocket.h"

namespace fernlift::http
{

/// What became of the connection.
enum class BackEndFailure : std::uint8_t
{
    kNotConnected,  ///< Nothing was sent.
    kClosed,        ///< It closed before the answer was whole.
    kNotAnAnswer,   ///< What came is no answer to the request.
};

/// Takes the answer to one request. May drop the connection from within every call.
class AnswerListener
{
public:
    virtual ~AnswerListener() = default;
    AnswerListener() = default;
    AnswerListener (const AnswerListener&) = delete;
    AnswerListener& operator= (const AnswerListener&) = delete;

    /// The connection is open and the request has been written.
    virtual void onSent() = 0;
    virtual void onHead (AnswerHead head) = 0;
    virtual void onBody (std::string_view data) = 0;
    virtual void onDone() = 0;
    virtual void onFailed (BackEndFailure failure) = 0;
};

/// Sends a request and hands on its answer. An answer with another request's id belongs to an
/// earlier request and is dropped.
class BackEndConnection final : public std::enable_shared_from_this<BackEndConnection>,
                                private StreamListener
{
public:
    /// A request as bytes, and what identifies its answer.
    struct Call
    {
        std::string bytes;
        bool answerHasBody = true;    ///< False for HEAD.
        std::string requestIdHeader;  ///< Field in which the runner repeats the request's id.
        std::string requestId;
    };

    BackEndConnection (base::SocketAddress address, base::Duration connectTimeout);
    ~BackEndConnection() override;
    BackEndConnection (const BackEndConnection&) = delete;
    BackEndConnection& operator= (const BackEndConnection&) = delete;

    /// `listener` must outlive the call or detach itself.
    void send (Call call, AnswerListener* listener);
    /// Calls the listener no more; the connection must be dropped unless its answer was whole.
    void detach();
    /// Whether another request may be sent: the last answer was whole, in good order, and nothing
    /// came after it.
    [[nodiscard]] bool isReusable (base::TimePoint now) const;
    /// Notes that the connection rests from now on.
    void rest (base::TimePoint now);
    [[nodiscard]] const base::SocketAddress& address() const { return m_address; }
    [[nodiscard]] bool wasUsedBefore() const { return m_callsSent > 1; }

private:
    void onConnected() override;
    void onData (std::string_view data) override;
    void onEnd (StreamEnd end) override;
    void write();
    void parse();
    void beginAnswer();
    void onHead (AnswerHead head);
    void finish();
    void fail (BackEndFailure failure);

    base::SocketAddress m_address;
    base::Duration m_connectTimeout;
    StreamSocket m_socket{ this };
    Call m_call;
    AnswerListener* m_listener = nullptr;
    std::unique_ptr<AnswerParser> m_parser;
    std::string m_buffer;
    bool m_isActive = false;   ///< A call waits for its answer.
    bool m_isSurplus = false;  ///< The answer being read belongs to an earlier request.
    bool m_isClosed = false;
    bool m_isPersistent = false;
    bool m_isHeadRead = false;
    std::size_t m_callsSent = 0;
    base::Duration m_keepAlive{};  ///< As stated by the runner.
    base::TimePoint m_restsSince{};
    std::unique_ptr<QTimer> m_connectTimer;
};

}  // namespace fernlift::http
