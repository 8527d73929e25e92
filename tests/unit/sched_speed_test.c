/*
 * Learned speeds of workers.
 */

#include "sched-fixture.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WORKERS 30
#define STAGE_TASKS 6
#define FAST_FACTOR 0.7
#define SLOW_FACTOR 1.7
#define NOISE 0.25

static sched_fixture_t fixture;
static fv_sched_worker_t *workers[WORKERS];
static double factors[WORKERS];
static uint64_t seed;
static uint32_t next_job;

/* Every third worker has the slow factor. */
static void
open_cell(double fast, double slow)
{
    char id[Fv_NAME_SIZE];

    FvSchedFixture_Open(&fixture, 1);
    seed = 11;
    next_job = 1;
    for (int i = 0; i < WORKERS; i++) {
        snprintf(id, sizeof(id), "w%d", i);
        workers[i] = FvSchedFixture_AddWorker(&fixture, id, "r1", 64000);
        factors[i] = i % 3 == 0 ? slow : fast;
    }
}

static fv_sched_job_t *
add_job(int64_t declared_ms, const char *more)
{
    static const fv_cell_queue_t queue = {.name = "q",
                                          .service = "s",
                                          .attempts_max = 2,
                                          .stretch = 2.0,
                                          .objective_ms = 1000};
    char document[256];
    char id[Fv_JOB_ID_SIZE];

    snprintf(id, sizeof(id), "%016x", next_job++);
    snprintf(document, sizeof(document),
             "{\"taskSpec\":\"x\",\"steps\":[{\"count\":%d,\"cpu\":1000,"
             "\"memMb\":1,\"estimatedMs\":%lld%s}]}",
             STAGE_TASKS, (long long)declared_ms, more);
    return FvSchedFixture_AddJob(&fixture, id, &queue, document);
}

/* Counts the run of a task that ends now. */
static bool
observe_run(fv_sched_job_t *job, int32_t index, fv_sched_worker_t *worker,
            double run_ms)
{
    fv_sched_task_t *task = &job->occurrences[0]->stages[0].tasks[index];
    double residual;
    bool counted;

    task->start_sent_ms = fixture.now_ms - (int64_t)run_ms;
    task->ran_from_start = task->checkpoint == NULL;
    FvSched_AttachTask(worker, task);
    counted =
        FvSched_ObserveSpeed(&fixture.sched, task, fixture.now_ms, &residual);
    FvSched_DetachTask(task);
    return counted;
}

/* Runs a stage on random workers, with a run time of its own that its owner
 * declares wrong by a factor of up to 2.5. All workers together end two runs
 * for each worker and second. Returns the mean of the counted log residuals.
 */
static void
run_stage(double outlier_share)
{
    double work_ms = 1000.0 * exp(0.5 * FvSchedFixture_RandomNormal(&seed));
    fv_sched_job_t *job = add_job(
        (int64_t)(work_ms * exp(0.5 * FvSchedFixture_RandomNormal(&seed))),
        "");

    for (int32_t i = 0; i < STAGE_TASKS; i++) {
        uint32_t index = FvSched_Random(&fixture.sched) % WORKERS;
        double run_ms = work_ms * factors[index] *
                        exp(NOISE * FvSchedFixture_RandomNormal(&seed));

        if (FvSched_Random(&fixture.sched) % 1000 < outlier_share * 1000) {
            run_ms *= 7.0;
        }
        observe_run(job, i, workers[index], run_ms);
    }
    FvSched_RemoveJob(&fixture.sched, job);
    fixture.now_ms += 1000 * STAGE_TASKS / (2 * WORKERS);
    FvSched_UpdateSpeeds(&fixture.sched, fixture.now_ms);
}

static void
run_for(int64_t duration_ms, double outlier_share)
{
    int64_t end_ms = fixture.now_ms + duration_ms;

    while (fixture.now_ms < end_ms) {
        run_stage(outlier_share);
    }
}

/* Runs stages until a worker has ended @count more runs. */
static void
run_on_worker(const fv_sched_worker_t *worker, uint32_t count)
{
    uint32_t runs = worker->speed.runs + count;

    while (worker->speed.runs < runs) {
        run_stage(0.03);
    }
}

/* Number of workers whose factor in use is off by more than a quarter. */
static uint32_t
count_wrong(double unit)
{
    uint32_t wrong = 0;

    for (int i = 0; i < WORKERS; i++) {
        wrong += fabs(log(workers[i]->speed.factor * unit / factors[i])) >
                 log(1.25);
    }
    return wrong;
}

/* A third of the workers take 2.4 times as long, and none says so. */
static void
test_slow_third_is_found(void)
{
    double unit = exp((2.0 * log(FAST_FACTOR) + log(SLOW_FACTOR)) / 3.0);
    uint32_t misplaced = 0;

    open_cell(FAST_FACTOR, SLOW_FACTOR);
    run_for(4000, 0.03);
    CU_ASSERT_TRUE(fixture.sched.speeds.in_use);
    for (int i = 0; i < WORKERS; i++) {
        misplaced += (workers[i]->speed.grade > 0) != (i % 3 == 0);
    }
    CU_ASSERT(misplaced <= 2);
    run_for(16000, 0.03);
    CU_ASSERT_EQUAL(fixture.sched.speeds.known, WORKERS);
    CU_ASSERT_EQUAL(count_wrong(unit), 0);
    CU_ASSERT(fixture.sched.speeds.slow_grade == 2);
    FvSchedFixture_Close(&fixture);
}

/* Equal workers; run times vary and some tasks take 7 times as long. */
static void
test_noise_is_no_speed(void)
{
    open_cell(1.0, 1.0);
    for (int i = 0; i < 240; i++) {
        run_for(250, 0.03);
        CU_ASSERT_FALSE(fixture.sched.speeds.uneven);
        CU_ASSERT_EQUAL(count_wrong(1.0), 0);
    }
    CU_ASSERT_EQUAL(fixture.sched.speeds.known, WORKERS);
    FvSchedFixture_Close(&fixture);
}

/* One run takes 7 times as long as its siblings, on a known worker and on one
 * that is new. */
static void
test_one_run_labels_no_worker(void)
{
    fv_sched_worker_t *new_worker;
    fv_sched_job_t *job;

    open_cell(1.0, 1.0);
    run_for(10000, 0.0);
    new_worker = FvSchedFixture_AddWorker(&fixture, "new", "r1", 64000);
    job = add_job(1000, "");
    for (int32_t i = 0; i < 4; i++) {
        observe_run(job, i, workers[i], 1000.0);
    }
    observe_run(job, 4, workers[4], 7000.0);
    observe_run(job, 5, new_worker, 7000.0);
    fixture.now_ms += 1000;
    FvSched_UpdateSpeeds(&fixture.sched, fixture.now_ms);
    CU_ASSERT_FALSE(fixture.sched.speeds.in_use);
    CU_ASSERT(fabs(workers[4]->speed.log_factor) < 0.2);
    FvSchedFixture_Close(&fixture);
}

/* A worker is slow for half a minute, among equal ones. */
static void
test_slow_worker_recovers(void)
{
    open_cell(1.0, 1.0);
    run_for(20000, 0.03);
    factors[5] = 2.5;
    run_on_worker(workers[5], 15);
    CU_ASSERT(workers[5]->speed.grade >= 2);

    run_for(26000, 0.03);
    CU_ASSERT(workers[5]->speed.grade >= 2);

    factors[5] = 1.0;
    run_on_worker(workers[5], 15);
    CU_ASSERT_EQUAL(workers[5]->speed.grade, 0);

    FvSchedFixture_Close(&fixture);
}

/* A worker restarts on another machine under its id. */
static void
test_restart_is_another_worker(void)
{
    open_cell(FAST_FACTOR, SLOW_FACTOR);
    run_for(10000, 0.0);
    CU_ASSERT_EQUAL(workers[0]->speed.grade, 2);
    FvSched_BeginIncarnation(&fixture.sched, workers[0], 2, fixture.now_ms);
    CU_ASSERT_EQUAL(workers[0]->speed.grade, 0);
    CU_ASSERT_DOUBLE_EQUAL(workers[0]->speed.factor, 1.0, 1e-9);
    FvSchedFixture_Close(&fixture);
}

/* A cell has no work for two minutes; its workers may be others then. */
static void
test_old_runs_are_forgotten(void)
{
    open_cell(FAST_FACTOR, SLOW_FACTOR);
    run_for(10000, 0.0);
    CU_ASSERT_TRUE(fixture.sched.speeds.in_use);
    fixture.now_ms += 120000;
    FvSched_UpdateSpeeds(&fixture.sched, fixture.now_ms);
    CU_ASSERT_FALSE(fixture.sched.speeds.in_use);
    CU_ASSERT_EQUAL(workers[0]->speed.grade, 0);
    FvSchedFixture_Close(&fixture);
}

/* Members of a gang end together, runs that resume do a part of the work, and
 * a worker that did not answer reports ends late. */
static void
test_other_times_do_not_count(void)
{
    fv_sched_job_t *gang;
    fv_sched_job_t *job;
    fv_sched_job_t *spare;

    open_cell(1.0, 1.0);
    gang = add_job(1000, ",\"gang\":true");
    job = add_job(1000, "");
    spare = add_job(1000, ",\"fills\":true");
    CU_ASSERT_FALSE(observe_run(gang, 0, workers[0], 5000.0));
    CU_ASSERT_TRUE(observe_run(job, 0, workers[0], 1000.0));
    job->occurrences[0]->stages[0].tasks[1].checkpoint = strdup("c");
    CU_ASSERT_FALSE(observe_run(job, 1, workers[0], 100.0));
    job->occurrences[0]->stages[0].tasks[2].start_retried = true;
    CU_ASSERT_FALSE(observe_run(job, 2, workers[0], 1400.0));
    FvSchedFixture_ReportUnanswered(&fixture, workers[0]);
    fixture.now_ms += 500;
    CU_ASSERT_FALSE(observe_run(job, 3, workers[0], 1500.0));
    CU_ASSERT_FALSE(observe_run(spare, 0, workers[0], 5000.0));
    CU_ASSERT_EQUAL(workers[0]->speed.runs, 1);
    FvSchedFixture_Close(&fixture);
}

/* An operator turns learning off. Residuals are still reported. */
static void
test_learning_can_be_turned_off(void)
{
    open_cell(FAST_FACTOR, SLOW_FACTOR);
    fixture.sched.speeds.learning = false;
    run_for(10000, 0.0);
    CU_ASSERT_FALSE(fixture.sched.speeds.in_use);
    CU_ASSERT_EQUAL(workers[0]->speed.runs, 0);
    FvSchedFixture_Close(&fixture);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"slow workers are not found within seconds",
         test_slow_third_is_found},
        {"varying run times are taken for speeds of workers",
         test_noise_is_no_speed},
        {"a single long run makes its worker a slow one",
         test_one_run_labels_no_worker},
        {"a worker that was slow for a time stays a slow one",
         test_slow_worker_recovers},
        {"a restarted worker inherits the speed of the earlier one",
         test_restart_is_another_worker},
        {"speeds are used long after the last run",
         test_old_runs_are_forgotten},
        {"speeds are learned from run times that others determine",
         test_other_times_do_not_count},
        {"speeds are learned although that is turned off",
         test_learning_can_be_turned_off},
    };

    return Fv_RUN_SUITE("sched_speed", cases);
}
