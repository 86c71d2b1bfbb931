#pragma once

/// The program fernlift-fleet.

namespace fernlift::lab
{

/// Runs one command; returns the exit code of the process.
int runFleetProgram (int argc, char** argv);

}  // namespace fernlift::lab
