/*
 * Jobs that are refused when they are submitted, since accepting them would
 * only promise what cannot be kept. Loads: many jobs that can never be done,
 * and a flood whose last jobs could not be completed while they have a value.
 * When in doubt a job is accepted.
 */

#include "scheduler.h"

#include <string.h>

/* Nothing is concluded from the workers until none has left or changed for
 * this long: an outage of the store removes entries for up to 2.4 s, and a
 * worker that restarts is back within some seconds. */
#define Fv_WORKERS_SETTLED_MS 5000

/* A job that can never run may be submitted again later, for other workers. */
#define Fv_UNFIT_RETRY_MS 30000

/* Run times may be expected too long by this factor (the learned models err by
 * less, docs/platform.md). */
#define Fv_BACKLOG_CAUTION 2.0

/* A late job has a value up to this multiple of its objective. */
#define Fv_VALUE_OBJECTIVES 3.0

/* Whether a worker could ever run a task, as far as it is known now. A worker
 * that leaves counts, since another one may take its place. */
static int64_t
capacity_for(const fv_sched_worker_t *worker, const fv_step_spec_t *step,
             const char *service)
{
    fv_sched_resources_t all = {.cpu_millis = worker->entry.cpu_millis,
                                .memory_mib = worker->entry.memory_mib,
                                .accelerators = worker->entry.accelerators};

    return strcmp(worker->entry.service, service) == 0 &&
                   FvSched_HasStepLabel(worker, step)
               ? FvSched_TaskCapacity(step, &all)
               : 0;
}

/* Whether the workers of a service could never run a step, if all of them were
 * free. */
static bool
is_unfit(const fv_sched_t *sched, const fv_step_spec_t *step,
         const char *service)
{
    int64_t needed = step->gang ? step->task_count : 1;

    for (const fv_sched_worker_t *worker = sched->workers;
         worker != NULL && needed > 0; worker = worker->hh.next) {
        needed -= capacity_for(worker, step, service);
    }
    return needed > 0;
}

static bool
has_workers(const fv_sched_t *sched, const char *service)
{
    for (const fv_sched_worker_t *worker = sched->workers; worker != NULL;
         worker = worker->hh.next) {
        if (worker->listed && strcmp(worker->entry.service, service) == 0) {
            return true;
        }
    }
    return false;
}

static bool
can_never_run(const fv_sched_t *sched, const fv_job_spec_t *spec,
              const char *service, int64_t now_ms)
{
    if (!sched->registry_known ||
        now_ms - sched->workers_changed_ms < Fv_WORKERS_SETTLED_MS) {
        return false;
    }
    for (uint32_t s = 0; s < spec->step_count; s++) {
        if (is_unfit(sched, &spec->steps[s], service)) {
            return has_workers(sched, service);
        }
    }
    return false;
}

/**
 * FvSched_ClearBacklogs - forget the waiting work
 * @sched: the scheduler
 */
void
FvSched_ClearBacklogs(fv_sched_t *sched)
{
    sched->backlog_count = 0;
}

/**
 * FvSched_AddBacklog - count the work of a waiting stage
 * @sched: the scheduler
 * @stage: the stage, which is in time
 */
void
FvSched_AddBacklog(fv_sched_t *sched, const fv_sched_stage_t *stage)
{
    const fv_cell_queue_t *queue = &stage->job->queue;
    fv_backlog_t *backlog = sched->backlogs;
    uint32_t i = 0;

    while (i < sched->backlog_count &&
           (backlog[i].priority != queue->priority ||
            strcmp(backlog[i].service, queue->service) != 0)) {
        i++;
    }
    if (i == Fv_BACKLOGS_MAX) {
        return; /* what is not counted refuses no job */
    }
    if (i == sched->backlog_count) {
        sched->backlog_count++;
        backlog[i] = (fv_backlog_t){.priority = queue->priority};
        FvText_Copy(backlog[i].service, sizeof(backlog[i].service),
                    queue->service);
    }
    backlog[i].core_ms += (double)stage->waiting *
                          (double)stage->step->cpu_millis *
                          (double)stage->expected_run_ms;
}

/* The shortest time in which the work that comes before a new job of a queue
 * could be done. */
static double
shortest_wait_ms(const fv_sched_t *sched, const fv_cell_queue_t *queue)
{
    double core_ms = 0.0;
    double cores = 0.0;

    for (uint32_t i = 0; i < sched->backlog_count; i++) {
        if (sched->backlogs[i].priority <= queue->priority &&
            strcmp(sched->backlogs[i].service, queue->service) == 0) {
            core_ms += sched->backlogs[i].core_ms;
        }
    }
    for (const fv_sched_worker_t *worker = sched->workers;
         core_ms > 0.0 && worker != NULL; worker = worker->hh.next) {
        if (strcmp(worker->entry.service, queue->service) == 0) {
            cores += (double)worker->entry.cpu_millis;
        }
    }
    return cores > 0.0 ? core_ms / cores / Fv_BACKLOG_CAUTION : 0.0;
}

/* The longest time for which a new job of a queue may have a value. */
static double
value_ms(fv_sched_t *sched, const fv_job_spec_t *spec,
         const fv_cell_queue_t *queue)
{
    const fv_run_time_model_t *model =
        &FvSched_QueueEstimates(sched, queue->name)->run_time;
    double path_ms = 0.0; /* as if the steps followed one another */

    for (uint32_t s = 0; s < spec->step_count; s++) {
        path_ms += (double)FvRunTimeModel_Estimate(
            model, spec->steps[s].estimated_ms);
    }
    return Fv_VALUE_OBJECTIVES *
           ((double)queue->objective_ms +
            queue->stretch * path_ms * FvRunTimeModel_Spread(model));
}

static bool
has_end(const fv_job_spec_t *spec)
{
    for (uint32_t s = 0; s < spec->step_count; s++) {
        if (spec->steps[s].long_running) {
            return false;
        }
    }
    return spec->repeat_count == 0;
}

/**
 * FvSched_CheckSubmission - decide whether a job is to be refused
 * @sched: the scheduler
 * @spec: the job
 * @queue: its queue
 * @now_ms: the time
 * @retry_ms: set when it is refused to the time after which it may be accepted
 *
 * Return: why it is refused.
 */
fv_refusal_t
FvSched_CheckSubmission(fv_sched_t *sched, const fv_job_spec_t *spec,
                        const fv_cell_queue_t *queue, int64_t now_ms,
                        int64_t *retry_ms)
{
    double excess_ms;

    if (can_never_run(sched, spec, queue->service, now_ms)) {
        *retry_ms = Fv_UNFIT_RETRY_MS;
        return Fv_REFUSAL_UNFIT;
    }
    if (!has_end(spec)) {
        return Fv_REFUSAL_NONE;
    }
    excess_ms = shortest_wait_ms(sched, queue);
    excess_ms -= excess_ms > 0.0 ? value_ms(sched, spec, queue) : 0.0;
    if (excess_ms <= 0.0) {
        return Fv_REFUSAL_NONE;
    }
    *retry_ms = (int64_t)excess_ms;
    return Fv_REFUSAL_BACKLOG;
}
