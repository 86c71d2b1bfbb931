#include "lab/EventWait.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QTimer>

namespace fernlift::lab
{
namespace
{

constexpr int kCheckIntervalMilliseconds = 5;

}  // namespace

bool waitUntil (const std::function<bool()>& condition, base::Duration timeout)
{
    QElapsedTimer elapsed;
    elapsed.start();
    QTimer wakeUp;
    wakeUp.start (kCheckIntervalMilliseconds);
    while (! condition())
    {
        if (elapsed.elapsed() > base::toMilliseconds (timeout))
        {
            return false;
        }
        QCoreApplication::processEvents (QEventLoop::WaitForMoreEvents);
    }
    return true;
}

void handleEventsFor (base::Duration duration)
{
    waitUntil ([] { return false; }, duration);
}

}  // namespace fernlift::lab
