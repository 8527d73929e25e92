/*
 * Estimates of run time and size: declarations that are wrong by a factor of
 * 10 are corrected within a few tasks, single outliers have little influence,
 * and saving and loading preserves the estimates.
 */

#include "fixture.h"
#include "suite.h"

static fv_estimates_t *estimates;

static fv_workload_t
declared(int64_t run_ms, int64_t cpu_millis, int64_t memory_bytes)
{
    return (fv_workload_t){.name = "w",
                           .expected_run_ms = run_ms,
                           .size = {cpu_millis, memory_bytes, 1, 1}};
}

/* Records tasks that run for 800 to 1,200 ms on about 2 cores and 2 GiB. */
static void
observe_runs(int count)
{
    uint64_t random = 3;

    for (int i = 0; i < count; i++) {
        int64_t noise = (int64_t)(FvFixture_NextRandom(&random) % 401) - 200;
        fv_resources_t used = {.cpu_millis = 2000 + noise,
                               .memory_bytes = 2 * Fv_GIB + noise * 1000000};

        FvEstimates_Observe(estimates, "m", "w", 1000 + noise, &used);
    }
}

static void
test_wrong_run_time_declaration(void)
{
    fv_workload_t wrong[2] = {declared(100, 1, 1), declared(10000, 1, 1)};

    for (int i = 0; i < 2; i++) {
        int64_t declared_ms = wrong[i].expected_run_ms;
        int64_t run_ms;
        int64_t before_ms;

        estimates = FvEstimates_New();
        CU_ASSERT_EQUAL(FvEstimates_RunMs(estimates, "m", &wrong[i]),
                        declared_ms);
        observe_runs(2);
        CU_ASSERT_TRUE(FvEstimates_RunMs(estimates, "m", &wrong[i]) >=
                       declared_ms);
        CU_ASSERT_EQUAL(FvEstimates_RunMs(estimates, "other", &wrong[i]),
                        declared_ms);
        observe_runs(18);
        run_ms = FvEstimates_RunMs(estimates, "m", &wrong[i]);
        CU_ASSERT_TRUE(run_ms >= 1100 && run_ms <= 1600);
        before_ms = run_ms;
        FvEstimates_Observe(estimates, "m", "w", 100000000, NULL);
        run_ms = FvEstimates_RunMs(estimates, "m", &wrong[i]);
        CU_ASSERT_TRUE(run_ms < 3 * before_ms);
        observe_runs(20);
        run_ms = FvEstimates_RunMs(estimates, "m", &wrong[i]);
        CU_ASSERT_TRUE(run_ms >= 1100 && run_ms < before_ms * 3 / 2);
        FvEstimates_Free(estimates);
    }
}

/* Expects both amounts to be at least the given ones and at most
 * @slack_percent above them. */
static void
expect_size(fv_workload_t workload, int64_t cpu_millis, int64_t memory_bytes,
            int slack_percent)
{
    fv_resources_t size;

    FvEstimates_TaskSize(estimates, "m", &workload, &size);
    CU_ASSERT_TRUE(size.cpu_millis >= cpu_millis);
    CU_ASSERT_TRUE(size.cpu_millis <=
                   cpu_millis * (100 + slack_percent) / 100);
    CU_ASSERT_TRUE(size.memory_bytes >= memory_bytes);
    CU_ASSERT_TRUE(size.memory_bytes <=
                   memory_bytes * (100 + slack_percent) / 100);
    CU_ASSERT_TRUE(size.accelerators == 1 && size.slots == 1);
}

static void
test_size_needs_enough_runs(void)
{
    fv_workload_t high = declared(1, 20000, 20 * Fv_GIB);
    fv_workload_t low = declared(1, 200, Fv_GIB / 5);
    fv_resources_t no_usage = {.cpu_millis = 0};

    estimates = FvEstimates_New();
    FvEstimates_Observe(estimates, "m", "w", 10, &no_usage);
    observe_runs(7);
    expect_size(high, 20000, 20 * Fv_GIB, 0);
    expect_size(low, 400, Fv_GIB / 5 * 2, 0);
    observe_runs(20);
    expect_size(high, 2000, 2 * Fv_GIB, 50);
    expect_size(low, 2000, 2 * Fv_GIB, 50);
    expect_size(declared(1, 1, 1), 32, 32, 0);
    FvEstimates_Free(estimates);
}

static void
test_size_floor(void)
{
    fv_resources_t used = {.cpu_millis = 1, .memory_bytes = 1};

    estimates = FvEstimates_New();
    for (int i = 0; i < 50; i++) {
        FvEstimates_Observe(estimates, "m", "w", 10, &used);
    }
    expect_size(declared(1, 1000, Fv_GIB / 8), 50, 16 << 20, 0);
    expect_size(declared(1, 10, 1 << 20), 10, 1 << 20, 0);
    FvEstimates_Free(estimates);
}

static void
test_saved_estimates(void)
{
    json_t *malformed =
        json_pack("{s:{s:i}, s:i}", "m/w", "run_count", -1, "m/v", 3);
    json_t *saved;
    json_t *again;

    estimates = FvEstimates_New();
    observe_runs(20);
    saved = FvEstimates_ToJson(estimates);
    FvEstimates_Free(estimates);
    estimates = FvEstimates_New();
    observe_runs(5);
    FvEstimates_Merge(estimates, saved);
    FvEstimates_Merge(estimates, saved);
    FvEstimates_Merge(estimates, malformed);
    again = FvEstimates_ToJson(estimates);
    CU_ASSERT_TRUE(json_equal(saved, again));
    json_decref(saved);
    json_decref(again);
    json_decref(malformed);
    FvEstimates_Free(estimates);
}

static void
test_exact_usage_keeps_size(void)
{
    fv_workload_t workload = declared(1000, 4000, Fv_GIB);
    fv_resources_t used = {.cpu_millis = 4000, .memory_bytes = Fv_GIB};
    fv_resources_t size;

    estimates = FvEstimates_New();
    for (int i = 0; i < 20; i++) {
        FvEstimates_Observe(estimates, "m", "w", 1000, &used);
        FvEstimates_TaskSize(estimates, "m", &workload, &size);
        CU_ASSERT_EQUAL(size.cpu_millis, 4000);
    }
    FvEstimates_Free(estimates);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"usage equal to the declaration raises the size",
         test_exact_usage_keeps_size},
        {"a tenfold wrong declaration or one hung task distorts the run time",
         test_wrong_run_time_declaration},
        {"a size is corrected after too few runs or never",
         test_size_needs_enough_runs},
        {"a size falls below the minimum", test_size_floor},
        {"estimates change when they are saved or merged twice",
         test_saved_estimates},
    };

    return Fv_RUN_SUITE("estimate", cases);
}
