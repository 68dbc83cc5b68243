#pragma once

#include "bulrush_config/records/Record.h"
#include "bulrush_config/records/Verdict.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace bulrush {

/** Identifies a chain: the kind and name whose records supersede one another. */
struct ChainKey
{
    std::string kind;
    std::string name;

    bool operator<(const ChainKey &other) const
    {
        return std::tie(this->kind, this->name) < std::tie(other.kind, other.name);
    }
};

/**
    The records in force, derived from the configuration stream by one pure function in log order.

    A record names the record that it supersedes; the first valid successor in log order is
    accepted, on every node alike. A record whose version only newer software knows is not applied:
    the record in force before it stays, and later records of that name are judged only where all
    software versions reach the same verdict; otherwise they are held.

    @see docs/design/config.md
*/
class RecordState
{
public:
    /** Number of offsets for which a finished job's name is kept, to detect late duplicates. */
    static constexpr LogOffset finishedRetention = 4'096;

    /** Maximum number of chains. */
    static constexpr std::size_t maxChains = 200'000;

    /** Number of verdicts kept for each chain. */
    static constexpr std::size_t historyLength = 8;

    RecordState() = default;

    /** @param ceiling the schema versions that count as known */
    explicit RecordState(SchemaCeiling ceiling)
        : ceiling(std::move(ceiling))
    {
    }

    /** Sets the schema versions that count as known, which an imported text does not hold. */
    void setCeiling(SchemaCeiling versions) { this->ceiling = std::move(versions); }

    /**
        Applies the next log entry. An entry before nextOffset() is ignored.

        @throws Error for an entry beyond nextOffset(), as the entries in between would be lost
    */
    Verdict apply(LogOffset offset, std::string_view text);

    /** Returns the offset of the next entry to apply. It never decreases. */
    LogOffset nextOffset() const { return this->next; }

    /** Returns the record in force, or nullptr. Valid until the next change. */
    const Record *find(RecordKind kind, std::string_view name) const;

    /** Returns all records of a kind in force, sorted by name. Valid until the next change. */
    std::vector<const Record *> inForce(RecordKind kind) const;

    /** Returns the id that the next record of a name must supersede, or an empty string. */
    std::string headId(std::string_view kind, std::string_view name) const;

    /**
        Returns the id of the record that started the current run of a job or watcher; after its
        end, that of the last run as long as its name is kept; otherwise an empty string. A run
        lasts from the first record after the name's last end to the next end, even if the record
        is superseded in between.
    */
    std::string runId(std::string_view name) const;

    /** Returns the most recent verdicts on a name, oldest first. */
    std::vector<Verdict> history(std::string_view kind, std::string_view name) const;

    /** Returns the names that need newer software, whose state may be out of date on this node. */
    std::vector<ChainKey> unsettled() const;

    /** Returns the state as JSON text; equal states give equal texts. */
    std::string exportText() const;

    /** Returns the state stored in a text made by exportText(). @throws Error */
    static RecordState importText(std::string_view text);

private:
    enum class Standing : std::uint8_t {
        Settled,

        /** The last successor needs newer software; only a record that supersedes it is judged. */
        Waiting,

        /** Records were held; only newer software can determine the record in force. */
        Held,
    };

    struct Chain
    {
        std::optional<Record> inForce;

        /** Id of the last accepted record; kept after a job has finished. */
        std::string headId;

        /** Id of the last refused successor, which a record may supersede instead of the head. */
        std::string refusedSuccessorId;

        /** Id of the record that started the current run, or the last run if it has ended. */
        std::string runId;

        /** Id of the first refused record that the next one may supersede while nothing is in
            force: newer software may have accepted it and so started the run with it. */
        std::string nextRunId;

        /** While Waiting: ids that are, or were, the head on some nodes. */
        std::vector<std::string> possibleHeadIds;

        Standing standing = Standing::Settled;
        std::optional<LogOffset> finishedAt;
        std::vector<Verdict> history;
    };

    friend class StateText;

    Verdict judge(LogOffset offset, const CheckedRecord &checked);
    Verdict judgeSuccessor(Chain &chain, const CheckedRecord &checked, const Verdict &verdict);
    Verdict judgeWaiting(Chain &chain, const CheckedRecord &checked, const Verdict &verdict);
    Verdict judgeJobDone(const Record &done, const Verdict &verdict);
    Verdict refuseWrongPredecessor(const Chain *chain, Verdict verdict) const;
    std::optional<std::string> conflict(const Record &record) const;
    bool isWorkUnsettled(std::string_view name, std::string_view exceptKind) const;
    bool isInForce(std::string_view kind, std::string_view name) const;
    static void updateRunId(Chain &chain, const Record &record, bool accepted);
    Chain *findChain(std::string_view kind, std::string_view name);
    const Chain *findChain(std::string_view kind, std::string_view name) const;
    void finish(const ChainKey &key, LogOffset offset);
    void removeExpiredChains(LogOffset offset);

    SchemaCeiling ceiling;
    LogOffset next = 0;
    std::map<ChainKey, Chain> chains;
    std::deque<std::pair<LogOffset, ChainKey>> finished;
};

} // namespace bulrush
