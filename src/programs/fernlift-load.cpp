#include "lab/LoadProgram.h"

int main (int argc, char** argv) { return fernlift::lab::runLoadProgram (argc, argv); }
