#pragma once

/// Renders a JSON response as text for a terminal.

#include <QJsonArray>
#include <QJsonObject>
#include <string>

namespace fernlift::ctl
{

/// Single values become "key: value" lines; an array of objects becomes a table with a column for
/// each key; a nested object or a string of several lines becomes a section of its own. Integers
/// under a key that ends in "_at" are milliseconds since the Unix epoch and are shown as UTC time.
[[nodiscard]] std::string renderObject (const QJsonObject& object);

}  // namespace fernlift::ctl
