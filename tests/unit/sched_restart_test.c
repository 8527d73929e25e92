/*
 * Restarts of workers under their id, and what of an earlier incarnation must
 * not be taken for the present one.
 */

#include "sched-fixture.h"
#include "suite.h"

#define JOB_A "00000000000000aa"

static const char one_task[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":1000,"
    "\"memMb\":10,\"estimatedMs\":1000}]}";

static const char two_tasks[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":1000,"
    "\"memMb\":10,\"estimatedMs\":1000}]}";

/* A worker that did not answer may have restarted, so that its next report may
 * be the first of another incarnation, with ends that nobody has read. */
static void
test_silent_worker_gets_no_acknowledgement(void)
{
    static sched_fixture_t fixture;
    fv_sched_worker_t *worker;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
    FvSchedFixture_ReportEnd(&fixture, "w1", 3, "unknown", 1, Fv_END_DONE);
    CU_ASSERT_FALSE(FvSched_EndsRecorded(worker, 3));
    FvSchedFixture_ReportUnanswered(&fixture, worker);
    CU_ASSERT_EQUAL(FvSched_EndToAcknowledge(worker), 0);
    FvSchedFixture_Close(&fixture);
}

/* The time of day may be set back while a worker restarts. Its entry and all
 * its reports then speak of a start before that of the earlier incarnation. */
static void
test_restart_after_clock_was_set_back(void)
{
    static sched_fixture_t fixture;
    static const char job[] =
        "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":1000,"
        "\"memMb\":10,\"estimatedMs\":1000}]}";
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_worker_report_t report = {.clock_ms = 500, .started_wall_ms = 5000};
    fv_sched_worker_t *worker;
    fv_worker_entry_t entry;
    fv_sched_task_t *task;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
    entry = worker->entry;
    entry.started_wall_ms = 5000;
    FvSched_UpdateWorker(&fixture.sched, &entry, fixture.now_ms);
    FvSched_ApplyReport(&fixture.sched, worker, &report, fixture.now_ms,
                        fixture.now_ms);
    FvSchedFixture_AddJob(&fixture, "00000000000000aa", &queue, job);
    FvSchedFixture_RunPass(&fixture);
    FvSchedFixture_ConfirmStarts(&fixture);
    task = FvSched_FindTask(&fixture.sched, "00000000000000aa.0.0.0");
    CU_ASSERT_FATAL(task != NULL && task->worker == worker);
    entry.started_wall_ms = 4000;
    report.started_wall_ms = 4000;
    for (int i = 0; i < 200; i++) {
        fixture.now_ms += 300;
        report.clock_ms += 300;
        FvSched_UpdateWorker(&fixture.sched, &entry, fixture.now_ms);
        FvSched_ApplyReport(&fixture.sched, worker, &report, fixture.now_ms,
                            fixture.now_ms);
        FvSchedFixture_RunPass(&fixture);
    }
    /* The new incarnation has not had the run in any report of a minute. */
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, "00000000000000aa"),
                    2);
    FvSchedFixture_Close(&fixture);
}

/* Of two incarnations whose clock was set back between them, an answer of the
 * earlier one arrives late. */
static void
test_overtaken_report_after_clock_was_set_back(void)
{
    static sched_fixture_t fixture;
    fv_worker_report_t report = {.clock_ms = 500, .started_wall_ms = 5000};
    fv_sched_worker_t *worker;
    int64_t sent_ms;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
    FvSched_ApplyReport(&fixture.sched, worker, &report, fixture.now_ms,
                        fixture.now_ms);
    fixture.now_ms += 100;
    sent_ms = fixture.now_ms;
    report.started_wall_ms = 4000;
    CU_ASSERT_TRUE(FvSched_ApplyReport(&fixture.sched, worker, &report,
                                       sent_ms, fixture.now_ms + 100));
    CU_ASSERT_EQUAL(worker->started_wall_ms, 4000);
    report.started_wall_ms = 5000;
    CU_ASSERT_FALSE(FvSched_ApplyReport(&fixture.sched, worker, &report,
                                        sent_ms, fixture.now_ms + 200));
    CU_ASSERT_EQUAL(worker->started_wall_ms, 4000);
    FvSchedFixture_Close(&fixture);
}

/* Another writer's entry under the id of a worker tells of another start. */
static void
test_lease_beside_foreign_entry(void)
{
    static const int64_t starts[] = {INT64_C(1) << 53, 3};

    for (int i = 0; i < 2; i++) {
        static sched_fixture_t fixture;
        fv_worker_report_t report = {.clock_ms = 2000, .started_wall_ms = 7};
        fv_sched_worker_t *worker;
        fv_worker_entry_t entry;

        FvSchedFixture_Open(&fixture, 1);
        worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
        FvSched_ApplyReport(&fixture.sched, worker, &report, fixture.now_ms,
                            fixture.now_ms);
        entry = worker->entry;
        entry.started_wall_ms = starts[i];
        fixture.now_ms += 100;
        FvSched_UpdateWorker(&fixture.sched, &entry, fixture.now_ms);
        /* Requested before the entry was read, and possibly answered before
         * the restart. */
        FvSched_ApplyReport(&fixture.sched, worker, &report,
                            fixture.now_ms - 10, fixture.now_ms);
        CU_ASSERT_EQUAL(
            FvSched_ExtendLease(&fixture.sched, worker, fixture.now_ms), 0);
        fixture.now_ms += 100;
        FvSched_ApplyReport(&fixture.sched, worker, &report, fixture.now_ms,
                            fixture.now_ms);
        CU_ASSERT(FvSched_ExtendLease(&fixture.sched, worker, fixture.now_ms) >
                  0);
        CU_ASSERT_FALSE(FvSched_IsWorkerAvailable(worker, fixture.now_ms));
        FvSchedFixture_Close(&fixture);
    }
}

/* A worker is silent for good. The second copy of a start may be carried out
 * for as long as the first one, but later. */
static void
test_repeated_start(fv_order_result_t result)
{
    static sched_fixture_t fixture;
    static const char job[] =
        "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":1000,"
        "\"memMb\":10,\"estimatedMs\":1000}]}";
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_sched_worker_t *worker;
    fv_sched_task_t *task;
    fv_worker_report_t report = {0};
    int64_t repeated_ms;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
    FvSchedFixture_AddJob(&fixture, "00000000000000aa", &queue, job);
    FvSchedFixture_RunPass(&fixture);
    task = FvSched_FindTask(&fixture.sched, "00000000000000aa.0.0.0");
    CU_ASSERT_FATAL(task != NULL && task->worker == worker);
    fixture.now_ms += 900;
    FvSched_StartAnswered(&fixture.sched, task, task->run,
                          Fv_ORDER_UNCONFIRMED, fixture.now_ms);
    fixture.now_ms += 10;
    repeated_ms = fixture.now_ms;
    report.clock_ms = fixture.now_ms;
    report.started_wall_ms = worker->started_wall_ms;
    FvSched_ApplyReport(&fixture.sched, worker, &report, fixture.now_ms,
                        fixture.now_ms);
    CU_ASSERT_EQUAL(fixture.order_count, 2);
    fixture.now_ms += 900;
    FvSched_StartAnswered(&fixture.sched, task, task->run, result,
                          fixture.now_ms);
    fixture.now_ms = repeated_ms + Fv_ORDER_DELAY_MAX_MS - 1;
    FvSchedFixture_ReportUnanswered(&fixture, worker);
    CU_ASSERT_PTR_EQUAL(task->worker, worker);
    fixture.now_ms++;
    FvSchedFixture_ReportUnanswered(&fixture, worker);
    CU_ASSERT_PTR_NULL(task->worker);
    FvSchedFixture_Close(&fixture);
}

static void
test_repeated_start_without_answer(void)
{
    test_repeated_start(Fv_ORDER_UNCONFIRMED);
}

static void
test_repeated_start_with_an_answer(void)
{
    test_repeated_start(Fv_ORDER_DONE);
}

/* Starts a task whose start is not answered, and neither is its repetition.
 * Sets repeated_ms to the time of the latter. */
static fv_sched_task_t *
open_with_start_in_doubt(sched_fixture_t *fixture, int64_t *repeated_ms)
{
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_worker_report_t report = {0};
    fv_sched_task_t *task;

    FvSchedFixture_Open(fixture, 1);
    FvSchedFixture_AddWorker(fixture, "w1", "r1", 1000);
    FvSchedFixture_AddJob(fixture, "00000000000000aa", &queue, one_task);
    FvSchedFixture_RunPass(fixture);
    task = FvSched_FindTask(&fixture->sched, "00000000000000aa.0.0.0");
    CU_ASSERT_FATAL(task != NULL && task->worker != NULL);
    fixture->now_ms += 900;
    FvSched_StartAnswered(&fixture->sched, task, task->run,
                          Fv_ORDER_UNCONFIRMED, fixture->now_ms);
    fixture->now_ms += 10;
    *repeated_ms = fixture->now_ms;
    report.clock_ms = fixture->now_ms;
    report.started_wall_ms = task->worker->started_wall_ms;
    FvSched_ApplyReport(&fixture->sched, task->worker, &report,
                        fixture->now_ms, fixture->now_ms);
    CU_ASSERT_EQUAL(fixture->order_count, 2);
    fixture->now_ms += 900;
    FvSched_StartAnswered(&fixture->sched, task, task->run,
                          Fv_ORDER_UNCONFIRMED, fixture->now_ms);
    return task;
}

/* Checks that the task stays on its worker until a time, and hardly longer. */
static void
check_held_until(sched_fixture_t *fixture, const fv_sched_task_t *task,
                 int64_t until_ms)
{
    fv_sched_worker_t *worker = task->worker;

    fixture->now_ms = until_ms;
    FvSchedFixture_ReportUnanswered(fixture, worker);
    CU_ASSERT_PTR_EQUAL(task->worker, worker);
    fixture->now_ms += 500;
    FvSchedFixture_ReportUnanswered(fixture, worker);
    CU_ASSERT_PTR_NULL(task->worker);
}

/* The next incarnation may carry out the start, under the longest lease since
 * its clock is behind the deadline. Only its entry tells of it. */
static void
test_start_at_silent_incarnation(void)
{
    static sched_fixture_t fixture;
    int64_t repeated_ms;
    fv_sched_task_t *task = open_with_start_in_doubt(&fixture, &repeated_ms);
    fv_sched_worker_t *worker = task->worker;
    fv_worker_entry_t entry = worker->entry;

    entry.started_wall_ms = 2;
    FvSched_UpdateWorker(&fixture.sched, &entry, fixture.now_ms);
    check_held_until(&fixture, task,
                     repeated_ms + Fv_ORDER_DELAY_MAX_MS +
                         2 * Fv_FIXTURE_LEASE_MS * 102 / 100);
    FvSchedFixture_Close(&fixture);
}

/* An outage of the store removes the entry of a worker that is cut off from
 * the leader. The entry is back within 2 s of the end of the outage, and the
 * worker, once it is reached, gets leases under which it may carry out the
 * start. */
static void
test_start_at_unlisted_worker(void)
{
    static sched_fixture_t fixture;
    int64_t repeated_ms;
    fv_sched_task_t *task = open_with_start_in_doubt(&fixture, &repeated_ms);
    fv_sched_worker_t *worker = task->worker;
    fv_worker_entry_t entry = worker->entry;

    fixture.now_ms = repeated_ms + Fv_FIXTURE_LEASE_MS + 1000;
    FvSched_WorkerUnlisted(worker, fixture.now_ms);
    fixture.now_ms += 1900;
    FvSchedFixture_ReportUnanswered(&fixture, worker);
    CU_ASSERT_PTR_EQUAL(task->worker, worker);
    FvSched_UpdateWorker(&fixture.sched, &entry, fixture.now_ms);
    fixture.now_ms = repeated_ms + Fv_ORDER_DELAY_MAX_MS - 1;
    FvSchedFixture_ReportUnanswered(&fixture, worker);
    CU_ASSERT_PTR_EQUAL(task->worker, worker);
    FvSchedFixture_Close(&fixture);
}

/* A worker that is cut off from the registry and from the leader comes back
 * and carries out the start, or has restarted and runs it under the longest
 * lease. */
static void
test_start_at_removed_worker(void)
{
    static sched_fixture_t fixture;
    int64_t repeated_ms;
    fv_sched_task_t *task = open_with_start_in_doubt(&fixture, &repeated_ms);
    fv_sched_worker_t *worker = task->worker;

    fixture.now_ms = repeated_ms + Fv_FIXTURE_LEASE_MS + 1000;
    FvSched_WorkerUnlisted(worker, fixture.now_ms);
    fixture.now_ms += 2500;
    FvSchedFixture_ReportUnanswered(&fixture, worker);
    CU_ASSERT_PTR_EQUAL(task->worker, worker);
    check_held_until(&fixture, task,
                     repeated_ms + Fv_ORDER_DELAY_MAX_MS +
                         2 * Fv_FIXTURE_LEASE_MS * 102 / 100);
    FvSchedFixture_Close(&fixture);
}

/* A worker whose entry is not back by then has left, and a start with an
 * expired ticket is rejected if it comes back. */
static void
test_start_with_ticket_at_removed_worker(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeAdvisedQueue("q", 0);
    fv_sched_worker_t *worker;
    fv_sched_task_t *task;
    int64_t sent_ms;

    queue.ticket_valid_ms = 2 * Fv_FIXTURE_LEASE_MS;
    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
    FvSchedFixture_AddJob(&fixture, "00000000000000aa", &queue, one_task);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT(FvSchedFixture_AnswerAdvice(&fixture, FvSchedFixture_AllowAll));
    FvSchedFixture_RunPass(&fixture);
    task = FvSched_FindTask(&fixture.sched, "00000000000000aa.0.0.0");
    CU_ASSERT_FATAL(task != NULL && task->worker == worker);
    sent_ms = fixture.now_ms;
    FvSched_WorkerUnlisted(worker, fixture.now_ms);
    check_held_until(&fixture, task,
                     sent_ms + queue.ticket_valid_ms * 102 / 100);
    FvSchedFixture_Close(&fixture);
}

/* A worker crashes and restarts. A start reaches its new incarnation before
 * the registry lists that. */
static void
test_start_in_new_incarnation_is_kept(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_sched_worker_t *worker;
    fv_worker_entry_t entry;
    fv_running_row_t row = {.task_id = JOB_A ".0.0.0", .run = 1};
    fv_worker_report_t report = {.running = &row, .running_count = 1};

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 2000);
    FvSchedFixture_AddJob(&fixture, JOB_A, &queue, two_tasks);
    FvSchedFixture_RunPass(&fixture);
    FvSchedFixture_ConfirmStarts(&fixture);
    FvSchedFixture_AddWorker(&fixture, "w2", "r1", 2000);
    entry = worker->entry;
    entry.started_wall_ms++;
    fixture.now_ms += 100;
    FvSched_UpdateWorker(&fixture.sched, &entry, fixture.now_ms);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_A), 2);

    /* The new incarnation lists one of the two tasks; the other was lost with
     * the old one. */
    report.clock_ms = fixture.now_ms;
    report.started_wall_ms = entry.started_wall_ms;
    FvSched_ApplyReport(&fixture.sched, worker, &report, fixture.now_ms,
                        fixture.now_ms);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_A ".0.0.0"), 1);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_A ".0.0.1"), 2);

    /* A late report of the old incarnation changes nothing. */
    report.started_wall_ms = 1;
    report.running_count = 0;
    fixture.now_ms += 100;
    FvSched_ApplyReport(&fixture.sched, worker, &report, fixture.now_ms - 200,
                        fixture.now_ms);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_A ".0.0.0"), 1);
    FvSchedFixture_Close(&fixture);
}

/* The connection on which a start was sent is closed. The worker that listens
 * next may be another incarnation. */
static void
check_closed_start(bool restarted)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_sched_worker_t *worker;
    fv_worker_report_t report = {0};
    fv_sched_task_t *task;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
    FvSchedFixture_AddJob(&fixture, JOB_A, &queue, two_tasks);
    FvSchedFixture_RunPass(&fixture);
    task = FvSched_FindTask(&fixture.sched, JOB_A ".0.0.0");
    CU_ASSERT_FATAL(task != NULL && task->worker == worker);
    FvSchedFixture_ReportUnanswered(&fixture, worker);
    FvSched_StartAnswered(&fixture.sched, task, 1, Fv_ORDER_UNCONFIRMED,
                          fixture.now_ms);
    CU_ASSERT_EQUAL(fixture.order_count, 1);
    fixture.now_ms += 10;
    report.clock_ms = fixture.now_ms;
    report.started_wall_ms = worker->started_wall_ms + (restarted ? 5 : 0);
    FvSched_ApplyReport(&fixture.sched, worker, &report, fixture.now_ms,
                        fixture.now_ms);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_A ".0.0.0"),
                    restarted ? 1 : 2);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, JOB_A ".0.0.0"),
                    restarted ? 1 : 0);
    FvSchedFixture_Close(&fixture);
}

static void
test_start_is_not_repeated_to_the_next_incarnation(void)
{
    check_closed_start(true);
}

static void
test_start_is_repeated_after_a_report(void)
{
    check_closed_start(false);
}

/* An answer that the process gave before it ended is read after the end of its
 * connections. */
static void
test_report_from_before_the_end_of_a_connection(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_sched_worker_t *worker;
    fv_worker_report_t report = {0};

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
    report.started_wall_ms = worker->started_wall_ms;
    fixture.now_ms += 1000;
    FvSched_ConnectionClosed(&fixture.sched, worker, fixture.now_ms);
    report.clock_ms = fixture.now_ms;
    FvSched_ApplyReport(&fixture.sched, worker, &report, fixture.now_ms - 500,
                        fixture.now_ms);
    FvSchedFixture_AddJob(&fixture, JOB_A, &queue, two_tasks);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(fixture.order_count, 0);
    fixture.now_ms += 10;
    FvSched_ApplyReport(&fixture.sched, worker, &report, fixture.now_ms - 5,
                        fixture.now_ms);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_A ".0.0.0"), 1);
    FvSchedFixture_Close(&fixture);
}

/* A stop is confirmed by a process that ends before its answer is read. The
 * next one has refused nothing, and may receive the start late. */
static void
test_answer_of_the_earlier_incarnation(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_worker_report_t report = {.clock_ms = 10, .started_wall_ms = 2};
    fv_sched_worker_t *worker;
    fv_sched_task_t *task;
    int64_t sent_to;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 2000);
    FvSchedFixture_AddJob(&fixture, JOB_A, &queue, two_tasks);
    FvSchedFixture_RunPass(&fixture);
    task = FvSched_FindTask(&fixture.sched, JOB_A ".0.0.0");
    CU_ASSERT_FATAL(task != NULL && task->worker == worker);
    FvSched_StopTask(&fixture.sched, task, fixture.now_ms);
    sent_to = worker->started_wall_ms;
    CU_ASSERT_EQUAL(FvSched_OrderResult(worker, sent_to, Fv_ORDER_DONE),
                    Fv_ORDER_DONE);
    FvSched_ApplyReport(&fixture.sched, worker, &report, fixture.now_ms,
                        fixture.now_ms);
    FvSched_StopAnswered(&fixture.sched, task, task->run,
                         FvSched_OrderResult(worker, sent_to, Fv_ORDER_DONE),
                         fixture.now_ms);
    CU_ASSERT_EQUAL(task->stop_confirmed_ms, 0);
    CU_ASSERT_EQUAL(FvSched_OrderResult(worker, sent_to, Fv_ORDER_STALE_RUN),
                    Fv_ORDER_UNCONFIRMED);
    CU_ASSERT_EQUAL(FvSched_OrderResult(worker, sent_to, Fv_ORDER_NO_CAPACITY),
                    Fv_ORDER_NO_CAPACITY);
    fixture.now_ms += Fv_FIXTURE_STOP_MS + 100;
    FvSched_ApplyReport(&fixture.sched, worker, &report, fixture.now_ms,
                        fixture.now_ms);
    CU_ASSERT_PTR_EQUAL(task->worker, worker);
    FvSchedFixture_Close(&fixture);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a worker that may have restarted is told to drop ends",
         test_silent_worker_gets_no_acknowledgement},
        {"a worker is not heard any more after its time of day was set back",
         test_restart_after_clock_was_set_back},
        {"a late report of the incarnation before counts after the time of "
         "day was set back",
         test_overtaken_report_after_clock_was_set_back},
        {"the runs of a worker lapse beside another writer's entry",
         test_lease_beside_foreign_entry},
        {"a task starts elsewhere before the last copy of its start has "
         "certainly been carried out",
         test_repeated_start_without_answer},
        {"a task starts elsewhere before the first copy of its start has "
         "certainly been carried out, since the second was answered",
         test_repeated_start_with_an_answer},
        {"a task starts elsewhere while its start may run on an incarnation "
         "that has not reported",
         test_start_at_silent_incarnation},
        {"a task starts elsewhere although the entry of its silent worker may "
         "come back",
         test_start_at_unlisted_worker},
        {"a task starts elsewhere while the worker that left the registry may "
         "come back and start it",
         test_start_at_removed_worker},
        {"a task waits for a worker that has left the registry although its "
         "ticket has expired, or not until then",
         test_start_with_ticket_at_removed_worker},
        {"a start that reached a worker's new incarnation is repeated",
         test_start_in_new_incarnation_is_kept},
        {"a start is repeated to a worker that may have restarted",
         test_start_is_not_repeated_to_the_next_incarnation},
        {"a start is given up because its connection was closed",
         test_start_is_repeated_after_a_report},
        {"a report from before the end of a connection admits starts",
         test_report_from_before_the_end_of_a_connection},
        {"a stop that an earlier incarnation confirmed counts for the next",
         test_answer_of_the_earlier_incarnation},
    };

    return Fv_RUN_SUITE("sched_restart", cases);
}
