#include "Libraries/zinnialedge/configuration/settings_file.h"
#include "Libraries/zinnialedge/configuration/text_file.h"
#include "StandIns/target/leaf_standin.h"
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(settings, "", "JSON file that lists the leafs");

using namespace zinnialedge::stand_ins::target;

int main(int argumentCount, char** arguments)
{
    gflags::SetVersionString(ZINNIALEDGE_VERSION);
    gflags::ParseCommandLineFlags(&argumentCount, &arguments, true);
    auto settings = zinnialedge::configuration::parseSettingsFile(FLAGS_settings, zinnialedge::configuration::readTextFile(FLAGS_settings), parseLeafSettings);
    if (!settings)
        return 2;
    boost::asio::io_context context;
    std::vector<std::unique_ptr<leaf_standin>> leafs;
    for (auto& each : *settings) {
        auto leaf = leaf_standin::create(context, std::move(each));
        if (!leaf) {
            std::cerr << "event=start_failed reason=\"" << leaf.error().message << "\"\n";
            return 1;
        }
        leafs.push_back(std::move(*leaf));
        std::cerr << "event=listening leaf=" << leafs.back()->settings().name << " listening=" << leafs.back()->settings().place.address << ":" << leafs.back()->port() << "\n";
    }
    std::cerr << "event=ready leafs=" << leafs.size() << std::endl;
    context.run();
    return 0;
}
