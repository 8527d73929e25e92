/*
 * Quarantine: a worker that fails every task is probed with one task at a time
 * with exponential backoff, and is never excluded permanently.
 */

#include "fireflyvalve.h"
#include "suite.h"

static void
record_failures(fv_quarantine_t *quarantine, int count)
{
    for (int i = 0; i < count; i++) {
        FvQuarantine_RecordFailure(quarantine, 0);
    }
}

static void
test_five_consecutive_failures(void)
{
    fv_quarantine_t quarantine = {0};

    record_failures(&quarantine, 4);
    FvQuarantine_RecordSuccess(&quarantine);
    record_failures(&quarantine, 4);
    CU_ASSERT_TRUE(FvQuarantine_AllowsTask(&quarantine, 0));
    CU_ASSERT_TRUE(FvQuarantine_RecordFailure(&quarantine, 0));
    CU_ASSERT_FALSE(FvQuarantine_AllowsTask(&quarantine, 9999));
    CU_ASSERT_TRUE(FvQuarantine_AllowsTask(&quarantine, 10000));
}

static void
test_probe_backoff_doubles_to_limit(void)
{
    fv_quarantine_t quarantine = {0};
    int64_t now_ms = 10000;

    record_failures(&quarantine, 5);
    for (int64_t backoff_ms = 20000; backoff_ms < 300000; backoff_ms *= 2) {
        FvQuarantine_RecordStart(&quarantine, now_ms);
        CU_ASSERT_FALSE(FvQuarantine_AllowsTask(&quarantine, now_ms));
        CU_ASSERT_TRUE(FvQuarantine_RecordFailure(&quarantine, now_ms));
        CU_ASSERT_FALSE(
            FvQuarantine_AllowsTask(&quarantine, now_ms + backoff_ms - 1));
        now_ms += backoff_ms;
        CU_ASSERT_TRUE(FvQuarantine_AllowsTask(&quarantine, now_ms));
    }
    FvQuarantine_RecordStart(&quarantine, now_ms);
    FvQuarantine_RecordFailure(&quarantine, now_ms);
    CU_ASSERT_TRUE(FvQuarantine_AllowsTask(&quarantine, now_ms + 300000));
    FvQuarantine_RecordSuccess(&quarantine);
    CU_ASSERT_TRUE(FvQuarantine_AllowsTask(&quarantine, now_ms));
}

static void
test_unfinished_probe_is_replaced(void)
{
    fv_quarantine_t quarantine = {0};

    record_failures(&quarantine, 5);
    CU_ASSERT_FALSE(FvQuarantine_RecordFailure(&quarantine, 9000));
    CU_ASSERT_TRUE(FvQuarantine_AllowsTask(&quarantine, 10000));
    FvQuarantine_RecordStart(&quarantine, 10000);
    CU_ASSERT_FALSE(FvQuarantine_AllowsTask(&quarantine, 309999));
    CU_ASSERT_TRUE(FvQuarantine_AllowsTask(&quarantine, 310000));
    FvQuarantine_AbortProbe(&quarantine);
    CU_ASSERT_TRUE(FvQuarantine_AllowsTask(&quarantine, 10001));
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a worker that fails every task is not quarantined",
         test_five_consecutive_failures},
        {"probes are too frequent, or two run at once",
         test_probe_backoff_doubles_to_limit},
        {"a lost probe or an earlier failure excludes a worker forever",
         test_unfinished_probe_is_replaced},
    };

    return Fv_RUN_SUITE("quarantine", cases);
}
