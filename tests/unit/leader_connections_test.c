/*
 * What a leader concludes from connections that a worker closes: its process
 * may have ended, and the next one may be of another kind.
 */

#include "cell-leader.h"
#include "fake_kv.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define TURN_MS 50

static struct event_base *base;
static struct evhttp *server;
static int latest_socket;  /* on which a request arrived */
static bool closes_orders; /* without an answer */
static bool closes_holds;
static bool delays_holds; /* for ever */
static uint32_t holds;
static uint32_t starts;
static int64_t born;
static fv_leader_t leader;
static fv_sched_worker_t *worker;

static const fv_sched_ops_t ops = {
    .decode = FvPlatform_DecodeJobSpec,
    .start = FvLeaderOrder_Start,
    .stop_orphan_run = FvLeaderOrder_StopOrphanRun,
    .request_report = FvLeaderWorker_RequestReport,
    .record = FvLeaderRecord_Write};
static const fv_entry_settings_t settings = {.host = "akl-1"};

static bool
on_may_send_orders(void *context, int64_t time_ms)
{
    (void)context;
    (void)time_ms;
    return true;
}

static void
on_event(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    (void)context;
}

static void
on_lost(void *context)
{
    (void)context;
}

static void
serve(struct evhttp_request *request, void *context)
{
    struct evbuffer *body = evhttp_request_get_output_buffer(request);
    bool hold = strcmp(evhttp_request_get_uri(request), "/hold") == 0;

    (void)context;
    latest_socket = bufferevent_getfd(evhttp_connection_get_bufferevent(
        evhttp_request_get_connection(request)));
    if (hold ? closes_holds : closes_orders) {
        shutdown(latest_socket, SHUT_RDWR);
        return;
    }
    if (hold && delays_holds) {
        return;
    }
    holds += hold ? 1 : 0;
    starts += strcmp(evhttp_request_get_uri(request), "/run-start") == 0;
    evbuffer_add_printf(body,
                        "{\"clockMs\":5000,\"born\":%lld,\"running\":[],"
                        "\"ended\":[]}",
                        (long long)born);
    evhttp_send_reply(request, 200, "OK", NULL);
}

static void
listen_as_worker(fv_worker_entry_t *entry)
{
    struct evhttp_bound_socket *bound;
    struct sockaddr_in address = {0};
    socklen_t size = sizeof(address);

    server = evhttp_new(base);
    bound = evhttp_bind_socket_with_handle(server, "127.0.0.1", 0);
    CU_ASSERT_PTR_NOT_NULL_FATAL(bound);
    getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&address,
                &size);
    snprintf(entry->address, sizeof(entry->address), "127.0.0.1:%u",
             ntohs(address.sin_port));
    evhttp_set_gencb(server, serve, NULL);
}

/* Opens a leader with one worker that has reported. No call is in progress, as
 * while the ends of a report are being recorded. */
static void
open_leader(void)
{
    static const int64_t revisions[Fv_RECORD_STREAMS] = {11};
    fv_worker_entry_t entry = {.id = "w1",
                               .service = "app",
                               .cpu_millis = 1000,
                               .memory_mib = 1000,
                               .started_wall_ms = 77};
    fv_worker_session_t *session;

    fake_kv_reset();
    base = event_base_new();
    born = 77;
    holds = 0;
    starts = 0;
    delays_holds = false;
    closes_orders = false;
    closes_holds = false;
    listen_as_worker(&entry);
    leader = (fv_leader_t){.base = base,
                           .pool = FvCallPool_New(base, 100),
                           .settings = &settings,
                           .events = {.may_send_orders = on_may_send_orders},
                           .epoch = 900,
                           .began_ms = FvClock_NowMs(),
                           .serving = true};
    FvCallPool_OnClosed(leader.pool, FvLeaderWorker_ConnectionClosed, &leader);
    FvSched_Init(&leader.sched, &ops,
                 &(fv_sched_timeouts_t){.lease_ms = 4500,
                                        .lease_max_ms = 10000,
                                        .stop_max_ms = 900});
    leader.pass_timer = event_new(base, -1, 0, on_event, NULL);
    leader.records = FvRecordWriter_New(
        base, NULL,
        &(fv_records_owner_t){
            .epoch = 900, .retention_ms = 180000, .lost = on_lost},
        revisions);
    worker = FvSched_UpdateWorker(&leader.sched, &entry, FvClock_NowMs());
    CU_ASSERT_PTR_NOT_NULL_FATAL(worker);
    if (worker == NULL) {
        abort();
    }
    worker->in_worker_list = true;
    FvLeaderWorker_OpenSession(&leader, worker);
    session = worker->leader_session;
    CU_ASSERT_PTR_NOT_NULL_FATAL(session);
    if (session == NULL) {
        abort();
    }
    session->recording = true;
    fake_kv_run_loop(base, TURN_MS);
    CU_ASSERT_EQUAL(holds, 1);
    worker->report_due_ms = 0;
    CU_ASSERT_TRUE(FvSched_IsWorkerAvailable(worker, FvClock_NowMs()));
}

static void
close_leader(void)
{
    FvCallPool_Free(leader.pool);
    free(worker->leader_session);
    FvRecordWriter_Free(leader.records);
    FvSched_Clear(&leader.sched);
    event_free(leader.pass_timer);
    evhttp_free(server);
    event_base_free(base);
}

static void
check_next_report(int64_t next_born)
{
    CU_ASSERT_FALSE(FvSched_IsWorkerAvailable(worker, FvClock_NowMs()));
    CU_ASSERT_NOT_EQUAL(worker->report_due_ms, 0);
    born = next_born;
    FvLeaderWorker_RequestReport(&leader.sched, worker);
    fake_kv_run_loop(base, TURN_MS);
    CU_ASSERT_EQUAL(holds, 2);
    CU_ASSERT_EQUAL(FvSched_IsWorkerAvailable(worker, FvClock_NowMs()),
                    next_born == 77);
    CU_ASSERT_EQUAL(worker->started_wall_ms, next_born);
}

/* No call fails when the process ends. */
static void
test_connection_at_rest(void)
{
    for (int64_t next = 77; next <= 78; next++) {
        open_leader();
        shutdown(latest_socket, SHUT_RDWR);
        fake_kv_run_loop(base, TURN_MS);
        check_next_report(next);
        close_leader();
    }
}

/* The run belongs to no task. */
static void
test_connection_of_an_orphan_stop(void)
{
    open_leader();
    closes_orders = true;
    FvLeaderOrder_StopOrphanRun(&leader.sched, worker, "x.0.0.0", 1);
    fake_kv_run_loop(base, TURN_MS);
    check_next_report(78);
    close_leader();
}

/* A report that was requested before, and may be answered in 2 s, does not
 * count. */
static void
test_connection_of_a_renewal_beside_a_long_poll(void)
{
    open_leader();
    closes_holds = true;
    ((fv_worker_session_t *)worker->leader_session)->long_poll_pending = true;
    FvLeaderWorker_RequestReport(&leader.sched, worker);
    fake_kv_run_loop(base, TURN_MS);
    closes_holds = false;
    check_next_report(77);
    close_leader();
}

static void
submit(const char *id)
{
    static const char document[] =
        "{\"taskSpec\":\"\",\"steps\":[{\"count\":1,"
        "\"cpu\":100,\"memMb\":10}]}";
    static const fv_cell_queue_t queue = {
        .name = "slow", .service = "app", .attempts_max = 3};
    int64_t now_ms = FvClock_NowMs();
    fv_job_spec_t spec;
    fv_sched_job_t *job;

    CU_ASSERT_TRUE_FATAL(
        FvPlatform_DecodeJobSpec(document, strlen(document), &spec));
    job = FvSched_AddJob(&leader.sched, id, &queue, &spec, document,
                         strlen(document), now_ms, now_ms);
    FvJobSpec_Clear(&spec);
    CU_ASSERT_PTR_NOT_NULL_FATAL(job);
    FvSched_MarkJobDurable(&leader.sched, job);
    FvSched_ReleaseStages(&leader.sched, job, now_ms, now_ms);
    FvSched_RunPass(&leader.sched, now_ms, now_ms);
    fake_kv_run_loop(base, TURN_MS);
}

/* The connection to the earlier process has a long poll, and its end is not
 * known yet. A report of the same process adds a connection for this start and
 * for later ones. */
static void
test_start_without_a_connection(void)
{
    for (int64_t next = 77; next <= 78; next++) {
        open_leader();
        delays_holds = true;
        FvLeaderWorker_RenewLease(worker->leader_session, true);
        fake_kv_run_loop(base, TURN_MS);
        delays_holds = false;
        born = next;
        submit("5c0e7a21d94b36f8");
        CU_ASSERT_EQUAL(starts, next == 77);
        CU_ASSERT(next != 77 || holds == 2);
        CU_ASSERT_EQUAL(worker->started_wall_ms, next);
        submit("5c0e7a21d94b36f9");
        CU_ASSERT_EQUAL(starts, next == 77 ? 2 : 0);
        CU_ASSERT(next != 77 || holds == 2);
        close_leader();
    }
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a worker that closed a connection at rest gets a start before it "
         "reports",
         test_connection_at_rest},
        {"a worker that closed the connection of a stop gets a start before "
         "it reports",
         test_connection_of_an_orphan_stop},
        {"a worker that closed the connection of a renewal stays silent for a "
         "whole long poll",
         test_connection_of_a_renewal_beside_a_long_poll},
        {"a start opens a connection, and so reaches a process that has not "
         "reported",
         test_start_without_a_connection},
    };

    return Fv_RUN_SUITE("leader_connections", cases);
}
