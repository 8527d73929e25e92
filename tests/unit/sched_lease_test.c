/*
 * Leases by the clock of an earlier incarnation of a worker, which last longer
 * than those that a leader grants.
 */

#include "sched-fixture.h"
#include "suite.h"

#define JOB "00000000000000aa"
#define LONGEST_LEASE_MS (Fv_FIXTURE_LEASE_MS + 1000)

static const char job[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":1000,"
    "\"memMb\":10,\"estimatedMs\":1000}]}";
static sched_fixture_t fixture;

/* Applies a report of an incarnation that started 500 ms ago. */
static void
report_restart(fv_sched_worker_t *worker, const fv_sched_task_t *task)
{
    fv_running_row_t row = {.task_id = JOB ".0.0.0", .run = task->run};
    fv_worker_report_t report = {.clock_ms = 500,
                                 .started_wall_ms = 2,
                                 .running = &row,
                                 .running_count = 1};

    FvSched_ApplyReport(&fixture.sched, worker, &report, fixture.now_ms,
                        fixture.now_ms);
    CU_ASSERT_EQUAL(task->state, Fv_SCHED_RUNNING);
}

static fv_sched_task_t *
open_with_start(void)
{
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_sched_task_t *task;

    FvSchedFixture_Open(&fixture, 1);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
    FvSchedFixture_AddJob(&fixture, JOB, &queue, job);
    FvSchedFixture_RunPass(&fixture);
    task = FvSched_FindTask(&fixture.sched, JOB ".0.0.0");
    CU_ASSERT_FATAL(task != NULL && task->worker != NULL);
    return task;
}

/* As in sched_report_test, "a lease by the clock before a worker's restart",
 * but the worker falls silent, or is in the list of unreached workers, before
 * the leader renews its lease for the first time after the restart. */
static void
test_silence_before_first_renewal(void)
{
    fv_sched_task_t *task = open_with_start();
    fv_sched_worker_t *worker = task->worker;

    fixture.now_ms += 500;
    report_restart(worker, task);
    CU_ASSERT(worker->lease_expires_ms > fixture.now_ms + LONGEST_LEASE_MS);
    fixture.now_ms += LONGEST_LEASE_MS;
    FvSchedFixture_ReportUnanswered(&fixture, worker);
    CU_ASSERT_EQUAL(task->state, Fv_SCHED_RUNNING);
    FvSchedFixture_Close(&fixture);
}

/* A restart is noticed after deadlines by the earlier clock have been sent to
 * the new incarnation. Each may be carried out late. */
static void
test_deadline_sent_after_restart(void)
{
    fv_sched_task_t *task = open_with_start();
    fv_sched_worker_t *worker = task->worker;
    int64_t sent_ms;

    fixture.now_ms += 2000;
    CU_ASSERT(FvSched_ExtendLease(&fixture.sched, worker, fixture.now_ms) > 0);
    sent_ms = fixture.now_ms;
    fixture.now_ms += 100;
    report_restart(worker, task);
    /* The longest lease on a clock that is 2 % slow. */
    fixture.now_ms =
        sent_ms + Fv_ORDER_DELAY_MAX_MS + 2 * Fv_FIXTURE_LEASE_MS * 102 / 100;
    FvSchedFixture_ReportUnanswered(&fixture, worker);
    CU_ASSERT_EQUAL(task->state, Fv_SCHED_RUNNING);
    FvSchedFixture_Close(&fixture);
}

/* A worker restarts, starts a task and is cut off when the leader changes. Its
 * lease may be the longest one, which the next leader reads in the stored
 * worker list. */
static void
test_long_lease_at_the_next_leader(void)
{
    const fv_sched_task_t *task = open_with_start();
    fv_worker_entry_t entry = task->worker->entry;
    fv_sched_worker_t *worker = task->worker;
    int64_t left_ms;

    fixture.now_ms += 500;
    report_restart(worker, task);
    entry.started_wall_ms = 2;
    FvSched_UpdateWorker(&fixture.sched, &entry, fixture.now_ms);
    left_ms = FvSched_LongLeaseLeftMs(worker, fixture.now_ms);
    CU_ASSERT(left_ms > LONGEST_LEASE_MS);
    CU_ASSERT_FALSE(FvSched_IsWorkerAvailable(worker, fixture.now_ms));
    worker->long_lease_stored = true;
    CU_ASSERT(FvSched_IsWorkerAvailable(worker, fixture.now_ms));
    FvSchedFixture_Close(&fixture);

    FvSchedFixture_Open(&fixture, 2);
    worker = FvSched_UpdateWorker(&fixture.sched, &entry, fixture.now_ms);
    CU_ASSERT_PTR_NOT_NULL_FATAL(worker);
    if (worker == NULL) {
        abort();
    }
    worker->in_worker_list = true;
    FvSched_InheritLongLease(worker, left_ms, fixture.now_ms);
    fixture.now_ms += left_ms;
    FvSched_ConfirmLead(&fixture.sched, fixture.now_ms);
    CU_ASSERT_FALSE(
        FvSched_KnowsInheritedRuns(&fixture.sched, true, fixture.now_ms));
    fixture.now_ms += 1;
    FvSched_ConfirmLead(&fixture.sched, fixture.now_ms);
    CU_ASSERT(
        FvSched_KnowsInheritedRuns(&fixture.sched, true, fixture.now_ms));
    FvSchedFixture_Close(&fixture);
}

/* A new leader adopts a run from a worker that has been up for long. Before
 * its first renewal, which grants a lease, a stop is not answered. The lease
 * of the earlier leader goes on. */
static void
test_silence_after_adoption(void)
{
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_worker_entry_t entry = {.id = "w1",
                               .address = "127.0.0.1:1",
                               .service = "s",
                               .cpu_millis = 1000,
                               .memory_mib = 1000,
                               .started_wall_ms = 1};
    fv_running_row_t row = {.task_id = JOB ".0.0.0", .run = 7};
    fv_worker_report_t report = {.clock_ms = 500000,
                                 .started_wall_ms = 1,
                                 .running = &row,
                                 .running_count = 1};
    fv_sched_worker_t *worker;
    const fv_sched_task_t *task;

    FvSchedFixture_Open(&fixture, 2);
    worker = FvSched_UpdateWorker(&fixture.sched, &entry, fixture.now_ms);
    CU_ASSERT_PTR_NOT_NULL_FATAL(worker);
    worker->in_worker_list = true;
    FvSchedFixture_AddJob(&fixture, JOB, &queue, job);
    FvSched_ApplyReport(&fixture.sched, worker, &report, fixture.now_ms,
                        fixture.now_ms);
    task = FvSched_FindTask(&fixture.sched, JOB ".0.0.0");
    CU_ASSERT_FATAL(task != NULL && task->worker == worker);
    fixture.now_ms += Fv_FIXTURE_LEASE_MS * 102 / 100;
    FvSchedFixture_ReportUnanswered(&fixture, worker);
    CU_ASSERT_EQUAL(task->state, Fv_SCHED_RUNNING);
    fixture.now_ms += Fv_FIXTURE_LEASE_MS;
    FvSchedFixture_ReportUnanswered(&fixture, worker);
    CU_ASSERT_EQUAL(task->state, Fv_SCHED_WAITING);
    FvSchedFixture_Close(&fixture);
}

/* A worker that is out of reach and in no registry may come back, restarted,
 * and carry out what was sent to it. */
static void
test_orders_outlast_a_worker(void)
{
    fv_sched_task_t *task = open_with_start();
    fv_sched_worker_t *worker = task->worker;
    int64_t sent_ms;

    worker->deadline_sent_ms = 0;
    CU_ASSERT_FALSE(FvSched_MayCarryOutOrders(worker, fixture.now_ms));
    CU_ASSERT(FvSched_ExtendLease(&fixture.sched, worker, fixture.now_ms) > 0);
    sent_ms = fixture.now_ms;
    fixture.now_ms = worker->lease_expires_ms + 1;
    FvSchedFixture_ReportUnanswered(&fixture, worker);
    CU_ASSERT_TRUE(FvSched_MayCarryOutOrders(worker, fixture.now_ms));
    CU_ASSERT_EQUAL(
        FvSched_ExtendLease(&fixture.sched, worker, fixture.now_ms), 0);
    CU_ASSERT_TRUE(FvSched_MayCarryOutOrders(
        worker, sent_ms + Fv_ORDER_DELAY_MAX_MS - 1));
    CU_ASSERT_FALSE(
        FvSched_MayCarryOutOrders(worker, sent_ms + Fv_ORDER_DELAY_MAX_MS));
    FvSchedFixture_Close(&fixture);
}

/* The store has confirmed this leader until before the end of the lease.
 * Another leader may have renewed the lease since. */
static void
test_lease_without_confirmed_lead(void)
{
    fv_sched_task_t *task = open_with_start();
    fv_sched_worker_t *worker = task->worker;
    int64_t end_ms;

    FvSchedFixture_ConfirmStarts(&fixture);
    end_ms = worker->lease_expires_ms;
    fixture.now_ms = end_ms + 5000;
    FvSched_ConfirmLead(&fixture.sched, end_ms);
    FvSched_ReportUnanswered(&fixture.sched, worker, fixture.now_ms);
    CU_ASSERT_EQUAL(task->state, Fv_SCHED_RUNNING);
    CU_ASSERT_FALSE(worker->lost);

    FvSched_ConfirmLead(&fixture.sched, end_ms + 1);
    FvSched_ConfirmLead(&fixture.sched, end_ms - 100); /* answered late */
    FvSched_ReportUnanswered(&fixture.sched, worker, fixture.now_ms);
    CU_ASSERT_EQUAL(task->state, Fv_SCHED_WAITING);
    CU_ASSERT_TRUE(worker->lost);
    FvSchedFixture_Close(&fixture);
}

/* The start was not answered, and the worker has been silent since. */
static void
test_start_in_doubt_without_confirmed_lead(void)
{
    fv_sched_task_t *task = open_with_start();
    fv_sched_worker_t *worker = task->worker;
    int64_t until_ms;

    FvSched_StartAnswered(&fixture.sched, task, task->run,
                          Fv_ORDER_UNCONFIRMED, fixture.now_ms);
    until_ms = FvSched_LateStartUntilMs(task);
    CU_ASSERT_FATAL(until_ms > worker->lease_expires_ms);
    fixture.now_ms = until_ms + 5000;
    FvSched_ConfirmLead(&fixture.sched, until_ms - 1);
    FvSched_ReportUnanswered(&fixture.sched, worker, fixture.now_ms);
    CU_ASSERT_NOT_EQUAL(task->state, Fv_SCHED_WAITING);
    FvSchedFixture_ReportUnanswered(&fixture, worker);
    CU_ASSERT_EQUAL(task->state, Fv_SCHED_WAITING);
    FvSchedFixture_Close(&fixture);
}

/* A new leader waits for the lease of a worker that it has not reached, and is
 * itself cut off before the lease ends. */
static void
test_inherited_lease_without_confirmed_lead(void)
{
    fv_sched_task_t *task = open_with_start();
    fv_sched_worker_t *worker = task->worker;

    worker->in_worker_list = true;
    worker->synced = false;
    FvSched_ConfirmLead(&fixture.sched, worker->lease_expires_ms);
    CU_ASSERT_FALSE(FvSched_KnowsInheritedRuns(
        &fixture.sched, true, worker->lease_expires_ms + 5000));
    FvSched_ConfirmLead(&fixture.sched, worker->lease_expires_ms + 1);
    CU_ASSERT_TRUE(FvSched_KnowsInheritedRuns(
        &fixture.sched, true, worker->lease_expires_ms + 5000));
    FvSchedFixture_Close(&fixture);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a leader without the store takes leases that its successor renews "
         "for expired",
         test_lease_without_confirmed_lead},
        {"a leader without the store gives up a start that its successor may "
         "have met",
         test_start_in_doubt_without_confirmed_lead},
        {"a new leader that is cut off takes inherited leases for expired",
         test_inherited_lease_without_confirmed_lead},
        {"the next leader takes the lease of a restarted worker for expired",
         test_long_lease_at_the_next_leader},
        {"a lease by the clock of an earlier incarnation is forgotten without "
         "a renewal",
         test_silence_before_first_renewal},
        {"a deadline that was sent after a restart outlasts its tasks",
         test_deadline_sent_after_restart},
        {"a lease that an earlier leader granted is forgotten without a "
         "renewal",
         test_silence_after_adoption},
        {"a worker is forgotten while an order to it may be carried out",
         test_orders_outlast_a_worker},
    };

    return Fv_RUN_SUITE("sched_lease", cases);
}
