/*
 * Values of Retry-After. Loads: an outage of the store while callers submit,
 * and a backlog above capacity, each of which refuses many callers at once.
 */

#include "retry-after.h"
#include "suite.h"

#include <stdlib.h>

#define CALLERS 1000
#define REPETITIONS_MAX 4
#define OUTAGE_MS 6000

static int64_t
draw_s(int64_t wait_ms)
{
    static uint64_t random = 88172645463325252;
    fv_retry_after_t text;

    random ^= random << 13;
    random ^= random >> 7;
    random ^= random << 17;
    return strtol(
        FvRetryAfter_Format(wait_ms, (uint32_t)(random >> 16), &text), NULL,
        10);
}

/* Every caller that an outage of 6 s refuses at its beginning comes back after
 * its end with one of four repetitions, and not all at the same moment. */
static void
test_callers_outlast_an_outage(void)
{
    int64_t counts[60] = {0};
    int64_t most = 0;

    for (int i = 0; i < CALLERS; i++) {
        int64_t age_ms = 0;
        int repetitions = 0;

        while (age_ms < OUTAGE_MS) {
            age_ms += draw_s(FvRetryAfter_OutageMs(age_ms)) * 1000;
            repetitions++;
        }
        CU_ASSERT(repetitions <= REPETITIONS_MAX);
        counts[age_ms / 1000]++;
    }
    for (int i = 0; i < 60; i++) {
        most = counts[i] > most ? counts[i] : most;
    }
    CU_ASSERT(most <= CALLERS / 2);
}

/* The wait of a caller that comes late in an outage is bounded, since its job
 * loses its value meanwhile. */
static void
test_wait_grows_to_a_limit(void)
{
    CU_ASSERT_EQUAL(FvRetryAfter_OutageMs(0), 1000);
    CU_ASSERT(FvRetryAfter_OutageMs(4000) > FvRetryAfter_OutageMs(2000));
    CU_ASSERT_EQUAL(FvRetryAfter_OutageMs(60000), 4000);
    for (int i = 0; i < CALLERS; i++) {
        int64_t value_s = draw_s(FvRetryAfter_OutageMs(60000));

        CU_ASSERT(value_s >= 4 && value_s <= 6);
    }
}

/* The value is a whole number of seconds above 0, however long or short the
 * wait is. */
static void
test_every_wait_has_a_value(void)
{
    CU_ASSERT(draw_s(INT64_MIN) >= 1);
    CU_ASSERT(draw_s(0) >= 1);
    CU_ASSERT(draw_s(10000) >= 10);
    CU_ASSERT(draw_s(INT64_MAX) <= 90);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"callers give up before an outage ends, or return all at once",
         test_callers_outlast_an_outage},
        {"callers wait long after an outage has ended",
         test_wait_grows_to_a_limit},
        {"a refusal has no usable Retry-After", test_every_wait_has_a_value},
    };

    return Fv_RUN_SUITE("retry_after", cases);
}
