#pragma once

/// The program fernlift-faultproxy.

namespace fernlift::lab
{

/// Runs the proxy until SIGTERM or SIGINT; returns the exit code of the process.
int runFaultProxy (int argc, char** argv);

}  // namespace fernlift::lab
