#include "Libraries/zinnialedge/queries/query_lifecycle.h"

#include "Kernel/verify.h"
#include <array>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace zinnialedge::queries {

namespace msm = boost::msm;
using msm::front::none;

namespace {

    struct repin_requested { };
    struct settle_requested { };

    struct scattering : msm::front::state<> { };
    struct scattering_again : msm::front::state<> { };
    struct settled : msm::front::state<> { };

    // Boost.MSM numbers the states by their first mention in the transition table, which must match the order of query_state.
    struct query_state_machine : msm::front::state_machine_def<query_state_machine> {
        using initial_state = scattering;
        using no_exception_thrown = int;
        using no_message_queue = int;

        struct transition_table
            : boost::mpl::vector<
                  msm::front::Row<scattering, repin_requested, scattering_again, none, none>,
                  msm::front::Row<scattering_again, settle_requested, settled, none, none>,
                  msm::front::Row<scattering, settle_requested, settled, none, none>> { };

        template <typename Machine, typename Event>
        void no_transition(Event const&, Machine&, int)
        {
        }
    };

}

class query_lifecycle::implementation : public msm::back::state_machine<query_state_machine> { };

query_lifecycle::query_lifecycle()
    : m_implementation(std::make_unique<implementation>())
{
    m_implementation->start();
}

query_lifecycle::query_lifecycle(query_lifecycle&&) noexcept = default;
query_lifecycle& query_lifecycle::operator=(query_lifecycle&&) noexcept = default;
query_lifecycle::~query_lifecycle() = default;

bool query_lifecycle::tryRepin()
{
    return m_implementation->process_event(repin_requested {}) == msm::back::HANDLED_TRUE;
}

void query_lifecycle::settle()
{
    auto const result = m_implementation->process_event(settle_requested {});
    VERIFY(result == msm::back::HANDLED_TRUE);
}

query_state query_lifecycle::state() const
{
    constexpr std::array states { query_state::scattering, query_state::scattering_again, query_state::settled };
    auto const index = static_cast<std::size_t>(m_implementation->current_state()[0]);
    VERIFY(index < states.size());
    return states[index];
}

std::string_view toString(query_state state)
{
    switch (state) {
    case query_state::scattering:
        return "scattering";
    case query_state::scattering_again:
        return "scattering_again";
    case query_state::settled:
        return "settled";
    }
    VERIFY(false);
}

}
