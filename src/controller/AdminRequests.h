#pragma once

/// Parser of operators' HTTP requests.

#include <string_view>

#include "base/Error.h"
#include "controller/ControllerCore.h"
#include "http/Message.h"

namespace fernlift::controller
{

/// Parses a request under /admin/v1/. Fails with kNotFound, kMethodNotAllowed or kInvalidRequest.
///   POST configuration?wait=1&timeout_ms=N   the body is the configuration file
///   GET  configuration
///   GET  status
///   GET  explain/KIND/NAME
///   GET  members
///   POST members   {"add":{"id","peer_address","admin_address","zone"}} | {"promote":id} |
///                  {"remove":id}
///   POST drain     {"runner","draining"}
///   GET  quarantine
///   POST quarantine   {"release":"REQUEST"} | {"release_all":true}
[[nodiscard]] base::Result<AdminRequest> parseAdminRequest (const http::Request& request);

}  // namespace fernlift::controller
