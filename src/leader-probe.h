/*
 * Finds out whether a leader whose link broke is dead.
 */

#ifndef LEADER_PROBE_H
#define LEADER_PROBE_H

#include "fireflyvalve.h"

#include <event2/event.h>

/* Hosts probed besides the leader's; one accepted connection shows that this
 * host is not cut off. */
#define Fv_PROBE_WITNESSES_MAX 3

typedef struct fv_leader_probe fv_leader_probe_t;

/* @dead is false when the leader may be alive. */
typedef void (*fv_leader_probe_done_t)(void *context, bool dead);

fv_leader_probe_t *
FvLeaderProbe_New(struct event_base *base, const char *leader,
                  const char *const *witnesses, uint32_t count,
                  fv_leader_probe_done_t done, void *context);
void FvLeaderProbe_Free(fv_leader_probe_t *probe);

#endif
