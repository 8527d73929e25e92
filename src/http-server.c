/*
 * HTTP server for callers and operators, on CivetWeb's thread pool: routing,
 * authentication and limits. A request that passes all checks is posted to the
 * scheduler as a ticket; the HTTP thread waits for the reply.
 */

#include "daemon.h"

#include <civetweb.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <urcu.h>

/* Poll interval while a stop waits for requests in flight. */
#define Fv_STOP_POLL_MS 5
#define Fv_STOP_GRACE_MS 2000
#define Fv_STOP_IDLE_MS 300
#define Fv_STOP_BEGIN_MS 500 /* for mg_stop() to take effect */
#define Fv_WAIT_MAX_MS 60000
/* The JSON parser allows a nesting depth of 2048, and that recursion overflows
 * the small stack of a CivetWeb thread. */
#define Fv_BODY_DEPTH_MAX 32
#define Fv_RETRY_AFTER_MS 500
/* A submission with a longer wait counts as a long poll. */
#define Fv_SHORT_WAIT_MAX_MS 2000
/* Each thread has a header buffer of this size. */
#define Fv_REQUEST_HEADER_MAX "16384"
#define Fv_KEEP_ALIVE_MS "5000"
#define Fv_STRINGIFY(VALUE) #VALUE
#define Fv_TO_STRING(VALUE) Fv_STRINGIFY(VALUE)

struct fv_http_server {
    fv_daemon_t *daemon;
    struct mg_context *context;
    int threads;
    atomic_int connections;
    atomic_int in_flight;
    atomic_int long_polls;
    atomic_bool closing;            /* new connections are not read */
    _Atomic int64_t stop_called_ms; /* 0: not yet */
};

/* A request being checked and handled. */
typedef struct fv_http_call {
    fv_http_server_t *server;
    struct mg_connection *connection;
    const struct mg_request_info *info;
    const char *path;
    bool close;
} fv_http_call_t;

typedef struct fv_local_route {
    const char *path;
    void (*handle)(const fv_http_call_t *call);
} fv_local_route_t;

static void
reject(const fv_http_call_t *call, int32_t status, int64_t retry_after_ms,
       const char *detail)
{
    fv_http_reply_t reply = {.status = status,
                             .retry_after_ms = retry_after_ms,
                             .close = call->close};

    if (status < 500) {
        FvMetrics_Add(Fv_COUNTER_HTTP_BAD_REQUESTS, 1);
    }
    FvHttpReply_SendProblem(call->connection, &reply, "%s", detail);
}

static void
send_text(const fv_http_call_t *call, int32_t status, const char *type,
          const void *text, size_t length)
{
    fv_http_reply_t reply = {
        .status = status,
        .content_type = type,
        .body = text,
        .length = length,
        .close = call->close,
        .head = strcmp(call->info->request_method, "HEAD") == 0};

    FvHttpReply_Send(call->connection, &reply);
}

static void
handle_health(const fv_http_call_t *call)
{
    send_text(call, 200, "text/plain", "ok\n", 3);
}

static bool
is_ready(const fv_daemon_t *daemon)
{
    return atomic_load(&daemon->ready) && !atomic_load(&daemon->draining);
}

static void
handle_ready(const fv_http_call_t *call)
{
    if (is_ready(call->server->daemon)) {
        send_text(call, 200, "text/plain", "ready\n", 6);
    }
    else {
        send_text(call, 503, "text/plain", "not ready\n", 10);
    }
}

static void
print_gauge(fv_buffer_t *out, const char *name, const char *help,
            uint64_t value)
{
    char text[256];
    int length = snprintf(text, sizeof(text),
                          "# HELP fireflyvalve_%s %s\n"
                          "# TYPE fireflyvalve_%s gauge\n"
                          "fireflyvalve_%s %llu\n",
                          name, help, name, name, (unsigned long long)value);

    FvBuffer_Append(out, text, (size_t)length);
}

static void
handle_metrics(const fv_http_call_t *call)
{
    const fv_http_server_t *server = call->server;
    fv_buffer_t text = {0};

    print_gauge(&text, "ready", "1 when this host serves callers.",
                is_ready(server->daemon));
    print_gauge(&text, "config_version",
                "Version of the active configuration; 0: none.",
                FvConfig_ActiveVersion());
    print_gauge(&text, "http_connections", "Caller connections being served.",
                (uint64_t)atomic_load(&server->connections));
    FvMetrics_Print(&text);
    send_text(call, 200, "text/plain; version=0.0.4", text.data, text.length);
    FvBuffer_Clear(&text);
}

/* Served on the HTTP thread, without authentication. */
static const fv_local_route_t local_routes[] = {
    {"/health", handle_health},
    {"/ready", handle_ready},
    {"/metrics", handle_metrics},
};

static bool
handle_local_route(const fv_http_call_t *call)
{
    const char *method = call->info->request_method;

    for (size_t i = 0; i < sizeof(local_routes) / sizeof(local_routes[0]);
         i++) {
        if (strcmp(call->path, local_routes[i].path) != 0) {
            continue;
        }
        if (strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0) {
            local_routes[i].handle(call);
        }
        else {
            fv_http_reply_t reply = {
                .status = 405, .allow = "GET, HEAD", .close = call->close};

            FvMetrics_Add(Fv_COUNTER_HTTP_BAD_REQUESTS, 1);
            FvHttpReply_SendProblem(call->connection, &reply,
                                    "method not allowed");
        }
        return true;
    }
    return false;
}

static bool
copy_segment(const char *segment, size_t length, char param[Fv_KEY_SIZE])
{
    if (length == 0 || length >= Fv_KEY_SIZE) {
        return false;
    }
    memcpy(param, segment, length);
    param[length] = '\0';
    return FvText_IsName(param, Fv_KEY_SIZE - 1);
}

/* In a pattern, * matches one path segment that is a valid name or key. */
static bool
match_path(const char *pattern, const char *path, char params[2][Fv_KEY_SIZE])
{
    int count = 0;

    while (*pattern != '\0') {
        if (*pattern == '*') {
            size_t length = strcspn(path, "/");

            if (count == 2 || !copy_segment(path, length, params[count])) {
                return false;
            }
            count++;
            pattern++;
            path += length;
        }
        else if (*pattern++ != *path++) {
            return false;
        }
    }
    return *path == '\0';
}

static const fv_route_t *
find_route(const fv_http_call_t *call, char params[2][Fv_KEY_SIZE],
           char *allow, size_t allow_size)
{
    allow[0] = '\0';
    for (const fv_route_t *route = Fv_ROUTES; route->method != NULL; route++) {
        size_t used = strlen(allow);

        if (!match_path(route->pattern, call->path, params)) {
            continue;
        }
        if (strcmp(route->method, call->info->request_method) == 0) {
            return route;
        }
        snprintf(allow + used, allow_size - used, "%s%s", used > 0 ? ", " : "",
                 route->method);
    }
    return NULL;
}

static bool
authenticate(const fv_http_call_t *call, char member[Fv_NAME_SIZE])
{
    static const char scheme[] = "Bearer ";
    const char *header = mg_get_header(call->connection, "Authorization");
    const fv_tokens_t *tokens;
    bool authenticated = false;

    if (header == NULL || strncmp(header, scheme, strlen(scheme)) != 0) {
        return false;
    }
    rcu_read_lock();
    tokens = rcu_dereference(call->server->daemon->tokens);
    if (tokens != NULL) {
        authenticated =
            FvTokens_Authenticate(tokens, header + strlen(scheme), member);
    }
    rcu_read_unlock();
    return authenticated;
}

static bool
read_idempotency_key(const fv_http_call_t *call, fv_ticket_t *ticket)
{
    const char *key = mg_get_header(call->connection, "Idempotency-Key");

    if (key == NULL) {
        return true;
    }
    return FvText_IsName(key, Fv_KEY_SIZE - 1) &&
           FvText_Copy(ticket->idempotency_key,
                       sizeof(ticket->idempotency_key), key);
}

static bool
read_wait(const char *text, int64_t *wait_ms)
{
    size_t digits = strspn(text, "0123456789");

    if (digits == 0 || digits > 9 || text[digits] != '\0') {
        return false;
    }
    *wait_ms = strtol(text, NULL, 10);
    if (*wait_ms > Fv_WAIT_MAX_MS) {
        *wait_ms = Fv_WAIT_MAX_MS;
    }
    return true;
}

static bool
read_query(const fv_http_call_t *call, fv_ticket_t *ticket)
{
    const char *query = call->info->query_string;
    size_t length = query != NULL ? strlen(query) : 0;
    char value[16];

    if (length == 0) {
        return true;
    }
    if (mg_get_var(query, length, "answer", value, sizeof(value)) >= 0) {
        ticket->raw_answer = strcmp(value, "raw") == 0;
    }
    switch (mg_get_var(query, length, "wait_ms", value, sizeof(value))) {
    case -1: /* absent */
        return true;
    case -2: /* too long */
        return false;
    default:
        return read_wait(value, &ticket->wait_ms);
    }
}

static bool
parse_body(const fv_http_call_t *call, fv_ticket_t *ticket,
           const fv_buffer_t *body)
{
    json_error_t error;
    fv_http_reply_t reply = {.status = 400, .close = call->close};

    if (body->length == 0) {
        return true;
    }
    if (FvJson_Depth((const char *)body->data, body->length) >
        Fv_BODY_DEPTH_MAX) {
        FvMetrics_Add(Fv_COUNTER_HTTP_BAD_REQUESTS, 1);
        FvHttpReply_SendProblem(call->connection, &reply,
                                "the body nests more than %d levels",
                                Fv_BODY_DEPTH_MAX);
        return false;
    }
    ticket->body = json_loadb((const char *)body->data, body->length,
                              JSON_REJECT_DUPLICATES, &error);
    if (json_is_object(ticket->body)) {
        return true;
    }
    FvMetrics_Add(Fv_COUNTER_HTTP_BAD_REQUESTS, 1);
    if (ticket->body == NULL) {
        FvHttpReply_SendProblem(call->connection, &reply,
                                "malformed JSON at line %d, column %d",
                                error.line, error.column);
    }
    else {
        FvHttpReply_SendProblem(call->connection, &reply,
                                "the body must be a JSON object");
    }
    return false;
}

static void
reject_body(fv_http_call_t *call, fv_http_body_error_t error)
{
    call->close = true;
    switch (error) {
    case Fv_HTTP_BODY_TOO_LARGE:
        reject(call, 413, 0,
               "the body exceeds 524288 bytes; a payload has at most 262144, "
               "as payload_base64 when it needs many escapes");
        break;
    case Fv_HTTP_BODY_TIMED_OUT:
        reject(call, 408, 0, "the body did not arrive in time");
        break;
    case Fv_HTTP_BODY_NO_MEMORY:
        reject(call, 503, Fv_RETRY_AFTER_MS, "not enough memory");
        break;
    default:
        reject(call, 400, 0, "the body is incomplete");
        break;
    }
}

static bool
read_body(fv_http_call_t *call, fv_ticket_t *ticket)
{
    fv_buffer_t body = {0};
    fv_http_body_error_t error = FvHttpBody_Read(call->connection, &body);
    bool ok = false;

    if (error == Fv_HTTP_BODY_OK) {
        ok = parse_body(call, ticket, &body);
    }
    else {
        reject_body(call, error);
    }
    FvBuffer_Clear(&body);
    return ok;
}

/* Runs the checks that don't need the body. */
static bool
check_headers(fv_http_call_t *call, fv_ticket_t *ticket)
{
    const fv_daemon_t *daemon = call->server->daemon;
    bool close = call->close;
    bool ok = false;

    /* On a kept connection, an unread body would be parsed as a request. */
    call->close = true;
    if (!authenticate(call, ticket->member)) {
        reject(call, 401, 0, "a valid bearer token is required");
    }
    else if (ticket->route->rejected_while_draining &&
             atomic_load(&daemon->draining)) {
        reject(call, 503, Fv_RETRY_AFTER_MS, "this host is shutting down");
    }
    else if (ticket->route->needs_config && FvConfig_ActiveVersion() == 0) {
        reject(call, 503, Fv_RETRY_AFTER_MS,
               "this host has no configuration yet");
    }
    else if (!read_idempotency_key(call, ticket)) {
        reject(call, 400, 0,
               "Idempotency-Key must be 1 to 128 of A-Z a-z 0-9 . _ -");
    }
    else if (!read_query(call, ticket)) {
        reject(call, 400, 0, "wait_ms must be an integer of milliseconds");
    }
    else {
        call->close = close;
        ok = true;
    }
    return ok;
}

static void
run_ticket(const fv_http_call_t *call, fv_ticket_t *ticket)
{
    if (!FvTicket_Post(ticket)) {
        reject(call, 503, Fv_RETRY_AFTER_MS, "this host is overloaded");
        return;
    }
    FvTicket_Wait(ticket);
    FvHttpReply_SendTicket(call->connection, ticket, call->close);
}

static bool
is_long_poll(const fv_ticket_t *ticket)
{
    return ticket->wait_ms > 0 ||
           FvJson_Int(ticket->body, "wait_ms", 0) > Fv_SHORT_WAIT_MAX_MS;
}

/* A submission may still wait briefly, long enough for a lookup to finish. */
static void
cap_wait(fv_ticket_t *ticket)
{
    ticket->wait_ms = 0;
    if (FvJson_Int(ticket->body, "wait_ms", 0) > Fv_SHORT_WAIT_MAX_MS) {
        json_object_set_new(ticket->body, "wait_ms",
                            json_integer(Fv_SHORT_WAIT_MAX_MS));
    }
}

/*
 * At most half of the threads serve long polls, so that these can't delay
 * lookups. Further polls have their wait shortened.
 */
static void
run_with_poll_limit(const fv_http_call_t *call, fv_ticket_t *ticket)
{
    fv_http_server_t *server = call->server;
    bool long_poll = is_long_poll(ticket);

    if (long_poll &&
        atomic_fetch_add(&server->long_polls, 1) >= server->threads / 2) {
        cap_wait(ticket);
    }
    run_ticket(call, ticket);
    if (long_poll) {
        atomic_fetch_sub(&server->long_polls, 1);
    }
}

static void
handle_route(fv_http_call_t *call)
{
    char params[2][Fv_KEY_SIZE] = {"", ""};
    char allow[32];
    const fv_route_t *route = find_route(call, params, allow, sizeof(allow));
    fv_ticket_t *ticket;

    if (route == NULL) {
        fv_http_reply_t reply = {.status = allow[0] != '\0' ? 405 : 404,
                                 .allow = allow,
                                 .close = true};

        FvMetrics_Add(Fv_COUNTER_HTTP_BAD_REQUESTS, 1);
        FvHttpReply_SendProblem(call->connection, &reply, "%s",
                                allow[0] != '\0' ? "method not allowed"
                                                 : "no such path");
        return;
    }
    ticket = FvTicket_New(call->server->daemon, route);
    if (ticket == NULL) {
        call->close = true;
        reject(call, 503, Fv_RETRY_AFTER_MS, "not enough memory");
        return;
    }
    memcpy(ticket->params, params, sizeof(params));
    if (check_headers(call, ticket) && read_body(call, ticket)) {
        run_with_poll_limit(call, ticket);
    }
    FvTicket_Release(ticket);
}

/*
 * An idle keep-alive connection occupies a thread, so connections are closed
 * while more than half of the threads are in use.
 */
static bool
should_close(const fv_http_server_t *server)
{
    return atomic_load(&server->daemon->draining) ||
           atomic_load(&server->connections) > server->threads / 2;
}

static int
on_request(struct mg_connection *connection)
{
    const struct mg_request_info *info = mg_get_request_info(connection);
    fv_http_server_t *server = info->user_data;
    fv_http_call_t call = {.server = server,
                           .connection = connection,
                           .info = info,
                           .path = info->local_uri_raw};

    atomic_fetch_add(&server->in_flight, 1);
    FvMetrics_Add(Fv_COUNTER_HTTP_REQUESTS, 1);
    call.close = should_close(server);
    if (call.path == NULL) {
        call.close = true;
        reject(&call, 400, 0, "the request target must be a path");
    }
    else if (!handle_local_route(&call)) {
        handle_route(&call);
    }
    atomic_fetch_sub(&server->in_flight, 1);
    return 1;
}

static int
on_error(struct mg_connection *connection, int status, const char *message)
{
    /* CivetWeb reports a malformed Content-Length as 411. */
    fv_http_reply_t reply = {.status = status == 411 ? 400 : status,
                             .close = true};

    FvMetrics_Add(Fv_COUNTER_HTTP_BAD_REQUESTS, 1);
    FvHttpReply_SendProblem(connection, &reply, "%s", message);
    return 0;
}

static int
on_log(const struct mg_connection *connection, const char *message)
{
    (void)connection;
    FvLog_Event(Fv_LOG_WARN, "http_server", "message=%s", message);
    return 1;
}

static fv_http_server_t *
get_server(const struct mg_connection *connection)
{
    return mg_get_user_data(mg_get_context(connection));
}

static void
pause_thread(void)
{
    const struct timespec pause = {.tv_nsec = Fv_STOP_POLL_MS * Fv_NS_PER_MS};

    nanosleep(&pause, NULL);
}

/* CivetWeb reads nothing after mg_stop() has begun, and can write no reply to
 * what it has read before. */
static void
hold_until_stopping(const fv_http_server_t *server)
{
    while (atomic_load(&server->closing)) {
        int64_t called_ms = atomic_load(&server->stop_called_ms);

        if (called_ms != 0 && FvClock_NowMs() > called_ms + Fv_STOP_BEGIN_MS) {
            return;
        }
        pause_thread();
    }
}

static int
on_connection(const struct mg_connection *connection, void **data)
{
    fv_http_server_t *server = get_server(connection);

    (void)data;
    hold_until_stopping(server);
    atomic_fetch_add(&server->connections, 1);
    return 0;
}

static void
on_connection_closed(const struct mg_connection *connection)
{
    atomic_fetch_sub(&get_server(connection)->connections, 1);
}

static void *
on_thread_start(const struct mg_context *context, int type)
{
    (void)context;
    (void)type;
    rcu_register_thread();
    return NULL;
}

static void
on_thread_exit(const struct mg_context *context, int type, void *pointer)
{
    (void)context;
    (void)type;
    (void)pointer;
    rcu_unregister_thread();
}

static const struct mg_callbacks server_callbacks = {
    .begin_request = on_request,
    .log_message = on_log,
    .http_error = on_error,
    .init_connection = on_connection,
    .connection_closed = on_connection_closed,
    .init_thread = on_thread_start,
    .exit_thread = on_thread_exit,
};

/**
 * FvHttpServer_New - start listening and serving requests
 * @daemon: the daemon; its loop, tokens and settings must be set
 *
 * Return: the server, or NULL when it can't listen on the address or memory is
 * exhausted.
 */
fv_http_server_t *
FvHttpServer_New(fv_daemon_t *daemon)
{
    fv_http_server_t *server = calloc(1, sizeof(*server));
    char threads[16];
    const char *options[] = {
        "listening_ports", daemon->settings.http_address, "num_threads",
        threads, "request_timeout_ms", Fv_TO_STRING(Fv_HTTP_READ_TIMEOUT_MS),
        "enable_keep_alive", "yes", "keep_alive_timeout_ms", Fv_KEEP_ALIVE_MS,
        "max_request_size", Fv_REQUEST_HEADER_MAX, "tcp_nodelay", "1",
        /* Decoding an escaped NUL would truncate the path. */
        "decode_url", "no", NULL};

    if (server == NULL) {
        return NULL;
    }
    server->daemon = daemon;
    server->threads = daemon->settings.http_threads;
    snprintf(threads, sizeof(threads), "%d", server->threads);
    mg_init_library(0);
    server->context = mg_start(&server_callbacks, server, options);
    if (server->context == NULL) {
        FvLog_Event(Fv_LOG_ERROR, "http_listen_failed", "address=%s",
                    daemon->settings.http_address);
        mg_exit_library();
        free(server);
        return NULL;
    }
    return server;
}

/* mg_stop() would abort responses that are being written. A kept connection
 * closes after its next response; idle ones are not waited for. */
static void
wait_for_in_flight(const fv_http_server_t *server)
{
    int64_t now_ms = FvClock_NowMs();
    int64_t deadline_ms =
        now_ms + Fv_STOP_GRACE_MS + server->daemon->settings.drain_timeout_ms;
    int64_t idle_deadline_ms = now_ms + Fv_STOP_IDLE_MS;

    while (now_ms < deadline_ms && (atomic_load(&server->in_flight) > 0 ||
                                    (atomic_load(&server->connections) > 0 &&
                                     now_ms < idle_deadline_ms))) {
        pause_thread();
        now_ms = FvClock_NowMs();
    }
}

/**
 * FvHttpServer_Free - complete the requests in flight and stop the server
 * @server: the server, or NULL
 *
 * daemon->draining must be set, and the scheduler must still be running to
 * reply to waiting requests.
 */
void
FvHttpServer_Free(fv_http_server_t *server)
{
    if (server == NULL) {
        return;
    }
    atomic_store(&server->closing, true);
    wait_for_in_flight(server);
    atomic_store(&server->stop_called_ms, FvClock_NowMs());
    mg_stop(server->context);
    mg_exit_library();
    free(server);
}
