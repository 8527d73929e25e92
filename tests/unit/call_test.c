/*
 * The call pool: when callbacks run, and which connections it closes at its
 * limit.
 */

#include "entry.h"
#include "suite.h"

#include <arpa/inet.h>
#include <event2/http.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

typedef struct outcome {
    uint32_t answers;
    int32_t status;
    bool sending;
    bool during_send;
} outcome_t;

static void
on_answer(void *context, const fv_call_answer_t *answer)
{
    outcome_t *outcome = context;

    outcome->answers++;
    outcome->status = answer->status;
    outcome->during_send = outcome->sending;
}

static void
send_to(const char *address, outcome_t *outcome)
{
    struct event_base *base = event_base_new();
    fv_call_pool_t *pool = FvCallPool_New(base, 8);
    struct timeval limit = {.tv_sec = 2};
    fv_call_t call = {.method = "GET", .path = "/"};

    *outcome = (outcome_t){.sending = true};
    FvCallPool_Send(pool, address, &call, 500, on_answer, outcome);
    outcome->sending = false;
    event_base_loopexit(base, &limit);
    while (outcome->answers == 0 && !event_base_got_exit(base)) {
        event_base_loop(base, EVLOOP_ONCE);
    }
    FvCallPool_Free(pool);
    event_base_free(base);
}

/* Descriptors run out in the middle of a scheduling pass. The callback must
 * not run before the pass has ended. */
static void
test_send_failure_is_reported_later(void)
{
    outcome_t outcome;

    send_to("no address", &outcome);
    CU_ASSERT_EQUAL(outcome.answers, 1);
    CU_ASSERT_EQUAL(outcome.status, 0);
    CU_ASSERT_FALSE(outcome.during_send);
}

/* The kernel refuses the connection within connect(). */
static void
test_refused_connection_is_reported_later(void)
{
    outcome_t outcome;

    send_to("255.255.255.255:9", &outcome);
    CU_ASSERT_EQUAL(outcome.answers, 1);
    CU_ASSERT_EQUAL(outcome.status, 0);
    CU_ASSERT_FALSE(outcome.during_send);
}

static void
serve_ok(struct evhttp_request *request, void *context)
{
    (void)context;
    evhttp_send_reply(request, 200, "OK", NULL);
}

typedef struct upstream {
    struct evhttp *server;
    char address[Fv_ADDRESS_SIZE];
} upstream_t;

static upstream_t
open_upstream(struct event_base *base)
{
    upstream_t upstream = {.server = evhttp_new(base)};
    struct evhttp_bound_socket *bound =
        evhttp_bind_socket_with_handle(upstream.server, "127.0.0.1", 0);
    struct sockaddr_in address = {0};
    socklen_t size = sizeof(address);

    CU_ASSERT_PTR_NOT_NULL_FATAL(bound);
    getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&address,
                &size);
    snprintf(upstream.address, sizeof(upstream.address), "127.0.0.1:%u",
             ntohs(address.sin_port));
    evhttp_set_gencb(upstream.server, serve_ok, NULL);
    return upstream;
}

static int32_t
call_and_wait(struct event_base *base, fv_call_pool_t *pool,
              const char *address)
{
    outcome_t outcome = {0};
    struct timeval limit = {.tv_sec = 2};
    fv_call_t call = {.method = "GET", .path = "/"};

    FvCallPool_Send(pool, address, &call, 500, on_answer, &outcome);
    event_base_loopexit(base, &limit);
    while (outcome.answers == 0 && !event_base_got_exit(base)) {
        event_base_loop(base, EVLOOP_ONCE);
    }
    return outcome.status;
}

/* A leader has 3,000 workers, more than its descriptor limit allows idle
 * connections for. */
static void
test_idle_connections_are_closed_for_new_calls(void)
{
    struct event_base *base = event_base_new();
    fv_call_pool_t *pool = FvCallPool_New(base, 2);
    upstream_t upstreams[4];

    for (uint32_t i = 0; i < 4; i++) {
        upstreams[i] = open_upstream(base);
    }
    for (uint32_t i = 0; i < 12; i++) {
        CU_ASSERT_EQUAL(call_and_wait(base, pool, upstreams[i % 4].address),
                        200);
    }
    CU_ASSERT_EQUAL(FvCallPool_Open(pool), 2);
    FvCallPool_Free(pool);
    for (uint32_t i = 0; i < 4; i++) {
        evhttp_free(upstreams[i].server);
    }
    event_base_free(base);
}

/* Every connection of the pool waits for an answer. */
static void
test_busy_connections_stay_open(void)
{
    struct event_base *base = event_base_new();
    fv_call_pool_t *pool = FvCallPool_New(base, 1);
    upstream_t upstream = open_upstream(base);
    outcome_t first = {0};
    fv_call_t call = {.method = "GET", .path = "/"};

    FvCallPool_Send(pool, upstream.address, &call, 500, on_answer, &first);
    CU_ASSERT_EQUAL(call_and_wait(base, pool, "127.0.0.1:9"), 0);
    while (first.answers == 0) {
        event_base_loop(base, EVLOOP_ONCE);
    }
    CU_ASSERT_EQUAL(call_and_wait(base, pool, upstream.address), 200);
    CU_ASSERT_EQUAL(first.status, 200);
    FvCallPool_Free(pool);
    evhttp_free(upstream.server);
    event_base_free(base);
}

#define PAGE_BYTES (1 << 20) /* the most that a page of the store has */
#define TURNS_MAX 32         /* with 4 KiB a turn it would be 256 */
#define TURN_US 2000         /* the sender fills the socket meanwhile */

/* Answers one request with a page. */
static void *
serve_page(void *context)
{
    static char page[PAGE_BYTES];
    static const char head[] = "HTTP/1.1 200 OK\r\n"
                               "Content-Length: 1048576\r\n\r\n";
    int listener = *(const int *)context;
    int connection = accept(listener, NULL, NULL);
    char request[1024];
    ssize_t sent = 0;

    CU_ASSERT(connection >= 0);
    CU_ASSERT(read(connection, request, sizeof(request)) > 0);
    CU_ASSERT_EQUAL(write(connection, head, strlen(head)),
                    (ssize_t)strlen(head));
    while (sent < PAGE_BYTES) {
        ssize_t part =
            write(connection, page + sent, (size_t)(PAGE_BYTES - sent));

        if (part <= 0) {
            break;
        }
        sent += part;
    }
    CU_ASSERT_EQUAL(sent, PAGE_BYTES);
    close(connection);
    return NULL;
}

typedef struct other_work {
    struct event *event;
    uint32_t turns;
} other_work_t;

static void
do_other_work(evutil_socket_t fd, short what, void *context)
{
    other_work_t *work = context;
    struct timeval at_once = {0};

    (void)fd;
    (void)what;
    work->turns++;
    usleep(TURN_US);
    event_add(work->event, &at_once);
}

/* A page of the worker registry arrives while other events are always due, as
 * on the host of a busy leader. */
static void
test_preferred_answer_takes_few_turns(void)
{
    struct event_base *base = event_base_new();
    fv_call_pool_t *pool = FvCallPool_New(base, 1);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(address);
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    fv_call_t call = {.method = "GET", .path = "/"};
    outcome_t outcome = {0};
    char text[Fv_ADDRESS_SIZE];
    pthread_t server;
    other_work_t work = {0};

    event_base_priority_init(base, Fv_PRIORITIES);
    CU_ASSERT_EQUAL_FATAL(
        bind(listener, (struct sockaddr *)&address, sizeof(address)), 0);
    CU_ASSERT_EQUAL_FATAL(listen(listener, 1), 0);
    getsockname(listener, (struct sockaddr *)&address, &size);
    snprintf(text, sizeof(text), "127.0.0.1:%u", ntohs(address.sin_port));
    pthread_create(&server, NULL, serve_page, &listener);
    FvCallPool_Prefer(pool, text);
    FvCallPool_Send(pool, text, &call, 5000, on_answer, &outcome);
    work.event = event_new(base, -1, 0, do_other_work, &work);
    event_add(work.event, &(struct timeval){0});
    while (outcome.answers == 0 && work.turns < 1000) {
        event_base_loop(base, EVLOOP_ONCE);
    }
    CU_ASSERT_EQUAL(outcome.status, 200);
    CU_ASSERT(work.turns <= TURNS_MAX);
    pthread_join(server, NULL);
    event_free(work.event);
    FvCallPool_Free(pool);
    event_base_free(base);
    close(listener);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"the callback of a call that cannot be sent runs within the send",
         test_send_failure_is_reported_later},
        {"the callback of a refused connection runs within the send",
         test_refused_connection_is_reported_later},
        {"idle connections prevent new calls",
         test_idle_connections_are_closed_for_new_calls},
        {"a new call closes the connection of a call in progress",
         test_busy_connections_stay_open},
        {"a page of the store takes many turns of the event loop",
         test_preferred_answer_takes_few_turns},
    };

    return Fv_RUN_SUITE("call", cases);
}
