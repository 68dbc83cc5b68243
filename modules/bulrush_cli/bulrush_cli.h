#pragma once

/**
    bulrush_cli: the commands of the operators' command-line tool.

    Parses the command line, queries nodes through OperatorsClient and prints tables or JSON. All
    input and output is injected, so that each command can be tested without a node.

    Dependencies: bulrush_config, bulrush_core, bulrush_net, nlohmann_json, docopt.
*/

#include "bulrush_cli/client/HttpOperatorsClient.h"
#include "bulrush_cli/client/NodeGroup.h"
#include "bulrush_cli/client/OperatorsClient.h"
#include "bulrush_cli/commandline/CommandLine.h"
#include "bulrush_cli/commandline/Usage.h"
#include "bulrush_cli/commands/Cli.h"
#include "bulrush_cli/output/Diff.h"
#include "bulrush_cli/output/Table.h"
