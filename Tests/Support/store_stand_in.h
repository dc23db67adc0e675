#pragma once

#include "Libraries/zinnialedge/wire/http_server.h"
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <deque>
#include <map>
#include <thread>

namespace zinnialedge::tests {

/// A stand-in for the platform's store on loopback, with objects by kind and name, lists, watches and conditional writes.
class store_stand_in {
public:
    enum class trouble {
        none,
        /// The store accepts calls and never answers, neither new calls nor pending watches.
        silent,
        /// The store answers 503 to every call.
        busy,
        /// The store answers each listing with a page that has no objects although there are more, and knows no revision to watch from.
        empty_pages,
        /// The store holds no watch: it answers each at once.
        hasty,
        /// The store knows no revision to watch from, not even that of its latest listing.
        forgetful,
    };

    explicit store_stand_in(model::endpoint const& = { "127.0.0.1", 0 });
    ~store_stand_in();
    store_stand_in(store_stand_in const&) = delete;
    store_stand_in& operator=(store_stand_in const&) = delete;

    model::endpoint place() const { return { m_address, m_port }; }
    /// Creates or replaces an object.
    void put(std::string const& kind, std::string const& name, boost::json::value spec);
    /// Creates or replaces an object whose content is sent as this text, which need not be valid JSON.
    void putText(std::string const& kind, std::string const& name, std::string const& text);
    void erase(std::string const& kind, std::string const& name);
    std::optional<boost::json::value> find(std::string const& kind, std::string const& name);
    void setFaultMode(trouble);
    /// Returns the number of watches of the kind that wait for changes.
    std::size_t pendingWatchCount(std::string const& kind);
    /// Loses the replies to all pending watches of the kind. Their connections stay open and return nothing further; other calls are answered.
    void losePendingWatches(std::string const& kind);
    /// Keeps a copy of all objects and of the revision, from which restoreCopy() continues.
    void keepCopy();
    /// Continues from the copy as in a new era: revisions go back and are assigned again. Calls that wait for an answer get none.
    void restoreCopy();
    /// Sets whether a watch from a revision that the store does not have gets status 410, or waits for the next change.
    void setRefusesUnknownRevisions(bool value) { m_refusesUnknownRevisions = value; }
    std::uint64_t era() const { return m_era; }
    /// Discards all recorded changes. Watches from an older revision then get status 410.
    void discardHistory();
    /// Returns the number of calls received, including unanswered calls.
    std::size_t callCount() const { return m_callCount; }

private:
    struct object_entry {
        std::uint64_t revision { 0 };
        boost::json::value spec;
    };

    struct recorded_change {
        std::uint64_t revision { 0 };
        std::string kind;
        std::string name;
        boost::json::value content;
        bool isRemoved { false };
    };

    struct pending_watch {
        std::string kind;
        std::uint64_t sinceRevision { 0 };
        std::chrono::steady_clock::time_point expiresAt;
        wire::http_responder respond;
    };

    struct stored_copy {
        std::map<std::string, std::map<std::string, object_entry>> objects;
        std::uint64_t revision { 1 };
    };

    void runOnStoreThread(std::function<void()>);
    void handleRequest(wire::http_request const&, wire::http_responder const&);
    /// Returns a responder that adds the era to each answer, inserts the contents that are texts, and closes no connection.
    wire::http_responder addEra(wire::http_responder const&) const;
    void handleRead(std::string const& kind, std::map<std::string, std::string> const& parameters, wire::http_responder const&);
    void handleWrite(wire::http_request const&, std::string const& kind, std::string const& name, wire::http_responder const&);
    void changeObject(std::string const& kind, std::string const& name, std::optional<boost::json::value> spec);
    bool tryAnswerWatch(pending_watch const&, bool hasExpired);
    void answerReadyWatches();
    void scheduleWatchCheck();
    static boost::json::value formatObject(std::string const& name, object_entry const&);

    boost::asio::io_context m_context;
    std::unique_ptr<wire::http_server> m_server;
    std::string m_address;
    std::uint16_t m_port { 0 };
    std::map<std::string, std::map<std::string, object_entry>> m_objects;
    std::deque<recorded_change> m_history;
    /// Contents that are texts, by the strings that stand for them.
    std::map<std::string, std::string> m_texts;
    std::uint64_t m_revision { 1 };
    std::uint64_t m_oldestWatchableRevision { 0 };
    stored_copy m_copy;
    std::atomic<std::uint64_t> m_era { 1 };
    std::atomic<bool> m_refusesUnknownRevisions { true };
    std::vector<pending_watch> m_pendingWatches;
    std::vector<wire::http_responder> m_unansweredResponders;
    trouble m_currentTrouble { trouble::none };
    std::atomic<std::size_t> m_callCount { 0 };
    std::thread m_thread;
};

}
