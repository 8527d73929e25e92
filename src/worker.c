/*
 * The tasks and reservations of one worker and the resources allocated to
 * them. Only the holder of the worker's lease changes them.
 */

#include "fireflyvalve.h"

#include <stdlib.h>
#include <string.h>

static const char *const state_names[] = {
    [Fv_TASK_RESERVED] = "reserved",
    [Fv_TASK_STARTING] = "starting",
    [Fv_TASK_RUNNING] = "running",
    [Fv_TASK_DONE] = "done",
    [Fv_TASK_FAILED] = "failed",
    [Fv_TASK_STOPPED] = "stopped",
    [Fv_TASK_NEVER_STARTED] = "never_started",
    [Fv_TASK_UNKNOWN] = "unknown",
};

#define STATE_COUNT (sizeof(state_names) / sizeof(state_names[0]))

/**
 * FvTaskState_Name - name of a state in messages
 * @state: the state
 *
 * Return: a static string.
 */
const char *
FvTaskState_Name(fv_task_state_t state)
{
    return (size_t)state < STATE_COUNT ? state_names[state] : "unknown";
}

/**
 * FvTaskState_Parse - look up a state by its name in messages
 * @name: the name, or NULL
 * @state: set if the name is known
 *
 * Return: false if the name is unknown.
 */
bool
FvTaskState_Parse(const char *name, fv_task_state_t *state)
{
    for (size_t i = 0; name != NULL && i < STATE_COUNT; i++) {
        if (strcmp(name, state_names[i]) == 0) {
            *state = (fv_task_state_t)i;
            return true;
        }
    }
    return false;
}

/**
 * FvTaskState_IsTerminal - whether a task can no longer hold resources
 * @state: its state
 *
 * Return: false for Fv_TASK_UNKNOWN, because such a task may still run.
 */
bool
FvTaskState_IsTerminal(fv_task_state_t state)
{
    return state == Fv_TASK_DONE || state == Fv_TASK_FAILED ||
           state == Fv_TASK_STOPPED || state == Fv_TASK_NEVER_STARTED;
}

/**
 * FvWorker_New - allocate a worker without a lease or capacity
 * @name: its name
 *
 * Return: the worker, or NULL when memory is exhausted.
 */
fv_worker_t *
FvWorker_New(const char *name)
{
    fv_worker_t *worker = calloc(1, sizeof(*worker));

    if (worker != NULL) {
        snprintf(worker->name, sizeof(worker->name), "%s", name);
        worker->placement_index = -1;
    }
    return worker;
}

/**
 * FvWorker_Free - release a worker and its tasks
 * @worker: the worker, or NULL; it must not be in a placement index
 */
void
FvWorker_Free(fv_worker_t *worker)
{
    if (worker != NULL) {
        FvWorker_ClearTasks(worker);
        free(worker);
    }
}

/**
 * FvWorker_AcceptsTasks - whether the worker may be assigned a task now
 * @worker: the worker
 * @now_ms: boot time
 *
 * Free resources are not checked. The lease must allow a start during the
 * whole millisecond.
 *
 * Return: false if the worker is unlisted, leaving or quarantined, if its
 * lease allows no start, or if all its connections are in use.
 */
bool
FvWorker_AcceptsTasks(const fv_worker_t *worker, int64_t now_ms)
{
    int64_t from_ns = now_ms * Fv_NS_PER_MS;
    int64_t to_ns = from_ns + Fv_NS_PER_MS - 1;

    return worker->listed && !worker->leaving &&
           worker->connections_used < worker->connection_limit &&
           FvLease_AllowsStart(&worker->lease, from_ns) &&
           FvLease_AllowsStart(&worker->lease, to_ns) &&
           FvQuarantine_AllowsTask(&worker->quarantine, now_ms);
}

/**
 * FvWorker_SetCapacity - set the capacity and recompute the free resources
 * @worker: the worker
 * @capacity: its total resources, as reported by the worker
 */
void
FvWorker_SetCapacity(fv_worker_t *worker, const fv_resources_t *capacity)
{
    worker->capacity = *capacity;
    worker->free = *capacity;
    for (fv_task_t *task = worker->tasks; task != NULL; task = task->next) {
        FvResources_Subtract(&worker->free, &task->size);
    }
}

/**
 * FvWorker_FindTask - look up a task or reservation
 * @worker: the worker
 * @id: the task id
 *
 * Return: the task, or NULL.
 */
fv_task_t *
FvWorker_FindTask(const fv_worker_t *worker, const char *id)
{
    fv_task_t *task = worker->tasks;

    while (task != NULL && strcmp(task->id, id) != 0) {
        task = task->next;
    }
    return task;
}

/* Every task occupies at least one slot, whatever its declared size. */
static fv_resources_t
effective_size(const fv_resources_t *size)
{
    fv_resources_t effective = *size;

    if (effective.slots < 1) {
        effective.slots = 1;
    }
    return effective;
}

/**
 * FvWorker_AddTask - allocate resources to a task or reservation
 * @worker: the worker
 * @task: the task to copy
 *
 * A task that already runs is added even if it does not fit, because the
 * allocations must match what the worker actually runs.
 *
 * Return: the entry; NULL if the id is present, the task has ended, a new task
 * does not fit, or memory is exhausted.
 */
fv_task_t *
FvWorker_AddTask(fv_worker_t *worker, const fv_task_t *task)
{
    fv_resources_t size = effective_size(&task->size);
    bool is_new =
        task->state == Fv_TASK_RESERVED || task->state == Fv_TASK_STARTING;
    fv_task_t *entry;

    if (FvTaskState_IsTerminal(task->state) ||
        FvWorker_FindTask(worker, task->id) != NULL ||
        (is_new && !FvResources_Fits(&size, &worker->free))) {
        return NULL;
    }
    entry = malloc(sizeof(*entry));
    if (entry == NULL) {
        return NULL;
    }
    *entry = *task;
    entry->size = size;
    entry->next = worker->tasks;
    worker->tasks = entry;
    FvResources_Subtract(&worker->free, &entry->size);
    return entry;
}

/**
 * FvWorker_RemoveTask - release a task's resources and free its entry
 * @worker: the worker
 * @task: an entry of this worker
 */
void
FvWorker_RemoveTask(fv_worker_t *worker, fv_task_t *task)
{
    fv_task_t **link = &worker->tasks;

    while (*link != NULL && *link != task) {
        link = &(*link)->next;
    }
    if (*link == NULL) {
        return;
    }
    *link = task->next;
    FvResources_Add(&worker->free, &task->size);
    free(task);
}

/**
 * FvWorker_ResizeTask - change the resources allocated to a task
 * @worker: the worker
 * @task: an entry of this worker
 * @size: its new size; the worker is overcommitted if the size does not fit
 */
void
FvWorker_ResizeTask(fv_worker_t *worker, fv_task_t *task,
                    const fv_resources_t *size)
{
    FvResources_Add(&worker->free, &task->size);
    task->size = effective_size(size);
    FvResources_Subtract(&worker->free, &task->size);
}

/**
 * FvWorker_ExpireReservations - remove expired reservations
 * @worker: the worker
 * @now_ms: boot time
 *
 * If the reservation was the probe of a quarantined worker, another probe is
 * allowed immediately.
 *
 * Return: the number of reservations removed.
 */
uint32_t
FvWorker_ExpireReservations(fv_worker_t *worker, int64_t now_ms)
{
    fv_task_t *task = worker->tasks;
    uint32_t removed = 0;

    while (task != NULL) {
        fv_task_t *next = task->next;

        if (task->state == Fv_TASK_RESERVED && task->expires_ms <= now_ms) {
            FvWorker_RemoveTask(worker, task);
            FvQuarantine_AbortProbe(&worker->quarantine);
            removed++;
        }
        task = next;
    }
    return removed;
}

/**
 * FvWorker_ClearTasks - remove all tasks and reservations
 * @worker: the worker
 */
void
FvWorker_ClearTasks(fv_worker_t *worker)
{
    while (worker->tasks != NULL) {
        fv_task_t *task = worker->tasks;

        worker->tasks = task->next;
        free(task);
    }
    worker->free = worker->capacity;
}
