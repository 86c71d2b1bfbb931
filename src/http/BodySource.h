#pragma once

/// The body of an outgoing request as a device that can be read only once.

#include <QIODevice>
#include <string>

namespace fernlift::http
{

/// A sequential device: Qt's network access cannot rewind it and so cannot send a request again.
class BodySource final : public QIODevice
{
public:
    explicit BodySource (std::string body);

    /// Whether any byte has been read.
    [[nodiscard]] bool wasRead() const { return m_position > 0; }
    [[nodiscard]] bool isSequential() const override { return true; }
    [[nodiscard]] qint64 bytesAvailable() const override;
    [[nodiscard]] bool atEnd() const override { return bytesAvailable() == 0; }
    /// Always fails. Qt calls it to resend the body when a connection closes without an answer.
    bool seek (qint64 /*position*/) override { return false; }

protected:
    qint64 readData (char* data, qint64 maximumSize) override;
    qint64 writeData (const char* data, qint64 size) override;

private:
    std::string m_body;
    std::size_t m_position = 0;
};

}  // namespace fernlift::http
