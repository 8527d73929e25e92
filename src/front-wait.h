/*
 * How long a caller's request waits for a leader, and what its caller can be
 * told about it.
 */

#ifndef FORWARDING_H
#define FORWARDING_H

#include "entry.h"

typedef enum fv_forwarding_step {
    Fv_FORWARDING_WAIT,    /* the leader has it */
    Fv_FORWARDING_SEND,    /* to the leader, if there is one */
    Fv_FORWARDING_REJECT,  /* it surely has not run */
    Fv_FORWARDING_TIME_OUT /* a leader may have accepted it */
} fv_forwarding_step_t;

typedef struct fv_forwarding {
    int64_t arrived_ms;
    int64_t timeout_ms; /* how long the caller waits for an answer */
    bool with_leader;   /* sent, and not answered */
    bool in_doubt;      /* an earlier leader had it and did not answer */
} fv_forwarding_t;

void FvForwarding_Sent(fv_forwarding_t *wait);
void FvForwarding_NotExecuted(fv_forwarding_t *wait);
bool FvForwarding_AcceptsReply(fv_reply_t reply, bool current);
fv_forwarding_step_t FvForwarding_NextStep(const fv_forwarding_t *wait,
                                           int64_t now_ms);

#endif
