/*
 * HTTP server shared by the fakes, on CivetWeb.
 */

#include "fake-server.h"
#include "fireflyvalve.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* A payload of 16 MiB in base64 fits. The connection of a larger request is
 * closed. */
#define FAKE_BODY_MAX_BYTES (32 * 1024 * 1024)
#define FAKE_READ_BYTES (64 * 1024)
/* Longer than clients keep an idle connection, so that the server never closes
 * a connection on which a client is sending a request. */
#define FAKE_KEEP_ALIVE_MS "120000"

struct fake_server {
    struct mg_context *server;
    fake_handler_t handler;
    void *context;
    int port;
    int connections_max; /* 0: no limit */
    atomic_int connections;
    atomic_int refused;
};

typedef struct fake_connection {
    int64_t connected_ns;
    uint32_t replies;
    bool open;
    bool refused; /* beyond the limit; its first request is dropped */
} fake_connection_t;

/* CivetWeb serves a connection on one thread from its start to its end, and
 * drops the connection's user data before it tells of the end. */
static _Thread_local fake_connection_t current;

/* Appends the bytes available; false at the end of the body or when it exceeds
 * the limit. */
static bool
read_part(fake_request_t *request, size_t *capacity)
{
    int got;

    if (request->body_length + FAKE_READ_BYTES + 1 > *capacity) {
        *capacity = *capacity * 2 + FAKE_READ_BYTES + 1;
        request->body = realloc(request->body, *capacity);
        if (request->body == NULL) {
            abort();
        }
    }
    got = mg_read(request->connection, request->body + request->body_length,
                  FAKE_READ_BYTES);
    if (got <= 0) {
        return false;
    }
    request->body_length += (size_t)got;
    return request->body_length <= FAKE_BODY_MAX_BYTES;
}

static bool
read_body(fake_request_t *request, const struct mg_request_info *info)
{
    const char *expect = mg_get_header(request->connection, "Expect");
    size_t capacity = 0;

    if (expect != NULL && strcmp(expect, "100-continue") == 0) {
        mg_printf(request->connection, "HTTP/1.1 100 Continue\r\n\r\n");
    }
    while (read_part(request, &capacity)) {
    }
    request->body[request->body_length] = 0;
    if (info->content_length > 0) {
        return request->body_length == (size_t)info->content_length;
    }
    return request->body_length <= FAKE_BODY_MAX_BYTES;
}

static int
handle_connection(struct mg_connection *connection)
{
    const struct mg_request_info *info = mg_get_request_info(connection);
    fake_server_t *server = info->user_data;
    fake_request_t request = {.connection = connection,
                              .method = info->request_method,
                              .path = info->local_uri,
                              .query = info->query_string,
                              .socket = -1};

    if (!current.refused && read_body(&request, info)) {
        server->handler(&request, server->context);
    }
    else {
        FvFake_Drop(&request);
    }
    free(request.body);
    return 200;
}

static int
count_connection(const struct mg_connection *connection, void **data)
{
    fake_server_t *server = mg_get_user_data(mg_get_context(connection));

    (void)data;
    current =
        (fake_connection_t){.connected_ns = FvClock_NowNs(), .open = true};
    if (atomic_fetch_add(&server->connections, 1) >= server->connections_max &&
        server->connections_max > 0) {
        atomic_fetch_sub(&server->connections, 1);
        atomic_fetch_add(&server->refused, 1);
        current.refused = true;
    }
    return 0;
}

static void
uncount_connection(const struct mg_connection *connection)
{
    fake_server_t *server = mg_get_user_data(mg_get_context(connection));

    if (current.open && !current.refused) {
        atomic_fetch_sub(&server->connections, 1);
    }
    current.open = false;
}

/* civetweb reports a missing thread only by this message, and serves with the
 * threads that it has. */
static const char missing_thread[] = "Cannot start worker thread";
static atomic_bool thread_is_missing;

static int
print_message(const struct mg_connection *connection, const char *message)
{
    (void)connection;
    fprintf(stderr, "civetweb: %s\n", message);
    if (strncmp(message, missing_thread, strlen(missing_thread)) == 0) {
        atomic_store(&thread_is_missing, true);
    }
    return 1;
}

/**
 * FvFakeServer_Start - start a server with a thread pool
 * @address: IP:PORT to listen on
 * @threads: connections served at the same time, idle ones included
 * @handler: called for every request, from several threads
 * @context: passed to the handler
 *
 * Return: the server, or NULL when the address cannot be used or a thread is
 * missing: tests rely on the number of connections that are served.
 */
fake_server_t *
FvFakeServer_Start(const char *address, int threads, fake_handler_t handler,
                   void *context)
{
    fake_server_t *server = calloc(1, sizeof(*server));
    struct mg_callbacks callbacks = {.begin_request = handle_connection,
                                     .init_connection = count_connection,
                                     .connection_closed = uncount_connection,
                                     .log_message = print_message};
    char count[16];
    const char *options[] = {"listening_ports",
                             address,
                             "num_threads",
                             count,
                             "enable_keep_alive",
                             "yes",
                             "keep_alive_timeout_ms",
                             FAKE_KEEP_ALIVE_MS,
                             "request_timeout_ms",
                             FAKE_KEEP_ALIVE_MS,
                             "connection_queue",
                             "1024",
                             "listen_backlog",
                             "1024",
                             "tcp_nodelay",
                             "1",
                             NULL};

    if (server == NULL) {
        return NULL;
    }
    snprintf(count, sizeof(count), "%d", threads);
    server->port = (int)strtol(strrchr(address, ':') + 1, NULL, 10);
    server->handler = handler;
    server->context = context;
    mg_init_library(MG_FEATURES_DEFAULT);
    server->server = mg_start(&callbacks, server, options);
    if (server->server == NULL) {
        fprintf(stderr, "cannot listen on %s\n", address);
        free(server);
        return NULL;
    }
    if (atomic_load(&thread_is_missing)) {
        /* Not stopped: mg_stop() joins threads that were never started. */
        fprintf(stderr, "cannot start %d threads for %s\n", threads, address);
        return NULL;
    }
    return server;
}

/**
 * FvFake_ConnectedNs - get the time at which a connection was accepted
 * @request: a request on it, on the thread of its handler
 *
 * Return: the time by FvClock_NowNs.
 */
int64_t
FvFake_ConnectedNs(const fake_request_t *request)
{
    (void)request;
    return current.connected_ns;
}

/**
 * FvFake_Replies - count the replies that a connection has carried
 * @request: a request on it, on the thread of its handler
 *
 * Return: the number.
 */
uint32_t
FvFake_Replies(const fake_request_t *request)
{
    (void)request;
    return current.replies;
}

/**
 * FvFake_PeerPort - get the port from which a client has connected
 * @request: a request of that client
 *
 * Return: the port.
 */
int
FvFake_PeerPort(const fake_request_t *request)
{
    return mg_get_request_info(request->connection)->remote_port;
}

/**
 * FvFakeServer_LimitConnections - drop requests on further connections
 * @server: the server
 * @connections: how many are served at the same time
 */
void
FvFakeServer_LimitConnections(fake_server_t *server, int connections)
{
    server->connections_max = connections;
}

static bool
is_accepted_on(int socket, int port)
{
    struct sockaddr_in local = {0};
    socklen_t local_size = sizeof(local);
    int listening = 0;
    socklen_t listening_size = sizeof(listening);

    return getsockname(socket, (struct sockaddr *)&local, &local_size) == 0 &&
           ntohs(local.sin_port) == port &&
           getsockopt(socket, SOL_SOCKET, SO_ACCEPTCONN, &listening,
                      &listening_size) == 0 &&
           listening == 0;
}

/**
 * FvFakeServer_CloseConnections - end all connections, idle ones included
 * @server: the server
 *
 * The clients see the end at once; CivetWeb's threads close the sockets.
 */
void
FvFakeServer_CloseConnections(const fake_server_t *server)
{
    DIR *directory = opendir("/proc/self/fd");
    struct dirent *entry;

    while (directory != NULL && (entry = readdir(directory)) != NULL) {
        /* A copy, since a thread may close the socket meanwhile and another
         * one reuse its number. */
        int copy = dup((int)strtol(entry->d_name, NULL, 10));

        if (copy >= 0 && is_accepted_on(copy, server->port)) {
            shutdown(copy, SHUT_RDWR);
        }
        if (copy >= 0) {
            close(copy);
        }
    }
    if (directory != NULL) {
        closedir(directory);
    }
}

/**
 * FvFakeServer_Connections - count the open connections
 * @server: the server
 *
 * Return: the number, without those beyond the limit.
 */
int
FvFakeServer_Connections(const fake_server_t *server)
{
    return atomic_load(&server->connections);
}

/**
 * FvFakeServer_Refused - count the connections that were beyond the limit
 * @server: the server
 *
 * Return: the number since the start.
 */
int
FvFakeServer_Refused(const fake_server_t *server)
{
    return atomic_load(&server->refused);
}

/**
 * FvFakeServer_RunUntilSignal - wait for SIGTERM or SIGINT, then exit
 *
 * Does not close the servers: a fake has no state to save, and closing would
 * wait for idle connections. FvFake_ParseArguments() blocks the signals before
 * the first thread starts.
 */
void
FvFakeServer_RunUntilSignal(void)
{
    sigset_t signals;
    int received;

    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigwait(&signals, &received);
    _exit(0);
}

/**
 * FvFake_RequestIs - compare a request's method and path
 * @request: the request
 * @method: for example GET
 * @path: the whole path
 *
 * Return: true when both are equal.
 */
bool
FvFake_RequestIs(const fake_request_t *request, const char *method,
                 const char *path)
{
    return strcmp(request->method, method) == 0 &&
           strcmp(request->path, path) == 0;
}

/**
 * FvFake_Reply - send a complete response
 * @request: the request
 * @status: HTTP status
 * @type: content type
 * @headers: additional header lines, each ended by CRLF; or ""
 * @body: the body
 * @length: length of @body
 */
void
FvFake_Reply(fake_request_t *request, int status, const char *type,
             const char *headers, const void *body, size_t length)
{
    char *message = NULL;
    int head;

    head = asprintf(&message,
                    "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n"
                    "Content-Length: %zu\r\n%sConnection: keep-alive\r\n\r\n",
                    status,
                    mg_get_response_code_text(request->connection, status),
                    type, length, headers);
    if (head < 0) {
        abort();
    }
    message = realloc(message, (size_t)head + length + 1);
    if (message == NULL) {
        abort();
    }
    if (length > 0) {
        memcpy(message + head, body, length);
    }
    current.replies++;
    mg_write(request->connection, message, (size_t)head + length);
    free(message);
}

/**
 * FvFake_ReplyJson - send a JSON response
 * @request: the request
 * @status: HTTP status
 * @body: the document; the function takes the reference
 */
void
FvFake_ReplyJson(fake_request_t *request, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);

    json_decref(body);
    if (text == NULL) {
        abort();
    }
    FvFake_Reply(request, status, "application/json", "", text, strlen(text));
    free(text);
}

/**
 * FvFake_ReplyError - send {"error": ERROR}
 * @request: the request
 * @status: HTTP status
 * @error: value of the error field
 */
void
FvFake_ReplyError(fake_request_t *request, int status, const char *error)
{
    FvFake_ReplyJson(request, status, json_pack("{s:s}", "error", error));
}

/**
 * FvFake_Drop - close the connection without a response
 * @request: the request
 */
void
FvFake_Drop(fake_request_t *request)
{
    mg_close_connection(request->connection);
}

static bool
socket_has_ports(int socket, int local_port, int remote_port)
{
    struct sockaddr_in local = {0};
    struct sockaddr_in remote = {0};
    socklen_t local_size = sizeof(local);
    socklen_t remote_size = sizeof(remote);

    return getsockname(socket, (struct sockaddr *)&local, &local_size) == 0 &&
           getpeername(socket, (struct sockaddr *)&remote, &remote_size) ==
               0 &&
           ntohs(local.sin_port) == local_port &&
           ntohs(remote.sin_port) == remote_port;
}

/* CivetWeb does not expose a connection's socket, so the process's descriptors
 * are searched for its two ports. */
static int
find_socket(const struct mg_request_info *info)
{
    DIR *directory = opendir("/proc/self/fd");
    struct dirent *entry;
    int found = -1;

    while (directory != NULL && found < 0 &&
           (entry = readdir(directory)) != NULL) {
        int candidate = (int)strtol(entry->d_name, NULL, 10);

        if (candidate > 2 && socket_has_ports(candidate, info->server_port,
                                              info->remote_port)) {
            found = candidate;
        }
    }
    if (directory != NULL) {
        closedir(directory);
    }
    return found;
}

/**
 * FvFake_ClientClosed - check whether the client has closed its connection
 * @request: a request without a complete response
 *
 * Return: true when the client cannot receive a response.
 */
bool
FvFake_ClientClosed(fake_request_t *request)
{
    struct pollfd poll_entry = {.events = POLLRDHUP};

    if (request->socket < 0) {
        request->socket =
            find_socket(mg_get_request_info(request->connection));
    }
    if (request->socket < 0) {
        return true;
    }
    poll_entry.fd = request->socket;
    return poll(&poll_entry, 1, 0) > 0 &&
           (poll_entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/**
 * FvFake_BodyJson - parse a request's body
 * @request: the request
 *
 * Return: a new reference, or NULL when the body is not a JSON object.
 */
json_t *
FvFake_BodyJson(const fake_request_t *request)
{
    json_t *body =
        json_loadb((const char *)request->body, request->body_length, 0, NULL);

    if (body != NULL && !json_is_object(body)) {
        json_decref(body);
        return NULL;
    }
    return body;
}

/**
 * FvFake_SleepMs - block the calling thread
 * @ms: duration
 */
void
FvFake_SleepMs(int64_t ms)
{
    struct timespec left = {.tv_sec = ms / 1000,
                            .tv_nsec = (ms % 1000) * 1000000};

    while (ms > 0 && nanosleep(&left, &left) != 0 && errno == EINTR) {
    }
}

/**
 * FvFake_WallUs - wall clock time, the same for all processes of a test
 *
 * Return: microseconds since the Unix epoch.
 */
int64_t
FvFake_WallUs(void)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

static void
block_signals(void)
{
    sigset_t signals;

    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
    signal(SIGPIPE, SIG_IGN);
}

/**
 * FvFake_ParseArguments - parse the command line of a fake
 * @argc: from main()
 * @argv: from main()
 * @table: argtable2 table, ended by a struct arg_end
 * @help: the --help option of the table
 * @summary: description that --help prints
 *
 * Return: -1 when the process continues, otherwise its exit code.
 */
int
FvFake_ParseArguments(int argc, char **argv, void **table,
                      const struct arg_lit *help, const char *summary)
{
    struct arg_end *end = NULL;
    int faults;

    block_signals();
    faults = arg_parse(argc, argv, table);
    for (int i = 0; end == NULL; i++) {
        struct arg_hdr *entry = table[i];

        end = entry->flag & ARG_TERMINATOR ? table[i] : NULL;
    }
    if (help->count > 0) {
        printf("Usage: %s", argv[0]);
        arg_print_syntax(stdout, table, "\n");
        printf("%s\n\n", summary);
        arg_print_glossary(stdout, table, "  %-26s %s\n");
        return 0;
    }
    if (faults > 0) {
        arg_print_errors(stderr, end, argv[0]);
        return 2;
    }
    return -1;
}
