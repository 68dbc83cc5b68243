#pragma once

#include "bulrush_cli/commandline/CommandError.h"
#include "bulrush_core/addresses/Endpoint.h"
#include "bulrush_core/time/Clock.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

/** What the tool takes from its surroundings. */
struct CliEnvironment
{
    /** BULRUSHRILL_NODES: endpoints separated by commas. */
    std::string nodes;

    /** BULRUSHRILL_KEY. */
    std::string key;

    /** USER: the publisher where none is named. */
    std::string user;

    /** Whether progress is shown to a person. */
    bool isTerminal = false;
};

/** A command line, checked. */
struct CommandLine
{
    std::string command;
    std::vector<Endpoint> nodes;
    std::string key;
    bool asJson = false;

    std::vector<std::string> files;
    std::string kind;
    std::string name;

    /** publish: the superseded id, where it was named. */
    std::optional<std::string> supersedes;
    std::string publisher;
    seconds wait { 0 };

    /** explain: job, task or request; completion: bash or zsh. */
    std::string topic;
};

/** Reads a command line. @throws CommandError for a wrong one
    @param words the words after the program's name, neither --help nor --version */
CommandLine readCommandLine(const std::vector<std::string> &words,
                            const CliEnvironment &environment);

/** Reads "IP:PORT" or "[IP]:PORT". @throws CommandError */
Endpoint readEndpoint(std::string_view text);

} // namespace bulrush
