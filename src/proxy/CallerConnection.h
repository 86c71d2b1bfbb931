#pragma once

/// One connection of a caller: reads requests one after the other and writes their answers.

#include <QHostAddress>
#include <QTcpSocket>
#include <QTimer>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/Error.h"
#include "base/Time.h"
#include "http/Message.h"
#include "proxy/RequestParser.h"

namespace fernlift::proxy
{

/// What a caller may send and how slowly.
struct CallerLimits
{
    RequestLimits request;
    base::Duration headerTimeout = base::seconds (3);  ///< First byte to the end of the request.
    base::Duration idleTimeout = base::seconds (15);   ///< Between requests.
};

/// How the body of an answer is framed towards the caller.
struct AnswerFraming
{
    bool hasLength = false;
    std::uint64_t length = 0;
};

class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    struct Handlers
    {
        std::function<void (CallerConnection& connection, ParsedRequest request)> onRequest;
        /// The caller went away while its request was open.
        std::function<void (CallerConnection& connection)> onLeft;
        /// The caller sent something that is no proper request; the handler answers it.
        std::function<void (CallerConnection& connection, const base::Error& error)> onInvalid;
        std::function<void (CallerConnection& connection)> onClosed;
    };

    CallerConnection (std::unique_ptr<QTcpSocket> socket, CallerLimits limits,
                      const Handlers& handlers);
    ~CallerConnection();
    CallerConnection (const CallerConnection&) = delete;
    CallerConnection& operator= (const CallerConnection&) = delete;

    /// Reads what arrived before the handlers were connected. Call once.
    void start();

    /// Begins the answer to the open request. `Connection` and the framing are added.
    void beginAnswer (int status, const http::Headers& headers, AnswerFraming framing);
    void writeBody (std::string_view data);
    /// The answer is whole. The next request may follow.
    void endAnswer();
    /// Ends the connection in the middle of an answer, so that the caller sees it cut.
    void abort();
    /// A whole answer.
    void sendAnswer (int status, const http::Headers& headers, std::string_view body);

    /// No further request is read after the present answer; a resting connection closes.
    void closeAfterAnswer();
    /// Closes at once if no request is open and none is being read.
    void closeIfIdle();
    [[nodiscard]] bool isAnswering() const { return m_hasOpenRequest; }
    [[nodiscard]] bool hasBegunAnswer() const { return m_hasBegunAnswer; }
    [[nodiscard]] std::size_t bytesToWrite() const;
    /// Of the caller, without its port.
    [[nodiscard]] std::string peerAddress() const { return m_peerAddress.toString().toStdString(); }
    void setLimits (const CallerLimits& limits);

private:
    void connectSignals();
    void onReadable();
    void readOn();
    void onGone();
    void parse();
    void handOn();
    void armTimer();
    void onTimeout();
    void closeOrderly();

    std::unique_ptr<QTcpSocket> m_socket;
    QHostAddress m_peerAddress;  ///< The socket forgets it when it closes.
    CallerLimits m_limits;
    const Handlers& m_handlers;
    RequestParser m_parser;
    std::string m_buffer;
    bool m_hasOpenRequest = false;
    bool m_hasBegunAnswer = false;
    bool m_isChunked = false;
    bool m_answerHasBody = true;
    bool m_closesAfterAnswer = false;
    bool m_isClosed = false;
    bool m_isHttp10 = false;
    QTimer m_timer;
};

}  // namespace fernlift::proxy
