#include "Utilities/zlctl/check.h"

#include "platform/configuration_check.h"

namespace zinnialedge::utilities::control {

bool checkConfigurationText(std::string const& text, std::ostream& out)
{
    auto const findings = platform::checkConfiguration(text);
    for (auto const& each : findings.faults)
        out << "unusable: " << each << "\n";
    for (auto const& each : findings.heldNumbers)
        out << "held: '" << each.field << "' is " << each.declared << ", which counts as " << each.bound << "\n";
    out << (findings.faults.empty() ? "daemons would use this version" : "daemons would keep the former version") << "\n";
    return findings.faults.empty();
}

}
