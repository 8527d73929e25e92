/*
 * Client threads that submit a job to a test cell, retry at other hosts with
 * the same key and wait for the outcome. Also declares the questionnaire
 * answers that the end-to-end tests share, and a seeded random generator.
 */

#ifndef CALLER_H
#define CALLER_H

#include "cluster.h"

#include <pthread.h>

/* Workloads: lookup (no claim), rebuild (exclusive, restartable), fit-check
 * (exclusive, not restartable), gang (four tasks, exclusive, restartable). */
char *FvSample_NewAnswers(const char *const *members, size_t count);

/* Outcomes that any host reported for a job, as a bit set. */
enum {
    CALLER_SAW_DONE = 1,
    CALLER_SAW_FAILED = 2,
    CALLER_SAW_CANCELLED = 4,
    CALLER_SAW_NOT_RUN = 8,
    CALLER_SAW_UNKNOWN = 16
};

typedef struct caller {
    cluster_t *cluster;
    int host; /* of the first call; a retry goes to the next host */
    char key[Fv_KEY_SIZE];
    submit_t submit; /* its key is used only if the one above is empty */
    int64_t start_delay_ms;     /* before the first call */
    int64_t timeout_ms;         /* of all calls together; 0: 20 s */
    int64_t attempt_timeout_ms; /* of one call; 0: 3 s */
    bool single_call;           /* no retry, even if the job has not ended */
    unsigned outcomes_seen;     /* CALLER_SAW_ bits */
    int calls;
    int64_t elapsed_ms;
    job_reply_t reply; /* the last complete one */
    pthread_t thread;
} caller_t;

void FvCaller_Start(caller_t *caller);
void FvCaller_Join(caller_t *caller);
void FvCaller_Run(caller_t *caller);
void FvCallers_Start(caller_t *callers, size_t count);
void FvCallers_Join(caller_t *callers, size_t count);

/* A random generator whose numbers depend only on the seed. SEED in the
 * environment replaces the test's own seed. */
typedef struct rng {
    uint64_t seed;
    uint64_t state;
} rng_t;

void FvRng_Init(rng_t *rng, uint64_t seed);
int64_t FvRng_Between(rng_t *rng, int64_t low, int64_t high);

#endif
