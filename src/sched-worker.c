/*
 * Workers of the scheduler: capacity, leases and orphaned runs.
 */

#include "scheduler.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Entries that expired during an outage of the store are back within about 2 s
 * of its end, unless their workers have left. */
#define Fv_ENTRY_RETURN_MS 2400

/**
 * FvSched_FindWorker - find a worker by its id
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

/**
 * FvSched_AddTaskResources - add the resources of tasks of a step
 * @resources: the sum, which grows
 * @step: the step
 * @count: number of tasks; below 0 to subtract them
 */
void
FvSched_AddTaskResources(fv_sched_resources_t *resources,
                         const fv_step_spec_t *step, int64_t count)
{
    resources->cpu_millis +=
        step->uses_spare_cpu ? 0 : count * step->cpu_millis;
    resources->memory_mib += count * step->memory_mib;
    resources->accelerators += count * step->accelerators;
}

/* Allocates the resources of tasks of a step; frees them if the count is below
 * 0. */
static void
charge_resources(fv_sched_worker_t *worker, const fv_step_spec_t *step,
                 int64_t count)
{
    FvSched_AddTaskResources(&worker->free, step, -count);
    if (step->long_running) {
        FvSched_AddTaskResources(&worker->lasting_use, step, count);
    }
}

static void
recompute_free(fv_sched_worker_t *worker)
{
    worker->free =
        (fv_sched_resources_t){.cpu_millis = worker->entry.cpu_millis,
                               .memory_mib = worker->entry.memory_mib,
                               .accelerators = worker->entry.accelerators};
    worker->lasting_use = (fv_sched_resources_t){0};
    for (const fv_sched_task_t *task = worker->tasks; task != NULL;
         task = task->worker_next) {
        charge_resources(worker, task->stage->step, 1);
    }
}

/* Whether an entry differs in more than what each heartbeat changes. */
static bool
has_entry_changed(const fv_worker_entry_t *old, const fv_worker_entry_t *new)
{
    bool labels_changed = old->label_count != new->label_count;

    for (uint32_t i = 0; !labels_changed && i < new->label_count; i++) {
        labels_changed = strcmp(old->labels[i], new->labels[i]) != 0;
    }
    return labels_changed || old->draining != new->draining ||
           old->started_wall_ms != new->started_wall_ms ||
           old->cpu_millis != new->cpu_millis ||
           old->memory_mib != new->memory_mib ||
           old->accelerators != new->accelerators ||
           strcmp(old->service, new->service) != 0 ||
           strcmp(old->rack, new->rack) != 0 ||
           strcmp(old->address, new->address) != 0;
}

/**
 * FvSched_UpdateWorker - add or update a worker from its registry entry
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
    bool changed = worker == NULL || !worker->listed ||
                   has_entry_changed(&worker->entry, entry);

    if (worker == NULL) {
        worker = calloc(1, sizeof(*worker));
        if (worker == NULL) {
            return NULL;
        }
        worker->entry = *entry;
        worker->report_due_ms = now_ms;
        FvSched_ResetSpeed(&worker->speed);
        HASH_ADD_STR(sched->workers, entry.id, worker);
    }
    else if (changed) {
        sched->workers_changed_ms = now_ms;
    }
    FvSched_CheckEntryIncarnation(worker, entry, now_ms);
    worker->entry = *entry;
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
    if (changed) {
        recompute_free(worker);
        sched->dirty = true;
    }
    return worker;
}

/**
 * FvSched_WorkerUnlisted - note that a worker has left the registry
 * @worker: the worker
 * @now_ms: the time
 *
 * Its tasks may run until its lease has expired.
 */
void
FvSched_WorkerUnlisted(fv_sched_worker_t *worker, int64_t now_ms)
{
    if (worker->listed) {
        worker->unlisted_ms = now_ms;
        FvLog_Event(Fv_LOG_INFO, "worker_unlisted", "worker=%s tasks=%d",
                    worker->entry.id, worker->task_count);
    }
    worker->listed = false;
}

/**
 * FvSched_UnlistMissingWorkers - note that the registry was read anew
 * @sched: the scheduler
 * @reading: number of the reading; a listed worker with another number was
 *           not in it
 * @now_ms: the time
 *
 * Until the reading is complete, the workers that were listed before it keep
 * their tasks and get new ones.
 */
void
FvSched_UnlistMissingWorkers(fv_sched_t *sched, uint64_t reading,
                             int64_t now_ms)
{
    for (fv_sched_worker_t *worker = sched->workers; worker != NULL;
         worker = worker->hh.next) {
        if (worker->listed && worker->registry_reading != reading) {
            FvSched_WorkerUnlisted(worker, now_ms);
        }
    }
}

/**
 * FvSched_FreeWorker - remove and free a worker on which nothing can run
 * @sched: the scheduler
 * @worker: the worker
 */
void
FvSched_FreeWorker(fv_sched_t *sched, fv_sched_worker_t *worker)
{
    if (worker->unlisted_ms > sched->workers_changed_ms) {
        sched->workers_changed_ms = worker->unlisted_ms;
    }
    while (worker->tasks != NULL) {
        FvSched_DetachTask(worker->tasks);
    }
    FvSched_ForgetWorker(sched, worker);
    FvSched_FreeOrphanRuns(worker);
    HASH_DEL(sched->workers, worker);
    free(worker);
}

/**
 * FvSched_AttachTask - assign a task to a worker and allocate its resources
 * @worker: the worker
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
    charge_resources(worker, task->stage->step, 1);
    FvSched_ChargeTasks(task->stage, 1);
}

/**
 * FvSched_DetachTask - remove a task from its worker and free its resources
 * @task: the task, which certainly does not run; ignored when it has no worker
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
    FvSched_EndProbe(worker, task->stage);
    worker->task_count--;
    task->stage->job->running_tasks--;
    charge_resources(worker, task->stage->step, -1);
    FvSched_ChargeTasks(task->stage, -1);
}

/**
 * FvSched_TaskCapacity - count the tasks of a step that fit into resources
 * @step: the step
 * @resources: the resources
 *
 * Return: the number of tasks, at most those of the step.
 */
int32_t
FvSched_TaskCapacity(const fv_step_spec_t *step,
                     const fv_sched_resources_t *resources)
{
    int64_t max_count = step->task_count;

    if (!step->uses_spare_cpu && step->cpu_millis > 0 &&
        resources->cpu_millis / step->cpu_millis < max_count) {
        max_count = resources->cpu_millis / step->cpu_millis;
    }
    if (step->memory_mib > 0 &&
        resources->memory_mib / step->memory_mib < max_count) {
        max_count = resources->memory_mib / step->memory_mib;
    }
    if (step->accelerators > 0 &&
        resources->accelerators / step->accelerators < max_count) {
        max_count = resources->accelerators / step->accelerators;
    }
    if (step->per_worker_max > 0 && step->per_worker_max < max_count) {
        max_count = step->per_worker_max;
    }
    return max_count > 0 ? (int32_t)max_count : 0;
}

static int32_t
tasks_of_stage(const fv_sched_worker_t *worker, const fv_sched_stage_t *stage)
{
    int32_t count = 0;

    for (const fv_sched_task_t *task = worker->tasks; task != NULL;
         task = task->worker_next) {
        count += task->stage == stage;
    }
    return count;
}

static int32_t
apply_spread_limit(const fv_sched_worker_t *worker,
                   const fv_sched_stage_t *stage, int32_t capacity)
{
    int32_t left;

    if (capacity == 0 || stage->step->per_worker_max <= 0) {
        return capacity;
    }
    left = stage->step->per_worker_max - tasks_of_stage(worker, stage);
    return left < capacity ? (left > 0 ? left : 0) : capacity;
}

/**
 * FvSched_StageCapacity - count the further tasks of a stage that a worker
 * could start if it had given resources free
 * @worker: the worker
 * @stage: the stage
 * @resources: the resources
 *
 * Return: the number of tasks, within the stage's limit for each worker; of
 * single tasks at most one on a worker that is on probation.
 */
int32_t
FvSched_StageCapacity(const fv_sched_worker_t *worker,
                      const fv_sched_stage_t *stage,
                      const fv_sched_resources_t *resources)
{
    int32_t capacity = apply_spread_limit(
        worker, stage, FvSched_TaskCapacity(stage->step, resources));

    return capacity > 1 && worker->quarantined_until_ms != 0 &&
                   !stage->step->gang
               ? 1
               : capacity;
}

/**
 * FvSched_FreeStageCapacity - count the further tasks of a stage that a worker
 * could start now
 * @worker: the worker
 * @stage: the stage
 *
 * Return: the number of tasks; on a worker that is reserved for another stage,
 * those that may be backfilled.
 */
int32_t
FvSched_FreeStageCapacity(const fv_sched_worker_t *worker,
                          const fv_sched_stage_t *stage)
{
    fv_sched_resources_t resources = worker->free;

    FvSched_LimitToBackfill(worker, stage, &resources);
    return FvSched_StageCapacity(worker, stage, &resources);
}

/**
 * FvSched_EventualResources - get what is free on a worker once all tasks on
 * it that end by themselves have ended
 * @worker: the worker
 * @resources: filled in
 */
void
FvSched_EventualResources(const fv_sched_worker_t *worker,
                          fv_sched_resources_t *resources)
{
    const fv_sched_resources_t *lasting = &worker->lasting_use;

    *resources = (fv_sched_resources_t){
        .cpu_millis = worker->entry.cpu_millis - lasting->cpu_millis,
        .memory_mib = worker->entry.memory_mib - lasting->memory_mib,
        .accelerators = worker->entry.accelerators - lasting->accelerators};
}

/**
 * FvSched_EventualStageCapacity - count the further tasks of a stage that a
 * worker could start once all tasks on it that end by themselves have ended
 * @worker: the worker
 * @stage: the stage
 *
 * Return: the number of tasks.
 */
int32_t
FvSched_EventualStageCapacity(const fv_sched_worker_t *worker,
                              const fv_sched_stage_t *stage)
{
    fv_sched_resources_t resources;
    int32_t capacity;

    FvSched_EventualResources(worker, &resources);
    capacity = FvSched_TaskCapacity(stage->step, &resources);

    return stage->step->long_running
               ? apply_spread_limit(worker, stage, capacity)
               : capacity;
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
 * FvSched_IsIncarnationListed - check whether a worker's entry and its reports
 * describe the same incarnation
 * @worker: the worker
 *
 * The next incarnation under its id may have other labels and another
 * capacity.
 *
 * Return: false also while the registry has no entry of the worker.
 */
bool
FvSched_IsIncarnationListed(const fv_sched_worker_t *worker)
{
    return worker->entry.started_wall_ms == worker->started_wall_ms;
}

/**
 * FvSched_IsWorkerAvailable - check whether a worker takes any new tasks
 * @worker: the worker
 * @now_ms: the time
 *
 * Return: false when it leaves, does not answer, may hold runs that are not
 * known, when its entry is that of another incarnation than its report, or
 * when the next leader would not know how long its lease may last.
 */
bool
FvSched_IsWorkerAvailable(const fv_sched_worker_t *worker, int64_t now_ms)
{
    return worker->listed && worker->synced && worker->in_worker_list &&
           FvSched_IsIncarnationListed(worker) && !worker->suspect &&
           !worker->unreached && !worker->draining && !worker->lost &&
           worker->inherited_stops_until_ms <= now_ms &&
           (worker->long_lease_stored ||
            worker->long_lease_until_ms <= now_ms) &&
           !FvSched_HasOrphanRuns(worker, now_ms);
}

/**
 * FvSched_HasStepLabel - check whether a worker has the label of a step
 * @worker: the worker
 * @step: the step
 *
 * Return: true also for a step that needs none.
 */
bool
FvSched_HasStepLabel(const fv_sched_worker_t *worker,
                     const fv_step_spec_t *step)
{
    return step->required_label[0] == '\0' ||
           has_label(&worker->entry, step->required_label);
}

/**
 * FvSched_IsWorkerSuitable - check whether a stage's configuration and labels
 * admit a worker
 * @worker: the worker
 * @stage: the stage
 *
 * Return: true when the worker is of the right service and kind.
 */
bool
FvSched_IsWorkerSuitable(const fv_sched_worker_t *worker,
                         const fv_sched_stage_t *stage)
{
    return strcmp(worker->entry.service, stage->job->queue.service) == 0 &&
           FvSched_HasStepLabel(worker, stage->step);
}

/**
 * FvSched_IsWorkerEligible - check whether a worker may get tasks of a stage,
 * whatever its free capacity
 * @worker: the worker
 * @stage: the stage
 * @now_ms: the time
 *
 * Return: true when the worker may get tasks.
 */
bool
FvSched_IsWorkerEligible(const fv_sched_worker_t *worker,
                         const fv_sched_stage_t *stage, int64_t now_ms)
{
    return FvSched_IsWorkerAvailable(worker, now_ms) &&
           !FvSched_IsWorkerQuarantined(worker, stage, now_ms) &&
           !FvSched_IsWorkerReserved(worker, stage) &&
           FvSched_IsWorkerSuitable(worker, stage);
}

/**
 * FvSched_IsWorkerIdle - check whether nothing can be learned from a worker
 * @worker: the worker
 * @now_ms: the time
 *
 * Return: true when this leader knows all runs of the worker, and all have
 * ended and are recorded. A task with an unconfirmed start still counts as a
 * run.
 */
bool
FvSched_IsWorkerIdle(const fv_sched_worker_t *worker, int64_t now_ms)
{
    return worker->synced && worker->tasks == NULL &&
           !FvSched_HasUnrecordedEnds(worker) &&
           worker->inherited_stops_until_ms <= now_ms &&
           !FvSched_HasOrphanRuns(worker, now_ms);
}

/* When the ticket of a task's latest start has certainly expired. */
static int64_t
ticket_end_ms(const fv_sched_task_t *task)
{
    return task->start_repeated_ms +
           FvSched_WorstCaseMs(task->stage->job->queue.ticket_valid_ms);
}

/* Whether the worker may still carry out an unanswered start, or may run what
 * an incarnation that has not reported carried out: the start's deadline is
 * far ahead by its clock. A worker that was taken for removed may come back
 * and get leases; only an expired ticket bars a late start from it. */
static bool
may_start_late(const fv_sched_t *sched, const fv_sched_task_t *task)
{
    const fv_sched_worker_t *worker = task->worker;
    bool removed =
        !worker->listed &&
        FvSched_LedAt(sched, worker->unlisted_ms + Fv_ENTRY_RETURN_MS);
    int64_t until_ms = FvSched_LateStartUntilMs(task);

    if (removed && task->stage->job->queue.needs_advice &&
        FvSched_LedAt(sched, ticket_end_ms(task) + 1)) {
        return false;
    }
    if (until_ms != 0 &&
        (!worker->listed || !FvSched_IsIncarnationListed(worker))) {
        until_ms += FvSched_LongestLeaseMs(sched);
    }
    return until_ms != 0 && !FvSched_LedAt(sched, until_ms);
}

static void
log_lost_task(const fv_sched_t *sched, const fv_sched_task_t *task,
              const char *cause, int64_t now_ms)
{
    char name[Fv_RUN_TASK_ID_SIZE];

    FvSched_TaskName(task, name, sizeof(name));
    FvLog_Event(Fv_LOG_INFO, "task_lost",
                "job=%s task=%s run=%d worker=%s cause=%s "
                "lease_ended_ms=%" PRId64 " lead_age_ms=%" PRId64,
                task->stage->job->id, name, task->run, task->worker->entry.id,
                cause, now_ms - task->worker->lease_expires_ms,
                FvSched_LeadAgeMs(sched, now_ms));
}

/**
 * FvSched_RequeueLostTasks - requeue the tasks of a worker that runs none of
 * them any more
 * @sched: the scheduler
 * @worker: the worker
 * @cause: the cause, for the log
 * @now_ms: the time
 *
 * A task with an unconfirmed start stays on the worker for as long as the
 * order may still be carried out, or until the worker is taken for removed.
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
        if (may_start_late(sched, task)) {
            continue;
        }
        lost++;
        log_lost_task(sched, task, cause, now_ms);
        if (FvSched_LateStartUntilMs(task) > now_ms) {
            FvSched_OrphanLatestRun(task, now_ms); /* the worker may return */
        }
        FvSched_RequeueTask(sched, task);
        if (stage->step->gang) {
            FvSched_StopGang(sched, stage, now_ms);
        }
    }
    FvMetrics_Add(Fv_COUNTER_TASKS_LOST, lost);
    if (lost > 0) {
        FvLog_Event(Fv_LOG_WARN, "tasks_lost",
                    "worker=%s cause=%s tasks=%u in_doubt=%d "
                    "lead_age_ms=%" PRId64,
                    worker->entry.id, cause, lost, worker->task_count,
                    FvSched_LeadAgeMs(sched, now_ms));
    }
}
