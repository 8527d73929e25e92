/*
 * What callers are told about requests that wait for a leader.
 */

#include "front-wait.h"
#include "suite.h"

#define ARRIVED_MS 10000
#define GIVEN_MS 3000

static fv_forwarding_t
arrive(void)
{
    return (fv_forwarding_t){.arrived_ms = ARRIVED_MS, .timeout_ms = GIVEN_MS};
}

static fv_forwarding_step_t
step_after(const fv_forwarding_t *wait, int64_t waited_ms)
{
    return FvForwarding_NextStep(wait, ARRIVED_MS + waited_ms);
}

/* Pattern: the leader is killed; its successor serves 0.35 s later. */
static void
test_request_outlasts_a_quick_election(void)
{
    fv_forwarding_t wait = arrive();

    CU_ASSERT_EQUAL(step_after(&wait, 350), Fv_FORWARDING_SEND);
    CU_ASSERT_EQUAL(step_after(&wait, 500), Fv_FORWARDING_REJECT);
}

/* Pattern: a caller's last attempt, 0.15 s before its time is up, meets a host
 * that knows no leader. Nothing was sent, so it may be told so. */
static void
test_unsent_request_is_never_in_doubt(void)
{
    fv_forwarding_t wait = arrive();

    wait.timeout_ms = 150;
    CU_ASSERT_EQUAL(step_after(&wait, 80), Fv_FORWARDING_SEND);
    CU_ASSERT_EQUAL(step_after(&wait, 100), Fv_FORWARDING_REJECT);
}

/* Pattern: a new leader is still reading its records. */
static void
test_declined_request_is_not_in_doubt(void)
{
    fv_forwarding_t wait = arrive();

    FvForwarding_Sent(&wait);
    CU_ASSERT_EQUAL(step_after(&wait, 100), Fv_FORWARDING_WAIT);
    FvForwarding_NotExecuted(&wait);
    CU_ASSERT_EQUAL(step_after(&wait, 150), Fv_FORWARDING_SEND);
    CU_ASSERT_EQUAL(step_after(&wait, 500), Fv_FORWARDING_REJECT);
}

/* Pattern: the leader dies with a submission, and the next one declines it. */
static void
test_request_of_a_dead_leader_stays_in_doubt(void)
{
    fv_forwarding_t wait = arrive();

    FvForwarding_Sent(&wait);
    FvForwarding_Sent(&wait);
    FvForwarding_NotExecuted(&wait);
    CU_ASSERT_EQUAL(step_after(&wait, 500), Fv_FORWARDING_SEND);
    CU_ASSERT_EQUAL(step_after(&wait, 1900), Fv_FORWARDING_TIME_OUT);
}

/* Pattern: the store is back, a new leader takes the open requests, and the
 * refusal of the one before is still on its way. */
static void
test_refusal_of_an_earlier_leader(void)
{
    CU_ASSERT_FALSE(FvForwarding_AcceptsReply(Fv_REPLY_REFUSED, false));
    CU_ASSERT_FALSE(FvForwarding_AcceptsReply(Fv_REPLY_GONE, false));
    CU_ASSERT_FALSE(FvForwarding_AcceptsReply(Fv_REPLY_NOT_READY, false));
    CU_ASSERT_TRUE(FvForwarding_AcceptsReply(Fv_REPLY_REFUSED, true));
    CU_ASSERT_TRUE(FvForwarding_AcceptsReply(Fv_REPLY_ACCEPTED, false));
    CU_ASSERT_TRUE(FvForwarding_AcceptsReply(Fv_REPLY_STATE, false));
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a request is refused while a leader is being replaced",
         test_request_outlasts_a_quick_election},
        {"a caller is left in doubt about a request that no leader had",
         test_unsent_request_is_never_in_doubt},
        {"a caller is left in doubt about a request that was declined",
         test_declined_request_is_not_in_doubt},
        {"a caller is told that a request in doubt has not run",
         test_request_of_a_dead_leader_stays_in_doubt},
        {"a caller is told what an earlier leader refused",
         test_refusal_of_an_earlier_leader},
    };

    return Fv_RUN_SUITE("front wait", cases);
}
