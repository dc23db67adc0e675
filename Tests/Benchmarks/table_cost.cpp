#include "Tests/Benchmarks/table_cost.h"

#include "Libraries/zinnialedge/configuration/object_cache.h"
#include "Libraries/zinnialedge/configuration/service_codec.h"
#include "Libraries/zinnialedge/membership/directory.h"
#include "Libraries/zinnialedge/membership/member_table.h"
#include "Libraries/zinnialedge/queries/query_engine.h"
#include "Libraries/zinnialedge/routing/leaf_table.h"
#include "Libraries/zinnialedge/wire/leaf_codec.h"
#include "Tests/Benchmarks/line_fit.h"
#include <array>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <malloc.h>

namespace zinnialedge::benchmarks {

namespace json = boost::json;

static constexpr std::uint32_t shardsPerService = 63;
static constexpr std::uint32_t leafsPerShard = 2;
static constexpr unsigned dataCentreCount = 11;
static constexpr unsigned regionCount = 5;
static constexpr std::array<std::size_t, 4> leafCounts { 4000, 8000, 16'000, 32'000 };
static constexpr std::array<std::size_t, 4> memberCounts { 500, 1000, 2000, 4300 };
static constexpr std::array<std::size_t, 4> serviceCounts { 64, 128, 256, 512 };

/// Returns the number of bytes allocated on the heap.
static double readHeapBytes()
{
    auto const information = ::mallinfo2();
    return static_cast<double>(information.uordblks + information.hblkhd);
}

/// Returns the mean duration of one call of `work` in microseconds. The calls are repeated for 200 ms.
static double measureMicroseconds(std::function<void()> const& work)
{
    using clock = std::chrono::steady_clock;
    static constexpr std::chrono::milliseconds measurementTime { 200 };
    auto const start = clock::now();
    std::size_t runs = 0;
    while (clock::now() - start < measurementTime) {
        work();
        ++runs;
    }
    return std::chrono::duration<double, std::micro> { clock::now() - start }.count() / static_cast<double>(runs);
}

static model::service_declaration makeService(std::size_t index)
{
    model::service_declaration service;
    service.name = "service-" + std::to_string(index);
    service.partner = index % 2 == 0 ? "suva" : "amman";
    service.shardCount = shardsPerService;
    service.requests = { { "menu", true, true, true }, { "order-check", false, true, false } };
    for (std::uint32_t leaf = 0; leaf < shardsPerService * leafsPerShard; ++leaf) {
        model::target_declaration target;
        target.name = service.name + "-leaf-" + std::to_string(leaf);
        target.place = { "10.20.30." + std::to_string(leaf), 8080 };
        target.shard = leaf / leafsPerShard;
        service.targets.push_back(std::move(target));
    }
    return service;
}

static membership::daemon_record makeDaemon(std::size_t index)
{
    auto const dataCentreIndex = index % dataCentreCount;
    auto const address = "10." + std::to_string(index / 250) + ".1." + std::to_string(index % 250);
    return { "daemon-" + std::to_string(index), index % 2 == 0 ? "suva" : "amman", "region-" + std::to_string(dataCentreIndex % regionCount), "centre-" + std::to_string(dataCentreIndex), 1'764'801'234'567'890, { address, 8080 }, { address, 8082 }, false };
}

static void measureLeafs()
{
    std::vector<cost_point> memory;
    std::vector<cost_point> choiceTimes;
    std::vector<cost_point> pinChoiceTimes;
    for (auto const leafs : leafCounts) {
        auto const before = readHeapBytes();
        routing::leaf_table table;
        for (std::size_t service = 0; service * shardsPerService * leafsPerShard < leafs; ++service)
            table.applyDeclaration(std::make_shared<model::service_declaration const>(makeService(service)));
        for (routing::leaf_handle handle = 0; handle < table.size(); ++handle)
            table.at(handle).recordStatus({ 1 }, { 1, 2 }, 0, false, kernel::time_point {});
        auto const size = static_cast<double>(table.size());
        memory.push_back({ size, readHeapBytes() - before });
        auto const random = kernel::makeSeededRandom(1);
        auto const now = kernel::makeSteadyClock()();
        model::snapshot const pin { 1, 2 };
        choiceTimes.push_back({ size, measureMicroseconds([&] { (void)table.chooseLeaf("service-7", pin, 5, {}, now, random); }) });
        pinChoiceTimes.push_back({ size, measureMicroseconds([&] {
                                      table.invalidatePin("service-7");
                                      (void)table.choosePin("service-7");
                                  }) });
    }
    printFit("leaf table, memory", "bytes", "leaf", memory);
    printFit("leaf table, choice of a leaf", "us", "leaf", choiceTimes);
    printFit("leaf table, choice of a pin after a leaf changed", "us", "leaf", pinChoiceTimes);
}

static void measureLeafGrowth()
{
    std::vector<cost_point> memory;
    routing::leaf_table table;
    auto const before = readHeapBytes();
    std::size_t replacementCount = 0;
    for (auto const targetCount : { 1000, 2000, 4000 }) {
        for (; replacementCount < static_cast<std::size_t>(targetCount); ++replacementCount) {
            auto service = makeService(0);
            service.targets.front().name = "replacement-" + std::to_string(replacementCount);
            table.applyDeclaration(std::make_shared<model::service_declaration const>(std::move(service)));
        }
        memory.push_back({ static_cast<double>(replacementCount), readHeapBytes() - before });
    }
    printFit("leaf table, memory retained after leafs were replaced", "bytes", "replacement", memory);
}

static void measureDirectory()
{
    std::vector<cost_point> memory;
    std::vector<cost_point> lookupTimes;
    for (auto const members : memberCounts) {
        auto const before = readHeapBytes();
        membership::directory directory;
        for (std::size_t index = 0; index < members; ++index)
            directory.insertOrUpdate(makeDaemon(index), true);
        auto const size = static_cast<double>(members);
        memory.push_back({ size, readHeapBytes() - before });
        lookupTimes.push_back({ size, measureMicroseconds([&] { (void)directory.findUsableDaemons("service-7", "centre-3"); }) });
    }
    printFit("directory, memory", "bytes", "daemon", memory);
    printFit("directory, one lookup", "us", "daemon", lookupTimes);
}

static void measureMembers()
{
    std::vector<cost_point> memory;
    std::vector<cost_point> updateTimes;
    for (auto const members : memberCounts) {
        auto const before = readHeapBytes();
        membership::member_table table { kernel::makeSeededRandom(1) };
        auto const now = kernel::makeSteadyClock()();
        for (std::size_t index = 0; index < members; ++index)
            table.apply({ makeDaemon(index), 1, membership::member_status::serving }, "centre-3", now);
        auto const size = static_cast<double>(members);
        memory.push_back({ size, readHeapBytes() - before });
        std::uint32_t version = 1;
        updateTimes.push_back({ size, measureMicroseconds([&] { table.apply({ makeDaemon(7), ++version, membership::member_status::serving }, "centre-3", now); }) });
    }
    printFit("member table, memory", "bytes", "daemon", memory);
    printFit("member table, one update", "us", "daemon", updateTimes);
}

static void measureObjects()
{
    std::vector<cost_point> memory;
    for (auto const services : serviceCounts) {
        auto const before = readHeapBytes();
        configuration::object_cache cache;
        for (std::size_t service = 0; service < services; ++service)
            cache.offer({ "services/service-" + std::to_string(service), 1, json::serialize(configuration::toJson(makeService(service))) });
        memory.push_back({ static_cast<double>(services), readHeapBytes() - before });
    }
    printFit("object cache, memory (services of 126 leafs)", "bytes", "service", memory);
    auto const text = json::serialize(configuration::toJson(makeService(7)));
    std::printf("service object of 126 leafs: %zu bytes, parsed in %.0f us\n", text.size(), measureMicroseconds([&] { (void)configuration::parseService(text); }));
}

static void measureCodec()
{
    wire::leaf_call const call { "suva-1-1764801234567890-123456", "menu", {}, {}, {}, 12, { 1, 7 }, std::chrono::microseconds { 80'000 }, true };
    std::vector<model::row> const rows { { "key-12-1", "s12e1v7" }, { "key-12-2", "s12e1v7" } };
    wire::http_response const reply { 200, wire::formatLeafAnswer(call, { { 1 }, { 6, 7 }, 0.5, false }, rows), {} };
    std::printf("leaf call: format %.2f us; leaf reply: parse %.2f us\n", measureMicroseconds([&] { (void)wire::formatLeafCall(call); }), measureMicroseconds([&] { (void)wire::parseLeafReply(reply, call.call); }));
}

void measureTableCost()
{
    measureLeafs();
    measureLeafGrowth();
    measureDirectory();
    measureMembers();
    measureObjects();
    measureCodec();
}

}
