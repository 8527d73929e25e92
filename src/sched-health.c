/*
 * Health of workers: one that fails the tasks of different jobs is
 * quarantined, and then probed before it gets tasks as before.
 */

#include "scheduler.h"

/* After this many consecutive failures of different jobs a worker is
 * quarantined. */
#define Fv_CONSECUTIVE_FAILURES_MAX 2

/* How long a quarantined worker gets no task before it is probed with one.
 * Faults of this kind pass within seconds. */
#define Fv_QUARANTINE_MS 4000

/**
 * FvSched_IsWorkerQuarantined - check whether a quarantine keeps a stage from
 * a worker
 * @worker: the worker
 * @stage: the stage
 * @now_ms: the time
 *
 * Return: true during the quarantine and, for all but one single task, until
 * the worker is proved.
 */
bool
FvSched_IsWorkerQuarantined(const fv_sched_worker_t *worker,
                            const fv_sched_stage_t *stage, int64_t now_ms)
{
    return worker->quarantined_until_ms > now_ms ||
           (worker->quarantined_until_ms != 0 &&
            (worker->probing || stage->step->gang));
}

/**
 * FvSched_UpdateWorkerHealth - count a task's failure or success for a worker
 * @worker: the worker that ran the task
 * @task: the task
 * @failed: whether the task failed
 * @now_ms: the time
 */
void
FvSched_UpdateWorkerHealth(fv_sched_worker_t *worker,
                           const fv_sched_task_t *task, bool failed,
                           int64_t now_ms)
{
    const fv_sched_job_t *job = task->stage->job;

    if (!failed) {
        worker->consecutive_failures = 0;
        worker->last_failed_job = NULL;
        worker->quarantined_until_ms = 0;
        worker->probing = false;
        return;
    }
    worker->probing = false;
    if (worker->quarantined_until_ms != 0) {
        worker->quarantined_until_ms = now_ms + Fv_QUARANTINE_MS;
    }
    /* A job that also fails elsewhere is no evidence against this worker. */
    if (worker->last_failed_job == job ||
        (task->failures > 1 && task->failed_on != worker)) {
        return;
    }
    worker->last_failed_job = job;
    worker->consecutive_failures++;
    if (worker->consecutive_failures >= Fv_CONSECUTIVE_FAILURES_MAX) {
        worker->quarantined_until_ms = now_ms + Fv_QUARANTINE_MS;
        FvMetrics_Add(Fv_COUNTER_QUARANTINES, 1);
        FvLog_Event(Fv_LOG_WARN, "worker_quarantined",
                    "worker=%s failures=%d for_ms=%d", worker->entry.id,
                    worker->consecutive_failures, Fv_QUARANTINE_MS);
    }
}
