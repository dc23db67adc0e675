#include "Kernel/metrics_text.h"
#include <CppUTest/TestHarness.h>

using namespace zinnialedge;

TEST_GROUP(MetricsText) {};

TEST(MetricsText, EachMetricHasTypeLineAndProjectPrefix)
{
    kernel::metrics_text metrics;
    metrics.counter("answers_total", 3);
    metrics.gauge("leafs", 40);
    metrics.counter("store_calls_total", "kind", { { "routes", 1 }, { "leafs", 2 } });
    STRCMP_EQUAL(
        "# TYPE zinnialedge_answers_total counter\nzinnialedge_answers_total 3\n"
        "# TYPE zinnialedge_leafs gauge\nzinnialedge_leafs 40\n"
        "# TYPE zinnialedge_store_calls_total counter\nzinnialedge_store_calls_total{kind=\"routes\"} 1\nzinnialedge_store_calls_total{kind=\"leafs\"} 2\n",
        metrics.text().c_str());
}

// Guards against: a name from the configuration with a quote or a line break makes all metrics of the daemon unreadable.
TEST(MetricsText, LabelValuesAreEscaped)
{
    kernel::metrics_text metrics;
    metrics.counter("tenant_requests_total", "tenant", { { "a\"b\\c\nd", 1 } });
    CHECK(metrics.text().ends_with("{tenant=\"a\\\"b\\\\c\\nd\"} 1\n"));
}
