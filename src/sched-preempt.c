/*
 * Room for a waiting gang from tasks of less urgent queues that save their
 * state when they are stopped. They go on elsewhere from there; reserved room
 * would idle until the last of them ends.
 */

#include "scheduler.h"

#include <inttypes.h>
#include <stdlib.h>

/* A task runs at least so long between two stops: several times what it takes
 * to restore its state (0.1 to 0.6 s on the sheets). */
#define Fv_RUN_BEFORE_STOP_MS 1500

/* A task is stopped for others at most so often, or it would never end. */
#define Fv_PREEMPTIONS_MAX 3

/* A task that has come so far ends sooner than its stop would pay. */
#define Fv_NEARLY_DONE_PERCENT 85

/* Beyond the stops: their orders, their reports and the starts that follow.
 * The gang's tickets have to last so long. */
#define Fv_CLEARING_SLACK_MS 400

typedef struct fv_clearing {
    fv_sched_worker_t *worker;
    int32_t room;    /* for tasks of the gang, once it is cleared */
    int32_t gained;  /* ... that it has not now */
    int32_t stopped; /* tasks that have to stop for it */
} fv_clearing_t;

static bool
yields(const fv_sched_task_t *task, const fv_sched_stage_t *gang,
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
           now_ms - task->start_sent_ms >= Fv_RUN_BEFORE_STOP_MS;
}

/**
 * FvSched_TaskCapacityAfterPreemption - how many tasks of a gang a worker
 * could hold if less urgent tasks were stopped
 * @worker: the worker
 * @gang: the gang
 * @now_ms: the time
 *
 * Return: the number.
 */
int32_t
FvSched_TaskCapacityAfterPreemption(const fv_sched_worker_t *worker,
                                    const fv_sched_stage_t *gang,
                                    int64_t now_ms)
{
    fv_sched_resources_t room = FvSched_FreeResources(worker);

    for (const fv_sched_task_t *task = worker->tasks; task != NULL;
         task = task->worker_next) {
        if (yields(task, gang, now_ms)) {
            FvSched_AddTaskResources(&room, task->stage->step);
        }
    }
    return FvSched_TaskCapacity(gang->step, &room);
}

/* The largest task that yields, of those not counted yet. */
static fv_sched_task_t *
next_victim(const fv_sched_worker_t *worker, const fv_sched_stage_t *gang,
            const fv_sched_task_t *after, int64_t now_ms)
{
    fv_sched_task_t *best = NULL;

    for (fv_sched_task_t *task = worker->tasks; task != NULL;
         task = task->worker_next) {
        int64_t cpu = task->stage->step->cpu_millis;

        if (!yields(task, gang, now_ms) ||
            (after != NULL &&
             (cpu > after->stage->step->cpu_millis ||
              (cpu == after->stage->step->cpu_millis && task <= after)))) {
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

/* Counts, or stops, the fewest tasks that make room for @wanted of the gang.
 */
static int32_t
clear_worker(fv_sched_t *sched, fv_sched_worker_t *worker,
             const fv_sched_stage_t *gang, int32_t wanted, bool stop,
             int64_t now_ms)
{
    fv_sched_resources_t room = FvSched_FreeResources(worker);
    fv_sched_task_t *victims[Fv_VICTIMS_MAX];
    const fv_sched_task_t *after = NULL;
    int32_t count = 0;

    while (FvSched_TaskCapacity(gang->step, &room) < wanted &&
           count < Fv_VICTIMS_MAX) {
        fv_sched_task_t *task = next_victim(worker, gang, after, now_ms);

        if (task == NULL) {
            break;
        }
        FvSched_AddTaskResources(&room, task->stage->step);
        victims[count++] = task;
        after = task;
    }
    for (int32_t i = 0; stop && i < count; i++) {
        preempt(sched, victims[i], gang, now_ms);
    }
    return count;
}

/* Most room for each stop first; workers that need none before all. */
static int
by_gain(const void *left, const void *right)
{
    const fv_clearing_t *a = left;
    const fv_clearing_t *b = right;
    int64_t gain = (int64_t)a->gained * b->stopped;
    int64_t other = (int64_t)b->gained * a->stopped;

    if ((a->stopped == 0) != (b->stopped == 0)) {
        return a->stopped == 0 ? -1 : 1;
    }
    return gain > other ? -1 : gain < other ? 1 : b->room - a->room;
}

static fv_clearing_t *
find_clearings(fv_sched_t *sched, const fv_sched_stage_t *gang, int64_t now_ms,
               uint32_t *count)
{
    uint32_t option_count;
    fv_eligible_worker_t *options = FvSched_ListEligibleWorkers(
        sched, gang, now_ms + sched->stop_max_ms + Fv_CLEARING_SLACK_MS,
        now_ms, &option_count);
    fv_clearing_t *clearings =
        option_count > 0 ? calloc(option_count, sizeof(*clearings)) : NULL;

    *count = 0;
    for (uint32_t i = 0; clearings != NULL && i < option_count; i++) {
        fv_clearing_t clearing = {.worker = options[i].worker};

        clearing.room =
            FvSched_TaskCapacityAfterPreemption(clearing.worker, gang, now_ms);
        clearing.gained = clearing.room - FvSched_FreeTaskCapacity(
                                              clearing.worker, gang->step);
        if (clearing.room > 0) {
            clearing.stopped = clear_worker(sched, clearing.worker, gang,
                                            clearing.room, false, now_ms);
            clearings[(*count)++] = clearing;
        }
    }
    if (*count > 1) {
        qsort(clearings, *count, sizeof(*clearings), by_gain);
    }
    free(options);
    return clearings;
}

/**
 * FvSched_PreemptForGang - stop less urgent tasks where a waiting gang may
 * run, if that makes room for all of it
 * @sched: the scheduler
 * @gang: a stage that could not be placed; others are left alone
 * @now_ms: the time
 */
void
FvSched_PreemptForGang(fv_sched_t *sched, fv_sched_stage_t *gang,
                       int64_t now_ms)
{
    fv_clearing_t *clearings;
    int32_t room = 0;
    int32_t needed = 0;
    int32_t stopped = 0;
    uint32_t count;
    uint32_t used = 0;

    if (sched->stops_suspended || !gang->step->gang ||
        gang->waiting < gang->step->task_count || gang->step->same_rack ||
        now_ms < gang->preempting_until_ms) {
        return; /* a rack that holds a whole gang is seldom cleared at once */
    }
    clearings = find_clearings(sched, gang, now_ms, &count);
    while (used < count && room < gang->step->task_count) {
        needed += clearings[used].stopped;
        room += clearings[used++].room;
    }
    if (room < gang->step->task_count || needed == 0) {
        goto done;
    }
    for (uint32_t i = 0; i < used; i++) {
        clearings[i].worker->preempted_for = gang;
        stopped += clear_worker(sched, clearings[i].worker, gang,
                                clearings[i].room, true, now_ms);
    }
    gang->preempting_until_ms =
        now_ms + sched->stop_max_ms + Fv_CLEARING_SLACK_MS;
    FvLog_Event(Fv_LOG_INFO, "tasks_preempted",
                "job=%s stage=%u tasks=%d workers=%u waited_ms=%" PRId64,
                gang->job->id, gang->step_index, stopped, used,
                now_ms - gang->job->received_ms);
done:
    free(clearings);
}
