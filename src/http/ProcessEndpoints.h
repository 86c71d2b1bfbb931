#pragma once

/// HTTP endpoints common to all processes: /healthz, /readyz and /metrics.

#include <functional>
#include <memory>

#include "http/Metrics.h"
#include "http/Server.h"

namespace fernlift::http
{

/// Wraps `next` in a handler that answers GET /healthz (200 while the process runs), GET /readyz
/// (200 or 503 by `isReady`) and GET /metrics itself. `metrics` must outlive the handler.
[[nodiscard]] Handler addProcessEndpoints (Handler next, std::function<bool()> isReady,
                                           Metrics& metrics);

}  // namespace fernlift::http
