/*
 * Guards against a start on a worker later than 3 s after the platform listed
 * it as leaving, or after the worker reported that. Checks the workers'
 * records.
 */

#include "cluster.h"
#include "fake-server.h"
#include "record-check.h"
#include "load.h"
#include "suite.h"

#include <stdlib.h>
#include <string.h>

#define SEED UINT64_C(8301)
/* The guaranteed limit; it includes the delay of the host list. */
#define LAST_START_LIMIT_US INT64_C(3000000)
#define LIST_LAG_MS 1000
/* Load time after the worker was listed as leaving. */
#define LOAD_AFTER_MS 4200
#define LOAD_WARMUP_MS 1000

static const char *const members[] = LOAD_MEMBERS;
static const topology_site_t sites[] = {
    {"akl", "akl-1", 3, 2, 3},
};
static const topology_t topology = {.sites = sites,
                                    .site_count = 1,
                                    .members = members,
                                    .member_count = 2,
                                    .list_lag_ms = LIST_LAG_MS,
                                    .http_threads = 48,
                                    .proxied = true};
static cluster_t cluster;

/* More load than the other workers can run, so that free capacity of the
 * leaving worker would be used. */
static void
choose_request(load_t *load, uint64_t random, load_call_t *call)
{
    (void)load;
    call->host = (int)(random % (uint64_t)cluster.host_count);
    call->workload = (random >> 8) % 3 == 0 ? LOAD_EXPORT : LOAD_LOOKUP;
    call->answer_bytes = 16;
    call->run_ms = 30 + (int64_t)((random >> 16) % 300);
}

static int
count_starts(const records_t *records, const char *worker, int64_t from_us,
             int64_t until_us)
{
    int count = 0;

    for (size_t i = 0; i < records->count; i++) {
        const record_t *record = &records->entries[i];

        count += record->event == RECORD_START &&
                 strcmp(record->worker, worker) == 0 &&
                 record->at_us >= from_us && record->at_us < until_us;
    }
    return count;
}

static int
find_holder(const char *worker)
{
    records_t records;
    int holder = -1;

    if (!FvCluster_ReadRecords(&cluster, &records)) {
        return -1;
    }
    for (size_t i = 0; i < records.count; i++) {
        const record_t *record = &records.entries[i];

        for (int host = 0;
             record->event == RECORD_LEASE_GRANTED &&
             strcmp(record->worker, worker) == 0 && host < cluster.host_count;
             host++) {
            if (strcmp(cluster.hosts[host].name, record->holder) == 0) {
                holder = host;
            }
        }
    }
    FvRecords_Free(&records);
    return holder;
}

/* The worker must have been used before LISTED_US, and not be used later than
 * 3 s after it. Other workers must still be used then. */
static void
check_starts(const char *worker, int64_t began_us, int64_t listed_us)
{
    char reason[RECORD_CHECK_REASON_SIZE] = "";
    records_t records;
    int starts_before;
    int other_starts = 0;

    CU_ASSERT_TRUE_FATAL(FvCluster_ReadRecords(&cluster, &records));
    starts_before = count_starts(&records, worker, began_us, listed_us);
    for (size_t i = 0; i < records.count; i++) {
        other_starts +=
            records.entries[i].event == RECORD_START &&
            records.entries[i].at_us > listed_us + LAST_START_LIMIT_US;
    }
    CU_ASSERT_TRUE(starts_before > 0);
    CU_ASSERT_TRUE(other_starts > 0);
    if (!FvRecordCheck_NoStartAfter(&records, worker,
                                    listed_us + LAST_START_LIMIT_US, reason)) {
        printf("seed %llu: %s\n", (unsigned long long)SEED, reason);
        CU_FAIL("a task started on a leaving worker");
    }
    FvRecords_Free(&records);
}

typedef enum fault { FAULT_NONE, FAULT_KILL_HOLDER, FAULT_LIST_CUT } fault_t;

static void
inject_fault(fault_t fault, int holder)
{
    if (fault == FAULT_KILL_HOLDER) {
        FvProcess_Kill(&cluster.hosts[holder].process);
        CU_ASSERT_TRUE(FvCluster_SetHostListState(
            &cluster, cluster.hosts[holder].name, "gone"));
    }
    if (fault == FAULT_LIST_CUT) {
        /* Another host than the lease holder can no longer read the list. */
        CU_ASSERT_TRUE(FvCluster_SetRoute(&cluster, ROUTE_LIST,
                                          (holder + 1) % cluster.host_count, 0,
                                          "cut"));
    }
}

static void
run_case(const char *worker, uint64_t seed, fault_t fault)
{
    load_t load = {.cluster = &cluster,
                   .name = worker,
                   .seed = seed,
                   .threads = 40,
                   .wait_ms = 1500,
                   .choose_request = choose_request};
    int holder = find_holder(worker);
    int64_t began_us = FvLoad_WallUs();
    int64_t listed_us;

    CU_ASSERT_TRUE_FATAL(holder >= 0);
    CU_ASSERT_TRUE(FvLoad_Start(&load));
    FvFake_SleepMs(LOAD_WARMUP_MS);
    listed_us = FvLoad_WallUs();
    CU_ASSERT_TRUE(FvCluster_SetHostListState(&cluster, worker, "leaving"));
    inject_fault(fault, holder);
    FvFake_SleepMs(LOAD_AFTER_MS);
    FvLoad_Stop(&load);
    check_starts(worker, began_us, listed_us);
    FvLoad_Free(&load);
}

static void
test_under_load(void)
{
    run_case("r1-w1", SEED, FAULT_NONE);
}

static void
test_list_cut_elsewhere(void)
{
    run_case("r2-w1", SEED + 100, FAULT_LIST_CUT);
    CU_ASSERT_TRUE(
        FvCluster_SetRoute(&cluster, ROUTE_LIST, CLUSTER_ALL, 0, "restore"));
}

/* The next lease holder must not start tasks on the leaving worker, either. */
static void
test_holder_killed(void)
{
    run_case("r1-w2", SEED + 200, FAULT_KILL_HOLDER);
}

/* The worker reports that it is leaving; the host list still shows it live. */
static void
test_worker_reports_leaving(void)
{
    load_t load = {.cluster = &cluster,
                   .name = "told",
                   .seed = SEED + 300,
                   .threads = 40,
                   .wait_ms = 1500,
                   .choose_request = choose_request};
    int64_t began_us = FvLoad_WallUs();
    int64_t reported_us;

    CU_ASSERT_TRUE(FvLoad_Start(&load));
    FvFake_SleepMs(LOAD_WARMUP_MS);
    reported_us = FvLoad_WallUs();
    CU_ASSERT_TRUE(FvCluster_SetWorkerMode(&cluster, 1, "r2-w2", "leaving"));
    FvFake_SleepMs(LOAD_AFTER_MS);
    FvLoad_Stop(&load);
    check_starts("r2-w2", began_us, reported_us);
    FvLoad_Free(&load);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a task starts on a leaving worker under load", test_under_load},
        {"a task starts while a host cannot read the host list",
         test_list_cut_elsewhere},
        {"a task starts on a worker that reported leaving",
         test_worker_reports_leaving},
        {"the next holder of a leaving worker starts a task on it",
         test_holder_killed},
    };
    int failed = 1;

    if (FvCluster_Start(&cluster, &topology) &&
        FvCluster_Configure(&cluster, 0, LOAD_ANSWERS, 4000)) {
        FvFake_SleepMs(1500); /* for the first leases and host digests */
        failed = Fv_RUN_SUITE("leaving", cases);
    }
    if (failed != 0) {
        printf("leaving: seed %llu\n", (unsigned long long)SEED);
    }
    FvCluster_Close(&cluster);
    return failed;
}
