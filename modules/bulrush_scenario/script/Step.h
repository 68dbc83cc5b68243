#pragma once

#include "bulrush_core/time/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush::scenario {

/** One line of a script. The accessors throw Error with the step's location if an argument is
    missing or cannot be parsed. */
class Step
{
public:
    /** Parses one line; the verb is empty if the line is blank or only a comment. */
    Step(std::string_view line, std::string_view location);

    /** Returns the first word of the line. */
    const std::string &verb() const { return this->verbText; }

    /** Returns "file:line". */
    const std::string &location() const { return this->locationText; }

    /** Returns the number of arguments after the verb, not counting options. */
    std::size_t argumentCount() const { return this->arguments.size(); }

    /** Returns an argument. @param index counted from 0, without the options */
    const std::string &argument(std::size_t index) const;

    /** Returns an argument as an integer. */
    std::int64_t number(std::size_t index) const;

    /** Returns an argument as a duration, such as 250us, 20ms, 3s, 5m or 1h. */
    Duration duration(std::size_t index) const;

    /** Returns whether an option was given. */
    bool has(std::string_view key) const;

    /** Returns an option's text, or the fallback if it was not given. */
    std::string option(std::string_view key, std::string_view fallback) const;

    /** Returns an option as an integer, or the fallback if it was not given. */
    std::int64_t numberOption(std::string_view key, std::int64_t fallback) const;

    /** Returns an option as a duration, or the fallback if it was not given. */
    Duration durationOption(std::string_view key, Duration fallback) const;

    /** Throws Error with this step's location unless the condition holds. */
    void require(bool condition, std::string_view reason) const;

private:
    std::int64_t parseNumber(std::string_view word) const;
    Duration parseDuration(std::string_view word) const;

    std::string verbText;
    std::string locationText;
    std::vector<std::string> arguments;
    std::map<std::string, std::string, std::less<>> options;
};

} // namespace bulrush::scenario
