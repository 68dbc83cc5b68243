#include "bulrush_routing/admission/Admission.h"

#include <algorithm>
#include <cmath>

namespace bulrush::routing {

namespace {

constexpr std::size_t slot(RequestClass requestClass)
{
    return static_cast<std::size_t>(requestClass);
}

/** Time over which rates forget, in seconds. */
constexpr double rateMemory = 1.0;

/** Before this no refused caller comes back. */
constexpr Duration shortestRetryAfter = seconds(1);

/** Bounds of the spread of refused callers, in seconds. */
constexpr double narrowestSpread = 2.0;
constexpr double widestSpread = 60.0;

/** Share of the served rate that may be taken up by callers who come back. */
constexpr double returningShare = 0.1;

} // namespace

void Admission::Rate::note(Instant now)
{
    this->perSecond = this->value(now) + 1 / rateMemory;
    this->at = now;
}

double Admission::Rate::value(Instant now) const
{
    const double age = std::chrono::duration<double>(now - this->at).count();
    return this->perSecond * std::exp(-age / rateMemory);
}

Admit Admission::decide(const Request &request, Instant now) const
{
    if (this->waitingAhead(request.requestClass) >= queueBound) {
        return Admit::Refuse;
    }
    const double served = std::max(1.0, this->completions.value(now));
    const double ahead = static_cast<double>(this->waitingAhead(request.requestClass));
    const std::chrono::duration<double> expected(ahead / served);
    const Duration allowed = std::min<Duration>(longestWait, request.deadline - now);
    return expected < allowed ? Admit::Queue : Admit::Refuse;
}

void Admission::push(const Request &request)
{
    this->queues[slot(request.requestClass)].push_back(request.id);
    ++this->counts[slot(request.requestClass)];
}

std::optional<RequestId> Admission::front() const
{
    for (const auto &queue : this->queues) {
        if (!queue.empty()) {
            return queue.front();
        }
    }
    return std::nullopt;
}

void Admission::popFront()
{
    for (auto &queue : this->queues) {
        if (!queue.empty()) {
            queue.pop_front();
            return;
        }
    }
}

void Admission::leave(RequestClass requestClass)
{
    --this->counts[slot(requestClass)];
}

std::optional<RequestId> Admission::displaceBulk()
{
    auto &bulk = this->queues[slot(RequestClass::Bulk)];
    if (this->waiting() < queueBound || bulk.empty()) {
        return std::nullopt;
    }
    const RequestId id = bulk.back();
    bulk.pop_back();
    return id;
}

std::size_t Admission::waiting() const
{
    return this->counts[0] + this->counts[1];
}

void Admission::noteCompletion(Instant now)
{
    this->completions.note(now);
}

Duration Admission::retryAfter(Instant now, std::mt19937_64 &random)
{
    this->refusals.note(now);
    const double absorbed = std::max(1.0, returningShare * this->completions.value(now));
    const double spread =
            std::clamp(this->refusals.value(now) / absorbed, narrowestSpread, widestSpread);
    std::uniform_real_distribution<double> distribution(0, spread);
    const std::chrono::duration<double> jitter(distribution(random));
    return shortestRetryAfter + duration_cast<Duration>(jitter);
}

std::size_t Admission::waitingAhead(RequestClass requestClass) const
{
    return requestClass == RequestClass::Interactive ? this->counts[0] : this->waiting();
}

} // namespace bulrush::routing
