/*
 * Restarts of workers: what is known of a worker belongs to one incarnation.
 */

#include "scheduler.h"

#include <stdlib.h>

#include <inttypes.h>

static void
forget_in_stage(fv_sched_stage_t *stage, const fv_sched_worker_t *worker)
{
    uint32_t kept = 0;

    for (uint32_t v = 0; v < stage->verdict_count; v++) {
        if (stage->verdicts[v].worker != worker) {
            stage->verdicts[kept++] = stage->verdicts[v];
        }
        else {
            free(stage->verdicts[v].ticket);
        }
    }
    stage->verdict_count = kept;
    for (int32_t t = 0; stage->has_failed_on && t < stage->step->task_count;
         t++) {
        if (stage->tasks[t].failed_on == worker) {
            stage->tasks[t].failed_on = NULL;
        }
    }
}

/**
 * FvSched_NoteFailedOn - remember on which worker a task failed last
 * @task: the task
 * @worker: the worker
 */
void
FvSched_NoteFailedOn(fv_sched_task_t *task, const fv_sched_worker_t *worker)
{
    task->failed_on = worker;
    task->stage->has_failed_on = true;
}

/**
 * FvSched_ForgetWorker - drop all tickets for a worker and the failures on it
 * @sched: the scheduler
 * @worker: the worker
 */
void
FvSched_ForgetWorker(fv_sched_t *sched, const fv_sched_worker_t *worker)
{
    for (fv_sched_job_t *job = sched->jobs; job != NULL; job = job->hh.next) {
        for (uint32_t o = 0; o < job->open_count; o++) {
            fv_occurrence_t *occurrence = job->occurrences[o];

            for (uint32_t s = 0;
                 occurrence->stages != NULL && s < job->spec.step_count; s++) {
                forget_in_stage(&occurrence->stages[s], worker);
            }
        }
    }
}

/* An order that the earlier incarnation did not answer may reach the later
 * one. Starts are not repeated there; those that may arrive late are forbidden
 * by a stop before their task goes elsewhere. */
static void
doubt_orders(fv_sched_worker_t *worker)
{
    for (fv_sched_task_t *task = worker->tasks; task != NULL;
         task = task->worker_next) {
        task->progress_clock_ms = 0; /* of the earlier incarnation */
        if (task->state == Fv_SCHED_STARTING) {
            task->start_retried = true;
        }
        else if (task->start_retried || task->start_confirmed_ms == 0) {
            task->start_unconfirmed = true;
            task->start_confirmed_ms = 0;
            task->stop_confirmed_ms = 0;
        }
    }
}

/**
 * FvSched_CheckEntryIncarnation - look for a sign of a restart in an entry
 * @worker: the worker, with its earlier entry
 * @entry: the new entry
 * @now_ms: the time
 *
 * When the entry is the first to tell of an incarnation, the worker gets no
 * lease until it has reported that one, or any in answer to a later request.
 */
void
FvSched_CheckEntryIncarnation(fv_sched_worker_t *worker,
                              const fv_worker_entry_t *entry, int64_t now_ms)
{
    if (entry->started_wall_ms != worker->entry.started_wall_ms &&
        entry->started_wall_ms != worker->started_wall_ms) {
        worker->synced = false;
        worker->clock_known = false;
        worker->doubted_ms = now_ms;
        worker->report_due_ms = now_ms;
    }
}

/**
 * FvSched_IsReportOvertaken - check whether a report is of an earlier
 * incarnation than the one that reported last
 * @worker: the worker
 * @started_wall_ms: start time of the process that reports
 * @sent_ms: when the report was requested
 *
 * Start times are those of a time of day, which may be set back. A report that
 * was requested after the latest one had arrived is of no earlier incarnation.
 *
 * Return: true when it came late.
 */
bool
FvSched_IsReportOvertaken(const fv_sched_worker_t *worker,
                          int64_t started_wall_ms, int64_t sent_ms)
{
    return sent_ms <= worker->last_contact_ms &&
           (started_wall_ms < worker->started_wall_ms ||
            started_wall_ms == worker->previous_started_wall_ms);
}

/**
 * FvSched_BeginIncarnation - reset the state of a worker that was restarted
 * @sched: the scheduler
 * @worker: the worker
 * @started_wall_ms: start time of the process; identifies the incarnation
 * @now_ms: the time
 *
 * The new incarnation may already have received orders, so the tasks stay on
 * the worker until its first report lists the running ones.
 */
void
FvSched_BeginIncarnation(fv_sched_t *sched, fv_sched_worker_t *worker,
                         int64_t started_wall_ms, int64_t now_ms)
{
    if (worker->started_wall_ms != 0) {
        FvLog_Event(Fv_LOG_INFO, "worker_restarted",
                    "worker=%s tasks=%d listed=%d last_end=%" PRId64,
                    worker->entry.id, worker->task_count,
                    worker->entry.started_wall_ms == started_wall_ms ? 1 : 0,
                    worker->last_end_applied);
        worker->inherited = false;
        worker->inherited_stops_until_ms = 0;
        FvSched_ForgetWorker(sched, worker);
        doubt_orders(worker);
        worker->restarted = true;
    }
    worker->previous_started_wall_ms = worker->started_wall_ms;
    worker->started_wall_ms = started_wall_ms;
    worker->last_end_applied = 0;
    worker->last_end_recorded = 0;
    worker->last_end_acknowledged = 0;
    worker->synced = false;
    worker->clock_known = false;
    worker->consecutive_failures = 0;
    worker->last_failed_job = NULL;
    worker->quarantined_until_ms = 0;
    worker->probe = NULL;
    FvSched_ResetSpeed(&worker->speed);
    FvSched_DoubtOrphanRuns(worker, now_ms);
    sched->dirty = true;
}
