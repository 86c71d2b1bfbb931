// On loopback the system acknowledges data whatever the peer process does, so a dead peer cannot be
// produced there. The tests check the socket options that are set, not their effect.

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/DeadPeerDetection.h"

namespace fernlift::base
{
namespace
{

int optionOf (int descriptor, int level, int option)
{
    int value = -1;
    socklen_t length = sizeof value;
    EXPECT_EQ (::getsockopt (descriptor, level, option, &value, &length), 0);
    return value;
}

TEST (DeadPeerDetectionTest, SetsProbesAndTimeoutForTheLimit)
{
    const int descriptor = ::socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ASSERT_GE (descriptor, 0);
    EXPECT_TRUE (enableDeadPeerDetection (descriptor, milliseconds (4000)));
    EXPECT_EQ (optionOf (descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT), 4000);
    EXPECT_EQ (optionOf (descriptor, SOL_SOCKET, SO_KEEPALIVE), 1);
    EXPECT_EQ (optionOf (descriptor, IPPROTO_TCP, TCP_KEEPIDLE), 1);
    EXPECT_EQ (optionOf (descriptor, IPPROTO_TCP, TCP_KEEPINTVL), 1);
    EXPECT_EQ (optionOf (descriptor, IPPROTO_TCP, TCP_KEEPCNT), 4);
    ::close (descriptor);
}

TEST (DeadPeerDetectionTest, SetsOneProbeForAShortLimit)
{
    const int descriptor = ::socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ASSERT_GE (descriptor, 0);
    EXPECT_TRUE (enableDeadPeerDetection (descriptor, milliseconds (300)));
    EXPECT_EQ (optionOf (descriptor, IPPROTO_TCP, TCP_KEEPCNT), 1);
    ::close (descriptor);
}

TEST (DeadPeerDetectionTest, ReportsAnInvalidDescriptor)
{
    EXPECT_FALSE (enableDeadPeerDetection (-1, seconds (1)));
}

}  // namespace
}  // namespace fernlift::base
