/*
 * What the cases share: entry hosts as separate processes, and a client.
 */

#ifndef DRIVER_H
#define DRIVER_H

#include "platform.h"

#define HOSTS_MAX 8
#define FINISH_MS 14000 /* finish_s of kotuku-cs */
#define DEADLINE_MS 3000
#define RETRIES_MAX 4 /* of a client */
#define RESTART_MS 1000

typedef struct job {
    char id[17];
    bool accepted;
    int tasks;
} job_t;

typedef struct driver {
    int hosts;
    bool trouble;
    FILE *record;
} driver_t;

bool hosts_start(int count, int memory_mb, const char *directory);
bool hosts_wait_ready(int64_t timeout_ms);
/* SIGKILL; the host is not started again. */
void host_kill(int host);
int host_leader(void); /* -1: none */
/* Kills the hosts that exceed their memory, as the platform does, and starts
 * them again after RESTART_MS. Returns how many hosts were killed @times. */
int hosts_enforce_memory(int times);
/* Hosts that ended without being killed. */
int hosts_ended(void);
void hosts_stop(void);

void sleep_ms(int64_t ms);
/* Returns the status, 0 for no answer. @state: of the answer, or NULL */
int call_host(int host, const char *method, const char *path, const char *body,
              char *state, size_t size);
/* Hands a job in, and repeats it at other hosts after anything but a 2xx. */
void submit(job_t *job, uint64_t id, const char *body, int tasks);
/* Asks for a job's state at one host after the other; false when no answer
 * comes in time, or the job is not known. */
bool ask_state(const job_t *job, char *state, size_t size);

/* Each returns 0 when the rule held, 1 when it was broken. */
int case_large_job(const driver_t *driver);
int case_large_job_memory(const driver_t *driver);
int case_doubtful_start(const driver_t *driver);
int case_cancelled_jobs(const driver_t *driver);
int case_lasting_task(const driver_t *driver);

#endif
