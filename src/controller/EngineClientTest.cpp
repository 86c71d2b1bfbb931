#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <optional>
#include <string>
#include <thread>

#include "controller/EngineClient.h"
#include "http/HttpTestSupport.h"

namespace fernlift::controller
{
namespace
{

class TestCodec final : public EngineCodec
{
public:
    [[nodiscard]] std::string orderRequest (const engine::ServiceOrder& /*order*/,
                                            const std::string& /*address*/) const override
    {
        return "POST /order HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
    }
    [[nodiscard]] engine::OrderOutcome orderOutcome (const http::AnswerHead& head) const override
    {
        return head.status == 202 ? engine::OrderOutcome::kUnderWay
                                  : engine::OrderOutcome::kInvalid;
    }
    [[nodiscard]] std::string reportRequest (const std::string& /*instance*/,
                                             const std::string& /*address*/) const override
    {
        return "GET /report HTTP/1.1\r\n\r\n";
    }
    [[nodiscard]] base::Result<engine::ServiceReport> parseReport (
        std::string_view /*body*/) const override
    {
        return engine::ServiceReport{};
    }
};

/// Listens at a free port of the loopback interface.
class ListeningPort
{
public:
    explicit ListeningPort (int backlog) : m_listener (::socket (AF_INET, SOCK_STREAM, 0))
    {
        m_address.sin_family = AF_INET;
        m_address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
        socklen_t length = sizeof m_address;
        EXPECT_EQ (::bind (m_listener, reinterpret_cast<sockaddr*> (&m_address), length), 0);
        ::listen (m_listener, backlog);
        ::getsockname (m_listener, reinterpret_cast<sockaddr*> (&m_address), &length);
    }
    ~ListeningPort() { ::close (m_listener); }
    ListeningPort (const ListeningPort&) = delete;
    ListeningPort& operator= (const ListeningPort&) = delete;

    [[nodiscard]] int listener() const { return m_listener; }
    [[nodiscard]] const sockaddr_in& socketAddress() const { return m_address; }
    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string (ntohs (m_address.sin_port));
    }

private:
    int m_listener;
    sockaddr_in m_address{};
};

/// Port with a full accept queue, which does not answer further connection attempts.
class UnresponsivePort
{
public:
    UnresponsivePort()
    {
        const sockaddr_in& address = m_port.socketAddress();
        for (int& filler : m_fillers)
        {
            filler = ::socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            const int result =
                ::connect (filler, reinterpret_cast<const sockaddr*> (&address), sizeof address);
            EXPECT_TRUE (result == 0 || errno == EINPROGRESS);
        }
    }
    ~UnresponsivePort()
    {
        for (const int filler : m_fillers)
            ::close (filler);
    }
    UnresponsivePort (const UnresponsivePort&) = delete;
    UnresponsivePort& operator= (const UnresponsivePort&) = delete;

    [[nodiscard]] std::string address() const { return m_port.address(); }

private:
    ListeningPort m_port{ 0 };
    int m_fillers[3] = { -1, -1, -1 };
};

/// Port that accepts connections and does not answer.
class SilentPort
{
public:
    [[nodiscard]] std::string address() const { return m_port.address(); }

    /// What the first connection has delivered at its end.
    struct Received
    {
        std::string bytes;
        bool isReset = false;
    };
    [[nodiscard]] Received receiveAll() const
    {
        const int connection = ::accept (m_port.listener(), nullptr, nullptr);
        Received received;
        char buffer[1024];
        ssize_t count = 0;
        while ((count = ::recv (connection, buffer, sizeof buffer, 0)) > 0)
            received.bytes.append (buffer, static_cast<std::size_t> (count));
        received.isReset = count < 0 && errno == ECONNRESET;
        ::close (connection);
        return received;
    }

private:
    ListeningPort m_port{ 1 };
};

constexpr base::milliseconds kTimeout (50);

/// Sends an order and waits for its end. The process is stopped for `pause` before the connection
/// is open.
engine::OrderOutcome outcomeOfOrder (const std::string& address, base::milliseconds pause)
{
    http::test::application();
    EngineClient client (std::make_shared<TestCodec>(), kTimeout,
                         [] (std::string_view, std::string_view) {});
    std::optional<engine::OrderOutcome> outcome;
    client.sendOrder (address, {}, [&] (engine::OrderOutcome received) { outcome = received; });
    std::this_thread::sleep_for (pause);
    EXPECT_TRUE (http::test::waitUntil ([&] { return outcome.has_value(); }));
    http::test::runFor (kTimeout);
    return outcome.value_or (engine::OrderOutcome::kInvalid);
}

TEST (EngineClientTest, OrderIsNotSentByAProcessThatWasStoppedBeyondItsTime)
{
    const SilentPort port;
    EXPECT_EQ (outcomeOfOrder (port.address(), 2 * kTimeout), engine::OrderOutcome::kUnknown);
    EXPECT_EQ (port.receiveAll().bytes, "");
}

TEST (EngineClientTest, SystemDoesNotSendAnOrderAgainAfterItsTime)
{
    const SilentPort port;
    EXPECT_EQ (outcomeOfOrder (port.address(), {}), engine::OrderOutcome::kUnknown);
    const SilentPort::Received received = port.receiveAll();
    EXPECT_NE (received.bytes, "");
    EXPECT_TRUE (received.isReset) << "a connection that is closed in order is sent to its end";
}

TEST (EngineClientTest, UnansweredCallEndsExactlyOnceAsUnknown)
{
    http::test::application();
    const UnresponsivePort port;
    EngineClient client (std::make_shared<TestCodec>(), base::milliseconds (30),
                         [] (std::string_view, std::string_view) {});
    int unknown = 0;
    int noReport = 0;
    for (int call = 0; call < 20; ++call)
    {
        client.sendOrder (port.address(), {},
                          [&] (engine::OrderOutcome outcome)
                          {
                              if (outcome == engine::OrderOutcome::kUnknown)
                                  ++unknown;
                          });
        client.pollReport ("i-1", port.address(),
                           [&] (const engine::ServiceReport* report)
                           {
                               if (report == nullptr)
                                   ++noReport;
                           });
    }
    EXPECT_TRUE (http::test::waitUntil ([&] { return unknown == 20 && noReport == 20; }));
    http::test::runFor (std::chrono::milliseconds (100));
    EXPECT_EQ (unknown, 20);
    EXPECT_EQ (noReport, 20);
}

}  // namespace
}  // namespace fernlift::controller
