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
static constexpr unsigned dataCentres = 11;
static constexpr unsigned regions = 5;
static constexpr std::array<std::size_t, 4> leafSizes { 4000, 8000, 16'000, 32'000 };
static constexpr std::array<std::size_t, 4> memberSizes { 500, 1000, 2000, 4300 };
static constexpr std::array<std::size_t, 4> objectSizes { 64, 128, 256, 512 };

/// Returns the number of bytes allocated on the heap.
static double usedBytes()
{
    auto const information = ::mallinfo2();
    return static_cast<double>(information.uordblks + information.hblkhd);
}

/// Returns the mean duration of one call of `work` in microseconds. The calls are repeated for 200 ms.
static double timeOf(std::function<void()> const& work)
{
    using clock = std::chrono::steady_clock;
    static constexpr std::chrono::milliseconds span { 200 };
    auto const start = clock::now();
    std::size_t runs = 0;
    while (clock::now() - start < span) {
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
    auto const centre = index % dataCentres;
    auto const address = "10." + std::to_string(index / 250) + ".1." + std::to_string(index % 250);
    return { "daemon-" + std::to_string(index), index % 2 == 0 ? "suva" : "amman", "region-" + std::to_string(centre % regions), "centre-" + std::to_string(centre), 1'764'801'234'567'890, { address, 8080 }, { address, 8082 }, false };
}

static void measureLeafs()
{
    std::vector<point> memory;
    std::vector<point> choice;
    std::vector<point> pinTime;
    for (auto const leafs : leafSizes) {
        auto const before = usedBytes();
        routing::leaf_table table;
        for (std::size_t service = 0; service * shardsPerService * leafsPerShard < leafs; ++service)
            table.declare(std::make_shared<model::service_declaration const>(makeService(service)));
        for (routing::leaf_handle handle = 0; handle < table.size(); ++handle)
            table.at(handle).noteStatus({ 1 }, { 1, 2 }, 0, false, kernel::time_point {});
        auto const size = static_cast<double>(table.size());
        memory.push_back({ size, usedBytes() - before });
        auto const random = kernel::makeSeededRandom(1);
        auto const now = kernel::makeSteadyClock()();
        model::snapshot const pin { 1, 2 };
        choice.push_back({ size, timeOf([&] { (void)table.choose("service-7", pin, 5, {}, now, random); }) });
        pinTime.push_back({ size, timeOf([&] {
                               table.forgetPin("service-7");
                               (void)table.choosePin("service-7");
                           }) });
    }
    printSlope("leaf table, memory", "bytes", "leaf", memory);
    printSlope("leaf table, choice of a leaf", "us", "leaf", choice);
    printSlope("leaf table, choice of a pin after a leaf changed", "us", "leaf", pinTime);
}

static void measureLeafGrowth()
{
    std::vector<point> memory;
    routing::leaf_table table;
    auto const before = usedBytes();
    std::size_t replaced = 0;
    for (auto const wanted : { 1000, 2000, 4000 }) {
        for (; replaced < static_cast<std::size_t>(wanted); ++replaced) {
            auto service = makeService(0);
            service.targets.front().name = "replacement-" + std::to_string(replaced);
            table.declare(std::make_shared<model::service_declaration const>(std::move(service)));
        }
        memory.push_back({ static_cast<double>(replaced), usedBytes() - before });
    }
    printSlope("leaf table, memory retained after leafs were replaced", "bytes", "replacement", memory);
}

static void measureDirectory()
{
    std::vector<point> memory;
    std::vector<point> lookup;
    for (auto const members : memberSizes) {
        auto const before = usedBytes();
        membership::directory directory;
        for (std::size_t index = 0; index < members; ++index)
            directory.note(makeDaemon(index), true);
        auto const size = static_cast<double>(members);
        memory.push_back({ size, usedBytes() - before });
        lookup.push_back({ size, timeOf([&] { (void)directory.daemonsFor("service-7", "centre-3"); }) });
    }
    printSlope("directory, memory", "bytes", "daemon", memory);
    printSlope("directory, one lookup", "us", "daemon", lookup);
}

static void measureMembers()
{
    std::vector<point> memory;
    std::vector<point> updating;
    for (auto const members : memberSizes) {
        auto const before = usedBytes();
        membership::member_table table { kernel::makeSeededRandom(1) };
        auto const now = kernel::makeSteadyClock()();
        for (std::size_t index = 0; index < members; ++index)
            table.apply({ makeDaemon(index), 1, membership::member_status::serving }, "centre-3", now);
        auto const size = static_cast<double>(members);
        memory.push_back({ size, usedBytes() - before });
        std::uint32_t version = 1;
        updating.push_back({ size, timeOf([&] { table.apply({ makeDaemon(7), ++version, membership::member_status::serving }, "centre-3", now); }) });
    }
    printSlope("member table, memory", "bytes", "daemon", memory);
    printSlope("member table, one update", "us", "daemon", updating);
}

static void measureObjects()
{
    std::vector<point> memory;
    for (auto const services : objectSizes) {
        auto const before = usedBytes();
        configuration::object_cache cache;
        for (std::size_t service = 0; service < services; ++service)
            cache.offer({ "services/service-" + std::to_string(service), 1, json::serialize(configuration::toJson(makeService(service))) });
        memory.push_back({ static_cast<double>(services), usedBytes() - before });
    }
    printSlope("object cache, memory (services of 126 leafs)", "bytes", "service", memory);
    auto const text = json::serialize(configuration::toJson(makeService(7)));
    std::printf("service object of 126 leafs: %zu bytes, parsed in %.0f us\n", text.size(), timeOf([&] { (void)configuration::parseService(text); }));
}

static void measureCodec()
{
    wire::leaf_call const call { "suva-1-1764801234567890-123456", "menu", {}, {}, {}, 12, { 1, 7 }, std::chrono::microseconds { 80'000 }, true };
    std::vector<model::row> const rows { { "key-12-1", "s12e1v7" }, { "key-12-2", "s12e1v7" } };
    wire::http_response const reply { 200, wire::formatLeafAnswer(call, { { 1 }, { 6, 7 }, 0.5, false }, rows), {} };
    std::printf("leaf call: format %.2f us; leaf reply: parse %.2f us\n", timeOf([&] { (void)wire::formatLeafCall(call); }), timeOf([&] { (void)wire::parseLeafReply(reply, call.call); }));
}

void measureTables()
{
    measureLeafs();
    measureLeafGrowth();
    measureDirectory();
    measureMembers();
    measureObjects();
    measureCodec();
}

}
