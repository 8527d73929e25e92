/*
 * Forwarding of requests to the leader: how long a request waits for one, and
 * whether its caller may be told that it was not executed.
 */

#include "forwarding.h"
#include "suite.h"

#include <stdlib.h>

#define ARRIVED_MS 10000
#define TIMEOUT_MS 3000

static fv_forwarding_t
new_request(void)
{
    return (fv_forwarding_t){.arrived_ms = ARRIVED_MS,
                             .timeout_ms = TIMEOUT_MS};
}

static fv_forwarding_step_t
step_after(const fv_forwarding_t *request, int64_t waited_ms)
{
    return FvForwarding_NextStep(request, ARRIVED_MS + waited_ms);
}

/* The leader is killed, and its successor serves 0.35 s later. */
static void
test_request_waits_for_a_quick_election(void)
{
    fv_forwarding_t request = new_request();

    CU_ASSERT_EQUAL(step_after(&request, 350), Fv_FORWARDING_SEND);
    CU_ASSERT_EQUAL(step_after(&request, 500), Fv_FORWARDING_REJECT);
}

/* The caller's last attempt, 0.15 s before its deadline, reaches a host that
 * knows no leader. The request was not sent, so it can be rejected as not
 * executed. */
static void
test_unsent_request_is_rejected(void)
{
    fv_forwarding_t request = new_request();

    request.timeout_ms = 150;
    CU_ASSERT_EQUAL(step_after(&request, 80), Fv_FORWARDING_SEND);
    CU_ASSERT_EQUAL(step_after(&request, 100), Fv_FORWARDING_REJECT);
}

/* A new leader that is still loading its records declines the request. */
static void
test_declined_request_is_rejected(void)
{
    fv_forwarding_t request = new_request();

    FvForwarding_Sent(&request);
    CU_ASSERT_EQUAL(step_after(&request, 100), Fv_FORWARDING_WAIT);
    FvForwarding_NotExecuted(&request);
    CU_ASSERT_EQUAL(step_after(&request, 150), Fv_FORWARDING_SEND);
    CU_ASSERT_EQUAL(step_after(&request, 500), Fv_FORWARDING_REJECT);
}

/* The leader dies with an unanswered submission, and the next leader declines
 * it. The first one may have accepted it. */
static void
test_unanswered_request_times_out(void)
{
    fv_forwarding_t request = new_request();

    FvForwarding_Sent(&request);
    FvForwarding_Sent(&request);
    FvForwarding_NotExecuted(&request);
    CU_ASSERT_EQUAL(step_after(&request, 500), Fv_FORWARDING_SEND);
    CU_ASSERT_EQUAL(step_after(&request, 1900), Fv_FORWARDING_TIME_OUT);
}

/* The host loses the leader that has the request, and leads itself next: there
 * is no other host that would take the request anew. */
static void
test_request_of_a_lost_leader_is_sent_again(void)
{
    fv_forwarding_t request = new_request();

    FvForwarding_Sent(&request);
    FvForwarding_LeaderLost(&request);
    CU_ASSERT_EQUAL(step_after(&request, 100), Fv_FORWARDING_SEND);
    CU_ASSERT_EQUAL(step_after(&request, 1000), Fv_FORWARDING_SEND);
    CU_ASSERT_EQUAL(step_after(&request, 1900), Fv_FORWARDING_TIME_OUT);
}

/* The store is back and a new leader has the open requests, while a rejection
 * by the previous leader is still in transit. */
static void
test_rejection_by_an_earlier_leader(void)
{
    CU_ASSERT_FALSE(FvForwarding_AcceptsReply(Fv_REPLY_REFUSED, false));
    CU_ASSERT_FALSE(FvForwarding_AcceptsReply(Fv_REPLY_GONE, false));
    CU_ASSERT_FALSE(FvForwarding_AcceptsReply(Fv_REPLY_FORBIDDEN, false));
    CU_ASSERT_FALSE(FvForwarding_AcceptsReply(Fv_REPLY_EXCESS, false));
    CU_ASSERT_FALSE(FvForwarding_AcceptsReply(Fv_REPLY_NOT_READY, false));
    CU_ASSERT_TRUE(FvForwarding_AcceptsReply(Fv_REPLY_REFUSED, true));
    CU_ASSERT_TRUE(FvForwarding_AcceptsReply(Fv_REPLY_ACCEPTED, false));
    CU_ASSERT_TRUE(FvForwarding_AcceptsReply(Fv_REPLY_STATE, false));
}

static int64_t
retry_after_s(const fv_outage_t *outage, int64_t now_ms)
{
    fv_retry_after_t text;

    return strtol(FvOutage_RetryAfter(outage, now_ms, &text), NULL, 10);
}

/* The store is away, and no host leads: the wait grows with the outage, and
 * begins anew after an answer or a long pause. */
static void
test_wait_grows_with_the_outage(void)
{
    fv_outage_t outage = {0};

    CU_ASSERT(retry_after_s(&outage, 1000000) <= 2);
    for (int64_t now_ms = 1000000; now_ms <= 1010000; now_ms += 500) {
        FvOutage_Refused(&outage, now_ms);
    }
    CU_ASSERT(retry_after_s(&outage, 1010000) >= 4);
    CU_ASSERT(retry_after_s(&outage, 1010000) <= 6);
    FvOutage_Answered(&outage, Fv_REPLY_NOT_READY);
    CU_ASSERT(retry_after_s(&outage, 1010000) >= 4);
    FvOutage_Answered(&outage, Fv_REPLY_ACCEPTED);
    CU_ASSERT(retry_after_s(&outage, 1010000) <= 2);
    FvOutage_Refused(&outage, 1020000);
    FvOutage_Refused(&outage, 1090000);
    CU_ASSERT(retry_after_s(&outage, 1090000) <= 2);
}

/* Most of an outage's callers come back at the same moment. */
static void
test_retries_are_spread(void)
{
    fv_outage_t outage = {.since_ms = 1000000, .latest_ms = 1008000};
    uint32_t counts[8] = {0};

    for (int i = 0; i < 300; i++) {
        int64_t value_s = retry_after_s(&outage, 1008000);

        CU_ASSERT_FATAL(value_s >= 4 && value_s <= 6);
        counts[value_s]++;
    }
    CU_ASSERT(counts[4] < 200 && counts[5] < 200 && counts[6] < 200);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a request is rejected while the leader is being replaced",
         test_request_waits_for_a_quick_election},
        {"a request that was never sent is reported as unconfirmed",
         test_unsent_request_is_rejected},
        {"a request that was declined is reported as unconfirmed",
         test_declined_request_is_rejected},
        {"an unconfirmed request is reported as not executed",
         test_unanswered_request_times_out},
        {"a request waits for a reply of a leader that is lost",
         test_request_of_a_lost_leader_is_sent_again},
        {"a rejection by an earlier leader reaches the caller",
         test_rejection_by_an_earlier_leader},
        {"callers come back while an outage goes on, or long after its end",
         test_wait_grows_with_the_outage},
        {"callers that an outage refused come back at the same moment",
         test_retries_are_spread},
    };

    return Fv_RUN_SUITE("forwarding", cases);
}
