#include "http/BodySource.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace fernlift::http
{

BodySource::BodySource (std::string body) : body_ (std::move (body))
{
    open (QIODevice::ReadOnly | QIODevice::Unbuffered);
}

qint64 BodySource::bytesAvailable() const
{
    return static_cast<qint64> (body_.size() - position_) + QIODevice::bytesAvailable();
}

qint64 BodySource::readData (char* data, qint64 maximumSize)
{
    if (position_ == body_.size())
        return -1;
    const std::size_t size =
        std::min (static_cast<std::size_t> (maximumSize), body_.size() - position_);
    std::memcpy (data, body_.data() + position_, size);
    position_ += size;
    return static_cast<qint64> (size);
}

qint64 BodySource::writeData (const char* /*data*/, qint64 /*size*/) { return -1; }

}  // namespace fernlift::http
