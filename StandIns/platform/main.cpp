#include "StandIns/platform/platform_standin.h"
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_uint32(port, 0, "port to listen on; 0 selects a free port");

int main(int argumentCount, char** arguments)
{
    gflags::SetVersionString(ZINNIALEDGE_VERSION);
    gflags::ParseCommandLineFlags(&argumentCount, &arguments, true);
    boost::asio::io_context context;
    auto const standIn = zinnialedge::stand_ins::platform::platform_standin::create(context, { FLAGS_address, static_cast<std::uint16_t>(FLAGS_port) });
    if (!standIn) {
        std::cerr << "event=start_failed reason=\"" << standIn.error().message << "\"\n";
        return 1;
    }
    std::cerr << "event=ready listening=" << FLAGS_address << ":" << (*standIn)->port() << std::endl;
    context.run();
    return 0;
}
