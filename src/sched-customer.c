/*
 * Customers of the cell: what their tasks use over all workers, the caps on
 * it, and their weighted shares.
 */

#include "decision.h"
#include "scheduler.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* How often the accounts are compared with the tasks on the workers, which
 * bounds how long a wrong account could keep a customer from a start. */
#define Fv_ACCOUNT_AUDIT_MS 1000

/* Weight of a customer that no configuration known to this leader contains;
 * its jobs were accepted by an earlier one. */
#define Fv_UNKNOWN_WEIGHT 1.0

/* How long an orphaned run of unknown size counts at most. A worker carries
 * out a stop within the longest delay of an order and the stop timeout, which
 * is below a second. */
#define Fv_ESTIMATE_MAX_MS (Fv_ORDER_DELAY_MAX_MS + 1000)

/* Relative difference below which two shares count as equal. */
#define Fv_SHARE_TOLERANCE 1e-6

static int64_t
larger(int64_t a, int64_t b)
{
    return a > b ? a : b;
}

/* What is free on a worker may be below 0. */
static void
add_resources(fv_sched_resources_t *sum, const fv_sched_resources_t *more)
{
    sum->cpu_millis += larger(more->cpu_millis, 0);
    sum->memory_mib += larger(more->memory_mib, 0);
    sum->accelerators += larger(more->accelerators, 0);
}

static int64_t
smaller(int64_t a, int64_t b)
{
    return a < b ? a : b;
}

/**
 * FvSched_FindCustomer - find a customer by its name
 * @sched: the scheduler
 * @name: the name
 *
 * Return: the customer, or NULL when neither the configuration nor a job
 * names it.
 */
fv_sched_customer_t *
FvSched_FindCustomer(const fv_sched_t *sched, const char *name)
{
    fv_sched_customer_t *customer = NULL;

    HASH_FIND_STR(sched->customers, name, customer);
    return customer;
}

static fv_sched_customer_t *
find_or_add(fv_sched_t *sched, const char *name)
{
    fv_sched_customer_t *customer = FvSched_FindCustomer(sched, name);

    if (customer != NULL) {
        return customer;
    }
    customer = calloc(1, sizeof(*customer));
    if (customer == NULL) {
        abort(); /* its tasks would start without regard to its cap */
    }
    FvText_Copy(customer->name, sizeof(customer->name), name);
    customer->weight = Fv_UNKNOWN_WEIGHT;
    HASH_ADD_STR(sched->customers, name, customer);
    return customer;
}

static void
remove_unused(fv_sched_t *sched, bool all)
{
    fv_sched_customer_t *customer;
    fv_sched_customer_t *next;

    for (customer = sched->customers; customer != NULL; customer = next) {
        next = customer->hh.next;
        if (all || (!customer->configured && customer->references == 0)) {
            /* uthash unlinks the entry, which the analyzer does not see. */
            /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
            HASH_DEL(sched->customers, customer);
            free(customer);
        }
    }
}

/**
 * FvSched_SetCustomers - apply the customers of a configuration
 * @sched: the scheduler
 * @config: the newest configuration that this leader has
 *
 * A customer that is not in it keeps its account, weight and cap for as long
 * as it has jobs or runs. Without customers in the configuration no cap is in
 * force.
 */
void
FvSched_SetCustomers(fv_sched_t *sched, const fv_cell_config_t *config)
{
    for (fv_sched_customer_t *customer = sched->customers; customer != NULL;
         customer = customer->hh.next) {
        customer->configured = false;
        if (!config->has_customers) {
            customer->cap = (fv_sched_resources_t){0};
        }
    }
    for (uint32_t i = 0; i < config->customer_count; i++) {
        const fv_cell_customer_t *source = &config->customers[i];
        fv_sched_customer_t *customer = find_or_add(sched, source->name);

        customer->configured = true;
        customer->weight = source->weight;
        customer->job_rate = source->job_rate;
        customer->cap =
            (fv_sched_resources_t){.cpu_millis = source->cpu_millis_max,
                                   .memory_mib = source->memory_mib_max,
                                   .accelerators = source->accelerators_max};
    }
    remove_unused(sched, false);
    sched->dirty = true; /* a higher cap may admit waiting tasks */
}

/**
 * FvSched_ClearCustomers - free all customers
 * @sched: the scheduler, without jobs and workers
 */
void
FvSched_ClearCustomers(fv_sched_t *sched)
{
    remove_unused(sched, true);
}

/**
 * FvSched_OpenAccount - connect a job to the account of its customer
 * @sched: the scheduler
 * @job: the job; ignored when it has no customer, or an account already
 */
void
FvSched_OpenAccount(fv_sched_t *sched, fv_sched_job_t *job)
{
    if (job->account == NULL && job->customer[0] != '\0') {
        job->account = find_or_add(sched, job->customer);
        job->account->references++;
    }
}

/**
 * FvSched_CloseAccount - disconnect a job that is removed from its account
 * @job: the job; none of its tasks is on a worker
 */
void
FvSched_CloseAccount(fv_sched_job_t *job)
{
    if (job->account != NULL) {
        job->account->references--;
        job->account = NULL;
    }
}

/**
 * FvSched_ChargeTasks - count tasks as usage of their customer
 * @stage: their stage
 * @count: number of tasks; below 0 to stop counting them
 */
void
FvSched_ChargeTasks(const fv_sched_stage_t *stage, int64_t count)
{
    if (stage->job->account != NULL) {
        FvSched_AddTaskResources(&stage->job->account->usage, stage->step,
                                 count);
    }
}

/**
 * FvSched_ChargeOrphanRun - note whose an orphaned run is and what it uses
 * @orphan: the run; ignored when that is known already
 * @job: its job
 * @step: its step
 */
void
FvSched_ChargeOrphanRun(fv_orphan_run_t *orphan, const fv_sched_job_t *job,
                        const fv_step_spec_t *step)
{
    if (orphan->customer == NULL && job->account != NULL) {
        orphan->customer = job->account;
        orphan->customer->references++;
        FvSched_AddTaskResources(&orphan->resources, step, 1);
    }
}

/**
 * FvSched_EstimateOrphanRun - note whose an orphaned run of an unknown job is
 * @sched: the scheduler
 * @orphan: the run; ignored when that is known already
 * @now_ms: the time
 *
 * The job ended under an earlier leader, and its run is being stopped. What it
 * uses is not known, and may be all that its worker has left.
 */
void
FvSched_EstimateOrphanRun(fv_sched_t *sched, fv_orphan_run_t *orphan,
                          int64_t now_ms)
{
    const char *name = sched->customers != NULL && orphan->customer == NULL &&
                               sched->ops->ended_customer != NULL
                           ? sched->ops->ended_customer(sched, orphan->task)
                           : NULL;

    if (name == NULL) {
        return;
    }
    orphan->customer = FvSched_FindCustomer(sched, name);
    if (orphan->customer != NULL) {
        orphan->customer->references++;
        orphan->estimated_until_ms = now_ms + Fv_ESTIMATE_MAX_MS;
    }
}

/**
 * FvSched_ReleaseOrphanRun - forget whose an orphaned run is
 * @orphan: the run, which is removed
 */
void
FvSched_ReleaseOrphanRun(fv_orphan_run_t *orphan)
{
    if (orphan->customer != NULL) {
        orphan->customer->references--;
        orphan->customer = NULL;
    }
}

static bool
equal_resources(const fv_sched_resources_t *a, const fv_sched_resources_t *b)
{
    return a->cpu_millis == b->cpu_millis && a->memory_mib == b->memory_mib &&
           a->accelerators == b->accelerators;
}

static void
correct_account(fv_sched_customer_t *customer)
{
    if (!equal_resources(&customer->usage, &customer->audited)) {
        FvMetrics_Add(Fv_COUNTER_ACCOUNTS_CORRECTED, 1);
        FvLog_Event(Fv_LOG_ERROR, "customer_account_corrected",
                    "customer=%s cpu=%" PRId64 " counted_cpu=%" PRId64
                    " memory=%" PRId64 " counted_memory=%" PRId64
                    " accelerators=%" PRId64 " counted_accelerators=%" PRId64,
                    customer->name, customer->usage.cpu_millis,
                    customer->audited.cpu_millis, customer->usage.memory_mib,
                    customer->audited.memory_mib, customer->usage.accelerators,
                    customer->audited.accelerators);
        customer->usage = customer->audited;
    }
}

static void
log_cap(fv_sched_customer_t *customer)
{
    if (customer->held != customer->held_logged) {
        FvLog_Event(Fv_LOG_INFO,
                    customer->held ? "customer_at_cap" : "customer_below_cap",
                    "customer=%s cpu=%" PRId64 " cpu_cap=%" PRId64
                    " memory=%" PRId64 " memory_cap=%" PRId64
                    " accelerators=%" PRId64 " accelerators_cap=%" PRId64
                    " in_doubt_cpu=%" PRId64 " in_doubt_memory=%" PRId64,
                    customer->name, customer->usage.cpu_millis,
                    customer->cap.cpu_millis, customer->usage.memory_mib,
                    customer->cap.memory_mib, customer->usage.accelerators,
                    customer->cap.accelerators, customer->in_doubt.cpu_millis,
                    customer->in_doubt.memory_mib);
    }
    customer->held_logged = customer->held;
    customer->held = false;
}

/* Counts the accounts anew from the tasks on the workers, and the capacity of
 * the listed workers. */
static void
audit_accounts(fv_sched_t *sched)
{
    fv_sched_customer_t *customer;

    sched->capacity = (fv_sched_resources_t){0};
    for (customer = sched->customers; customer != NULL;
         customer = customer->hh.next) {
        customer->audited = (fv_sched_resources_t){0};
    }
    for (const fv_sched_worker_t *worker = sched->workers; worker != NULL;
         worker = worker->hh.next) {
        if (worker->listed) {
            sched->capacity.cpu_millis += worker->entry.cpu_millis;
            sched->capacity.memory_mib += worker->entry.memory_mib;
            sched->capacity.accelerators += worker->entry.accelerators;
        }
        for (const fv_sched_task_t *task = worker->tasks; task != NULL;
             task = task->worker_next) {
            if (task->stage->job->account != NULL) {
                FvSched_AddTaskResources(&task->stage->job->account->audited,
                                         task->stage->step, 1);
            }
        }
    }
    for (customer = sched->customers; customer != NULL;
         customer = customer->hh.next) {
        correct_account(customer);
        log_cap(customer);
    }
}

static fv_sched_resources_t
largest_worker(const fv_sched_t *sched)
{
    fv_sched_resources_t largest = {0};

    for (const fv_sched_worker_t *worker = sched->workers; worker != NULL;
         worker = worker->hh.next) {
        const fv_worker_entry_t *entry = &worker->entry;

        largest.cpu_millis = larger(largest.cpu_millis, entry->cpu_millis);
        largest.memory_mib = larger(largest.memory_mib, entry->memory_mib);
        largest.accelerators =
            larger(largest.accelerators, entry->accelerators);
    }
    return largest;
}

/* Capacity in which runs of earlier leaders may be that are not known. Of a
 * worker that is not in the registry only the name is known. */
static fv_sched_resources_t
unknown_capacity(const fv_sched_t *sched, int64_t now_ms)
{
    fv_sched_resources_t largest = largest_worker(sched);
    fv_sched_resources_t sum = {0};

    for (const fv_sched_worker_t *worker = sched->workers; worker != NULL;
         worker = worker->hh.next) {
        if (FvSched_MayHaveUnknownRuns(sched, worker, now_ms)) {
            add_resources(&sum, worker->entry.cpu_millis > 0 ? &worker->free
                                                             : &largest);
        }
    }
    return sum;
}

static void
add_inherited_tasks(const fv_sched_job_t *job)
{
    for (uint32_t o = 0; o < job->open_count; o++) {
        const fv_occurrence_t *occurrence = job->occurrences[o];

        for (uint32_t s = 0;
             occurrence->stages != NULL && s < job->spec.step_count; s++) {
            FvSched_AddTaskResources(&job->account->in_doubt,
                                     &job->spec.steps[s],
                                     occurrence->stages[s].waiting);
        }
    }
}

/* Tasks of which no run is known count as running, as far as they fit into the
 * workers whose runs are not known. */
static void
count_inherited_tasks(fv_sched_t *sched, int64_t now_ms)
{
    fv_sched_resources_t unknown = unknown_capacity(sched, now_ms);

    for (const fv_sched_job_t *job = sched->jobs; job != NULL;
         job = job->hh.next) {
        if (job->inherited && job->account != NULL) {
            add_inherited_tasks(job);
        }
    }
    for (fv_sched_customer_t *customer = sched->customers; customer != NULL;
         customer = customer->hh.next) {
        fv_sched_resources_t *in_doubt = &customer->in_doubt;

        in_doubt->cpu_millis =
            smaller(in_doubt->cpu_millis, unknown.cpu_millis);
        in_doubt->memory_mib =
            smaller(in_doubt->memory_mib, unknown.memory_mib);
        in_doubt->accelerators =
            smaller(in_doubt->accelerators, unknown.accelerators);
    }
}

/* Runs of one customer whose size is not known have the rest of their worker
 * together. */
static void
count_orphan_runs_of(const fv_sched_t *sched, const fv_sched_worker_t *worker,
                     int64_t now_ms)
{
    const fv_sched_customer_t *estimated = NULL;

    for (const fv_orphan_run_t *orphan = worker->orphan_runs; orphan != NULL;
         orphan = orphan->next) {
        if (orphan->customer == NULL ||
            !FvSched_MayOrphanRun(sched, worker, orphan, now_ms)) {
            continue;
        }
        if (orphan->estimated_until_ms == 0) {
            add_resources(&orphan->customer->in_doubt, &orphan->resources);
        }
        else if (orphan->estimated_until_ms > now_ms &&
                 orphan->customer != estimated) {
            estimated = orphan->customer;
            add_resources(&orphan->customer->in_doubt, &worker->free);
        }
    }
}

static void
count_orphan_runs(const fv_sched_t *sched, int64_t now_ms)
{
    for (const fv_sched_worker_t *worker = sched->workers; worker != NULL;
         worker = worker->hh.next) {
        count_orphan_runs_of(sched, worker, now_ms);
    }
}

static double
dominant_share(const fv_sched_t *sched, const fv_sched_customer_t *customer)
{
    const fv_sched_resources_t *used = &customer->usage;
    const fv_sched_resources_t *total = &sched->capacity;
    double share =
        FvShares_LargerFraction(0, used->cpu_millis, total->cpu_millis);

    share =
        FvShares_LargerFraction(share, used->memory_mib, total->memory_mib);
    return FvShares_LargerFraction(share, used->accelerators,
                                   total->accelerators);
}

/* Weighted dominant-resource fairness: of the customers that could start a
 * task, those are above their share whose dominant share, relative to their
 * weight, is above that of all of them together. */
static void
update_shares(fv_sched_t *sched)
{
    double shares = 0;
    double weights = 0;

    for (fv_sched_stage_t *stage = sched->pending; stage != NULL;
         stage = stage->pending_next) {
        fv_sched_customer_t *customer = stage->job->account;

        if (customer != NULL && !customer->pending &&
            !FvSched_IsHeldByCap(stage)) {
            customer->pending = true;
            customer->dominant_share = dominant_share(sched, customer);
            shares += customer->dominant_share;
            weights += customer->weight;
        }
    }
    for (fv_sched_customer_t *customer = sched->customers; customer != NULL;
         customer = customer->hh.next) {
        customer->above_share =
            customer->pending &&
            customer->dominant_share * weights >
                shares * customer->weight * (1 + Fv_SHARE_TOLERANCE);
    }
}

/**
 * FvSched_BeginCustomerPass - bring the accounts up to date for a pass
 * @sched: the scheduler, whose pending stages all need placement
 * @now_ms: the time
 */
void
FvSched_BeginCustomerPass(fv_sched_t *sched, int64_t now_ms)
{
    if (sched->customers == NULL) {
        return;
    }
    if (now_ms - sched->accounts_audited_ms >= Fv_ACCOUNT_AUDIT_MS) {
        sched->accounts_audited_ms = now_ms;
        audit_accounts(sched);
    }
    for (fv_sched_customer_t *customer = sched->customers; customer != NULL;
         customer = customer->hh.next) {
        customer->in_doubt = (fv_sched_resources_t){0};
        customer->kept = (fv_sched_resources_t){0};
        customer->held_in_pass = false;
        customer->pending = false;
    }
    if (sched->hold_inherited_tasks) {
        count_inherited_tasks(sched, now_ms);
    }
    count_orphan_runs(sched, now_ms);
    update_shares(sched);
}

/* Whether a limited resource is used up to the given percentage of its cap. */
static bool
is_used_to(int64_t cap, int64_t used, int64_t percent)
{
    return cap > 0 && used * 100 >= cap * percent;
}

/* At or above half of the cap in any resource. */
static bool
uses_half(const fv_sched_customer_t *customer)
{
    const fv_sched_resources_t *cap = &customer->cap;
    const fv_sched_resources_t *usage = &customer->usage;

    return is_used_to(cap->cpu_millis, usage->cpu_millis, 50) ||
           is_used_to(cap->memory_mib, usage->memory_mib, 50) ||
           is_used_to(cap->accelerators, usage->accelerators, 50);
}

static bool
fits(int64_t cap, int64_t used, int64_t needed)
{
    return cap == 0 || needed <= 0 || used + needed <= cap;
}

static bool
all_fit(const fv_sched_resources_t *cap, const fv_sched_resources_t *used,
        const fv_sched_resources_t *needed)
{
    return fits(cap->cpu_millis, used->cpu_millis, needed->cpu_millis) &&
           fits(cap->memory_mib, used->memory_mib, needed->memory_mib) &&
           fits(cap->accelerators, used->accelerators, needed->accelerators);
}

/**
 * FvSched_FitsUnderCap - check whether tasks may start under their customer's
 * cap
 * @stage: their stage
 * @count: number of tasks
 *
 * Return: false when they would bring its usage above the cap, with the runs
 * that may exist unknown to this leader.
 */
bool
FvSched_FitsUnderCap(const fv_sched_stage_t *stage, int32_t count)
{
    const fv_sched_customer_t *customer = stage->job->account;
    fv_sched_resources_t needed = {0};
    fv_sched_resources_t used;

    if (customer == NULL) {
        return true;
    }
    FvSched_AddTaskResources(&needed, stage->step, count);
    used = customer->usage;
    add_resources(&used, &customer->in_doubt);
    if (uses_half(customer)) {
        add_resources(&used, &customer->kept);
    }
    return all_fit(&customer->cap, &used, &needed);
}

/* Tasks that start together: all members of a gang that waits as a whole. */
static int32_t
tasks_at_once(const fv_sched_stage_t *stage)
{
    return stage->step->gang && stage->waiting == stage->step->task_count
               ? stage->waiting
               : 1;
}

/**
 * FvSched_IsHeldByCap - check whether its customer's cap keeps all waiting
 * tasks of a stage from a start
 * @stage: the stage
 *
 * Return: true when not even one task may start, or of a gang not all members.
 */
bool
FvSched_IsHeldByCap(const fv_sched_stage_t *stage)
{
    return !FvSched_FitsUnderCap(stage, tasks_at_once(stage));
}

/**
 * FvSched_NoteHeldByCap - note that a stage is held by its customer's cap
 * @stage: the stage
 * @urgent: whether it is in time
 *
 * Stages that come after the first one in time leave room for it under the
 * cap, or a gang or a large task would starve while small ones take all that
 * becomes free. What needs more than half of the cap gets no room kept: the
 * customer may use half of it in any case.
 */
void
FvSched_NoteHeldByCap(const fv_sched_stage_t *stage, bool urgent)
{
    fv_sched_customer_t *customer = stage->job->account;
    fv_sched_resources_t needed = {0};

    FvSched_AddTaskResources(&needed, stage->step, tasks_at_once(stage));
    if (urgent && !customer->held_in_pass &&
        all_fit(&customer->cap, &needed, &needed)) {
        customer->kept = needed;
        customer->held_in_pass = true;
    }
    customer->held = true;
}

/**
 * FvSched_IsAboveCap - check whether a stage's customer uses more than its cap
 * @stage: the stage
 *
 * Return: true after its cap was lowered. No order of its tasks is repeated.
 */
bool
FvSched_IsAboveCap(const fv_sched_stage_t *stage)
{
    const fv_sched_customer_t *customer = stage->job->account;

    return customer != NULL &&
           !all_fit(&customer->cap, &(fv_sched_resources_t){0},
                    &customer->usage);
}

/**
 * FvSched_IsAboveShare - check whether a stage's customer uses more than its
 * weighted share
 * @stage: the stage
 *
 * Return: true as of the beginning of the pass; false without a customer.
 */
bool
FvSched_IsAboveShare(const fv_sched_stage_t *stage)
{
    return stage->job->account != NULL && stage->job->account->above_share;
}

/**
 * FvSched_CanFitUnderCap - check whether a job's tasks could start under its
 * customer's cap if nothing else of the customer ran
 * @customer: the customer, or NULL
 * @spec: the job
 *
 * Return: false when a task or a whole gang needs more than the cap.
 */
bool
FvSched_CanFitUnderCap(const fv_sched_customer_t *customer,
                       const fv_job_spec_t *spec)
{
    for (uint32_t s = 0; customer != NULL && s < spec->step_count; s++) {
        const fv_step_spec_t *step = &spec->steps[s];
        fv_sched_resources_t needed = {0};

        FvSched_AddTaskResources(&needed, step,
                                 step->gang ? step->task_count : 1);
        if (!all_fit(&customer->cap, &(fv_sched_resources_t){0}, &needed)) {
            return false;
        }
    }
    return true;
}
