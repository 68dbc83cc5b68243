#pragma once

#include "bulrush_cli/client/OperatorsClient.h"
#include "bulrush_cli/commandline/CommandLine.h"

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace bulrush {

/** What commands work with; all outlive them. */
struct CliContext
{
    OperatorsClient &client;
    const Clock &clock;

    /** Returns an id that no other record has. */
    std::function<std::string()> newRecordId;

    /** What was asked for. */
    std::ostream &out;

    /** Errors and progress. */
    std::ostream &err;

    CliEnvironment environment;
};

/** Runs the tool. @param words the words of the command line after the program's name */
ExitStatus runCli(const std::vector<std::string> &words, const CliContext &context);

/** Returns an id made of the time and random digits. */
std::string randomRecordId();

} // namespace bulrush
