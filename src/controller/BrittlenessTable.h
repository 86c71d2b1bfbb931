#pragma once

/**
 * The leader's table of services whose runners state that they are brittle. A runner that has not
 * answered since it started is taken to be as brittle as the others of its service.
 */

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/Time.h"
#include "cell/SlotMessages.h"

namespace fernlift::controller
{

/** Pure except for log lines: time is passed in. Threading: none; owned by one ControllerCore. */
class BrittlenessTable
{
public:
    /** Starts the table of a new leader from the services that routers were sent before. */
    void begin (const std::vector<std::string>& services, base::TimePoint now);
    /** Applies what a runner of `service` stated. The incarnation has been checked. */
    void onStatement (const std::string& service, const cell::BrittleStatement& statement,
                      base::TimePoint now);

    [[nodiscard]] bool isBrittle (const std::string& service) const
    {
        return m_services.contains (service);
    }
    [[nodiscard]] std::vector<std::string> services() const;
    [[nodiscard]] std::size_t size() const { return m_services.size(); }
    /** Increases with each change of the services; starts at 1. */
    [[nodiscard]] std::uint64_t version() const { return m_version; }

private:
    struct Service
    {
        std::map<std::string, base::TimePoint> statedAt;  ///< Last statement of each runner.
        base::TimePoint lastStatedAt{};
    };

    void onBrittle (const std::string& service, const cell::BrittleStatement& statement,
                    base::TimePoint madeAt);
    void onSound (const std::string& service, const cell::BrittleStatement& statement,
                  base::TimePoint madeAt);

    std::uint64_t m_version = 1;
    std::map<std::string, Service> m_services;
    std::map<std::string, base::TimePoint> m_ended;  ///< When the brittleness of a service ended.
};

}  // namespace fernlift::controller
