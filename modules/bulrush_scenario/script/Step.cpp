#include "bulrush_scenario/script/Step.h"

#include "bulrush_core/errors/Error.h"

#include <array>
#include <charconv>
#include <utility>

namespace bulrush::scenario {

namespace {

/** Splits a line into words; quotes keep spaces together, '#' ends the line. */
std::vector<std::string> splitWords(std::string_view line)
{
    std::vector<std::string> words;
    std::string word;
    bool quoted = false;
    bool started = false;
    for (const char character : line) {
        if (character == '#' && !quoted) {
            break;
        }
        if (character == '"') {
            quoted = !quoted;
            started = true;
        } else if (character == ' ' && !quoted) {
            if (started) {
                words.push_back(std::exchange(word, {}));
            }
            started = false;
        } else {
            word.push_back(character);
            started = true;
        }
    }
    if (started) {
        words.push_back(word);
    }
    return words;
}

struct Unit
{
    std::string_view suffix;
    Duration length;
};

constexpr std::array units {
    Unit { "us", microseconds(1) }, Unit { "ms", milliseconds(1) }, Unit { "s", seconds(1) },
    Unit { "m", minutes(1) },       Unit { "h", hours(1) },
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
    this->require(index < this->arguments.size(), "an argument is missing");
    return this->arguments[index];
}

std::int64_t Step::number(std::size_t index) const
{
    return this->toNumber(this->argument(index));
}

Duration Step::duration(std::size_t index) const
{
    return this->toDuration(this->argument(index));
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
    return found == this->options.end() ? fallback : this->toNumber(found->second);
}

Duration Step::durationOption(std::string_view key, Duration fallback) const
{
    const auto found = this->options.find(key);
    return found == this->options.end() ? fallback : this->toDuration(found->second);
}

void Step::require(bool condition, std::string_view reason) const
{
    if (!condition) {
        throw Error("step '" + this->verbText + "'", this->locationText, reason);
    }
}

std::int64_t Step::toNumber(std::string_view word) const
{
    std::int64_t value = 0;
    const auto result = std::from_chars(word.data(), word.data() + word.size(), value);
    this->require(result.ec == std::errc() && result.ptr == word.data() + word.size(),
                  "not a whole number: " + std::string(word));
    return value;
}

Duration Step::toDuration(std::string_view word) const
{
    const std::size_t digits = word.find_first_not_of("0123456789");
    this->require(digits != std::string_view::npos && digits > 0,
                  "not a span of time: " + std::string(word));
    for (const Unit &unit : units) {
        if (unit.suffix == word.substr(digits)) {
            return unit.length * this->toNumber(word.substr(0, digits));
        }
    }
    this->require(false, "unknown unit of time: " + std::string(word));
    return {};
}

} // namespace bulrush::scenario
