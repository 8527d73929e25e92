/*
 * Preemption of checkpointing tasks for waiting gangs.
 */

#include "sched-fixture.h"

#include <stdio.h>
#include <string.h>

#define GANG "00000000000000aa"
#define BATCH "00000000000000bb"

static const char gang_of_four[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":4,\"cpu\":2000,\"memMb\":10,"
    "\"estimatedMs\":4000,\"gang\":true}]}";
static const char gang_of_two[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":2000,\"memMb\":10,"
    "\"estimatedMs\":4000,\"gang\":true}]}";
static const char checkpointing_batch[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":4,\"cpu\":2000,\"memMb\":10,"
    "\"estimatedMs\":8000,\"checkpointing\":true}]}";
static const char plain_batch[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":4,\"cpu\":2000,\"memMb\":10,"
    "\"estimatedMs\":8000}]}";

static sched_fixture_t fixture;
static int64_t end_count;

/* Opens a cell of two 4-core workers that are full with a batch of four tasks,
 * which have run for 2 s. */
static void
open_full_cell(const char *batch, int32_t batch_priority)
{
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("batch", batch_priority);

    end_count = 0;
    FvSchedFixture_Open(&fixture, 1);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 4000);
    FvSchedFixture_AddWorker(&fixture, "w2", "r1", 4000);
    FvSchedFixture_AddJob(&fixture, BATCH, &queue, batch);
    FvSchedFixture_RunPass(&fixture);
    FvSchedFixture_ConfirmStarts(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, BATCH), 4);
    fixture.now_ms += 2000;
}

static void
add_gang(const char *document)
{
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("gangs", 1);

    FvSchedFixture_AddJob(&fixture, GANG, &queue, document);
    FvSchedFixture_RunPass(&fixture);
}

/* Reports the ends of all runs that were ordered to stop. */
static void
report_stopped_runs(void)
{
    uint32_t count = fixture.order_count;

    fixture.now_ms += 100;
    for (uint32_t i = 0; i < count; i++) {
        const fixture_order_t *order = &fixture.orders[i];
        const fv_sched_task_t *task =
            FvSched_FindTask(&fixture.sched, order->task);

        if (order->stop && task->state == Fv_SCHED_STOPPING &&
            task->run == order->run) {
            FvSchedFixture_ReportEnd(&fixture, order->worker, ++end_count,
                                     order->task, order->run, Fv_END_STOPPED);
        }
    }
}

/* A burst of gangs arrives while checkpointing batch work fills the cell.
 * Reserved capacity would idle until the batch tasks end. */
static void
test_gang_starts_in_a_full_cell(void)
{
    open_full_cell(checkpointing_batch, 2);
    add_gang(gang_of_four);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, GANG), 0);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, BATCH), 4);
    report_stopped_runs();
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, GANG), 4);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, BATCH), 4);
    FvSchedFixture_Close(&fixture);
}

/* A narrow gang needs only a part of the capacity; other tasks keep running.
 */
static void
test_no_more_is_preempted_than_needed(void)
{
    open_full_cell(checkpointing_batch, 2);
    add_gang(gang_of_two);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, BATCH), 2);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, BATCH), 2);
    report_stopped_runs();
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, GANG), 2);
    FvSchedFixture_Close(&fixture);
}

static void
expect_no_preemption(const char *batch, int32_t priority, int32_t percent)
{
    open_full_cell(batch, priority);
    for (fv_sched_worker_t *worker = fixture.sched.workers; worker != NULL;
         worker = worker->hh.next) {
        for (fv_sched_task_t *task = worker->tasks; task != NULL;
             task = task->worker_next) {
            task->percent = percent;
        }
    }
    add_gang(gang_of_four);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, BATCH), 0);
    FvSchedFixture_Close(&fixture);
}

/* The cell is full with tasks that have no checkpoints, that have the gang's
 * priority, or that are nearly done. */
static void
test_unsuitable_tasks_are_not_preempted(void)
{
    expect_no_preemption(plain_batch, 2, 10);
    expect_no_preemption(checkpointing_batch, 1, 10);
    expect_no_preemption(checkpointing_batch, 2, 95);
}

/* The gang is wider than the capacity that preemption can free. */
static void
test_no_preemption_for_part_of_a_gang(void)
{
    open_full_cell(checkpointing_batch, 2);
    fixture.sched.workers->free.cpu_millis =
        -2000; /* other tasks run there too */
    add_gang(gang_of_four);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, BATCH), 0);
    FvSchedFixture_Close(&fixture);
}

/* Successive gangs need the capacity of a batch. The batch still has to
 * finish: preemptions are limited in number and end at its latest start time.
 */
static void
test_batch_is_not_starved(void)
{
    fv_sched_job_t *job;

    open_full_cell(checkpointing_batch, 2);
    job = FvSched_FindJob(&fixture.sched, BATCH);
    for (int32_t i = 0; i < 4; i++) {
        job->occurrences[0]->stages[0].tasks[i].preemptions = 3;
    }
    add_gang(gang_of_four);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, BATCH), 0);
    FvSchedFixture_Close(&fixture);

    open_full_cell(checkpointing_batch, 2);
    fixture.now_ms += 8000; /* past the batch's latest start time */
    add_gang(gang_of_four);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, BATCH), 0);
    FvSchedFixture_Close(&fixture);
}

/* The advice service is the bottleneck, and the gang's tickets would expire
 * before the preempted tasks have stopped. */
static void
test_no_preemption_without_valid_tickets(void)
{
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("gangs", 1);
    fv_advice_row_t rows[2] = {{.worker_id = "w1", .ticket = "t"},
                               {.worker_id = "w2", .ticket = "t"}};
    fv_advice_t advice = {.rows = rows, .row_count = 2};
    fv_sched_worker_t *workers[2];
    fv_sched_stage_t *stage;

    queue.needs_advice = true;
    queue.advice_base_us = 400000;
    queue.advice_per_worker_us = 6000;
    queue.ticket_valid_ms = 2500;
    open_full_cell(checkpointing_batch, 2);
    workers[0] = FvSched_FindWorker(&fixture.sched, "w1");
    workers[1] = FvSched_FindWorker(&fixture.sched, "w2");
    stage = &FvSchedFixture_AddJob(&fixture, GANG, &queue, gang_of_four)
                 ->occurrences[0]
                 ->stages[0];
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(fixture.advice_request_count, 1);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, BATCH), 0);
    FvSched_ApplyAdvice(&fixture.sched, stage, workers, 2, &advice,
                        fixture.now_ms);
    fixture.now_ms += 1500;
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, BATCH), 0);
    stage->pending_advice_requests = 1;
    FvSched_ApplyAdvice(&fixture.sched, stage, workers, 2, &advice,
                        fixture.now_ms);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, BATCH), 4);
    FvSchedFixture_Close(&fixture);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a gang waits until batch tasks end",
         test_gang_starts_in_a_full_cell},
        {"more tasks are preempted than a gang needs",
         test_no_more_is_preempted_than_needed},
        {"progress is lost or tasks that should finish are preempted",
         test_unsuitable_tasks_are_not_preempted},
        {"tasks are preempted for a gang that still cannot start",
         test_no_preemption_for_part_of_a_gang},
        {"successive gangs starve a batch", test_batch_is_not_starved},
        {"tasks are preempted for a gang whose tickets expire first",
         test_no_preemption_without_valid_tickets},
    };

    return Fv_RUN_SUITE("sched_preempt", cases);
}
