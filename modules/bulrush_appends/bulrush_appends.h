#pragma once

// Flow control of appends to a store that processes one append at a time.
#include "bulrush_appends/flow/AppendQueue.h"
#include "bulrush_appends/flow/AppendTimes.h"
#include "bulrush_appends/flow/RelayQueue.h"
#include "bulrush_appends/flow/RetryBackoff.h"
