#include "storage/FileSystem.h"

#include <filesystem>

#include "storage/FileNames.h"

namespace fernlift::storage
{

base::Result<void> replaceFile (FileSystem& files, const std::string& folder,
                                const std::string& name, std::string_view bytes)
{
    const std::string path = folder + "/" + name;
    const std::string temporaryPath = temporaryName (path);
    BOOST_LEAF_AUTO (file, files.open (temporaryPath, OpenMode::kCreateEmpty));
    BOOST_LEAF_CHECK (file->append (bytes));
    BOOST_LEAF_CHECK (file->sync());
    BOOST_LEAF_CHECK (files.renameFile (temporaryPath, path));
    return files.syncFolder (folder);
}

std::string parentFolder (const std::string& folder)
{
    const auto absolute = std::filesystem::absolute (folder).lexically_normal();
    return absolute.has_filename() ? absolute.parent_path() : absolute.parent_path().parent_path();
}

}  // namespace fernlift::storage
