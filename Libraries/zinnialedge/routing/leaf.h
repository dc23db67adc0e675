#pragma once

#include "Kernel/clock.h"
#include "Libraries/zinnialedge/limits/concurrency_limit.h"
#include "Libraries/zinnialedge/model/service_declaration.h"
#include "Libraries/zinnialedge/routing/target_lifecycle.h"
#include <cstdint>
#include <string>
#include <vector>

namespace zinnialedge::routing {

/// A leaf's place in the leaf table.
using leaf_handle = std::uint32_t;

/// What this daemon knows of one leaf.
class leaf {
public:
    leaf(std::string service, model::target_declaration const&, std::uint32_t connectionShare);

    void redeclare(model::target_declaration const&, std::uint32_t connectionShare);
    void noteStatus(std::vector<std::uint64_t> epochs, std::vector<std::uint64_t> versions, double load, bool isDraining);
    void noteSent(kernel::time_point now);
    /// `sentAt` is what was given to noteSent.
    void noteEnded(kernel::time_point sentAt, kernel::time_point now, bool isAnswer);
    void noteShed();
    void noteRefusedAsDraining();
    void noteGone() { m_lifecycle.noteRemoved(); }

    std::string const& service() const { return m_service; }
    std::string const& name() const { return m_name; }
    model::endpoint const& place() const { return m_place; }
    target_state state() const { return m_lifecycle.state(); }
    std::uint32_t inFlight() const { return static_cast<std::uint32_t>(m_sentAt.size()); }
    std::uint32_t limit() const { return m_limit.value(); }
    std::uint32_t connectionShare() const { return m_connectionShare; }
    double reportedLoad() const { return m_reportedLoad; }
    std::chrono::microseconds latency() const { return std::chrono::microseconds { static_cast<std::int64_t>(m_latencyMicroseconds) }; }

    bool isTakingNewWork() const { return m_lifecycle.state() == target_state::serving; }
    bool hasRoom() const { return inFlight() < m_limit.value(); }
    bool isServing(std::uint64_t epoch, std::uint64_t version) const;
    std::vector<std::uint64_t> const& versions() const { return m_versions; }
    std::vector<std::uint64_t> const& epochs() const { return m_epochs; }

    /// How long a call sent now would take, as far as this daemon can tell.
    double expectedDelayMicroseconds(kernel::time_point now) const;

private:
    std::string m_service;
    std::string m_name;
    model::endpoint m_place;
    std::uint32_t m_slots;
    std::uint32_t m_connectionShare;
    limits::concurrency_limit m_limit;
    target_lifecycle m_lifecycle;
    std::vector<std::uint64_t> m_epochs;
    std::vector<std::uint64_t> m_versions;
    std::vector<kernel::time_point> m_sentAt;
    double m_latencyMicroseconds { 0 };
    double m_reportedLoad { 0 };
    bool m_isDrainingByItself { false };
    bool m_isDrainingByDeclaration { false };
};

}
