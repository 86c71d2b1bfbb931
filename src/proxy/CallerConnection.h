#pragma once

/// Connection of a caller: reads requests one after the other and writes their answers.

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
#include "http/BufferBudget.h"
#include "http/Message.h"
#include "http/RequestBudget.h"
#include "proxy/RequestParser.h"

namespace fernlift::proxy
{

/// Size and time limits on the requests of a caller.
struct CallerLimits
{
    RequestLimits request;
    base::Duration headerTimeout = base::seconds (3);  ///< From the first byte to the end of the
                                                       ///< request.
    base::Duration idleTimeout = base::seconds (15);   ///< Between two requests.
};

/// Bounds of the memory that all connections of a server share.
struct CallerBuffers
{
    http::BufferBudget& answers;
    http::RequestBudget& requests;
};

/// Framing of the body of an answer to the caller.
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
        /// Called when the caller disconnected while its request was open.
        std::function<void (CallerConnection& connection)> onDisconnected;
        /// Called for an invalid request; the handler has to answer it.
        std::function<void (CallerConnection& connection, const base::Error& error)> onInvalid;
        std::function<void (CallerConnection& connection)> onClosed;
        /// Called before a connection is closed whose caller has not received the last answer.
        std::function<void (const CallerConnection& connection)> onAnswerCut =
            [] (const CallerConnection&) {};
        /// Called when the caller of an open answer is no longer behind.
        std::function<void (CallerConnection& connection)> onCaughtUp = [] (CallerConnection&) {};
    };

    /// `handlers` and `buffers` must outlive the connection.
    CallerConnection (std::unique_ptr<QTcpSocket> socket, CallerLimits limits,
                      const Handlers& handlers, CallerBuffers buffers);
    ~CallerConnection();
    CallerConnection (const CallerConnection&) = delete;
    CallerConnection& operator= (const CallerConnection&) = delete;

    /// Reads the bytes that arrived before the signals were connected. Call once.
    void start();

    /// Begins the answer to the open request. The `Connection` field and the framing are added.
    void beginAnswer (int status, const http::Headers& headers, AnswerFraming framing);
    void writeBody (std::string_view data);
    /// Completes the answer. The next request may follow.
    void endAnswer();
    /// Closes the connection in the middle of an answer, so that the caller detects the truncation.
    /// It is reset if the close would be the end of the answer.
    void abort();
    /// Sends a complete answer.
    void sendAnswer (int status, const http::Headers& headers, std::string_view body);

    /// Reads no further request after the current answer. An idle connection is closed.
    void closeAfterAnswer();
    /// Closes the connection at once if no request is open or being read.
    void closeIfIdle();
    /// Closes the connection as closeAfterAnswer() does, and cuts an answer of which its caller
    /// reads nothing for some time.
    void closeForStop();
    [[nodiscard]] bool isAnswering() const { return m_hasOpenRequest; }
    [[nodiscard]] bool hasBegunAnswer() const { return m_hasBegunAnswer; }
    /// Bytes of answers that the system has not taken yet.
    [[nodiscard]] std::size_t bytesToWrite() const;
    /// Whether more of the open answer is unsent than it may hold, so that no more should be
    /// written before `onCaughtUp`.
    [[nodiscard]] bool isBehind() const { return m_isBehind; }
    /// Sets the id of the open request, under which an answer that is cut is logged.
    void setRequestId (std::string id) { m_requestId = std::move (id); }
    [[nodiscard]] const std::string& requestId() const { return m_requestId; }
    /// Address of the caller without its port.
    [[nodiscard]] std::string peerAddress() const { return m_peerAddress.toString().toStdString(); }
    void setLimits (const CallerLimits& limits);

private:
    void connectSignals();
    void onReadable();
    /// Reads the next request, unless the caller has not taken the earlier answers yet.
    void readNext();
    void scheduleRead();
    /// Whether bytes may be read: no request is open, and a next one begins only once the caller
    /// has taken most of the earlier answers.
    [[nodiscard]] bool mayRead() const;
    void onSocketClosed();
    void parse();
    void dispatchRequest();
    /// Answers a request that was not received whole with an error, and closes the connection.
    void refuse (const base::Error& error);
    /// Refuses the request that is being received, since others need its memory.
    void makeRoom();
    void armTimer();
    void onTimeout();
    /// Closes the connection once the caller has received what was written, as long as it goes on
    /// reading.
    void closeGracefully();
    void onBytesWritten();
    /// Records how much of the answer is unsent, after more was written or sent.
    void updateUnsent();
    /// Restarts the time in which the caller has to read more of its answer during a stop.
    void armStallTimer();

    std::unique_ptr<QTcpSocket> m_socket;
    QHostAddress m_peerAddress;  ///< Kept because the socket clears it on close.
    CallerLimits m_limits;
    const Handlers& m_handlers;
    http::BufferBudget& m_answerBuffers;
    http::BufferBudget::Usage m_unsent;
    http::RequestBudget::Usage m_received;  ///< Bytes of the request that is received or open.
    RequestParser m_parser;
    std::string m_buffer;
    std::string m_requestId;  ///< Of the last request.
    bool m_hasOpenRequest = false;
    bool m_hasBegunAnswer = false;
    bool m_isChunked = false;
    bool m_answerHasBody = true;
    bool m_closesAfterAnswer = false;
    bool m_isClosing = false;  ///< The end of the last answer is being sent.
    bool m_isClosed = false;
    bool m_isBehind = false;
    bool m_isReadScheduled = false;
    bool m_cutsStalledAnswer = false;
    bool m_isHttp10 = false;
    bool m_endsByClose = false;  ///< The close of the connection ends the answer, of which bytes
                                 ///< are still to be written.
    QTimer m_timer;
};

}  // namespace fernlift::proxy
