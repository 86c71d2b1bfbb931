#include "base/Compression.h"

#include <QByteArray>
#include <QtEndian>

namespace fernlift::base
{
namespace
{

/// qCompress() puts the size of the input before the zlib stream, big endian.
constexpr std::size_t kSizeBytes = 4;
constexpr int kFastestLevel = 1;

}  // namespace

std::string compress (std::string_view bytes)
{
    return qCompress (reinterpret_cast<const uchar*> (bytes.data()),
                      static_cast<qsizetype> (bytes.size()), kFastestLevel)
        .toStdString();
}

std::optional<std::string> decompress (std::string_view compressed, std::size_t maximumBytes)
{
    if (compressed.size() < kSizeBytes)
        return std::nullopt;
    const auto declaredSize = qFromBigEndian<quint32> (compressed.data());
    if (declaredSize > maximumBytes)
        return std::nullopt;
    const QByteArray bytes = qUncompress (reinterpret_cast<const uchar*> (compressed.data()),
                                          static_cast<qsizetype> (compressed.size()));
    if (static_cast<std::size_t> (bytes.size()) != declaredSize)
        return std::nullopt;
    return bytes.toStdString();
}

}  // namespace fernlift::base
