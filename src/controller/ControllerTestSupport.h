#pragma once

/// Event loop support for tests of the controller's adapters.

#include <QCoreApplication>
#include <QDeadlineTimer>

namespace fernlift::controller
{

/// Creates the application object that an event loop needs, unless it exists.
inline void ensureApplication()
{
    if (QCoreApplication::instance() != nullptr)
        return;
    static int argc = 1;
    static char name[] = "controller_test";
    static char* argv[] = { name, nullptr };
    static QCoreApplication application (argc, argv);
}

/// Runs the event loop until `condition` holds; returns false when it does not within 20 s.
template <class Condition>
bool runUntil (Condition condition)
{
    constexpr int kGuardMilliseconds = 20000;
    constexpr int kStepMilliseconds = 20;
    const QDeadlineTimer deadline (kGuardMilliseconds);
    while (! condition() && ! deadline.hasExpired())
    {
        QCoreApplication::processEvents (QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents,
                                         kStepMilliseconds);
    }
    return condition();
}

}  // namespace fernlift::controller
