#pragma once

/**
 * Detects TCP connections whose peer has disappeared without a reset, because its machine failed or
 * a device on the path dropped the connection's state.
 *
 * Without this detection, a connection that is idle or waits for a response stays open for hours.
 * A connection that is detected as dead ends for the owner of its socket like one that was reset.
 */

#include "base/Time.h"

namespace fernlift::base
{

/** Interval of TCP keep-alive probes. A probe is 40 bytes each way, and probes are sent only on
    connections that are otherwise idle. */
constexpr Duration kProbeInterval = seconds (1);

/** Makes the operating system end the connection when sent bytes or probes stay unacknowledged for
    `limit`; an idle connection ends at most one probe interval later. Returns false when the system
    rejects an option. */
bool enableDeadPeerDetection (int descriptor, Duration limit);

}  // namespace fernlift::base
