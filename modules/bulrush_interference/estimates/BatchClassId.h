#pragma once

#include "bulrush_core/ids/Id.h"

namespace bulrush {

/** The name of a class of batch tasks or watchers with similar resource usage. */
using BatchClassId = NameId<struct BatchClassTag>;

} // namespace bulrush
