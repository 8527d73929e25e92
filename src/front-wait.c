/*
 * How long a caller's request waits for a leader, and what its caller can be
 * told about it.
 */

#include "front-wait.h"

/* How long a request that no leader has is kept before it is refused. A killed
 * leader is replaced within it; a silent one is not (election.c). */
#define Fv_UNSENT_WAIT_MAX_MS 400

/* Share of the caller's time after which a request is given up; the rest is
 * left for the caller's repetition at another host. */
#define Fv_TIME_OUT_SHARE 0.6

/**
 * FvForwarding_Sent - the request was sent to a leader
 * @forwarding: what is known of it
 */
void
FvForwarding_Sent(fv_forwarding_t *forwarding)
{
    forwarding->outcome_unknown =
        forwarding->outcome_unknown || forwarding->awaiting_reply;
    forwarding->awaiting_reply = true;
}

/**
 * FvForwarding_NotExecuted - the leader has done nothing about the request
 * @forwarding: what is known of it
 */
void
FvForwarding_NotExecuted(fv_forwarding_t *forwarding)
{
    forwarding->awaiting_reply = false;
}

/**
 * FvForwarding_AcceptsReply - whether an answer counts
 * @reply: the answer
 * @current: whether it comes from the leader that the request was sent to last
 *
 * An earlier leader that has not taken a request says nothing of the one that
 * has it now. The latter knows what the former took: it has read its records,
 * and that one can write no more.
 *
 * Return: false when the answer is to be left out.
 */
bool
FvForwarding_AcceptsReply(fv_reply_t reply, bool current)
{
    return current || (reply != Fv_REPLY_REFUSED && reply != Fv_REPLY_GONE &&
                       reply != Fv_REPLY_NOT_READY);
}

/**
 * FvForwarding_NextStep - what to do with the request now
 * @forwarding: what is known of it
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

    if (forwarding->awaiting_reply || forwarding->outcome_unknown) {
        return late                         ? Fv_FORWARDING_TIME_OUT
               : forwarding->awaiting_reply ? Fv_FORWARDING_WAIT
                                            : Fv_FORWARDING_SEND;
    }
    return late || waited_ms > Fv_UNSENT_WAIT_MAX_MS ? Fv_FORWARDING_REJECT
                                                     : Fv_FORWARDING_SEND;
}
