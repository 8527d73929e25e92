/*
 * End-to-end test cases: each has a cell of its own, and the cells of one
 * program run side by side, because most of a case is waiting for leases and
 * lists. Judged from the workers' records and the callers' answers.
 */

#ifndef PROMISE_H
#define PROMISE_H

#include "caller.h"
#include "judge.h"

#define PROMISE_CALLERS_MAX 512
#define PROMISE_FAILURES_MAX 8
#define PROMISE_MEMBER "kotuku"

typedef struct promise promise_t;

typedef struct promise_case {
    const char *name; /* states the failure it guards against */
    topology_t topology;
    void (*run)(promise_t *promise);
    bool may_stay_open; /* callers need not learn an outcome */
} promise_case_t;

struct promise {
    const promise_case_t *test;
    cluster_t cluster;
    draw_t draw;
    caller_t *callers;
    int caller_count;
    char failures[PROMISE_FAILURES_MAX][RECORD_CHECK_REASON_SIZE];
    int failure_count;
    bool opened;
    pthread_t thread;
};

/* Where a task was started. */
typedef struct promise_place {
    char worker[Fv_NAME_SIZE];
    int rack;
    int holder; /* index of the host that held the lease at the start */
    int64_t at_us;
} promise_place_t;

int FvPromise_Main(const char *suite, const promise_case_t *cases,
                   size_t count, uint64_t seed);
void FvPromise_Fail(promise_t *promise, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
bool FvPromise_Expect(promise_t *promise, bool holds, const char *text);
caller_t *FvPromise_Caller(promise_t *promise, int host, const char *workload,
                           const char *key, int64_t run_ms);
void FvPromise_StartCallers(promise_t *promise, int first);
void FvPromise_JoinCallers(promise_t *promise);
bool FvPromise_WaitStart(promise_t *promise, const char *key, int nth,
                         int64_t limit_ms, promise_place_t *place);
void FvPromise_KillHost(promise_t *promise, int host, int64_t list_lag_ms);
void FvPromise_RestartHost(promise_t *promise, int host);

/* A site of three hosts and three racks of two workers. */
extern const topology_t promise_topology;

#endif
