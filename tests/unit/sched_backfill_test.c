/*
 * Single tasks on workers that are reserved for a waiting gang. Load: a crest
 * in which large jobs reserve most of the cell while small ones wait, and
 * gangs that never start.
 */

#include "sched-fixture.h"

#include <stdio.h>
#include <string.h>

#define GANG "00000000000000aa"
#define BATCH "00000000000000bb"
#define SHORT "00000000000000cc"
#define BUSY "00000000000000dd"

#define GANG_OF(count, cpu)                                                   \
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":" #count ",\"cpu\":" #cpu      \
    ",\"memMb\":10,\"estimatedMs\":10000,\"gang\":true}]}"
#define TASKS_OF(count, cpu, ms)                                              \
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":" #count ",\"cpu\":" #cpu      \
    ",\"memMb\":10,\"estimatedMs\":" #ms "}]}"

static sched_fixture_t fixture;

/* Opens a cell of two workers of 4 cores, on each of which a task of @busy_cpu
 * runs for a further 8 s, and lets a gang wait for both. */
static void
open_waiting_gang(const char *busy)
{
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("busy", 1);
    fv_cell_queue_t gangs = FvSchedFixture_MakeQueue("gangs", 1);

    queue.objective_ms = 60000;
    gangs.objective_ms = 60000;
    FvSchedFixture_Open(&fixture, 1);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 4000);
    FvSchedFixture_AddWorker(&fixture, "w2", "r1", 4000);
    FvSchedFixture_AddJob(&fixture, BUSY, &queue, busy);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, BUSY), 2);
    FvSchedFixture_ConfirmStarts(&fixture);
    FvSchedFixture_AddJob(&fixture, GANG, &gangs, GANG_OF(2, 3000));
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, GANG), 0);
}

static uint32_t
starts_of(const char *id, const char *document)
{
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("batch", 2);

    queue.objective_ms = 60000;
    FvSchedFixture_AddJob(&fixture, id, &queue, document);
    fixture.now_ms += 60; /* the plan is made anew */
    FvSchedFixture_RunPass(&fixture);
    return FvSchedFixture_CountStarts(&fixture, id);
}

/* The gang waits for 8 s. A task of 1.5 s starts meanwhile; one of 5 s, which
 * may take four times as long while no run time is known, does not. */
static void
test_short_task_runs_meanwhile(void)
{
    open_waiting_gang(TASKS_OF(2, 2500, 8000));
    CU_ASSERT_EQUAL(starts_of(BATCH, TASKS_OF(1, 1500, 5000)), 0);
    CU_ASSERT_EQUAL(starts_of(SHORT, TASKS_OF(1, 1500, 1500)), 1);
    FvSchedFixture_Close(&fixture);
}

/* A task of any length uses the cores beside the gang, whose members need 3 of
 * 4, and no more of them than one such task. */
static void
test_task_runs_beside_the_gang(void)
{
    open_waiting_gang(TASKS_OF(2, 3000, 8000));
    CU_ASSERT_EQUAL(starts_of(BATCH, TASKS_OF(4, 1000, 60000)), 2);
    FvSchedFixture_Close(&fixture);
}

/* Four cores, of which a task holds 3.5 and a member needs 3: one core is left
 * beside the member, of which half a core is free now. */
static void
test_no_member_is_delayed(void)
{
    open_waiting_gang(TASKS_OF(2, 3500, 8000));
    CU_ASSERT_EQUAL(starts_of(BATCH, TASKS_OF(4, 600, 60000)), 0);
    CU_ASSERT_EQUAL(starts_of(SHORT, TASKS_OF(4, 500, 60000)), 2);
    FvSchedFixture_Close(&fixture);
}

static void
end_latest(int64_t number)
{
    const fixture_order_t *order = &fixture.orders[fixture.order_count - 1];

    FvSchedFixture_ConfirmStarts(&fixture);
    FvSchedFixture_ReportEnd(&fixture, order->worker, number, order->task,
                             order->run, Fv_END_DONE);
}

/* Short tasks keep coming, each as long as half of the worker is free. They
 * stop being backfilled 5 s after the gang's reservation at the latest. */
static void
test_backfill_by_time_ends(void)
{
    char id[Fv_JOB_ID_SIZE];
    int64_t begin_ms;
    int64_t last_ms = 0;

    open_waiting_gang(TASKS_OF(2, 2500, 20000));
    begin_ms = fixture.now_ms;
    for (int i = 0; i < 200; i++) {
        snprintf(id, sizeof(id), "%016x", 0x1000 + i);
        if (starts_of(id, TASKS_OF(1, 1500, 100)) > 0) {
            last_ms = fixture.now_ms;
            end_latest(i + 1);
        }
    }
    CU_ASSERT(last_ms - begin_ms > 4000);
    CU_ASSERT(last_ms - begin_ms <= 5000);
    FvSchedFixture_Close(&fixture);
}

/* A gang with little slack is not put at risk at all. */
static void
test_urgent_gang_is_not_delayed(void)
{
    open_waiting_gang(TASKS_OF(2, 2500, 8000));
    fixture.now_ms += 60000; /* its latest start is near; 8 s are overdue */
    CU_ASSERT_EQUAL(starts_of(SHORT, TASKS_OF(1, 1500, 500)), 0);
    FvSchedFixture_Close(&fixture);
}

/* Longest time for which no task of a job starts in a cell whose workers are
 * all free, and reserved for a gang that does not start. */
static int64_t
longest_wait_ms(bool refuse)
{
    fv_cell_queue_t gangs = FvSchedFixture_MakeAdvisedQueue("gangs", 1);
    fv_cell_queue_t batch = FvSchedFixture_MakeQueue("batch", 2);
    char id[Fv_JOB_ID_SIZE];
    int64_t begin_ms;

    gangs.objective_ms = 600000;
    batch.objective_ms = 600000;
    FvSchedFixture_Open(&fixture, 1);
    fixture.refuse_advice = refuse;
    for (int i = 0; i < 10; i++) {
        snprintf(id, sizeof(id), "w%d", i);
        FvSchedFixture_AddWorker(&fixture, id, "r1", 4000);
    }
    FvSchedFixture_AddJob(&fixture, GANG, &gangs, GANG_OF(10, 3000));
    FvSchedFixture_RunPass(&fixture);
    if (!refuse) { /* the tickets expire, and are never renewed */
        FvSchedFixture_AnswerAdvice(&fixture, FvSchedFixture_AllowAll);
        fixture.refuse_advice = true;
        fixture.now_ms += 3000;
    }
    FvSchedFixture_RunPass(&fixture);
    begin_ms = fixture.now_ms;
    FvSchedFixture_AddJob(&fixture, BATCH, &batch, TASKS_OF(30, 4000, 60000));
    while (FvSchedFixture_CountStarts(&fixture, BATCH) < 10 &&
           fixture.now_ms < begin_ms + 60000) {
        fixture.now_ms += 50;
        FvSchedFixture_RunPass(&fixture);
    }
    FvSchedFixture_Close(&fixture);
    return fixture.now_ms - begin_ms;
}

/* The advice service is away: a gang whose tickets have expired has room for
 * all of its members and still does not start. */
static void
test_reservation_without_use_pauses(void)
{
    CU_ASSERT(longest_wait_ms(false) > 1000);
    CU_ASSERT(longest_wait_ms(false) <= 1600);
    CU_ASSERT(longest_wait_ms(true) <= 1600);
}

/* A gang that needs more workers than have its label, among others that were
 * never asked about (review/10). */
static void
test_gang_larger_than_its_kind_reserves_nothing(void)
{
    static const char gang[] =
        "{\"taskSpec\":\"x\",\"steps\":[{\"count\":5,\"cpu\":3000,\"memMb\":"
        "10,"
        "\"estimatedMs\":10000,\"gang\":true,\"requiredLabel\":\"r1\"}]}";
    fv_cell_queue_t gangs = FvSchedFixture_MakeAdvisedQueue("gangs", 1);
    char id[Fv_JOB_ID_SIZE];

    gangs.objective_ms = 600000;
    FvSchedFixture_Open(&fixture, 1);
    for (int i = 0; i < 12; i++) {
        snprintf(id, sizeof(id), "w%d", i);
        FvSchedFixture_AddWorker(&fixture, id, i < 4 ? "r1" : "r2", 4000);
    }
    FvSchedFixture_AddJob(&fixture, GANG, &gangs, gang);
    FvSchedFixture_RunPass(&fixture);
    FvSchedFixture_AnswerAdvice(&fixture, FvSchedFixture_AllowAll);
    CU_ASSERT_EQUAL(starts_of(BATCH, TASKS_OF(48, 1000, 60000)), 48);
    FvSchedFixture_Close(&fixture);
}

/* In a cell that is not full, a gang waits for one long task among idle
 * workers: single tasks wait for less than the 3 s that the platform allows.
 */
static void
test_quiet_cell_is_not_withheld(void)
{
    fv_cell_queue_t gangs = FvSchedFixture_MakeQueue("gangs", 1);
    fv_cell_queue_t busy = FvSchedFixture_MakeQueue("busy", 1);
    char id[Fv_JOB_ID_SIZE];
    uint32_t starts;

    gangs.objective_ms = 600000;
    FvSchedFixture_Open(&fixture, 1);
    for (int i = 0; i < 4; i++) {
        snprintf(id, sizeof(id), "w%d", i);
        FvSchedFixture_AddWorker(&fixture, id, "r1", 4000);
    }
    FvSchedFixture_AddJob(&fixture, BUSY, &busy, TASKS_OF(1, 2000, 60000));
    FvSchedFixture_RunPass(&fixture);
    FvSchedFixture_ConfirmStarts(&fixture);
    FvSchedFixture_AddJob(&fixture, GANG, &gangs, GANG_OF(4, 3000));
    FvSchedFixture_RunPass(&fixture);
    starts = starts_of(BATCH, TASKS_OF(1, 4000, 60000));
    for (int i = 0; i < 16 && starts == 0; i++) {
        fixture.now_ms += 100;
        FvSchedFixture_RunPass(&fixture);
        starts = FvSchedFixture_CountStarts(&fixture, BATCH);
    }
    CU_ASSERT_EQUAL(starts, 1);
    FvSchedFixture_Close(&fixture);
}

/* A gang that can no longer meet its objective gives its workers back. */
static void
test_late_gang_reserves_nothing(void)
{
    fv_sched_stage_t *stage;

    open_waiting_gang(TASKS_OF(2, 2500, 600000));
    stage = &FvSched_FindJob(&fixture.sched, GANG)->occurrences[0]->stages[0];
    CU_ASSERT_EQUAL(starts_of(SHORT, TASKS_OF(2, 1500, 60000)), 0);
    fixture.now_ms = stage->late_after_ms + 1;
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, SHORT), 2);
    FvSchedFixture_Close(&fixture);
}

/* A reservation that was withheld as of no use is made again after 3 s. */
static void
test_reservation_returns_after_the_pause(void)
{
    fv_sched_stage_t *stage;
    int64_t paused_ms = 0;
    int64_t again_ms = 0;

    open_waiting_gang(TASKS_OF(2, 1500, 600000)); /* less than half in use */
    stage = &FvSched_FindJob(&fixture.sched, GANG)->occurrences[0]->stages[0];
    for (int i = 0; i < 120 && again_ms == 0; i++) {
        bool reserved;

        fixture.now_ms += 50;
        FvSchedFixture_RunPass(&fixture);
        reserved = fixture.sched.workers->reserved_for == stage;
        if (!reserved && paused_ms == 0) {
            paused_ms = fixture.now_ms;
        }
        if (reserved && paused_ms != 0) {
            again_ms = fixture.now_ms;
        }
    }
    CU_ASSERT(paused_ms != 0);
    CU_ASSERT_EQUAL(again_ms - paused_ms, 3000);
    FvSchedFixture_Close(&fixture);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a crest: reserved workers idle beside short tasks",
         test_short_task_runs_meanwhile},
        {"a crest: what a gang leaves of its workers idles",
         test_task_runs_beside_the_gang},
        {"backfill delays a member of the gang", test_no_member_is_delayed},
        {"short tasks without end keep a gang waiting",
         test_backfill_by_time_ends},
        {"a gang with little slack is delayed",
         test_urgent_gang_is_not_delayed},
        {"a gang without tickets keeps free workers from others",
         test_reservation_without_use_pauses},
        {"a gang larger than the workers of its kind reserves them",
         test_gang_larger_than_its_kind_reserves_nothing},
        {"a gang that waits for one long task keeps a quiet cell idle",
         test_quiet_cell_is_not_withheld},
        {"a gang that is late keeps its workers from others",
         test_late_gang_reserves_nothing},
        {"a gang loses its reservation for good",
         test_reservation_returns_after_the_pause},
    };

    return Fv_RUN_SUITE("sched_backfill", cases);
}
