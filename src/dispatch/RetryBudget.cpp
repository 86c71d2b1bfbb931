#include "dispatch/RetryBudget.h"

#include <algorithm>

namespace fernlift::dispatch
{
namespace
{

constexpr double kLargestBalance = 100;

}  // namespace

RetryBudget::RetryBudget (double share, double reserve)
    : share_ (share), limit_ (std::max (reserve, kLargestBalance)), balance_ (reserve)
{
}

void RetryBudget::onFirstAttempt() { balance_ = std::min (balance_ + share_, limit_); }

bool RetryBudget::tryRetry()
{
    if (! allowsRetry())
        return false;
    balance_ -= 1;
    return true;
}

void RetryBudget::chargeRetry() { balance_ = std::max (balance_ - 1, 0.0); }

}  // namespace fernlift::dispatch
