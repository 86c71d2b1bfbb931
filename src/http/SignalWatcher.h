#pragma once

/// Turns SIGTERM and SIGINT (planned stops) and SIGHUP (changed settings) into calls on the event
/// loop.

#include <functional>
#include <memory>

namespace fernlift::http
{

/// At most one watcher may exist in a process.
class SignalWatcher
{
public:
    /// `onStop` runs on the event loop at the first SIGTERM or SIGINT, `onReload` at each SIGHUP;
    /// without `onReload`, SIGHUP is ignored. Signals after the first stop are logged.
    explicit SignalWatcher (std::function<void()> onStop, std::function<void()> onReload = {});
    ~SignalWatcher();
    SignalWatcher (const SignalWatcher&) = delete;
    SignalWatcher& operator= (const SignalWatcher&) = delete;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}  // namespace fernlift::http
