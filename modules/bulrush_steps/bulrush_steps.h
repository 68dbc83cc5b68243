#pragma once

/**
    bulrush_steps: runs multi-step jobs on a pool of workers.

    Contains the job model (steps with dependencies, gangs, long-running and filling tasks,
    scheduled occurrences), the records that persist it in the platform's log, the dispatcher with
    which the owner starts and tracks tasks, and the scheduling policies. Access to the platform
    goes through the interfaces in ports/, which tests replace by fakes.

    Dependencies: bulrush_core, nlohmann_json.
*/

#include "bulrush_steps/dispatch/AssignedStarts.h"
#include "bulrush_steps/dispatch/DispatchSettings.h"
#include "bulrush_steps/dispatch/Dispatcher.h"
#include "bulrush_steps/dispatch/PlanLane.h"
#include "bulrush_steps/dispatch/Planner.h"
#include "bulrush_steps/dispatch/ProgressWriter.h"
#include "bulrush_steps/follow/ConfigFollower.h"
#include "bulrush_steps/follow/RecordsView.h"
#include "bulrush_steps/follow/StreamReader.h"
#include "bulrush_steps/follow/WorkerFollower.h"
#include "bulrush_steps/model/JobRecords.h"
#include "bulrush_steps/model/OccurrenceTable.h"
#include "bulrush_steps/model/ServingConfig.h"
#include "bulrush_steps/model/StepJob.h"
#include "bulrush_steps/model/StepJobTable.h"
#include "bulrush_steps/model/TaskStates.h"
#include "bulrush_steps/model/TaskText.h"
#include "bulrush_steps/ownership/FormerOwners.h"
#include "bulrush_steps/ownership/OwnershipManager.h"
#include "bulrush_steps/ownership/OwnershipTerm.h"
#include "bulrush_steps/ownership/Takeover.h"
#include "bulrush_steps/ownership/TakeoverWait.h"
#include "bulrush_steps/policy/CrashSuspects.h"
#include "bulrush_steps/policy/DurationEstimator.h"
#include "bulrush_steps/policy/FillController.h"
#include "bulrush_steps/policy/JobRank.h"
#include "bulrush_steps/policy/LoadTrend.h"
#include "bulrush_steps/policy/Placement.h"
#include "bulrush_steps/policy/Preemption.h"
#include "bulrush_steps/policy/PressureModel.h"
#include "bulrush_steps/policy/QueueService.h"
#include "bulrush_steps/policy/RunHealth.h"
#include "bulrush_steps/policy/StepPlacement.h"
#include "bulrush_steps/ports/KeyedLog.h"
#include "bulrush_steps/ports/MemberGroup.h"
#include "bulrush_steps/ports/RecordDecoder.h"
#include "bulrush_steps/ports/WorkerCommands.h"
#include "bulrush_steps/ports/WorkerEntry.h"
#include "bulrush_steps/ports/WorkerProcessList.h"
#include "bulrush_steps/workers/CommandTokens.h"
#include "bulrush_steps/workers/EndedWorkerFinder.h"
#include "bulrush_steps/workers/FirstRenewals.h"
#include "bulrush_steps/workers/LapsedRunCounts.h"
#include "bulrush_steps/workers/LeaseClock.h"
#include "bulrush_steps/workers/StartWindow.h"
#include "bulrush_steps/workers/Worker.h"
#include "bulrush_steps/workers/WorkerManager.h"
#include "bulrush_steps/workers/WorkerProcessCounts.h"
#include "bulrush_steps/workers/WorkerRoster.h"
