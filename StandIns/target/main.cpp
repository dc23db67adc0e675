#include "StandIns/target/leaf_standin.h"
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(settings, "", "JSON file that lists the leafs");

using namespace zinnialedge::stand_ins::target;

int main(int argumentCount, char** arguments)
{
    gflags::SetVersionString(ZINNIALEDGE_VERSION);
    gflags::ParseCommandLineFlags(&argumentCount, &arguments, true);
    std::ifstream file { FLAGS_settings };
    std::stringstream text;
    text << file.rdbuf();
    auto settings = parseLeafSettings(text.str());
    if (!settings) {
        for (auto const& problem : settings.error())
            std::cerr << FLAGS_settings << ": " << problem << "\n";
        return 2;
    }
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
