#pragma once

/// Interface to the network and the clock for clients of the operators' HTTP interface. Tests
/// replace it by a scripted one.

#include <string>
#include <variant>

#include "base/SocketAddress.h"
#include "base/Time.h"

namespace fernlift::ctl
{

/// Request to the operators' HTTP interface.
struct AdminCall
{
    std::string method = "GET";
    std::string path;  ///< Percent-encoded path, with the query if there is one.
    std::string body;
};

/// Complete HTTP response.
struct AdminReply
{
    int status = 0;
    std::string body;
};

/// Failure of a call that got no complete response.
struct AdminCallFailure
{
    bool mayHaveArrived = false;  ///< False if no byte of the call was sent.
    std::string message;
};

using AdminCallOutcome = std::variant<AdminReply, AdminCallFailure>;

class AdminTransport
{
public:
    virtual ~AdminTransport() = default;
    AdminTransport() = default;
    AdminTransport (const AdminTransport&) = delete;
    AdminTransport& operator= (const AdminTransport&) = delete;

    /// Sends the call exactly once and waits up to `timeout` for the outcome.
    virtual AdminCallOutcome send (const base::SocketAddress& address, const AdminCall& call,
                                   base::Duration timeout) = 0;
    [[nodiscard]] virtual base::TimePoint now() = 0;
    /// Blocks the caller for `duration`.
    virtual void pause (base::Duration duration) = 0;
};

}  // namespace fernlift::ctl
