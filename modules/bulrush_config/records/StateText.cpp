#include "bulrush_config/records/RecordState.h"
#include "bulrush_core/errors/Error.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace bulrush {

namespace {

using nlohmann::json;

constexpr int stateFormat = 1;

constexpr std::array outcomeNames { std::string_view("accepted"), std::string_view("refused"),
                                    std::string_view("ignored"), std::string_view("held") };

json toJson(const Record &record)
{
    return { record.schema,     record.kind,      record.name, record.id,
             record.supersedes, record.publisher, record.body };
}

Record recordFrom(const json &row)
{
    return { row.at(0), row.at(1), row.at(2), row.at(3), row.at(4), row.at(5), row.at(6) };
}

json toJson(const Verdict &verdict)
{
    return { verdict.offset,    static_cast<int>(verdict.outcome),
             verdict.id,        verdict.supersedes,
             verdict.publisher, verdict.reason,
             verdict.winner,    verdict.winnerPublisher };
}

Verdict verdictFrom(const json &row, const ChainKey &key)
{
    const int outcome = row.at(1);
    if (outcome < 0 || outcome >= static_cast<int>(outcomeNames.size())) {
        throw Error("import state", key.name, "unknown outcome");
    }
    return { row.at(0), static_cast<RecordOutcome>(outcome),
             key.kind,  key.name,
             row.at(2), row.at(3),
             row.at(4), row.at(5),
             row.at(6), row.at(7) };
}

} // namespace

std::string_view outcomeName(RecordOutcome outcome)
{
    return outcomeNames.at(static_cast<std::size_t>(outcome));
}

/** Converts a RecordState to and from JSON. */
class StateText
{
public:
    using Chain = RecordState::Chain;

    static json toJson(const ChainKey &key, const Chain &chain)
    {
        json row { { "kind", key.kind },
                   { "name", key.name },
                   { "head", chain.headId },
                   { "skipped", chain.refusedSuccessorId },
                   { "run", chain.runId },
                   { "nextRun", chain.nextRunId },
                   { "doubtful", chain.possibleHeadIds },
                   { "standing", static_cast<int>(chain.standing) },
                   { "history", json::array() } };
        if (chain.inForce) {
            row["record"] = bulrush::toJson(*chain.inForce);
        }
        if (chain.finishedAt) {
            row["finishedAt"] = *chain.finishedAt;
        }
        for (const Verdict &verdict : chain.history) {
            row["history"].push_back(bulrush::toJson(verdict));
        }
        return row;
    }

    static Chain chainFrom(const json &row, const ChainKey &key)
    {
        Chain chain;
        chain.headId = row.at("head");
        chain.refusedSuccessorId = row.at("skipped");
        // Texts of older software hold no run id: the record in force counts as the first of its
        // run.
        chain.runId = row.value("run", chain.headId);
        chain.nextRunId = row.value("nextRun", "");
        chain.possibleHeadIds = row.at("doubtful").get<std::vector<std::string>>();
        const int standing = row.at("standing");
        if (standing < 0 || standing > static_cast<int>(RecordState::Standing::Held)) {
            throw Error("import state", key.name, "unknown standing");
        }
        chain.standing = static_cast<RecordState::Standing>(standing);
        if (row.contains("record")) {
            chain.inForce = recordFrom(row.at("record"));
        }
        if (row.contains("finishedAt")) {
            chain.finishedAt = row.at("finishedAt").get<LogOffset>();
        }
        for (const json &verdict : row.at("history")) {
            chain.history.push_back(verdictFrom(verdict, key));
        }
        return chain;
    }

    static RecordState stateFrom(const json &document)
    {
        if (document.at("format") != stateFormat) {
            throw Error("import state", "", "unknown format");
        }
        RecordState state;
        state.next = document.at("nextOffset");
        for (const json &row : document.at("chains")) {
            const ChainKey key { row.at("kind"), row.at("name") };
            Chain chain = chainFrom(row, key);
            if (chain.finishedAt) {
                state.finished.emplace_back(*chain.finishedAt, key);
            }
            state.chains.emplace(key, std::move(chain));
        }
        std::sort(state.finished.begin(), state.finished.end());
        return state;
    }

    static json toJson(const RecordState &state)
    {
        json rows = json::array();
        for (const auto &[key, chain] : state.chains) {
            rows.push_back(toJson(key, chain));
        }
        return { { "format", stateFormat }, { "nextOffset", state.next }, { "chains", rows } };
    }
};

std::string RecordState::exportText() const
{
    return StateText::toJson(*this).dump(-1, ' ', true);
}

RecordState RecordState::importText(std::string_view text)
{
    try {
        return StateText::stateFrom(json::parse(text));
    } catch (const json::exception &error) {
        throw Error("import state", "", error.what());
    }
}

} // namespace bulrush
