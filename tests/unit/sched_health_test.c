/*
 * Health of workers: quarantine after failures, probation, and what ends it.
 */

#include "sched-fixture.h"

#include <stdlib.h>

#define GANG "000000000000000a"
#define OTHER_GANG "000000000000000b"
#define LATER_GANG "000000000000000c"
#define SINGLE "000000000000000d"
#define OTHER_SINGLE "000000000000000e"

#define WORKERS 4
#define WORKER_CPU_MILLIS 4000
#define STEP_MS 50

/* The platform's bound for a task that could run. */
#define START_BOUND_MS 3000

/* A worker gets no task for this long after a failure. */
#define QUARANTINE_MS 4000

static const char gang_of_two[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":3000,\"memMb\":10,"
    "\"estimatedMs\":2000,\"gang\":true}]}";
static const char gang_of_six[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":6,\"cpu\":2000,\"memMb\":10,"
    "\"estimatedMs\":2000,\"gang\":true}]}";
static const char gang_on_two_workers[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":1000,\"memMb\":10,"
    "\"estimatedMs\":2000,\"gang\":true,\"antiAffinity\":1}]}";
static const char one_task[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":10,"
    "\"estimatedMs\":2000}]}";
static const char hour_long_task[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":10,"
    "\"estimatedMs\":3600000}]}";

static int64_t end_numbers[WORKERS];

static void
open_cell(sched_fixture_t *fixture, uint32_t workers)
{
    char id[Fv_NAME_SIZE];

    FvSchedFixture_Open(fixture, 1);
    memset(end_numbers, 0, sizeof(end_numbers));
    for (uint32_t i = 0; i < workers; i++) {
        snprintf(id, sizeof(id), "w%u", i);
        FvSchedFixture_AddWorker(fixture, id, "r1", WORKER_CPU_MILLIS);
    }
}

static fv_sched_worker_t *
worker_at(sched_fixture_t *fixture, uint32_t index)
{
    char id[Fv_NAME_SIZE];

    snprintf(id, sizeof(id), "w%u", index);
    return FvSched_FindWorker(&fixture->sched, id);
}

/* Lets all workers report their tasks as running, and runs a pass. */
static void
step(sched_fixture_t *fixture)
{
    fixture->now_ms += STEP_MS;
    for (fv_sched_worker_t *worker = fixture->sched.workers; worker != NULL;
         worker = worker->hh.next) {
        fv_running_row_t rows[16];
        fv_worker_report_t report = {.clock_ms = fixture->now_ms,
                                     .started_wall_ms = 1,
                                     .running = rows};

        for (const fv_sched_task_t *task = worker->tasks; task != NULL;
             task = task->worker_next) {
            fv_running_row_t *row = &rows[report.running_count++];

            *row =
                (fv_running_row_t){.run = task->run, .percent = task->percent};
            FvSched_TaskName(task, row->task_id, sizeof(row->task_id));
        }
        FvSched_ApplyReport(&fixture->sched, worker, &report, fixture->now_ms,
                            fixture->now_ms);
    }
    FvSchedFixture_RunPass(fixture);
    FvSchedFixture_ConfirmStarts(fixture);
}

/* Returns the time until all @tasks of a job have started, or -1. */
static int64_t
run_until_started(sched_fixture_t *fixture, const char *job, uint32_t tasks,
                  int64_t limit_ms)
{
    int64_t began_ms = fixture->now_ms;

    while (FvSchedFixture_CountStarts(fixture, job) < tasks) {
        if (fixture->now_ms - began_ms >= limit_ms) {
            return -1;
        }
        step(fixture);
    }
    return fixture->now_ms - began_ms;
}

/* Reports the end of a task's latest run. */
static void
end_task(sched_fixture_t *fixture, const char *name, fv_run_end_t end)
{
    fv_sched_task_t *task = FvSched_FindTask(&fixture->sched, name);
    uint32_t index;

    CU_ASSERT_FATAL(task != NULL && task->worker != NULL);
    if (task == NULL || task->worker == NULL) {
        abort();
    }
    index = (uint32_t)(task->worker->entry.id[1] - '0');
    FvSchedFixture_ReportEnd(fixture, task->worker->entry.id,
                             ++end_numbers[index], name, task->run, end);
}

static void
quarantine(sched_fixture_t *fixture, uint32_t index)
{
    worker_at(fixture, index)->quarantined_until_ms =
        fixture->now_ms + QUARANTINE_MS;
}

/* All workers are quarantined, and only gangs wait: no single task comes that
 * could probe the workers. */
static void
test_gangs_run_again_after_quarantine(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);

    open_cell(&fixture, WORKERS);
    for (uint32_t i = 0; i < WORKERS; i++) {
        quarantine(&fixture, i);
    }
    FvSchedFixture_AddJob(&fixture, GANG, &queue, gang_of_six);
    CU_ASSERT_EQUAL(
        run_until_started(&fixture, GANG, 1, QUARANTINE_MS - STEP_MS), -1);
    CU_ASSERT_NOT_EQUAL(
        run_until_started(&fixture, GANG, 6, START_BOUND_MS + STEP_MS), -1);
    FvSchedFixture_Close(&fixture);
}

/* The first stage to run on a worker after its quarantine may fail as well, so
 * that no other one runs there meanwhile. Single tasks come first, also before
 * a more urgent gang: one that fails loses the work of all its members. */
static void
test_one_stage_at_a_time_on_probation(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t gangs = FvSchedFixture_MakeQueue("gangs", 0);
    fv_cell_queue_t singles = FvSchedFixture_MakeQueue("singles", 1);

    open_cell(&fixture, 2);
    worker_at(&fixture, 0)->quarantined_until_ms = fixture.now_ms;
    worker_at(&fixture, 1)->quarantined_until_ms = fixture.now_ms;
    FvSchedFixture_AddJob(&fixture, GANG, &gangs, gang_on_two_workers);
    FvSchedFixture_AddJob(&fixture, SINGLE, &singles, one_task);
    CU_ASSERT_NOT_EQUAL(run_until_started(&fixture, SINGLE, 1, STEP_MS), -1);
    CU_ASSERT_EQUAL(run_until_started(&fixture, GANG, 1, 1500), -1);
    end_task(&fixture, SINGLE ".0.0.0", Fv_END_DONE);
    CU_ASSERT_NOT_EQUAL(run_until_started(&fixture, GANG, 2, STEP_MS), -1);
    FvSchedFixture_AddJob(&fixture, OTHER_GANG, &gangs, gang_on_two_workers);
    CU_ASSERT_EQUAL(run_until_started(&fixture, OTHER_GANG, 1, 1500), -1);
    FvSchedFixture_Close(&fixture);
}

/* A gang that fits on sound workers gets none that may still be faulty,
 * although these are the emptiest. */
static void
test_gang_prefers_proved_workers(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);

    open_cell(&fixture, 3);
    worker_at(&fixture, 0)->quarantined_until_ms = fixture.now_ms;
    worker_at(&fixture, 1)->free.cpu_millis -= 500;
    worker_at(&fixture, 2)->free.cpu_millis -= 500;
    fixture.now_ms += START_BOUND_MS;
    FvSchedFixture_AddJob(&fixture, GANG, &queue, gang_of_two);
    CU_ASSERT_NOT_EQUAL(run_until_started(&fixture, GANG, 2, STEP_MS), -1);
    CU_ASSERT_EQUAL(worker_at(&fixture, 0)->task_count, 0);
    FvSchedFixture_Close(&fixture);
}

/* The task that probes a worker runs for an hour. */
static void
test_long_probe_ends_probation(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);

    open_cell(&fixture, 1);
    worker_at(&fixture, 0)->quarantined_until_ms = fixture.now_ms;
    FvSchedFixture_AddJob(&fixture, SINGLE, &queue, hour_long_task);
    CU_ASSERT_NOT_EQUAL(run_until_started(&fixture, SINGLE, 1, STEP_MS), -1);
    FvSchedFixture_AddJob(&fixture, OTHER_SINGLE, &queue, one_task);
    CU_ASSERT_EQUAL(run_until_started(&fixture, OTHER_SINGLE, 1, 1000), -1);
    CU_ASSERT_NOT_EQUAL(
        run_until_started(&fixture, OTHER_SINGLE, 1, START_BOUND_MS), -1);
    FvSchedFixture_Close(&fixture);
}

/* A worker that only has not failed for a while is quarantined again by its
 * next failure; one more sign of two jobs is not needed. */
static void
test_failure_after_probation_quarantines_at_once(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);

    open_cell(&fixture, 1);
    FvSchedFixture_AddJob(&fixture, SINGLE, &queue, one_task);
    FvSchedFixture_AddJob(&fixture, OTHER_SINGLE, &queue, one_task);
    step(&fixture);
    end_task(&fixture, SINGLE ".0.0.0", Fv_END_FAILED);
    end_task(&fixture, OTHER_SINGLE ".0.0.0", Fv_END_FAILED);
    FvSched_CancelJob(&fixture.sched, FvSched_FindJob(&fixture.sched, SINGLE),
                      fixture.now_ms);
    FvSched_CancelJob(&fixture.sched,
                      FvSched_FindJob(&fixture.sched, OTHER_SINGLE),
                      fixture.now_ms);
    FvSchedFixture_AddJob(&fixture, GANG, &queue, hour_long_task);
    CU_ASSERT_EQUAL(
        run_until_started(&fixture, GANG, 1, QUARANTINE_MS - STEP_MS), -1);
    CU_ASSERT_NOT_EQUAL(run_until_started(&fixture, GANG, 1, START_BOUND_MS),
                        -1);
    FvSchedFixture_AddJob(&fixture, OTHER_GANG, &queue, one_task);
    CU_ASSERT_NOT_EQUAL(
        run_until_started(&fixture, OTHER_GANG, 1, START_BOUND_MS + 500), -1);
    end_task(&fixture, OTHER_GANG ".0.0.0", Fv_END_FAILED);
    FvSchedFixture_AddJob(&fixture, LATER_GANG, &queue, one_task);
    CU_ASSERT_EQUAL(
        run_until_started(&fixture, LATER_GANG, 1, QUARANTINE_MS - STEP_MS),
        -1);
    FvSchedFixture_Close(&fixture);
}

/* All members of a gang end together. The end that is reported first completes
 * the gang, and its job may be removed before the next one is reported. */
static void
test_each_member_proves_its_worker(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);

    for (int removed = 0; removed < 2; removed++) {
        fv_sched_job_t *job;
        uint32_t first;
        int32_t run;

        open_cell(&fixture, 2);
        worker_at(&fixture, 0)->quarantined_until_ms = fixture.now_ms;
        worker_at(&fixture, 1)->quarantined_until_ms = fixture.now_ms;
        job =
            FvSchedFixture_AddJob(&fixture, GANG, &queue, gang_on_two_workers);
        CU_ASSERT_NOT_EQUAL(
            run_until_started(&fixture, GANG, 2, START_BOUND_MS), -1);
        first = fixture.orders[0].worker[1] == '0' ? 0 : 1;
        run = fixture.orders[0].run;
        end_task(&fixture, GANG ".0.0.0", Fv_END_DONE);
        CU_ASSERT_EQUAL(worker_at(&fixture, first)->quarantined_until_ms, 0);
        if (removed != 0) {
            FvSched_RemoveJob(&fixture.sched, job);
        }
        FvSchedFixture_ReportEnd(&fixture, first == 0 ? "w1" : "w0", 1,
                                 GANG ".0.0.1", run, Fv_END_DONE);
        CU_ASSERT_EQUAL(worker_at(&fixture, 1 - first)->quarantined_until_ms,
                        0);
        FvSchedFixture_Close(&fixture);
    }
}

/* A gang that can never succeed fails on two workers, and then on two others.
 * A failure is counted for the first member, and another one fails. */
static void
test_gang_that_fails_elsewhere_is_no_evidence(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);

    open_cell(&fixture, 2);
    queue.attempts_max = 3;
    FvSchedFixture_AddJob(&fixture, GANG, &queue, gang_on_two_workers);
    CU_ASSERT_NOT_EQUAL(run_until_started(&fixture, GANG, 2, STEP_MS), -1);
    end_task(&fixture, GANG ".0.0.1", Fv_END_FAILED);
    end_task(&fixture, GANG ".0.0.0", Fv_END_GANG_BROKEN);
    CU_ASSERT_EQUAL(worker_at(&fixture, 0)->consecutive_failures +
                        worker_at(&fixture, 1)->consecutive_failures,
                    1);
    worker_at(&fixture, 0)->free.cpu_millis = 0; /* others run there */
    worker_at(&fixture, 1)->free.cpu_millis = 0;
    FvSchedFixture_AddWorker(&fixture, "w2", "r1", WORKER_CPU_MILLIS);
    FvSchedFixture_AddWorker(&fixture, "w3", "r1", WORKER_CPU_MILLIS);
    CU_ASSERT_NOT_EQUAL(run_until_started(&fixture, GANG, 4, STEP_MS), -1);
    end_task(&fixture, GANG ".0.0.1", Fv_END_FAILED);
    CU_ASSERT_EQUAL(worker_at(&fixture, 2)->consecutive_failures, 0);
    CU_ASSERT_EQUAL(worker_at(&fixture, 3)->consecutive_failures, 0);
    FvSchedFixture_Close(&fixture);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"gangs never run again on workers that failed tasks",
         test_gangs_run_again_after_quarantine},
        {"several stages run at one time on a worker that is not proved",
         test_one_stage_at_a_time_on_probation},
        {"a gang runs on a worker that is not proved beside free sound ones",
         test_gang_prefers_proved_workers},
        {"a long run keeps all other work from the worker that it probes",
         test_long_probe_ends_probation},
        {"a worker that is not proved may fail several jobs again",
         test_failure_after_probation_quarantines_at_once},
        {"a gang that succeeds proves only one of its workers",
         test_each_member_proves_its_worker},
        {"a gang that fails wherever it runs counts against all workers",
         test_gang_that_fails_elsewhere_is_no_evidence},
    };

    return Fv_RUN_SUITE("sched_health", cases);
}
