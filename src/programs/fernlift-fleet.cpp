#include "lab/FleetProgram.h"
#include "scale/ScaleProgram.h"

int main (int argc, char** argv)
{
    if (fernlift::scale::isScaleCommand (argc, argv))
    {
        return fernlift::scale::runScaleProgram (argc, argv);
    }
    return fernlift::lab::runFleetProgram (argc, argv);
}
