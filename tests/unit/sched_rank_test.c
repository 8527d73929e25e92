/*
 * Order of the waiting stages under the loads that src/sched-rank.c names.
 */

#include "sched-fixture.h"

#include <string.h>

#define FIRST "00000000000000a1"
#define SECOND "00000000000000a2"
#define THIRD "00000000000000a3"

/* With the fixture's queues (1,000 ms and twice the critical path) each meets
 * its objective within 3 s and has a value for 9 s, or twice that before a run
 * time is known. */
static const char small[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":10,"
    "\"estimatedMs\":1000}]}";
static const char large[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":8,\"cpu\":1000,\"memMb\":10,"
    "\"estimatedMs\":1000}]}";

static sched_fixture_t fixture;

static fv_rank_t
on_time(int32_t priority, int64_t target_start_ms)
{
    return (fv_rank_t){.group = Fv_RANK_ON_TIME,
                       .priority = priority,
                       .target_start_ms = target_start_ms};
}

static bool
comes_first(fv_rank_t a, fv_rank_t b)
{
    return FvRank_Compare(&a, &b) < 0 && FvRank_Compare(&b, &a) > 0;
}

/* A burst of urgent jobs and a burst of large ones: the queue decides, then
 * the latest start. */
static void
test_urgent_queue_comes_first(void)
{
    CU_ASSERT(comes_first(on_time(0, 9000), on_time(1, 10)));
    CU_ASSERT(comes_first(on_time(1, 10), on_time(1, 9000)));
}

/* A crest above capacity leaves late jobs of every queue. */
static void
test_value_comes_first(void)
{
    fv_rank_t late = {.group = Fv_RANK_LATE, .priority = 0};
    fv_rank_t excess = {.group = Fv_RANK_EXCESS, .priority = 0};
    fv_rank_t worthless = {.group = Fv_RANK_WORTHLESS, .priority = 0};

    CU_ASSERT(comes_first(on_time(2, 9000), late));
    CU_ASSERT(comes_first(late, excess));
    CU_ASSERT(comes_first(excess, worthless));
}

/* One customer's flood fills a queue. */
static void
test_customer_above_its_share_waits(void)
{
    fv_rank_t above = on_time(1, 10);

    above.above_share = true;
    CU_ASSERT(comes_first(on_time(1, 9000), above));
    CU_ASSERT(comes_first(above, on_time(2, 10)));
}

static fv_rank_group_t
group_after(int64_t wait_ms, const char *document)
{
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("batch", 1);
    fv_sched_stage_t *stage;
    fv_rank_t rank;

    FvSchedFixture_Open(&fixture, 1);
    stage = &FvSchedFixture_AddJob(&fixture, FIRST, &queue, document)
                 ->occurrences[0]
                 ->stages[0];
    rank = FvSched_RankStage(&fixture.sched, stage, fixture.now_ms + wait_ms);
    FvSchedFixture_Close(&fixture);
    return rank.group;
}

/* Jobs that can never be done wait for ever. They are late once their start
 * would miss the objective, and worthless beyond three times the objective. */
static void
test_jobs_lose_their_value(void)
{
    static const char lasting[] =
        "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":"
        "10,\"longRunning\":true}]}";

    CU_ASSERT_EQUAL(group_after(1000, small), Fv_RANK_ON_TIME);
    CU_ASSERT_EQUAL(group_after(3000, small), Fv_RANK_ON_TIME);
    CU_ASSERT_EQUAL(group_after(3001, small), Fv_RANK_LATE);
    CU_ASSERT_EQUAL(group_after(13000, small), Fv_RANK_LATE);
    CU_ASSERT_EQUAL(group_after(13001, small), Fv_RANK_WORTHLESS);
    CU_ASSERT_EQUAL(group_after(600000, lasting), Fv_RANK_ON_TIME);
}

/* After a crest both jobs are late and one worker is free: the job with less
 * work left is completed first, although it came later. */
static void
test_late_job_with_less_work_starts_first(void)
{
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("batch", 1);

    FvSchedFixture_Open(&fixture, 1);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
    FvSchedFixture_AddJob(&fixture, FIRST, &queue, large);
    fixture.now_ms += 1000;
    FvSchedFixture_AddJob(&fixture, SECOND, &queue, small);
    fixture.now_ms += 5000;
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, SECOND), 1);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, FIRST), 0);
    FvSchedFixture_Close(&fixture);
}

/* Work that has lost its value still runs when there is room, and only then.
 */
static void
test_worthless_job_runs_last(void)
{
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("batch", 1);

    FvSchedFixture_Open(&fixture, 1);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 3000);
    FvSchedFixture_AddJob(&fixture, FIRST, &queue, small);
    fixture.now_ms += 60000;
    FvSchedFixture_AddJob(&fixture, SECOND, &queue, small);
    FvSchedFixture_AddJob(&fixture, THIRD, &queue, small);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, FIRST), 1);
    CU_ASSERT_EQUAL(fixture.order_count, 3);
    CU_ASSERT_EQUAL(strncmp(fixture.orders[2].task, FIRST, strlen(FIRST)), 0);
    FvSchedFixture_Close(&fixture);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a burst of large jobs delays urgent ones",
         test_urgent_queue_comes_first},
        {"a late job delays one that can still meet its objective",
         test_value_comes_first},
        {"a customer's flood delays the jobs of others",
         test_customer_above_its_share_waits},
        {"jobs that can never be done keep their rank",
         test_jobs_lose_their_value},
        {"a large late job delays several small ones",
         test_late_job_with_less_work_starts_first},
        {"a job without value never runs, or delays one with value",
         test_worthless_job_runs_last},
    };

    return Fv_RUN_SUITE("sched_rank", cases);
}
