#pragma once

/// One request of the client and its answer, on a QNetworkReply.

#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QObject>
#include <QTimer>
#include <functional>
#include <memory>
#include <string>

#include "http/BodySource.h"
#include "http/Client.h"

namespace fernlift::http
{

class ClientExchange final : public QObject, public Exchange
{
public:
    /// `onDone` runs once, after the last callback; `isReusable` is true if the exchange left its
    /// connection in a known state, `isOpen` if that connection stays open.
    using DoneCallback = std::function<void (bool isReusable, bool isOpen)>;

    ClientExchange (ClientRequest request, ClientCallbacks callbacks, DoneCallback onDone);
    ~ClientExchange() override;

    void start (QNetworkAccessManager& manager, const std::string& slotName);
    void cancel() override;
    void setPaused (bool isPaused) override;

private:
    [[nodiscard]] QNetworkRequest buildRequest (const std::string& slotName) const;
    void onRequestSent();
    void onReadable();
    void onFinished();
    void onTimeout();
    void deliverHeaders();
    void deliverData();
    void complete();
    [[nodiscard]] bool isWhole() const;
    [[nodiscard]] ClientError errorOfReply() const;
    void failWith (const ClientError& error);
    void finish (bool isReusable);
    void startTimer (base::Duration duration);

    ClientRequest m_request;
    ClientCallbacks m_callbacks;
    DoneCallback m_onDone;
    BodySource m_body;
    bool m_hasBody;
    QNetworkReply* m_reply = nullptr;
    QTimer m_timer;
    ClientResponse m_response;
    std::uint64_t m_received = 0;
    bool m_wasSent = false;
    bool m_hasHeaders = false;
    bool m_isPaused = false;
    bool m_isFinished = false;  ///< Qt has reported the end of the reply.
    bool m_isDone = false;      ///< The last callback has run, or the exchange was cancelled.
};

}  // namespace fernlift::http
