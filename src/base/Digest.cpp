#include "base/Digest.h"

#include <QByteArray>
#include <QCryptographicHash>
#include <boost/crc.hpp>

namespace fernlift::base
{
namespace
{

QByteArray viewOf (std::string_view bytes)
{
    return QByteArray::fromRawData (bytes.data(), static_cast<qsizetype> (bytes.size()));
}

// Parameters of CRC-64/XZ.
constexpr std::uint64_t kCrc64Polynomial = 0x42F0E1EBA9EA3693ULL;
constexpr std::uint64_t kAllOnes = 0xFFFFFFFFFFFFFFFFULL;
using Crc64 = boost::crc_optimal<64, kCrc64Polynomial, kAllOnes, kAllOnes, true, true>;

}  // namespace

std::string sha256Hex (std::string_view bytes)
{
    return QCryptographicHash::hash (viewOf (bytes), QCryptographicHash::Sha256)
        .toHex()
        .toStdString();
}

std::uint32_t crc32 (std::string_view bytes)
{
    boost::crc_32_type checksum;
    checksum.process_bytes (bytes.data(), bytes.size());
    return checksum.checksum();
}

std::uint64_t stableHash (std::string_view bytes)
{
    Crc64 checksum;
    checksum.process_bytes (bytes.data(), bytes.size());
    // A multiplicative mix spreads the linear structure of the CRC over all bits.
    constexpr std::uint64_t kMixer = 0x9E3779B97F4A7C15ULL;
    std::uint64_t mixed = checksum.checksum() * kMixer;
    mixed ^= mixed >> 32U;
    return mixed * kMixer;
}

}  // namespace fernlift::base
