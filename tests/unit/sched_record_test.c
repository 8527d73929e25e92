/*
 * Scheduler records: what one leader stores and the next one loads.
 */

#include "sched-fixture.h"

#include <stdlib.h>
#include <string.h>

#define JOB_A "00000000000000aa"

static const char one_task[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":1000,"
    "\"memMb\":10,\"estimatedMs\":1000}]}";

/* Loads the next leader's scheduler from the first one's records. */
static fv_sched_job_t *
load_next_leader(const fv_sched_job_t *job, sched_fixture_t *next)
{
    fv_buffer_t record = {0};
    fv_buffer_t progress = {0};
    fv_sched_job_t *loaded;

    CU_ASSERT_TRUE(FvSchedRecord_EncodeJob(job, &record));
    CU_ASSERT_TRUE(FvSchedRecord_EncodeProgress(job, SIZE_MAX, &progress));
    FvSchedFixture_Open(next, 2);
    FvSchedFixture_AddWorker(next, "w1", "r1", 4000);
    loaded = FvSchedRecord_LoadJob(&next->sched, job->id, &record,
                                   next->now_ms, next->now_ms);
    CU_ASSERT_PTR_NOT_NULL_FATAL(loaded);
    if (loaded == NULL) {
        abort();
    }
    loaded->durable = true;
    CU_ASSERT_TRUE(FvSchedRecord_LoadProgress(loaded, &progress));
    FvBuffer_Clear(&record);
    FvBuffer_Clear(&progress);
    return loaded;
}

static void
test_failure_is_counted_once(void)
{
    static sched_fixture_t first;
    static sched_fixture_t second;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_sched_job_t *job;

    FvSchedFixture_Open(&first, 1);
    FvSchedFixture_AddWorker(&first, "w1", "r1", 4000);
    job = FvSchedFixture_AddJob(&first, JOB_A, &queue, one_task);
    FvSchedFixture_RunPass(&first);
    FvSchedFixture_ConfirmStarts(&first);
    FvSchedFixture_ReportEnd(&first, "w1", 1, JOB_A ".0.0.0", 1,
                             Fv_END_FAILED);
    CU_ASSERT_EQUAL(job->occurrences[0]->stages[0].tasks[0].failures, 1);

    /* The worker reports the end again: it was recorded, but the worker has
     * not been told to drop it. */
    job = load_next_leader(job, &second);
    FvSchedFixture_ReportEnd(&second, "w1", 1, JOB_A ".0.0.0", 1,
                             Fv_END_FAILED);
    CU_ASSERT_EQUAL(job->occurrences[0]->stages[0].tasks[0].failures, 1);
    CU_ASSERT_EQUAL(job->outcome, Fv_SCHED_JOB_OPEN);
    FvSchedFixture_Close(&first);
    FvSchedFixture_Close(&second);
}

/* Earlier builds write and read records of jobs without a customer. */
static void
test_customer_outlives_the_leader(void)
{
    static sched_fixture_t first;
    static sched_fixture_t second;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_sched_job_t *job;
    fv_buffer_t record = {0};

    FvSchedFixture_Open(&first, 1);
    job = FvSchedFixture_AddJob(&first, JOB_A, &queue, one_task);
    CU_ASSERT_TRUE(FvSchedRecord_EncodeJob(job, &record));
    CU_ASSERT_EQUAL(record.data[0], 0x9d); /* an array of 13 fields */
    CU_ASSERT_STRING_EQUAL(load_next_leader(job, &second)->customer, "");
    FvSchedFixture_Close(&second);
    FvText_Copy(job->customer, sizeof(job->customer), "east side");
    CU_ASSERT_STRING_EQUAL(load_next_leader(job, &second)->customer,
                           "east side");
    FvSchedFixture_Close(&second);
    FvSchedFixture_Close(&first);
    FvBuffer_Clear(&record);
}

static void
test_done_task_is_not_started_again(void)
{
    static sched_fixture_t first;
    static sched_fixture_t second;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_sched_job_t *job;

    FvSchedFixture_Open(&first, 1);
    FvSchedFixture_AddWorker(&first, "w1", "r1", 4000);
    job = FvSchedFixture_AddJob(
        &first, JOB_A, &queue,
        "{\"taskSpec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":1000,"
        "\"memMb\":10,\"estimatedMs\":1000}]}");
    FvSchedFixture_RunPass(&first);
    FvSchedFixture_ConfirmStarts(&first);
    FvSchedFixture_ReportEnd(&first, "w1", 1, JOB_A ".0.0.0", 1, Fv_END_DONE);

    job = load_next_leader(job, &second);
    FvSched_ReleaseStages(&second.sched, job, second.now_ms, second.now_ms);
    FvSchedFixture_RunPass(&second);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&second, JOB_A ".0.0.0"), 0);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&second, JOB_A ".0.0.1"), 1);
    FvSchedFixture_Close(&first);
    FvSchedFixture_Close(&second);
}

/* The platform sets no length for the value that a run saved. */
static void
test_long_checkpoint_is_kept(void)
{
    static sched_fixture_t first;
    static sched_fixture_t second;
    static char saved[4096];
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_sched_job_t *job;

    memset(saved, 's', sizeof(saved) - 1);
    FvSchedFixture_Open(&first, 1);
    job = FvSchedFixture_AddJob(&first, JOB_A, &queue, one_task);
    job->occurrences[0]->stages[0].tasks[0].checkpoint = strdup(saved);
    job = load_next_leader(job, &second);
    CU_ASSERT_PTR_NOT_NULL_FATAL(
        job->occurrences[0]->stages[0].tasks[0].checkpoint);
    CU_ASSERT_STRING_EQUAL(job->occurrences[0]->stages[0].tasks[0].checkpoint,
                           saved);
    FvSchedFixture_Close(&first);
    FvSchedFixture_Close(&second);
}

#define VALUE_MAX_BYTES (1024 * 1024)

static fv_sched_job_t *
add_largest_job(sched_fixture_t *fixture)
{
    static const char first[] = "{\"taskSpec\":\"x\",\"steps\":[";
    static const char step[] = "{\"count\":4096,\"cpu\":1},";
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    char document[1024];
    size_t length = sizeof(first) - 1;

    memcpy(document, first, sizeof(first));
    for (int i = 0; i < 16; i++) {
        memcpy(document + length, step, sizeof(step));
        length += sizeof(step) - 1;
    }
    memcpy(document + length - 1, "]}", 3); /* in place of the last comma */
    FvSchedFixture_Open(fixture, 1);
    return FvSchedFixture_AddJob(fixture, JOB_A, &queue, document);
}

/* Returns how many of the tasks that should be done are not after loading. */
static uint32_t
count_lost_tasks(const fv_sched_job_t *job, const fv_buffer_t *progress)
{
    static sched_fixture_t next;
    fv_sched_job_t *loaded = add_largest_job(&next);
    uint32_t lost = 0;

    CU_ASSERT_TRUE(FvSchedRecord_LoadProgress(loaded, progress));
    for (uint32_t s = 0; s < job->spec.step_count; s++) {
        for (int32_t t = 0; t < job->spec.steps[s].task_count; t++) {
            lost += job->occurrences[0]->stages[s].tasks[t].state !=
                    loaded->occurrences[0]->stages[s].tasks[t].state;
        }
    }
    FvSchedFixture_Close(&next);
    return lost;
}

/* Every second task of the largest job is done; the others have failed or
 * saved checkpoints that no value of the store holds. */
static void
test_largest_record_fits_into_store(void)
{
    static sched_fixture_t fixture;
    fv_sched_job_t *job = add_largest_job(&fixture);
    fv_buffer_t progress = {0};

    CU_ASSERT_TRUE(FvSchedRecord_ProgressMaxBytes(&job->spec) <=
                   VALUE_MAX_BYTES);
    for (int round = 0; round < 3; round++) {
        for (uint32_t s = 0; s < job->spec.step_count; s++) {
            for (int32_t t = 0; t < job->spec.steps[s].task_count; t++) {
                fv_sched_task_t *task =
                    &job->occurrences[0]->stages[s].tasks[t];

                if (t % 2 == 0) {
                    task->state = Fv_SCHED_DONE;
                }
                else if (round == 1) {
                    task->checkpoint = strdup("0123456789012345678901234567");
                }
                else if (round == 2) {
                    task->failures = 8;
                    task->failed_runs[0] = INT32_MAX;
                }
            }
        }
        CU_ASSERT_TRUE(
            FvSchedRecord_EncodeProgress(job, VALUE_MAX_BYTES, &progress));
        CU_ASSERT_TRUE(progress.length <= VALUE_MAX_BYTES);
        CU_ASSERT_EQUAL(count_lost_tasks(job, &progress), 0);
        FvBuffer_Clear(&progress);
    }
    FvSchedFixture_Close(&fixture);
}

static void
test_end_is_acknowledged_after_its_record(void)
{
    fv_sched_worker_t worker = {.last_end_applied = 3};

    /* Ends 1 to 3 were queued for the store; 4 and 5 arrived afterwards. */
    worker.last_end_applied = 5;
    CU_ASSERT_TRUE(FvSched_EndsRecorded(&worker, 3));
    CU_ASSERT_EQUAL(worker.last_end_recorded, 3);
    CU_ASSERT_FALSE(FvSched_EndsRecorded(&worker, 5));
    CU_ASSERT_EQUAL(worker.last_end_recorded, 5);
}

static void
test_failures_count_in_any_order(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_sched_job_t *job;

    /* A new leader receives the report of run 2 before that of run 1. */
    FvSchedFixture_Open(&fixture, 2);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 4000);
    FvSchedFixture_AddWorker(&fixture, "w2", "r1", 4000);
    job = FvSchedFixture_AddJob(&fixture, JOB_A, &queue, one_task);
    FvSchedFixture_ReportEnd(&fixture, "w2", 1, JOB_A ".0.0.0", 2,
                             Fv_END_FAILED);
    FvSchedFixture_ReportEnd(&fixture, "w1", 1, JOB_A ".0.0.0", 1,
                             Fv_END_FAILED);
    CU_ASSERT_EQUAL(job->outcome, Fv_SCHED_JOB_FAILED);
    FvSchedFixture_Close(&fixture);
}

/* Loads progress records of two rows: one that no leader writes, and a valid
 * one. */
static void
test_malformed_row_is_skipped(void)
{
    static const char *const malformed_rows[] = {
        /* a failure count of -1 */
        "\x97\x00\x00\x00\x00\xff\x98\x00\x00\x00\x00\x00\x00\x00\x00\xa0",
        /* a step index of 100 */
        "\x97\x00\x64\x00\x01\x00\x98\x00\x00\x00\x00\x00\x00\x00\x00\xa0",
        /* a string in place of the done flag */
        "\x97\x00\x00\x00\xa0\x00\x98\x00\x00\x00\x00\x00\x00\x00\x00\xa0",
    };
    static const char valid_row[] =
        "\x97\x00\x00\x00\x01\x00\x98\x00\x00\x00\x00\x00\x00\x00\x00\xa0";
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);

    for (size_t i = 0; i < sizeof(malformed_rows) / sizeof(malformed_rows[0]);
         i++) {
        static sched_fixture_t fixture;
        fv_buffer_t record = {0};
        fv_sched_job_t *job;

        FvSchedFixture_Open(&fixture, 2);
        job = FvSchedFixture_AddJob(&fixture, JOB_A, &queue, one_task);
        FvBuffer_Append(&record, "\x92", 1);
        FvBuffer_Append(&record, malformed_rows[i], sizeof(valid_row) - 1);
        FvBuffer_Append(&record, valid_row, sizeof(valid_row) - 1);
        CU_ASSERT_FALSE(FvSchedRecord_LoadProgress(job, &record));
        CU_ASSERT_EQUAL(job->occurrences[0]->stages[0].tasks[0].failures, 0);
        CU_ASSERT_EQUAL(job->occurrences[0]->stages[0].done, 1);
        FvBuffer_Clear(&record);
        FvSchedFixture_Close(&fixture);
    }
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a failed run that is reported to two leaders counts twice",
         test_failure_is_counted_once},
        {"a job loses its customer with its leader, or is unreadable without "
         "one",
         test_customer_outlives_the_leader},
        {"a failure reported after that of a later run is not counted",
         test_failures_count_in_any_order},
        {"a task that is recorded as done is started again",
         test_done_task_is_not_started_again},
        {"a long checkpoint is lost with its leader",
         test_long_checkpoint_is_kept},
        {"a job's progress outgrows a value of the store",
         test_largest_record_fits_into_store},
        {"an end that arrived during a write is acknowledged too early",
         test_end_is_acknowledged_after_its_record},
        {"a malformed progress row is applied or hides a valid one",
         test_malformed_row_is_skipped},
    };

    return Fv_RUN_SUITE("sched_record", cases);
}
