#include "http/BodySource.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace fernlift::http
{

BodySource::BodySource (std::string body) : m_body (std::move (body))
{
    open (QIODevice::ReadOnly | QIODevice::Unbuffered);
}

qint64 BodySource::bytesAvailable() const
{
    return static_cast<qint64> (m_body.size() - m_position) + QIODevice::bytesAvailable();
}

qint64 BodySource::readData (char* data, qint64 maximumSize)
{
    if (m_position == m_body.size())
        return -1;
    const std::size_t size =
        std::min (static_cast<std::size_t> (maximumSize), m_body.size() - m_position);
    std::memcpy (data, m_body.data() + m_position, size);
    m_position += size;
    return static_cast<qint64> (size);
}

qint64 BodySource::writeData (const char* /*data*/, qint64 /*size*/) { return -1; }

}  // namespace fernlift::http
