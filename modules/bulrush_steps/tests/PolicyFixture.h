#pragma once

#include "bulrush_core/bulrush_core.h"
#include "bulrush_steps/bulrush_steps.h"

#include <vector>

namespace bulrush::test {

inline const Instant start { hours(1) };

inline Run makeRun(const char *job, std::int64_t cpu, const char *image)
{
    Run run;
    run.attempt = { { JobId(job), 0, 0, 0 }, 1 };
    run.size = { cpu, 1000, 0 };
    run.image = image;
    run.phase = RunPhase::Running;
    run.confirmedAt = start;
    run.progressedAt = start;
    return run;
}

inline Run makeServingRun(const char *job, const char *image, double tail)
{
    Run run = makeRun(job, 10000, image);
    run.runsIndefinitely = true;
    run.progressPercent = 100;
    run.tailTarget = milliseconds(50);
    run.load = tail;
    return run;
}

inline Run makeFillingRun(const char *job, const char *image, double used)
{
    Run run = makeRun(job, 0, image);
    run.fillCpuMilli = 6400;
    run.load = used;
    run.resumable = true;
    return run;
}

inline Worker makeWorker(const char *name, const std::vector<Run> &runs)
{
    Worker worker;
    worker.entry.worker = TargetId(name);
    worker.entry.service = ServiceId("review");
    worker.entry.capacity = { 64000, 256000, 0 };
    worker.confirmed = true;
    worker.onRoster = true;
    worker.availableFillCpuMilli = 64000;
    for (const Run &run : runs) {
        worker.addRun(run);
    }
    return worker;
}

/** How long a model is trained with reports before `start`. */
inline constexpr seconds trainingTime { 30 };

/** Returns a model trained with reports of a serving image alone, beside a heavy and beside a light
    filling image. */
inline PressureModel makeTrainedModel()
{
    PressureModel model;
    const Worker alone = makeWorker("w", { makeServingRun("s", "web", 15) });
    const Worker besideHeavy =
            makeWorker("w", { makeServingRun("s", "web", 45), makeFillingRun("f", "heavy", 6400) });
    const Worker besideLight =
            makeWorker("w", { makeServingRun("s", "web", 15), makeFillingRun("f", "light", 6400) });
    model.observe(makeWorker("w", { makeServingRun("s", "web", 10) }), start - trainingTime);
    for (Instant now = start - trainingTime; now < start; now += milliseconds(100)) {
        model.observe(alone, now);
        model.observe(besideHeavy, now);
        model.observe(besideLight, now);
    }
    return model;
}

inline StepSpec makeFillingStep(const char *image)
{
    StepSpec step;
    step.size = { 6400, 1000, 0 };
    step.fills = true;
    step.image = image;
    return step;
}

} // namespace bulrush::test
