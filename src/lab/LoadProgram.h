#pragma once

/// The program fernlift-load.

namespace fernlift::lab
{

/// Runs one command (run, report or check); returns the exit code of the process.
int runLoadProgram (int argc, char** argv);

}  // namespace fernlift::lab
