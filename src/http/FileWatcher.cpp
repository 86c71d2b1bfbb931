#include "http/FileWatcher.h"

#include <QFileInfo>
#include <utility>

namespace fernlift::http
{

FileWatcher::FileWatcher (std::string path, base::milliseconds interval,
                          std::function<void()> onChanged)
    : path_ (std::move (path)), onChanged_ (std::move (onChanged)), seen_ (look())
{
    QObject::connect (&timer_, &QTimer::timeout, &timer_,
                      [this]
                      {
                          const Seen now = look();
                          if (now == seen_ || now.size < 0)
                              return;
                          seen_ = now;
                          onChanged_();
                      });
    timer_.start (interval);
}

FileWatcher::Seen FileWatcher::look() const
{
    const QFileInfo file (QString::fromStdString (path_));
    return file.exists() ? Seen{ file.lastModified(), file.size() } : Seen{};
}

}  // namespace fernlift::http
