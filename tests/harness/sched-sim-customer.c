/*
 * The simulated cell: customers and their caps, checked by what the workers
 * run.
 */

#include "sched-sim-internal.h"

/* Range of the caps. The whole of the largest gang fits under the one that
 * stays in force. */
#define CAP_MIN_MILLIS 3000
#define CAP_MAX_MILLIS 24000
#define LAST_CAP_MILLIS 18000

#define CONFIG_READ_MAX_MS 1000 /* by leaders that reach the store */
#define CONFIG_APPLY_MS 2500    /* the platform's shortest time to apply it */
/* A leader that is cut off from the store gives orders for this long. */
#define CUT_OFF_APPLY_MS (CONFIG_APPLY_MS + ORDER_GRACE_MS)

/* Share of the cap up to which a customer may be when a task starts. */
#define CAP_SLACK_PERCENT 110

/**
 * FvSim_InitCustomers - give each customer a cap
 * @sim: the cell
 */
void
FvSim_InitCustomers(sim_t *sim)
{
    CU_ASSERT_FATAL(sim->plan->customers <= CUSTOMERS_MAX);
    sim->cap_change_count = 1;
    for (uint32_t c = 0; c < sim->plan->customers; c++) {
        sim->caps[0].cpu_millis[c] = LAST_CAP_MILLIS;
    }
    for (uint32_t j = 0; sim->plan->customers > 0 && j < sim->job_count; j++) {
        sim->jobs[j].customer = FvSim_RandomBelow(sim, sim->plan->customers);
    }
}

static void
add_version(sim_t *sim, const sim_caps_t *caps)
{
    CU_ASSERT_FATAL(sim->cap_change_count < CAP_CHANGES_MAX);
    sim->caps[sim->cap_change_count++] = *caps;
}

/**
 * FvSim_ChangeCap - lower or raise the cap of a customer
 * @sim: the cell
 */
void
FvSim_ChangeCap(sim_t *sim)
{
    sim_caps_t caps = sim->caps[sim->cap_change_count - 1];
    uint32_t customer = FvSim_RandomBelow(sim, sim->plan->customers);

    if (sim->now_ms < sim->store_out_until_ms) {
        return; /* nobody can write a version */
    }
    caps.at_ms = sim->now_ms;
    caps.known_ms = sim->now_ms + FvSim_RandomBelow(sim, CONFIG_READ_MAX_MS);
    caps.cpu_millis[customer] =
        CAP_MIN_MILLIS +
        FvSim_RandomBelow(sim, CAP_MAX_MILLIS - CAP_MIN_MILLIS);
    add_version(sim, &caps);
}

/* After the faults, the last version admits all jobs. */
static void
restore_caps(sim_t *sim)
{
    sim_caps_t caps = {.at_ms = sim->now_ms, .known_ms = sim->now_ms};

    if (sim->cap_change_count == 1 || sim->now_ms < sim->plan->faults_end_ms ||
        sim->caps[sim->cap_change_count - 1].at_ms >=
            sim->plan->faults_end_ms) {
        return;
    }
    for (uint32_t c = 0; c < sim->plan->customers; c++) {
        caps.cpu_millis[c] = LAST_CAP_MILLIS;
    }
    add_version(sim, &caps);
}

/**
 * FvSim_CustomerName - name of a customer
 * @customer: its index
 *
 * Return: the name.
 */
const char *
FvSim_CustomerName(uint32_t customer)
{
    static const char *const names[CUSTOMERS_MAX] = {"c0", "c1", "c2", "c3"};

    return names[customer];
}

/**
 * FvSim_LearnCaps - have a leader read the newest configuration
 * @leader: the leader; while the store does not answer it keeps its own
 */
void
FvSim_LearnCaps(sim_leader_t *leader)
{
    sim_t *sim = leader->sim;
    fv_cell_customer_t customers[CUSTOMERS_MAX] = {0};
    fv_cell_config_t config = {.has_customers = true,
                               .customer_count = sim->plan->customers,
                               .customers = customers};
    uint32_t known = sim->cap_change_count;

    if (sim->plan->customers == 0) {
        return;
    }
    restore_caps(sim);
    while (known > 1 && sim->caps[known - 1].known_ms > sim->now_ms) {
        known--;
    }
    if (leader->cap_changes >= known ||
        (leader->cap_changes > 0 && FvSim_IsCutFromStore(leader))) {
        return;
    }
    leader->cap_changes = known;
    for (uint32_t c = 0; c < config.customer_count; c++) {
        FvText_Copy(customers[c].name, sizeof(customers[c].name),
                    FvSim_CustomerName(c));
        customers[c].weight = 1 + c;
        customers[c].cpu_millis_max = sim->caps[known - 1].cpu_millis[c];
    }
    FvSched_SetCustomers(&leader->sched, &config);
}

/**
 * FvSim_SetJobCustomer - set the customer of a job that a leader adds or loads
 * @sim: the cell
 * @job: the job
 * @sched_job: the job of the leader's scheduler
 */
void
FvSim_SetJobCustomer(const sim_t *sim, const sim_job_t *job,
                     fv_sched_job_t *sched_job)
{
    if (sim->plan->customers > 0) {
        FvText_Copy(sched_job->customer, sizeof(sched_job->customer),
                    FvSim_CustomerName(job->customer));
    }
}

/* What a customer runs on all workers, whoever started it. */
static int64_t
used_cpu_millis(const sim_t *sim, uint32_t customer)
{
    int64_t used = 0;

    for (uint32_t w = 0; w < sim->plan->workers; w++) {
        for (uint32_t r = 0; r < sim->workers[w].run_count; r++) {
            const sim_run_t *run = &sim->workers[w].runs[r];

            if (run->customer == customer) {
                used += run->step->cpu_millis;
            }
        }
    }
    return used;
}

/* The highest cap of the versions that may be in force. */
static int64_t
highest_cap(const sim_t *sim, uint32_t customer)
{
    int64_t cap = 0;
    int64_t apply_ms =
        sim->plan->faults.splits > 0 ? CUT_OFF_APPLY_MS : CONFIG_APPLY_MS;

    for (uint32_t v = sim->cap_change_count; v-- > 0;) {
        if (sim->caps[v].cpu_millis[customer] > cap) {
            cap = sim->caps[v].cpu_millis[customer];
        }
        if (sim->caps[v].at_ms + apply_ms <= sim->now_ms) {
            break; /* the versions before this one are certainly replaced */
        }
    }
    return cap;
}

/**
 * FvSim_IsWellUnderCap - whether a job's customer uses less than half of its
 * cap
 * @sim: the cell
 * @job: the job
 * @cpu_millis: what would start
 *
 * Return: false also when it would bring the customer above the cap.
 */
bool
FvSim_IsWellUnderCap(const sim_t *sim, const sim_job_t *job,
                     int64_t cpu_millis)
{
    int64_t cap;
    int64_t used;

    if (sim->plan->customers == 0) {
        return true;
    }
    cap = sim->caps[sim->cap_change_count - 1].cpu_millis[job->customer];
    used = used_cpu_millis(sim, job->customer);
    return used * 2 < cap && used + cpu_millis <= cap;
}

/**
 * FvSim_CheckCap - check that a start keeps to the cap of its customer
 * @sim: the cell
 * @run: the run, which is not counted yet
 */
void
FvSim_CheckCap(sim_t *sim, const sim_run_t *run)
{
    if (sim->plan->customers > 0 &&
        used_cpu_millis(sim, run->customer) * 100 >
            highest_cap(sim, run->customer) * CAP_SLACK_PERCENT) {
        FvSim_AddViolation(
            sim, &sim->result->started_above_cap,
            "started above its customer's cap:", run->task->name);
    }
}

/**
 * FvSim_CheckCustomerAccounts - check a leader's account of each customer
 * @leader: the leader
 */
void
FvSim_CheckCustomerAccounts(sim_leader_t *leader)
{
    for (const fv_sched_customer_t *customer = leader->sched.customers;
         customer != NULL; customer = customer->hh.next) {
        fv_sched_resources_t sum = {0};

        for (const fv_sched_worker_t *worker = leader->sched.workers;
             worker != NULL; worker = worker->hh.next) {
            for (const fv_sched_task_t *task = worker->tasks; task != NULL;
                 task = task->worker_next) {
                if (task->stage->job->account == customer) {
                    FvSched_AddTaskResources(&sum, task->stage->step, 1);
                }
            }
        }
        if (sum.cpu_millis != customer->usage.cpu_millis ||
            sum.memory_mib != customer->usage.memory_mib) {
            FvSim_AddViolation(leader->sim,
                               &leader->sim->result->wrong_accounts,
                               "wrong account of customer", customer->name);
        }
    }
}
