/*
 * Guards against a broken guarantee, or a job without an outcome, when any two
 * faults occur together under a mixed load. Checks only the workers' records
 * and the replies to callers.
 *
 * Runs fixed seeds, or the one in the environment variable SEED.
 */

#include "chaos.h"
#include "fake-server.h"
#include "thread.h"

#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#define FIRST_SEED 1
#define FIXED_SEED_COUNT 3
#define LOOKUP_TIMEOUT_MS 10000
/* Without a store watch, a host polls the configuration every 10 s. */
#define CONFIG_TIMEOUT_MS 12000
/* Enough for one read of the store, since no fault is active any more. */
#define STATUS_TIMEOUT_MS 500
#define STATUS_FAILURES_MAX 2
#define CONFIG_POLL_MS 200
/* Enough for the callers that wait at one host while another is down. */
#define HTTP_THREADS 48
#define LAST_START_LIMIT_US INT64_C(3000000)
#define SHUTDOWN_TIMEOUT_MS 15000
#define SHUTDOWN_RUN_MS 800
#define SHUTDOWN_DELAY_MS 250

static const topology_site_t sites[] = {{"akl", "akl-1", 2, 1, 2},
                                        {"wlg", "wlg-1", 2, 1, 2},
                                        {"chc", "chc-1", 2, 1, 2}};

/**
 * FvChaos_Fail - record a failure; may be called from any thread
 * @chaos: the run
 * @format: what was observed
 */
void
FvChaos_Fail(chaos_t *chaos, const char *format, ...)
{
    char text[RECORD_CHECK_REASON_SIZE];
    va_list arguments;

    va_start(arguments, format);
    vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    pthread_mutex_lock(&chaos->lock);
    printf("seed %llu: %6lld ms: %s\n",
           (unsigned long long)chaos->scenario->rng.seed,
           (long long)FvChaos_ElapsedMs(chaos), text);
    fflush(stdout);
    FvScenario_Fail(chaos->scenario, "%s", text);
    pthread_mutex_unlock(&chaos->lock);
}

/**
 * FvChaos_ElapsedMs - get the time since the start of the load
 * @chaos: the run
 *
 * Return: the time in milliseconds.
 */
int64_t
FvChaos_ElapsedMs(const chaos_t *chaos)
{
    return FvClock_NowMs() - chaos->began_ms;
}

/* FvApi_ConfigVersion() returns 0 if the host has no configuration or does
 * not reply. */
static void *
run_config_watcher(void *context)
{
    config_watcher_t *watcher = context;
    chaos_t *chaos = watcher->chaos;

    while (!atomic_load(&chaos->stop_watchers)) {
        int64_t version =
            FvApi_ConfigVersion(&chaos->scenario->cluster, watcher->host);

        if (version != 0 && version < watcher->highest_version) {
            FvChaos_Fail(chaos, "%s went from configuration %lld to %lld",
                         chaos->scenario->cluster.hosts[watcher->host].name,
                         (long long)watcher->highest_version,
                         (long long)version);
        }
        if (version > watcher->highest_version) {
            watcher->highest_version = version;
        }
        FvFake_SleepMs(CONFIG_POLL_MS);
    }
    return NULL;
}

static void
start_config_watchers(chaos_t *chaos)
{
    for (int i = 0; i < chaos->scenario->cluster.host_count; i++) {
        config_watcher_t *watcher = &chaos->config_watchers[i];

        watcher->chaos = chaos;
        watcher->host = i;
        FvThread_Start(&watcher->thread, run_config_watcher, watcher);
    }
}

static int64_t
join_config_watchers(chaos_t *chaos)
{
    int64_t highest_version = 0;

    atomic_store(&chaos->stop_watchers, true);
    for (int i = 0; i < chaos->scenario->cluster.host_count; i++) {
        pthread_join(chaos->config_watchers[i].thread, NULL);
        if (chaos->config_watchers[i].highest_version > highest_version) {
            highest_version = chaos->config_watchers[i].highest_version;
        }
    }
    return highest_version;
}

static void
sleep_until(const chaos_t *chaos, int64_t at_ms)
{
    int64_t remaining_ms = at_ms - FvChaos_ElapsedMs(chaos);

    if (remaining_ms > 0) {
        FvFake_SleepMs(remaining_ms);
    }
}

static void
run_fault_rounds(chaos_t *chaos)
{
    for (int i = 0; i < CHAOS_ROUNDS; i++) {
        chaos_round_t *round = &chaos->rounds[i];

        sleep_until(chaos, round->at_ms);
        FvChaos_ApplyRound(chaos, round);
        sleep_until(chaos, round->at_ms + round->duration_ms);
        FvChaos_RestoreRound(chaos, round);
    }
}

static bool
is_config_converged(cluster_t *cluster, int64_t min_version)
{
    int64_t version = FvApi_ConfigVersion(cluster, 0);

    for (int i = 1; version >= min_version && i < cluster->host_count; i++) {
        if (FvApi_ConfigVersion(cluster, i) != version) {
            return false;
        }
    }
    return version >= min_version;
}

/* Once all members have approved any proposal, version 1 has been replaced:
 * by that proposal, or by another one that was activated before it. */
static int64_t
min_expected_version(const chaos_t *chaos, int64_t highest_version)
{
    for (int i = 0; i < CHAOS_OPERATORS; i++) {
        if (chaos->operators[i].approved_count > 0 && highest_version < 2) {
            return 2;
        }
    }
    return highest_version;
}

static void
expect_config_converged(chaos_t *chaos, int64_t highest_version)
{
    cluster_t *cluster = &chaos->scenario->cluster;
    int64_t until_ms = FvClock_NowMs() + CONFIG_TIMEOUT_MS;

    while (!is_config_converged(cluster, highest_version)) {
        if (FvClock_NowMs() >= until_ms) {
            FvChaos_Fail(chaos,
                         "configuration %lld is not in force on all "
                         "hosts: host-1 has %lld",
                         (long long)highest_version,
                         (long long)FvApi_ConfigVersion(cluster, 0));
            return;
        }
        FvFake_SleepMs(CONFIG_POLL_MS);
    }
}

/* A job that ended before its home host could write the claim has no record
 * in the store. Only its home host knows it, and none of its tasks ran. */
static bool
was_never_claimed(chaos_t *chaos, const caller_t *caller)
{
    char reason[RECORD_CHECK_REASON_SIZE];
    records_t records;
    bool never;

    if ((caller->outcomes_seen &
         ~(CALLER_SAW_CANCELLED | CALLER_SAW_NOT_RUN)) != 0) {
        return false;
    }
    never = FvCluster_ReadRecords(&chaos->scenario->cluster, &records) &&
            FvRecordCheck_NeverStarted(&records, caller->submit.member,
                                       caller->key, reason);
    FvRecords_Free(&records);
    return never;
}

/* A host chosen at random must report the outcome that the caller got. */
static bool
expect_ended(chaos_t *chaos, const caller_t *caller)
{
    cluster_t *cluster = &chaos->scenario->cluster;
    int host =
        (int)FvRng_Between(&chaos->scenario->rng, 0, cluster->host_count - 1);
    job_reply_t status;
    bool ended;

    FvApi_GetJob(cluster, host, caller->submit.member, caller->key,
                 STATUS_TIMEOUT_MS, &status);
    FvApi_FreeJobReply(&status);
    if (caller->reply.status == 429 ||
        (status.status == 404 && was_never_claimed(chaos, caller))) {
        return true;
    }
    ended = strcmp(status.state, "ended") == 0;
    if (!ended) {
        FvChaos_Fail(chaos, "%s has not ended at %s: status %d, %s %s",
                     caller->key, cluster->hosts[host].name, status.status,
                     status.state, status.reason);
    }
    else if (strcmp(status.outcome, caller->reply.outcome) != 0) {
        FvChaos_Fail(chaos, "%s was reported %s, but %s reports %s",
                     caller->key, caller->reply.outcome,
                     cluster->hosts[host].name, status.outcome);
    }
    return ended;
}

/* No task of this load fails by itself, so no job may fail. */
static void
expect_outcomes(chaos_t *chaos)
{
    int unfinished = 0;

    for (int i = 0; i < chaos->job_count; i++) {
        const caller_t *caller = chaos->jobs[i].caller;

        if ((caller->outcomes_seen & (caller->outcomes_seen - 1)) != 0) {
            FvChaos_Fail(chaos, "%s was reported with several outcomes: %#x",
                         caller->key, caller->outcomes_seen);
        }
        if ((caller->outcomes_seen & CALLER_SAW_FAILED) != 0) {
            FvChaos_Fail(chaos, "%s failed: %s", caller->key,
                         caller->reply.reason);
        }
        if (caller->outcomes_seen == 0) {
            FvChaos_Fail(chaos, "%s has no outcome: status %d, %s %s",
                         caller->key, caller->reply.status,
                         caller->reply.state, caller->reply.reason);
        }
        /* Each status call to a dead cell runs into its timeout. The limit
         * keeps the test within its own time limit. */
        if (unfinished < STATUS_FAILURES_MAX) {
            unfinished += !expect_ended(chaos, caller);
        }
    }
}

static void
expect_lookups_served(chaos_t *chaos)
{
    cluster_t *cluster = &chaos->scenario->cluster;

    for (int host = 0; host < cluster->host_count; host++) {
        submit_t submit = {.member = SCENARIO_MEMBER,
                           .workload = "lookup",
                           .deadline_ms = 2000,
                           .wait_ms = 2000};
        int64_t until_ms = FvClock_NowMs() + LOOKUP_TIMEOUT_MS;
        job_reply_t reply;

        do {
            FvApi_Submit(cluster, host, &submit, &reply);
            FvApi_FreeJobReply(&reply);
        } while (strcmp(reply.outcome, "done") != 0 &&
                 FvClock_NowMs() < until_ms);
        if (strcmp(reply.outcome, "done") != 0) {
            FvChaos_Fail(chaos, "%s answers no lookup after the faults: %d %s",
                         cluster->hosts[host].name, reply.status,
                         reply.reason);
        }
    }
}

/* Each host has one request in flight when it receives SIGTERM. */
typedef struct last_request {
    chaos_t *chaos;
    int host;
    job_reply_t reply;
    pthread_t thread;
} last_request_t;

static void *
run_last_request(void *context)
{
    last_request_t *request = context;
    submit_t submit = {.member = SCENARIO_MEMBER,
                       .workload = "lookup",
                       .payload = "{\"run_ms\": 800, \"answer\": \"last\"}",
                       .wait_ms = SHUTDOWN_RUN_MS * 4,
                       .raw = true};

    FvApi_Submit(&request->chaos->scenario->cluster, request->host, &submit,
                 &request->reply);
    return NULL;
}

static void
check_last_request(last_request_t *request)
{
    const http_reply_t *http = &request->reply.http;
    const cluster_t *cluster = &request->chaos->scenario->cluster;

    pthread_join(request->thread, NULL);
    if (strcmp(request->reply.outcome, "done") != 0 ||
        http->body_length != 4 || memcmp(http->body, "last", 4) != 0) {
        FvChaos_Fail(request->chaos,
                     "the shutdown interrupted a request at %s: %d %s %s",
                     cluster->hosts[request->host].name, request->reply.status,
                     request->reply.outcome, request->reply.reason);
    }
    FvApi_FreeJobReply(&request->reply);
}

static void
stop_hosts(chaos_t *chaos)
{
    cluster_t *cluster = &chaos->scenario->cluster;

    for (int i = 0; i < cluster->host_count; i++) {
        FvProcess_Signal(&cluster->hosts[i].process, SIGTERM);
    }
    for (int i = 0; i < cluster->host_count; i++) {
        process_t *process = &cluster->hosts[i].process;

        if (!FvProcess_Wait(process, SHUTDOWN_TIMEOUT_MS)) {
            FvChaos_Fail(chaos, "%s did not stop", cluster->hosts[i].name);
        }
        else if (process->exit_status != 0) {
            FvChaos_Fail(chaos, "%s exited with %d", cluster->hosts[i].name,
                         process->exit_status);
        }
    }
}

static void
expect_clean_shutdown(chaos_t *chaos)
{
    last_request_t requests[CLUSTER_HOSTS_MAX] = {0};
    int count = chaos->scenario->cluster.host_count;

    for (int i = 0; i < count; i++) {
        requests[i].chaos = chaos;
        requests[i].host = i;
        FvThread_Start(&requests[i].thread, run_last_request, &requests[i]);
    }
    FvFake_SleepMs(SHUTDOWN_DELAY_MS);
    stop_hosts(chaos);
    for (int i = 0; i < count; i++) {
        check_last_request(&requests[i]);
    }
}

static void
check_drained_worker(chaos_t *chaos, const records_t *records,
                     const fault_t *fault)
{
    for (size_t i = 0; i < records->count; i++) {
        const record_t *record = &records->entries[i];

        if (record->event == RECORD_START &&
            strcmp(record->worker, fault->worker) == 0 &&
            record->at_us > fault->began_us + LAST_START_LIMIT_US &&
            record->at_us < fault->ended_us) {
            FvChaos_Fail(chaos,
                         "%s started on %s %lld us after it was "
                         "leaving",
                         record->task, record->worker,
                         (long long)(record->at_us - fault->began_us));
            return;
        }
    }
}

static void
check_lookups(chaos_t *chaos, const records_t *records)
{
    const topology_t *topology = &chaos->scenario->cluster.topology;
    char reason[RECORD_CHECK_REASON_SIZE];

    for (int i = 0; i < CHAOS_LOOKUP_THREADS; i++) {
        const chaos_lookup_thread_t *thread = &chaos->lookups[i];

        for (int j = 0; j < thread->count; j++) {
            if (thread->lookups[j].not_run &&
                !FvRecordCheck_NeverStarted(records, topology->members[i % 2],
                                            thread->lookups[j].key, reason)) {
                FvChaos_Fail(chaos, "%s", reason);
            }
        }
    }
}

/* The scenario harness checks all other guarantees after each case. */
static void
check_chaos_records(chaos_t *chaos)
{
    records_t records;

    FvScenario_Expect(
        chaos->scenario,
        FvCluster_ReadRecords(&chaos->scenario->cluster, &records),
        "the records can be read");
    check_lookups(chaos, &records);
    for (int i = 0; i < CHAOS_ROUNDS * CHAOS_FAULTS_PER_ROUND; i++) {
        const fault_t *fault = &chaos->rounds[i / CHAOS_FAULTS_PER_ROUND]
                                    .faults[i % CHAOS_FAULTS_PER_ROUND];

        if (fault->kind == FAULT_DRAIN_WORKER) {
            check_drained_worker(chaos, &records, fault);
        }
    }
    FvRecords_Free(&records);
}

static void
print_result(const chaos_t *chaos, int64_t version, int64_t settled_ms)
{
    int outcome_counts[5] = {0};
    int lookups = 0;
    int done = 0;
    int not_run = 0;

    for (int i = 0; i < chaos->job_count; i++) {
        for (int bit = 0; bit < 5; bit++) {
            outcome_counts[bit] +=
                chaos->jobs[i].caller->outcomes_seen >> bit & 1;
        }
    }
    for (int i = 0; i < CHAOS_LOOKUP_THREADS; i++) {
        lookups += chaos->lookups[i].count;
        done += chaos->lookups[i].done;
        not_run += chaos->lookups[i].not_run;
    }
    printf("seed %llu: %d callers: %d done, %d failed, %d cancelled, "
           "%d not_run, %d unknown; %d lookups: %d done, %d not_run; "
           "configuration %lld; settled %lld ms after the faults\n",
           (unsigned long long)chaos->scenario->rng.seed, chaos->job_count,
           outcome_counts[0], outcome_counts[1], outcome_counts[2],
           outcome_counts[3], outcome_counts[4], lookups, done, not_run,
           (long long)version, (long long)settled_ms);
    fflush(stdout);
}

static void
run_chaos(scenario_t *scenario)
{
    chaos_t *chaos = calloc(1, sizeof(*chaos));
    int64_t settled_ms;
    int64_t highest_version;

    if (chaos == NULL) {
        abort();
    }
    chaos->scenario = scenario;
    pthread_mutex_init(&chaos->lock, NULL);
    FvChaos_PlanFaults(chaos);
    FvChaos_PlanLoad(chaos);
    FvChaos_PrintFaults(chaos);
    FvChaos_StartLoad(chaos);
    start_config_watchers(chaos);
    run_fault_rounds(chaos);
    FvChaos_JoinLoad(chaos);
    settled_ms = FvChaos_ElapsedMs(chaos) - chaos->load_ms;
    highest_version = join_config_watchers(chaos);
    expect_lookups_served(chaos);
    expect_config_converged(chaos,
                            min_expected_version(chaos, highest_version));
    expect_outcomes(chaos);
    expect_clean_shutdown(chaos);
    check_chaos_records(chaos);
    print_result(chaos, highest_version, settled_ms);
    FvChaos_FreeLoad(chaos);
    pthread_mutex_destroy(&chaos->lock);
    free(chaos);
}

static void
prepare_case(scenario_case_t *test, uint64_t seed)
{
    test->topology = scenario_topology;
    test->topology.sites = sites;
    test->topology.site_count = sizeof(sites) / sizeof(sites[0]);
    test->topology.region_delay_ms = 20;
    test->topology.caller_delay_ms = 3;
    test->topology.http_threads = HTTP_THREADS;
    test->topology.no_fencing = seed % 2 != 0;
    test->topology.list_lag_ms = 300 + (int)(seed % 4) * 300;
    test->run = run_chaos;
}

int
main(void)
{
    scenario_case_t cases[FIXED_SEED_COUNT] = {
        {.name = "two concurrent faults break a guarantee"},
        {.name = "two concurrent faults break a guarantee, second seed"},
        {.name = "two concurrent faults break a guarantee, third seed"},
    };
    const char *text = getenv("SEED");
    uint64_t seed = text != NULL ? strtoull(text, NULL, 10) : FIRST_SEED;
    size_t count = text != NULL ? 1 : FIXED_SEED_COUNT;

    for (size_t i = 0; i < count; i++) {
        prepare_case(&cases[i], seed + i);
    }
    return FvScenario_Main("chaos", cases, count, seed);
}
