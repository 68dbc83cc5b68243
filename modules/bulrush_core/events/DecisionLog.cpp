#include "bulrush_core/events/DecisionLog.h"

#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <cerrno>
#include <poll.h>
#include <unistd.h>

namespace bulrush {

namespace {

/** Lines of one event a second; more are counted and dropped. */
constexpr std::uint32_t linesPerSecond = 400;

/** Text that waits for a slow reader of the output. */
constexpr std::size_t waitingBytes = 1U << 18U;

void appendEscaped(std::string &out, std::string_view text)
{
    constexpr char hexDigits[] = "0123456789abcdef";
    for (const char each : text) {
        const auto byte = static_cast<unsigned char>(each);
        if (each == '"' || each == '\\') {
            out.push_back('\\');
            out.push_back(each);
        } else if (byte < 0x20) {
            out += "\\u00";
            out.push_back(hexDigits[byte >> 4U]);
            out.push_back(hexDigits[byte & 15U]);
        } else {
            out.push_back(each);
        }
    }
}

} // namespace

DecisionLine::DecisionLine(Event event)
    : lineEvent(event)
{
}

DecisionLine &DecisionLine::with(std::string_view name, std::string_view value)
{
    this->text += ",\"";
    this->text += name;
    this->text += "\":\"";
    appendEscaped(this->text, value);
    this->text += '"';
    return *this;
}

DecisionLine &DecisionLine::withRaw(std::string_view name, std::string_view value)
{
    this->text += ",\"";
    this->text += name;
    this->text += "\":";
    this->text += value;
    return *this;
}

/** Writes to the standard output as far as that takes it at once. */
class JsonDecisionLog::Output : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    std::uint64_t dropped() const { return this->droppedCount; }

protected:
    void sink_it_(const spdlog::details::log_msg &message) override
    {
        if (this->waiting.size() + message.payload.size() > waitingBytes) {
            this->flush_();
        }
        if (this->waiting.size() + message.payload.size() > waitingBytes) {
            ++this->droppedCount;
            return;
        }
        this->waiting.append(message.payload.data(), message.payload.size());
        this->waiting.push_back('\n');
    }

    void flush_() override
    {
        while (!this->waiting.empty()) {
            pollfd state { STDOUT_FILENO, POLLOUT, 0 };
            if (poll(&state, 1, 0) <= 0 || (state.revents & POLLOUT) == 0) {
                return;
            }
            // A pipe that polls as writable takes this much without blocking.
            constexpr std::size_t atomicPipeBytes = 4096;
            const std::size_t length = std::min(atomicPipeBytes, this->waiting.size());
            const ssize_t taken = ::write(STDOUT_FILENO, this->waiting.data(), length);
            if (taken <= 0) {
                return;
            }
            this->waiting.erase(0, static_cast<std::size_t>(taken));
        }
    }

private:
    std::string waiting;
    std::uint64_t droppedCount = 0;
};

JsonDecisionLog::JsonDecisionLog(std::string_view node, const Clock &systemClock)
    : clock(systemClock)
    , output(std::make_shared<Output>())
    , logger(std::make_shared<spdlog::logger>(std::string(node), this->output))
{
}

JsonDecisionLog::~JsonDecisionLog()
{
    this->flush();
}

bool JsonDecisionLog::withinBudget(Event event, Instant now)
{
    Budget &budget = this->budgets[event];
    if (now - budget.windowStart >= seconds(1)) {
        const std::uint64_t dropped = budget.dropped;
        budget = { now, 0, 0 };
        if (dropped > 0) {
            this->emit(DecisionLine(Event::LinesDropped)
                               .with("of", eventInfo(event).name)
                               .with("lines", dropped));
        }
    }
    if (budget.written >= linesPerSecond) {
        ++budget.dropped;
        ++this->overBudget;
        return false;
    }
    ++budget.written;
    return true;
}

void JsonDecisionLog::flush()
{
    this->output->flush();
}

void JsonDecisionLog::write(const DecisionLine &line)
{
    if (this->withinBudget(line.event(), this->clock.now())) {
        this->emit(line);
    }
}

void JsonDecisionLog::emit(const DecisionLine &line)
{
    const auto since = this->clock.now().time_since_epoch();
    const EventInfo &info = eventInfo(line.event());
    this->logger->info(R"({{"t_ms":{},"node":"{}","event":"E{}","name":"{}"{}}})",
                       duration_cast<milliseconds>(since).count(), this->logger->name(),
                       static_cast<unsigned>(info.event), info.name, line.fields());
}

std::uint64_t JsonDecisionLog::droppedLines() const
{
    return this->overBudget + this->output->dropped();
}

} // namespace bulrush
