/*
 * The workers of a fake-worker process: their leases, their tasks and the
 * timers of both. All functions may be called from several threads.
 */

#ifndef FAKE_WORKER_SET_H
#define FAKE_WORKER_SET_H

#include "task-program.h"
#include "record.h"

typedef struct fake_worker_set fake_worker_set_t;
typedef struct fake_worker fake_worker_t;

typedef enum fake_worker_mode {
    FAKE_WORKER_UP,
    FAKE_WORKER_FAIL_ALL,
    FAKE_WORKER_HANG,
    FAKE_WORKER_LEAVING
} fake_worker_mode_t;

typedef enum fake_task_state {
    FAKE_TASK_RUNNING,
    FAKE_TASK_DONE,
    FAKE_TASK_FAILED,
    FAKE_TASK_STOPPED,
    FAKE_TASK_NEVER_STARTED
} fake_task_state_t;

typedef struct fake_worker_options {
    int workers;
    const char *prefix;
    fv_resources_t capacity;
    int connections;
    bool fencing;
    int64_t usage_lag_ms;
    int64_t ttl_stop_ms;
    int64_t retention_ms; /* of ended tasks */
    FILE *record;
} fake_worker_options_t;

typedef struct fake_task_start {
    char id[Fv_TASK_ID_SIZE];
    char home_host[Fv_NAME_SIZE];
    char member[Fv_NAME_SIZE];
    char workload[Fv_NAME_SIZE];
    char class_name[Fv_NAME_SIZE];
    uint64_t term;
    fv_resources_t size;
    bool stop_on_expiry;
    int64_t wait_ms;
    task_program_t program; /* released by the caller */
} fake_task_start_t;

/* Result of FvFakeWorker_StartTask() or FvFakeWorker_FetchAnswer(). */
typedef struct fake_task_result {
    const char *refusal; /* NULL: the task exists */
    fake_task_state_t state;
    int64_t ran_ms;
    fv_resources_t used; /* peak usage */
    uint8_t *answer;     /* set when the task is done; freed by the caller */
    size_t answer_length;
} fake_task_result_t;

typedef struct fake_worker_counts {
    int64_t granted;
    int64_t renewed;
    int64_t lease_refused;
    int64_t started;
    int64_t ended;
    int64_t stopped;
    int64_t refused;
    int64_t running;
    int64_t connections;
} fake_worker_counts_t;

fake_worker_set_t *FvFakeWorkerSet_New(const fake_worker_options_t *options);
fake_worker_t *FvFakeWorkerSet_Find(fake_worker_set_t *set, const char *name);
const char *FvFakeTask_StateName(fake_task_state_t state);
bool FvFakeWorker_OpenConnection(fake_worker_t *worker);
void FvFakeWorker_CloseConnection(fake_worker_t *worker);
bool FvFakeWorkerSet_SetMode(fake_worker_set_t *set, const char *name,
                             fake_worker_mode_t mode);
fake_worker_mode_t FvFakeWorker_GetMode(fake_worker_t *worker);
void FvFakeWorkerSet_GetCounts(fake_worker_set_t *set,
                               fake_worker_counts_t *counts);

/* Each sets *status to the HTTP status of the reply it returns. */
json_t *FvFakeWorker_Lease(fake_worker_t *worker, const json_t *request,
                           int *status);
json_t *FvFakeWorker_Release(fake_worker_t *worker, const json_t *request,
                             int *status);
void FvFakeWorker_StartTask(fake_worker_t *worker,
                            const fake_task_start_t *start,
                            fake_task_result_t *result);
json_t *FvFakeWorker_QueryTask(fake_worker_t *worker, const char *id);
void FvFakeWorker_FetchAnswer(fake_worker_t *worker, const char *id,
                              fake_task_result_t *result);
json_t *FvFakeWorker_StopTask(fake_worker_t *worker, const char *id);
json_t *FvFakeWorker_CheckpointTask(fake_worker_t *worker, const char *id);
json_t *FvFakeWorker_ThrottleTask(fake_worker_t *worker, const char *id,
                                  int speed_percent);
json_t *FvFakeWorker_ListTasks(fake_worker_t *worker);

#endif
