/*
 * HTTP frontend: serves callers, the load balancer's readiness checks and the
 * metrics. It maps a request to a queue by host name and path, finds the
 * customer by the key and forwards the request to the leader; while a new
 * leader is being elected it holds the request.
 */

#include "caller-answer.h"
#include "caller-connection.h"
#include "entry.h"
#include "forwarding.h"
#include "route.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>

#define Fv_SWEEP_MS 50

/* A request with a longer deadline is answered as if it had this one. The
 * users' callers wait for 3 s, and a request without an answer keeps its
 * connection. */
#define Fv_DEADLINE_MAX_MS 60000

/* Checks of the balancer and scrapes have no body. */
#define Fv_OTHER_BODY_MAX_BYTES 1024

/* Lines below warn that a fault of all requests may add to the log. */
#define Fv_REFUSAL_LOG_LINES_PER_S 10

typedef struct fv_frontend_request {
    int64_t id;
    struct evhttp_request *http;
    fv_verb_t verb;
    char queue[Fv_NAME_SIZE];
    char job[Fv_JOB_ID_SIZE];
    char customer[Fv_NAME_SIZE];
    int64_t checked_version; /* of the configuration that gave the customer */
    fv_forwarding_t forwarding;
    UT_hash_handle hh;
} fv_frontend_request_t;

struct fv_frontend {
    struct event_base *base;
    const fv_entry_settings_t *settings;
    fv_frontend_events_t events;
    const fv_cell_config_t *config;
    fv_customers_t *customers; /* of the configuration */
    bool had_customers;        /* in this or an earlier configuration */
    fv_caller_connections_t *connections;
    struct evhttp *callers;
    struct evhttp *ready;
    struct evhttp *metrics;
    struct event *sweep;
    fv_frontend_request_t *requests;
    int64_t last_id;
    fv_outage_t outage; /* of all leaders */
    fv_log_quota_t cancel_log;
    fv_log_quota_t refusal_log;
    fv_log_quota_t key_log;
    fv_log_quota_t unknown_log;
    bool draining;
    bool refusing; /* the process is about to end */
};

static void
send_reply(fv_frontend_t *frontend, struct evhttp_request *http, int status,
           const char *reason, const char *body)
{
    struct evkeyvalq *headers = evhttp_request_get_output_headers(http);
    struct evbuffer *buffer = evbuffer_new();
    fv_retry_after_t text;

    if (body != NULL && buffer != NULL) {
        if (evhttp_find_header(headers, "Content-Type") == NULL) {
            evhttp_add_header(headers, "Content-Type", "application/json");
        }
        evbuffer_add(buffer, body, strlen(body));
    }
    if (status == 429 || status == 503) {
        FvCallerAnswer_AddRetryAfter(
            http,
            FvOutage_RetryAfter(&frontend->outage, FvClock_NowMs(), &text));
    }
    /* What the caller has sent on is served before the connection ends. */
    if (frontend->draining && !FvCallerConnections_HasInput(http)) {
        evhttp_add_header(headers, "Connection", "close");
    }
    evhttp_send_reply(http, status, reason, buffer);
    if (buffer != NULL) {
        evbuffer_free(buffer);
    }
}

static fv_log_level_t
answer_log_level(fv_frontend_t *frontend, const fv_frontend_request_t *request,
                 int status)
{
    if (status >= 500 || status == 429) {
        return Fv_LOG_INFO;
    }
    return request->verb == Fv_VERB_CANCEL
               ? FvLog_LevelWithin(&frontend->cancel_log,
                                   Fv_CANCEL_LOG_LINES_PER_S, FvClock_NowMs())
               : Fv_LOG_DEBUG;
}

/* @leader: the host whose answer it is; "": this host's own */
static void
end_request(fv_frontend_t *frontend, fv_frontend_request_t *request,
            int status, const char *reason, const char *body,
            const char *leader)
{
    int64_t took_ms = FvClock_NowMs() - request->forwarding.arrived_ms;

    FvLog_Event(
        answer_log_level(frontend, request, status), "request_answered",
        "job=%s verb=%d queue=%s status=%d took_ms=%lld sent=%d "
        "leader=%s",
        request->job, (int)request->verb, request->queue, status,
        (long long)took_ms,
        FvForwarding_MayHaveExecuted(&request->forwarding) ? 1 : 0, leader);
    FvMetrics_Record(Fv_TIMING_WAIT, Fv_CLASS_INTERACTIVE, request->queue,
                     took_ms * 1000);
    HASH_DEL(frontend->requests, request);
    send_reply(frontend, request->http, status, reason, body);
    free(request);
}

static fv_caller_verdict_t
check_caller(const fv_frontend_t *frontend, struct evhttp_request *http,
             const fv_cell_queue_t *queue, char customer[Fv_NAME_SIZE])
{
    const char *key = evhttp_find_header(
        evhttp_request_get_input_headers(http), FvPlatform_KeyHeader);
    const char *name;
    fv_caller_verdict_t verdict =
        FvCustomers_CheckCaller(frontend->customers, queue, key, &name);

    FvText_Copy(customer, Fv_NAME_SIZE, name);
    return verdict;
}

/* Counts and logs a call without a known key. Returns the body of its answer,
 * which the caller frees. */
static char *
start_key_refusal(fv_frontend_t *frontend, struct evhttp_request *http,
                  fv_caller_verdict_t verdict, const char *queue,
                  const char *job)
{
    bool missing = verdict == Fv_CALLER_WITHOUT_KEY;

    FvMetrics_Add(Fv_COUNTER_KEYS_REFUSED, 1);
    FvLog_Event(FvLog_LevelWithin(&frontend->key_log,
                                  Fv_REFUSAL_LOG_LINES_PER_S, FvClock_NowMs()),
                "key_refused", "job=%s queue=%s cause=%s config_version=%lld",
                job, queue, missing ? "no_key" : "unknown_key",
                (long long)frontend->config->version);
    return FvCallerAnswer_StartProblem(http, 401, "Unauthorized",
                                       missing ? "the request has no key"
                                               : "the key is not known");
}

/* Checks a request again that is about to be sent by another configuration
 * than the one it was checked by. Returns false if it has been answered. */
static bool
recheck_request(fv_frontend_t *frontend, fv_frontend_request_t *request)
{
    fv_caller_verdict_t verdict;
    char *body;

    if (request->checked_version == frontend->config->version) {
        return true;
    }
    verdict =
        check_caller(frontend, request->http,
                     FvRoute_FindQueueByName(frontend->config, request->queue),
                     request->customer);
    request->checked_version = frontend->config->version;
    if (verdict == Fv_CALLER_ADMITTED) {
        return true;
    }
    if (FvForwarding_MayHaveExecuted(&request->forwarding)) {
        end_request(frontend, request, 504, "Outcome Unknown", NULL, "");
        return false;
    }
    body = start_key_refusal(frontend, request->http, verdict, request->queue,
                             request->job);
    end_request(frontend, request, 401, "Unauthorized", body, "");
    free(body);
    return false;
}

/* May end the request. */
static void
forward_request(fv_frontend_t *frontend, fv_frontend_request_t *request)
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
    fv_forwarding_t before = request->forwarding;

    if (!recheck_request(frontend, request)) {
        return;
    }
    message.customer = request->customer;
    if (frontend->had_customers) {
        message.check = (fv_caller_check_t){
            .digest = frontend->config->customers_digest,
            .config_version = frontend->config->version,
            .waited_ms = FvClock_NowMs() - request->forwarding.arrived_ms,
        };
    }
    FvForwarding_Sent(&request->forwarding);
    /* When this host leads, the reply may arrive and free the request before
     * the call returns. */
    if (!frontend->events.forward(frontend->events.context, &message)) {
        request->forwarding = before;
    }
}

/* Refuses a request that no leader has been asked about. */
static void
refuse_request(fv_frontend_t *frontend, struct evhttp_request *http,
               const char *path, const char *cause, const char *reason)
{
    FvMetrics_Add(Fv_COUNTER_HTTP_NOT_FORWARDED, 1);
    FvLog_Event(FvLog_LevelWithin(&frontend->refusal_log,
                                  Fv_REFUSAL_LOG_LINES_PER_S, FvClock_NowMs()),
                "request_refused", "path=%s cause=%s", path, cause);
    send_reply(frontend, http, 503, reason, NULL);
}

static void
accept_request(fv_frontend_t *frontend, struct evhttp_request *http,
               fv_verb_t verb, const fv_cell_queue_t *queue, const char *job,
               const char *customer)
{
    fv_frontend_request_t *request = calloc(1, sizeof(*request));

    if (request == NULL) {
        refuse_request(frontend, http, queue->prefix, "no_memory",
                       "Out of Memory");
        return;
    }
    request->id = ++frontend->last_id;
    request->http = http;
    request->verb = verb;
    FvText_Copy(request->queue, sizeof(request->queue), queue->name);
    FvText_Copy(request->job, sizeof(request->job), job);
    FvText_Copy(request->customer, sizeof(request->customer), customer);
    request->checked_version = frontend->config->version;
    request->forwarding =
        (fv_forwarding_t){.arrived_ms = FvClock_NowMs(),
                          .timeout_ms = FvRoute_TimeoutMs(evhttp_find_header(
                              evhttp_request_get_input_headers(http),
                              FvPlatform_DeadlineHeader))};
    HASH_ADD(hh, frontend->requests, id, sizeof(request->id), request);
    forward_request(frontend, request);
}

/* With customers, a configuration that may be outdated is no reason to refuse
 * a call for good: its route or key may have been added since. */
static bool
refuse_if_outdated(fv_frontend_t *frontend, struct evhttp_request *http,
                   const char *path)
{
    bool outdated =
        frontend->had_customers &&
        !frontend->events.is_config_current(frontend->events.context);

    if (outdated) {
        refuse_request(frontend, http, path, "configuration_outdated",
                       "Configuration Outdated");
    }
    return outdated;
}

static void
refuse_route(fv_frontend_t *frontend, struct evhttp_request *http,
             const char *host, const char *path)
{
    if (!refuse_if_outdated(frontend, http, path)) {
        FvLog_Event(Fv_LOG_INFO, "queue_unknown",
                    "host=%s path=%s config_version=%lld", host, path,
                    (long long)frontend->config->version);
        send_reply(frontend, http, 404, "Not Found", NULL);
    }
}

static void
refuse_key(fv_frontend_t *frontend, struct evhttp_request *http,
           fv_caller_verdict_t verdict, const fv_cell_queue_t *queue,
           const char *path)
{
    char *body;

    if (!refuse_if_outdated(frontend, http, path)) {
        body = start_key_refusal(frontend, http, verdict, queue->name,
                                 path + strlen(queue->prefix));
        send_reply(frontend, http, 401, "Unauthorized", body);
        free(body);
    }
}

static void
handle_caller_request(struct evhttp_request *http, void *context)
{
    fv_frontend_t *frontend = context;
    const char *host =
        evhttp_find_header(evhttp_request_get_input_headers(http), "Host");
    const char *uri = evhttp_request_get_uri(http);
    char path[Fv_URL_SIZE];
    char customer[Fv_NAME_SIZE];
    const fv_cell_queue_t *queue;
    fv_caller_verdict_t verdict;
    fv_verb_t verb;

    FvMetrics_Add(Fv_COUNTER_HTTP_REQUESTS, 1);
    FvCallerConnections_RequestRead(frontend->connections, http);
    snprintf(path, sizeof(path), "%.*s", (int)strcspn(uri, "?"), uri);
    if (frontend->refusing) {
        refuse_request(frontend, http, path, "shutting_down", "Shutting Down");
        return;
    }
    if (!FvCallerConnections_HasRoom(frontend->connections)) {
        refuse_request(frontend, http, path, "caller_memory", "Out of Memory");
        return;
    }
    if (frontend->config == NULL) {
        refuse_request(frontend, http, path, "no_configuration",
                       "No Configuration");
        return;
    }
    queue = FvRoute_FindQueue(frontend->config, host ? host : "", path);
    if (queue == NULL) {
        refuse_route(frontend, http, host ? host : "", path);
        return;
    }
    verdict = check_caller(frontend, http, queue, customer);
    if (verdict != Fv_CALLER_ADMITTED) {
        refuse_key(frontend, http, verdict, queue, path);
        return;
    }
    verb = FvRoute_FindVerb(evhttp_request_get_command(http),
                            path + strlen(queue->prefix));
    if (verb == 0) {
        FvMetrics_Add(Fv_COUNTER_HTTP_BAD_REQUESTS, 1);
        send_reply(frontend, http, 400, "Bad Request", NULL);
        return;
    }
    accept_request(frontend, http, verb, queue, path + strlen(queue->prefix),
                   customer);
}

static void
handle_ready_request(struct evhttp_request *http, void *context)
{
    fv_frontend_t *frontend = context;
    bool ready = !frontend->draining && frontend->config != NULL &&
                 frontend->events.ready(frontend->events.context);

    FvCallerConnections_RequestRead(frontend->connections, http);
    send_reply(frontend, http, ready ? 200 : 503, ready ? "OK" : "Not Ready",
               NULL);
}

static void
handle_metrics_request(struct evhttp_request *http, void *context)
{
    fv_frontend_t *frontend = context;
    fv_buffer_t text = {0};

    FvCallerConnections_RequestRead(frontend->connections, http);
    FvMetrics_Print(&text);
    evhttp_add_header(evhttp_request_get_output_headers(http), "Content-Type",
                      "text/plain; version=0.0.4");
    send_reply(frontend, http, 200, "OK", (const char *)text.data);
    FvBuffer_Clear(&text);
}

/* Times out requests that have waited too long and sends the unsent ones. */
static void
sweep(evutil_socket_t fd, short what, void *context)
{
    fv_frontend_t *frontend = context;
    int64_t now_ms = FvClock_NowMs();
    fv_frontend_request_t *request;
    fv_frontend_request_t *next;

    (void)fd;
    (void)what;
    FvCallerConnections_Reap(frontend->connections);
    for (request = frontend->requests; request != NULL; request = next) {
        next = request->hh.next;
        switch (FvForwarding_NextStep(&request->forwarding, now_ms)) {
        case Fv_FORWARDING_SEND:
            forward_request(frontend, request);
            break;
        case Fv_FORWARDING_REJECT:
            FvOutage_Refused(&frontend->outage, now_ms);
            end_request(frontend, request, 503, "No Leader", NULL, "");
            break;
        case Fv_FORWARDING_TIME_OUT:
            end_request(frontend, request, 504, "Outcome Unknown", NULL, "");
            break;
        case Fv_FORWARDING_WAIT:
        default:
            break;
        }
    }
}

static struct evhttp *
listen_http(fv_frontend_t *frontend, fv_caller_port_t port,
            const char *address,
            void (*handler)(struct evhttp_request *, void *))
{
    struct evhttp *server = evhttp_new(frontend->base);
    int32_t idle_ms = frontend->settings->callers.idle_ms;
    struct timeval idle = {.tv_sec = idle_ms / Fv_MS_PER_S,
                           .tv_usec =
                               idle_ms % Fv_MS_PER_S * (int)Fv_US_PER_MS};
    struct sockaddr_in parsed;

    if (server == NULL || !FvText_ParseAddress(address, &parsed)) {
        return NULL;
    }
    evhttp_set_max_body_size(server, port == Fv_CALLER_PORT_CALLERS
                                         ? Fv_BODY_MAX_BYTES
                                         : Fv_OTHER_BODY_MAX_BYTES);
    evhttp_set_max_headers_size(server, Fv_HEADERS_MAX_BYTES);
    evhttp_set_allowed_methods(server, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                           EVHTTP_REQ_DELETE | EVHTTP_REQ_PUT |
                                           EVHTTP_REQ_HEAD);
    evhttp_set_timeout_tv(server, &idle);
    evhttp_set_gencb(server, handler, frontend);
    FvCallerConnections_Attach(frontend->connections, server, port);
    if (!FvCallerConnections_Listen(frontend->connections, port, &parsed)) {
        FvLog_Event(Fv_LOG_ERROR, "bind_failed", "address=%s", address);
        evhttp_free(server);
        return NULL;
    }
    return server;
}

/**
 * FvFrontend_New - listen for callers, the load balancer and metrics scrapes
 * @base: the event loop
 * @settings: the addresses
 * @events: callbacks
 *
 * Return: the frontend, or NULL when an address cannot be bound.
 */
fv_frontend_t *
FvFrontend_New(struct event_base *base, const fv_entry_settings_t *settings,
               const fv_frontend_events_t *events)
{
    fv_frontend_t *frontend = calloc(1, sizeof(*frontend));
    struct timeval interval = {.tv_usec = Fv_SWEEP_MS * 1000};
    fv_caller_limits_t limits;

    if (frontend == NULL) {
        return NULL;
    }
    FvCallerLimits_Derive(&limits, &settings->callers, settings->memory_mb,
                          settings->descriptors_max - Fv_DESCRIPTORS_RESERVED);
    frontend->base = base;
    frontend->settings = settings;
    frontend->events = *events;
    frontend->connections = FvCallerConnections_New(base, &limits);
    if (frontend->connections == NULL) {
        free(frontend);
        return NULL;
    }
    frontend->callers =
        listen_http(frontend, Fv_CALLER_PORT_CALLERS,
                    settings->callers_address, handle_caller_request);
    frontend->ready =
        listen_http(frontend, Fv_CALLER_PORT_READY, settings->ready_address,
                    handle_ready_request);
    if (settings->metrics_address[0] != '\0') {
        frontend->metrics =
            listen_http(frontend, Fv_CALLER_PORT_METRICS,
                        settings->metrics_address, handle_metrics_request);
    }
    if (frontend->callers == NULL || frontend->ready == NULL) {
        FvFrontend_Free(frontend);
        return NULL;
    }
    FvLog_Event(Fv_LOG_INFO, "caller_limits",
                "connections_max=%u ready_max=%u metrics_max=%u "
                "memory_max=%lld",
                limits.connections_max[Fv_CALLER_PORT_CALLERS],
                limits.connections_max[Fv_CALLER_PORT_READY],
                limits.connections_max[Fv_CALLER_PORT_METRICS],
                (long long)limits.memory_max_bytes);
    frontend->sweep = event_new(base, -1, EV_PERSIST, sweep, frontend);
    event_add(frontend->sweep, &interval);
    return frontend;
}

/**
 * FvFrontend_Free - stop listening; open requests are not answered
 * @frontend: the frontend, or NULL
 */
void
FvFrontend_Free(fv_frontend_t *frontend)
{
    fv_frontend_request_t *request;
    fv_frontend_request_t *next;

    if (frontend == NULL) {
        return;
    }
    for (request = frontend->requests; request != NULL; request = next) {
        next = request->hh.next;
        /* uthash unlinks the entry, which the analyzer does not see. */
        /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
        HASH_DEL(frontend->requests, request);
        free(request);
    }
    if (frontend->sweep != NULL) {
        event_free(frontend->sweep);
    }
    if (frontend->callers != NULL) {
        evhttp_free(frontend->callers);
    }
    if (frontend->ready != NULL) {
        evhttp_free(frontend->ready);
    }
    if (frontend->metrics != NULL) {
        evhttp_free(frontend->metrics);
    }
    FvCallerConnections_Free(frontend->connections);
    FvCustomers_Free(frontend->customers);
    free(frontend);
}

/**
 * FvFrontend_SetConfig - apply a configuration
 * @frontend: the frontend
 * @config: the configuration; must stay valid until the next call
 * @customers: its customers; owned by the frontend from now on
 *
 * Requests that are sent from now on are checked by it, also those that came
 * before.
 */
void
FvFrontend_SetConfig(fv_frontend_t *frontend, const fv_cell_config_t *config,
                     fv_customers_t *customers)
{
    FvCustomers_Free(frontend->customers);
    frontend->customers = customers;
    frontend->config = config;
    frontend->had_customers = frontend->had_customers || config->has_customers;
}

/**
 * FvFrontend_OpenRequests - number of requests that are not answered yet
 * @frontend: the frontend
 *
 * Return: the number.
 */
uint32_t
FvFrontend_OpenRequests(const fv_frontend_t *frontend)
{
    return HASH_COUNT(frontend->requests);
}

/**
 * FvFrontend_CountTraffic - count what is unfinished on connections
 * @frontend: the frontend
 * @traffic: filled in
 */
void
FvFrontend_CountTraffic(const fv_frontend_t *frontend,
                        fv_caller_traffic_t *traffic)
{
    FvCallerConnections_Count(frontend->connections, traffic);
}

/**
 * FvFrontend_Drain - report not ready, and close connections after each answer
 * @frontend: the frontend
 *
 * A connection on which the caller has sent more stays until that is answered.
 */
void
FvFrontend_Drain(fv_frontend_t *frontend)
{
    frontend->draining = true;
    FvCallerConnections_Linger(frontend->connections);
}

/**
 * FvFrontend_StopAccepting - accept no more connections of callers
 * @frontend: the frontend
 * @at_once: also when the kernel has connections that were not accepted yet,
 *           which it then resets; otherwise call again
 */
void
FvFrontend_StopAccepting(fv_frontend_t *frontend, bool at_once)
{
    FvCallerConnections_StopListening(frontend->connections,
                                      Fv_CALLER_PORT_CALLERS, at_once);
}

/**
 * FvFrontend_IsAccepting - whether connections of callers are accepted
 * @frontend: the frontend
 *
 * Return: true until FvFrontend_StopAccepting() has taken effect.
 */
bool
FvFrontend_IsAccepting(const fv_frontend_t *frontend)
{
    return FvCallerConnections_IsListening(frontend->connections,
                                           Fv_CALLER_PORT_CALLERS);
}

/**
 * FvFrontend_AnswerAll - answer all open requests, and refuse further ones
 * @frontend: the frontend
 *
 * A request that no leader can have executed is rejected; the outcome of any
 * other is unknown.
 */
void
FvFrontend_AnswerAll(fv_frontend_t *frontend)
{
    fv_frontend_request_t *request;
    fv_frontend_request_t *next;

    frontend->refusing = true;
    for (request = frontend->requests; request != NULL; request = next) {
        next = request->hh.next;
        if (FvForwarding_MayHaveExecuted(&request->forwarding)) {
            end_request(frontend, request, 504, "Outcome Unknown", NULL, "");
        }
        else {
            end_request(frontend, request, 503, "Shutting Down", NULL, "");
        }
    }
}

/**
 * FvFrontend_LeaderLost - note that the leader will not reply any more
 * @frontend: the frontend
 */
void
FvFrontend_LeaderLost(fv_frontend_t *frontend)
{
    for (fv_frontend_request_t *request = frontend->requests; request != NULL;
         request = request->hh.next) {
        FvForwarding_LeaderLost(&request->forwarding);
    }
}

/**
 * FvFrontend_LeaderChanged - forward all open requests to the new leader
 * @frontend: the frontend
 */
void
FvFrontend_LeaderChanged(fv_frontend_t *frontend)
{
    fv_frontend_request_t *request;
    fv_frontend_request_t *next;

    FvFrontend_LeaderLost(frontend);
    for (request = frontend->requests; request != NULL; request = next) {
        next = request->hh.next;
        forward_request(frontend, request);
    }
}

static void
reply_with_body(fv_frontend_t *frontend, fv_frontend_request_t *request,
                char *body, const char *leader)
{
    end_request(frontend, request, 200, "OK", body, leader);
    free(body);
}

static void
refuse_customer(fv_frontend_t *frontend, fv_frontend_request_t *request,
                const char *leader)
{
    char *body =
        FvCallerAnswer_StartProblem(request->http, 403, "Forbidden",
                                    "the job belongs to another customer");

    FvMetrics_Add(Fv_COUNTER_CUSTOMERS_REFUSED, 1);
    FvLog_Event(FvLog_LevelWithin(&frontend->key_log,
                                  Fv_REFUSAL_LOG_LINES_PER_S, FvClock_NowMs()),
                "customer_refused", "job=%s queue=%s customer=%s verb=%d",
                request->job, request->queue, request->customer,
                (int)request->verb);
    end_request(frontend, request, 403, "Forbidden", body, leader);
    free(body);
}

/**
 * FvFrontend_Reply - handle a leader's reply to a request
 * @frontend: the frontend
 * @message: the reply
 * @current: whether it comes from the current leader, not an earlier one
 */
void
FvFrontend_Reply(fv_frontend_t *frontend, const fv_cell_message_t *message,
                 bool current)
{
    fv_frontend_request_t *request = NULL;

    HASH_FIND(hh, frontend->requests, &message->id, sizeof(message->id),
              request);
    if (request == NULL) {
        return;
    }
    if (!FvForwarding_AcceptsReply((fv_reply_t)message->number, current)) {
        FvLog_Event(Fv_LOG_INFO, "old_answer_left_out",
                    "job=%s verb=%d reply=%d", request->job,
                    (int)request->verb, (int)message->number);
        return;
    }
    FvOutage_Answered(&frontend->outage, (fv_reply_t)message->number);
    switch ((fv_reply_t)message->number) {
    case Fv_REPLY_ACCEPTED:
        end_request(frontend, request, 200, "OK", "{}", message->key);
        break;
    case Fv_REPLY_STATE:
        reply_with_body(frontend, request,
                        FvPlatform_EncodeJobState(message->name),
                        message->key);
        break;
    case Fv_REPLY_COUNT:
        reply_with_body(
            frontend, request,
            FvPlatform_EncodeWaitingCount(strtoll(message->name, NULL, 10)),
            message->key);
        break;
    case Fv_REPLY_GONE:
        end_request(frontend, request, 410, "Gone", NULL, message->key);
        break;
    case Fv_REPLY_REFUSED:
        FvCallerAnswer_AddRetryAfter(request->http, message->name);
        end_request(frontend, request, 503, "Not Accepted", NULL,
                    message->key);
        break;
    case Fv_REPLY_MALFORMED:
        end_request(frontend, request, 400, "Bad Request", NULL, message->key);
        break;
    case Fv_REPLY_EXCESS:
        FvCallerAnswer_AddRetryAfter(request->http, message->name);
        end_request(frontend, request, 429, "Too Many Requests", NULL,
                    message->key);
        break;
    case Fv_REPLY_FORBIDDEN:
        refuse_customer(frontend, request, message->key);
        break;
    case Fv_REPLY_NOT_READY:
    default:
        FvForwarding_NotExecuted(
            &request->forwarding); /* the next sweep retries */
        /* The leader has returned it with a newer configuration. */
        if (request->checked_version != frontend->config->version) {
            forward_request(frontend, request);
        }
        break;
    }
}
