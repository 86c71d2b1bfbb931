#pragma once

/// One request of the client and its answer, on a connection to the back end.

#include <QObject>
#include <QTimer>
#include <functional>
#include <memory>
#include <string>

#include "http/BackEndConnection.h"
#include "http/Client.h"

namespace fernlift::http
{

class ClientExchange final : public QObject, public Exchange, private AnswerListener
{
public:
    /// Runs once, before the last callback. Gets the connection if the exchange was not cancelled
    /// and did not fail, else null.
    using DoneCallback = std::function<void (std::shared_ptr<BackEndConnection>)>;

    ClientExchange (ClientRequest request, ClientCallbacks callbacks, DoneCallback onDone);
    ~ClientExchange() override;

    void start (std::shared_ptr<BackEndConnection> connection);
    void cancel() override;
    void setPaused (bool isPaused) override;

private:
    void onSent() override;
    void onFlushed() override;
    void onHead (AnswerHead head) override;
    void onBody (std::string_view data) override;
    void onDone() override;
    void onFailed (BackEndFailure failure) override;
    void onTimeout();
    void deliver (std::string_view data);
    /// Delivers what arrived during a pause, and the end if it did.
    void resume();
    void complete();
    void failWith (const ClientError& error);
    void finish (bool isComplete);
    void startTimer (base::Duration duration);

    ClientRequest m_request;
    ClientCallbacks m_callbacks;
    DoneCallback m_onDone;
    std::shared_ptr<BackEndConnection> m_connection;
    QTimer m_timer;
    std::string m_undelivered;  ///< Bytes read before the pause took effect.
    bool m_isSent = false;      ///< The connection was open and the request given to it.
    bool m_isFlushed = false;   ///< No byte of the request waits in this process.
    bool m_hasHeaders = false;
    bool m_isPaused = false;
    bool m_isAnswerComplete = false;
    bool m_isDone = false;  ///< The last callback has run, or the exchange was cancelled.
};

}  // namespace fernlift::http
