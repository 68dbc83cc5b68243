#include "standins/common/CommandLine.h"

#include <iostream>
#include <thread>
#include <vector>

namespace bulrush::standins {

CommandLine::CommandLine(const std::string &usage, int argc, char **argv)
    : options(docopt::docopt(usage, std::vector<std::string>(argv + 1, argv + argc)))
{
}

bool CommandLine::has(const std::string &option) const
{
    return this->options.at(option).isString();
}

bool CommandLine::isSet(const std::string &flag) const
{
    return this->options.at(flag).asBool();
}

std::string CommandLine::text(const std::string &option) const
{
    return this->has(option) ? this->options.at(option).asString() : std::string();
}

int CommandLine::number(const std::string &option) const
{
    return std::stoi(this->text(option));
}

void announceAndWait(int port, std::chrono::seconds lifetime)
{
    std::cout << "listening on 127.0.0.1:" << port << std::endl;
    std::this_thread::sleep_for(lifetime);
}

} // namespace bulrush::standins
