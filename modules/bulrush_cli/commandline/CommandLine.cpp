#include "bulrush_cli/commandline/CommandLine.h"

#include "bulrush_cli/commandline/Usage.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <netinet/in.h>

namespace bulrush {

namespace {

using ParsedArguments = std::map<std::string, docopt::value>;

constexpr int maxWaitSeconds = 3'600;

[[noreturn]] void throwInvalid(std::string_view field, std::string_view found,
                               std::string_view expected)
{
    throw CommandError(ExitStatus::WrongCommandLine, "read command line", "",
                       std::string(field) + ": found \"" + std::string(found) + "\", expected "
                               + std::string(expected));
}

bool isIpAddress(const std::string &text)
{
    std::array<unsigned char, sizeof(in6_addr)> bytes {};
    return inet_pton(AF_INET, text.c_str(), bytes.data()) == 1
            || inet_pton(AF_INET6, text.c_str(), bytes.data()) == 1;
}

template<class Number>
std::optional<Number> readNumber(std::string_view text)
{
    Number number {};
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isComplete = failure == std::errc() && end == text.data() + text.size();
    return isComplete ? std::optional(number) : std::nullopt;
}

std::string textOf(const ParsedArguments &arguments, const std::string &name)
{
    const auto found = arguments.find(name);
    const bool isText = found != arguments.end() && found->second.isString();
    return isText ? found->second.asString() : std::string();
}

bool isSet(const ParsedArguments &arguments, std::string_view name)
{
    const auto found = arguments.find(std::string(name));
    return found != arguments.end() && found->second.isBool() && found->second.asBool();
}

std::vector<std::string> stringListOf(const ParsedArguments &arguments, const std::string &name)
{
    const auto found = arguments.find(name);
    if (found == arguments.end() || !found->second) {
        return {};
    }
    if (found->second.isStringList()) {
        return found->second.asStringList();
    }
    return found->second.isString() ? std::vector { found->second.asString() }
                                    : std::vector<std::string>();
}

std::vector<std::string> splitAtCommas(std::string_view text)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const std::size_t comma = std::min(text.find(','), text.size());
        if (comma > 0) {
            parts.emplace_back(text.substr(0, comma));
        }
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return parts;
}

std::vector<Endpoint> readNodes(const ParsedArguments &arguments, const CliEnvironment &environment)
{
    std::vector<std::string> texts = stringListOf(arguments, "--node");
    if (texts.empty()) {
        texts = splitAtCommas(environment.nodes);
    }
    std::vector<Endpoint> nodes;
    for (const std::string &text : texts) {
        const Endpoint node = readEndpoint(text);
        // docopt repeats the last of several equal options once for each usage pattern.
        if (std::find(nodes.begin(), nodes.end(), node) == nodes.end()) {
            nodes.push_back(node);
        }
    }
    return nodes;
}

seconds readWait(const std::string &text)
{
    const std::optional<int> wait = readNumber<int>(text);
    if (!wait || *wait < 0 || *wait > maxWaitSeconds) {
        throwInvalid("--wait", text, "whole seconds from 0 to " + std::to_string(maxWaitSeconds));
    }
    return seconds(*wait);
}

bool readOutput(const std::string &text)
{
    if (text != "table" && text != "json") {
        throwInvalid("--output", text, "table or json");
    }
    return text == "json";
}

std::string readTopic(const ParsedArguments &arguments)
{
    for (const std::string_view topic : { "job", "task", "request", "bash", "zsh" }) {
        if (isSet(arguments, topic)) {
            return std::string(topic);
        }
    }
    return {};
}

ParsedArguments parse(const std::vector<std::string> &arguments)
{
    try {
        return docopt::docopt_parse(std::string(usageText()), arguments, false, false);
    } catch (const docopt::DocoptArgumentError &) {
        std::string line;
        for (const std::string &argument : arguments) {
            line += (line.empty() ? "" : " ") + argument;
        }
        throwInvalid("command line", line, "one of the usage patterns shown by --help");
    }
}

std::string firstNonEmpty(const std::string &first, const std::string &second)
{
    return first.empty() ? second : first;
}

} // namespace

Endpoint readEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    std::string address(text.substr(0, std::min(colon, text.size())));
    if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
        address = address.substr(1, address.size() - 2);
    }
    const auto port = colon == std::string_view::npos
            ? std::nullopt
            : readNumber<std::uint16_t>(text.substr(colon + 1));
    if (!port || *port == 0 || !isIpAddress(address)) {
        throwInvalid("--node", text, "IP:PORT, such as 10.0.0.1:9100");
    }
    return { address, *port };
}

CommandLine readCommandLine(const std::vector<std::string> &arguments,
                            const CliEnvironment &environment)
{
    const ParsedArguments parsed = parse(arguments);
    CommandLine line;
    const auto names = commandNames();
    line.command = *std::find_if(names.begin(), names.end(),
                                 [&parsed](std::string_view name) { return isSet(parsed, name); });
    line.nodes = readNodes(parsed, environment);
    line.key = firstNonEmpty(textOf(parsed, "--key"), environment.key);
    line.asJson = readOutput(textOf(parsed, "--output"));
    line.files = stringListOf(parsed, "FILE");
    line.kind = textOf(parsed, "KIND");
    line.topic = readTopic(parsed);
    line.name = firstNonEmpty(textOf(parsed, "NAME"),
                              firstNonEmpty(textOf(parsed, "JOB"), textOf(parsed, "TASK")));
    if (parsed.at("--supersedes").isString()) {
        line.supersedes = parsed.at("--supersedes").asString();
    }
    line.publisher = firstNonEmpty(textOf(parsed, "--publisher"),
                                   firstNonEmpty(environment.user, "operator"));
    line.wait = readWait(textOf(parsed, "--wait"));
    return line;
}

} // namespace bulrush
