#include "http/FileWatcher.h"

#include <QFileInfo>
#include <utility>

namespace fernlift::http
{

FileWatcher::FileWatcher (std::string path, base::milliseconds interval,
                          std::function<void()> onChanged)
    : m_path (std::move (path)), m_onChanged (std::move (onChanged)), m_seen (look())
{
    QObject::connect (&m_timer, &QTimer::timeout, &m_timer,
                      [this]
                      {
                          const Seen now = look();
                          if (now == m_seen || now.size < 0)
                              return;
                          m_seen = now;
                          m_onChanged();
                      });
    m_timer.start (interval);
}

FileWatcher::Seen FileWatcher::look() const
{
    const QFileInfo file (QString::fromStdString (m_path));
    return file.exists() ? Seen{ file.lastModified(), file.size() } : Seen{};
}

}  // namespace fernlift::http
