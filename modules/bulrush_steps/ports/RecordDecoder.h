#pragma once

#include "bulrush_steps/model/ServingConfig.h"
#include "bulrush_steps/ports/WorkerEntry.h"

#include <string_view>

namespace bulrush {

/** Decodes records that other programs wrote to the platform's log, in the platform's format. */
class RecordDecoder
{
public:
    RecordDecoder() = default;
    virtual ~RecordDecoder() = default;
    RecordDecoder(const RecordDecoder &) = delete;
    RecordDecoder &operator=(const RecordDecoder &) = delete;

    /** Returns whether a key of the configuration stream holds the configuration itself. */
    virtual bool isServingConfig(std::string_view key) const = 0;

    /** @throws Error naming the field when the record is malformed */
    virtual ServingConfig servingConfig(std::string_view value) const = 0;

    /** Returns whether a key of the configuration stream requests an evacuation. */
    virtual bool isEvacuationRequest(std::string_view key) const = 0;

    /** Returns the data centre that such a key names.
        @throws Error when the name is malformed */
    virtual DataCentreId evacuatedDataCentre(std::string_view key) const = 0;

    /** @throws Error naming the field when the record is malformed */
    virtual WorkerEntry workerEntry(std::string_view key, std::string_view value) const = 0;

    /** Decodes a submitted job. The calling code must set its queue and id.
        @throws Error when the body is malformed */
    virtual StepJob submission(std::string_view body) const = 0;
};

} // namespace bulrush
