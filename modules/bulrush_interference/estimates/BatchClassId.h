#pragma once

#include "bulrush_core/ids/Id.h"

namespace bulrush {

/** The name of a class of batch tasks or watchers that behave alike. */
using BatchClassId = NameId<struct BatchClassTag>;

} // namespace bulrush
