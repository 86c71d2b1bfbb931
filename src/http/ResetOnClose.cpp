#include "http/ResetOnClose.h"

#include <sys/socket.h>

namespace fernlift::http
{

void setResetOnClose (const QTcpSocket& socket, bool isReset)
{
    const linger option{ isReset ? 1 : 0, 0 };
    ::setsockopt (static_cast<int> (socket.socketDescriptor()), SOL_SOCKET, SO_LINGER, &option,
                  sizeof option);
}

}  // namespace fernlift::http
