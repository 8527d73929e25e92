/*
 * HTTP towards callers, and the readiness that the balancer asks for. The
 * front knows the queues and passes every request about a job on to the
 * leader; it keeps a request while a new leader is being found.
 */

#include "entry.h"
#include "front-wait.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define Fv_DEFAULT_DEADLINE_MS 3000 /* when the caller names none */
#define Fv_RETRY_AFTER_S "1"
#define Fv_SWEEP_MS 50
#define Fv_BODY_MAX_BYTES 262144
#define Fv_HEADERS_MAX_BYTES 16384
#define Fv_IDLE_TIMEOUT_S 30

typedef struct fv_front_request {
    int64_t id;
    struct evhttp_request *http;
    fv_verb_t verb;
    char queue[Fv_NAME_SIZE];
    char job[Fv_JOB_ID_SIZE];
    fv_forwarding_t wait;
    UT_hash_handle hh;
} fv_front_request_t;

struct fv_frontend {
    struct event_base *base;
    const fv_entry_settings_t *settings;
    fv_frontend_events_t events;
    const fv_cell_config_t *config;
    struct evhttp *callers;
    struct evhttp *ready;
    struct evhttp *metrics;
    struct event *sweep;
    fv_front_request_t *requests;
    int64_t last_id;
    bool draining;
};

static void
retry_after(struct evhttp_request *http, const char *seconds)
{
    struct evkeyvalq *headers = evhttp_request_get_output_headers(http);

    if (evhttp_find_header(headers, "Retry-After") == NULL) {
        evhttp_add_header(headers, "Retry-After", seconds);
    }
}

static void
reply(fv_frontend_t *front, struct evhttp_request *http, int status,
      const char *reason, const char *body)
{
    struct evkeyvalq *headers = evhttp_request_get_output_headers(http);
    struct evbuffer *buffer = evbuffer_new();

    if (body != NULL && buffer != NULL) {
        evhttp_add_header(headers, "Content-Type", "application/json");
        evbuffer_add(buffer, body, strlen(body));
    }
    if (status == 429 || status == 503) {
        retry_after(http, Fv_RETRY_AFTER_S);
    }
    if (front->draining) {
        evhttp_add_header(headers, "Connection", "close");
    }
    evhttp_send_reply(http, status, reason, buffer);
    if (buffer != NULL) {
        evbuffer_free(buffer);
    }
}

static void
end_request(fv_frontend_t *front, fv_front_request_t *request, int status,
            const char *reason, const char *body)
{
    int64_t took_ms = FvClock_NowMs() - request->wait.arrived_ms;

    FvLog_Event(status >= 500 || status == 429 ? Fv_LOG_INFO : Fv_LOG_DEBUG,
                "request_answered",
                "job=%s verb=%d queue=%s status=%d took_ms=%lld sent=%d",
                request->job, (int)request->verb, request->queue, status,
                (long long)took_ms,
                request->wait.with_leader || request->wait.in_doubt ? 1 : 0);
    FvMetrics_Record(Fv_TIMING_WAIT, Fv_CLASS_INTERACTIVE, request->queue,
                     took_ms * 1000);
    HASH_DEL(front->requests, request);
    reply(front, request->http, status, reason, body);
    free(request);
}

static void
forward(fv_frontend_t *front, fv_front_request_t *request)
{
    struct evbuffer *input = evhttp_request_get_input_buffer(request->http);
    fv_cell_message_t message = {
        .kind = Fv_CELL_MESSAGE_REQUEST,
        .id = request->id,
        .number = request->verb,
        .name = request->queue,
        .key = request->job,
        .body = (const char *)evbuffer_pullup(input, -1),
        .body_length = evbuffer_get_length(input),
    };
    fv_forwarding_t before = request->wait;

    FvForwarding_Sent(&request->wait);
    /* When this host leads, the answer may come and release the request
     * before the call returns. */
    if (!front->events.forward(front->events.context, &message)) {
        request->wait = before;
    }
}

static const fv_cell_queue_t *
find_queue(const fv_frontend_t *front, const char *host, const char *path)
{
    const fv_cell_queue_t *best = NULL;
    size_t host_length = strcspn(host, ":");

    for (uint32_t i = 0; i < front->config->queue_count; i++) {
        const fv_cell_queue_t *queue = &front->config->queues[i];

        if (strlen(queue->virtual_host) == host_length &&
            strncasecmp(queue->virtual_host, host, host_length) == 0 &&
            strncmp(path, queue->prefix, strlen(queue->prefix)) == 0 &&
            (best == NULL || strlen(queue->prefix) > strlen(best->prefix))) {
            best = queue;
        }
    }
    return best;
}

static bool
is_job_id(const char *text)
{
    return strlen(text) == Fv_JOB_ID_SIZE - 1 &&
           strspn(text, "0123456789abcdefABCDEF") == Fv_JOB_ID_SIZE - 1;
}

/* Returns 0 when the method and path make no sense together. */
static fv_verb_t
find_verb(struct evhttp_request *http, const char *rest)
{
    enum evhttp_cmd_type method = evhttp_request_get_command(http);

    if (rest[0] == '\0') {
        return method == EVHTTP_REQ_GET ? Fv_VERB_WAITING : (fv_verb_t)0;
    }
    if (!is_job_id(rest)) {
        return (fv_verb_t)0;
    }
    switch (method) {
    case EVHTTP_REQ_POST:
        return Fv_VERB_SUBMIT;
    case EVHTTP_REQ_GET:
        return Fv_VERB_STATE;
    case EVHTTP_REQ_DELETE:
        return Fv_VERB_CANCEL;
    default:
        return (fv_verb_t)0;
    }
}

static int64_t
time_given(struct evhttp_request *http)
{
    const char *text = evhttp_find_header(
        evhttp_request_get_input_headers(http), FvPlatform_DeadlineHeader);
    long given = text != NULL ? strtol(text, NULL, 10) : 0;

    return given > 0 ? given : Fv_DEFAULT_DEADLINE_MS;
}

static void
take_request(fv_frontend_t *front, struct evhttp_request *http, fv_verb_t verb,
             const fv_cell_queue_t *queue, const char *job)
{
    fv_front_request_t *request = calloc(1, sizeof(*request));

    if (request == NULL) {
        reply(front, http, 503, "Out of Memory", NULL);
        return;
    }
    request->id = ++front->last_id;
    request->http = http;
    request->verb = verb;
    FvText_Copy(request->queue, sizeof(request->queue), queue->name);
    FvText_Copy(request->job, sizeof(request->job), job);
    request->wait = (fv_forwarding_t){.arrived_ms = FvClock_NowMs(),
                                      .timeout_ms = time_given(http)};
    HASH_ADD(hh, front->requests, id, sizeof(request->id), request);
    forward(front, request);
}

static void
caller_request(struct evhttp_request *http, void *context)
{
    fv_frontend_t *front = context;
    const char *host =
        evhttp_find_header(evhttp_request_get_input_headers(http), "Host");
    const char *uri = evhttp_request_get_uri(http);
    char path[Fv_URL_SIZE];
    const fv_cell_queue_t *queue;
    fv_verb_t verb;

    FvMetrics_Add(Fv_COUNTER_HTTP_REQUESTS, 1);
    snprintf(path, sizeof(path), "%.*s", (int)strcspn(uri, "?"), uri);
    if (front->config == NULL) {
        reply(front, http, 503, "No Configuration", NULL);
        return;
    }
    queue = find_queue(front, host ? host : "", path);
    if (queue == NULL) {
        FvLog_Event(Fv_LOG_INFO, "queue_unknown",
                    "host=%s path=%s config_version=%lld", host ? host : "",
                    path, (long long)front->config->version);
        reply(front, http, 404, "Not Found", NULL);
        return;
    }
    verb = find_verb(http, path + strlen(queue->prefix));
    if (verb == 0) {
        FvMetrics_Add(Fv_COUNTER_HTTP_BAD_REQUESTS, 1);
        reply(front, http, 400, "Bad Request", NULL);
        return;
    }
    take_request(front, http, verb, queue, path + strlen(queue->prefix));
}

static void
ready_request(struct evhttp_request *http, void *context)
{
    fv_frontend_t *front = context;
    bool ready = !front->draining && front->config != NULL &&
                 front->events.ready(front->events.context);

    reply(front, http, ready ? 200 : 503, ready ? "OK" : "Not Ready", NULL);
}

static void
metrics_request(struct evhttp_request *http, void *context)
{
    fv_frontend_t *front = context;
    fv_buffer_t text = {0};

    FvMetrics_Print(&text);
    evhttp_add_header(evhttp_request_get_output_headers(http), "Content-Type",
                      "text/plain; version=0.0.4");
    reply(front, http, 200, "OK", (const char *)text.data);
    FvBuffer_Clear(&text);
}

/* Gives up what waited too long and offers the rest again. */
static void
sweep(evutil_socket_t fd, short what, void *context)
{
    fv_frontend_t *front = context;
    int64_t now_ms = FvClock_NowMs();
    fv_front_request_t *request;
    fv_front_request_t *next;

    (void)fd;
    (void)what;
    for (request = front->requests; request != NULL; request = next) {
        next = request->hh.next;
        switch (FvForwarding_NextStep(&request->wait, now_ms)) {
        case Fv_FORWARDING_SEND:
            forward(front, request);
            break;
        case Fv_FORWARDING_REJECT:
            end_request(front, request, 503, "No Leader", NULL);
            break;
        case Fv_FORWARDING_TIME_OUT:
            end_request(front, request, 504, "Outcome Unknown", NULL);
            break;
        case Fv_FORWARDING_WAIT:
        default:
            break;
        }
    }
}

static struct evhttp *
serve(fv_frontend_t *front, const char *address,
      void (*handler)(struct evhttp_request *, void *))
{
    struct evhttp *server = evhttp_new(front->base);
    char ip[Fv_ADDRESS_SIZE];
    const char *colon = strchr(address, ':');

    if (server == NULL || colon == NULL) {
        return NULL;
    }
    snprintf(ip, sizeof(ip), "%.*s", (int)(colon - address), address);
    evhttp_set_max_body_size(server, Fv_BODY_MAX_BYTES);
    evhttp_set_max_headers_size(server, Fv_HEADERS_MAX_BYTES);
    evhttp_set_allowed_methods(server, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                           EVHTTP_REQ_DELETE | EVHTTP_REQ_PUT |
                                           EVHTTP_REQ_HEAD);
    evhttp_set_timeout(server, Fv_IDLE_TIMEOUT_S);
    evhttp_set_gencb(server, handler, front);
    if (evhttp_bind_socket(server, ip,
                           (uint16_t)strtoul(colon + 1, NULL, 10)) != 0) {
        FvLog_Event(Fv_LOG_ERROR, "bind_failed", "address=%s", address);
        evhttp_free(server);
        return NULL;
    }
    return server;
}

/**
 * FvFrontend_New - listen for callers, the balancer and the metrics' reader
 * @base: the event loop
 * @settings: the addresses
 * @events: what is told
 *
 * Return: the front, or NULL when an address cannot be bound.
 */
fv_frontend_t *
FvFrontend_New(struct event_base *base, const fv_entry_settings_t *settings,
               const fv_frontend_events_t *events)
{
    fv_frontend_t *front = calloc(1, sizeof(*front));
    struct timeval interval = {.tv_usec = Fv_SWEEP_MS * 1000};

    if (front == NULL) {
        return NULL;
    }
    front->base = base;
    front->settings = settings;
    front->events = *events;
    front->callers = serve(front, settings->callers_address, caller_request);
    front->ready = serve(front, settings->ready_address, ready_request);
    if (settings->metrics_address[0] != '\0') {
        front->metrics =
            serve(front, settings->metrics_address, metrics_request);
    }
    if (front->callers == NULL || front->ready == NULL) {
        FvFrontend_Free(front);
        return NULL;
    }
    front->sweep = event_new(base, -1, EV_PERSIST, sweep, front);
    event_add(front->sweep, &interval);
    return front;
}

/**
 * FvFrontend_Free - stop listening
 * @front: the front, or NULL
 */
void
FvFrontend_Free(fv_frontend_t *front)
{
    fv_front_request_t *request;
    fv_front_request_t *next;

    if (front == NULL) {
        return;
    }
    for (request = front->requests; request != NULL; request = next) {
        next = request->hh.next;
        /* uthash unlinks the entry, which the analyzer does not see. */
        /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
        HASH_DEL(front->requests, request);
        free(request);
    }
    if (front->sweep != NULL) {
        event_free(front->sweep);
    }
    if (front->callers != NULL) {
        evhttp_free(front->callers);
    }
    if (front->ready != NULL) {
        evhttp_free(front->ready);
    }
    if (front->metrics != NULL) {
        evhttp_free(front->metrics);
    }
    free(front);
}

/**
 * FvFrontend_SetConfig - apply a configuration
 * @front: the front
 * @config: the configuration, which outlives its replacement
 */
void
FvFrontend_SetConfig(fv_frontend_t *front, const fv_cell_config_t *config)
{
    front->config = config;
}

/**
 * FvFrontend_OpenRequests - requests that are not answered yet
 * @front: the front
 *
 * Return: how many.
 */
uint32_t
FvFrontend_OpenRequests(const fv_frontend_t *front)
{
    return HASH_COUNT(front->requests);
}

/**
 * FvFrontend_Drain - say to the balancer that no more connections are wanted
 * @front: the front
 */
void
FvFrontend_Drain(fv_frontend_t *front)
{
    front->draining = true;
}

/**
 * FvFrontend_LeaderChanged - offer all open requests to the new leader
 * @front: the front
 */
void
FvFrontend_LeaderChanged(fv_frontend_t *front)
{
    fv_front_request_t *request;
    fv_front_request_t *next;

    for (request = front->requests; request != NULL; request = next) {
        next = request->hh.next;
        forward(front, request);
    }
}

static void
reply_with(fv_frontend_t *front, fv_front_request_t *request, char *body)
{
    end_request(front, request, 200, "OK", body);
    free(body);
}

/**
 * FvFrontend_Reply - the leader answered a request
 * @front: the front
 * @message: the answer
 * @current: whether it is the present leader's, not an earlier one's
 */
void
FvFrontend_Reply(fv_frontend_t *front, const fv_cell_message_t *message,
                 bool current)
{
    fv_front_request_t *request = NULL;

    HASH_FIND(hh, front->requests, &message->id, sizeof(message->id), request);
    if (request == NULL) {
        return;
    }
    if (!FvForwarding_AcceptsReply((fv_reply_t)message->number, current)) {
        FvLog_Event(Fv_LOG_INFO, "old_answer_left_out",
                    "job=%s verb=%d reply=%d", request->job,
                    (int)request->verb, (int)message->number);
        return;
    }
    switch ((fv_reply_t)message->number) {
    case Fv_REPLY_ACCEPTED:
        end_request(front, request, 200, "OK", "{}");
        break;
    case Fv_REPLY_STATE:
        reply_with(front, request, FvPlatform_EncodeJobState(message->name));
        break;
    case Fv_REPLY_COUNT:
        reply_with(
            front, request,
            FvPlatform_EncodeWaitingCount(strtoll(message->name, NULL, 10)));
        break;
    case Fv_REPLY_GONE:
        end_request(front, request, 410, "Gone", NULL);
        break;
    case Fv_REPLY_REFUSED:
        retry_after(request->http, message->name);
        end_request(front, request, 503, "Not Accepted", NULL);
        break;
    case Fv_REPLY_MALFORMED:
        end_request(front, request, 400, "Bad Request", NULL);
        break;
    case Fv_REPLY_NOT_READY:
    default:
        FvForwarding_NotExecuted(
            &request->wait); /* the next sweep offers it */
        break;
    }
}
