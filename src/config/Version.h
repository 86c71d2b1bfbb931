#pragma once

/// Version of this build.

#include <string_view>

namespace fernlift::config
{

/// For example "0.1.0".
[[nodiscard]] std::string_view version();

}  // namespace fernlift::config
