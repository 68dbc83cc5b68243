#include "bulrush_steps/workers/StartWindow.h"

#include <algorithm>

namespace bulrush {

namespace {

/** By how much an unanswered start lowers the limit, and an answered one raises it: the limit falls
    while more than one start in twenty-one is unanswered. */
constexpr double decrease = 2.0;
constexpr double increase = 0.1;

/** The smallest limit, which keeps some starts going to find out when answers arrive again. */
constexpr double minLimit = 16.0;

} // namespace

void StartWindow::finished(bool inTime)
{
    if (this->openStarts > 0) {
        --this->openStarts;
    }
    const double changed = inTime ? this->limit + increase : this->limit - decrease;
    this->limit = std::clamp(changed, minLimit, static_cast<double>(this->maxOpenStarts));
}

void StartWindow::reset()
{
    this->openStarts = 0;
    this->limit = this->maxOpenStarts;
}

} // namespace bulrush
