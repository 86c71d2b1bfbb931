#include "lab/FleetProgram.h"

int main (int argc, char** argv) { return fernlift::lab::runFleetProgram (argc, argv); }
