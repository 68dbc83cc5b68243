#pragma once

/**
    bulrush_scenario: an interpreter for the scripting language of the scenario tests.

    A script has one step per line: a verb, its arguments, and options of the form key=value.
    Text after '#' is a comment; a word in double quotes may contain spaces. Each test program
    binds verbs to functions and runs the scripts in its folder below scenarios/.

    Used by tests only. Dependencies: bulrush_core.
*/

#include "bulrush_scenario/script/Interpreter.h"
#include "bulrush_scenario/script/Step.h"
