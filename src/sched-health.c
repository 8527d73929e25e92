/*
 * Health of workers. One that fails tasks of different jobs is quarantined:
 * it gets no task for some time. On the probation that follows, it gets those
 * of one stage at a time, until a run has succeeded or has lasted for a while.
 */

#include "scheduler.h"

#include <inttypes.h>

/* After this many consecutive failures of different jobs a worker is
 * quarantined. */
#define Fv_CONSECUTIVE_FAILURES_MAX 2

/* Faults of this kind pass within seconds. */
#define Fv_QUARANTINE_MS 4000

/* At the beginning of a probation only single tasks run: a gang that fails
 * loses the work of all its members. */
#define Fv_GANG_PROBE_DELAY_MS 1000

/* A run may take hours, so that one that has not failed for this long ends the
 * probation. Longer than Fv_STALLED_MS, after which a run that stands still
 * counts as a failure. */
#define Fv_PROBE_MS 3000

/**
 * FvSched_IsWorkerQuarantined - check whether a quarantine or the probation
 * after it keeps a stage from a worker
 * @worker: the worker
 * @stage: the stage
 * @now_ms: the time
 *
 * Return: true during the quarantine; on probation, while another stage runs
 * there, and for a gang also at the beginning.
 */
bool
FvSched_IsWorkerQuarantined(const fv_sched_worker_t *worker,
                            const fv_sched_stage_t *stage, int64_t now_ms)
{
    if (worker->quarantined_until_ms == 0) {
        return false;
    }
    if (worker->quarantined_until_ms > now_ms) {
        return true;
    }
    if (worker->probe != NULL) {
        return worker->probe != stage || !stage->step->gang;
    }
    return stage->step->gang &&
           worker->quarantined_until_ms + Fv_GANG_PROBE_DELAY_MS > now_ms;
}

/**
 * FvSched_BeginProbe - note that tasks of a stage start on a worker
 * @worker: the worker; ignored unless it is on probation
 * @stage: the stage
 * @now_ms: the time
 */
void
FvSched_BeginProbe(fv_sched_worker_t *worker, const fv_sched_stage_t *stage,
                   int64_t now_ms)
{
    if (worker->quarantined_until_ms != 0 && worker->probe == NULL) {
        worker->probe = stage;
        worker->probe_since_ms = now_ms;
    }
}

/**
 * FvSched_EndProbe - note that a task has left a worker
 * @worker: the worker
 * @stage: the task's stage
 *
 * The probe may have ended without a result: another stage may then start.
 */
void
FvSched_EndProbe(fv_sched_worker_t *worker, const fv_sched_stage_t *stage)
{
    if (worker->probe != stage) {
        return;
    }
    for (const fv_sched_task_t *task = worker->tasks; task != NULL;
         task = task->worker_next) {
        if (task->stage == stage) {
            return;
        }
    }
    worker->probe = NULL;
}

static void
end_probation(fv_sched_worker_t *worker, const char *cause, int64_t now_ms)
{
    if (worker->quarantined_until_ms != 0) {
        FvLog_Event(Fv_LOG_INFO, "worker_proved",
                    "worker=%s cause=%s quarantine_ended_ms_ago=%" PRId64,
                    worker->entry.id, cause,
                    now_ms - worker->quarantined_until_ms);
    }
    worker->quarantined_until_ms = 0;
    worker->probe = NULL;
}

/**
 * FvSched_CheckProbe - end the probation of a worker on which a run has lasted
 * @sched: the scheduler
 * @worker: the worker
 * @stage: a stage with a run that the worker lists as running
 * @now_ms: the time
 *
 * Its earlier failures still count, so that one more is enough for the next
 * quarantine.
 */
void
FvSched_CheckProbe(const fv_sched_t *sched, fv_sched_worker_t *worker,
                   const fv_sched_stage_t *stage, int64_t now_ms)
{
    /* The members of a gang wait for the last of them before they work. */
    int64_t idle_ms = stage->step->gang ? sched->gang_refill_ms : 0;

    if (worker->probe == stage &&
        now_ms - worker->probe_since_ms >= Fv_PROBE_MS + idle_ms) {
        end_probation(worker, "no_failure", now_ms);
    }
}

/**
 * FvSched_WorkerSucceeded - note that a run has succeeded on a worker
 * @worker: the worker
 * @now_ms: the time
 */
void
FvSched_WorkerSucceeded(fv_sched_worker_t *worker, int64_t now_ms)
{
    worker->consecutive_failures = 0;
    worker->last_failed_job = NULL;
    end_probation(worker, "success", now_ms);
}

/* A job that also fails elsewhere is no evidence against a worker. */
static bool
has_failed_elsewhere(const fv_sched_worker_t *worker,
                     const fv_sched_task_t *task)
{
    /* The failures of a gang are counted for its first task. */
    const fv_sched_task_t *counted =
        task->stage->step->gang ? &task->stage->tasks[0] : task;

    return counted->failures > 1 && task->failed_on != worker;
}

/**
 * FvSched_WorkerFailed - note that a run has failed on a worker
 * @worker: the worker
 * @task: the task
 * @now_ms: the time
 */
void
FvSched_WorkerFailed(fv_sched_worker_t *worker, const fv_sched_task_t *task,
                     int64_t now_ms)
{
    const fv_sched_job_t *job = task->stage->job;

    worker->probe = NULL;
    if (worker->quarantined_until_ms != 0) {
        worker->quarantined_until_ms = now_ms + Fv_QUARANTINE_MS;
    }
    if (worker->last_failed_job == job || has_failed_elsewhere(worker, task)) {
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
