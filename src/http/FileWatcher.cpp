#include "http/FileWatcher.h"

#include <QFileInfo>
#include <utility>

namespace fernlift::http
{

FileWatcher::FileWatcher (std::string path, base::milliseconds interval,
                          std::function<void()> onChanged)
    : m_path (std::move (path)), m_onChanged (std::move (onChanged)), m_lastState (readState())
{
    QObject::connect (&m_timer, &QTimer::timeout, &m_timer,
                      [this]
                      {
                          const FileState now = readState();
                          if (now == m_lastState || now.size < 0)
                              return;
                          m_lastState = now;
                          m_onChanged();
                      });
    m_timer.start (interval);
}

FileWatcher::FileState FileWatcher::readState() const
{
    const QFileInfo file (QString::fromStdString (m_path));
    return file.exists() ? FileState{ file.lastModified(), file.size() } : FileState{};
}

}  // namespace fernlift::http
