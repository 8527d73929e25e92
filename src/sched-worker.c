/*
 * Workers of the scheduler: room, leases and how far they can be trusted.
 */

#include "scheduler.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* A worker's clock may run 2 % slow (PROTOCOL, leases of runs), and an order
 * may be under way for a while; a lease is taken as lapsed only after both. */
#define Fv_CLOCK_DRIFT_PERCENT 3
#define Fv_ORDER_UNDERWAY_MS 250

/* A start that was not answered may be carried out so much later (BENCH,
 * kinds), in the lease that the worker has then. */
#define Fv_LATE_ORDER_MS 12000

/* Failed tasks of as many different jobs in a row mark a worker as faulty. */
#define Fv_FAILURE_STREAK_MAX 2

/* How long a faulty worker gets no task before it is probed with one; short,
 * since faults of this kind pass within seconds. */
#define Fv_QUARANTINE_MS 4000

/**
 * FvSched_FindWorker - worker by id
 * @sched: the scheduler
 * @id: the id
 *
 * Return: the worker, or NULL.
 */
fv_sched_worker_t *
FvSched_FindWorker(const fv_sched_t *sched, const char *id)
{
    fv_sched_worker_t *worker = NULL;

    HASH_FIND_STR(sched->workers, id, worker);
    return worker;
}

static void
charge(fv_sched_worker_t *worker, const fv_step_spec_t *step, int64_t sign)
{
    worker->free_cpu_millis -=
        step->uses_spare_cpu ? 0 : sign * step->cpu_millis;
    worker->free_memory_mib -= sign * step->memory_mib;
    worker->free_accelerators -= sign * step->accelerators;
}

static void
count_room(fv_sched_worker_t *worker)
{
    worker->free_cpu_millis = worker->entry.cpu_millis;
    worker->free_memory_mib = worker->entry.memory_mib;
    worker->free_accelerators = worker->entry.accelerators;
    for (const fv_sched_task_t *task = worker->tasks; task != NULL;
         task = task->worker_next) {
        charge(worker, task->stage->step, 1);
    }
}

/**
 * FvSched_AddOrphanRun - a run that belongs to no open task is being stopped
 * @sched: the scheduler
 * @worker: where it is
 * @task: the task's name
 * @run: the run
 * @now_ms: the time
 *
 * A run that is being stopped is not listed, and keeps its room until its end
 * is listed, or until the longest duration of a stop has passed.
 */
void
FvSched_AddOrphanRun(const fv_sched_t *sched, fv_sched_worker_t *worker,
                     const char *task, int32_t run, int64_t now_ms)
{
    fv_orphan_run_t *stray = worker->orphan_runs;

    while (stray != NULL &&
           (stray->run != run || strcmp(stray->task, task) != 0)) {
        stray = stray->next;
    }
    if (stray == NULL) {
        stray = calloc(1, sizeof(*stray));
        if (stray == NULL) {
            abort(); /* its room would be given away */
        }
        FvText_Copy(stray->task, sizeof(stray->task), task);
        stray->run = run;
        stray->next = worker->orphan_runs;
        worker->orphan_runs = stray;
    }
    stray->ended_by_ms = now_ms + Fv_ORDER_UNDERWAY_MS + sched->stop_max_ms;
}

/**
 * FvSched_OrphanRunEnded - the end of a run was listed
 * @worker: where it was
 * @task: the task's name
 * @run: the run
 */
void
FvSched_OrphanRunEnded(fv_sched_worker_t *worker, const char *task,
                       int32_t run)
{
    for (fv_orphan_run_t *stray = worker->orphan_runs; stray != NULL;
         stray = stray->next) {
        if (stray->run == run && strcmp(stray->task, task) == 0) {
            stray->ended_by_ms = 0;
        }
    }
}

/**
 * FvSched_ForgetOrphanRuns - forget the runs that have surely ended
 * @worker: the worker
 * @ended_by_ms: those of which the end is not later than this
 */
void
FvSched_ForgetOrphanRuns(fv_sched_worker_t *worker, int64_t ended_by_ms)
{
    fv_orphan_run_t **link = &worker->orphan_runs;

    while (*link != NULL) {
        fv_orphan_run_t *stray = *link;

        if (stray->ended_by_ms > ended_by_ms) {
            link = &stray->next;
            continue;
        }
        *link = stray->next;
        free(stray);
    }
}

static bool
has_strays(const fv_sched_worker_t *worker, int64_t now_ms)
{
    for (const fv_orphan_run_t *stray = worker->orphan_runs; stray != NULL;
         stray = stray->next) {
        if (stray->ended_by_ms > now_ms) {
            return true;
        }
    }
    return false;
}

/**
 * FvSched_BeginIncarnation - a worker was started anew: it knows nothing of
 * before
 * @sched: the scheduler
 * @worker: the worker
 * @started_wall_ms: what tells its lives apart
 *
 * Orders may have reached the new life already, so its tasks are kept until a
 * report of that life tells what runs.
 */
void
FvSched_BeginIncarnation(fv_sched_t *sched, fv_sched_worker_t *worker,
                         int64_t started_wall_ms)
{
    if (worker->started_wall_ms != 0) {
        FvLog_Event(Fv_LOG_INFO, "worker_restarted", "worker=%s tasks=%d",
                    worker->entry.id, worker->task_count);
        worker->inherited = false;
        worker->inherited_stops_until_ms = 0;
    }
    worker->started_wall_ms = started_wall_ms;
    worker->last_end_applied = 0;
    worker->last_end_recorded = 0;
    worker->synced = false;
    worker->failure_streak = 0;
    worker->quarantined_until_ms = 0;
    worker->probing = false;
    FvSched_ForgetOrphanRuns(worker, INT64_MAX);
    sched->dirty = true;
}

/**
 * FvSched_UpdateWorker - apply an entry of the registry
 * @sched: the scheduler
 * @entry: the entry
 * @now_ms: the time
 *
 * Return: the worker, or NULL when memory is exhausted.
 */
fv_sched_worker_t *
FvSched_UpdateWorker(fv_sched_t *sched, const fv_worker_entry_t *entry,
                     int64_t now_ms)
{
    fv_sched_worker_t *worker = FvSched_FindWorker(sched, entry->id);

    if (worker == NULL) {
        worker = calloc(1, sizeof(*worker));
        if (worker == NULL) {
            return NULL;
        }
        worker->entry = *entry;
        HASH_ADD_STR(sched->workers, entry.id, worker);
    }
    worker->entry = *entry;
    if (entry->started_wall_ms > worker->started_wall_ms) {
        FvSched_BeginIncarnation(sched, worker, entry->started_wall_ms);
    }
    if (entry->draining && !worker->draining) {
        FvLog_Event(Fv_LOG_INFO, "worker_draining",
                    "worker=%s left_ms=%" PRId64 " tasks=%d", entry->id,
                    entry->drain_left_ms, worker->task_count);
        worker->report_due_ms = now_ms;
    }
    worker->draining = entry->draining;
    worker->drain_until_ms =
        entry->drain_left_ms > 0 ? now_ms + entry->drain_left_ms : 0;
    worker->listed = true;
    count_room(worker);
    sched->dirty = true;
    return worker;
}

/**
 * FvSched_WorkerUnlisted - a worker is no longer in the registry
 * @worker: the worker
 *
 * Its tasks may go on until its lease has lapsed.
 */
void
FvSched_WorkerUnlisted(fv_sched_worker_t *worker)
{
    if (worker->listed) {
        FvLog_Event(Fv_LOG_INFO, "worker_unlisted", "worker=%s tasks=%d",
                    worker->entry.id, worker->task_count);
    }
    worker->listed = false;
}

/**
 * FvSched_FreeWorker - forget a worker on which nothing can run
 * @sched: the scheduler
 * @worker: the worker
 */
void
FvSched_FreeWorker(fv_sched_t *sched, fv_sched_worker_t *worker)
{
    while (worker->tasks != NULL) {
        FvSched_DetachTask(worker->tasks);
    }
    for (fv_sched_job_t *job = sched->jobs; job != NULL; job = job->hh.next) {
        for (uint32_t o = 0; o < job->occurrence_count; o++) {
            for (uint32_t s = 0; s < job->spec.step_count; s++) {
                fv_sched_stage_t *stage = &job->occurrences[o].stages[s];
                uint32_t kept = 0;

                for (uint32_t v = 0; v < stage->verdict_count; v++) {
                    if (stage->verdicts[v].worker != worker) {
                        stage->verdicts[kept++] = stage->verdicts[v];
                    }
                }
                stage->verdict_count = kept;
                for (int32_t t = 0; t < stage->step->task_count; t++) {
                    if (stage->tasks[t].failed_on == worker) {
                        stage->tasks[t].failed_on = NULL;
                    }
                }
            }
        }
    }
    FvSched_ForgetOrphanRuns(worker, INT64_MAX);
    HASH_DEL(sched->workers, worker);
    free(worker);
}

/**
 * FvSched_AttachTask - charge a task to a worker
 * @worker: where it runs or may run
 * @task: the task
 */
void
FvSched_AttachTask(fv_sched_worker_t *worker, fv_sched_task_t *task)
{
    FvSched_DetachTask(task);
    task->worker = worker;
    task->worker_previous = NULL;
    task->worker_next = worker->tasks;
    if (worker->tasks != NULL) {
        worker->tasks->worker_previous = task;
    }
    worker->tasks = task;
    worker->task_count++;
    task->stage->job->running_tasks++;
    charge(worker, task->stage->step, 1);
}

/**
 * FvSched_DetachTask - the task is surely not on its worker
 * @task: the task
 */
void
FvSched_DetachTask(fv_sched_task_t *task)
{
    fv_sched_worker_t *worker = task->worker;

    if (worker == NULL) {
        return;
    }
    if (task->worker_previous != NULL) {
        task->worker_previous->worker_next = task->worker_next;
    }
    else {
        worker->tasks = task->worker_next;
    }
    if (task->worker_next != NULL) {
        task->worker_next->worker_previous = task->worker_previous;
    }
    task->worker = NULL;
    task->worker_next = NULL;
    task->worker_previous = NULL;
    worker->probing = false; /* a probe may end without a verdict */
    worker->task_count--;
    task->stage->job->running_tasks--;
    charge(worker, task->stage->step, -1);
}

/**
 * FvSched_TaskFits - whether a worker has room for one more task of a step
 * @worker: the worker
 * @step: the step
 *
 * Return: true when it has.
 */
bool
FvSched_TaskFits(const fv_sched_worker_t *worker, const fv_step_spec_t *step)
{
    int64_t cpu_millis = step->uses_spare_cpu ? 0 : step->cpu_millis;

    return worker->free_cpu_millis >= cpu_millis &&
           worker->free_memory_mib >= step->memory_mib &&
           worker->free_accelerators >= step->accelerators;
}

/**
 * FvSched_FreeResources - what a worker has left
 * @worker: the worker
 *
 * Return: its free resources.
 */
fv_sched_resources_t
FvSched_FreeResources(const fv_sched_worker_t *worker)
{
    return (fv_sched_resources_t){.cpu_millis = worker->free_cpu_millis,
                                  .memory_mib = worker->free_memory_mib,
                                  .accelerators = worker->free_accelerators};
}

/**
 * FvSched_AddTaskResources - add what a task of a step occupies
 * @room: the room
 * @step: the step
 */
void
FvSched_AddTaskResources(fv_sched_resources_t *room,
                         const fv_step_spec_t *step)
{
    room->cpu_millis += step->uses_spare_cpu ? 0 : step->cpu_millis;
    room->memory_mib += step->memory_mib;
    room->accelerators += step->accelerators;
}

/**
 * FvSched_TaskCapacity - how many tasks of a step fit into a room
 * @step: the step
 * @room: the room
 *
 * Return: the number.
 */
int32_t
FvSched_TaskCapacity(const fv_step_spec_t *step,
                     const fv_sched_resources_t *room)
{
    int64_t most = step->task_count;

    if (!step->uses_spare_cpu && step->cpu_millis > 0 &&
        room->cpu_millis / step->cpu_millis < most) {
        most = room->cpu_millis / step->cpu_millis;
    }
    if (step->memory_mib > 0 && room->memory_mib / step->memory_mib < most) {
        most = room->memory_mib / step->memory_mib;
    }
    if (step->accelerators > 0 &&
        room->accelerators / step->accelerators < most) {
        most = room->accelerators / step->accelerators;
    }
    if (step->per_worker_max > 0 && step->per_worker_max < most) {
        most = step->per_worker_max;
    }
    return most > 0 ? (int32_t)most : 0;
}

/**
 * FvSched_FreeTaskCapacity - how many more tasks of a step a worker can hold
 * @worker: the worker
 * @step: the step
 *
 * Return: the number.
 */
int32_t
FvSched_FreeTaskCapacity(const fv_sched_worker_t *worker,
                         const fv_step_spec_t *step)
{
    fv_sched_resources_t room = FvSched_FreeResources(worker);

    return FvSched_TaskCapacity(step, &room);
}

/**
 * FvSched_TotalTaskCapacity - how many tasks of a step an idle worker can hold
 * @worker: the worker
 * @step: the step
 *
 * Return: the number.
 */
int32_t
FvSched_TotalTaskCapacity(const fv_sched_worker_t *worker,
                          const fv_step_spec_t *step)
{
    return FvSched_TaskCapacity(
        step,
        &(fv_sched_resources_t){.cpu_millis = worker->entry.cpu_millis,
                                .memory_mib = worker->entry.memory_mib,
                                .accelerators = worker->entry.accelerators});
}

static bool
has_label(const fv_worker_entry_t *entry, const char *label)
{
    for (uint32_t i = 0; i < entry->label_count; i++) {
        if (strcmp(entry->labels[i], label) == 0) {
            return true;
        }
    }
    return false;
}

/**
 * FvSched_IsWorkerEligible - whether a worker may get tasks of a stage, room
 * aside
 * @worker: the worker
 * @stage: the stage
 * @now_ms: the time
 *
 * Return: true when it may.
 */
bool
FvSched_IsWorkerEligible(const fv_sched_worker_t *worker,
                         const fv_sched_stage_t *stage, int64_t now_ms)
{
    const fv_step_spec_t *step = stage->step;

    if (!worker->listed || !worker->synced || !worker->in_roster ||
        worker->suspect || worker->draining || worker->lost ||
        worker->inherited_stops_until_ms > now_ms ||
        has_strays(worker, now_ms)) {
        return false;
    }
    if (worker->quarantined_until_ms > now_ms ||
        (worker->quarantined_until_ms != 0 &&
         (worker->probing || step->gang))) {
        return false;
    }
    if (worker->reserved_for != NULL && worker->reserved_for != stage) {
        return false;
    }
    return strcmp(worker->entry.service, stage->job->queue.service) == 0 &&
           (step->required_label[0] == '\0' ||
            has_label(&worker->entry, step->required_label));
}

/**
 * FvSched_IsWorkerIdle - whether surely no run is on a worker
 * @worker: the worker
 * @now_ms: the time
 *
 * Return: true when this leader heard of all its runs, and all have ended. A
 * start in doubt keeps its task there.
 */
bool
FvSched_IsWorkerIdle(const fv_sched_worker_t *worker, int64_t now_ms)
{
    return worker->synced && worker->tasks == NULL &&
           worker->inherited_stops_until_ms <= now_ms &&
           !has_strays(worker, now_ms);
}

/**
 * FvSched_WorstCaseLeaseMs - after which an order that was sent has surely no
 * effect
 * @sched: the scheduler
 *
 * Return: the time from its sending until the lease that it asked for has
 * lapsed on the slowest clock.
 */
int64_t
FvSched_WorstCaseLeaseMs(const fv_sched_t *sched)
{
    return Fv_ORDER_UNDERWAY_MS + sched->lease_ms +
           sched->lease_ms * Fv_CLOCK_DRIFT_PERCENT / 100;
}

/**
 * FvSched_ExtendLease - the lease that the next order or renewal asks for
 * @sched: the scheduler
 * @worker: the worker
 * @now_ms: the time
 *
 * A worker that does not answer gets none: each attempt may arrive, and its
 * tasks could never be taken as lapsed.
 *
 * Return: the end of the lease on the worker's clock, 0 to leave it as it is.
 */
int64_t
FvSched_ExtendLease(const fv_sched_t *sched, fv_sched_worker_t *worker,
                    int64_t now_ms)
{
    if (!worker->synced || worker->suspect) {
        return 0;
    }
    worker->lease_expires_ms = now_ms + FvSched_WorstCaseLeaseMs(sched);
    return worker->clock_ms + (now_ms - worker->clock_sampled_ms) +
           sched->lease_ms;
}

/* A worker that is not listed is to be taken as gone. */
static bool
may_start_late(const fv_sched_task_t *task, int64_t now_ms)
{
    return task->worker->listed &&
           (task->start_unconfirmed || task->state == Fv_SCHED_STARTING) &&
           now_ms < task->start_sent_ms + Fv_LATE_ORDER_MS;
}

/**
 * FvSched_RequeueLostTasks - nothing of what ran on a worker runs any more
 * @sched: the scheduler
 * @worker: the worker
 * @cause: why, for the log
 * @now_ms: the time
 *
 * A task whose start is in doubt is kept for as long as the order may still be
 * carried out.
 */
void
FvSched_RequeueLostTasks(fv_sched_t *sched, fv_sched_worker_t *worker,
                         const char *cause, int64_t now_ms)
{
    fv_sched_task_t *next;
    uint32_t lost = 0;

    for (fv_sched_task_t *task = worker->tasks; task != NULL; task = next) {
        fv_sched_stage_t *stage = task->stage;

        next = task->worker_next;
        if (may_start_late(task, now_ms)) {
            continue;
        }
        lost++;
        FvSched_RequeueTask(sched, task);
        if (stage->step->gang) {
            FvSched_StopGang(sched, stage, now_ms);
        }
    }
    if (lost > 0) {
        FvLog_Event(Fv_LOG_WARN, "tasks_lost",
                    "worker=%s cause=%s tasks=%u in_doubt=%d",
                    worker->entry.id, cause, lost, worker->task_count);
    }
}

/**
 * FvSched_UpdateWorkerHealth - learn from the end of a task
 * @worker: where it ended
 * @task: the task
 * @failed: whether it failed
 * @now_ms: the time
 */
void
FvSched_UpdateWorkerHealth(fv_sched_worker_t *worker,
                           const fv_sched_task_t *task, bool failed,
                           int64_t now_ms)
{
    const fv_sched_job_t *job = task->stage->job;

    if (!failed) {
        worker->failure_streak = 0;
        worker->last_failed_job = NULL;
        worker->quarantined_until_ms = 0;
        worker->probing = false;
        return;
    }
    worker->probing = false;
    if (worker->quarantined_until_ms != 0) {
        worker->quarantined_until_ms = now_ms + Fv_QUARANTINE_MS;
    }
    /* A job that fails elsewhere too says nothing about this worker. */
    if (worker->last_failed_job == job ||
        (task->failures > 1 && task->failed_on != worker)) {
        return;
    }
    worker->last_failed_job = job;
    worker->failure_streak++;
    if (worker->failure_streak >= Fv_FAILURE_STREAK_MAX) {
        worker->quarantined_until_ms = now_ms + Fv_QUARANTINE_MS;
        FvMetrics_Add(Fv_COUNTER_QUARANTINES, 1);
        FvLog_Event(Fv_LOG_WARN, "worker_quarantined",
                    "worker=%s failures=%d for_ms=%d", worker->entry.id,
                    worker->failure_streak, Fv_QUARANTINE_MS);
    }
}
