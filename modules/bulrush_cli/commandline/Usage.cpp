#include "bulrush_cli/commandline/Usage.h"

#include <array>

namespace bulrush {

namespace {

constexpr std::string_view usage =
        R"(bulrushrill: publishes records and shows the state of the nodes.

Usage:
  bulrushrill [options] [--node ADDRESS]... validate FILE...
  bulrushrill [options] [--node ADDRESS]... publish [--supersedes ID] [--publisher NAME]
              [--wait SECONDS] FILE...
  bulrushrill [options] [--node ADDRESS]... get KIND NAME
  bulrushrill [options] [--node ADDRESS]... list [KIND]
  bulrushrill [options] [--node ADDRESS]... diff FILE
  bulrushrill [options] [--node ADDRESS]... history KIND NAME
  bulrushrill [options] [--node ADDRESS]... status
  bulrushrill [options] [--node ADDRESS]... audit
  bulrushrill [options] [--node ADDRESS]... drain
  bulrushrill [options] [--node ADDRESS]... explain (job JOB | task TASK | request)
  bulrushrill completion (bash | zsh)
  bulrushrill (-h | --help)
  bulrushrill --version

Options:
  --node ADDRESS     The operators' endpoint of a node, IP:PORT; may be repeated. If a node does
                     not answer, the next is tried; status and publish query all. Without it, the
                     comma-separated list in the variable BULRUSHRILL_NODES is used.
  --key KEY          The operators' key; without it, the variable BULRUSHRILL_KEY is used.
  --output FORMAT    table or json [default: table].
  --supersedes ID    The id of the record to supersede; without it, the record in force.
  --publisher NAME   The publisher's name; without it, the variable USER is used.
  --wait SECONDS     How long publish waits for the record to be in force [default: 30].
  -h --help          Show this text.
  --version          Show the version.

Examples:
  bulrushrill validate review.json
  bulrushrill --node 10.0.0.1:9100 --node 10.0.0.2:9100 publish review.json
  bulrushrill publish --supersedes 65a1-9f --publisher mary --wait 10 review.json
  bulrushrill get service review
  bulrushrill list job
  bulrushrill diff review.json
  bulrushrill history service review
  bulrushrill --output json status
  bulrushrill audit
  bulrushrill --node 10.0.0.1:9100 drain
  bulrushrill explain job nightly
  bulrushrill explain task nightly#3
  bulrushrill explain request
  bulrushrill completion bash

Exit status: 0 done, 1 refused or invalid, 2 wrong command line, 3 no node answered,
4 outcome unknown or not in force within the wait time.
)";

constexpr std::array commands {
    std::string_view("validate"), std::string_view("publish"),    std::string_view("get"),
    std::string_view("list"),     std::string_view("diff"),       std::string_view("history"),
    std::string_view("status"),   std::string_view("audit"),      std::string_view("drain"),
    std::string_view("explain"),  std::string_view("completion"),
};

constexpr std::array options {
    std::string_view("--node"),       std::string_view("--key"),       std::string_view("--output"),
    std::string_view("--supersedes"), std::string_view("--publisher"), std::string_view("--wait"),
    std::string_view("--help"),       std::string_view("--version"),
};

} // namespace

std::string_view usageText()
{
    return usage;
}

std::string_view versionText()
{
    return "bulrushrill 0.1.0";
}

std::span<const std::string_view> commandNames()
{
    return commands;
}

std::span<const std::string_view> optionNames()
{
    return options;
}

} // namespace bulrush
