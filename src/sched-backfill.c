/*
 * Backfill: single tasks on workers that are reserved for a waiting gang. A
 * gang starts when enough of its workers have become free, and until then the
 * free part of the others would idle. A single task may start there
 *
 * - if it is expected to end before the gang can start, by its longest likely
 *   run time (as in EASY backfilling), or
 * - if it fits beside the members of the gang that the worker is to run, now
 *   and whenever one of its tasks ends.
 *
 * The first kind may delay the gang when tasks take longer than likely. It is
 * allowed for Fv_BACKFILL_MAX_MS after the gang's first reservation, and only
 * while the gang, by its longest likely run time, would still meet its
 * objective. From then on the reservation keeps all but the second kind away,
 * so that the gang starts at most Fv_BACKFILL_MAX_MS and one such task's run
 * later than without backfill.
 */

#include "scheduler.h"

#include <stdlib.h>
#include <string.h>

/* Most gangs start sooner in a crest (half of them within 1.5 to 2.3 s;
 * tests/bench/load.c). */
#define Fv_BACKFILL_MAX_MS 5000

/* The plan is made anew at this interval, a small part of a run time; until
 * then, workers that were reserved since are not backfilled. */
#define Fv_BACKFILL_PLAN_MS 50

/* A run that takes longer than expected is expected to end after a further
 * eighth of the time that it has taken. */
#define Fv_OVERDUE_SHARE 0.125

/* Progress that is reported below this percentage says little about the
 * end. */
#define Fv_PROGRESS_MIN_PERCENT 25

typedef struct fv_expected_end {
    const fv_sched_task_t *task;
    int64_t in_ms;
} fv_expected_end_t;

/* Room for a member of a waiting gang. */
typedef struct fv_gang_slot {
    fv_sched_worker_t *worker;
    int64_t in_ms; /* when there will be room */
} fv_gang_slot_t;

typedef struct fv_backfill_plan {
    fv_gang_slot_t *slots;
    uint32_t slot_count;
    fv_expected_end_t *ends; /* of the tasks of one worker, in order */
    uint32_t end_count;
    uint32_t end_capacity;
} fv_backfill_plan_t;

/* By the progress that the worker reports, if it tells enough, or else by the
 * run time that is expected of its stage. */
static int64_t
expected_duration_ms(const fv_sched_task_t *task)
{
    const fv_sched_stage_t *stage = task->stage;

    if (task->ran_from_start && task->percent >= Fv_PROGRESS_MIN_PERCENT) {
        return (task->progress_ms - task->start_sent_ms) * 100 / task->percent;
    }
    /* A gang ends with its slowest member. */
    return (int64_t)((double)(stage->step->gang ? stage->longest_run_ms
                                                : stage->expected_run_ms) *
                     task->worker->speed.factor);
}

static int64_t
expected_end_in_ms(const fv_sched_t *sched, const fv_sched_task_t *task,
                   int64_t now_ms)
{
    int64_t taken_ms = now_ms - task->start_sent_ms;
    int64_t left_ms = expected_duration_ms(task) - taken_ms;

    if (task->state == Fv_SCHED_STOPPING) {
        left_ms = task->stop_sent_ms + sched->stop_max_ms - now_ms;
        return left_ms > 0 ? left_ms : 0;
    }
    return left_ms > 0 ? left_ms
                       : (int64_t)((double)taken_ms * Fv_OVERDUE_SHARE) + 1;
}

static int
by_end(const void *left, const void *right)
{
    const fv_expected_end_t *a = left;
    const fv_expected_end_t *b = right;

    return a->in_ms < b->in_ms ? -1 : a->in_ms > b->in_ms;
}

static int
by_time(const void *left, const void *right)
{
    const fv_gang_slot_t *a = left;
    const fv_gang_slot_t *b = right;

    return a->in_ms < b->in_ms ? -1 : a->in_ms > b->in_ms;
}

static bool
list_ends(const fv_sched_t *sched, const fv_sched_worker_t *worker,
          fv_backfill_plan_t *plan, int64_t now_ms)
{
    if ((uint32_t)worker->task_count > plan->end_capacity) {
        uint32_t capacity = 2 * (uint32_t)worker->task_count;
        fv_expected_end_t *ends =
            realloc(plan->ends, capacity * sizeof(*plan->ends));

        if (ends == NULL) {
            return false;
        }
        plan->ends = ends;
        plan->end_capacity = capacity;
    }
    plan->end_count = 0;
    for (const fv_sched_task_t *task = worker->tasks;
         task != NULL && plan->end_count < plan->end_capacity;
         task = task->worker_next) {
        if (!task->stage->step->long_running) {
            plan->ends[plan->end_count++] = (fv_expected_end_t){
                .task = task,
                .in_ms = expected_end_in_ms(sched, task, now_ms)};
        }
    }
    if (plan->end_count > 1) {
        qsort(plan->ends, plan->end_count, sizeof(*plan->ends), by_end);
    }
    return true;
}

static int64_t
smaller(int64_t a, int64_t b)
{
    return a < b ? a : b;
}

/* Limits the spare resources to what is not needed for the slots that a worker
 * has when these resources are free. */
static void
limit_spare(fv_sched_worker_t *worker, fv_sched_resources_t resources,
            int32_t slots)
{
    fv_sched_resources_t *spare = &worker->spare;

    FvSched_AddTaskResources(&resources, worker->reserved_for->step, -slots);
    spare->cpu_millis = smaller(spare->cpu_millis, resources.cpu_millis);
    spare->memory_mib = smaller(spare->memory_mib, resources.memory_mib);
    spare->accelerators = smaller(spare->accelerators, resources.accelerators);
}

static fv_sched_resources_t
member_size(const fv_sched_stage_t *gang)
{
    fv_sched_resources_t size = {0};

    FvSched_AddTaskResources(&size, gang->step, 1);
    return size;
}

/* Adds the slots of a reserved worker, of the size of the gang's members, and
 * sets what may be used there without delaying any of them. */
static void
add_slots(fv_sched_worker_t *worker, fv_backfill_plan_t *plan,
          uint32_t slots_max)
{
    const fv_sched_stage_t *gang = worker->reserved_for;
    fv_sched_resources_t resources = worker->free;
    int32_t added = 0;
    int64_t in_ms = 0;

    worker->spare = resources;
    for (uint32_t i = 0;; i++) {
        int32_t slots = FvSched_StageCapacity(worker, gang, &resources);

        limit_spare(worker, resources, slots);
        for (; added < slots && plan->slot_count < slots_max; added++) {
            plan->slots[plan->slot_count++] =
                (fv_gang_slot_t){.worker = worker, .in_ms = in_ms};
        }
        if (i >= plan->end_count) {
            break;
        }
        in_ms = plan->ends[i].in_ms;
        FvSched_AddTaskResources(&resources, plan->ends[i].task->stage->step,
                                 1);
    }
    FvSched_EventualResources(worker, &resources);
    limit_spare(worker, resources,
                FvSched_StageCapacity(worker, gang, &resources));
    worker->backfill_planned = true;
    worker->backfill_member = member_size(gang);
}

static bool
may_delay(const fv_sched_stage_t *gang, int64_t start_ms, int64_t now_ms)
{
    int64_t margin_ms = gang->longest_run_ms - gang->expected_run_ms;

    return now_ms - gang->reserved_since_ms < Fv_BACKFILL_MAX_MS &&
           start_ms + margin_ms <= gang->target_start_ms;
}

/* Any gang may start on any of the reserved workers, whichever gang has them
 * reserved: the gangs take the slots in order of their ranks. A worker may be
 * backfilled until the gang starts that takes its first slot. */
static void
assign_slots(fv_sched_t *sched, fv_backfill_plan_t *plan, int64_t now_ms)
{
    uint32_t next = 0;

    if (plan->slot_count > 1) {
        qsort(plan->slots, plan->slot_count, sizeof(*plan->slots), by_time);
    }
    for (uint32_t g = 0; g < sched->reserving_count; g++) {
        const fv_sched_stage_t *gang = sched->reserving[g];
        uint32_t end = next + (uint32_t)gang->step->task_count;
        int64_t start_ms;

        if (g + 1 == sched->reserving_count || end > plan->slot_count) {
            end = plan->slot_count;
        }
        if (end == next) {
            break;
        }
        start_ms = now_ms + plan->slots[end - 1].in_ms;
        for (; next < end; next++) {
            fv_sched_worker_t *worker = plan->slots[next].worker;

            if (worker->backfill_until_ms == 0) {
                worker->backfill_until_ms =
                    may_delay(gang, start_ms, now_ms) ? start_ms : now_ms;
            }
        }
    }
}

/**
 * FvSched_PlanBackfill - find out for how long single tasks may run on the
 * workers that are reserved for gangs
 * @sched: the scheduler
 * @now_ms: the time
 */
void
FvSched_PlanBackfill(fv_sched_t *sched, int64_t now_ms)
{
    uint32_t slots_max = sched->reserved_slots;
    fv_backfill_plan_t plan = {.slots =
                                   calloc(slots_max, sizeof(*plan.slots))};

    if (plan.slots == NULL) {
        return;
    }
    sched->next_backfill_plan_ms = now_ms + Fv_BACKFILL_PLAN_MS;
    for (fv_sched_worker_t *worker = sched->workers; worker != NULL;
         worker = worker->hh.next) {
        worker->backfill_until_ms = 0;
        worker->backfill_planned = false;
        if (worker->reserved_for != NULL &&
            list_ends(sched, worker, &plan, now_ms)) {
            add_slots(worker, &plan, slots_max);
        }
    }
    assign_slots(sched, &plan, now_ms);
    free(plan.ends);
    free(plan.slots);
}

/**
 * FvSched_CheckBackfill - drop what single tasks may do on a worker when it
 * was planned for another kind of gang
 * @worker: the worker
 * @gang: the gang that reserves the worker in this pass
 */
void
FvSched_CheckBackfill(fv_sched_worker_t *worker, const fv_sched_stage_t *gang)
{
    fv_sched_resources_t size = member_size(gang);

    worker->backfill_planned =
        worker->backfill_planned &&
        memcmp(&size, &worker->backfill_member, sizeof(size)) == 0;
}

static bool
ends_in_time(const fv_sched_worker_t *worker, const fv_sched_stage_t *stage)
{
    int64_t longest_ms =
        (int64_t)((double)stage->longest_run_ms * worker->speed.factor);

    return longest_ms > 0 &&
           stage->ranked_ms + longest_ms <= worker->backfill_until_ms;
}

/**
 * FvSched_IsReservedForOther - check whether a worker is reserved for another
 * stage
 * @worker: the worker
 * @stage: the stage
 *
 * Return: false also for a lasting task, which provides no service while it
 * waits.
 */
bool
FvSched_IsReservedForOther(const fv_sched_worker_t *worker,
                           const fv_sched_stage_t *stage)
{
    return worker->reserved_for != NULL && worker->reserved_for != stage &&
           !stage->step->long_running;
}

/**
 * FvSched_IsWorkerReserved - check whether a reservation keeps a stage from a
 * worker
 * @worker: the worker
 * @stage: the stage
 *
 * Return: true when a gang has reserved the worker, and no task of the stage
 * may be backfilled there.
 */
bool
FvSched_IsWorkerReserved(const fv_sched_worker_t *worker,
                         const fv_sched_stage_t *stage)
{
    return FvSched_IsReservedForOther(worker, stage) &&
           (stage->step->gang || !worker->backfill_planned ||
            (!ends_in_time(worker, stage) &&
             FvSched_TaskCapacity(stage->step, &worker->spare) == 0));
}

/**
 * FvSched_LimitToBackfill - limit resources to what a stage may use on a
 * reserved worker
 * @worker: the worker
 * @stage: the stage
 * @resources: free resources; unchanged unless the worker is reserved for
 *             another stage
 */
void
FvSched_LimitToBackfill(const fv_sched_worker_t *worker,
                        const fv_sched_stage_t *stage,
                        fv_sched_resources_t *resources)
{
    const fv_sched_resources_t *spare = &worker->spare;

    if (!FvSched_IsReservedForOther(worker, stage)) {
        return;
    }
    if (ends_in_time(worker, stage)) {
        return;
    }
    if (spare->cpu_millis < resources->cpu_millis) {
        resources->cpu_millis = spare->cpu_millis;
    }
    if (spare->memory_mib < resources->memory_mib) {
        resources->memory_mib = spare->memory_mib;
    }
    if (spare->accelerators < resources->accelerators) {
        resources->accelerators = spare->accelerators;
    }
}

/**
 * FvSched_NoteBackfill - account for a task that starts on a worker
 * @worker: the worker, to which the task has been assigned
 * @task: the task
 */
void
FvSched_NoteBackfill(fv_sched_worker_t *worker, const fv_sched_task_t *task)
{
    if (!FvSched_IsReservedForOther(worker, task->stage)) {
        return;
    }
    FvMetrics_Add(Fv_COUNTER_BACKFILLS, 1);
    if (!ends_in_time(worker, task->stage)) {
        FvSched_AddTaskResources(&worker->spare, task->stage->step, -1);
    }
}
