#pragma once

/// Parts of HTTP messages that servers and clients share.

#include <QByteArray>
#include <string>
#include <string_view>
#include <vector>

#include "base/SocketAddress.h"

namespace fernlift::http
{

/// One header field. Names compare without regard to case.
struct Header
{
    std::string name;
    std::string value;

    bool operator== (const Header&) const = default;
};

/// Header fields in the order of the message.
class Headers
{
public:
    Headers() = default;
    Headers (std::initializer_list<Header> fields) : m_fields (fields) {}

    /// Adds a field and keeps earlier ones of the same name.
    void add (std::string name, std::string value);
    /// Replaces all fields of that name by this one.
    void set (std::string name, std::string value);
    void remove (std::string_view name);
    [[nodiscard]] bool contains (std::string_view name) const;
    /// Value of the first field of that name; empty when there is none.
    [[nodiscard]] std::string value (std::string_view name) const;
    [[nodiscard]] std::size_t count (std::string_view name) const;
    [[nodiscard]] const std::vector<Header>& fields() const { return m_fields; }

private:
    std::vector<Header> m_fields;
};

/// A whole request as a server received it.
struct Request
{
    std::string method;  ///< For example "POST".
    std::string path;    ///< As sent, still percent-encoded; without the query.
    std::string query;   ///< As sent, without the question mark; may be empty.
    Headers headers;
    std::string body;
    base::SocketAddress peer;

    /// Decoded value of the first query item of that name; empty when there is none.
    [[nodiscard]] std::string queryValue (std::string_view name) const;
};

/// Whether two header names or tokens are equal without regard to case (ASCII).
[[nodiscard]] bool equalsIgnoringCase (std::string_view left, std::string_view right);
/// Reason phrase of a status code, for example "Not Found".
[[nodiscard]] std::string_view reasonPhrase (int status);
/// The bytes as a QByteArray that shares them; valid only as long as `bytes`.
[[nodiscard]] inline QByteArray byteView (std::string_view bytes)
{
    return QByteArray::fromRawData (bytes.data(), static_cast<qsizetype> (bytes.size()));
}

}  // namespace fernlift::http
