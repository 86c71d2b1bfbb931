#pragma once

/// Checks of a catalogue as a whole, after each of its values has been read.

#include "config/Catalogue.h"
#include "config/TableReader.h"

namespace fernlift::config
{

/// Reports dangling and duplicate names, replica bounds that contradict each other, memory that
/// fits on no runner and shares that add up to too much. Empty names were reported before and are
/// skipped.
void checkCatalogue (const Catalogue& catalogue, ProblemList& problems);

}  // namespace fernlift::config
