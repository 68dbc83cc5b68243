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

/** The kind and name under which records succeed one another. */
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
    What is in force, folded from the configuration stream by one pure rule in log order.

    A record names the record that it supersedes; the first valid successor in log order wins, on
    every node alike. A record whose version only newer software knows is not applied: what was
    in force before stays, and later records of that name are judged only where all software
    would come to the same verdict; otherwise they are held.

    @see docs/design/config.md
*/
class RecordState
{
public:
    /** How many offsets a finished job's name is remembered, against late repetitions. */
    static constexpr LogOffset finishedSpan = 4'096;

    /** The greatest number of names. */
    static constexpr std::size_t maxChains = 200'000;

    /** How many verdicts are kept for each name. */
    static constexpr std::size_t historyLength = 8;

    RecordState() = default;

    /** @param ceiling the schema versions that count as known */
    explicit RecordState(SchemaCeiling ceiling)
        : ceiling(std::move(ceiling))
    {
    }

    /** Sets the schema versions that count as known, as after an import. */
    void setCeiling(SchemaCeiling versions) { this->ceiling = std::move(versions); }

    /**
        Folds the next log entry. An entry before nextOffset() is ignored.

        @throws Error at an entry beyond nextOffset(), as skipped entries would be lost
    */
    Verdict apply(LogOffset offset, std::string_view text);

    /** Returns the offset of the entry that is applied next. It never goes back. */
    LogOffset nextOffset() const { return this->next; }

    /** Returns the record in force, or null. Valid until the next change. */
    const Record *find(RecordKind kind, std::string_view name) const;

    /** Returns all records of a kind in force, sorted by name. Valid until the next change. */
    std::vector<const Record *> inForce(RecordKind kind) const;

    /** Returns the id that the next record of a name has to supersede; empty for none. */
    std::string headId(std::string_view kind, std::string_view name) const;

    /**
        Returns the id of the record that began the present run of a job or watcher, else that of
        its last run while its name is remembered; empty for none. A run lasts from the first
        record after the name's last end to the next end, whatever supersedes the record meanwhile.
    */
    std::string runId(std::string_view name) const;

    /** Returns the last verdicts on a name, oldest first. */
    std::vector<Verdict> history(std::string_view kind, std::string_view name) const;

    /** Returns the names that need newer software and so may be out of date here. */
    std::vector<ChainKey> unsettled() const;

    /** Returns the state as JSON text; equal states give equal texts. */
    std::string exportText() const;

    /** Returns the state of a text made by exportText(). @throws Error */
    static RecordState importText(std::string_view text);

private:
    enum class Standing : std::uint8_t {
        Settled,

        /** The last successor needs newer software; only a record that names it is judged. */
        Waiting,

        /** Records were held; only newer software can tell what is in force. */
        Held,
    };

    struct Chain
    {
        std::optional<Record> inForce;

        /** Id of the last accepted record, also after a job has finished. */
        std::string headId;

        /** Id of the last refused successor, which may be named in the head's place. */
        std::string skippedId;

        /** Id of the record that began what is in force, or what was until its end. */
        std::string runId;

        /** Id of the first refused record that the next one may succeed to while nothing is in
            force: newer software may have accepted it, and so begun the run with it. */
        std::string nextRunId;

        /** While waiting: ids that are the head on some nodes, or were. */
        std::vector<std::string> doubtfulIds;

        Standing standing = Standing::Settled;
        std::optional<LogOffset> finishedAt;
        std::vector<Verdict> history;
    };

    friend class StateText;

    Verdict judge(LogOffset offset, const CheckedRecord &checked);
    Verdict judgeSuccessor(Chain &chain, const CheckedRecord &checked, const Verdict &verdict);
    Verdict judgeWaiting(Chain &chain, const CheckedRecord &checked, const Verdict &verdict);
    Verdict judgeJobDone(const Record &done, const Verdict &verdict);
    Verdict lost(const Chain *chain, Verdict verdict) const;
    std::optional<std::string> conflict(const Record &record) const;
    bool isWorkUnsettled(std::string_view name, std::string_view exceptKind) const;
    bool hasWork(std::string_view kind, std::string_view name) const;
    static void noteSuccessor(Chain &chain, const Record &record, bool accepted);
    Chain *findChain(std::string_view kind, std::string_view name);
    const Chain *findChain(std::string_view kind, std::string_view name) const;
    void finish(const ChainKey &key, LogOffset offset);
    void forgetFinished(LogOffset offset);

    SchemaCeiling ceiling;
    LogOffset next = 0;
    std::map<ChainKey, Chain> chains;
    std::deque<std::pair<LogOffset, ChainKey>> finished;
};

} // namespace bulrush
