#pragma once

/// Translation between the HTTP messages of a control interface and its typed requests.

#include <memory>

#include "base/Error.h"
#include "controller/ControlRequests.h"
#include "http/ErrorResponse.h"
#include "http/Server.h"

namespace fernlift::controller
{

/// A protocol of runners and operators. Stateless.
class ControlCodec
{
public:
    virtual ~ControlCodec() = default;
    ControlCodec() = default;
    ControlCodec (const ControlCodec&) = delete;
    ControlCodec& operator= (const ControlCodec&) = delete;

    /// Fails with kNotFound, kMethodNotAllowed or kInvalidRequest.
    [[nodiscard]] virtual base::Result<ControlRequest> parse (
        const http::Request& request) const = 0;
    /// The HTTP response to `request`, which parse() has accepted.
    [[nodiscard]] virtual http::Response format (const http::Request& request,
                                                 const ControlAnswer& answer) const = 0;
};

}  // namespace fernlift::controller
