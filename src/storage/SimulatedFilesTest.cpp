#include <gtest/gtest.h>

#include <algorithm>

#include "storage/SimulatedFiles.h"

namespace fernlift::storage
{
namespace
{

boost::leaf::error_id failure (const std::string& path, const std::string& problem)
{
    return base::fail (base::ErrorKind::kStorageFailed, path + ": " + problem);
}

}  // namespace

class SimulatedFile final : public File
{
public:
    SimulatedFile (SimulatedFiles& files, std::shared_ptr<SimulatedFiles::Node> node,
                   std::string path)
        : files_ (files), node_ (std::move (node)), path_ (std::move (path))
    {
    }
    base::Result<void> append (std::string_view bytes) override
    {
        return files_.append (*node_, path_, bytes);
    }
    base::Result<void> sync() override { return files_.sync (*node_, path_); }
    base::Result<void> truncate (std::uint64_t size) override
    {
        BOOST_LEAF_CHECK (files_.step (path_));
        node_->bytes.resize (size);
        return {};
    }

private:
    SimulatedFiles& files_;
    std::shared_ptr<SimulatedFiles::Node> node_;
    std::string path_;
};

class SimulatedLock final : public FileLock
{
public:
    SimulatedLock (SimulatedFiles& files, std::string path)
        : files_ (files), path_ (std::move (path))
    {
    }
    ~SimulatedLock() override { files_.locks_[path_] = false; }

private:
    SimulatedFiles& files_;
    std::string path_;
};

base::Result<void> SimulatedFiles::step (const std::string& path)
{
    if (isReadOnly_)
        return failure (path, "read-only file system");
    if (hasCrashed_)
        return failure (path, "the process is dead");
    ++steps_;
    hasCrashed_ = steps_ == crashStep_;
    if (hasCrashed_)
        return failure (path, "the process died");
    return {};
}

base::Result<void> SimulatedFiles::append (Node& node, const std::string& path,
                                           std::string_view bytes)
{
    const bool wasDead = hasCrashed_;
    auto outcome = step (path);
    if (! outcome)
    {
        // The operation in which the process dies is carried out in part.
        if (! wasDead && hasCrashed_)
            node.bytes += bytes.substr (0, bytes.size() / 2);
        return outcome;
    }
    if (room_ && *room_ < bytes.size())
    {
        node.bytes += bytes.substr (0, *room_);
        room_ = 0;
        return base::fail (base::ErrorKind::kStorageFull, path + ": no space left");
    }
    if (room_)
        *room_ -= bytes.size();
    node.bytes += bytes;
    return {};
}

base::Result<void> SimulatedFiles::sync (Node& node, const std::string& path)
{
    BOOST_LEAF_CHECK (step (path));
    if (syncFails_)
        return failure (path, "input/output error");
    if (fault_ != DiskFault::kFileSyncDoesNothing)
        node.synced = node.bytes;
    return {};
}

base::Result<std::unique_ptr<File>> SimulatedFiles::open (const std::string& path, OpenMode mode)
{
    if (mode == OpenMode::kCreateEmpty)
    {
        BOOST_LEAF_CHECK (step (path));
        change ({ parentFolder (path), {}, path, std::make_shared<Node>() });
    }
    const auto found = names_.find (path);
    if (found == names_.end())
        return failure (path, "no such file");
    return std::unique_ptr<File> (std::make_unique<SimulatedFile> (*this, found->second, path));
}

base::Result<std::string> SimulatedFiles::readFile (const std::string& path)
{
    const auto found = names_.find (path);
    if (found == names_.end())
        return failure (path, "no such file");
    return found->second->bytes;
}

base::Result<void> SimulatedFiles::renameFile (const std::string& from, const std::string& to)
{
    BOOST_LEAF_CHECK (step (from));
    const auto found = names_.find (from);
    if (found == names_.end())
        return failure (from, "no such file");
    change ({ parentFolder (to), from, to, found->second });
    return {};
}

base::Result<void> SimulatedFiles::removeFile (const std::string& path)
{
    BOOST_LEAF_CHECK (step (path));
    if (names_.contains (path))
        change ({ parentFolder (path), path, {}, nullptr });
    return {};
}

base::Result<std::vector<std::string>> SimulatedFiles::listFolder (const std::string& folder)
{
    if (! names_.contains (folder))
        return failure (folder, "no such folder");
    std::vector<std::string> names;
    for (const auto& [path, node] : names_)
    {
        if (parentFolder (path) == folder)
            names.push_back (path.substr (folder.size() + 1));
    }
    return names;
}

base::Result<void> SimulatedFiles::createFolder (const std::string& folder)
{
    if (names_.contains (folder))
        return {};
    BOOST_LEAF_CHECK (step (folder));
    change ({ parentFolder (folder), {}, folder, std::make_shared<Node>() });
    return {};
}

base::Result<void> SimulatedFiles::syncFolder (const std::string& folder)
{
    BOOST_LEAF_CHECK (step (folder));
    if (syncFails_)
        return failure (folder, "input/output error");
    if (fault_ == DiskFault::kFolderSyncDoesNothing)
        return {};
    std::vector<NameChange> rest;
    for (const NameChange& item : unsyncedNames_)
    {
        if (item.folder == folder)
        {
            apply (syncedNames_, item);
        }
        else
        {
            rest.push_back (item);
        }
    }
    unsyncedNames_ = std::move (rest);
    return {};
}

base::Result<std::unique_ptr<FileLock>> SimulatedFiles::lockFile (const std::string& path)
{
    if (locks_[path])
        return base::fail (base::ErrorKind::kStorageLocked, path + " is locked");
    if (! names_.contains (path))
        BOOST_LEAF_CHECK (open (path, OpenMode::kCreateEmpty));
    locks_[path] = true;
    return std::unique_ptr<FileLock> (std::make_unique<SimulatedLock> (*this, path));
}

void SimulatedFiles::restart (CrashKind kind, std::uint64_t seed)
{
    hasCrashed_ = false;
    crashStep_ = 0;
    if (kind == CrashKind::kProcessKilled)
        return;
    base::Random random (seed);
    const bool keepsPart = kind == CrashKind::kPartSurvives;
    const auto changes = static_cast<std::int64_t> (unsyncedNames_.size());
    const auto kept = keepsPart ? random.uniformInteger (0, changes) : 0;
    for (std::int64_t index = 0; index < kept; ++index)
    {
        apply (syncedNames_, unsyncedNames_[static_cast<std::size_t> (index)]);
    }
    unsyncedNames_.clear();
    // A folder whose name is lost takes its files along.
    std::erase_if (syncedNames_,
                   [&] (const auto& item)
                   {
                       const std::string parent = parentFolder (item.first);
                       return parent != "/" && ! syncedNames_.contains (parent);
                   });
    names_ = syncedNames_;
    for (auto& [path, node] : names_)
    {
        const std::string& written = node->bytes;
        const bool isGrown = written.starts_with (node->synced);
        const auto unsynced = isGrown ? written.size() - node->synced.size() : 0;
        const auto most = static_cast<std::int64_t> (unsynced);
        const auto part = keepsPart ? random.uniformInteger (0, most) : 0;
        node->bytes = written.substr (0, node->synced.size() + static_cast<std::size_t> (part));
        if (! isGrown)
            node->bytes = keepsPart && random.chance (0.5) ? written : node->synced;
        node->synced = node->bytes;
    }
}

void SimulatedFiles::apply (Names& names, const NameChange& change)
{
    if (! change.removed.empty())
        names.erase (change.removed);
    if (! change.added.empty())
        names[change.added] = change.node;
}

void SimulatedFiles::change (NameChange change)
{
    apply (names_, change);
    unsyncedNames_.push_back (std::move (change));
}

}  // namespace fernlift::storage
