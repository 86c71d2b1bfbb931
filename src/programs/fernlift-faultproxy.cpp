#include "lab/FaultProxyProcess.h"

int main (int argc, char** argv) { return fernlift::lab::runFaultProxy (argc, argv); }
