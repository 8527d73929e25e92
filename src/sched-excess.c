/*
 * Excess: jobs that a customer submits beyond its weight in jobs a second.
 * They start after all others, and are refused when there is no room for them.
 */

#include "scheduler.h"

/* Waiting excess claims free capacity for this long, the platform's bound for
 * a task that could run. What waits longer can't use that capacity. */
#define Fv_EXCESS_CLAIM_MS 3000

/* The bucket holds what is submitted in this time, and one job at least. */
#define Fv_EXCESS_BURST_S 1.0

/* Jobs that were refused for another reason come again within seconds. For
 * them the bucket holds what came in by the rate meanwhile: the longest outage
 * of the store (6 s) and the first retries (1 s). */
#define Fv_EXCESS_OUTAGE_S 7.0

/* Refusals further apart than this are not of one outage. */
#define Fv_EXCESS_REFUSAL_GAP_S 1.0

static bool
has_rate(const fv_sched_customer_t *customer)
{
    return customer != NULL && customer->configured && customer->job_rate > 0;
}

static double
burst(const fv_sched_customer_t *customer)
{
    double jobs = customer->job_rate * Fv_EXCESS_BURST_S;

    return jobs > 1.0 ? jobs : 1.0;
}

static double
elapsed_s(const fv_sched_customer_t *customer, int64_t now_ms)
{
    return (double)(now_ms - customer->tokens_ms) / Fv_MS_PER_S;
}

/* A bucket starts full. It stands still while the clock is behind, and when it
 * holds more than usual after an outage. */
static double
tokens_at(const fv_sched_customer_t *customer, int64_t now_ms)
{
    double most = burst(customer);
    double tokens =
        customer->tokens + elapsed_s(customer, now_ms) * customer->job_rate;

    if (customer->tokens_ms == 0) {
        return most;
    }
    if (customer->tokens > most || tokens < customer->tokens) {
        return customer->tokens;
    }
    return tokens > most ? most : tokens;
}

/**
 * FvSched_IsOverRate - check whether a job that a customer submits now is
 * excess
 * @customer: the customer, or NULL
 * @now_ms: the time
 *
 * Return: false also when the newest configuration does not have the customer
 * or no weight for it.
 */
bool
FvSched_IsOverRate(const fv_sched_customer_t *customer, int64_t now_ms)
{
    return has_rate(customer) && tokens_at(customer, now_ms) < 1.0;
}

/**
 * FvSched_CountAcceptedJob - count a job against its customer's rate
 * @job: the job, with an account; marked as excess when it is beyond the rate
 * @now_ms: the time
 */
void
FvSched_CountAcceptedJob(fv_sched_job_t *job, int64_t now_ms)
{
    fv_sched_customer_t *customer = job->account;

    if (!has_rate(customer)) {
        return;
    }
    customer->tokens = tokens_at(customer, now_ms);
    customer->tokens_ms = now_ms;
    job->excess = customer->tokens < 1.0;
    if (!job->excess) {
        customer->tokens -= 1.0;
    }
}

/**
 * FvSched_CountRefusedJob - count a job that was refused for another reason
 * than its customer's rate
 * @customer: the customer, or NULL
 * @now_ms: the time
 *
 * Callers repeat it with others after the outage that it was refused for. What
 * comes then is not excess if it had not been when it came first.
 */
void
FvSched_CountRefusedJob(fv_sched_customer_t *customer, int64_t now_ms)
{
    double most;
    double tokens;
    double gap_s;

    if (!has_rate(customer)) {
        return;
    }
    gap_s = elapsed_s(customer, now_ms);
    tokens = customer->tokens + gap_s * customer->job_rate;
    most = burst(customer) + Fv_EXCESS_OUTAGE_S * customer->job_rate;
    if (customer->tokens_ms == 0 || gap_s < 0 ||
        gap_s > Fv_EXCESS_REFUSAL_GAP_S) {
        tokens = tokens_at(customer, now_ms);
    }
    customer->tokens = tokens < most ? tokens : most;
    customer->tokens_ms = now_ms;
}

/**
 * FvSched_CountWithdrawnJob - no longer count an accepted job that was refused
 * after all, as it could not be recorded
 * @job: the job
 */
void
FvSched_CountWithdrawnJob(const fv_sched_job_t *job)
{
    if (has_rate(job->account) && !job->excess) {
        job->account->tokens += 1.0;
    }
}

/**
 * FvSched_IsExcess - check whether a stage is of a job beyond its customer's
 * rate
 * @stage: the stage
 *
 * Return: true when all others come before it.
 */
bool
FvSched_IsExcess(const fv_sched_stage_t *stage)
{
    return stage->job->excess;
}

/* What waiting excess will take of the free capacity. */
static fv_sched_resources_t
claimed_by_excess(const fv_sched_t *sched, int64_t now_ms)
{
    fv_sched_resources_t claimed = {0};

    for (const fv_sched_stage_t *stage = sched->pending; stage != NULL;
         stage = stage->pending_next) {
        if (stage->job->excess &&
            (stage->waiting_since_ms == 0 ||
             now_ms - stage->waiting_since_ms < Fv_EXCESS_CLAIM_MS)) {
            FvSched_AddTaskResources(&claimed, stage->step, stage->waiting);
        }
    }
    return claimed;
}

static bool
is_left(int64_t free, int64_t claimed, int64_t needed)
{
    return needed <= 0 || free - claimed >= needed;
}

/* Whether a task of the stage could start now, or all members of a gang. */
static bool
has_room_for_stage(const fv_sched_t *sched, const fv_sched_stage_t *stage,
                   const fv_sched_resources_t *claimed, int64_t now_ms)
{
    int32_t wanted = stage->step->gang ? stage->step->task_count : 1;
    fv_sched_resources_t needed = {0};
    fv_sched_resources_t free = {0};
    int64_t capacity = 0;

    for (const fv_sched_worker_t *worker = sched->workers; worker != NULL;
         worker = worker->hh.next) {
        int32_t tasks;

        if (!FvSched_IsWorkerEligible(worker, stage, now_ms)) {
            continue;
        }
        tasks = FvSched_FreeStageCapacity(worker, stage);
        if (tasks > 0) {
            capacity += tasks;
            free.cpu_millis += worker->free.cpu_millis;
            free.memory_mib += worker->free.memory_mib;
            free.accelerators += worker->free.accelerators;
        }
    }
    FvSched_AddTaskResources(&needed, stage->step, wanted);
    return capacity >= wanted &&
           is_left(free.cpu_millis, claimed->cpu_millis, needed.cpu_millis) &&
           is_left(free.memory_mib, claimed->memory_mib, needed.memory_mib) &&
           is_left(free.accelerators, claimed->accelerators,
                   needed.accelerators);
}

/**
 * FvSched_HasRoomForExcess - check whether a job that is excess could start
 * now
 * @sched: the scheduler
 * @customer: its customer
 * @queue: its queue
 * @spec: the job
 * @now_ms: the time
 *
 * Return: false when the customer's cap or the cell has no room for one of its
 * first steps, beside the excess that waits already.
 */
bool
FvSched_HasRoomForExcess(const fv_sched_t *sched,
                         const fv_sched_customer_t *customer,
                         const fv_cell_queue_t *queue,
                         const fv_job_spec_t *spec, int64_t now_ms)
{
    fv_sched_resources_t claimed = claimed_by_excess(sched, now_ms);
    fv_sched_job_t job = {.queue = *queue,
                          .account = (fv_sched_customer_t *)customer};

    for (uint32_t s = 0; s < spec->step_count; s++) {
        fv_sched_stage_t stage = {.job = &job,
                                  .step = &spec->steps[s],
                                  .waiting = spec->steps[s].task_count};

        if (spec->steps[s].predecessor_count == 0 &&
            (FvSched_IsHeldByCap(&stage) ||
             !has_room_for_stage(sched, &stage, &claimed, now_ms))) {
            return false;
        }
    }
    return true;
}
