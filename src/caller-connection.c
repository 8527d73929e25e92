/*
 * Connections of callers. evhttp tells when it hands a request over, not what
 * is still being received, written or acknowledged; these objects hold a
 * reference of each connection's bufferevent and read that from its buffers
 * and its socket.
 */

#include "caller-connection.h"
#include "fireflyvalve.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/ioctl.h>
#include <uthash.h>

typedef struct fv_caller_connection {
    struct bufferevent *stream;
    struct evbuffer_cb_entry *input_callback;
    bool receiving;
    UT_hash_handle hh; /* by stream */
} fv_caller_connection_t;

struct fv_caller_connections {
    struct event *reap;
    fv_caller_connection_t *entries;
    bool lingering;
};

static void
note_input(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
           void *context)
{
    fv_caller_connection_t *connection = context;

    (void)buffer;
    if (info->n_added > 0) {
        connection->receiving = true;
    }
}

static struct bufferevent *
open_stream(struct event_base *base, void *context)
{
    fv_caller_connections_t *connections = context;
    struct bufferevent *stream =
        bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    fv_caller_connection_t *connection = calloc(1, sizeof(*connection));

    if (stream == NULL || connection == NULL) {
        free(connection);
        return stream;
    }
    bufferevent_incref(stream);
    connection->stream = stream;
    connection->input_callback =
        evbuffer_add_cb(bufferevent_get_input(stream), note_input, connection);
    HASH_ADD_PTR(connections->entries, stream, connection);
    return stream;
}

static void
release(fv_caller_connections_t *connections,
        fv_caller_connection_t *connection)
{
    /* uthash unlinks the entry, which the analyzer does not see. */
    /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
    HASH_DEL(connections->entries, connection);
    evbuffer_remove_cb_entry(bufferevent_get_input(connection->stream),
                             connection->input_callback);
    bufferevent_decref(connection->stream);
    free(connection);
}

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

/**
 * FvCallerConnections_New - prepare to follow connections
 * @base: the event loop
 *
 * Return: the connections, or NULL when memory is exhausted.
 */
fv_caller_connections_t *
FvCallerConnections_New(struct event_base *base)
{
    fv_caller_connections_t *connections = calloc(1, sizeof(*connections));

    if (connections == NULL) {
        return NULL;
    }
    connections->reap = event_new(base, -1, 0, reap, connections);
    if (connections->reap == NULL) {
        free(connections);
        return NULL;
    }
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
    event_free(connections->reap);
    free(connections);
}

/**
 * FvCallerConnections_Attach - follow the connections of a server
 * @connections: the connections
 * @server: the server, which accepts none yet
 */
void
FvCallerConnections_Attach(fv_caller_connections_t *connections,
                           struct evhttp *server)
{
    evhttp_set_bevcb(server, open_stream, connections);
}

/**
 * FvCallerConnections_RequestRead - note that a whole request was read
 * @connections: the connections
 * @request: the request
 */
void
FvCallerConnections_RequestRead(fv_caller_connections_t *connections,
                                struct evhttp_request *request)
{
    struct evhttp_connection *http = evhttp_request_get_connection(request);
    struct bufferevent *stream = evhttp_connection_get_bufferevent(http);
    fv_caller_connection_t *connection = NULL;

    HASH_FIND_PTR(connections->entries, &stream, connection);
    if (connection != NULL) {
        connection->receiving =
            evbuffer_get_length(bufferevent_get_input(stream)) > 0;
        evhttp_connection_set_closecb(http, connection_closing, connections);
    }
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
    struct bufferevent *stream = evhttp_connection_get_bufferevent(
        evhttp_request_get_connection(request));

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
 * FvCallerConnections_Reap - release the connections that are done with
 * @connections: the connections
 */
void
FvCallerConnections_Reap(fv_caller_connections_t *connections)
{
    fv_caller_connection_t *connection;
    fv_caller_connection_t *next;

    for (connection = connections->entries; connection != NULL;
         connection = next) {
        next = connection->hh.next;
        if (!is_closed_by_server(connection)) {
            continue;
        }
        bufferevent_disable(connection->stream, EV_READ | EV_WRITE);
        if (!connections->lingering || !is_unacknowledged(connection)) {
            release(connections, connection);
        }
    }
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
