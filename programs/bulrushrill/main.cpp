#include "bulrush_cli/bulrush_cli.h"
#include "bulrush_core/bulrush_core.h"

#include <cstdlib>
#include <iostream>
#include <unistd.h>

namespace {

std::string environmentValue(const char *name)
{
    const char *value = std::getenv(name);
    return value == nullptr ? std::string() : std::string(value);
}

bulrush::CliEnvironment readEnvironment()
{
    bulrush::CliEnvironment environment;
    environment.nodes = environmentValue("BULRUSHRILL_NODES");
    environment.key = environmentValue("BULRUSHRILL_KEY");
    environment.user = environmentValue("USER");
    environment.isTerminal = isatty(STDERR_FILENO) == 1;
    return environment;
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const bulrush::SystemClock clock;
    bulrush::HttpOperatorsClient client;
    const bulrush::CliContext context { client,    clock,     bulrush::randomRecordId,
                                        std::cout, std::cerr, readEnvironment() };
    return static_cast<int>(bulrush::runCli(arguments, context));
}
