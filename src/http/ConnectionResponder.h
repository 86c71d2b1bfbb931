#pragma once

/// The responder of one request on a connection.

#include <QPointer>
#include <functional>
#include <utility>

#include "http/Connection.h"
#include "http/Server.h"

namespace fernlift::http
{

/// May outlive its connection: calls after the connection has closed have no effect.
class ConnectionResponder final : public Responder
{
public:
    explicit ConnectionResponder (Connection* connection) : m_connection (connection) {}
    ~ConnectionResponder() override;

    void send (int status, const Headers& headers, std::string_view body) override;
    void begin (int status, const Headers& headers) override;
    void write (std::string_view data) override;
    void end() override;
    void abort() override;
    [[nodiscard]] std::size_t bytesToWrite() const override;
    [[nodiscard]] bool isOpen() const override { return m_state != State::kDone && m_connection; }
    void onClosed (std::function<void()> callback) override { m_closed = std::move (callback); }
    void onDrained (std::function<void()> callback) override { m_drained = std::move (callback); }

    /// Called when the connection closes before the answer has ended.
    void notifyClosed();
    void notifyDrained();

private:
    enum class State : std::uint8_t
    {
        kNew,
        kBegun,
        kDone
    };

    void finish();

    QPointer<Connection> m_connection;
    State m_state = State::kNew;
    std::function<void()> m_closed;
    std::function<void()> m_drained;
};

}  // namespace fernlift::http
