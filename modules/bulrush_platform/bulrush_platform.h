#pragma once

/**
    bulrush_platform: the platform's append-only log and its list of VMs.

    Other modules depend only on the interfaces Log and VmList. HttpPlatform implements both for the
    real platform; tests use their own implementations. LogReader reads one stream and retries
    after failed reads.

    Needs: bulrush_core, bulrush_net, nlohmann/json.
*/

#include "bulrush_platform/log/HttpPlatform.h"
#include "bulrush_platform/log/Log.h"
#include "bulrush_platform/log/LogReader.h"
#include "bulrush_platform/vms/VmList.h"
