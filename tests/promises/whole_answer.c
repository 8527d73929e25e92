/*
 * Guards against a caller that gets a truncated or corrupted answer, or the
 * answer of another request. Each answer is pseudo-random data from the seed
 * of its request, so that any of these faults is detected.
 */

#include "cluster.h"
#include "fake-server.h"
#include "load.h"
#include "suite.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define SEED UINT64_C(8201)
#define LARGE_BYTES (8 * 1024 * 1024)
#define CALL_WAIT_MS 8000
/* Lease TTL, its safety margin and the caller's retries. */
#define RETRY_TIMEOUT_MS 15000
#define PRINTED_MAX 20
#define CUT_COUNT 5
#define CUT_DURATION_MS 100
#define CUT_OFFSET_MAX_BYTES 2000000

static const char *const members[] = LOAD_MEMBERS;
static const topology_site_t sites[] = {
    {"akl", "akl-1", 2, 1, 4},
    {"wlg", "wlg-1", 2, 1, 4},
};
static const topology_t topology = {.sites = sites,
                                    .site_count = 2,
                                    .members = members,
                                    .member_count = 2,
                                    .region_delay_ms = 5,
                                    .http_threads = 64,
                                    .list_lag_ms = 500,
                                    .proxied = true};
static cluster_t cluster;

static const int64_t small_sizes[] = {
    0, 1, 7, 1000, 65535, 65536, 65537, 131072, 4096, 200000, 300000, 3};

static void
choose_small(load_t *load, uint64_t random, load_call_t *call)
{
    size_t count = sizeof(small_sizes) / sizeof(small_sizes[0]);

    (void)load;
    call->workload = LOAD_LOOKUP;
    call->host = (int)(random % (uint64_t)cluster.host_count);
    call->answer_bytes = small_sizes[(random >> 8) % count];
    call->run_ms = (int64_t)((random >> 16) % 30);
}

static void
choose_mixed(load_t *load, uint64_t random, load_call_t *call)
{
    choose_small(load, random, call);
    if ((random >> 24) % 6 == 0) {
        call->answer_bytes =
            (int64_t)(1 + (random >> 32) % (uint64_t)LARGE_BYTES);
    }
    if ((random >> 25) % 5 == 0) {
        call->workload = LOAD_EXPORT;
        call->run_ms = 200 + (int64_t)((random >> 40) % 600);
    }
}

/* Prints only the first failed calls, which show the cause. */
static void
print_call(const load_call_t *call)
{
    static int printed;

    if (++printed > PRINTED_MAX) {
        return;
    }
    printf("seed %llu: %s %s host-%d status %d %s %s received %zu of %lld, "
           "%s: %s\n",
           (unsigned long long)SEED, call->key, call->workload, call->host + 1,
           call->status, call->state, call->outcome, call->received_bytes,
           (long long)call->answer_bytes,
           call->answer_correct ? "correct" : "wrong", call->reason);
}

/* A delivered answer must be correct; a short one must not look complete. */
static int
count_wrong(const load_t *load)
{
    int wrong = 0;

    for (size_t i = 0; i < load->count; i++) {
        const load_call_t *call = &load->calls[i];

        if (strcmp(call->outcome, "done") == 0 && !call->answer_correct &&
            call->status == 200) {
            print_call(call);
            wrong++;
        }
    }
    return wrong;
}

static int
count_unanswered(const load_t *load)
{
    int unanswered = 0;

    for (size_t i = 0; i < load->count; i++) {
        if (!load->calls[i].answer_correct) {
            print_call(&load->calls[i]);
            unanswered++;
        }
    }
    return unanswered;
}

/* Retries the same key at other hosts until the answer is complete. */
static bool
retry_until_answered(load_call_t *call)
{
    int64_t until_ms = FvClock_NowMs() + RETRY_TIMEOUT_MS;

    while (!call->answer_correct && FvClock_NowMs() < until_ms) {
        int host = (call->host + 1) % cluster.host_count;

        if (cluster.hosts[host].process.pid == 0) {
            host = (host + 1) % cluster.host_count;
        }
        call->host = host;
        FvLoad_Submit(&cluster, call, CALL_WAIT_MS);
        if (call->status == 200 && !call->answer_correct &&
            strcmp(call->outcome, "done") == 0) {
            print_call(call);
            return false;
        }
        if (!call->answer_correct) {
            FvFake_SleepMs(200);
        }
    }
    if (!call->answer_correct) {
        print_call(call);
    }
    return call->answer_correct;
}

static int
retry_unanswered(load_t *load)
{
    int still_unanswered = 0;

    for (size_t i = 0; i < load->count; i++) {
        still_unanswered += !load->calls[i].answer_correct &&
                            !retry_until_answered(&load->calls[i]);
    }
    return still_unanswered;
}

static void
test_many_callers(void)
{
    load_t load = {.cluster = &cluster,
                   .name = "many",
                   .seed = SEED,
                   .threads = 24,
                   .calls_per_thread = 20,
                   .wait_ms = CALL_WAIT_MS,
                   .choose_request = choose_small};

    CU_ASSERT_TRUE(FvLoad_Start(&load));
    FvLoad_Wait(&load);
    CU_ASSERT_EQUAL(load.count, 24 * 20);
    CU_ASSERT_EQUAL(count_unanswered(&load), 0);
    FvLoad_Free(&load);
}

static void
test_large_among_small(void)
{
    load_t load = {.cluster = &cluster,
                   .name = "mixed",
                   .seed = SEED + 100,
                   .threads = 16,
                   .calls_per_thread = 8,
                   .wait_ms = CALL_WAIT_MS,
                   .choose_request = choose_mixed};

    CU_ASSERT_TRUE(FvLoad_Start(&load));
    FvLoad_Wait(&load);
    CU_ASSERT_EQUAL(load.count, 16 * 8);
    CU_ASSERT_EQUAL(count_unanswered(&load), 0);
    FvLoad_Free(&load);
}

/* A client that stops reading leaves part of its answer on the connections
 * between the hosts. Later answers there must not be mixed with it. */
static void
test_abandoned_answers(void)
{
    load_t load = {.cluster = &cluster,
                   .name = "after",
                   .seed = SEED + 200,
                   .threads = 8,
                   .calls_per_thread = 10,
                   .wait_ms = CALL_WAIT_MS,
                   .choose_request = choose_small};
    job_reply_t reply;

    CU_ASSERT_TRUE(FvLoad_Start(&load));
    for (int i = 0; i < 12; i++) {
        char payload[96];
        submit_t submit = {.member = "kotuku",
                           .workload = LOAD_LOOKUP,
                           .payload = payload,
                           .wait_ms = CALL_WAIT_MS,
                           .raw = true,
                           .timeout_ms = 20 + i * 5};

        snprintf(payload, sizeof(payload),
                 "{\"run_ms\":30,\"answer_bytes\":%d,\"seed\":%d}",
                 4000000 + i, i);
        FvApi_Submit(&cluster, i % cluster.host_count, &submit, &reply);
        FvApi_FreeJobReply(&reply);
    }
    FvLoad_Wait(&load);
    CU_ASSERT_EQUAL(count_unanswered(&load), 0);
    FvLoad_Free(&load);
}

/* Cuts connections of one kind at random points of their answers. A cut stays
 * active only for a short time, because no longer answer can pass it. */
static void
run_with_cuts(const char *name, uint64_t seed, route_kind_t kind)
{
    load_t load = {.cluster = &cluster,
                   .name = name,
                   .seed = seed,
                   .threads = 12,
                   .calls_per_thread = 10,
                   .wait_ms = CALL_WAIT_MS,
                   .pause_ms = 20,
                   .choose_request = choose_mixed};
    uint64_t state = seed;

    CU_ASSERT_TRUE(FvLoad_Start(&load));
    for (int i = 0; i < CUT_COUNT; i++) {
        FvFake_SleepMs(CUT_DURATION_MS);
        CU_ASSERT_TRUE(FvCluster_CutResponse(
            &cluster, kind, CLUSTER_ALL, CLUSTER_ALL,
            (int64_t)(FvLoad_Random(&state) % CUT_OFFSET_MAX_BYTES)));
        FvFake_SleepMs(CUT_DURATION_MS);
        CU_ASSERT_TRUE(FvCluster_SetRoute(&cluster, kind, CLUSTER_ALL,
                                          CLUSTER_ALL, "restore"));
    }
    FvLoad_Wait(&load);
    CU_ASSERT_EQUAL(load.count, 12 * 10);
    CU_ASSERT_EQUAL(count_wrong(&load), 0);
    CU_ASSERT_EQUAL(retry_unanswered(&load), 0);
    FvLoad_Free(&load);
}

static void
test_peer_cut(void)
{
    run_with_cuts("peer", SEED + 300, ROUTE_PEER);
}

static void
test_worker_cut(void)
{
    run_with_cuts("worker", SEED + 400, ROUTE_RACK);
}

/* On the client's own connection, a short body must not look complete. */
static void
test_caller_cut(void)
{
    run_with_cuts("caller", SEED + 500, ROUTE_CALLER);
}

/* The lease holder of the last grant that the rack's workers recorded. */
static int
find_holder(int rack)
{
    records_t records;
    int holder = -1;
    char prefix[Fv_NAME_SIZE];

    if (!FvCluster_ReadRecords(&cluster, &records)) {
        return -1;
    }
    snprintf(prefix, sizeof(prefix), "%s", cluster.racks[rack].prefix);
    for (size_t i = 0; i < records.count; i++) {
        const record_t *record = &records.entries[i];

        for (int host = 0;
             record->event == RECORD_LEASE_GRANTED &&
             strncmp(record->worker, prefix, strlen(prefix)) == 0 &&
             host < cluster.host_count;
             host++) {
            if (strcmp(cluster.hosts[host].name, record->holder) == 0) {
                holder = host;
            }
        }
    }
    FvRecords_Free(&records);
    return holder;
}

static void
test_holder_killed(void)
{
    load_t load = {.cluster = &cluster,
                   .name = "killed",
                   .seed = SEED + 600,
                   .threads = 12,
                   .calls_per_thread = 8,
                   .wait_ms = CALL_WAIT_MS,
                   .choose_request = choose_mixed};
    int holder = find_holder(0);

    CU_ASSERT_TRUE_FATAL(holder >= 0);
    CU_ASSERT_TRUE(FvLoad_Start(&load));
    FvFake_SleepMs(300);
    FvProcess_Kill(&cluster.hosts[holder].process);
    CU_ASSERT_TRUE(FvCluster_SetHostListState(
        &cluster, cluster.hosts[holder].name, "gone"));
    FvLoad_Wait(&load);
    CU_ASSERT_EQUAL(count_wrong(&load), 0);
    CU_ASSERT_EQUAL(retry_unanswered(&load), 0);
    FvLoad_Free(&load);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a caller gets the answer of another one", test_many_callers},
        {"large answers are truncated among small ones",
         test_large_among_small},
        {"an abandoned answer is mixed into another one",
         test_abandoned_answers},
        {"a cut link leads to a truncated answer", test_peer_cut},
        {"a cut worker connection leads to a truncated answer",
         test_worker_cut},
        {"a caller does not notice that its answer was cut", test_caller_cut},
        {"an answer is lost with a killed lease holder", test_holder_killed},
    };
    int failed = 1;

    if (FvCluster_Start(&cluster, &topology) &&
        FvCluster_Configure(&cluster, 0, LOAD_ANSWERS, 4000) &&
        FvCluster_WaitReady(&cluster, 3, CLUSTER_START_TIMEOUT_MS)) {
        FvFake_SleepMs(1500); /* for the first leases and host digests */
        failed = Fv_RUN_SUITE("whole_answer", cases);
    }
    if (failed != 0) {
        printf("whole_answer: seed %llu\n", (unsigned long long)SEED);
    }
    FvCluster_Close(&cluster);
    return failed;
}
