#pragma once

/// The program `fernlift-sim`: sweeps over seeds and replays of one.

namespace fernlift::sim
{

/// Runs the program; its exit code: 0, 1 when an invariant was violated, 2 on wrong usage, 3 on
/// wrong settings.
int runSimProgram (int argc, char** argv);

}  // namespace fernlift::sim
