/*
 * What is unfinished on callers' connections must be counted until it has
 * reached the caller's host, whatever the HTTP server thinks of it.
 */

#include "caller-connection.h"
#include "fireflyvalve.h"
#include "suite.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define LARGE_REPLY_BYTES (16 * 1024 * 1024)
#define DELAYED_ACK_ROUNDS 300 /* the kernel delays a FIN's by 40 ms */
/* Below the ports that the kernel gives out. */
#define FIRST_PORT 24000
#define PORT_RANGE 4000
#define PORTS_TRIED 100
#define AHEAD_BYTES 4096
#define REQUESTS_KEPT 8
#define REQUEST "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

/* None of these cases is about a limit. */
static const fv_caller_limits_t wide_limits = {
    .connections_max = {100, 100, 100},
    .memory_max_bytes = 1024 * 1024 * 1024,
    .read_ahead_bytes = 16 * 1024,
    .header_ms = 60000,
    .body_ms = 60000,
    .unread_ms = 60000};

typedef struct server {
    struct event_base *base;
    struct evhttp *http;
    fv_caller_connections_t *connections;
    struct evhttp_request *request; /* waits for a reply */
    struct evhttp_request *requests[REQUESTS_KEPT];
    int handled;
    int caller;
} server_t;

static void
handle_request(struct evhttp_request *request, void *context)
{
    server_t *server = context;

    FvCallerConnections_RequestRead(server->connections, request);
    server->request = request;
    server->requests[server->handled++ % REQUESTS_KEPT] = request;
}

static void
run_rounds(server_t *server, int rounds)
{
    for (int i = 0; i < rounds; i++) {
        event_base_loop(server->base, EVLOOP_NONBLOCK);
        usleep(1000);
    }
}

static void
set_up(server_t *server)
{
    struct evhttp_bound_socket *bound;
    struct sockaddr_in address;
    socklen_t length = sizeof(address);

    *server = (server_t){.base = event_base_new()};
    server->http = evhttp_new(server->base);
    server->connections = FvCallerConnections_New(server->base, &wide_limits);
    FvCallerConnections_Attach(server->connections, server->http,
                               Fv_CALLER_PORT_CALLERS);
    evhttp_set_gencb(server->http, handle_request, server);
    bound = evhttp_bind_socket_with_handle(server->http, "127.0.0.1", 0);
    getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&address,
                &length);
    server->caller = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    CU_ASSERT_EQUAL_FATAL(
        connect(server->caller, (struct sockaddr *)&address, length), 0);
    run_rounds(server, 3);
}

/* Has the server accept by itself, with limits. */
static void
set_up_listener(server_t *server, const fv_caller_limits_t *limits,
                struct sockaddr_in *address)
{
    bool listening = false;

    *server = (server_t){.base = event_base_new(), .caller = -1};
    server->http = evhttp_new(server->base);
    server->connections = FvCallerConnections_New(server->base, limits);
    FvCallerConnections_Attach(server->connections, server->http,
                               Fv_CALLER_PORT_CALLERS);
    evhttp_set_gencb(server->http, handle_request, server);
    *address = (struct sockaddr_in){.sin_family = AF_INET,
                                    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    for (int i = 0; i < PORTS_TRIED && !listening; i++) {
        address->sin_port =
            htons((uint16_t)(FIRST_PORT + (getpid() * 7 + i) % PORT_RANGE));
        listening = FvCallerConnections_Listen(
            server->connections, Fv_CALLER_PORT_CALLERS, address);
    }
    CU_ASSERT_TRUE_FATAL(listening);
}

static int
connect_caller(server_t *server, const struct sockaddr_in *address)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    CU_ASSERT_EQUAL_FATAL(
        connect(fd, (const struct sockaddr *)address, sizeof(*address)), 0);
    run_rounds(server, 3);
    return fd;
}

static bool
is_closed_by_host(int fd)
{
    char byte;

    return recv(fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK) == 0;
}

static void
tear_down(server_t *server)
{
    close(server->caller);
    evhttp_free(server->http);
    FvCallerConnections_Free(server->connections);
    event_base_free(server->base);
}

static fv_caller_traffic_t
count(const server_t *server)
{
    fv_caller_traffic_t traffic;

    FvCallerConnections_Count(server->connections, &traffic);
    return traffic;
}

static void
send_text(server_t *server, const char *text)
{
    size_t length = strlen(text);

    CU_ASSERT_EQUAL(send(server->caller, text, length, MSG_NOSIGNAL),
                    (ssize_t)length);
}

static void
take_request(server_t *server)
{
    send_text(server, REQUEST);
    run_rounds(server, 3);
    CU_ASSERT_EQUAL_FATAL(server->handled, 1);
}

static void
reply(server_t *server, size_t bytes, bool close_after)
{
    struct evbuffer *body = evbuffer_new();
    char *text = calloc(1, bytes);

    evbuffer_add(body, text, bytes);
    if (close_after) {
        evhttp_add_header(evhttp_request_get_output_headers(server->request),
                          "Connection", "close");
    }
    evhttp_send_reply(server->request, 200, "OK", body);
    server->request = NULL;
    evbuffer_free(body);
    free(text);
}

static size_t
read_all(server_t *server, int rounds)
{
    static char part[1 << 20];
    size_t total = 0;

    for (int i = 0; i < rounds; i++) {
        ssize_t received;

        run_rounds(server, 1);
        while ((received = recv(server->caller, part, sizeof(part),
                                MSG_DONTWAIT)) > 0) {
            total += (size_t)received;
        }
        if (received == 0) {
            break;
        }
    }
    return total;
}

/* Guards against a request that arrives in pieces being taken for none. */
static void
test_partial_request_is_receiving(void)
{
    server_t server;

    set_up(&server);
    CU_ASSERT_EQUAL(count(&server).connections, 1);
    CU_ASSERT_EQUAL(count(&server).receiving, 0);
    send_text(&server, "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nab");
    run_rounds(&server, 3);
    CU_ASSERT_EQUAL(server.handled, 0);
    CU_ASSERT_EQUAL(count(&server).receiving, 1);
    send_text(&server, "cd");
    run_rounds(&server, 3);
    CU_ASSERT_EQUAL(server.handled, 1);
    CU_ASSERT_EQUAL(count(&server).receiving, 0);
    tear_down(&server);
}

/* Guards against a request that only the kernel has read being taken for
 * none. */
static void
test_unread_bytes_are_receiving(void)
{
    server_t server;

    set_up(&server);
    send_text(&server, REQUEST);
    CU_ASSERT_EQUAL(count(&server).receiving, 1);
    tear_down(&server);
}

/* Guards against the end of a process in the round of the event loop in which
 * its last reply was queued. */
static void
test_queued_reply_is_unwritten(void)
{
    server_t server;

    set_up(&server);
    take_request(&server);
    reply(&server, 10, true);
    CU_ASSERT_EQUAL(count(&server).unwritten, 1);
    CU_ASSERT(read_all(&server, 20) > 10);
    run_rounds(&server, 3);
    CU_ASSERT_EQUAL(count(&server).unwritten, 0);
    tear_down(&server);
}

/* Guards against a reply of a caller that reads slowly being cut. */
static void
test_unread_reply_is_unfinished(void)
{
    server_t server;

    set_up(&server);
    FvCallerConnections_Linger(server.connections);
    take_request(&server);
    reply(&server, LARGE_REPLY_BYTES, true);
    run_rounds(&server, 50);
    CU_ASSERT_EQUAL(count(&server).unwritten, 1);
    CU_ASSERT_EQUAL(count(&server).unacknowledged, 1);
    CU_ASSERT(read_all(&server, 5000) > LARGE_REPLY_BYTES);
    run_rounds(&server, 5);
    CU_ASSERT_EQUAL(count(&server).unwritten, 0);
    CU_ASSERT_EQUAL(count(&server).unacknowledged, 0);
    tear_down(&server);
}

/* Guards against a reset that drops what the caller's host has not
 * acknowledged: the caller has sent more than the process reads, and the
 * process closes after its reply. */
static void
test_reply_survives_unread_input(void)
{
    const struct timeval long_timeout = {.tv_sec = 5};
    char more[200000];
    server_t server;
    int small = 4096;
    size_t received;

    memset(more, 'x', sizeof(more));
    set_up(&server);
    setsockopt(server.caller, SOL_SOCKET, SO_RCVTIMEO, &long_timeout,
               sizeof(long_timeout));
    setsockopt(server.caller, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    FvCallerConnections_Linger(server.connections);
    take_request(&server);
    reply(&server, 100000, true);
    run_rounds(&server, 3); /* all of it is in the kernel */
    CU_ASSERT_EQUAL(count(&server).unwritten, 0);
    CU_ASSERT(send(server.caller, more, sizeof(more), MSG_DONTWAIT) > 0);
    FvCallerConnections_Reap(server.connections);
    received = read_all(&server, 3000);
    CU_ASSERT(received > 100000);
    run_rounds(&server, DELAYED_ACK_ROUNDS);
    FvCallerConnections_Reap(server.connections);
    CU_ASSERT_EQUAL(count(&server).connections, 0);
    tear_down(&server);
}

/* Guards against a drain that waits for a caller that has gone. */
static void
test_gone_caller_counts_for_nothing(void)
{
    const struct linger reset = {.l_onoff = 1};
    server_t server;

    set_up(&server);
    FvCallerConnections_Linger(server.connections);
    take_request(&server);
    reply(&server, LARGE_REPLY_BYTES, true);
    run_rounds(&server, 20);
    CU_ASSERT_EQUAL(count(&server).unwritten, 1);
    setsockopt(server.caller, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    close(server.caller);
    server.caller = -1;
    run_rounds(&server, 5);
    FvCallerConnections_Reap(server.connections);
    CU_ASSERT_EQUAL(count(&server).connections, 0);
    CU_ASSERT_EQUAL(count(&server).unwritten, 0);
    CU_ASSERT_EQUAL(count(&server).unacknowledged, 0);
    tear_down(&server);
}

/* Guards against descriptors that stay open after their connections: each
 * round opens and ends one by a reply. */
static void
test_closed_connections_are_released(void)
{
    int descriptor = -1;

    for (int i = 0; i < 100; i++) {
        server_t server;
        int probe;

        set_up(&server);
        send_text(&server, REQUEST);
        run_rounds(&server, 2);
        if (server.handled == 1) {
            reply(&server, 10, true);
        }
        run_rounds(&server, 2);
        CU_ASSERT_EQUAL(count(&server).connections, 0);
        tear_down(&server);
        probe = dup(0);
        close(probe);
        CU_ASSERT(descriptor < 0 || probe == descriptor);
        descriptor = probe;
    }
}

/* Guards against a caller that fills the process with requests while it leaves
 * an answer unread, and against one whose connection stays for good. */
static void
test_unread_answer_stops_reading(void)
{
    static char more[1024 * 1024];
    fv_caller_limits_t limits = wide_limits;
    struct bufferevent *stream;
    struct sockaddr_in address;
    server_t server;
    int on = 1;

    limits.read_ahead_bytes = AHEAD_BYTES;
    limits.unread_ms = 1;
    memset(more, 'x', sizeof(more));
    set_up_listener(&server, &limits, &address);
    server.caller = connect_caller(&server, &address);
    take_request(&server);
    stream = evhttp_connection_get_bufferevent(
        evhttp_request_get_connection(server.request));
    reply(&server, LARGE_REPLY_BYTES, false);
    ioctl(server.caller, FIONBIO, &on);
    for (int i = 0; i < 100; i++) {
        send(server.caller, more, sizeof(more), MSG_NOSIGNAL);
        run_rounds(&server, 1);
    }
    CU_ASSERT(evbuffer_get_length(bufferevent_get_input(stream)) > 0);
    CU_ASSERT(evbuffer_get_length(bufferevent_get_input(stream)) <=
              AHEAD_BYTES);
    FvCallerConnections_Reap(server.connections);
    CU_ASSERT_EQUAL(count(&server).connections, 0);
    tear_down(&server);
}

/* Guards against a kept connection that is left without a limit, and against
 * the latest one giving way in place of the oldest. */
static void
test_idle_connection_gives_way(void)
{
    fv_caller_limits_t limits = wide_limits;
    struct sockaddr_in address;
    server_t server;
    int callers[3];

    limits.connections_max[Fv_CALLER_PORT_CALLERS] = 2;
    set_up_listener(&server, &limits, &address);
    for (int i = 0; i < 3; i++) {
        callers[i] = connect_caller(&server, &address);
    }
    run_rounds(&server, 3);
    CU_ASSERT_EQUAL(count(&server).connections, 2);
    CU_ASSERT_TRUE(is_closed_by_host(callers[0]));
    CU_ASSERT_FALSE(is_closed_by_host(callers[1]));
    CU_ASSERT_FALSE(is_closed_by_host(callers[2]));
    for (int i = 0; i < 3; i++) {
        close(callers[i]);
    }
    tear_down(&server);
}

/* Guards against a request that was read in whole and ends without an answer
 * since others want its connection; they wait in the kernel until it is
 * answered, and none is lost. */
static void
test_handled_requests_are_not_displaced(void)
{
    fv_caller_limits_t limits = wide_limits;
    struct sockaddr_in address;
    server_t server;
    int callers[4];

    limits.connections_max[Fv_CALLER_PORT_CALLERS] = 1;
    set_up_listener(&server, &limits, &address);
    for (int i = 0; i < 4; i++) {
        callers[i] = connect_caller(&server, &address);
        server.caller = callers[i];
        send_text(&server, REQUEST);
        run_rounds(&server, 3);
        FvCallerConnections_Reap(server.connections);
        run_rounds(&server, 3);
    }
    /* One connection beyond the limit shows that there is no room. */
    CU_ASSERT_EQUAL(server.handled, 2);
    CU_ASSERT_EQUAL(count(&server).connections, 2);
    for (int i = 0; i < 4; i++) {
        char text[512] = "";

        CU_ASSERT_PTR_NOT_NULL_FATAL(server.requests[i]);
        server.request = server.requests[i];
        reply(&server, 10, true);
        run_rounds(&server, 5);
        CU_ASSERT(recv(callers[i], text, sizeof(text) - 1, MSG_DONTWAIT) > 10);
        CU_ASSERT_EQUAL(strncmp(text, "HTTP/1.1 200", 12), 0);
        FvCallerConnections_Reap(server.connections);
        run_rounds(&server, 5);
        close(callers[i]);
    }
    CU_ASSERT_EQUAL(server.handled, 4);
    server.caller = -1;
    tear_down(&server);
}

/* Guards against requests in parts that take more memory than there is. */
static void
test_memory_is_bounded(void)
{
    static char body[Fv_BODY_MAX_BYTES];
    fv_caller_limits_t limits = wide_limits;
    struct sockaddr_in address;
    server_t server;
    int callers[8];

    memset(body, 'x', sizeof(body));
    limits.memory_max_bytes = 1024 * 1024;
    set_up_listener(&server, &limits, &address);
    for (int i = 0; i < 8; i++) {
        size_t sent = 0;

        callers[i] = connect_caller(&server, &address);
        server.caller = callers[i];
        send_text(&server,
                  "POST / HTTP/1.1\r\nContent-Length: 262144\r\n\r\n");
        for (int k = 0; k < 1000 && sent < sizeof(body) - 1; k++) {
            ssize_t part = send(callers[i], body, sizeof(body) - 1 - sent,
                                MSG_NOSIGNAL | MSG_DONTWAIT);

            sent += part > 0 ? (size_t)part : 0;
            run_rounds(&server, 1);
        }
        CU_ASSERT_EQUAL(sent, sizeof(body) - 1);
    }
    CU_ASSERT(count(&server).connections >= 2);
    CU_ASSERT(count(&server).connections <= 3);
    /* The latest one is served. */
    CU_ASSERT_EQUAL(send(callers[7], body, 1, MSG_NOSIGNAL), 1);
    run_rounds(&server, 5);
    CU_ASSERT_EQUAL(server.handled, 1);
    CU_ASSERT_TRUE(FvCallerConnections_HasRoom(server.connections));
    reply(&server, 10, true);
    run_rounds(&server, 5);
    for (int i = 0; i < 8; i++) {
        close(callers[i]);
    }
    server.caller = -1;
    tear_down(&server);
}

/* Guards against requests that are handled beyond the memory, and against a
 * host that refuses them for good. */
static void
test_no_room_while_requests_are_handled(void)
{
    const fv_caller_facts_t idle = {0};
    fv_caller_limits_t limits = wide_limits;
    struct sockaddr_in address;
    server_t server;
    int callers[2];

    /* For two connections and one request, which counts with 1.3 KB. */
    limits.memory_max_bytes = 2 * FvCallerFacts_Bytes(&idle) + 2000;
    set_up_listener(&server, &limits, &address);
    for (int i = 0; i < 2; i++) {
        callers[i] = connect_caller(&server, &address);
    }
    for (int i = 0; i < 2; i++) {
        server.caller = callers[i];
        send_text(&server, REQUEST);
        run_rounds(&server, 3);
        CU_ASSERT_EQUAL(server.handled, i + 1);
        CU_ASSERT_EQUAL(FvCallerConnections_HasRoom(server.connections),
                        i == 0);
    }
    server.request = server.requests[0];
    reply(&server, 10, true);
    run_rounds(&server, 5);
    CU_ASSERT_TRUE(FvCallerConnections_HasRoom(server.connections));
    close(callers[0]);
    close(callers[1]);
    server.caller = -1;
    tear_down(&server);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a request that arrives in pieces is taken for none",
         test_partial_request_is_receiving},
        {"a request that only the kernel has read is taken for none",
         test_unread_bytes_are_receiving},
        {"a queued reply is taken for a written one",
         test_queued_reply_is_unwritten},
        {"a reply that is read slowly is taken for a whole one",
         test_unread_reply_is_unfinished},
        {"a reset drops a reply because of unread input",
         test_reply_survives_unread_input},
        {"a caller that has gone counts", test_gone_caller_counts_for_nothing},
        {"a closed connection keeps its descriptor",
         test_closed_connections_are_released},
        {"an unread answer lets a caller fill the process",
         test_unread_answer_stops_reading},
        {"the wrong connection gives way to another",
         test_idle_connection_gives_way},
        {"a request that was read gives way to another connection",
         test_handled_requests_are_not_displaced},
        {"parts of requests take all memory", test_memory_is_bounded},
        {"handled requests take all memory",
         test_no_room_while_requests_are_handled},
    };

    signal(SIGPIPE, SIG_IGN); /* as the daemon does */
    return Fv_RUN_SUITE("caller_connection", cases);
}
