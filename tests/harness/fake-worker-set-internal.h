/*
 * Structures shared by fake-worker-set.c and fake-worker-task.c. Functions
 * whose name ends in Locked are called with the set's lock held.
 */

#ifndef FAKE_WORKER_SET_INTERNAL_H
#define FAKE_WORKER_SET_INTERNAL_H

#include "fake-worker-set.h"
#include "timer-heap.h"

#include <pthread.h>

typedef struct fake_task {
    char id[Fv_TASK_ID_SIZE];
    char home_host[Fv_NAME_SIZE];
    char member[Fv_NAME_SIZE];
    char workload[Fv_NAME_SIZE];
    char class_name[Fv_NAME_SIZE];
    fake_worker_t *worker;
    fake_task_state_t state;
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
    struct fake_task *older; /* by sequence */
    struct fake_task *newer;
} fake_task_t;

struct fake_worker {
    fake_worker_set_t *set;
    char name[Fv_NAME_SIZE];
    fake_worker_mode_t mode;
    char holder[Fv_NAME_SIZE];
    char incarnation[Fv_NAME_SIZE];
    uint64_t term;
    bool lease_held;
    int64_t expires_ns;
    heap_timer_t expiry_timer;
    heap_timer_t expiry_stop_timer; /* stops tasks after the lease expiry */
    int64_t sequence;
    void *tasks;         /* tsearch() tree by id */
    fake_task_t *oldest; /* by sequence */
    fake_task_t *newest;
    fv_resources_t allocated;
    int32_t running;
    int32_t connections;
};

struct fake_worker_set {
    pthread_mutex_t lock;
    pthread_cond_t timers_changed;
    fake_worker_options_t options;
    int64_t created_ns; /* start of the workers' uptime */
    timer_heap_t timers;
    fake_worker_t *workers;
    fake_worker_counts_t counts;
    int64_t last_record_us;
};

/* fake-worker-set.c */
void FvFakeWorkerSet_SetTimerLocked(fake_worker_set_t *set,
                                    heap_timer_t *timer, int64_t due_ns);
void FvFakeWorker_RecordLocked(fake_worker_t *worker, record_event_t event,
                               const fake_task_t *task, const char *reason);
bool FvFakeWorker_LeaseCoversLocked(fake_worker_t *worker, uint64_t term,
                                    int64_t now_ns);

/* fake-worker-task.c */
json_t *FvFakeWorker_ListChangedTasksLocked(const fake_worker_t *worker,
                                            int64_t seen, int64_t now_ns);
void FvFakeWorker_StopExpiredTasksLocked(fake_worker_t *worker,
                                         int64_t now_ns);

#endif
