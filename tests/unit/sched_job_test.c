/*
 * Jobs: dependencies between steps, scheduled occurrences, and long-running
 * tasks.
 */

#include "sched-fixture.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define JOB "00000000000000aa"
#define JOB_B "00000000000000bb"

/* A job whose steps each depend on all earlier ones. */
static char *
dense_job(uint32_t steps)
{
    fv_buffer_t text = {0};
    char part[96];

    FvBuffer_Append(&text, "{\"taskSpec\":\"x\",\"steps\":[",
                    strlen("{\"taskSpec\":\"x\",\"steps\":["));
    for (uint32_t s = 0; s < steps; s++) {
        snprintf(part, sizeof(part),
                 "%s{\"count\":1,\"cpu\":1000,\"memMb\":1,"
                 "\"estimatedMs\":100,\"after\":[",
                 s > 0 ? "," : "");
        FvBuffer_Append(&text, part, strlen(part));
        for (uint32_t before = 0; before < s; before++) {
            snprintf(part, sizeof(part), "%s%u", before > 0 ? "," : "",
                     before);
            FvBuffer_Append(&text, part, strlen(part));
        }
        FvBuffer_Append(&text, "]}", 2);
    }
    FvBuffer_Append(&text, "]}", 3); /* includes the final NUL */
    return (char *)text.data;
}

/* Each step depends on all earlier ones, so the number of paths through the
 * job doubles with each step. Planning must not enumerate them. */
static void
test_dense_job_is_planned_at_once(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    char *document = dense_job(Fv_STEPS_MAX);
    fv_sched_job_t *job;

    FvSchedFixture_Open(&fixture, 1);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 4000);
    job = FvSchedFixture_AddJob(&fixture, JOB, &queue, document);
    CU_ASSERT_EQUAL(job->occurrences[0]->stages[0].target_start_ms,
                    fixture.now_ms + queue.objective_ms +
                        (int64_t)(queue.stretch * Fv_STEPS_MAX * 100.0) -
                        INT64_C(100) * Fv_STEPS_MAX);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB), 1);
    FvSchedFixture_Close(&fixture);
    free(document);
}

/* The first occurrence of a repeated job ends long before the next is due. */
static void
test_occurrence_waits_until_it_is_due(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    char document[256];

    FvSchedFixture_Open(&fixture, 1);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 4000);
    snprintf(document, sizeof(document),
             "{\"taskSpec\":\"x\",\"repeatCount\":2,\"startAtMs\":%lld,"
             "\"intervalMs\":60000,\"steps\":[{\"count\":1,\"cpu\":1000,"
             "\"memMb\":1,\"estimatedMs\":100}]}",
             (long long)fixture.now_ms + 1000);
    FvSchedFixture_AddJob(&fixture, JOB, &queue, document);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB), 0);
    fixture.now_ms += 1000;
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB ".0.0.0"), 1);
    FvSchedFixture_ConfirmStarts(&fixture);
    FvSchedFixture_ReportEnd(&fixture, "w1", 1, JOB ".0.0.0", 1, Fv_END_DONE);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB ".1.0.0"), 0);
    fixture.now_ms += 60000;
    FvSchedFixture_ReportEnd(&fixture, "w1", 2, "0", 1, Fv_END_DONE);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB ".1.0.0"), 1);
    FvSchedFixture_Close(&fixture);
}

/* The task of a long-running job ends in different ways, more often than the
 * queue allows attempts. */
static void
test_long_running_task_is_always_restarted(void)
{
    static sched_fixture_t fixture;
    static const fv_run_end_t ends[] = {Fv_END_FAILED,        Fv_END_DONE,
                                        Fv_END_LEASE_EXPIRED, Fv_END_FAILED,
                                        Fv_END_FAILED,        Fv_END_STOPPED};
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_sched_job_t *job;

    queue.attempts_max = 2;
    FvSchedFixture_Open(&fixture, 1);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 4000);
    job = FvSchedFixture_AddJob(
        &fixture, JOB, &queue,
        "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":1000,"
        "\"memMb\":1,\"estimatedMs\":100,\"longRunning\":true}]}");
    for (uint32_t i = 0; i < sizeof(ends) / sizeof(ends[0]); i++) {
        FvSchedFixture_RunPass(&fixture);
        CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB), i + 1);
        FvSchedFixture_ConfirmStarts(&fixture);
        fixture.now_ms += 10000; /* longer than any quarantine of the worker */
        FvSchedFixture_ReportEnd(&fixture, "w1", (int64_t)i + 1, JOB ".0.0.0",
                                 fixture.orders[i].run, ends[i]);
        CU_ASSERT_STRING_NOT_EQUAL(FvSched_JobStateName(job), "completed");
        CU_ASSERT_STRING_NOT_EQUAL(FvSched_JobStateName(job), "failed");
        fixture.now_ms += 10000;
    }
    FvSched_CancelJob(&fixture.sched, job, fixture.now_ms);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB),
                    sizeof(ends) / sizeof(ends[0]));
    FvSchedFixture_Close(&fixture);
}

static const char lasting_task[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":1000,"
    "\"memMb\":1,\"estimatedMs\":100,\"longRunning\":true}]}";

static void
report_at_work(sched_fixture_t *fixture, fv_sched_worker_t *worker)
{
    fv_running_row_t rows[4];
    fv_worker_report_t report = {
        .clock_ms = fixture->now_ms, .started_wall_ms = 1, .running = rows};

    for (const fv_sched_task_t *task = worker->tasks; task != NULL;
         task = task->worker_next) {
        fv_running_row_t *row = &rows[report.running_count++];

        *row = (fv_running_row_t){.run = task->run, .percent = 100};
        FvSched_TaskName(task, row->task_id, sizeof(row->task_id));
    }
    FvSched_ApplyReport(&fixture->sched, worker, &report, fixture->now_ms,
                        fixture->now_ms);
}

/* Tasks of two lasting jobs end by themselves after they were at work. */
static void
test_ended_lasting_tasks_do_not_quarantine(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_sched_worker_t *worker;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 4000);
    FvSchedFixture_AddJob(&fixture, JOB, &queue, lasting_task);
    FvSchedFixture_AddJob(&fixture, JOB_B, &queue, lasting_task);
    FvSchedFixture_RunPass(&fixture);
    FvSchedFixture_ConfirmStarts(&fixture);
    report_at_work(&fixture, worker);
    FvSchedFixture_ReportEnd(&fixture, "w1", 1, JOB ".0.0.0", 1,
                             Fv_END_FAILED);
    FvSchedFixture_ReportEnd(&fixture, "w1", 2, JOB_B ".0.0.0", 1,
                             Fv_END_FAILED);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(worker->quarantined_until_ms, 0);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB), 2);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_B), 2);
    FvSchedFixture_Close(&fixture);
}

/* The task that probes a worker after a quarantine never ends. */
static void
test_lasting_task_ends_probe_when_at_work(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 0);
    fv_sched_worker_t *worker;

    FvSchedFixture_Open(&fixture, 1);
    worker = FvSchedFixture_AddWorker(&fixture, "w1", "r1", 4000);
    worker->quarantined_until_ms = fixture.now_ms;
    FvSchedFixture_AddJob(&fixture, JOB, &queue, lasting_task);
    FvSchedFixture_AddJob(&fixture, JOB_B, &queue, lasting_task);
    FvSchedFixture_RunPass(&fixture);
    FvSchedFixture_ConfirmStarts(&fixture);
    CU_ASSERT_EQUAL(worker->task_count, 1);
    report_at_work(&fixture, worker);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(worker->task_count, 2);
    FvSchedFixture_Close(&fixture);
}

/* All workers are reserved for a gang that waits for the last of them. */
static void
test_lasting_task_starts_on_reserved_worker(void)
{
    static sched_fixture_t fixture;
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue("q", 1);
    fv_cell_queue_t gangs = FvSchedFixture_MakeQueue("gangs", 0);
    char id[Fv_NAME_SIZE];

    FvSchedFixture_Open(&fixture, 1);
    for (uint32_t i = 0; i < 4; i++) {
        snprintf(id, sizeof(id), "w%u", i);
        FvSchedFixture_AddWorker(&fixture, id, "r1", 4000)->free.cpu_millis =
            i < 2 ? 4000 : 0; /* other tasks run on the last two */
    }
    FvSchedFixture_AddJob(
        &fixture, JOB_B, &gangs,
        "{\"taskSpec\":\"x\",\"steps\":[{\"count\":4,\"cpu\":4000,"
        "\"memMb\":1,\"estimatedMs\":4000,\"gang\":true}]}");
    FvSchedFixture_AddJob(&fixture, JOB, &queue, lasting_task);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB_B), 0);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStarts(&fixture, JOB), 1);
    FvSchedFixture_Close(&fixture);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a job with dense step dependencies blocks the leader",
         test_dense_job_is_planned_at_once},
        {"an occurrence starts before it is due",
         test_occurrence_waits_until_it_is_due},
        {"a long-running task is not restarted",
         test_long_running_task_is_always_restarted},
        {"lasting tasks that ended after work quarantine their worker",
         test_ended_lasting_tasks_do_not_quarantine},
        {"a worker stays on probation while a lasting task runs on it",
         test_lasting_task_ends_probe_when_at_work},
        {"a lasting task waits for workers that are reserved for a gang",
         test_lasting_task_starts_on_reserved_worker},
    };

    return Fv_RUN_SUITE("sched_job", cases);
}
