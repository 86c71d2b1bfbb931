#pragma once

/// Finds the controller that leads the cell, and sends a call until it is answered.

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

/// Problems that came with an error, as {"line","key","message"} objects. Travels beside the
/// base::Error.
struct ReportedProblems
{
    QJsonArray list;
};

/// Turns an answer into its JSON object, or into the error that it carries.
[[nodiscard]] base::Result<QJsonObject> readReply (const AdminReply& reply);

class ControllerClient
{
public:
    /// No attempt begins after `deadline`. The transport must outlive the client.
    ControllerClient (AdminTransport& transport, std::vector<base::SocketAddress> controllers,
                      base::TimePoint deadline);

    /// Sends the call to one controller after the other, following hints to the leader, until one
    /// gives a final answer. After a lost answer the call is sent again, so it must be one whose
    /// repetition does no harm. Fails with the error of the answer; with kConnectionFailed,
    /// kNotLeader or kNoQuorum when no controller gave a final answer in time.
    base::Result<QJsonObject> call (const AdminCall& call);

    /// Whether an earlier attempt of the latest call() may have taken effect unseen.
    [[nodiscard]] bool mayHaveRunBefore() const { return m_mayHaveRunBefore; }

private:
    [[nodiscard]] base::SocketAddress nextAddress();
    void followHint (const QJsonObject& error, const base::SocketAddress& from);
    /// Empty when the next controller should be tried.
    std::optional<AdminReply> sendOnce (const AdminCall& call, base::Duration timeout);
    void noteRefusal (const AdminReply& reply, base::ErrorKind kind,
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
