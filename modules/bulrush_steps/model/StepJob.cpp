#include "bulrush_steps/model/StepJob.h"

#include <algorithm>

namespace bulrush {

bool StepJob::runsIndefinitely() const
{
    return std::any_of(this->steps.begin(), this->steps.end(),
                       [](const StepSpec &step) { return step.runsIndefinitely; });
}

} // namespace bulrush
