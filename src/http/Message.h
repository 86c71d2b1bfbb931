#pragma once

/// HTTP message types shared by servers and clients.

#include <QByteArray>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/SocketAddress.h"

namespace fernlift::http
{

/// One header field. Names are case-insensitive.
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
    /// Replaces all fields with this name by one field.
    void set (std::string name, std::string value);
    void remove (std::string_view name);
    /// Removes the last field with this name and returns its value; none when there is none.
    std::optional<std::string> takeLast (std::string_view name);
    [[nodiscard]] bool contains (std::string_view name) const;
    /// Value of the first field with this name; empty when there is none.
    [[nodiscard]] std::string value (std::string_view name) const;
    [[nodiscard]] std::size_t count (std::string_view name) const;
    [[nodiscard]] const std::vector<Header>& fields() const { return m_fields; }

private:
    std::vector<Header> m_fields;
};

/// A complete request as received by a server.
struct Request
{
    std::string method;  ///< For example "POST".
    std::string path;    ///< As sent, still percent-encoded; without the query.
    std::string query;   ///< As sent, without the question mark; may be empty.
    Headers headers;
    std::string body;
    base::SocketAddress peer;

    /// Decoded value of the first query item with this name; empty when there is none.
    [[nodiscard]] std::string queryValue (std::string_view name) const;
};

/// Case-insensitive (ASCII) comparison of two header names or tokens.
[[nodiscard]] bool equalsIgnoringCase (std::string_view left, std::string_view right);
/// Reason phrase of a status code, for example "Not Found".
[[nodiscard]] std::string_view reasonPhrase (int status);
/// A QByteArray that refers to `bytes` without a copy; valid only as long as `bytes`.
[[nodiscard]] inline QByteArray byteView (std::string_view bytes)
{
    return QByteArray::fromRawData (bytes.data(), static_cast<qsizetype> (bytes.size()));
}

}  // namespace fernlift::http
