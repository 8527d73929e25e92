/*
 * Reports of workers, which list the running and the ended runs.
 */

#include "scheduler.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* A run is stalled when it shows no progress for this long and for this many
 * times as long as one percent of its declared time. Each time that a task was
 * taken for stalled doubles both: the declared time is rough. */
#define Fv_STALLED_MS 2500
#define Fv_STALLED_SLOWDOWN 10
#define Fv_STALLED_DOUBLINGS_MAX 20

/* Progress that a lasting task reports for as long as it is at work. */
#define Fv_AT_WORK_PERCENT 100

static void
set_checkpoint(fv_sched_task_t *task, const char *checkpoint)
{
    if (checkpoint == NULL || (task->checkpoint != NULL &&
                               strcmp(task->checkpoint, checkpoint) == 0)) {
        return;
    }
    free(task->checkpoint);
    task->checkpoint = strdup(checkpoint);
}

/* A checkpoint of any member is one of the whole gang, and all members must be
 * started from the same one. */
static void
set_gang_checkpoint(fv_sched_stage_t *stage, const char *checkpoint)
{
    for (int32_t i = 0; i < stage->step->task_count; i++) {
        set_checkpoint(&stage->tasks[i], checkpoint);
    }
}

/* An earlier leader may have counted and recorded the failure of a run. The
 * reports of different workers arrive in any order. */
static bool
is_failure_counted(const fv_sched_task_t *task, int32_t run)
{
    for (int32_t i = 0; i < Fv_FAILED_RUNS_MAX && i < task->failures; i++) {
        if (task->failed_runs[i] == run) {
            return true;
        }
    }
    return false;
}

/* A task that lasts does not end, so that it has proved its worker once it is
 * at work. */
static bool
is_lasting_task_at_work(const fv_sched_task_t *task)
{
    return task->stage->step->long_running &&
           task->percent >= Fv_AT_WORK_PERCENT;
}

static void
count_failure(fv_sched_t *sched, fv_sched_task_t *task,
              fv_sched_worker_t *worker, int32_t run, int64_t now_ms)
{
    fv_sched_stage_t *stage = task->stage;
    fv_sched_job_t *job = stage->job;
    fv_sched_task_t *counted = stage->step->gang ? &stage->tasks[0] : task;

    if (is_failure_counted(counted, run)) {
        return;
    }
    counted->failed_runs[counted->failures % Fv_FAILED_RUNS_MAX] = run;
    counted->failures++;
    if (run != task->run || !is_lasting_task_at_work(task)) {
        FvSched_WorkerFailed(worker, task, now_ms);
    }
    FvSched_NoteFailedOn(task, worker);
    if (!stage->step->long_running && job->outcome == Fv_SCHED_JOB_OPEN &&
        counted->failures >= job->queue.attempts_max) {
        FvSched_EndJob(sched, job, Fv_SCHED_JOB_FAILED, now_ms);
    }
}

/* A step counts as one run in the model: for a gang the first member that is
 * reported as done, otherwise all tasks of the step together. */
static void
observe_run_time(fv_sched_t *sched, fv_sched_task_t *task, int64_t now_ms)
{
    const fv_sched_stage_t *stage = task->stage;
    fv_queue_estimates_t *estimates =
        FvSched_QueueEstimates(sched, stage->job->queue.name);
    double factor = stage->step->gang ? FvSched_GangFactor(stage)
                                      : task->worker->speed.factor;
    double residual;

    FvSched_ObserveSpeed(sched, task, now_ms, &residual);
    if (task->ran_from_start) {
        FvRunTimeModel_Observe(
            &estimates->run_time, stage->step->estimated_ms,
            (int64_t)((double)(now_ms - task->start_sent_ms) / factor),
            stage->step->gang ? 1.0 : 1.0 / stage->step->task_count);
    }
}

/* Returns whether the job's progress record has to be written. */
static bool
apply_end(fv_sched_t *sched, fv_sched_worker_t *worker,
          const fv_ended_row_t *row, int64_t now_ms)
{
    fv_sched_task_t *task = FvSched_OpenTask(sched, row->task_id);
    fv_sched_stage_t *stage;
    bool current;

    FvSched_OrphanRunEnded(worker, row->task_id, row->run);
    if (row->end == Fv_END_DONE) {
        FvSched_WorkerSucceeded(worker, now_ms);
    }
    if (task == NULL) {
        return false;
    }
    stage = task->stage;
    current = task->run == row->run && task->worker == worker;
    FvLog_Event(Fv_LOG_INFO, "run_ended",
                "task=%s run=%d worker=%s how=%d current=%d", row->task_id,
                row->run, worker->entry.id, (int)row->end, current ? 1 : 0);
    if (row->end == Fv_END_DONE) {
        if (task->state == Fv_SCHED_DONE) {
            return false;
        }
        if (stage->job->outcome == Fv_SCHED_JOB_OPEN &&
            !stage->step->long_running) {
            if (current) {
                observe_run_time(sched, task, now_ms);
            }
            FvSched_TaskDone(sched, task, row->run, current, now_ms);
            return true;
        }
    }
    if (row->checkpoint != NULL && task->state != Fv_SCHED_DONE) {
        if (stage->step->gang) {
            set_gang_checkpoint(stage, row->checkpoint);
        }
        else {
            set_checkpoint(task, row->checkpoint);
        }
    }
    if (row->end == Fv_END_FAILED && task->state != Fv_SCHED_DONE) {
        count_failure(sched, task, worker, row->run, now_ms);
    }
    if (current) {
        FvSched_RequeueTask(sched, task);
        if (stage->step->gang && stage->job->outcome == Fv_SCHED_JOB_OPEN) {
            FvSched_StopGang(sched, stage, now_ms);
        }
    }
    return row->end == Fv_END_FAILED || row->checkpoint != NULL;
}

static void
note_progress(fv_sched_task_t *task, const fv_sched_worker_t *worker,
              int64_t now_ms)
{
    task->progress_ms = now_ms;
    task->progress_clock_ms = worker->clock_ms;
}

static void
adopt_run(fv_sched_t *sched, fv_sched_worker_t *worker, fv_sched_task_t *task,
          const fv_running_row_t *row, int64_t now_ms)
{
    task->run = row->run;
    task->state = Fv_SCHED_RUNNING;
    task->ran_from_start = false;
    task->stage->waiting--;
    task->stage->gang_run = row->run;
    task->start_confirmed_ms = now_ms;
    task->start_sent_ms = now_ms;
    note_progress(task, worker, now_ms);
    task->stage->job->started = true;
    FvSched_AttachTask(worker, task);
    task->listed_in_report = sched->report_count;
    sched->dirty = true;
    FvLog_Event(Fv_LOG_INFO, "run_adopted", "task=%s run=%d worker=%s",
                row->task_id, row->run, worker->entry.id);
}

static void
update_running(fv_sched_t *sched, fv_sched_task_t *task,
               const fv_running_row_t *row, int64_t now_ms)
{
    if (task->state == Fv_SCHED_STARTING) {
        task->state = Fv_SCHED_RUNNING;
        note_progress(task, task->worker, now_ms);
        task->start_confirmed_ms = now_ms;
        task->start_unconfirmed = false;
        task->stage->job->started = true;
    }
    if (row->percent != task->percent) {
        task->percent = row->percent;
        note_progress(task, task->worker, now_ms);
        if (is_lasting_task_at_work(task)) {
            FvSched_WorkerSucceeded(task->worker, now_ms);
        }
    }
    FvSched_CheckProbe(sched, task->worker, task->stage, now_ms);
    if (task->stage->step->gang && row->checkpoint != NULL) {
        set_gang_checkpoint(task->stage, row->checkpoint);
    }
    else {
        set_checkpoint(task, row->checkpoint);
    }
    if (task->state == Fv_SCHED_STOPPING) {
        if (now_ms - task->stop_confirmed_ms > sched->stop_max_ms) {
            task->stop_confirmed_ms = 0; /* the stop had no effect */
        }
        FvSched_StopTask(sched, task, now_ms); /* repeats when due */
    }
}

/* The members of a gang end together, but an older report that still lists a
 * member as running may arrive after the end of another member. */
static bool
is_of_completed_gang(const fv_sched_task_t *task, const fv_running_row_t *row)
{
    return task->state == Fv_SCHED_DONE && task->stage->step->gang &&
           row->run == task->stage->done_run;
}

/* @used: sum of the resources of all listed runs */
static void
apply_running(fv_sched_t *sched, fv_sched_worker_t *worker,
              const fv_running_row_t *row, fv_sched_resources_t *used,
              int64_t now_ms)
{
    fv_sched_task_t *task = FvSched_OpenTask(sched, row->task_id);
    const fv_step_spec_t *step = FvSched_FindTaskStep(sched, row->task_id);
    fv_orphan_run_t *orphan;

    if (task != NULL) {
        FvSched_AddTaskResources(used, task->stage->step, 1);
    }
    if (task != NULL && task->worker == worker && task->run == row->run) {
        task->listed_in_report = sched->report_count;
        update_running(sched, task, row, now_ms);
        return;
    }
    if (task != NULL && task->state == Fv_SCHED_WAITING &&
        row->run > task->run && task->stage->job->durable &&
        task->stage->job->outcome == Fv_SCHED_JOB_OPEN) {
        adopt_run(sched, worker, task, row, now_ms);
        return;
    }
    orphan = FvSched_AddOrphanRun(worker, row->task_id, row->run, now_ms);
    if (step != NULL) {
        FvSched_ChargeOrphanRun(
            orphan, FvSched_FindTaskJob(sched, row->task_id), step);
    }
    else {
        FvSched_EstimateOrphanRun(sched, orphan, now_ms);
    }
    if (task != NULL && is_of_completed_gang(task, row)) {
        return;
    }
    FvLog_Event(Fv_LOG_INFO, "orphan_run", "task=%s run=%d worker=%s",
                row->task_id, row->run, worker->entry.id);
    FvSched_StopOrphanRun(sched, worker, orphan, now_ms);
}

/* Runs of removed jobs, whose resources are not known, are not part of the
 * sum. */
static void
check_capacity(fv_sched_worker_t *worker, const fv_sched_resources_t *used,
               uint32_t runs)
{
    bool overcommitted = FvSched_IsIncarnationListed(worker) &&
                         (used->cpu_millis > worker->entry.cpu_millis ||
                          used->memory_mib > worker->entry.memory_mib ||
                          used->accelerators > worker->entry.accelerators);

    if (overcommitted && !worker->overcommitted) {
        FvMetrics_Add(Fv_COUNTER_WORKERS_OVERCOMMITTED, 1);
        FvLog_Event(Fv_LOG_WARN, "worker_overcommitted",
                    "worker=%s runs=%u tasks=%d cpu_used=%" PRId64
                    " cpu=%" PRId64 " memory_used=%" PRId64 " memory=%" PRId64
                    " accelerators_used=%" PRId64 " accelerators=%" PRId64,
                    worker->entry.id, runs, worker->task_count,
                    used->cpu_millis, worker->entry.cpu_millis,
                    used->memory_mib, worker->entry.memory_mib,
                    used->accelerators, worker->entry.accelerators);
    }
    worker->overcommitted = overcommitted;
}

/* Requeues the task of a run that is no longer on its worker and whose end was
 * not reported. */
static void
requeue_missing_run(fv_sched_t *sched, fv_sched_task_t *task,
                    const fv_worker_report_t *report, int64_t now_ms)
{
    fv_sched_stage_t *stage = task->stage;
    bool never_started =
        task->state == Fv_SCHED_STOPPING && task->percent == 0;

    FvLog_Event(Fv_LOG_INFO, "run_missing",
                "job=%s stage=%u task=%d run=%d worker=%s state=%d "
                "confirmed_ms_ago=%" PRId64 " stop_confirmed_ms_ago=%" PRId64
                " ends=%u",
                stage->job->id, stage->step_index, task->index, task->run,
                task->worker->entry.id, (int)task->state,
                now_ms - task->start_confirmed_ms,
                task->stop_confirmed_ms != 0 ? now_ms - task->stop_confirmed_ms
                                             : -1,
                report->ended_count);
    FvSched_NoteFailedOn(task, task->worker);
    FvSched_RequeueTask(sched, task);
    if (stage->step->gang && never_started) {
        FvSched_GangMemberMissing(sched, stage, now_ms);
    }
    else if (stage->step->gang) {
        FvSched_StopGang(sched, stage, now_ms);
    }
}

static bool
has_certainly_ended(const fv_sched_t *sched, const fv_sched_task_t *task,
                    int64_t sent_ms)
{
    if (task->state == Fv_SCHED_STOPPING) {
        return task->stop_confirmed_ms != 0 &&
               task->stop_confirmed_ms + sched->stop_max_ms < sent_ms;
    }
    return !task->start_unconfirmed && task->start_confirmed_ms != 0 &&
           task->start_confirmed_ms < sent_ms;
}

/* Workers list a limited number of ends, the same for all of them; a list
 * shorter than another one was not cut off. */
static bool
are_all_ends_listed(fv_sched_t *sched, const fv_worker_report_t *report)
{
    if (report->ended_count >= sched->most_ends_listed) {
        sched->most_ends_listed = report->ended_count;
        return report->ended_count == 0;
    }
    return true;
}

/*
 * Handles tasks that the report should list but does not. A run whose start
 * was confirmed before the report was requested must be in the report. A run
 * whose start is unconfirmed is stopped before the task is started elsewhere,
 * so that a late start is refused. A run that is being stopped is not listed
 * until it has ended, so its stop timeout has to pass first. While the worker
 * may have more ends than it listed, no run is taken for lost.
 */
static void
handle_missing_runs(fv_sched_t *sched, fv_sched_worker_t *worker,
                    const fv_worker_report_t *report, bool all_ends_listed,
                    int64_t sent_ms, int64_t now_ms)
{
    fv_sched_task_t *next;

    for (fv_sched_task_t *task = worker->tasks; task != NULL; task = next) {
        next = task->worker_next;
        if (task->listed_in_report == sched->report_count) {
            continue;
        }
        if (has_certainly_ended(sched, task, sent_ms)) {
            if (!all_ends_listed) {
                continue;
            }
            requeue_missing_run(sched, task, report, now_ms);
            next = worker->tasks; /* the list may have changed */
        }
        else if (task->state == Fv_SCHED_STOPPING ||
                 (task->start_unconfirmed && task->start_sent_ms < sent_ms &&
                  !FvSched_RetryStart(sched, task, now_ms))) {
            FvSched_StopTask(sched, task, now_ms); /* repeats when due */
        }
    }
}

/* By this host's clock and by that of the worker: a host that was suspended
 * reads reports from before, and a worker's clock may run fast. */
static int64_t
without_progress_ms(const fv_sched_task_t *task, int64_t now_ms)
{
    int64_t here_ms = now_ms - task->progress_ms;
    int64_t there_ms = task->worker->clock_ms - task->progress_clock_ms;

    return task->progress_clock_ms != 0 && there_ms < here_ms ? there_ms
                                                              : here_ms;
}

static bool
is_stalled(const fv_sched_task_t *task, int64_t now_ms)
{
    int64_t silent_ms =
        without_progress_ms(task, now_ms) >>
        (task->stalls < Fv_STALLED_DOUBLINGS_MAX ? task->stalls
                                                 : Fv_STALLED_DOUBLINGS_MAX);

    return task->state == Fv_SCHED_RUNNING && !task->stage->step->gang &&
           !task->stage->step->long_running && silent_ms > Fv_STALLED_MS &&
           silent_ms >
               task->stage->step->estimated_ms / 100 * Fv_STALLED_SLOWDOWN;
}

static void
stop_stalled_runs(fv_sched_t *sched, fv_sched_worker_t *worker, int64_t now_ms)
{
    fv_sched_task_t *next;

    for (fv_sched_task_t *task = worker->tasks; task != NULL; task = next) {
        next = task->worker_next;
        if (is_stalled(task, now_ms) &&
            task->listed_in_report == sched->report_count) {
            task->stalls++;
            FvLog_Event(Fv_LOG_WARN, "run_stalled",
                        "job=%s run=%d worker=%s percent=%d times=%d",
                        task->stage->job->id, task->run, worker->entry.id,
                        task->percent, task->stalls);
            FvSched_WorkerFailed(worker, task, now_ms);
            FvSched_StopTask(sched, task, now_ms);
        }
    }
}

/* Extrapolates the remaining run time from the progress so far. */
static int64_t
remaining_ms(fv_sched_t *sched, const fv_sched_task_t *task, int64_t now_ms)
{
    const fv_sched_stage_t *stage = task->stage;
    int64_t ran_ms = now_ms - task->start_sent_ms;

    if (task->percent <= 0) {
        return FvSched_ExpectedRunMs(sched, stage, task->worker);
    }
    return ran_ms * (100 - task->percent) / task->percent;
}

/* Stops the runs that will not end before the worker leaves, so that their
 * tasks resume elsewhere at once, from a checkpoint if there is one. */
static void
evict_from_draining_worker(fv_sched_t *sched, fv_sched_worker_t *worker,
                           int64_t now_ms)
{
    int64_t left_ms = worker->drain_until_ms - now_ms - sched->stop_max_ms;
    fv_sched_task_t *next;

    if (!worker->draining || worker->drain_until_ms == 0) {
        return;
    }
    for (fv_sched_task_t *task = worker->tasks; task != NULL; task = next) {
        next = task->worker_next;
        if (task->state != Fv_SCHED_RUNNING ||
            task->listed_in_report != sched->report_count ||
            remaining_ms(sched, task, now_ms) < left_ms) {
            continue;
        }
        FvLog_Event(Fv_LOG_INFO, "run_moved",
                    "job=%s stage=%u task=%d worker=%s percent=%d "
                    "worker_left_ms=%" PRId64,
                    task->stage->job->id, task->stage->step_index, task->index,
                    worker->entry.id, task->percent, left_ms);
        if (task->stage->step->gang) {
            FvSched_StopGang(sched, task->stage, now_ms);
        }
        else {
            FvSched_StopTask(sched, task, now_ms);
        }
    }
}

static void
record_progress(fv_sched_t *sched, const fv_worker_report_t *report,
                const bool *changed)
{
    for (uint32_t i = 0; i < report->ended_count; i++) {
        fv_sched_job_t *job;

        if (!changed[i]) {
            continue;
        }
        job = FvSched_FindTaskJob(sched, report->ended[i].task_id);
        if (job != NULL && job->outcome == Fv_SCHED_JOB_OPEN) {
            sched->ops->record(sched, job, Fv_RECORD_PROGRESS);
        }
    }
}

/* Runs that an earlier leader stopped are not listed while they end. That
 * leader's orders are refused from this leader's first call on, but until then
 * a stop may be carried out long after it was sent. */
static void
wait_for_inherited_stops(const fv_sched_t *sched, fv_sched_worker_t *worker,
                         int64_t now_ms)
{
    if (worker->inherited) {
        worker->inherited = false;
        worker->inherited_stops_until_ms = now_ms + sched->stop_max_ms;
    }
}

/**
 * FvSched_ApplyReport - apply a worker's report
 * @sched: the scheduler
 * @worker: the worker
 * @report: the report
 * @sent_ms: when the report was requested
 * @now_ms: the time
 *
 * Return: false when the report was left out.
 */
bool
FvSched_ApplyReport(fv_sched_t *sched, fv_sched_worker_t *worker,
                    const fv_worker_report_t *report, int64_t sent_ms,
                    int64_t now_ms)
{
    bool *changed;
    bool all_ends_listed;
    fv_sched_resources_t used = {0};

    if (FvSched_IsReportOvertaken(worker, report->started_wall_ms, sent_ms)) {
        FvLog_Event(Fv_LOG_INFO, "report_overtaken",
                    "worker=%s born=%" PRId64 " known=%" PRId64,
                    worker->entry.id, report->started_wall_ms,
                    worker->started_wall_ms);
        return false;
    }
    if (report->started_wall_ms != worker->started_wall_ms) {
        FvSched_BeginIncarnation(sched, worker, report->started_wall_ms,
                                 now_ms);
    }
    changed = calloc((size_t)report->ended_count + 1, sizeof(*changed));
    if (changed == NULL) {
        return false;
    }
    if (worker->suspect || worker->lost) {
        FvLog_Event(Fv_LOG_INFO, "worker_back", "worker=%s silent_ms=%" PRId64,
                    worker->entry.id, now_ms - worker->last_contact_ms);
    }
    worker->suspect = sent_ms <= worker->closed_ms;
    worker->lost = false;
    worker->last_contact_ms = now_ms;
    if (!worker->clock_known) {
        FvSched_OutlastEarlierLeases(sched, worker, report->clock_ms, now_ms);
    }
    worker->clock_known =
        report->started_wall_ms == worker->entry.started_wall_ms ||
        sent_ms > worker->doubted_ms;
    worker->clock_ms = report->clock_ms;
    /* The clock was read before now, which errs towards a shorter lease. */
    worker->clock_sampled_ms = now_ms;
    all_ends_listed = are_all_ends_listed(sched, report);
    for (uint32_t i = 0; i < report->ended_count; i++) {
        if (report->ended[i].number > worker->last_end_applied) {
            changed[i] = apply_end(sched, worker, &report->ended[i], now_ms);
            worker->last_end_applied = report->ended[i].number;
        }
    }
    FvSched_ForgetEndedOrphanRuns(worker, now_ms);
    sched->report_count++;
    for (uint32_t i = 0; i < report->running_count; i++) {
        apply_running(sched, worker, &report->running[i], &used, now_ms);
    }
    check_capacity(worker, &used, report->running_count);
    FvSched_CheckOrphanRuns(sched, worker, sent_ms, now_ms);
    record_progress(sched, report, changed);
    handle_missing_runs(sched, worker, report, all_ends_listed, sent_ms,
                        now_ms);
    stop_stalled_runs(sched, worker, now_ms);
    evict_from_draining_worker(sched, worker, now_ms);
    wait_for_inherited_stops(sched, worker, now_ms);
    if (!worker->synced && worker->clock_known && all_ends_listed) {
        worker->synced = true;
        FvLog_Event(Fv_LOG_INFO, "worker_synced",
                    "worker=%s running=%u ended=%u stops_left_ms=%" PRId64,
                    worker->entry.id, report->running_count,
                    report->ended_count,
                    worker->inherited_stops_until_ms > now_ms
                        ? worker->inherited_stops_until_ms - now_ms
                        : 0);
    }
    sched->dirty = true;
    free(changed);
    return true;
}

/**
 * FvSched_ReportUnanswered - handle a report request without an answer
 * @sched: the scheduler
 * @worker: the worker
 * @now_ms: the time
 */
void
FvSched_ReportUnanswered(fv_sched_t *sched, fv_sched_worker_t *worker,
                         int64_t now_ms)
{
    if (!worker->suspect) {
        FvLog_Event(Fv_LOG_WARN, "worker_silent",
                    "worker=%s tasks=%d lease_left_ms=%" PRId64
                    " lead_age_ms=%" PRId64,
                    worker->entry.id, worker->task_count,
                    worker->lease_expires_ms - now_ms,
                    FvSched_LeadAgeMs(sched, now_ms));
    }
    worker->suspect_since_ms =
        worker->suspect ? worker->suspect_since_ms : now_ms;
    worker->suspect = true;
    FvSched_NoteUnanswered(sched, now_ms);
    if (FvSched_HasLeaseExpired(sched, worker)) {
        worker->lost = true;
        FvSched_RequeueLostTasks(sched, worker, "lease_lapsed", now_ms);
    }
}

/**
 * FvSched_ConnectionClosed - handle the end of a connection to a worker
 * @sched: the scheduler
 * @worker: the worker, which closed or refused it
 * @now_ms: the time
 *
 * Its process may have ended. The next one, which may be of another kind, gets
 * no start: the worker counts as silent until it answers a report that is
 * requested from now on.
 */
void
FvSched_ConnectionClosed(fv_sched_t *sched, fv_sched_worker_t *worker,
                         int64_t now_ms)
{
    worker->closed_ms = now_ms;
    FvSched_ReportUnanswered(sched, worker, now_ms);
}

/**
 * FvSched_EndToAcknowledge - which ends a worker may drop
 * @worker: the worker
 *
 * A call that the next incarnation carries out makes it drop ends of its own,
 * so that no call carries a number without need.
 *
 * Return: the number of the latest recorded end; 0 when the worker has dropped
 * it, and while a later incarnation may answer: after a sign of a restart, or
 * when a call was not answered.
 */
int64_t
FvSched_EndToAcknowledge(const fv_sched_worker_t *worker)
{
    return worker->clock_known && !worker->suspect &&
                   worker->last_end_recorded > worker->last_end_acknowledged
               ? worker->last_end_recorded
               : 0;
}

/**
 * FvSched_EndsAcknowledged - note that a worker has dropped ends
 * @worker: the worker
 * @number: the number that an answered call of this incarnation carried
 */
void
FvSched_EndsAcknowledged(fv_sched_worker_t *worker, int64_t number)
{
    if (number > worker->last_end_acknowledged) {
        worker->last_end_acknowledged = number;
    }
}

/**
 * FvSched_HasUnrecordedEnds - check whether the store lacks ends of a worker
 * @worker: the worker
 *
 * A restart of the worker also restarts its numbering, so that numbers from
 * before a report can't tell whether it brought ends.
 *
 * Return: true when the next leader has to learn of ends from the worker.
 */
bool
FvSched_HasUnrecordedEnds(const fv_sched_worker_t *worker)
{
    return worker->last_end_applied > worker->last_end_recorded;
}

/**
 * FvSched_EndsRecorded - note that the effects of a worker's ends are in the
 * store
 * @worker: the worker
 * @number: number of the latest end that was applied before the write
 *
 * Return: true when later ends were applied meanwhile and are not recorded
 * yet.
 */
bool
FvSched_EndsRecorded(fv_sched_worker_t *worker, int64_t number)
{
    /* A restart of the worker meanwhile also restarts its numbering. */
    if (number <= worker->last_end_applied &&
        number > worker->last_end_recorded) {
        worker->last_end_recorded = number;
    }
    return FvSched_HasUnrecordedEnds(worker);
}
