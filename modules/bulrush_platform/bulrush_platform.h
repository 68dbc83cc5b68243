#pragma once

/**
    bulrush_platform: the platform's append-only log and its list of VMs.

    Log and VmList are the interfaces that everything else sees; HttpPlatform speaks to the
    platform, and tests put their own in its place. LogReader reads one stream through outages.

    Needs: bulrush_core, bulrush_net, nlohmann's JSON library.
*/

#include "bulrush_platform/log/HttpPlatform.h"
#include "bulrush_platform/log/Log.h"
#include "bulrush_platform/log/LogReader.h"
#include "bulrush_platform/vms/VmList.h"
