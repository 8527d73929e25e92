/*
 * How long a caller's request waits for a leader, and what its caller can be
 * told about it.
 */

#ifndef FRONT_WAIT_H
#define FRONT_WAIT_H

#include "entry.h"

typedef enum fv_front_step {
    Fv_FRONT_KEEP,   /* the leader has it */
    Fv_FRONT_OFFER,  /* to the leader, if there is one */
    Fv_FRONT_REFUSE, /* it surely has not run */
    Fv_FRONT_GIVE_UP /* a leader may have accepted it */
} fv_front_step_t;

typedef struct fv_front_wait {
    int64_t arrived_ms;
    int64_t given_ms; /* how long the caller waits for an answer */
    bool with_leader; /* sent, and not answered */
    bool in_doubt;    /* an earlier leader had it and did not answer */
} fv_front_wait_t;

void FvFrontWait_Sent(fv_front_wait_t *wait);
void FvFrontWait_NothingDone(fv_front_wait_t *wait);
bool FvFrontWait_Believes(fv_reply_t reply, bool current);
fv_front_step_t FvFrontWait_Step(const fv_front_wait_t *wait, int64_t now_ms);

#endif
