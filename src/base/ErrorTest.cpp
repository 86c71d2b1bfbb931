#include <gtest/gtest.h>

#include "base/Error.h"

namespace fernlift::base
{
namespace
{

Result<int> failing() { return fail (ErrorKind::kMessageInvalid, "inner"); }

/// The error with which `operation` fails.
template <class Operation>
Error errorOf (Operation operation)
{
    return handleErrors (
        [&]() -> Result<Error>
        {
            BOOST_LEAF_CHECK (operation());
            return Error{ ErrorKind::kInternal, "no error" };
        },
        [] (const Error& error) { return error; });
}

TEST (Error, recoverErrorReturnsTheErrorOfItsHandler)
{
    const auto operation = []
    {
        return recoverError (
            failing,
            [] (const Error& error) -> Result<int>
            { return fail (ErrorKind::kStorageCorrupt, "outer: " + error.message); });
    };
    EXPECT_EQ (errorOf (operation), (Error{ ErrorKind::kStorageCorrupt, "outer: inner" }));
}

TEST (Error, recoverErrorMayYieldAValue)
{
    const auto recovered = recoverError (failing, [] (const Error&) -> Result<int> { return 7; });
    ASSERT_TRUE (recovered);
    EXPECT_EQ (*recovered, 7);
}

TEST (Error, namesAreDistinct)
{
    for (const ErrorTraits& left : allErrorTraits())
    {
        for (const ErrorTraits& right : allErrorTraits())
        {
            EXPECT_EQ (left.name == right.name, left.kind == right.kind);
        }
    }
}

}  // namespace
}  // namespace fernlift::base
