#pragma once

/// Error handler that can replace an error by a value or by a different error.

#include <utility>

#include "base/Error.h"
#include "ctl/ControllerClient.h"

namespace fernlift::ctl
{

/// Runs `operation`. If it fails, returns the result of `onError (error, problems)`, which may be a
/// different error. try_handle_some of LEAF does not allow this: it restores the first error in
/// place of one that a handler creates.
template <class Operation, class OnError>
auto recover (Operation&& operation, OnError&& onError) -> decltype (operation())
{
    struct Outcome
    {
        decltype (operation()) result;
    };
    return boost::leaf::try_handle_all (
               [&]() -> base::Result<Outcome>
               {
                   BOOST_LEAF_AUTO (value, operation());
                   return Outcome{ std::move (value) };
               },
               [&] (const base::Error& error, const ReportedProblems* problems) {
                   return Outcome{ onError (error,
                                            problems == nullptr ? ReportedProblems{} : *problems) };
               },
               [&]
               {
                   const base::Error unknown{ base::ErrorKind::kInternal,
                                              "error without a description" };
                   return Outcome{ onError (unknown, ReportedProblems{}) };
               })
        .result;
}

}  // namespace fernlift::ctl
