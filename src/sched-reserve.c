/*
 * Reservations for waiting gangs. Without them, single tasks of less urgent
 * stages take all capacity that becomes free, and a gang that needs capacity
 * for all its tasks at one time starves while the cell is busy.
 */

#include "scheduler.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Reserved capacity as a multiple of the gang's size, since some tasks on the
 * reserved workers end later than others. */
#define Fv_RESERVE_SURPLUS 1.3

/* Share of the workers that may be reserved at one time. Reserved capacity
 * idles, but the single tasks that wait for it have more slack than gangs,
 * which make up half of the work on the platform and rank first
 * (docs/measurements/platform.md). */
#define Fv_RESERVE_SHARE 0.7

/* A reservation is of no use while the reserved workers have nothing left to
 * wait for, or while less than this share of the service is in use: what keeps
 * the gang from starting is not load then. It is withheld after this time, so
 * that single tasks wait for less than half of the 3 s that the platform
 * allows beside free capacity, and made again after the pause. */
#define Fv_RESERVE_CROWDED_SHARE 0.5
#define Fv_RESERVE_IDLE_MAX_MS 1500
#define Fv_RESERVE_PAUSE_MS 3000

/* Entries that an outage of the store removed are back within about 2.4 s; a
 * worker that has left for longer does not count for a gang. */
#define Fv_RESERVE_UNLISTED_MS 5000

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
    sched->reserved_slots = 0;
    sched->reserving_count = 0;
    sched->crowded_service[0] = '\0';
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

/* Room for members of a gang on a worker, also if it is out of reach for a
 * moment. */
static int64_t
possible_on_worker(const fv_sched_worker_t *worker,
                   const fv_sched_stage_t *stage, int64_t now_ms)
{
    bool stays = !worker->draining &&
                 (worker->listed ||
                  now_ms - worker->unlisted_ms < Fv_RESERVE_UNLISTED_MS);

    return stays && FvSched_IsWorkerSuitable(worker, stage)
               ? FvSched_EventualStageCapacity(worker, stage)
               : 0;
}

/* The same on all workers that the advice service has not refused. */
static int64_t
possible_capacity(const fv_sched_t *sched, const fv_sched_stage_t *stage,
                  int64_t now_ms)
{
    int64_t capacity = 0;

    for (const fv_sched_worker_t *worker = sched->workers; worker != NULL;
         worker = worker->hh.next) {
        capacity += possible_on_worker(worker, stage, now_ms);
    }
    for (uint32_t i = 0; i < stage->verdict_count; i++) {
        if (!stage->verdicts[i].allowed) {
            capacity -=
                possible_on_worker(stage->verdicts[i].worker, stage, now_ms);
        }
    }
    return capacity;
}

/* Whether most of a service is in use; kept for the pass. */
static bool
is_crowded(fv_sched_t *sched, const char *service)
{
    fv_sched_resources_t all = {0};
    fv_sched_resources_t unused = {0};

    if (strcmp(sched->crowded_service, service) == 0) {
        return sched->crowded;
    }
    for (const fv_sched_worker_t *worker = sched->workers; worker != NULL;
         worker = worker->hh.next) {
        if (worker->listed && strcmp(worker->entry.service, service) == 0) {
            all.cpu_millis += worker->entry.cpu_millis;
            all.memory_mib += worker->entry.memory_mib;
            unused.cpu_millis += worker->free.cpu_millis;
            unused.memory_mib += worker->free.memory_mib;
        }
    }
    FvText_Copy(sched->crowded_service, sizeof(sched->crowded_service),
                service);
    sched->crowded =
        (double)unused.cpu_millis <
            (double)all.cpu_millis * (1.0 - Fv_RESERVE_CROWDED_SHARE) ||
        (double)unused.memory_mib <
            (double)all.memory_mib * (1.0 - Fv_RESERVE_CROWDED_SHARE);
    return sched->crowded;
}

/* Notes whether a reservation is of use, and withholds it for a while if it
 * has not been for too long. */
static bool
pause_if_idle(fv_sched_stage_t *stage, bool idle, uint32_t workers,
              int64_t now_ms)
{
    char name[Fv_RUN_TASK_ID_SIZE];

    if (!idle) {
        stage->reserve_idle_since_ms = 0;
        return false;
    }
    if (stage->reserve_idle_since_ms == 0) {
        stage->reserve_idle_since_ms = now_ms;
    }
    if (now_ms - stage->reserve_idle_since_ms < Fv_RESERVE_IDLE_MAX_MS) {
        return false;
    }
    stage->reserve_idle_since_ms = 0;
    stage->reserve_paused_until_ms = now_ms + Fv_RESERVE_PAUSE_MS;
    FvMetrics_Add(Fv_COUNTER_RESERVATIONS_PAUSED, 1);
    FvSched_StageName(stage, name, sizeof(name));
    FvLog_Event(Fv_LOG_INFO, "reservation_paused",
                "stage=%s workers=%u pause_ms=%d waited_ms=%" PRId64, name,
                workers, Fv_RESERVE_PAUSE_MS,
                now_ms - stage->job->received_ms);
    return true;
}

static bool
add_reserving(fv_sched_t *sched, fv_sched_stage_t *stage)
{
    if (sched->reserving_count == sched->reserving_capacity) {
        uint32_t capacity = 2 * sched->reserving_capacity + 16;
        fv_sched_stage_t **reserving = realloc(
            (void *)sched->reserving, capacity * sizeof(fv_sched_stage_t *));

        if (reserving == NULL) {
            return false;
        }
        sched->reserving = reserving;
        sched->reserving_capacity = capacity;
    }
    sched->reserving[sched->reserving_count++] = stage;
    return true;
}

/* Returns how many of the candidates, which get sorted, to reserve. @has_room
 * is set when the gang would fit there now. */
static uint32_t
choose_best(const fv_sched_t *sched, const fv_sched_stage_t *stage,
            fv_reserve_candidate_t *candidates, uint32_t count, bool *has_room)
{
    double reserved_max = HASH_COUNT(sched->workers) * Fv_RESERVE_SHARE;
    double wanted = stage->step->task_count * Fv_RESERVE_SURPLUS;
    int64_t total = 0;
    int64_t unused = 0;
    uint32_t chosen = 0;

    qsort(candidates, count, sizeof(*candidates), by_free_capacity);
    while (chosen < count && (double)total < wanted &&
           sched->reserved_workers + chosen < reserved_max) {
        total += candidates[chosen].total_capacity;
        unused += candidates[chosen].free_capacity;
        chosen++;
    }
    *has_room = unused >= total || unused >= stage->step->task_count;
    return chosen;
}

static void
reserve(fv_sched_t *sched, fv_sched_stage_t *stage,
        const fv_reserve_candidate_t *candidates, uint32_t count)
{
    if (!add_reserving(sched, stage)) {
        return;
    }
    for (uint32_t i = 0; i < count; i++) {
        candidates[i].worker->reserved_for = stage;
        FvSched_CheckBackfill(candidates[i].worker, stage);
        sched->reserved_slots += (uint32_t)candidates[i].total_capacity;
    }
    sched->reserved_workers += count;
}

/**
 * FvSched_ReserveForGang - reserve workers for a waiting gang
 * @sched: the scheduler
 * @stage: the stage; ignored when it is not a gang
 * @now_ms: the time
 *
 * A reservation ends when the gang starts, when it can no longer meet its
 * objective, or as soon as the workers that may run it could not hold it even
 * if nothing else ran there. One that is of no use for
 * Fv_RESERVE_IDLE_MAX_MS pauses.
 */
void
FvSched_ReserveForGang(fv_sched_t *sched, fv_sched_stage_t *stage,
                       int64_t now_ms)
{
    int64_t capacity = 0;
    fv_eligible_worker_t *eligible;
    fv_reserve_candidate_t *candidates;
    fv_speed_match_t match;
    uint32_t count;
    uint32_t chosen;
    bool has_room;

    if (!stage->step->gang || stage->waiting < stage->step->task_count ||
        now_ms < stage->reserve_paused_until_ms ||
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
    if (capacity < stage->step->task_count &&
        possible_capacity(sched, stage, now_ms) < stage->step->task_count) {
        goto done; /* the cell is too small for the gang */
    }
    if (stage->reserved_since_ms == 0) {
        stage->reserved_since_ms = now_ms;
    }
    chosen = choose_best(sched, stage, candidates, count, &has_room);
    if (!pause_if_idle(
            stage, has_room || !is_crowded(sched, stage->job->queue.service),
            chosen, now_ms)) {
        reserve(sched, stage, candidates, chosen);
    }
done:
    free(candidates);
    free(eligible);
}
