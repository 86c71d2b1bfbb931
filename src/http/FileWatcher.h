#pragma once

/// Detects changes of a file by polling, and so works on any file system.

#include <QDateTime>
#include <QTimer>
#include <functional>
#include <string>

#include "base/Time.h"

namespace fernlift::http
{

class FileWatcher
{
public:
    /// `onChanged` runs on the event loop when modification time or size of the file have changed.
    /// A missing file is not a change.
    FileWatcher (std::string path, base::milliseconds interval, std::function<void()> onChanged);

private:
    struct FileState
    {
        QDateTime modified;
        qint64 size = -1;

        bool operator== (const FileState&) const = default;
    };

    [[nodiscard]] FileState readState() const;

    std::string m_path;
    std::function<void()> m_onChanged;
    FileState m_lastState;
    QTimer m_timer;
};

}  // namespace fernlift::http
