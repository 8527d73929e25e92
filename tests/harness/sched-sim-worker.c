/*
 * The simulated cell: workers, which judge the orders that they get.
 */

#include "sched-sim-internal.h"

/**
 * FvSim_TaskNamed - the truth about a task
 * @sim: the cell
 * @name: the name
 */
sim_task_t *
FvSim_TaskNamed(sim_t *sim, const char *name)
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
 * FvSim_JobOf - the job of a task, or of its own id
 * @sim: the cell
 * @name: the name
 */
sim_job_t *
FvSim_JobOf(sim_t *sim, const char *name)
{
    for (uint32_t i = 0; i < sim->job_count; i++) {
        if (strncmp(sim->jobs[i].id, name, Fv_JOB_ID_SIZE - 1) == 0) {
            return &sim->jobs[i];
        }
    }
    return NULL;
}

static const fv_step_spec_t *
step_of(sim_t *sim, const char *name, unsigned *step)
{
    unsigned occurrence;
    unsigned index;

    sscanf(name + Fv_JOB_ID_SIZE, "%u.%u.%u", &occurrence, step, &index);
    return &FvSim_JobOf(sim, name)->spec.steps[*step];
}

/**
 * FvSim_IsSilent - whether a worker answers no one
 * @sim: the cell
 * @worker: the worker
 */
bool
FvSim_IsSilent(const sim_t *sim, const sim_worker_t *worker)
{
    return !worker->up || sim->now_ms < worker->silent_until_ms;
}

static void
list_end(sim_t *sim, sim_worker_t *worker, uint32_t at, fv_run_end_t end)
{
    sim_run_t *run = &worker->runs[at];
    sim_end_t *listed = &worker->ends[worker->end_count++];

    CU_ASSERT_FATAL(worker->end_count < ENDS_MAX);
    *listed = (sim_end_t){
        .at_ms = sim->now_ms,
        .row = {.number = ++worker->next_number, .run = run->run, .end = end}};
    FvText_Copy(listed->row.task_id, Fv_RUN_TASK_ID_SIZE, run->task->name);
    if (end == Fv_END_STOPPED && run->step->checkpoints) {
        FvText_Copy(listed->row.checkpoint, Fv_CHECKPOINT_SIZE, "saved");
    }
    run->task->active--;
    worker->runs[at] = worker->runs[--worker->run_count];
}

/* Everything on a worker ends without a trace, or as lapsed. */
/**
 * FvSim_KillRuns - end everything on a worker
 * @sim: the cell
 * @worker: the worker
 * @listed: whether the ends are listed
 */
void
FvSim_KillRuns(sim_t *sim, sim_worker_t *worker, bool listed)
{
    while (worker->run_count > 0) {
        if (listed) {
            list_end(sim, worker, 0, Fv_END_LEASE_EXPIRED);
        }
        else {
            worker->runs[0].task->active--;
            worker->runs[0] = worker->runs[--worker->run_count];
        }
    }
}

static bool
is_gang_mate(const sim_run_t *run, const sim_run_t *other)
{
    size_t stage = (size_t)(strrchr(run->task->name, '.') - run->task->name);

    return other->run == run->run &&
           strncmp(run->task->name, other->task->name, stage + 1) == 0;
}

/* Visits the members of a gang's run; ends them, or starts their work. */
static int32_t
each_mate(sim_t *sim, sim_run_t mate, bool begin, bool ends, fv_run_end_t how)
{
    int32_t present = 0;

    for (uint32_t w = 0; w < sim->plan->workers; w++) {
        sim_worker_t *worker = &sim->workers[w];

        for (uint32_t r = worker->run_count; r-- > 0;) {
            sim_run_t *run = &worker->runs[r];

            if (!is_gang_mate(&mate, run) || run->stopping_until_ms != 0) {
                continue;
            }
            present++;
            if (begin) {
                run->works_from_ms = sim->now_ms;
                run->takes_ms = mate.takes_ms;
                run->fails = mate.fails;
            }
            if (ends) {
                list_end(sim, worker, r, how);
            }
        }
    }
    return present;
}

static void
note_done(sim_t *sim, const sim_run_t *run)
{
    run->task->done = true;
    run->task->done_ms = sim->now_ms;
}

static void
end_run(sim_t *sim, sim_worker_t *worker, uint32_t at)
{
    sim_run_t run = worker->runs[at];

    if (run.stopping_until_ms != 0) {
        list_end(sim, worker, at, Fv_END_STOPPED);
        if (run.step->gang) {
            each_mate(sim, run, false, true, Fv_END_GANG_BROKEN);
        }
    }
    else if (run.works_from_ms == 0) {
        list_end(sim, worker, at, Fv_END_GANG_INCOMPLETE);
    }
    else if (run.fails) {
        list_end(sim, worker, at, Fv_END_FAILED);
        if (run.step->gang) {
            each_mate(sim, run, false, true, Fv_END_GANG_BROKEN);
        }
    }
    else {
        note_done(sim, &run);
        list_end(sim, worker, at, Fv_END_DONE);
        if (run.step->gang) {
            each_mate(sim, run, false, true, Fv_END_DONE);
        }
    }
}

/* Ends what is due on all workers; leases that lapsed kill everything. */
/**
 * FvSim_RunWorkers - end what is due on all workers
 * @sim: the cell
 */
void
FvSim_RunWorkers(sim_t *sim)
{
    for (uint32_t w = 0; w < sim->plan->workers; w++) {
        sim_worker_t *worker = &sim->workers[w];

        if (worker->up && sim->now_ms > worker->lease_end_ms) {
            worker->lapsed_ms = sim->now_ms;
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
                     : run->works_from_ms == 0
                         ? run->began_ms + GANG_TIMEOUT_MS
                         : run->works_from_ms + run->takes_ms;
            if (due_ms <= sim->now_ms) {
                end_run(sim, worker, r);
            }
        }
    }
}

static bool
predecessors_done(sim_t *sim, const char *name)
{
    unsigned step;
    const fv_step_spec_t *spec = step_of(sim, name, &step);

    for (uint32_t p = 0; p < spec->predecessor_count; p++) {
        const fv_step_spec_t *before =
            &FvSim_JobOf(sim, name)->spec.steps[spec->predecessors[p]];

        for (int32_t i = 0; i < before->task_count; i++) {
            char other[Fv_RUN_TASK_ID_SIZE];
            bool any = false;

            for (int32_t j = 0; before->gang && j < before->task_count; j++) {
                snprintf(other, sizeof(other), "%.16s.0.%u.%d", name,
                         (unsigned)spec->predecessors[p], j);
                any = any || FvSim_TaskNamed(sim, other)->done;
            }
            snprintf(other, sizeof(other), "%.16s.0.%u.%d", name,
                     (unsigned)spec->predecessors[p], i);
            if (!any && !FvSim_TaskNamed(sim, other)->done) {
                return false;
            }
        }
    }
    return true;
}

static void
judge_start(sim_t *sim, const sim_worker_t *worker, sim_task_t *task,
            const fv_step_spec_t *step)
{
    int64_t used = step->cpu_millis;

    for (uint32_t r = 0; r < worker->run_count; r++) {
        used += worker->runs[r].step->cpu_millis;
    }
    if (used > worker->entry.cpu_millis) {
        FvSim_Violate(sim, &sim->result->over_capacity, "over capacity",
                      task->name);
    }
    if (task->active > 0) {
        FvSim_Violate(sim, &sim->result->concurrent_runs, "twice at once",
                      task->name);
    }
    if (!predecessors_done(sim, task->name)) {
        FvSim_Violate(sim, &sim->result->started_before_predecessors,
                      "out of order", task->name);
    }
    if (task->failures_noted >= ATTEMPTS) {
        FvSim_Violate(sim, &sim->result->started_beyond_attempts,
                      "beyond attempts", task->name);
    }
}

static fv_order_result_t
obey_start(sim_t *sim, sim_worker_t *worker, const sim_event_t *order)
{
    sim_task_t *task = FvSim_TaskNamed(sim, order->task);
    unsigned number;
    const fv_step_spec_t *step = step_of(sim, order->task, &number);
    sim_run_t run = {
        .task = task,
        .run = order->run,
        .began_ms = sim->now_ms,
        .step = step,
        .takes_ms = step->estimated_ms / 2 +
                    FvSim_Draw(sim, (uint32_t)step->estimated_ms + 1),
        .fails = FvSim_Chance(sim, sim->plan->faults.failing_tasks)};

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
    judge_start(sim, worker, task, step);
    sim->result->starts++;
    task->last_start_ms = sim->now_ms;
    task->active++;
    CU_ASSERT_FATAL(worker->run_count < RUNS_MAX);
    worker->runs[worker->run_count++] = run;
    if (!step->gang) {
        worker->runs[worker->run_count - 1].works_from_ms = sim->now_ms;
    }
    else if (each_mate(sim, run, false, false, Fv_END_DONE) ==
             step->task_count) {
        each_mate(sim, run, true, false, Fv_END_DONE);
    }
    return Fv_ORDER_DONE;
}

static fv_order_result_t
obey_stop(sim_t *sim, sim_worker_t *worker, const sim_event_t *order)
{
    for (uint32_t r = 0; r < worker->run_count; r++) {
        sim_run_t *run = &worker->runs[r];

        if (strcmp(run->task->name, order->task) == 0 &&
            run->run == order->run) {
            if (run->stopping_until_ms == 0) {
                run->stopping_until_ms =
                    sim->now_ms + 1 + FvSim_Draw(sim, STOP_MS);
            }
            return Fv_ORDER_DONE;
        }
    }
    /* A run that is not there yet will be turned away: kept as an end that is
     * never listed. */
    worker->ends[worker->end_count++] =
        (sim_end_t){.noted = true, .row = {.run = order->run, .number = 0}};
    FvText_Copy(worker->ends[worker->end_count - 1].row.task_id,
                Fv_RUN_TASK_ID_SIZE, order->task);
    return Fv_ORDER_DONE;
}

/**
 * FvSim_Obey - a worker carries out an order
 * @sim: the cell
 * @worker: the worker
 * @order: the order
 */
fv_order_result_t
FvSim_Obey(sim_t *sim, sim_worker_t *worker, const sim_event_t *order)
{
    /* Orders that are under way as a worker starts anew may reach its new
     * life; those that are carried out late don't. */
    if (order->life != worker->entry.started_wall_ms &&
        (!order->answered || FvSim_Draw(sim, 2) == 0)) {
        return Fv_ORDER_WRONG_INSTANCE;
    }
    if (order->generation < worker->fence) {
        return Fv_ORDER_FENCED;
    }
    worker->fence = order->generation;
    if (order->lease_end_ms > worker->lease_end_ms) {
        worker->lease_end_ms = order->lease_end_ms;
    }
    if (!order->stop && sim->now_ms >= worker->lease_end_ms) {
        return Fv_ORDER_LEASE_TOO_SHORT;
    }
    return order->stop ? obey_stop(sim, worker, order)
                       : obey_start(sim, worker, order);
}
