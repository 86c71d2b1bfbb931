#pragma once

/// Helpers shared by the tests of this module.

#include <QCoreApplication>
#include <functional>
#include <string>

#include "base/Error.h"

namespace fernlift::lab
{

/// Creates the QCoreApplication of the process if there is none yet.
void ensureApplication();

/// Runs the operation and returns whether it succeeded; prints its error otherwise.
bool succeeds (const std::function<base::Result<void>()>& operation);

}  // namespace fernlift::lab
