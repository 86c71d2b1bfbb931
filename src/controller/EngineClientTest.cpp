#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

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

/// Port with a full accept queue, which does not answer further connection attempts.
class UnresponsivePort
{
public:
    UnresponsivePort() : m_listener (::socket (AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        ::bind (m_listener, reinterpret_cast<sockaddr*> (&address), length);
        ::listen (m_listener, 0);
        ::getsockname (m_listener, reinterpret_cast<sockaddr*> (&address), &length);
        m_port = ntohs (address.sin_port);
        for (int& filler : m_fillers)
        {
            filler = ::socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            ::connect (filler, reinterpret_cast<sockaddr*> (&address), sizeof address);
        }
    }
    ~UnresponsivePort()
    {
        for (const int filler : m_fillers)
            ::close (filler);
        ::close (m_listener);
    }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string (m_port); }

private:
    int m_listener;
    std::uint16_t m_port = 0;
    int m_fillers[3] = { -1, -1, -1 };
};

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
