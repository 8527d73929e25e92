/*
 * One pass of the scheduler: the stages with waiting tasks, in order of
 * urgency.
 */

#include "scheduler.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Stages of which the objective is missed come after all others: the late
 * credit is a fifth, and three times the objective still counts as late. */
#define Fv_LATE_PENALTY 1000

/* Any number but 0; the same one, so that a test decides the same each time.
 */
#define Fv_RANDOM_SEED UINT64_C(88172645463325252)

/* A gang of which some members still are on workers after this is logged. */
#define Fv_GANG_INCOMPLETE_MS 5000

/**
 * FvSched_Init - make an empty scheduler
 * @sched: the scheduler
 * @ops: its effects
 * @times: times that the deployment sets
 */
void
FvSched_Init(fv_sched_t *sched, const fv_sched_ops_t *ops,
             const fv_sched_timeouts_t *times)
{
    *sched = (fv_sched_t){
        .ops = ops,
        .lease_ms = times->lease_ms,
        .stop_max_ms = times->stop_max_ms,
        .gang_refill_ms = times->gang_refill_ms,
        .random = Fv_RANDOM_SEED,
    };
}

/**
 * FvSched_Clear - forget all jobs and workers
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
}

/**
 * FvSched_Random - a number for spreading load; not for secrets
 * @sched: the scheduler
 *
 * Return: the number (xorshift).
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
    int32_t rank;
} fv_ranked_t;

static int
by_urgency(const void *left, const void *right)
{
    const fv_ranked_t *a = left;
    const fv_ranked_t *b = right;

    if (a->rank != b->rank) {
        return a->rank < b->rank ? -1 : 1;
    }
    if (a->stage->target_start_ms != b->stage->target_start_ms) {
        return a->stage->target_start_ms < b->stage->target_start_ms ? -1 : 1;
    }
    return 0;
}

static bool
needs_placing(const fv_sched_stage_t *stage)
{
    return stage->waiting > 0 && !stage->job->cancelled &&
           stage->job->outcome == Fv_SCHED_JOB_OPEN;
}

/* Drops the stages that have nothing left to place. */
static uint32_t
count_pending(fv_sched_t *sched)
{
    fv_sched_stage_t **link = &sched->pending;
    uint32_t count = 0;

    while (*link != NULL) {
        fv_sched_stage_t *stage = *link;

        if (needs_placing(stage)) {
            count++;
            link = &stage->pending_next;
        }
        else {
            *link = stage->pending_next;
            stage->pending = false;
        }
    }
    return count;
}

static void
rank_stages(fv_sched_t *sched, fv_ranked_t *ranked, int64_t now_ms)
{
    uint32_t i = 0;

    for (fv_sched_stage_t *stage = sched->pending; stage != NULL;
         stage = stage->pending_next) {
        bool late;

        FvSched_UpdateStartTargets(sched, stage);
        late = stage->late_after_ms < now_ms && !stage->step->long_running;

        ranked[i++] = (fv_ranked_t){
            .stage = stage,
            .rank = stage->job->queue.priority + (late ? Fv_LATE_PENALTY : 0),
        };
    }
}

static void
release_due(fv_sched_t *sched, int64_t now_ms, int64_t wall_ms)
{
    for (fv_sched_job_t *job = sched->jobs; job != NULL; job = job->hh.next) {
        if (job->spec.repeat_count > 0) {
            FvSched_ReleaseStages(sched, job, now_ms, wall_ms);
        }
    }
}

/* Stops a gang of which members are missing before the others give up. */
static void
give_up_gang(fv_sched_t *sched, fv_sched_stage_t *stage, int64_t now_ms)
{
    /* A new leader first has to hear of all members. */
    if (stage->step->gang && !stage->gang_broken &&
        !sched->hold_inherited_tasks &&
        stage->waiting < stage->step->task_count &&
        !FvSched_MayRefillGang(sched, stage, now_ms)) {
        FvSched_StopGang(sched, stage, now_ms);
    }
}

/**
 * FvSched_RunPass - place what waits
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
    release_due(sched, now_ms, wall_ms);
    count = count_pending(sched);
    if (count == 0) {
        return;
    }
    ranked = calloc(count, sizeof(*ranked));
    if (ranked == NULL) {
        return;
    }
    FvMetrics_Add(Fv_COUNTER_DECISIONS, count);
    FvSched_ClearReservations(sched);
    sched->refused_ask_cost_us = INT64_MAX;
    rank_stages(sched, ranked, now_ms);
    qsort(ranked, count, sizeof(*ranked), by_urgency);
    for (uint32_t i = 0; i < count; i++) {
        fv_sched_stage_t *stage = ranked[i].stage;

        if (stage->job->durable) {
            FvSched_PlaceStage(sched, stage, now_ms);
        }
        if (stage->waiting > 0) {
            give_up_gang(sched, stage, now_ms);
            FvSched_AskAdvice(sched, stage, now_ms);
            if (ranked[i].rank < Fv_LATE_PENALTY) {
                FvSched_PreemptForGang(sched, stage, now_ms);
                FvSched_ReserveForGang(sched, stage, now_ms);
            }
        }
    }
    free(ranked);
}

/**
 * FvSched_GetLoad - what the cell holds and what waits
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
            worker->entry.cpu_millis - worker->free_cpu_millis;
        load->memory_mib += worker->entry.memory_mib;
        load->used_memory_mib +=
            worker->entry.memory_mib - worker->free_memory_mib;
    }
    for (const fv_sched_stage_t *stage = sched->pending; stage != NULL;
         stage = stage->pending_next) {
        if (needs_placing(stage)) {
            load->stages_waiting++;
            load->stages_late += stage->late_after_ms < now_ms;
            load->tasks_waiting += (uint32_t)stage->waiting;
        }
    }
}

/**
 * FvSched_LogIncompleteGangs - name what keeps waiting gangs from a new run
 * @sched: the scheduler
 * @now_ms: the time
 */
void
FvSched_LogIncompleteGangs(const fv_sched_t *sched, int64_t now_ms)
{
    for (const fv_sched_stage_t *stage = sched->pending; stage != NULL;
         stage = stage->pending_next) {
        if (!stage->step->gang || !needs_placing(stage) ||
            now_ms - stage->gang_start_ms < Fv_GANG_INCOMPLETE_MS) {
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
