#pragma once

/// Consistency checks over a whole catalogue, run after each of its values has been read.

#include "config/Catalogue.h"
#include "config/TableReader.h"

namespace fernlift::config
{

/// Reports dangling and duplicate names, contradictory replica bounds, memory that fits on no
/// runner and reserved shares with too large a sum. Skips empty names: the reader reports those.
void checkCatalogue (const Catalogue& catalogue, ProblemList& problems);

}  // namespace fernlift::config
