/*
 * Reports of workers: strays, missing runs, orders in doubt.
 */

#include "sched-fixture.h"

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

/* Pattern: a new leader finds runs of a job that was cancelled meanwhile. */
static void
test_stray_keeps_its_room(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_Queue("q", 0);
    fv_running_row_t stray = {.task_id = JOB_B ".0.0.0", .run = 7};

    FvSchedFixture_Open(&fixture, 2);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 2000);
    report_running(&fixture, "w1", &stray, 1);
    CU_ASSERT_EQUAL(FvSchedFixture_Stops(&fixture, JOB_B), 1);
    FvSchedFixture_AddJob(&fixture, JOB_A, &queue, two_tasks);
    FvSchedFixture_Pass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_Starts(&fixture, JOB_A), 0);
    /* While it is being stopped it is not listed, and still there. */
    fixture.now_ms += 100;
    report_running(&fixture, "w1", NULL, 0);
    FvSchedFixture_Pass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_Starts(&fixture, JOB_A), 0);
    FvSchedFixture_ReportEnd(&fixture, "w1", 1, JOB_B ".0.0.0", 7,
                             Fv_END_STOPPED);
    FvSchedFixture_Pass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_Starts(&fixture, JOB_A), 2);
    FvSchedFixture_Close(&fixture);

    /* An end that is never listed: the stop's longest duration counts. */
    FvSchedFixture_Open(&fixture, 2);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 2000);
    report_running(&fixture, "w1", &stray, 1);
    FvSchedFixture_AddJob(&fixture, JOB_A, &queue, two_tasks);
    fixture.now_ms += Fv_FIXTURE_STOP_MS;
    report_running(&fixture, "w1", NULL, 0);
    FvSchedFixture_Pass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_Starts(&fixture, JOB_A), 0);
    fixture.now_ms += 300; /* the stop's way to the worker */
    report_running(&fixture, "w1", NULL, 0);
    FvSchedFixture_Pass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_Starts(&fixture, JOB_A), 2);
    FvSchedFixture_Close(&fixture);
}

/* Pattern: the first member's end of a gang overtakes the report of a worker
 * that is farther away. */
static void
test_report_from_before_a_gang_ended(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_Queue("q", 0);
    fv_running_row_t row = {.task_id = JOB_A ".0.0.1"};
    const char *other;

    FvSchedFixture_Open(&fixture, 1);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
    FvSchedFixture_AddWorker(&fixture, "w2", "r1", 1000);
    FvSchedFixture_AddJob(&fixture, JOB_A, &queue,
                          "{\"taskSpec\":\"x\",\"steps\":[{\"count\":2,"
                          "\"cpu\":1000,\"memMb\":10,\"estimatedMs\":1000,"
                          "\"gang\":true}]}");
    FvSchedFixture_Pass(&fixture);
    CU_ASSERT_EQUAL_FATAL(fixture.order_count, 2);
    FvSchedFixture_ConfirmStarts(&fixture);
    row.run = fixture.orders[0].run;
    other = fixture.orders[1].worker;
    FvSchedFixture_ReportEnd(&fixture, fixture.orders[0].worker, 1,
                             fixture.orders[0].task, row.run, Fv_END_DONE);
    report_running(&fixture, other, &row, 1);
    CU_ASSERT_EQUAL(FvSchedFixture_Stops(&fixture, JOB_A), 0);
    /* Its room is free when its own end is listed, and not before. */
    FvSchedFixture_AddJob(&fixture, JOB_B, &queue, two_tasks);
    FvSchedFixture_Pass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_Starts(&fixture, JOB_B), 1);
    FvSchedFixture_ReportEnd(&fixture, other, 1, fixture.orders[1].task,
                             row.run, Fv_END_DONE);
    FvSchedFixture_Pass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_Starts(&fixture, JOB_B), 2);
    FvSchedFixture_Close(&fixture);
}

/* Pattern: a gang ends on workers that are cut off, and is started again when
 * their leases have lapsed; then one of them is back and tells of the end. */
static void
test_later_run_of_an_ended_gang(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_Queue("q", 0);
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
    FvSchedFixture_Pass(&fixture);
    FvSchedFixture_ConfirmStarts(&fixture);
    second = FvSchedFixture_AddWorker(&fixture, "w2", "r1", 2000);
    fixture.now_ms += 20000;
    FvSched_ReportUnanswered(&fixture.sched, first, fixture.now_ms);
    FvSchedFixture_Pass(&fixture);
    CU_ASSERT_EQUAL_FATAL(FvSchedFixture_Starts(&fixture, JOB_A), 4);
    FvSchedFixture_ConfirmStarts(&fixture);
    stops = FvSchedFixture_Stops(&fixture, JOB_A);
    FvSchedFixture_ReportEnd(&fixture, "w1", 1, JOB_A ".0.0.0", 1,
                             Fv_END_DONE);
    CU_ASSERT_EQUAL(FvSchedFixture_Stops(&fixture, JOB_A), stops + 2);
    /* The stop was lost: the run is listed, and keeps its room. */
    row.run = FvSched_FindTask(&fixture.sched, JOB_A ".0.0.1")->run;
    fixture.now_ms += 2000;
    report_running(&fixture, "w2", &row, 1);
    CU_ASSERT_EQUAL(FvSchedFixture_Stops(&fixture, JOB_A), stops + 3);
    CU_ASSERT_FALSE(FvSched_IsWorkerIdle(second, fixture.now_ms));
    FvSchedFixture_Close(&fixture);
}

/* Pattern: an order without an answer that is carried out seconds later. */
static void
test_start_in_doubt_is_forbidden_first(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_Queue("q", 0);
    fv_sched_task_t *task;

    FvSchedFixture_Open(&fixture, 1);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 2000);
    FvSchedFixture_AddJob(&fixture, JOB_A, &queue, two_tasks);
    FvSchedFixture_Pass(&fixture);
    task = FvSched_FindTask(&fixture.sched, JOB_A ".0.0.0");
    FvSched_StartAnswered(&fixture.sched, task, 1, Fv_ORDER_UNCONFIRMED,
                          fixture.now_ms);
    FvSched_StartAnswered(&fixture.sched, task, 1, Fv_ORDER_UNCONFIRMED,
                          fixture.now_ms);
    fixture.now_ms += 100;
    report_running(&fixture, "w1", NULL, 0);
    FvSchedFixture_Pass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_Stops(&fixture, JOB_A ".0.0.0"), 1);
    CU_ASSERT_EQUAL(FvSchedFixture_Runs(&fixture, JOB_A ".0.0.0"), 1);

    /* Neither is the stop answered: the task stays where it may run. */
    FvSched_StopAnswered(&fixture.sched, task, 1, Fv_ORDER_UNCONFIRMED,
                         fixture.now_ms);
    FvSched_StopAnswered(&fixture.sched, task, 1, Fv_ORDER_UNCONFIRMED,
                         fixture.now_ms);
    fixture.now_ms += 1000;
    report_running(&fixture, "w1", NULL, 0);
    FvSchedFixture_Pass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_Runs(&fixture, JOB_A ".0.0.0"), 1);

    FvSched_StopAnswered(&fixture.sched, task, 1, Fv_ORDER_DONE,
                         fixture.now_ms);
    /* A run that is being stopped is not listed, and still runs. */
    fixture.now_ms += 100;
    report_running(&fixture, "w1", NULL, 0);
    FvSchedFixture_Pass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_Runs(&fixture, JOB_A ".0.0.0"), 1);
    fixture.now_ms += Fv_FIXTURE_STOP_MS;
    report_running(&fixture, "w1", NULL, 0);
    FvSchedFixture_Pass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_Runs(&fixture, JOB_A ".0.0.0"), 2);
    FvSchedFixture_Close(&fixture);
}

/* Opens a cell of two workers in which the first task was started. */
static fv_sched_task_t *
open_with_start(sched_fixture_t *fixture)
{
    fv_cell_queue_t queue = FvSchedFixture_Queue("q", 0);

    FvSchedFixture_Open(fixture, 1);
    FvSchedFixture_AddWorker(fixture, "w1", "r1", 2000);
    FvSchedFixture_AddWorker(fixture, "w2", "r1", 2000);
    FvSchedFixture_AddJob(fixture, JOB_A, &queue, two_tasks);
    FvSchedFixture_Pass(fixture);
    return FvSched_FindTask(&fixture->sched, JOB_A ".0.0.0");
}

/* Pattern: workers leave a part of their orders unanswered; lookups have no
 * time for the way over a report, a stop and its time limit. */
static void
test_unanswered_start_is_repeated(void)
{
    static sched_fixture_t fixture;
    fv_sched_task_t *task = open_with_start(&fixture);
    const fv_sched_worker_t *worker = task->worker;

    FvSched_StartAnswered(&fixture.sched, task, 1, Fv_ORDER_UNCONFIRMED,
                          fixture.now_ms);
    CU_ASSERT_EQUAL(FvSchedFixture_Starts(&fixture, JOB_A ".0.0.0"), 2);
    CU_ASSERT_EQUAL(FvSchedFixture_Runs(&fixture, JOB_A ".0.0.0"), 1);
    FvSched_StartAnswered(&fixture.sched, task, 1, Fv_ORDER_DONE,
                          fixture.now_ms);
    CU_ASSERT_EQUAL(task->state, Fv_SCHED_RUNNING);
    CU_ASSERT_FALSE(task->start_unconfirmed);
    CU_ASSERT_PTR_EQUAL(task->worker, worker);
    CU_ASSERT_EQUAL(FvSchedFixture_Stops(&fixture, JOB_A), 0);
    FvSchedFixture_Close(&fixture);
}

/* Pattern: the first order arrives after all and fills the worker, which turns
 * the repetition away. */
static void
test_refused_repetition_settles_nothing(void)
{
    static const fv_order_result_t refusals[] = {
        Fv_ORDER_NO_CAPACITY, Fv_ORDER_STALE_RUN, Fv_ORDER_NO_TICKET,
        Fv_ORDER_UNHEALTHY};
    static sched_fixture_t fixture;

    for (size_t i = 0; i < sizeof(refusals) / sizeof(refusals[0]); i++) {
        fv_sched_task_t *task = open_with_start(&fixture);
        const fv_sched_worker_t *worker = task->worker;

        FvSched_StartAnswered(&fixture.sched, task, 1, Fv_ORDER_UNCONFIRMED,
                              fixture.now_ms);
        FvSched_StartAnswered(&fixture.sched, task, 1, refusals[i],
                              fixture.now_ms);
        fixture.now_ms += 100;
        FvSchedFixture_Pass(&fixture);
        CU_ASSERT_TRUE(task->start_unconfirmed);
        CU_ASSERT_PTR_EQUAL(task->worker, worker);
        CU_ASSERT_EQUAL(FvSchedFixture_Runs(&fixture, JOB_A ".0.0.0"), 1);
        CU_ASSERT_EQUAL(fixture.look_count, 1);
        FvSchedFixture_Close(&fixture);
    }
}

/* Pattern: a job is cancelled while the repetition of a start is open; the
 * first order may still be carried out, and the stop is not answered. */
static void
test_refused_repetition_of_a_stopped_task(void)
{
    static sched_fixture_t fixture;
    fv_sched_task_t *task = open_with_start(&fixture);

    FvSched_StartAnswered(&fixture.sched, task, 1, Fv_ORDER_UNCONFIRMED,
                          fixture.now_ms);
    FvSched_StopTask(&fixture.sched, task, fixture.now_ms);
    FvSched_StartAnswered(&fixture.sched, task, 1, Fv_ORDER_STALE_RUN,
                          fixture.now_ms);
    CU_ASSERT_PTR_NOT_NULL(task->worker);
    CU_ASSERT_TRUE(task->start_unconfirmed);
    FvSchedFixture_Close(&fixture);
}

/* Pattern: the leader lost its right to give orders while one was open. */
static void
test_no_order_without_the_right(void)
{
    static sched_fixture_t fixture;
    fv_sched_task_t *task = open_with_start(&fixture);

    fixture.refuse_starts = true;
    FvSched_StartAnswered(&fixture.sched, task, 1, Fv_ORDER_UNCONFIRMED,
                          fixture.now_ms);
    CU_ASSERT_TRUE(task->start_unconfirmed);
    CU_ASSERT_EQUAL(FvSchedFixture_Starts(&fixture, JOB_A ".0.0.0"), 1);
    FvSchedFixture_Close(&fixture);

    fixture.refuse_starts = false;
    open_with_start(&fixture);
    fixture.refuse_starts = true;
    FvSchedFixture_AddJob(&fixture, JOB_B, &(fv_cell_queue_t){.service = "s"},
                          two_tasks);
    FvSchedFixture_Pass(&fixture);
    task = FvSched_FindTask(&fixture.sched, JOB_B ".0.0.0");
    CU_ASSERT_EQUAL(task->state, Fv_SCHED_WAITING);
    CU_ASSERT_PTR_NULL(task->worker);
    FvSchedFixture_Close(&fixture);
}

/* Pattern: a worker that does not answer, but may still run its tasks. */
static void
test_silent_worker_keeps_its_tasks_until_its_lease_lapses(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_Queue("q", 0);
    fv_sched_worker_t *worker;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 2000);
    FvSchedFixture_AddJob(&fixture, JOB_A, &queue, two_tasks);
    FvSchedFixture_Pass(&fixture);
    FvSchedFixture_ConfirmStarts(&fixture);
    CU_ASSERT(FvSched_ExtendLease(&fixture.sched, worker, fixture.now_ms) > 0);
    FvSchedFixture_AddWorker(&fixture, "w2", "r1", 2000);
    fixture.now_ms += Fv_FIXTURE_LEASE_MS;
    FvSched_ReportUnanswered(&fixture.sched, worker, fixture.now_ms);
    FvSchedFixture_Pass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_Starts(&fixture, JOB_A), 2);
    /* Attempts to reach it do not put the end off. */
    CU_ASSERT_EQUAL(
        FvSched_ExtendLease(&fixture.sched, worker, fixture.now_ms), 0);
    fixture.now_ms += Fv_FIXTURE_LEASE_MS;
    FvSched_ReportUnanswered(&fixture.sched, worker, fixture.now_ms);
    FvSchedFixture_Pass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_Starts(&fixture, JOB_A), 4);
    FvSchedFixture_Close(&fixture);
}

/* Pattern: a worker crashes and comes back; a start reaches its new life
 * before the registry tells of it. */
static void
test_start_in_new_life_is_kept(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_Queue("q", 0);
    fv_sched_worker_t *worker;
    fv_worker_entry_t entry;
    fv_running_row_t row = {.task_id = JOB_A ".0.0.0", .run = 1};
    fv_worker_report_t report = {.running = &row, .running_count = 1};

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 2000);
    FvSchedFixture_AddJob(&fixture, JOB_A, &queue, two_tasks);
    FvSchedFixture_Pass(&fixture);
    FvSchedFixture_ConfirmStarts(&fixture);
    FvSchedFixture_AddWorker(&fixture, "w2", "r1", 2000);
    entry = worker->entry;
    entry.started_wall_ms++;
    fixture.now_ms += 100;
    FvSched_UpdateWorker(&fixture.sched, &entry, fixture.now_ms);
    FvSchedFixture_Pass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_Starts(&fixture, JOB_A), 2);

    /* The new life lists one of the two: the other was lost with the old. */
    report.clock_ms = fixture.now_ms;
    report.started_wall_ms = entry.started_wall_ms;
    FvSched_ApplyReport(&fixture.sched, worker, &report, fixture.now_ms,
                        fixture.now_ms);
    FvSchedFixture_Pass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_Starts(&fixture, JOB_A ".0.0.0"), 1);
    CU_ASSERT_EQUAL(FvSchedFixture_Starts(&fixture, JOB_A ".0.0.1"), 2);

    /* A late report of the old life changes nothing. */
    report.started_wall_ms = 1;
    report.running_count = 0;
    fixture.now_ms += 100;
    FvSched_ApplyReport(&fixture.sched, worker, &report, fixture.now_ms,
                        fixture.now_ms);
    FvSchedFixture_Pass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_Starts(&fixture, JOB_A ".0.0.0"), 1);
    FvSchedFixture_Close(&fixture);
}

/* Pattern: workers are taken away at short notice. */
static void
test_leaving_worker_is_emptied(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_Queue("q", 0);
    fv_running_row_t rows[] = {
        {.task_id = JOB_A ".0.0.0", .run = 1, .percent = 90},
        {.task_id = JOB_A ".0.0.1", .run = 1, .percent = 10}};
    fv_sched_worker_t *worker;
    fv_worker_entry_t entry;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 2000);
    FvSchedFixture_AddJob(&fixture, JOB_A, &queue, two_tasks);
    FvSchedFixture_Pass(&fixture);
    FvSchedFixture_ConfirmStarts(&fixture);
    fixture.now_ms += 1000;
    entry = worker->entry;
    entry.draining = true;
    entry.drain_left_ms = 2000;
    FvSched_UpdateWorker(&fixture.sched, &entry, fixture.now_ms);
    report_running(&fixture, "w1", rows, 2);
    /* One ends in 0.1 s; the other would take 9 s, the worker stays 2 s. */
    CU_ASSERT_EQUAL(FvSchedFixture_Stops(&fixture, JOB_A ".0.0.0"), 0);
    CU_ASSERT_EQUAL(FvSchedFixture_Stops(&fixture, JOB_A ".0.0.1"), 1);
    FvSchedFixture_Close(&fixture);
}

/* Pattern: workers leave, and the leader is replaced before their leases would
 * have lapsed: the next one waits for those that may still run something. */
static void
test_worker_that_runs_nothing(void)
{
    static sched_fixture_t fixture;
    fv_sched_task_t *task = open_with_start(&fixture);
    fv_sched_worker_t *worker = task->worker;
    fv_running_row_t stray = {.task_id = JOB_B ".0.0.0", .run = 7};
    fv_worker_entry_t entry = worker->entry;

    CU_ASSERT_FALSE(FvSched_IsWorkerIdle(worker, fixture.now_ms));
    while (worker->tasks != NULL) {
        char name[Fv_RUN_TASK_ID_SIZE];

        FvSched_TaskName(worker->tasks, name, sizeof(name));
        FvSchedFixture_ReportEnd(&fixture, entry.id,
                                 worker->last_end_applied + 1, name, 1,
                                 Fv_END_DONE);
    }
    CU_ASSERT_TRUE(FvSched_IsWorkerIdle(worker, fixture.now_ms));
    report_running(&fixture, entry.id, &stray, 1);
    CU_ASSERT_FALSE(FvSched_IsWorkerIdle(worker, fixture.now_ms));
    fixture.now_ms += Fv_FIXTURE_STOP_MS + 300;
    report_running(&fixture, entry.id, NULL, 0);
    CU_ASSERT_TRUE(FvSched_IsWorkerIdle(worker, fixture.now_ms));
    entry.started_wall_ms++;
    FvSched_UpdateWorker(&fixture.sched, &entry, fixture.now_ms);
    CU_ASSERT_FALSE(FvSched_IsWorkerIdle(worker, fixture.now_ms));
    FvSchedFixture_Close(&fixture);

    /* A leader that has just begun doesn't know of runs being stopped. */
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

/* Pattern: a faulty worker is probed with one task, and the probe ends without
 * telling anything: its start is turned away, or its job is cancelled. */
static void
test_probe_without_verdict_is_repeated(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_Queue("q", 0);
    fv_sched_worker_t *worker;
    fv_sched_task_t *task;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 2000);
    worker->quarantined_until_ms = fixture.now_ms;
    fixture.now_ms += 1;
    FvSchedFixture_AddJob(&fixture, JOB_A, &queue, two_tasks);
    FvSchedFixture_Pass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_Starts(&fixture, JOB_A), 1);
    CU_ASSERT_TRUE(worker->probing);
    task = FvSched_FindTask(&fixture.sched, JOB_A ".0.0.0");
    FvSched_StartAnswered(&fixture.sched, task, 1, Fv_ORDER_STALE_RUN,
                          fixture.now_ms);
    fixture.now_ms += 1000;
    FvSchedFixture_Pass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_Starts(&fixture, JOB_A), 2);
    FvSchedFixture_Close(&fixture);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a run that is being stopped keeps its room",
         test_stray_keeps_its_room},
        {"a run of an ended gang is taken for a stray",
         test_report_from_before_a_gang_ended},
        {"a later run of an ended gang goes on",
         test_later_run_of_an_ended_gang},
        {"a start in doubt is carried out beside its repetition",
         test_start_in_doubt_is_forbidden_first},
        {"an unanswered start waits for a stop's time limit",
         test_unanswered_start_is_repeated},
        {"a refused repetition is taken for a refused start",
         test_refused_repetition_settles_nothing},
        {"a stopped task loses its room to a refused repetition",
         test_refused_repetition_of_a_stopped_task},
        {"a start is sent without the right to give orders",
         test_no_order_without_the_right},
        {"a leader waits for workers that run nothing",
         test_worker_that_runs_nothing},
        {"a worker is never probed again",
         test_probe_without_verdict_is_repeated},
        {"a task is lost with a worker that said it would leave",
         test_leaving_worker_is_emptied},
        {"a start that reached a worker's new life is repeated",
         test_start_in_new_life_is_kept},
        {"tasks of a silent worker are started elsewhere too early",
         test_silent_worker_keeps_its_tasks_until_its_lease_lapses},
    };

    return Fv_RUN_SUITE("sched_report", cases);
}
