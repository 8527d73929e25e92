/*
 * The registry of workers as the scheduler sees it: heartbeats, and a reading
 * of all entries after changes were missed.
 */

#include "sched-fixture.h"

#include <stdlib.h>
#include <string.h>

#define JOB "00000000000000aa"

static const char one_task[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":1,"
    "\"estimatedMs\":9000}]}";

/* The store dropped its history, and the registry is read page by page while
 * jobs arrive. */
static void
test_workers_stay_usable_while_registry_is_read(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_sched_worker_t *kept;
    fv_sched_worker_t *gone;

    FvSchedFixture_Open(&fixture, 1);
    kept = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
    gone = FvSchedFixture_AddWorker(&fixture, "w2", "r1", 1000);
    /* The first page of reading 1 has w1; w2 is not read yet. */
    FvSched_UpdateWorker(&fixture.sched, &kept->entry, fixture.now_ms);
    kept->registry_reading = 1;
    FvSchedFixture_AddJob(&fixture, JOB, &queue, one_task);
    FvSchedFixture_AddJob(&fixture, "00000000000000bb", &queue, one_task);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(kept->task_count, 1);
    CU_ASSERT_EQUAL(gone->task_count, 1);
    /* No page had w2. */
    FvSched_UnlistMissingWorkers(&fixture.sched, 1, fixture.now_ms);
    CU_ASSERT_TRUE(kept->listed);
    CU_ASSERT_FALSE(gone->listed);
    FvSchedFixture_Close(&fixture);
}

/* Hundreds of workers write an entry every heartbeat in which only its
 * sequence differs. */
static void
test_heartbeat_requires_no_pass(void)
{
    static sched_fixture_t fixture;
    fv_sched_worker_t *worker;
    fv_worker_entry_t entry;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
    entry = worker->entry;
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_FALSE(fixture.sched.dirty);
    FvSched_UpdateWorker(&fixture.sched, &entry, fixture.now_ms);
    CU_ASSERT_FALSE(fixture.sched.dirty);
    entry.draining = true;
    entry.drain_left_ms = 2500;
    FvSched_UpdateWorker(&fixture.sched, &entry, fixture.now_ms);
    CU_ASSERT_TRUE(fixture.sched.dirty);
    CU_ASSERT_TRUE(worker->draining);
    FvSchedFixture_RunPass(&fixture);
    entry.draining = false;
    entry.cpu_millis = 2000;
    FvSched_UpdateWorker(&fixture.sched, &entry, fixture.now_ms);
    CU_ASSERT_TRUE(fixture.sched.dirty);
    CU_ASSERT_EQUAL(worker->free.cpu_millis, 2000);
    FvSchedFixture_Close(&fixture);
}

static const char labelled[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":1,"
    "\"estimatedMs\":9000,\"requiredLabel\":\"a\"}]}";

static void
report_incarnation(sched_fixture_t *fixture, fv_sched_worker_t *worker,
                   int64_t started_wall_ms)
{
    fv_worker_report_t report = {.clock_ms = 1000,
                                 .started_wall_ms = started_wall_ms};

    FvSched_ApplyReport(&fixture->sched, worker, &report, fixture->now_ms,
                        fixture->now_ms);
    FvSchedFixture_RunPass(fixture);
}

static void
list_incarnation(sched_fixture_t *fixture, const fv_sched_worker_t *worker,
                 int64_t started_wall_ms, const char *kind)
{
    fv_worker_entry_t entry = worker->entry;

    entry.started_wall_ms = started_wall_ms;
    FvText_Copy(entry.labels[0], sizeof(entry.labels[0]), kind);
    FvSched_UpdateWorker(&fixture->sched, &entry, fixture->now_ms);
    FvSchedFixture_RunPass(fixture);
}

/* A worker of kind a restarts under its id as kind b. Its report is known
 * before its entry. */
static void
test_report_before_entry(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_sched_worker_t *worker;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
    report_incarnation(&fixture, worker, 2);
    FvSchedFixture_AddJob(&fixture, JOB, &queue, labelled);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(fixture.order_count, 0);
    /* A heartbeat of the earlier incarnation, read late. */
    list_incarnation(&fixture, worker, 1, "a");
    CU_ASSERT_EQUAL(fixture.order_count, 0);
    list_incarnation(&fixture, worker, 2, "b");
    CU_ASSERT_EQUAL(fixture.order_count, 0);
    FvSchedFixture_AddJob(&fixture, "00000000000000bb", &queue, one_task);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, "00000000000000bb"),
                    1);
    FvSchedFixture_Close(&fixture);
}

/* The entry of the later incarnation is known before its report. */
static void
test_entry_before_report(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_sched_worker_t *worker;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
    worker->last_end_recorded = 57;
    list_incarnation(&fixture, worker, 2, "a");
    CU_ASSERT_EQUAL(FvSched_EndToAcknowledge(worker), 0);
    CU_ASSERT_EQUAL(
        FvSched_ExtendLease(&fixture.sched, worker, fixture.now_ms), 0);
    CU_ASSERT_TRUE(worker->report_due_ms != 0);
    FvSchedFixture_AddJob(&fixture, JOB, &queue, labelled);
    FvSchedFixture_RunPass(&fixture);
    report_incarnation(&fixture, worker, 1); /* answered before the restart */
    CU_ASSERT_EQUAL(fixture.order_count, 0);
    CU_ASSERT_EQUAL(FvSched_EndToAcknowledge(worker), 0);
    report_incarnation(&fixture, worker, 2);
    CU_ASSERT_EQUAL(fixture.order_count, 1);
    FvSchedFixture_Close(&fixture);
}

/* Another writer's entry under a worker's id tells of a start in the future,
 * until the worker writes its own again. */
static void
test_entry_of_future_incarnation(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_sched_worker_t *worker;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
    list_incarnation(&fixture, worker, INT64_C(1) << 53, "a");
    report_incarnation(&fixture, worker, 1);
    FvSchedFixture_AddJob(&fixture, JOB, &queue, one_task);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(fixture.order_count, 0);
    list_incarnation(&fixture, worker, 1, "a");
    report_incarnation(&fixture, worker, 1);
    CU_ASSERT_EQUAL(fixture.order_count, 1);
    CU_ASSERT_TRUE(
        FvSched_ExtendLease(&fixture.sched, worker, fixture.now_ms) > 0);
    FvSchedFixture_Close(&fixture);
}

/* A call that carries a number may be carried out seconds late, by the next
 * incarnation of its worker, which then drops ends that nobody has read. */
static void
test_ends_are_acknowledged_once(void)
{
    static sched_fixture_t fixture;
    fv_sched_worker_t *worker;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
    FvSchedFixture_ReportEnd(&fixture, "w1", 3, "unknown", 1, Fv_END_DONE);
    CU_ASSERT_EQUAL(FvSched_EndToAcknowledge(worker), 0);
    CU_ASSERT_FALSE(FvSched_EndsRecorded(worker, 3));
    CU_ASSERT_EQUAL(FvSched_EndToAcknowledge(worker), 3);
    CU_ASSERT_EQUAL(FvSched_EndToAcknowledge(worker), 3); /* not answered */
    FvSched_EndsAcknowledged(worker, 3);
    CU_ASSERT_EQUAL(FvSched_EndToAcknowledge(worker), 0);
    FvSchedFixture_ReportEnd(&fixture, "w1", 4, "unknown", 2, Fv_END_DONE);
    CU_ASSERT_FALSE(FvSched_EndsRecorded(worker, 4));
    CU_ASSERT_EQUAL(FvSched_EndToAcknowledge(worker), 4);
    FvSchedFixture_Close(&fixture);
}

/* A ticket is valid during one life of a worker. */
static void
test_tickets_end_with_incarnation(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeAdvisedQueue("q", 0);
    fv_sched_worker_t *worker;
    fv_sched_job_t *job;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
    fixture.refuse_starts = true;
    job = FvSchedFixture_AddJob(&fixture, JOB, &queue, one_task);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_TRUE(
        FvSchedFixture_AnswerAdvice(&fixture, FvSchedFixture_AllowAll));
    CU_ASSERT_PTR_NOT_NULL(
        FvSched_FindVerdict(&job->occurrences[0]->stages[0], worker));
    report_incarnation(&fixture, worker, 2);
    CU_ASSERT_PTR_NULL(
        FvSched_FindVerdict(&job->occurrences[0]->stages[0], worker));
    fixture.refuse_starts = false;
    fixture.now_ms += 1000;
    list_incarnation(&fixture, worker, 2, "a");
    CU_ASSERT_EQUAL(fixture.order_count, 0);
    CU_ASSERT_TRUE(
        FvSchedFixture_AnswerAdvice(&fixture, FvSchedFixture_AllowAll));
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(fixture.order_count, 1);
    FvSchedFixture_Close(&fixture);
}

/* A start is not answered, and its worker restarts meanwhile. */
static void
test_start_is_not_repeated_after_restart(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_sched_worker_t *worker;
    fv_sched_task_t *task;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
    FvSchedFixture_AddJob(&fixture, JOB, &queue, labelled);
    FvSchedFixture_RunPass(&fixture);
    task = FvSched_FindTask(&fixture.sched, JOB ".0.0.0");
    CU_ASSERT_PTR_NOT_NULL_FATAL(task);
    if (task == NULL) {
        abort();
    }
    fixture.now_ms += 100;
    report_incarnation(&fixture, worker, 2);
    FvSched_StartAnswered(&fixture.sched, task, 1, Fv_ORDER_UNCONFIRMED,
                          fixture.now_ms);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB), 1);
    /* The new incarnation must refuse the start before the task goes on. */
    fixture.now_ms += 100;
    report_incarnation(&fixture, worker, 2);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, JOB), 1);
    CU_ASSERT_PTR_EQUAL(task->worker, worker);
    FvSchedFixture_Close(&fixture);
}

/* Another worker may get the memory of one that was forgotten, and would be
 * avoided by the task. */
static void
test_failure_outlives_its_worker(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    const fv_sched_task_t *task;
    fv_sched_worker_t *worker;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
    FvSchedFixture_AddJob(&fixture, JOB, &queue, one_task);
    FvSchedFixture_RunPass(&fixture);
    FvSchedFixture_ConfirmStarts(&fixture);
    task = FvSched_FindTask(&fixture.sched, JOB ".0.0.0");
    CU_ASSERT_FATAL(task != NULL && task->worker == worker);
    FvSchedFixture_ReportEnd(&fixture, "w1", 1, JOB ".0.0.0", task->run,
                             Fv_END_FAILED);
    CU_ASSERT_PTR_EQUAL(task->failed_on, worker);
    FvSched_FreeWorker(&fixture.sched, worker);
    CU_ASSERT_PTR_NULL(task->failed_on);
    FvSchedFixture_Close(&fixture);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"no task starts while the registry is read anew",
         test_workers_stay_usable_while_registry_is_read},
        {"a heartbeat without news causes a scheduling pass",
         test_heartbeat_requires_no_pass},
        {"a restarted worker gets tasks for its earlier labels",
         test_report_before_entry},
        {"a restarted worker gets tasks, leases or acknowledgements before "
         "its first report",
         test_entry_before_report},
        {"an entry of a start in the future disables its worker for good",
         test_entry_of_future_incarnation},
        {"calls carry an acknowledgement that the worker no longer needs",
         test_ends_are_acknowledged_once},
        {"a ticket outlives the incarnation of its worker",
         test_tickets_end_with_incarnation},
        {"a start is repeated to the next incarnation of its worker",
         test_start_is_not_repeated_after_restart},
        {"a task still avoids a worker that was forgotten",
         test_failure_outlives_its_worker},
    };

    return Fv_RUN_SUITE("sched_registry", cases);
}
