/*
 * An HTTP server with a limit of connections.
 */

#include "limited-server.h"

#include "suite.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

typedef struct limited_connection {
    limited_server_t *server;
    struct bufferevent *stream;
    struct event *delay;
} limited_connection_t;

static void
answer_limited(evutil_socket_t fd, short what, void *context)
{
    static const char reply[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    limited_connection_t *connection = context;

    (void)fd;
    (void)what;
    if (connection->server->closes) {
        shutdown(bufferevent_getfd(connection->stream), SHUT_RDWR);
        return;
    }
    bufferevent_write(connection->stream, reply, sizeof(reply) - 1);
}

static void
read_limited(struct bufferevent *stream, void *context)
{
    limited_connection_t *connection = context;
    limited_server_t *server = connection->server;
    struct evbuffer *input = bufferevent_get_input(stream);
    struct timeval delay = {.tv_usec = server->delay_ms * 1000};

    if (evbuffer_search(input, "\r\n\r\n", 4, NULL).pos < 0) {
        return;
    }
    evbuffer_drain(input, evbuffer_get_length(input));
    server->requests++;
    if (!server->silent) {
        event_add(connection->delay, &delay);
    }
}

static void
end_limited(struct bufferevent *stream, short what, void *context)
{
    limited_connection_t *connection = context;

    (void)stream;
    (void)what;
    connection->server->connections--;
    event_free(connection->delay);
    bufferevent_free(connection->stream);
    free(connection);
}

static void
accept_limited(evutil_socket_t fd, short what, void *context)
{
    limited_server_t *server = context;
    struct linger reset = {.l_onoff = 1};
    int socket = accept(fd, NULL, NULL);
    limited_connection_t *connection;

    (void)what;
    CU_ASSERT_FATAL(socket >= 0);
    server->accepted++;
    if (server->connections >= server->connections_max) {
        server->resets++;
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        close(socket);
        return;
    }
    evutil_make_socket_nonblocking(socket);
    server->connections++;
    connection = calloc(1, sizeof(*connection));
    connection->server = server;
    connection->stream =
        bufferevent_socket_new(server->base, socket, BEV_OPT_CLOSE_ON_FREE);
    connection->delay =
        event_new(server->base, -1, 0, answer_limited, connection);
    server->latest = connection->stream;
    bufferevent_setcb(connection->stream, read_limited, NULL, end_limited,
                      connection);
    bufferevent_enable(connection->stream, EV_READ | EV_WRITE);
}

/**
 * FvLimitedServer_Open - start a server on a free port of loopback
 * @server: the server
 * @base: the event loop in which it runs; freed with it
 * @connections_max: the number of connections that it takes
 */
void
FvLimitedServer_Open(limited_server_t *server, struct event_base *base,
                     uint32_t connections_max)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(address);

    *server = (limited_server_t){
        .base = base, .connections_max = connections_max, .delay_ms = 1};
    server->listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    CU_ASSERT_EQUAL_FATAL(
        bind(server->listener, (struct sockaddr *)&address, sizeof(address)),
        0);
    CU_ASSERT_EQUAL_FATAL(listen(server->listener, 128), 0);
    getsockname(server->listener, (struct sockaddr *)&address, &size);
    snprintf(server->address, sizeof(server->address), "127.0.0.1:%u",
             ntohs(address.sin_port));
    server->listen = event_new(base, server->listener, EV_READ | EV_PERSIST,
                               accept_limited, server);
    event_add(server->listen, NULL);
}

/**
 * FvLimitedServer_Close - stop a server, whose clients close their connections
 * @server: the server
 */
void
FvLimitedServer_Close(limited_server_t *server)
{
    struct timeval limit = {.tv_usec = 50000};

    event_base_loopexit(server->base, &limit); /* the clients have closed */
    event_base_dispatch(server->base);
    event_free(server->listen);
    close(server->listener);
    event_base_free(server->base);
}
