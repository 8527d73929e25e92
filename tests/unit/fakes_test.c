/*
 * fake-worker and fault-proxy as separate processes. If they did not inject
 * the faults that a test requests, the end-to-end tests would pass without
 * testing anything.
 */

#include "cluster.h"
#include "fake-server.h"
#include "task-program.h"
#include "suite.h"

#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

static const topology_site_t sites[] = {
    {.region = "akl",
     .data_center = "akl-1",
     .hosts = 1,
     .racks = 1,
     .workers_per_rack = 2},
};
static const topology_t topology = {
    .sites = sites, .site_count = 1, .proxied = true, .usage_lag_ms = 50};

static cluster_t cluster;

static json_t *
base64(const char *text)
{
    return FvApi_EncodeBase64(text, strlen(text));
}

/* The worker that the calls below address. */
static const char *worker_address;
static const char *worker_name = "r1-w1";

static int
call_worker(const char *path, json_t *body, json_t **reply)
{
    char url[Fv_URL_SIZE];

    snprintf(url, sizeof(url), "http://%s/%s%s", worker_address, worker_name,
             path);
    return FvHttp_PostJson(url, body, reply);
}

/* Returns the granted term, or 0 if the lease was refused. */
static int64_t
take_lease(const char *holder, int64_t term, int ttl_ms)
{
    json_t *reply = NULL;
    int64_t granted = 0;

    if (call_worker("/v1/lease",
                    json_pack("{s:s, s:s, s:I, s:i, s:i}", "holder", holder,
                              "incarnation", "1", "term", (json_int_t)term,
                              "ttl_ms", ttl_ms, "seen", 0),
                    &reply) == 200) {
        granted = json_integer_value(json_object_get(reply, "term"));
    }
    json_decref(reply);
    return granted;
}

static json_t *
start_body(const char *id, int64_t term, const char *payload)
{
    return json_pack(
        "{s:s, s:I, s:s, s:s, s:s, s:s, s:{s:i, s:i, s:i, s:i}, s:s, s:i, "
        "s:o}",
        "id", id, "term", (json_int_t)term, "home", "host-1", "member", "m",
        "workload", "lookup", "class", "interactive", "size", "cpu_millis",
        1000, "memory_bytes", 1000, "accelerators", 0, "slots", 1, "on_lapse",
        "stop", "wait_ms", 2000, "payload_base64", base64(payload));
}

static int
start_task(const char *id, int64_t term, const char *payload)
{
    return call_worker("/v1/tasks", start_body(id, term, payload), NULL);
}

static int
stop_task(const char *id)
{
    char path[128];

    snprintf(path, sizeof(path), "/v1/tasks/%s/stop", id);
    return call_worker(path, json_object(), NULL);
}

/* Counts the recorded events of a task that have this reason. */
static int
count_records(const char *id, record_event_t event, const char *reason)
{
    records_t records;
    int count = 0;

    CU_ASSERT_TRUE(FvCluster_ReadRecords(&cluster, &records));
    for (size_t i = 0; i < records.count; i++) {
        count += records.entries[i].event == event &&
                 strcmp(records.entries[i].task, id) == 0 &&
                 strcmp(records.entries[i].reason, reason) == 0;
    }
    FvRecords_Free(&records);
    return count;
}

static void
test_stopped_id_never_starts(void)
{
    int64_t term = take_lease("host-1", 0, 60000);

    CU_ASSERT_EQUAL(stop_task("m:stopped:1:0"), 200);
    CU_ASSERT_EQUAL(start_task("m:stopped:1:0", term, "x"), 409);
    CU_ASSERT_EQUAL(count_records("m:stopped:1:0", RECORD_START, ""), 0);
    CU_ASSERT_EQUAL(count_records("m:stopped:1:0", RECORD_REFUSED, "stopped"),
                    1);
}

static void
test_old_term_starts_nothing(void)
{
    int64_t first = take_lease("host-1", 0, 200);
    int64_t second;

    CU_ASSERT_EQUAL(take_lease("host-2", 0, 60000), 0);
    CU_ASSERT_EQUAL(take_lease("host-1", first, 200), first);
    FvFake_SleepMs(300);
    CU_ASSERT_EQUAL(start_task("m:expired:1:0", first, "x"), 409);
    CU_ASSERT_EQUAL(take_lease("host-1", first, 200), 0);
    second = take_lease("host-2", 0, 60000);
    CU_ASSERT_TRUE(second > first);
    CU_ASSERT_EQUAL(start_task("m:old:1:0", first, "x"), 409);
    CU_ASSERT_EQUAL(start_task("m:new:1:0", second, "x"), 200);
    CU_ASSERT_EQUAL(call_worker("/v1/lease/release",
                                json_pack("{s:I}", "term", (json_int_t)second),
                                NULL),
                    200);
    CU_ASSERT_EQUAL(count_records("m:old:1:0", RECORD_REFUSED, "stale_term"),
                    1);
}

static void
test_without_fencing_old_terms_start(void)
{
    topology_t unfenced = topology;
    cluster_t other = {0};

    unfenced.no_fencing = true;
    CU_ASSERT_TRUE_FATAL(FvCluster_Open(&other, &unfenced));
    worker_address = other.racks[0].address;
    CU_ASSERT_TRUE(take_lease("host-1", 0, 60000) > 0);
    CU_ASSERT_EQUAL(start_task("m:old:1:0", 999, "x"), 200);
    worker_address = cluster.racks[0].address;
    FvCluster_Close(&other);
}

#define START_THREADS 8

static void *
start_in_thread(void *term)
{
    start_task("m:once:1:0", *(int64_t *)term, "{\"run_ms\":100}");
    return NULL;
}

static void
test_same_id_runs_once(void)
{
    int64_t term = take_lease("host-1", 0, 60000);
    pthread_t threads[START_THREADS];

    for (int i = 0; i < START_THREADS; i++) {
        pthread_create(&threads[i], NULL, start_in_thread, &term);
    }
    for (int i = 0; i < START_THREADS; i++) {
        pthread_join(threads[i], NULL);
    }
    CU_ASSERT_EQUAL(start_task("m:once:1:0", term, "x"), 200);
    CU_ASSERT_EQUAL(count_records("m:once:1:0", RECORD_START, ""), 1);
    CU_ASSERT_EQUAL(count_records("m:once:1:0", RECORD_END, "done"), 1);
}

static void
test_full_worker_rejects_task(void)
{
    int64_t term = take_lease("host-1", 0, 60000);
    char id[64];

    for (int i = 0; i < 8; i++) {
        json_t *body;

        snprintf(id, sizeof(id), "m:slots:1:%d", i);
        body = start_body(id, term, "{\"run_ms\":-1}");
        json_object_set_new(body, "wait_ms", json_integer(0));
        CU_ASSERT_EQUAL(call_worker("/v1/tasks", body, NULL), 202);
    }
    CU_ASSERT_EQUAL(start_task("m:slots:1:8", term, "x"), 503);
    for (int i = 0; i < 8; i++) {
        snprintf(id, sizeof(id), "m:slots:1:%d", i);
        CU_ASSERT_EQUAL(stop_task(id), 200);
    }
    CU_ASSERT_EQUAL(start_task("m:slots:1:9", term, "x"), 200);
}

static bool
task_stopped_at_expiry(void *context)
{
    (void)context;
    return count_records("m:lapse:1:0", RECORD_STOPPED, "lapsed") == 1;
}

static void
test_expired_lease_stops_tasks(void)
{
    int64_t term;
    json_t *body;

    worker_name = "r1-w2";
    term = take_lease("host-1", 0, 100);
    body = start_body("m:lapse:1:0", term, "{\"run_ms\":-1}");
    json_object_set_new(body, "wait_ms", json_integer(0));
    CU_ASSERT_EQUAL(call_worker("/v1/tasks", body, NULL), 202);
    CU_ASSERT_TRUE(FvWait_Until(task_stopped_at_expiry, NULL, 5000));
    worker_name = "r1-w1";
}

static void
test_answer_is_deterministic(void)
{
    int64_t term = take_lease("host-1", 0, 60000);
    json_t *body = start_body("m:bytes:1:0", term,
                              "{\"answer_bytes\":100001,\"seed\":7}");
    char *text = json_dumps(body, 0);
    char url[Fv_URL_SIZE];
    http_call_t call = {.method = "POST",
                        .url = url,
                        .body = text,
                        .body_length = strlen(text)};
    uint8_t *expected = malloc(100001);
    http_reply_t reply;

    FvTaskProgram_FillRandom(7, expected, 100001);
    snprintf(url, sizeof(url), "http://%s/r1-w1/v1/tasks", worker_address);
    FvHttp_Run(&call, &reply);
    CU_ASSERT_EQUAL(reply.status, 200);
    CU_ASSERT_STRING_EQUAL(reply.task_state, "done");
    CU_ASSERT_EQUAL_FATAL(reply.body_length, 100001);
    CU_ASSERT_EQUAL(memcmp(reply.body, expected, 100001), 0);
    FvHttp_FreeReply(&reply);
    json_decref(body);
    free(text);
    free(expected);
}

static void
test_worker_modes(void)
{
    int64_t term = take_lease("host-1", 0, 60000);
    char url[Fv_URL_SIZE];
    http_call_t call = {.url = url, .timeout_ms = 200};
    http_reply_t reply;

    CU_ASSERT_TRUE(FvCluster_SetWorkerMode(&cluster, 0, "*", "fail_all"));
    start_task("m:failing:1:0", term, "x");
    CU_ASSERT_EQUAL(count_records("m:failing:1:0", RECORD_END, "failed"), 1);
    CU_ASSERT_TRUE(FvCluster_SetWorkerMode(&cluster, 0, "r1-w1", "hang"));
    snprintf(url, sizeof(url), "http://%s/r1-w1/v1/tasks", worker_address);
    FvHttp_Run(&call, &reply);
    CU_ASSERT_EQUAL(reply.status, 0);
    FvHttp_FreeReply(&reply);
    CU_ASSERT_TRUE(FvCluster_SetWorkerMode(&cluster, 0, "*", "up"));
    FvHttp_Run(&call, &reply);
    CU_ASSERT_EQUAL(reply.status, 200);
    FvHttp_FreeReply(&reply);
}

/* Calls the rack over the proxied route from host-1. */
static void
call_through_proxy(const char *path, int64_t timeout_ms, http_reply_t *reply)
{
    char url[Fv_URL_SIZE];
    http_call_t call = {.url = url, .timeout_ms = timeout_ms};

    snprintf(url, sizeof(url), "http://%s%s",
             FvCluster_RouteAddress(&cluster, ROUTE_RACK, 0, 0), path);
    FvHttp_Run(&call, reply);
    FvHttp_FreeReply(reply);
}

static void
test_proxy_cuts_and_restores(void)
{
    static const char *const modes[] = {"cut", "blackhole", "freeze"};
    http_reply_t reply;

    for (size_t i = 0; i < 3; i++) {
        CU_ASSERT_TRUE(
            FvCluster_SetRoute(&cluster, ROUTE_RACK, 0, 0, modes[i]));
        call_through_proxy("/counts", 200, &reply);
        CU_ASSERT_EQUAL(reply.status, 0);
        CU_ASSERT_TRUE(
            FvCluster_SetRoute(&cluster, ROUTE_RACK, 0, 0, "restore"));
        call_through_proxy("/counts", 0, &reply);
        CU_ASSERT_EQUAL(reply.status, 200);
    }
}

static void
test_proxy_cuts_one_route_only(void)
{
    json_t *list;
    char url[Fv_URL_SIZE];

    CU_ASSERT_TRUE(FvCluster_SetRoute(&cluster, ROUTE_STORE, 0, 0, "cut"));
    snprintf(url, sizeof(url), "http://%s/hosts",
             FvCluster_RouteAddress(&cluster, ROUTE_STORE, 0, 0));
    list = FvHttp_GetJson(url);
    CU_ASSERT_PTR_NULL(list);
    json_decref(list);
    snprintf(url, sizeof(url), "http://%s/hosts",
             FvCluster_RouteAddress(&cluster, ROUTE_LIST, 0, 0));
    list = FvHttp_GetJson(url);
    CU_ASSERT_PTR_NOT_NULL(list);
    json_decref(list);
    CU_ASSERT_TRUE(FvCluster_SetRoute(&cluster, ROUTE_STORE, 0, 0, "restore"));
}

static void
test_proxy_truncates_an_answer(void)
{
    http_reply_t reply;

    CU_ASSERT_TRUE(FvCluster_CutResponse(&cluster, ROUTE_RACK, 0, 0, 200));
    call_through_proxy("/counts", 0, &reply);
    CU_ASSERT_EQUAL(reply.status, 0);
    CU_ASSERT_TRUE(FvCluster_SetRoute(&cluster, ROUTE_RACK, 0, 0, "restore"));
    call_through_proxy("/counts", 0, &reply);
    CU_ASSERT_EQUAL(reply.status, 200);
}

static void
test_proxy_delays_and_keeps_bytes(void)
{
    int64_t term = take_lease("host-1", 0, 60000);
    uint8_t *expected = malloc(1000000);
    char url[Fv_URL_SIZE];
    http_call_t call = {.url = url};
    http_reply_t reply;

    FvTaskProgram_FillRandom(9, expected, 1000000);
    start_task("m:delay:1:0", term, "{\"answer_bytes\":1000000,\"seed\":9}");
    CU_ASSERT_TRUE(FvCluster_DelayRoute(&cluster, ROUTE_RACK, 0, 0, 50));
    snprintf(url, sizeof(url), "http://%s/r1-w1/v1/tasks/m:delay:1:0/answer",
             FvCluster_RouteAddress(&cluster, ROUTE_RACK, 0, 0));
    FvHttp_Run(&call, &reply);
    CU_ASSERT_EQUAL(reply.status, 200);
    /* Two round trips of 2 x 50 ms: TCP handshake and request. */
    CU_ASSERT_TRUE(reply.elapsed_us >= 200000);
    CU_ASSERT_EQUAL_FATAL(reply.body_length, 1000000);
    CU_ASSERT_EQUAL(memcmp(reply.body, expected, 1000000), 0);
    FvHttp_FreeReply(&reply);
    CU_ASSERT_TRUE(FvCluster_SetRoute(&cluster, ROUTE_RACK, 0, 0, "restore"));
    free(expected);
}

static void
test_processes_stop_on_request(void)
{
    process_t *rack = &cluster.racks[0].process;
    http_reply_t reply;

    CU_ASSERT_TRUE(FvProcess_Signal(rack, SIGSTOP));
    call_through_proxy("/counts", 200, &reply);
    CU_ASSERT_EQUAL(reply.status, 0);
    CU_ASSERT_TRUE(FvProcess_Signal(rack, SIGCONT));
    call_through_proxy("/counts", 0, &reply);
    CU_ASSERT_EQUAL(reply.status, 200);
    CU_ASSERT_TRUE(FvProcess_Terminate(rack, 5000));
    CU_ASSERT_TRUE(FvProcess_HasExited(rack));
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a task starts after its id was stopped",
         test_stopped_id_never_starts},
        {"an expired or superseded term starts a task",
         test_old_term_starts_nothing},
        {"an unknown term is refused with fencing disabled",
         test_without_fencing_old_terms_start},
        {"an id started by several callers runs more than once",
         test_same_id_runs_once},
        {"a full worker accepts a task", test_full_worker_rejects_task},
        {"a task keeps running after its lease has expired",
         test_expired_lease_stops_tasks},
        {"an answer differs from the bytes of its seed",
         test_answer_is_deterministic},
        {"a worker ignores the fail or hang mode", test_worker_modes},
        {"a faulty route passes data, or stays faulty when restored",
         test_proxy_cuts_and_restores},
        {"a cut route affects another route", test_proxy_cuts_one_route_only},
        {"a truncated answer is reported as complete",
         test_proxy_truncates_an_answer},
        {"a delayed route does not delay, or changes the bytes",
         test_proxy_delays_and_keeps_bytes},
        {"a stopped process answers, or a terminated one keeps running",
         test_processes_stop_on_request},
    };
    int failed = 1;

    if (FvCluster_Open(&cluster, &topology)) {
        worker_address = cluster.racks[0].address;
        failed = Fv_RUN_SUITE("fakes", cases);
    }
    FvCluster_Close(&cluster);
    return failed;
}
