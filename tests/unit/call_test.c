/*
 * The call pool: who is told what, and when.
 */

#include "entry.h"
#include "suite.h"

typedef struct outcome {
    uint32_t answers;
    int32_t status;
    bool sending;
    bool within_send;
} outcome_t;

static void
answered(void *context, const fv_call_answer_t *answer)
{
    outcome_t *outcome = context;

    outcome->answers++;
    outcome->status = answer->status;
    outcome->within_send = outcome->sending;
}

static void
send_to(const char *address, outcome_t *outcome)
{
    struct event_base *base = event_base_new();
    fv_call_pool_t *pool = FvCallPool_New(base);
    struct timeval limit = {.tv_sec = 2};
    fv_call_t call = {.method = "GET", .path = "/"};

    *outcome = (outcome_t){.sending = true};
    FvCallPool_Send(pool, address, &call, 500, answered, outcome);
    outcome->sending = false;
    event_base_loopexit(base, &limit);
    while (outcome->answers == 0 && !event_base_got_exit(base)) {
        event_base_loop(base, EVLOOP_ONCE);
    }
    FvCallPool_Free(pool);
    event_base_free(base);
}

/* Pattern: descriptors run out in the middle of a pass; the pass must not see
 * its own orders answered before it has ended. */
static void
test_failure_is_told_after_the_send(void)
{
    outcome_t outcome;

    send_to("no address", &outcome);
    CU_ASSERT_EQUAL(outcome.answers, 1);
    CU_ASSERT_EQUAL(outcome.status, 0);
    CU_ASSERT_FALSE(outcome.within_send);
}

/* Pattern: a connection that the kernel turns away at once. */
static void
test_refused_connection_is_told_after_the_send(void)
{
    outcome_t outcome;

    send_to("255.255.255.255:9", &outcome);
    CU_ASSERT_EQUAL(outcome.answers, 1);
    CU_ASSERT_EQUAL(outcome.status, 0);
    CU_ASSERT_FALSE(outcome.within_send);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a call that cannot be sent is answered within the send",
         test_failure_is_told_after_the_send},
        {"a connection refused at once is answered within the send",
         test_refused_connection_is_told_after_the_send},
    };

    return Fv_RUN_SUITE("call", cases);
}
