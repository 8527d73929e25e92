/*
 * HTTP handlers that submit and cancel jobs and return their status and
 * answer, and handlers for status and cancel requests from other entry hosts.
 */

#include "runner.h"

#include <stdlib.h>
#include <string.h>
#include <urcu.h>

#define Fv_JOBS_WAIT_MAX_MS 60000
#define Fv_JOBS_DEADLINE_MAX_MS (INT64_C(30) * 24 * 3600 * 1000)
/* Limits the memory used by the payloads of unfinished jobs. */
#define Fv_JOBS_PAYLOADS_MAX_BYTES (32 * 1024 * 1024)
#define Fv_JOBS_RETRY_AFTER_MS 500

/* A validated submission. */
typedef struct fv_submission {
    fv_workload_t workload;
    char key[Fv_KEY_SIZE];
    char digest[Fv_HASH256_HEX_SIZE];
    fv_buffer_t payload;
    int64_t deadline_ms; /* relative; 0: none */
    int64_t wait_ms;
} fv_submission_t;

static bool
reject(fv_ticket_t *ticket, int32_t status, const char *outcome,
       const char *detail)
{
    FvTicket_ReplyProblem(
        ticket, status, outcome,
        status == 429 || status == 503 ? Fv_JOBS_RETRY_AFTER_MS : 0, "%s",
        detail);
    return false;
}

static bool
find_workload(fv_ticket_t *ticket, fv_submission_t *submission)
{
    const char *name = FvJson_String(ticket->body, "workload");
    const fv_workload_t *workload = NULL;
    const fv_contract_t *contract;

    if (name == NULL) {
        return reject(ticket, 400, NULL, "workload: a string is required");
    }
    rcu_read_lock();
    contract = FvConfig_FindContract(FvConfig_GetActive(), ticket->member);
    if (contract != NULL) {
        workload = FvContract_FindWorkload(contract, name);
    }
    if (workload != NULL) {
        submission->workload = *workload;
    }
    rcu_read_unlock();
    if (contract == NULL) {
        return reject(ticket, 403, NULL,
                      "this member has no contract in the configuration");
    }
    if (workload == NULL) {
        return reject(ticket, 404, NULL,
                      "workload: not in the member's contract");
    }
    return true;
}

static bool
read_payload(fv_ticket_t *ticket, fv_submission_t *submission)
{
    const json_t *text = json_object_get(ticket->body, "payload");
    const char *base64 = FvJson_String(ticket->body, "payload_base64");
    bool complete;

    if (text != NULL && !json_is_string(text)) {
        return reject(ticket, 400, NULL, "payload: must be a string");
    }
    if (base64 != NULL) {
        if (!FvText_DecodeBase64(base64, &submission->payload)) {
            return reject(ticket, 400, NULL,
                          "payload_base64: not valid base64");
        }
    }
    else {
        complete =
            FvBuffer_Append(&submission->payload, json_string_value(text),
                            json_string_length(text));
        if (!complete) {
            return reject(ticket, 503, NULL, "no memory");
        }
    }
    if (submission->payload.length > Fv_PAYLOAD_MAX_BYTES) {
        return reject(ticket, 413, NULL,
                      "payload: at most 262144 bytes are allowed");
    }
    return true;
}

static bool
read_bounded_int(fv_ticket_t *ticket, const char *name, int64_t max,
                 int64_t *value)
{
    const json_t *value_json = json_object_get(ticket->body, name);

    *value = 0;
    if (value_json == NULL) {
        return true;
    }
    *value = json_integer_value(value_json);
    if (!json_is_integer(value_json) || *value < 0 || *value > max) {
        FvTicket_ReplyProblem(ticket, 400, NULL, 0,
                              "%s: an integer from 0 to %lld is required",
                              name, (long long)max);
        return false;
    }
    return true;
}

static bool
read_limits(fv_ticket_t *ticket, fv_submission_t *submission)
{
    int64_t tasks;

    if (!read_bounded_int(ticket, "deadline_ms", Fv_JOBS_DEADLINE_MAX_MS,
                          &submission->deadline_ms) ||
        !read_bounded_int(ticket, "wait_ms", Fv_JOBS_WAIT_MAX_MS,
                          &submission->wait_ms) ||
        !read_bounded_int(ticket, "tasks", Fv_TASKS_MAX, &tasks)) {
        return false;
    }
    if (tasks > 1 && submission->workload.class_id != Fv_CLASS_GANG) {
        return reject(ticket, 400, NULL,
                      "tasks: only a gang has more than one task");
    }
    if (tasks > 0) {
        submission->workload.tasks = (int32_t)tasks;
    }
    return true;
}

static bool
read_idempotency_key(fv_ticket_t *ticket, fv_submission_t *submission)
{
    if (ticket->idempotency_key[0] != '\0') {
        FvText_Copy(submission->key, sizeof(submission->key),
                    ticket->idempotency_key);
        return true;
    }
    if (FvWorkload_NeedsClaim(&submission->workload)) {
        return reject(ticket, 400, NULL,
                      "the header Idempotency-Key is required for this "
                      "workload");
    }
    FvText_RandomHex(submission->key, Fv_NONCE_SIZE);
    return true;
}

/* Distinguishes a repeated request from another one with the same key. */
static bool
compute_digest(fv_submission_t *submission)
{
    fv_buffer_t text = {0};
    char header[Fv_NAME_SIZE + 32];
    int length =
        snprintf(header, sizeof(header), "%s\n%d\n", submission->workload.name,
                 submission->workload.tasks);
    bool complete = FvBuffer_Append(&text, header, (size_t)length) &&
                    FvBuffer_Append(&text, submission->payload.data,
                                    submission->payload.length);

    if (complete) {
        FvText_Sha256Hex(text.data, text.length, submission->digest);
    }
    FvBuffer_Clear(&text);
    return complete;
}

static bool
exceeds(int64_t amount, int32_t tasks, int64_t quota)
{
    return quota > 0 && amount > quota / tasks;
}

/* A quota of 0 means that the resource is not limited. */
static bool
exceeds_quota(const fv_ticket_t *ticket, const fv_workload_t *workload)
{
    const fv_resources_t *size = &workload->size;
    const fv_contract_t *contract;
    bool too_large = false;

    rcu_read_lock();
    contract = FvConfig_FindContract(FvConfig_GetActive(), ticket->member);
    if (contract != NULL) {
        const fv_resources_t *quota = &contract->quota;

        too_large =
            exceeds(size->cpu_millis, workload->tasks, quota->cpu_millis) ||
            exceeds(size->memory_bytes, workload->tasks,
                    quota->memory_bytes) ||
            exceeds(size->accelerators, workload->tasks,
                    quota->accelerators) ||
            exceeds(size->slots, workload->tasks, quota->slots);
    }
    rcu_read_unlock();
    return too_large;
}

static bool
check_limits(fv_runner_t *runner, fv_ticket_t *ticket,
             const fv_submission_t *submission)
{
    const fv_daemon_t *daemon = runner->daemon;

    if (atomic_load(&daemon->draining)) {
        return reject(ticket, 503, "not_run", "this host is draining");
    }
    if (runner->unfinished_count >= (uint32_t)daemon->settings.queue_limit ||
        runner->payload_bytes + submission->payload.length >
            Fv_JOBS_PAYLOADS_MAX_BYTES) {
        return reject(ticket, 429, "not_run", "too many jobs wait here");
    }
    if (exceeds_quota(ticket, &submission->workload)) {
        return reject(ticket, 422, "not_run",
                      "the tasks together exceed the member's quota");
    }
    if (!FvCell_CanEverFit(daemon, &submission->workload)) {
        return reject(ticket, 422, "not_run",
                      "no worker of the cell is large enough for a task of "
                      "this workload");
    }
    return true;
}

static fv_job_t *
create_job(const fv_ticket_t *ticket, fv_submission_t *submission)
{
    fv_job_t *job =
        FvJob_New(ticket->member, submission->key, &submission->workload);
    int64_t window_ms = submission->deadline_ms > 0
                            ? submission->deadline_ms
                            : Fv_DEFAULT_START_WINDOW_MS;

    if (job == NULL) {
        return NULL;
    }
    FvText_Copy(job->body_digest, sizeof(job->body_digest),
                submission->digest);
    job->payload = submission->payload.data;
    job->payload_length = submission->payload.length;
    submission->payload = (fv_buffer_t){0};
    job->submitted_ms = FvClock_WallMs();
    job->submitted_ns = FvClock_NowNs();
    job->start_before_ms = job->submitted_ms + window_ms;
    if (submission->deadline_ms > 0) {
        job->deadline_ms = job->start_before_ms;
    }
    return job;
}

static void
accept_job(fv_runner_t *runner, fv_ticket_t *ticket,
           fv_submission_t *submission)
{
    fv_job_t *job = create_job(ticket, submission);
    fv_run_t *run;

    if (job == NULL) {
        reject(ticket, 503, NULL, "no memory");
        return;
    }
    if (!FvQueue_CanAccept(runner->queues[job->workload.class_id], job)) {
        FvMetrics_Add(Fv_COUNTER_JOBS_REFUSED, 1);
        FvJob_Free(job);
        reject(ticket, 429, "not_run", "the queue of this workload is full");
        return;
    }
    run = FvRunner_Add(runner, job);
    FvRetryBudget_Deposit(&runner->retry_budget);
    if (FvWorkload_NeedsClaim(&job->workload)) {
        FvMetrics_Add(Fv_COUNTER_JOBS_ACCEPTED, 1);
        FvRun_AddWaiter(
            run, FvJobWaiter_New(ticket, NULL, submission->wait_ms, true));
        FvRun_Admit(run);
        return;
    }
    if (!FvRun_Enqueue(run)) {
        FvMetrics_Add(Fv_COUNTER_JOBS_REFUSED, 1);
        FvRunner_Remove(run);
        reject(ticket, 429, "not_run", "the queue of this class is full");
        return;
    }
    FvMetrics_Add(Fv_COUNTER_JOBS_ACCEPTED, 1);
    FvRun_AddWaiter(run,
                    FvJobWaiter_New(ticket, NULL, submission->wait_ms, true));
}

static void
attach_to_job(fv_run_t *run, fv_ticket_t *ticket,
              const fv_submission_t *submission)
{
    if (strcmp(run->job->body_digest, submission->digest) != 0) {
        reject(ticket, 409, NULL, "this key was used with another request");
        return;
    }
    FvRun_AddWaiter(run,
                    FvJobWaiter_New(ticket, NULL, submission->wait_ms, true));
}

/**
 * FvApiJobs_Submit - POST /v1/jobs
 * @daemon: the daemon
 * @ticket: the request
 */
void
FvApiJobs_Submit(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    fv_runner_t *runner = daemon->runner;
    fv_submission_t submission = {0};
    fv_run_t *run;

    if (!find_workload(ticket, &submission) ||
        !read_payload(ticket, &submission) ||
        !read_limits(ticket, &submission) ||
        !read_idempotency_key(ticket, &submission)) {
        FvMetrics_Add(Fv_COUNTER_HTTP_BAD_REQUESTS, 1);
        goto done;
    }
    if (!compute_digest(&submission)) {
        reject(ticket, 503, NULL, "no memory");
        goto done;
    }
    run = FvRunner_Find(runner, ticket->member, submission.key);
    if (run != NULL) {
        attach_to_job(run, ticket, &submission);
        goto done;
    }
    if (!check_limits(runner, ticket, &submission)) {
        FvMetrics_Add(Fv_COUNTER_JOBS_REFUSED, 1);
        goto done;
    }
    accept_job(runner, ticket, &submission);
done:
    FvBuffer_Clear(&submission.payload);
}

static int64_t
clamp_wait_ms(int64_t wait_ms)
{
    if (wait_ms < 0) {
        return 0;
    }
    return wait_ms > Fv_JOBS_WAIT_MAX_MS ? Fv_JOBS_WAIT_MAX_MS : wait_ms;
}

static void
wait_for_job(fv_daemon_t *daemon, fv_ticket_t *ticket, int64_t wait_ms,
             bool is_submission)
{
    const char *key = ticket->params[0];
    fv_run_t *run = FvRunner_Find(daemon->runner, ticket->member, key);
    fv_job_waiter_t *waiter =
        FvJobWaiter_New(ticket, NULL, wait_ms, is_submission);

    if (run != NULL) {
        FvRun_AddWaiter(run, waiter);
    }
    else {
        FvRemoteJob_Wait(daemon->runner, ticket->member, key, waiter);
    }
}

/**
 * FvApiJobs_Status - GET /v1/jobs/KEY
 * @daemon: the daemon
 * @ticket: the request
 */
void
FvApiJobs_Status(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    wait_for_job(daemon, ticket, clamp_wait_ms(ticket->wait_ms), false);
}

/**
 * FvApiJobs_Answer - GET /v1/jobs/KEY/answer
 * @daemon: the daemon
 * @ticket: the request
 */
void
FvApiJobs_Answer(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    ticket->raw_answer = true;
    wait_for_job(daemon, ticket, clamp_wait_ms(ticket->wait_ms), true);
}

/**
 * FvApiJobs_Cancel - POST /v1/jobs/KEY/cancel
 * @daemon: the daemon
 * @ticket: the request
 */
void
FvApiJobs_Cancel(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    const char *key = ticket->params[0];
    fv_run_t *run = FvRunner_Find(daemon->runner, ticket->member, key);
    fv_job_waiter_t *waiter =
        FvJobWaiter_New(ticket, NULL, clamp_wait_ms(ticket->wait_ms), true);

    if (run != NULL) {
        uint64_t serial = run->serial;

        FvRun_Cancel(run);
        /* FvRun_Cancel() removes a run that has lost its claim. */
        run = FvRunner_Find(daemon->runner, ticket->member, key);
        if (run != NULL && run->serial == serial) {
            FvRun_AddWaiter(run, waiter);
            return;
        }
    }
    waiter->cancel = true;
    FvRemoteJob_Wait(daemon->runner, ticket->member, key, waiter);
}

static void
reply_job_absent(fv_runner_t *runner, const fv_message_t *request,
                 const fv_reply_to_t *to)
{
    fv_message_t message = {.type = Fv_MESSAGE_JOB_REPLY};

    message.body.document.text = strdup("{\"state\": \"absent\"}");
    FvText_Copy(message.body.document.member, Fv_NAME_SIZE,
                request->body.document.member);
    FvText_Copy(message.body.document.key, Fv_KEY_SIZE,
                request->body.document.key);
    FvPeers_Reply(runner->daemon->peers, to, &message);
}

/**
 * FvRunner_OnJobStatus - handle another host's status request for a job
 * @runner: the runner
 * @request: the request
 * @to: where the reply goes
 */
void
FvRunner_OnJobStatus(fv_runner_t *runner, const fv_message_t *request,
                     const fv_reply_to_t *to)
{
    fv_run_t *run = FvRunner_Find(runner, request->body.document.member,
                                  request->body.document.key);
    json_t *query = json_loads(request->body.document.text, 0, NULL);
    int64_t wait_ms = clamp_wait_ms(FvJson_Int(query, "wait_ms", 0));

    json_decref(query);
    if (run == NULL) {
        reply_job_absent(runner, request, to);
        return;
    }
    FvRun_AddWaiter(run, FvJobWaiter_New(NULL, to, wait_ms, false));
}

/**
 * FvRunner_OnJobCancel - handle another host's cancel request for a job
 * @runner: the runner
 * @request: the request
 * @to: where the reply goes
 */
void
FvRunner_OnJobCancel(fv_runner_t *runner, const fv_message_t *request,
                     const fv_reply_to_t *to)
{
    fv_run_t *run = FvRunner_Find(runner, request->body.document.member,
                                  request->body.document.key);

    if (run != NULL) {
        FvRun_Cancel(run);
    }
    FvRunner_OnJobStatus(runner, request, to);
}
