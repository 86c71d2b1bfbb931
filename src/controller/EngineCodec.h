#pragma once

/// Conversion between the typed messages to engines of registered services and their wire format.

#include <string>

#include "base/Error.h"
#include "engine/ServiceEngine.h"
#include "http/AnswerParser.h"

namespace fernlift::controller
{

/// A protocol between controllers and engines. Stateless.
class EngineCodec
{
public:
    virtual ~EngineCodec() = default;
    EngineCodec() = default;
    EngineCodec (const EngineCodec&) = delete;
    EngineCodec& operator= (const EngineCodec&) = delete;

    /// Returns a complete HTTP request that carries the order to the engine at `address`.
    [[nodiscard]] virtual std::string orderRequest (const engine::ServiceOrder& order,
                                                    const std::string& address) const = 0;
    [[nodiscard]] virtual engine::OrderOutcome orderOutcome (
        const http::AnswerHead& head) const = 0;
    /// Returns a complete HTTP request for the report of an instance.
    [[nodiscard]] virtual std::string reportRequest (const std::string& instance,
                                                     const std::string& address) const = 0;
    /// Fails with kInvalidRequest.
    [[nodiscard]] virtual base::Result<engine::ServiceReport> parseReport (
        std::string_view body) const = 0;
};

}  // namespace fernlift::controller
