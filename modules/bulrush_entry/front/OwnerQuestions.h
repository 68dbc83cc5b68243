#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_steps/model/StepJob.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace bulrush {

/** An answer of the owner of the workers. */
struct OwnerAnswer
{
    enum class Kind : std::uint8_t { Known, NotKnown, NoAnswer };

    Kind kind = Kind::NoAnswer;
    JobState state = JobState::Queued;
    std::uint32_t waiting = 0;
    /** The memory that the jobs take that have not ended, in bytes. */
    std::size_t jobMemory = 0;
};

/** Sends questions to the owner of the workers, which may be this or another node. Callbacks are
    never called before the function that received them returns. */
class OwnerQuestions
{
public:
    using Callback = std::function<void(OwnerAnswer)>;

    OwnerQuestions() = default;
    virtual ~OwnerQuestions() = default;
    OwnerQuestions(const OwnerQuestions &) = delete;
    OwnerQuestions &operator=(const OwnerQuestions &) = delete;

    virtual void askState(const JobId &job, Callback callback) = 0;
    virtual void askWaitingCount(const std::string &queue, Callback callback) = 0;
};

} // namespace bulrush
