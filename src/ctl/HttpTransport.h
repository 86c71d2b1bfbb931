#pragma once

/// Sends calls over HTTP and waits on Qt's event loop.

#include "ctl/AdminTransport.h"
#include "http/Client.h"

namespace fernlift::ctl
{

/// Needs a QCoreApplication.
class HttpTransport final : public AdminTransport
{
public:
    AdminCallOutcome send (const base::SocketAddress& address, const AdminCall& call,
                           base::Duration timeout) override;
    [[nodiscard]] base::TimePoint now() override;
    void pause (base::Duration duration) override;

private:
    base::SystemClock m_clock;
    http::Client m_client;
};

}  // namespace fernlift::ctl
