/*
 * The end of an entry host's process after SIGTERM.
 */

#ifndef ENTRY_DRAIN_H
#define ENTRY_DRAIN_H

#include "entry-hosts.h"

typedef enum fv_drain_step {
    Fv_DRAIN_SERVE,  /* the balancer may still send connections */
    Fv_DRAIN_FINISH, /* accept none, and serve those that are open */
    Fv_DRAIN_ANSWER, /* answer what is open, and refuse what comes */
    Fv_DRAIN_END
} fv_drain_step_t;

fv_drain_step_t FvEntryDrain_NextStep(int32_t drain_ms, int64_t draining_ms,
                                      bool finished);
void FvEntryDrain_Start(fv_entry_t *entry, int signal);
void FvEntryDrain_Check(fv_entry_t *entry);

#endif
