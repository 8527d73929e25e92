/*
 * Decides how long a caller's request waits for a leader and whether it is
 * then rejected, or answered with an unknown outcome.
 */

#include "forwarding.h"

/* How long an unsent request is held before it is rejected. A leader that was
 * killed is replaced within that time; one that became unresponsive is only
 * replaced when its lease expires (election.c). */
#define Fv_UNSENT_WAIT_MAX_MS 400

/* Share of the caller's timeout after which a request times out here; the rest
 * is left for the caller's retry at another host. */
#define Fv_TIME_OUT_SHARE 0.6

/* Refusals that are further apart belong to different outages. Callers come
 * back within 6 s (retry-after.c). */
#define Fv_OUTAGE_GAP_MS 8000

/**
 * FvOutage_Refused - note that a request is refused without a leader
 * @outage: the outage; all 0 when a leader has answered since the last one
 * @now_ms: the time
 */
void
FvOutage_Refused(fv_outage_t *outage, int64_t now_ms)
{
    if (outage->since_ms == 0 ||
        now_ms - outage->latest_ms > Fv_OUTAGE_GAP_MS) {
        outage->since_ms = now_ms - Fv_UNSENT_WAIT_MAX_MS;
    }
    outage->latest_ms = now_ms;
}

/**
 * FvOutage_Answered - note that a leader has answered a request
 * @outage: the outage, which ends unless the answer is that it does not lead
 * @reply: the answer
 */
void
FvOutage_Answered(fv_outage_t *outage, fv_reply_t reply)
{
    if (reply != Fv_REPLY_NOT_READY) {
        *outage = (fv_outage_t){0};
    }
}

/**
 * FvOutage_RetryAfter - format the Retry-After of a refusal
 * @outage: the outage; all 0: there is none
 * @now_ms: the time
 * @text: receives the value, which is spread
 *
 * Return: @text->text.
 */
const char *
FvOutage_RetryAfter(const fv_outage_t *outage, int64_t now_ms,
                    fv_retry_after_t *text)
{
    int64_t age_ms = outage->since_ms != 0 ? now_ms - outage->since_ms : 0;
    /* Knuth's multiplicative hash. */
    uint32_t random = (uint32_t)FvClock_NowNs() * UINT32_C(2654435761) >> 12;

    return FvRetryAfter_Format(FvRetryAfter_OutageMs(age_ms), random, text);
}

/**
 * FvForwarding_Sent - note that the request was sent to a leader
 * @forwarding: the request's state
 */
void
FvForwarding_Sent(fv_forwarding_t *forwarding)
{
    forwarding->outcome_unknown =
        forwarding->outcome_unknown || forwarding->awaiting_reply;
    forwarding->awaiting_reply = true;
}

/**
 * FvForwarding_NotExecuted - note that the leader did not process the request
 * @forwarding: the request's state
 */
void
FvForwarding_NotExecuted(fv_forwarding_t *forwarding)
{
    forwarding->awaiting_reply = false;
}

/**
 * FvForwarding_MayHaveExecuted - whether a leader may have executed it
 * @forwarding: the request's state
 *
 * Return: false when the request was certainly not executed.
 */
bool
FvForwarding_MayHaveExecuted(const fv_forwarding_t *forwarding)
{
    return forwarding->awaiting_reply || forwarding->outcome_unknown;
}

/**
 * FvForwarding_LeaderLost - note that no reply will come
 * @forwarding: the request's state
 *
 * A request that was sent has to be sent to the next leader.
 */
void
FvForwarding_LeaderLost(fv_forwarding_t *forwarding)
{
    forwarding->outcome_unknown =
        forwarding->outcome_unknown || forwarding->awaiting_reply;
    forwarding->awaiting_reply = false;
}

/**
 * FvForwarding_AcceptsReply - whether a reply is final
 * @reply: the reply
 * @current: whether it comes from the leader that the request was sent to last
 *
 * A rejection by an earlier leader is not final: the current leader may accept
 * the request, or know of its job. An acceptance by an earlier leader is: the
 * current leader has read its records, and the earlier one is fenced and can
 * write no more.
 *
 * Return: false when the reply is to be ignored.
 */
bool
FvForwarding_AcceptsReply(fv_reply_t reply, bool current)
{
    return current ||
           (reply != Fv_REPLY_REFUSED && reply != Fv_REPLY_GONE &&
            reply != Fv_REPLY_NOT_READY && reply != Fv_REPLY_FORBIDDEN &&
            reply != Fv_REPLY_EXCESS);
}

/**
 * FvForwarding_NextStep - decide what to do with the request now
 * @forwarding: the request's state
 * @now_ms: the time
 *
 * Return: the step.
 */
fv_forwarding_step_t
FvForwarding_NextStep(const fv_forwarding_t *forwarding, int64_t now_ms)
{
    int64_t waited_ms = now_ms - forwarding->arrived_ms;
    bool late =
        (double)waited_ms > Fv_TIME_OUT_SHARE * (double)forwarding->timeout_ms;

    if (FvForwarding_MayHaveExecuted(forwarding)) {
        return late                         ? Fv_FORWARDING_TIME_OUT
               : forwarding->awaiting_reply ? Fv_FORWARDING_WAIT
                                            : Fv_FORWARDING_SEND;
    }
    return late || waited_ms > Fv_UNSENT_WAIT_MAX_MS ? Fv_FORWARDING_REJECT
                                                     : Fv_FORWARDING_SEND;
}
