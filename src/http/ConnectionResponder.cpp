#include "http/ConnectionResponder.h"

#include <string>

#include "http/ErrorResponse.h"

namespace fernlift::http
{

ConnectionResponder::~ConnectionResponder()
{
    if (! isOpen())
        return;
    if (m_state == State::kNew)
    {
        errorResponse (base::Error{ base::ErrorKind::kInternal, "the request was not answered" })
            .sendTo (*this);
    }
    else
    {
        abort();
    }
}

void ConnectionResponder::send (int status, const Headers& headers, std::string_view body)
{
    if (! isOpen() || m_state != State::kNew)
        return;
    Headers whole = headers;
    whole.set ("Content-Length", std::to_string (body.size()));
    m_connection->beginAnswer (status, whole, true);
    m_connection->writeAnswer (body);
    finish();
}

void ConnectionResponder::begin (int status, const Headers& headers)
{
    if (! isOpen() || m_state != State::kNew)
        return;
    m_state = State::kBegun;
    m_connection->beginAnswer (status, headers, headers.contains ("Content-Length"));
}

void ConnectionResponder::write (std::string_view data)
{
    if (isOpen() && m_state == State::kBegun)
        m_connection->writeAnswer (data);
}

void ConnectionResponder::end()
{
    if (isOpen() && m_state == State::kBegun)
        finish();
}

void ConnectionResponder::abort()
{
    if (! isOpen())
        return;
    m_state = State::kDone;
    m_connection->abortAnswer();
}

std::size_t ConnectionResponder::bytesToWrite() const
{
    return m_connection ? m_connection->bytesToWrite() : 0;
}

void ConnectionResponder::notifyClosed()
{
    if (m_state == State::kDone)
        return;
    m_state = State::kDone;
    m_drained = nullptr;
    const auto callback = std::exchange (m_closed, nullptr);
    if (callback)
        callback();
}

void ConnectionResponder::notifyDrained()
{
    const auto callback = m_drained;
    if (callback)
        callback();
}

void ConnectionResponder::finish()
{
    m_state = State::kDone;
    m_closed = nullptr;
    m_drained = nullptr;
    m_connection->endAnswer();
}

}  // namespace fernlift::http
