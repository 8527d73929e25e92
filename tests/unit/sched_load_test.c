/*
 * Scheduling decisions under load.
 */

#include "sched-fixture.h"

#include <stdio.h>
#include <string.h>

#define GANG "00000000000000aa"
#define BATCH "00000000000000bb"
#define LOOKUP "00000000000000cc"

static const char gang_of_four[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":4,\"cpu\":2000,\"memMb\":10,"
    "\"estimatedMs\":4000,\"gang\":true}]}";
static const char batch_of_eight[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":8,\"cpu\":1000,\"memMb\":10,"
    "\"estimatedMs\":3000}]}";
static const char one_task[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":10,"
    "\"estimatedMs\":500}]}";

static const char gang_wider_than_cell[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":40,\"cpu\":1000,\"memMb\":10,"
    "\"estimatedMs\":5000,\"gang\":true}]}";

/* A wide gang waits in a cell where single tasks take all capacity that is
 * freed. */
static void
test_gang_gets_freed_capacity(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t gangs = FvSchedFixture_MakeQueue("gangs", 1);
    fv_cell_queue_t batch = FvSchedFixture_MakeQueue("batch", 2);

    FvSchedFixture_Open(&fixture, 1);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 4000);
    FvSchedFixture_AddWorker(&fixture, "w2", "r1", 4000);
    FvSchedFixture_AddWorker(&fixture, "w3", "r1", 4000);
    FvSchedFixture_AddWorker(&fixture, "w4", "r1", 4000);
    FvSchedFixture_AddWorker(&fixture, "w5", "r1", 4000);
    FvSchedFixture_AddWorker(&fixture, "w6", "r1", 4000);
    FvSchedFixture_AddWorker(&fixture, "w7", "r1", 4000);
    fixture.sched.workers->entry.cpu_millis = 4000;
    for (fv_sched_worker_t *worker = fixture.sched.workers; worker != NULL;
         worker = worker->hh.next) {
        worker->free.cpu_millis = 1000; /* three other tasks run on it */
    }
    FvSchedFixture_AddJob(&fixture, GANG, &gangs, gang_of_four);
    FvSchedFixture_AddJob(&fixture, BATCH, &batch, batch_of_eight);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, GANG), 0);
    /* Two workers are reserved for the gang; the others run the batch. */
    CU_ASSERT(FvSchedFixture_CountStarts(&fixture, BATCH) >= 4);
    CU_ASSERT(FvSchedFixture_CountStarts(&fixture, BATCH) < 7);
    for (fv_sched_worker_t *worker = fixture.sched.workers; worker != NULL;
         worker = worker->hh.next) {
        if (worker->task_count == 0) {
            worker->free.cpu_millis = 4000; /* the other tasks have ended */
        }
    }
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, GANG), 4);
    FvSchedFixture_Close(&fixture);
}

static void
add_busy_workers(sched_fixture_t *fixture, uint32_t count)
{
    char id[Fv_NAME_SIZE];

    for (uint32_t i = 0; i < count; i++) {
        snprintf(id, sizeof(id), "w%u", i);
        FvSchedFixture_AddWorker(fixture, id, "r1", 4000)->free.cpu_millis =
            1000; /* three other tasks run on it */
    }
}

/* A burst of wide gangs arrives in a full cell, together with batch work that
 * has slack. At least half of the workers are reserved for the waiting gangs
 * as they become free. */
static void
test_burst_of_gangs_is_not_starved(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t gangs = FvSchedFixture_MakeQueue("gangs", 1);
    fv_cell_queue_t batch = FvSchedFixture_MakeQueue("batch", 2);
    uint32_t reserved = 0;

    FvSchedFixture_Open(&fixture, 1);
    add_busy_workers(&fixture, 10);
    FvSchedFixture_AddJob(&fixture, GANG, &gangs, gang_of_four);
    FvSchedFixture_AddJob(&fixture, "aaaaaaaaaaaaaa07", &gangs, gang_of_four);
    FvSchedFixture_AddJob(&fixture, "aaaaaaaaaaaaaa08", &gangs, gang_of_four);
    FvSchedFixture_AddJob(&fixture, BATCH, &batch, batch_of_eight);
    FvSchedFixture_RunPass(&fixture);
    for (fv_sched_worker_t *worker = fixture.sched.workers; worker != NULL;
         worker = worker->hh.next) {
        reserved += worker->reserved_for != NULL;
    }
    CU_ASSERT(reserved >= 5);
    CU_ASSERT(FvSchedFixture_CountStarts(&fixture, BATCH) <= 5);
    CU_ASSERT(FvSchedFixture_CountStarts(&fixture, BATCH) >= 3);
    FvSchedFixture_Close(&fixture);
}

/* Single tasks keep arriving between gangs that need whole workers. */
static void
test_single_tasks_are_packed(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t gangs = FvSchedFixture_MakeQueue("gangs", 1);
    fv_cell_queue_t batch = FvSchedFixture_MakeQueue("batch", 2);
    char id[Fv_JOB_ID_SIZE];

    FvSchedFixture_Open(&fixture, 1);
    for (uint32_t i = 0; i < 3; i++) {
        snprintf(id, sizeof(id), "w%u", i);
        FvSchedFixture_AddWorker(&fixture, id, "r1", 4000);
    }
    for (uint32_t i = 0; i < 4; i++) {
        snprintf(id, sizeof(id), "bbbbbbbbbbbbbbb%u", i);
        FvSchedFixture_AddJob(&fixture, id, &batch, one_task);
        FvSchedFixture_RunPass(&fixture);
        CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, id), 1);
    }
    FvSchedFixture_AddJob(&fixture, GANG, &gangs, gang_of_four);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, GANG), 4);
    FvSchedFixture_Close(&fixture);
}

/* A gang needs more capacity than the cell has. */
static void
test_gang_that_never_fits_reserves_nothing(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t gangs = FvSchedFixture_MakeQueue("gangs", 1);
    fv_cell_queue_t batch = FvSchedFixture_MakeQueue("batch", 2);

    FvSchedFixture_Open(&fixture, 1);
    FvSchedFixture_AddWorker(&fixture, "w0", "r1", 4000);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 4000);
    FvSchedFixture_AddJob(&fixture, GANG, &gangs, gang_wider_than_cell);
    FvSchedFixture_AddJob(&fixture, BATCH, &batch, batch_of_eight);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, GANG), 0);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, BATCH), 8);
    FvSchedFixture_Close(&fixture);
}

/* Lookups arrive while batch work and gangs wait for capacity. */
static void
test_lookup_starts_first(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t lookups = FvSchedFixture_MakeQueue("lookups", 0);
    fv_cell_queue_t gangs = FvSchedFixture_MakeQueue("gangs", 1);
    fv_cell_queue_t batch = FvSchedFixture_MakeQueue("batch", 2);

    FvSchedFixture_Open(&fixture, 1);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
    FvSchedFixture_AddJob(&fixture, BATCH, &batch, batch_of_eight);
    FvSchedFixture_AddJob(&fixture, GANG, &gangs, gang_of_four);
    FvSchedFixture_AddJob(&fixture, LOOKUP, &lookups, one_task);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, LOOKUP), 1);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, BATCH), 0);
    FvSchedFixture_Close(&fixture);
}

/* Jobs that have missed their objective accumulate in an overload. */
static void
test_late_job_does_not_delay_others(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("batch", 1);

    FvSchedFixture_Open(&fixture, 1);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
    FvSchedFixture_AddJob(&fixture, BATCH, &queue, batch_of_eight);
    fixture.now_ms += 60000;
    FvSchedFixture_AddJob(&fixture, LOOKUP, &queue, one_task);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, LOOKUP), 1);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, BATCH), 0);
    FvSchedFixture_Close(&fixture);
}

/* A worker rejects one member of a gang while the other members already wait
 * for it. */
static void
test_rejected_gang_member_starts_elsewhere(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t gangs = FvSchedFixture_MakeQueue("gangs", 1);
    fv_sched_task_t *task;
    const fixture_order_t *last;

    FvSchedFixture_Open(&fixture, 1);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 8000);
    FvSchedFixture_AddJob(&fixture, GANG, &gangs, gang_of_four);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, GANG), 4);
    FvSchedFixture_AddWorker(&fixture, "w2", "r1", 8000);
    task = FvSched_FindTask(&fixture.sched, GANG ".0.0.2");
    FvSched_StartAnswered(&fixture.sched, task, task->run, Fv_ORDER_UNHEALTHY,
                          fixture.now_ms);
    FvSchedFixture_ConfirmStarts(&fixture);
    fixture.now_ms += 100;
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, GANG), 0);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, GANG), 5);
    last = &fixture.orders[fixture.order_count - 1];
    CU_ASSERT_EQUAL(last->run, 1);
    CU_ASSERT_STRING_EQUAL(last->worker, "w2");
    FvSchedFixture_Close(&fixture);
}

/* The leader dies, and the workers of a gang report to the new leader one
 * after the other. */
static void
test_new_leader_waits_for_all_gang_members(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t gangs = FvSchedFixture_MakeQueue("gangs", 1);
    fv_running_row_t row = {.run = 5, .percent = 10};
    fv_worker_report_t report = {
        .started_wall_ms = 1, .running = &row, .running_count = 1};
    fv_sched_job_t *job;
    fv_sched_worker_t *worker;

    FvSchedFixture_Open(&fixture, 2);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 8000);
    FvSchedFixture_AddWorker(&fixture, "w2", "r1", 8000);
    job = FvSchedFixture_AddJob(&fixture, GANG, &gangs, gang_of_four);
    for (int32_t i = 0; i < 4; i++) {
        job->occurrences[0]->stages[0].tasks[i].inherited = true;
    }
    fixture.sched.hold_inherited_tasks = true;
    FvText_Copy(row.task_id, sizeof(row.task_id), GANG ".0.0.0");
    report.clock_ms = fixture.now_ms;
    FvSched_ApplyReport(&fixture.sched, worker, &report, fixture.now_ms,
                        fixture.now_ms);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, GANG), 0);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, GANG), 0);
    FvSchedFixture_Close(&fixture);
}

/* The advice service is the bottleneck: many wide stages wait for tickets. */
static void
test_advice_requests_are_wide_and_rare(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("batch", 1);
    fv_sched_worker_t *workers[40];
    fv_sched_job_t *job;
    fv_sched_stage_t *stage;
    fv_advice_row_t rows[40];
    fv_advice_t advice = {.rows = rows};

    queue.needs_advice = true;
    queue.advice_base_us = 80000;
    queue.advice_per_worker_us = 1200;
    queue.ticket_valid_ms = 2500;
    FvSchedFixture_Open(&fixture, 1);
    for (int i = 0; i < 40; i++) {
        char id[16];

        snprintf(id, sizeof(id), "w%d", i);
        workers[i] = FvSchedFixture_AddWorker(&fixture, id, "r1", 1000);
    }
    job = FvSchedFixture_AddJob(&fixture, BATCH, &queue, batch_of_eight);
    stage = &job->occurrences[0]->stages[0];
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(fixture.advice_request_count, 1);
    CU_ASSERT(fixture.advice_worker_count >= 20);

    /* All ten allowed workers are full: no call until one has capacity. */
    for (int i = 0; i < 40; i++) {
        workers[i]->free.cpu_millis = 0;
        if (i < 10) {
            FvText_Copy(rows[i].worker_id, Fv_NAME_SIZE, workers[i]->entry.id);
            rows[i].ticket = "t";
            advice.row_count++;
        }
    }
    FvSched_ApplyAdvice(&fixture.sched, stage, workers, 40, &advice,
                        fixture.now_ms);
    fixture.now_ms += 3000;
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(fixture.advice_request_count, 1);
    workers[3]->free.cpu_millis = 1000;
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(fixture.advice_request_count, 2);
    FvSchedFixture_Close(&fixture);
}

/* The workers that the advice allows for a gang are busy; others are idle. */
static void
test_advice_covers_idle_workers(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("gangs", 1);
    fv_sched_worker_t *workers[40];
    fv_advice_row_t rows[10];
    fv_advice_t advice = {.rows = rows};
    fv_sched_job_t *job;

    queue.needs_advice = true;
    queue.advice_base_us = 400000;
    queue.advice_per_worker_us = 6000;
    queue.ticket_valid_ms = 2000;
    FvSchedFixture_Open(&fixture, 1);
    for (int i = 0; i < 40; i++) {
        char id[16];

        snprintf(id, sizeof(id), "w%d", i);
        workers[i] = FvSchedFixture_AddWorker(&fixture, id, "r1", 4000);
    }
    job = FvSchedFixture_AddJob(&fixture, GANG, &queue, gang_of_four);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(fixture.advice_request_count, 1);
    for (int i = 0; i < 10; i++) {
        workers[i]->free.cpu_millis = 0;
        FvText_Copy(rows[i].worker_id, Fv_NAME_SIZE, workers[i]->entry.id);
        rows[i].ticket = "t";
        advice.row_count++;
    }
    FvSched_ApplyAdvice(&fixture.sched, &job->occurrences[0]->stages[0],
                        workers, 10, &advice, fixture.now_ms);
    fixture.now_ms += 100;
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(fixture.advice_request_count, 2);
    FvSchedFixture_Close(&fixture);
}

/* Jobs come and go, and a new stage gets the address of a removed one. */
static void
test_verdicts_of_removed_stage_are_dropped(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("lookups", 0);
    fv_sched_worker_t *workers[8];
    fv_advice_t none = {0};

    queue.needs_advice = true;
    queue.advice_base_us = 9000;
    queue.advice_per_worker_us = 130;
    queue.ticket_valid_ms = 2000;
    FvSchedFixture_Open(&fixture, 1);
    for (int i = 0; i < 8; i++) {
        char id[16];

        snprintf(id, sizeof(id), "w%d", i);
        workers[i] = FvSchedFixture_AddWorker(&fixture, id, "r1", 1000);
    }
    for (int i = 0; i < 50; i++) {
        fv_sched_job_t *job =
            FvSchedFixture_AddJob(&fixture, LOOKUP, &queue, one_task);

        fixture.advice_worker_count = 0;
        FvSchedFixture_RunPass(&fixture);
        CU_ASSERT(fixture.advice_worker_count >= 5);
        FvSched_ApplyAdvice(&fixture.sched, &job->occurrences[0]->stages[0],
                            workers, 8, &none, fixture.now_ms);
        fixture.now_ms += 100;
        FvSchedFixture_RunPass(&fixture);
        FvSched_RemoveJob(&fixture.sched, job);
    }
    FvSchedFixture_Close(&fixture);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a gang waits forever while single tasks take freed capacity",
         test_gang_gets_freed_capacity},
        {"a burst of gangs waits behind work that has slack",
         test_burst_of_gangs_is_not_starved},
        {"single tasks spread out and leave no whole worker for a gang",
         test_single_tasks_are_packed},
        {"a gang that can never fit keeps workers reserved",
         test_gang_that_never_fits_reserves_nothing},
        {"a lookup waits behind batch work", test_lookup_starts_first},
        {"a late job delays one that can still meet its objective",
         test_late_job_does_not_delay_others},
        {"a gang is stopped because one member was rejected",
         test_rejected_gang_member_starts_elsewhere},
        {"a new leader stops a gang before all members are reported",
         test_new_leader_waits_for_all_gang_members},
        {"a gang waits for busy workers while others are idle",
         test_advice_covers_idle_workers},
        {"verdicts of a removed stage are applied to a new one",
         test_verdicts_of_removed_stage_are_dropped},
        {"a stage requests advice that it cannot use",
         test_advice_requests_are_wide_and_rare},
    };

    return Fv_RUN_SUITE("sched_load", cases);
}
