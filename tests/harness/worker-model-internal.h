/*
 * Structures shared by worker-model.c and worker-task.c. Functions whose
 * name ends in Locked are called with the model's lock held.
 */

#ifndef WORKER_MODEL_INTERNAL_H
#define WORKER_MODEL_INTERNAL_H

#include "timer-heap.h"
#include "worker-model.h"

#include <pthread.h>

typedef struct model_task {
    char id[Fv_TASK_ID_SIZE];
    char home[Fv_NAME_SIZE];
    char member[Fv_NAME_SIZE];
    char workload[Fv_NAME_SIZE];
    char class_name[Fv_NAME_SIZE];
    model_worker_t *worker;
    model_state_t state;
    uint64_t term;
    fv_resources_t size;
    fv_resources_t used; /* usage at the last report */
    bool stop_on_expiry;
    task_program_t program;
    int64_t started_ns;
    int64_t ended_ns;
    int64_t work_left_at_ns; /* when work_left_ns was computed */
    int64_t work_left_ns;    /* at full speed; negative: no end */
    int32_t speed_percent;
    int64_t sequence; /* of the last change */
    int32_t waiters;
    pthread_cond_t ended;
    heap_timer_t end_timer; /* end of the run, then of the retention */
    heap_timer_t usage_timer;
    struct model_task *older; /* by sequence */
    struct model_task *newer;
} model_task_t;

struct model_worker {
    worker_model_t *model;
    char name[Fv_NAME_SIZE];
    model_mode_t mode;
    char holder[Fv_NAME_SIZE];
    char incarnation[Fv_NAME_SIZE];
    uint64_t term;
    bool lease_held;
    int64_t expires_ns;
    heap_timer_t expiry_timer;
    heap_timer_t expiry_stop_timer; /* stops tasks after the lease expiry */
    int64_t sequence;
    void *tasks;          /* tsearch() tree by id */
    model_task_t *oldest; /* by sequence */
    model_task_t *newest;
    fv_resources_t allocated;
    int32_t running;
    int32_t connections;
};

struct worker_model {
    pthread_mutex_t lock;
    pthread_cond_t timers_changed;
    model_options_t options;
    int64_t created_ns; /* start of the workers' uptime */
    timer_heap_t timers;
    model_worker_t *workers;
    model_counts_t counts;
    int64_t last_record_us;
};

/* worker-model.c */
void FvModel_SetTimerLocked(worker_model_t *model, heap_timer_t *timer,
                            int64_t due_ns);
void FvModel_RecordLocked(model_worker_t *worker, record_event_t event,
                          const model_task_t *task, const char *reason);
bool FvModel_LeaseCoversLocked(model_worker_t *worker, uint64_t term,
                               int64_t now_ns);

/* worker-task.c */
json_t *FvModelTask_ChangedLocked(const model_worker_t *worker, int64_t seen,
                                  int64_t now_ns);
void FvModelTask_StopExpiredLocked(model_worker_t *worker, int64_t now_ns);

#endif
