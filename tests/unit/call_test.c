/*
 * The call pool: when callbacks run, and which connections it closes at its
 * limit.
 */

#include "entry.h"
#include "suite.h"

#include <arpa/inet.h>
#include <event2/http.h>
#include <stdio.h>

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
    };

    return Fv_RUN_SUITE("call", cases);
}
