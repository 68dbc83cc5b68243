#pragma once

#include "bulrush_config/bulrush_config.h"
#include "bulrush_node/messages/FrontMessages.h"
#include "bulrush_node/operators/OperatorsApi.h"
#include "bulrush_node/peers/PeerMesh.h"
#include "bulrush_platform/vms/VmList.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace bulrush {

/** The state of a node that the command `status` shows. */
struct StatusView
{
    NodeId node;
    DataCentreId dataCentre;
    bool draining = false;
    Duration uptime {};
    LogOffset recordsNext = 0;
    bool recordsUsable = false;
    bool logAvailable = false;
    const std::map<NodeId, PeerView> *peers = nullptr;
    const std::vector<VmEntry> *vms = nullptr;
    /** The worker groups, as JSON text. */
    std::string groups = "[]";
    Instant now {};
};

// The answers to operators' commands as JSON. docs/OPERATIONS.md describes each.

/** @param front empty until a configuration has been sent to the front task */
std::string statusJson(const StatusView &view, const std::optional<FrontConfiguration> &front);

/** @param rest empty for all records, KIND, or KIND and NAME */
HttpResponse recordsAnswer(const RecordState &state, const std::vector<std::string> &rest);

/** @param rest KIND and NAME */
HttpResponse historyAnswer(const RecordState &state, const std::vector<std::string> &rest);

/** @param verdict null when this node knows no verdict on the record */
HttpResponse verdictAnswer(const Verdict *verdict);

HttpResponse auditAnswer(const std::deque<Verdict> &verdicts);

/** @param offset empty when it is unknown whether the record was appended */
HttpResponse publishAnswer(std::string_view id, std::optional<LogOffset> offset);

} // namespace bulrush
