#include "bulrush_cli/commands/Publication.h"

#include <algorithm>

namespace bulrush {

namespace {

using nlohmann::json;

constexpr Duration pollPeriod = milliseconds(200);

constexpr int accepted = 202;
constexpr int notFound = 404;
constexpr int gatewayTimeout = 504;

} // namespace

Publication::Publication(const CommandContext &commandContext, RecordFile recordFile)
    : context(commandContext)
    , file(std::move(recordFile))
    , title(this->file.title())
    , deadline(commandContext.cli.clock.now() + commandContext.line.wait)
{
}

ExitStatus Publication::run()
{
    this->completeRecord();
    if (!this->append() && !this->mayBeAppended) {
        return this->finish(ExitStatus::OutcomeUnknown, "not appended within the wait time");
    }
    if (!this->awaitVerdict()) {
        return this->finish(
                ExitStatus::OutcomeUnknown,
                "outcome unknown: no verdict within the wait time; see `bulrushrill history "
                        + *this->file.field("kind") + " " + *this->file.field("name") + "`");
    }
    if (this->verdict.value("outcome", "") != "accepted") {
        return this->finishRefused();
    }
    const bool isInForceEverywhere = this->awaitInForce();
    const std::string nodes = std::to_string(this->lastRollout.inForce) + " of "
            + std::to_string(this->lastRollout.reached) + " nodes";
    const std::string offset = this->verdict.value("offset", json()).dump();
    if (!isInForceEverywhere) {
        return this->finish(ExitStatus::OutcomeUnknown,
                            "accepted at offset " + offset + ", but in force only on " + nodes
                                    + " within the wait time" + this->unansweredNodesText());
    }
    return this->finish(ExitStatus::Done,
                        "in force at offset " + offset + " on " + nodes
                                + this->unansweredNodesText() + this->successorText());
}

//==============================================================================
void Publication::completeRecord()
{
    const auto &line = this->context.line;
    const std::string inForce = this->findSupersededId();
    if (line.supersedes) {
        this->file.set("supersedes", *line.supersedes);
    }
    this->file.setDefault("supersedes", inForce);
    this->file.setDefault("publisher", line.publisher);
    this->file.setDefault("id", this->context.cli.newRecordId());
    const std::optional<FieldProblem> problem = this->file.problem();
    if (problem) {
        throw CommandError(ExitStatus::Refused, "check record", this->file.path(), problem->text());
    }
}

/** Returns the id that the next record of this name must supersede, and stores its publisher. */
std::string Publication::findSupersededId()
{
    const NodeAnswer answer =
            this->context.nodes.queryAny("/records/" + percentEncoded(*this->file.field("kind"))
                                         + "/" + percentEncoded(*this->file.field("name")));
    if (answer.status == notFound) {
        return this->lastAcceptedId();
    }
    requireSuccess(answer);
    const json &record = answer.body.at("records").at(0);
    this->supersededPublisher = record.value("publisher", "");
    return record.value("id", "");
}

/** Returns the id of the last accepted record of this name. A job that has ended is not in force,
    but the next record of its name must supersede it. */
std::string Publication::lastAcceptedId() const
{
    const NodeAnswer answer =
            this->context.nodes.queryAny("/history/" + percentEncoded(*this->file.field("kind"))
                                         + "/" + percentEncoded(*this->file.field("name")));
    requireSuccess(answer);
    std::string id;
    for (const json &historyEntry : answer.body.value("history", json::array())) {
        if (historyEntry.value("outcome", "") == "accepted") {
            id = historyEntry.value("id", "");
        }
    }
    return id;
}

//==============================================================================
/** Appends the record. If an answer is lost, repeats the append with the same id. */
bool Publication::append()
{
    do {
        std::vector<NodeAnswer> failures;
        for (const Endpoint &node : this->context.nodes.endpoints()) {
            if (this->appendAt(node, failures)) {
                return true;
            }
        }
        const bool noneReached =
                std::all_of(failures.begin(), failures.end(), [](const NodeAnswer &failure) {
                    return !failure.status && !failure.mayHaveArrived;
                });
        if (noneReached && !this->mayBeAppended) {
            NodeGroup::throwNoneAnswered(failures);
        }
        // The record may already be in the log, so its verdict is queried before it is sent again.
        if (!this->findVerdict().is_null()) {
            return true;
        }
        this->pause("the append's answer was lost; publishing again with the same id");
    } while (this->isTimeLeft());
    return false;
}

bool Publication::appendAt(const Endpoint &node, std::vector<NodeAnswer> &failures)
{
    const NodeAnswer answer = this->context.nodes.post(node, "/records", this->file.text());
    if (answer.status == accepted) {
        return true;
    }
    if (answer.status && *answer.status < 500) {
        this->clearProgress();
        throw CommandError(ExitStatus::Refused, "publish", node.text(), answer.error());
    }
    this->mayBeAppended =
            this->mayBeAppended || answer.mayHaveArrived || answer.status == gatewayTimeout;
    failures.push_back(answer);
    return false;
}

bool Publication::awaitVerdict()
{
    while (true) {
        this->verdict = this->findVerdict();
        if (!this->verdict.is_null()) {
            return true;
        }
        if (!this->isTimeLeft()) {
            return false;
        }
        this->pause("appended, waiting for the verdict");
    }
}

bool Publication::awaitInForce()
{
    while (true) {
        this->lastRollout = this->queryRollout();
        if (this->lastRollout.reached > 0
            && this->lastRollout.inForce == this->lastRollout.reached) {
            return true;
        }
        if (!this->isTimeLeft()) {
            return false;
        }
        this->pause("accepted, in force on " + std::to_string(this->lastRollout.inForce) + " of "
                    + std::to_string(this->lastRollout.reached) + " nodes");
    }
}

/** Queries all nodes for the verdict; null if none has it. A node that was replaced since the
    append has the verdict only in the history of the name. */
json Publication::findVerdict() const
{
    const std::string id = *this->file.field("id");
    for (const NodeAnswer &answer :
         this->context.nodes.queryAll("/verdicts/" + percentEncoded(id))) {
        if (answer.succeeded()) {
            return answer.body;
        }
    }
    const std::string path = "/history/" + percentEncoded(*this->file.field("kind")) + "/"
            + percentEncoded(*this->file.field("name"));
    for (const NodeAnswer &answer : this->context.nodes.queryAll(path)) {
        if (!answer.succeeded()) {
            continue;
        }
        for (const json &historyEntry : answer.body.value("history", json::array())) {
            if (historyEntry.value("id", "") == id) {
                return historyEntry;
            }
        }
    }
    return nullptr;
}

/** Counts the nodes that answer and the peers that they are connected to. */
Publication::Rollout Publication::queryRollout() const
{
    Rollout result;
    std::map<std::string, std::uint64_t> offsets;
    const auto mergeOffset = [&offsets](const json &node) {
        std::uint64_t &offset = offsets[node.value("node", "")];
        offset = std::max(offset, node.value("recordsOffset", std::uint64_t(0)));
    };
    for (const NodeAnswer &answer : this->context.nodes.queryAll("/status")) {
        if (!answer.succeeded()) {
            result.unanswered.push_back(answer.node.text());
            continue;
        }
        mergeOffset(answer.body);
        for (const json &peer : answer.body.value("peers", json::array())) {
            if (peer.value("connected", false)) {
                mergeOffset(peer);
            }
        }
    }
    const auto verdictOffset = this->verdict.value("offset", std::uint64_t(0));
    const auto inForce =
            std::count_if(offsets.begin(), offsets.end(), [verdictOffset](const auto &node) {
                return node.second > verdictOffset;
            });
    result.inForce = static_cast<std::size_t>(inForce);
    result.reached = offsets.size();
    return result;
}

//==============================================================================
bool Publication::isTimeLeft() const
{
    return this->context.cli.clock.now() < this->deadline;
}

void Publication::pause(const std::string &progress)
{
    if (this->context.cli.environment.isTerminal) {
        this->clearProgress();
        this->context.cli.err << this->title << ": " << progress << std::flush;
    }
    this->context.cli.client.pause(pollPeriod);
}

void Publication::clearProgress()
{
    if (this->context.cli.environment.isTerminal) {
        this->context.cli.err << "\r\x1b[K";
    }
}

/** Returns a text that names the record by which this one has been superseded, or an empty
    string. */
std::string Publication::successorText() const
{
    const NodeAnswer answer =
            this->context.nodes.queryAny("/records/" + percentEncoded(*this->file.field("kind"))
                                         + "/" + percentEncoded(*this->file.field("name")));
    if (!answer.succeeded()) {
        return {};
    }
    const json &record = answer.body.at("records").at(0);
    if (record.value("id", "") == *this->file.field("id")) {
        return {};
    }
    return "; superseded since by " + record.value("publisher", "") + " with id "
            + record.value("id", "");
}

std::string Publication::unansweredNodesText() const
{
    std::string addresses;
    for (const std::string &address : this->lastRollout.unanswered) {
        addresses += (addresses.empty() ? "; no answer from " : ", ") + address;
    }
    return addresses;
}

ExitStatus Publication::finishRefused()
{
    std::string message =
            this->verdict.value("outcome", "refused") + ": " + this->verdict.value("reason", "");
    const std::string winner = this->verdict.value("winner", "");
    if (!winner.empty()) {
        const std::string publisher = this->verdict.value("winnerPublisher", "");
        message += "; " + (publisher.empty() ? "another publisher" : publisher)
                + " was first with id " + winner
                + "; compare with `bulrushrill diff` and publish again";
    }
    return this->finish(ExitStatus::Refused, message);
}

ExitStatus Publication::finish(ExitStatus status, const std::string &message)
{
    this->clearProgress();
    const std::string id = *this->file.field("id");
    const std::string supersedes = *this->file.field("supersedes");
    if (this->context.line.asJson) {
        printJson(this->context,
                  { { "record", this->title },
                    { "id", id },
                    { "supersedes", supersedes },
                    { "supersededPublisher", this->supersededPublisher },
                    { "verdict", this->verdict },
                    { "nodesInForce", this->lastRollout.inForce },
                    { "nodesReached", this->lastRollout.reached },
                    { "nodesSilent", this->lastRollout.unanswered },
                    { "message", message } });
        return status;
    }
    std::ostream &stream =
            status == ExitStatus::Done ? this->context.cli.out : this->context.cli.err;
    stream << this->title << ": " << message << "\n  id " << id << ", supersedes "
           << (supersedes.empty() ? "nothing" : supersedes);
    if (!supersedes.empty() && !this->supersededPublisher.empty()) {
        stream << " of " << this->supersededPublisher;
    }
    stream << "\n";
    return status;
}

//==============================================================================
ExitStatus runPublish(const CommandContext &context)
{
    std::vector<RecordFile> files;
    for (const std::string &path : context.line.files) {
        try {
            files.emplace_back(path);
        } catch (const FieldError &error) {
            throw CommandError(ExitStatus::Refused, "check record", path, error.problem().text());
        }
        const std::optional<FieldProblem> problem = files.back().problem();
        if (problem) {
            throw CommandError(ExitStatus::Refused, "check record", path, problem->text());
        }
    }
    for (std::size_t i = 0; i < files.size(); ++i) {
        const ExitStatus status = Publication(context, files[i]).run();
        if (status == ExitStatus::Done) {
            continue;
        }
        if (i + 1 < files.size()) {
            context.cli.err << "not published: " << files.size() - i - 1 << " further files, from "
                            << files[i + 1].path() << " on\n";
        }
        return status;
    }
    return ExitStatus::Done;
}

} // namespace bulrush
