#include "standins/common/CommandLine.h"
#include "standins/platform/PlatformServer.h"

#include <cstdlib>
#include <exception>
#include <iostream>

namespace {

constexpr const char *usage = R"(Stand-in for the platform: a log service and a list of VMs.

Usage:
  standin_platform --port=<port> [--lifetime-s=<s>]
  standin_platform --help

Options:
  --port=<port>     Port on 127.0.0.1; 0 selects a free port.
  --lifetime-s=<s>  The process ends after this time [default: 600].
)";

} // namespace

int main(int argc, char **argv)
{
    using namespace bulrush::standins;
    const CommandLine options(usage, argc, argv);
    try {
        const std::chrono::seconds lifetime(options.number("--lifetime-s"));
        PlatformServer platform;
        announceAndWait(platform.start(options.number("--port")), lifetime);
    } catch (const std::exception &error) {
        std::cerr << "standin_platform: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
