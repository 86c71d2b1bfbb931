#pragma once

/// Command line and event loop of the stand-in program.

namespace fernlift::standin
{

/// Runs `fernlift-standin KIND [flags]` until it is stopped; returns the exit code.
int runStandin (int argc, char** argv);

}  // namespace fernlift::standin
