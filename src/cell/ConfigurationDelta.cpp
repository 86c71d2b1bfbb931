#include "cell/ConfigurationDelta.h"

#include <algorithm>
#include <unordered_map>

#include "base/Digest.h"

namespace fernlift::cell
{
namespace
{

/// Shortest segment that is looked up in the base: a kept part takes about as many bytes on the
/// wire (its position, its length and two lengths of strings).
constexpr std::size_t kMinKept = 32;

std::size_t commonPrefix (std::string_view left, std::string_view right)
{
    const auto differing = std::ranges::mismatch (left, right);
    return static_cast<std::size_t> (differing.in1 - left.begin());
}

std::size_t commonSuffix (std::string_view left, std::string_view right)
{
    const auto differing = std::mismatch (left.rbegin(), left.rend(), right.rbegin(), right.rend());
    return static_cast<std::size_t> (differing.first - left.rbegin());
}

/// Removes and returns the first segment of `text`.
std::string_view takeSegment (std::string_view& text)
{
    const std::size_t end = text.find_first_of ("}\n");
    const std::string_view segment =
        text.substr (0, end == std::string_view::npos ? text.size() : end + 1);
    text.remove_prefix (segment.size());
    return segment;
}

/// Position of the first occurrence of each long segment of the base.
std::unordered_map<std::string_view, std::size_t> positionsOf (std::string_view base)
{
    std::unordered_map<std::string_view, std::size_t> positions;
    std::size_t position = 0;
    while (! base.empty())
    {
        const std::string_view segment = takeSegment (base);
        if (segment.size() >= kMinKept)
            positions.emplace (segment, position);
        position += segment.size();
    }
    return positions;
}

/// Builds the list of pieces in order.
class PieceList
{
public:
    explicit PieceList (std::string_view base) : m_base (base) {}

    void keep (std::size_t from, std::size_t bytes)
    {
        if (bytes == 0)
            return;
        if (isContinuedBy (from))
            m_pieces.back().keptBytes += bytes;
        else
            m_pieces.push_back ({ from, bytes, {} });
    }
    void add (std::string_view text)
    {
        if (m_pieces.empty())
            m_pieces.emplace_back();
        m_pieces.back().text += text;
    }
    /// Whether `segment` follows the end of the last piece in the base.
    [[nodiscard]] bool continuesWith (std::string_view segment) const
    {
        return ! m_pieces.empty() && m_pieces.back().text.empty()
               && m_base.substr (endOfLast()).starts_with (segment);
    }
    [[nodiscard]] std::size_t endOfLast() const
    {
        return m_pieces.back().keptFrom + m_pieces.back().keptBytes;
    }
    [[nodiscard]] std::vector<TextPiece> take() { return std::move (m_pieces); }

private:
    [[nodiscard]] bool isContinuedBy (std::size_t from) const
    {
        return ! m_pieces.empty() && m_pieces.back().text.empty() && endOfLast() == from;
    }

    std::string_view m_base;
    std::vector<TextPiece> m_pieces;
};

}  // namespace

std::vector<TextPiece> piecesBetween (std::string_view base, std::string_view text)
{
    PieceList pieces (base);
    const std::size_t prefix = commonPrefix (base, text);
    const std::size_t suffix = commonSuffix (base.substr (prefix), text.substr (prefix));
    pieces.keep (0, prefix);
    const auto positions = positionsOf (base);
    std::string_view rest = text.substr (prefix, text.size() - prefix - suffix);
    while (! rest.empty())
    {
        const std::string_view segment = takeSegment (rest);
        const auto found = positions.find (segment);
        if (pieces.continuesWith (segment))
            pieces.keep (pieces.endOfLast(), segment.size());
        else if (found != positions.end())
            pieces.keep (found->second, segment.size());
        else
            pieces.add (segment);
    }
    pieces.keep (base.size() - suffix, suffix);
    return pieces.take();
}

std::optional<std::string> joinPieces (std::string_view base, const std::vector<TextPiece>& pieces)
{
    std::string text;
    for (const TextPiece& piece : pieces)
    {
        const bool isWithin =
            piece.keptFrom <= base.size() && piece.keptBytes <= base.size() - piece.keptFrom;
        if (! isWithin)
            return std::nullopt;
        text += base.substr (piece.keptFrom, piece.keptBytes);
        text += piece.text;
    }
    return text;
}

std::optional<std::string> wholeText (const ConfigurationUpdate& update,
                                      const HeldConfiguration& held)
{
    if (update.baseVersion == 0)
        return update.text;
    if (update.baseVersion != held.version || update.baseDigest != held.digest)
        return std::nullopt;
    std::optional<std::string> text = joinPieces (held.text, update.pieces);
    if (! text || base::sha256Hex (*text) != update.digest)
        return std::nullopt;
    return text;
}

}  // namespace fernlift::cell
