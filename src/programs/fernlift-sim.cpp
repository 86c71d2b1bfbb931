#include "sim/SimProgram.h"

int main (int argc, char** argv) { return fernlift::sim::runSimProgram (argc, argv); }
