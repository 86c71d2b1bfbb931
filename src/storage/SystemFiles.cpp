// Implements FileSystem with POSIX calls.

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <filesystem>
#include <system_error>
#include <utility>

#include "storage/FileSystem.h"

namespace fernlift::storage
{
namespace
{

constexpr mode_t kFileMode = 0600;
constexpr mode_t kFolderMode = 0750;

boost::leaf::error_id failWith (const std::string& step, const std::string& path, int code)
{
    const bool isFull = code == ENOSPC || code == EDQUOT || code == EFBIG;
    const auto kind = isFull ? base::ErrorKind::kStorageFull : base::ErrorKind::kStorageFailed;
    return base::fail (kind, step + " " + path + ": " + std::generic_category().message (code));
}

/// Owns a file descriptor; closes it when destroyed.
class Descriptor
{
public:
    explicit Descriptor (int number) : m_number (number) {}
    Descriptor (const Descriptor&) = delete;
    Descriptor& operator= (const Descriptor&) = delete;
    ~Descriptor()
    {
        if (m_number >= 0)
            ::close (m_number);
    }
    [[nodiscard]] bool isOpen() const { return m_number >= 0; }
    [[nodiscard]] int number() const { return m_number; }

private:
    const int m_number;
};

class SystemFile final : public File
{
public:
    SystemFile (int descriptor, std::string path)
        : m_descriptor (descriptor), m_path (std::move (path))
    {
    }

    base::Result<void> append (std::string_view bytes) override
    {
        while (! bytes.empty())
        {
            const ssize_t written = ::write (m_descriptor.number(), bytes.data(), bytes.size());
            if (written < 0 && errno == EINTR)
                continue;
            if (written < 0)
                return failWith ("write", m_path, errno);
            bytes.remove_prefix (static_cast<std::size_t> (written));
        }
        return {};
    }
    base::Result<void> sync() override
    {
        if (::fsync (m_descriptor.number()) != 0)
            return failWith ("sync", m_path, errno);
        return {};
    }
    base::Result<void> truncate (std::uint64_t size) override
    {
        if (::ftruncate (m_descriptor.number(), static_cast<off_t> (size)) != 0)
        {
            return failWith ("truncate", m_path, errno);
        }
        return {};
    }

private:
    Descriptor m_descriptor;
    std::string m_path;
};

class SystemLock final : public FileLock
{
public:
    explicit SystemLock (int descriptor) : m_descriptor (descriptor) {}
    [[nodiscard]] int descriptor() const { return m_descriptor.number(); }

private:
    Descriptor m_descriptor;
};

class SystemFiles final : public FileSystem
{
public:
    base::Result<std::unique_ptr<File>> open (const std::string& path, OpenMode mode) override
    {
        const int modeFlags = mode == OpenMode::kAppend ? O_APPEND : O_CREAT | O_TRUNC;
        const int descriptor = ::open (path.c_str(), O_WRONLY | O_CLOEXEC | modeFlags, kFileMode);
        if (descriptor < 0)
            return failWith ("open", path, errno);
        return std::unique_ptr<File> (std::make_unique<SystemFile> (descriptor, path));
    }

    base::Result<std::string> readFile (const std::string& path) override
    {
        const Descriptor descriptor (::open (path.c_str(), O_RDONLY | O_CLOEXEC));
        if (! descriptor.isOpen())
            return failWith ("open", path, errno);
        std::string bytes;
        std::array<char, 65536> buffer;
        while (true)
        {
            const ssize_t count = ::read (descriptor.number(), buffer.data(), buffer.size());
            if (count < 0 && errno == EINTR)
                continue;
            if (count < 0)
                return failWith ("read", path, errno);
            if (count == 0)
                return bytes;
            bytes.append (buffer.data(), static_cast<std::size_t> (count));
        }
    }

    base::Result<void> renameFile (const std::string& from, const std::string& to) override
    {
        if (::rename (from.c_str(), to.c_str()) != 0)
            return failWith ("rename", from, errno);
        return {};
    }

    base::Result<void> removeFile (const std::string& path) override
    {
        const bool isGone = ::unlink (path.c_str()) == 0 || errno == ENOENT;
        if (! isGone)
            return failWith ("remove", path, errno);
        return {};
    }

    base::Result<std::vector<std::string>> listFolder (const std::string& folder) override
    {
        std::error_code error;
        std::vector<std::string> names;
        for (std::filesystem::directory_iterator item (folder, error), end; ! error && item != end;
             item.increment (error))
        {
            names.push_back (item->path().filename().string());
        }
        if (error)
            return failWith ("list", folder, error.value());
        std::sort (names.begin(), names.end());
        return names;
    }

    base::Result<void> createFolder (const std::string& folder) override
    {
        const bool exists = ::mkdir (folder.c_str(), kFolderMode) == 0 || errno == EEXIST;
        if (! exists)
            return failWith ("create", folder, errno);
        return {};
    }

    base::Result<void> syncFolder (const std::string& folder) override
    {
        const Descriptor descriptor (::open (folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
        if (! descriptor.isOpen())
            return failWith ("open", folder, errno);
        if (::fsync (descriptor.number()) != 0)
            return failWith ("sync", folder, errno);
        return {};
    }

    base::Result<std::unique_ptr<FileLock>> lockFile (const std::string& path) override
    {
        const int descriptor = ::open (path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
        if (descriptor < 0)
            return failWith ("open", path, errno);
        auto lock = std::make_unique<SystemLock> (descriptor);
        if (::flock (lock->descriptor(), LOCK_EX | LOCK_NB) == 0)
        {
            return std::unique_ptr<FileLock> (std::move (lock));
        }
        if (errno != EWOULDBLOCK)
            return failWith ("lock", path, errno);
        return base::fail (base::ErrorKind::kStorageLocked,
                           path + " is locked: another process uses this data folder");
    }
};

}  // namespace

FileSystem& systemFiles()
{
    static SystemFiles files;
    return files;
}

}  // namespace fernlift::storage
