#include "bulrush_scenario/script/Step.h"

#include "bulrush_core/errors/Error.h"

#include <array>
#include <charconv>
#include <utility>

namespace bulrush::scenario {

namespace {

/** Splits a line into words at spaces outside double quotes; an unquoted '#' starts a comment. */
std::vector<std::string> splitWords(std::string_view line)
{
    std::vector<std::string> words;
    std::string word;
    bool isQuoted = false;
    bool hasWord = false;
    for (const char character : line) {
        if (character == '#' && !isQuoted) {
            break;
        }
        if (character == '"') {
            isQuoted = !isQuoted;
            hasWord = true;
        } else if (character == ' ' && !isQuoted) {
            if (hasWord) {
                words.push_back(std::exchange(word, {}));
            }
            hasWord = false;
        } else {
            word.push_back(character);
            hasWord = true;
        }
    }
    if (hasWord) {
        words.push_back(word);
    }
    return words;
}

struct TimeUnit
{
    std::string_view suffix;
    Duration length;
};

constexpr std::array units {
    TimeUnit { "us", microseconds(1) }, TimeUnit { "ms", milliseconds(1) },
    TimeUnit { "s", seconds(1) },       TimeUnit { "m", minutes(1) },
    TimeUnit { "h", hours(1) },
};

} // namespace

Step::Step(std::string_view line, std::string_view location)
    : locationText(location)
{
    for (std::string &word : splitWords(line)) {
        const std::size_t equals = word.find('=');
        if (this->verbText.empty()) {
            this->verbText = std::move(word);
        } else if (equals != std::string::npos) {
            this->options[word.substr(0, equals)] = word.substr(equals + 1);
        } else {
            this->arguments.push_back(std::move(word));
        }
    }
}

const std::string &Step::argument(std::size_t index) const
{
    this->require(index < this->arguments.size(), "missing argument");
    return this->arguments[index];
}

std::int64_t Step::number(std::size_t index) const
{
    return this->parseNumber(this->argument(index));
}

Duration Step::duration(std::size_t index) const
{
    return this->parseDuration(this->argument(index));
}

bool Step::has(std::string_view key) const
{
    return this->options.find(key) != this->options.end();
}

std::string Step::option(std::string_view key, std::string_view fallback) const
{
    const auto found = this->options.find(key);
    return found == this->options.end() ? std::string(fallback) : found->second;
}

std::int64_t Step::numberOption(std::string_view key, std::int64_t fallback) const
{
    const auto found = this->options.find(key);
    return found == this->options.end() ? fallback : this->parseNumber(found->second);
}

Duration Step::durationOption(std::string_view key, Duration fallback) const
{
    const auto found = this->options.find(key);
    return found == this->options.end() ? fallback : this->parseDuration(found->second);
}

void Step::require(bool condition, std::string_view reason) const
{
    if (!condition) {
        throw Error("step '" + this->verbText + "'", this->locationText, reason);
    }
}

std::int64_t Step::parseNumber(std::string_view word) const
{
    std::int64_t value = 0;
    const auto result = std::from_chars(word.data(), word.data() + word.size(), value);
    this->require(result.ec == std::errc() && result.ptr == word.data() + word.size(),
                  "invalid integer: " + std::string(word));
    return value;
}

Duration Step::parseDuration(std::string_view word) const
{
    const std::size_t suffixStart = word.find_first_not_of("0123456789");
    this->require(suffixStart != std::string_view::npos && suffixStart > 0,
                  "invalid duration: " + std::string(word));
    for (const TimeUnit &unit : units) {
        if (unit.suffix == word.substr(suffixStart)) {
            return unit.length * this->parseNumber(word.substr(0, suffixStart));
        }
    }
    this->require(false, "unknown time unit: " + std::string(word));
    return {};
}

} // namespace bulrush::scenario
