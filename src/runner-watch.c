/*
 * Tasks that run or may run: waits for their end, resolves the state of
 * unconfirmed tasks, stops tasks and determines the job's outcome. A task is
 * unconfirmed while no reply shows whether it started or how it ended.
 */

#include "runner.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define Fv_WATCH_WAIT_MS 20000
#define Fv_WATCH_TIMEOUT_MS 25000
#define Fv_RESOLVE_TIMEOUT_MS 6000
/* Least time between queries: a host that does not hold the lease replies at
 * once instead of waiting for the end of the task. */
#define Fv_WATCH_MIN_INTERVAL_MS 500
#define Fv_RESOLVE_DELAY_MIN_MS 100
#define Fv_RESOLVE_DELAY_MAX_MS 1000
/* A non-idempotent task that stays unconfirmed for this long, or past the
 * job's deadline, ends the job with the outcome unknown. */
#define Fv_UNKNOWN_TIMEOUT_MS 60000
/* An idempotent, non-exclusive task is started again after it has been
 * unconfirmed for this long: longer than a restart takes, and short enough for
 * the result to be of use. */
#define Fv_RERUN_AFTER_MS 6000

/**
 * FvRunTask_IsTerminal - whether a task has reached a terminal state
 * @task: the task
 *
 * Return: true when the task ended, or certainly did not and will not start.
 */
bool
FvRunTask_IsTerminal(const fv_run_task_t *task)
{
    return FvTaskState_IsTerminal(task->state);
}

/* Chooses the host that should hold the lease of the task's worker, or this
 * host, which can query the worker without the lease. */
static void
choose_query_host(const fv_run_t *run, fv_run_task_t *task, bool direct)
{
    fv_daemon_t *daemon = run->runner->daemon;
    const fv_managed_worker_t *managed =
        FvHolder_Find(daemon->holder, task->worker);
    const fv_host_t *host = NULL;

    if (managed != NULL && !direct) {
        const fv_worker_t *worker = managed->worker;

        host = FvHosts_PreferredLeaseHolder(
            &daemon->hosts, daemon->self, worker->data_center, worker->region,
            worker->rack, FvClock_NowMs());
    }
    if (host == NULL) {
        host = daemon->self;
    }
    FvText_Copy(task->host, Fv_NAME_SIZE, host->name);
}

/* Returns the run, or NULL if it has ended or is at another attempt. Frees the
 * reference. */
static fv_run_t *
take_ref(fv_run_ref_t *ref, int32_t *index)
{
    fv_run_t *run = FvRunRef_Find(ref);

    *index = ref->index;
    if (run != NULL &&
        (run->job->attempts != ref->attempt ||
         run->job->state == Fv_JOB_ENDED || ref->index >= run->task_count)) {
        run = NULL;
    }
    free(ref);
    return run;
}

static void
send_task_message(fv_run_t *run, int32_t index, fv_message_type_t type,
                  int64_t wait_ms, int64_t timeout_ms, fv_peer_done_t done)
{
    const fv_run_task_t *task = &run->tasks[index];
    fv_message_t message = {.type = type};
    fv_task_request_t *request = &message.body.task_request;

    FvRun_TaskId(run, index, request->id, sizeof(request->id));
    FvText_Copy(request->worker, Fv_NAME_SIZE, task->worker);
    FvText_Copy(request->member, Fv_NAME_SIZE, run->job->member);
    request->wait_ms = wait_ms;
    FvPeers_Call(run->runner->daemon->peers, task->host, &message, timeout_ms,
                 done, FvRunRef_New(run, index));
}

static bool
is_conclusive(fv_link_error_t error, const fv_message_t *message)
{
    return error == Fv_LINK_OK && message->type == Fv_MESSAGE_TASK_REPLY &&
           message->body.task_reply.refusal == Fv_REFUSAL_NONE;
}

static void
fire_watch(void *owner)
{
    fv_run_ref_t *ref = owner;
    int32_t index;
    fv_run_t *run = take_ref(ref, &index);

    if (run != NULL && run->tasks[index].state == Fv_TASK_RUNNING) {
        FvRun_WatchTask(run, index);
    }
}

static void
fire_resolve(void *owner)
{
    fv_run_ref_t *ref = owner;
    int32_t index;
    fv_run_t *run = take_ref(ref, &index);

    if (run != NULL) {
        FvRun_ResolveTask(run, index);
    }
}

static void
schedule_task(fv_run_t *run, int32_t index, void (*fire)(void *),
              int64_t delay_ms)
{
    fv_run_task_t *task = &run->tasks[index];
    fv_loop_t *loop = run->runner->daemon->loop;

    if (task->timer.armed) {
        FvLoop_CancelTimer(loop, &task->timer);
        free(task->timer.owner);
    }
    task->timer.fire = fire;
    task->timer.owner = FvRunRef_New(run, index);
    FvLoop_SetTimer(loop, &task->timer, FvClock_NowMs() + delay_ms);
}

/**
 * FvRun_ScheduleResolve - query an unconfirmed task again after a delay
 * @run: the job
 * @index: which task
 */
void
FvRun_ScheduleResolve(fv_run_t *run, int32_t index)
{
    fv_run_task_t *task = &run->tasks[index];
    int64_t delay_ms =
        Fv_RESOLVE_DELAY_MIN_MS
        << (task->resolve_attempts < 4 ? task->resolve_attempts : 4);

    if (delay_ms > Fv_RESOLVE_DELAY_MAX_MS) {
        delay_ms = Fv_RESOLVE_DELAY_MAX_MS;
    }
    delay_ms = delay_ms / 2 + randombytes_uniform((uint32_t)delay_ms);
    schedule_task(run, index, fire_resolve, delay_ms);
}

static void
mark_unconfirmed(fv_run_task_t *task)
{
    if (task->unconfirmed_since_ms == 0) {
        task->unconfirmed_since_ms = FvClock_NowMs();
        task->resolve_attempts = 0;
    }
}

static void
receive_watch(void *context, fv_link_error_t error, fv_message_t *message)
{
    int32_t index;
    fv_run_t *run = take_ref(context, &index);
    fv_run_task_t *task;

    if (run == NULL || run->tasks[index].state != Fv_TASK_RUNNING) {
        return;
    }
    task = &run->tasks[index];
    if (!is_conclusive(error, message)) {
        mark_unconfirmed(task);
        FvRun_ResolveTask(run, index);
        return;
    }
    if (message->body.task_reply.state == Fv_TASK_RUNNING) {
        schedule_task(run, index, fire_watch, Fv_WATCH_MIN_INTERVAL_MS);
        return;
    }
    FvRun_ApplyTaskReply(run, index, &message->body.task_reply);
}

/**
 * FvRun_WatchTask - wait for the end of a running task
 * @run: the job
 * @index: which task
 */
void
FvRun_WatchTask(fv_run_t *run, int32_t index)
{
    choose_query_host(run, &run->tasks[index], false);
    send_task_message(run, index, Fv_MESSAGE_QUERY, Fv_WATCH_WAIT_MS,
                      Fv_WATCH_TIMEOUT_MS, receive_watch);
}

/* Whether the worker process has been running since before the start was sent.
 * Otherwise it may have lost its record of the task in a restart, and its
 * reply "never started" is not reliable. */
static bool
predates_start(const fv_run_t *run, const fv_run_task_t *task,
               const fv_task_reply_t *reply)
{
    int64_t since_ms;

    if (task->start_sent_ms != 0) {
        since_ms = FvClock_NowMs() - task->start_sent_ms;
    }
    else {
        since_ms = FvClock_WallMs() - run->claim.started_ms + Fv_CLOCK_SKEW_MS;
    }
    return reply->uptime_ms >= since_ms;
}

static void
end_unknown(fv_run_t *run, int32_t index)
{
    fv_run_task_t *task = &run->tasks[index];

    FvLog_Event(Fv_LOG_WARN, "task_unknown", "job=%s task=%d worker=%s",
                run->name, index, task->worker);
    FvRun_End(run, Fv_OUTCOME_UNKNOWN, "worker %s did not tell whether it ran",
              task->worker);
}

static bool
resolve_timed_out(const fv_run_t *run, const fv_run_task_t *task)
{
    int64_t deadline_ms = run->job->deadline_ms;
    int64_t unconfirmed_ms = FvClock_NowMs() - task->unconfirmed_since_ms;

    if (deadline_ms != 0 && FvClock_WallMs() >= deadline_ms) {
        return true;
    }
    return unconfirmed_ms >= Fv_UNKNOWN_TIMEOUT_MS;
}

/* The worker can't be reached; what is safe to do depends on the workload. */
static void
handle_unreachable(fv_run_t *run, int32_t index)
{
    fv_run_task_t *task = &run->tasks[index];
    const fv_workload_t *workload = &run->job->workload;

    task->resolve_attempts++;
    if (!workload->idempotent) {
        if (resolve_timed_out(run, task)) {
            end_unknown(run, index);
            return;
        }
    }
    else if (workload->exclusive) {
        FvLeaseExpiry_Check(run, index);
    }
    else if (FvClock_NowMs() - task->unconfirmed_since_ms >=
             Fv_RERUN_AFTER_MS) {
        task->state = Fv_TASK_STOPPED;
        FvRun_Reconcile(run);
        return;
    }
    FvRun_ScheduleResolve(run, index);
}

/* Returns the run if the reply is conclusive and the task is not terminal yet.
 * An inconclusive reply is handled here. Frees the reference. */
static fv_run_t *
take_conclusive_reply(fv_run_ref_t *ref, fv_link_error_t error,
                      const fv_message_t *message, int32_t *index)
{
    fv_run_t *run = take_ref(ref, index);

    if (run == NULL || FvRunTask_IsTerminal(&run->tasks[*index])) {
        return NULL;
    }
    if (!is_conclusive(error, message)) {
        handle_unreachable(run, *index);
        return NULL;
    }
    return run;
}

static void
receive_resolution(void *context, fv_link_error_t error, fv_message_t *message)
{
    int32_t index;
    fv_run_t *run = take_conclusive_reply(context, error, message, &index);

    if (run == NULL) {
        return;
    }
    FvRun_ApplyTaskReply(run, index, &message->body.task_reply);
}

/* If the worker has not seen the task, its start may still be in transit; only
 * a stop prevents it. */
static void
receive_query(void *context, fv_link_error_t error, fv_message_t *message)
{
    int32_t index;
    fv_run_t *run = take_conclusive_reply(context, error, message, &index);

    if (run == NULL) {
        return;
    }
    if (message->body.task_reply.state == Fv_TASK_NEVER_STARTED) {
        send_task_message(run, index, Fv_MESSAGE_STOP, 0,
                          Fv_RESOLVE_TIMEOUT_MS, receive_resolution);
        return;
    }
    FvRun_ApplyTaskReply(run, index, &message->body.task_reply);
}

/**
 * FvRun_ResolveTask - determine the state of an unconfirmed task
 * @run: the job
 * @index: which task
 *
 * Queries the worker through its lease holder and directly from this host in
 * turn, until one of them reaches it. While the job is being stopped, sends a
 * stop instead of a query.
 */
void
FvRun_ResolveTask(fv_run_t *run, int32_t index)
{
    fv_run_task_t *task = &run->tasks[index];
    bool stop = run->phase == Fv_RUN_STOPPING;

    if (FvRunTask_IsTerminal(task)) {
        return;
    }
    mark_unconfirmed(task);
    choose_query_host(run, task, task->resolve_attempts % 2 == 1);
    send_task_message(run, index, stop ? Fv_MESSAGE_STOP : Fv_MESSAGE_QUERY, 0,
                      Fv_RESOLVE_TIMEOUT_MS,
                      stop ? receive_resolution : receive_query);
}

static void
take_answer(fv_run_task_t *task, fv_task_reply_t *reply)
{
    free(task->answer);
    task->answer = reply->answer;
    task->answer_length = reply->answer_length;
    task->ran_ms = reply->ran_ms;
    task->used = reply->used;
    reply->answer = NULL;
}

static void
handle_never_started(fv_run_t *run, int32_t index,
                     const fv_task_reply_t *reply)
{
    fv_run_task_t *task = &run->tasks[index];

    if (!run->job->workload.idempotent && !predates_start(run, task, reply)) {
        end_unknown(run, index);
        return;
    }
    task->state = Fv_TASK_NEVER_STARTED;
    FvRun_Reconcile(run);
}

/**
 * FvRun_ApplyTaskReply - update a task from a reply
 * @run: the job
 * @index: which task
 * @reply: the reply to a start, a query or a stop; its answer may be moved
 */
void
FvRun_ApplyTaskReply(fv_run_t *run, int32_t index, fv_task_reply_t *reply)
{
    fv_run_task_t *task = &run->tasks[index];
    bool was_starting = task->state == Fv_TASK_STARTING;

    if (was_starting) {
        run->tasks_pending--;
        if (run->job->started_ns == 0 && reply->refusal == Fv_REFUSAL_NONE) {
            run->job->started_ns =
                FvClock_NowNs() - reply->ran_ms * Fv_NS_PER_MS;
            FvMetrics_Record(
                Fv_TIMING_WAIT, run->job->workload.class_id, run->job->member,
                (run->job->started_ns - run->job->submitted_ns) / 1000);
        }
    }
    if (run->phase == Fv_RUN_STARTING && run->tasks_pending == 0) {
        run->phase = Fv_RUN_RUNNING;
        run->job->state = Fv_JOB_RUNNING;
    }
    if (reply->refusal == Fv_REFUSAL_UNCONFIRMED) {
        task->state = Fv_TASK_UNKNOWN;
        if (!FvWorkload_NeedsClaim(&run->job->workload)) {
            /* A lookup is safe to repeat on another worker. */
            task->state = Fv_TASK_STOPPED;
            FvRun_Reconcile(run);
            return;
        }
        FvRun_ResolveTask(run, index);
        return;
    }
    if (reply->refusal != Fv_REFUSAL_NONE) {
        task->state = Fv_TASK_NEVER_STARTED;
        FvRun_Reconcile(run);
        return;
    }
    task->unconfirmed_since_ms = 0;
    switch (reply->state) {
    case Fv_TASK_DONE:
    case Fv_TASK_FAILED:
    case Fv_TASK_STOPPED:
        task->state = reply->state;
        take_answer(task, reply);
        FvRun_Reconcile(run);
        break;
    case Fv_TASK_NEVER_STARTED:
        handle_never_started(run, index, reply);
        break;
    default:
        task->state = Fv_TASK_RUNNING;
        if (run->phase == Fv_RUN_STOPPING) {
            FvRun_ScheduleResolve(run, index);
        }
        else {
            FvRun_WatchTask(run, index);
        }
        FvRun_Reconcile(run);
        break;
    }
}

/**
 * FvRun_StopTasks - stop all tasks of the attempt that have not ended
 * @run: the job
 */
void
FvRun_StopTasks(fv_run_t *run)
{
    run->phase = Fv_RUN_STOPPING;
    for (int32_t i = 0; i < run->task_count; i++) {
        if (!FvRunTask_IsTerminal(&run->tasks[i])) {
            FvRun_ResolveTask(run, i);
        }
    }
}

typedef struct fv_task_counts {
    int32_t done;
    int32_t failed;
    int32_t stopped;
    int32_t never_started;
    int32_t unfinished;
    int32_t first_failed;
} fv_task_counts_t;

static void
count_tasks(const fv_run_t *run, fv_task_counts_t *counts)
{
    *counts = (fv_task_counts_t){.first_failed = -1};
    for (int32_t i = 0; i < run->task_count; i++) {
        switch (run->tasks[i].state) {
        case Fv_TASK_DONE:
            counts->done++;
            break;
        case Fv_TASK_FAILED:
            if (counts->first_failed < 0) {
                counts->first_failed = i;
            }
            counts->failed++;
            break;
        case Fv_TASK_STOPPED:
            counts->stopped++;
            break;
        case Fv_TASK_NEVER_STARTED:
            counts->never_started++;
            break;
        default:
            counts->unfinished++;
            break;
        }
    }
}

/* Joins the answers in task order. Returns false when memory is exhausted. */
static bool
join_answers(fv_run_t *run)
{
    fv_buffer_t joined = {0};

    for (int32_t i = 0; i < run->task_count; i++) {
        const fv_run_task_t *task = &run->tasks[i];

        if (!FvBuffer_Append(&joined, task->answer, task->answer_length)) {
            FvBuffer_Clear(&joined);
            return false;
        }
    }
    run->job->answer = joined.data;
    run->job->answer_length = joined.length;
    return true;
}

static void
record_estimates(const fv_run_t *run)
{
    const fv_job_t *job = run->job;

    for (int32_t i = 0; i < run->task_count; i++) {
        const fv_run_task_t *task = &run->tasks[i];

        if (task->state == Fv_TASK_DONE) {
            FvEstimates_Observe(run->runner->daemon->estimates, job->member,
                                job->workload.name, task->ran_ms, &task->used);
        }
    }
}

static void
end_done(fv_run_t *run)
{
    record_estimates(run);
    if (!join_answers(run)) {
        FvRun_End(run, Fv_OUTCOME_FAILED, "no memory for the answer");
        return;
    }
    FvRun_End(run, Fv_OUTCOME_DONE, "%s", "");
}

static void
end_failed(fv_run_t *run, const fv_task_counts_t *counts)
{
    fv_run_task_t *task = &run->tasks[counts->first_failed];

    run->job->answer = task->answer;
    run->job->answer_length = task->answer_length;
    task->answer = NULL;
    FvRun_End(run, Fv_OUTCOME_FAILED, "task %d failed on worker %s",
              counts->first_failed, task->worker);
}

static bool
may_retry_failure(fv_run_t *run)
{
    const fv_job_t *job = run->job;

    return job->workload.idempotent && !job->cancel_requested &&
           job->attempts <= job->workload.retry_limit &&
           FvRetryBudget_TryWithdraw(&run->runner->retry_budget,
                                     FvClock_NowMs());
}

/* All tasks are terminal: ends the job or begins another attempt. */
static void
finish_attempt(fv_run_t *run, const fv_task_counts_t *counts)
{
    const fv_job_t *job = run->job;
    bool none_started = counts->never_started == run->task_count;

    run->may_have_started |= !none_started;
    if (counts->done == run->task_count) {
        end_done(run);
    }
    else if (job->cancel_requested) {
        FvRun_End(run, Fv_OUTCOME_CANCELLED, "%s",
                  none_started ? "cancelled before it started"
                               : "stopped while it ran");
    }
    else if (counts->failed > 0 && !may_retry_failure(run)) {
        end_failed(run, counts);
    }
    else if (none_started || job->workload.idempotent) {
        run->phase = Fv_RUN_BACKOFF;
        if (!FvRun_EndIfCancelledOrExpired(run)) {
            FvRun_BackOff(run);
        }
    }
    else {
        FvRun_End(run, Fv_OUTCOME_FAILED, "stopped after it had started");
    }
}

/**
 * FvRun_Reconcile - update a job from the states of its tasks
 * @run: the job
 *
 * The remaining tasks of a gang are stopped once one of them has failed, has
 * been stopped or never started.
 */
void
FvRun_Reconcile(fv_run_t *run)
{
    fv_task_counts_t counts;

    if (run->tasks_pending > 0 || run->job->state == Fv_JOB_ENDED) {
        return;
    }
    count_tasks(run, &counts);
    if (counts.unfinished == 0) {
        finish_attempt(run, &counts);
        return;
    }
    if (run->phase != Fv_RUN_STOPPING &&
        (run->job->cancel_requested ||
         counts.failed + counts.stopped + counts.never_started > 0)) {
        FvRun_StopTasks(run);
    }
}
