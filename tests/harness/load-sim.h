/*
 * A cell under load in simulated time around the scheduler, without faults:
 * jobs arrive at random, workers run their tasks and the advice service
 * answers after a delay. It counts what callers and the cell get.
 */

#ifndef LOAD_SIM_H
#define LOAD_SIM_H

#include "sched-fixture.h"

#define Fv_LOAD_QUEUES_MAX 3

/* Jobs of one queue, each of one step, or of two with half the run time. */
typedef struct load_queue {
    fv_cell_queue_t queue;
    double jobs_per_s;
    int32_t tasks;
    int64_t cpu_millis;
    int64_t memory_mib;
    int64_t run_ms;
    bool gang;
    double checkpointing; /* share of the jobs */
    double two_steps;     /* share of the jobs */
} load_queue_t;

typedef struct load_plan {
    uint64_t seed;
    uint32_t workers;
    int64_t worker_cpu_millis;
    int64_t worker_memory_mib;
    double slow_share; /* of the workers */
    double slow_factor;
    double spread;          /* standard deviation of logarithms of run times */
    double declared_spread; /* the same of declared run times */
    int64_t traffic_ms;
    double swing; /* of all arrivals around their mean, as a sine */
    int64_t swing_period_ms;
    int64_t burst_from_ms;
    int64_t burst_until_ms;
    double burst_factors[Fv_LOAD_QUEUES_MAX]; /* of the arrivals */
    int64_t last_ms;                          /* end of the simulation */
    uint32_t queue_count;
    load_queue_t queues[Fv_LOAD_QUEUES_MAX];
} load_plan_t;

typedef struct load_queue_result {
    uint32_t jobs;
    uint32_t met;    /* completed within the objective */
    uint32_t within; /* within three times the objective */
    uint32_t unfinished;
    int64_t first_start_p50_ms;
    int64_t first_start_p99_ms;
    int64_t first_start_max_ms;
} load_queue_result_t;

typedef struct load_result {
    load_queue_result_t queues[Fv_LOAD_QUEUES_MAX];
    double idle_share;      /* of the CPU while single tasks wait, by time */
    double waiting_ms;      /* time with waiting single tasks */
    double gang_idle_share; /* the same while only gangs wait */
    double gang_waiting_ms;
    double discarded_cpu; /* core-seconds of stopped runs */
    double used_cpu;      /* core-seconds of all runs */
    uint32_t preemptions;
    uint32_t advice_calls;
    uint32_t passes;
    double pass_us; /* processor time of each pass on average */
} load_result_t;

void FvLoadSim_Broadcast(load_plan_t *plan);
void FvLoadSim_Run(const load_plan_t *plan, load_result_t *result);
void FvLoadSim_Print(const load_plan_t *plan, const load_result_t *result);

#endif
