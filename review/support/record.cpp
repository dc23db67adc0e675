#include "review/support/record.h"

#include <cstdio>
#include <cstdlib>
#include <iostream>

namespace review {

record::record(std::string const& file)
    : m_file(file)
{
}

void record::write(std::string const& line)
{
    std::string stamp(16, '\0');
    stamp.resize(static_cast<std::size_t>(std::snprintf(stamp.data(), stamp.size(), "%8.3f ", seconds(clock::now()))));
    std::lock_guard const lock(m_mutex);
    m_file << stamp << line << '\n'
           << std::flush;
}

bool isTroubleWanted()
{
    auto const* const value = std::getenv("TROUBLE");
    return !value || std::string { value } != "0";
}

}
