/*
 * The call pool: when callbacks run, which connections it closes at its limit,
 * and how calls to one server share connections.
 */

#include "limited-server.h"
#include "suite.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

typedef struct outcome {
    uint32_t answers;
    int32_t status;
    bool not_sent;
    bool refused;
    bool closed;
    int64_t waited_ms;
    uint32_t *sequence; /* counts answers over several calls, or NULL */
    uint32_t rank;
    bool sending;
    bool during_send;
} outcome_t;

static void
on_answer(void *context, const fv_call_answer_t *answer)
{
    outcome_t *outcome = context;

    outcome->answers++;
    outcome->status = answer->status;
    outcome->not_sent = answer->not_sent;
    outcome->refused = answer->refused;
    outcome->closed = answer->closed;
    outcome->waited_ms = answer->waited_ms;
    if (outcome->sequence != NULL) {
        outcome->rank = ++*outcome->sequence;
    }
    outcome->during_send = outcome->sending;
}

static const fv_call_bounds_t no_bounds = {.open_max = 64, .rest_max = 64};

static void
send_call(fv_call_pool_t *pool, const char *address,
          const fv_call_terms_t *terms, outcome_t *outcome)
{
    fv_call_t call = {.method = "GET", .path = "/"};

    FvCallPool_Send(pool, address, &call, terms, on_answer, outcome);
}

static void
send_to(const char *address, outcome_t *outcome)
{
    struct event_base *base = event_base_new();
    fv_call_pool_t *pool = FvCallPool_New(base, 8);
    struct timeval limit = {.tv_sec = 2};

    *outcome = (outcome_t){.sending = true};
    send_call(pool, address,
              &(fv_call_terms_t){.bounds = &no_bounds, .timeout_ms = 500},
              outcome);
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

    send_call(pool, address,
              &(fv_call_terms_t){.bounds = &no_bounds, .timeout_ms = 500},
              &outcome);
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

    send_call(pool, upstream.address,
              &(fv_call_terms_t){.bounds = &no_bounds, .timeout_ms = 500},
              &first);
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
    send_call(pool, text,
              &(fv_call_terms_t){.bounds = &no_bounds, .timeout_ms = 5000},
              &outcome);
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

static const fv_call_bounds_t worker_bounds = {.open_max = 4,
                                               .rest_max = 2,
                                               .waits_for_shared = true,
                                               .server_limits = true};

static void
run_for(struct event_base *base, int64_t ms)
{
    struct timeval limit = {.tv_sec = (time_t)(ms / 1000),
                            .tv_usec = (suseconds_t)(ms % 1000 * 1000)};

    event_base_loopexit(base, &limit);
    event_base_dispatch(base);
}

static void
run_until_answered(struct event_base *base, const outcome_t *outcomes,
                   uint32_t count)
{
    int64_t until_ms = FvClock_NowMs() + 5000;
    uint32_t answered = 0;

    while (answered < count && FvClock_NowMs() < until_ms) {
        struct timeval turn = {.tv_usec = 20000};

        event_base_loopexit(base, &turn);
        event_base_dispatch(base);
        answered = 0;
        for (uint32_t i = 0; i < count; i++) {
            answered += outcomes[i].answers;
        }
    }
    CU_ASSERT_EQUAL(answered, count);
}

static void
send_urgent(fv_call_pool_t *pool, const limited_server_t *server,
            fv_call_urgency_t urgency, outcome_t *outcome)
{
    send_call(pool, server->address,
              &(fv_call_terms_t){.bounds = &worker_bounds,
                                 .urgency = urgency,
                                 .timeout_ms = 1000},
              outcome);
}

/* A pass starts a dozen tasks on one worker. With a connection for each, four
 * hosts that have led use up the worker's 64. */
static void
test_connections_to_one_server_are_bounded(void)
{
    struct event_base *base = event_base_new();
    fv_call_pool_t *pool = FvCallPool_New(base, 100);
    limited_server_t server;
    outcome_t outcomes[40] = {0};

    FvLimitedServer_Open(&server, base, 64);
    for (uint32_t i = 0; i < 40; i++) {
        send_urgent(pool, &server, Fv_CALL_START, &outcomes[i]);
    }
    run_until_answered(base, outcomes, 40);
    for (uint32_t i = 0; i < 40; i++) {
        CU_ASSERT_EQUAL(outcomes[i].status, 200);
    }
    CU_ASSERT(server.accepted <= 4);
    CU_ASSERT(FvCallPool_Open(pool) <= 4);
    run_for(base, 3200); /* idle for 2 s, and a sweep */
    CU_ASSERT_EQUAL(FvCallPool_Open(pool), 2);
    CU_ASSERT_EQUAL(server.connections, 2);
    FvCallPool_Free(pool);
    FvLimitedServer_Close(&server);
}

/* A stop and a renewal wait behind a burst of starts, or all of them behind a
 * long poll. */
static void
test_urgent_calls_go_first(void)
{
    struct event_base *base = event_base_new();
    fv_call_pool_t *pool = FvCallPool_New(base, 100);
    limited_server_t server;
    outcome_t outcomes[24] = {0};
    uint32_t sequence = 0;

    FvLimitedServer_Open(&server, base, 64);
    server.delay_ms = 20;
    for (uint32_t i = 0; i < 24; i++) {
        outcomes[i].sequence = &sequence;
    }
    send_urgent(pool, &server, Fv_CALL_LONG_POLL, &outcomes[0]);
    for (uint32_t i = 1; i < 22; i++) {
        send_urgent(pool, &server, Fv_CALL_START, &outcomes[i]);
    }
    send_urgent(pool, &server, Fv_CALL_RENEWAL, &outcomes[22]);
    send_urgent(pool, &server, Fv_CALL_STOP, &outcomes[23]);
    run_until_answered(base, outcomes, 24);
    /* Four calls were in progress when the stop came. */
    CU_ASSERT(outcomes[23].rank <= 8);
    CU_ASSERT(outcomes[22].rank >= 21);
    CU_ASSERT(outcomes[22].waited_ms >= server.delay_ms);
    CU_ASSERT_EQUAL(outcomes[22].status, 200);
    FvCallPool_Free(pool);
    FvLimitedServer_Close(&server);
}

/* Every start to a silent worker stays in doubt, and its task waits for the
 * worker's lease to expire. */
static void
test_call_that_found_no_connection_is_certainly_not_executed(void)
{
    struct event_base *base = event_base_new();
    fv_call_pool_t *pool = FvCallPool_New(base, 100);
    limited_server_t server;
    outcome_t outcomes[20] = {0};
    uint32_t not_sent = 0;

    FvLimitedServer_Open(&server, base, 64);
    server.silent = true;
    for (uint32_t i = 0; i < 20; i++) {
        send_call(pool, server.address,
                  &(fv_call_terms_t){.bounds = &worker_bounds,
                                     .urgency = Fv_CALL_START,
                                     .timeout_ms = 200},
                  &outcomes[i]);
    }
    run_until_answered(base, outcomes, 20);
    for (uint32_t i = 0; i < 20; i++) {
        CU_ASSERT_EQUAL(outcomes[i].status, 0);
        CU_ASSERT_FALSE(outcomes[i].refused);
        not_sent += outcomes[i].not_sent;
    }
    CU_ASSERT(not_sent >= 12);
    CU_ASSERT_EQUAL(server.requests, 20 - not_sent);
    FvCallPool_Free(pool);
    FvLimitedServer_Close(&server);
}

/* A refused connection leaves the call in doubt although nothing was
 * written. */
static void
test_refused_call_is_certainly_not_executed(void)
{
    outcome_t outcome;

    send_to("127.0.0.1:9", &outcome);
    CU_ASSERT_EQUAL(outcome.answers, 1);
    CU_ASSERT_EQUAL(outcome.status, 0);
    CU_ASSERT_TRUE(outcome.not_sent);
    CU_ASSERT_TRUE(outcome.refused);
}

/* The server has one connection left for this host, since those of dead hosts
 * stay open. Every further call would be reset and in doubt. */
static void
test_server_at_its_limit_is_served_on_one_connection(void)
{
    struct event_base *base = event_base_new();
    fv_call_pool_t *pool = FvCallPool_New(base, 100);
    limited_server_t server;
    outcome_t outcomes[30] = {0};
    uint32_t unanswered = 0;

    FvLimitedServer_Open(&server, base, 1);
    server.delay_ms = 5;
    for (uint32_t i = 0; i < 30; i++) {
        send_urgent(pool, &server, i == 0 ? Fv_CALL_RENEWAL : Fv_CALL_START,
                    &outcomes[i]);
    }
    run_until_answered(base, outcomes, 30);
    for (uint32_t i = 0; i < 30; i++) {
        unanswered += outcomes[i].status != 200;
        CU_ASSERT_FALSE(outcomes[i].refused);
    }
    /* Those that were under way when the first reset came. */
    CU_ASSERT(unanswered <= 3);
    CU_ASSERT(server.resets <= 3);
    CU_ASSERT_FALSE(FvCallPool_MayLongPoll(pool, server.address));
    server.connections_max = 2;
    run_for(base, 2100);
    outcomes[0] = (outcome_t){0};
    send_urgent(pool, &server, Fv_CALL_RENEWAL, &outcomes[0]);
    run_until_answered(base, outcomes, 1);
    CU_ASSERT_TRUE(FvCallPool_MayLongPoll(pool, server.address));
    FvCallPool_Free(pool);
    FvLimitedServer_Close(&server);
}

/* A host that no longer leads keeps the connections that the next leader
 * needs. */
static void
test_close_ends_calls_and_connections(void)
{
    struct event_base *base = event_base_new();
    fv_call_pool_t *pool = FvCallPool_New(base, 100);
    limited_server_t server;
    outcome_t outcomes[12] = {0};
    uint32_t not_sent = 0;

    FvLimitedServer_Open(&server, base, 64);
    server.silent = true;
    for (uint32_t i = 0; i < 12; i++) {
        send_urgent(pool, &server, Fv_CALL_START, &outcomes[i]);
    }
    run_for(base, 100);
    CU_ASSERT(server.connections > 0);
    FvCallPool_Close(pool, &no_bounds);
    CU_ASSERT(FvCallPool_Open(pool) > 0);
    FvCallPool_Close(pool, &worker_bounds);
    CU_ASSERT_EQUAL(FvCallPool_Open(pool), 0);
    CU_ASSERT_EQUAL(outcomes[0].answers, 0);
    run_until_answered(base, outcomes, 12);
    for (uint32_t i = 0; i < 12; i++) {
        CU_ASSERT_EQUAL(outcomes[i].status, 0);
        not_sent += outcomes[i].not_sent;
    }
    CU_ASSERT_EQUAL(server.requests, 12 - not_sent);
    run_for(base, 50);
    CU_ASSERT_EQUAL(server.connections, 0);
    FvCallPool_Free(pool);
    FvLimitedServer_Close(&server);
}

static void
close_pool(void *context, const fv_call_answer_t *answer)
{
    CU_ASSERT_EQUAL(answer->status, 200);
    FvCallPool_Close(context, &worker_bounds);
}

/* The answer of a worker tells that another host leads. */
static void
test_close_within_a_callback(void)
{
    struct event_base *base = event_base_new();
    fv_call_pool_t *pool = FvCallPool_New(base, 100);
    fv_call_t call = {.method = "GET", .path = "/"};
    limited_server_t server;

    FvLimitedServer_Open(&server, base, 64);
    FvCallPool_Send(pool, server.address, &call,
                    &(fv_call_terms_t){.bounds = &worker_bounds,
                                       .urgency = Fv_CALL_RENEWAL,
                                       .timeout_ms = 500},
                    close_pool, pool);
    run_for(base, 100);
    CU_ASSERT_EQUAL(server.requests, 1);
    run_for(base, 2000);
    CU_ASSERT_EQUAL(FvCallPool_Open(pool), 0);
    CU_ASSERT_EQUAL(server.connections, 0);
    FvCallPool_Free(pool);
    FvLimitedServer_Close(&server);
}

/* Only a call that was sent may have been executed, and only the end of its
 * connection shows that the server has ended. */
static void
test_end_of_the_server(void)
{
    struct event_base *base = event_base_new();
    fv_call_pool_t *pool = FvCallPool_New(base, 100);
    limited_server_t server;
    outcome_t outcomes[6] = {0};
    outcome_t renewal = {0};

    FvLimitedServer_Open(&server, base, 64);
    server.silent = true;
    send_urgent(pool, &server, Fv_CALL_START, &outcomes[0]);
    run_until_answered(base, outcomes, 1);
    CU_ASSERT_FALSE(outcomes[0].closed); /* it has not been answered in time */
    outcomes[0] = (outcome_t){0};
    server.silent = false;
    server.closes = true;
    server.delay_ms = 100;
    for (uint32_t i = 0; i < 6; i++) {
        send_urgent(pool, &server, Fv_CALL_START, &outcomes[i]);
    }
    send_urgent(pool, &server, Fv_CALL_RENEWAL, &renewal);
    run_for(base, 50);
    CU_ASSERT_EQUAL(server.requests, 1 + worker_bounds.open_max);
    FvCallPool_FailUnsent(pool, server.address, Fv_CALL_START);
    CU_ASSERT_EQUAL(outcomes[5].answers, 0);
    run_until_answered(base, outcomes, 6);
    for (uint32_t i = 0; i < 6; i++) {
        CU_ASSERT_EQUAL(outcomes[i].status, 0);
        CU_ASSERT_EQUAL(outcomes[i].closed, i < worker_bounds.open_max);
        CU_ASSERT_EQUAL(outcomes[i].not_sent, i >= worker_bounds.open_max);
    }
    run_until_answered(base, &renewal, 1);
    CU_ASSERT_TRUE(renewal.closed);
    CU_ASSERT_EQUAL(server.requests, 2 + worker_bounds.open_max);
    FvCallPool_Free(pool);
    FvLimitedServer_Close(&server);
}

/* The connection was requested of the process that has ended, and is accepted
 * by the next one. */
static void
test_end_of_the_server_during_a_connect(void)
{
    struct event_base *base = event_base_new();
    fv_call_pool_t *pool = FvCallPool_New(base, 100);
    limited_server_t server;
    outcome_t outcomes[2] = {0};
    outcome_t stop = {0};
    outcome_t renewal = {0};

    FvLimitedServer_Open(&server, base, 64);
    for (uint32_t i = 0; i < 2; i++) {
        send_urgent(pool, &server, Fv_CALL_START, &outcomes[i]);
    }
    send_urgent(pool, &server, Fv_CALL_STOP, &stop);
    FvCallPool_FailUnsent(pool, server.address, Fv_CALL_START);
    send_urgent(pool, &server, Fv_CALL_RENEWAL, &renewal);
    CU_ASSERT_EQUAL(outcomes[0].answers, 0);
    run_until_answered(base, outcomes, 2);
    run_until_answered(base, &stop, 1);
    run_until_answered(base, &renewal, 1);
    CU_ASSERT_TRUE(outcomes[0].not_sent);
    CU_ASSERT_TRUE(outcomes[1].not_sent);
    CU_ASSERT_EQUAL(stop.status, 200);
    CU_ASSERT_EQUAL(renewal.status, 200);
    CU_ASSERT_EQUAL(server.requests, 2);
    FvCallPool_Free(pool);
    FvLimitedServer_Close(&server);
}

static void
count_closed(void *context, const char *address)
{
    uint32_t *closed = context;

    (void)address;
    (*closed)++;
}

/* No call fails, so that the next one would reach another process unnoticed.
 * A connection that the pool closes itself says nothing of the server. */
static void
test_end_of_a_connection_at_rest(void)
{
    struct event_base *base = event_base_new();
    fv_call_pool_t *pool = FvCallPool_New(base, 100);
    limited_server_t server;
    outcome_t outcome = {0};
    uint32_t closed = 0;

    FvLimitedServer_Open(&server, base, 64);
    FvCallPool_OnClosed(pool, count_closed, &closed);
    send_urgent(pool, &server, Fv_CALL_RENEWAL, &outcome);
    run_until_answered(base, &outcome, 1);
    CU_ASSERT_EQUAL(closed, 0);
    shutdown(bufferevent_getfd(server.latest), SHUT_RDWR);
    run_for(base, 50);
    CU_ASSERT_EQUAL(closed, 1);
    CU_ASSERT_EQUAL(FvCallPool_Open(pool), 0);
    outcome = (outcome_t){0};
    send_urgent(pool, &server, Fv_CALL_RENEWAL, &outcome);
    run_until_answered(base, &outcome, 1);
    CU_ASSERT_EQUAL(outcome.status, 200);
    FvCallPool_Close(pool, &worker_bounds);
    run_for(base, 50);
    CU_ASSERT_EQUAL(closed, 1);
    FvCallPool_Free(pool);
    FvLimitedServer_Close(&server);
}

typedef struct reporter {
    fv_call_pool_t *pool;
    int64_t incarnation;
    outcome_t outcome;
} reporter_t;

static void
on_report(void *context, const fv_call_answer_t *answer)
{
    reporter_t *reporter = context;

    FvCallPool_NoteIncarnation(reporter->pool, reporter->incarnation);
    on_answer(&reporter->outcome, answer);
}

static void
call_for_report(struct event_base *base, const limited_server_t *server,
                reporter_t *reporter)
{
    fv_call_t call = {.method = "GET", .path = "/"};

    reporter->outcome = (outcome_t){0};
    FvCallPool_Send(reporter->pool, server->address, &call,
                    &(fv_call_terms_t){.bounds = &worker_bounds,
                                       .urgency = Fv_CALL_RENEWAL,
                                       .timeout_ms = 1000},
                    on_report, reporter);
    run_until_answered(base, &reporter->outcome, 1);
}

static void
send_to_incarnation(fv_call_pool_t *pool, const limited_server_t *server,
                    int64_t incarnation, outcome_t *outcome)
{
    *outcome = (outcome_t){0};
    send_call(pool, server->address,
              &(fv_call_terms_t){.bounds = &worker_bounds,
                                 .urgency = Fv_CALL_START,
                                 .timeout_ms = 200,
                                 .incarnation = incarnation},
              outcome);
}

/* The process at an address is known only of connections that it has answered
 * on. */
static void
test_call_to_one_incarnation(void)
{
    struct event_base *base = event_base_new();
    reporter_t reporter = {.pool = FvCallPool_New(base, 100),
                           .incarnation = 77};
    limited_server_t server;
    outcome_t outcome;

    FvLimitedServer_Open(&server, base, 64);
    send_to_incarnation(reporter.pool, &server, 77, &outcome);
    run_until_answered(base, &outcome, 1);
    CU_ASSERT_TRUE(outcome.not_sent);
    CU_ASSERT_EQUAL(server.accepted, 0);
    send_to_incarnation(reporter.pool, &server, 77, &outcome);
    CU_ASSERT_TRUE(
        FvCallPool_LacksConnection(reporter.pool, server.address, 77));
    call_for_report(base, &server, &reporter);
    run_until_answered(base, &outcome, 1);
    CU_ASSERT_EQUAL(outcome.status, 200);
    CU_ASSERT_EQUAL(server.accepted, 1);
    send_to_incarnation(reporter.pool, &server, 78, &outcome);
    run_until_answered(base, &outcome, 1);
    CU_ASSERT_TRUE(outcome.not_sent);
    shutdown(bufferevent_getfd(server.latest), SHUT_RDWR);
    run_for(base, 50);
    send_to_incarnation(reporter.pool, &server, 77, &outcome);
    run_until_answered(base, &outcome, 1);
    CU_ASSERT_TRUE(outcome.not_sent);
    CU_ASSERT_EQUAL(server.requests, 2);
    FvCallPool_Free(reporter.pool);
    FvLimitedServer_Close(&server);
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
        {"a burst of calls opens a connection for each",
         test_connections_to_one_server_are_bounded},
        {"a stop waits behind the starts that wait for a connection",
         test_urgent_calls_go_first},
        {"a call that was never written counts as in doubt",
         test_call_that_found_no_connection_is_certainly_not_executed},
        {"a call whose connection was refused counts as in doubt",
         test_refused_call_is_certainly_not_executed},
        {"calls to a server at its limit are reset one after the other",
         test_server_at_its_limit_is_served_on_one_connection},
        {"a host keeps connections that it has no more use for",
         test_close_ends_calls_and_connections},
        {"a host keeps the connection of the answer that deposed it",
         test_close_within_a_callback},
        {"an order that waits is sent to the next process of its worker",
         test_end_of_the_server},
        {"a start that waits for its connection reaches the next process",
         test_end_of_the_server_during_a_connect},
        {"the end of a server without a call goes unnoticed",
         test_end_of_a_connection_at_rest},
        {"a call to one incarnation of a server is sent to another",
         test_call_to_one_incarnation},
    };

    return Fv_RUN_SUITE("call", cases);
}
