#pragma once

/// Transport that sends calls over HTTP. It blocks the caller in a nested Qt event loop until the
/// call ends.

#include "ctl/AdminTransport.h"
#include "http/Client.h"

namespace fernlift::ctl
{

/// Requires a QCoreApplication.
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
