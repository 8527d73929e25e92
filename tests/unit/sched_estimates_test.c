/*
 * Learned run times, and the scheduling order that follows from them.
 */

#include "sched-fixture.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define EARLIER_JOB "00000000000000aa"
#define LATER_JOB "00000000000000bb"

/* Declared run times are wrong by a factor of 2.5 in either direction; the
 * actual ones vary by a factor of 1.6 around a mean of their own. */
static void
test_inaccurate_declared_times(void)
{
    fv_run_time_model_t model = {0};
    uint64_t state = 7;
    double declared_error = 0.0;
    double expected_error = 0.0;

    for (int i = 0; i < 400; i++) {
        double actual =
            log(6200.0) + 0.47 * FvSchedFixture_RandomNormal(&state);
        double declared = actual + 0.9 * FvSchedFixture_RandomNormal(&state);
        int64_t declared_ms = (int64_t)exp(declared);
        double estimated =
            log((double)FvRunTimeModel_Estimate(&model, declared_ms));

        if (i >= 30) {
            declared_error += (declared - actual) * (declared - actual);
            expected_error += (estimated - actual) * (estimated - actual);
        }
        FvRunTimeModel_Observe(&model, declared_ms, (int64_t)exp(actual), 1.0);
    }
    CU_ASSERT(expected_error < declared_error / 3.0);
    CU_ASSERT(FvRunTimeModel_Spread(&model) > exp(0.3));
    CU_ASSERT(FvRunTimeModel_Spread(&model) < exp(0.6));
}

/* The declared times of a queue are accurate up to a constant factor, because
 * the cell's machines are slower than those of the queue's owner. */
static void
test_accurate_declared_times(void)
{
    fv_run_time_model_t model = {0};
    uint64_t state = 9;

    for (int i = 0; i < 200; i++) {
        int64_t declared_ms =
            (int64_t)exp(log(1000.0) + FvSchedFixture_RandomNormal(&state));

        FvRunTimeModel_Observe(&model, declared_ms, declared_ms * 3, 1.0);
    }
    CU_ASSERT(llabs(FvRunTimeModel_Estimate(&model, 200) - 600) < 60);
    CU_ASSERT(llabs(FvRunTimeModel_Estimate(&model, 5000) - 15000) < 1500);
    CU_ASSERT(FvRunTimeModel_Spread(&model) < 1.2);
}

static void
test_few_runs_change_nothing(void)
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
job_declared_as(int64_t estimated_ms)
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
    FvSchedFixture_AddJob(fixture, id, queue, job_declared_as(declared_ms));
    FvSchedFixture_RunPass(fixture);
    FvSchedFixture_ConfirmStarts(fixture);
    fixture->now_ms += actual_ms;
    FvSchedFixture_ReportEnd(fixture, "w1", number, task, 1, Fv_END_DONE);
}

/* A burst fills the cell while a job waits whose declared run time is far too
 * short. By its declared time the job has missed its objective, and would wait
 * behind everything that still arrives until the burst ends. */
static void
test_underestimated_job_is_not_starved(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_sched_worker_t *worker;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
    for (int64_t i = 1; i <= 8; i++) {
        run_job(&fixture, &queue, i, 500 * i, 5000);
    }
    worker->free.cpu_millis = 0; /* filled by other tasks */
    FvSchedFixture_AddJob(&fixture, EARLIER_JOB, &queue, job_declared_as(100));
    fixture.now_ms += 3000;
    FvSchedFixture_AddJob(&fixture, LATER_JOB, &queue, job_declared_as(8000));
    FvSchedFixture_RunPass(&fixture);
    worker->free.cpu_millis = 1000;
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, EARLIER_JOB), 1);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, LATER_JOB), 0);
    FvSchedFixture_Close(&fixture);
}

/* A task on a draining worker has not reported any progress, and its declared
 * run time is far too short. The task must still be stopped before the worker
 * leaves. */
static void
test_drain_uses_learned_run_times(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_worker_entry_t entry;
    fv_sched_worker_t *worker;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
    for (int64_t i = 1; i <= 8; i++) {
        run_job(&fixture, &queue, i, 500, 5000);
    }
    FvSchedFixture_AddJob(&fixture, EARLIER_JOB, &queue, job_declared_as(500));
    FvSchedFixture_RunPass(&fixture);
    FvSchedFixture_ConfirmStarts(&fixture);
    entry = worker->entry;
    entry.draining = true;
    entry.drain_left_ms = 3000;
    FvSched_UpdateWorker(&fixture.sched, &entry, fixture.now_ms);
    fixture.now_ms += 1;
    for (fv_sched_task_t *task = worker->tasks; task != NULL;
         task = task->worker_next) {
        task->percent = -1; /* the fixture's report adds 1 to it */
    }
    FvSchedFixture_ReportEnd(&fixture, "w1", 9, "0", 1, Fv_END_DONE);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, EARLIER_JOB), 1);
    FvSchedFixture_Close(&fixture);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"inaccurate declared run times are used unchanged",
         test_inaccurate_declared_times},
        {"accurate declared run times are ignored",
         test_accurate_declared_times},
        {"too few runs change the estimate", test_few_runs_change_nothing},
        {"a job that was declared too short waits until the burst ends",
         test_underestimated_job_is_not_starved},
        {"a task on a draining worker is stopped too late",
         test_drain_uses_learned_run_times},
    };

    return Fv_RUN_SUITE("sched_learn", cases);
}
