#include "base/DeadPeerDetection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace fernlift::base
{
namespace
{

bool setOption (int descriptor, int level, int option, int value)
{
    return ::setsockopt (descriptor, level, option, &value, sizeof value) == 0;
}

}  // namespace

bool enableDeadPeerDetection (int descriptor, Duration limit)
{
    const auto limitMs = static_cast<int> (toMilliseconds (limit));
    const auto interval =
        static_cast<int> (std::chrono::duration_cast<seconds> (kProbeInterval).count());
    const auto probes = static_cast<int> (std::max<std::int64_t> (limit / kProbeInterval, 1));
    const bool hasLimit = setOption (descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, limitMs);
    const bool hasProbeInterval = setOption (descriptor, IPPROTO_TCP, TCP_KEEPIDLE, interval)
                                  && setOption (descriptor, IPPROTO_TCP, TCP_KEEPINTVL, interval)
                                  && setOption (descriptor, IPPROTO_TCP, TCP_KEEPCNT, probes);
    const bool hasKeepAlive = setOption (descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    return hasLimit && hasProbeInterval && hasKeepAlive;
}

}  // namespace fernlift::base
