#include "standin/StandinProcess.h"

int main (int argc, char** argv) { return fernlift::standin::runStandin (argc, argv); }
