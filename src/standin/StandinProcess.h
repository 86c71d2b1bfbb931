#pragma once

/// Command line and event loop of the program `fernlift-standin`.

namespace fernlift::standin
{

/// Runs `fernlift-standin KIND [flags]` until it is stopped and returns the exit code.
int runStandin (int argc, char** argv);

}  // namespace fernlift::standin
