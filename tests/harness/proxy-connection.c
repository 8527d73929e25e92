/*
 * Connections of fault-proxy: forwards, delays and discards their bytes.
 */

#include "proxy-connection.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PROXY_READ_BYTES (64 * 1024)
/* Bytes in flight on a link of 1 Gbit/s with a delay of 32 ms. A full queue is
 * not read, so that TCP flow control slows the sender down. */
#define PROXY_QUEUE_MAX_BYTES ((size_t)4 * 1024 * 1024)

static void
clear_pipe(proxy_pipe_t *direction)
{
    while (direction->head != NULL) {
        proxy_chunk_t *chunk = direction->head;

        direction->head = chunk->next;
        free(chunk);
    }
    direction->tail = NULL;
    direction->queued_bytes = 0;
}

static void
close_socket(int *socket, bool reset)
{
    struct linger linger = {.l_onoff = 1, .l_linger = 0};

    if (*socket < 0) {
        return;
    }
    if (reset) {
        setsockopt(*socket, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
    }
    close(*socket);
    *socket = -1;
}

/**
 * FvProxyConnection_Drop - close both sockets of a connection
 * @connection: the connection; the poll loop frees it later
 * @reset: send a reset instead of an end of stream
 */
void
FvProxyConnection_Drop(proxy_connection_t *connection, bool reset)
{
    if (connection->closed) {
        return;
    }
    close_socket(&connection->client, reset);
    close_socket(&connection->target, reset);
    connection->closed = true;
    connection->route->open--;
}

/**
 * FvProxyConnection_Free - free a dropped connection
 * @connection: the connection
 */
void
FvProxyConnection_Free(proxy_connection_t *connection)
{
    clear_pipe(&connection->up);
    clear_pipe(&connection->down);
    free(connection);
}

/**
 * FvProxyConnection_DiscardQueued - discard the bytes in flight
 * @connection: a connection of a route that enters blackhole mode
 */
void
FvProxyConnection_DiscardQueued(proxy_connection_t *connection)
{
    connection->lost_bytes |=
        connection->up.head != NULL || connection->down.head != NULL;
    clear_pipe(&connection->up);
    clear_pipe(&connection->down);
}

static void
set_no_delay(int socket)
{
    int on = 1;

    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

static bool
connect_target(proxy_connection_t *connection)
{
    const struct sockaddr_in *address = &connection->route->target;

    connection->target =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (connection->target < 0) {
        return false;
    }
    set_no_delay(connection->target);
    if (connect(connection->target, (const struct sockaddr *)address,
                sizeof(*address)) == 0) {
        return true;
    }
    connection->connecting = errno == EINPROGRESS;
    connection->refused = errno == ECONNREFUSED;
    return connection->connecting;
}

/* The kernel accepts the connection at once; over a link with this delay the
 * client could not send before the handshake, which takes a round trip. */
static void
delay_handshake(proxy_connection_t *connection, int64_t now_ns)
{
    int64_t delay_ns = connection->route->delay_us * 1000;

    connection->up.last_due_ns = now_ns + 3 * delay_ns;
    connection->down.last_due_ns = now_ns + 4 * delay_ns;
}

/**
 * FvProxyConnection_Accept - accept a pending connection
 * @route: the route
 * @now_ns: current time
 */
void
FvProxyConnection_Accept(proxy_route_t *route, int64_t now_ns)
{
    int client =
        accept4(route->socket, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    proxy_connection_t *connection;

    if (client < 0) {
        return;
    }
    connection = calloc(1, sizeof(*connection));
    if (connection == NULL) {
        abort();
    }
    connection->route = route;
    connection->client = client;
    connection->target = -1;
    connection->next = route->connections;
    route->connections = connection;
    route->accepted++;
    route->open++;
    set_no_delay(client);
    delay_handshake(connection, now_ns);
    if (route->mode == PROXY_MODE_BLACKHOLE) {
        connection->lost_bytes = true;
    }
    else if (!connect_target(connection)) {
        FvProxyConnection_Drop(connection, true);
    }
}

static bool
is_due(const proxy_pipe_t *direction, int64_t now_ns)
{
    return direction->head != NULL && direction->head->due_ns <= now_ns;
}

/**
 * FvProxyConnection_Events - poll events to request for a socket
 * @connection: the connection
 * @client_side: true for the client's socket, false for the target's
 * @now_ns: current time
 *
 * Return: poll events; 0 when the socket is not polled.
 */
short
FvProxyConnection_Events(const proxy_connection_t *connection,
                         bool client_side, int64_t now_ns)
{
    const proxy_pipe_t *in = client_side ? &connection->up : &connection->down;
    const proxy_pipe_t *out =
        client_side ? &connection->down : &connection->up;
    uint8_t held = connection->route->held[connection->caller];
    uint8_t hold_in = client_side ? PROXY_HOLD_UP : PROXY_HOLD_DOWN;
    uint8_t hold_out = client_side ? PROXY_HOLD_DOWN : PROXY_HOLD_UP;
    short events = 0;

    if (connection->route->mode == PROXY_MODE_FREEZE) {
        return 0;
    }
    if (!client_side && connection->connecting) {
        return POLLOUT;
    }
    if (!in->read_closed && in->queued_bytes < PROXY_QUEUE_MAX_BYTES &&
        (held & hold_in) == 0) {
        events |= POLLIN;
    }
    if (is_due(out, now_ns) && (held & hold_out) == 0) {
        events |= POLLOUT;
    }
    return events;
}

static void
append_chunk(proxy_connection_t *connection, proxy_pipe_t *direction,
             const uint8_t *data, size_t length, int64_t now_ns)
{
    proxy_chunk_t *chunk = malloc(sizeof(*chunk) + length);
    int64_t due_ns = now_ns + connection->route->delay_us * 1000;

    if (chunk == NULL) {
        abort();
    }
    /* Keeps the order of the chunks when the delay was shortened. */
    if (due_ns < direction->last_due_ns) {
        due_ns = direction->last_due_ns;
    }
    direction->last_due_ns = due_ns;
    *chunk = (proxy_chunk_t){.due_ns = due_ns, .length = length};
    if (length > 0) {
        memcpy(chunk->data, data, length);
    }
    if (direction->tail != NULL) {
        direction->tail->next = chunk;
    }
    else {
        direction->head = chunk;
    }
    direction->tail = chunk;
    direction->queued_bytes += length;
}

/* In blackhole mode neither bytes nor the end of a stream are forwarded. */
static void
discard_input(proxy_connection_t *connection, size_t length)
{
    connection->lost_bytes = true;
    connection->route->bytes_swallowed += length;
    if (length == 0 &&
        (connection->target < 0 ||
         (connection->up.read_closed && connection->down.read_closed))) {
        FvProxyConnection_Drop(connection, true);
    }
}

/* Finds "host-N" in the greeting of a leader, in MessagePack: a text of up to
 * 31 bytes has its length in the byte before it. */
static void
identify_caller(proxy_connection_t *connection, const uint8_t *data,
                size_t length)
{
    static const char prefix[] = "host-";
    const uint8_t *name = memmem(data, length, prefix, strlen(prefix));
    size_t name_length = name != NULL && name > data ? name[-1] & 0x1fu : 0;
    uint32_t number = 0;

    if (name_length <= strlen(prefix) ||
        name_length > (size_t)(data + length - name)) {
        return;
    }
    for (size_t i = strlen(prefix); i < name_length; i++) {
        number = number * 10 + (uint32_t)(name[i] - '0');
    }
    if (number + 1 < PROXY_CALLERS_MAX) {
        connection->caller = (uint8_t)(number + 1);
    }
}

static void
read_side(proxy_connection_t *connection, bool client_side, int64_t now_ns)
{
    proxy_pipe_t *direction =
        client_side ? &connection->up : &connection->down;
    int source = client_side ? connection->client : connection->target;
    uint8_t data[PROXY_READ_BYTES];
    ssize_t got = recv(source, data, sizeof(data), 0);

    if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    /* A reset is forwarded as an end of stream. */
    if (got <= 0) {
        direction->read_closed = true;
        got = 0;
    }
    if (connection->route->mode == PROXY_MODE_BLACKHOLE) {
        discard_input(connection, (size_t)got);
    }
    else {
        append_chunk(connection, direction, data, (size_t)got, now_ns);
    }
    if (connection->route->tells_callers && client_side &&
        connection->caller == 0) {
        identify_caller(connection, data, (size_t)got);
    }
}

/* Bytes that may still be sent to the client; SIZE_MAX without a limit. */
static size_t
response_bytes_left(const proxy_connection_t *connection)
{
    int64_t limit = connection->route->cut_after_bytes;

    if (limit < 0) {
        return SIZE_MAX;
    }
    return limit > connection->response_bytes
               ? (size_t)(limit - connection->response_bytes)
               : 0;
}

static void
remove_head(proxy_pipe_t *direction)
{
    proxy_chunk_t *chunk = direction->head;

    direction->head = chunk->next;
    if (direction->head == NULL) {
        direction->tail = NULL;
    }
    free(chunk);
}

static void
end_stream(proxy_connection_t *connection, proxy_pipe_t *direction, int target)
{
    remove_head(direction);
    direction->write_closed = true;
    shutdown(target, SHUT_WR);
    if (connection->up.write_closed && connection->down.write_closed) {
        FvProxyConnection_Drop(connection, false);
    }
}

static void
count_sent(proxy_connection_t *connection, bool to_client, size_t sent)
{
    if (to_client) {
        connection->route->bytes_down += sent;
        connection->response_bytes += (int64_t)sent;
    }
    else {
        connection->route->bytes_up += sent;
    }
}

/* Sends from the first chunk; false when the socket accepts no more now or is
 * closed. */
static bool
write_chunk(proxy_connection_t *connection, proxy_pipe_t *direction,
            bool to_client)
{
    int target = to_client ? connection->client : connection->target;
    proxy_chunk_t *chunk = direction->head;
    size_t length = chunk->length - chunk->offset;
    size_t limit = to_client ? response_bytes_left(connection) : SIZE_MAX;
    ssize_t sent;

    if (chunk->length == 0) {
        end_stream(connection, direction, target);
        return false;
    }
    if (limit == 0) {
        FvProxyConnection_Drop(connection, false);
        return false;
    }
    sent = send(target, chunk->data + chunk->offset,
                length < limit ? length : limit, MSG_NOSIGNAL);
    if (sent < 0) {
        if (errno != EAGAIN && errno != EINTR) {
            FvProxyConnection_Drop(connection, true);
        }
        return false;
    }
    count_sent(connection, to_client, (size_t)sent);
    direction->queued_bytes -= (size_t)sent;
    chunk->offset += (size_t)sent;
    if (chunk->offset == chunk->length) {
        remove_head(direction);
    }
    return true;
}

static void
write_side(proxy_connection_t *connection, bool to_client, int64_t now_ns)
{
    proxy_pipe_t *direction = to_client ? &connection->down : &connection->up;

    while (!connection->closed && is_due(direction, now_ns)) {
        if (!write_chunk(connection, direction, to_client)) {
            break;
        }
    }
    /* Closes right after the last allowed byte, not on the next one. */
    if (!connection->closed && to_client && connection->response_bytes > 0 &&
        response_bytes_left(connection) == 0) {
        FvProxyConnection_Drop(connection, false);
    }
}

static void
finish_connect(proxy_connection_t *connection)
{
    int error = 0;
    socklen_t size = sizeof(error);

    getsockopt(connection->target, SOL_SOCKET, SO_ERROR, &error, &size);
    connection->connecting = false;
    connection->refused = error == ECONNREFUSED;
    if (error != 0) {
        FvProxyConnection_Drop(connection, true);
    }
}

/**
 * FvProxyConnection_Handle - handle the poll events of a socket
 * @connection: the connection
 * @client_side: true for the client's socket, false for the target's
 * @events: as returned by poll()
 * @now_ns: current time
 */
void
FvProxyConnection_Handle(proxy_connection_t *connection, bool client_side,
                         short events, int64_t now_ns)
{
    const proxy_pipe_t *in = client_side ? &connection->up : &connection->down;

    if (connection->closed || events == 0) {
        return;
    }
    if (!client_side && connection->connecting) {
        finish_connect(connection);
        return;
    }
    if ((events & POLLOUT) != 0) {
        write_side(connection, client_side, now_ns);
    }
    if (!connection->closed && !in->read_closed &&
        (events & (POLLIN | POLLHUP | POLLERR)) != 0) {
        read_side(connection, client_side, now_ns);
    }
    else if (!connection->closed && (events & POLLERR) != 0) {
        FvProxyConnection_Drop(connection, true);
    }
}

static int64_t
earlier_due_ns(const proxy_pipe_t *direction, int64_t now_ns, int64_t due_ns)
{
    if (direction->head != NULL && direction->head->due_ns > now_ns &&
        direction->head->due_ns < due_ns) {
        return direction->head->due_ns;
    }
    return due_ns;
}

/**
 * FvProxyConnection_NextDue - time at which the next delayed chunk is due
 * @connection: the connection
 * @now_ns: current time
 *
 * Return: the time; INT64_MAX when no queue starts with a chunk that is not
 * due yet.
 */
int64_t
FvProxyConnection_NextDue(const proxy_connection_t *connection, int64_t now_ns)
{
    int64_t due_ns = earlier_due_ns(&connection->up, now_ns, INT64_MAX);

    return earlier_due_ns(&connection->down, now_ns, due_ns);
}
