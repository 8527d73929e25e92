/*
 * Retries: the budget keeps them from multiplying the load on a failing
 * component, and jitter keeps clients from retrying simultaneously.
 */

#include "fireflyvalve.h"
#include "suite.h"

static int
withdraw_all(fv_retry_budget_t *budget, int64_t now_ms)
{
    int withdrawn = 0;

    while (withdrawn < 10000 && FvRetryBudget_TryWithdraw(budget, now_ms)) {
        withdrawn++;
    }
    return withdrawn;
}

static void
test_budget_is_tenth_of_requests(void)
{
    fv_retry_budget_t budget = {0};

    CU_ASSERT_EQUAL(withdraw_all(&budget, 1000000), 3);
    for (int i = 0; i < 500; i++) {
        FvRetryBudget_Deposit(&budget);
    }
    CU_ASSERT_EQUAL(withdraw_all(&budget, 1000000), 50);
    for (int i = 0; i < 100000; i++) {
        FvRetryBudget_Deposit(&budget);
    }
    CU_ASSERT_EQUAL(withdraw_all(&budget, 1000000), 100);
    FvRetryBudget_Refund(&budget);
    CU_ASSERT_EQUAL(withdraw_all(&budget, 1000000), 1);
    CU_ASSERT_EQUAL(withdraw_all(&budget, 1000999), 0);
    CU_ASSERT_EQUAL(withdraw_all(&budget, 1001000), 1);
    CU_ASSERT_EQUAL(withdraw_all(&budget, 9000000), 3);
}

static void
test_backoff_is_jittered(void)
{
    bool differs = false;

    for (int32_t attempt = -1; attempt < 40; attempt++) {
        int64_t max_delay_ms =
            attempt < 8 ? 50 << (attempt < 0 ? 0 : attempt) : 10000;

        for (uint64_t random = 0; random < 50; random++) {
            int64_t delay_ms = FvRetry_BackoffMs(attempt, random);

            CU_ASSERT_TRUE(delay_ms >= max_delay_ms / 2 &&
                           delay_ms <= max_delay_ms);
            differs = differs || delay_ms != max_delay_ms / 2;
        }
    }
    CU_ASSERT_TRUE(differs);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"retries exceed a tenth of the requests, or an idle host gets none",
         test_budget_is_tenth_of_requests},
        {"clients retry simultaneously or with a wrong delay",
         test_backoff_is_jittered},
    };

    return Fv_RUN_SUITE("retry", cases);
}
