/*
 * End-to-end test scenarios. Each case has its own cell, and the cells of one
 * program run in parallel, because a case spends most of its time waiting for
 * lease expiry and host list updates. A case is checked against the workers'
 * records and the replies to its callers.
 */

#ifndef SCENARIO_H
#define SCENARIO_H

#include "caller.h"
#include "record-check.h"

#define SCENARIO_CALLERS_MAX 512
#define SCENARIO_FAILURES_MAX 8
#define SCENARIO_MEMBER "kotuku"

typedef struct scenario scenario_t;

typedef struct scenario_case {
    const char *name; /* the failure that it guards against */
    topology_t topology;
    void (*run)(scenario_t *scenario);
    bool outcome_optional; /* a caller may get no outcome */
} scenario_case_t;

struct scenario {
    const scenario_case_t *test;
    cluster_t cluster;
    rng_t rng;
    caller_t *callers;
    int caller_count;
    char failures[SCENARIO_FAILURES_MAX][RECORD_CHECK_REASON_SIZE];
    int failure_count;
    bool opened;
    pthread_t thread;
};

typedef struct task_placement {
    char worker[Fv_NAME_SIZE];
    int rack;
    int holder; /* index of the lease holder at the start */
    int64_t at_us;
} task_placement_t;

int FvScenario_Main(const char *suite, const scenario_case_t *cases,
                    size_t count, uint64_t seed);
void FvScenario_Fail(scenario_t *scenario, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
bool FvScenario_Expect(scenario_t *scenario, bool holds, const char *text);
caller_t *FvScenario_AddCaller(scenario_t *scenario, int host,
                               const char *workload, const char *key,
                               int64_t run_ms);
void FvScenario_StartCallers(scenario_t *scenario, int first);
void FvScenario_JoinCallers(scenario_t *scenario);
bool FvScenario_WaitForStart(scenario_t *scenario, const char *key, int nth,
                             int64_t timeout_ms, task_placement_t *placement);
void FvScenario_KillHost(scenario_t *scenario, int host, int64_t list_lag_ms);
void FvScenario_RestartHost(scenario_t *scenario, int host);

/* One data centre with three hosts and three racks of two workers. */
extern const topology_t scenario_topology;

#endif
