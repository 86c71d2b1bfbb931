#pragma once

/// A visitor for std::visit, composed of one callable per alternative.

namespace fernlift::base
{

template <class... Cases>
struct Overloaded : Cases...
{
    using Cases::operator()...;
};
template <class... Cases>
Overloaded (Cases...) -> Overloaded<Cases...>;

}  // namespace fernlift::base
