/*
 * Leases of the runs on workers, by the clock of this host.
 */

#include "scheduler.h"

/* A worker's clock may run 2 % slow by the platform's protocol, and an order
 * may be in transit for a while. A lease counts as expired only after both. */
#define Fv_CLOCK_DRIFT_PERCENT 3
#define Fv_ORDER_TRANSIT_MS 250

/* A leader notices the restart of a worker within the longest wait for its
 * report. */
#define Fv_RESTART_NOTICED_MS 3000

/**
 * FvSched_WorstCaseMs - get the time until what an order starts has expired
 * @duration_ms: how long it lasts by the clock of another machine
 *
 * Return: the time from sending the order until it has expired on the slowest
 * clock.
 */
int64_t
FvSched_WorstCaseMs(int64_t duration_ms)
{
    return Fv_ORDER_TRANSIT_MS + duration_ms +
           duration_ms * Fv_CLOCK_DRIFT_PERCENT / 100;
}

/**
 * FvSched_WorstCaseLeaseMs - get the time after which an order certainly has
 * no effect any more
 * @sched: the scheduler
 *
 * Return: the time from sending an order until the lease that it requests has
 * expired on the slowest clock.
 */
int64_t
FvSched_WorstCaseLeaseMs(const fv_sched_t *sched)
{
    return FvSched_WorstCaseMs(sched->lease_ms);
}

/**
 * FvSched_LongestLeaseMs - get the time that the longest lease lasts
 * @sched: the scheduler
 *
 * Return: the time from carrying out an order with a deadline that is far
 * ahead until its lease has expired on the slowest clock.
 */
int64_t
FvSched_LongestLeaseMs(const fv_sched_t *sched)
{
    return FvSched_WorstCaseMs(sched->lease_max_ms);
}

/**
 * FvSched_OutlastEarlierLeases - allow for leases that earlier leaders have
 * granted, and for deadlines by the clock of an earlier incarnation of a
 * worker
 * @sched: the scheduler
 * @worker: the worker
 * @clock_ms: its clock, which started anew with the present incarnation
 * @now_ms: the time
 *
 * A deadline by an earlier clock is far ahead by the new one, and grants the
 * longest lease at the time at which its order is carried out. Orders of
 * earlier leaders are refused from now on.
 */
void
FvSched_OutlastEarlierLeases(const fv_sched_t *sched,
                             fv_sched_worker_t *worker, int64_t clock_ms,
                             int64_t now_ms)
{
    int64_t restarted_ms = now_ms - clock_ms;
    int64_t executed_by_ms =
        restarted_ms + Fv_RESTART_NOTICED_MS + Fv_ORDER_DELAY_MAX_MS;
    int64_t own_sent_ms = worker->deadline_sent_ms > restarted_ms
                              ? worker->deadline_sent_ms
                              : restarted_ms;
    int64_t end_ms;

    if (!worker->restarted && sched->run_base == 0) {
        return;
    }
    if (executed_by_ms > now_ms) {
        executed_by_ms = now_ms;
    }
    if (worker->restarted &&
        own_sent_ms + Fv_ORDER_DELAY_MAX_MS > executed_by_ms) {
        executed_by_ms = own_sent_ms + Fv_ORDER_DELAY_MAX_MS;
    }
    end_ms = executed_by_ms + FvSched_LongestLeaseMs(sched);
    if (end_ms > now_ms + FvSched_WorstCaseLeaseMs(sched)) {
        worker->long_lease_until_ms = end_ms;
        worker->long_lease_stored = false;
        worker->long_lease_in_write = false;
    }
    else {
        end_ms = now_ms + FvSched_WorstCaseLeaseMs(sched);
    }
    if (end_ms > worker->lease_expires_ms) {
        worker->lease_expires_ms = end_ms;
    }
}

/**
 * FvSched_LongLeaseLeftMs - get how long a worker may hold a lease that is
 * longer than the usual one
 * @worker: the worker
 * @now_ms: the time
 *
 * Return: the time; 0 when it certainly holds none.
 */
int64_t
FvSched_LongLeaseLeftMs(const fv_sched_worker_t *worker, int64_t now_ms)
{
    return worker->long_lease_until_ms > now_ms
               ? worker->long_lease_until_ms - now_ms
               : 0;
}

/**
 * FvSched_InheritLongLease - take over what the stored worker list tells of a
 * worker's lease
 * @worker: the worker, new to this leader
 * @left_ms: how long its lease may last
 * @now_ms: the time
 */
void
FvSched_InheritLongLease(fv_sched_worker_t *worker, int64_t left_ms,
                         int64_t now_ms)
{
    worker->long_lease_until_ms = now_ms + left_ms;
    worker->long_lease_stored = true;
    if (worker->lease_expires_ms < worker->long_lease_until_ms) {
        worker->lease_expires_ms = worker->long_lease_until_ms;
    }
}

/**
 * FvSched_ExtendLease - extend the lease that the next order or renewal
 * carries
 * @sched: the scheduler
 * @worker: the worker
 * @now_ms: the time
 *
 * An unresponsive worker gets no extension: any attempt may arrive, so that
 * its lease could never be taken as expired. Nor does one that the stored list
 * of unreached workers may have.
 *
 * Return: the end of the lease on the worker's clock; 0 for no extension.
 */
int64_t
FvSched_ExtendLease(const fv_sched_t *sched, fv_sched_worker_t *worker,
                    int64_t now_ms)
{
    int64_t expires_ms = now_ms + FvSched_WorstCaseLeaseMs(sched);

    if (!worker->clock_known || worker->suspect || worker->unreached) {
        return 0;
    }
    worker->deadline_sent_ms = now_ms;
    if (expires_ms > worker->lease_expires_ms) {
        worker->lease_expires_ms = expires_ms;
    }
    return worker->clock_ms + (now_ms - worker->clock_sampled_ms) +
           sched->lease_ms;
}

/**
 * FvSched_MayCarryOutOrders - check whether an order to a worker may still be
 * carried out
 * @worker: the worker, which is out of reach
 * @now_ms: the time
 *
 * Each start and renewal extends the lease. A worker that restarts takes a
 * deadline by its earlier clock for one that is far ahead.
 *
 * Return: true when what was sent to the worker must not be forgotten.
 */
bool
FvSched_MayCarryOutOrders(const fv_sched_worker_t *worker, int64_t now_ms)
{
    return worker->deadline_sent_ms != 0 &&
           now_ms < worker->deadline_sent_ms + Fv_ORDER_DELAY_MAX_MS;
}

static bool
knows_runs(const fv_sched_worker_t *worker, int64_t now_ms)
{
    return worker->synced && worker->inherited_stops_until_ms <= now_ms;
}

/**
 * FvSched_MayHaveUnknownRuns - check whether a worker may run what an earlier
 * leader has started and this one does not know of
 * @sched: the scheduler
 * @worker: the worker
 * @now_ms: the time
 *
 * Return: false from the report on that tells of all runs, or when the leases
 * of earlier leaders have expired.
 */
bool
FvSched_MayHaveUnknownRuns(const fv_sched_t *sched,
                           const fv_sched_worker_t *worker, int64_t now_ms)
{
    return worker->in_worker_list && !knows_runs(worker, now_ms) &&
           !(worker->inherited_expired &&
             FvSched_HasLeaseExpired(sched, worker));
}

/**
 * FvSched_KnowsInheritedRuns - check whether all runs of earlier leaders are
 * known or have ended
 * @sched: the scheduler
 * @leases_expired: whether the leases that earlier leaders granted have
 * expired
 * @now_ms: the time
 *
 * This leader extends leases from a worker's first report on, which may not
 * list all ends.
 *
 * Return: true when a task of which no run is known certainly has none.
 */
bool
FvSched_KnowsInheritedRuns(const fv_sched_t *sched, bool leases_expired,
                           int64_t now_ms)
{
    for (const fv_sched_worker_t *worker = sched->workers; worker != NULL;
         worker = worker->hh.next) {
        bool expired = (leases_expired || worker->inherited_expired) &&
                       FvSched_HasLeaseExpired(sched, worker);

        if (worker->in_worker_list && !knows_runs(worker, now_ms) &&
            !expired) {
            return false;
        }
    }
    return true;
}
