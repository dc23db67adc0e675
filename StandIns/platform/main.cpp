#include "StandIns/platform/platform_standin.h"
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(address, "127.0.0.1", "the IP number to listen on");
DEFINE_uint32(port, 0, "the port to listen on; 0 takes a free one");

int main(int argumentCount, char** arguments)
{
    gflags::SetVersionString(ZINNIALEDGE_VERSION);
    gflags::ParseCommandLineFlags(&argumentCount, &arguments, true);
    boost::asio::io_context context;
    auto const made = zinnialedge::stand_ins::platform::platform_standin::create(context, { FLAGS_address, static_cast<std::uint16_t>(FLAGS_port) });
    if (!made) {
        std::cerr << "event=start_failed reason=\"" << made.error().message << "\"\n";
        return 1;
    }
    std::cerr << "event=ready listening=" << FLAGS_address << ":" << (*made)->port() << std::endl;
    context.run();
    return 0;
}
