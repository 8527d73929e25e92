/*
 * End-to-end test scenarios.
 */

#include "scenario.h"

#include "fake-server.h"
#include "suite.h"
#include "thread.h"

#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#define SCENARIO_START_TIMEOUT_MS 15000
#define SCENARIO_POLL_MS 20
#define SCENARIO_CASES_MAX 16

static const topology_site_t scenario_sites[] = {{"akl", "akl-1", 3, 3, 2}};
static const char *const scenario_members[] = {SCENARIO_MEMBER, "measur"};

#define SCENARIO_CPU_MILLIS 16000
#define SCENARIO_MEMORY_BYTES (INT64_C(64) << 30)
#define SCENARIO_SLOTS 8
#define SCENARIO_CONNECTIONS 64
/* Enough for all connections of two workers. The default of 512 threads in
 * each of 30 processes exceeds the thread limit of a shared machine. */
#define SCENARIO_RACK_THREADS 160

const topology_t scenario_topology = {
    .sites = scenario_sites,
    .site_count = 1,
    .members = scenario_members,
    .member_count = 2,
    .proxied = true,
    .list_lag_ms = 200,
    .capacity = {.cpu_millis = SCENARIO_CPU_MILLIS,
                 .memory_bytes = SCENARIO_MEMORY_BYTES,
                 .slots = SCENARIO_SLOTS},
    .connections = SCENARIO_CONNECTIONS,
    .rack_threads = SCENARIO_RACK_THREADS,
};

/**
 * FvScenario_Fail - record a failure of a case
 * @scenario: the case
 * @format: what was observed
 *
 * The threads of the cases cannot call CUnit.
 */
void
FvScenario_Fail(scenario_t *scenario, const char *format, ...)
{
    va_list arguments;

    if (scenario->failure_count < SCENARIO_FAILURES_MAX) {
        va_start(arguments, format);
        vsnprintf(scenario->failures[scenario->failure_count++],
                  RECORD_CHECK_REASON_SIZE, format, arguments);
        va_end(arguments);
    }
}

/**
 * FvScenario_Expect - record a failure unless a condition holds
 * @scenario: the case
 * @holds: the condition
 * @text: the expectation
 *
 * Return: @holds.
 */
bool
FvScenario_Expect(scenario_t *scenario, bool holds, const char *text)
{
    if (!holds) {
        FvScenario_Fail(scenario, "%s", text);
    }
    return holds;
}

/**
 * FvScenario_AddCaller - add a caller without starting it
 * @scenario: the case
 * @host: index of the host that it calls first
 * @workload: a workload of FvSample_NewAnswers()
 * @key: key of the job; several callers may share it
 * @run_ms: run time of each task
 *
 * Return: the caller.
 */
caller_t *
FvScenario_AddCaller(scenario_t *scenario, int host, const char *workload,
                     const char *key, int64_t run_ms)
{
    caller_t *caller = &scenario->callers[scenario->caller_count];
    json_t *program =
        json_pack("{s:I, s:s}", "run_ms", (json_int_t)run_ms, "answer", key);

    if (++scenario->caller_count > SCENARIO_CALLERS_MAX) {
        abort();
    }
    caller->cluster = &scenario->cluster;
    caller->host = host;
    snprintf(caller->key, sizeof(caller->key), "%s", key);
    caller->submit.member = SCENARIO_MEMBER;
    caller->submit.workload = workload;
    caller->submit.payload = json_dumps(program, JSON_COMPACT);
    json_decref(program);
    return caller;
}

/**
 * FvScenario_StartCallers - start the callers added since the last start
 * @scenario: the case
 * @first: index of the first caller that was not started yet
 */
void
FvScenario_StartCallers(scenario_t *scenario, int first)
{
    FvCallers_Start(&scenario->callers[first],
                    (size_t)(scenario->caller_count - first));
}

/**
 * FvScenario_JoinCallers - wait for all callers
 * @scenario: the case; all its callers must have been started
 */
void
FvScenario_JoinCallers(scenario_t *scenario)
{
    FvCallers_Join(scenario->callers, (size_t)scenario->caller_count);
}

static int
host_index(const scenario_t *scenario, const char *name)
{
    for (int i = 0; i < scenario->cluster.host_count; i++) {
        if (strcmp(scenario->cluster.hosts[i].name, name) == 0) {
            return i;
        }
    }
    return -1;
}

static int
rack_index(const scenario_t *scenario, const char *worker)
{
    for (int i = 0; i < scenario->cluster.rack_count; i++) {
        const char *prefix = scenario->cluster.racks[i].prefix;

        if (strncmp(worker, prefix, strlen(prefix)) == 0) {
            return i;
        }
    }
    return -1;
}

/* The lease holder is the one of the last grant before the start. */
static void
read_placement(const scenario_t *scenario, const records_t *records,
               const record_t *start, task_placement_t *placement)
{
    snprintf(placement->worker, sizeof(placement->worker), "%s",
             start->worker);
    placement->rack = rack_index(scenario, start->worker);
    placement->at_us = start->at_us;
    placement->holder = -1;
    for (const record_t *record = records->entries; record < start; record++) {
        if (record->event == RECORD_LEASE_GRANTED &&
            strcmp(record->worker, start->worker) == 0) {
            placement->holder = host_index(scenario, record->holder);
        }
    }
}

/**
 * FvScenario_WaitForStart - wait until a task of a job starts
 * @scenario: the case
 * @key: key of the job
 * @nth: number of the start; 0 is the first
 * @timeout_ms: how long to wait
 * @placement: filled in
 *
 * Return: false, and a failure is recorded, if it does not start in time.
 */
bool
FvScenario_WaitForStart(scenario_t *scenario, const char *key, int nth,
                        int64_t timeout_ms, task_placement_t *placement)
{
    int64_t until_ms = FvClock_NowMs() + timeout_ms;
    bool started = false;

    while (!started && FvClock_NowMs() < until_ms) {
        records_t records;
        const record_t *start = NULL;

        if (FvCluster_ReadRecords(&scenario->cluster, &records)) {
            start = FvRecords_Find(&records, RECORD_START, SCENARIO_MEMBER,
                                   key, nth);
        }
        if (start != NULL) {
            read_placement(scenario, &records, start, placement);
            started = true;
        }
        FvRecords_Free(&records);
        if (!started) {
            FvFake_SleepMs(SCENARIO_POLL_MS);
        }
    }
    if (!started) {
        FvScenario_Fail(scenario,
                        "start %d of %s did not happen within %lld ms", nth,
                        key, (long long)timeout_ms);
    }
    return started;
}

/**
 * FvScenario_KillHost - kill a host and remove it from the host list
 * @scenario: the case
 * @host: index of the host
 * @list_lag_ms: time until the platform notices
 */
void
FvScenario_KillHost(scenario_t *scenario, int host, int64_t list_lag_ms)
{
    cluster_host_t *entry = &scenario->cluster.hosts[host];

    FvProcess_Kill(&entry->process);
    FvFake_SleepMs(list_lag_ms);
    FvCluster_SetHostListState(&scenario->cluster, entry->name, "gone");
}

/**
 * FvScenario_RestartHost - restart a killed host and put it back on the host
 * list
 * @scenario: the case; the calling thread must outlive the cell, because the
 *            host's process dies with it
 * @host: index of the host
 */
void
FvScenario_RestartHost(scenario_t *scenario, int host)
{
    cluster_host_t *entry = &scenario->cluster.hosts[host];

    FvCluster_SetHostListState(&scenario->cluster, entry->name, "live");
    FvScenario_Expect(scenario,
                      FvCluster_StartHost(&scenario->cluster, host) &&
                          FvCluster_WaitHealthy(&scenario->cluster, host,
                                                CLUSTER_START_TIMEOUT_MS),
                      "a killed host restarts");
}

static bool
open_cell(scenario_t *scenario)
{
    const topology_t *topology = &scenario->test->topology;
    char *answers;
    bool opened;

    if (!FvCluster_Start(&scenario->cluster, topology)) {
        return false;
    }
    answers = FvSample_NewAnswers(topology->members, topology->member_count);
    opened = FvCluster_Configure(&scenario->cluster, 0, answers,
                                 SCENARIO_START_TIMEOUT_MS);
    free(answers);
    return opened;
}

/* A lookup on each host succeeds only with leases held and links up. */
static bool
wait_until_serving(scenario_t *scenario)
{
    bool serving = true;

    for (int host = 0; serving && host < scenario->cluster.host_count;
         host++) {
        submit_t submit = {.member = SCENARIO_MEMBER,
                           .workload = "lookup",
                           .wait_ms = 2000,
                           .deadline_ms = SCENARIO_START_TIMEOUT_MS};
        int64_t until_ms = FvClock_NowMs() + SCENARIO_START_TIMEOUT_MS;
        job_reply_t reply;

        do {
            FvApi_Submit(&scenario->cluster, host, &submit, &reply);
            FvApi_FreeJobReply(&reply);
            serving = strcmp(reply.outcome, "done") == 0;
        } while (!serving && FvClock_NowMs() < until_ms);
    }
    return serving;
}

static void
check_callers(scenario_t *scenario, const records_t *records)
{
    char reason[RECORD_CHECK_REASON_SIZE];

    for (int i = 0; i < scenario->caller_count; i++) {
        const caller_t *caller = &scenario->callers[i];
        const char *member = caller->submit.member;
        int starts = FvRecords_CountStarts(records, member, caller->key);

        if ((caller->outcomes_seen & CALLER_SAW_NOT_RUN) != 0 &&
            !FvRecordCheck_NeverStarted(records, member, caller->key,
                                        reason)) {
            FvScenario_Fail(scenario, "%s", reason);
        }
        if ((caller->outcomes_seen & CALLER_SAW_DONE) != 0 && starts == 0) {
            FvScenario_Fail(scenario, "%s was reported done but never started",
                            caller->key);
        }
        if (caller->outcomes_seen == 0 && !scenario->test->outcome_optional) {
            FvScenario_Fail(scenario,
                            "the caller of %s got no outcome within %lld ms "
                            "(%d calls, %d starts, last status %d %s %s)",
                            caller->key, (long long)caller->elapsed_ms,
                            caller->calls, starts, caller->reply.status,
                            caller->reply.state, caller->reply.reason);
        }
    }
}

typedef bool (*record_check_t)(const records_t *records, const char *member,
                               const char *workload, char *reason);

static void
check_workloads(scenario_t *scenario, const records_t *records,
                record_check_t check, const char *const *workloads)
{
    char reason[RECORD_CHECK_REASON_SIZE];

    for (; *workloads != NULL; workloads++) {
        if (!check(records, NULL, *workloads, reason)) {
            FvScenario_Fail(scenario, "%s", reason);
        }
    }
}

static void
check_records(scenario_t *scenario)
{
    static const char *const exclusive_workloads[] = {"rebuild", "fit-check",
                                                      "gang", NULL};
    static const char *const not_restartable[] = {"fit-check", NULL};
    char reason[RECORD_CHECK_REASON_SIZE];
    records_t records;

    FvScenario_Expect(scenario,
                      FvCluster_ReadRecords(&scenario->cluster, &records),
                      "the records can be read");
    if (!FvRecordCheck_Capacity(&records, &scenario_topology.capacity,
                                scenario_topology.connections, reason) ||
        !FvRecordCheck_NoCapacityRefusals(&records, reason)) {
        FvScenario_Fail(scenario, "%s", reason);
    }
    check_workloads(scenario, &records, FvRecordCheck_Exclusive,
                    exclusive_workloads);
    check_workloads(scenario, &records, FvRecordCheck_StartsAtMostOnce,
                    not_restartable);
    check_callers(scenario, &records);
    FvRecords_Free(&records);
}

static void *
run_case(void *context)
{
    scenario_t *scenario = context;

    scenario->test->run(scenario);
    check_records(scenario);
    return NULL;
}

/* Called by the main thread, because a child process dies with the thread
 * that started it. */
static void
open_scenario(scenario_t *scenario, const scenario_case_t *test, uint64_t seed)
{
    scenario->test = test;
    FvRng_Init(&scenario->rng, seed);
    scenario->callers = calloc(SCENARIO_CALLERS_MAX, sizeof(caller_t));
    if (scenario->callers == NULL) {
        abort();
    }
    scenario->opened = open_cell(scenario);
}

static void
start_scenario(scenario_t *scenario)
{
    scenario->opened = scenario->opened && wait_until_serving(scenario);
    if (!FvScenario_Expect(scenario, scenario->opened,
                           "the cell accepts jobs")) {
        return;
    }
    FvThread_Start(&scenario->thread, run_case, scenario);
}

/* Shows that the callers of the case got replies. */
static void
print_summary(const scenario_t *scenario)
{
    int outcome_counts[5] = {0};

    for (int i = 0; i < scenario->caller_count; i++) {
        for (unsigned bit = 0; bit < 5; bit++) {
            outcome_counts[bit] +=
                (scenario->callers[i].outcomes_seen >> bit) & 1U;
        }
    }
    printf("%s: seed %llu, %d callers: %d done, %d failed, %d cancelled, "
           "%d not_run, %d unknown\n",
           scenario->test->name, (unsigned long long)scenario->rng.seed,
           scenario->caller_count, outcome_counts[0], outcome_counts[1],
           outcome_counts[2], outcome_counts[3], outcome_counts[4]);
}

static void
close_scenario(scenario_t *scenario)
{
    if (scenario->opened) {
        pthread_join(scenario->thread, NULL);
    }
    print_summary(scenario);
    if (scenario->failure_count > 0) {
        printf("failed: seed %llu, case \"%s\", files %s\n",
               (unsigned long long)scenario->rng.seed, scenario->test->name,
               scenario->cluster.directory);
    }
    for (int i = 0; i < scenario->failure_count; i++) {
        printf("    %s\n", scenario->failures[i]);
    }
    FvCluster_Close(&scenario->cluster);
    for (int i = 0; i < scenario->caller_count; i++) {
        free((void *)scenario->callers[i].submit.payload);
    }
    free(scenario->callers);
}

static scenario_t scenarios[SCENARIO_CASES_MAX];
static size_t next_reported;

/* CUnit calls this for each case in order, after all of them have ended. */
static void
report_case(void)
{
    CU_ASSERT_EQUAL(scenarios[next_reported].failure_count, 0);
    next_reported++;
}

/**
 * FvScenario_Main - run the cases of one program in parallel
 * @suite: name of the program
 * @cases: the cases; CASE in the environment selects those whose name
 *         contains it
 * @count: number of cases
 * @seed: seed of the first case, increased by one for each further case;
 *        SEED in the environment replaces all of them
 *
 * Return: the process exit code.
 */
int
FvScenario_Main(const char *suite, const scenario_case_t *cases, size_t count,
                uint64_t seed)
{
    const char *filter = getenv("CASE");
    test_case_t tests[SCENARIO_CASES_MAX];
    size_t selected_count = 0;

    for (size_t i = 0; i < count && selected_count < SCENARIO_CASES_MAX; i++) {
        if (filter == NULL || strstr(cases[i].name, filter) != NULL) {
            tests[selected_count] = (test_case_t){cases[i].name, report_case};
            open_scenario(&scenarios[selected_count++], &cases[i], seed + i);
        }
    }
    for (size_t i = 0; i < selected_count; i++) {
        start_scenario(&scenarios[i]);
    }
    for (size_t i = 0; i < selected_count; i++) {
        close_scenario(&scenarios[i]);
    }
    return FvSuite_Run(suite, tests, selected_count);
}
