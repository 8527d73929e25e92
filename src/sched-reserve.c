/*
 * Room for waiting gangs. Without it, single tasks of less urgent stages fill
 * every gap that opens, and a gang that needs room for all its tasks at one
 * time waits as long as the cell is busy.
 */

#include "scheduler.h"

#include <stdlib.h>

/* Room that is set aside, as a multiple of what the gang needs: some of the
 * workers' tasks end later than others. */
#define Fv_RESERVE_SURPLUS 1.3

/* Most workers that may be reserved at one time. What is set aside idles, but
 * single tasks that wait for it have more slack than gangs: these make up half
 * of the work on the sheets and rank first (docs/measurements/platform.md). */
#define Fv_RESERVE_SHARE 0.7

typedef struct fv_claimed {
    fv_sched_worker_t *worker;
    bool cleared; /* other tasks were stopped there for the gang */
    int32_t fits_now;
    int32_t fits_empty;
} fv_claimed_t;

/**
 * FvSched_ClearReservations - forget the reservations of the last pass
 * @sched: the scheduler
 */
void
FvSched_ClearReservations(fv_sched_t *sched)
{
    sched->reserved_workers = 0;
    for (fv_sched_worker_t *worker = sched->workers; worker != NULL;
         worker = worker->hh.next) {
        worker->reserved_for = NULL;
    }
}

static int
by_room_now(const void *left, const void *right)
{
    const fv_claimed_t *a = left;
    const fv_claimed_t *b = right;

    if (a->cleared != b->cleared) {
        return a->cleared ? -1 : 1;
    }
    if (a->fits_now != b->fits_now) {
        return a->fits_now > b->fits_now ? -1 : 1;
    }
    if (a->worker->free_cpu_millis != b->worker->free_cpu_millis) {
        return a->worker->free_cpu_millis > b->worker->free_cpu_millis ? -1
                                                                       : 1;
    }
    return 0;
}

static bool
knows_all_workers(const fv_sched_t *sched, const fv_sched_stage_t *stage)
{
    return !stage->job->queue.needs_advice ||
           stage->verdict_count >= HASH_COUNT(sched->workers);
}

/**
 * FvSched_ReserveForGang - keep less urgent stages off the workers that a
 * waiting gang will need
 * @sched: the scheduler
 * @stage: the gang; nothing is reserved for other stages
 * @now_ms: the time
 */
void
FvSched_ReserveForGang(fv_sched_t *sched, fv_sched_stage_t *stage,
                       int64_t now_ms)
{
    double wanted = stage->step->task_count * Fv_RESERVE_SURPLUS;
    double reserved = 0.0;
    int64_t room = 0;
    fv_eligible_worker_t *options;
    fv_claimed_t *claimed;
    uint32_t count;

    if (!stage->step->gang || stage->waiting < stage->step->task_count ||
        sched->reserved_workers >=
            HASH_COUNT(sched->workers) * Fv_RESERVE_SHARE) {
        return;
    }
    options = FvSched_ListEligibleWorkers(sched, stage, Fv_ANY_TICKET, now_ms,
                                          &count);
    claimed = count > 0 ? calloc(count, sizeof(*claimed)) : NULL;
    if (claimed == NULL) {
        goto done;
    }
    for (uint32_t i = 0; i < count; i++) {
        fv_sched_worker_t *worker = options[i].worker;

        claimed[i] = (fv_claimed_t){
            .worker = worker,
            .cleared = worker->preempted_for == stage,
            .fits_now = FvSched_FreeTaskCapacity(worker, stage->step),
            .fits_empty = FvSched_TotalTaskCapacity(worker, stage->step)};
        room += claimed[i].fits_empty;
    }
    if (room < stage->step->task_count && knows_all_workers(sched, stage)) {
        goto done; /* the cell can't hold it */
    }
    qsort(claimed, count, sizeof(*claimed), by_room_now);
    for (uint32_t i = 0; i < count && reserved < wanted &&
                         sched->reserved_workers <
                             HASH_COUNT(sched->workers) * Fv_RESERVE_SHARE;
         i++) {
        sched->reserved_workers++;
        claimed[i].worker->reserved_for = stage;
        reserved += claimed[i].fits_empty;
    }
done:
    free(claimed);
    free(options);
}
