/*
 * A cell in simulated time around the scheduler: workers that run tasks under
 * leases, lose answers, carry orders out late, crash and leave; an advice
 * service; a store of records; leaders that follow one another. It checks the
 * promises at the workers, as back ends see them.
 */

#ifndef SCHED_SIM_H
#define SCHED_SIM_H

#include <stdbool.h>
#include <stdint.h>

/* What troubles the cell until the faults end; shares are of 1,000. */
typedef struct sim_faults {
    uint32_t lost_orders; /* not answered: half of them carried out late */
    uint32_t failing_tasks;
    uint32_t worker_crashes;    /* of a worker, each second */
    uint32_t worker_outages;    /* of a worker, each second, 1 to 8 s */
    uint32_t worker_drains;     /* of a worker, each second, at short notice */
    uint32_t leader_failovers;  /* each second, without notice */
    uint32_t leader_handovers;  /* each second, prepared by the leader */
    uint32_t job_cancellations; /* of a job, each second */
} sim_faults_t;

typedef struct sim_plan {
    uint64_t seed;
    uint32_t workers;
    uint32_t jobs;
    int64_t faults_end_ms;
    int64_t deadline_ms; /* by when every job has to have ended */
    bool advice;
    sim_faults_t faults;
} sim_plan_t;

/* What went wrong; all 0 when the promises were kept. */
typedef struct sim_result {
    uint32_t over_capacity;
    uint32_t concurrent_runs;
    uint32_t started_after_done;
    uint32_t started_before_predecessors;
    uint32_t started_beyond_attempts;
    uint32_t unfinished_jobs;
    uint32_t wrong_outcomes;
    uint32_t starts;
    uint32_t leaders;
    char first[160]; /* the first of them */
} sim_result_t;

void FvSchedSim_Run(const sim_plan_t *plan, sim_result_t *result);

#endif
