/*
 * Worker reports: orphaned runs, missing runs and unconfirmed orders.
 */

#include "sched-fixture.h"

#include <stdlib.h>
#include <string.h>

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"

static const char two_tasks[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":1000,"
    "\"memMb\":10,\"estimatedMs\":1000}]}";

static void
report_running(sched_fixture_t *fixture, const char *worker,
               fv_running_row_t *rows, uint32_t count)
{
    fv_worker_report_t report = {.clock_ms = fixture->now_ms,
                                 .started_wall_ms = 1,
                                 .running = rows,
                                 .running_count = count};

    FvSched_ApplyReport(&fixture->sched,
                        FvSched_FindWorker(&fixture->sched, worker), &report,
                        fixture->now_ms, fixture->now_ms);
}

/* A new leader finds a run of a job that has been cancelled meanwhile. */
static void
test_orphan_run_keeps_its_resources(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_running_row_t orphan = {.task_id = JOB_B ".0.0.0", .run = 7};

    FvSchedFixture_Open(&fixture, 2);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 2000);
    report_running(&fixture, "w1", &orphan, 1);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, JOB_B), 1);
    FvSchedFixture_AddJob(&fixture, JOB_A, &queue, two_tasks);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_A), 0);
    /* A run that is being stopped is not listed, but still uses resources. */
    fixture.now_ms += 100;
    report_running(&fixture, "w1", NULL, 0);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_A), 0);
    FvSchedFixture_ReportEnd(&fixture, "w1", 1, JOB_B ".0.0.0", 7,
                             Fv_END_STOPPED);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_A), 2);
    FvSchedFixture_Close(&fixture);

    /* The end is never reported: the run counts until the stop timeout after
     * the first report without it, since its stop may have been late. */
    FvSchedFixture_Open(&fixture, 2);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 2000);
    report_running(&fixture, "w1", &orphan, 1);
    FvSchedFixture_AddJob(&fixture, JOB_A, &queue, two_tasks);
    fixture.now_ms += Fv_FIXTURE_STOP_MS;
    report_running(&fixture, "w1", NULL, 0);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_A), 0);
    fixture.now_ms += Fv_FIXTURE_STOP_MS - 1;
    report_running(&fixture, "w1", NULL, 0);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_A), 0);
    fixture.now_ms += 1;
    report_running(&fixture, "w1", NULL, 0);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_A), 2);
    FvSchedFixture_Close(&fixture);
}

/* The end of a gang's first member arrives before an older report of a worker
 * that is farther away. */
static void
test_stale_report_of_an_ended_gang(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_running_row_t row = {.task_id = JOB_A ".0.0.1"};
    const char *other;

    FvSchedFixture_Open(&fixture, 1);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
    FvSchedFixture_AddWorker(&fixture, "w2", "r1", 1000);
    FvSchedFixture_AddJob(&fixture, JOB_A, &queue,
                          "{\"taskSpec\":\"x\",\"steps\":[{\"count\":2,"
                          "\"cpu\":1000,\"memMb\":10,\"estimatedMs\":1000,"
                          "\"gang\":true}]}");
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL_FATAL(fixture.order_count, 2);
    FvSchedFixture_ConfirmStarts(&fixture);
    row.run = fixture.orders[0].run;
    other = fixture.orders[1].worker;
    FvSchedFixture_ReportEnd(&fixture, fixture.orders[0].worker, 1,
                             fixture.orders[0].task, row.run, Fv_END_DONE);
    report_running(&fixture, other, &row, 1);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, JOB_A), 0);
    /* Its resources are freed only when its own end is reported. */
    FvSchedFixture_AddJob(&fixture, JOB_B, &queue, two_tasks);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_B), 1);
    FvSchedFixture_ReportEnd(&fixture, other, 1, fixture.orders[1].task,
                             row.run, Fv_END_DONE);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_B), 2);
    FvSchedFixture_Close(&fixture);
}

/* A gang ends on a disconnected worker and is started again when the worker's
 * lease has expired. Then the worker reconnects and reports the end. */
static void
test_later_run_of_an_ended_gang_is_stopped(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_sched_worker_t *first;
    fv_sched_worker_t *second;
    fv_running_row_t row = {.task_id = JOB_A ".0.0.1"};
    uint32_t stops;

    FvSchedFixture_Open(&fixture, 1);
    first = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 2000);
    FvSchedFixture_AddJob(&fixture, JOB_A, &queue,
                          "{\"taskSpec\":\"x\",\"steps\":[{\"count\":2,"
                          "\"cpu\":1000,\"memMb\":10,\"estimatedMs\":1000,"
                          "\"gang\":true}]}");
    FvSchedFixture_RunPass(&fixture);
    FvSchedFixture_ConfirmStarts(&fixture);
    second = FvSchedFixture_AddWorker(&fixture, "w2", "r1", 2000);
    fixture.now_ms += 20000;
    FvSchedFixture_ReportUnanswered(&fixture, first);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL_FATAL(FvSchedFixture_CountStarts(&fixture, JOB_A), 4);
    FvSchedFixture_ConfirmStarts(&fixture);
    stops = FvSchedFixture_CountStops(&fixture, JOB_A);
    FvSchedFixture_ReportEnd(&fixture, "w1", 1, JOB_A ".0.0.0", 1,
                             Fv_END_DONE);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, JOB_A), stops + 2);
    /* The stop was lost: the run is listed, and keeps its resources. */
    row.run = FvSched_FindTask(&fixture.sched, JOB_A ".0.0.1")->run;
    fixture.now_ms += 2000;
    report_running(&fixture, "w2", &row, 1);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, JOB_A), stops + 3);
    CU_ASSERT_FALSE(FvSched_IsWorkerIdle(second, fixture.now_ms));
    FvSchedFixture_Close(&fixture);
}

static const char gang_of_two[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":2000,"
    "\"memMb\":10,\"estimatedMs\":1000,\"gang\":true}]}";

/* A member of a gang is started on another worker under the same run number,
 * while an order at the first worker is not answered yet. */
static void
test_answer_of_the_former_worker(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    char former[Fv_NAME_SIZE];
    fv_sched_task_t *task;
    int32_t run;

    FvSchedFixture_Open(&fixture, 1);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 2000);
    FvSchedFixture_AddWorker(&fixture, "w2", "r1", 2000);
    FvSchedFixture_AddJob(&fixture, JOB_A, &queue, gang_of_two);
    FvSchedFixture_RunPass(&fixture);
    task = FvSched_FindTask(&fixture.sched, JOB_A ".0.0.0");
    CU_ASSERT_FATAL(task != NULL && task->worker != NULL);
    FvText_Copy(former, sizeof(former), task->worker->entry.id);
    run = task->run;
    CU_ASSERT_PTR_EQUAL(
        FvSched_FindOrderedTask(&fixture.sched, former, JOB_A ".0.0.0", run),
        task);
    FvSched_StartAnswered(&fixture.sched, task, run, Fv_ORDER_UNHEALTHY,
                          fixture.now_ms);
    FvSchedFixture_AddWorker(&fixture, "w3", "r1", 2000);
    fixture.now_ms += 100;
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_FATAL(task->worker != NULL);
    CU_ASSERT_PTR_EQUAL(task->worker,
                        FvSched_FindWorker(&fixture.sched, "w3"));
    CU_ASSERT_EQUAL(task->run, run);
    CU_ASSERT_PTR_NULL(
        FvSched_FindOrderedTask(&fixture.sched, former, JOB_A ".0.0.0", run));
    CU_ASSERT_PTR_EQUAL(
        FvSched_FindOrderedTask(&fixture.sched, "w3", JOB_A ".0.0.0", run),
        task);
    FvSchedFixture_Close(&fixture);
}

/* The start was not answered; a report that does not list the run has it
 * repeated. */
static void
leave_first_start_unanswered(sched_fixture_t *fixture, fv_sched_task_t *task)
{
    FvSched_StartAnswered(&fixture->sched, task, 1, Fv_ORDER_UNCONFIRMED,
                          fixture->now_ms);
    CU_ASSERT_TRUE(task->start_unconfirmed);
    fixture->now_ms += 10;
    report_running(fixture, task->worker->entry.id, NULL, 0);
    CU_ASSERT_TRUE(task->start_retried);
}

/* An unanswered start order is executed seconds later. */
static void
test_unconfirmed_start_is_stopped_first(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_sched_task_t *task;

    FvSchedFixture_Open(&fixture, 1);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 2000);
    FvSchedFixture_AddJob(&fixture, JOB_A, &queue, two_tasks);
    FvSchedFixture_RunPass(&fixture);
    task = FvSched_FindTask(&fixture.sched, JOB_A ".0.0.0");
    leave_first_start_unanswered(&fixture, task);
    FvSched_StartAnswered(&fixture.sched, task, 1, Fv_ORDER_UNCONFIRMED,
                          fixture.now_ms);
    fixture.now_ms += 100;
    report_running(&fixture, "w1", NULL, 0);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, JOB_A ".0.0.0"), 1);
    CU_ASSERT_EQUAL(FvSchedFixture_CountRuns(&fixture, JOB_A ".0.0.0"), 1);

    /* The stop is not answered either: the task stays on the worker, where it
     * may be running. */
    FvSched_StopAnswered(&fixture.sched, task, 1, Fv_ORDER_UNCONFIRMED,
                         fixture.now_ms);
    FvSched_StopAnswered(&fixture.sched, task, 1, Fv_ORDER_UNCONFIRMED,
                         fixture.now_ms);
    fixture.now_ms += 1000;
    report_running(&fixture, "w1", NULL, 0);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountRuns(&fixture, JOB_A ".0.0.0"), 1);

    FvSched_StopAnswered(&fixture.sched, task, 1, Fv_ORDER_DONE,
                         fixture.now_ms);
    /* A run that is being stopped is not listed, but may still run. */
    fixture.now_ms += 100;
    report_running(&fixture, "w1", NULL, 0);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountRuns(&fixture, JOB_A ".0.0.0"), 1);
    fixture.now_ms += Fv_FIXTURE_STOP_MS;
    report_running(&fixture, "w1", NULL, 0);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountRuns(&fixture, JOB_A ".0.0.0"), 2);
    FvSchedFixture_Close(&fixture);
}

/* Opens a cell of two workers and starts a job there. Returns the job's first
 * task. */
static fv_sched_task_t *
open_with_start(sched_fixture_t *fixture)
{
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);

    FvSchedFixture_Open(fixture, 1);
    FvSchedFixture_AddWorker(fixture, "w1", "r1", 2000);
    FvSchedFixture_AddWorker(fixture, "w2", "r1", 2000);
    FvSchedFixture_AddJob(fixture, JOB_A, &queue, two_tasks);
    FvSchedFixture_RunPass(fixture);
    return FvSched_FindTask(&fixture->sched, JOB_A ".0.0.0");
}

/* Workers leave some orders unanswered. Lookups cannot wait for a report, a
 * stop order and the stop timeout, but for a report: without one the second
 * copy could reach the next incarnation of the worker. */
static void
test_unconfirmed_start_is_retried(void)
{
    static sched_fixture_t fixture;
    fv_sched_task_t *task = open_with_start(&fixture);
    const fv_sched_worker_t *worker = task->worker;

    FvSched_StartAnswered(&fixture.sched, task, 1, Fv_ORDER_UNCONFIRMED,
                          fixture.now_ms);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_A ".0.0.0"), 1);
    CU_ASSERT_EQUAL(fixture.report_request_count, 1);
    fixture.now_ms += 10;
    report_running(&fixture, worker->entry.id, NULL, 0);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_A ".0.0.0"), 2);
    CU_ASSERT_EQUAL(FvSchedFixture_CountRuns(&fixture, JOB_A ".0.0.0"), 1);
    FvSched_StartAnswered(&fixture.sched, task, 1, Fv_ORDER_DONE,
                          fixture.now_ms);
    CU_ASSERT_EQUAL(task->state, Fv_SCHED_RUNNING);
    CU_ASSERT_FALSE(task->start_unconfirmed);
    CU_ASSERT_PTR_EQUAL(task->worker, worker);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, JOB_A), 0);
    FvSchedFixture_Close(&fixture);
}

/* Another incarnation rejects the ticket, so that no report is needed. */
static void
test_start_with_ticket_is_retried_at_once(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeAdvisedQueue("q", 0);
    fv_sched_task_t *task;

    FvSchedFixture_Open(&fixture, 1);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 2000);
    FvSchedFixture_AddJob(&fixture, JOB_A, &queue, two_tasks);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_TRUE_FATAL(
        FvSchedFixture_AnswerAdvice(&fixture, FvSchedFixture_AllowAll));
    FvSchedFixture_RunPass(&fixture);
    task = FvSched_FindTask(&fixture.sched, JOB_A ".0.0.0");
    CU_ASSERT_FATAL(task != NULL && task->worker != NULL);
    FvSched_StartAnswered(&fixture.sched, task, 1, Fv_ORDER_UNCONFIRMED,
                          fixture.now_ms);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_A ".0.0.0"), 2);
    CU_ASSERT_FALSE(task->start_unconfirmed);
    FvSchedFixture_Close(&fixture);
}

/* No connection to the worker became free: nothing runs there, and the task
 * need not wait for a report, a stop and the stop timeout. After an unanswered
 * first order that is not certain. */
static void
test_unsent_start_is_requeued(void)
{
    static sched_fixture_t fixture;
    fv_sched_task_t *task = open_with_start(&fixture);

    FvSched_StartAnswered(&fixture.sched, task, 1, Fv_ORDER_NOT_SENT,
                          fixture.now_ms);
    CU_ASSERT_EQUAL(task->state, Fv_SCHED_WAITING);
    CU_ASSERT_PTR_NULL(task->worker);
    fixture.now_ms += 100;
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountRuns(&fixture, JOB_A ".0.0.0"), 2);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, JOB_A), 0);
    FvSchedFixture_Close(&fixture);

    task = open_with_start(&fixture);
    leave_first_start_unanswered(&fixture, task);
    FvSched_StartAnswered(&fixture.sched, task, 1, Fv_ORDER_NOT_SENT,
                          fixture.now_ms);
    CU_ASSERT_TRUE(task->start_unconfirmed);
    CU_ASSERT_PTR_NOT_NULL(task->worker);
    FvSchedFixture_Close(&fixture);
}

/* A successor takes a lease that was granted to a worker in the stored list of
 * unreached workers for expired. */
static void
test_unreached_worker_gets_no_lease(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_sched_worker_t *worker;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 2000);
    worker->unreached = true;
    FvSchedFixture_AddJob(&fixture, JOB_A, &queue, two_tasks);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_A), 0);
    CU_ASSERT_EQUAL(
        FvSched_ExtendLease(&fixture.sched, worker, fixture.now_ms), 0);
    worker->unreached = false;
    fixture.now_ms += 100;
    fixture.sched.dirty = true;
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_A), 2);
    CU_ASSERT(FvSched_ExtendLease(&fixture.sched, worker, fixture.now_ms) > 0);
    FvSchedFixture_Close(&fixture);
}

/* The first order arrives late and fills the worker, which rejects the retry.
 */
static void
test_rejected_retry_settles_nothing(void)
{
    static const fv_order_result_t refusals[] = {
        Fv_ORDER_NO_CAPACITY, Fv_ORDER_STALE_RUN, Fv_ORDER_NO_TICKET,
        Fv_ORDER_UNHEALTHY};
    static sched_fixture_t fixture;

    for (size_t i = 0; i < sizeof(refusals) / sizeof(refusals[0]); i++) {
        fv_sched_task_t *task = open_with_start(&fixture);
        const fv_sched_worker_t *worker = task->worker;

        leave_first_start_unanswered(&fixture, task);
        FvSched_StartAnswered(&fixture.sched, task, 1, refusals[i],
                              fixture.now_ms);
        fixture.now_ms += 100;
        FvSchedFixture_RunPass(&fixture);
        CU_ASSERT_TRUE(task->start_unconfirmed);
        CU_ASSERT_PTR_EQUAL(task->worker, worker);
        CU_ASSERT_EQUAL(FvSchedFixture_CountRuns(&fixture, JOB_A ".0.0.0"), 1);
        CU_ASSERT_EQUAL(fixture.report_request_count, 2);
        FvSchedFixture_Close(&fixture);
    }
}

/* A job is cancelled while the retry of a start is unanswered. The first order
 * may still be executed, and the stop is not answered. */
static void
test_rejected_retry_of_a_stopped_task(void)
{
    static sched_fixture_t fixture;
    fv_sched_task_t *task = open_with_start(&fixture);

    leave_first_start_unanswered(&fixture, task);
    FvSched_StopTask(&fixture.sched, task, fixture.now_ms);
    FvSched_StartAnswered(&fixture.sched, task, 1, Fv_ORDER_STALE_RUN,
                          fixture.now_ms);
    CU_ASSERT_PTR_NOT_NULL(task->worker);
    CU_ASSERT_TRUE(task->start_unconfirmed);
    FvSchedFixture_Close(&fixture);
}

/* The leader may no longer send orders while one is unanswered. */
static void
test_no_start_while_not_allowed(void)
{
    static sched_fixture_t fixture;
    fv_sched_task_t *task = open_with_start(&fixture);

    fixture.refuse_starts = true;
    FvSched_StartAnswered(&fixture.sched, task, 1, Fv_ORDER_UNCONFIRMED,
                          fixture.now_ms);
    CU_ASSERT_TRUE(task->start_unconfirmed);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_A ".0.0.0"), 1);
    FvSchedFixture_Close(&fixture);

    fixture.refuse_starts = false;
    open_with_start(&fixture);
    fixture.refuse_starts = true;
    FvSchedFixture_AddJob(&fixture, JOB_B, &(fv_cell_queue_t){.service = "s"},
                          two_tasks);
    FvSchedFixture_RunPass(&fixture);
    task = FvSched_FindTask(&fixture.sched, JOB_B ".0.0.0");
    CU_ASSERT_EQUAL(task->state, Fv_SCHED_WAITING);
    CU_ASSERT_PTR_NULL(task->worker);
    FvSchedFixture_Close(&fixture);
}

/* A worker does not answer, but may still run its tasks. */
static void
test_silent_worker_keeps_tasks_until_lease_expiry(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_sched_worker_t *worker;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 2000);
    FvSchedFixture_AddJob(&fixture, JOB_A, &queue, two_tasks);
    FvSchedFixture_RunPass(&fixture);
    FvSchedFixture_ConfirmStarts(&fixture);
    CU_ASSERT(FvSched_ExtendLease(&fixture.sched, worker, fixture.now_ms) > 0);
    FvSchedFixture_AddWorker(&fixture, "w2", "r1", 2000);
    fixture.now_ms += Fv_FIXTURE_LEASE_MS;
    FvSchedFixture_ReportUnanswered(&fixture, worker);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_A), 2);
    /* Attempts to reach the worker do not extend its lease. */
    CU_ASSERT_EQUAL(
        FvSched_ExtendLease(&fixture.sched, worker, fixture.now_ms), 0);
    fixture.now_ms += Fv_FIXTURE_LEASE_MS;
    FvSchedFixture_ReportUnanswered(&fixture, worker);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_A), 4);
    FvSchedFixture_Close(&fixture);
}

/* A worker is withdrawn at short notice. */
static void
test_long_tasks_leave_a_draining_worker(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_running_row_t rows[] = {
        {.task_id = JOB_A ".0.0.0", .run = 1, .percent = 90},
        {.task_id = JOB_A ".0.0.1", .run = 1, .percent = 10}};
    fv_sched_worker_t *worker;
    fv_worker_entry_t entry;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 2000);
    FvSchedFixture_AddJob(&fixture, JOB_A, &queue, two_tasks);
    FvSchedFixture_RunPass(&fixture);
    FvSchedFixture_ConfirmStarts(&fixture);
    fixture.now_ms += 1000;
    entry = worker->entry;
    entry.draining = true;
    entry.drain_left_ms = 2000;
    FvSched_UpdateWorker(&fixture.sched, &entry, fixture.now_ms);
    report_running(&fixture, "w1", rows, 2);
    /* One task ends in 0.1 s, the other would take 9 s; the worker leaves in
     * 2 s. */
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, JOB_A ".0.0.0"), 0);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, JOB_A ".0.0.1"), 1);
    FvSchedFixture_Close(&fixture);
}

/* Workers leave, and the leader is replaced before their leases expire. The
 * next leader waits only for workers that may still run tasks. */
static void
test_idle_worker(void)
{
    static sched_fixture_t fixture;
    fv_sched_task_t *task = open_with_start(&fixture);
    fv_sched_worker_t *worker = task->worker;
    fv_running_row_t orphan = {.task_id = JOB_B ".0.0.0", .run = 7};
    fv_worker_entry_t entry = worker->entry;

    CU_ASSERT_FALSE(FvSched_IsWorkerIdle(worker, fixture.now_ms));
    while (worker->tasks != NULL) {
        char name[Fv_RUN_TASK_ID_SIZE];

        FvSched_TaskName(worker->tasks, name, sizeof(name));
        FvSchedFixture_ReportEnd(&fixture, entry.id,
                                 worker->last_end_applied + 1, name, 1,
                                 Fv_END_DONE);
    }
    /* The next leader has to learn of these ends from the worker. */
    CU_ASSERT_FALSE(FvSched_IsWorkerIdle(worker, fixture.now_ms));
    FvSched_EndsRecorded(worker, worker->last_end_applied);
    CU_ASSERT_TRUE(FvSched_IsWorkerIdle(worker, fixture.now_ms));
    report_running(&fixture, entry.id, &orphan, 1);
    CU_ASSERT_FALSE(FvSched_IsWorkerIdle(worker, fixture.now_ms));
    fixture.now_ms += Fv_FIXTURE_STOP_MS + 300;
    report_running(&fixture, entry.id, NULL, 0);
    CU_ASSERT_FALSE(FvSched_IsWorkerIdle(worker, fixture.now_ms));
    fixture.now_ms += Fv_FIXTURE_STOP_MS;
    CU_ASSERT_TRUE(FvSched_IsWorkerIdle(worker, fixture.now_ms));
    entry.started_wall_ms++;
    FvSched_UpdateWorker(&fixture.sched, &entry, fixture.now_ms);
    CU_ASSERT_FALSE(FvSched_IsWorkerIdle(worker, fixture.now_ms));
    FvSchedFixture_Close(&fixture);

    /* A new leader does not know which runs are being stopped. */
    FvSchedFixture_Open(&fixture, 2);
    worker = FvSched_UpdateWorker(&fixture.sched, &entry, fixture.now_ms);
    worker->inherited = true;
    CU_ASSERT_FALSE(FvSched_IsWorkerIdle(worker, fixture.now_ms));
    FvSched_ApplyReport(
        &fixture.sched, worker,
        &(fv_worker_report_t){.started_wall_ms = entry.started_wall_ms},
        fixture.now_ms, fixture.now_ms);
    CU_ASSERT_FALSE(FvSched_IsWorkerIdle(worker, fixture.now_ms));
    fixture.now_ms += Fv_FIXTURE_STOP_MS;
    CU_ASSERT_TRUE(FvSched_IsWorkerIdle(worker, fixture.now_ms));
    FvSchedFixture_Close(&fixture);
}

/* A quarantined worker is probed with one task, and the probe ends without a
 * result: its start is rejected, or its job is cancelled. */
static void
test_inconclusive_probe_is_repeated(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_sched_worker_t *worker;
    fv_sched_task_t *task;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 2000);
    worker->quarantined_until_ms = fixture.now_ms;
    fixture.now_ms += 1;
    FvSchedFixture_AddJob(&fixture, JOB_A, &queue, two_tasks);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_A), 1);
    CU_ASSERT_PTR_NOT_NULL(worker->probe);
    task = FvSched_FindTask(&fixture.sched, JOB_A ".0.0.0");
    FvSched_StartAnswered(&fixture.sched, task, 1, Fv_ORDER_STALE_RUN,
                          fixture.now_ms);
    fixture.now_ms += 1000;
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_A), 2);
    FvSchedFixture_Close(&fixture);
}

static sched_fixture_t stalled;

static const char long_task[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":10,"
    "\"estimatedMs\":%d}]}";

/* Runs one task, declared to take @declared_ms, whose percent rises by one
 * each @percent_ms (0: never). Returns how long it took, or -1. */
static int64_t
run_slow_task(int declared_ms, int64_t percent_ms, int64_t limit_ms)
{
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    char document[256];
    fv_sched_task_t *task;
    int64_t began_ms;
    int64_t run_began_ms;
    int64_t took_ms = -1;
    int32_t run = 0;

    FvSchedFixture_Open(&stalled, 1);
    FvSchedFixture_AddWorker(&stalled, "w1", "r1", 2000);
    snprintf(document, sizeof(document), long_task, declared_ms);
    FvSchedFixture_AddJob(&stalled, JOB_A, &queue, document);
    task = FvSched_FindTask(&stalled.sched, JOB_A ".0.0.0");
    CU_ASSERT_PTR_NOT_NULL_FATAL(task);
    if (task == NULL) {
        abort();
    }
    began_ms = stalled.now_ms;
    run_began_ms = began_ms;
    while (took_ms < 0 && stalled.now_ms < began_ms + limit_ms) {
        fv_running_row_t row = {.task_id = JOB_A ".0.0.0"};

        FvSchedFixture_RunPass(&stalled);
        FvSchedFixture_ConfirmStarts(&stalled);
        if (task->run != run) {
            run = task->run;
            run_began_ms = stalled.now_ms;
        }
        stalled.now_ms += 100;
        row.run = run;
        row.percent =
            percent_ms > 0
                ? (int32_t)((stalled.now_ms - run_began_ms) / percent_ms)
                : 0;
        if (row.percent >= 100) {
            took_ms = stalled.now_ms - began_ms;
        }
        else if (task->state == Fv_SCHED_STOPPING) {
            FvSchedFixture_ReportEnd(&stalled, "w1",
                                     task->worker->last_end_applied + 1,
                                     JOB_A ".0.0.0", run, Fv_END_STOPPED);
        }
        else {
            report_running(&stalled, "w1", &row, 1);
        }
    }
    FvSchedFixture_Close(&stalled);
    return took_ms;
}

/* A task without checkpoints advances by one percent in 3 s. */
static void
test_slow_task_ends(void)
{
    CU_ASSERT_EQUAL(run_slow_task(300000, 3000, 400000), 300000);
    /* Declared far too short, it is taken for stalled at first. */
    CU_ASSERT_TRUE(run_slow_task(1000, 3000, 400000) > 0);
    CU_ASSERT_TRUE(run_slow_task(0, 20000, 3000000) > 0);
}

static void
test_stalled_task_is_stopped(void)
{
    CU_ASSERT_EQUAL(run_slow_task(1000, 0, 2500), -1);
    CU_ASSERT_EQUAL(stalled.order_count, 1);
    CU_ASSERT_EQUAL(run_slow_task(1000, 0, 2700), -1);
    CU_ASSERT_EQUAL(stalled.order_count, 2);
    CU_ASSERT_TRUE(stalled.orders[1].stop);
}

static void
report_percent(int64_t clock_ms, int32_t percent)
{
    fv_running_row_t row = {
        .task_id = JOB_A ".0.0.0", .run = 1, .percent = percent};
    fv_worker_report_t report = {.clock_ms = clock_ms,
                                 .started_wall_ms = 1,
                                 .running = &row,
                                 .running_count = 1};

    FvSched_ApplyReport(&stalled.sched,
                        FvSched_FindWorker(&stalled.sched, "w1"), &report,
                        stalled.now_ms, stalled.now_ms);
}

/* A leader that was suspended reads a report from before, and later the next
 * one, from which the run does not progress any more. */
static void
test_run_of_a_suspended_leader(void)
{
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    int64_t clock_ms = 5000;
    char document[256];
    fv_sched_task_t *task;

    FvSchedFixture_Open(&stalled, 1);
    FvSchedFixture_AddWorker(&stalled, "w1", "r1", 2000);
    snprintf(document, sizeof(document), long_task, 1000);
    FvSchedFixture_AddJob(&stalled, JOB_A, &queue, document);
    FvSchedFixture_RunPass(&stalled);
    FvSchedFixture_ConfirmStarts(&stalled);
    task = FvSched_FindTask(&stalled.sched, JOB_A ".0.0.0");
    CU_ASSERT_FATAL(task != NULL && task->worker != NULL);
    stalled.now_ms += 100;
    report_percent(clock_ms, 10);
    stalled.now_ms += 4000;
    report_percent(clock_ms + 50, 10);
    CU_ASSERT_EQUAL(task->state, Fv_SCHED_RUNNING);
    CU_ASSERT_EQUAL(task->stalls, 0);
    stalled.now_ms += 20;
    report_percent(clock_ms + 4020, 50);
    CU_ASSERT_EQUAL(task->state, Fv_SCHED_RUNNING);
    stalled.now_ms += 2700;
    report_percent(clock_ms + 6720, 50);
    CU_ASSERT_EQUAL(task->state, Fv_SCHED_STOPPING);
    FvSchedFixture_Close(&stalled);
}

/* Orders with a deadline by the clock of the earlier incarnation, which grant
 * the longest lease, may reach the new one, even late. Then it is silent. */
static void
test_silence_after_restart(void)
{
    static sched_fixture_t fixture;
    fv_sched_task_t *task = open_with_start(&fixture);
    fv_sched_worker_t *worker = task->worker;
    fv_running_row_t row = {.run = task->run};
    fv_worker_report_t report = {.clock_ms = 500,
                                 .started_wall_ms = 2,
                                 .running = &row,
                                 .running_count = 1};
    int64_t born_ms = fixture.now_ms;

    FvSched_TaskName(task, row.task_id, sizeof(row.task_id));
    fixture.now_ms += 500;
    FvSched_ApplyReport(&fixture.sched, worker, &report, fixture.now_ms,
                        fixture.now_ms);
    CU_ASSERT_EQUAL(task->state, Fv_SCHED_RUNNING);
    FvSched_ExtendLease(&fixture.sched, worker, fixture.now_ms);
    fixture.now_ms += Fv_FIXTURE_LEASE_MS + 1000;
    FvSchedFixture_ReportUnanswered(&fixture, worker);
    CU_ASSERT_EQUAL(task->state, Fv_SCHED_RUNNING);
    fixture.now_ms = born_ms + Fv_ORDER_DELAY_MAX_MS + 2 * Fv_FIXTURE_LEASE_MS;
    FvSchedFixture_ReportUnanswered(&fixture, worker);
    CU_ASSERT_EQUAL(task->state, Fv_SCHED_RUNNING);
    fixture.now_ms += 1000; /* slow clock, transit */
    FvSchedFixture_ReportUnanswered(&fixture, worker);
    CU_ASSERT_EQUAL(task->state, Fv_SCHED_WAITING);
    FvSchedFixture_Close(&fixture);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a slow task is stopped as stalled in each of its runs",
         test_slow_task_ends},
        {"a stalled run is not stopped", test_stalled_task_is_stopped},
        {"a healthy run counts as stalled after its leader was suspended",
         test_run_of_a_suspended_leader},
        {"the resources of a run that is being stopped are reused",
         test_orphan_run_keeps_its_resources},
        {"a run of an ended gang is stopped as orphaned",
         test_stale_report_of_an_ended_gang},
        {"a later run of an ended gang is not stopped",
         test_later_run_of_an_ended_gang_is_stopped},
        {"the answer of a gang member's former worker counts for the next one",
         test_answer_of_the_former_worker},
        {"an unconfirmed start runs in addition to its replacement",
         test_unconfirmed_start_is_stopped_first},
        {"an unconfirmed start is retried only after the stop timeout",
         test_unconfirmed_start_is_retried},
        {"an unanswered start with a ticket waits for a report",
         test_start_with_ticket_is_retried_at_once},
        {"a start that was never sent counts as in doubt",
         test_unsent_start_is_requeued},
        {"a worker in the list of unreached workers gets leases or tasks",
         test_unreached_worker_gets_no_lease},
        {"a rejected retry is treated as a rejected start",
         test_rejected_retry_settles_nothing},
        {"a rejected retry frees the resources of a stopped task",
         test_rejected_retry_of_a_stopped_task},
        {"a start is sent while the leader may not send orders",
         test_no_start_while_not_allowed},
        {"a leader waits for idle workers, or not for one with ends that are "
         "not recorded",
         test_idle_worker},
        {"a quarantined worker is not probed again",
         test_inconclusive_probe_is_repeated},
        {"a task is lost with a draining worker",
         test_long_tasks_leave_a_draining_worker},
        {"a lease by the clock before a worker's restart outlasts its tasks",
         test_silence_after_restart},
        {"tasks of an unresponsive worker are restarted too early",
         test_silent_worker_keeps_tasks_until_lease_expiry},
    };

    return Fv_RUN_SUITE("sched_report", cases);
}
