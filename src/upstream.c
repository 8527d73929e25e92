/*
 * Client of the workers' JSON-over-HTTP protocol, see docs/protocol.md.
 */

#include "daemon.h"

#include <stdlib.h>
#include <string.h>

#define Fv_UPSTREAM_TIMEOUT_MS 1500
#define Fv_UPSTREAM_STOP_TIMEOUT_MS 5000
/* Time for the response of a worker after the requested wait has ended. */
#define Fv_UPSTREAM_WAIT_MARGIN_MS 2000

/* Limit of fetching an answer: as long as a caller waits for a lookup. */
#define Fv_UPSTREAM_FETCH_ANSWER_TIMEOUT_MS 10000

typedef struct fv_lease_call {
    fv_lease_done_t done;
    void *context;
} fv_lease_call_t;

typedef struct fv_task_call {
    char id[Fv_TASK_ID_SIZE];
    char worker[Fv_NAME_SIZE];
    bool has_answer; /* a 200 has the task's answer as its body */
    fv_task_done_t done;
    void *context;
} fv_task_call_t;

static bool
read_task(const json_t *object, fv_task_t *task)
{
    const char *state = FvJson_String(object, "state");
    const char *class_name = FvJson_String(object, "class");

    *task = (fv_task_t){.class_id = Fv_CLASS_DEADLINE};
    if (!FvJson_CopyString(object, "id", task->id, sizeof(task->id)) ||
        state == NULL || !FvTaskState_Parse(state, &task->state)) {
        return false;
    }
    FvJson_CopyString(object, "member", task->member, sizeof(task->member));
    FvJson_CopyString(object, "workload", task->workload,
                      sizeof(task->workload));
    if (class_name != NULL) {
        FvClass_Parse(class_name, &task->class_id);
    }
    FvResources_FromJson(json_object_get(object, "size"), &task->size);
    FvResources_FromJson(json_object_get(object, "used"), &task->used);
    task->ran_ms = FvJson_Int(object, "ran_ms", 0);
    return true;
}

static bool
read_lease_reply(const json_t *body, fv_lease_reply_t *reply)
{
    const json_t *tasks = json_object_get(body, "tasks");
    size_t count = json_array_size(tasks);

    reply->term = (uint64_t)FvJson_Int(body, "term", 0);
    reply->ttl_ms = FvJson_Int(body, "ttl_ms", 0);
    reply->sequence = FvJson_Int(body, "sequence", 0);
    reply->leaving = FvJson_Bool(body, "leaving", false);
    reply->connection_limit = (int32_t)FvJson_Int(body, "connections", 0);
    if (reply->term == 0 || reply->ttl_ms <= 0 ||
        !FvResources_FromJson(json_object_get(body, "capacity"),
                              &reply->capacity)) {
        return false;
    }
    reply->tasks = calloc(count + 1, sizeof(*reply->tasks));
    if (reply->tasks == NULL) {
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        if (!read_task(json_array_get(tasks, i), &reply->tasks[i])) {
            return false;
        }
        reply->task_count++;
    }
    return true;
}

static fv_upstream_error_t
translate_transport(fv_http_error_t error)
{
    switch (error) {
    case Fv_HTTP_OK:
        return Fv_UPSTREAM_OK;
    case Fv_HTTP_NOT_SENT:
        return Fv_UPSTREAM_NOT_SENT;
    case Fv_HTTP_EXPIRED:
        return Fv_UPSTREAM_REFUSED;
    case Fv_HTTP_TOO_LARGE:
        return Fv_UPSTREAM_MALFORMED;
    case Fv_HTTP_UNCONFIRMED:
        break;
    }
    return Fv_UPSTREAM_UNCONFIRMED;
}

static void
finish_lease(void *context, fv_http_response_t *response)
{
    fv_lease_call_t *call = context;
    fv_lease_reply_t reply = {0};
    json_t *body = NULL;

    reply.error = translate_transport(response->error);
    if (reply.error == Fv_UPSTREAM_OK) {
        body = json_loadb((const char *)response->body, response->body_length,
                          0, NULL);
        if (response->status == 409) {
            reply.error = Fv_UPSTREAM_REFUSED;
            reply.expires_in_ms = FvJson_Int(body, "expires_in_ms", 0);
        }
        else if (response->status != 200 || !read_lease_reply(body, &reply)) {
            reply.error = Fv_UPSTREAM_MALFORMED;
        }
    }
    call->done(call->context, &reply);
    json_decref(body);
    free(reply.tasks);
    free(call);
}

/* Takes ownership of the body. */
static void
send_json(fv_upstream_t *upstream, fv_http_request_t *request, json_t *body)
{
    request->upstream = true;
    if (body != NULL) {
        request->body = json_dumps(body, JSON_COMPACT);
        request->body_length = request->body ? strlen(request->body) : 0;
        json_decref(body);
    }
    FvHttpClient_Send(upstream->daemon->http, request);
}

static void
send_lease_call(fv_upstream_t *upstream, const fv_worker_t *worker,
                const char *path, json_t *body, fv_lease_done_t done,
                void *context)
{
    fv_lease_call_t *call = malloc(sizeof(*call));
    fv_http_request_t request = {
        .method = "POST",
        .timeout_ms = Fv_UPSTREAM_TIMEOUT_MS,
        .done = finish_lease,
        .context = call,
    };

    if (call == NULL) {
        abort();
    }
    *call = (fv_lease_call_t){.done = done, .context = context};
    snprintf(request.url, sizeof(request.url), "%s%s", worker->base_url, path);
    send_json(upstream, &request, body);
}

static void
json_lease(fv_upstream_t *upstream, const fv_worker_t *worker, uint64_t term,
           fv_lease_done_t done, void *context)
{
    const fv_daemon_t *daemon = upstream->daemon;
    json_t *body =
        json_pack("{s:s, s:s, s:i, s:I, s:I}", "holder", daemon->settings.host,
                  "incarnation", daemon->incarnation, "ttl_ms",
                  (int)daemon->settings.lease_ttl_ms, "term", (json_int_t)term,
                  "seen", (json_int_t)worker->last_event_sequence);

    send_lease_call(upstream, worker, "/v1/lease", body, done, context);
}

static void
json_release(fv_upstream_t *upstream, const fv_worker_t *worker,
             fv_lease_done_t done, void *context)
{
    json_t *body = json_pack("{s:I}", "term", (json_int_t)worker->lease.term);

    send_lease_call(upstream, worker, "/v1/lease/release", body, done,
                    context);
}

static bool
copy_answer(const fv_http_response_t *response, fv_task_reply_t *reply)
{
    reply->answer = malloc(response->body_length + 1);
    if (reply->answer == NULL) {
        return false;
    }
    if (response->body_length > 0) {
        memcpy(reply->answer, response->body, response->body_length);
    }
    reply->answer_length = response->body_length;
    reply->received = response->body_length;
    return true;
}

static fv_refusal_t
read_refusal(const fv_http_response_t *response)
{
    json_t *body = json_loadb((const char *)response->body,
                              response->body_length, 0, NULL);
    const char *error = FvJson_String(body, "error");
    fv_refusal_t refusal = Fv_REFUSAL_NEVER_FITS;

    if (error != NULL && strcmp(error, "stale_term") == 0) {
        refusal = Fv_REFUSAL_EXPIRED;
    }
    else if (error != NULL && strcmp(error, "stopped") == 0) {
        refusal = Fv_REFUSAL_STOPPED;
    }
    else if (response->status == 503 || response->status == 429) {
        refusal = Fv_REFUSAL_NO_CAPACITY;
    }
    json_decref(body);
    return refusal;
}

/* Reads a task document, of which a 202 response has only some fields. */
static fv_upstream_error_t
read_task_document(const fv_http_response_t *response, fv_task_reply_t *reply)
{
    json_t *body = json_loadb((const char *)response->body,
                              response->body_length, 0, NULL);
    const char *state = FvJson_String(body, "state");
    fv_upstream_error_t error = Fv_UPSTREAM_OK;

    if (state == NULL || !FvTaskState_Parse(state, &reply->state)) {
        error = Fv_UPSTREAM_MALFORMED;
    }
    reply->ran_ms = FvJson_Int(body, "ran_ms", 0);
    reply->uptime_ms = FvJson_Int(body, "uptime_ms", 0);
    FvResources_FromJson(json_object_get(body, "used"), &reply->used);
    json_decref(body);
    return error;
}

static fv_upstream_error_t
read_task_reply(const fv_task_call_t *call, const fv_http_response_t *response,
                fv_task_reply_t *reply)
{
    bool parsed;

    if (response->status == 202 ||
        (response->status == 200 && !call->has_answer)) {
        return read_task_document(response, reply);
    }
    if (response->status == 200) {
        reply->ran_ms = response->task_ran_ms;
        reply->used.cpu_millis = response->task_cpu_millis;
        reply->used.memory_bytes = response->task_memory_bytes;
        parsed = FvTaskState_Parse(response->task_state, &reply->state);
        return parsed && copy_answer(response, reply) ? Fv_UPSTREAM_OK
                                                      : Fv_UPSTREAM_MALFORMED;
    }
    if (response->status == 404) {
        reply->state = Fv_TASK_NEVER_STARTED;
        return Fv_UPSTREAM_OK;
    }
    if (response->status >= 500 && response->status != 503) {
        return Fv_UPSTREAM_UNCONFIRMED;
    }
    reply->refusal = read_refusal(response);
    return Fv_UPSTREAM_REFUSED;
}

static void
finish_task(void *context, fv_http_response_t *response)
{
    fv_task_call_t *call = context;
    fv_task_reply_t reply = {.state = Fv_TASK_UNKNOWN};
    fv_upstream_error_t error = translate_transport(response->error);

    FvText_Copy(reply.id, sizeof(reply.id), call->id);
    FvText_Copy(reply.worker, sizeof(reply.worker), call->worker);
    if (error == Fv_UPSTREAM_REFUSED) {
        reply.refusal = Fv_REFUSAL_EXPIRED;
    }
    if (error == Fv_UPSTREAM_OK) {
        error = read_task_reply(call, response, &reply);
    }
    call->done(call->context, error, &reply);
    free(reply.answer);
    free(call);
}

static fv_task_call_t *
new_task_call(const char *worker, const char *task_id, bool has_answer,
              fv_task_done_t done, void *context)
{
    fv_task_call_t *call = calloc(1, sizeof(*call));

    if (call == NULL) {
        abort();
    }
    call->has_answer = has_answer;
    call->done = done;
    call->context = context;
    FvText_Copy(call->id, sizeof(call->id), task_id);
    FvText_Copy(call->worker, sizeof(call->worker), worker);
    return call;
}

static void
json_start(fv_upstream_t *upstream, const fv_worker_t *worker,
           const fv_task_request_t *task, int64_t not_after_ns,
           fv_task_done_t done, void *context)
{
    char *payload = FvText_EncodeBase64(task->payload, task->payload_length);
    json_t *body = json_pack(
        "{s:s, s:I, s:s, s:s, s:s, s:s, s:o, s:s, s:I, s:s}", "id", task->id,
        "term", (json_int_t)worker->lease.term, "home", task->home_host,
        "member", task->member, "workload", task->workload, "class",
        FvClass_Name(task->class_id), "size", FvResources_ToJson(&task->size),
        "on_lapse", task->stop_on_expiry ? "stop" : "continue", "wait_ms",
        (json_int_t)task->wait_ms, "payload_base64", payload ? payload : "");
    fv_http_request_t request = {
        .method = "POST",
        .timeout_ms = task->wait_ms + Fv_UPSTREAM_WAIT_MARGIN_MS,
        .not_after_ns = not_after_ns,
        .response_max_bytes = Fv_ANSWER_MAX_BYTES,
        .send_once = task->send_once,
        /* An unconfirmed start can't be retried. A pooled connection that
         * the worker has closed would make it unconfirmed. */
        .fresh_connection = task->send_once,
        .done = finish_task,
        .context = new_task_call(worker->name, task->id, true, done, context),
    };

    free(payload);
    snprintf(request.url, sizeof(request.url), "%s/v1/tasks",
             worker->base_url);
    send_json(upstream, &request, body);
}

static void
send_task_call(fv_upstream_t *upstream, const char *method,
               const char *base_url, const char *task_id, const char *verb,
               json_t *body, int64_t timeout_ms, fv_task_call_t *call)
{
    fv_http_request_t request = {
        .method = method,
        .timeout_ms = timeout_ms,
        .response_max_bytes = Fv_ANSWER_MAX_BYTES,
        .done = finish_task,
        .context = call,
    };

    snprintf(request.url, sizeof(request.url), "%s/v1/tasks/%s%s", base_url,
             task_id, verb);
    send_json(upstream, &request, body);
}

static void
json_query(fv_upstream_t *upstream, const char *base_url, const char *task_id,
           fv_task_done_t done, void *context)
{
    send_task_call(upstream, "GET", base_url, task_id, "", NULL,
                   Fv_UPSTREAM_TIMEOUT_MS,
                   new_task_call("", task_id, false, done, context));
}

static void
json_answer(fv_upstream_t *upstream, const char *base_url, const char *task_id,
            fv_task_done_t done, void *context)
{
    send_task_call(upstream, "GET", base_url, task_id, "/answer", NULL,
                   Fv_UPSTREAM_FETCH_ANSWER_TIMEOUT_MS,
                   new_task_call("", task_id, true, done, context));
}

static void
json_stop(fv_upstream_t *upstream, const char *base_url, const char *task_id,
          fv_task_done_t done, void *context)
{
    send_task_call(upstream, "POST", base_url, task_id, "/stop", json_object(),
                   Fv_UPSTREAM_STOP_TIMEOUT_MS,
                   new_task_call("", task_id, false, done, context));
}

static void
json_checkpoint(fv_upstream_t *upstream, const char *base_url,
                const char *task_id, fv_task_done_t done, void *context)
{
    send_task_call(upstream, "POST", base_url, task_id, "/checkpoint",
                   json_object(), Fv_UPSTREAM_STOP_TIMEOUT_MS,
                   new_task_call("", task_id, false, done, context));
}

static void
json_throttle(fv_upstream_t *upstream, const char *base_url,
              const char *task_id, int32_t percent, fv_task_done_t done,
              void *context)
{
    send_task_call(upstream, "POST", base_url, task_id, "/throttle",
                   json_pack("{s:i}", "percent", (int)percent),
                   Fv_UPSTREAM_TIMEOUT_MS,
                   new_task_call("", task_id, false, done, context));
}

static const fv_upstream_type_t json_protocol = {
    .name = "json",
    .lease = json_lease,
    .release = json_release,
    .start = json_start,
    .query = json_query,
    .answer = json_answer,
    .stop = json_stop,
    .checkpoint = json_checkpoint,
    .throttle = json_throttle,
};

/**
 * FvUpstream_NewJson - create a client of the JSON-over-HTTP protocol
 * @daemon: the daemon
 *
 * Return: the client, or NULL when memory is exhausted.
 */
fv_upstream_t *
FvUpstream_NewJson(fv_daemon_t *daemon)
{
    fv_upstream_t *upstream = calloc(1, sizeof(*upstream));

    if (upstream != NULL) {
        *upstream = (fv_upstream_t){.type = &json_protocol, .daemon = daemon};
    }
    return upstream;
}

/**
 * FvUpstream_Free - free a client
 * @upstream: the client, or NULL
 */
void
FvUpstream_Free(fv_upstream_t *upstream)
{
    free(upstream);
}
