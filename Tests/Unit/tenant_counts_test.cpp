#include "Libraries/zinnialedge/access/tenant_counts.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;
using access::tenant_count;

TEST_GROUP(TenantCounts)
{
    access::tenant_counts counts;

    void record(std::string const& tenant, int requests, int overQuota = 0)
    {
        for (int count = 0; count < requests; ++count)
            counts.recordRequest(tenant);
        for (int count = 0; count < overQuota; ++count)
            counts.recordOverQuota(tenant);
    }
};

// Guards against: a configuration with many tenants fills the metrics with one sample for each.
TEST(TenantCounts, TenantsWithMostRequestsAreCountedOneByOneAndTheOthersTogether)
{
    record("small", 1, 1);
    record("large", 5);
    record("middle", 3, 2);
    record("other", 1);
    auto const summary = counts.summarize(2);
    CHECK((summary.most == std::vector<tenant_count> { { "large", 5, 0 }, { "middle", 3, 2 } }));
    CHECK((summary.others == tenant_count { {}, 2, 1 }));
}

// Guards against: the listed tenants change between two readings although no counts do.
TEST(TenantCounts, TenantsWithEquallyManyRequestsAreOrderedByName)
{
    record("b", 2);
    record("c", 2);
    record("a", 2);
    auto const summary = counts.summarize(2);
    STRCMP_EQUAL("a", summary.most[0].name.c_str());
    STRCMP_EQUAL("b", summary.most[1].name.c_str());
}

// Guards against: the memory grows with each configuration that renames its tenants, or their requests disappear from the sum.
TEST(TenantCounts, CountsOfTenantsThatAreNoLongerDeclaredAreKeptTogether)
{
    record("gone", 4, 1);
    record("kept", 1);
    counts.removeUndeclared([](auto const& name) { return name == "kept"; });
    auto const summary = counts.summarize(20);
    CHECK((summary.most == std::vector<tenant_count> { { "kept", 1, 0 } }));
    CHECK((summary.others == tenant_count { {}, 4, 1 }));
}
