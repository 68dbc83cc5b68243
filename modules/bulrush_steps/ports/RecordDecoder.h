#pragma once

#include "bulrush_steps/model/ServingConfig.h"
#include "bulrush_steps/ports/WorkerEntry.h"

#include <string_view>

namespace bulrush {

/** Reads records that other programs wrote to the platform's log, in the platform's format. */
class RecordDecoder
{
public:
    RecordDecoder() = default;
    virtual ~RecordDecoder() = default;
    RecordDecoder(const RecordDecoder &) = delete;
    RecordDecoder &operator=(const RecordDecoder &) = delete;

    /** Returns whether a key of the configuration's stream holds the configuration itself. */
    virtual bool isServingConfig(std::string_view key) const = 0;

    /** @throws Error naming the field when the record is malformed */
    virtual ServingConfig servingConfig(std::string_view value) const = 0;

    /** @throws Error naming the field when the record is malformed */
    virtual WorkerEntry workerEntry(std::string_view key, std::string_view value) const = 0;

    /** Reads what a caller handed in; queue and id are the caller's to set. @throws Error */
    virtual StepJob submission(std::string_view body) const = 0;
};

} // namespace bulrush
