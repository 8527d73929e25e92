/*
 * Orders to workers: what their answers mean for a task.
 */

#include "scheduler.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* A stop that was not answered or took no effect is sent again after this;
 * a stop takes at most stopTimeoutMs (0.2 to 0.9 s on the sheets). */
#define Fv_STOP_REPEAT_MS 500

/* Pause before a task is offered again after a worker turned it away. */
#define Fv_REFUSED_PAUSE_MS 50

/* After an unanswered order, workers are looked at more often for as long as
 * such troubles usually last (BENCH, kinds: about 5 s). */
#define Fv_DOUBT_MS 5000

/**
 * FvSched_RequeueTask - the task surely does not run: it waits again
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
 * FvSched_StopTask - stop a run; its end is reported by the worker
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
          now_ms - task->stop_sent_ms < Fv_STOP_REPEAT_MS))) {
        return;
    }
    task->state = Fv_SCHED_STOPPING;
    task->stop_sent_ms = now_ms;
    task->stop_repeated = false;
    sched->ops->stop(sched, task);
}

/**
 * FvSched_StopGang - stop what is left of a gang's run
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
 * FvSched_MayRefillGang - whether members that are missing may be started
 * elsewhere under the gang's run
 * @sched: the scheduler
 * @stage: the gang
 * @now_ms: the time
 *
 * Return: true while the other members still wait for them.
 */
bool
FvSched_MayRefillGang(const fv_sched_t *sched, const fv_sched_stage_t *stage,
                      int64_t now_ms)
{
    return !stage->gang_broken && stage->waiting < stage->step->task_count &&
           now_ms - stage->gang_start_ms < sched->gang_refill_ms;
}

/**
 * FvSched_GangMemberMissing - a member of a gang surely has not begun its run
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
 * FvSched_NoteUnanswered - an order or a report was left unanswered
 * @sched: the scheduler
 * @now_ms: the time
 */
void
FvSched_NoteUnanswered(fv_sched_t *sched, int64_t now_ms)
{
    sched->poll_faster_until_ms = now_ms + Fv_DOUBT_MS;
}

static void
drop_ticket(fv_sched_stage_t *stage, const fv_sched_worker_t *worker)
{
    for (uint32_t i = 0; i < stage->verdict_count; i++) {
        if (stage->verdicts[i].worker == worker) {
            stage->verdicts[i].expires_ms = 0;
        }
    }
}

/* The worker has surely not begun the run. */
static void
take_back(fv_sched_t *sched, fv_sched_task_t *task, int64_t now_ms)
{
    fv_sched_stage_t *stage = task->stage;

    stage->next_place_ms = now_ms + Fv_REFUSED_PAUSE_MS;
    task->failed_on = task->worker;
    FvSched_RequeueTask(sched, task);
    if (stage->step->gang) {
        FvSched_GangMemberMissing(sched, stage, now_ms);
    }
}

static void
start_refused(fv_sched_t *sched, fv_sched_task_t *task,
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
        drop_ticket(task->stage, worker);
        break;
    case Fv_ORDER_UNHEALTHY:
        FvSched_UpdateWorkerHealth(worker, task, true, now_ms);
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
    take_back(sched, task, now_ms);
}

/* The worker takes an order for a run that it has or had for the same one, so
 * that a repetition settles most doubts in one round trip. */
static bool
repeat_start(fv_sched_t *sched, fv_sched_task_t *task, int64_t now_ms)
{
    const fv_sched_stage_t *stage = task->stage;
    const fv_verdict_t *verdict = NULL;

    if (task->start_repeated || task->state != Fv_SCHED_STARTING ||
        task->worker->suspect || task->worker->lost) {
        return false;
    }
    if (stage->job->queue.needs_advice) {
        verdict = FvSched_FindVerdict(stage, task->worker);
        if (verdict == NULL || !FvSched_TicketValid(verdict, now_ms)) {
            return false;
        }
    }
    task->start_repeated = sched->ops->start(sched, task, verdict);
    return task->start_repeated;
}

/**
 * FvSched_StartAnswered - the worker answered a start, or did not
 * @sched: the scheduler
 * @task: the task
 * @run: the run that was ordered
 * @result: the answer
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
    else if (result == Fv_ORDER_UNCONFIRMED || task->start_repeated) {
        /* A repetition that was refused says nothing of the first order. */
        FvLog_Event(Fv_LOG_INFO, "start_in_doubt",
                    "job=%s stage=%u task=%d worker=%s run=%d reason=%d "
                    "repeated=%d",
                    task->stage->job->id, task->stage->step_index, task->index,
                    task->worker->entry.id, run, (int)result,
                    task->start_repeated ? 1 : 0);
        FvSched_NoteUnanswered(sched, now_ms);
        if (result == Fv_ORDER_UNCONFIRMED &&
            repeat_start(sched, task, now_ms)) {
            return;
        }
        task->start_unconfirmed = true;
        sched->ops->request_report(sched, task->worker);
    }
    else if (task->state == Fv_SCHED_STARTING ||
             task->state == Fv_SCHED_STOPPING) {
        start_refused(sched, task, result, now_ms);
    }
}

/**
 * FvSched_StopAnswered - the worker answered a stop, or did not
 * @sched: the scheduler
 * @task: the task
 * @run: the run that was to stop
 * @result: the answer
 * @now_ms: the time
 *
 * After a confirmed stop the run ends within stop_max_ms, without being listed
 * as running, or, when it never arrived, will be turned away.
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
    else if (result == Fv_ORDER_UNCONFIRMED) {
        FvSched_NoteUnanswered(sched, now_ms);
        if (!task->stop_repeated && !task->worker->suspect) {
            task->stop_repeated = true;
            task->stop_sent_ms = now_ms;
            sched->ops->stop(sched, task);
            return;
        }
        sched->ops->request_report(sched, task->worker);
    }
}
