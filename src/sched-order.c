/*
 * Orders to start and stop runs, and how the workers' answers change the state
 * of a task.
 */

#include "scheduler.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Delay before a stage is placed again after a worker refused a start. */
#define Fv_START_BACKOFF_MS 50

/* After an unanswered call, workers are polled more often for as long as the
 * platform's faults usually last, which is about 5 s. */
#define Fv_POLL_FASTER_MS 5000

/**
 * FvSched_RequeueTask - requeue a task that certainly does not run
 * @sched: the scheduler
 * @task: the task
 */
void
FvSched_RequeueTask(fv_sched_t *sched, fv_sched_task_t *task)
{
    fv_sched_stage_t *stage = task->stage;

    FvSched_DetachTask(task);
    if (task->state == Fv_SCHED_DONE || task->state == Fv_SCHED_WAITING) {
        return;
    }
    task->state = Fv_SCHED_WAITING;
    task->start_unconfirmed = false;
    task->stop_sent_ms = 0;
    task->stop_confirmed_ms = 0;
    task->start_confirmed_ms = 0;
    stage->waiting++;
    if (stage->job->outcome == Fv_SCHED_JOB_OPEN) {
        FvSched_MarkPending(sched, stage);
    }
}

/**
 * FvSched_LateStartUntilMs - until when a start of a task's latest run may
 * still arrive
 * @task: the task
 *
 * Return: the latest time at which the worker may carry out an unanswered
 * start, or an unanswered copy of one; 0 when each was answered.
 */
int64_t
FvSched_LateStartUntilMs(const fv_sched_task_t *task)
{
    return task->start_unconfirmed || task->start_retried ||
                   task->state == Fv_SCHED_STARTING
               ? task->start_repeated_ms + Fv_ORDER_DELAY_MAX_MS
               : 0;
}

/**
 * FvSched_StopTask - order the worker to stop the latest run of a task
 * @sched: the scheduler
 * @task: the task
 * @now_ms: the time
 */
void
FvSched_StopTask(fv_sched_t *sched, fv_sched_task_t *task, int64_t now_ms)
{
    if (task->worker == NULL ||
        (task->state == Fv_SCHED_STOPPING &&
         (task->stop_confirmed_ms != 0 ||
          now_ms - task->stop_sent_ms < Fv_STOP_RETRY_MS))) {
        return;
    }
    task->state = Fv_SCHED_STOPPING;
    task->stop_sent_ms = now_ms;
    task->stop_retried = false;
    sched->ops->stop(sched, task);
}

/**
 * FvSched_StopGang - stop the remaining members of a gang's run
 * @sched: the scheduler
 * @stage: the gang
 * @now_ms: the time
 */
void
FvSched_StopGang(fv_sched_t *sched, fv_sched_stage_t *stage, int64_t now_ms)
{
    stage->gang_broken = true;
    for (int32_t i = 0; i < stage->step->task_count; i++) {
        FvSched_StopTask(sched, &stage->tasks[i], now_ms);
    }
}

/**
 * FvSched_MayRefillGang - check whether missing members may be started
 * elsewhere in the gang's current run
 * @sched: the scheduler
 * @stage: the gang
 * @now_ms: the time
 *
 * Return: true while the other members wait for the missing ones.
 */
bool
FvSched_MayRefillGang(const fv_sched_t *sched, const fv_sched_stage_t *stage,
                      int64_t now_ms)
{
    return !stage->gang_broken && stage->waiting < stage->step->task_count &&
           now_ms - stage->gang_start_ms < sched->gang_refill_ms;
}

/**
 * FvSched_GangMemberMissing - handle a member that certainly has not started
 * @sched: the scheduler
 * @stage: the gang
 * @now_ms: the time
 */
void
FvSched_GangMemberMissing(fv_sched_t *sched, fv_sched_stage_t *stage,
                          int64_t now_ms)
{
    if (!FvSched_MayRefillGang(sched, stage, now_ms)) {
        FvSched_StopGang(sched, stage, now_ms);
    }
}

/**
 * FvSched_NoteUnanswered - note that a worker did not answer a call
 * @sched: the scheduler
 * @now_ms: the time
 */
void
FvSched_NoteUnanswered(fv_sched_t *sched, int64_t now_ms)
{
    sched->poll_faster_until_ms = now_ms + Fv_POLL_FASTER_MS;
}

static void
invalidate_ticket(fv_sched_stage_t *stage, const fv_sched_worker_t *worker)
{
    for (uint32_t i = 0; i < stage->verdict_count; i++) {
        if (stage->verdicts[i].worker == worker) {
            stage->verdicts[i].expires_ms = 0;
        }
    }
}

/* Requeues the task of a run that the worker certainly has not started. */
static void
requeue_unstarted(fv_sched_t *sched, fv_sched_task_t *task, int64_t now_ms)
{
    fv_sched_stage_t *stage = task->stage;

    stage->next_place_ms = now_ms + Fv_START_BACKOFF_MS;
    FvSched_NoteFailedOn(task, task->worker);
    FvSched_RequeueTask(sched, task);
    if (stage->step->gang) {
        FvSched_GangMemberMissing(sched, stage, now_ms);
    }
}

static void
handle_refused_start(fv_sched_t *sched, fv_sched_task_t *task,
                     fv_order_result_t result, int64_t now_ms)
{
    fv_sched_worker_t *worker = task->worker;
    char name[Fv_RUN_TASK_ID_SIZE];

    FvSched_TaskName(task, name, sizeof(name));
    FvMetrics_Add(Fv_COUNTER_STARTS_REFUSED, 1);
    FvLog_Event(Fv_LOG_INFO, "start_refused",
                "task=%s run=%d worker=%s reason=%d", name, task->run,
                worker->entry.id, (int)result);
    switch (result) {
    case Fv_ORDER_NO_TICKET:
        invalidate_ticket(task->stage, worker);
        break;
    case Fv_ORDER_UNHEALTHY:
        FvSched_WorkerFailed(worker, task, now_ms);
        break;
    case Fv_ORDER_NO_CAPACITY:
    case Fv_ORDER_LEASE_TOO_SHORT:
    case Fv_ORDER_WRONG_INSTANCE:
    case Fv_ORDER_FENCED:
        worker->synced = false;
        break;
    default:
        break;
    }
    if (!worker->synced) {
        sched->ops->request_report(sched, worker);
    }
    requeue_unstarted(sched, task, now_ms);
}

/**
 * FvSched_RetryStart - repeat a start order that was not answered
 * @sched: the scheduler
 * @task: the task
 * @now_ms: the time
 *
 * Starts are idempotent on the worker, so that one repetition resolves most
 * unconfirmed starts in a round trip. Without a ticket, it follows a report of
 * the incarnation that the first copy was meant for, on the same connection:
 * on another one it could reach the next incarnation. A customer whose cap was
 * lowered below its usage gets no repetition: a report follows, and a stop
 * unless it lists the run.
 *
 * Return: false when the order was not sent, or has been repeated before.
 */
bool
FvSched_RetryStart(fv_sched_t *sched, fv_sched_task_t *task, int64_t now_ms)
{
    const fv_sched_stage_t *stage = task->stage;
    const fv_verdict_t *verdict = NULL;

    if (task->start_retried || task->state != Fv_SCHED_STARTING ||
        task->worker->suspect || task->worker->lost || !task->worker->synced ||
        FvSched_IsAboveCap(stage)) {
        return false;
    }
    if (stage->job->queue.needs_advice) {
        verdict = FvSched_FindVerdict(stage, task->worker);
        if (verdict == NULL || !FvSched_TicketValid(verdict, now_ms)) {
            return false;
        }
    }
    task->start_retried = sched->ops->start(sched, task, verdict);
    if (task->start_retried) {
        task->start_unconfirmed = false;
        task->start_repeated_ms = now_ms;
    }
    return task->start_retried;
}

/**
 * FvSched_FindOrderedTask - find the task that an answered order is about
 * @sched: the scheduler
 * @worker: id of the worker that was called
 * @name: name of the task
 * @run: number of the run
 *
 * Members of a gang that are started elsewhere keep their run number, so that
 * the worker is compared as well.
 *
 * Return: the task, or NULL when its latest run is another one or is not on
 * the worker.
 */
fv_sched_task_t *
FvSched_FindOrderedTask(const fv_sched_t *sched, const char *worker,
                        const char *name, int32_t run)
{
    fv_sched_task_t *task = FvSched_FindTask(sched, name);

    return task != NULL && task->run == run && task->worker != NULL &&
                   strcmp(task->worker->entry.id, worker) == 0
               ? task
               : NULL;
}

/**
 * FvSched_OrderResult - what the answer to an order says of a worker
 * @worker: the worker
 * @started_wall_ms: incarnation of the worker when the order was sent
 * @result: the answer
 *
 * Return: the result; Fv_ORDER_UNCONFIRMED when it settles nothing at the
 * present incarnation, which may receive a copy of the order.
 */
fv_order_result_t
FvSched_OrderResult(const fv_sched_worker_t *worker, int64_t started_wall_ms,
                    fv_order_result_t result)
{
    return worker->started_wall_ms != started_wall_ms &&
                   (result == Fv_ORDER_DONE || result == Fv_ORDER_STALE_RUN)
               ? Fv_ORDER_UNCONFIRMED
               : result;
}

/**
 * FvSched_StartAnswered - apply the result of a start order
 * @sched: the scheduler
 * @task: the task
 * @run: the run that was to start
 * @result: the worker's answer, or that there was none
 * @now_ms: the time
 */
void
FvSched_StartAnswered(fv_sched_t *sched, fv_sched_task_t *task, int32_t run,
                      fv_order_result_t result, int64_t now_ms)
{
    if (task->run != run || task->worker == NULL) {
        return; /* the run ended before its start was answered */
    }
    if (result == Fv_ORDER_DONE) {
        task->start_confirmed_ms = now_ms;
        task->start_unconfirmed = false;
        if (task->state == Fv_SCHED_STARTING) {
            task->state = Fv_SCHED_RUNNING;
            task->progress_ms = now_ms;
        }
        task->stage->job->started = true;
    }
    else if (result == Fv_ORDER_NOT_SENT && !task->start_retried) {
        FvLog_Event(Fv_LOG_INFO, "start_not_sent",
                    "job=%s stage=%u task=%d worker=%s run=%d",
                    task->stage->job->id, task->stage->step_index, task->index,
                    task->worker->entry.id, run);
        requeue_unstarted(sched, task, now_ms);
    }
    else if (result == Fv_ORDER_UNCONFIRMED || task->start_retried) {
        /* A refused retry does not tell whether the first order arrived. */
        FvLog_Event(Fv_LOG_INFO, "start_in_doubt",
                    "job=%s stage=%u task=%d worker=%s run=%d reason=%d "
                    "repeated=%d",
                    task->stage->job->id, task->stage->step_index, task->index,
                    task->worker->entry.id, run, (int)result,
                    task->start_retried ? 1 : 0);
        FvSched_NoteUnanswered(sched, now_ms);
        /* A ticket is valid for one incarnation. */
        if (result == Fv_ORDER_UNCONFIRMED &&
            task->stage->job->queue.needs_advice &&
            FvSched_RetryStart(sched, task, now_ms)) {
            return;
        }
        task->start_unconfirmed = true;
        sched->ops->request_report(sched, task->worker);
    }
    else if (task->state == Fv_SCHED_STARTING ||
             task->state == Fv_SCHED_STOPPING) {
        handle_refused_start(sched, task, result, now_ms);
    }
}

/**
 * FvSched_StopAnswered - apply the result of a stop order
 * @sched: the scheduler
 * @task: the task
 * @run: the run that was to stop
 * @result: the worker's answer, or that there was none
 * @now_ms: the time
 *
 * After a confirmed stop the run ends within stop_max_ms and is not listed as
 * running meanwhile. If its start has not arrived yet, the worker will refuse
 * the start.
 */
void
FvSched_StopAnswered(fv_sched_t *sched, fv_sched_task_t *task, int32_t run,
                     fv_order_result_t result, int64_t now_ms)
{
    if (task->run != run || task->worker == NULL ||
        task->state != Fv_SCHED_STOPPING) {
        return;
    }
    if (result == Fv_ORDER_DONE || result == Fv_ORDER_STALE_RUN) {
        task->start_unconfirmed = false;
        task->stop_confirmed_ms = now_ms;
        task->worker->report_due_ms = now_ms + sched->stop_max_ms + 1;
    }
    else if (result == Fv_ORDER_UNCONFIRMED || result == Fv_ORDER_NOT_SENT) {
        FvSched_NoteUnanswered(sched, now_ms);
        if (!task->stop_retried && !task->worker->suspect) {
            task->stop_retried = true;
            task->stop_sent_ms = now_ms;
            sched->ops->stop(sched, task);
            return;
        }
        sched->ops->request_report(sched, task->worker);
    }
}
