/*
 * Refusals at submission. Loads: many jobs that can never be done, and a flood
 * whose last jobs could only be completed without value. Guards against
 * refusing a job that could run.
 */

#include "sched-fixture.h"

#include <stdio.h>
#include <string.h>

#define SETTLED_MS 5000

#define STEP(text) "{\"taskSpec\":\"x\",\"steps\":[{" text "}]}"

static const char small[] =
    STEP("\"count\":4,\"cpu\":1000,\"memMb\":10,\"estimatedMs\":1000");
static const char large_task[] =
    STEP("\"count\":1,\"cpu\":9000,\"memMb\":10,\"estimatedMs\":1000");
static const char labelled[] =
    STEP("\"count\":1,\"cpu\":1000,\"memMb\":10,\"estimatedMs\":1000,"
         "\"requiredLabel\":\"r9\"");
static const char wide_gang[] =
    STEP("\"count\":9,\"cpu\":4000,\"memMb\":10,\"estimatedMs\":1000,"
         "\"gang\":true");
static const char gang[] =
    STEP("\"count\":8,\"cpu\":4000,\"memMb\":10,\"estimatedMs\":1000,"
         "\"gang\":true");
static const char lasting[] =
    STEP("\"count\":1,\"cpu\":1000,\"memMb\":10,\"longRunning\":true");

static sched_fixture_t fixture;

/* Opens a cell of four workers of 8 cores. */
static void
open_cell(void)
{
    char id[Fv_NAME_SIZE];

    FvSchedFixture_Open(&fixture, 1);
    for (int i = 0; i < 4; i++) {
        snprintf(id, sizeof(id), "w%d", i);
        FvSchedFixture_AddWorker(&fixture, id, "r1", 8000);
    }
    fixture.sched.registry_known = true;
    fixture.sched.workers_changed_ms = fixture.now_ms;
    fixture.now_ms += SETTLED_MS;
}

static fv_refusal_t
check(const char *document, int32_t priority, int64_t *retry_ms)
{
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("batch", priority);
    fv_job_spec_t spec;
    fv_refusal_t refusal;

    CU_ASSERT_TRUE_FATAL(
        FvPlatform_DecodeJobSpec(document, strlen(document), &spec));
    refusal = FvSched_CheckSubmission(&fixture.sched, &spec, &queue,
                                      fixture.now_ms, retry_ms);
    FvJobSpec_Clear(&spec);
    return refusal;
}

static void
test_what_can_never_run_is_refused(void)
{
    int64_t retry_ms = 0;

    open_cell();
    CU_ASSERT_EQUAL(check(large_task, 1, &retry_ms), Fv_REFUSAL_UNFIT);
    CU_ASSERT(retry_ms > 0);
    CU_ASSERT_EQUAL(check(labelled, 1, &retry_ms), Fv_REFUSAL_UNFIT);
    CU_ASSERT_EQUAL(check(wide_gang, 1, &retry_ms), Fv_REFUSAL_UNFIT);
    CU_ASSERT_EQUAL(check(small, 1, &retry_ms), Fv_REFUSAL_NONE);
    CU_ASSERT_EQUAL(check(gang, 1, &retry_ms), Fv_REFUSAL_NONE);
    CU_ASSERT_EQUAL(check(lasting, 1, &retry_ms), Fv_REFUSAL_NONE);
    FvSchedFixture_Close(&fixture);
}

/* The cell is full of other work, and its workers are silent or leave. */
static void
test_busy_workers_count(void)
{
    int64_t retry_ms = 0;

    open_cell();
    for (fv_sched_worker_t *worker = fixture.sched.workers; worker != NULL;
         worker = worker->hh.next) {
        worker->free.cpu_millis = 0;
        worker->suspect = true;
        worker->draining = true;
    }
    CU_ASSERT_EQUAL(check(gang, 1, &retry_ms), Fv_REFUSAL_NONE);
    FvSchedFixture_Close(&fixture);
}

/* A new leader has not read the registry, or just has: the worker that could
 * run the task may be on its way. */
static void
test_new_leader_accepts(void)
{
    int64_t retry_ms = 0;

    open_cell();
    fixture.sched.registry_known = false;
    CU_ASSERT_EQUAL(check(large_task, 1, &retry_ms), Fv_REFUSAL_NONE);
    fixture.sched.registry_known = true;
    fixture.sched.workers_changed_ms = fixture.now_ms - SETTLED_MS + 1;
    CU_ASSERT_EQUAL(check(large_task, 1, &retry_ms), Fv_REFUSAL_NONE);
    FvSchedFixture_Close(&fixture);
}

/* An outage of the store removes the entry of the only large worker, which is
 * then forgotten, for a while. */
static void
test_worker_that_is_away_counts(void)
{
    fv_sched_worker_t *worker;
    int64_t retry_ms = 0;

    open_cell();
    worker = FvSchedFixture_AddWorker(&fixture, "w9", "r1", 16000);
    CU_ASSERT_EQUAL(check(large_task, 1, &retry_ms), Fv_REFUSAL_NONE);
    FvSched_WorkerUnlisted(worker, fixture.now_ms);
    FvSched_FreeWorker(&fixture.sched, worker);
    fixture.now_ms += 2400;
    CU_ASSERT_EQUAL(check(large_task, 1, &retry_ms), Fv_REFUSAL_NONE);
    fixture.now_ms += SETTLED_MS;
    CU_ASSERT_EQUAL(check(large_task, 1, &retry_ms), Fv_REFUSAL_UNFIT);
    FvSchedFixture_Close(&fixture);
}

/* A service without any worker is being set up, or all of it is away. */
static void
test_service_without_workers_accepts(void)
{
    int64_t retry_ms = 0;

    FvSchedFixture_Open(&fixture, 1);
    fixture.sched.registry_known = true;
    fixture.now_ms += SETTLED_MS;
    CU_ASSERT_EQUAL(check(large_task, 1, &retry_ms), Fv_REFUSAL_NONE);
    FvSchedFixture_Close(&fixture);
}

/* Adds jobs of 8 core-seconds; the cell does 32 of them in 8 s. */
static void
add_flood(int count, int32_t priority)
{
    static const char job[] =
        STEP("\"count\":8,\"cpu\":1000,\"memMb\":10,\"estimatedMs\":1000");
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("flood", priority);
    char id[Fv_JOB_ID_SIZE];

    queue.objective_ms = 600000; /* all of it is in time */
    for (int i = 0; i < count; i++) {
        snprintf(id, sizeof(id), "%016x", 0x1000 + i);
        FvSchedFixture_AddJob(&fixture, id, &queue, job);
    }
    FvSchedFixture_RunPass(&fixture);
}

/* A small job has an objective of 1 s and twice its run time, and a value for
 * 3 times that, by the longest likely run time: 15 s. */
static void
test_hopeless_backlog_is_refused(void)
{
    int64_t first_ms = 0;
    int64_t later_ms = 0;

    open_cell();
    add_flood(100, 1); /* 25 s, or half of that if they run faster */
    CU_ASSERT_EQUAL(check(small, 1, &first_ms), Fv_REFUSAL_NONE);
    FvSchedFixture_Close(&fixture);
    open_cell();
    add_flood(200, 1);
    CU_ASSERT_EQUAL(check(small, 1, &first_ms), Fv_REFUSAL_BACKLOG);
    CU_ASSERT_EQUAL(check(small, 0, &first_ms), Fv_REFUSAL_NONE);
    CU_ASSERT_EQUAL(check(lasting, 1, &first_ms), Fv_REFUSAL_NONE);
    FvSchedFixture_Close(&fixture);
    open_cell();
    add_flood(400, 1);
    CU_ASSERT_EQUAL(check(small, 2, &later_ms), Fv_REFUSAL_BACKLOG);
    CU_ASSERT(later_ms > first_ms + 10000);
    FvSchedFixture_Close(&fixture);
}

/* Late work does not come before a new job, however much of it waits. */
static void
test_late_work_refuses_nothing(void)
{
    int64_t retry_ms = 0;

    open_cell();
    add_flood(400, 1);
    fixture.now_ms += 1200000;
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(check(small, 1, &retry_ms), Fv_REFUSAL_NONE);
    FvSchedFixture_Close(&fixture);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a job that can never run is accepted",
         test_what_can_never_run_is_refused},
        {"a job is refused since the cell is busy or silent",
         test_busy_workers_count},
        {"a new leader refuses what it does not know workers for",
         test_new_leader_accepts},
        {"an outage that removes entries makes jobs be refused",
         test_worker_that_is_away_counts},
        {"a service that is being set up refuses jobs",
         test_service_without_workers_accepts},
        {"a flood's jobs are accepted although they can't be in time",
         test_hopeless_backlog_is_refused},
        {"late work keeps new jobs out", test_late_work_refuses_nothing},
    };

    return Fv_RUN_SUITE("sched_refuse", cases);
}
