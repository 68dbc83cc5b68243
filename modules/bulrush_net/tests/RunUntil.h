#pragma once

#include "bulrush_net/loop/EventLoop.h"

namespace bulrush {

/** Services the loop until the condition holds; the test's timeout aborts a hang. */
template<class Condition>
void runUntil(EventLoop &loop, Condition condition)
{
    while (!condition()) {
        loop.runOnce();
    }
}

} // namespace bulrush
