/*
 * State of a caller's request while it is forwarded to the leader.
 */

#ifndef FORWARDING_H
#define FORWARDING_H

#include "entry.h"
#include "retry-after.h"

typedef enum fv_forwarding_step {
    Fv_FORWARDING_WAIT,    /* the leader is processing it */
    Fv_FORWARDING_SEND,    /* to the leader, if one is known */
    Fv_FORWARDING_REJECT,  /* it was certainly not executed */
    Fv_FORWARDING_TIME_OUT /* outcome unknown: a leader may have accepted it */
} fv_forwarding_step_t;

typedef struct fv_forwarding {
    int64_t arrived_ms;
    int64_t timeout_ms;   /* how long the caller waits */
    bool awaiting_reply;  /* sent, and not answered yet */
    bool outcome_unknown; /* sent to an earlier leader that did not answer */
} fv_forwarding_t;

/* A time in which requests were refused without a leader's answer. */
typedef struct fv_outage {
    int64_t since_ms;  /* 0: none */
    int64_t latest_ms; /* refusal */
} fv_outage_t;

void FvOutage_Refused(fv_outage_t *outage, int64_t now_ms);
const char *FvOutage_RetryAfter(const fv_outage_t *outage, int64_t now_ms,
                                fv_retry_after_t *text);
void FvOutage_Answered(fv_outage_t *outage, fv_reply_t reply);
void FvForwarding_Sent(fv_forwarding_t *forwarding);
void FvForwarding_LeaderLost(fv_forwarding_t *forwarding);
void FvForwarding_NotExecuted(fv_forwarding_t *forwarding);
bool FvForwarding_MayHaveExecuted(const fv_forwarding_t *forwarding);
bool FvForwarding_AcceptsReply(fv_reply_t reply, bool current);
fv_forwarding_step_t FvForwarding_NextStep(const fv_forwarding_t *forwarding,
                                           int64_t now_ms);

#endif
