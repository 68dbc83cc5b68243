#include "Measures.h"

#include <algorithm>
#include <cstdio>

namespace bulrush::bench {

void Measures::record(routing::Outcome outcome, routing::RequestClass requestClass, Duration taken)
{
    ++this->arrived;
    const double milliseconds = std::chrono::duration<double, std::milli>(taken).count();
    const bool answered = outcome == routing::Outcome::Answered;
    this->late += !answered || taken > lateAfter ? 1 : 0;
    if (answered) {
        this->answerTimes.push_back(milliseconds);
    } else if (outcome == routing::Outcome::NotRun) {
        ++this->notRun;
        this->interactiveNotRun += requestClass == routing::RequestClass::Interactive ? 1 : 0;
        this->refusalTimes.push_back(milliseconds);
    } else {
        ++this->unknown;
    }
}

void Measures::recordLost(std::uint64_t count)
{
    this->arrived += count;
    this->late += count;
    this->lost += count;
}

void Measures::finalise(Duration measured)
{
    std::sort(this->answerTimes.begin(), this->answerTimes.end());
    std::sort(this->refusalTimes.begin(), this->refusalTimes.end());
    const double slots = static_cast<double>(executorCount * slotsPerExecutor);
    const double capacity = slots
            * (static_cast<double>(measured.count())
               / static_cast<double>(Duration(meanService).count()));
    this->goodputShare = static_cast<double>(this->answerTimes.size()) / capacity;
}

double Measures::quantile(const std::vector<double> &sorted, double share)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
    return sorted[std::min(index, sorted.size() - 1)];
}

nlohmann::json Measures::toJson() const
{
    const auto share = [this](std::uint64_t count) {
        return static_cast<double>(count)
                / static_cast<double>(std::max<std::uint64_t>(1, arrived));
    };
    return {
        { "strategy", this->strategy },
        { "requests", this->arrived },
        { "p50_ms", quantile(this->answerTimes, 0.5) },
        { "p99_ms", quantile(this->answerTimes, 0.99) },
        { "p999_ms", quantile(this->answerTimes, 0.999) },
        { "late_share", share(this->late) },
        { "not_run_share", share(this->notRun) },
        { "interactive_not_run_share", share(this->interactiveNotRun) },
        { "unknown_share", share(this->unknown) },
        { "lost_share", share(this->lost) },
        { "refusal_max_ms", quantile(this->refusalTimes, 1.0) },
        { "goodput_share", this->goodputShare },
        { "second_send_share",
          static_cast<double>(this->secondSends)
                  / static_cast<double>(std::max<std::uint64_t>(1, this->requestsSeen)) },
    };
}

void Measures::printHeader()
{
    std::printf("%-20s %-16s %7s %7s %7s %8s %8s %8s %8s %7s %8s %8s %7s\n", "case", "strategy",
                "p50 ms", "p99 ms", "p99.9", "late %", "notrun %", "inter. %", "unkn. %", "lost %",
                "refus ms", "goodput%", "again %");
}

void Measures::print(const std::string &caseName) const
{
    const nlohmann::json json = this->toJson();
    const auto percent = [&json](const char *key) { return 100 * json[key].get<double>(); };
    std::printf("%-20s %-16s %7.1f %7.1f %7.1f %8.3f %8.3f %8.3f %8.3f %7.3f %8.2f %8.2f %7.2f\n",
                caseName.c_str(), this->strategy.c_str(), json["p50_ms"].get<double>(),
                json["p99_ms"].get<double>(), json["p999_ms"].get<double>(), percent("late_share"),
                percent("not_run_share"), percent("interactive_not_run_share"),
                percent("unknown_share"), percent("lost_share"),
                json["refusal_max_ms"].get<double>(), percent("goodput_share"),
                percent("second_send_share"));
}

} // namespace bulrush::bench
