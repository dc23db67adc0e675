#include "Libraries/zinnialedge/routing/target_lifecycle.h"

#include "Kernel/verify.h"
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace zinnialedge::routing {

namespace msm = boost::msm;
using msm::front::none;

namespace {

    struct status_received { };
    struct drain_started { };
    struct drain_ended { };
    struct removed { };

    struct joining : msm::front::state<> { };
    struct serving : msm::front::state<> { };
    struct draining : msm::front::state<> { };
    struct gone : msm::front::state<> { };

    // Boost.MSM numbers the states by their first mention in the transition table, which must match the order of target_state.
    struct target_state_machine : msm::front::state_machine_def<target_state_machine> {
        using initial_state = joining;
        using no_exception_thrown = int;
        using no_message_queue = int;

        struct transition_table
            : boost::mpl::vector<
                  msm::front::Row<joining, status_received, serving, none, none>,
                  msm::front::Row<joining, drain_started, draining, none, none>,
                  msm::front::Row<serving, drain_started, draining, none, none>,
                  msm::front::Row<draining, drain_ended, joining, none, none>,
                  msm::front::Row<joining, removed, gone, none, none>,
                  msm::front::Row<serving, removed, gone, none, none>,
                  msm::front::Row<draining, removed, gone, none, none>,
                  msm::front::Row<gone, drain_ended, joining, none, none>> { };

        template <typename Machine, typename Event>
        void no_transition(Event const&, Machine&, int)
        {
        }
    };

}

class target_lifecycle::implementation : public msm::back::state_machine<target_state_machine> { };

target_lifecycle::target_lifecycle()
    : m_implementation(std::make_unique<implementation>())
{
    m_implementation->start();
}

target_lifecycle::target_lifecycle(target_lifecycle&&) noexcept = default;
target_lifecycle& target_lifecycle::operator=(target_lifecycle&&) noexcept = default;
target_lifecycle::~target_lifecycle() = default;

void target_lifecycle::handleStatus() { m_implementation->process_event(status_received {}); }
void target_lifecycle::handleDrain() { m_implementation->process_event(drain_started {}); }
void target_lifecycle::handleUndrain() { m_implementation->process_event(drain_ended {}); }
void target_lifecycle::handleRemoval() { m_implementation->process_event(removed {}); }

target_state target_lifecycle::state() const
{
    constexpr std::array states { target_state::joining, target_state::serving, target_state::draining, target_state::gone };
    auto const index = static_cast<std::size_t>(m_implementation->current_state()[0]);
    VERIFY(index < states.size());
    return states[index];
}

std::string_view toString(target_state state)
{
    switch (state) {
    case target_state::joining:
        return "joining";
    case target_state::serving:
        return "serving";
    case target_state::draining:
        return "draining";
    case target_state::gone:
        return "gone";
    }
    VERIFY(false);
}

}
