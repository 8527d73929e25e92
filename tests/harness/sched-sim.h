/*
 * A cell in simulated time around the scheduler: workers that run tasks under
 * leases, lose answers, execute orders late, crash and drain; an advice
 * service; a record store; successive leaders, of which several act when the
 * cell is split. The guarantees are checked at the workers.
 */

#ifndef SCHED_SIM_H
#define SCHED_SIM_H

#include <stdbool.h>
#include <stdint.h>

/* Probabilities of the faults, of 1,000; none occurs after faults_end_ms. */
typedef struct sim_faults {
    uint32_t lost_orders;   /* not answered; half of them are executed late */
    uint32_t lost_renewals; /* the same */
    uint32_t failing_tasks;
    uint32_t worker_crashes;    /* of one worker, each second */
    uint32_t kind_changes;      /* of the crashed workers */
    uint32_t times_set_back;    /* the same: their time of day */
    uint32_t worker_outages;    /* each second; no answers for 1 to 8 s */
    uint32_t unlisted_outages;  /* of these; the worker's entry is removed */
    uint32_t worker_drains;     /* each second; the worker leaves in 2.5 s */
    uint32_t leader_failovers;  /* each second, without notice */
    uint32_t leader_absence_ms; /* longest time without a leader after one */
    uint32_t leader_handovers;  /* each second, prepared by the leader */
    uint32_t job_cancellations; /* of one job, each second */
    /* Each second; the leader keeps a part of the workers and acts on, while
     * another host is elected. */
    uint32_t splits;
    uint32_t store_outages; /* each second; for all hosts */
    uint32_t cap_changes;   /* each second; of one customer's cap */
} sim_faults_t;

typedef struct sim_plan {
    uint64_t seed;
    uint32_t workers;
    uint32_t jobs;
    int64_t faults_end_ms;
    int64_t deadline_ms; /* every job must have ended by then */
    bool advice;
    uint32_t allowed_workers; /* that the advice allows for a stage */
    int64_t advice_per_worker_us;
    uint32_t task_max_ms;    /* declared time of a task; 0: a usual one */
    uint32_t lasting_jobs;   /* share of long-running jobs, of 1,000 */
    bool check_waiting;      /* requires that no faults occur */
    bool unreached_list;     /* leaders keep the list of unreached workers */
    uint32_t ends_page;      /* ends that a report lists at most; 0: all */
    uint32_t customers;      /* each with a cap; 0: none */
    uint32_t start_bound_ms; /* of check_waiting; 0: the usual one */
    sim_faults_t faults;
} sim_plan_t;

/* Violations of each kind; all 0 when every guarantee holds. */
typedef struct sim_result {
    uint32_t over_capacity;
    uint32_t concurrent_runs;
    uint32_t started_after_done;
    uint32_t started_before_predecessors;
    uint32_t started_beyond_attempts;
    uint32_t started_beyond_spread;
    uint32_t started_without_label;
    uint32_t started_above_cap;
    uint32_t waited_too_long;
    uint32_t unfinished_jobs;
    uint32_t wrong_outcomes;
    uint32_t wrong_accounts; /* of the capacity of a worker */
    uint32_t starts;
    uint32_t leaders;
    uint32_t splits; /* in which another leader was elected */
    char first_violation[160];
} sim_result_t;

void FvSchedSim_Run(const sim_plan_t *plan, sim_result_t *result);
void FvSchedSim_Check(const sim_plan_t *plan);
void FvSchedSim_ChooseSeeds(uint64_t *first, uint32_t *count);

#endif
