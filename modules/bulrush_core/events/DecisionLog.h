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

    /** Adds a field; the value is escaped. */
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

    /** Returns the JSON text of the fields, each preceded by a comma. */
    const std::string &fields() const { return this->text; }

private:
    DecisionLine &withRaw(std::string_view name, std::string_view value);

    Event lineEvent;
    std::string text;
};

/** Receives the lines of the decision log. */
class DecisionLog
{
public:
    DecisionLog() = default;
    virtual ~DecisionLog() = default;
    DecisionLog(const DecisionLog &) = delete;
    DecisionLog &operator=(const DecisionLog &) = delete;

    /** Writes or drops a line; never blocks. */
    virtual void write(const DecisionLine &line) = 0;
};

/** Discards all lines; for tests and tools. */
class NullDecisionLog : public DecisionLog
{
public:
    void write(const DecisionLine & /*line*/) override { }
};

/**
    Writes JSON lines to the standard output, in batches.

    The lines per second of each event are limited. Lines above the limit, and lines that the
    reader of the output does not read in time, are dropped and counted. The number of lines above
    the limit is logged with the first line of the event in a later second.
*/
class JsonDecisionLog : public DecisionLog
{
public:
    /** @param node name of the node, included in every line */
    JsonDecisionLog(std::string_view node, const Clock &clock);
    ~JsonDecisionLog() override;

    void write(const DecisionLine &line) override;

    /** Writes buffered lines to the output, as far as that does not block. The owner of the log
        calls this often, so that write() needs no system call of its own. */
    void flush();

    /** Returns the number of lines dropped since the start. */
    std::uint64_t droppedLines() const;

private:
    struct RateWindow
    {
        Instant start {};
        std::uint32_t written = 0;
        std::uint64_t dropped = 0;
    };

    bool admitLine(Event event, Instant now);
    void emit(const DecisionLine &line);

    const Clock &clock;
    std::map<Event, RateWindow> rateWindows;
    std::uint64_t rateLimitedLines = 0;
    class Output;
    std::shared_ptr<Output> output;
    std::shared_ptr<spdlog::logger> logger;
};

} // namespace bulrush
