/*
 * Dispatch of queued jobs: choice of the host, reservation, claim of the
 * attempt, start of the tasks.
 */

#include "runner.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* Limits of one dispatch pass, so that other events are not delayed. */
#define Fv_DISPATCH_STARTS_MAX 128
#define Fv_DISPATCH_SKIPS_MAX 32
#define Fv_DISPATCH_HOSTS_MAX 8
/* Less than the 50 ms after which interactive jobs may use another region. */
#define Fv_DISPATCH_POLL_MS 20
#define Fv_START_HOSTS_MAX 4
#define Fv_RESERVE_TIMEOUT_MS 1000
/* How long a start request waits for the end of the task: the reply to a
 * lookup's start carries its answer, that of other tasks only if they are
 * short. */
#define Fv_START_WAIT_INTERACTIVE_MS 10000
#define Fv_START_WAIT_OTHER_MS 500
#define Fv_START_TIMEOUT_MARGIN_MS 4000

/**
 * FvRun_TaskId - build the id of a task of the current attempt
 * @run: the job
 * @index: which task
 * @id: receives the id
 * @size: its size
 */
void
FvRun_TaskId(const fv_run_t *run, int32_t index, char *id, size_t size)
{
    snprintf(id, size, "%s:%s:%d:%d", run->job->member, run->job->key,
             run->job->attempts, index);
}

static void
fill_request(const fv_run_t *run, fv_task_request_t *request)
{
    const fv_daemon_t *daemon = run->runner->daemon;
    const fv_workload_t *workload = &run->job->workload;

    FvText_Copy(request->home_host, Fv_NAME_SIZE, daemon->settings.host);
    FvText_Copy(request->member, Fv_NAME_SIZE, run->job->member);
    FvText_Copy(request->workload, Fv_NAME_SIZE, workload->name);
    request->class_id = workload->class_id;
    request->stop_on_expiry = workload->exclusive && workload->idempotent;
    request->send_once = !workload->idempotent;
    FvEstimates_TaskSize(daemon->estimates, run->job->member, workload,
                         &request->size);
}

static void
release_reservation(const fv_run_t *run, int32_t index)
{
    const fv_run_task_t *task = &run->tasks[index];
    fv_message_t message = {.type = Fv_MESSAGE_RELEASE};
    fv_task_request_t *request = &message.body.task_request;

    FvRun_TaskId(run, index, request->id, sizeof(request->id));
    FvText_Copy(request->worker, Fv_NAME_SIZE, task->worker);
    FvText_Copy(request->member, Fv_NAME_SIZE, run->job->member);
    FvPeers_Notify(run->runner->daemon->peers, task->host, &message);
}

/**
 * FvRun_ReleaseReservations - release the reserved capacity of a job
 * @run: the job; no task of the attempt has been started
 */
void
FvRun_ReleaseReservations(fv_run_t *run)
{
    for (int32_t i = 0; i < run->task_count; i++) {
        if (run->tasks[i].reserved) {
            release_reservation(run, i);
            run->tasks[i].reserved = false;
        }
    }
}

static bool
was_refused_by(const fv_run_t *run, const char *host)
{
    for (int i = 0; i < Fv_START_HOSTS_MAX; i++) {
        if (strcmp(run->refused_by[i], host) == 0) {
            return true;
        }
    }
    return false;
}

/* For its own workers, a host knows the exact free capacity and needs no
 * digest. */
static bool
fits_locally(const fv_run_t *run)
{
    fv_daemon_t *daemon = run->runner->daemon;
    fv_task_request_t request = {0};

    fill_request(run, &request);
    return FvPlacement_Choose(daemon->holder->placement,
                              FvPolicy_ForClass(run->job->workload.class_id),
                              &request.size, NULL, FvClock_NowMs()) != NULL;
}

static const fv_host_t *
choose_host(const fv_run_t *run)
{
    fv_daemon_t *daemon = run->runner->daemon;
    const fv_host_t *ranked[Fv_DISPATCH_HOSTS_MAX];
    int64_t waited_ms =
        (FvClock_NowNs() - run->job->submitted_ns) / Fv_NS_PER_MS;
    uint32_t count = FvHostRanking_Build(
        &daemon->hosts, daemon->self, &run->job->workload, waited_ms,
        FvClock_NowMs(), randombytes_random(), ranked, Fv_DISPATCH_HOSTS_MAX);

    for (uint32_t i = 0; i < count; i++) {
        if (was_refused_by(run, ranked[i]->name)) {
            continue;
        }
        if (ranked[i] != daemon->self || fits_locally(run)) {
            return ranked[i];
        }
    }
    return NULL;
}

static void try_next_host(fv_run_t *run);

static void
record_refusal(fv_run_t *run, const char *host)
{
    FvText_Copy(run->refused_by[run->hosts_tried % Fv_START_HOSTS_MAX],
                Fv_NAME_SIZE, host);
    run->hosts_tried++;
}

static void
receive_unclaimed_start(void *context, fv_link_error_t error,
                        fv_message_t *message)
{
    fv_run_ref_t *ref = context;
    fv_run_t *run = FvRunRef_Find(ref);
    fv_task_reply_t *reply = &message->body.task_reply;
    fv_task_reply_t no_reply = {.refusal = Fv_REFUSAL_UNCONFIRMED};

    free(ref);
    if (run == NULL || run->phase != Fv_RUN_STARTING) {
        return;
    }
    if (error == Fv_LINK_NOT_SENT) {
        no_reply.refusal = Fv_REFUSAL_EXPIRED;
    }
    if (error != Fv_LINK_OK || message->type != Fv_MESSAGE_TASK_REPLY) {
        reply = &no_reply;
    }
    if (reply->refusal != Fv_REFUSAL_NONE &&
        reply->refusal != Fv_REFUSAL_UNCONFIRMED) {
        record_refusal(run, run->tasks[0].host);
        try_next_host(run);
        return;
    }
    FvText_Copy(run->tasks[0].worker, Fv_NAME_SIZE, reply->worker);
    FvRun_ApplyTaskReply(run, 0, reply);
}

/* A workload without a claim needs no reservation: one message places and
 * starts the task. */
static void
start_unclaimed(fv_run_t *run, const fv_host_t *host)
{
    fv_message_t message = {.type = Fv_MESSAGE_START};
    fv_task_request_t *request = &message.body.task_request;

    run->phase = Fv_RUN_STARTING;
    run->job->attempts++;
    run->tasks_pending = 1;
    run->tasks[0].state = Fv_TASK_STARTING;
    run->tasks[0].start_sent_ms = FvClock_NowMs();
    FvText_Copy(run->tasks[0].host, Fv_NAME_SIZE, host->name);
    fill_request(run, request);
    FvRun_TaskId(run, 0, request->id, sizeof(request->id));
    request->wait_ms = Fv_START_WAIT_INTERACTIVE_MS;
    request->payload = malloc(run->job->payload_length + 1);
    if (request->payload == NULL) {
        abort();
    }
    memcpy(request->payload, run->job->payload, run->job->payload_length);
    request->payload_length = run->job->payload_length;
    FvPeers_Call(run->runner->daemon->peers, host->name, &message,
                 request->wait_ms + Fv_START_TIMEOUT_MARGIN_MS,
                 receive_unclaimed_start, FvRunRef_New(run, 0));
}

static void
receive_start(void *context, fv_link_error_t error, fv_message_t *message)
{
    fv_run_ref_t *ref = context;
    fv_run_t *run = FvRunRef_Find(ref);
    fv_task_reply_t *reply = &message->body.task_reply;
    fv_task_reply_t no_reply = {.refusal = Fv_REFUSAL_UNCONFIRMED};
    int32_t index = ref->index;
    bool current = run != NULL && run->job->attempts == ref->attempt &&
                   index < run->task_count;

    free(ref);
    if (!current) {
        return;
    }
    if (error == Fv_LINK_NOT_SENT) {
        no_reply.refusal = Fv_REFUSAL_EXPIRED;
    }
    if (error != Fv_LINK_OK || message->type != Fv_MESSAGE_TASK_REPLY) {
        reply = &no_reply;
    }
    FvRun_ApplyTaskReply(run, index, reply);
}

static void
start_reserved_task(fv_run_t *run, int32_t index)
{
    fv_run_task_t *task = &run->tasks[index];
    fv_message_t message = {.type = Fv_MESSAGE_START};
    fv_task_request_t *request = &message.body.task_request;

    task->reserved = false;
    task->state = Fv_TASK_STARTING;
    task->start_sent_ms = FvClock_NowMs();
    fill_request(run, request);
    FvRun_TaskId(run, index, request->id, sizeof(request->id));
    FvText_Copy(request->worker, Fv_NAME_SIZE, task->worker);
    request->reserved = true;
    request->wait_ms = Fv_START_WAIT_OTHER_MS;
    request->payload = malloc(run->job->payload_length + 1);
    if (request->payload == NULL) {
        abort();
    }
    if (run->job->payload_length > 0) {
        memcpy(request->payload, run->job->payload, run->job->payload_length);
    }
    request->payload_length = run->job->payload_length;
    FvPeers_Call(run->runner->daemon->peers, task->host, &message,
                 request->wait_ms + Fv_START_TIMEOUT_MARGIN_MS, receive_start,
                 FvRunRef_New(run, index));
}

static void
start_all_tasks(fv_run_t *run)
{
    run->phase = Fv_RUN_STARTING;
    run->tasks_pending = run->task_count;
    for (int32_t i = 0; i < run->task_count; i++) {
        start_reserved_task(run, i);
    }
}

static void
finish_attempt_claim(fv_run_t *run, fv_claim_result_t result,
                     const json_t *record, int64_t revision)
{
    (void)revision;
    switch (result) {
    case Fv_CLAIM_WRITTEN:
        run->phase = Fv_RUN_BACKOFF;
        if (FvRun_EndIfCancelledOrExpired(run)) {
            return;
        }
        start_all_tasks(run);
        return;
    case Fv_CLAIM_LOST:
        FvRun_ReleaseReservations(run);
        FvRun_OnClaimLost(run, record);
        return;
    case Fv_CLAIM_UNAVAILABLE:
        FvRun_ReleaseReservations(run);
        run->job->attempts--;
        run->job->state = Fv_JOB_QUEUED;
        if (!FvRun_EndIfCancelledOrExpired(run)) {
            FvRun_BackOff(run);
        }
        return;
    }
}

/* All tasks are reserved: writes the attempt before any task is started. */
static void
claim_attempt(fv_run_t *run)
{
    run->phase = Fv_RUN_CLAIMING;
    run->job->state = Fv_JOB_RUNNING;
    run->claim.started_ms = FvClock_WallMs();
    FvRun_WriteClaim(run, finish_attempt_claim);
}

static int32_t
count_reserved(const fv_run_t *run)
{
    int32_t count = 0;

    while (count < run->task_count && run->tasks[count].reserved) {
        count++;
    }
    return count;
}

static void
record_reserved(fv_run_t *run, const char *host,
                const fv_reserve_reply_t *reserved)
{
    int32_t first = count_reserved(run);

    for (uint32_t i = 0;
         i < reserved->count && first + (int32_t)i < run->task_count; i++) {
        fv_run_task_t *task = &run->tasks[first + (int32_t)i];

        task->reserved = true;
        FvText_Copy(task->worker, Fv_NAME_SIZE, reserved->workers[i]);
        FvText_Copy(task->host, Fv_NAME_SIZE, host);
    }
}

/* Context of a reserve request, with the host that it was sent to; the run may
 * have been reset when the reply arrives. */
typedef struct fv_reserve_call {
    fv_run_ref_t *ref;
    char host[Fv_NAME_SIZE];
} fv_reserve_call_t;

static void
receive_reserved(void *context, fv_link_error_t error, fv_message_t *message)
{
    fv_reserve_call_t *call = context;
    fv_run_t *run = FvRunRef_Find(call->ref);
    const fv_reserve_reply_t *reserved = message->body.reserved;
    bool granted = error == Fv_LINK_OK &&
                   message->type == Fv_MESSAGE_RESERVE_REPLY &&
                   reserved->refusal == Fv_REFUSAL_NONE;
    bool current = run != NULL && run->phase == Fv_RUN_RESERVING &&
                   run->job->attempts == call->ref->attempt;

    /* Reservations granted to an earlier attempt are left to expire. */
    if (current && granted) {
        record_reserved(run, call->host, reserved);
    }
    if (current && run->job->cancel_requested) {
        FvRun_ReleaseReservations(run);
        run->job->attempts--;
        FvRun_EndIfCancelledOrExpired(run);
    }
    else if (current && count_reserved(run) == run->task_count) {
        claim_attempt(run);
    }
    else if (current) {
        record_refusal(run, call->host);
        try_next_host(run);
    }
    free(call->ref);
    free(call);
}

static void
reserve_remaining(fv_run_t *run, const fv_host_t *host)
{
    fv_message_t message = {.type = Fv_MESSAGE_RESERVE};
    fv_task_request_t *request = &message.body.task_request;
    fv_reserve_call_t *call = calloc(1, sizeof(*call));

    if (call == NULL) {
        abort();
    }
    if (run->phase != Fv_RUN_RESERVING) {
        run->phase = Fv_RUN_RESERVING;
        run->job->attempts++;
    }
    fill_request(run, request);
    snprintf(request->id, sizeof(request->id), "%s:%s:%d", run->job->member,
             run->job->key, run->job->attempts);
    request->first = count_reserved(run);
    request->count = run->task_count - request->first;
    FvText_Copy(call->host, sizeof(call->host), host->name);
    call->ref = FvRunRef_New(run, 0);
    FvPeers_Call(run->runner->daemon->peers, host->name, &message,
                 Fv_RESERVE_TIMEOUT_MS, receive_reserved, call);
}

static void
place_on_host(fv_run_t *run, const fv_host_t *host)
{
    if (FvWorkload_NeedsClaim(&run->job->workload)) {
        reserve_remaining(run, host);
    }
    else {
        start_unclaimed(run, host);
    }
}

/* After a refusal, tries another host or backs off. */
static void
try_next_host(fv_run_t *run)
{
    const fv_host_t *host =
        run->hosts_tried < Fv_START_HOSTS_MAX ? choose_host(run) : NULL;

    if (host != NULL && !run->job->cancel_requested) {
        place_on_host(run, host);
        return;
    }
    FvRun_ReleaseReservations(run);
    if (run->phase == Fv_RUN_RESERVING) {
        run->job->attempts--;
    }
    run->phase = Fv_RUN_BACKOFF;
    if (!FvRun_EndIfCancelledOrExpired(run)) {
        FvRun_BackOff(run);
    }
}

static void
dequeue_and_place(fv_run_t *run, const fv_host_t *host)
{
    FvQueue_Remove(run->runner->queues[run->job->workload.class_id], run->job);
    FvRun_ResetTasks(run);
    place_on_host(run, host);
}

/* No host has free capacity: preempts lower-class tasks on this host's
 * workers if the job's class may do so. */
static void
request_preemption(const fv_run_t *run)
{
    fv_task_request_t request = {0};

    fill_request(run, &request);
    FvText_Copy(request.id, sizeof(request.id), run->name);
    FvPreemption_FreeCapacityFor(run->runner->daemon->holder, &request);
}

/* Returns the number of jobs started. */
static int32_t
dispatch_class(fv_runner_t *runner, fv_class_t class_id)
{
    fv_queue_t *queue = runner->queues[class_id];
    int32_t started = 0;
    int32_t skipped = 0;
    fv_job_t *job;

    if (FvQueue_Count(queue) == 0) {
        return 0;
    }
    FvQueue_BeginPass(queue, FvClock_WallMs());
    while (started < Fv_DISPATCH_STARTS_MAX &&
           skipped < Fv_DISPATCH_SKIPS_MAX &&
           (job = FvQueue_Peek(queue, runner->daemon->shares)) != NULL) {
        fv_run_t *run = job->run;
        const fv_host_t *host;

        if (FvRun_EndIfCancelledOrExpired(run)) {
            continue;
        }
        host = choose_host(run);
        if (host == NULL) {
            request_preemption(run);
            FvQueue_Skip(queue, job);
            skipped++;
            continue;
        }
        dequeue_and_place(run, host);
        started++;
    }
    return started;
}

/**
 * FvRunner_Dispatch - start queued jobs while capacity is free
 * @owner: the runner
 *
 * A queue that is blocked by a job that has waited too long also blocks the
 * classes after it, so that they don't take the capacity that it waits for.
 */
void
FvRunner_Dispatch(void *owner)
{
    fv_runner_t *runner = owner;
    bool more_pending = false;

    if (FvConfig_ActiveVersion() == 0) {
        return;
    }
    for (int i = 0; i < Fv_CLASS_COUNT; i++) {
        more_pending |=
            dispatch_class(runner, (fv_class_t)i) == Fv_DISPATCH_STARTS_MAX;
        if (FvQueue_BlockingJob(runner->queues[i]) != NULL) {
            break;
        }
    }
    if (more_pending) {
        FvRunner_ScheduleDispatch(runner);
    }
    else if (FvQueue_Count(runner->queues[Fv_CLASS_INTERACTIVE]) > 0) {
        /* An interactive job may use other regions once it has waited long
         * enough; no event marks that time, so the queue is polled. */
        FvLoop_SetTimer(runner->daemon->loop, &runner->dispatch_timer,
                        FvClock_NowMs() + Fv_DISPATCH_POLL_MS);
    }
}
