#include "bulrush_placement/usage/UsageModel.h"

#include <algorithm>
#include <cmath>

namespace bulrush::placement {

namespace {

std::int64_t scaled(std::int64_t amount, double ratio)
{
    return static_cast<std::int64_t>(std::llround(static_cast<double>(amount) * ratio));
}

} // namespace

void UsageModel::observe(const BatchClassId &batchClass, const Resources &declared,
                         const Resources &used)
{
    this->update(this->classes[batchClass], declared, used);
}

void UsageModel::observe(const ServiceId &service, const Resources &declared, const Resources &used)
{
    this->update(this->services[service], declared, used);
}

Resources UsageModel::expected(const BatchClassId &batchClass, const Resources &declared) const
{
    const auto found = this->classes.find(batchClass);
    return found == this->classes.end() ? declared : this->expectedOf(found->second, declared);
}

Resources UsageModel::expected(const ServiceId &service, const Resources &declared) const
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? declared : this->expectedOf(found->second, declared);
}

Resources UsageModel::expected(const TaskView &task) const
{
    if (task.kind == TaskKind::Service) {
        return this->expected(task.service, task.declared);
    }
    return this->expected(task.batchClass, task.declared);
}

void UsageModel::update(Entry &entry, const Resources &declared, const Resources &used) const
{
    if (!declared.isValid() || !used.isValid()) {
        return;
    }
    entry.reports += 1;
    const double rate = std::max(this->settings.learningRate, 1 / entry.reports);
    this->updateRatio(entry.cpu, declared.cpuMilli, used.cpuMilli, rate);
    this->updateRatio(entry.memory, declared.memoryMb, used.memoryMb, rate);
}

void UsageModel::updateRatio(Ratio &ratio, std::int64_t declared, std::int64_t used,
                             double rate) const
{
    if (declared <= 0) {
        return;
    }
    const double observed = static_cast<double>(used) / static_cast<double>(declared);
    const double clamped = std::min(observed, this->settings.maxRatio);
    const double error = clamped - ratio.mean;
    ratio.mean += rate * error;
    ratio.deviation += rate * (std::abs(error) - ratio.deviation);
}

Resources UsageModel::expectedOf(const Entry &entry, const Resources &declared) const
{
    const double weight = entry.reports / (entry.reports + this->settings.reportsForHalfWeight);
    const double memory = entry.memory.mean + this->settings.memoryMargin * entry.memory.deviation;
    Resources result = declared;
    result.cpuMilli = scaled(declared.cpuMilli, 1 + weight * (entry.cpu.mean - 1));
    result.memoryMb = scaled(declared.memoryMb, 1 + weight * (memory - 1));
    return result;
}

} // namespace bulrush::placement
