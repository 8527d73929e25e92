/*
 * The scheduling pass, which goes through the stages with waiting tasks in
 * order of urgency.
 */

#include "scheduler.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Must not be 0 for xorshift; fixed so that tests are deterministic. */
#define Fv_RANDOM_SEED UINT64_C(88172645463325252)

/* A stage that could neither use advice nor make room by preemption is looked
 * at again after a time that grows with the work of doing so for all stages:
 * 1 ms for each 3,000 pairs of a waiting stage and a worker, which take about
 * as long. */
#define Fv_RESCAN_PAIRS_PER_MS 3000
#define Fv_RESCAN_MAX_MS 50

/* A gang with missing members is logged this long after its start. */
#define Fv_GANG_INCOMPLETE_LOG_MS 5000

/**
 * FvSched_Init - initialise a scheduler without jobs and workers
 * @sched: the scheduler
 * @ops: callbacks that carry out decisions
 * @timeouts: timeouts of the deployment
 */
void
FvSched_Init(fv_sched_t *sched, const fv_sched_ops_t *ops,
             const fv_sched_timeouts_t *timeouts)
{
    *sched = (fv_sched_t){
        .ops = ops,
        .lease_ms = timeouts->lease_ms,
        .lease_max_ms = timeouts->lease_max_ms,
        .stop_max_ms = timeouts->stop_max_ms,
        .gang_refill_ms = timeouts->gang_refill_ms,
        .random = Fv_RANDOM_SEED,
        .speeds = {.learning = true},
    };
}

/**
 * FvSched_Clear - remove and free all jobs and workers
 * @sched: the scheduler
 */
void
FvSched_Clear(fv_sched_t *sched)
{
    while (sched->jobs != NULL) {
        FvSched_RemoveJob(sched, sched->jobs);
    }
    while (sched->workers != NULL) {
        FvSched_FreeWorker(sched, sched->workers);
    }
    sched->pending = NULL;
    FvSched_ClearCustomers(sched);
    free((void *)sched->reserving);
    sched->reserving = NULL;
    sched->reserving_capacity = 0;
}

/**
 * FvSched_Random - draw a pseudorandom number (xorshift) to spread load
 * @sched: the scheduler
 *
 * Return: the number, which is not fit for secrets.
 */
uint32_t
FvSched_Random(fv_sched_t *sched)
{
    sched->random ^= sched->random << 13;
    sched->random ^= sched->random >> 7;
    sched->random ^= sched->random << 17;
    return (uint32_t)(sched->random >> 16);
}

typedef struct fv_ranked {
    fv_sched_stage_t *stage;
    fv_rank_t rank;
} fv_ranked_t;

static int
by_urgency(const void *left, const void *right)
{
    const fv_ranked_t *a = left;
    const fv_ranked_t *b = right;

    return FvRank_Compare(&a->rank, &b->rank);
}

static bool
needs_placement(const fv_sched_stage_t *stage)
{
    return stage->waiting > 0 && !stage->job->cancelled &&
           stage->job->outcome == Fv_SCHED_JOB_OPEN;
}

/* Drops the stages without tasks to place and returns the number of others. */
static uint32_t
prune_pending(fv_sched_t *sched)
{
    fv_sched_stage_t *next;
    uint32_t count = 0;

    for (fv_sched_stage_t *stage = sched->pending; stage != NULL;
         stage = next) {
        next = stage->pending_next;
        if (needs_placement(stage)) {
            count++;
            continue;
        }
        FvSched_UnmarkPending(sched, stage);
        stage->waiting_since_ms = 0;
        stage->wait_logged = false;
    }
    return count;
}

static void
rank_stages(fv_sched_t *sched, fv_ranked_t *ranked, int64_t now_ms)
{
    uint32_t i = 0;

    for (fv_sched_stage_t *stage = sched->pending; stage != NULL;
         stage = stage->pending_next) {
        if (stage->waiting_since_ms == 0) {
            stage->waiting_since_ms = now_ms;
        }
        FvSched_UpdateStartTargets(sched, stage);
        stage->ranked_ms = now_ms;
        ranked[i] = (fv_ranked_t){
            .stage = stage, .rank = FvSched_RankStage(sched, stage, now_ms)};
        if (ranked[i].rank.group == Fv_RANK_ON_TIME) {
            FvSched_AddBacklog(sched, stage);
        }
        i++;
    }
}

static void
release_due_occurrences(fv_sched_t *sched, int64_t now_ms, int64_t wall_ms)
{
    for (fv_sched_job_t *job = sched->jobs; job != NULL; job = job->hh.next) {
        if (job->spec.repeat_count > 0) {
            FvSched_ReleaseStages(sched, job, now_ms, wall_ms);
        }
    }
}

/* Stops a gang with missing members before the others time out. */
static void
stop_incomplete_gang(fv_sched_t *sched, fv_sched_stage_t *stage,
                     int64_t now_ms)
{
    /* A new leader first needs the reports of all members' workers. */
    if (stage->step->gang && !stage->gang_broken &&
        !sched->hold_inherited_tasks &&
        stage->waiting < stage->step->task_count &&
        !FvSched_MayRefillGang(sched, stage, now_ms)) {
        FvSched_StopGang(sched, stage, now_ms);
    }
}

/**
 * FvSched_RunPass - place waiting tasks, request advice, and preempt and
 * reserve for gangs
 * @sched: the scheduler
 * @now_ms: the time
 * @wall_ms: the wall clock
 */
void
FvSched_RunPass(fv_sched_t *sched, int64_t now_ms, int64_t wall_ms)
{
    fv_ranked_t *ranked;
    uint32_t count;

    sched->dirty = false;
    FvSched_ClearBacklogs(sched);
    FvSched_UpdateSpeeds(sched, now_ms);
    release_due_occurrences(sched, now_ms, wall_ms);
    count = prune_pending(sched);
    if (count == 0) {
        return;
    }
    ranked = calloc(count, sizeof(*ranked));
    if (ranked == NULL) {
        return;
    }
    FvMetrics_Add(Fv_COUNTER_DECISIONS, count);
    FvSched_ClearReservations(sched);
    sched->refused_advice_cost_us = INT64_MAX;
    sched->rescan_ms =
        (int64_t)count * HASH_COUNT(sched->workers) / Fv_RESCAN_PAIRS_PER_MS;
    if (sched->rescan_ms > Fv_RESCAN_MAX_MS) {
        sched->rescan_ms = Fv_RESCAN_MAX_MS;
    }
    FvSched_BeginCustomerPass(sched, now_ms);
    rank_stages(sched, ranked, now_ms);
    qsort(ranked, count, sizeof(*ranked), by_urgency);
    for (uint32_t i = 0; i < count; i++) {
        fv_sched_stage_t *stage = ranked[i].stage;

        if (!stage->step->gang && sched->reserved_slots > 0 &&
            now_ms >= sched->next_backfill_plan_ms) {
            FvSched_PlanBackfill(sched, now_ms);
        }
        if (stage->job->durable && !FvSched_IsHeldByCap(stage)) {
            FvSched_PlaceStage(sched, stage, now_ms);
        }
        if (stage->waiting > 0) {
            stop_incomplete_gang(sched, stage, now_ms);
            if (FvSched_IsHeldByCap(stage)) {
                FvSched_NoteHeldByCap(stage,
                                      ranked[i].rank.group == Fv_RANK_ON_TIME);
                continue;
            }
            FvSched_RequestAdvice(sched, stage, now_ms);
            if (ranked[i].rank.group == Fv_RANK_ON_TIME) {
                FvSched_PreemptForGang(sched, stage, now_ms);
                FvSched_ReserveForGang(sched, stage, now_ms);
            }
        }
    }
    free(ranked);
}

/**
 * FvSched_GetLoad - get the used and total capacity and the waiting work
 * @sched: the scheduler
 * @now_ms: the time
 * @load: filled in
 */
void
FvSched_GetLoad(const fv_sched_t *sched, int64_t now_ms, fv_sched_load_t *load)
{
    *load = (fv_sched_load_t){.workers = HASH_COUNT(sched->workers)};
    for (const fv_sched_worker_t *worker = sched->workers; worker != NULL;
         worker = worker->hh.next) {
        if (!worker->listed || !worker->synced || worker->suspect ||
            worker->draining) {
            continue;
        }
        load->usable++;
        load->cpu_millis += worker->entry.cpu_millis;
        load->used_cpu_millis +=
            worker->entry.cpu_millis - worker->free.cpu_millis;
        load->memory_mib += worker->entry.memory_mib;
        load->used_memory_mib +=
            worker->entry.memory_mib - worker->free.memory_mib;
    }
    for (const fv_sched_stage_t *stage = sched->pending; stage != NULL;
         stage = stage->pending_next) {
        if (needs_placement(stage)) {
            load->stages_waiting++;
            load->stages_late += stage->late_after_ms < now_ms;
            load->tasks_waiting += (uint32_t)stage->waiting;
        }
    }
}

/**
 * FvSched_LogIncompleteGangs - log a member that keeps a waiting gang from its
 * next run, for each such gang
 * @sched: the scheduler
 * @now_ms: the time
 */
void
FvSched_LogIncompleteGangs(const fv_sched_t *sched, int64_t now_ms)
{
    for (const fv_sched_stage_t *stage = sched->pending; stage != NULL;
         stage = stage->pending_next) {
        if (!stage->step->gang || !needs_placement(stage) ||
            now_ms - stage->gang_start_ms < Fv_GANG_INCOMPLETE_LOG_MS) {
            continue;
        }
        for (int32_t i = 0; i < stage->step->task_count; i++) {
            const fv_sched_task_t *task = &stage->tasks[i];

            if (task->worker == NULL) {
                continue;
            }
            FvLog_Event(
                Fv_LOG_WARN, "gang_incomplete",
                "job=%s stage=%u task=%d state=%d run=%d worker=%s "
                "in_doubt=%d suspect=%d confirmed_ms_ago=%" PRId64
                " stop_ms_ago=%" PRId64 " report_ms_ago=%" PRId64,
                stage->job->id, stage->step_index, i, (int)task->state,
                task->run, task->worker->entry.id,
                task->start_unconfirmed ? 1 : 0, task->worker->suspect ? 1 : 0,
                now_ms - task->start_confirmed_ms, now_ms - task->stop_sent_ms,
                now_ms - task->worker->last_contact_ms);
            break;
        }
    }
}
