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
        : m_files (files), m_node (std::move (node)), m_path (std::move (path))
    {
    }
    base::Result<void> append (std::string_view bytes) override
    {
        return m_files.append (*m_node, m_path, bytes);
    }
    base::Result<void> sync() override { return m_files.sync (*m_node, m_path); }
    base::Result<void> truncate (std::uint64_t size) override
    {
        BOOST_LEAF_CHECK (m_files.step (m_path));
        m_node->bytes.resize (size);
        return {};
    }

private:
    SimulatedFiles& m_files;
    std::shared_ptr<SimulatedFiles::Node> m_node;
    std::string m_path;
};

class SimulatedLock final : public FileLock
{
public:
    SimulatedLock (SimulatedFiles& files, std::string path)
        : m_files (files), m_path (std::move (path))
    {
    }
    ~SimulatedLock() override { m_files.m_locks[m_path] = false; }

private:
    SimulatedFiles& m_files;
    std::string m_path;
};

base::Result<void> SimulatedFiles::step (const std::string& path)
{
    if (m_isReadOnly)
        return failure (path, "read-only file system");
    if (m_hasCrashed)
        return failure (path, "operation after the simulated crash");
    ++m_steps;
    m_hasCrashed = m_steps == m_crashStep;
    if (m_hasCrashed)
        return failure (path, "simulated crash of the process");
    return {};
}

base::Result<void> SimulatedFiles::append (Node& node, const std::string& path,
                                           std::string_view bytes)
{
    const bool hadCrashed = m_hasCrashed;
    auto outcome = step (path);
    if (! outcome)
    {
        // The append at which the process crashes is applied in part.
        if (! hadCrashed && m_hasCrashed)
            node.bytes += bytes.substr (0, bytes.size() / 2);
        return outcome;
    }
    if (m_freeBytes && *m_freeBytes < bytes.size())
    {
        node.bytes += bytes.substr (0, *m_freeBytes);
        m_freeBytes = 0;
        return base::fail (base::ErrorKind::kStorageFull, path + ": no space left");
    }
    if (m_freeBytes)
        *m_freeBytes -= bytes.size();
    node.bytes += bytes;
    return {};
}

base::Result<void> SimulatedFiles::sync (Node& node, const std::string& path)
{
    BOOST_LEAF_CHECK (step (path));
    if (m_syncFails)
        return failure (path, "input/output error");
    if (m_fault != DiskFault::kFileSyncDoesNothing)
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
    const auto found = m_names.find (path);
    if (found == m_names.end())
        return failure (path, "no such file");
    return std::unique_ptr<File> (std::make_unique<SimulatedFile> (*this, found->second, path));
}

base::Result<std::string> SimulatedFiles::readFile (const std::string& path)
{
    const auto found = m_names.find (path);
    if (found == m_names.end())
        return failure (path, "no such file");
    return found->second->bytes;
}

base::Result<void> SimulatedFiles::renameFile (const std::string& from, const std::string& to)
{
    BOOST_LEAF_CHECK (step (from));
    const auto found = m_names.find (from);
    if (found == m_names.end())
        return failure (from, "no such file");
    change ({ parentFolder (to), from, to, found->second });
    return {};
}

base::Result<void> SimulatedFiles::removeFile (const std::string& path)
{
    BOOST_LEAF_CHECK (step (path));
    if (m_names.contains (path))
        change ({ parentFolder (path), path, {}, nullptr });
    return {};
}

base::Result<std::vector<std::string>> SimulatedFiles::listFolder (const std::string& folder)
{
    if (! m_names.contains (folder))
        return failure (folder, "no such folder");
    std::vector<std::string> names;
    for (const auto& [path, node] : m_names)
    {
        if (parentFolder (path) == folder)
            names.push_back (path.substr (folder.size() + 1));
    }
    return names;
}

base::Result<void> SimulatedFiles::createFolder (const std::string& folder)
{
    if (m_names.contains (folder))
        return {};
    BOOST_LEAF_CHECK (step (folder));
    change ({ parentFolder (folder), {}, folder, std::make_shared<Node>() });
    return {};
}

base::Result<void> SimulatedFiles::syncFolder (const std::string& folder)
{
    BOOST_LEAF_CHECK (step (folder));
    if (m_syncFails)
        return failure (folder, "input/output error");
    if (m_fault == DiskFault::kFolderSyncDoesNothing)
        return {};
    std::vector<NameChange> rest;
    for (const NameChange& item : m_unsyncedNames)
    {
        if (item.folder == folder)
        {
            apply (m_syncedNames, item);
        }
        else
        {
            rest.push_back (item);
        }
    }
    m_unsyncedNames = std::move (rest);
    return {};
}

base::Result<std::unique_ptr<FileLock>> SimulatedFiles::lockFile (const std::string& path)
{
    if (m_locks[path])
        return base::fail (base::ErrorKind::kStorageLocked, path + " is locked");
    if (! m_names.contains (path))
        BOOST_LEAF_CHECK (open (path, OpenMode::kCreateEmpty));
    m_locks[path] = true;
    return std::unique_ptr<FileLock> (std::make_unique<SimulatedLock> (*this, path));
}

void SimulatedFiles::restart (CrashKind kind, std::uint64_t seed)
{
    m_hasCrashed = false;
    m_crashStep = 0;
    if (kind == CrashKind::kProcessKilled)
        return;
    base::Random random (seed);
    const bool keepsPart = kind == CrashKind::kPartSurvives;
    const auto changes = static_cast<std::int64_t> (m_unsyncedNames.size());
    const auto kept = keepsPart ? random.uniformInteger (0, changes) : 0;
    for (std::int64_t index = 0; index < kept; ++index)
    {
        apply (m_syncedNames, m_unsyncedNames[static_cast<std::size_t> (index)]);
    }
    m_unsyncedNames.clear();
    // Files in a folder whose name was lost are lost too.
    std::erase_if (m_syncedNames,
                   [&] (const auto& item)
                   {
                       const std::string parent = parentFolder (item.first);
                       return parent != "/" && ! m_syncedNames.contains (parent);
                   });
    m_names = m_syncedNames;
    for (auto& [path, node] : m_names)
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
    apply (m_names, change);
    m_unsyncedNames.push_back (std::move (change));
}

}  // namespace fernlift::storage
