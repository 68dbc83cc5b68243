#include "bulrush_core/events/DecisionLog.h"

#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <cerrno>
#include <poll.h>
#include <unistd.h>

namespace bulrush {

namespace {

/** Maximum lines per second of one event; further lines are counted and dropped. */
constexpr std::uint32_t maxLinesPerSecond = 400;

/** Maximum size of the text that is buffered while the reader of the output is slow. */
constexpr std::size_t maxBufferedBytes = 1U << 18U;

void appendEscaped(std::string &out, std::string_view text)
{
    constexpr char hexDigits[] = "0123456789abcdef";
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            out.push_back('\\');
            out.push_back(character);
        } else if (byte < 0x20) {
            out += "\\u00";
            out.push_back(hexDigits[byte >> 4U]);
            out.push_back(hexDigits[byte & 15U]);
        } else {
            out.push_back(character);
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

/** Buffers lines and writes them to the standard output as far as that does not block. */
class JsonDecisionLog::Output : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    std::uint64_t dropped() const { return this->droppedCount; }

protected:
    void sink_it_(const spdlog::details::log_msg &message) override
    {
        if (this->buffer.size() + message.payload.size() > maxBufferedBytes) {
            this->flush_();
        }
        if (this->buffer.size() + message.payload.size() > maxBufferedBytes) {
            ++this->droppedCount;
            return;
        }
        this->buffer.append(message.payload.data(), message.payload.size());
        this->buffer.push_back('\n');
    }

    void flush_() override
    {
        while (!this->buffer.empty()) {
            pollfd state { STDOUT_FILENO, POLLOUT, 0 };
            if (poll(&state, 1, 0) <= 0 || (state.revents & POLLOUT) == 0) {
                return;
            }
            // A pipe that polls as writable accepts this many bytes without blocking.
            constexpr std::size_t atomicPipeBytes = 4096;
            const std::size_t length = std::min(atomicPipeBytes, this->buffer.size());
            const ssize_t written = ::write(STDOUT_FILENO, this->buffer.data(), length);
            if (written <= 0) {
                return;
            }
            this->buffer.erase(0, static_cast<std::size_t>(written));
        }
    }

private:
    std::string buffer;
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

bool JsonDecisionLog::admitLine(Event event, Instant now)
{
    RateWindow &window = this->rateWindows[event];
    if (now - window.start >= seconds(1)) {
        const std::uint64_t dropped = window.dropped;
        window = { now, 0, 0 };
        if (dropped > 0) {
            this->emit(DecisionLine(Event::LinesDropped)
                               .with("of", eventInfo(event).name)
                               .with("lines", dropped));
        }
    }
    if (window.written >= maxLinesPerSecond) {
        ++window.dropped;
        ++this->rateLimitedLines;
        return false;
    }
    ++window.written;
    return true;
}

void JsonDecisionLog::flush()
{
    this->output->flush();
}

void JsonDecisionLog::write(const DecisionLine &line)
{
    if (this->admitLine(line.event(), this->clock.now())) {
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
    return this->rateLimitedLines + this->output->dropped();
}

} // namespace bulrush
