/*
 * Preempts a less urgent task to free capacity for a request. The worker
 * checkpoints the task and reports it as stopped; the host that accepted the
 * job restarts it when there is capacity.
 */

#include "daemon.h"

#include <stdlib.h>

/* Preempts one task at a time, so that the capacity freed by the last one is
 * known before another is chosen. */
#define Fv_PREEMPTION_INTERVAL_MS 500
/* Preempting a task that has just started wastes its start-up work. */
#define Fv_PREEMPTION_MIN_RUN_MS 2000

typedef struct fv_victim {
    fv_managed_worker_t *managed;
    fv_task_t *task;
} fv_victim_t;

/* Holds the worker's name: the callback looks up the worker and the task
 * again, because either may be gone by then. */
typedef struct fv_checkpoint_call {
    fv_holder_t *holder;
    char worker[Fv_NAME_SIZE];
} fv_checkpoint_call_t;

static bool
fits_after_removal(const fv_worker_t *worker, const fv_task_t *task,
                   const fv_policy_t *policy, const fv_resources_t *size)
{
    fv_worker_t without_task = *worker;
    fv_resources_t usable;

    FvResources_Add(&without_task.free, &task->size);
    policy->usable(&without_task, &usable);
    return FvResources_Fits(size, &usable);
}

static bool
can_preempt(const fv_managed_worker_t *managed, const fv_task_t *task,
            const fv_policy_t *policy, const fv_resources_t *size,
            int64_t now_ms)
{
    return task->state == Fv_TASK_RUNNING && task->restartable &&
           now_ms - task->added_ms >= Fv_PREEMPTION_MIN_RUN_MS &&
           policy->may_preempt(task) &&
           fits_after_removal(managed->worker, task, policy, size);
}

/* Chooses the task that started last: it loses the least work. */
static void
find_victim(const fv_holder_t *holder, const fv_task_request_t *request,
            fv_victim_t *victim)
{
    const fv_policy_t *policy = FvPolicy_ForClass(request->class_id);
    int64_t now_ms = FvClock_NowMs();

    for (fv_managed_worker_t *managed = holder->managed_workers;
         managed != NULL; managed = managed->hh.next) {
        if (!FvWorker_AcceptsTasks(managed->worker, now_ms)) {
            continue;
        }
        for (fv_task_t *task = managed->worker->tasks; task != NULL;
             task = task->next) {
            if (can_preempt(managed, task, policy, &request->size, now_ms) &&
                (victim->task == NULL ||
                 task->added_ms > victim->task->added_ms)) {
                *victim = (fv_victim_t){.managed = managed, .task = task};
            }
        }
    }
}

static void
receive_checkpoint(void *context, fv_upstream_error_t error,
                   fv_task_reply_t *reply)
{
    fv_checkpoint_call_t *call = context;
    fv_managed_worker_t *managed = FvHolder_Find(call->holder, call->worker);
    fv_task_t *task =
        managed ? FvWorker_FindTask(managed->worker, reply->id) : NULL;

    if (error == Fv_UPSTREAM_OK && task != NULL &&
        FvTaskState_IsTerminal(reply->state)) {
        FvHolder_RemoveTask(managed, task);
        FvHolder_OnTaskEnded(managed, reply->id);
    }
    free(call);
}

/**
 * FvPreemption_FreeCapacityFor - preempt a task for a request
 * @holder: the holder of the leases; none of its workers fits the request
 * @request: the request
 *
 * Only sends the checkpoint call; the request has to be repeated once the task
 * has stopped.
 */
void
FvPreemption_FreeCapacityFor(fv_holder_t *holder,
                             const fv_task_request_t *request)
{
    const fv_policy_t *policy = FvPolicy_ForClass(request->class_id);
    fv_upstream_t *upstream = holder->daemon->upstream;
    int64_t now_ms = FvClock_NowMs();
    fv_checkpoint_call_t *call;
    fv_victim_t victim = {0};

    if (policy->may_preempt == NULL ||
        now_ms - holder->last_preemption_ms < Fv_PREEMPTION_INTERVAL_MS) {
        return;
    }
    find_victim(holder, request, &victim);
    call = victim.task ? calloc(1, sizeof(*call)) : NULL;
    if (call == NULL) {
        return;
    }
    holder->last_preemption_ms = now_ms;
    call->holder = holder;
    FvText_Copy(call->worker, sizeof(call->worker),
                victim.managed->worker->name);
    FvLog_Event(Fv_LOG_INFO, "task_displaced", "task=%s worker=%s for=%s",
                victim.task->id, call->worker, request->id);
    upstream->type->checkpoint(upstream, victim.managed->worker->base_url,
                               victim.task->id, receive_checkpoint, call);
}
