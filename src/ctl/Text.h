#pragma once

/// Conversions between the standard library's and Qt's texts, both UTF-8.

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

/// One line without its end.
inline std::string toCompactJson (const QJsonObject& object)
{
    return QJsonDocument (object).toJson (QJsonDocument::Compact).toStdString();
}

}  // namespace fernlift::ctl
