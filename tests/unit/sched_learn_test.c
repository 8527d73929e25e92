/*
 * Run times that are learned, and the order that follows from them.
 */

#include "sched-fixture.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define EARLIER "00000000000000aa"
#define LATER "00000000000000bb"

/* Standard normal numbers: twelve uniform ones from a linear congruential
 * generator, the same ones in each run. */
static double
normal(uint64_t *state)
{
    double sum = -6.0;

    for (int i = 0; i < 12; i++) {
        *state = *state * UINT64_C(6364136223846793005) + 1442695040888963407;
        sum += (double)(*state >> 40) / (double)(1 << 24);
    }
    return sum;
}

/* Pattern: declared run times are off by a factor of 2.5 either way, the
 * actual ones vary by one of 1.6 around a mean of their own. */
static void
test_declared_times_far_off(void)
{
    fv_run_time_model_t model = {0};
    uint64_t state = 7;
    double declared_error = 0.0;
    double expected_error = 0.0;

    for (int i = 0; i < 400; i++) {
        double actual = log(6200.0) + 0.47 * normal(&state);
        double declared = actual + 0.9 * normal(&state);
        int64_t declared_ms = (int64_t)exp(declared);
        double off = log((double)FvRunTimeModel_Estimate(&model, declared_ms));

        if (i >= 30) {
            declared_error += (declared - actual) * (declared - actual);
            expected_error += (off - actual) * (off - actual);
        }
        FvRunTimeModel_Observe(&model, declared_ms, (int64_t)exp(actual), 1.0);
    }
    CU_ASSERT(expected_error < declared_error / 3.0);
    CU_ASSERT(FvRunTimeModel_Spread(&model) > exp(0.3));
    CU_ASSERT(FvRunTimeModel_Spread(&model) < exp(0.6));
}

/* Pattern: a queue whose declared times are right, but for a constant factor
 * (slower machines than its owner's). */
static void
test_declared_times_that_can_be_trusted(void)
{
    fv_run_time_model_t model = {0};
    uint64_t state = 9;

    for (int i = 0; i < 200; i++) {
        int64_t declared_ms = (int64_t)exp(log(1000.0) + normal(&state));

        FvRunTimeModel_Observe(&model, declared_ms, declared_ms * 3, 1.0);
    }
    CU_ASSERT(llabs(FvRunTimeModel_Estimate(&model, 200) - 600) < 60);
    CU_ASSERT(llabs(FvRunTimeModel_Estimate(&model, 5000) - 15000) < 1500);
    CU_ASSERT(FvRunTimeModel_Spread(&model) < 1.2);
}

static void
test_few_runs_tell_nothing(void)
{
    fv_run_time_model_t model = {0};

    for (int i = 0; i < 5; i++) {
        FvRunTimeModel_Observe(&model, 100, 9000, 1.0);
    }
    FvRunTimeModel_Observe(&model, 0, 9000, 1.0);
    FvRunTimeModel_Observe(&model, 100, 0, 1.0);
    CU_ASSERT_EQUAL(FvRunTimeModel_Estimate(&model, 100), 100);
    CU_ASSERT_EQUAL(FvRunTimeModel_Version(&model), 0);
}

static const char *
job_of(int64_t estimated_ms)
{
    static char document[160];

    snprintf(document, sizeof(document),
             "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":1000,"
             "\"memMb\":1,\"estimatedMs\":%lld}]}",
             (long long)estimated_ms);
    return document;
}

static void
run_job(sched_fixture_t *fixture, const fv_cell_queue_t *queue, int64_t number,
        int64_t declared_ms, int64_t actual_ms)
{
    char id[Fv_JOB_ID_SIZE];
    char task[Fv_RUN_TASK_ID_SIZE];

    snprintf(id, sizeof(id), "%016llx", 0xf000 + (unsigned long long)number);
    snprintf(task, sizeof(task), "%s.0.0.0", id);
    FvSchedFixture_AddJob(fixture, id, queue, job_of(declared_ms));
    FvSchedFixture_Pass(fixture);
    FvSchedFixture_ConfirmStarts(fixture);
    fixture->now_ms += actual_ms;
    FvSchedFixture_ReportEnd(fixture, "w1", number, task, 1, Fv_END_DONE);
}

/* Pattern: a burst fills the cell, and a job that was declared far too short
 * waits in it. By its declared time it is late and would wait behind
 * everything that still arrives, to the end of the burst. */
static void
test_job_declared_too_short_keeps_its_turn(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_Queue("q", 0);
    fv_sched_worker_t *worker;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
    for (int64_t i = 1; i <= 8; i++) {
        run_job(&fixture, &queue, i, 500 * i, 5000);
    }
    worker->free_cpu_millis = 0; /* others fill it */
    FvSchedFixture_AddJob(&fixture, EARLIER, &queue, job_of(100));
    fixture.now_ms += 3000;
    FvSchedFixture_AddJob(&fixture, LATER, &queue, job_of(8000));
    FvSchedFixture_Pass(&fixture);
    worker->free_cpu_millis = 1000;
    FvSchedFixture_Pass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_Starts(&fixture, EARLIER), 1);
    CU_ASSERT_EQUAL(FvSchedFixture_Starts(&fixture, LATER), 0);
    FvSchedFixture_Close(&fixture);
}

/* Pattern: a leaving worker's task has reported no progress yet, and its
 * declared time is far too short. It must move in time all the same. */
static void
test_leaving_worker_is_emptied_by_learned_times(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_Queue("q", 0);
    fv_worker_entry_t entry;
    fv_sched_worker_t *worker;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
    for (int64_t i = 1; i <= 8; i++) {
        run_job(&fixture, &queue, i, 500, 5000);
    }
    FvSchedFixture_AddJob(&fixture, EARLIER, &queue, job_of(500));
    FvSchedFixture_Pass(&fixture);
    FvSchedFixture_ConfirmStarts(&fixture);
    entry = worker->entry;
    entry.draining = true;
    entry.drain_left_ms = 3000;
    FvSched_UpdateWorker(&fixture.sched, &entry, fixture.now_ms);
    fixture.now_ms += 1;
    for (fv_sched_task_t *task = worker->tasks; task != NULL;
         task = task->worker_next) {
        task->percent = -1; /* the fixture reports one percent more */
    }
    FvSchedFixture_ReportEnd(&fixture, "w1", 9, "0", 1, Fv_END_DONE);
    CU_ASSERT_EQUAL(FvSchedFixture_Stops(&fixture, EARLIER), 1);
    FvSchedFixture_Close(&fixture);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"declared times that are far off decide",
         test_declared_times_far_off},
        {"declared times that can be trusted do not count",
         test_declared_times_that_can_be_trusted},
        {"a few runs decide", test_few_runs_tell_nothing},
        {"a job declared too short waits until the burst ends",
         test_job_declared_too_short_keeps_its_turn},
        {"a leaving worker is emptied too late",
         test_leaving_worker_is_emptied_by_learned_times},
    };

    return Fv_RUN_SUITE("sched_learn", cases);
}
