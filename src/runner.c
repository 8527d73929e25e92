/*
 * The jobs of this host: their table, their queues and their outcomes.
 */

#include "runner.h"

#include <sodium.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#define Fv_RUNNER_HOUSEKEEPING_MS 1000
#define Fv_RUNNER_REORDER_MS 5000
/* Status calls for ended jobs are served from memory for this long. */
#define Fv_RUNNER_KEEP_ENDED_MS (10 * 60 * 1000)
#define Fv_RUNNER_ANSWERS_MAX_BYTES (24 * 1024 * 1024)
#define Fv_RUNNER_RUNS_MAX 20000
/* Records of ended jobs are kept for at least 24 h: the store lease for new
 * records is replaced every hour. */
#define Fv_RUNNER_RETENTION_S (25 * 3600)
#define Fv_RUNNER_RETENTION_RENEW_MS (3600 * 1000)
/* Capacity may become free at any time; longer waits would leave it idle. */
#define Fv_RUNNER_BACKOFF_MAX_MS 500
/* Delay before a failed request for the store lease is repeated. */
#define Fv_RUNNER_RETENTION_RETRY_MS 5000

/**
 * FvRunRef_New - make a reference to a run for use in a callback
 * @run: the run
 * @index: the index of a task, or 0
 *
 * Return: the reference; the caller frees it.
 */
fv_run_ref_t *
FvRunRef_New(const fv_run_t *run, int32_t index)
{
    fv_run_ref_t *ref = calloc(1, sizeof(*ref));

    if (ref == NULL) {
        abort();
    }
    ref->runner = run->runner;
    ref->serial = run->serial;
    ref->attempt = run->job->attempts;
    ref->index = index;
    FvText_Copy(ref->name, sizeof(ref->name), run->name);
    return ref;
}

/**
 * FvRunRef_Find - look up the run of a reference
 * @ref: the reference
 *
 * Return: the run, or NULL when it has been removed.
 */
fv_run_t *
FvRunRef_Find(const fv_run_ref_t *ref)
{
    fv_run_t *run = NULL;

    HASH_FIND_STR(ref->runner->runs, ref->name, run);
    return run != NULL && run->serial == ref->serial ? run : NULL;
}

/**
 * FvRunner_Find - look up a job
 * @runner: the runner
 * @member: its member
 * @key: its key
 *
 * Return: the run, or NULL if this host is not the job's home.
 */
fv_run_t *
FvRunner_Find(const fv_runner_t *runner, const char *member, const char *key)
{
    char name[Fv_NAME_SIZE + Fv_KEY_SIZE];
    fv_run_t *run = NULL;

    snprintf(name, sizeof(name), "%s/%s", member, key);
    HASH_FIND_STR(runner->runs, name, run);
    return run;
}

static void
fire_run_timer(void *owner)
{
    fv_run_t *run = owner;

    if (run->claimed || !FvWorkload_NeedsClaim(&run->job->workload)) {
        if (!FvRun_Enqueue(run)) {
            FvRun_BackOff(run);
        }
        return;
    }
    FvRun_Admit(run);
}

/* Whether no task has been started and no pending claim write can lead to a
 * start. */
static bool
is_waiting_to_start(const fv_run_t *run)
{
    return !run->write_pending &&
           (run->phase == Fv_RUN_ADMITTING || run->phase == Fv_RUN_QUEUED ||
            run->phase == Fv_RUN_BACKOFF);
}

static void
fire_deadline(void *owner)
{
    fv_run_t *run = owner;

    if (is_waiting_to_start(run)) {
        FvRun_EndIfCancelledOrExpired(run);
    }
}

static void
arm_deadline(fv_run_t *run)
{
    int64_t left_ms;

    if (run->job->start_before_ms == 0) {
        return;
    }
    left_ms = run->job->start_before_ms - FvClock_WallMs();
    FvLoop_SetTimer(run->runner->daemon->loop, &run->deadline_timer,
                    FvClock_NowMs() + (left_ms > 0 ? left_ms : 0));
}

static void
free_tasks(fv_run_t *run)
{
    fv_loop_t *loop = run->runner->daemon->loop;

    for (int32_t i = 0; i < run->task_count; i++) {
        if (run->tasks[i].timer.armed) {
            FvLoop_CancelTimer(loop, &run->tasks[i].timer);
            free(run->tasks[i].timer.owner);
        }
        free(run->tasks[i].answer);
    }
    free(run->tasks);
    run->tasks = NULL;
    run->task_count = 0;
}

/**
 * FvRun_ResetTasks - replace the tasks of the last attempt by new ones
 * @run: the job
 */
void
FvRun_ResetTasks(fv_run_t *run)
{
    int32_t count = run->job->workload.tasks;

    free_tasks(run);
    run->tasks = calloc((size_t)count, sizeof(*run->tasks));
    if (run->tasks == NULL) {
        abort();
    }
    run->task_count = count;
    run->tasks_pending = 0;
    run->hosts_tried = 0;
    memset(run->refused_by, 0, sizeof(run->refused_by));
}

/**
 * FvRunner_Add - add a job
 * @runner: the runner
 * @job: the job; ownership is taken
 *
 * Return: its run; the caller admits or queues it.
 */
fv_run_t *
FvRunner_Add(fv_runner_t *runner, fv_job_t *job)
{
    fv_run_t *run = calloc(1, sizeof(*run));

    if (run == NULL) {
        abort();
    }
    run->runner = runner;
    run->job = job;
    run->serial = ++runner->last_serial;
    run->timer.fire = fire_run_timer;
    run->timer.owner = run;
    run->deadline_timer.fire = fire_deadline;
    run->deadline_timer.owner = run;
    job->run = run;
    snprintf(run->name, sizeof(run->name), "%s/%s", job->member, job->key);
    HASH_ADD_STR(runner->runs, name, run);
    runner->unfinished_count++;
    runner->payload_bytes += job->payload_length;
    arm_deadline(run);
    return run;
}

static void
drop_payload(fv_run_t *run)
{
    run->runner->payload_bytes -= run->job->payload_length;
    free(run->job->payload);
    run->job->payload = NULL;
    run->job->payload_length = 0;
}

static void
drop_answer(fv_run_t *run)
{
    run->runner->answer_bytes -= run->job->answer_length;
    free(run->job->answer);
    run->job->answer = NULL;
}

static void
remove_from_queue(fv_run_t *run)
{
    if (run->job->queued) {
        FvQueue_Remove(run->runner->queues[run->job->workload.class_id],
                       run->job);
    }
}

/**
 * FvRunner_Remove - remove a job
 * @run: the job; freed
 */
void
FvRunner_Remove(fv_run_t *run)
{
    fv_runner_t *runner = run->runner;
    fv_loop_t *loop = runner->daemon->loop;

    remove_from_queue(run);
    FvLoop_CancelTimer(loop, &run->timer);
    FvLoop_CancelTimer(loop, &run->deadline_timer);
    if (run->phase == Fv_RUN_ENDED) {
        drop_answer(run);
    }
    else {
        runner->unfinished_count--;
    }
    drop_payload(run);
    free_tasks(run);
    HASH_DEL(runner->runs, run);
    FvJob_Free(run->job);
    free(run);
}

static void
update_latest_start(fv_job_t *job, void *context)
{
    const fv_runner_t *runner = context;
    int64_t run_ms = FvEstimates_RunMs(runner->daemon->estimates, job->member,
                                       &job->workload);

    FvPolicyDeadline_SetLatestStart(job, run_ms);
}

/**
 * FvRun_Enqueue - put a job into the queue of its class
 * @run: the job
 *
 * Return: false when the queue is full.
 */
bool
FvRun_Enqueue(fv_run_t *run)
{
    fv_runner_t *runner = run->runner;
    fv_job_t *job = run->job;

    update_latest_start(job, runner);
    if (FvQueue_Push(runner->queues[job->workload.class_id], job) !=
        Fv_QUEUE_OK) {
        return false;
    }
    job->state = Fv_JOB_QUEUED;
    run->phase = Fv_RUN_QUEUED;
    FvRun_ResetTasks(run);
    arm_deadline(run);
    FvRunner_ScheduleDispatch(runner);
    return true;
}

/**
 * FvRun_BackOff - queue a job again after a backoff
 * @run: the job; none of its tasks runs
 */
void
FvRun_BackOff(fv_run_t *run)
{
    int64_t delay_ms =
        FvRetry_BackoffMs(++run->backoffs, randombytes_random());

    if (delay_ms > Fv_RUNNER_BACKOFF_MAX_MS) {
        delay_ms = Fv_RUNNER_BACKOFF_MAX_MS;
    }
    remove_from_queue(run);
    run->phase = Fv_RUN_BACKOFF;
    run->job->state = Fv_JOB_QUEUED;
    FvMetrics_Add(Fv_COUNTER_RETRIES, 1);
    /* FvRecovery_Adopt may have set another callback. */
    run->timer.fire = fire_run_timer;
    FvLoop_SetTimer(run->runner->daemon->loop, &run->timer,
                    FvClock_NowMs() + delay_ms);
}

static void
retain_ended_run(fv_run_t *run)
{
    fv_runner_t *runner = run->runner;

    run->phase = Fv_RUN_ENDED;
    run->ended_ms = FvClock_NowMs();
    runner->unfinished_count--;
    runner->answer_bytes += run->job->answer_length;
    if (runner->ended_last != NULL) {
        runner->ended_last->ended_next = run;
    }
    else {
        runner->ended_first = run;
    }
    runner->ended_last = run;
    FvRun_ReplyWaiters(run);
}

/* Whether an outcome must be in the store before callers learn of it: until
 * then another host could take over the job and start it. */
static bool
must_be_durable(fv_outcome_t outcome)
{
    return outcome == Fv_OUTCOME_NOT_RUN || outcome == Fv_OUTCOME_CANCELLED;
}

static void
finish_end_write(fv_run_t *run, fv_claim_result_t result, const json_t *record,
                 int64_t revision)
{
    (void)revision;
    if (result == Fv_CLAIM_LOST && must_be_durable(run->job->outcome)) {
        FvRun_OnClaimLost(run, record);
        return;
    }
    retain_ended_run(run);
}

static void
report_end(const fv_run_t *run)
{
    const fv_job_t *job = run->job;
    int64_t now_ns = FvClock_NowNs();

    FvMetrics_Record(Fv_TIMING_TOTAL, job->workload.class_id, job->member,
                     (now_ns - job->submitted_ns) / 1000);
    if (job->started_ns != 0) {
        FvMetrics_Record(Fv_TIMING_RUN, job->workload.class_id, job->member,
                         (now_ns - job->started_ns) / 1000);
    }
    FvLog_Event(job->outcome == Fv_OUTCOME_DONE ? Fv_LOG_DEBUG : Fv_LOG_INFO,
                "job_ended", "job=%s outcome=%s attempts=%d reason=%s",
                run->name, FvOutcome_Name(job->outcome), job->attempts,
                job->reason);
}

/**
 * FvRun_End - end a job with an outcome
 * @run: the job; none of its claim writes may be pending
 * @outcome: the outcome
 * @format: the reason
 *
 * Callers learn of not_run and cancelled only after the outcome is in the
 * store.
 */
void
FvRun_End(fv_run_t *run, fv_outcome_t outcome, const char *format, ...)
{
    fv_loop_t *loop = run->runner->daemon->loop;
    va_list arguments;

    va_start(arguments, format);
    vsnprintf(run->job->reason, sizeof(run->job->reason), format, arguments);
    va_end(arguments);
    remove_from_queue(run);
    FvLoop_CancelTimer(loop, &run->timer);
    FvLoop_CancelTimer(loop, &run->deadline_timer);
    run->ended_ns = FvClock_NowNs();
    run->job->outcome = outcome;
    run->job->state = Fv_JOB_ENDED;
    drop_payload(run);
    report_end(run);
    if (!run->claimed) {
        retain_ended_run(run);
        return;
    }
    run->phase = Fv_RUN_ENDING;
    if (!must_be_durable(outcome)) {
        FvRun_ReplyWaiters(run);
    }
    FvRun_WriteClaim(run, finish_end_write);
}

/**
 * FvRun_EndIfCancelledOrExpired - end a job that must not start any more
 * @run: the job; none of its tasks runs and no claim write is pending
 *
 * Return: true when the job was ended.
 */
bool
FvRun_EndIfCancelledOrExpired(fv_run_t *run)
{
    const fv_job_t *job = run->job;

    if (job->cancel_requested) {
        FvRun_End(run, Fv_OUTCOME_CANCELLED, "cancelled before it started");
        return true;
    }
    if (job->start_before_ms != 0 &&
        FvClock_WallMs() >= job->start_before_ms) {
        if (run->may_have_started) {
            FvRun_End(run, Fv_OUTCOME_FAILED,
                      "stopped, and not started again by its deadline");
        }
        else {
            FvRun_End(run, Fv_OUTCOME_NOT_RUN, "not started by its deadline");
        }
        return true;
    }
    return false;
}

/**
 * FvRun_Cancel - cancel a job
 * @run: the job
 *
 * A job that has not started ends at once, and running tasks are stopped. In
 * the phases in between, cancel_requested is checked when the outstanding
 * reply arrives.
 */
void
FvRun_Cancel(fv_run_t *run)
{
    if (run->job->state == Fv_JOB_ENDED) {
        return;
    }
    run->job->cancel_requested = true;
    if (is_waiting_to_start(run)) {
        FvRun_EndIfCancelledOrExpired(run);
    }
    else if (run->phase == Fv_RUN_RUNNING) {
        FvRun_StopTasks(run);
    }
}

static json_t *
list_workers(const fv_run_t *run)
{
    json_t *workers = json_array();

    for (int32_t i = 0; i < run->task_count; i++) {
        if (run->tasks[i].worker[0] != '\0') {
            json_array_append_new(workers, json_string(run->tasks[i].worker));
        }
    }
    return workers;
}

/**
 * FvRun_ToJson - build the job document
 * @run: the job
 *
 * Return: a new object as in docs/protocol.md.
 */
json_t *
FvRun_ToJson(const fv_run_t *run)
{
    const fv_job_t *job = run->job;
    bool end_hidden =
        run->phase == Fv_RUN_ENDING && must_be_durable(job->outcome);
    int64_t started_ns = job->started_ns ? job->started_ns : FvClock_NowNs();
    json_t *document = json_pack(
        "{s:s, s:s, s:s, s:s, s:s, s:i, s:o, s:I, s:I}", "key", job->key,
        "workload", job->workload.name, "state",
        end_hidden ? "queued" : FvJobState_Name(job->state), "outcome",
        end_hidden ? "" : FvOutcome_Name(job->outcome), "reason",
        end_hidden ? "" : job->reason, "attempts", (int)job->attempts,
        "workers", list_workers(run), "answer_length",
        (json_int_t)job->answer_length, "waited_ms",
        (json_int_t)((started_ns - job->submitted_ns) / Fv_NS_PER_MS));

    if (document == NULL) {
        abort();
    }
    if (job->started_ns != 0) {
        int64_t until_ns = run->ended_ns ? run->ended_ns : FvClock_NowNs();

        json_object_set_new(
            document, "ran_ms",
            json_integer((until_ns - job->started_ns) / Fv_NS_PER_MS));
    }
    return document;
}

/**
 * FvRunner_ScheduleDispatch - run a dispatch pass in the next loop iteration
 * @runner: the runner, or NULL during startup
 */
void
FvRunner_ScheduleDispatch(fv_runner_t *runner)
{
    if (runner != NULL && (!runner->dispatch_timer.armed ||
                           runner->dispatch_timer.due_ms > FvClock_NowMs())) {
        FvLoop_SetTimer(runner->daemon->loop, &runner->dispatch_timer,
                        FvClock_NowMs());
    }
}

static void
receive_retention_lease(void *context, const fv_store_result_t *result)
{
    fv_runner_t *runner = context;
    int64_t now_ms = FvClock_NowMs();

    runner->retention_pending = false;
    if (result->error != Fv_STORE_OK) {
        runner->retention_renew_at_ms = now_ms + Fv_RUNNER_RETENTION_RETRY_MS;
        return;
    }
    runner->retention_lease = result->lease;
    runner->retention_renew_at_ms = now_ms + Fv_RUNNER_RETENTION_RENEW_MS;
}

/* Records of ended jobs are attached to this lease and expire with it. */
static void
renew_retention_lease(fv_runner_t *runner)
{
    if (!runner->retention_pending &&
        FvClock_NowMs() >= runner->retention_renew_at_ms) {
        runner->retention_pending = true;
        FvStore_GrantLease(runner->daemon->store, Fv_RUNNER_RETENTION_S,
                           receive_retention_lease, runner);
    }
}

static void
remove_oldest_ended(fv_runner_t *runner)
{
    fv_run_t *run = runner->ended_first;

    runner->ended_first = run->ended_next;
    if (runner->ended_first == NULL) {
        runner->ended_last = NULL;
    }
    FvRunner_Remove(run);
}

/* The order depends on run time estimates, which change while jobs wait. */
static void
reorder_queue(fv_runner_t *runner)
{
    int64_t now_ms = FvClock_NowMs();

    if (now_ms >= runner->next_reorder_ms) {
        FvQueue_Reorder(runner->queues[Fv_CLASS_DEADLINE], update_latest_start,
                        runner);
        runner->next_reorder_ms = now_ms + Fv_RUNNER_REORDER_MS;
    }
}

static void
run_housekeeping(void *owner)
{
    fv_runner_t *runner = owner;
    int64_t now_ms = FvClock_NowMs();

    while (runner->ended_first != NULL &&
           (now_ms - runner->ended_first->ended_ms > Fv_RUNNER_KEEP_ENDED_MS ||
            runner->answer_bytes > Fv_RUNNER_ANSWERS_MAX_BYTES ||
            HASH_COUNT(runner->runs) > Fv_RUNNER_RUNS_MAX)) {
        remove_oldest_ended(runner);
    }
    renew_retention_lease(runner);
    reorder_queue(runner);
    FvRunner_ScheduleDispatch(runner);
    FvLoop_SetTimer(runner->daemon->loop, &runner->housekeeping_timer,
                    now_ms + Fv_RUNNER_HOUSEKEEPING_MS);
}

/**
 * FvRunner_New - allocate the runner
 * @daemon: the daemon
 *
 * Return: the runner, or NULL when memory is exhausted.
 */
fv_runner_t *
FvRunner_New(fv_daemon_t *daemon)
{
    fv_runner_t *runner = calloc(1, sizeof(*runner));

    if (runner == NULL) {
        return NULL;
    }
    runner->daemon = daemon;
    for (int i = 0; i < Fv_CLASS_COUNT; i++) {
        runner->queues[i] =
            FvQueue_New(FvPolicy_ForClass((fv_class_t)i),
                        (uint32_t)daemon->settings.queue_limit);
    }
    runner->dispatch_timer.fire = FvRunner_Dispatch;
    runner->dispatch_timer.owner = runner;
    runner->housekeeping_timer.fire = run_housekeeping;
    runner->housekeeping_timer.owner = runner;
    FvLoop_SetTimer(daemon->loop, &runner->housekeeping_timer,
                    FvClock_NowMs());
    runner->recovery = FvRecovery_New(runner);
    return runner;
}

/* A claimed job is continued by another host, so its callers get 202 and can
 * poll its status. */
static void
reply_on_shutdown(const fv_run_t *run, fv_ticket_t *ticket)
{
    if (run->claimed && run->job->state != Fv_JOB_ENDED) {
        FvTicket_ReplyJson(ticket, 202, FvRun_ToJson(run));
    }
    else {
        FvTicket_ReplyProblem(ticket, 503, NULL, 1000, "the host is stopping");
    }
}

static void
free_waiters(fv_run_t *run)
{
    fv_job_waiter_t *waiter = run->waiters;

    while (waiter != NULL) {
        fv_job_waiter_t *next = waiter->next;

        if (waiter->ticket != NULL) {
            reply_on_shutdown(run, waiter->ticket);
        }
        free(waiter);
        waiter = next;
    }
    run->waiters = NULL;
}

/**
 * FvRunner_Free - free all jobs; callers that still wait get a reply
 * @runner: the runner, or NULL
 */
void
FvRunner_Free(fv_runner_t *runner)
{
    fv_run_t *run;
    fv_run_t *next;

    if (runner == NULL) {
        return;
    }
    for (run = runner->runs; run != NULL; run = next) {
        next = run->hh.next;
        free_waiters(run);
        FvRunner_Remove(run);
    }
    FvRemoteJob_FreeAll(runner);
    for (int i = 0; i < Fv_CLASS_COUNT; i++) {
        FvQueue_Free(runner->queues[i]);
    }
    FvRecovery_Free(runner->recovery);
    free(runner);
}

/**
 * FvRunner_QueueCounts - number of queued jobs by class
 * @runner: the runner
 * @counts: receives them
 */
void
FvRunner_QueueCounts(const fv_runner_t *runner, int32_t counts[Fv_CLASS_COUNT])
{
    for (int i = 0; i < Fv_CLASS_COUNT; i++) {
        counts[i] = (int32_t)FvQueue_Count(runner->queues[i]);
    }
}

/**
 * FvRunner_IsDrained - whether the host may stop without losing a job
 * @runner: the runner
 *
 * A claimed job is continued by another host, so it delays the shutdown only
 * while a caller waits for it, its tasks are being started or its claim is
 * being written.
 *
 * Return: true when no job depends on this host.
 */
bool
FvRunner_IsDrained(const fv_runner_t *runner)
{
    fv_run_t *run;

    if (runner->remote_waits != NULL) {
        return false;
    }
    for (run = runner->runs; run != NULL; run = run->hh.next) {
        bool needs_this_host = run->waiters != NULL || run->write_pending ||
                               run->phase == Fv_RUN_STARTING || !run->claimed;

        if (run->phase != Fv_RUN_ENDED && needs_this_host) {
            return false;
        }
    }
    return true;
}

/**
 * FvRunner_OnHosts - handle a change of the host list
 * @runner: the runner
 */
void
FvRunner_OnHosts(fv_runner_t *runner)
{
    FvRecovery_OnHosts(runner->recovery);
    FvRunner_ScheduleDispatch(runner);
}

/**
 * FvRunner_OnConfig - handle a new configuration
 * @runner: the runner
 *
 * Jobs keep the workload they were accepted with.
 */
void
FvRunner_OnConfig(fv_runner_t *runner)
{
    FvRunner_ScheduleDispatch(runner);
}
