#include "http/SignalWatcher.h"

#include <fcntl.h>
#include <unistd.h>

#include <QObject>
#include <QSocketNotifier>
#include <array>
#include <cerrno>
#include <csignal>
#include <utility>

#include "log/Log.h"

namespace fernlift::http
{
namespace
{

// Write end of the self-pipe; a signal handler can access it only through a global variable.
volatile std::sig_atomic_t signalPipe = -1;

extern "C" void writeToSignalPipe (int signal)
{
    const int savedError = errno;
    const char byte = static_cast<char> (signal);
    [[maybe_unused]] const auto written = ::write (signalPipe, &byte, 1);
    errno = savedError;
}

void installHandler (int signal, void (*handler) (int))
{
    struct sigaction action = {};
    action.sa_handler = handler;
    action.sa_flags = SA_RESTART;
    sigemptyset (&action.sa_mask);
    sigaction (signal, &action, nullptr);
}

}  // namespace

class SignalWatcher::Implementation
{
public:
    Implementation (std::function<void()> onStop, std::function<void()> onReload)
        : m_onStop (std::move (onStop)), m_onReload (std::move (onReload))
    {
        if (::pipe2 (m_ends.data(), O_CLOEXEC | O_NONBLOCK) != 0)
            return;
        signalPipe = m_ends[1];
        m_notifier = std::make_unique<QSocketNotifier> (m_ends[0], QSocketNotifier::Read);
        QObject::connect (m_notifier.get(), &QSocketNotifier::activated, m_notifier.get(),
                          [this] { drainPipe(); });
        installHandler (SIGTERM, &writeToSignalPipe);
        installHandler (SIGINT, &writeToSignalPipe);
        installHandler (SIGHUP, &writeToSignalPipe);
    }

    ~Implementation()
    {
        installHandler (SIGTERM, SIG_DFL);
        installHandler (SIGINT, SIG_DFL);
        installHandler (SIGHUP, SIG_DFL);
        signalPipe = -1;
        for (const int end : m_ends)
        {
            if (end >= 0)
                ::close (end);
        }
    }

    Implementation (const Implementation&) = delete;
    Implementation& operator= (const Implementation&) = delete;

private:
    void drainPipe()
    {
        std::array<char, 16> bytes{};
        bool mustStop = false;
        bool mustReload = false;
        for (ssize_t count = 0; (count = ::read (m_ends[0], bytes.data(), bytes.size())) > 0;)
        {
            for (ssize_t index = 0; index < count; ++index)
            {
                const int signal =
                    static_cast<unsigned char> (bytes.at (static_cast<std::size_t> (index)));
                if (m_isStopping || mustStop)
                    log::write (log::Event::kStopSignalRepeated, { { "signal", signal } });
                (signal == SIGHUP ? mustReload : mustStop) = true;
            }
        }
        if (mustReload && m_onReload)
            m_onReload();
        if (mustStop && ! std::exchange (m_isStopping, true))
            m_onStop();
    }

    std::function<void()> m_onStop;
    std::function<void()> m_onReload;
    std::array<int, 2> m_ends{ -1, -1 };
    std::unique_ptr<QSocketNotifier> m_notifier;
    bool m_isStopping = false;
};

SignalWatcher::SignalWatcher (std::function<void()> onStop, std::function<void()> onReload)
    : m_implementation (std::make_unique<Implementation> (std::move (onStop), std::move (onReload)))
{
}

SignalWatcher::~SignalWatcher() = default;

}  // namespace fernlift::http
