/*
 * Jobs whose home is another host: their state comes from that host, or from
 * their claim when the host can't be reached; answers that no host keeps come
 * from the workers.
 */

#include "runner.h"

#include <stdlib.h>
#include <string.h>

#define Fv_VIEW_RETRY_MS 300
#define Fv_VIEW_TIMEOUT_MARGIN_MS 2000
/* Part of the wait asked of the home host at a time, so that a home that
 * dies is noticed. */
#define Fv_VIEW_WAIT_MAX_MS 5000
#define Fv_VIEW_QUERY_TIMEOUT_MS 12000

/* One waiter's look at a job elsewhere. */
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
free_view(fv_remote_wait_t *view)
{
    if (view->previous != NULL) {
        view->previous->next = view->next;
    }
    else {
        view->runner->remote_waits = view->next;
    }
    if (view->next != NULL) {
        view->next->previous = view->previous;
    }
    FvLoop_CancelTimer(view->runner->daemon->loop, &view->timer);
    json_decref(view->document);
    free(view->waiter);
    free(view);
}

static void
reply_peer_document(const fv_remote_wait_t *view, json_t *document)
{
    fv_message_t message = {.type = Fv_MESSAGE_JOB};

    message.body.document.text = json_dumps(document, JSON_COMPACT);
    FvText_Copy(message.body.document.member, Fv_NAME_SIZE, view->member);
    FvText_Copy(message.body.document.key, Fv_KEY_SIZE, view->key);
    json_decref(document);
    FvPeers_Reply(view->runner->daemon->peers, &view->waiter->peer, &message);
}

/* Ends the view with the last known document. */
static void
reply_document(fv_remote_wait_t *view)
{
    fv_ticket_t *ticket = view->waiter->ticket;
    const char *state = FvJson_String(view->document, "state");
    const char *outcome = FvJson_String(view->document, "outcome");
    bool ended = state != NULL && strcmp(state, "ended") == 0;
    bool done = outcome != NULL && strcmp(outcome, "done") == 0;
    json_t *document = json_incref(view->document);

    if (ticket == NULL) {
        reply_peer_document(view, document);
        free_view(view);
        return;
    }
    if (ended && done && ticket->raw_answer) {
        FvText_Copy(ticket->job, sizeof(ticket->job), view->key);
        FvText_Copy(ticket->outcome, sizeof(ticket->outcome), outcome);
        FvRemoteJob_FetchAnswer(view->runner, view->member, view->key,
                                document, ticket);
        json_decref(document);
    }
    else {
        json_object_del(document, "answer_base64");
        FvTicket_ReplyJson(ticket,
                           ended || !view->waiter->is_submission ? 200 : 202,
                           document);
    }
    free_view(view);
}

static void
reply_absent(fv_remote_wait_t *view)
{
    if (view->waiter->ticket != NULL) {
        FvTicket_ReplyProblem(view->waiter->ticket, 404, NULL, 0,
                              "no job with this key is known");
    }
    else {
        reply_peer_document(view, json_pack("{s:s}", "state", "absent"));
    }
    free_view(view);
}

static void
retry_or_reply(fv_remote_wait_t *view)
{
    int64_t now_ms = FvClock_NowMs();

    if (now_ms < view->waiter->until_ms) {
        view->timer.fire = read_claim;
        view->timer.owner = view;
        FvLoop_SetTimer(view->runner->daemon->loop, &view->timer,
                        now_ms + Fv_VIEW_RETRY_MS);
        return;
    }
    if (view->document != NULL) {
        reply_document(view);
        return;
    }
    if (view->waiter->ticket != NULL) {
        FvTicket_ReplyProblem(view->waiter->ticket, 503, NULL,
                              Fv_VIEW_RETRY_MS,
                              "neither the job's host nor the store answers");
    }
    else {
        reply_peer_document(view, json_pack("{s:s}", "state", "unreachable"));
    }
    free_view(view);
}

static void
keep_document(fv_remote_wait_t *view, json_t *document)
{
    json_decref(view->document);
    view->document = document;
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
    fv_remote_wait_t *view = context;
    json_t *document = NULL;
    const char *state;

    if (error == Fv_LINK_OK && message->type == Fv_MESSAGE_JOB) {
        document = json_loads(message->body.document.text, 0, NULL);
    }
    state = FvJson_String(document, "state");
    if (state == NULL || strcmp(state, "absent") == 0 ||
        strcmp(state, "unreachable") == 0) {
        json_decref(document);
        retry_or_reply(view);
        return;
    }
    keep_document(view, document);
    if (document_ended(document)) {
        reply_document(view);
        return;
    }
    retry_or_reply(view);
}

static void
ask_home(fv_remote_wait_t *view, const char *holder)
{
    fv_message_t message = {.type = view->waiter->cancel
                                        ? Fv_MESSAGE_JOB_CANCEL
                                        : Fv_MESSAGE_JOB_STATUS};
    int64_t wait_ms = view->waiter->until_ms - FvClock_NowMs();
    json_t *question;

    if (wait_ms < 0) {
        wait_ms = 0;
    }
    if (wait_ms > Fv_VIEW_WAIT_MAX_MS) {
        wait_ms = Fv_VIEW_WAIT_MAX_MS;
    }
    question = json_pack("{s:I}", "wait_ms", (json_int_t)wait_ms);
    message.body.document.text = json_dumps(question, JSON_COMPACT);
    json_decref(question);
    FvText_Copy(message.body.document.member, Fv_NAME_SIZE, view->member);
    FvText_Copy(message.body.document.key, Fv_KEY_SIZE, view->key);
    FvPeers_Call(view->runner->daemon->peers, holder, &message,
                 wait_ms + Fv_VIEW_TIMEOUT_MARGIN_MS, receive_home_reply,
                 view);
}

/* The job came to this host meanwhile. */
static bool
attach_locally(fv_remote_wait_t *view)
{
    fv_run_t *run = FvRunner_Find(view->runner, view->member, view->key);
    fv_job_waiter_t *waiter = view->waiter;
    bool waiter_cancels = waiter->cancel;

    if (run == NULL) {
        return false;
    }
    view->waiter = NULL;
    free_view(view);
    FvRun_AddWaiter(run, waiter);
    if (waiter_cancels) {
        FvRun_Cancel(run);
    }
    return true;
}

static void
handle_record(fv_remote_wait_t *view, const json_t *record, int64_t revision)
{
    const char *holder = FvJson_String(record, "holder");
    const char *incarnation = FvJson_String(record, "incarnation");

    keep_document(view, FvClaim_ToJobDocument(record));
    if (document_ended(view->document)) {
        reply_document(view);
        return;
    }
    if (holder == NULL || incarnation == NULL) {
        retry_or_reply(view);
        return;
    }
    if (FvRecovery_IsHolderGone(view->runner, holder, incarnation)) {
        FvRecovery_Adopt(view->runner, view->member, view->key, record,
                         revision);
        if (!attach_locally(view)) {
            retry_or_reply(view);
        }
        return;
    }
    ask_home(view, holder);
}

static void
receive_claim(void *context, const fv_store_result_t *result)
{
    fv_remote_wait_t *view = context;
    json_t *record;

    if (attach_locally(view)) {
        return;
    }
    if (result->error != Fv_STORE_OK) {
        retry_or_reply(view);
        return;
    }
    if (result->kv_count == 0) {
        reply_absent(view);
        return;
    }
    record =
        json_loadb(result->kvs[0].value, result->kvs[0].value_length, 0, NULL);
    handle_record(view, record, result->kvs[0].mod_revision);
    json_decref(record);
}

static void
read_claim(void *owner)
{
    fv_remote_wait_t *view = owner;
    char key[Fv_URL_SIZE];

    FvClaim_Key(view->member, view->key, key, sizeof(key));
    FvStore_Get(view->runner->daemon->store, key, receive_claim, view);
}

/**
 * FvRemoteJob_Wait - let a waiter wait for a job whose home is elsewhere
 * @runner: the runner
 * @member: the job's member
 * @key: its key
 * @waiter: the waiter; taken over
 */
void
FvRemoteJob_Wait(fv_runner_t *runner, const char *member, const char *key,
                 fv_job_waiter_t *waiter)
{
    fv_remote_wait_t *view = calloc(1, sizeof(*view));

    if (view == NULL) {
        abort();
    }
    FvLoop_CancelTimer(runner->daemon->loop, &waiter->timer);
    view->runner = runner;
    view->waiter = waiter;
    FvText_Copy(view->member, sizeof(view->member), member);
    FvText_Copy(view->key, sizeof(view->key), key);
    view->next = runner->remote_waits;
    if (view->next != NULL) {
        view->next->previous = view;
    }
    runner->remote_waits = view;
    read_claim(view);
}

/**
 * FvRemoteJob_FreeAll - drop all views; callers that still wait get a 503
 * @runner: the runner; its callbacks are not run any more
 */
void
FvRemoteJob_FreeAll(fv_runner_t *runner)
{
    fv_remote_wait_t *view = runner->remote_waits;

    while (view != NULL) {
        fv_remote_wait_t *next = view->next;

        if (view->waiter->ticket != NULL) {
            FvTicket_ReplyProblem(view->waiter->ticket, 503, NULL,
                                  Fv_VIEW_RETRY_MS, "the host is stopping");
        }
        free_view(view);
        view = next;
    }
}

/* Fetches the answers of a job's tasks one after the other. */
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

    if (error != Fv_LINK_OK || message->type != Fv_MESSAGE_TASK ||
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
                 Fv_VIEW_QUERY_TIMEOUT_MS, receive_task_answer, fetch);
}

static bool
reply_inline_answer(const json_t *document, fv_ticket_t *ticket)
{
    const char *text = FvJson_String(document, "answer_base64");
    fv_buffer_t answer = {0};

    if (text == NULL || !FvText_FromBase64(text, &answer)) {
        return false;
    }
    FvTicket_ReplyRaw(ticket, 200, answer.data, answer.length);
    FvBuffer_Clear(&answer);
    return true;
}

/**
 * FvRemoteJob_FetchAnswer - answer a ticket with the answer of a done job
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
