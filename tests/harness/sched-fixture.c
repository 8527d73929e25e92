/*
 * A scheduler whose ops store the orders.
 */

#include "sched-fixture.h"

#include <stdlib.h>
#include <string.h>

static void
append_order(fv_sched_t *sched, const char *task, const char *worker,
             int32_t run, bool stop)
{
    sched_fixture_t *fixture = (sched_fixture_t *)sched;
    fixture_order_t *order = &fixture->orders[fixture->order_count];

    CU_ASSERT_FATAL(fixture->order_count < Fv_FIXTURE_ORDERS_MAX);
    fixture->order_count++;
    FvText_Copy(order->task, sizeof(order->task), task);
    FvText_Copy(order->worker, sizeof(order->worker), worker);
    order->run = run;
    order->stop = stop;
}

static bool
start(fv_sched_t *sched, fv_sched_task_t *task, const fv_verdict_t *verdict)
{
    sched_fixture_t *fixture = (sched_fixture_t *)sched;
    char name[Fv_RUN_TASK_ID_SIZE];

    (void)verdict;
    if (fixture->refuse_starts) {
        return false;
    }
    FvSched_TaskName(task, name, sizeof(name));
    append_order(sched, name, task->worker->entry.id, task->run, false);
    return true;
}

static void
stop(fv_sched_t *sched, fv_sched_task_t *task)
{
    char name[Fv_RUN_TASK_ID_SIZE];

    FvSched_TaskName(task, name, sizeof(name));
    append_order(sched, name, task->worker->entry.id, task->run, true);
}

static void
stop_orphan_run(fv_sched_t *sched, fv_sched_worker_t *worker, const char *task,
                int32_t run)
{
    append_order(sched, task, worker->entry.id, run, true);
}

static bool
request_advice(fv_sched_t *sched, fv_sched_stage_t *stage,
               fv_sched_worker_t *const *workers, uint32_t count)
{
    sched_fixture_t *fixture = (sched_fixture_t *)sched;

    if (fixture->refuse_advice) {
        return false;
    }
    CU_ASSERT_FATAL(count <= Fv_FIXTURE_ADVISED_MAX);
    fixture->advised_stage = stage;
    fixture->advised_count = count;
    for (uint32_t i = 0; i < count; i++) {
        fixture->advised_workers[i] = workers[i];
    }
    fixture->advice_request_count++;
    fixture->advice_worker_count += count;
    return true;
}

static void
record(fv_sched_t *sched, fv_sched_job_t *job, fv_record_kind_t kind)
{
    sched_fixture_t *fixture = (sched_fixture_t *)sched;

    fixture->progress_records += kind == Fv_RECORD_PROGRESS;
    if (kind == Fv_RECORD_END) {
        fixture->end_records++;
        job->recorded = job->outcome;
    }
}

static void
request_report(fv_sched_t *sched, fv_sched_worker_t *worker)
{
    sched_fixture_t *fixture = (sched_fixture_t *)sched;

    (void)worker;
    fixture->report_request_count++;
}

static const char *
ended_customer(fv_sched_t *sched, const char *task)
{
    (void)task;
    return ((sched_fixture_t *)sched)->ended_customer;
}

static const fv_sched_ops_t fixture_ops = {
    .decode = FvPlatform_DecodeJobSpec,
    .start = start,
    .stop = stop,
    .stop_orphan_run = stop_orphan_run,
    .request_advice = request_advice,
    .record = record,
    .request_report = request_report,
    .ended_customer = ended_customer,
};

/**
 * FvSchedFixture_RandomNormal - draw from a normal distribution
 * @state: state of the generator; the same seed gives the same sequence
 *
 * Return: the sum of 12 uniform variates of a linear congruential generator,
 * which approximates a standard normal one.
 */
double
FvSchedFixture_RandomNormal(uint64_t *state)
{
    double sum = -6.0;

    for (int i = 0; i < 12; i++) {
        *state = *state * UINT64_C(6364136223846793005) + 1442695040888963407;
        sum += (double)(*state >> 40) / (double)(1 << 24);
    }
    return sum;
}

/**
 * FvSchedFixture_Open - initialize an empty scheduler
 * @fixture: the fixture
 * @generation: number of the leader's term
 */
void
FvSchedFixture_Open(sched_fixture_t *fixture, int32_t generation)
{
    memset(fixture, 0, sizeof(*fixture));
    FvSched_Init(
        &fixture->sched, &fixture_ops,
        &(fv_sched_timeouts_t){.lease_ms = Fv_FIXTURE_LEASE_MS,
                               .lease_max_ms = 2 * Fv_FIXTURE_LEASE_MS,
                               .stop_max_ms = Fv_FIXTURE_STOP_MS,
                               .gang_refill_ms = 2000});
    fixture->sched.run_base = (generation - 1) * 1000;
    fixture->sched.random = 42;
    fixture->now_ms = 1000000;
}

/**
 * FvSchedFixture_ReportUnanswered - let a worker miss a report request, at a
 * time at which this host certainly leads
 * @fixture: the fixture
 * @worker: the worker
 */
void
FvSchedFixture_ReportUnanswered(sched_fixture_t *fixture,
                                fv_sched_worker_t *worker)
{
    FvSched_ConfirmLead(&fixture->sched, fixture->now_ms);
    FvSched_ReportUnanswered(&fixture->sched, worker, fixture->now_ms);
}

/**
 * FvSchedFixture_Close - release the scheduler
 * @fixture: the fixture
 */
void
FvSchedFixture_Close(sched_fixture_t *fixture)
{
    FvSched_Clear(&fixture->sched);
}

/**
 * FvSchedFixture_AddWorker - add a worker that has reported and is eligible
 * @fixture: the fixture
 * @id: its id
 * @rack: its rack
 * @cpu_millis: its processor capacity
 *
 * Return: the worker.
 */
fv_sched_worker_t *
FvSchedFixture_AddWorker(sched_fixture_t *fixture, const char *id,
                         const char *rack, int64_t cpu_millis)
{
    fv_worker_entry_t entry = {.service = "s",
                               .address = "127.0.0.1:1",
                               .cpu_millis = cpu_millis,
                               .memory_mib = 1 << 20,
                               .started_wall_ms = 1,
                               .label_count = 2};
    fv_worker_report_t report = {.clock_ms = 1000, .started_wall_ms = 1};
    fv_sched_worker_t *worker;

    FvText_Copy(entry.id, sizeof(entry.id), id);
    FvText_Copy(entry.labels[0], Fv_NAME_SIZE, "a");
    FvText_Copy(entry.labels[1], Fv_NAME_SIZE, rack);
    FvText_Copy(entry.rack, sizeof(entry.rack), rack);
    worker = FvSched_UpdateWorker(&fixture->sched, &entry, fixture->now_ms);
    CU_ASSERT_PTR_NOT_NULL_FATAL(worker);
    if (worker == NULL) {
        abort();
    }
    worker->in_worker_list = true;
    FvSched_ApplyReport(&fixture->sched, worker, &report, fixture->now_ms,
                        fixture->now_ms);
    return worker;
}

/**
 * FvSchedFixture_MakeQueue - make a queue that needs no advice
 * @name: its name
 * @priority: its priority
 *
 * Return: the queue.
 */
fv_cell_queue_t
FvSchedFixture_MakeQueue(const char *name, int32_t priority)
{
    fv_cell_queue_t queue = {.service = "s",
                             .priority = priority,
                             .attempts_max = 2,
                             .stretch = 2.0,
                             .objective_ms = 1000};

    FvText_Copy(queue.name, sizeof(queue.name), name);
    return queue;
}

/**
 * FvSchedFixture_MakeAdvisedQueue - make a queue whose tasks need tickets
 * @name: its name
 * @priority: its priority
 *
 * Return: the queue. A call costs as much as 70 workers in it; the tickets are
 * valid for 2.5 s.
 */
fv_cell_queue_t
FvSchedFixture_MakeAdvisedQueue(const char *name, int32_t priority)
{
    fv_cell_queue_t queue = FvSchedFixture_MakeQueue(name, priority);

    queue.needs_advice = true;
    queue.advice_base_us = 420000;
    queue.advice_per_worker_us = 6000;
    queue.ticket_valid_ms = 2500;
    return queue;
}

/**
 * FvSchedFixture_AllowAll - an advice service that allows every worker
 * @worker: its id
 *
 * Return: true.
 */
bool
FvSchedFixture_AllowAll(const char *worker)
{
    (void)worker;
    return true;
}

/**
 * FvSchedFixture_AnswerAdvice - answer the latest call for advice
 * @fixture: the fixture
 * @allows: whether the service allows a worker, by its id
 *
 * Return: false when no call is unanswered.
 */
bool
FvSchedFixture_AnswerAdvice(sched_fixture_t *fixture,
                            bool (*allows)(const char *worker))
{
    fv_advice_row_t rows[Fv_FIXTURE_ADVISED_MAX];
    fv_advice_t advice = {.rows = rows};
    fv_sched_stage_t *stage = fixture->advised_stage;

    if (stage == NULL) {
        return false;
    }
    for (uint32_t i = 0; i < fixture->advised_count; i++) {
        const char *id = fixture->advised_workers[i]->entry.id;

        if (allows(id)) {
            fv_advice_row_t *row = &rows[advice.row_count++];

            FvText_Copy(row->worker_id, sizeof(row->worker_id), id);
            row->ticket = "t";
        }
    }
    fixture->advised_stage = NULL;
    FvSched_ApplyAdvice(&fixture->sched, stage, fixture->advised_workers,
                        fixture->advised_count, &advice, fixture->now_ms);
    return true;
}

/**
 * FvSchedFixture_AddJob - add an accepted and recorded job
 * @fixture: the fixture
 * @id: its id, 16 digits
 * @queue: its queue
 * @document: the submission
 *
 * Return: the job.
 */
fv_sched_job_t *
FvSchedFixture_AddJob(sched_fixture_t *fixture, const char *id,
                      const fv_cell_queue_t *queue, const char *document)
{
    fv_job_spec_t spec;
    fv_sched_job_t *job;

    CU_ASSERT_TRUE_FATAL(
        FvPlatform_DecodeJobSpec(document, strlen(document), &spec));
    job = FvSched_AddJob(&fixture->sched, id, queue, &spec, document,
                         strlen(document), fixture->now_ms, fixture->now_ms);
    CU_ASSERT_PTR_NOT_NULL_FATAL(job);
    if (fixture->customer != NULL) {
        FvText_Copy(job->customer, sizeof(job->customer), fixture->customer);
    }
    FvSched_MarkJobDurable(&fixture->sched, job);
    FvSched_ReleaseStages(&fixture->sched, job, fixture->now_ms,
                          fixture->now_ms);
    return job;
}

/**
 * FvSchedFixture_RunPass - run one scheduling pass with a stored worker list
 * @fixture: the fixture
 */
void
FvSchedFixture_RunPass(sched_fixture_t *fixture)
{
    for (fv_sched_worker_t *worker = fixture->sched.workers; worker != NULL;
         worker = worker->hh.next) {
        worker->long_lease_stored = true;
    }
    FvSched_RunPass(&fixture->sched, fixture->now_ms, fixture->now_ms);
}

static uint32_t
count_orders(const sched_fixture_t *fixture, const char *job, bool stops)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < fixture->order_count; i++) {
        count += fixture->orders[i].stop == stops &&
                 strncmp(fixture->orders[i].task, job, strlen(job)) == 0;
    }
    return count;
}

/**
 * FvSchedFixture_CountStarts - count the start orders of a job
 * @fixture: the fixture
 * @job: its id
 *
 * Return: the count, with retries.
 */
uint32_t
FvSchedFixture_CountStarts(const sched_fixture_t *fixture, const char *job)
{
    return count_orders(fixture, job, false);
}

/**
 * FvSchedFixture_CountRuns - count the runs of a task that were ordered
 * @fixture: the fixture
 * @task: its name
 *
 * Unlike in FvSchedFixture_CountStarts(), a retried order counts once.
 *
 * Return: the count.
 */
uint32_t
FvSchedFixture_CountRuns(const sched_fixture_t *fixture, const char *task)
{
    const fixture_order_t *latest = NULL;
    uint32_t count = 0;

    for (uint32_t i = 0; i < fixture->order_count; i++) {
        const fixture_order_t *order = &fixture->orders[i];

        if (order->stop || strcmp(order->task, task) != 0) {
            continue;
        }
        count += latest == NULL || latest->run != order->run ||
                 strcmp(latest->worker, order->worker) != 0;
        latest = order;
    }
    return count;
}

/**
 * FvSchedFixture_CountStops - count the stop orders of a job
 * @fixture: the fixture
 * @job: its id
 *
 * Return: the count, with retries.
 */
uint32_t
FvSchedFixture_CountStops(const sched_fixture_t *fixture, const char *job)
{
    return count_orders(fixture, job, true);
}

/**
 * FvSchedFixture_ConfirmStarts - confirm all starts that are not answered
 * @fixture: the fixture
 */
void
FvSchedFixture_ConfirmStarts(sched_fixture_t *fixture)
{
    for (uint32_t i = 0; i < fixture->order_count; i++) {
        const fixture_order_t *order = &fixture->orders[i];
        fv_sched_task_t *task = FvSched_FindTask(&fixture->sched, order->task);

        if (!order->stop && task != NULL && task->run == order->run &&
            task->state == Fv_SCHED_STARTING) {
            FvSched_StartAnswered(&fixture->sched, task, order->run,
                                  Fv_ORDER_DONE, fixture->now_ms);
        }
    }
}

/**
 * FvSchedFixture_ReportEnd - report the end of a run, and the running tasks
 * @fixture: the fixture
 * @worker: its id
 * @number: the end's number
 * @task: name of the task
 * @run: number of the run
 * @end: how it ended
 */
void
FvSchedFixture_ReportEnd(sched_fixture_t *fixture, const char *worker,
                         int64_t number, const char *task, int32_t run,
                         fv_run_end_t end)
{
    fv_sched_worker_t *entry = FvSched_FindWorker(&fixture->sched, worker);
    fv_running_row_t running[256];
    fv_ended_row_t ended = {.number = number, .run = run, .end = end};
    fv_worker_report_t report = {.clock_ms = fixture->now_ms,
                                 .started_wall_ms = 1,
                                 .running = running,
                                 .ended = &ended,
                                 .ended_count = 1};

    CU_ASSERT_PTR_NOT_NULL_FATAL(entry);
    if (entry == NULL) {
        abort();
    }
    FvText_Copy(ended.task_id, sizeof(ended.task_id), task);
    for (const fv_sched_task_t *other = entry->tasks; other != NULL;
         other = other->worker_next) {
        fv_running_row_t *row = &running[report.running_count];

        *row = (fv_running_row_t){.run = other->run,
                                  .percent = other->percent + 1};
        FvSched_TaskName(other, row->task_id, sizeof(row->task_id));
        report.running_count += strcmp(row->task_id, task) != 0;
    }
    FvSched_ApplyReport(&fixture->sched, entry, &report, fixture->now_ms,
                        fixture->now_ms);
}
