/*
 * The time until which this host certainly led. A leader that the store does
 * not answer goes on with accepted work, although another host may lead by
 * then and renew the leases of workers that this one no longer reaches.
 */

#include "scheduler.h"

/**
 * FvSched_ConfirmLead - note a successful renewal of the leadership
 * @sched: the scheduler
 * @sent_ms: when the renewal was sent
 */
void
FvSched_ConfirmLead(fv_sched_t *sched, int64_t sent_ms)
{
    if (sent_ms > sched->lead_confirmed_ms) {
        sched->lead_confirmed_ms = sent_ms;
    }
}

/**
 * FvSched_LeadAgeMs - get how long ago this host certainly led
 * @sched: the scheduler
 * @now_ms: the time
 *
 * Return: the time since the latest successful renewal was sent; -1 when none
 * has succeeded yet.
 */
int64_t
FvSched_LeadAgeMs(const fv_sched_t *sched, int64_t now_ms)
{
    return sched->lead_confirmed_ms != 0 ? now_ms - sched->lead_confirmed_ms
                                         : -1;
}
