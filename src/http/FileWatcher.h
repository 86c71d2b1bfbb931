#pragma once

/// Notices by time that a file has changed; needs no support of the file system for it.

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
    /// `onChanged` runs on the event loop when time or size of the file differ from those seen
    /// last.
    FileWatcher (std::string path, base::milliseconds interval, std::function<void()> onChanged);

private:
    struct Seen
    {
        QDateTime modified;
        qint64 size = -1;

        bool operator== (const Seen&) const = default;
    };

    [[nodiscard]] Seen look() const;

    std::string m_path;
    std::function<void()> m_onChanged;
    Seen m_seen;
    QTimer m_timer;
};

}  // namespace fernlift::http
