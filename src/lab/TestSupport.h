#pragma once

/// What the tests of this module share.

#include <QCoreApplication>
#include <functional>
#include <string>

#include "base/Error.h"

namespace fernlift::lab
{

/// Makes the process's QCoreApplication once.
void ensureApplication();

/// True when the operation succeeds; prints its error otherwise.
bool succeeds (const std::function<base::Result<void>()>& operation);

}  // namespace fernlift::lab
