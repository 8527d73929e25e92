/*
 * Waits for jobs whose home is another host. Their state comes from that host,
 * or from their claim if the host can't be reached. Answers that neither of
 * the two contains are fetched from the workers.
 */

#include "runner.h"

#include <stdlib.h>
#include <string.h>

#define Fv_REMOTE_RETRY_MS 300
#define Fv_REMOTE_TIMEOUT_MARGIN_MS 2000
/* Longer waits are split into several requests, so that a failure of the home
 * host is noticed. */
#define Fv_REMOTE_WAIT_MAX_MS 5000
#define Fv_REMOTE_QUERY_TIMEOUT_MS 12000

/* A waiter for a job whose home is another host. */
typedef struct fv_remote_wait {
    fv_runner_t *runner;
    char member[Fv_NAME_SIZE];
    char key[Fv_KEY_SIZE];
    fv_job_waiter_t *waiter;
    json_t *document; /* last known state */
    fv_timer_t timer;
    struct fv_remote_wait *next;
    struct fv_remote_wait *previous;
} fv_remote_wait_t;

static void read_claim(void *owner);

static void
free_remote_wait(fv_remote_wait_t *remote)
{
    if (remote->previous != NULL) {
        remote->previous->next = remote->next;
    }
    else {
        remote->runner->remote_waits = remote->next;
    }
    if (remote->next != NULL) {
        remote->next->previous = remote->previous;
    }
    FvLoop_CancelTimer(remote->runner->daemon->loop, &remote->timer);
    json_decref(remote->document);
    free(remote->waiter);
    free(remote);
}

static void
reply_peer_document(const fv_remote_wait_t *remote, json_t *document)
{
    fv_message_t message = {.type = Fv_MESSAGE_JOB_REPLY};

    message.body.document.text = json_dumps(document, JSON_COMPACT);
    FvText_Copy(message.body.document.member, Fv_NAME_SIZE, remote->member);
    FvText_Copy(message.body.document.key, Fv_KEY_SIZE, remote->key);
    json_decref(document);
    FvPeers_Reply(remote->runner->daemon->peers, &remote->waiter->peer,
                  &message);
}

/* Replies with the last known document and ends the wait. */
static void
reply_document(fv_remote_wait_t *remote)
{
    fv_ticket_t *ticket = remote->waiter->ticket;
    const char *state = FvJson_String(remote->document, "state");
    const char *outcome = FvJson_String(remote->document, "outcome");
    bool ended = state != NULL && strcmp(state, "ended") == 0;
    bool done = outcome != NULL && strcmp(outcome, "done") == 0;
    json_t *document = json_incref(remote->document);

    if (ticket == NULL) {
        reply_peer_document(remote, document);
        free_remote_wait(remote);
        return;
    }
    if (ended && done && ticket->raw_answer) {
        FvText_Copy(ticket->job, sizeof(ticket->job), remote->key);
        FvText_Copy(ticket->outcome, sizeof(ticket->outcome), outcome);
        FvRemoteJob_FetchAnswer(remote->runner, remote->member, remote->key,
                                document, ticket);
        json_decref(document);
    }
    else {
        json_object_del(document, "answer_base64");
        FvTicket_ReplyJson(ticket,
                           ended || !remote->waiter->is_submission ? 200 : 202,
                           document);
    }
    free_remote_wait(remote);
}

static void
reply_not_found(fv_remote_wait_t *remote)
{
    if (remote->waiter->ticket != NULL) {
        FvTicket_ReplyProblem(remote->waiter->ticket, 404, NULL, 0,
                              "no job with this key is known");
    }
    else {
        reply_peer_document(remote, json_pack("{s:s}", "state", "absent"));
    }
    free_remote_wait(remote);
}

static void
retry_or_reply(fv_remote_wait_t *remote)
{
    int64_t now_ms = FvClock_NowMs();

    if (now_ms < remote->waiter->until_ms) {
        remote->timer.fire = read_claim;
        remote->timer.owner = remote;
        FvLoop_SetTimer(remote->runner->daemon->loop, &remote->timer,
                        now_ms + Fv_REMOTE_RETRY_MS);
        return;
    }
    if (remote->document != NULL) {
        reply_document(remote);
        return;
    }
    if (remote->waiter->ticket != NULL) {
        FvTicket_ReplyProblem(remote->waiter->ticket, 503, NULL,
                              Fv_REMOTE_RETRY_MS,
                              "neither the job's host nor the store answers");
    }
    else {
        reply_peer_document(remote,
                            json_pack("{s:s}", "state", "unreachable"));
    }
    free_remote_wait(remote);
}

static void
set_document(fv_remote_wait_t *remote, json_t *document)
{
    json_decref(remote->document);
    remote->document = document;
}

static bool
document_ended(const json_t *document)
{
    const char *state = FvJson_String(document, "state");

    return state != NULL && strcmp(state, "ended") == 0;
}

static void
receive_home_reply(void *context, fv_link_error_t error, fv_message_t *message)
{
    fv_remote_wait_t *remote = context;
    json_t *document = NULL;
    const char *state;

    if (error == Fv_LINK_OK && message->type == Fv_MESSAGE_JOB_REPLY) {
        document = json_loads(message->body.document.text, 0, NULL);
    }
    state = FvJson_String(document, "state");
    if (state == NULL || strcmp(state, "absent") == 0 ||
        strcmp(state, "unreachable") == 0) {
        json_decref(document);
        retry_or_reply(remote);
        return;
    }
    set_document(remote, document);
    if (document_ended(document)) {
        reply_document(remote);
        return;
    }
    retry_or_reply(remote);
}

static void
query_home(fv_remote_wait_t *remote, const char *holder)
{
    fv_message_t message = {.type = remote->waiter->cancel
                                        ? Fv_MESSAGE_JOB_CANCEL
                                        : Fv_MESSAGE_JOB_STATUS};
    int64_t wait_ms = remote->waiter->until_ms - FvClock_NowMs();
    json_t *request_body;

    if (wait_ms < 0) {
        wait_ms = 0;
    }
    if (wait_ms > Fv_REMOTE_WAIT_MAX_MS) {
        wait_ms = Fv_REMOTE_WAIT_MAX_MS;
    }
    request_body = json_pack("{s:I}", "wait_ms", (json_int_t)wait_ms);
    message.body.document.text = json_dumps(request_body, JSON_COMPACT);
    json_decref(request_body);
    FvText_Copy(message.body.document.member, Fv_NAME_SIZE, remote->member);
    FvText_Copy(message.body.document.key, Fv_KEY_SIZE, remote->key);
    FvPeers_Call(remote->runner->daemon->peers, holder, &message,
                 wait_ms + Fv_REMOTE_TIMEOUT_MARGIN_MS, receive_home_reply,
                 remote);
}

/* Waits for the local run if this host has taken over the job. */
static bool
wait_locally(fv_remote_wait_t *remote)
{
    fv_run_t *run = FvRunner_Find(remote->runner, remote->member, remote->key);
    fv_job_waiter_t *waiter = remote->waiter;
    bool waiter_cancels = waiter->cancel;

    if (run == NULL) {
        return false;
    }
    remote->waiter = NULL;
    free_remote_wait(remote);
    FvRun_AddWaiter(run, waiter);
    if (waiter_cancels) {
        FvRun_Cancel(run);
    }
    return true;
}

static void
handle_record(fv_remote_wait_t *remote, const json_t *record, int64_t revision)
{
    const char *holder = FvJson_String(record, "holder");
    const char *incarnation = FvJson_String(record, "incarnation");

    set_document(remote, FvClaim_ToJobDocument(record));
    if (document_ended(remote->document)) {
        reply_document(remote);
        return;
    }
    if (holder == NULL || incarnation == NULL) {
        retry_or_reply(remote);
        return;
    }
    if (FvRecovery_IsHolderGone(remote->runner, holder, incarnation)) {
        FvRecovery_Adopt(remote->runner, remote->member, remote->key, record,
                         revision);
        if (!wait_locally(remote)) {
            retry_or_reply(remote);
        }
        return;
    }
    query_home(remote, holder);
}

static void
receive_claim(void *context, const fv_store_result_t *result)
{
    fv_remote_wait_t *remote = context;
    json_t *record;

    if (wait_locally(remote)) {
        return;
    }
    if (result->error != Fv_STORE_OK) {
        retry_or_reply(remote);
        return;
    }
    if (result->kv_count == 0) {
        reply_not_found(remote);
        return;
    }
    record =
        json_loadb(result->kvs[0].value, result->kvs[0].value_length, 0, NULL);
    handle_record(remote, record, result->kvs[0].mod_revision);
    json_decref(record);
}

static void
read_claim(void *owner)
{
    fv_remote_wait_t *remote = owner;
    char key[Fv_URL_SIZE];

    FvClaim_Key(remote->member, remote->key, key, sizeof(key));
    FvStore_Get(remote->runner->daemon->store, key, receive_claim, remote);
}

/**
 * FvRemoteJob_Wait - wait for a job whose home is another host
 * @runner: the runner
 * @member: the job's member
 * @key: its key
 * @waiter: the waiter; ownership is taken
 */
void
FvRemoteJob_Wait(fv_runner_t *runner, const char *member, const char *key,
                 fv_job_waiter_t *waiter)
{
    fv_remote_wait_t *remote = calloc(1, sizeof(*remote));

    if (remote == NULL) {
        abort();
    }
    FvLoop_CancelTimer(runner->daemon->loop, &waiter->timer);
    remote->runner = runner;
    remote->waiter = waiter;
    FvText_Copy(remote->member, sizeof(remote->member), member);
    FvText_Copy(remote->key, sizeof(remote->key), key);
    remote->next = runner->remote_waits;
    if (remote->next != NULL) {
        remote->next->previous = remote;
    }
    runner->remote_waits = remote;
    read_claim(remote);
}

/**
 * FvRemoteJob_FreeAll - end all waits; callers of this host get a 503
 * @runner: the runner; no callback may run after this call
 */
void
FvRemoteJob_FreeAll(fv_runner_t *runner)
{
    fv_remote_wait_t *remote = runner->remote_waits;

    while (remote != NULL) {
        fv_remote_wait_t *next = remote->next;

        if (remote->waiter->ticket != NULL) {
            FvTicket_ReplyProblem(remote->waiter->ticket, 503, NULL,
                                  Fv_REMOTE_RETRY_MS, "the host is stopping");
        }
        free_remote_wait(remote);
        remote = next;
    }
}

/* Fetches the answers of a job's tasks from their workers, in task order. */
typedef struct fv_answer_fetch {
    fv_runner_t *runner;
    fv_ticket_t *ticket;
    char job_id[Fv_TASK_ID_SIZE]; /* MEMBER:KEY:ATTEMPT */
    char member[Fv_NAME_SIZE];
    json_t *workers;
    size_t next;
    fv_buffer_t joined;
} fv_answer_fetch_t;

static void fetch_next(fv_answer_fetch_t *fetch);

static void
free_fetch(fv_answer_fetch_t *fetch)
{
    json_decref(fetch->workers);
    FvBuffer_Clear(&fetch->joined);
    free(fetch);
}

static void
receive_task_answer(void *context, fv_link_error_t error,
                    fv_message_t *message)
{
    fv_answer_fetch_t *fetch = context;
    const fv_task_reply_t *reply = &message->body.task_reply;

    if (error != Fv_LINK_OK || message->type != Fv_MESSAGE_TASK_REPLY ||
        reply->refusal != Fv_REFUSAL_NONE || reply->state != Fv_TASK_DONE ||
        !FvBuffer_Append(&fetch->joined, reply->answer,
                         reply->answer_length)) {
        FvTicket_ReplyProblem(fetch->ticket, 503, NULL, 1000,
                              "the answer is kept by a worker that can't be "
                              "reached now");
        free_fetch(fetch);
        return;
    }
    fetch->next++;
    fetch_next(fetch);
}

static void
fetch_next(fv_answer_fetch_t *fetch)
{
    fv_daemon_t *daemon = fetch->runner->daemon;
    fv_message_t message = {.type = Fv_MESSAGE_QUERY};
    fv_task_request_t *request = &message.body.task_request;

    if (fetch->next == json_array_size(fetch->workers)) {
        FvTicket_ReplyRaw(fetch->ticket, 200, fetch->joined.data,
                          fetch->joined.length);
        free_fetch(fetch);
        return;
    }
    snprintf(request->id, sizeof(request->id), "%.*s:%zu",
             Fv_TASK_ID_SIZE - 24, fetch->job_id, fetch->next);
    FvText_Copy(
        request->worker, Fv_NAME_SIZE,
        json_string_value(json_array_get(fetch->workers, fetch->next)));
    FvText_Copy(request->member, Fv_NAME_SIZE, fetch->member);
    FvPeers_Call(daemon->peers, daemon->settings.host, &message,
                 Fv_REMOTE_QUERY_TIMEOUT_MS, receive_task_answer, fetch);
}

static bool
reply_inline_answer(const json_t *document, fv_ticket_t *ticket)
{
    const char *text = FvJson_String(document, "answer_base64");
    fv_buffer_t answer = {0};

    if (text == NULL || !FvText_DecodeBase64(text, &answer)) {
        return false;
    }
    FvTicket_ReplyRaw(ticket, 200, answer.data, answer.length);
    FvBuffer_Clear(&answer);
    return true;
}

/**
 * FvRemoteJob_FetchAnswer - reply with the raw answer of a job that is done
 * @runner: the runner
 * @member: the job's member
 * @key: its key
 * @document: the job document
 * @ticket: the ticket; replied to now or later
 */
void
FvRemoteJob_FetchAnswer(fv_runner_t *runner, const char *member,
                        const char *key, const json_t *document,
                        fv_ticket_t *ticket)
{
    fv_answer_fetch_t *fetch;

    if (reply_inline_answer(document, ticket)) {
        return;
    }
    fetch = calloc(1, sizeof(*fetch));
    if (fetch == NULL) {
        abort();
    }
    fetch->runner = runner;
    fetch->ticket = ticket;
    fetch->workers = json_incref(json_object_get(document, "workers"));
    FvText_Copy(fetch->member, sizeof(fetch->member), member);
    snprintf(fetch->job_id, sizeof(fetch->job_id), "%s:%s:%lld", member, key,
             (long long)FvJson_Int(document, "attempts", 1));
    fetch_next(fetch);
}
