/*
 * Orphaned runs whose start or stop is in doubt.
 */

#include "sched-fixture.h"

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"
#define TASK JOB_A ".0.0.0"

#define FIRST_START_MS 1

/* Time in which a stop without an answer is certainly repeated. */
#define STOP_REPEATED_MS 1000

static const char one_task[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":2000,"
    "\"memMb\":10,\"estimatedMs\":1000}]}";

/* @row: the run that the worker lists, or NULL */
static void
report(sched_fixture_t *fixture, const char *worker, int64_t started_wall_ms,
       fv_running_row_t *row)
{
    fv_worker_report_t message = {.clock_ms = fixture->now_ms,
                                  .started_wall_ms = started_wall_ms,
                                  .running = row,
                                  .running_count = row != NULL ? 1 : 0};

    FvSched_ApplyReport(&fixture->sched,
                        FvSched_FindWorker(&fixture->sched, worker), &message,
                        fixture->now_ms, fixture->now_ms);
}

static void
pass_time(sched_fixture_t *fixture, int64_t ms)
{
    fixture->now_ms += ms;
    report(fixture, "w2", FIRST_START_MS, NULL);
    fixture->sched.dirty = true;
    FvSchedFixture_RunPass(fixture);
}

/* A task runs on a worker whose lease expires, so that it is started on a
 * second one, w2, which does not answer. Then the first worker answers again
 * and reports the first run as done. Returns the number of the second run. */
static int32_t
open_with_superseded_start(sched_fixture_t *fixture)
{
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_sched_worker_t *first;
    fv_sched_task_t *task;
    int32_t run;

    FvSchedFixture_Open(fixture, 1);
    first = FvSchedFixture_AddWorker(fixture, "w1", "r1", 2000);
    FvSchedFixture_AddJob(fixture, JOB_A, &queue, one_task);
    FvSchedFixture_RunPass(fixture);
    FvSchedFixture_ConfirmStarts(fixture);
    FvSchedFixture_AddWorker(fixture, "w2", "r1", 2000);
    fixture->now_ms += 20000;
    FvSchedFixture_ReportUnanswered(fixture, first);
    FvSchedFixture_RunPass(fixture);
    task = FvSched_FindTask(&fixture->sched, TASK);
    CU_ASSERT_FATAL(task != NULL && task->worker != NULL);
    CU_ASSERT_PTR_EQUAL(task->worker,
                        FvSched_FindWorker(&fixture->sched, "w2"));
    run = task->run;
    CU_ASSERT_EQUAL(run, 2);
    fixture->now_ms += 30;
    FvSchedFixture_ReportEnd(fixture, "w1", 1, TASK, 1, Fv_END_DONE);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(fixture, TASK), 1);
    /* It leaves, so that the next job can only go to w2. */
    first->draining = true;
    FvSchedFixture_AddJob(fixture, JOB_B, &queue, one_task);
    return run;
}

/* Neither the start nor its stop is answered. The start may be carried out
 * until the longest delay of an order, and fills the worker then. */
static void
test_late_start_keeps_its_capacity(void)
{
    static sched_fixture_t fixture;

    open_with_superseded_start(&fixture);
    for (int64_t passed_ms = 0; passed_ms < Fv_ORDER_DELAY_MAX_MS - 100;
         passed_ms += 100) {
        pass_time(&fixture, 100);
    }
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_B), 0);
    for (int64_t passed_ms = 0; passed_ms < 2 * Fv_FIXTURE_STOP_MS;
         passed_ms += 100) {
        pass_time(&fixture, 100);
    }
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_B), 1);
    FvSchedFixture_Close(&fixture);
}

/* A stop without an answer is repeated until the worker answers one. */
static void
test_stop_is_repeated(void)
{
    static sched_fixture_t fixture;

    open_with_superseded_start(&fixture);
    pass_time(&fixture, STOP_REPEATED_MS);
    CU_ASSERT(FvSchedFixture_CountStops(&fixture, TASK) > 1);
    FvSchedFixture_Close(&fixture);
}

/* Once the worker has confirmed the stop, it refuses the start, and the run
 * has ended after the stop timeout. */
static void
test_confirmed_stop_frees_the_worker(void)
{
    static sched_fixture_t fixture;
    int32_t run = open_with_superseded_start(&fixture);

    FvSched_OrphanStopAnswered(&fixture.sched,
                               FvSched_FindWorker(&fixture.sched, "w2"), TASK,
                               run, Fv_ORDER_DONE, fixture.now_ms);
    pass_time(&fixture, Fv_FIXTURE_STOP_MS - 1);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_B), 0);
    pass_time(&fixture, 1);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_B), 1);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, TASK), 1);
    FvSchedFixture_Close(&fixture);
}

/* The next incarnation of the worker may receive the start, and has not
 * confirmed the stop. */
static void
test_late_start_outlives_a_restart(void)
{
    static sched_fixture_t fixture;
    fv_sched_worker_t *worker;
    fv_worker_entry_t entry;
    int32_t run = open_with_superseded_start(&fixture);
    uint32_t stops;

    worker = FvSched_FindWorker(&fixture.sched, "w2");
    FvSched_OrphanStopAnswered(&fixture.sched, worker, TASK, run,
                               Fv_ORDER_DONE, fixture.now_ms);
    stops = FvSchedFixture_CountStops(&fixture, TASK);
    entry = worker->entry;
    entry.started_wall_ms++;
    FvSched_UpdateWorker(&fixture.sched, &entry, fixture.now_ms);
    for (int i = 0; i < 20; i++) {
        fixture.now_ms += 100;
        report(&fixture, "w2", entry.started_wall_ms, NULL);
        fixture.sched.dirty = true;
        FvSchedFixture_RunPass(&fixture);
    }
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_B), 0);
    CU_ASSERT(FvSchedFixture_CountStops(&fixture, TASK) > stops);
    FvSched_OrphanStopAnswered(&fixture.sched, worker, TASK, run,
                               Fv_ORDER_DONE, fixture.now_ms);
    fixture.now_ms += Fv_FIXTURE_STOP_MS;
    fixture.sched.dirty = true;
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_B), 1);
    FvSchedFixture_Close(&fixture);
}

/* A worker that is cut off leaves the registry, so that the task of its
 * unanswered start is started elsewhere once the ticket has expired, and comes
 * back before that start can no longer arrive. */
static void
test_late_start_on_a_worker_that_returns(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t advised = FvSchedFixture_MakeAdvisedQueue("a", 0);
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_sched_worker_t *worker;
    fv_sched_task_t *task;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w2", "r1", 2000);
    FvSchedFixture_AddJob(&fixture, JOB_A, &advised, one_task);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT(FvSchedFixture_AnswerAdvice(&fixture, FvSchedFixture_AllowAll));
    FvSchedFixture_RunPass(&fixture);
    task = FvSched_FindTask(&fixture.sched, TASK);
    CU_ASSERT_FATAL(task != NULL && task->worker == worker);
    FvSched_WorkerUnlisted(worker, fixture.now_ms);
    fixture.now_ms += Fv_FIXTURE_LEASE_MS + 2000;
    FvSchedFixture_ReportUnanswered(&fixture, worker);
    CU_ASSERT_PTR_NULL(task->worker);
    FvSched_UpdateWorker(&fixture.sched, &worker->entry, fixture.now_ms);
    FvSchedFixture_AddWorker(&fixture, "w3", "r1", 2000);
    fixture.sched.dirty = true;
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT(FvSchedFixture_AnswerAdvice(&fixture, FvSchedFixture_AllowAll));
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_FATAL(task->worker != NULL);
    CU_ASSERT_PTR_EQUAL(task->worker,
                        FvSched_FindWorker(&fixture.sched, "w3"));
    FvSchedFixture_AddJob(&fixture, JOB_B, &queue, one_task);
    pass_time(&fixture, 100);
    pass_time(&fixture, 1000);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_B), 0);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, TASK), 2);
    FvSched_OrphanStopAnswered(&fixture.sched, worker, TASK, 1, Fv_ORDER_DONE,
                               fixture.now_ms);
    pass_time(&fixture, Fv_FIXTURE_STOP_MS);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_B), 1);
    FvSchedFixture_Close(&fixture);
}

/* Counted once until a report is within the capacity, and not while the
 * registry has no entry of the incarnation that reports. */
static void
test_overcommitted_worker_is_counted(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_running_row_t row = {.task_id = TASK, .run = 1};
    uint64_t counted = FvMetrics_Get(Fv_COUNTER_WORKERS_OVERCOMMITTED);

    FvSchedFixture_Open(&fixture, 2);
    FvSchedFixture_AddWorker(&fixture, "w2", "r1", 1000);
    FvSchedFixture_AddJob(&fixture, JOB_A, &queue, one_task);
    report(&fixture, "w2", FIRST_START_MS + 1, &row);
    CU_ASSERT_EQUAL(FvMetrics_Get(Fv_COUNTER_WORKERS_OVERCOMMITTED), counted);
    fixture.now_ms += 10;
    report(&fixture, "w2", FIRST_START_MS, &row);
    fixture.now_ms += 10;
    report(&fixture, "w2", FIRST_START_MS, &row);
    CU_ASSERT_EQUAL(FvMetrics_Get(Fv_COUNTER_WORKERS_OVERCOMMITTED),
                    counted + 1);
    FvSchedFixture_Close(&fixture);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"the capacity of a superseded run is given away before its start can "
         "no longer arrive",
         test_late_start_keeps_its_capacity},
        {"a superseded run whose stop was lost is not stopped again",
         test_stop_is_repeated},
        {"a worker gets no task after it has confirmed the stop of a "
         "superseded run",
         test_confirmed_stop_frees_the_worker},
        {"a superseded run whose start may reach the next incarnation of its "
         "worker is forgotten",
         test_late_start_outlives_a_restart},
        {"an unanswered start is forgotten when its worker leaves the "
         "registry, and arrives when it is back",
         test_late_start_on_a_worker_that_returns},
        {"a worker beyond its capacity is not counted, or one without an "
         "entry is",
         test_overcommitted_worker_is_counted},
    };

    return Fv_RUN_SUITE("sched_orphan", cases);
}
