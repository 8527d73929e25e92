/*
 * Host ranking: jobs go to the nearest host with free capacity, cross regions
 * only when waiting costs more, and are spread over hosts at equal distance.
 */

#include "fireflyvalve.h"
#include "suite.h"

#include <string.h>

#define NOW_MS 100000

static const fv_resources_t free_capacity = {
    .cpu_millis = 8000, .memory_bytes = 1 << 30, .slots = 4};
static const fv_workload_t lookup = {.class_id = Fv_CLASS_INTERACTIVE,
                                     .size = {.cpu_millis = 500, .slots = 1}};
static const fv_workload_t batch = {.class_id = Fv_CLASS_DEADLINE,
                                    .size = {.cpu_millis = 500, .slots = 1}};

/* Hosts a and b in data centre 1, c in 2, d in another region. */
static const struct {
    const char *name, *region, *data_center;
} locations[] = {
    {"a", "r1", "1"}, {"b", "r1", "1"}, {"c", "r1", "2"}, {"d", "r2", "3"}};

static fv_host_t test_hosts[4];
static const fv_hosts_t all_hosts = {
    .count = 4,
    .entries = {&test_hosts[0], &test_hosts[1], &test_hosts[2],
                &test_hosts[3]}};

static void
reset_hosts(void)
{
    for (int i = 0; i < 4; i++) {
        test_hosts[i] =
            (fv_host_t){.listed_live = true,
                        .linked = true,
                        .digest = {.received_ms = NOW_MS - 1000,
                                   .free_total = free_capacity,
                                   .free_largest = free_capacity,
                                   .free_interactive = free_capacity}};
        strcpy(test_hosts[i].name, locations[i].name);
        strcpy(test_hosts[i].region, locations[i].region);
        strcpy(test_hosts[i].data_center, locations[i].data_center);
    }
}

/* Compares the names of the ranked hosts with a string such as "abc". */
static void
expect_order(const fv_workload_t *workload, int64_t queued_ms,
             const char *expected)
{
    const fv_host_t *ranked[8];
    char names[9] = "";
    uint32_t count = FvHostRanking_Build(&all_hosts, &test_hosts[0], workload,
                                         queued_ms, NOW_MS, 1, ranked, 8);

    for (uint32_t i = 0; i < count; i++) {
        names[i] = ranked[i]->name[0];
    }
    CU_ASSERT_STRING_EQUAL(names, expected);
}

static void
test_region_is_crossed_after_waiting(void)
{
    fv_workload_t urgent = batch;

    reset_hosts();
    expect_order(&lookup, 0, "abc");
    expect_order(&lookup, 50, "abcd");
    expect_order(&batch, 9999, "abc");
    expect_order(&batch, 10000, "abcd");
    urgent.start_within_ms = 5500;
    expect_order(&urgent, 2750, "abcd");
}

static void
test_unusable_hosts_are_not_ranked(void)
{
    reset_hosts();
    test_hosts[1].digest.received_ms = NOW_MS - 1501;
    test_hosts[3].digest.received_ms = NOW_MS - 6000;
    expect_order(&batch, 10000, "acd");
    test_hosts[3].digest.received_ms = NOW_MS - 6001;
    expect_order(&batch, 10000, "ac");
    test_hosts[2].digest.free_largest.cpu_millis = 499;
    expect_order(&batch, 10000, "a");
    expect_order(&lookup, 0, "ac");
    test_hosts[2].listed_live = false;
    expect_order(&lookup, 0, "a");
}

static void
test_jobs_are_spread_by_free_capacity(void)
{
    int b_before_c_count[2] = {0};

    reset_hosts();
    strcpy(test_hosts[2].data_center, "1");
    for (int i = 0; i < 2; i++) {
        for (uint64_t random = 0; random < 1000; random++) {
            const fv_host_t *ranked[4];

            FvHostRanking_Build(&all_hosts, &test_hosts[0], &batch, 0, NOW_MS,
                                random, ranked, 4);
            b_before_c_count[i] += ranked[1] == &test_hosts[1];
        }
        test_hosts[2].digest.free_total.cpu_millis *= 4;
    }
    CU_ASSERT_TRUE(b_before_c_count[0] > 400 && b_before_c_count[0] < 600);
    CU_ASSERT_TRUE(b_before_c_count[1] > 150 && b_before_c_count[1] < 350);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a job crosses regions too early, which is billed, or too late",
         test_region_is_crossed_after_waiting},
        {"an unresponsive or full host is ranked",
         test_unusable_hosts_are_not_ranked},
        {"all jobs go to the host with the most free capacity",
         test_jobs_are_spread_by_free_capacity},
    };

    return Fv_RUN_SUITE("route", cases);
}
