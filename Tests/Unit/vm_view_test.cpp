#include "Libraries/zinnialedge/configuration/vm_view.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge::configuration;

TEST_GROUP(VmView) {
    static vm_list makeList(int count) {
        vm_list list;
for (int index = 0; index < count; ++index)
    list["10.0.0." + std::to_string(index)] = false;
return list;
}
}
;

TEST(VmView, SingleLeavingVmIsWithdrawnAndRestoredAtOnce)
{
    vm_view view;
    CHECK(!view.update(makeList(20)));
    auto list = makeList(20);
    list["10.0.0.3"] = true;
    CHECK(view.update(list));
    CHECK(view.withdrawn() == std::set<std::string> { "10.0.0.3" });
    CHECK(view.update(makeList(20)));
    CHECK(view.withdrawn().empty());
}

TEST(VmView, EmptyListWithdrawsAllVmsAtThirdReading)
{
    vm_view view;
    view.update(makeList(100));
    view.update({});
    LONGS_EQUAL(10, view.withdrawn().size());
    view.update({});
    CHECK(view.withdrawn().size() < 20);
    view.update({});
    LONGS_EQUAL(100, view.withdrawn().size());
    view.update(makeList(100));
    CHECK(view.withdrawn().empty());
}

TEST(VmView, InvalidVmListIsRejected)
{
    CHECK(!parseVmList(""));
    CHECK(!parseVmList(R"({"vms":[{"address":"10.0.0.1","state":"odd"}]})"));
    CHECK(parseVmList(R"({"vms":[{"address":"10.0.0.1","state":"leaving"}]})")->at("10.0.0.1"));
}
