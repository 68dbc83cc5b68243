#pragma once

#include "bulrush_cli/commandline/CommandError.h"
#include "bulrush_core/addresses/Endpoint.h"
#include "bulrush_core/time/Clock.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

/** The values that the tool reads from its environment. */
struct CliEnvironment
{
    /** BULRUSHRILL_NODES: comma-separated endpoints. */
    std::string nodes;

    /** BULRUSHRILL_KEY: the operators' key. */
    std::string key;

    /** USER: the default publisher. */
    std::string user;

    /** Whether stderr is a terminal, on which progress is shown. */
    bool isTerminal = false;
};

/** A parsed and validated command line. */
struct CommandLine
{
    std::string command;
    std::vector<Endpoint> nodes;
    std::string key;
    bool asJson = false;

    std::vector<std::string> files;
    std::string kind;
    std::string name;

    /** publish: the id given with --supersedes. */
    std::optional<std::string> supersedes;
    std::string publisher;
    seconds wait { 0 };

    /** explain: job, task or request; completion: bash or zsh. */
    std::string topic;
};

/** Parses a command line. @throws CommandError when it is invalid
    @param arguments the arguments after the program's name; must not contain --help or --version */
CommandLine readCommandLine(const std::vector<std::string> &arguments,
                            const CliEnvironment &environment);

/** Parses "IP:PORT" or "[IP]:PORT". @throws CommandError */
Endpoint readEndpoint(std::string_view text);

} // namespace bulrush
