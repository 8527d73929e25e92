/*
 * A mixed load and pairs of faults for a test cell. Both are derived from the
 * seed before the run starts.
 */

#ifndef CHAOS_H
#define CHAOS_H

#include "scenario.h"

#include <stdatomic.h>

#define CHAOS_ROUNDS 2
#define CHAOS_FAULTS_PER_ROUND 2
#define CHAOS_OPERATORS 2
#define CHAOS_JOBS_MAX 256
#define CHAOS_LOOKUP_THREADS 4
#define CHAOS_LOOKUPS_MAX 4096
#define CHAOS_CANCEL_BURST_MAX 30

typedef enum fault_kind {
    FAULT_KILL_HOST,
    FAULT_SUSPEND_HOST,
    FAULT_CUT_STORE,
    FAULT_CUT_WORKERS,
    FAULT_CUT_PEERS,
    FAULT_CUT_REGION,
    FAULT_STORE_DOWN,
    FAULT_DROP_STORE_REPLIES,
    FAULT_DELAY_STORE_WRITES,
    FAULT_DRAIN_WORKER,
    FAULT_RACING_OPERATORS,
    FAULT_CANCEL_BURST,
    FAULT_KIND_COUNT
} fault_kind_t;

typedef struct chaos chaos_t;

typedef struct fault {
    fault_kind_t kind;
    int host;
    int site;
    char worker[Fv_NAME_SIZE];
    const char *mode; /* of a route: cut or blackhole */
    int64_t delay_ms; /* of each store write */
    int64_t began_us; /* wall clock */
    int64_t ended_us;
} fault_t;

/* The faults of a round start and end together. */
typedef struct chaos_round {
    int64_t at_ms; /* after the start of the load */
    int64_t duration_ms;
    fault_t faults[CHAOS_FAULTS_PER_ROUND];
} chaos_round_t;

/* One caller of a job that needs a claim. */
typedef struct chaos_job {
    chaos_t *chaos;
    caller_t *caller;
    char *answer;            /* expected by the caller */
    int64_t start_delay_ms;  /* from the start of the load */
    int64_t cancel_after_ms; /* 0: never */
    int cancel_host;
    pthread_t cancel_thread;
} chaos_job_t;

/* One lookup; every call has its own key. */
typedef struct chaos_lookup {
    char key[Fv_KEY_SIZE];
    bool not_run;
} chaos_lookup_t;

typedef struct chaos_lookup_thread {
    chaos_t *chaos;
    int index;
    int count;
    int done;
    int not_run;
    chaos_lookup_t *lookups;
    pthread_t thread;
} chaos_lookup_thread_t;

typedef struct chaos_operator {
    chaos_t *chaos;
    int index;
    int host;
    int approved_count; /* proposals that all members approved */
    pthread_t thread;
} chaos_operator_t;

typedef struct cancel_burst_call {
    chaos_job_t *job;
    int host;
    pthread_t thread;
} cancel_burst_call_t;

typedef struct config_watcher {
    chaos_t *chaos;
    int host;
    int64_t highest_version; /* of the configuration, on this host */
    pthread_t thread;
} config_watcher_t;

struct chaos {
    scenario_t *scenario;
    pthread_mutex_t lock; /* protects the scenario's failures */
    int64_t began_ms;
    int64_t load_ms;          /* until the end of the last fault */
    int64_t jobs_deadline_ms; /* when all jobs must have ended */
    chaos_round_t rounds[CHAOS_ROUNDS];
    chaos_job_t jobs[CHAOS_JOBS_MAX];
    int job_count;
    pthread_t job_starter; /* starts the callers' threads */
    chaos_lookup_thread_t lookups[CHAOS_LOOKUP_THREADS];
    chaos_operator_t operators[CHAOS_OPERATORS];
    cancel_burst_call_t cancel_burst[CHAOS_CANCEL_BURST_MAX];
    int cancel_burst_count;
    config_watcher_t config_watchers[CLUSTER_HOSTS_MAX];
    atomic_bool stop_load;
    atomic_bool stop_operators;
    atomic_bool stop_watchers;
};

void FvChaos_Fail(chaos_t *chaos, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
int64_t FvChaos_ElapsedMs(const chaos_t *chaos);

/* chaos-fault.c */
void FvChaos_PlanFaults(chaos_t *chaos);
void FvChaos_PrintFaults(const chaos_t *chaos);
void FvChaos_ApplyRound(chaos_t *chaos, chaos_round_t *round);
void FvChaos_RestoreRound(chaos_t *chaos, chaos_round_t *round);
const char *FvChaos_FaultName(fault_kind_t kind);

/* chaos-load.c */
void FvChaos_PlanLoad(chaos_t *chaos);
void FvChaos_StartLoad(chaos_t *chaos);
void FvChaos_JoinLoad(chaos_t *chaos);
void FvChaos_FreeLoad(chaos_t *chaos);
void FvChaos_StartCancelBurst(chaos_t *chaos, int first_host);
void FvChaos_StartOperators(chaos_t *chaos, int first_host);
void FvChaos_JoinOperators(chaos_t *chaos);

#endif
