/*
 * The simulated cell: tasks that wait although workers could run them.
 */

#include "sched-sim-internal.h"

/* The platform's limit: a task that is ready does not wait this long while two
 * such tasks fit. */
#define START_BOUND_MS 3000

/* The limit applies to a lasting task from this time after its last run. */
#define RESTART_BOUND_MS 6000

/* For other jobs it applies while the cell is less than half full. */
#define BUSY_PERCENT 50

static int64_t
used_cpu_millis(const sim_worker_t *worker)
{
    int64_t used = 0;

    for (uint32_t r = 0; r < worker->run_count; r++) {
        used += worker->runs[r].step->cpu_millis;
    }
    return used;
}

static bool
is_half_full(const sim_t *sim)
{
    int64_t used = 0;
    int64_t total = 0;

    for (uint32_t w = 0; w < sim->plan->workers; w++) {
        used += used_cpu_millis(&sim->workers[w]);
        total += sim->workers[w].entry.cpu_millis;
    }
    return used * 100 >= total * BUSY_PERCENT;
}

/* How many more tasks of a step its allowed workers could run now. */
static int64_t
free_task_capacity(const sim_t *sim, const char *first_task,
                   const fv_step_spec_t *step)
{
    int64_t capacity = 0;

    for (uint32_t w = 0; w < sim->plan->workers; w++) {
        const sim_worker_t *worker = &sim->workers[w];
        int64_t fitting =
            (worker->entry.cpu_millis - used_cpu_millis(worker)) /
            step->cpu_millis;
        int64_t left = step->per_worker_max;

        if (sim->plan->advice && !FvSim_IsAllowed(sim, first_task, w)) {
            continue;
        }
        for (uint32_t r = 0; r < worker->run_count; r++) {
            left -= worker->runs[r].step == step;
        }
        capacity +=
            step->per_worker_max > 0 && left < fitting ? left : fitting;
    }
    return capacity;
}

static sim_task_t *
get_task(sim_t *sim, sim_job_t *job, uint32_t step, int32_t index)
{
    sim_task_t **task = &job->tasks[step][index];
    char name[Fv_RUN_TASK_ID_SIZE];

    if (*task == NULL) {
        snprintf(name, sizeof(name), "%s.0.%u.%d", job->id, step, index);
        *task = FvSim_GetTask(sim, name);
    }
    return *task;
}

/* Counts the violation once for each wait. */
static void
note_startable(sim_t *sim, int64_t *since_ms, bool startable, const char *name)
{
    if (!startable) {
        *since_ms = 0;
    }
    else if (*since_ms == 0) {
        *since_ms = sim->now_ms;
    }
    else if (sim->now_ms == *since_ms + (sim->plan->start_bound_ms > 0
                                             ? sim->plan->start_bound_ms
                                             : START_BOUND_MS)) {
        FvSim_AddViolation(sim, &sim->result->waited_too_long,
                           "waits although it could run:", name);
    }
}

static void
check_lasting_step(sim_t *sim, sim_job_t *job, uint32_t index)
{
    const fv_step_spec_t *step = &job->spec.steps[index];
    bool has_capacity =
        free_task_capacity(sim, get_task(sim, job, index, 0)->name, step) >=
            2 &&
        FvSim_IsWellUnderCap(sim, job, step->cpu_millis);

    for (int32_t t = 0; t < step->task_count; t++) {
        sim_task_t *task = get_task(sim, job, index, t);

        note_startable(
            sim, &task->startable_since_ms,
            has_capacity && task->active == 0 &&
                (task->last_end_ms == 0 ||
                 sim->now_ms >= task->last_end_ms + RESTART_BOUND_MS),
            task->name);
    }
}

static bool
is_step_startable(sim_t *sim, sim_job_t *job, uint32_t index)
{
    const fv_step_spec_t *step = &job->spec.steps[index];
    const char *first_task = get_task(sim, job, index, 0)->name;
    int32_t wanted = step->gang ? step->task_count : 1;
    bool done = step->gang ? false : true;

    for (int32_t t = 0; t < step->task_count; t++) {
        bool task_done = get_task(sim, job, index, t)->done;

        done = step->gang ? done || task_done : done && task_done;
    }
    return !done &&
           FvSim_IsWellUnderCap(sim, job, wanted * step->cpu_millis) &&
           FvSim_PredecessorsDone(sim, first_task) &&
           free_task_capacity(sim, first_task, step) >= 2 * (int64_t)wanted;
}

static bool
is_job_startable(sim_t *sim, sim_job_t *job)
{
    bool startable = false;

    for (uint32_t s = 0; s < job->spec.step_count; s++) {
        for (int32_t t = 0; t < job->spec.steps[s].task_count; t++) {
            if (get_task(sim, job, s, t)->active > 0) {
                return false;
            }
        }
        startable = startable || is_step_startable(sim, job, s);
    }
    return startable;
}

/**
 * FvSim_CheckWaiting - check that nothing waits without need
 * @sim: the cell, without faults
 */
void
FvSim_CheckWaiting(sim_t *sim)
{
    bool half_full;

    if (!sim->plan->check_waiting) {
        return;
    }
    half_full = is_half_full(sim);
    for (uint32_t j = 0; j < sim->job_count; j++) {
        sim_job_t *job = &sim->jobs[j];

        if (!job->accepted || job->cancelled || job->ended != NULL) {
            continue;
        }
        if (job->spec.steps[0].long_running) {
            check_lasting_step(sim, job, 0);
        }
        else {
            note_startable(sim, &job->startable_since_ms,
                           !half_full && is_job_startable(sim, job), job->id);
        }
    }
}
