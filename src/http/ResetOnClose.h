#pragma once

/**
 * Ends of answers that have neither a length nor chunks. Such an answer ends with its connection,
 * so that a broken one has to end with a reset, also when the process ends.
 */

#include <QTcpSocket>

namespace fernlift::http
{

/** Makes the system reset the connection when `socket` is closed, instead of ending it in order.
    Bytes that the peer has not received by then are lost. */
void setResetOnClose (const QTcpSocket& socket, bool isReset);

}  // namespace fernlift::http
