#pragma once

/// Handling of an error in the middle of an operation.

#include <utility>

#include "base/Error.h"
#include "ctl/ControllerClient.h"

namespace fernlift::ctl
{

/// Runs `operation`; if it fails, gives what `onError(error, problems)` returns, which may be a
/// different error. LEAF's own try_handle_some cannot do that: it puts the first error back in
/// place of one made by a handler.
template <class Operation, class OnError>
auto recover (Operation&& operation, OnError&& onError) -> decltype (operation())
{
    struct Ending
    {
        decltype (operation()) result;
    };
    return boost::leaf::try_handle_all (
               [&]() -> base::Result<Ending>
               {
                   BOOST_LEAF_AUTO (value, operation());
                   return Ending{ std::move (value) };
               },
               [&] (const base::Error& error, const ReportedProblems* problems) {
                   return Ending{ onError (error,
                                           problems == nullptr ? ReportedProblems{} : *problems) };
               },
               [&]
               {
                   const base::Error unknown{ base::ErrorKind::kInternal,
                                              "error without a description" };
                   return Ending{ onError (unknown, ReportedProblems{}) };
               })
        .result;
}

}  // namespace fernlift::ctl
