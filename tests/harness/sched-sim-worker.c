/*
 * The simulated cell: workers that execute orders and check them.
 */

#include "sched-sim-internal.h"

#define LASTING_RUN_MAX_MS 20000

/**
 * FvSim_GetTask - find a task or add it
 * @sim: the cell
 * @name: the task's name
 *
 * Return: the task.
 */
sim_task_t *
FvSim_GetTask(sim_t *sim, const char *name)
{
    for (uint32_t i = 0; i < sim->task_count; i++) {
        if (strcmp(sim->tasks[i].name, name) == 0) {
            return &sim->tasks[i];
        }
    }
    CU_ASSERT_FATAL(sim->task_count < TASKS_MAX);
    FvText_Copy(sim->tasks[sim->task_count].name, Fv_RUN_TASK_ID_SIZE, name);
    return &sim->tasks[sim->task_count++];
}

/**
 * FvSim_FindJob - find a job
 * @sim: the cell
 * @name: the job's id, or the name of one of its tasks
 *
 * Return: the job, or NULL.
 */
sim_job_t *
FvSim_FindJob(sim_t *sim, const char *name)
{
    for (uint32_t i = 0; i < sim->job_count; i++) {
        if (strncmp(sim->jobs[i].id, name, Fv_JOB_ID_SIZE - 1) == 0) {
            return &sim->jobs[i];
        }
    }
    return NULL;
}

static const fv_step_spec_t *
find_step(sim_t *sim, const char *name, unsigned *step)
{
    unsigned occurrence;
    unsigned index;

    sscanf(name + Fv_JOB_ID_SIZE, "%u.%u.%u", &occurrence, step, &index);
    return &FvSim_FindJob(sim, name)->spec.steps[*step];
}

/**
 * FvSim_IsUnresponsive - whether a worker is down or does not answer
 * @sim: the cell
 * @worker: the worker
 *
 * Return: true when requests to it time out.
 */
bool
FvSim_IsUnresponsive(const sim_t *sim, const sim_worker_t *worker)
{
    return !worker->up || sim->now_ms < worker->unresponsive_until_ms;
}

/**
 * FvSim_WorkerClockMs - read a worker's clock
 * @sim: the cell
 * @worker: the worker
 *
 * Return: its time; it starts anew with each incarnation.
 */
int64_t
FvSim_WorkerClockMs(const sim_t *sim, const sim_worker_t *worker)
{
    return 1 + (sim->now_ms - worker->clock_base_ms) *
                   (100 - worker->clock_slow_percent) / 100;
}

/**
 * FvSim_ExtendLease - extend a worker's lease, which never shortens
 * @sim: the cell
 * @worker: the worker
 * @lease_end_ms: on the worker's clock
 */
void
FvSim_ExtendLease(const sim_t *sim, sim_worker_t *worker, int64_t lease_end_ms)
{
    int64_t latest_ms = FvSim_WorkerClockMs(sim, worker) + LEASE_MAX_MS;

    if (lease_end_ms > latest_ms) {
        lease_end_ms = latest_ms;
    }
    if (lease_end_ms > worker->lease_end_ms) {
        worker->lease_end_ms = lease_end_ms;
    }
}

static void
add_end(sim_t *sim, sim_worker_t *worker, uint32_t run_index, fv_run_end_t end)
{
    sim_run_t *run = &worker->runs[run_index];
    sim_end_t *reported = &worker->ends[worker->end_count++];

    CU_ASSERT_FATAL(worker->end_count < ENDS_MAX);
    *reported = (sim_end_t){.at_ms = sim->now_ms,
                            .row = {.number = ++worker->last_end_number,
                                    .run = run->run,
                                    .end = end}};
    FvText_Copy(reported->row.task_id, Fv_RUN_TASK_ID_SIZE, run->task->name);
    if (end == Fv_END_STOPPED && run->step->checkpoints) {
        reported->saved = true;
    }
    run->task->active--;
    run->task->last_end_ms = sim->now_ms;
    worker->runs[run_index] = worker->runs[--worker->run_count];
}

/**
 * FvSim_KillRuns - end all runs on a worker
 * @sim: the cell
 * @worker: the worker
 * @report_ends: report them as ended by lease expiry; else they vanish, as
 *               in a crash
 */
void
FvSim_KillRuns(sim_t *sim, sim_worker_t *worker, bool report_ends)
{
    while (worker->run_count > 0) {
        if (report_ends) {
            add_end(sim, worker, 0, Fv_END_LEASE_EXPIRED);
        }
        else {
            worker->runs[0].task->active--;
            worker->runs[0] = worker->runs[--worker->run_count];
        }
    }
}

static bool
is_same_gang_run(const sim_run_t *run, const sim_run_t *other)
{
    size_t stage = (size_t)(strrchr(run->task->name, '.') - run->task->name);

    return other->run == run->run &&
           strncmp(run->task->name, other->task->name, stage + 1) == 0;
}

/* Starts the work of a gang's members or ends them; returns how many there
 * are. */
static int32_t
for_each_gang_member(sim_t *sim, sim_run_t member, bool start_work, bool end,
                     fv_run_end_t end_reason)
{
    int32_t present = 0;

    for (uint32_t w = 0; w < sim->plan->workers; w++) {
        sim_worker_t *worker = &sim->workers[w];

        for (uint32_t r = worker->run_count; r-- > 0;) {
            sim_run_t *run = &worker->runs[r];

            if (!is_same_gang_run(&member, run) ||
                run->stopping_until_ms != 0) {
                continue;
            }
            present++;
            if (start_work) {
                run->work_started_ms = sim->now_ms;
                run->duration_ms = member.duration_ms;
                run->fails = member.fails;
            }
            if (end) {
                add_end(sim, worker, r, end_reason);
            }
        }
    }
    return present;
}

static void
mark_done(sim_t *sim, const sim_run_t *run)
{
    run->task->done = true;
    run->task->done_ms = sim->now_ms;
}

static void
end_run(sim_t *sim, sim_worker_t *worker, uint32_t run_index)
{
    sim_run_t run = worker->runs[run_index];

    if (run.stopping_until_ms != 0) {
        add_end(sim, worker, run_index, Fv_END_STOPPED);
        if (run.step->gang) {
            for_each_gang_member(sim, run, false, true, Fv_END_GANG_BROKEN);
        }
    }
    else if (run.work_started_ms == 0) {
        add_end(sim, worker, run_index, Fv_END_GANG_INCOMPLETE);
    }
    else if (run.fails) {
        add_end(sim, worker, run_index, Fv_END_FAILED);
        if (run.step->gang) {
            for_each_gang_member(sim, run, false, true, Fv_END_GANG_BROKEN);
        }
    }
    else {
        if (!run.step->long_running) {
            mark_done(sim, &run);
        }
        add_end(sim, worker, run_index, Fv_END_DONE);
        if (run.step->gang) {
            for_each_gang_member(sim, run, false, true, Fv_END_DONE);
        }
    }
}

/**
 * FvSim_EndDueRuns - end the runs that are due on all workers
 * @sim: the cell
 *
 * The expiry of a worker's lease ends all its runs.
 */
void
FvSim_EndDueRuns(sim_t *sim)
{
    for (uint32_t w = 0; w < sim->plan->workers; w++) {
        sim_worker_t *worker = &sim->workers[w];

        if (worker->up &&
            FvSim_WorkerClockMs(sim, worker) > worker->lease_end_ms) {
            worker->lease_expired_ms = sim->now_ms;
            FvSim_KillRuns(sim, worker, true);
        }
        for (uint32_t r = worker->run_count; r-- > 0;) {
            const sim_run_t *run;
            int64_t due_ms;

            if (r >= worker->run_count) {
                continue; /* ended with another member of its gang */
            }
            run = &worker->runs[r];
            due_ms = run->stopping_until_ms != 0 ? run->stopping_until_ms
                     : run->work_started_ms == 0
                         ? run->started_ms + GANG_TIMEOUT_MS
                         : run->work_started_ms + run->duration_ms;
            if (due_ms <= sim->now_ms) {
                end_run(sim, worker, r);
            }
        }
    }
}

/**
 * FvSim_PredecessorsDone - whether all earlier steps of a task are done
 * @sim: the cell
 * @name: the task's name
 *
 * Return: true when the task may start.
 */
bool
FvSim_PredecessorsDone(sim_t *sim, const char *name)
{
    unsigned step;
    const fv_step_spec_t *spec = find_step(sim, name, &step);

    for (uint32_t p = 0; p < spec->predecessor_count; p++) {
        const fv_step_spec_t *predecessor =
            &FvSim_FindJob(sim, name)->spec.steps[spec->predecessors[p]];

        for (int32_t i = 0; i < predecessor->task_count; i++) {
            char other[Fv_RUN_TASK_ID_SIZE];
            bool gang_done = false;

            for (int32_t j = 0;
                 predecessor->gang && j < predecessor->task_count; j++) {
                snprintf(other, sizeof(other), "%.16s.0.%u.%d", name,
                         (unsigned)spec->predecessors[p], j);
                gang_done = gang_done || FvSim_GetTask(sim, other)->done;
            }
            snprintf(other, sizeof(other), "%.16s.0.%u.%d", name,
                     (unsigned)spec->predecessors[p], i);
            if (!gang_done && !FvSim_GetTask(sim, other)->done) {
                return false;
            }
        }
    }
    return true;
}

/**
 * FvSim_SetKind - set the label that steps may require
 * @worker: the worker
 * @first: whether it is of the first kind
 */
void
FvSim_SetKind(sim_worker_t *worker, bool first)
{
    FvText_Copy(worker->entry.labels[0], Fv_NAME_SIZE, first ? "a" : "b");
    FvText_Copy(worker->entry.labels[1], Fv_NAME_SIZE, worker->entry.rack);
    worker->entry.label_count = 2;
}

/**
 * FvSim_CheckAccounts - check a leader's account of each worker's capacity
 * @leader: the leader
 *
 * What is not free is the sum over the tasks on the worker. The resources of
 * orphaned runs are not known, so that a worker with one takes no tasks.
 */
void
FvSim_CheckAccounts(sim_leader_t *leader)
{
    sim_t *sim = leader->sim;

    for (fv_sched_worker_t *worker = leader->sched.workers; worker != NULL;
         worker = worker->hh.next) {
        fv_sched_resources_t sum = worker->free;
        bool takes_tasks = FvSched_IsWorkerAvailable(worker, sim->now_ms);

        for (const fv_sched_task_t *task = worker->tasks; task != NULL;
             task = task->worker_next) {
            FvSched_AddTaskResources(&sum, task->stage->step, 1);
        }
        if (sum.cpu_millis != worker->entry.cpu_millis ||
            sum.memory_mib != worker->entry.memory_mib ||
            sum.accelerators != worker->entry.accelerators ||
            (takes_tasks && FvSched_HasOrphanRuns(worker, sim->now_ms))) {
            FvSim_AddViolation(sim, &sim->result->wrong_accounts,
                               "wrong account of worker", worker->entry.id);
        }
    }
    FvSim_CheckCustomerAccounts(leader);
}

/* An order in transit while its worker restarts can't be taken back. */
static void
check_label(sim_t *sim, const sim_worker_t *worker, const sim_event_t *order,
            const fv_step_spec_t *step)
{
    if (step->required_label[0] != '\0' &&
        order->incarnation_ms == worker->entry.started_wall_ms &&
        strcmp(step->required_label, worker->entry.labels[0]) != 0) {
        FvSim_AddViolation(sim, &sim->result->started_without_label,
                           "started without its label:", order->task);
    }
}

static void
check_start(sim_t *sim, const sim_worker_t *worker, sim_task_t *task,
            const fv_step_spec_t *step)
{
    int64_t used = step->cpu_millis;
    int32_t present = 0;

    for (uint32_t r = 0; r < worker->run_count; r++) {
        used += worker->runs[r].step->cpu_millis;
        present += worker->runs[r].step == step;
    }
    if (step->per_worker_max > 0 && present >= step->per_worker_max) {
        FvSim_AddViolation(
            sim, &sim->result->started_beyond_spread,
            "too many tasks of a step on a worker:", task->name);
    }
    if (used > worker->entry.cpu_millis) {
        FvSim_AddViolation(sim, &sim->result->over_capacity, "over capacity",
                           task->name);
    }
    if (task->active > 0) {
        FvSim_AddViolation(sim, &sim->result->concurrent_runs,
                           "concurrent runs of", task->name);
    }
    if (task->done_acknowledged) {
        FvSim_AddViolation(sim, &sim->result->started_after_done,
                           "started after its recorded end:", task->name);
    }
    if (!FvSim_PredecessorsDone(sim, task->name)) {
        FvSim_AddViolation(sim, &sim->result->started_before_predecessors,
                           "started before its predecessors:", task->name);
    }
    if (task->failures_acknowledged >= ATTEMPTS_MAX && !step->long_running) {
        FvSim_AddViolation(sim, &sim->result->started_beyond_attempts,
                           "started after its last attempt:", task->name);
    }
}

static fv_order_result_t
execute_start(sim_t *sim, sim_worker_t *worker, const sim_event_t *order)
{
    sim_task_t *task = FvSim_GetTask(sim, order->task);
    unsigned number;
    const fv_step_spec_t *step = find_step(sim, order->task, &number);
    sim_run_t run = {
        .task = task,
        .run = order->run,
        .started_ms = sim->now_ms,
        .step = step,
        .customer = FvSim_FindJob(sim, order->task)->customer,
        .duration_ms =
            step->estimated_ms / 2 +
            FvSim_RandomBelow(sim, (uint32_t)step->estimated_ms + 1),
        .fails = FvSim_FaultOccurs(sim, sim->plan->faults.failing_tasks)};

    for (uint32_t r = 0; r < worker->run_count; r++) {
        if (worker->runs[r].task == task &&
            worker->runs[r].run == order->run) {
            return worker->runs[r].stopping_until_ms != 0 ? Fv_ORDER_STALE_RUN
                                                          : Fv_ORDER_DONE;
        }
    }
    for (uint32_t e = 0; e < worker->end_count; e++) {
        if (strcmp(worker->ends[e].row.task_id, order->task) == 0 &&
            worker->ends[e].row.run >= order->run) {
            return Fv_ORDER_STALE_RUN;
        }
    }
    check_start(sim, worker, task, step);
    check_label(sim, worker, order, step);
    FvSim_CheckCap(sim, &run);
    if (step->long_running) {
        run.duration_ms = 2000 + FvSim_RandomBelow(sim, LASTING_RUN_MAX_MS);
        run.fails = FvSim_RandomBelow(sim, 2) == 0;
    }
    sim->result->starts++;
    task->last_start_ms = sim->now_ms;
    task->active++;
    CU_ASSERT_FATAL(worker->run_count < RUNS_MAX);
    worker->runs[worker->run_count++] = run;
    if (!step->gang) {
        worker->runs[worker->run_count - 1].work_started_ms = sim->now_ms;
    }
    else if (for_each_gang_member(sim, run, false, false, Fv_END_DONE) ==
             step->task_count) {
        for_each_gang_member(sim, run, true, false, Fv_END_DONE);
    }
    return Fv_ORDER_DONE;
}

static fv_order_result_t
execute_stop(sim_t *sim, sim_worker_t *worker, const sim_event_t *order)
{
    for (uint32_t r = 0; r < worker->run_count; r++) {
        sim_run_t *run = &worker->runs[r];

        if (strcmp(run->task->name, order->task) == 0 &&
            run->run == order->run) {
            if (run->stopping_until_ms == 0) {
                run->stopping_until_ms =
                    sim->now_ms + 1 + FvSim_RandomBelow(sim, STOP_MS);
            }
            return Fv_ORDER_DONE;
        }
    }
    /* The start of this run may still arrive. An end that is never reported
     * makes the worker reject it as stale. */
    worker->ends[worker->end_count++] = (sim_end_t){
        .acknowledged = true, .row = {.run = order->run, .number = 0}};
    FvText_Copy(worker->ends[worker->end_count - 1].row.task_id,
                Fv_RUN_TASK_ID_SIZE, order->task);
    return Fv_ORDER_DONE;
}

/**
 * FvSim_ExecuteOrder - execute an order on a worker
 * @sim: the cell
 * @worker: the worker
 * @order: the order
 *
 * Return: the worker's answer.
 */
fv_order_result_t
FvSim_ExecuteOrder(sim_t *sim, sim_worker_t *worker, const sim_event_t *order)
{
    /* An order in transit while the worker restarts may reach its new
     * incarnation; an order that is executed late does not. */
    if (order->incarnation_ms != worker->entry.started_wall_ms &&
        (!order->answered || FvSim_RandomBelow(sim, 2) == 0)) {
        return Fv_ORDER_WRONG_INSTANCE;
    }
    if (order->generation < worker->fencing_token) {
        return Fv_ORDER_FENCED;
    }
    worker->fencing_token = order->generation;
    FvSim_ExtendLease(sim, worker, order->lease_end_ms);
    if (!order->stop &&
        FvSim_WorkerClockMs(sim, worker) >= worker->lease_end_ms) {
        return Fv_ORDER_LEASE_TOO_SHORT;
    }
    return order->stop ? execute_stop(sim, worker, order)
                       : execute_start(sim, worker, order);
}
