#pragma once

#include "bulrush_steps/ports/KeyedLog.h"
#include "bulrush_steps/ports/WorkerCommands.h"

#include <string>
#include <string_view>

namespace bulrush {

/** Returns the identifier of a task for log lines, in the form job/occurrence/step/index. */
std::string text(const TaskRef &task);

std::string_view text(CommandOutcome outcome);
std::string_view text(EndKind kind);
std::string_view text(JobState state);
std::string_view text(StoreOutcome outcome);
std::string_view text(LogStream stream);

} // namespace bulrush
