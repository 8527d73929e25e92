/*
 * Room for gangs from tasks that save their state. Each test names the pattern
 * of load that it answers.
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
static const char saving_batch[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":4,\"cpu\":2000,\"memMb\":10,"
    "\"estimatedMs\":8000,\"checkpointing\":true}]}";
static const char plain_batch[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":4,\"cpu\":2000,\"memMb\":10,"
    "\"estimatedMs\":8000}]}";

static sched_fixture_t fixture;
static int64_t ends;

/* Two workers of four processors, full with a batch of four that has run for
 * two seconds. */
static void
open_full_cell(const char *batch, int32_t batch_priority)
{
    fv_cell_queue_t queue = FvSchedFixture_Queue("batch", batch_priority);

    ends = 0;
    FvSchedFixture_Open(&fixture, 1);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 4000);
    FvSchedFixture_AddWorker(&fixture, "w2", "r1", 4000);
    FvSchedFixture_AddJob(&fixture, BATCH, &queue, batch);
    FvSchedFixture_Pass(&fixture);
    FvSchedFixture_ConfirmStarts(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_Starts(&fixture, BATCH), 4);
    fixture.now_ms += 2000;
}

static void
add_gang(const char *document)
{
    fv_cell_queue_t queue = FvSchedFixture_Queue("gangs", 1);

    FvSchedFixture_AddJob(&fixture, GANG, &queue, document);
    FvSchedFixture_Pass(&fixture);
}

/* The workers report the ends of all runs that were ordered to stop. */
static void
end_stopped_runs(void)
{
    uint32_t count = fixture.order_count;

    fixture.now_ms += 100;
    for (uint32_t i = 0; i < count; i++) {
        const fixture_order_t *order = &fixture.orders[i];
        const fv_sched_task_t *task =
            FvSched_FindTask(&fixture.sched, order->task);

        if (order->stop && task->state == Fv_SCHED_STOPPING &&
            task->run == order->run) {
            FvSchedFixture_ReportEnd(&fixture, order->worker, ++ends,
                                     order->task, order->run, Fv_END_STOPPED);
        }
    }
}

/* Pattern: gangs arrive in a burst while checkpointing batch work fills the
 * cell. Waiting for its ends would idle what is reserved. */
static void
test_gang_starts_in_a_full_cell(void)
{
    open_full_cell(saving_batch, 2);
    add_gang(gang_of_four);
    CU_ASSERT_EQUAL(FvSchedFixture_Starts(&fixture, GANG), 0);
    CU_ASSERT_EQUAL(FvSchedFixture_Stops(&fixture, BATCH), 4);
    end_stopped_runs();
    FvSchedFixture_Pass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_Starts(&fixture, GANG), 4);
    CU_ASSERT_EQUAL(FvSchedFixture_Starts(&fixture, BATCH), 4);
    FvSchedFixture_Close(&fixture);
}

/* Pattern: the same with a narrow gang: what it does not need goes on. */
static void
test_no_more_is_stopped_than_needed(void)
{
    open_full_cell(saving_batch, 2);
    add_gang(gang_of_two);
    CU_ASSERT_EQUAL(FvSchedFixture_Stops(&fixture, BATCH), 2);
    FvSchedFixture_Pass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_Stops(&fixture, BATCH), 2);
    end_stopped_runs();
    FvSchedFixture_Pass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_Starts(&fixture, GANG), 2);
    FvSchedFixture_Close(&fixture);
}

static void
expect_no_stop(const char *batch, int32_t priority, int32_t percent)
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
    CU_ASSERT_EQUAL(FvSchedFixture_Stops(&fixture, BATCH), 0);
    FvSchedFixture_Close(&fixture);
}

/* Pattern: the cell is full with work that would lose what it has done, with
 * work of the same queue's urgency, or with work that is nearly done. */
static void
test_what_is_not_stopped(void)
{
    expect_no_stop(plain_batch, 2, 10);
    expect_no_stop(saving_batch, 1, 10);
    expect_no_stop(saving_batch, 2, 95);
}

/* Pattern: a gang too wide for what can be cleared. */
static void
test_nothing_is_stopped_for_a_part(void)
{
    open_full_cell(saving_batch, 2);
    fixture.sched.workers->free_cpu_millis = -2000; /* others run there too */
    add_gang(gang_of_four);
    CU_ASSERT_EQUAL(FvSchedFixture_Stops(&fixture, BATCH), 0);
    FvSchedFixture_Close(&fixture);
}

/* Pattern: one gang after the other wants the room of a batch that has waited
 * for long: it has to come to an end, and in time. */
static void
test_batch_is_not_starved(void)
{
    fv_sched_job_t *job;

    open_full_cell(saving_batch, 2);
    job = FvSched_FindJob(&fixture.sched, BATCH);
    for (int32_t i = 0; i < 4; i++) {
        job->occurrences[0].stages[0].tasks[i].preemptions = 3;
    }
    add_gang(gang_of_four);
    CU_ASSERT_EQUAL(FvSchedFixture_Stops(&fixture, BATCH), 0);
    FvSchedFixture_Close(&fixture);

    open_full_cell(saving_batch, 2);
    fixture.now_ms += 8000; /* its latest start is past */
    add_gang(gang_of_four);
    CU_ASSERT_EQUAL(FvSchedFixture_Stops(&fixture, BATCH), 0);
    FvSchedFixture_Close(&fixture);
}

/* Pattern: the advice service binds, and the gang's tickets run out before the
 * tasks would have stopped. */
static void
test_nothing_is_stopped_without_tickets(void)
{
    fv_cell_queue_t queue = FvSchedFixture_Queue("gangs", 1);
    fv_advice_row_t rows[2] = {{.worker_id = "w1", .ticket = "t"},
                               {.worker_id = "w2", .ticket = "t"}};
    fv_advice_t advice = {.rows = rows, .row_count = 2};
    fv_sched_worker_t *workers[2];
    fv_sched_stage_t *stage;

    queue.needs_advice = true;
    queue.advice_base_us = 400000;
    queue.advice_per_worker_us = 6000;
    queue.ticket_valid_ms = 2500;
    open_full_cell(saving_batch, 2);
    workers[0] = FvSched_FindWorker(&fixture.sched, "w1");
    workers[1] = FvSched_FindWorker(&fixture.sched, "w2");
    stage = &FvSchedFixture_AddJob(&fixture, GANG, &queue, gang_of_four)
                 ->occurrences[0]
                 .stages[0];
    FvSchedFixture_Pass(&fixture);
    CU_ASSERT_EQUAL(fixture.ask_count, 1);
    CU_ASSERT_EQUAL(FvSchedFixture_Stops(&fixture, BATCH), 0);
    FvSched_ApplyAdvice(&fixture.sched, stage, workers, 2, &advice,
                        fixture.now_ms);
    fixture.now_ms += 1500;
    FvSchedFixture_Pass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_Stops(&fixture, BATCH), 0);
    stage->asks_outstanding = 1;
    FvSched_ApplyAdvice(&fixture.sched, stage, workers, 2, &advice,
                        fixture.now_ms);
    FvSchedFixture_Pass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_Stops(&fixture, BATCH), 4);
    FvSchedFixture_Close(&fixture);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a gang waits for the ends of batch work",
         test_gang_starts_in_a_full_cell},
        {"more tasks are stopped than a gang needs",
         test_no_more_is_stopped_than_needed},
        {"work is lost or urgent work is stopped", test_what_is_not_stopped},
        {"tasks are stopped for a gang that still can't start",
         test_nothing_is_stopped_for_a_part},
        {"a batch never ends because gangs come", test_batch_is_not_starved},
        {"tasks are stopped for a gang whose tickets run out",
         test_nothing_is_stopped_without_tickets},
    };

    return Fv_RUN_SUITE("sched_preempt", cases);
}
