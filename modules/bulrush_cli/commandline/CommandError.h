#pragma once

#include "bulrush_core/errors/Error.h"

namespace bulrush {

/** The result of a command, used as the process's exit status. @see docs/COMMANDS.md */
enum class ExitStatus : int {
    Done = 0,
    Refused = 1,
    WrongCommandLine = 2,
    NoNodeAnswered = 3,
    OutcomeUnknown = 4,
};

/** An error that ends the command with the given exit status. */
class CommandError : public Error
{
public:
    CommandError(ExitStatus exitStatus, std::string_view step, std::string_view peer,
                 std::string_view reason)
        : Error(step, peer, reason)
        , exitStatus(exitStatus)
    {
    }

    ExitStatus status() const { return this->exitStatus; }

private:
    ExitStatus exitStatus;
};

} // namespace bulrush
