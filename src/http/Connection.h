#pragma once

/// Server side of one connection: reads validated requests one at a time and writes their answers.

#include <QObject>
#include <QPointer>
#include <QTcpSocket>
#include <QTimer>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "http/FeedSocket.h"
#include "http/RequestReader.h"
#include "http/Server.h"

namespace fernlift::http
{

class ConnectionResponder;

/// Owns the caller's socket. The next request is read only after the previous answer has ended, so
/// answers never interleave.
class Connection final : public QObject
{
public:
    Connection (const ServerLimits& limits, Handler& handler, ServerCounters& counters,
                std::shared_ptr<RequestBudget> requests);
    ~Connection() override;

    /// Takes ownership of an accepted socket; returns false if the system rejects it.
    bool open (qintptr descriptor);
    /// Answers with an error instead of calling the handler, and closes the connection.
    void reject (const base::Error& error);
    [[nodiscard]] FeedSocket* feedSocket() { return &m_feed; }
    /// Called when Qt's HTTP server has parsed the delivered request; passes it to the handler.
    void onParsed (const std::string& body);
    /// Closes after the answer in progress. An idle connection is closed at once, or after a short
    /// delay if it has served no request yet: its first request may be in transit.
    void closeWhenIdle();
    [[nodiscard]] bool isAnswering() const { return m_isAnswering || m_socket.bytesToWrite() > 0; }
    /// `callback` runs once, when the connection has closed and may be deleted.
    void onFinished (std::function<void()> callback) { m_finished = std::move (callback); }

    // Used by the responder.
    void beginAnswer (int status, const Headers& headers, bool hasKnownLength);
    void writeAnswer (std::string_view data);
    void endAnswer();
    void abortAnswer();
    [[nodiscard]] std::size_t bytesToWrite() const
    {
        return static_cast<std::size_t> (m_socket.bytesToWrite());
    }

private:
    enum class Phase : std::uint8_t
    {
        kIdle,
        kReading,
        kAnswering,
        kLingering,
        kClosed
    };

    void onReadyRead();
    void processInput();
    void feedReader();
    /// Counts the bytes of the request that is being received. Returns false when it was refused.
    bool countReceived();
    /// Refuses the request that is being received, since others need its memory.
    void makeRoom();
    void sendContinue();
    void dispatch();
    void onBytesWritten (qint64 bytes);
    void onTimeout();
    void onDisconnected();
    void startTimer (base::Duration duration);
    void beginLingering();
    void discardInput();
    void writeRaw (std::string_view bytes);
    [[nodiscard]] bool bodyIsAllowed (int status) const;

    const ServerLimits& m_limits;
    Handler& m_handler;
    ServerCounters& m_counters;
    QTcpSocket m_socket;
    FeedSocket m_feed;
    QTimer m_timer;
    RequestReader m_reader;
    std::shared_ptr<RequestBudget> m_requests;  ///< A closed connection may outlive its server.
    RequestBudget::Usage m_received;            ///< Bytes of the request that is received or open.
    std::string m_unread;                       ///< Received bytes not consumed by the reader yet.
    std::function<void()> m_finished;
    std::weak_ptr<ConnectionResponder> m_responder;

    Phase m_phase = Phase::kIdle;
    bool m_isProcessing = false;
    bool m_isAnswering = false;
    bool m_hasServed = false;  ///< At least one complete request was read.
    bool m_wasParsed = false;
    bool m_headersDone = false;  ///< The header block of the request being read is complete.
    bool m_closesAfterAnswer = false;
    bool m_isChunked = false;  ///< Framing of the answer in progress.
    bool m_omitsBody = false;  ///< The answer must not have a body (HEAD, 204, 304).
    bool m_hasKnownLength = false;
    bool m_endsByClose = false;  ///< The answer has neither a length nor chunks.
    std::size_t m_remainingLength = 0;
    std::size_t m_discarded = 0;
};

}  // namespace fernlift::http
