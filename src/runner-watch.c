/*
 * Tasks that run or may run: waiting for their ends, finding out what became
 * of doubtful ones, stopping them, and deciding the job's outcome from them.
 */

#include "runner.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define Fv_WATCH_WAIT_MS 20000
#define Fv_WATCH_TIMEOUT_MS 25000
#define Fv_RESOLVE_TIMEOUT_MS 6000
/* A host that does not hold the lease answers at once instead of waiting. */
#define Fv_WATCH_MIN_INTERVAL_MS 500
#define Fv_RESOLVE_FIRST_MS 100
#define Fv_RESOLVE_MAX_MS 1000
/* How long a non-idempotent task may be in doubt beyond the deadline. */
#define Fv_UNKNOWN_AFTER_MS 60000
/* Work that may run twice is started again this long after its worker was
 * last reached; short enough to matter, long enough to ride out a restart. */
#define Fv_RERUN_AFTER_MS 6000

/**
 * FvRunTask_IsFinal - whether a task will not change any more
 * @task: the task
 *
 * Return: true when it ended, or surely did not and will not start.
 */
bool
FvRunTask_IsFinal(const fv_run_task_t *task)
{
    return FvTaskState_IsTerminal(task->state);
}

/* The host that should hold the lease of a task's worker, else this one,
 * which can reach the worker by itself. */
static void
find_host(const fv_run_t *run, fv_run_task_t *task, bool direct)
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

static fv_run_t *
take_reply(fv_run_ref_t *ref, int32_t *index)
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
is_definite(fv_link_error_t error, const fv_message_t *message)
{
    return error == Fv_LINK_OK && message->type == Fv_MESSAGE_TASK &&
           message->body.task_reply.refusal == Fv_REFUSAL_NONE;
}

static void
fire_watch(void *owner)
{
    fv_run_ref_t *ref = owner;
    int32_t index;
    fv_run_t *run = take_reply(ref, &index);

    if (run != NULL && run->tasks[index].state == Fv_TASK_RUNNING) {
        FvRun_WatchTask(run, index);
    }
}

static void
fire_resolve(void *owner)
{
    fv_run_ref_t *ref = owner;
    int32_t index;
    fv_run_t *run = take_reply(ref, &index);

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
 * FvRun_ScheduleResolve - ask about a task again after a delay
 * @run: the job
 * @index: which task
 */
void
FvRun_ScheduleResolve(fv_run_t *run, int32_t index)
{
    fv_run_task_t *task = &run->tasks[index];
    int64_t delay_ms =
        Fv_RESOLVE_FIRST_MS
        << (task->resolve_attempts < 4 ? task->resolve_attempts : 4);

    if (delay_ms > Fv_RESOLVE_MAX_MS) {
        delay_ms = Fv_RESOLVE_MAX_MS;
    }
    delay_ms = delay_ms / 2 + randombytes_uniform((uint32_t)delay_ms);
    schedule_task(run, index, fire_resolve, delay_ms);
}

static void
begin_doubt(fv_run_task_t *task)
{
    if (task->in_doubt_since_ms == 0) {
        task->in_doubt_since_ms = FvClock_NowMs();
        task->resolve_attempts = 0;
    }
}

static void
receive_watch(void *context, fv_link_error_t error, fv_message_t *message)
{
    int32_t index;
    fv_run_t *run = take_reply(context, &index);
    fv_run_task_t *task;

    if (run == NULL || run->tasks[index].state != Fv_TASK_RUNNING) {
        return;
    }
    task = &run->tasks[index];
    if (!is_definite(error, message)) {
        begin_doubt(task);
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
 * FvRun_WatchTask - wait for the end of a task that runs
 * @run: the job
 * @index: which task
 */
void
FvRun_WatchTask(fv_run_t *run, int32_t index)
{
    find_host(run, &run->tasks[index], false);
    send_task_message(run, index, Fv_MESSAGE_QUERY, Fv_WATCH_WAIT_MS,
                      Fv_WATCH_TIMEOUT_MS, receive_watch);
}

/* True when a worker that says "never started" can be believed: it has run
 * since before the start was sent, so it has not forgotten. */
static bool
remembers(const fv_run_t *run, const fv_run_task_t *task,
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
give_up(fv_run_t *run, int32_t index)
{
    fv_run_task_t *task = &run->tasks[index];

    FvLog_Event(Fv_LOG_WARN, "task_unknown", "job=%s task=%d worker=%s",
                run->name, index, task->worker);
    FvRun_End(run, Fv_OUTCOME_UNKNOWN, "worker %s did not tell whether it ran",
              task->worker);
}

static bool
doubt_is_over(const fv_run_t *run, const fv_run_task_t *task)
{
    int64_t deadline_ms = run->job->deadline_ms;
    int64_t doubt_ms = FvClock_NowMs() - task->in_doubt_since_ms;

    if (deadline_ms != 0 && FvClock_WallMs() >= deadline_ms) {
        return true;
    }
    return doubt_ms >= Fv_UNKNOWN_AFTER_MS;
}

/* The worker can't be asked. What may be done depends on the work. */
static void
handle_unreachable(fv_run_t *run, int32_t index)
{
    fv_run_task_t *task = &run->tasks[index];
    const fv_workload_t *workload = &run->job->workload;

    task->resolve_attempts++;
    if (!workload->idempotent) {
        if (doubt_is_over(run, task)) {
            give_up(run, index);
            return;
        }
    }
    else if (workload->exclusive) {
        FvLeaseExpiry_Check(run, index);
    }
    else if (FvClock_NowMs() - task->in_doubt_since_ms >= Fv_RERUN_AFTER_MS) {
        task->state = Fv_TASK_STOPPED;
        FvRun_Reconcile(run);
        return;
    }
    FvRun_ScheduleResolve(run, index);
}

/* The run whose open task a definite reply is about; a reply that tells
 * nothing is dealt with here. */
static fv_run_t *
take_definite_reply(fv_run_ref_t *ref, fv_link_error_t error,
                    const fv_message_t *message, int32_t *index)
{
    fv_run_t *run = take_reply(ref, index);

    if (run == NULL || FvRunTask_IsFinal(&run->tasks[*index])) {
        return NULL;
    }
    if (!is_definite(error, message)) {
        handle_unreachable(run, *index);
        return NULL;
    }
    return run;
}

static void
receive_resolution(void *context, fv_link_error_t error, fv_message_t *message)
{
    int32_t index;
    fv_run_t *run = take_definite_reply(context, error, message, &index);

    if (run == NULL) {
        return;
    }
    FvRun_ApplyTaskReply(run, index, &message->body.task_reply);
}

/* A task that was not seen by its worker yet may still arrive there; only a
 * stop keeps it from starting. */
static void
receive_state(void *context, fv_link_error_t error, fv_message_t *message)
{
    int32_t index;
    fv_run_t *run = take_definite_reply(context, error, message, &index);

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
 * FvRun_ResolveTask - find out what became of a task
 * @run: the job
 * @index: which task
 *
 * Asks the lease holder and this host in turn, until one reaches the worker.
 * While the job is being stopped, the question is a stop.
 */
void
FvRun_ResolveTask(fv_run_t *run, int32_t index)
{
    fv_run_task_t *task = &run->tasks[index];
    bool stop = run->phase == Fv_RUN_STOPPING;

    if (FvRunTask_IsFinal(task)) {
        return;
    }
    begin_doubt(task);
    find_host(run, task, task->resolve_attempts % 2 == 1);
    send_task_message(run, index, stop ? Fv_MESSAGE_STOP : Fv_MESSAGE_QUERY, 0,
                      Fv_RESOLVE_TIMEOUT_MS,
                      stop ? receive_resolution : receive_state);
}

static void
keep_answer(fv_run_task_t *task, fv_task_reply_t *reply)
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

    if (!run->job->workload.idempotent && !remembers(run, task, reply)) {
        give_up(run, index);
        return;
    }
    task->state = Fv_TASK_NEVER_STARTED;
    FvRun_Reconcile(run);
}

/**
 * FvRun_ApplyTaskReply - take over what is known of a task
 * @run: the job
 * @index: which task
 * @reply: the reply to a start, a query or a stop; its answer may be taken
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
    if (reply->refusal == Fv_REFUSAL_IN_DOUBT) {
        task->state = Fv_TASK_UNKNOWN;
        if (!FvWorkload_NeedsClaim(&run->job->workload)) {
            /* A lookup is safe to ask again elsewhere. */
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
    task->in_doubt_since_ms = 0;
    switch (reply->state) {
    case Fv_TASK_DONE:
    case Fv_TASK_FAILED:
    case Fv_TASK_STOPPED:
        task->state = reply->state;
        keep_answer(task, reply);
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
        if (!FvRunTask_IsFinal(&run->tasks[i])) {
            FvRun_ResolveTask(run, i);
        }
    }
}

typedef struct fv_task_tally {
    int32_t done;
    int32_t failed;
    int32_t stopped;
    int32_t never;
    int32_t open;
    int32_t first_failed;
} fv_task_tally_t;

static void
tally_tasks(const fv_run_t *run, fv_task_tally_t *tally)
{
    *tally = (fv_task_tally_t){.first_failed = -1};
    for (int32_t i = 0; i < run->task_count; i++) {
        switch (run->tasks[i].state) {
        case Fv_TASK_DONE:
            tally->done++;
            break;
        case Fv_TASK_FAILED:
            if (tally->first_failed < 0) {
                tally->first_failed = i;
            }
            tally->failed++;
            break;
        case Fv_TASK_STOPPED:
            tally->stopped++;
            break;
        case Fv_TASK_NEVER_STARTED:
            tally->never++;
            break;
        default:
            tally->open++;
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
learn(const fv_run_t *run)
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
    learn(run);
    if (!join_answers(run)) {
        FvRun_End(run, Fv_OUTCOME_FAILED, "no memory for the answer");
        return;
    }
    FvRun_End(run, Fv_OUTCOME_DONE, "%s", "");
}

static void
end_failed(fv_run_t *run, const fv_task_tally_t *tally)
{
    fv_run_task_t *task = &run->tasks[tally->first_failed];

    run->job->answer = task->answer;
    run->job->answer_length = task->answer_length;
    task->answer = NULL;
    FvRun_End(run, Fv_OUTCOME_FAILED, "task %d failed on worker %s",
              tally->first_failed, task->worker);
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

/* All tasks are settled: the job's outcome, or another attempt. */
static void
conclude(fv_run_t *run, const fv_task_tally_t *tally)
{
    const fv_job_t *job = run->job;
    bool nothing_ran = tally->never == run->task_count;

    run->may_have_started |= !nothing_ran;
    if (tally->done == run->task_count) {
        end_done(run);
    }
    else if (job->cancel_requested) {
        FvRun_End(run, Fv_OUTCOME_CANCELLED, "%s",
                  nothing_ran ? "cancelled before it started"
                              : "stopped while it ran");
    }
    else if (tally->failed > 0 && !may_retry_failure(run)) {
        end_failed(run, tally);
    }
    else if (nothing_ran || job->workload.idempotent) {
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
 * FvRun_Reconcile - decide what follows from the tasks' states
 * @run: the job
 *
 * A gang whose tasks do not all run is stopped as a whole.
 */
void
FvRun_Reconcile(fv_run_t *run)
{
    fv_task_tally_t tally;

    if (run->tasks_pending > 0 || run->job->state == Fv_JOB_ENDED) {
        return;
    }
    tally_tasks(run, &tally);
    if (tally.open == 0) {
        conclude(run, &tally);
        return;
    }
    if (run->phase != Fv_RUN_STOPPING &&
        (run->job->cancel_requested ||
         tally.failed + tally.stopped + tally.never > 0)) {
        FvRun_StopTasks(run);
    }
}
