/*
 * State of the fake worker: leases, tasks and their timers for any number of
 * workers. All functions may be called from several threads.
 */

#ifndef WORKER_MODEL_H
#define WORKER_MODEL_H

#include "task-program.h"
#include "record.h"

typedef struct worker_model worker_model_t;
typedef struct model_worker model_worker_t;

typedef enum model_mode {
    MODEL_UP,
    MODEL_FAIL_ALL,
    MODEL_HANG,
    MODEL_LEAVING
} model_mode_t;

typedef enum model_state {
    MODEL_RUNNING,
    MODEL_DONE,
    MODEL_FAILED,
    MODEL_STOPPED,
    MODEL_NEVER_STARTED
} model_state_t;

typedef struct model_options {
    int workers;
    const char *prefix;
    fv_resources_t capacity;
    int connections;
    bool fencing;
    int64_t usage_lag_ms;
    int64_t ttl_stop_ms;
    int64_t retention_ms; /* of ended tasks */
    FILE *record;
} model_options_t;

typedef struct model_start {
    char id[Fv_TASK_ID_SIZE];
    char home[Fv_NAME_SIZE];
    char member[Fv_NAME_SIZE];
    char workload[Fv_NAME_SIZE];
    char class_name[Fv_NAME_SIZE];
    uint64_t term;
    fv_resources_t size;
    bool stop_on_expiry;
    int64_t wait_ms;
    task_program_t program; /* released by the caller */
} model_start_t;

/* Result of FvModel_Start() or FvModel_FetchAnswer(). */
typedef struct model_result {
    const char *refusal; /* NULL: the task exists */
    model_state_t state;
    int64_t ran_ms;
    fv_resources_t used; /* peak usage */
    uint8_t *answer;     /* set when the task is done; freed by the caller */
    size_t answer_length;
} model_result_t;

typedef struct model_counts {
    int64_t granted;
    int64_t renewed;
    int64_t lease_refused;
    int64_t started;
    int64_t ended;
    int64_t stopped;
    int64_t refused;
    int64_t running;
    int64_t connections;
} model_counts_t;

worker_model_t *FvModel_New(const model_options_t *options);
model_worker_t *FvModel_Find(worker_model_t *model, const char *name);
const char *FvModel_StateName(model_state_t state);
bool FvModel_OpenConnection(model_worker_t *worker);
void FvModel_CloseConnection(model_worker_t *worker);
bool FvModel_SetMode(worker_model_t *model, const char *name,
                     model_mode_t mode);
model_mode_t FvModel_GetMode(model_worker_t *worker);
void FvModel_GetCounts(worker_model_t *model, model_counts_t *counts);

/* Each sets *status to the HTTP status of the reply it returns. */
json_t *FvModel_Lease(model_worker_t *worker, const json_t *request,
                      int *status);
json_t *FvModel_Release(model_worker_t *worker, const json_t *request,
                        int *status);
void FvModel_Start(model_worker_t *worker, const model_start_t *start,
                   model_result_t *result);
json_t *FvModel_Query(model_worker_t *worker, const char *id);
void FvModel_FetchAnswer(model_worker_t *worker, const char *id,
                         model_result_t *result);
json_t *FvModel_Stop(model_worker_t *worker, const char *id);
json_t *FvModel_Checkpoint(model_worker_t *worker, const char *id);
json_t *FvModel_Throttle(model_worker_t *worker, const char *id,
                         int speed_percent);
json_t *FvModel_List(model_worker_t *worker);

#endif
