#pragma once

#include <docopt/docopt.h>

#include <chrono>
#include <map>
#include <string>

namespace bulrush::standins {

/** The options of a stand-in's command line. */
class CommandLine
{
public:
    /** Parses the arguments; prints the usage and exits when they do not match it. */
    CommandLine(const std::string &usage, int argc, char **argv);

    /** Returns true when the option was given or has a default. */
    bool has(const std::string &option) const;

    /** Returns true when a flag without a value was given. */
    bool isSet(const std::string &flag) const;

    /** Returns an option's text; empty when it was not given. */
    std::string text(const std::string &option) const;

    /** Returns an option's value as an integer. @throws std::exception when it is not one */
    int number(const std::string &option) const;

private:
    std::map<std::string, docopt::value> options;
};

/** Prints the port on standard output and waits until the lifetime of the process is over. */
void announceAndWait(int port, std::chrono::seconds lifetime);

} // namespace bulrush::standins
