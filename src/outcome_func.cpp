#include "outcome_func.h"

namespace hickory {

const char* outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Ran:
        return "ran";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace hickory
