#include "bulrush_steps/dispatch/AssignedStarts.h"

#include <utility>

namespace bulrush {

void AssignedStarts::add(AssignedStart start)
{
    ++this->counts[start.fills ? 1 : 0];
    this->starts.push_back(std::move(start));
}

std::vector<AssignedStart> AssignedStarts::takeAll()
{
    this->counts = {};
    return std::exchange(this->starts, {});
}

} // namespace bulrush
