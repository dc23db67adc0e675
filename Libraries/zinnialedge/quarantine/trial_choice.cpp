#include "Libraries/zinnialedge/quarantine/trial_choice.h"

#include <xxhash.h>

namespace zinnialedge::quarantine {

std::optional<std::size_t> chooseTrialDaemon(request_digest const& request, std::optional<std::string> const& self, std::vector<std::string> const& others)
{
    // Rendezvous hashing: all daemons that know the same group choose the same daemon, and a daemon that leaves moves only its own requests.
    auto const seed = XXH3_64bits(request.bytes.data(), request.bytes.size());
    auto const weightOf = [&](std::string const& name) { return XXH3_64bits_withSeed(name.data(), name.size(), seed); };
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < others.size(); ++index) {
        if (!best || weightOf(others[index]) > weightOf(others[*best]))
            best = index;
    }
    if (best && self && weightOf(*self) > weightOf(others[*best]))
        return std::nullopt;
    return best;
}

}
