#include <iostream>

#include "lab/TestSupport.h"

namespace fernlift::lab
{

void ensureApplication()
{
    static int argumentCount = 1;
    static char name[] = "lab_test";
    static char* arguments[] = { name, nullptr };
    static QCoreApplication application (argumentCount, arguments);
}

bool succeeds (const std::function<base::Result<void>()>& operation)
{
    return base::handleErrors (
        [&]() -> base::Result<bool>
        {
            BOOST_LEAF_CHECK (operation());
            return true;
        },
        [] (const base::Error& error)
        {
            std::cerr << base::traitsOf (error.kind).name << ": " << error.message << "\n";
            return false;
        });
}

}  // namespace fernlift::lab
