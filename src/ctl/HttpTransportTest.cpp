#include <gtest/gtest.h>

#include <QCoreApplication>
#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <sstream>

#include "ctl/Ctl.h"
#include "ctl/CtlTestSupport.h"
#include "ctl/HttpTransport.h"
#include "http/Server.h"

namespace fernlift::ctl
{
namespace
{

constexpr base::Duration kTestTimeout = base::seconds (20);

class HttpTransportTest : public testing::Test
{
protected:
    HttpTransportTest() : m_application (m_argumentCount, m_arguments) {}

    static base::SocketAddress listen (http::Server& server, http::Handler handler)
    {
        server.setHandler (std::move (handler));
        return base::handleErrors ([&] { return server.listen (test::addressAt (0)); },
                                   [] (const base::Error& error)
                                   {
                                       ADD_FAILURE() << error.message;
                                       return base::SocketAddress();
                                   });
    }

    int m_argumentCount = 1;
    char m_name[5] = "test";
    char* m_arguments[2] = { m_name, nullptr };
    QCoreApplication m_application;
    HttpTransport m_transport;
};

TEST_F (HttpTransportTest, SendsTheCallAndReturnsTheCompleteResponse)
{
    http::Server server;
    http::Request received;
    const auto address = listen (
        server,
        [&] (const http::Request& request, const std::shared_ptr<http::Responder>& responder)
        {
            received = request;
            responder->send (409, {}, std::string (100'000, 'x'));
        });
    const AdminCallOutcome outcome =
        m_transport.send (address, AdminCall{ "POST", "/a?b=c", "body" }, kTestTimeout);
    ASSERT_TRUE (std::holds_alternative<AdminReply> (outcome));
    EXPECT_EQ (std::get<AdminReply> (outcome).status, 409);
    EXPECT_EQ (std::get<AdminReply> (outcome).body.size(), 100'000U);
    EXPECT_EQ (received.method, "POST");
    EXPECT_EQ (received.path, "/a");
    EXPECT_EQ (received.query, "b=c");
    EXPECT_EQ (received.body, "body");
}

TEST_F (HttpTransportTest, RefusedConnectionMeansTheCallDidNotArrive)
{
    QTcpServer listener;
    ASSERT_TRUE (listener.listen (QHostAddress::LocalHost, 0));
    const auto address = test::addressAt (listener.serverPort());
    listener.close();
    const AdminCallOutcome outcome =
        m_transport.send (address, AdminCall{ "GET", "/", "" }, kTestTimeout);
    ASSERT_TRUE (std::holds_alternative<AdminCallFailure> (outcome));
    EXPECT_FALSE (std::get<AdminCallFailure> (outcome).mayHaveArrived);
}

TEST_F (HttpTransportTest, CallMayHaveArrivedWhenTheConnectionClosesAndIsSentOnce)
{
    http::Server server;
    int requests = 0;
    const auto address =
        listen (server,
                [&] (const http::Request&, const std::shared_ptr<http::Responder>& responder)
                {
                    ++requests;
                    responder->abort();
                });
    const AdminCallOutcome outcome =
        m_transport.send (address, AdminCall{ "POST", "/", "body" }, kTestTimeout);
    ASSERT_TRUE (std::holds_alternative<AdminCallFailure> (outcome));
    EXPECT_TRUE (std::get<AdminCallFailure> (outcome).mayHaveArrived);
    EXPECT_EQ (requests, 1);
}

TEST_F (HttpTransportTest, CallToUnresponsiveServerEndsAtTheTimeout)
{
    QTcpServer listener;
    ASSERT_TRUE (listener.listen (QHostAddress::LocalHost, 0));
    const AdminCallOutcome outcome =
        m_transport.send (test::addressAt (listener.serverPort()), AdminCall{ "GET", "/", "" },
                          base::milliseconds (100));
    ASSERT_TRUE (std::holds_alternative<AdminCallFailure> (outcome));
    EXPECT_TRUE (std::get<AdminCallFailure> (outcome).mayHaveArrived);
}

TEST_F (HttpTransportTest, CommandReachesTheLeaderThroughAFollower)
{
    http::Server leader;
    http::Server follower;
    const auto leaderAddress =
        listen (leader, [] (const http::Request&, const std::shared_ptr<http::Responder>& responder)
                { responder->send (200, {}, R"({"leader":"me"})"); });
    const auto followerAddress =
        listen (follower,
                [&] (const http::Request&, const std::shared_ptr<http::Responder>& responder)
                {
                    responder->send (503, {},
                                     R"({"error":{"kind":"not_leader","message":"m","leader":")"
                                         + leaderAddress.toString() + R"("}})");
                });
    CtlOptions options;
    options.controllers = { followerAddress };
    options.output = "json";
    std::ostringstream output;
    std::ostringstream errors;
    EXPECT_EQ (runCommand (options, { "status" }, m_transport, output, errors), 0) << errors.str();
    EXPECT_EQ (output.str(), "{\"leader\":\"me\"}\n");
}

}  // namespace
}  // namespace fernlift::ctl
