#pragma once

#include "bulrush_cli/client/OperatorsClient.h"
#include "bulrush_cli/commandline/CommandLine.h"

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace bulrush {

/** The dependencies of all commands; the referenced objects must outlive them. */
struct CliContext
{
    OperatorsClient &client;
    const Clock &clock;

    /** Returns a unique id for a new record. */
    std::function<std::string()> newRecordId;

    /** The stream for results. */
    std::ostream &out;

    /** The stream for errors and progress. */
    std::ostream &err;

    CliEnvironment environment;
};

/** Runs the tool. @param arguments the arguments after the program's name */
ExitStatus runCli(const std::vector<std::string> &arguments, const CliContext &context);

/** Returns an id that consists of the current time and random digits, in hexadecimal. */
std::string randomRecordId();

} // namespace bulrush
