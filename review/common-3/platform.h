/*
 * Stand-in for the platform of a small deployment: the store, the workers, the
 * operator and the advice service, in one thread with libevent. It follows
 * PROTOCOL.md. The scenario of a case runs in another thread and holds the
 * lock while it looks at the state.
 */

#ifndef PLATFORM_H
#define PLATFORM_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#define WORKERS_MAX 64
#define QUEUE_HOST "desk.example"
#define QUEUE_PREFIX "/batch/"

/* Bounds of the deployment (kotuku-cs), in ms. */
#define LEASE_MAX_MS 10000
#define STOP_MAX_MS 900
#define HEARTBEAT_MS 1500

typedef struct platform_options {
    int workers;
    int cpu_millis; /* of each worker */
    int memory_mib;
    int delay_ms; /* of a worker's answers: a round trip */
} platform_options_t;

/* What is known of one task. */
typedef struct task_facts {
    int starts;
    int running; /* runs on workers that are up */
    bool done;
    int64_t running_until_ms; /* when it last ran; 0: never */
} task_facts_t;

/* Starts all servers on free loopback ports; false when that fails. */
bool platform_start(const platform_options_t *options, FILE *record);
int platform_store_port(void);
int platform_advice_port(void);

int64_t platform_now_ms(void);
void platform_lock(void);
void platform_unlock(void);
void platform_record(const char *format, ...)
    __attribute__((format(printf, 1, 2)));

/* The calls below take the lock themselves. */
task_facts_t platform_task(const char *name);
int platform_runs(int worker); /* that are on it */
int platform_all_runs(void);
int platform_job_runs(const char *job);
int platform_done_count(const char *job);
int platform_worker_of(const char *task); /* -1: it runs nowhere */
int64_t platform_free_cpu(void);          /* of the workers that are up */
int64_t platform_cpu(void);
/* The worker's machine loses its power for good: it answers nothing, accepts
 * no connection and sends no heartbeat. */
void platform_lose_worker(int worker);
/* Name of the host that leads by the store, "" for none. */
void platform_leader(char *name, size_t size);
int platform_leader_changes(void);

#endif
