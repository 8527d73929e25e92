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
 * FvSched_LedAt - check whether this host certainly led at a time
 * @sched: the scheduler
 * @time_ms: the time
 *
 * What follows from silence up to a time, such as the end of a lease that was
 * not renewed, is certain only for the host that led until then: another
 * leader may have renewed it unheard.
 *
 * Return: true when a renewal of the leadership that was sent then or later
 * has succeeded.
 */
bool
FvSched_LedAt(const fv_sched_t *sched, int64_t time_ms)
{
    return sched->lead_confirmed_ms >= time_ms;
}

/**
 * FvSched_HasLeaseExpired - check whether the runs on a silent worker have
 * certainly ended
 * @sched: the scheduler
 * @worker: the worker
 *
 * Return: true when its lease has expired and no other leader can have renewed
 * it.
 */
bool
FvSched_HasLeaseExpired(const fv_sched_t *sched,
                        const fv_sched_worker_t *worker)
{
    return FvSched_LedAt(sched, worker->lease_expires_ms + 1);
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
