#include "config/Version.h"

namespace fernlift::config
{

std::string_view version() { return FERNLIFT_VERSION; }

}  // namespace fernlift::config
