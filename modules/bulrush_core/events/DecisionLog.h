#pragma once

#include "bulrush_core/events/EventCatalogue.h"
#include "bulrush_core/time/Clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace spdlog {
class logger;
}

namespace bulrush {

/** One line of the decision log: an event and its fields, as a JSON object. */
class DecisionLine
{
public:
    explicit DecisionLine(Event event);

    /** Adds a field; the text is escaped. */
    DecisionLine &with(std::string_view name, std::string_view value);
    DecisionLine &with(std::string_view name, const std::string &value)
    {
        return this->with(name, std::string_view(value));
    }
    DecisionLine &with(std::string_view name, const char *value)
    {
        return this->with(name, std::string_view(value));
    }

    template<class Number>
    requires std::is_arithmetic_v<Number> DecisionLine &with(std::string_view name, Number value)
    {
        if constexpr (std::is_same_v<Number, bool>) {
            return this->withRaw(name, value ? "true" : "false");
        } else {
            return this->withRaw(name, std::to_string(value));
        }
    }

    Event event() const { return this->lineEvent; }

    /** Returns the fields, each with a comma before it. */
    const std::string &fields() const { return this->text; }

private:
    DecisionLine &withRaw(std::string_view name, std::string_view value);

    Event lineEvent;
    std::string text;
};

/** Where decisions are written to. */
class DecisionLog
{
public:
    DecisionLog() = default;
    virtual ~DecisionLog() = default;
    DecisionLog(const DecisionLog &) = delete;
    DecisionLog &operator=(const DecisionLog &) = delete;

    /** Writes a line, or drops it; never blocks. */
    virtual void write(const DecisionLine &line) = 0;
};

/** Drops every line; for tests and tools. */
class NoDecisionLog : public DecisionLog
{
public:
    void write(const DecisionLine & /*line*/) override { }
};

/**
    Writes JSON lines to the standard output, several at a time.

    Each event has a budget of lines a second; what is beyond it, or what the reader of the output
    does not take, is dropped, counted, and the count is written later.
*/
class JsonDecisionLog : public DecisionLog
{
public:
    /** @param node stands in every line */
    JsonDecisionLog(std::string_view node, const Clock &clock);
    ~JsonDecisionLog() override;

    void write(const DecisionLine &line) override;

    /** Hands the lines that wait to the reader of the output, as far as it takes them at once. The
        owner of the log calls it often: a line is not worth a system call of its own. */
    void flush();

    /** Returns how many lines were dropped since the start. */
    std::uint64_t droppedLines() const;

private:
    struct Budget
    {
        Instant windowStart {};
        std::uint32_t written = 0;
        std::uint64_t dropped = 0;
    };

    bool withinBudget(Event event, Instant now);
    void emit(const DecisionLine &line);

    const Clock &clock;
    std::map<Event, Budget> budgets;
    std::uint64_t overBudget = 0;
    class Output;
    std::shared_ptr<Output> output;
    std::shared_ptr<spdlog::logger> logger;
};

} // namespace bulrush
