#pragma once

#include "serving/interfaces/statestore.h"
#include "tests/fakes/virtualclock.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace vanillaspar::serving
{

/** The store that all hosts of a fleet in virtual time share. */
class FleetStore
{
public:
    explicit FleetStore(const VirtualClock &clock) : m_clock(clock)
    {
    }

    /** One host's connection to the store. Its open calls end with it. */
    class Client : public StateStore
    {
    public:
        explicit Client(FleetStore &store) : m_store(store)
        {
        }
        void setCut(bool isCut)
        {
            m_isCut = isCut;
        }
        /** The calls that are open now are never answered, as on connections that fell silent. */
        void silenceOpenCalls();
        /** Answers the calls that are due. */
        void tick();

        uint64_t list(Collection collection, const std::string &after, ReadHandler handler) override;
        uint64_t watch(Collection collection, StorePosition since, Millis wait, ReadHandler handler) override;
        void write(Collection collection, const std::string &name, const nlohmann::json &content,
                   StorePosition expected, WriteHandler handler) override;
        void remove(Collection collection, const std::string &name, StorePosition expected,
                    WriteHandler handler) override;
        void probe(Collection collection, const std::string &name, WriteHandler handler) override;
        void cancel(uint64_t call) override;

    private:
        struct Call
        {
            Collection collection = Collection::Configuration;
            bool isList = true;
            StorePosition since;
            Millis dueAt; ///< When it is answered at the latest.
            ReadHandler onRead;
            WriteHandler onWritten;
            StoreResult written = StoreResult::Unknown;
            bool isSilent = false;
        };

        uint64_t add(Call call);
        /** @return whether the store answers an open watch now. */
        bool hasNewsFor(const Call &call) const;

        FleetStore &m_store;
        std::map<uint64_t, Call> m_calls;
        uint64_t m_nextCall = 1;
        bool m_isCut = false;
        int64_t m_era = 0; ///< The newest of any answer.
    };

    /** Changes a record; a null content removes it. */
    void put(Collection collection, const std::string &name, const nlohmann::json &content);
    /** Keeps copies of the last seconds, one every 100 ms; to be called in each step. */
    void keepCopies();
    /**
     * Restores the newest copy that is at least as old as @p age. Its revisions are issued again in a new era.
     *
     * @return how old the copy is.
     */
    Millis restore(Millis age);
    int64_t era() const
    {
        return m_era;
    }
    /** @return the record, or nullptr if there is none. */
    const StoredRecord *find(Collection collection, const std::string &name) const;
    /** @return how many watches of a collection were sent. */
    int64_t watchCount(Collection collection) const
    {
        const auto count = m_watches.find(collection);
        return count == m_watches.end() ? 0 : count->second;
    }
    /** @return how many calls of all kinds were sent. */
    int64_t callCount() const
    {
        return m_calls;
    }
    /** @return the names of a collection's records. */
    std::vector<std::string> names(Collection collection) const;

private:
    /** The content at one time. */
    struct Copy
    {
        int64_t revision = 1;
        std::map<Collection, std::map<std::string, StoredRecord>> records; ///< Removed ones too.
    };

    StoreRead read(Collection collection, bool isList, StorePosition since) const;
    StoreResult change(Collection collection, const std::string &name, const nlohmann::json &content,
                       int64_t expectedRevision);

    const VirtualClock &m_clock;
    Copy m_now;
    int64_t m_era = 0;
    std::map<Millis, Copy> m_copies; ///< By when they were made.
    int64_t m_calls = 0;
    std::map<Collection, int64_t> m_watches;
};

}
