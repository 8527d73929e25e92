/*
 * Parts of the soak: the cell, its jobs and hosts as the soak knows them, the
 * clients, and the faults.
 */

#ifndef SOAK_H
#define SOAK_H

#include "entry-cell.h"
#include "kept-connection.h"

#include <pthread.h>

#define SOAK_CLIENTS_MAX 256
#define SOAK_JOBS_MAX 40000
#define SOAK_REMOVED_KEYS 8

typedef enum soak_state {
    SOAK_UNKNOWN, /* no final answer; the job may run */
    SOAK_ACCEPTED,
    SOAK_REFUSED, /* every attempt was rejected */
    SOAK_CANCELLED,
    SOAK_MAY_BE_CANCELLED, /* the cancellation was not answered */
    SOAK_ENDED             /* seen as completed */
} soak_state_t;

typedef struct soak_job {
    char id[17];
    const char *queue;
    const char *key; /* of its customer; NULL: none */
    int cap;         /* highest one of its customer, in CPU; 0: none */
    soak_state_t state;
    int64_t cancelled_ms; /* when the cancellation was acknowledged; 0: not */
    int cancel_status;
    int cancel_host;
} soak_job_t;

/* What the soak did to a host's process; times of the latest of each. */
typedef struct soak_host {
    bool down;
    bool suspended;
    int64_t recover_at_ms; /* when the host is restarted or resumed */
    int64_t killed_ms;
    int64_t terminated_ms;
    int64_t resumed_ms;
} soak_host_t;

typedef struct soak {
    uint64_t seed;
    int hosts;
    int workers;
    int clients;
    entry_cell_t cell;
    pthread_mutex_t lock; /* of the members below */
    soak_host_t host[ENTRY_CELL_HOSTS_MAX];
    soak_job_t jobs[SOAK_JOBS_MAX];
    uint32_t job_count;
    uint32_t reply_counts[6]; /* by first digit of the status; 0: no reply */
    uint32_t lost;            /* requests without a whole answer */
    uint32_t closed_early;    /* at once; the request may not have been read */
    uint32_t wrong_answers;
    atomic_bool finished;
    int64_t store_recover_at_ms;
    int64_t route_recover_at_ms;
    int64_t worker_recover_at_ms[ENTRY_CELL_WORKERS_MAX];
    int64_t stops_recover_at_ms;
    int64_t orders_recover_at_ms; /* are carried out late until then */
    int64_t
        mute_until_ms[ENTRY_CELL_WORKERS_MAX]; /* out of the hosts' reach */
    int64_t config_version;
    bool splits;
    int64_t split_until_ms; /* 0: not split */
    entry_split_t split;    /* the latest one; this and its times: the lock */
    int64_t split_began_ms;
    int64_t split_ended_ms;
    uint32_t stale; /* answers of earlier leaders without the store */
    bool keys;      /* the cell has customers */
    uint32_t key_turns;
    int64_t next_key_ms;
    _Atomic int64_t disturbed_ms; /* last time without the store for some */
    int64_t removed_ms[SOAK_REMOVED_KEYS]; /* of the latest ones; the lock */
    uint32_t removed_count;
    uint32_t key_violations;
} soak_t;

uint32_t FvSoak_Random(uint64_t *state, uint32_t limit);

/* soak-clients.c */
bool FvSoakClients_Start(soak_t *soak, pthread_t *threads);
void FvSoakClients_CountReply(soak_t *soak, int status);
void FvSoakClients_CheckLoss(soak_t *soak, int host, int64_t opened_ms,
                             int64_t sent_ms, kept_outcome_t outcome,
                             const char *request);
soak_job_t *FvSoakClients_NewJob(soak_t *soak, uint64_t *random,
                                 const char *queue);
void FvSoakClients_BuildBody(uint64_t *random, const soak_job_t *job,
                             char *body, size_t size);
void FvSoakClients_NoteCancelled(soak_job_t *job, int host, int status);
int FvSoakClients_Call(soak_t *soak, uint64_t *random, const char *method,
                       const soak_job_t *job, char *state, size_t size);

/* soak-probes.c */
#define SOAK_PROBES 3
bool FvSoakProbes_Start(soak_t *soak, pthread_t *threads);

/* soak-keys.c */
bool FvSoakKeys_Start(soak_t *soak);
int FvSoakKeys_Cap(const soak_t *soak);
const char *FvSoakKeys_OfJob(const soak_t *soak, uint32_t number);
void FvSoakKeys_Inject(soak_t *soak, int64_t now_ms);
void FvSoakKeys_Probe(soak_t *soak, uint64_t *random);

/* soak-splits.c */
bool FvSoakSplits_Inject(soak_t *soak, int64_t now_ms);
bool FvSoakSplits_IsStale(soak_t *soak, int host);
void FvSoakSplits_ClearDue(soak_t *soak, int64_t now_ms);

/* soak-faults.c */
void FvSoakFaults_Inject(soak_t *soak, int64_t duration_s);
void FvSoakFaults_ClearDue(soak_t *soak, int64_t now_ms);

#endif
