#pragma once

/// Test transport whose responses come from a script. Its clock advances by 1 ms per call and by
/// the length of each pause.

#include <functional>
#include <string>
#include <vector>

#include "ctl/AdminTransport.h"

namespace fernlift::ctl::test
{

/// Recorded call and the address it was sent to.
struct SentCall
{
    std::string address;
    AdminCall call;
};

class ScriptedTransport final : public AdminTransport
{
public:
    using Script = std::function<AdminCallOutcome (const SentCall&)>;

    explicit ScriptedTransport (Script script) : m_script (std::move (script)) {}

    AdminCallOutcome send (const base::SocketAddress& address, const AdminCall& call,
                           base::Duration /*timeout*/) override
    {
        m_calls.push_back (SentCall{ address.toString(), call });
        m_now += base::milliseconds (1);
        return m_script (m_calls.back());
    }
    base::TimePoint now() override { return m_now; }
    void pause (base::Duration duration) override { m_now += duration; }

    [[nodiscard]] const std::vector<SentCall>& calls() const { return m_calls; }

private:
    Script m_script;
    std::vector<SentCall> m_calls;
    base::TimePoint m_now;
};

inline base::SocketAddress addressAt (std::uint16_t port)
{
    return base::SocketAddress{ "127.0.0.1", port };
}

inline AdminReply errorReply (int status, const std::string& kind, const std::string& more = "")
{
    return AdminReply{ status, R"({"error":{"kind":")" + kind + R"(","message":"as scripted")"
                                   + more + "}}" };
}

}  // namespace fernlift::ctl::test
