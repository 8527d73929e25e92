/*
 * Connections of callers. evhttp tells when it hands a request over, not what
 * is still being received, written or acknowledged; these objects hold a
 * reference of each connection's bufferevent and read that from its buffers
 * and its socket. They also carry out the limits of caller-limits.c.
 */

#include "caller-connection.h"
#include "caller-listener.h"
#include "fireflyvalve.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <inttypes.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/ioctl.h>
#include <uthash.h>
#include <utlist.h>

/* Enough for a whole chunk of a body, which evhttp takes from the buffer only
 * when it is complete. */
#define Fv_INPUT_MAX_BYTES (Fv_BODY_MAX_BYTES + Fv_HEADERS_MAX_BYTES)

/* Connections that the kernel holds until they are accepted. evhttp's own
 * number for callers; the others are few. */
#define Fv_CALLERS_BACKLOG 128
#define Fv_OTHERS_BACKLOG 16

/* Each closed connection is counted; lines tell of the causes. */
#define Fv_CLOSED_LOG_LINES_PER_S 10

/* A process that did not look at its connections for this long stood still;
 * it does so every 50 ms (frontend.c). */
#define Fv_STOOD_STILL_MS 500

typedef struct fv_caller_connection {
    fv_caller_facts_t facts; /* first: the facts stand for the connection */
    struct fv_caller_connections *connections;
    struct bufferevent *stream;
    struct evbuffer_cb_entry *input_callback;
    struct evbuffer_cb_entry *output_callback;
    int64_t counted_bytes; /* in the sums of memory */
    bool listed;           /* may give way */
    bool receiving;
    UT_hash_handle hh; /* by stream */
} fv_caller_connection_t;

/* The connections of a listening address. */
typedef struct fv_caller_server {
    struct fv_caller_connections *connections;
    fv_caller_port_t port;
    fv_caller_listener_t listener;
    uint32_t open;
} fv_caller_server_t;

struct fv_caller_connections {
    fv_caller_limits_t limits;
    struct event *reap;
    struct event *admit;
    struct event *enforce;
    fv_caller_connection_t *entries;
    fv_caller_facts_t *facts; /* of those that may give way */
    fv_caller_peer_t *peers;
    fv_caller_server_t servers[Fv_CALLER_PORT_COUNT];
    int64_t bytes;
    int64_t reaped_ms; /* 0: not yet */
    fv_log_quota_t closed_log;
    bool lingering;
};

/* --- Accounting --------------------------------------------------------- */

static void
count_bytes(fv_caller_connection_t *connection, int64_t bytes)
{
    fv_caller_connections_t *connections = connection->connections;

    connections->bytes += bytes - connection->counted_bytes;
    if (connection->facts.peer != NULL) {
        connection->facts.peer->bytes += bytes - connection->counted_bytes;
    }
    connection->counted_bytes = bytes;
    if (connections->bytes > connections->limits.memory_max_bytes) {
        event_active(connections->enforce, EV_TIMEOUT, 0);
    }
}

static void
update_bytes(fv_caller_connection_t *connection)
{
    count_bytes(connection, FvCallerFacts_Bytes(&connection->facts));
}

static void
scan_input(fv_caller_connection_t *connection, struct evbuffer *input,
           size_t from)
{
    struct evbuffer_ptr at;
    struct evbuffer_iovec parts[4];
    size_t left = evbuffer_get_length(input) - from;

    FvCallerFacts_Received(&connection->facts, FvClock_NowMs());
    while (left > 0 &&
           evbuffer_ptr_set(input, &at, from, EVBUFFER_PTR_SET) == 0) {
        int count = evbuffer_peek(input, (ev_ssize_t)left, &at, parts, 4);

        for (int i = 0; i < count && i < 4 && left > 0; i++) {
            size_t length = parts[i].iov_len < left ? parts[i].iov_len : left;

            FvCallerFacts_ScanHeader(&connection->facts, parts[i].iov_base,
                                     length);
            from += length;
            left -= length;
        }
        if (count <= 0) {
            return;
        }
    }
}

static void
note_input(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
           void *context)
{
    fv_caller_connection_t *connection = context;
    fv_caller_facts_t *facts = &connection->facts;
    size_t length = evbuffer_get_length(buffer);

    if (info->n_added > 0) {
        connection->receiving = true;
    }
    if (facts->handling || facts->answering) {
        facts->input_bytes = (int64_t)length;
    }
    else if (info->n_added > 0) {
        scan_input(connection, buffer, length - info->n_added);
    }
    else if (length == 0) {
        FvCallerFacts_InputTaken(facts);
    }
    update_bytes(connection);
}

static void
note_output(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
            void *context)
{
    fv_caller_connection_t *connection = context;

    (void)info;
    FvCallerFacts_OutputChanged(&connection->facts,
                                (int64_t)evbuffer_get_length(buffer),
                                FvClock_NowMs());
    update_bytes(connection);
}

static void
leave_peer(fv_caller_connection_t *connection)
{
    fv_caller_peer_t *peer = connection->facts.peer;

    if (peer != NULL && --peer->connections == 0) {
        HASH_DEL(connection->connections->peers, peer);
        free(peer);
    }
    connection->facts.peer = NULL;
}

/* Notes whose connection it is; its socket was not known when it was opened.
 */
static void
join_peer(fv_caller_connection_t *connection)
{
    fv_caller_connections_t *connections = connection->connections;
    struct sockaddr_in address = {0};
    socklen_t length = sizeof(address);
    fv_caller_peer_t *peer = NULL;

    if (connection->facts.peer != NULL ||
        getpeername(bufferevent_getfd(connection->stream),
                    (struct sockaddr *)&address, &length) != 0) {
        return;
    }
    HASH_FIND(hh, connections->peers, &address.sin_addr.s_addr,
              sizeof(uint32_t), peer);
    if (peer == NULL) {
        peer = calloc(1, sizeof(*peer));
        if (peer == NULL) {
            return;
        }
        peer->address = address.sin_addr.s_addr;
        HASH_ADD(hh, connections->peers, address, sizeof(peer->address), peer);
    }
    peer->connections++;
    peer->bytes += connection->counted_bytes;
    connection->facts.peer = peer;
}

static void
unlist(fv_caller_connection_t *connection)
{
    if (connection->listed) {
        DL_DELETE(connection->connections->facts, &connection->facts);
        connection->listed = false;
    }
}

static void
release(fv_caller_connections_t *connections,
        fv_caller_connection_t *connection)
{
    unlist(connection);
    count_bytes(connection, 0);
    leave_peer(connection);
    connections->servers[connection->facts.port].open--;
    /* uthash unlinks the entry, which the analyzer does not see. */
    /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
    HASH_DEL(connections->entries, connection);
    evbuffer_remove_cb_entry(bufferevent_get_input(connection->stream),
                             connection->input_callback);
    evbuffer_remove_cb_entry(bufferevent_get_output(connection->stream),
                             connection->output_callback);
    bufferevent_decref(connection->stream);
    free(connection);
}

/* --- Sockets ------------------------------------------------------------ */

/* bufferevent_free() removes the callbacks that evhttp always sets. */
static bool
is_closed_by_server(const fv_caller_connection_t *connection)
{
    void *owner = NULL;

    bufferevent_getcb(connection->stream, NULL, NULL, NULL, &owner);
    return owner == NULL;
}

static bool
is_gone(int fd)
{
    struct tcp_info info;
    socklen_t length = sizeof(info);

    return getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &length) != 0 ||
           info.tcpi_state == TCP_CLOSE;
}

static bool
has_queued_bytes(int fd, unsigned long queue)
{
    int bytes = 0;

    return ioctl(fd, queue, &bytes) == 0 && bytes > 0;
}

static bool
is_unacknowledged(const fv_caller_connection_t *connection)
{
    int fd = bufferevent_getfd(connection->stream);

    return has_queued_bytes(fd, SIOCOUTQ) && !is_gone(fd);
}

/* --- Limits ------------------------------------------------------------- */

static const fv_counter_t cause_counters[] = {
    [Fv_CALLER_CAUSE_UNREAD] = Fv_COUNTER_CALLERS_UNREAD,
    [Fv_CALLER_CAUSE_HEADER] = Fv_COUNTER_CALLERS_SLOW,
    [Fv_CALLER_CAUSE_BODY] = Fv_COUNTER_CALLERS_SLOW,
    [Fv_CALLER_CAUSE_CONNECTIONS] = Fv_COUNTER_CALLERS_DISPLACED,
    [Fv_CALLER_CAUSE_MEMORY] = Fv_COUNTER_CALLERS_DISPLACED,
};

static void
log_closed(const fv_caller_connection_t *connection, fv_caller_cause_t cause)
{
    fv_caller_connections_t *connections = connection->connections;
    const fv_caller_facts_t *facts = &connection->facts;
    char address[INET_ADDRSTRLEN] = "";

    if (facts->peer != NULL) {
        evutil_inet_ntop(AF_INET, &facts->peer->address, address,
                         sizeof(address));
    }
    FvMetrics_Add(cause_counters[cause], 1);
    FvLog_Event(FvLog_LevelWithin(&connections->closed_log,
                                  Fv_CLOSED_LOG_LINES_PER_S, FvClock_NowMs()),
                "caller_closed",
                "cause=%s address=%s port=%d state=%d request_bytes=%" PRId64
                " unwritten_bytes=%" PRId64
                " of_address=%u open=%u memory=%" PRId64
                " memory_max=%" PRId64,
                FvCallerCause_Name(cause), address, (int)facts->port,
                (int)FvCallerFacts_State(facts), facts->request_bytes,
                facts->output_bytes,
                facts->peer != NULL ? facts->peer->connections : 0,
                connections->servers[facts->port].open, connections->bytes,
                connections->limits.memory_max_bytes);
}

/* Ends a connection as if its time had run out at the server. */
static void
close_connection(fv_caller_connection_t *connection, fv_caller_cause_t cause)
{
    const struct linger reset = {.l_onoff = 1};

    join_peer(connection);
    log_closed(connection, cause);
    /* Without a reset the kernel would keep what the caller does not read. */
    if (FvCallerFacts_State(&connection->facts) == Fv_CALLER_ANSWERING &&
        setsockopt(bufferevent_getfd(connection->stream), SOL_SOCKET,
                   SO_LINGER, &reset, sizeof(reset)) != 0) {
        FvLog_Event(Fv_LOG_DEBUG, "linger_refused", NULL);
    }
    bufferevent_trigger_event(connection->stream,
                              BEV_EVENT_READING | BEV_EVENT_TIMEOUT, 0);
    bufferevent_disable(connection->stream, EV_READ | EV_WRITE);
    release(connection->connections, connection);
}

/* Returns false when no connection may be closed. */
static bool
close_one(fv_caller_connections_t *connections, fv_caller_port_t port,
          fv_caller_cause_t cause)
{
    int64_t now_ms = FvClock_NowMs();

    for (;;) {
        fv_caller_facts_t *victim =
            FvCallerLimits_FindVictim(connections->facts, port, cause, now_ms);
        fv_caller_connection_t *connection = (fv_caller_connection_t *)victim;

        if (connection == NULL) {
            return false;
        }
        if (is_closed_by_server(connection)) {
            unlist(connection); /* FvCallerConnections_Reap() releases it */
        }
        else if (FvCallerFacts_State(victim) == Fv_CALLER_IDLE &&
                 has_queued_bytes(bufferevent_getfd(connection->stream),
                                  FIONREAD)) {
            FvCallerFacts_Received(victim, now_ms);
        }
        else if (FvCallerFacts_State(victim) != Fv_CALLER_RECEIVING ||
                 !is_unacknowledged(connection) ||
                 !FvCallerFacts_Spare(victim, now_ms)) {
            close_connection(connection, cause);
            return true;
        }
    }
}

/**
 * FvCallerConnections_HasRoom - whether the memory of connections is within
 * its limit
 * @connections: the connections; some may be closed to make room
 *
 * Return: false when a request has to be refused.
 */
bool
FvCallerConnections_HasRoom(fv_caller_connections_t *connections)
{
    while (connections->bytes > connections->limits.memory_max_bytes) {
        if (!close_one(connections, Fv_CALLER_PORT_COUNT,
                       Fv_CALLER_CAUSE_MEMORY)) {
            return false;
        }
    }
    return true;
}

static void
enforce(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    FvCallerConnections_HasRoom(context);
}

static bool
is_full(const fv_caller_server_t *server)
{
    return server->open >=
           server->connections->limits.connections_max[server->port];
}

/* Returns false when the limit is reached and no connection may be closed. */
static bool
make_room(fv_caller_server_t *server)
{
    while (is_full(server)) {
        if (!close_one(server->connections, server->port,
                       Fv_CALLER_CAUSE_CONNECTIONS)) {
            return false;
        }
    }
    return true;
}

/* Further connections wait in the kernel while no open one may be closed. */
static void
resume_accepting(fv_caller_connections_t *connections)
{
    for (int i = 0; i < Fv_CALLER_PORT_COUNT; i++) {
        fv_caller_server_t *server = &connections->servers[i];

        if (FvCallerListener_IsPaused(&server->listener) &&
            FvCallerListener_AreWaiting(&server->listener) &&
            make_room(server) && !FvCallerListener_Resume(&server->listener)) {
            FvLog_Event(Fv_LOG_WARN, "accept_failed", "port=%d", i);
        }
    }
}

static void
admit(evutil_socket_t fd, short what, void *context)
{
    fv_caller_connections_t *connections = context;
    fv_caller_facts_t *facts;

    (void)fd;
    (void)what;
    /* The latest ones come first. */
    for (facts = connections->facts; facts != NULL && facts->peer == NULL;
         facts = facts->next) {
        join_peer((fv_caller_connection_t *)facts);
    }
}

static struct bufferevent *
open_stream(struct event_base *base, void *context)
{
    fv_caller_server_t *server = context;
    fv_caller_connections_t *connections = server->connections;
    struct bufferevent *stream =
        bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    fv_caller_connection_t *connection = calloc(1, sizeof(*connection));

    if (stream == NULL || connection == NULL) {
        free(connection);
        return stream;
    }
    if (!make_room(server)) {
        FvCallerListener_Pause(&server->listener);
    }
    bufferevent_incref(stream);
    bufferevent_setwatermark(stream, EV_READ, 0, Fv_INPUT_MAX_BYTES);
    connection->connections = connections;
    connection->stream = stream;
    connection->facts.port = server->port;
    connection->facts.idle_since_ms = FvClock_NowMs();
    connection->input_callback =
        evbuffer_add_cb(bufferevent_get_input(stream), note_input, connection);
    connection->output_callback = evbuffer_add_cb(
        bufferevent_get_output(stream), note_output, connection);
    connection->listed = true;
    server->open++;
    HASH_ADD_PTR(connections->entries, stream, connection);
    DL_PREPEND(connections->facts, &connection->facts);
    update_bytes(connection);
    event_active(connections->admit, EV_TIMEOUT, 0);
    return stream;
}

static void
reap(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    FvCallerConnections_Reap(context);
}

static void
connection_closing(struct evhttp_connection *http, void *context)
{
    fv_caller_connections_t *connections = context;

    (void)http;
    event_active(connections->reap, EV_TIMEOUT, 0);
}

static void
free_event(struct event *event)
{
    if (event != NULL) {
        event_free(event);
    }
}

/**
 * FvCallerConnections_New - prepare to follow connections
 * @base: the event loop
 * @limits: the limits, which are copied
 *
 * Return: the connections, or NULL when memory is exhausted.
 */
fv_caller_connections_t *
FvCallerConnections_New(struct event_base *base,
                        const fv_caller_limits_t *limits)
{
    fv_caller_connections_t *connections = calloc(1, sizeof(*connections));

    if (connections == NULL) {
        return NULL;
    }
    connections->limits = *limits;
    for (int i = 0; i < Fv_CALLER_PORT_COUNT; i++) {
        connections->servers[i] =
            (fv_caller_server_t){.connections = connections,
                                 .port = (fv_caller_port_t)i,
                                 .listener = {.base = base, .fd = -1}};
    }
    connections->reap = event_new(base, -1, 0, reap, connections);
    connections->admit = event_new(base, -1, 0, admit, connections);
    connections->enforce = event_new(base, -1, 0, enforce, connections);
    if (connections->reap == NULL || connections->admit == NULL ||
        connections->enforce == NULL) {
        free_event(connections->reap);
        free_event(connections->admit);
        free_event(connections->enforce);
        free(connections);
        return NULL;
    }
    /* Before the next connection is read. */
    event_priority_set(connections->enforce, 0);
    return connections;
}

/**
 * FvCallerConnections_Free - close the remaining connections
 * @connections: the connections, or NULL; their servers are freed already
 */
void
FvCallerConnections_Free(fv_caller_connections_t *connections)
{
    fv_caller_connection_t *connection;
    fv_caller_connection_t *next;

    if (connections == NULL) {
        return;
    }
    for (connection = connections->entries; connection != NULL;
         connection = next) {
        next = connection->hh.next;
        release(connections, connection);
    }
    for (int i = 0; i < Fv_CALLER_PORT_COUNT; i++) {
        connections->servers[i].listener.bound =
            NULL; /* freed by its server */
        FvCallerListener_Close(&connections->servers[i].listener);
    }
    free_event(connections->reap);
    free_event(connections->admit);
    free_event(connections->enforce);
    free(connections);
}

/**
 * FvCallerConnections_Attach - follow the connections of a server
 * @connections: the connections
 * @server: the server, which accepts none yet
 * @port: which one it is
 */
void
FvCallerConnections_Attach(fv_caller_connections_t *connections,
                           struct evhttp *server, fv_caller_port_t port)
{
    connections->servers[port].listener.server = server;
    evhttp_set_bevcb(server, open_stream, &connections->servers[port]);
}

/**
 * FvCallerConnections_Listen - accept connections for a server
 * @connections: the connections
 * @port: which one, attached
 * @address: where it listens
 *
 * Return: false when the address cannot be bound.
 */
bool
FvCallerConnections_Listen(fv_caller_connections_t *connections,
                           fv_caller_port_t port,
                           const struct sockaddr_in *address)
{
    return FvCallerListener_Open(&connections->servers[port].listener, address,
                                 port == Fv_CALLER_PORT_CALLERS
                                     ? Fv_CALLERS_BACKLOG
                                     : Fv_OTHERS_BACKLOG);
}

/**
 * FvCallerConnections_IsListening - whether connections are accepted
 * @connections: the connections
 * @port: of which server
 *
 * Return: true also while connections wait in the kernel for a limit.
 */
bool
FvCallerConnections_IsListening(const fv_caller_connections_t *connections,
                                fv_caller_port_t port)
{
    return connections->servers[port].listener.fd >= 0;
}

/**
 * FvCallerConnections_StopListening - accept no more connections
 * @connections: the connections
 * @port: of which server
 * @at_once: also when the kernel has connections that were not accepted yet,
 *           which it then resets; otherwise call again
 */
void
FvCallerConnections_StopListening(fv_caller_connections_t *connections,
                                  fv_caller_port_t port, bool at_once)
{
    fv_caller_listener_t *listener = &connections->servers[port].listener;

    if (listener->fd >= 0 &&
        (at_once || !FvCallerListener_AreWaiting(listener))) {
        FvCallerListener_Close(listener);
    }
}

static fv_caller_connection_t *
find_connection(const fv_caller_connections_t *connections,
                struct evhttp_request *request)
{
    struct bufferevent *stream = evhttp_connection_get_bufferevent(
        evhttp_request_get_connection(request));
    fv_caller_connection_t *connection = NULL;

    HASH_FIND_PTR(connections->entries, &stream, connection);
    return connection;
}

/* The server takes the next request, of which a part may have come. */
static void
answer_written(struct evhttp_request *request, void *context)
{
    fv_caller_connection_t *connection = find_connection(context, request);
    struct evbuffer *input;

    if (connection == NULL) {
        return;
    }
    if (connection->facts.port == Fv_CALLER_PORT_CALLERS) {
        FvMetrics_Add(Fv_COUNTER_HTTP_REPLIES, 1);
    }
    FvCallerFacts_Answered(&connection->facts, FvClock_NowMs());
    connection->facts.input_bytes = 0;
    input = bufferevent_get_input(connection->stream);
    if (evbuffer_get_length(input) > 0) {
        scan_input(connection, input, 0);
    }
    bufferevent_setwatermark(connection->stream, EV_READ, 0,
                             Fv_INPUT_MAX_BYTES);
    update_bytes(connection);
}

/**
 * FvCallerConnections_RequestRead - note that a whole request was read
 * @connections: the connections
 * @request: the request
 *
 * Until its answer is written, little more is read from its connection: evhttp
 * itself reads without a limit while it writes an answer.
 */
void
FvCallerConnections_RequestRead(fv_caller_connections_t *connections,
                                struct evhttp_request *request)
{
    fv_caller_connection_t *connection = find_connection(connections, request);
    size_t ahead;

    if (connection == NULL) {
        return;
    }
    ahead = evbuffer_get_length(bufferevent_get_input(connection->stream));
    connection->receiving = ahead > 0;
    FvCallerFacts_RequestRead(&connection->facts);
    connection->facts.input_bytes = (int64_t)ahead;
    bufferevent_setwatermark(connection->stream, EV_READ, 0,
                             (size_t)connections->limits.read_ahead_bytes);
    update_bytes(connection);
    evhttp_request_set_on_complete_cb(request, answer_written, connections);
    evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                  connection_closing, connections);
}

/**
 * FvCallerConnections_HasInput - whether more has arrived after a request
 * @request: the request, not answered yet
 *
 * Return: true when the caller has sent more on the request's connection.
 */
bool
FvCallerConnections_HasInput(struct evhttp_request *request)
{
    struct evhttp_connection *http = evhttp_request_get_connection(request);
    struct bufferevent *stream;

    if (http == NULL) {
        return false; /* the caller has gone */
    }
    stream = evhttp_connection_get_bufferevent(http);
    return evbuffer_get_length(bufferevent_get_input(stream)) > 0 ||
           has_queued_bytes(bufferevent_getfd(stream), FIONREAD);
}

/**
 * FvCallerConnections_Linger - keep connections until all is acknowledged
 * @connections: the connections
 *
 * From then on, a connection that its server closes is shut down for writing
 * and stays until the caller's host has acknowledged everything. A close with
 * unread input would make the kernel drop what is not acknowledged.
 */
void
FvCallerConnections_Linger(fv_caller_connections_t *connections)
{
    connections->lingering = true;
}

/**
 * FvCallerConnections_Reap - release the connections that are done with, and
 * close those that go without progress for too long
 * @connections: the connections
 */
void
FvCallerConnections_Reap(fv_caller_connections_t *connections)
{
    int64_t now_ms = FvClock_NowMs();
    int64_t passed_ms =
        connections->reaped_ms != 0 ? now_ms - connections->reaped_ms : 0;
    fv_caller_connection_t *connection;
    fv_caller_connection_t *next;
    fv_caller_cause_t cause;

    connections->reaped_ms = now_ms;
    for (connection = connections->entries; connection != NULL;
         connection = next) {
        next = connection->hh.next;
        if (is_closed_by_server(connection)) {
            bufferevent_disable(connection->stream, EV_READ | EV_WRITE);
            unlist(connection);
            if (!connections->lingering || !is_unacknowledged(connection)) {
                release(connections, connection);
            }
            continue;
        }
        if (passed_ms >= Fv_STOOD_STILL_MS) {
            FvCallerFacts_Forgive(&connection->facts, passed_ms);
        }
        cause = FvCallerLimits_Check(&connections->limits, &connection->facts,
                                     now_ms);
        if (cause != Fv_CALLER_CAUSE_NONE) {
            close_connection(connection, cause);
        }
    }
    resume_accepting(connections);
}

/**
 * FvCallerConnections_Count - count the connections with unfinished work
 * @connections: the connections
 * @traffic: filled in
 */
void
FvCallerConnections_Count(const fv_caller_connections_t *connections,
                          fv_caller_traffic_t *traffic)
{
    *traffic = (fv_caller_traffic_t){0};
    for (const fv_caller_connection_t *connection = connections->entries;
         connection != NULL; connection = connection->hh.next) {
        struct bufferevent *stream = connection->stream;
        int fd = bufferevent_getfd(stream);

        if (is_gone(fd)) {
            continue;
        }
        traffic->connections++;
        traffic->unacknowledged += has_queued_bytes(fd, SIOCOUTQ);
        if (is_closed_by_server(connection)) {
            continue;
        }
        traffic->receiving +=
            connection->receiving || has_queued_bytes(fd, FIONREAD);
        traffic->unwritten +=
            evbuffer_get_length(bufferevent_get_output(stream)) > 0;
    }
}
