/*
 * Occurrences of repeated jobs: what the leader keeps in memory, and what it
 * and the next leader know of those that are done.
 */

#include "sched-fixture.h"

#include <malloc.h>
#include <stdlib.h>

#define JOB "00000000000000aa"
#define INTERVAL_MS 60000

/* Every minute of six weeks. */
#define SIX_WEEKS 60480

/* Tasks of a job that each pass looks at, as long as no step has more. */
#define WAITING_TASKS_MAX 256

/* Large jobs that come at once. */
#define BURST_JOBS 14

/* A quarter of the memory that a host may use at the design size. */
#define JOB_MEMORY_MAX_BYTES (128 * 1024 * 1024 / 4)

static fv_sched_job_t *
add_repeated_job(sched_fixture_t *fixture, const char *id, int repeats,
                 int64_t first_due_ms)
{
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    char document[256];

    snprintf(document, sizeof(document),
             "{\"taskSpec\":\"x\",\"repeatCount\":%d,\"startAtMs\":%lld,"
             "\"intervalMs\":%d,\"steps\":[{\"count\":1,\"cpu\":1000,"
             "\"memMb\":1,\"estimatedMs\":100}]}",
             repeats, (long long)first_due_ms, INTERVAL_MS);
    return FvSchedFixture_AddJob(fixture, id, &queue, document);
}

/* Adds the job of a leader's records to that of the next one. */
static fv_sched_job_t *
load_job(const fv_sched_job_t *job, sched_fixture_t *next)
{
    fv_buffer_t record = {0};
    fv_buffer_t progress = {0};
    fv_sched_job_t *loaded;

    CU_ASSERT_TRUE(FvSchedRecord_EncodeJob(job, &record));
    CU_ASSERT_TRUE(FvSchedRecord_EncodeProgress(job, SIZE_MAX, &progress));
    loaded = FvSchedRecord_LoadJob(&next->sched, job->id, &record,
                                   next->now_ms, next->now_ms);
    CU_ASSERT_PTR_NOT_NULL_FATAL(loaded);
    if (loaded == NULL) {
        abort();
    }
    loaded->durable = true;
    CU_ASSERT_TRUE(FvSchedRecord_LoadProgress(loaded, &progress));
    FvSched_ReleaseStages(&next->sched, loaded, next->now_ms, next->now_ms);
    FvBuffer_Clear(&record);
    FvBuffer_Clear(&progress);
    return loaded;
}

/* Opens the next leader's scheduler at the same time. */
static void
open_next_leader(sched_fixture_t *next, const sched_fixture_t *first)
{
    FvSchedFixture_Open(next, 2);
    next->now_ms = first->now_ms;
    FvSchedFixture_AddWorker(next, "w1", "r1", 4000);
}

static void
format_task(char *name, size_t size, int occurrence)
{
    snprintf(name, size, "%s.%d.0.0", JOB, occurrence);
}

static uint32_t
count_starts(const sched_fixture_t *fixture, int occurrence)
{
    char name[Fv_RUN_TASK_ID_SIZE];

    format_task(name, sizeof(name), occurrence);
    return FvSchedFixture_CountStarts(fixture, name);
}

/* Reports the end of an occurrence's task. */
static void
end_occurrence(sched_fixture_t *fixture, int64_t number, int occurrence,
               int32_t run, fv_run_end_t end)
{
    char name[Fv_RUN_TASK_ID_SIZE];

    format_task(name, sizeof(name), occurrence);
    FvSchedFixture_ReportEnd(fixture, "w1", number, name, run, end);
}

static size_t
used_bytes(void)
{
    return mallinfo2().uordblks;
}

/* The leader, and the next one that reads its records, kept each occurrence
 * with its stages and tasks from the submission on. */
static void
test_memory_of_many_occurrences(void)
{
    static sched_fixture_t first;
    static sched_fixture_t next;
    size_t before = used_bytes();

    FvSchedFixture_Open(&first, 1);
    FvSchedFixture_Open(&next, 2);
    for (int i = 0; i < BURST_JOBS; i++) {
        char id[Fv_JOB_ID_SIZE];

        snprintf(id, sizeof(id), "%016x", i + 1);
        load_job(add_repeated_job(&first, id, SIX_WEEKS,
                                  first.now_ms + INTERVAL_MS),
                 &next);
    }
    CU_ASSERT(used_bytes() - before < 2 * JOB_MEMORY_MAX_BYTES);
    FvSchedFixture_Close(&first);
    FvSchedFixture_Close(&next);
}

/* Occurrences that are done are of no further use. */
static void
test_memory_of_done_occurrences(void)
{
    static sched_fixture_t fixture;
    size_t before = 0;

    FvSchedFixture_Open(&fixture, 1);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 4000);
    add_repeated_job(&fixture, JOB, SIX_WEEKS, fixture.now_ms);
    for (int i = 0; i < 1000; i++) {
        FvSchedFixture_RunPass(&fixture);
        FvSchedFixture_ConfirmStarts(&fixture);
        CU_ASSERT_EQUAL(count_starts(&fixture, i), 1);
        end_occurrence(&fixture, i + 1, i, 1, Fv_END_DONE);
        fixture.now_ms += INTERVAL_MS;
        before = i == 10 ? used_bytes() : before;
    }
    CU_ASSERT(used_bytes() < before + 1000 * sizeof(fv_sched_task_t) / 2);
    FvSchedFixture_Close(&fixture);
}

/* Occurrence 1 runs and 2 waits for its second attempt while a later one ends.
 */
static void
test_next_leader_knows_done_occurrences(void)
{
    static sched_fixture_t first;
    static sched_fixture_t next;
    fv_sched_job_t *job;

    FvSchedFixture_Open(&first, 1);
    FvSchedFixture_AddWorker(&first, "w1", "r1", 4000);
    job = add_repeated_job(&first, JOB, 8, first.now_ms);
    first.now_ms += 5 * INTERVAL_MS;
    FvSchedFixture_RunPass(&first);
    FvSchedFixture_ConfirmStarts(&first);
    end_occurrence(&first, 1, 0, 1, Fv_END_DONE);
    end_occurrence(&first, 2, 2, 1, Fv_END_FAILED);
    end_occurrence(&first, 3, 3, 1, Fv_END_DONE);
    FvSched_ReleaseStages(&first.sched, job, first.now_ms, first.now_ms);

    open_next_leader(&next, &first);
    job = load_job(job, &next);
    for (int pass = 0; pass < 2; pass++) {
        FvSchedFixture_RunPass(&next);
        FvSchedFixture_ConfirmStarts(&next);
    }
    for (int i = 0; i < 8; i++) {
        CU_ASSERT_EQUAL(count_starts(&next, i),
                        i == 1 || i == 2 || i == 4 || i == 5 ? 1 : 0);
    }
    CU_ASSERT_EQUAL(FvSched_FindTask(&next.sched, JOB ".2.0.0")->failures, 1);
    end_occurrence(&next, 4, 1, 1001, Fv_END_DONE);
    end_occurrence(&next, 5, 2, 1001, Fv_END_DONE);
    end_occurrence(&next, 6, 4, 1001, Fv_END_DONE);
    end_occurrence(&next, 7, 5, 1001, Fv_END_DONE);
    CU_ASSERT_EQUAL(job->outcome, Fv_SCHED_JOB_OPEN);
    next.now_ms += 2 * INTERVAL_MS;
    FvSchedFixture_RunPass(&next);
    FvSchedFixture_ConfirmStarts(&next);
    end_occurrence(&next, 8, 6, 1001, Fv_END_DONE);
    CU_ASSERT_EQUAL(job->outcome, Fv_SCHED_JOB_OPEN);
    end_occurrence(&next, 9, 7, 1001, Fv_END_DONE);
    CU_ASSERT_EQUAL(job->outcome, Fv_SCHED_JOB_COMPLETED);
    FvSchedFixture_Close(&first);
    FvSchedFixture_Close(&next);
}

/* Builds before this format wrote a row for each occurrence that was done. */
static void
test_records_of_earlier_builds(void)
{
    static sched_fixture_t fixture;
    static const char rows[] = "\x93"
                               "\x94\x00\x00\x00\x01"
                               "\x94\x01\x00\x00\x01"
                               "\x94\x03\x00\x00\x01";
    fv_buffer_t progress = {0};
    fv_sched_job_t *job;

    FvSchedFixture_Open(&fixture, 2);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 4000);
    job = add_repeated_job(&fixture, JOB, 5, fixture.now_ms + 1);
    FvBuffer_Append(&progress, rows, sizeof(rows) - 1);
    CU_ASSERT_TRUE(FvSchedRecord_LoadProgress(job, &progress));
    FvBuffer_Clear(&progress);
    fixture.now_ms += 3 * INTERVAL_MS + 1;
    for (int pass = 0; pass < 2; pass++) {
        FvSchedFixture_RunPass(&fixture);
    }
    for (int i = 0; i < 5; i++) {
        CU_ASSERT_EQUAL(count_starts(&fixture, i), i == 2 ? 1 : 0);
    }
    FvSchedFixture_Close(&fixture);
}

/* The same rows for nearly all occurrences of a job. */
static void
test_memory_of_records_of_earlier_builds(void)
{
    static sched_fixture_t fixture;
    static const uint8_t header[] = {0xdd, 0, 0, 0xea, 0x60};
    fv_buffer_t progress = {0};
    size_t before;

    FvBuffer_Append(&progress, header, sizeof(header));
    for (uint32_t i = 0; i < 60000; i++) {
        uint8_t row[] = {0x94, 0xcd, (uint8_t)(i >> 8), (uint8_t)i, 0, 0, 1};

        FvBuffer_Append(&progress, row, sizeof(row));
    }
    before = used_bytes();
    FvSchedFixture_Open(&fixture, 2);
    for (int i = 0; i < BURST_JOBS; i++) {
        char id[Fv_JOB_ID_SIZE];

        snprintf(id, sizeof(id), "%016x", i + 1);
        CU_ASSERT_TRUE(FvSchedRecord_LoadProgress(
            add_repeated_job(&fixture, id, SIX_WEEKS, fixture.now_ms + 1),
            &progress));
    }
    CU_ASSERT(used_bytes() - before < JOB_MEMORY_MAX_BYTES);
    FvBuffer_Clear(&progress);
    FvSchedFixture_Close(&fixture);
}

static void
report_running(sched_fixture_t *fixture, int occurrence, int32_t run)
{
    fv_running_row_t row = {.run = run, .percent = 10};
    fv_worker_report_t report = {.clock_ms = fixture->now_ms,
                                 .started_wall_ms = 1,
                                 .running = &row,
                                 .running_count = 1};

    format_task(row.task_id, sizeof(row.task_id), occurrence);
    FvSched_ApplyReport(&fixture->sched,
                        FvSched_FindWorker(&fixture->sched, "w1"), &report,
                        fixture->now_ms, fixture->now_ms);
}

/* The clock of an earlier leader was ahead: it has started occurrences that
 * are not due here. One has ended, the other runs. */
static void
test_runs_from_before_the_due_time(void)
{
    static sched_fixture_t first;
    static sched_fixture_t next;
    fv_sched_job_t *job;

    FvSchedFixture_Open(&first, 2);
    FvSchedFixture_AddWorker(&first, "w1", "r1", 4000);
    job = add_repeated_job(&first, JOB, 5, first.now_ms + INTERVAL_MS);
    end_occurrence(&first, 1, 2, 1, Fv_END_DONE);
    report_running(&first, 1, 1);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&first, JOB), 0);
    FvSchedFixture_RunPass(&first);
    FvSchedFixture_RunPass(&first);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&first, JOB), 0);

    /* The third leader knows of the end only from the record. */
    open_next_leader(&next, &first);
    load_job(job, &next);
    FvSchedFixture_RunPass(&next);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&next, JOB), 0);
    report_running(&next, 1, 1);
    next.now_ms += 3 * INTERVAL_MS;
    report_running(&next, 1, 1);
    FvSchedFixture_RunPass(&next);
    for (int i = 0; i < 5; i++) {
        CU_ASSERT_EQUAL(count_starts(&next, i), i == 0 ? 1 : 0);
    }
    next.now_ms += INTERVAL_MS;
    FvSchedFixture_RunPass(&next);
    CU_ASSERT_EQUAL(count_starts(&next, 3), 1);
    CU_ASSERT_EQUAL(count_starts(&next, 2), 0);
    FvSchedFixture_Close(&first);
    FvSchedFixture_Close(&next);
}

/* The last occurrence ends before it is due by this host's clock. */
static void
test_early_end_completes_the_job(void)
{
    static sched_fixture_t fixture;
    fv_sched_job_t *job;

    FvSchedFixture_Open(&fixture, 2);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 4000);
    job = add_repeated_job(&fixture, JOB, 3, fixture.now_ms);
    end_occurrence(&fixture, 1, 0, 1, Fv_END_DONE);
    end_occurrence(&fixture, 2, 2, 1, Fv_END_DONE);
    CU_ASSERT_EQUAL(job->outcome, Fv_SCHED_JOB_OPEN);
    FvSchedFixture_RunPass(&fixture);
    end_occurrence(&fixture, 3, 1, 1, Fv_END_DONE);
    CU_ASSERT_EQUAL(job->outcome, Fv_SCHED_JOB_COMPLETED);
    FvSchedFixture_Close(&fixture);
}

/* A run of an occurrence that is done and no longer in memory is stopped; its
 * end changes nothing. */
static void
test_late_runs_of_done_occurrences(void)
{
    static sched_fixture_t fixture;
    fv_sched_job_t *job;

    FvSchedFixture_Open(&fixture, 1);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 4000);
    job = add_repeated_job(&fixture, JOB, 2, fixture.now_ms);
    FvSchedFixture_RunPass(&fixture);
    FvSchedFixture_ConfirmStarts(&fixture);
    end_occurrence(&fixture, 1, 0, 1, Fv_END_DONE);
    FvSchedFixture_RunPass(&fixture);
    report_running(&fixture, 0, 2);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, JOB ".0.0.0"), 1);
    end_occurrence(&fixture, 2, 0, 2, Fv_END_FAILED);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB), 1);
    CU_ASSERT_EQUAL(job->outcome, Fv_SCHED_JOB_OPEN);
    FvSchedFixture_Close(&fixture);
}

/* All occurrences are due at one time. */
static void
test_memory_of_due_occurrences(void)
{
    static sched_fixture_t fixture;
    size_t before = used_bytes();
    fv_sched_load_t load;

    FvSchedFixture_Open(&fixture, 1);
    fixture.sched.job_memory_max_bytes = JOB_MEMORY_MAX_BYTES;
    fixture.now_ms = (int64_t)SIX_WEEKS * INTERVAL_MS;
    for (int i = 0; i < BURST_JOBS; i++) {
        char id[Fv_JOB_ID_SIZE];

        snprintf(id, sizeof(id), "%016x", i + 1);
        add_repeated_job(&fixture, id, SIX_WEEKS, 0);
    }
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT(used_bytes() - before < JOB_MEMORY_MAX_BYTES);
    CU_ASSERT(FvSched_JobMemoryBytes(&fixture.sched) <= JOB_MEMORY_MAX_BYTES);
    FvSched_GetLoad(&fixture.sched, fixture.now_ms, &load);
    CU_ASSERT(load.tasks_waiting <= BURST_JOBS * WAITING_TASKS_MAX);
    FvSchedFixture_Close(&fixture);
    CU_ASSERT_EQUAL(FvSched_JobMemoryBytes(&fixture.sched), 0);
}

/* Runs of a job overlap, and the worker has room for all of them. */
static void
test_open_occurrences_leave_memory(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_sched_job_t *job;
    int64_t unreserved;

    FvSchedFixture_Open(&fixture, 1);
    fixture.sched.job_memory_max_bytes = 64 * 1024;
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 4000);
    job = FvSchedFixture_AddJob(
        &fixture, JOB, &queue,
        "{\"taskSpec\":\"x\",\"repeatCount\":2000,\"startAtMs\":0,"
        "\"intervalMs\":1,\"steps\":[{\"count\":1,\"cpu\":1,\"memMb\":1,"
        "\"estimatedMs\":3600000}]}");
    unreserved = fixture.sched.job_memory_max_bytes - job->reserved_bytes;
    for (int pass = 0; pass < 10; pass++) {
        FvSchedFixture_RunPass(&fixture);
        FvSchedFixture_ConfirmStarts(&fixture);
    }
    CU_ASSERT(fixture.order_count > 1);
    CU_ASSERT(FvSched_JobMemoryBytes(&fixture.sched) <=
              job->reserved_bytes + unreserved / 2);
    FvSchedFixture_Close(&fixture);
}

/* More occurrences are due than are open at one time. */
static void
test_all_due_occurrences_run(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_sched_job_t *job;
    int64_t number = 0;

    FvSchedFixture_Open(&fixture, 1);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 4000);
    job = FvSchedFixture_AddJob(
        &fixture, JOB, &queue,
        "{\"taskSpec\":\"x\",\"repeatCount\":40,\"startAtMs\":0,"
        "\"intervalMs\":1,\"steps\":[{\"count\":1000,\"cpu\":50,\"memMb\":1,"
        "\"estimatedMs\":100}]}");
    while (job->outcome == Fv_SCHED_JOB_OPEN && number < 40 * 1000) {
        char name[Fv_RUN_TASK_ID_SIZE];

        fixture.order_count = 0;
        FvSchedFixture_RunPass(&fixture);
        FvSchedFixture_ConfirmStarts(&fixture);
        CU_ASSERT_FATAL(fixture.order_count > 0);
        for (uint32_t i = 0; i < fixture.order_count; i++) {
            FvText_Copy(name, sizeof(name), fixture.orders[i].task);
            FvSchedFixture_ReportEnd(&fixture, "w1", ++number, name,
                                     fixture.orders[i].run, Fv_END_DONE);
        }
    }
    CU_ASSERT_EQUAL(number, 40 * 1000);
    CU_ASSERT_EQUAL(job->outcome, Fv_SCHED_JOB_COMPLETED);
    FvSchedFixture_Close(&fixture);
}

/* Lasting tasks of an occurrence run until the job is cancelled, and those of
 * the next ones have to run beside them. */
static void
test_lasting_occurrences_run_together(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);

    FvSchedFixture_Open(&fixture, 1);
    fixture.sched.job_memory_max_bytes = JOB_MEMORY_MAX_BYTES;
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 1000);
    FvSchedFixture_AddJob(
        &fixture, JOB, &queue,
        "{\"taskSpec\":\"x\",\"repeatCount\":3,\"startAtMs\":0,"
        "\"intervalMs\":1,\"steps\":[{\"count\":2000,\"cpu\":1,\"memMb\":1,"
        "\"estimatedMs\":100,\"longRunning\":true}]}");
    fixture.order_count = 0;
    FvSchedFixture_RunPass(&fixture);
    for (int i = 0; i < 3; i++) {
        char first[Fv_RUN_TASK_ID_SIZE];

        format_task(first, sizeof(first), i);
        CU_ASSERT_PTR_NOT_NULL(FvSched_FindTask(&fixture.sched, first));
    }
    FvSchedFixture_Close(&fixture);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"jobs with many occurrences exhaust the memory of every leader",
         test_memory_of_many_occurrences},
        {"the memory of a leader grows with each occurrence that is done",
         test_memory_of_done_occurrences},
        {"an occurrence that is done runs again, or another one never does",
         test_next_leader_knows_done_occurrences},
        {"an occurrence runs again that an earlier build recorded as done",
         test_records_of_earlier_builds},
        {"records of earlier builds exhaust the memory of the leader",
         test_memory_of_records_of_earlier_builds},
        {"a run that began before its due time is stopped or repeated",
         test_runs_from_before_the_due_time},
        {"jobs whose occurrences are all due exhaust the memory of the "
         "leader, or "
         "its time",
         test_memory_of_due_occurrences},
        {"a job with long runs takes the memory of all others",
         test_open_occurrences_leave_memory},
        {"an occurrence that was due while others were open never runs",
         test_all_due_occurrences_run},
        {"lasting tasks wait for others that never end",
         test_lasting_occurrences_run_together},
        {"a job stays open after the early end of its last occurrence",
         test_early_end_completes_the_job},
        {"a late run of an occurrence that is done goes on",
         test_late_runs_of_done_occurrences},
    };

    return Fv_RUN_SUITE("sched_occurrence", cases);
}
