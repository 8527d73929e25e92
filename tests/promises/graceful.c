/*
 * Guards against a host that interrupts requests in flight when it receives
 * SIGTERM. Checks the replies to callers, the workers' records and the exit
 * codes of the hosts.
 */

#include "cluster.h"
#include "fake-server.h"
#include "record-check.h"
#include "load.h"
#include "suite.h"
#include "thread.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define SEED UINT64_C(8401)
#define DRAIN_TIMEOUT_MS 6000
/* A request sent this long before the signal counts as accepted. */
#define ACCEPT_MARGIN_US 100000
/* Below the drain timeout, so that a host must answer waiting callers. */
#define CALL_WAIT_MS 3000
#define LOAD_BEFORE_MS 800
#define LOAD_AFTER_MS 1200
#define BATCH_JOBS 6
#define BATCH_RUN_MS 3000
/* Host list delay, takeover (2.3 s), remaining run time and retries. */
#define ANSWER_TIMEOUT_MS 15000

static const char *const members[] = LOAD_MEMBERS;
static const topology_site_t sites[] = {
    {"akl", "akl-1", 4, 2, 3},
};
static const topology_t topology = {.sites = sites,
                                    .site_count = 1,
                                    .members = members,
                                    .member_count = 2,
                                    .list_lag_ms = 500,
                                    .http_threads = 32,
                                    .drain_timeout_ms = DRAIN_TIMEOUT_MS,
                                    .proxied = true};
static cluster_t cluster;

static void
choose_request(load_t *load, uint64_t random, load_call_t *call)
{
    (void)load;
    call->host = (int)(random % (uint64_t)cluster.host_count);
    call->workload = (random >> 8) % 4 == 0 ? LOAD_EXPORT : LOAD_LOOKUP;
    call->answer_bytes = (int64_t)((random >> 12) % 200000);
    call->run_ms = 20 + (int64_t)((random >> 32) % 400);
    /* Longer than the minimum of half a second until a host exits. */
    if ((random >> 48) % 4 == 0) {
        call->run_ms += 1000;
    }
}

static void
print_call(const load_call_t *call, int64_t signal_us)
{
    printf("seed %llu: %s %s host-%d sent %lld ms and answered %lld ms after "
           "the signal, status %d %s %s received %zu of %lld: %s\n",
           (unsigned long long)SEED, call->key, call->workload, call->host + 1,
           (long long)(call->sent_us - signal_us) / 1000,
           (long long)(call->ended_us - signal_us) / 1000, call->status,
           call->state, call->outcome, call->received_bytes,
           (long long)call->answer_bytes, call->reason);
}

/* A stopped host must answer every request that was in flight at the signal.
 * The other hosts must answer all requests. */
static void
check_calls(const load_t *load, int stopped_count, int64_t signal_us)
{
    int in_flight = 0;
    int interrupted = 0;
    int failed_elsewhere = 0;

    for (size_t i = 0; i < load->count; i++) {
        const load_call_t *call = &load->calls[i];
        bool at_stopped_host = call->host < stopped_count;
        bool accepted = call->sent_us < signal_us - ACCEPT_MARGIN_US;

        in_flight += at_stopped_host && accepted && call->ended_us > signal_us;
        if (call->answer_correct || (at_stopped_host && !accepted)) {
            continue;
        }
        print_call(call, signal_us);
        interrupted += at_stopped_host;
        failed_elsewhere += !at_stopped_host;
    }
    CU_ASSERT_TRUE(in_flight > 0);
    CU_ASSERT_EQUAL(interrupted, 0);
    CU_ASSERT_EQUAL(failed_elsewhere, 0);
}

static bool
is_unready(void *context)
{
    const int *host = context;
    char url[Fv_URL_SIZE];
    http_call_t call = {.url = url, .timeout_ms = 1000};
    http_reply_t reply;

    FvApi_HostUrl(&cluster, *host, "/ready", url, sizeof(url));
    FvHttp_Run(&call, &reply);
    FvHttp_FreeReply(&reply);
    return reply.status != 200;
}

/* Sends SIGTERM to hosts 0 to COUNT - 1; returns the time of the signal. */
static int64_t
terminate_hosts(int count)
{
    int64_t signal_us = FvLoad_WallUs();

    for (int host = 0; host < count; host++) {
        CU_ASSERT_TRUE(
            FvProcess_Signal(&cluster.hosts[host].process, SIGTERM));
    }
    for (int host = 0; host < count; host++) {
        CU_ASSERT_TRUE(FvWait_Until(is_unready, &host, 500));
    }
    return signal_us;
}

/* The hosts must exit with 0 within the drain timeout after the signal. */
static void
expect_exit(int count, int64_t signal_us)
{
    for (int host = 0; host < count; host++) {
        process_t *process = &cluster.hosts[host].process;
        int64_t left_ms =
            DRAIN_TIMEOUT_MS - (FvLoad_WallUs() - signal_us) / 1000;
        bool ended = FvProcess_Wait(process, left_ms > 0 ? left_ms : 1);

        CU_ASSERT_TRUE(ended);
        CU_ASSERT_EQUAL(process->exit_status, 0);
        if (!ended || process->exit_status != 0) {
            printf("seed %llu: host-%d ended %d, status %d\n",
                   (unsigned long long)SEED, host + 1, (int)ended,
                   process->exit_status);
        }
        FvProcess_Kill(process);
        CU_ASSERT_TRUE(FvCluster_SetHostListState(
            &cluster, cluster.hosts[host].name, "gone"));
    }
}

static void
restart_hosts(int count)
{
    CU_ASSERT_TRUE(
        FvCluster_ControlPlatform(&cluster, "/hosts/reload", json_object()));
    for (int host = 0; host < count; host++) {
        CU_ASSERT_TRUE_FATAL(FvCluster_StartHost(&cluster, host));
    }
    for (int host = 0; host < count; host++) {
        CU_ASSERT_TRUE_FATAL(
            FvCluster_WaitReady(&cluster, host, CLUSTER_START_TIMEOUT_MS));
    }
    FvFake_SleepMs(1500); /* for the host list delay, links and host digests */
}

static void
run_under_load(const char *name, uint64_t seed, int hosts)
{
    load_t load = {.cluster = &cluster,
                   .name = name,
                   .seed = seed,
                   .threads = 20,
                   .wait_ms = CALL_WAIT_MS,
                   .pause_ms = 5,
                   .choose_request = choose_request};
    int64_t signal_us;

    CU_ASSERT_TRUE(FvLoad_Start(&load));
    FvFake_SleepMs(LOAD_BEFORE_MS);
    signal_us = terminate_hosts(hosts);
    FvFake_SleepMs(LOAD_AFTER_MS);
    FvLoad_Stop(&load);
    expect_exit(hosts, signal_us);
    check_calls(&load, hosts, signal_us);
    FvLoad_Free(&load);
    restart_hosts(hosts);
}

static void
test_one_host(void)
{
    run_under_load("one", SEED, 1);
}

static void
test_two_hosts(void)
{
    run_under_load("two", SEED + 100, 2);
}

/* Submits jobs to host 0 that still run when the host stops. */
static void
submit_batch(load_call_t *calls, const char *name, int64_t run_ms)
{
    for (int i = 0; i < BATCH_JOBS; i++) {
        calls[i] = (load_call_t){.member = members[i % 2],
                                 .workload = LOAD_EXPORT,
                                 .seed = SEED + (uint64_t)i,
                                 .answer_bytes = 100000 + i,
                                 .run_ms = run_ms};
        snprintf(calls[i].key, sizeof(calls[i].key), "%s-%d", name, i);
        FvLoad_Submit(&cluster, &calls[i], 0);
        CU_ASSERT_EQUAL(calls[i].status, 202);
    }
}

/* Each job must have run once, without a stop, and other hosts must have its
 * answer. */
static void
expect_answered(load_call_t *calls)
{
    int64_t until_ms = FvClock_NowMs() + ANSWER_TIMEOUT_MS;
    records_t records;

    for (int i = 0; i < BATCH_JOBS; i++) {
        calls[i].host = 2 + i % 2;
        do {
            FvLoad_Submit(&cluster, &calls[i], CALL_WAIT_MS);
        } while (!calls[i].answer_correct && FvClock_NowMs() < until_ms);
        CU_ASSERT_TRUE(calls[i].answer_correct);
        if (!calls[i].answer_correct) {
            print_call(&calls[i], calls[i].sent_us);
        }
    }
    CU_ASSERT_TRUE_FATAL(FvCluster_ReadRecords(&cluster, &records));
    for (int i = 0; i < BATCH_JOBS; i++) {
        CU_ASSERT_EQUAL(
            FvRecords_CountStarts(&records, calls[i].member, calls[i].key), 1);
        CU_ASSERT_PTR_NULL(FvRecords_Find(&records, RECORD_STOPPED,
                                          calls[i].member, calls[i].key, 0));
    }
    FvRecords_Free(&records);
}

typedef struct waiting_caller {
    pthread_t thread;
    load_call_t call;
} waiting_caller_t;

static void *
run_waiting_caller(void *context)
{
    waiting_caller_t *waiting_caller = context;

    FvLoad_Submit(&cluster, &waiting_caller->call, 20000);
    return NULL;
}

/* The caller's job outlasts the drain; the caller must still get a complete
 * reply at the end of the drain. */
static void
start_waiting_caller(waiting_caller_t *waiting_caller, const char *key)
{
    waiting_caller->call = (load_call_t){.member = "kotuku",
                                         .workload = LOAD_EXPORT,
                                         .answer_bytes = 10,
                                         .run_ms = DRAIN_TIMEOUT_MS + 4000};
    snprintf(waiting_caller->call.key, sizeof(waiting_caller->call.key), "%s",
             key);
    FvThread_Start(&waiting_caller->thread, run_waiting_caller,
                   waiting_caller);
}

static void
test_batch_continues(void)
{
    load_call_t calls[BATCH_JOBS];
    waiting_caller_t waiting_caller;
    int64_t signal_us;

    start_waiting_caller(&waiting_caller, "long");
    submit_batch(calls, "batch", BATCH_RUN_MS);
    FvFake_SleepMs(500);
    signal_us = terminate_hosts(1);
    expect_exit(1, signal_us);
    pthread_join(waiting_caller.thread, NULL);
    CU_ASSERT_TRUE(waiting_caller.call.status == 202 ||
                   waiting_caller.call.status == 503);
    CU_ASSERT_TRUE(waiting_caller.call.ended_us - signal_us >
                   DRAIN_TIMEOUT_MS / 2 * 1000);
    expect_answered(calls);
    restart_hosts(1);
}

/*
 * During a store outage the results of jobs with claims cannot be written, so
 * their callers may get 202 or 503, and the jobs outlast the drain. Still,
 * lookups in flight must get their full answers and every caller a complete
 * reply. The host must exit within its drain timeout, and after the outage
 * each job must have an answer and have run once.
 */
static void
test_store_down(void)
{
    load_call_t calls[BATCH_JOBS];
    load_call_t lookup = {.member = "kotuku",
                          .workload = LOAD_LOOKUP,
                          .answer_bytes = 70000,
                          .run_ms = 600};
    waiting_caller_t waiting_caller = {.call = lookup};
    int64_t signal_us;

    submit_batch(calls, "outage", 1000);
    FvFake_SleepMs(400);
    CU_ASSERT_TRUE(FvCluster_ControlPlatform(
        &cluster, "/store", json_pack("{s:s}", "mode", "down")));
    snprintf(waiting_caller.call.key, sizeof(waiting_caller.call.key),
             "outage-lookup");
    FvThread_Start(&waiting_caller.thread, run_waiting_caller,
                   &waiting_caller);
    FvFake_SleepMs(200);
    signal_us = terminate_hosts(1);
    pthread_join(waiting_caller.thread, NULL);
    CU_ASSERT_TRUE(waiting_caller.call.answer_correct);
    expect_exit(1, signal_us);
    CU_ASSERT_TRUE(FvCluster_ControlPlatform(
        &cluster, "/store", json_pack("{s:s}", "mode", "up")));
    expect_answered(calls);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a stopping host interrupts a request", test_one_host},
        {"two hosts stopping together interrupt a request", test_two_hosts},
        {"a stopping host stops batch tasks or loses their answers",
         test_batch_continues},
        {"a host that stops in a store outage loses a job", test_store_down},
    };
    int failed = 1;

    if (FvCluster_Start(&cluster, &topology) &&
        FvCluster_Configure(&cluster, 0, LOAD_ANSWERS, 4000)) {
        FvFake_SleepMs(1500); /* for the first leases and host digests */
        failed = Fv_RUN_SUITE("graceful", cases);
    }
    if (failed != 0) {
        printf("graceful: seed %llu\n", (unsigned long long)SEED);
    }
    FvCluster_Close(&cluster);
    return failed;
}
