/*
 * Callers of a test cell: threads that submit a job, retry it at other hosts
 * with the same key and wait for its end; and the answers of the
 * questionnaire that the end-to-end tests share.
 */

#ifndef CALLER_H
#define CALLER_H

#include "cluster.h"

#include <pthread.h>

/* A member's answers: lookup (no claim), rebuild (exclusive, repeatable),
 * fit-check (exclusive, not idempotent), gang (four tasks, exclusive,
 * repeatable). */
char *FvSample_NewAnswers(const char *const *members, size_t count);

/* What a caller was told of its job, by any host at any time. */
enum {
    CALLER_SAW_DONE = 1,
    CALLER_SAW_FAILED = 2,
    CALLER_SAW_CANCELLED = 4,
    CALLER_SAW_NOT_RUN = 8,
    CALLER_SAW_UNKNOWN = 16
};

typedef struct caller {
    cluster_t *cluster;
    int host; /* asked first; a retry asks the next one */
    char key[Fv_KEY_SIZE];
    submit_t submit; /* its key is replaced by KEY unless that is empty */
    int64_t start_delay_ms;     /* pause before the first call */
    int64_t limit_ms;           /* gives up after; 0: 20 s */
    int64_t attempt_timeout_ms; /* patience with one host; 0: 3 s */
    bool single_call;       /* no retry and no waiting after the first reply */
    unsigned outcomes_seen; /* CALLER_TOLD_ bits */
    int calls;
    int64_t took_ms;
    job_reply_t reply; /* the last complete one */
    pthread_t thread;
} caller_t;

void FvCaller_Start(caller_t *caller);
void FvCaller_Join(caller_t *caller);
void FvCaller_Run(caller_t *caller);
void FvCallers_Start(caller_t *callers, size_t count);
void FvCallers_Join(caller_t *callers, size_t count);

/* Draws that depend only on the seed. SEED in the environment replaces the
 * test's own seed. */
typedef struct rng {
    uint64_t seed;
    uint64_t state;
} rng_t;

void FvRng_Init(rng_t *rng, uint64_t seed);
int64_t FvRng_Between(rng_t *rng, int64_t low, int64_t high);

#endif
