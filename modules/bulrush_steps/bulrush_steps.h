#pragma once

/**
    bulrush_steps: jobs of steps on the workers of a pool.

    Holds the model of a job (steps that depend on each other, gangs, tasks that last or fill,
    occurrences due at times), the records that keep it in the platform's log, the owner's side that
    starts and follows tasks, and the policies that it decides by. The platform is met through the
    ports; tests put mocks in their place.

    Needs: bulrush_core, nlohmann_json.
*/

#include "bulrush_steps/dispatch/DispatchSettings.h"
#include "bulrush_steps/dispatch/Dispatcher.h"
#include "bulrush_steps/dispatch/ProgressWriter.h"
#include "bulrush_steps/follow/ConfigFollower.h"
#include "bulrush_steps/follow/RecordsView.h"
#include "bulrush_steps/follow/StreamScan.h"
#include "bulrush_steps/follow/WorkerFollower.h"
#include "bulrush_steps/model/JobRecords.h"
#include "bulrush_steps/model/ServingConfig.h"
#include "bulrush_steps/model/StepJob.h"
#include "bulrush_steps/model/StepJobBook.h"
#include "bulrush_steps/model/TaskText.h"
#include "bulrush_steps/ownership/OwnershipKeeper.h"
#include "bulrush_steps/ownership/Takeover.h"
#include "bulrush_steps/policy/DurationBook.h"
#include "bulrush_steps/policy/FillControl.h"
#include "bulrush_steps/policy/LoadTrend.h"
#include "bulrush_steps/policy/Placement.h"
#include "bulrush_steps/policy/PressureModel.h"
#include "bulrush_steps/policy/RunWatch.h"
#include "bulrush_steps/policy/StepPlacement.h"
#include "bulrush_steps/policy/WorkOrder.h"
#include "bulrush_steps/ports/KeyedLog.h"
#include "bulrush_steps/ports/MemberGroup.h"
#include "bulrush_steps/ports/RecordDecoder.h"
#include "bulrush_steps/ports/WorkerEntry.h"
#include "bulrush_steps/ports/WorkerOrders.h"
#include "bulrush_steps/workers/LeaseClock.h"
#include "bulrush_steps/workers/RunKeeper.h"
#include "bulrush_steps/workers/Worker.h"
