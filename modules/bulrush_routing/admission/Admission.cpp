#include "bulrush_routing/admission/Admission.h"

#include <algorithm>
#include <cmath>

namespace bulrush::routing {

namespace {

constexpr std::size_t indexOf(RequestClass requestClass)
{
    return static_cast<std::size_t>(requestClass);
}

/** Time constant of the exponential decay of the rates, in seconds. */
constexpr double rateTimeConstant = 1.0;

/** Minimum Retry-After of a refusal. */
constexpr Duration minRetryAfter = seconds(1);

/** Bounds of the interval over which the Retry-After times are spread, in seconds. */
constexpr double minRetrySpread = 2.0;
constexpr double maxRetrySpread = 60.0;

/** Share of the completion rate that returning callers may use. */
constexpr double retryTrafficShare = 0.1;

} // namespace

void Admission::Rate::record(Instant now)
{
    this->perSecond = this->value(now) + 1 / rateTimeConstant;
    this->at = now;
}

double Admission::Rate::value(Instant now) const
{
    const double age = std::chrono::duration<double>(now - this->at).count();
    return this->perSecond * std::exp(-age / rateTimeConstant);
}

AdmissionDecision Admission::decide(const Request &request, Instant now) const
{
    if (this->waitingAhead(request.requestClass) >= maxQueueLength) {
        return AdmissionDecision::Refuse;
    }
    const double served = std::max(1.0, this->completions.value(now));
    const double ahead = static_cast<double>(this->waitingAhead(request.requestClass));
    const std::chrono::duration<double> expected(ahead / served);
    const Duration allowed = std::min<Duration>(maxWait, request.deadline - now);
    return expected < allowed ? AdmissionDecision::Queue : AdmissionDecision::Refuse;
}

void Admission::push(const Request &request)
{
    this->queues[indexOf(request.requestClass)].push_back(request.id);
    ++this->counts[indexOf(request.requestClass)];
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

void Admission::decrementWaiting(RequestClass requestClass)
{
    --this->counts[indexOf(requestClass)];
}

std::optional<RequestId> Admission::displaceBulk()
{
    auto &bulk = this->queues[indexOf(RequestClass::Bulk)];
    if (this->waiting() < maxQueueLength || bulk.empty()) {
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

void Admission::recordCompletion(Instant now)
{
    this->completions.record(now);
}

Duration Admission::retryAfter(Instant now, std::mt19937_64 &random)
{
    this->refusals.record(now);
    const double absorbedRate = std::max(1.0, retryTrafficShare * this->completions.value(now));
    const double spread =
            std::clamp(this->refusals.value(now) / absorbedRate, minRetrySpread, maxRetrySpread);
    std::uniform_real_distribution<double> distribution(0, spread);
    const std::chrono::duration<double> jitter(distribution(random));
    return minRetryAfter + duration_cast<Duration>(jitter);
}

std::size_t Admission::waitingAhead(RequestClass requestClass) const
{
    return requestClass == RequestClass::Interactive ? this->counts[0] : this->waiting();
}

} // namespace bulrush::routing
