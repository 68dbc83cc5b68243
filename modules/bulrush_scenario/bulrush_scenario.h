#pragma once

/**
    bulrush_scenario: the small test language in which the scenarios are written.

    A script has one step a line: a verb, its arguments, and options of the form key=value.
    Text after '#' is a comment; a word in double quotes may hold spaces. Each test program
    binds verbs to functions and runs the scripts of its folder below scenarios/.

    Used by tests only. Needs: bulrush_core.
*/

#include "bulrush_scenario/script/Interpreter.h"
#include "bulrush_scenario/script/Step.h"
