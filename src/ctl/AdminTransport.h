#pragma once

/// What the client of the operators' interface needs from the network and the clock.

#include <string>
#include <variant>

#include "base/SocketAddress.h"
#include "base/Time.h"

namespace fernlift::ctl
{

/// One request of the operators' interface.
struct AdminCall
{
    std::string method = "GET";
    std::string path;  ///< Percent-encoded, with the query if any.
    std::string body;
};

/// A whole HTTP answer.
struct AdminReply
{
    int status = 0;
    std::string body;
};

/// A call without a whole answer.
struct AdminCallFailure
{
    bool mayHaveArrived = false;  ///< False: no byte of the call left this process.
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

    /// Sends the call exactly once and waits for its end, at most for `timeout`.
    virtual AdminCallOutcome send (const base::SocketAddress& address, const AdminCall& call,
                                   base::Duration timeout) = 0;
    [[nodiscard]] virtual base::TimePoint now() = 0;
    virtual void pause (base::Duration duration) = 0;
};

}  // namespace fernlift::ctl
