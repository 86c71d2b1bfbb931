#pragma once

/**
 * Finds TCP connections whose peer has fallen silent for good, without a reset: its machine is
 * gone, or something between has forgotten the connection.
 *
 * Without it a connection that waits for an answer, or rests, stays open for hours. The end of a
 * connection that is found so looks like a reset.
 */

#include "base/Time.h"

namespace fernlift::base
{

/** A connection on which nothing passes is probed this often. Probes are 40 bytes each way, and
   only of connections that carry nothing else. */
constexpr Duration kProbeInterval = seconds (1);

/** The connection ends when what was sent, probes included, stays unacknowledged for `limit`; one
   on which nothing passes, a probe later at most. Returns false when the system does not allow it.
 */
bool endWhenSilent (int descriptor, Duration limit);

}  // namespace fernlift::base
