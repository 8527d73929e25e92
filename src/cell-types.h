/*
 * Types exchanged between the scheduler and the platform. platform/ converts
 * them to and from the platform's wire format.
 */

#ifndef CELL_TYPES_H
#define CELL_TYPES_H

#include "fireflyvalve.h"

#define Fv_JOB_ID_SIZE 17 /* 16 hexadecimal digits */
#define Fv_STEP_ID_SIZE 48
#define Fv_RUN_TASK_ID_SIZE 64
#define Fv_STEPS_MAX 64
#define Fv_STEP_TASKS_MAX 4096
#define Fv_LABELS_MAX 8
#define Fv_STORE_KEY_BYTES_MAX 200
/* Two keys of the store, each byte percent-encoded, and the names around them.
 */
#define Fv_CALL_PATH_SIZE (2 * 3 * Fv_STORE_KEY_BYTES_MAX + 80)

/* One step of a job: task_count equal tasks. */
typedef struct fv_step_spec {
    int32_t task_count;
    int64_t cpu_millis;
    int64_t memory_mib;
    int64_t accelerators;
    int64_t estimated_ms;
    uint32_t predecessor_count;
    uint16_t predecessors[Fv_STEPS_MAX];
    bool checkpoints;
    bool gang;
    bool same_rack;
    bool allow_duplicates;
    bool long_running;
    bool uses_spare_cpu; /* its CPU does not count against capacity */
    char required_label[Fv_NAME_SIZE];
    char data_rack[Fv_NAME_SIZE];
    char image[Fv_NAME_SIZE];
    int32_t per_worker_max; /* 0: no limit */
    int64_t latency_target_ms;
    int32_t unavailable_max;
} fv_step_spec_t;

typedef struct fv_job_spec {
    char *payload;
    int32_t repeat_count; /* 0: runs once, at once */
    int64_t first_due_wall_ms;
    int64_t interval_ms;
    uint32_t step_count;
    fv_step_spec_t *steps;
} fv_job_spec_t;

typedef struct fv_cell_queue {
    char name[Fv_NAME_SIZE];
    char virtual_host[Fv_KEY_SIZE];
    char prefix[Fv_KEY_SIZE];
    char service[Fv_NAME_SIZE];
    int32_t priority; /* 0 is the most urgent */
    int32_t attempts_max;
    /* A job should complete within objective_ms plus stretch times its
     * critical path. */
    double stretch;
    int64_t objective_ms;
    bool needs_advice;
    int64_t advice_base_us;
    int64_t advice_per_worker_us;
    int64_t ticket_valid_ms;
    bool is_public; /* needs no key of a customer */
} fv_cell_queue_t;

/* A customer of the cell. Its key strings are secret: they are never logged,
 * sent or stored. */
typedef struct fv_cell_customer {
    char name[Fv_NAME_SIZE];
    double weight;   /* share when the cell is full */
    double job_rate; /* jobs a second: the weight; 0: none is configured */
    /* Most that its tasks may use over all workers; 0: not limited. */
    int64_t cpu_millis_max;
    int64_t memory_mib_max;
    int64_t accelerators_max;
    uint32_t key_count;
    char **keys;
} fv_cell_customer_t;

typedef struct fv_cell_config {
    int64_t version;
    uint32_t queue_count;
    fv_cell_queue_t *queues;
    bool has_customers; /* calls need a key, except on public queues */
    uint32_t customer_count;
    fv_cell_customer_t *customers;
    int64_t customers_digest; /* set by its owner, FvCustomers_Digest() */
    char *document; /* raw, to pass to hosts that cannot read the store */
    size_t document_length;
} fv_cell_config_t;

/* A worker's entry in the platform's registry of workers. */
typedef struct fv_worker_entry {
    char id[Fv_NAME_SIZE];
    char service[Fv_NAME_SIZE];
    char address[Fv_ADDRESS_SIZE];
    char data_center[Fv_NAME_SIZE];
    bool draining;
    int64_t drain_left_ms; /* lower bound; 0 when not known */
    int64_t started_wall_ms;
    int64_t cpu_millis;
    int64_t memory_mib;
    int64_t accelerators;
    uint32_t label_count;
    char labels[Fv_LABELS_MAX][Fv_NAME_SIZE];
    char rack[Fv_NAME_SIZE]; /* "" when not known */
} fv_worker_entry_t;

/* An order to a worker: to start or stop a run of a task. */
typedef struct fv_task_order {
    const char *task_id;
    int32_t run;
    int64_t fencing_token;
    int64_t lease_end_worker_ms; /* by the worker's clock */
    const char *payload;
    const char *checkpoint;
    const char *ticket;
} fv_task_order_t;

typedef enum fv_order_result {
    Fv_ORDER_DONE,
    Fv_ORDER_UNCONFIRMED, /* no answer; may have been or may yet be executed */
    Fv_ORDER_NOT_SENT,    /* no answer, and certainly not executed */
    Fv_ORDER_FENCED,      /* the worker has seen a newer leader's epoch */
    Fv_ORDER_STALE_RUN,
    Fv_ORDER_LEASE_TOO_SHORT, /* expires before the task could start */
    Fv_ORDER_NO_CAPACITY,
    Fv_ORDER_NO_TICKET, /* the ticket is missing or no longer valid */
    Fv_ORDER_UNHEALTHY,
    Fv_ORDER_WRONG_INSTANCE, /* another worker answers at the address */
    Fv_ORDER_MALFORMED
} fv_order_result_t;

typedef enum fv_run_end {
    Fv_END_DONE,
    Fv_END_FAILED,
    Fv_END_STOPPED,
    Fv_END_LEASE_EXPIRED,
    Fv_END_GANG_BROKEN,    /* another member failed or was stopped */
    Fv_END_GANG_INCOMPLETE /* the other members did not start in time */
} fv_run_end_t;

typedef struct fv_running_row {
    char task_id[Fv_RUN_TASK_ID_SIZE];
    int32_t run;
    char *checkpoint; /* owned by the report; NULL: none */
    int32_t percent;
} fv_running_row_t;

typedef struct fv_ended_row {
    int64_t number; /* ascending within an incarnation of the worker */
    char task_id[Fv_RUN_TASK_ID_SIZE];
    int32_t run;
    fv_run_end_t end;
    char *checkpoint; /* owned by the report; NULL: none */
} fv_ended_row_t;

/* A worker's report of its runs. */
typedef struct fv_worker_report {
    int64_t clock_ms;
    int64_t started_wall_ms;
    uint32_t running_count;
    fv_running_row_t *running;
    uint32_t ended_count;
    fv_ended_row_t *ended;
} fv_worker_report_t;

/* A worker that may run a step, and the ticket for starting it there. */
typedef struct fv_advice_row {
    char worker_id[Fv_NAME_SIZE];
    char *ticket; /* owned by the advice */
} fv_advice_row_t;

typedef struct fv_advice {
    uint32_t row_count;
    fv_advice_row_t *rows;
} fv_advice_t;

typedef struct fv_kv_item {
    char *key;
    fv_buffer_t value;
    int64_t revision;
    bool deleted;
} fv_kv_item_t;

typedef struct fv_kv_items {
    uint32_t count;
    fv_kv_item_t *items;
    char *next_after; /* the next page follows this key; NULL: last page */
    int64_t revision; /* of the store at the time of the answer */
} fv_kv_items_t;

typedef struct fv_kv_expect {
    const char *key;
    int64_t revision; /* expected revision; 0: the key does not exist */
} fv_kv_expect_t;

typedef struct fv_kv_put {
    const char *key;
    const void *value; /* NULL: the key is removed */
    size_t length;
    int64_t lease;
} fv_kv_put_t;

typedef enum fv_kv_error {
    Fv_KV_OK,
    Fv_KV_NOT_FOUND,
    Fv_KV_CONFLICT,    /* a precondition did not hold; nothing was done */
    Fv_KV_UNAVAILABLE, /* nothing was done */
    Fv_KV_UNCONFIRMED, /* no answer; may have been or may yet be done */
    Fv_KV_COMPACTED,   /* the store no longer keeps these changes */
    Fv_KV_MALFORMED
} fv_kv_error_t;

/* An outgoing HTTP request, prepared by platform/. */
typedef struct fv_call {
    const char *method;
    char path[Fv_CALL_PATH_SIZE];
    char instance[Fv_NAME_SIZE]; /* sent as the expected instance; "": none */
    char *body;                  /* owned by the call, or NULL */
} fv_call_t;

typedef struct fv_call_answer {
    int32_t status; /* 0: no answer */
    const char *body;
    size_t length;
    bool not_sent;     /* no answer, and certainly not executed */
    bool refused;      /* not sent, as no process accepted the connection */
    bool closed;       /* sent at least in part; the server closed it */
    int64_t waited_ms; /* for a connection, before the request was sent */
} fv_call_answer_t;

const char *FvCallAnswer_Error(const fv_call_answer_t *answer);
void FvJobSpec_Clear(fv_job_spec_t *spec);
void FvCellConfig_Free(fv_cell_config_t *config);
void FvKvItems_Clear(fv_kv_items_t *items);
void FvWorkerReport_Clear(fv_worker_report_t *report);
void FvAdvice_Clear(fv_advice_t *advice);

#endif
