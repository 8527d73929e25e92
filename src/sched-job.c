/*
 * Jobs of the scheduler: stages, their release by predecessors and schedule,
 * and the end of a job.
 */

#include "scheduler.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* A late job has a fifth of its value until three times the objective: for two
 * further objectives. */
#define Fv_LATE_OBJECTIVES 2

/**
 * FvSched_FindJob - find a job by its id
 * @sched: the scheduler
 * @id: the id
 *
 * Return: the job, or NULL.
 */
fv_sched_job_t *
FvSched_FindJob(const fv_sched_t *sched, const char *id)
{
    fv_sched_job_t *job = NULL;

    HASH_FIND_STR(sched->jobs, id, job);
    return job;
}

/*
 * Computes the critical path from each step to the end of the job, by expected
 * run times; the urgency of a stage follows from it. A step's predecessors
 * precede it in the list.
 */
static void
compute_critical_paths(fv_sched_job_t *job, const fv_run_time_model_t *model)
{
    const fv_job_spec_t *spec = &job->spec;

    memset(job->critical_paths_ms, 0,
           spec->step_count * sizeof(*job->critical_paths_ms));
    job->critical_path_ms = 0;
    job->run_time_spread = FvRunTimeModel_Spread(model);
    job->run_time_version = FvRunTimeModel_Version(model);
    for (uint32_t s = spec->step_count; s-- > 0;) {
        const fv_step_spec_t *step = &spec->steps[s];
        int64_t path_ms = job->critical_paths_ms[s] +
                          FvRunTimeModel_Estimate(model, step->estimated_ms);

        job->critical_paths_ms[s] = path_ms;
        if (path_ms > job->critical_path_ms) {
            job->critical_path_ms = path_ms;
        }
        for (uint32_t p = 0; p < step->predecessor_count; p++) {
            int64_t *predecessor_ms =
                &job->critical_paths_ms[step->predecessors[p]];

            *predecessor_ms =
                path_ms > *predecessor_ms ? path_ms : *predecessor_ms;
        }
    }
}

static void
free_job(fv_sched_job_t *job)
{
    FvSched_FreeOccurrences(job);
    free(job->critical_paths_ms);
    free(job->document);
    FvJobSpec_Clear(&job->spec);
    free(job);
}

/**
 * FvSched_AddJob - add a job; it starts once FvSched_MarkJobDurable is called
 * @sched: the scheduler
 * @id: the id that the caller chose
 * @queue: the queue, which is copied
 * @spec: the decoded submission; the job takes ownership
 * @document: the submission as received, which is kept in the store
 * @length: length of the document
 * @now_ms: the time
 * @wall_ms: the wall clock
 *
 * Return: the job, or NULL when memory is exhausted.
 */
fv_sched_job_t *
FvSched_AddJob(fv_sched_t *sched, const char *id, const fv_cell_queue_t *queue,
               fv_job_spec_t *spec, const char *document, size_t length,
               int64_t now_ms, int64_t wall_ms)
{
    fv_sched_job_t *job = calloc(1, sizeof(*job));

    if (job == NULL) {
        return NULL;
    }
    FvText_Copy(job->id, sizeof(job->id), id);
    job->queue = *queue;
    job->spec = *spec;
    *spec = (fv_job_spec_t){0};
    job->received_ms = now_ms;
    job->received_wall_ms = wall_ms;
    job->document = malloc(length + 1);
    job->document_length = length;
    job->occurrence_count =
        job->spec.repeat_count > 0 ? job->spec.repeat_count : 1;
    job->critical_paths_ms =
        calloc(job->spec.step_count, sizeof(*job->critical_paths_ms));
    if (job->document == NULL || job->critical_paths_ms == NULL) {
        free_job(job);
        return NULL;
    }
    compute_critical_paths(
        job, &FvSched_QueueEstimates(sched, queue->name)->run_time);
    memcpy(job->document, document, length);
    job->document[length] = '\0';
    if (job->spec.repeat_count == 0) {
        if (FvSched_OpenOccurrence(job, 0) == NULL) {
            free_job(job);
            return NULL;
        }
        job->next_occurrence = 1;
    }
    FvSched_ReserveJobMemory(sched, job);
    HASH_ADD_STR(sched->jobs, id, job);
    return job;
}

static void
detach_stages(fv_sched_t *sched, const fv_sched_job_t *job,
              fv_occurrence_t *occurrence)
{
    for (uint32_t s = 0;
         occurrence->stages != NULL && s < job->spec.step_count; s++) {
        fv_sched_stage_t *stage = &occurrence->stages[s];

        FvSched_UnmarkPending(sched, stage);
        for (int32_t t = 0; t < stage->step->task_count; t++) {
            FvSched_DetachTask(&stage->tasks[t]);
        }
    }
}

/**
 * FvSched_MayRemoveJob - check whether nothing is left to do for a job
 * @sched: the scheduler
 * @job: the job
 *
 * While an earlier leader may have runs of it that are not known, they count
 * as usage of its customer.
 *
 * Return: true when its end is recorded and none of its tasks is on a worker.
 */
bool
FvSched_MayRemoveJob(const fv_sched_t *sched, const fv_sched_job_t *job)
{
    return job->recorded != Fv_SCHED_JOB_OPEN && job->running_tasks == 0 &&
           !(job->inherited && job->account != NULL &&
             sched->hold_inherited_tasks);
}

/**
 * FvSched_RemoveJob - remove and free a job
 * @sched: the scheduler
 * @job: the job; none of its tasks may be on a worker
 */
void
FvSched_RemoveJob(fv_sched_t *sched, fv_sched_job_t *job)
{
    for (uint32_t o = 0; o < job->open_count; o++) {
        detach_stages(sched, job, job->occurrences[o]);
    }
    FvSched_CloseAccount(job);
    FvSched_ReleaseJobMemory(sched, job);
    HASH_DEL(sched->jobs, job);
    free_job(job);
}

/**
 * FvSched_MarkPending - add a stage to those that the next pass places
 * @sched: the scheduler
 * @stage: the stage
 */
void
FvSched_MarkPending(fv_sched_t *sched, fv_sched_stage_t *stage)
{
    sched->dirty = true;
    if (stage->pending) {
        return;
    }
    stage->pending = true;
    stage->pending_next = sched->pending;
    stage->pending_previous = NULL;
    if (sched->pending != NULL) {
        sched->pending->pending_previous = stage;
    }
    sched->pending = stage;
}

/**
 * FvSched_UnmarkPending - remove a stage from those that the next pass places
 * @sched: the scheduler
 * @stage: the stage; ignored when it is not among them
 */
void
FvSched_UnmarkPending(fv_sched_t *sched, fv_sched_stage_t *stage)
{
    if (!stage->pending) {
        return;
    }
    if (stage->pending_previous != NULL) {
        stage->pending_previous->pending_next = stage->pending_next;
    }
    else {
        sched->pending = stage->pending_next;
    }
    if (stage->pending_next != NULL) {
        stage->pending_next->pending_previous = stage->pending_previous;
    }
    stage->pending = false;
}

static void
update_run_times(const fv_run_time_model_t *model, fv_sched_stage_t *stage)
{
    uint32_t version = FvRunTimeModel_Version(model);
    double spread = FvRunTimeModel_Spread(model);

    if (stage->expected_run_ms != 0 && stage->run_time_version == version) {
        return;
    }
    stage->run_time_version = version;
    stage->expected_run_ms =
        FvRunTimeModel_Estimate(model, stage->step->estimated_ms);
    stage->longest_run_ms =
        (int64_t)((double)stage->expected_run_ms * spread * spread);
}

/**
 * FvSched_UpdateStartTargets - compute when a stage has to start to meet the
 * objective of its queue
 * @sched: the scheduler
 * @stage: the stage; released
 */
void
FvSched_UpdateStartTargets(fv_sched_t *sched, fv_sched_stage_t *stage)
{
    fv_sched_job_t *job = stage->job;
    const fv_run_time_model_t *model =
        &FvSched_QueueEstimates(sched, job->queue.name)->run_time;
    double slack_ms;

    if (FvRunTimeModel_Version(model) != job->run_time_version) {
        compute_critical_paths(job, model);
    }
    update_run_times(model, stage);
    slack_ms = job->queue.stretch * (double)job->critical_path_ms -
               (double)job->critical_paths_ms[stage->step_index];
    stage->target_start_ms =
        stage->objective_from_ms + job->queue.objective_ms + (int64_t)slack_ms;
    stage->late_after_ms = stage->objective_from_ms + job->queue.objective_ms +
                           (int64_t)(slack_ms * job->run_time_spread);
    /* The rest of three times the objective. */
    stage->worthless_after_ms =
        stage->late_after_ms + Fv_LATE_OBJECTIVES * job->queue.objective_ms +
        (int64_t)(Fv_LATE_OBJECTIVES * job->queue.stretch *
                  (double)job->critical_path_ms * job->run_time_spread);
}

static bool
predecessors_done(const fv_sched_job_t *job, const fv_occurrence_t *occurrence,
                  uint32_t step_index)
{
    const fv_step_spec_t *step = &job->spec.steps[step_index];

    for (uint32_t p = 0; p < step->predecessor_count; p++) {
        const fv_sched_stage_t *predecessor =
            &occurrence->stages[step->predecessors[p]];

        if (predecessor->done < predecessor->step->task_count) {
            return false;
        }
    }
    return true;
}

static void
release_occurrence(fv_sched_t *sched, fv_sched_job_t *job,
                   fv_occurrence_t *occurrence, int64_t now_ms)
{
    int64_t start_ms = job->spec.repeat_count > 0 ? now_ms : job->received_ms;

    for (uint32_t s = 0; s < job->spec.step_count; s++) {
        fv_sched_stage_t *stage = &occurrence->stages[s];

        if (stage->waiting == 0 || !predecessors_done(job, occurrence, s)) {
            continue;
        }
        if (stage->objective_from_ms == 0) {
            stage->objective_from_ms = start_ms;
            FvSched_UpdateStartTargets(sched, stage);
        }
        FvSched_MarkPending(sched, stage);
    }
}

static bool
is_open(const fv_sched_job_t *job)
{
    return job->outcome == Fv_SCHED_JOB_OPEN && !job->cancelled;
}

/**
 * FvSched_ReleaseStages - release the stages whose predecessors are done
 * @sched: the scheduler
 * @job: the job
 * @now_ms: the time
 * @wall_ms: the wall clock, by which occurrences of a repeated job are due
 */
void
FvSched_ReleaseStages(fv_sched_t *sched, fv_sched_job_t *job, int64_t now_ms,
                      int64_t wall_ms)
{
    FvSched_OpenAccount(sched, job);
    if (!is_open(job)) {
        return;
    }
    if (job->spec.repeat_count > 0) {
        FvSched_OpenDueOccurrences(sched, job, wall_ms);
    }
    for (uint32_t o = 0; o < job->open_count; o++) {
        fv_occurrence_t *occurrence = job->occurrences[o];

        if (occurrence->number < job->next_occurrence &&
            !FvSched_IsOccurrenceDone(job, occurrence)) {
            release_occurrence(sched, job, occurrence, now_ms);
        }
    }
}

/**
 * FvSched_MarkJobDurable - let a job start, since its record is in the store
 * @sched: the scheduler
 * @job: the job
 */
void
FvSched_MarkJobDurable(fv_sched_t *sched, fv_sched_job_t *job)
{
    job->durable = true;
    sched->dirty = true;
}

static void
stop_all_tasks(fv_sched_t *sched, fv_sched_job_t *job, int64_t now_ms)
{
    for (uint32_t o = 0; o < job->open_count; o++) {
        fv_occurrence_t *occurrence = job->occurrences[o];

        for (uint32_t s = 0;
             occurrence->stages != NULL && s < job->spec.step_count; s++) {
            fv_sched_stage_t *stage = &occurrence->stages[s];

            for (int32_t t = 0; t < stage->step->task_count; t++) {
                if (stage->tasks[t].worker != NULL) {
                    FvSched_StopTask(sched, &stage->tasks[t], now_ms);
                }
            }
        }
    }
}

/**
 * FvSched_EndJob - set a job's outcome, stop its tasks and record the end
 * @sched: the scheduler
 * @job: the job
 * @outcome: the outcome
 * @now_ms: the time
 */
void
FvSched_EndJob(fv_sched_t *sched, fv_sched_job_t *job,
               fv_sched_outcome_t outcome, int64_t now_ms)
{
    if (job->outcome != Fv_SCHED_JOB_OPEN) {
        return;
    }
    job->outcome = outcome;
    job->ended_ms = now_ms;
    stop_all_tasks(sched, job, now_ms);
    FvLog_Event(
        Fv_LOG_INFO, "job_ended",
        "job=%s queue=%s outcome=%d after_ms=%" PRId64
        " objective_ms=%" PRId64,
        job->id, job->queue.name, (int)outcome, now_ms - job->received_ms,
        job->queue.objective_ms +
            (int64_t)(job->queue.stretch * (double)job->critical_path_ms));
    sched->ops->record(sched, job, Fv_RECORD_END);
}

/**
 * FvSched_CheckJobEnd - complete a job when all its stages are done
 * @sched: the scheduler
 * @job: the job
 * @now_ms: the time
 */
void
FvSched_CheckJobEnd(fv_sched_t *sched, fv_sched_job_t *job, int64_t now_ms)
{
    if (FvSched_AreOccurrencesDone(job)) {
        FvSched_EndJob(sched, job, Fv_SCHED_JOB_COMPLETED, now_ms);
    }
}

/* The latest run of a task that is done occupies its worker until its own end
 * is reported. It is stopped when an earlier run has completed the task. */
static void
orphan_latest_run(fv_sched_t *sched, fv_sched_task_t *task, int32_t done_run,
                  int64_t now_ms)
{
    fv_orphan_run_t *orphan = FvSched_OrphanLatestRun(task, now_ms);

    if (task->run == done_run) {
        orphan->start_arrived = true; /* the run has ended */
        return;
    }
    FvLog_Event(Fv_LOG_INFO, "run_superseded",
                "task=%s run=%d worker=%s done_run=%d state=%d "
                "start_in_doubt=%d start_sent_ms_ago=%" PRId64,
                orphan->task, task->run, task->worker->entry.id, done_run,
                (int)task->state, orphan->start_arrived ? 0 : 1,
                now_ms - task->start_sent_ms);
    FvSched_StopOrphanRun(sched, task->worker, orphan, now_ms);
}

/* @ended: the task whose latest run has ended, or NULL when its end is not
 * reported yet */
static void
mark_done(fv_sched_t *sched, fv_sched_task_t *task, int32_t run,
          const fv_sched_task_t *ended, int64_t now_ms)
{
    fv_sched_stage_t *stage = task->stage;

    if (task->state == Fv_SCHED_DONE) {
        return;
    }
    if (task->state == Fv_SCHED_WAITING) {
        stage->waiting--;
    }
    if (task->worker != NULL && task != ended) {
        orphan_latest_run(sched, task, run, now_ms);
    }
    FvSched_DetachTask(task);
    task->state = Fv_SCHED_DONE;
    stage->done++;
    if (stage->done == stage->step->task_count) {
        stage->occurrence->stages_done++;
    }
    sched->dirty = true;
}

/**
 * FvSched_TaskDone - mark a task, or the gang that it belongs to, as done
 * @sched: the scheduler
 * @task: the task; any member of a gang
 * @run: the run that completed
 * @current: whether this is the task's latest run, on its current worker
 * @now_ms: the time
 */
void
FvSched_TaskDone(fv_sched_t *sched, fv_sched_task_t *task, int32_t run,
                 bool current, int64_t now_ms)
{
    fv_sched_stage_t *stage = task->stage;
    fv_sched_job_t *job = stage->job;
    const fv_sched_task_t *ended = current ? task : NULL;

    if (stage->step->gang) {
        stage->done_run = run;
        for (int32_t i = 0; i < stage->step->task_count; i++) {
            mark_done(sched, &stage->tasks[i], run, ended, now_ms);
        }
    }
    else {
        mark_done(sched, task, run, ended, now_ms);
    }
    if (stage->done == stage->step->task_count) {
        FvSched_ForgetRuns(stage);
        if (is_open(job)) {
            release_occurrence(sched, job, stage->occurrence, now_ms);
        }
        FvSched_CheckJobEnd(sched, job, now_ms);
    }
}

/**
 * FvSched_CancelJob - cancel a job and stop its tasks
 * @sched: the scheduler
 * @job: the job
 * @now_ms: the time
 */
void
FvSched_CancelJob(fv_sched_t *sched, fv_sched_job_t *job, int64_t now_ms)
{
    job->cancelled = true;
    FvSched_EndJob(sched, job, Fv_SCHED_JOB_CANCELLED, now_ms);
}

/**
 * FvSched_JobStateName - get the state that callers see
 * @job: the job
 *
 * An end is visible only once it is recorded, since the next leader does not
 * know of an end that is not in the store.
 *
 * Return: the name of the state.
 */
const char *
FvSched_JobStateName(const fv_sched_job_t *job)
{
    switch (job->recorded) {
    case Fv_SCHED_JOB_COMPLETED:
        return "completed";
    case Fv_SCHED_JOB_FAILED:
        return "failed";
    case Fv_SCHED_JOB_CANCELLED:
        return "cancelled";
    case Fv_SCHED_JOB_OPEN:
    default:
        return job->started ? "running" : "queued";
    }
}

/**
 * FvSched_StageName - format the name of a stage on the platform
 * @stage: the stage
 * @name: receives the name
 * @size: size of the buffer
 */
void
FvSched_StageName(const fv_sched_stage_t *stage, char *name, size_t size)
{
    snprintf(name, size, "%s.%d.%u", stage->job->id, stage->occurrence->number,
             stage->step_index);
}

/**
 * FvSched_TaskName - format the name of a task on the platform
 * @task: the task
 * @name: receives the name
 * @size: size of the buffer
 */
void
FvSched_TaskName(const fv_sched_task_t *task, char *name, size_t size)
{
    snprintf(name, size, "%s.%d.%u.%d", task->stage->job->id,
             task->stage->occurrence->number, task->stage->step_index,
             task->index);
}

/* Parts of a task's name on the platform. */
typedef struct fv_task_path {
    fv_sched_job_t *job;
    int32_t occurrence;
    uint32_t step;
    int32_t index;
} fv_task_path_t;

/* Returns false when the name is malformed or its job has no such task. */
static bool
parse_task_name(const fv_sched_t *sched, const char *name,
                fv_task_path_t *path)
{
    char id[Fv_JOB_ID_SIZE];
    unsigned occurrence;
    unsigned step;
    unsigned index;

    if (strlen(name) < sizeof(id) || name[sizeof(id) - 1] != '.') {
        return false;
    }
    memcpy(id, name, sizeof(id) - 1);
    id[sizeof(id) - 1] = '\0';
    path->job = FvSched_FindJob(sched, id);
    if (path->job == NULL || sscanf(name + sizeof(id), "%u.%u.%u", &occurrence,
                                    &step, &index) != 3) {
        return false;
    }
    if (occurrence >= (unsigned)path->job->occurrence_count ||
        step >= path->job->spec.step_count ||
        index >= (unsigned)path->job->spec.steps[step].task_count) {
        return false;
    }
    path->occurrence = (int32_t)occurrence;
    path->step = step;
    path->index = (int32_t)index;
    return true;
}

static fv_sched_task_t *
task_of(const fv_occurrence_t *occurrence, const fv_task_path_t *path)
{
    return occurrence != NULL && occurrence->stages != NULL
               ? &occurrence->stages[path->step].tasks[path->index]
               : NULL;
}

/**
 * FvSched_FindTask - find a task by its name on the platform
 * @sched: the scheduler
 * @name: the name
 *
 * Return: the task, or NULL when there is none by that name, or its occurrence
 * is not in memory.
 */
fv_sched_task_t *
FvSched_FindTask(const fv_sched_t *sched, const char *name)
{
    fv_task_path_t path;

    return parse_task_name(sched, name, &path)
               ? task_of(FvSched_FindOccurrence(path.job, path.occurrence),
                         &path)
               : NULL;
}

/**
 * FvSched_OpenTask - find the task of a run that a worker reports
 * @sched: the scheduler
 * @name: its name on the platform
 *
 * An earlier leader whose clock was ahead may have started it before it is due
 * by this host's clock. Its occurrence is opened.
 *
 * Return: the task, or NULL when there is none by that name, or its occurrence
 * is done.
 */
fv_sched_task_t *
FvSched_OpenTask(fv_sched_t *sched, const char *name)
{
    fv_task_path_t path;
    fv_occurrence_t *occurrence;

    if (!parse_task_name(sched, name, &path)) {
        return NULL;
    }
    if (!is_open(path.job)) {
        return FvSched_FindTask(sched, name);
    }
    occurrence = FvSched_OpenOccurrence(path.job, path.occurrence);
    if (occurrence == NULL && path.occurrence >= path.job->next_occurrence) {
        abort(); /* the task would run again after a reported end */
    }
    return task_of(occurrence, &path);
}

/**
 * FvSched_FindTaskJob - find the job of a task by the task's name
 * @sched: the scheduler
 * @name: the name
 *
 * Return: the job, or NULL when the name is malformed or the job is unknown.
 */
fv_sched_job_t *
FvSched_FindTaskJob(const fv_sched_t *sched, const char *name)
{
    fv_task_path_t path;

    return parse_task_name(sched, name, &path) ? path.job : NULL;
}

/**
 * FvSched_FindTaskStep - find the step of a task by the task's name
 * @sched: the scheduler
 * @name: the name
 *
 * Return: the step, or NULL when the name is malformed or the job is unknown.
 */
const fv_step_spec_t *
FvSched_FindTaskStep(const fv_sched_t *sched, const char *name)
{
    fv_task_path_t path;

    return parse_task_name(sched, name, &path)
               ? &path.job->spec.steps[path.step]
               : NULL;
}

/**
 * FvSched_CountQueuedJobs - count the accepted jobs of a queue that have not
 * started
 * @sched: the scheduler
 * @queue: name of the queue
 *
 * Return: the number of jobs.
 */
int64_t
FvSched_CountQueuedJobs(const fv_sched_t *sched, const char *queue)
{
    int64_t count = 0;

    for (const fv_sched_job_t *job = sched->jobs; job != NULL;
         job = job->hh.next) {
        if (job->durable && job->outcome == Fv_SCHED_JOB_OPEN &&
            !job->started && strcmp(job->queue.name, queue) == 0) {
            count++;
        }
    }
    return count;
}
