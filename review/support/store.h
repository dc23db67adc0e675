#pragma once

#include "review/support/http_message.h"
#include <atomic>
#include <boost/json.hpp>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace review {

/// Stand-in of the platform's store: objects by kind and name, conditional writes, lists in pages and watches.
class store {
public:
    explicit store(std::string const& address);
    ~store();
    store(store const&) = delete;
    store& operator=(store const&) = delete;

    std::string const& address() const { return m_address; }
    /// Opens a further address of the store and returns it, so that a stand-in can treat the machines that use it apart.
    std::string addAddress(std::string const& address);
    /// While an address is silent, nothing that comes there is answered. A connection on which an answer was lost returns nothing further.
    void setSilent(std::string const& address, bool isSilent);
    /// Writes an object as the operator or a leaf does; returns after the write has been accepted.
    void put(std::string const& kind, std::string const& name, boost::json::value spec);
    /// Writes an object whose content is kept and returned byte by byte as it is given, like that of a foreign writer.
    void putText(std::string const& kind, std::string const& name, std::string text);
    void remove(std::string const& kind, std::string const& name);
    std::size_t count(std::string const& kind);
    bool contains(std::string const& kind, std::string const& name);
    /// Called with each request before it is answered; a stand-in that returns false closes the connection instead.
    std::function<bool(http_message const&)> onRequest;

private:
    struct object {
        std::uint64_t revision { 0 };
        std::uint64_t createRevision { 0 };
        boost::json::value spec;
    };
    struct change {
        std::uint64_t revision { 0 };
        std::string kind;
        boost::json::value object;
        bool isRemoved { false };
    };

    void acceptAt(int listener, std::string const& address);
    void serve(connection client, std::string const& address);
    bool isSilent(std::string const& address);
    std::string answer(http_message const& request);
    std::string list(std::string const& kind, std::string const& after);
    std::string watch(std::string const& kind, std::uint64_t since, milliseconds wait);
    std::string writeObject(http_message const& request, std::string const& kind, std::string const& name);
    std::string respond(int status, boost::json::value const& body) const;
    boost::json::value format(std::string const& name, object const& of) const;
    void recordChange(std::string const& kind, std::string const& name, boost::json::value spec, bool isRemoved);

    int m_listener { -1 };
    std::string m_address;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, object>> m_objects;
    std::deque<change> m_history;
    /// Contents that are kept as text, by the string that stands for them in `m_objects`.
    std::map<std::string, std::string> m_texts;
    std::uint64_t m_revision { 100 };
    std::set<std::string> m_silentAddresses;
    std::vector<int> m_furtherListeners;
    std::atomic<bool> m_isStopping { false };
    std::vector<std::thread> m_acceptors;
    std::mutex m_threadsMutex;
    std::vector<std::thread> m_threads;
};

}
