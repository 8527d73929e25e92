/*
 * Preemption for a waiting gang. Tasks of less urgent queues that save a
 * checkpoint when stopped are stopped for it and resume elsewhere. Capacity
 * that is only reserved would idle until the last of them ends.
 */

#include "scheduler.h"

#include <inttypes.h>
#include <stdlib.h>

/* Minimum run time before a preemption: several times what a task takes to
 * restore its checkpoint, which is 100 to 600 ms on the platform. */
#define Fv_PREEMPT_MIN_RUN_MS 1500

/* Bounds the preemptions of one task, which might never end otherwise. */
#define Fv_PREEMPTIONS_MAX 3

/* A task with this progress ends sooner than its preemption would pay off. */
#define Fv_NEARLY_DONE_PERCENT 85

/* Time for the stop orders, the reports and the gang's start, in addition to
 * the stops. The gang's tickets have to be valid until then. */
#define Fv_PREEMPT_SLACK_MS 400

typedef struct fv_preemption_plan {
    fv_sched_worker_t *worker;
    int32_t capacity;        /* for tasks of the gang, after the stops */
    int32_t gained_capacity; /* the part of it that the stops free */
    int32_t stop_count;      /* tasks to stop */
} fv_preemption_plan_t;

static bool
is_preemptible(const fv_sched_task_t *task, const fv_sched_stage_t *gang,
               int64_t now_ms)
{
    const fv_sched_stage_t *stage = task->stage;

    return task->state == Fv_SCHED_RUNNING && stage->step->checkpoints &&
           !stage->step->gang && !stage->step->long_running &&
           stage->job->queue.priority > gang->job->queue.priority &&
           stage->job->outcome == Fv_SCHED_JOB_OPEN &&
           !task->start_unconfirmed && now_ms < stage->target_start_ms &&
           task->preemptions < Fv_PREEMPTIONS_MAX &&
           task->percent < Fv_NEARLY_DONE_PERCENT &&
           now_ms - task->start_sent_ms >= Fv_PREEMPT_MIN_RUN_MS;
}

/**
 * FvSched_TaskCapacityAfterPreemption - count the tasks of a gang that a
 * worker could hold if its preemptible tasks were stopped
 * @worker: the worker
 * @gang: the gang
 * @now_ms: the time
 *
 * Return: the number of tasks.
 */
int32_t
FvSched_TaskCapacityAfterPreemption(const fv_sched_worker_t *worker,
                                    const fv_sched_stage_t *gang,
                                    int64_t now_ms)
{
    fv_sched_resources_t resources = worker->free;

    for (const fv_sched_task_t *task = worker->tasks; task != NULL;
         task = task->worker_next) {
        if (is_preemptible(task, gang, now_ms)) {
            FvSched_AddTaskResources(&resources, task->stage->step, 1);
        }
    }
    return FvSched_StageCapacity(worker, gang, &resources);
}

/* Returns the preemptible task that follows @previous in descending order of
 * CPU. */
static fv_sched_task_t *
next_victim(const fv_sched_worker_t *worker, const fv_sched_stage_t *gang,
            const fv_sched_task_t *previous, int64_t now_ms)
{
    fv_sched_task_t *best = NULL;

    for (fv_sched_task_t *task = worker->tasks; task != NULL;
         task = task->worker_next) {
        int64_t cpu = task->stage->step->cpu_millis;

        if (!is_preemptible(task, gang, now_ms) ||
            (previous != NULL && (cpu > previous->stage->step->cpu_millis ||
                                  (cpu == previous->stage->step->cpu_millis &&
                                   task <= previous)))) {
            continue;
        }
        if (best == NULL || cpu > best->stage->step->cpu_millis ||
            (cpu == best->stage->step->cpu_millis && task < best)) {
            best = task;
        }
    }
    return best;
}

static void
preempt(fv_sched_t *sched, fv_sched_task_t *task, const fv_sched_stage_t *gang,
        int64_t now_ms)
{
    char name[Fv_RUN_TASK_ID_SIZE];

    FvSched_TaskName(task, name, sizeof(name));
    FvLog_Event(Fv_LOG_INFO, "run_preempted",
                "task=%s run=%d worker=%s percent=%d times=%d for_job=%s",
                name, task->run, task->worker->entry.id, task->percent,
                task->preemptions + 1, gang->job->id);
    task->preemptions++;
    FvSched_StopTask(sched, task, now_ms);
}

/* Counts, and with @stop also stops, the largest preemptible tasks until
 * @wanted tasks of the gang fit. */
static int32_t
preempt_on_worker(fv_sched_t *sched, fv_sched_worker_t *worker,
                  const fv_sched_stage_t *gang, int32_t wanted, bool stop,
                  int64_t now_ms)
{
    fv_sched_resources_t resources = worker->free;
    fv_sched_task_t *victims[Fv_VICTIMS_MAX];
    const fv_sched_task_t *previous = NULL;
    int32_t count = 0;

    while (FvSched_StageCapacity(worker, gang, &resources) < wanted &&
           count < Fv_VICTIMS_MAX) {
        fv_sched_task_t *task = next_victim(worker, gang, previous, now_ms);

        if (task == NULL) {
            break;
        }
        FvSched_AddTaskResources(&resources, task->stage->step, 1);
        victims[count++] = task;
        previous = task;
    }
    for (int32_t i = 0; stop && i < count; i++) {
        preempt(sched, victims[i], gang, now_ms);
    }
    return count;
}

/* Workers that need no stop come first, then those with the largest gain for
 * each stop. */
static int
by_gain(const void *left, const void *right)
{
    const fv_preemption_plan_t *a = left;
    const fv_preemption_plan_t *b = right;
    int64_t gain_a = (int64_t)a->gained_capacity * b->stop_count;
    int64_t gain_b = (int64_t)b->gained_capacity * a->stop_count;

    if ((a->stop_count == 0) != (b->stop_count == 0)) {
        return a->stop_count == 0 ? -1 : 1;
    }
    return gain_a > gain_b   ? -1
           : gain_a < gain_b ? 1
                             : b->capacity - a->capacity;
}

/* Drops the workers that are slower than the gang needs. */
static uint32_t
keep_needed_grades(const fv_sched_stage_t *gang, fv_preemption_plan_t *plans,
                   uint32_t count)
{
    fv_grade_capacities_t capacities = {0};
    int32_t grade;
    uint32_t kept = 0;

    for (uint32_t i = 0; i < count; i++) {
        FvSched_AddGradeCapacity(&capacities, plans[i].worker,
                                 plans[i].capacity);
    }
    grade = FvSched_GangGrade(&capacities, gang->step->task_count);
    for (uint32_t i = 0; i < count; i++) {
        if (plans[i].worker->speed.grade <= grade) {
            plans[kept++] = plans[i];
        }
    }
    return kept;
}

static fv_preemption_plan_t *
plan_preemptions(fv_sched_t *sched, const fv_sched_stage_t *gang,
                 int64_t now_ms, uint32_t *count)
{
    uint32_t eligible_count;
    fv_eligible_worker_t *eligible = FvSched_ListEligibleWorkers(
        sched, gang, now_ms + sched->stop_max_ms + Fv_PREEMPT_SLACK_MS, now_ms,
        &eligible_count);
    fv_preemption_plan_t *plans =
        eligible_count > 0 ? calloc(eligible_count, sizeof(*plans)) : NULL;

    *count = 0;
    for (uint32_t i = 0; plans != NULL && i < eligible_count; i++) {
        fv_preemption_plan_t plan = {.worker = eligible[i].worker};

        plan.capacity =
            FvSched_TaskCapacityAfterPreemption(plan.worker, gang, now_ms);
        plan.gained_capacity =
            plan.capacity - FvSched_FreeStageCapacity(plan.worker, gang);
        if (plan.capacity > 0) {
            plan.stop_count = preempt_on_worker(sched, plan.worker, gang,
                                                plan.capacity, false, now_ms);
            plans[(*count)++] = plan;
        }
    }
    if (sched->speeds.in_use) {
        *count = keep_needed_grades(gang, plans, *count);
    }
    if (*count > 1) {
        qsort(plans, *count, sizeof(*plans), by_gain);
    }
    free(eligible);
    return plans;
}

/**
 * FvSched_PreemptForGang - preempt less urgent tasks for a waiting gang, if
 * the whole gang fits then
 * @sched: the scheduler
 * @gang: the stage that could not be placed; ignored when it is not a gang
 * @now_ms: the time
 */
void
FvSched_PreemptForGang(fv_sched_t *sched, fv_sched_stage_t *gang,
                       int64_t now_ms)
{
    fv_preemption_plan_t *plans;
    int32_t capacity = 0;
    int32_t needed = 0;
    int32_t stop_count = 0;
    uint32_t count;
    uint32_t used = 0;

    if (sched->stops_suspended || !gang->step->gang ||
        gang->waiting < gang->step->task_count || gang->step->same_rack ||
        now_ms < gang->next_preemption_ms) {
        return; /* preemption can seldom free a single rack */
    }
    plans = plan_preemptions(sched, gang, now_ms, &count);
    while (used < count && capacity < gang->step->task_count) {
        needed += plans[used].stop_count;
        capacity += plans[used++].capacity;
    }
    if (capacity < gang->step->task_count || needed == 0) {
        gang->next_preemption_ms = now_ms + sched->rescan_ms;
        goto done;
    }
    for (uint32_t i = 0; i < used; i++) {
        plans[i].worker->preempted_for = gang;
        stop_count += preempt_on_worker(sched, plans[i].worker, gang,
                                        plans[i].capacity, true, now_ms);
    }
    gang->next_preemption_ms =
        now_ms + sched->stop_max_ms + Fv_PREEMPT_SLACK_MS;
    FvLog_Event(Fv_LOG_INFO, "tasks_preempted",
                "job=%s stage=%u tasks=%d workers=%u waited_ms=%" PRId64,
                gang->job->id, gang->step_index, stop_count, used,
                now_ms - gang->job->received_ms);
done:
    free(plans);
}
