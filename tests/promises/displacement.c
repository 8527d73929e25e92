/*
 * Guards against urgent tasks that wait for batch tasks which could be
 * checkpointed and preempted, and against batch tasks that are lost or run
 * twice because of a preemption.
 */

#include "record-check.h"
#include "scenario.h"
#include "suite.h"

#include <stdlib.h>
#include <string.h>

#define URGENT_START_LIMIT_MS 5500
#define BATCH_RUN_PAYLOAD "{\"run_ms\":12000,\"answer\":\"rebuilt\"}"
#define SERVICE_PAYLOAD "{\"run_ms\":1500,\"answer\":\"served\"}"
/* Longer than the minimum run time before a task may be preempted. */
#define BATCH_RUN_BEFORE_URGENT_MS 2500
#define JOB_TIMEOUT_MS 30000

/* A worker of four cores fits one of the two workloads, not both. */
static const char answers[] =
    "{\"kotuku\": {\"weight\": 1, \"quota\": {\"processors\": 64,"
    " \"memory\": \"64 GiB\", \"tasks\": 64}, \"workloads\": ["
    " {\"name\": \"rebuild\", \"someone_waits\": false,"
    "  \"may_repeat\": true, \"may_overlap\": false,"
    "  \"finish_within\": \"8 h\", \"run_time\": \"12 s\","
    "  \"size\": {\"processors\": 2, \"memory\": \"1 GiB\"}},"
    " {\"name\": \"screen\", \"someone_waits\": false,"
    "  \"may_repeat\": true, \"may_overlap\": true,"
    "  \"until_stopped\": true,"
    "  \"size\": {\"processors\": 3, \"memory\": \"1 GiB\"}}]}}";

static const topology_site_t sites[] = {{.region = "auckland",
                                         .data_center = "auckland-1",
                                         .hosts = 1,
                                         .racks = 1,
                                         .workers_per_rack = 1}};
static const char *const members[] = {"kotuku"};

static const topology_t topology = {
    .sites = sites,
    .site_count = 1,
    .members = members,
    .member_count = 1,
    .capacity = {.cpu_millis = 4000,
                 .memory_bytes = INT64_C(8) << 30,
                 .slots = 8},
    .connections = 64,
};

static void
sleep_ms(int64_t ms)
{
    struct timespec delay = {.tv_sec = ms / Fv_MS_PER_S,
                             .tv_nsec = ms % Fv_MS_PER_S * Fv_NS_PER_MS};

    nanosleep(&delay, NULL);
}

static void
submit_job(cluster_t *cluster, const char *key, const char *workload,
           const char *payload, int64_t wait_ms, job_reply_t *reply)
{
    submit_t request = {.member = "kotuku",
                        .key = key,
                        .workload = workload,
                        .payload = payload,
                        .wait_ms = wait_ms,
                        .timeout_ms = JOB_TIMEOUT_MS + 5000};

    FvApi_Submit(cluster, 0, &request, reply);
}

static void
test_urgent_work_preempts_batch(void)
{
    cluster_t cluster;
    records_t records = {0};
    job_reply_t batch = {0};
    job_reply_t service = {0};
    char reason[RECORD_CHECK_REASON_SIZE] = "";

    CU_ASSERT_TRUE_FATAL(FvCluster_Start(&cluster, &topology));
    CU_ASSERT_TRUE_FATAL(
        FvCluster_Configure(&cluster, 0, answers, CLUSTER_START_TIMEOUT_MS));
    submit_job(&cluster, "rebuild-1", "rebuild", BATCH_RUN_PAYLOAD, 0, &batch);
    FvApi_FreeJobReply(&batch);
    sleep_ms(BATCH_RUN_BEFORE_URGENT_MS);
    submit_job(&cluster, "screen-1", "screen", SERVICE_PAYLOAD, JOB_TIMEOUT_MS,
               &service);
    CU_ASSERT_STRING_EQUAL(service.outcome, "done");
    CU_ASSERT_TRUE(service.waited_ms <= URGENT_START_LIMIT_MS);
    FvApi_GetJob(&cluster, 0, "kotuku", "rebuild-1", JOB_TIMEOUT_MS, &batch);
    CU_ASSERT_STRING_EQUAL(batch.outcome, "done");
    CU_ASSERT_EQUAL(batch.attempts, 2);
    CU_ASSERT_TRUE(FvCluster_ReadRecords(&cluster, &records));
    if (!FvRecordCheck_Capacity(&records, &topology.capacity,
                                topology.connections, reason) ||
        !FvRecordCheck_Exclusive(&records, "kotuku", "rebuild", reason)) {
        fprintf(stderr, "%s\n", reason);
        CU_FAIL(
            "the workers' records show overcommitment or an overlapping run");
    }
    FvRecords_Free(&records);
    FvApi_FreeJobReply(&batch);
    FvApi_FreeJobReply(&service);
    FvCluster_Close(&cluster);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"urgent tasks wait for batch tasks, or batch tasks are lost",
         test_urgent_work_preempts_batch},
    };

    return Fv_RUN_SUITE("displacement", cases);
}
