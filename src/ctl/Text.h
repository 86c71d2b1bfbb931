#pragma once

/// Conversions between std::string, Qt strings and JSON. Texts of the standard library are UTF-8.

#include <QJsonDocument>
#include <QJsonObject>
#include <QString>
#include <string>
#include <string_view>

namespace fernlift::ctl
{

inline QString toQString (std::string_view text)
{
    return QString::fromUtf8 (text.data(), static_cast<qsizetype> (text.size()));
}

/// The object on one line, without a line break at the end.
inline std::string toCompactJson (const QJsonObject& object)
{
    return QJsonDocument (object).toJson (QJsonDocument::Compact).toStdString();
}

}  // namespace fernlift::ctl
