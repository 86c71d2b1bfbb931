#pragma once

/// A transport for tests, with answers given by the test and a clock that only pauses advance.

#include <functional>
#include <string>
#include <vector>

#include "ctl/AdminTransport.h"

namespace fernlift::ctl::test
{

/// A call with the controller it went to.
struct SentCall
{
    std::string address;
    AdminCall call;
};

class ScriptedTransport final : public AdminTransport
{
public:
    using Script = std::function<AdminCallOutcome (const SentCall&)>;

    explicit ScriptedTransport (Script script) : script_ (std::move (script)) {}

    AdminCallOutcome send (const base::SocketAddress& address, const AdminCall& call,
                           base::Duration /*timeout*/) override
    {
        calls_.push_back (SentCall{ address.toString(), call });
        now_ += base::milliseconds (1);
        return script_ (calls_.back());
    }
    base::TimePoint now() override { return now_; }
    void pause (base::Duration duration) override { now_ += duration; }

    [[nodiscard]] const std::vector<SentCall>& calls() const { return calls_; }

private:
    Script script_;
    std::vector<SentCall> calls_;
    base::TimePoint now_;
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
