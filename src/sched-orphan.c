/*
 * Orphaned runs: runs that may be on a worker and belong to no open task. Each
 * is stopped, and occupies its worker until it has certainly ended.
 */

#include "scheduler.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

static fv_orphan_run_t *
find_orphan(const fv_sched_worker_t *worker, const char *task, int32_t run)
{
    fv_orphan_run_t *orphan = worker->orphan_runs;

    while (orphan != NULL &&
           (orphan->run != run || strcmp(orphan->task, task) != 0)) {
        orphan = orphan->next;
    }
    return orphan;
}

/**
 * FvSched_AddOrphanRun - track a run that belongs to no open task
 * @worker: the worker
 * @task: name of the task
 * @run: number of the run
 * @now_ms: the time
 *
 * The run occupies the worker until its end is listed, or until the time that
 * FvSched_CheckOrphanRuns() or the answer to its stop sets.
 *
 * Return: the orphaned run, which is on the worker as far as is known.
 */
fv_orphan_run_t *
FvSched_AddOrphanRun(fv_sched_worker_t *worker, const char *task, int32_t run,
                     int64_t now_ms)
{
    fv_orphan_run_t *orphan = find_orphan(worker, task, run);

    if (orphan == NULL) {
        orphan = calloc(1, sizeof(*orphan));
        if (orphan == NULL) {
            abort(); /* the run's resources would be allocated twice */
        }
        FvText_Copy(orphan->task, sizeof(orphan->task), task);
        orphan->run = run;
        orphan->next = worker->orphan_runs;
        worker->orphan_runs = orphan;
    }
    orphan->since_ms = now_ms;
    orphan->start_arrived = true;
    orphan->ended_by_ms = INT64_MAX;
    return orphan;
}

/**
 * FvSched_OrphanLatestRun - orphan the latest run of a task
 * @task: the task, which is on a worker
 * @now_ms: the time
 *
 * Return: the orphaned run, with what is known of the task's start order.
 */
fv_orphan_run_t *
FvSched_OrphanLatestRun(const fv_sched_task_t *task, int64_t now_ms)
{
    char name[Fv_RUN_TASK_ID_SIZE];
    fv_orphan_run_t *orphan;

    FvSched_TaskName(task, name, sizeof(name));
    orphan = FvSched_AddOrphanRun(task->worker, name, task->run, now_ms);
    FvSched_ChargeOrphanRun(orphan, task->stage->job, task->stage->step);
    orphan->start_arrived = task->start_confirmed_ms != 0;
    orphan->start_until_ms = FvSched_LateStartUntilMs(task);
    return orphan;
}

/**
 * FvSched_StopOrphanRun - order the worker to stop an orphaned run
 * @sched: the scheduler
 * @worker: the worker
 * @orphan: the run
 * @now_ms: the time
 *
 * Does nothing while an earlier stop may still be answered or takes effect.
 */
void
FvSched_StopOrphanRun(fv_sched_t *sched, fv_sched_worker_t *worker,
                      fv_orphan_run_t *orphan, int64_t now_ms)
{
    if (orphan->stop_confirmed_ms != 0 &&
        now_ms - orphan->stop_confirmed_ms <= sched->stop_max_ms) {
        return;
    }
    if (orphan->stop_sent_ms != 0 &&
        now_ms - orphan->stop_sent_ms < Fv_STOP_RETRY_MS) {
        return;
    }
    orphan->stop_confirmed_ms = 0;
    orphan->stop_sent_ms = now_ms;
    sched->ops->stop_orphan_run(sched, worker, orphan->task, orphan->run);
}

/**
 * FvSched_OrphanStopAnswered - apply the result of a stop of an orphaned run
 * @sched: the scheduler
 * @worker: the worker
 * @task: name of the task
 * @run: number of the run; ignored when it is not an orphaned one
 * @result: the worker's answer, or that there was none
 * @now_ms: the time
 *
 * From a confirmed stop on, the worker refuses the run's start.
 */
void
FvSched_OrphanStopAnswered(fv_sched_t *sched, fv_sched_worker_t *worker,
                           const char *task, int32_t run,
                           fv_order_result_t result, int64_t now_ms)
{
    fv_orphan_run_t *orphan = find_orphan(worker, task, run);

    if (orphan == NULL) {
        return;
    }
    if (result == Fv_ORDER_DONE || result == Fv_ORDER_STALE_RUN) {
        orphan->stop_confirmed_ms = now_ms;
        if (orphan->ended_by_ms > now_ms + sched->stop_max_ms) {
            orphan->ended_by_ms = now_ms + sched->stop_max_ms;
        }
        worker->report_due_ms = now_ms + sched->stop_max_ms + 1;
    }
    else if (result == Fv_ORDER_UNCONFIRMED || result == Fv_ORDER_NOT_SENT) {
        orphan->stop_sent_ms = 0; /* repeated with the next report */
        FvSched_NoteUnanswered(sched, now_ms);
        sched->ops->request_report(sched, worker);
    }
}

/**
 * FvSched_CheckOrphanRuns - follow up on the orphaned runs that a report does
 * not list
 * @sched: the scheduler
 * @worker: the worker
 * @sent_ms: when the report was requested
 * @now_ms: the time
 *
 * A run that is on the worker and not listed has ended or is being stopped.
 * One whose start may still arrive is stopped until the worker confirms it.
 */
void
FvSched_CheckOrphanRuns(fv_sched_t *sched, fv_sched_worker_t *worker,
                        int64_t sent_ms, int64_t now_ms)
{
    for (fv_orphan_run_t *orphan = worker->orphan_runs; orphan != NULL;
         orphan = orphan->next) {
        if (orphan->ended_by_ms != INT64_MAX || orphan->since_ms >= sent_ms) {
            continue;
        }
        if (!orphan->start_arrived && orphan->start_until_ms >= sent_ms) {
            FvSched_StopOrphanRun(sched, worker, orphan, now_ms);
        }
        else {
            orphan->ended_by_ms = now_ms + sched->stop_max_ms;
        }
    }
}

/**
 * FvSched_OrphanRunEnded - note the end of an orphaned run
 * @worker: the worker that ran it
 * @task: name of the task
 * @run: number of the run
 */
void
FvSched_OrphanRunEnded(fv_sched_worker_t *worker, const char *task,
                       int32_t run)
{
    fv_orphan_run_t *orphan = find_orphan(worker, task, run);

    if (orphan != NULL) {
        orphan->ended_by_ms = 0;
    }
}

static void
free_orphan(fv_orphan_run_t **link)
{
    fv_orphan_run_t *orphan = *link;

    *link = orphan->next;
    FvSched_ReleaseOrphanRun(orphan);
    free(orphan);
}

/**
 * FvSched_ForgetEndedOrphanRuns - remove the orphaned runs that have ended
 * @worker: the worker
 * @now_ms: the time
 */
void
FvSched_ForgetEndedOrphanRuns(fv_sched_worker_t *worker, int64_t now_ms)
{
    fv_orphan_run_t **link = &worker->orphan_runs;

    while (*link != NULL) {
        fv_orphan_run_t *orphan = *link;

        if (orphan->ended_by_ms > now_ms) {
            link = &orphan->next;
            continue;
        }
        if (orphan->ended_by_ms != 0) {
            FvLog_Event(Fv_LOG_INFO, "orphan_run_forgotten",
                        "task=%s run=%d worker=%s stop_confirmed=%d",
                        orphan->task, orphan->run, worker->entry.id,
                        orphan->stop_confirmed_ms != 0 ? 1 : 0);
        }
        free_orphan(link);
    }
}

/**
 * FvSched_DoubtOrphanRuns - note that a worker was restarted
 * @worker: the worker
 * @now_ms: the time
 *
 * The new incarnation runs none of them, but may receive a start that the
 * earlier one did not answer.
 */
void
FvSched_DoubtOrphanRuns(fv_sched_worker_t *worker, int64_t now_ms)
{
    fv_orphan_run_t **link = &worker->orphan_runs;

    while (*link != NULL) {
        fv_orphan_run_t *orphan = *link;

        if (orphan->start_until_ms < now_ms) {
            free_orphan(link);
            continue;
        }
        orphan->start_arrived = false;
        orphan->stop_sent_ms = 0;
        orphan->stop_confirmed_ms = 0;
        orphan->ended_by_ms = INT64_MAX;
        link = &orphan->next;
    }
}

/**
 * FvSched_FreeOrphanRuns - free the orphaned runs of a worker that is removed
 * @worker: the worker
 */
void
FvSched_FreeOrphanRuns(fv_sched_worker_t *worker)
{
    while (worker->orphan_runs != NULL) {
        free_orphan(&worker->orphan_runs);
    }
}

/**
 * FvSched_HasOrphanRuns - check whether a worker may have orphaned runs
 * @worker: the worker
 * @now_ms: the time
 *
 * Return: false when all have certainly ended.
 */
bool
FvSched_HasOrphanRuns(const fv_sched_worker_t *worker, int64_t now_ms)
{
    for (const fv_orphan_run_t *orphan = worker->orphan_runs; orphan != NULL;
         orphan = orphan->next) {
        if (orphan->ended_by_ms > now_ms) {
            return true;
        }
    }
    return false;
}

/* When a start that the worker did not answer can no longer arrive, nor a run
 * that it has started on a later incarnation have outlived the lease that it
 * got there. */
static int64_t
start_effects_end_ms(const fv_sched_t *sched, const fv_sched_worker_t *worker,
                     const fv_orphan_run_t *orphan)
{
    if (orphan->start_arrived || orphan->start_until_ms == 0) {
        return 0;
    }
    return orphan->start_until_ms +
           (worker->listed && FvSched_IsIncarnationListed(worker)
                ? 0
                : FvSched_LongestLeaseMs(sched));
}

/**
 * FvSched_MayOrphanRun - check whether an orphaned run may still run
 * @sched: the scheduler
 * @worker: its worker
 * @orphan: the run
 * @now_ms: the time
 *
 * The reports of a worker that answers tell of the run's end. On one that does
 * not, it ends with the worker's lease.
 *
 * Return: false when it has certainly ended.
 */
bool
FvSched_MayOrphanRun(const fv_sched_t *sched, const fv_sched_worker_t *worker,
                     const fv_orphan_run_t *orphan, int64_t now_ms)
{
    bool answers = !worker->suspect && !worker->lost;

    if (orphan->ended_by_ms <= now_ms) {
        return false;
    }
    return answers || !FvSched_HasLeaseExpired(sched, worker) ||
           !FvSched_LedAt(sched, start_effects_end_ms(sched, worker, orphan));
}
