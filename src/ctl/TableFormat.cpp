#include "ctl/TableFormat.h"

#include <QDateTime>
#include <QJsonDocument>
#include <algorithm>
#include <array>
#include <string_view>
#include <vector>

#include "ctl/Text.h"

namespace fernlift::ctl
{
namespace
{

using Row = std::vector<std::string>;

/// Columns shown first, in this order. The others follow in alphabetical order.
constexpr std::array<std::string_view, 9> kLeadingColumns{ "id",      "at",      "name",
                                                           "runner",  "replica", "model",
                                                           "adapter", "zone",    "kind" };
constexpr std::size_t kColumnGap = 2;

bool isTable (const QJsonValue& value)
{
    if (! value.isArray())
        return false;
    const QJsonArray array = value.toArray();
    return ! array.isEmpty()
           && std::all_of (array.begin(), array.end(),
                           [] (const QJsonValue& each) { return each.isObject(); });
}

std::string formatTime (qint64 unixMilliseconds)
{
    return QDateTime::fromMSecsSinceEpoch (unixMilliseconds, Qt::UTC)
        .toString (Qt::ISODateWithMs)
        .toStdString();
}

std::string formatNumber (const std::string& key, const QJsonValue& value)
{
    const double number = value.toDouble();
    const qint64 whole = value.toInteger();
    if (static_cast<double> (whole) != number)
        return QString::number (number).toStdString();
    if (key.ends_with ("_at") && whole > 0)
        return formatTime (whole);
    return std::to_string (whole);
}

std::string formatList (const QJsonArray& array);

std::string formatValue (const std::string& key, const QJsonValue& value)
{
    switch (value.type())
    {
        case QJsonValue::Bool:
            return value.toBool() ? "yes" : "no";
        case QJsonValue::Double:
            return formatNumber (key, value);
        case QJsonValue::String:
            return value.toString().toStdString();
        case QJsonValue::Array:
            return formatList (value.toArray());
        case QJsonValue::Object:
            return toCompactJson (value.toObject());
        default:
            return "-";
    }
}

std::string formatList (const QJsonArray& array)
{
    std::string text;
    for (const auto& value : array)
    {
        if (! text.empty())
            text += ", ";
        text += formatValue ("", value);
    }
    return text.empty() ? "none" : text;
}

std::vector<std::string> columnsOf (const QJsonArray& rows)
{
    std::vector<std::string> columns;
    for (const auto& row : rows)
    {
        const QStringList keys = row.toObject().keys();
        for (const QString& key : keys)
            columns.push_back (key.toStdString());
    }
    const auto rankOf = [] (const std::string& name)
    {
        return std::find (kLeadingColumns.begin(), kLeadingColumns.end(), name)
               - kLeadingColumns.begin();
    };
    std::sort (columns.begin(), columns.end(),
               [&] (const std::string& left, const std::string& right)
               { return std::pair (rankOf (left), left) < std::pair (rankOf (right), right); });
    columns.erase (std::unique (columns.begin(), columns.end()), columns.end());
    return columns;
}

std::string alignRows (const std::vector<Row>& rows)
{
    std::vector<std::size_t> widths (rows.front().size());
    for (const Row& row : rows)
    {
        for (std::size_t column = 0; column < row.size(); ++column)
        {
            widths[column] = std::max (widths[column], row[column].size());
        }
    }
    std::string text;
    for (const Row& row : rows)
    {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column)
        {
            line += row[column];
            const bool isLast = column + 1 == row.size();
            if (! isLast)
                line.append (widths[column] - row[column].size() + kColumnGap, ' ');
        }
        text += line + "\n";
    }
    return text;
}

std::string renderTable (const QJsonArray& array)
{
    const std::vector<std::string> columns = columnsOf (array);
    if (columns.empty())
        return {};
    std::vector<Row> rows{ columns };
    for (const auto& value : array)
    {
        const QJsonObject object = value.toObject();
        Row row;
        for (const std::string& column : columns)
        {
            row.push_back (formatValue (column, object.value (toQString (column))));
        }
        rows.push_back (std::move (row));
    }
    return alignRows (rows);
}

}  // namespace

std::string renderObject (const QJsonObject& object)
{
    std::vector<Row> lines;
    std::string sections;
    for (auto member = object.begin(); member != object.end(); ++member)
    {
        const std::string key = member.key().toStdString();
        const QJsonValue value = member.value();
        if (isTable (value))
        {
            sections += "\n" + key + ":\n" + renderTable (value.toArray());
        }
        else if (value.isObject())
        {
            sections += "\n" + key + ":\n" + renderObject (value.toObject());
        }
        else if (value.isString() && value.toString().contains (u'\n'))
        {
            sections += "\n" + key + ":\n" + value.toString().toStdString() + "\n";
        }
        else
        {
            lines.push_back (Row{ key + ":", formatValue (key, value) });
        }
    }
    return (lines.empty() ? std::string() : alignRows (lines)) + sections;
}

}  // namespace fernlift::ctl
