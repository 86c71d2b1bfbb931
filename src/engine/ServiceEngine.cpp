#include "engine/ServiceEngine.h"

namespace fernlift::engine
{

std::string_view toString (OrderOutcome outcome)
{
    switch (outcome)
    {
        case OrderOutcome::kUnderWay:
            return "under_way";
        case OrderOutcome::kAlreadyHolds:
            return "already_holds";
        case OrderOutcome::kBusy:
            return "busy";
        case OrderOutcome::kFenced:
            return "fenced";
        case OrderOutcome::kOtherInstance:
            return "other_instance";
        case OrderOutcome::kInvalid:
            return "invalid";
        case OrderOutcome::kUnknown:
            break;
    }
    return "unknown";
}

}  // namespace fernlift::engine
