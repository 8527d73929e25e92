/*
 * Load generator for a test cell: threads submit jobs at a fixed rate,
 * round-robin over the hosts.
 */

#ifndef PACED_LOAD_H
#define PACED_LOAD_H

#include "bench.h"

#define PACED_LOAD_THREADS_MAX 8

typedef struct paced_job {
    char key[Fv_KEY_SIZE];
    const char *member;
    const char *workload;
    int host;
    int64_t sent_us; /* wall clock */
    int64_t deadline_ms;
    bool accepted;
} paced_job_t;

/* Fields above the line are set by the caller; the others by the load. */
typedef struct paced_load {
    cluster_t *cluster;
    const char *name;     /* prefix of the keys; NULL: jobs have no key */
    const char *workload; /* NULL: call the workers directly */
    int threads;
    double rate_per_s; /* jobs, over all threads */
    int64_t duration_ms;
    int64_t run_min_ms;
    int64_t run_max_ms;
    int64_t answer_bytes;
    int64_t deadline_ms;
    int host_count; /* use only the first hosts; 0: all */
    uint64_t seed;
    /* ---- */
    samples_t latencies_us; /* of calls with status 200 or 202 */
    int refused;
    paced_job_t *jobs; /* jobs with a key, in order of submission */
    size_t job_count;
    pthread_mutex_t lock;
    pthread_t handles[PACED_LOAD_THREADS_MAX];
    int64_t started_us;
    int next_thread;
} paced_load_t;

void FvPacedLoad_Start(paced_load_t *load);
void FvPacedLoad_Join(paced_load_t *load);
void FvPacedLoad_Run(paced_load_t *load);
void FvPacedLoad_Close(paced_load_t *load);

#endif
