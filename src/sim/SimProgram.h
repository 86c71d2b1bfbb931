#pragma once

/// Command line of the program `fernlift-sim`, which runs sweeps over seeds and replays single
/// seeds.

namespace fernlift::sim
{

/// Runs the program and returns its exit code: 0 on success, 1 when an invariant was violated, 2 on
/// wrong usage, 3 on invalid settings.
int runSimProgram (int argc, char** argv);

}  // namespace fernlift::sim
