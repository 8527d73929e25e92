/*
 * Caps and shares of customers.
 */

#include "sched-fixture.h"

#include <stdio.h>
#include <string.h>

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"
#define JOB_C "00000000000000cc"
#define CUSTOMER "ferry-line"
#define OTHER "harbour"

#define FIRST_START_MS 1
#define AUDIT_MS 1000      /* after which a wrong account is corrected */
#define STOP_OVER_MS 13000 /* by then a stop has been carried out */
/* After this, an order of a silent worker has no effect any more: the longest
 * delay, and the longest lease with drift and transit. */
#define ORDER_OVER_MS (12000 + 2 * Fv_FIXTURE_LEASE_MS * 103 / 100 + 250)

/* Tasks of 2 cores. */
static const char four_tasks[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":4,\"cpu\":2000,\"memMb\":10,"
    "\"estimatedMs\":4000}]}";
static const char one_task[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":2000,\"memMb\":10,"
    "\"estimatedMs\":4000}]}";
static const char gang_of_three[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":3,\"cpu\":2000,\"memMb\":10,"
    "\"estimatedMs\":4000,\"gang\":true}]}";

static sched_fixture_t fixture;
static fv_cell_queue_t queue;
static int64_t end_count;

/* @cpu_millis: the cap of CUSTOMER; OTHER has none */
static void
set_cap(int64_t cpu_millis)
{
    fv_cell_customer_t customers[] = {
        {.name = CUSTOMER, .weight = 1, .cpu_millis_max = cpu_millis},
        {.name = OTHER, .weight = 1}};

    FvSched_SetCustomers(&fixture.sched,
                         &(fv_cell_config_t){.has_customers = true,
                                             .customer_count = 2,
                                             .customers = customers});
}

/* Opens a cell with room for twelve tasks. */
static void
open_cell(int64_t cap_cpu_millis, int32_t generation)
{
    end_count = 0;
    queue = FvSchedFixture_MakeQueue("q", 1);
    FvSchedFixture_Open(&fixture, generation);
    FvSchedFixture_AddWorker(&fixture, "w1", "r1", 12000);
    FvSchedFixture_AddWorker(&fixture, "w2", "r1", 12000);
    fixture.customer = CUSTOMER;
    set_cap(cap_cpu_millis);
}

static void
add_job(const char *id, const char *document)
{
    FvSchedFixture_AddJob(&fixture, id, &queue, document);
}

static void
run_pass(int64_t after_ms)
{
    fixture.now_ms += after_ms;
    FvSchedFixture_RunPass(&fixture);
    FvSchedFixture_ConfirmStarts(&fixture);
}

static uint32_t
starts(const char *job)
{
    return FvSchedFixture_CountStarts(&fixture, job);
}

static fv_sched_task_t *
find_task(const char *job, int32_t index)
{
    char name[Fv_RUN_TASK_ID_SIZE];

    snprintf(name, sizeof(name), "%s.0.0.%d", job, index);
    return FvSched_FindTask(&fixture.sched, name);
}

static fv_sched_stage_t *
find_stage(const char *job)
{
    return find_task(job, 0)->stage;
}

static void
end_task(const char *job, int32_t index)
{
    const fv_sched_task_t *task = find_task(job, index);
    char name[Fv_RUN_TASK_ID_SIZE];

    FvSched_TaskName(task, name, sizeof(name));
    fixture.now_ms += 10;
    FvSchedFixture_ReportEnd(&fixture, task->worker->entry.id, ++end_count,
                             name, task->run, Fv_END_DONE);
}

static void
report_nothing(const char *worker)
{
    fv_worker_report_t report = {.clock_ms = fixture.now_ms,
                                 .started_wall_ms = FIRST_START_MS};

    FvSched_ApplyReport(&fixture.sched,
                        FvSched_FindWorker(&fixture.sched, worker), &report,
                        fixture.now_ms, fixture.now_ms);
}

/* Tasks start up to the cap, and one more whenever another has ended. */
static void
test_single_tasks(void)
{
    open_cell(5000, 1);
    add_job(JOB_A, four_tasks);
    run_pass(0);
    CU_ASSERT_EQUAL(starts(JOB_A), 2);
    run_pass(5000);
    CU_ASSERT_EQUAL(starts(JOB_A), 2);
    CU_ASSERT_EQUAL(
        FvSched_WaitCause(&fixture.sched, find_stage(JOB_A), fixture.now_ms),
        Fv_WAIT_CAP);
    end_task(JOB_A, 0);
    run_pass(0);
    CU_ASSERT_EQUAL(starts(JOB_A), 3);
    FvSchedFixture_Close(&fixture);
}

/* The memory is capped as well; another customer is not. */
static void
test_each_resource_of_one_customer(void)
{
    fv_cell_customer_t customer = {
        .name = CUSTOMER, .weight = 1, .memory_mib_max = 30};

    open_cell(0, 1);
    FvSched_SetCustomers(&fixture.sched,
                         &(fv_cell_config_t){.has_customers = true,
                                             .customer_count = 1,
                                             .customers = &customer});
    add_job(JOB_A, four_tasks);
    fixture.customer = OTHER;
    add_job(JOB_B, four_tasks);
    run_pass(0);
    CU_ASSERT_EQUAL(starts(JOB_A), 3);
    CU_ASSERT_EQUAL(starts(JOB_B), 4);
    FvSchedFixture_Close(&fixture);
}

/* A gang starts as a whole or not at all. */
static void
test_gang(void)
{
    open_cell(7000, 1);
    add_job(JOB_A, one_task);
    run_pass(0);
    add_job(JOB_B, gang_of_three);
    run_pass(0);
    CU_ASSERT_EQUAL(starts(JOB_B), 0);
    end_task(JOB_A, 0);
    run_pass(0);
    CU_ASSERT_EQUAL(starts(JOB_B), 3);
    FvSchedFixture_Close(&fixture);
}

/* A member whose start was refused is not started again above a cap that was
 * lowered meanwhile. */
static void
test_refilled_gang_member(void)
{
    const fv_sched_task_t *member;

    open_cell(7000, 1);
    add_job(JOB_B, gang_of_three);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(starts(JOB_B), 3);
    member = find_task(JOB_B, 1);
    FvSched_StartAnswered(&fixture.sched, find_task(JOB_B, 1), member->run,
                          Fv_ORDER_NOT_SENT, fixture.now_ms);
    FvSchedFixture_ConfirmStarts(&fixture);
    set_cap(5000);
    run_pass(100);
    CU_ASSERT_EQUAL(starts(JOB_B), 3);
    set_cap(7000);
    run_pass(100);
    CU_ASSERT_EQUAL(starts(JOB_B), 4);
    FvSchedFixture_Close(&fixture);
}

/* A lowered cap stops no tasks and admits none until enough have ended. A
 * raised one takes effect with the next pass. */
static void
test_lowered_and_raised_cap(void)
{
    open_cell(8000, 1);
    add_job(JOB_A, four_tasks);
    run_pass(0);
    CU_ASSERT_EQUAL(starts(JOB_A), 4);
    add_job(JOB_B, four_tasks);
    set_cap(4000);
    run_pass(2000);
    end_task(JOB_A, 0);
    end_task(JOB_A, 1);
    run_pass(0);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, JOB_A), 0);
    CU_ASSERT_EQUAL(starts(JOB_B), 0);
    end_task(JOB_A, 2);
    run_pass(0);
    CU_ASSERT_EQUAL(starts(JOB_B), 1);
    fixture.sched.dirty = false;
    set_cap(0);
    CU_ASSERT_TRUE(fixture.sched.dirty);
    run_pass(0);
    CU_ASSERT_EQUAL(starts(JOB_B), 4);
    FvSchedFixture_Close(&fixture);
}

/* A customer that leaves the configuration keeps its account and its cap
 * while it has jobs. Without customers in the configuration there is no cap.
 */
static void
test_customer_leaves(void)
{
    fv_cell_customer_t other = {.name = OTHER, .weight = 1};
    fv_cell_config_t config = {
        .has_customers = true, .customer_count = 1, .customers = &other};

    open_cell(4000, 1);
    add_job(JOB_A, four_tasks);
    run_pass(0);
    FvSched_SetCustomers(&fixture.sched, &config);
    run_pass(0);
    CU_ASSERT_EQUAL(starts(JOB_A), 2);
    config = (fv_cell_config_t){0};
    FvSched_SetCustomers(&fixture.sched, &config);
    run_pass(0);
    CU_ASSERT_EQUAL(starts(JOB_A), 4);
    for (int32_t i = 0; i < 4; i++) {
        end_task(JOB_A, i);
    }
    FvSched_RemoveJob(&fixture.sched, FvSched_FindJob(&fixture.sched, JOB_A));
    FvSched_SetCustomers(&fixture.sched, &config);
    CU_ASSERT_PTR_NULL(FvSched_FindCustomer(&fixture.sched, CUSTOMER));
    FvSchedFixture_Close(&fixture);
}

/* A capped stage would take up calls to the advice service without being able
 * to start. */
static void
test_capped_stage_asks_for_no_advice(void)
{
    open_cell(5000, 1);
    queue = FvSchedFixture_MakeAdvisedQueue("q", 1);
    add_job(JOB_A, gang_of_three);
    run_pass(0);
    CU_ASSERT_EQUAL(fixture.advice_request_count, 0);
    set_cap(6000);
    run_pass(0);
    CU_ASSERT_EQUAL(fixture.advice_request_count, 1);
    FvSchedFixture_Close(&fixture);
}

/* Nor may a capped gang keep workers from other customers or stop their tasks.
 */
static void
test_capped_gang_claims_no_workers(void)
{
    static const char filler[] =
        "{\"taskSpec\":\"x\",\"steps\":[{\"count\":12,\"cpu\":2000,"
        "\"memMb\":10,\"estimatedMs\":8000,\"checkpointing\":true}]}";

    open_cell(5000, 1);
    queue.priority = 2;
    fixture.customer = OTHER;
    add_job(JOB_B, filler);
    run_pass(0);
    CU_ASSERT_EQUAL(starts(JOB_B), 12);
    queue.priority = 0;
    fixture.customer = CUSTOMER;
    add_job(JOB_A, gang_of_three);
    run_pass(2000);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, JOB_B), 0);
    CU_ASSERT_EQUAL(fixture.sched.reserved_workers, 0);
    set_cap(6000);
    run_pass(100);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, JOB_B), 3);
    CU_ASSERT(fixture.sched.reserved_workers > 0);
    FvSchedFixture_Close(&fixture);
}

/* Single tasks of the same customer take all that becomes free under its cap
 * one by one, and its gang never starts. */
static void
test_gang_is_not_starved(void)
{
    open_cell(12000, 1);
    add_job(JOB_A, four_tasks);
    run_pass(0);
    end_task(JOB_A, 0);
    add_job(JOB_C, four_tasks);
    run_pass(0);
    CU_ASSERT_EQUAL(starts(JOB_C), 3);
    queue.priority = 0;
    add_job(JOB_B, gang_of_three);
    queue.priority = 1;
    for (int32_t i = 1; i < 4; i++) {
        CU_ASSERT_EQUAL(starts(JOB_B), 0);
        end_task(JOB_A, i);
        run_pass(0);
    }
    CU_ASSERT_EQUAL(starts(JOB_C), 3);
    CU_ASSERT_EQUAL(starts(JOB_B), 3);
    FvSchedFixture_Close(&fixture);
}

/* The same with a task that is larger than those that end. */
static void
test_large_task_is_not_starved(void)
{
    static const char large_task[] =
        "{\"taskSpec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":4000,"
        "\"memMb\":10,\"estimatedMs\":4000}]}";

    open_cell(8000, 1);
    add_job(JOB_A, four_tasks);
    run_pass(0);
    queue.priority = 0;
    add_job(JOB_B, large_task);
    queue.priority = 1;
    add_job(JOB_C, four_tasks);
    for (int32_t i = 0; i < 2; i++) {
        CU_ASSERT_EQUAL(starts(JOB_B), 0);
        end_task(JOB_A, i);
        run_pass(0);
    }
    CU_ASSERT_EQUAL(starts(JOB_B), 1);
    CU_ASSERT_EQUAL(starts(JOB_C), 0);
    FvSchedFixture_Close(&fixture);
}

/* Room for a gang that needs more than half of the cap would idle for nothing,
 * since its customer may use half of the cap in any case. */
static void
test_no_room_is_kept_for_a_gang_above_half_of_the_cap(void)
{
    open_cell(7000, 1);
    add_job(JOB_A, one_task);
    run_pass(0);
    queue.priority = 0;
    add_job(JOB_B, gang_of_three);
    queue.priority = 1;
    add_job(JOB_C, four_tasks);
    run_pass(0);
    CU_ASSERT_EQUAL(starts(JOB_B), 0);
    CU_ASSERT_EQUAL(starts(JOB_C), 2);
    FvSchedFixture_Close(&fixture);
}

/* Nor for a stage that is late: room that is kept ends with its objective. */
static void
test_room_that_is_kept_ends(void)
{
    open_cell(12000, 1);
    add_job(JOB_A, four_tasks);
    run_pass(0);
    add_job(JOB_B, gang_of_three);
    find_stage(JOB_B)->objective_from_ms = fixture.now_ms - 1000000;
    add_job(JOB_C, four_tasks);
    run_pass(0);
    CU_ASSERT_EQUAL(starts(JOB_B), 0);
    CU_ASSERT_EQUAL(starts(JOB_C), 2);
    FvSchedFixture_Close(&fixture);
}

/* A run that belongs to no open task still uses its customer's share: it is
 * being stopped, and may run for as long as that takes. */
static void
test_orphaned_run_counts(void)
{
    fv_running_row_t row = {.run = 1};
    fv_worker_report_t report = {.clock_ms = 1000,
                                 .started_wall_ms = FIRST_START_MS,
                                 .running = &row,
                                 .running_count = 1};
    fv_sched_worker_t *first;

    open_cell(4000, 1);
    first = FvSched_FindWorker(&fixture.sched, "w1");
    add_job(JOB_A, four_tasks);
    fixture.customer = OTHER;
    /* Run 1 of a task of which the latest run is another one. */
    find_task(JOB_A, 3)->run = 7;
    FvText_Copy(row.task_id, sizeof(row.task_id), JOB_A ".0.0.3");
    FvSched_ApplyReport(&fixture.sched, first, &report, fixture.now_ms,
                        fixture.now_ms);
    CU_ASSERT_EQUAL(FvSchedFixture_CountStops(&fixture, JOB_A), 1);
    run_pass(0);
    CU_ASSERT_EQUAL(starts(JOB_A), 1);
    fixture.now_ms += 10;
    report_nothing("w1");
    run_pass(Fv_FIXTURE_STOP_MS - 1);
    CU_ASSERT_EQUAL(starts(JOB_A), 1);
    run_pass(1);
    CU_ASSERT_EQUAL(starts(JOB_A), 2);
    FvSchedFixture_Close(&fixture);
}

/* A job of the customer was cancelled under an earlier leader, and its runs
 * are being stopped. What they use is not known; it is no more than the rest
 * of their worker, and counts for as long as stops take. */
static void
test_run_of_an_ended_job_counts(void)
{
    fv_running_row_t row = {.run = 1, .task_id = JOB_B ".0.0.0"};
    fv_worker_report_t report = {.clock_ms = 1000,
                                 .started_wall_ms = FIRST_START_MS,
                                 .running = &row,
                                 .running_count = 1};
    fv_sched_worker_t *first;

    open_cell(14000, 1);
    first = FvSched_FindWorker(&fixture.sched, "w1");
    add_job(JOB_A, four_tasks);
    fixture.ended_customer = CUSTOMER;
    FvSched_ApplyReport(&fixture.sched, first, &report, fixture.now_ms,
                        fixture.now_ms);
    run_pass(0);
    CU_ASSERT_EQUAL(starts(JOB_A), 1);
    for (int64_t ms = 0; ms < STOP_OVER_MS; ms += 1000) {
        CU_ASSERT_EQUAL(starts(JOB_A), 1);
        fixture.now_ms += 1000; /* the worker does not stop the run */
        FvSched_ApplyReport(&fixture.sched, first, &report, fixture.now_ms,
                            fixture.now_ms);
        run_pass(0);
    }
    CU_ASSERT_EQUAL(starts(JOB_A), 4);
    FvSchedFixture_Close(&fixture);
}

/* A worker with an orphaned run never answers again. The run ends with the
 * worker's lease, and counts no longer. */
static void
test_orphaned_run_that_is_never_resolved(void)
{
    fv_sched_worker_t *first;
    fv_orphan_run_t *orphan;

    open_cell(2000, 1);
    first = FvSched_FindWorker(&fixture.sched, "w1");
    first->lease_expires_ms = fixture.now_ms + Fv_FIXTURE_LEASE_MS;
    add_job(JOB_A, one_task);
    orphan = FvSched_AddOrphanRun(first, JOB_B ".0.0.0", 1, fixture.now_ms);
    orphan->start_arrived = false;
    orphan->start_until_ms = fixture.now_ms + Fv_ORDER_DELAY_MAX_MS;
    FvSched_ChargeOrphanRun(orphan, find_stage(JOB_A)->job,
                            find_stage(JOB_A)->step);
    first->listed = false;
    FvSchedFixture_ReportUnanswered(&fixture, first);
    run_pass(Fv_FIXTURE_LEASE_MS);
    CU_ASSERT_EQUAL(starts(JOB_A), 0);
    fixture.now_ms += ORDER_OVER_MS - Fv_FIXTURE_LEASE_MS + 1;
    FvSched_ConfirmLead(&fixture.sched, fixture.now_ms);
    run_pass(0);
    CU_ASSERT_EQUAL(starts(JOB_A), 1);
    FvSchedFixture_Close(&fixture);
}

/* What an earlier leader started counts until each worker has told of its
 * runs, and until inherited tasks are no longer held at the latest. */
static void
test_inherited_tasks_count(void)
{
    fv_sched_worker_t *unknown;

    open_cell(6000, 2);
    unknown = FvSched_FindWorker(&fixture.sched, "w2");
    unknown->synced = false;
    unknown->suspect = true;
    fixture.sched.hold_inherited_tasks = true;
    add_job(JOB_A, four_tasks);
    FvSched_MarkJobInherited(FvSched_FindJob(&fixture.sched, JOB_A));
    add_job(JOB_B, four_tasks);
    run_pass(0);
    CU_ASSERT_EQUAL(starts(JOB_A), 0);
    CU_ASSERT_EQUAL(starts(JOB_B), 0);
    CU_ASSERT_EQUAL(
        FvSched_WaitCause(&fixture.sched, find_stage(JOB_B), fixture.now_ms),
        Fv_WAIT_CAP);
    fixture.sched.hold_inherited_tasks = false;
    run_pass(0);
    CU_ASSERT_EQUAL(starts(JOB_A) + starts(JOB_B), 3);
    FvSchedFixture_Close(&fixture);
}

/* They are on the workers that have not reported, and take no more than these
 * have: one silent worker does not keep a customer from its cap. */
static void
test_inherited_tasks_fit_into_the_silent_workers(void)
{
    fv_sched_worker_t *unknown;

    open_cell(6000, 2);
    unknown = FvSched_FindWorker(&fixture.sched, "w2");
    unknown->synced = false;
    unknown->entry.cpu_millis = 2000;
    unknown->free.cpu_millis = 2000;
    fixture.sched.hold_inherited_tasks = true;
    add_job(JOB_A, four_tasks);
    FvSched_MarkJobInherited(FvSched_FindJob(&fixture.sched, JOB_A));
    add_job(JOB_B, four_tasks);
    run_pass(0);
    CU_ASSERT_EQUAL(starts(JOB_B), 2);
    unknown->synced = true;
    run_pass(0);
    CU_ASSERT_EQUAL(starts(JOB_B), 3);
    FvSchedFixture_Close(&fixture);
}

/* A job that was cancelled while a new leader did not know of its runs yet.
 * Once it is forgotten nobody can tell whose runs they are. */
static void
test_cancelled_inherited_job_is_kept(void)
{
    fv_sched_job_t *job;

    open_cell(6000, 2);
    fixture.sched.hold_inherited_tasks = true;
    add_job(JOB_A, four_tasks);
    job = FvSched_FindJob(&fixture.sched, JOB_A);
    FvSched_MarkJobInherited(job);
    FvSched_CancelJob(&fixture.sched, job, fixture.now_ms);
    CU_ASSERT_FALSE(FvSched_MayRemoveJob(&fixture.sched, job));
    fixture.sched.hold_inherited_tasks = false;
    CU_ASSERT_TRUE(FvSched_MayRemoveJob(&fixture.sched, job));
    FvSchedFixture_Close(&fixture);
}

/* A fault in the accounts would keep a customer from its cap for good. */
static void
test_wrong_account_is_corrected(void)
{
    uint64_t corrected = FvMetrics_Get(Fv_COUNTER_ACCOUNTS_CORRECTED);

    open_cell(4000, 1);
    add_job(JOB_A, four_tasks);
    FvSched_FindCustomer(&fixture.sched, CUSTOMER)->usage.cpu_millis = 9000;
    fixture.sched.accounts_audited_ms = fixture.now_ms;
    run_pass(AUDIT_MS - 1);
    CU_ASSERT_EQUAL(starts(JOB_A), 0);
    run_pass(1);
    CU_ASSERT_EQUAL(starts(JOB_A), 2);
    CU_ASSERT_EQUAL(FvMetrics_Get(Fv_COUNTER_ACCOUNTS_CORRECTED),
                    corrected + 1);
    FvSchedFixture_Close(&fixture);
}

/* An unanswered start counts as running. It is not repeated after the cap was
 * lowered: a stop forbids it. */
static void
test_unanswered_start_above_a_lowered_cap(void)
{
    fv_sched_task_t *task;

    open_cell(4000, 1);
    add_job(JOB_A, four_tasks);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(starts(JOB_A), 2);
    task = find_task(JOB_A, 1);
    FvSched_StartAnswered(&fixture.sched, find_task(JOB_A, 0), 1,
                          Fv_ORDER_DONE, fixture.now_ms);
    FvSched_StartAnswered(&fixture.sched, task, 1, Fv_ORDER_UNCONFIRMED,
                          fixture.now_ms);
    FvSchedFixture_RunPass(&fixture);
    CU_ASSERT_EQUAL(starts(JOB_A), 2);
    set_cap(2000);
    fixture.now_ms += 10;
    CU_ASSERT_FALSE(FvSched_RetryStart(&fixture.sched, task, fixture.now_ms));
    CU_ASSERT_EQUAL(starts(JOB_A), 2);
    report_nothing(task->worker->entry.id);
    CU_ASSERT_EQUAL(task->state, Fv_SCHED_STOPPING);
    FvSchedFixture_Close(&fixture);
}

/* A job with a task or a gang above the cap would never start. */
static void
test_jobs_that_can_never_start(void)
{
    const fv_sched_customer_t *customer;
    fv_job_spec_t spec;

    open_cell(6000, 1);
    customer = FvSched_FindCustomer(&fixture.sched, CUSTOMER);
    CU_ASSERT_TRUE_FATAL(
        FvPlatform_DecodeJobSpec(gang_of_three, strlen(gang_of_three), &spec));
    CU_ASSERT_TRUE(FvSched_CanFitUnderCap(customer, &spec));
    CU_ASSERT_TRUE(FvSched_CanFitUnderCap(NULL, &spec));
    set_cap(5999);
    CU_ASSERT_FALSE(FvSched_CanFitUnderCap(customer, &spec));
    spec.steps[0].gang = false;
    CU_ASSERT_TRUE(FvSched_CanFitUnderCap(customer, &spec));
    set_cap(1999);
    CU_ASSERT_FALSE(FvSched_CanFitUnderCap(customer, &spec));
    FvJobSpec_Clear(&spec);
    FvSchedFixture_Close(&fixture);
}

/* Opens a full cell in which OTHER runs more than CUSTOMER, and adds a job of
 * each; that of OTHER came first. */
static void
open_contended_cell(int32_t priority_of_other)
{
    static const char eight_tasks[] =
        "{\"taskSpec\":\"x\",\"steps\":[{\"count\":8,\"cpu\":2000,"
        "\"memMb\":10,\"estimatedMs\":4000}]}";

    open_cell(0, 1);
    add_job(JOB_A, four_tasks);
    fixture.customer = OTHER;
    add_job("00000000000000dd", eight_tasks);
    run_pass(0);
    queue.priority = priority_of_other;
    add_job(JOB_B, one_task);
    queue.priority = 1;
    fixture.now_ms += 100;
    fixture.customer = CUSTOMER;
    add_job(JOB_C, one_task);
    run_pass(0);
    CU_ASSERT_EQUAL(starts(JOB_B) + starts(JOB_C), 0);
}

/* A customer that fills the cell first would keep it by the order of arrival
 * alone. */
static void
test_customer_below_its_share_comes_first(void)
{
    open_contended_cell(1);
    end_task("00000000000000dd", 0);
    run_pass(0);
    CU_ASSERT_EQUAL(starts(JOB_B), 0);
    CU_ASSERT_EQUAL(starts(JOB_C), 1);
    FvSchedFixture_Close(&fixture);
}

/* Shares decide within one priority only. */
static void
test_priority_comes_before_shares(void)
{
    open_contended_cell(0);
    end_task("00000000000000dd", 0);
    run_pass(0);
    CU_ASSERT_EQUAL(starts(JOB_B), 1);
    CU_ASSERT_EQUAL(starts(JOB_C), 0);
    FvSchedFixture_Close(&fixture);
}

/* Twice the usage is no more than the share of a customer with three times the
 * weight. */
static void
test_weights(void)
{
    fv_cell_customer_t customers[] = {{.name = CUSTOMER, .weight = 1},
                                      {.name = OTHER, .weight = 3}};

    open_contended_cell(1);
    FvSched_SetCustomers(&fixture.sched,
                         &(fv_cell_config_t){.has_customers = true,
                                             .customer_count = 2,
                                             .customers = customers});
    end_task("00000000000000dd", 0);
    run_pass(0);
    CU_ASSERT_EQUAL(starts(JOB_B), 1);
    CU_ASSERT_EQUAL(starts(JOB_C), 0);
    FvSchedFixture_Close(&fixture);
}

/* A customer at a low cap uses little and can't use more. Counted among those
 * that compete, it would put both others above their share. */
static void
test_capped_customer_does_not_compete(void)
{
    static const char seven_tasks[] =
        "{\"taskSpec\":\"x\",\"steps\":[{\"count\":7,\"cpu\":2000,"
        "\"memMb\":10,\"estimatedMs\":4000}]}";
    fv_cell_customer_t customers[] = {
        {.name = "capped", .weight = 1, .cpu_millis_max = 2000},
        {.name = CUSTOMER, .weight = 1},
        {.name = OTHER, .weight = 1}};

    open_cell(0, 1);
    FvSched_SetCustomers(&fixture.sched,
                         &(fv_cell_config_t){.has_customers = true,
                                             .customer_count = 3,
                                             .customers = customers});
    add_job(JOB_A, four_tasks);
    fixture.customer = "capped";
    add_job("00000000000000ee", four_tasks);
    fixture.customer = OTHER;
    add_job("00000000000000dd", seven_tasks);
    run_pass(0);
    CU_ASSERT_EQUAL(starts("00000000000000ee"), 1);
    add_job(JOB_B, one_task);
    fixture.now_ms += 100;
    fixture.customer = CUSTOMER;
    add_job(JOB_C, one_task);
    end_task("00000000000000dd", 0);
    run_pass(0);
    CU_ASSERT_EQUAL(starts(JOB_B), 0);
    CU_ASSERT_EQUAL(starts(JOB_C), 1);
    FvSchedFixture_Close(&fixture);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"single tasks start above the cap, or not up to it",
         test_single_tasks},
        {"a resource is not capped, or another customer is",
         test_each_resource_of_one_customer},
        {"a gang starts above the cap", test_gang},
        {"a gang member is started again above the cap",
         test_refilled_gang_member},
        {"a lowered cap stops tasks or admits one too early",
         test_lowered_and_raised_cap},
        {"a customer loses its account with the configuration",
         test_customer_leaves},
        {"a capped gang asks for advice",
         test_capped_stage_asks_for_no_advice},
        {"a capped gang reserves workers or stops tasks of others",
         test_capped_gang_claims_no_workers},
        {"a gang starves beside single tasks of its customer",
         test_gang_is_not_starved},
        {"a large task starves beside small ones of its customer",
         test_large_task_is_not_starved},
        {"room is kept for a gang that can't use it",
         test_no_room_is_kept_for_a_gang_above_half_of_the_cap},
        {"room is kept for a late gang", test_room_that_is_kept_ends},
        {"an orphaned run is not counted", test_orphaned_run_counts},
        {"a run of an ended job is not counted, or counts for ever",
         test_run_of_an_ended_job_counts},
        {"an orphaned run that is never resolved counts for ever",
         test_orphaned_run_that_is_never_resolved},
        {"runs of an earlier leader are not counted",
         test_inherited_tasks_count},
        {"one silent worker keeps a customer from its cap",
         test_inherited_tasks_fit_into_the_silent_workers},
        {"a job is forgotten while its runs are not known",
         test_cancelled_inherited_job_is_kept},
        {"a wrong account stays wrong", test_wrong_account_is_corrected},
        {"an unanswered start is repeated above a lowered cap",
         test_unanswered_start_above_a_lowered_cap},
        {"a job that can never start is accepted",
         test_jobs_that_can_never_start},
        {"a customer above its share comes first",
         test_customer_below_its_share_comes_first},
        {"shares come before priorities", test_priority_comes_before_shares},
        {"weights are ignored", test_weights},
        {"a customer at its cap changes the shares of others",
         test_capped_customer_does_not_compete},
    };

    return Fv_RUN_SUITE("sched_customer", cases);
}
