/*
 * The cause that the log tells for a stage that waits.
 */

#include "sched-fixture.h"

#include <stdlib.h>

#define JOB "00000000000000aa"
#define GANG "00000000000000bb"

#define LONG_WAIT_MS 5000

static const char two_spread_tasks[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":2000,\"memMb\":1,"
    "\"estimatedMs\":100,\"antiAffinity\":1}]}";
static const char gang_of_three[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":3,\"cpu\":4000,\"memMb\":1,"
    "\"estimatedMs\":100,\"gang\":true}]}";

static fv_wait_cause_t
cause_of(sched_fixture_t *fixture, const char *task)
{
    return FvSched_WaitCause(&fixture->sched,
                             FvSched_FindTask(&fixture->sched, task)->stage,
                             fixture->now_ms);
}

/* The causes on a single worker, one obstacle after the other removed. */
static void
test_each_obstacle_is_named(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeAdvisedQueue("q", 0);
    fv_sched_worker_t *worker;
    fv_sched_job_t *job;
    fv_sched_stage_t *stage;
    fv_sched_stage_t other = {0};
    fv_verdict_t *verdict;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
    job = FvSchedFixture_AddJob(&fixture, JOB, &queue, two_spread_tasks);
    stage = &job->occurrences[0]->stages[0];
    job->durable = false;
    CU_ASSERT_EQUAL(cause_of(&fixture, JOB ".0.0.0"), Fv_WAIT_RECORD);
    job->durable = true;
    CU_ASSERT_EQUAL(cause_of(&fixture, JOB ".0.0.0"), Fv_WAIT_UNFIT);
    worker->entry.cpu_millis = 4000;
    worker->synced = false;
    CU_ASSERT_EQUAL(cause_of(&fixture, JOB ".0.0.0"), Fv_WAIT_UNAVAILABLE);
    worker->synced = true;
    CU_ASSERT_EQUAL(cause_of(&fixture, JOB ".0.0.0"), Fv_WAIT_CAPACITY);
    worker->free.cpu_millis = 4000;
    CU_ASSERT_EQUAL(cause_of(&fixture, JOB ".0.0.0"), Fv_WAIT_TICKET);
    worker->reserved_for = &other;
    CU_ASSERT_EQUAL(cause_of(&fixture, JOB ".0.0.0"), Fv_WAIT_RESERVED);
    worker->reserved_for = NULL;
    worker->quarantined_until_ms = fixture.now_ms + 1;
    CU_ASSERT_EQUAL(cause_of(&fixture, JOB ".0.0.0"), Fv_WAIT_QUARANTINE);
    worker->quarantined_until_ms = 0;
    FvSched_RequestAdvice(&fixture.sched, stage, fixture.now_ms);
    FvSched_ApplyAdvice(&fixture.sched, stage, &worker, 1, &(fv_advice_t){0},
                        fixture.now_ms);
    CU_ASSERT_EQUAL(cause_of(&fixture, JOB ".0.0.0"), Fv_WAIT_REFUSED);
    verdict = FvSched_FindVerdict(stage, worker);
    CU_ASSERT_PTR_NOT_NULL_FATAL(verdict);
    if (verdict == NULL) {
        abort();
    }
    verdict->allowed = true;
    CU_ASSERT_EQUAL(cause_of(&fixture, JOB ".0.0.0"), Fv_WAIT_TICKET);
    verdict->expires_ms = fixture.now_ms + LONG_WAIT_MS;
    CU_ASSERT_EQUAL(cause_of(&fixture, JOB ".0.0.0"), Fv_WAIT_NEXT_PASS);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB), 1);
    CU_ASSERT_EQUAL(cause_of(&fixture, JOB ".0.0.1"), Fv_WAIT_SPREAD);
    FvSchedFixture_Close(&fixture);
}

/* Workers have room for members of a gang, but not for all of them. */
static void
test_gang_that_does_not_fit_is_named(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);

    FvSchedFixture_Open(&fixture, 1);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 4000);
    FvSchedFixture_AddWorker(&fixture, "w2", "r1", 4000);
    FvSchedFixture_AddJob(&fixture, GANG, &queue, gang_of_three);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(cause_of(&fixture, GANG ".0.0.0"), Fv_WAIT_GANG);
    FvSchedFixture_Close(&fixture);
}

/* A stage waits for long: it is counted once for each cause. */
static void
test_wait_is_logged_once_for_each_cause(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeAdvisedQueue("q", 0);
    uint64_t before = FvMetrics_Get(Fv_COUNTER_AVOIDABLE_WAITS);
    const fv_sched_stage_t *stage;

    FvSchedFixture_Open(&fixture, 1);
    fixture.refuse_advice = true;
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 4000);
    stage = &FvSchedFixture_AddJob(&fixture, JOB, &queue, two_spread_tasks)
                 ->occurrences[0]
                 ->stages[0];
    FvSchedFixture_RunPass(&fixture);
    FvSched_LogWaitingStages(&fixture.sched, fixture.now_ms);
    CU_ASSERT_FALSE(stage->wait_logged);
    for (int i = 0; i < 3; i++) {
        fixture.now_ms += LONG_WAIT_MS;
        FvSchedFixture_RunPass(&fixture);
        FvSched_LogWaitingStages(&fixture.sched, fixture.now_ms);
    }
    CU_ASSERT_TRUE(stage->wait_logged);
    CU_ASSERT_EQUAL(FvMetrics_Get(Fv_COUNTER_AVOIDABLE_WAITS), before + 1);
    FvSchedFixture_Close(&fixture);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"the log names another cause than the one a stage waits for",
         test_each_obstacle_is_named},
        {"a gang that does not fit as a whole counts as startable",
         test_gang_that_does_not_fit_is_named},
        {"a long wait floods the log or is not counted",
         test_wait_is_logged_once_for_each_cause},
    };

    return Fv_RUN_SUITE("sched_waiting", cases);
}
