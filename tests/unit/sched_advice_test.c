/*
 * Tickets of the advice service: a stage with waiting tasks gets tickets for
 * workers on which it can start them, and no others.
 */

#include "sched-fixture.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LASTING "00000000000000aa"
#define OTHER "00000000000000bb"
#define BATCH "00000000000000cc"

#define WORKER_CPU_MILLIS 4000
#define PASS_INTERVAL_MS 100
#define ADVICE_CALL_MS 500

/* The latest start of a lasting task in a cell with free capacity. */
#define START_BOUND_MS 3000

static const char twelve_lasting_tasks[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":12,\"cpu\":1000,\"memMb\":10,"
    "\"estimatedMs\":300,\"longRunning\":true,\"antiAffinity\":1}]}";
static const char eight_filling_tasks[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":8,\"cpu\":4000,\"memMb\":10,"
    "\"estimatedMs\":300,\"longRunning\":true}]}";
static const char six_lasting_tasks[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":6,\"cpu\":4000,\"memMb\":10,"
    "\"estimatedMs\":300,\"longRunning\":true}]}";
static const char one_task[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":4000,\"memMb\":10,"
    "\"estimatedMs\":9000}]}";

static const char rack_gang[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":8,\"cpu\":2000,\"memMb\":10,"
    "\"estimatedMs\":6000,\"gang\":true,\"sameRack\":true}]}";
static const char wide_rack_gang[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":8,\"cpu\":4000,\"memMb\":10,"
    "\"estimatedMs\":6000,\"gang\":true,\"sameRack\":true}]}";
static const char rack_tasks[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":8,\"cpu\":2000,\"memMb\":10,"
    "\"estimatedMs\":6000,\"sameRack\":true}]}";

static void
add_workers(sched_fixture_t *fixture, uint32_t first, uint32_t count)
{
    char id[Fv_NAME_SIZE];

    for (uint32_t i = first; i < first + count; i++) {
        snprintf(id, sizeof(id), "w%u", i);
        FvSchedFixture_AddWorker(fixture, id, "r1", WORKER_CPU_MILLIS);
    }
}

static unsigned long
worker_number(const char *worker)
{
    return strtoul(worker + 1, NULL, 10);
}

static bool
allows_every_third(const char *worker)
{
    return worker_number(worker) % 3 == 0;
}

static bool
allows_first_eight(const char *worker)
{
    return worker_number(worker) < 8;
}

static bool
allows_first_fourteen(const char *worker)
{
    return worker_number(worker) < 14;
}

static bool
allows_none(const char *worker)
{
    (void)worker;
    return false;
}

/* Runs passes for a time; calls for advice are answered at the next pass. */
static void
run_for(sched_fixture_t *fixture, int64_t duration_ms,
        bool (*allows)(const char *worker))
{
    int64_t end_ms = fixture->now_ms + duration_ms;

    while (fixture->now_ms < end_ms) {
        FvSchedFixture_RunPass(fixture);
        FvSchedFixture_ConfirmStarts(fixture);
        fixture->now_ms += PASS_INTERVAL_MS;
        FvSchedFixture_AnswerAdvice(fixture, allows);
    }
    FvSchedFixture_RunPass(fixture);
    FvSchedFixture_ConfirmStarts(fixture);
}

/* The same with calls that take as long as on the platform. */
static void
run_for_slow_advice(sched_fixture_t *fixture, int64_t duration_ms,
                    bool (*allows)(const char *worker))
{
    int64_t end_ms = fixture->now_ms + duration_ms;
    int64_t answer_ms = 0;

    for (; fixture->now_ms < end_ms; fixture->now_ms += PASS_INTERVAL_MS) {
        FvSchedFixture_RunPass(fixture);
        FvSchedFixture_ConfirmStarts(fixture);
        if (fixture->advised_stage != NULL && answer_ms == 0) {
            answer_ms = fixture->now_ms + ADVICE_CALL_MS;
        }
        if (answer_ms != 0 && fixture->now_ms >= answer_ms) {
            FvSchedFixture_AnswerAdvice(fixture, allows);
            answer_ms = 0;
        }
    }
}

/* A lasting step runs one task on each worker, and the first answers allow
 * fewer workers than it has tasks. */
static void
test_wide_lasting_step_asks_about_more_workers(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeAdvisedQueue("lasting", 1);

    FvSchedFixture_Open(&fixture, 1);
    add_workers(&fixture, 0, 60);
    FvSchedFixture_AddJob(&fixture, LASTING, &queue, twelve_lasting_tasks);
    run_for(&fixture, START_BOUND_MS, allows_every_third);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, LASTING), 12);
    FvSchedFixture_Close(&fixture);
}

/* The allowed workers are filled by the lasting tasks of another job, which
 * never end. */
static void
test_workers_filled_by_lasting_tasks_do_not_count(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t others = FvSchedFixture_MakeQueue("others", 0);
    fv_cell_queue_t queue = FvSchedFixture_MakeAdvisedQueue("lasting", 1);
    fv_sched_job_t *job;
    fv_sched_stage_t *stage;

    FvSchedFixture_Open(&fixture, 1);
    add_workers(&fixture, 0, 8);
    job = FvSchedFixture_AddJob(&fixture, LASTING, &queue, six_lasting_tasks);
    stage = &job->occurrences[0]->stages[0];
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_TRUE(FvSchedFixture_AnswerAdvice(&fixture, allows_first_eight));
    CU_ASSERT_EQUAL(stage->verdict_count, 8);
    stage->next_place_ms = fixture.now_ms + PASS_INTERVAL_MS;
    FvSchedFixture_AddJob(&fixture, OTHER, &others, eight_filling_tasks);
    FvSchedFixture_RunPass(&fixture);
    FvSchedFixture_ConfirmStarts(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, OTHER), 8);
    add_workers(&fixture, 8, 16);
    run_for(&fixture, START_BOUND_MS, allows_first_fourteen);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, LASTING), 6);
    FvSchedFixture_Close(&fixture);
}

/* The tickets expire while the only allowed worker is busy. */
static void
test_expired_ticket_is_renewed_when_worker_is_free(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t others = FvSchedFixture_MakeQueue("others", 0);
    fv_cell_queue_t queue = FvSchedFixture_MakeAdvisedQueue("batch", 1);
    fv_sched_job_t *job;
    uint32_t calls;

    FvSchedFixture_Open(&fixture, 1);
    add_workers(&fixture, 0, 1);
    job = FvSchedFixture_AddJob(&fixture, BATCH, &queue, one_task);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_TRUE(
        FvSchedFixture_AnswerAdvice(&fixture, FvSchedFixture_AllowAll));
    CU_ASSERT_EQUAL(job->occurrences[0]->stages[0].verdict_count, 1);
    FvSchedFixture_AddJob(&fixture, OTHER, &others, one_task);
    run_for(&fixture, 4000, FvSchedFixture_AllowAll);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, OTHER), 1);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, BATCH), 0);
    calls = fixture.advice_request_count;
    FvSchedFixture_ReportEnd(&fixture, "w0", 1, OTHER ".0.0.0", 1,
                             Fv_END_DONE);
    run_for(&fixture, 500, FvSchedFixture_AllowAll);
    CU_ASSERT_EQUAL(fixture.advice_request_count, calls + 1);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, BATCH), 1);
    FvSchedFixture_Close(&fixture);
}

/* All allowed workers run their task of the step when workers join. */
static void
test_joined_worker_gets_waiting_task(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeAdvisedQueue("lasting", 1);

    FvSchedFixture_Open(&fixture, 1);
    add_workers(&fixture, 0, 8);
    FvSchedFixture_AddJob(&fixture, LASTING, &queue, twelve_lasting_tasks);
    run_for(&fixture, START_BOUND_MS, FvSchedFixture_AllowAll);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, LASTING), 8);
    add_workers(&fixture, 8, 4);
    run_for(&fixture, START_BOUND_MS, FvSchedFixture_AllowAll);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, LASTING), 12);
    FvSchedFixture_Close(&fixture);
}

/* Each allowed worker runs its task of the step, and the service refused all
 * others: no ticket could be used. */
static void
test_unusable_tickets_are_not_renewed(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeAdvisedQueue("lasting", 1);
    uint32_t calls;

    FvSchedFixture_Open(&fixture, 1);
    add_workers(&fixture, 0, 24);
    FvSchedFixture_AddJob(&fixture, LASTING, &queue, twelve_lasting_tasks);
    run_for(&fixture, START_BOUND_MS, allows_every_third);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, LASTING), 8);
    calls = fixture.advice_request_count;
    run_for(&fixture, 10000, allows_every_third);
    CU_ASSERT_EQUAL(fixture.advice_request_count, calls);
    FvSchedFixture_Close(&fixture);
}

/* A worker is back from a quarantine and may get one task as a probe; the
 * stage needs more. */
static void
test_probed_worker_counts_once(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeAdvisedQueue("batch", 1);
    static const char four_tasks[] =
        "{\"taskSpec\":\"x\",\"steps\":[{\"count\":4,\"cpu\":1000,"
        "\"memMb\":10,\"estimatedMs\":9000}]}";
    fv_sched_worker_t *probed;

    FvSchedFixture_Open(&fixture, 1);
    probed = FvSchedFixture_AddWorker(&fixture, "w0", "r1", WORKER_CPU_MILLIS);
    probed->quarantined_until_ms = fixture.now_ms;
    FvSchedFixture_AddJob(&fixture, BATCH, &queue, four_tasks);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_TRUE(
        FvSchedFixture_AnswerAdvice(&fixture, FvSchedFixture_AllowAll));
    add_workers(&fixture, 1, 1);
    /* The probe must not be taken for enough capacity for all four tasks. */
    run_for(&fixture, START_BOUND_MS, FvSchedFixture_AllowAll);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, BATCH), 4);
    CU_ASSERT_EQUAL(probed->task_count, 1);
    FvSchedFixture_Close(&fixture);
}

/* No worker is allowed: each is asked about once. */
static void
test_refused_workers_are_asked_about_once(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeAdvisedQueue("lasting", 1);

    FvSchedFixture_Open(&fixture, 1);
    add_workers(&fixture, 0, 24);
    FvSchedFixture_AddJob(&fixture, LASTING, &queue, twelve_lasting_tasks);
    run_for(&fixture, 10000, allows_none);
    CU_ASSERT_EQUAL(fixture.advice_worker_count, 24);
    FvSchedFixture_Close(&fixture);
}

static void
add_rack(sched_fixture_t *fixture, uint32_t rack, uint32_t workers)
{
    char id[Fv_NAME_SIZE];
    char name[Fv_NAME_SIZE];

    snprintf(name, sizeof(name), "r%u", rack);
    for (uint32_t i = 0; i < workers; i++) {
        snprintf(id, sizeof(id), "w%u", rack * 100 + i);
        FvSchedFixture_AddWorker(fixture, id, name, WORKER_CPU_MILLIS);
    }
}

static uint32_t
racks_of_tasks(const fv_sched_stage_t *stage)
{
    char racks[16][Fv_NAME_SIZE];
    uint32_t count = 0;

    for (int32_t t = 0; t < stage->step->task_count; t++) {
        const fv_sched_worker_t *worker = stage->tasks[t].worker;
        uint32_t r = 0;

        while (worker != NULL && r < count &&
               strcmp(racks[r], worker->entry.rack) != 0) {
            r++;
        }
        if (worker != NULL && r == count) {
            FvText_Copy(racks[count++], Fv_NAME_SIZE, worker->entry.rack);
        }
    }
    return count;
}

/* The verdicts on all workers are known, and their tickets expire while other
 * tasks fill the workers. The same for a gang and for single tasks. */
static void
test_tickets_for_one_rack_are_renewed(void)
{
    static sched_fixture_t fixture;
    static const char *const documents[] = {rack_gang, rack_tasks};
    fv_cell_queue_t queue = FvSchedFixture_MakeAdvisedQueue("batch", 1);

    for (uint32_t d = 0; d < 2; d++) {
        FvSchedFixture_Open(&fixture, 1);
        add_rack(&fixture, 0, 6);
        FvSchedFixture_AddJob(&fixture, BATCH, &queue, documents[d]);
        FvSchedFixture_RunPass(&fixture);
        CU_ASSERT_TRUE(
            FvSchedFixture_AnswerAdvice(&fixture, FvSchedFixture_AllowAll));
        fixture.now_ms += queue.ticket_valid_ms;
        run_for(&fixture, START_BOUND_MS, FvSchedFixture_AllowAll);
        CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, BATCH), 8);
        FvSchedFixture_Close(&fixture);
    }
}

/* A gang of eight with room for one task on each rack: the tickets for the
 * first racks expire before those for the last ones are there. */
static void
test_gang_wider_than_a_rack(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeAdvisedQueue("batch", 1);

    FvSchedFixture_Open(&fixture, 1);
    for (uint32_t rack = 0; rack < 10; rack++) {
        add_rack(&fixture, rack, 1);
    }
    FvSchedFixture_AddJob(&fixture, BATCH, &queue, wide_rack_gang);
    run_for_slow_advice(&fixture, START_BOUND_MS, FvSchedFixture_AllowAll);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, BATCH), 8);
    FvSchedFixture_Close(&fixture);
}

static bool
allows_every_twelfth(const char *worker)
{
    return worker_number(worker) % 12 == 0;
}

/* Each rack has room for the whole gang, and the service allows one of its
 * workers or none: tickets of one rack after the other would not be enough. */
static void
test_gang_without_a_rack(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeAdvisedQueue("batch", 1);

    FvSchedFixture_Open(&fixture, 1);
    for (uint32_t rack = 0; rack < 40; rack++) {
        add_rack(&fixture, rack, 6);
    }
    FvSchedFixture_AddJob(&fixture, BATCH, &queue, rack_gang);
    run_for_slow_advice(&fixture, START_BOUND_MS, allows_every_twelfth);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, BATCH), 8);
    FvSchedFixture_Close(&fixture);
}

/* Each of many racks has room for the whole gang, and a call names a few of
 * the workers. */
static void
test_gang_runs_on_one_rack(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeAdvisedQueue("batch", 1);
    fv_sched_job_t *job;

    FvSchedFixture_Open(&fixture, 1);
    for (uint32_t rack = 0; rack < 40; rack++) {
        add_rack(&fixture, rack, 6);
    }
    job = FvSchedFixture_AddJob(&fixture, BATCH, &queue, rack_gang);
    run_for_slow_advice(&fixture, START_BOUND_MS, FvSchedFixture_AllowAll);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, BATCH), 8);
    CU_ASSERT_EQUAL(racks_of_tasks(&job->occurrences[0]->stages[0]), 1);
    FvSchedFixture_Close(&fixture);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a lasting step waits because its running tasks count as capacity",
         test_wide_lasting_step_asks_about_more_workers},
        {"a lasting step waits for workers that never become free",
         test_workers_filled_by_lasting_tasks_do_not_count},
        {"a task waits because its ticket expired before the worker was free",
         test_expired_ticket_is_renewed_when_worker_is_free},
        {"a worker that joins later gets no waiting task",
         test_joined_worker_gets_waiting_task},
        {"tickets are renewed that no task can use",
         test_unusable_tickets_are_not_renewed},
        {"a probed worker counts as capacity for several tasks",
         test_probed_worker_counts_once},
        {"a step for one rack waits because its tickets have expired",
         test_tickets_for_one_rack_are_renewed},
        {"a gang for one rack waits because no rack has room for all of it",
         test_gang_wider_than_a_rack},
        {"a gang for one rack waits because no rack has enough allowed "
         "workers",
         test_gang_without_a_rack},
        {"a gang for one rack is spread although one has room for all of it",
         test_gang_runs_on_one_rack},
        {"a worker that was refused is asked about again",
         test_refused_workers_are_asked_about_once},
    };

    return Fv_RUN_SUITE("sched_advice", cases);
}
