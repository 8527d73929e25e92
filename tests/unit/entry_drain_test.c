/*
 * When an entry host ends after SIGTERM.
 */

#include "entry-drain.h"
#include "suite.h"

static fv_drain_step_t
step(int32_t drain_ms, int64_t draining_ms, bool finished)
{
    return FvEntryDrain_NextStep(drain_ms, draining_ms, finished);
}

/* Guards against an end before the balancer has noticed, and against one while
 * something is unfinished and time is left. */
static void
test_waits_for_what_is_unfinished(void)
{
    CU_ASSERT_EQUAL(step(6000, 0, true), Fv_DRAIN_SERVE);
    CU_ASSERT_EQUAL(step(6000, 2250, true), Fv_DRAIN_SERVE);
    CU_ASSERT_EQUAL(step(6000, 2300, true), Fv_DRAIN_END);
    CU_ASSERT_EQUAL(step(6000, 2300, false), Fv_DRAIN_FINISH);
    CU_ASSERT_EQUAL(step(6000, 4450, false), Fv_DRAIN_FINISH);
    CU_ASSERT_EQUAL(step(6000, 4500, false), Fv_DRAIN_ANSWER);
    CU_ASSERT_EQUAL(step(6000, 5200, false), Fv_DRAIN_ANSWER);
    CU_ASSERT_EQUAL(step(6000, 5250, false), Fv_DRAIN_END);
}

/* Guards against limits that fit one length of the drain only: each step must
 * have time, and the process must end before it is killed. */
static void
test_every_length_has_all_steps(void)
{
    static const int32_t lengths_ms[] = {100, 1000, 2000, 6000, 30000, 600000};

    for (size_t i = 0; i < sizeof(lengths_ms) / sizeof(lengths_ms[0]); i++) {
        int32_t drain_ms = lengths_ms[i];
        int64_t spent_ms[Fv_DRAIN_END + 1] = {0};
        fv_drain_step_t last = Fv_DRAIN_SERVE;

        for (int64_t now_ms = 0; now_ms < drain_ms; now_ms++) {
            fv_drain_step_t next = step(drain_ms, now_ms, false);

            CU_ASSERT(next >= last);
            spent_ms[next]++;
            last = next;
        }
        for (int j = Fv_DRAIN_SERVE; j <= Fv_DRAIN_END; j++) {
            CU_ASSERT(j == Fv_DRAIN_SERVE || spent_ms[j] >= drain_ms / 10);
        }
        CU_ASSERT(spent_ms[Fv_DRAIN_SERVE] <= 2300);
    }
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"the end comes while something is unfinished",
         test_waits_for_what_is_unfinished},
        {"a short or long drain lacks a step",
         test_every_length_has_all_steps},
    };

    return Fv_RUN_SUITE("entry_drain", cases);
}
