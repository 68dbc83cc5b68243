#include "standins/common/CommandLine.h"
#include "standins/target/Registration.h"
#include "standins/target/TargetServer.h"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <thread>

namespace {

using namespace bulrush::standins;

constexpr const char *usage = R"(The stand-in for a target: a worker and an executor in one.

Usage:
  standin_target --port=<port> --name=<name> --data-centre=<name> --rack=<name> [options]
  standin_target --help

Options:
  --port=<port>           Port on 127.0.0.1; 0 takes a free one.
  --name=<name>           Name of the VM.
  --data-centre=<name>    Its data centre.
  --rack=<name>           Its rack.
  --platform-port=<port>  Registers at the platform on this port.
  --cpu-milli=<n>         Processors, in thousandths [default: 64000].
  --memory-mb=<n>         Memory [default: 250000].
  --accelerators=<n>      Accelerators [default: 0].
  --slots=<n>             Requests served at a time [default: 8].
  --lifetime-s=<s>        The process ends after this time [default: 600].
)";

constexpr std::chrono::seconds registrationPatience(60);

RegistrationDetails detailsOf(const CommandLine &options)
{
    return { options.text("--name"),
             options.text("--data-centre"),
             options.text("--rack"),
             0,
             { options.number("--cpu-milli"), options.number("--memory-mb"),
               options.number("--accelerators") } };
}

/** Registers in the background, so that a platform that is down delays nothing. */
void registerInBackground(const RegistrationDetails &details, int platformPort)
{
    std::thread([details, platformPort] {
        if (!registerAtPlatform(details, platformPort, registrationPatience)) {
            std::cerr << "standin_target: the platform did not register " << details.name << '\n';
        }
    }).detach();
}

void run(const CommandLine &options)
{
    const std::chrono::seconds lifetime(options.number("--lifetime-s"));
    RegistrationDetails details = detailsOf(options);
    TargetServer target({ details.name, details.capacity, options.number("--slots") });
    details.port = target.start(options.number("--port"));
    if (options.has("--platform-port")) {
        registerInBackground(details, options.number("--platform-port"));
    }
    announceAndWait(details.port, lifetime);
}

} // namespace

int main(int argc, char **argv)
{
    const CommandLine options(usage, argc, argv);
    try {
        run(options);
    } catch (const std::exception &error) {
        std::cerr << "standin_target: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
