#include "Libraries/zinnialedge/language/formatter.h"

#include <sstream>

namespace zinnialedge::language {

static void writeService(std::ostream& out, model::service_declaration const& service)
{
    out << "service " << service.name << " {\n"
        << "    shards " << service.shardCount << "\n"
        << "    epoch " << service.epoch << "\n"
        << "    coverage " << model::toString(service.coverage) << "\n"
        << "    deadline " << service.deadline.count() << "ms\n"
        << "    soft-deadline " << service.softDeadline.count() << "ms after " << service.minimumCoveragePercent << "%\n"
        << "    hedge " << service.maximumHedgePercent << "%\n"
        << "    group " << service.daemonGroupSize << "\n"
        << "}\n";
}

static void writeRequest(std::ostream& out, std::string const& service, model::request_kind_declaration const& request)
{
    out << "mark request " << request.name << " of " << service
        << (request.isUrgent ? " urgent" : " ordinary")
        << (request.isRepeatable ? " repeatable" : " not-repeatable")
        << (request.isAllShardsQuery ? " all-shards" : " keyed") << "\n";
}

static void writeTarget(std::ostream& out, std::string const& service, model::target_declaration const& target)
{
    out << "target " << target.name << " of " << service << " at " << model::toString(target.place)
        << " shard " << target.shard << " slots " << target.slots << " connections " << target.connectionCap << "\n";
    if (target.isDraining)
        out << "drain target " << target.name << " of " << service << "\n";
}

std::string formatDeclaration(model::service_declaration const& service)
{
    std::ostringstream out;
    writeService(out, service);
    for (auto const& request : service.requests)
        writeRequest(out, service.name, request);
    for (auto const& target : service.targets)
        writeTarget(out, service.name, target);
    return out.str();
}

}
