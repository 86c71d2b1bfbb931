#pragma once

/// What tests of the controller's adapters share.

#include <QCoreApplication>
#include <QDeadlineTimer>

namespace fernlift::controller
{

/// Makes sure that an event loop can run in this test binary.
inline void ensureApplication()
{
    if (QCoreApplication::instance() != nullptr)
        return;
    static int argc = 1;
    static char name[] = "controller_test";
    static char* argv[] = { name, nullptr };
    static QCoreApplication application (argc, argv);
}

/// Runs the event loop until `condition` holds; false when a generous guard time has passed.
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
