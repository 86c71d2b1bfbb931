#pragma once

/// Client of the operators' interface that finds the leading controller and retries a call until it
/// gets a final response or the deadline passes. Blocks the calling thread.

#include <QJsonArray>
#include <QJsonObject>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"
#include "ctl/AdminTransport.h"

namespace fernlift::ctl
{

/// Problems listed in an error response, as {"line","key","message"} objects. Carried by LEAF
/// together with the base::Error.
struct ReportedProblems
{
    QJsonArray list;
};

/// Returns the JSON object of a response, or fails with the error that the response contains.
[[nodiscard]] base::Result<QJsonObject> readReply (const AdminReply& reply);

class ControllerClient
{
public:
    /// No attempt starts after `deadline`. The transport must outlive the client.
    ControllerClient (AdminTransport& transport, std::vector<base::SocketAddress> controllers,
                      base::TimePoint deadline);

    /// Sends the call to one controller after the other, following leader hints, until one gives a
    /// final response. Repeating the call must be safe, since it is sent again after a lost
    /// response. Fails with the error of the final response, or with kConnectionFailed, kNotLeader
    /// or kNoQuorum if no controller gave a final response before the deadline.
    base::Result<QJsonObject> call (const AdminCall& call);

    /// Whether an earlier attempt of the latest call() may have taken effect although its response
    /// was lost.
    [[nodiscard]] bool mayHaveRunBefore() const { return m_mayHaveRunBefore; }

private:
    /// Leader hint if there is one, else the next controller of the list.
    [[nodiscard]] base::SocketAddress nextAddress();
    void updateLeaderHint (const QJsonObject& error, const base::SocketAddress& from);
    /// Makes one attempt. Returns nullopt if another controller should be tried.
    std::optional<AdminReply> sendOnce (const AdminCall& call, base::Duration timeout);
    void recordRefusal (const AdminReply& reply, base::ErrorKind kind,
                        const base::SocketAddress& from);

    AdminTransport& m_transport;
    std::vector<base::SocketAddress> m_controllers;
    base::TimePoint m_deadline;
    std::size_t m_next = 0;
    std::optional<base::SocketAddress> m_leaderHint;
    bool m_mayHaveRunBefore = false;
    base::Error m_lastError;
};

}  // namespace fernlift::ctl
