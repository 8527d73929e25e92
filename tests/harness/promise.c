/*
 * End-to-end test cases.
 */

#include "promise.h"

#include "fake-server.h"
#include "suite.h"

#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#define PROMISE_START_MS 15000
#define PROMISE_POLL_MS 20
#define PROMISE_CASES_MAX 16

static const topology_site_t promise_sites[] = {{"akl", "akl-1", 3, 3, 2}};
static const char *const promise_members[] = {PROMISE_MEMBER, "measur"};

#define PROMISE_CPU_MILLIS 16000
#define PROMISE_MEMORY_BYTES (INT64_C(64) << 30)
#define PROMISE_SLOTS 8
#define PROMISE_CONNECTIONS 64
/* Room for all connections of two workers; the default of 512 in each of 30
 * processes is more threads than a machine shared with other runs grants. */
#define PROMISE_RACK_THREADS 160

const topology_t promise_topology = {
    .sites = promise_sites,
    .site_count = 1,
    .members = promise_members,
    .member_count = 2,
    .proxied = true,
    .list_lag_ms = 200,
    .capacity = {.cpu_millis = PROMISE_CPU_MILLIS,
                 .memory_bytes = PROMISE_MEMORY_BYTES,
                 .slots = PROMISE_SLOTS},
    .connections = PROMISE_CONNECTIONS,
    .rack_threads = PROMISE_RACK_THREADS,
};

/**
 * FvPromise_Fail - note a failure of a case
 * @promise: the case
 * @format: what was seen
 *
 * CUnit is not called from the threads of the cases.
 */
void
FvPromise_Fail(promise_t *promise, const char *format, ...)
{
    va_list arguments;

    if (promise->failure_count < PROMISE_FAILURES_MAX) {
        va_start(arguments, format);
        vsnprintf(promise->failures[promise->failure_count++],
                  RECORD_CHECK_REASON_SIZE, format, arguments);
        va_end(arguments);
    }
}

/**
 * FvPromise_Expect - note a failure unless something holds
 * @promise: the case
 * @holds: the condition
 * @text: what was expected
 *
 * Return: the condition.
 */
bool
FvPromise_Expect(promise_t *promise, bool holds, const char *text)
{
    if (!holds) {
        FvPromise_Fail(promise, "%s", text);
    }
    return holds;
}

/**
 * FvPromise_Caller - add a caller; it is not started
 * @promise: the case
 * @host: the host that it asks first
 * @workload: of the shared answers
 * @key: of the job; several callers may share it
 * @run_ms: how long each task runs
 *
 * Return: the caller.
 */
caller_t *
FvPromise_Caller(promise_t *promise, int host, const char *workload,
                 const char *key, int64_t run_ms)
{
    caller_t *caller = &promise->callers[promise->caller_count];
    json_t *program =
        json_pack("{s:I, s:s}", "run_ms", (json_int_t)run_ms, "answer", key);

    if (++promise->caller_count > PROMISE_CALLERS_MAX) {
        abort();
    }
    caller->cluster = &promise->cluster;
    caller->host = host;
    snprintf(caller->key, sizeof(caller->key), "%s", key);
    caller->submit.member = PROMISE_MEMBER;
    caller->submit.workload = workload;
    caller->submit.payload = json_dumps(program, JSON_COMPACT);
    json_decref(program);
    return caller;
}

/**
 * FvPromise_StartCallers - start the callers that were added
 * @promise: the case
 * @first: index of the first one that was not started before
 */
void
FvPromise_StartCallers(promise_t *promise, int first)
{
    FvCallers_Start(&promise->callers[first],
                    (size_t)(promise->caller_count - first));
}

/**
 * FvPromise_JoinCallers - wait for all callers
 * @promise: the case; all its callers were started
 */
void
FvPromise_JoinCallers(promise_t *promise)
{
    FvCallers_Join(promise->callers, (size_t)promise->caller_count);
}

static int
host_index(const promise_t *promise, const char *name)
{
    for (int i = 0; i < promise->cluster.host_count; i++) {
        if (strcmp(promise->cluster.hosts[i].name, name) == 0) {
            return i;
        }
    }
    return -1;
}

static int
rack_index(const promise_t *promise, const char *worker)
{
    for (int i = 0; i < promise->cluster.rack_count; i++) {
        const char *prefix = promise->cluster.racks[i].prefix;

        if (strncmp(worker, prefix, strlen(prefix)) == 0) {
            return i;
        }
    }
    return -1;
}

/* The holder is the one of the last grant before the start. */
static void
read_place(const promise_t *promise, const records_t *records,
           const record_t *start, promise_place_t *place)
{
    snprintf(place->worker, sizeof(place->worker), "%s", start->worker);
    place->rack = rack_index(promise, start->worker);
    place->at_us = start->at_us;
    place->holder = -1;
    for (const record_t *record = records->entries; record < start; record++) {
        if (record->event == RECORD_LEASE_GRANTED &&
            strcmp(record->worker, start->worker) == 0) {
            place->holder = host_index(promise, record->holder);
        }
    }
}

/**
 * FvPromise_WaitStart - wait until a job's task starts
 * @promise: the case
 * @key: the job
 * @nth: 0 for the first start
 * @limit_ms: how long to wait
 * @place: filled in
 *
 * Return: false, with a failure noted, when it does not start in time.
 */
bool
FvPromise_WaitStart(promise_t *promise, const char *key, int nth,
                    int64_t limit_ms, promise_place_t *place)
{
    int64_t until_ms = FvClock_NowMs() + limit_ms;
    bool started = false;

    while (!started && FvClock_NowMs() < until_ms) {
        records_t records;
        const record_t *start = NULL;

        if (FvCluster_ReadRecords(&promise->cluster, &records)) {
            start = FvRecords_Find(&records, RECORD_START, PROMISE_MEMBER, key,
                                   nth);
        }
        if (start != NULL) {
            read_place(promise, &records, start, place);
            started = true;
        }
        FvRecords_Free(&records);
        if (!started) {
            FvFake_SleepMs(PROMISE_POLL_MS);
        }
    }
    if (!started) {
        FvPromise_Fail(promise, "start %d of %s not within %lld ms", nth, key,
                       (long long)limit_ms);
    }
    return started;
}

/**
 * FvPromise_KillHost - kill a host and drop it from the list
 * @promise: the case
 * @host: its index
 * @list_lag_ms: how long the platform takes to notice
 */
void
FvPromise_KillHost(promise_t *promise, int host, int64_t list_lag_ms)
{
    cluster_host_t *entry = &promise->cluster.hosts[host];

    FvProcess_Kill(&entry->process);
    FvFake_SleepMs(list_lag_ms);
    FvCluster_SetState(&promise->cluster, entry->name, "gone");
}

/**
 * FvPromise_RestartHost - start a killed host again and list it
 * @promise: the case; its thread must outlive the cell's use
 * @host: the host's index
 */
void
FvPromise_RestartHost(promise_t *promise, int host)
{
    cluster_host_t *entry = &promise->cluster.hosts[host];

    FvCluster_SetState(&promise->cluster, entry->name, "live");
    FvPromise_Expect(
        promise,
        FvCluster_StartHost(&promise->cluster, host) &&
            FvCluster_WaitHealthy(&promise->cluster, host, CLUSTER_START_MS),
        "a killed host starts again");
}

static bool
open_cell(promise_t *promise)
{
    const topology_t *topology = &promise->test->topology;
    char *answers;
    bool opened;

    if (!FvCluster_Start(&promise->cluster, topology)) {
        return false;
    }
    answers = FvSample_Answers(topology->members, topology->member_count);
    opened =
        FvCluster_Configure(&promise->cluster, 0, answers, PROMISE_START_MS);
    free(answers);
    return opened;
}

/* One short lookup on each host shows that leases are held and links up. */
static bool
wait_until_serving(promise_t *promise)
{
    bool serving = true;

    for (int host = 0; serving && host < promise->cluster.host_count; host++) {
        submit_t submit = {.member = PROMISE_MEMBER,
                           .workload = "lookup",
                           .wait_ms = 2000,
                           .deadline_ms = PROMISE_START_MS};
        int64_t until_ms = FvClock_NowMs() + PROMISE_START_MS;
        job_reply_t reply;

        do {
            FvApi_Submit(&promise->cluster, host, &submit, &reply);
            FvApi_FreeJob(&reply);
            serving = strcmp(reply.outcome, "done") == 0;
        } while (!serving && FvClock_NowMs() < until_ms);
    }
    return serving;
}

static void
judge_callers(promise_t *promise, const records_t *records)
{
    char reason[RECORD_CHECK_REASON_SIZE];

    for (int i = 0; i < promise->caller_count; i++) {
        const caller_t *caller = &promise->callers[i];
        const char *member = caller->submit.member;
        int starts = FvRecords_CountStarts(records, member, caller->key);

        if ((caller->told & CALLER_TOLD_NOT_RUN) != 0 &&
            !FvRecordCheck_NeverStarted(records, member, caller->key,
                                        reason)) {
            FvPromise_Fail(promise, "%s", reason);
        }
        if ((caller->told & CALLER_TOLD_DONE) != 0 && starts == 0) {
            FvPromise_Fail(promise, "%s was told done but never started",
                           caller->key);
        }
        if (caller->told == 0 && !promise->test->may_stay_open) {
            FvPromise_Fail(promise,
                           "the caller of %s was told no outcome in %lld ms "
                           "(%d calls, %d starts, last status %d %s %s)",
                           caller->key, (long long)caller->took_ms,
                           caller->calls, starts, caller->reply.status,
                           caller->reply.state, caller->reply.reason);
        }
    }
}

typedef bool (*judge_t)(const records_t *records, const char *member,
                        const char *workload, char *reason);

static void
judge_workloads(promise_t *promise, const records_t *records, judge_t judge,
                const char *const *workloads)
{
    char reason[RECORD_CHECK_REASON_SIZE];

    for (; *workloads != NULL; workloads++) {
        if (!judge(records, NULL, *workloads, reason)) {
            FvPromise_Fail(promise, "%s", reason);
        }
    }
}

static void
judge_records(promise_t *promise)
{
    static const char *const exclusive[] = {"rebuild", "fit-check", "gang",
                                            NULL};
    static const char *const once[] = {"fit-check", NULL};
    char reason[RECORD_CHECK_REASON_SIZE];
    records_t records;

    FvPromise_Expect(promise,
                     FvCluster_ReadRecords(&promise->cluster, &records),
                     "the records can be read");
    if (!FvRecordCheck_Capacity(&records, &promise_topology.capacity,
                                promise_topology.connections, reason) ||
        !FvRecordCheck_NoCapacityRefusals(&records, reason)) {
        FvPromise_Fail(promise, "%s", reason);
    }
    judge_workloads(promise, &records, FvRecordCheck_Exclusive, exclusive);
    judge_workloads(promise, &records, FvRecordCheck_StartsAtMostOnce, once);
    judge_callers(promise, &records);
    FvRecords_Free(&records);
}

static void *
run_case(void *context)
{
    promise_t *promise = context;

    promise->test->run(promise);
    judge_records(promise);
    return NULL;
}

/* The main thread starts the cells, because a child dies with the thread
 * that started it. */
static void
open_promise(promise_t *promise, const promise_case_t *test, uint64_t seed)
{
    promise->test = test;
    FvDraw_Open(&promise->draw, seed);
    promise->callers = calloc(PROMISE_CALLERS_MAX, sizeof(caller_t));
    if (promise->callers == NULL) {
        abort();
    }
    promise->opened = open_cell(promise);
}

static void
start_promise(promise_t *promise)
{
    promise->opened = promise->opened && wait_until_serving(promise);
    if (!FvPromise_Expect(promise, promise->opened, "the cell serves")) {
        return;
    }
    if (pthread_create(&promise->thread, NULL, run_case, promise) != 0) {
        abort();
    }
}

/* Shows that a case was not idle. */
static void
print_summary(const promise_t *promise)
{
    int told[5] = {0};

    for (int i = 0; i < promise->caller_count; i++) {
        for (unsigned bit = 0; bit < 5; bit++) {
            told[bit] += (promise->callers[i].told >> bit) & 1U;
        }
    }
    printf("%s: seed %llu, %d callers: %d done, %d failed, %d cancelled, "
           "%d not_run, %d unknown\n",
           promise->test->name, (unsigned long long)promise->draw.seed,
           promise->caller_count, told[0], told[1], told[2], told[3], told[4]);
}

static void
close_promise(promise_t *promise)
{
    if (promise->opened) {
        pthread_join(promise->thread, NULL);
    }
    print_summary(promise);
    if (promise->failure_count > 0) {
        printf("failed: seed %llu, case \"%s\", files %s\n",
               (unsigned long long)promise->draw.seed, promise->test->name,
               promise->cluster.directory);
    }
    for (int i = 0; i < promise->failure_count; i++) {
        printf("    %s\n", promise->failures[i]);
    }
    FvCluster_Close(&promise->cluster);
    for (int i = 0; i < promise->caller_count; i++) {
        free((void *)promise->callers[i].submit.payload);
    }
    free(promise->callers);
}

static promise_t promises[PROMISE_CASES_MAX];
static size_t next_report;

/* CUnit runs the cases in order, after all of them have ended. */
static void
report_case(void)
{
    CU_ASSERT_EQUAL(promises[next_report].failure_count, 0);
    next_report++;
}

/**
 * FvPromise_Main - run the cases of one program side by side
 * @suite: name of the program
 * @cases: the cases; CASE in the environment selects those whose name
 *         contains it
 * @count: how many there are
 * @seed: each case draws from it; SEED in the environment replaces it
 *
 * Return: the process exit code.
 */
int
FvPromise_Main(const char *suite, const promise_case_t *cases, size_t count,
               uint64_t seed)
{
    const char *filter = getenv("CASE");
    test_case_t tests[PROMISE_CASES_MAX];
    size_t chosen = 0;

    for (size_t i = 0; i < count && chosen < PROMISE_CASES_MAX; i++) {
        if (filter == NULL || strstr(cases[i].name, filter) != NULL) {
            tests[chosen] = (test_case_t){cases[i].name, report_case};
            open_promise(&promises[chosen++], &cases[i], seed + i);
        }
    }
    for (size_t i = 0; i < chosen; i++) {
        start_promise(&promises[i]);
    }
    for (size_t i = 0; i < chosen; i++) {
        close_promise(&promises[i]);
    }
    return FvSuite_Run(suite, tests, chosen);
}
