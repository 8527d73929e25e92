/*
 * Reservations for waiting gangs. Without them, single tasks of less urgent
 * stages take all capacity that becomes free, and a gang that needs capacity
 * for all its tasks at one time starves while the cell is busy.
 */

#include "scheduler.h"

#include <stdlib.h>

/* Reserved capacity as a multiple of the gang's size, since some tasks on the
 * reserved workers end later than others. */
#define Fv_RESERVE_SURPLUS 1.3

/* Share of the workers that may be reserved at one time. Reserved capacity
 * idles, but the single tasks that wait for it have more slack than gangs,
 * which make up half of the work on the platform and rank first
 * (docs/measurements/platform.md). */
#define Fv_RESERVE_SHARE 0.7

typedef struct fv_reserve_candidate {
    fv_sched_worker_t *worker;
    bool preempted;     /* tasks were stopped there for the gang */
    int32_t preference; /* by speed */
    int32_t free_capacity;
    int32_t total_capacity;
} fv_reserve_candidate_t;

/**
 * FvSched_ClearReservations - drop the reservations of the last pass
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
by_free_capacity(const void *left, const void *right)
{
    const fv_reserve_candidate_t *a = left;
    const fv_reserve_candidate_t *b = right;

    if (a->preempted != b->preempted) {
        return a->preempted ? -1 : 1;
    }
    if (a->preference != b->preference) {
        return a->preference > b->preference ? -1 : 1;
    }
    if (a->free_capacity != b->free_capacity) {
        return a->free_capacity > b->free_capacity ? -1 : 1;
    }
    if (a->worker->free.cpu_millis != b->worker->free.cpu_millis) {
        return a->worker->free.cpu_millis > b->worker->free.cpu_millis ? -1
                                                                       : 1;
    }
    return 0;
}

static bool
has_all_verdicts(const fv_sched_t *sched, const fv_sched_stage_t *stage)
{
    return !stage->job->queue.needs_advice ||
           stage->verdict_count >= HASH_COUNT(sched->workers);
}

/**
 * FvSched_ReserveForGang - reserve workers for a waiting gang
 * @sched: the scheduler
 * @stage: the stage; ignored when it is not a gang
 * @now_ms: the time
 */
void
FvSched_ReserveForGang(fv_sched_t *sched, fv_sched_stage_t *stage,
                       int64_t now_ms)
{
    double wanted = stage->step->task_count * Fv_RESERVE_SURPLUS;
    double reserved = 0.0;
    int64_t capacity = 0;
    fv_eligible_worker_t *eligible;
    fv_reserve_candidate_t *candidates;
    fv_speed_match_t match;
    uint32_t count;

    if (!stage->step->gang || stage->waiting < stage->step->task_count ||
        sched->reserved_workers >=
            HASH_COUNT(sched->workers) * Fv_RESERVE_SHARE) {
        return;
    }
    eligible = FvSched_ListEligibleWorkers(sched, stage, Fv_ANY_TICKET, now_ms,
                                           &count);
    candidates = count > 0 ? calloc(count, sizeof(*candidates)) : NULL;
    if (candidates == NULL) {
        goto done;
    }
    match = FvSched_MatchSpeed(sched, stage, now_ms);
    for (uint32_t i = 0; i < count; i++) {
        fv_sched_worker_t *worker = eligible[i].worker;

        candidates[i] = (fv_reserve_candidate_t){
            .worker = worker,
            .preempted = worker->preempted_for == stage,
            .preference = FvSched_SpeedPreference(&match, worker),
            .free_capacity = FvSched_FreeStageCapacity(worker, stage),
            .total_capacity = FvSched_EventualStageCapacity(worker, stage)};
        capacity += candidates[i].total_capacity;
    }
    if (capacity < stage->step->task_count && has_all_verdicts(sched, stage)) {
        goto done; /* the cell is too small for the gang */
    }
    qsort(candidates, count, sizeof(*candidates), by_free_capacity);
    for (uint32_t i = 0; i < count && reserved < wanted &&
                         sched->reserved_workers <
                             HASH_COUNT(sched->workers) * Fv_RESERVE_SHARE;
         i++) {
        sched->reserved_workers++;
        candidates[i].worker->reserved_for = stage;
        reserved += candidates[i].total_capacity;
    }
done:
    free(candidates);
    free(eligible);
}
