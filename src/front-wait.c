/*
 * How long a caller's request waits for a leader, and what its caller can be
 * told about it.
 */

#include "front-wait.h"

/* How long a request that no leader has is kept before it is refused. A killed
 * leader is replaced within it; a silent one is not (election.c). */
#define Fv_UNSENT_HOLD_MS 400

/* Share of the caller's time after which a request is given up; the rest is
 * left for the caller's repetition at another host. */
#define Fv_GIVE_UP_SHARE 0.6

/**
 * FvForwarding_Sent - the request was sent to a leader
 * @wait: what is known of it
 */
void
FvForwarding_Sent(fv_forwarding_t *wait)
{
    wait->in_doubt = wait->in_doubt || wait->with_leader;
    wait->with_leader = true;
}

/**
 * FvForwarding_NotExecuted - the leader has done nothing about the request
 * @wait: what is known of it
 */
void
FvForwarding_NotExecuted(fv_forwarding_t *wait)
{
    wait->with_leader = false;
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
 * @wait: what is known of it
 * @now_ms: the time
 *
 * Return: the step.
 */
fv_forwarding_step_t
FvForwarding_NextStep(const fv_forwarding_t *wait, int64_t now_ms)
{
    int64_t waited_ms = now_ms - wait->arrived_ms;
    bool late =
        (double)waited_ms > Fv_GIVE_UP_SHARE * (double)wait->timeout_ms;

    if (wait->with_leader || wait->in_doubt) {
        return late                ? Fv_FORWARDING_TIME_OUT
               : wait->with_leader ? Fv_FORWARDING_WAIT
                                   : Fv_FORWARDING_SEND;
    }
    return late || waited_ms > Fv_UNSENT_HOLD_MS ? Fv_FORWARDING_REJECT
                                                 : Fv_FORWARDING_SEND;
}
