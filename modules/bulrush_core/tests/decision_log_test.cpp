#include "bulrush_core/bulrush_core.h"

#include <criterion/criterion.h>

#include <array>
#include <csignal>
#include <fcntl.h>
#include <sstream>
#include <unistd.h>

using namespace bulrush;

namespace {

/** Redirects the standard output to a pipe that is read only by readAll(). */
class ScopedPipeOutput
{
public:
    ScopedPipeOutput()
        : originalOutput(dup(STDOUT_FILENO))
    {
        std::signal(SIGPIPE, SIG_IGN);
        cr_assert_eq(pipe(this->pipeEnds.data()), 0);
        cr_assert_neq(dup2(this->pipeEnds[1], STDOUT_FILENO), -1);
        close(this->pipeEnds[1]);
        cr_assert_neq(fcntl(this->pipeEnds[0], F_SETFL, O_NONBLOCK), -1);
    }

    ~ScopedPipeOutput()
    {
        dup2(this->originalOutput, STDOUT_FILENO);
        close(this->originalOutput);
        this->closeReader();
    }

    ScopedPipeOutput(const ScopedPipeOutput &) = delete;
    ScopedPipeOutput &operator=(const ScopedPipeOutput &) = delete;

    std::string readAll() const
    {
        std::string text;
        std::array<char, 65536> buffer {};
        for (;;) {
            const ssize_t length = read(this->pipeEnds[0], buffer.data(), buffer.size());
            if (length <= 0) {
                return text;
            }
            text.append(buffer.data(), static_cast<std::size_t>(length));
        }
    }

    void closeReader()
    {
        if (this->pipeEnds[0] >= 0) {
            close(this->pipeEnds[0]);
            this->pipeEnds[0] = -1;
        }
    }

private:
    int originalOutput;
    std::array<int, 2> pipeEnds {};
};

/** Writes lines of more than 200 bytes, below the limit of lines per second. */
void writeLines(JsonDecisionLog &log, ManualClock &clock, int count)
{
    const std::string filler(200, 'x');
    for (int number = 0; number < count; ++number) {
        clock.advance(milliseconds(10));
        log.write(DecisionLine(Event::TaskStarted).with("number", number).with("filler", filler));
        log.flush();
    }
}

int countLines(const std::string &text, const std::string &word)
{
    std::istringstream lines(text);
    std::string line;
    int count = 0;
    while (std::getline(lines, line)) {
        cr_expect(line.starts_with('{') && line.ends_with('}'), "an incomplete line: %s",
                  line.c_str());
        count += line.find(word) == std::string::npos ? 0 : 1;
    }
    return count;
}

} // namespace

/* When the pipe of the log is full, logging must not block; the dropped lines are counted. */
Test(DecisionLog, loggingDoesNotBlockWhenTheReaderStalls, .timeout = 60)
{
    ScopedPipeOutput output;
    ManualClock clock;
    JsonDecisionLog log("n1", clock);
    constexpr int lines = 20000;
    writeLines(log, clock, lines);
    cr_assert_gt(log.droppedLines(), 0U);
    const int kept = countLines(output.readAll(), "task started");
    cr_assert_lt(kept, lines);
    std::string later;
    for (int round = 0; round < 50; ++round) {
        writeLines(log, clock, 1);
        later += output.readAll();
    }
    cr_assert_gt(countLines(later, "task started"), 0, "the log did not recover");
}

Test(DecisionLog, loggingDoesNotBlockWhenTheReaderIsClosed, .timeout = 60)
{
    ScopedPipeOutput output;
    ManualClock clock;
    JsonDecisionLog log("n1", clock);
    output.closeReader();
    writeLines(log, clock, 5000);
    cr_assert_gt(log.droppedLines(), 0U);
}

/* A flood of one event must stay within its limit per second and not suppress other events. */
Test(DecisionLog, floodOfOneEventIsLimitedAndReported)
{
    ScopedPipeOutput output;
    ManualClock clock;
    JsonDecisionLog log("n1", clock);
    constexpr int flood = 5000;
    std::string text;
    for (int number = 0; number < flood; ++number) {
        log.write(DecisionLine(Event::TaskStarted).with("number", number));
        log.flush();
        text += output.readAll();
    }
    log.write(DecisionLine(Event::StoreLost));
    clock.advance(seconds(1));
    log.write(DecisionLine(Event::TaskStarted));
    log.flush();
    text += output.readAll();
    cr_assert_eq(countLines(text, "store lost"), 1);
    cr_assert_eq(countLines(text, "lines dropped"), 1);
    const int written = countLines(text, "\"name\":\"task started\"");
    cr_assert_lt(written, flood);
    cr_assert_eq(static_cast<std::uint64_t>(flood + 1 - written), log.droppedLines());
}
