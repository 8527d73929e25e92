/*
 * Declarations that are off by 10x are corrected within a few tasks, single
 * outliers are not believed, and nothing is lost when saved.
 */

#include "fixture.h"
#include "suite.h"

static fv_workload_t
declared(int64_t run_ms, int64_t cpu_millis, int64_t memory_bytes)
{
    return (fv_workload_t){.name = "w",
                           .expected_run_ms = run_ms,
                           .size = {.cpu_millis = cpu_millis,
                                    .memory_bytes = memory_bytes,
                                    .accelerators = 1,
                                    .slots = 1}};
}

/* Tasks that run 800 to 1,200 ms on about two cores and 2 GB. */
static void
observe(fv_estimates_t *estimates, int count)
{
    uint64_t random = 3;

    for (int i = 0; i < count; i++) {
        int64_t noise = (int64_t)(FvFixture_Random(&random) % 401) - 200;
        fv_resources_t used = {.cpu_millis = 2000 + noise,
                               .memory_bytes = 2 * Fv_GIB + noise * 1000000};

        FvEstimates_Observe(estimates, "m", "w", 1000 + noise, &used);
    }
}

static void
test_run_time_off_tenfold(void)
{
    fv_workload_t wrong[2] = {declared(100, 1, 1), declared(10000, 1, 1)};

    for (int i = 0; i < 2; i++) {
        fv_estimates_t *estimates = FvEstimates_New();
        int64_t run_ms;

        CU_ASSERT_EQUAL(FvEstimates_RunMs(estimates, "m", &wrong[i]),
                        wrong[i].expected_run_ms);
        observe(estimates, 2);
        CU_ASSERT_TRUE(FvEstimates_RunMs(estimates, "m", &wrong[i]) >=
                       wrong[i].expected_run_ms);
        observe(estimates, 18);
        run_ms = FvEstimates_RunMs(estimates, "m", &wrong[i]);
        CU_ASSERT_TRUE(run_ms >= 1100 && run_ms <= 1600);
        CU_ASSERT_EQUAL(FvEstimates_RunMs(estimates, "other", &wrong[i]),
                        wrong[i].expected_run_ms);
        FvEstimates_Free(estimates);
    }
}

static void
test_outlier_is_bounded(void)
{
    fv_estimates_t *estimates = FvEstimates_New();
    fv_workload_t workload = declared(1000, 2000, 2 * Fv_GIB);
    int64_t before_ms;

    observe(estimates, 20);
    before_ms = FvEstimates_RunMs(estimates, "m", &workload);
    FvEstimates_Observe(estimates, "m", "w", 100000000, NULL);
    CU_ASSERT_TRUE(FvEstimates_RunMs(estimates, "m", &workload) <
                   3 * before_ms);
    observe(estimates, 20);
    CU_ASSERT_TRUE(FvEstimates_RunMs(estimates, "m", &workload) <
                   before_ms * 3 / 2);
    FvEstimates_Free(estimates);
}

static void
expect_size(const fv_estimates_t *estimates, fv_workload_t workload,
            int64_t cpu_low, int64_t cpu_high, int64_t memory_low,
            int64_t memory_high)
{
    fv_resources_t size;

    FvEstimates_Size(estimates, "m", &workload, &size);
    CU_ASSERT_TRUE(size.cpu_millis >= cpu_low && size.cpu_millis <= cpu_high);
    CU_ASSERT_TRUE(size.memory_bytes >= memory_low &&
                   size.memory_bytes <= memory_high);
    CU_ASSERT_EQUAL(size.accelerators, 1);
    CU_ASSERT_EQUAL(size.slots, 1);
}

static void
test_size_needs_evidence(void)
{
    fv_estimates_t *estimates = FvEstimates_New();
    fv_workload_t high = declared(1, 20000, 20 * Fv_GIB);
    fv_workload_t low = declared(1, 200, Fv_GIB / 5);
    fv_resources_t nothing = {.cpu_millis = 0};

    FvEstimates_Observe(estimates, "m", "w", 10, &nothing);
    observe(estimates, 7);
    expect_size(estimates, high, 20000, 20000, 20 * Fv_GIB, 20 * Fv_GIB);
    expect_size(estimates, low, 400, 400, Fv_GIB / 5 * 2, Fv_GIB / 5 * 2);
    observe(estimates, 20);
    expect_size(estimates, high, 2000, 3000, 2 * Fv_GIB, 3 * Fv_GIB);
    expect_size(estimates, low, 2000, 3000, 2 * Fv_GIB, 3 * Fv_GIB);
    expect_size(estimates, declared(1, 1, 1), 32, 32, 32, 32);
    FvEstimates_Free(estimates);
}

static void
test_size_floor(void)
{
    fv_estimates_t *estimates = FvEstimates_New();
    fv_resources_t used = {.cpu_millis = 1, .memory_bytes = 1};

    for (int i = 0; i < 50; i++) {
        FvEstimates_Observe(estimates, "m", "w", 10, &used);
    }
    expect_size(estimates, declared(1, 1000, Fv_GIB / 8), 50, 50, 16 << 20,
                16 << 20);
    expect_size(estimates, declared(1, 10, 1 << 20), 10, 10, 1 << 20, 1 << 20);
    FvEstimates_Free(estimates);
}

static void
test_saved_estimates(void)
{
    fv_estimates_t *estimates = FvEstimates_New();
    fv_estimates_t *restored = FvEstimates_New();
    json_t *saved;
    json_t *again;
    json_t *malformed =
        json_pack("{s:{s:i}, s:i}", "m/w", "run_count", -1, "m/v", 3);

    observe(estimates, 20);
    saved = FvEstimates_ToJson(estimates);
    observe(restored, 5);
    FvEstimates_Merge(restored, saved);
    FvEstimates_Merge(restored, saved);
    FvEstimates_Merge(restored, malformed);
    again = FvEstimates_ToJson(restored);
    CU_ASSERT_TRUE(json_equal(saved, again));
    json_decref(saved);
    json_decref(again);
    json_decref(malformed);
    FvEstimates_Free(estimates);
    FvEstimates_Free(restored);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a run time declared 10x wrong is planned with",
         test_run_time_off_tenfold},
        {"one hung task distorts the estimate", test_outlier_is_bounded},
        {"a size is corrected on too little evidence or not at all",
         test_size_needs_evidence},
        {"a size shrinks to nothing", test_size_floor},
        {"estimates change when saved, merged twice or malformed",
         test_saved_estimates},
    };

    return Fv_RUN_SUITE("estimate", cases);
}
