/*
 * Tasks of the worker double. A task is a timer, not a process.
 */

#include "worker-model-internal.h"

#include <search.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define TASK_REPORT_NS (60 * Fv_NS_PER_S)
#define TASK_STOP_REMEMBERED_NS (24 * 3600 * Fv_NS_PER_S)

static const char *const state_names[] = {"running", "done", "failed",
                                          "stopped", "never_started"};

/**
 * FvModel_StateName - name of a task state
 * @state: the state
 *
 * Return: the name used by the protocol.
 */
const char *
FvModel_StateName(model_state_t state)
{
    return state_names[state];
}

static int
compare_ids(const void *a, const void *b)
{
    return strcmp(((const model_task_t *)a)->id,
                  ((const model_task_t *)b)->id);
}

static model_task_t *
find_task(const model_worker_t *worker, const char *id)
{
    model_task_t wanted;
    void *found;

    snprintf(wanted.id, sizeof(wanted.id), "%s", id);
    found = tfind(&wanted, &worker->tasks, compare_ids);
    return found != NULL ? *(model_task_t **)found : NULL;
}

static void
unlink_task(model_worker_t *worker, model_task_t *task)
{
    if (task->older != NULL) {
        task->older->newer = task->newer;
    }
    else if (worker->oldest == task) {
        worker->oldest = task->newer;
    }
    if (task->newer != NULL) {
        task->newer->older = task->older;
    }
    else if (worker->newest == task) {
        worker->newest = task->older;
    }
    task->older = NULL;
    task->newer = NULL;
}

/* Gives the task the next event sequence, so that a renewal reports it. */
static void
mark_changed(model_task_t *task)
{
    model_worker_t *worker = task->worker;

    unlink_task(worker, task);
    task->sequence = ++worker->sequence;
    task->older = worker->newest;
    if (worker->newest != NULL) {
        worker->newest->newer = task;
    }
    else {
        worker->oldest = task;
    }
    worker->newest = task;
}

static void
add_size(model_worker_t *worker, const fv_resources_t *size, int sign)
{
    worker->sum.cpu_millis += sign * size->cpu_millis;
    worker->sum.memory_bytes += sign * size->memory_bytes;
    worker->sum.accelerators += sign * size->accelerators;
    worker->sum.slots += sign * size->slots;
    worker->running += sign;
    worker->model->counts.running += sign;
}

static bool
fits(const model_worker_t *worker, const fv_resources_t *size)
{
    const fv_resources_t *capacity = &worker->model->options.capacity;
    const fv_resources_t *sum = &worker->sum;

    return sum->cpu_millis + size->cpu_millis <= capacity->cpu_millis &&
           sum->memory_bytes + size->memory_bytes <= capacity->memory_bytes &&
           sum->accelerators + size->accelerators <= capacity->accelerators &&
           sum->slots + size->slots <= capacity->slots;
}

static void
forget_task(model_task_t *task)
{
    model_worker_t *worker = task->worker;

    unlink_task(worker, task);
    FvTimerHeap_Cancel(&worker->model->timers, &task->life);
    FvTimerHeap_Cancel(&worker->model->timers, &task->usage);
    tdelete(task, &worker->tasks, compare_ids);
    FvProgram_Free(&task->program);
    pthread_cond_destroy(&task->ended);
    free(task);
}

static void
end_task(model_task_t *task, model_state_t state, int64_t now_ns)
{
    model_worker_t *worker = task->worker;
    worker_model_t *model = worker->model;

    task->state = state;
    task->ended_ns = now_ns;
    add_size(worker, &task->size, -1);
    mark_changed(task);
    FvModel_SetTimerLocked(model, &task->life,
                           now_ns +
                               model->options.retention_ms * Fv_NS_PER_MS);
    pthread_cond_broadcast(&task->ended);
}

static void
finish_task(model_task_t *task, int64_t now_ns)
{
    model_state_t state = task->program.fail ? MODEL_FAILED : MODEL_DONE;

    end_task(task, state, now_ns);
    task->worker->model->counts.ended++;
    FvModel_RecordLocked(task->worker, RECORD_END, task, state_names[state]);
}

static void
stop_task(model_task_t *task, const char *reason, int64_t now_ns)
{
    end_task(task, MODEL_STOPPED, now_ns);
    task->worker->model->counts.stopped++;
    FvModel_RecordLocked(task->worker, RECORD_STOPPED, task, reason);
}

static void
fire_life(void *owner, int64_t now_ns)
{
    model_task_t *task = owner;

    if (task->state == MODEL_RUNNING) {
        finish_task(task, now_ns);
    }
    else if (task->waiters == 0) {
        forget_task(task);
    }
    else {
        FvModel_SetTimerLocked(task->worker->model, &task->life,
                               now_ns + Fv_NS_PER_S);
    }
}

/* What the task uses at full speed. */
static fv_resources_t
highest_use(const model_task_t *task)
{
    const program_t *program = &task->program;
    fv_resources_t use = task->size;

    if (program->use_cpu_millis >= 0) {
        use.cpu_millis = program->use_cpu_millis;
    }
    if (program->use_memory_bytes >= 0) {
        use.memory_bytes = program->use_memory_bytes;
    }
    return use;
}

/* A throttled task uses processors in proportion to its speed. */
static void
report_usage(model_task_t *task)
{
    task->used = highest_use(task);
    task->used.cpu_millis = task->used.cpu_millis * task->percent / 100;
    mark_changed(task);
}

static void
fire_usage(void *owner, int64_t now_ns)
{
    (void)now_ns;
    report_usage(owner);
}

static void
schedule_end(model_task_t *task, int64_t now_ns)
{
    worker_model_t *model = task->worker->model;

    task->resumed_ns = now_ns;
    if (task->left_ns < 0 || task->percent == 0) {
        FvTimerHeap_Cancel(&model->timers, &task->life);
    }
    else {
        FvModel_SetTimerLocked(model, &task->life,
                               now_ns + task->left_ns * 100 / task->percent);
    }
}

static void
schedule_usage(model_task_t *task, int64_t now_ns)
{
    worker_model_t *model = task->worker->model;

    FvModel_SetTimerLocked(model, &task->usage,
                           now_ns +
                               model->options.usage_lag_ms * Fv_NS_PER_MS);
}

static model_task_t *
new_task(model_worker_t *worker, const char *id)
{
    model_task_t *task = calloc(1, sizeof(*task));
    pthread_condattr_t attr;

    if (task == NULL) {
        abort();
    }
    pthread_condattr_init(&attr);
    pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
    pthread_cond_init(&task->ended, &attr);
    snprintf(task->id, sizeof(task->id), "%s", id);
    task->worker = worker;
    task->percent = 100;
    task->life = (heap_timer_t){.fire = fire_life, .owner = task};
    task->usage = (heap_timer_t){.fire = fire_usage, .owner = task};
    if (tsearch(task, &worker->tasks, compare_ids) == NULL) {
        abort();
    }
    return task;
}

static model_task_t *
run_task(model_worker_t *worker, const model_start_t *start, int64_t now_ns)
{
    model_task_t *task = new_task(worker, start->id);

    snprintf(task->home, sizeof(task->home), "%s", start->home);
    snprintf(task->member, sizeof(task->member), "%s", start->member);
    snprintf(task->workload, sizeof(task->workload), "%s", start->workload);
    snprintf(task->class_name, sizeof(task->class_name), "%s",
             start->class_name);
    task->term = start->term;
    task->size = start->size;
    task->stop_on_expiry = start->stop_on_expiry;
    FvProgram_Copy(&task->program, &start->program);
    if (worker->mode == MODEL_FAIL_ALL) {
        task->program.fail = true;
        task->program.run_ms = 1;
    }
    task->started_ns = now_ns;
    task->left_ns = task->program.run_ms * Fv_NS_PER_MS;
    add_size(worker, &task->size, 1);
    mark_changed(task);
    schedule_end(task, now_ns);
    schedule_usage(task, now_ns);
    worker->model->counts.started++;
    FvModel_RecordLocked(worker, RECORD_START, task, "");
    return task;
}

static void
refuse_start(model_worker_t *worker, const model_start_t *start,
             const char *reason)
{
    model_task_t refused = {.term = start->term, .size = start->size};

    snprintf(refused.id, sizeof(refused.id), "%s", start->id);
    snprintf(refused.member, sizeof(refused.member), "%s", start->member);
    snprintf(refused.workload, sizeof(refused.workload), "%s",
             start->workload);
    worker->model->counts.refused++;
    FvModel_RecordLocked(worker, RECORD_REFUSED, &refused, reason);
}

/* Finds the task or starts it; NULL with the reason when it is refused. */
static model_task_t *
find_or_run(model_worker_t *worker, const model_start_t *start,
            const char **refusal)
{
    model_task_t *task = find_task(worker, start->id);
    int64_t now_ns = FvClock_NowNs();

    *refusal = NULL;
    if (task != NULL && task->state != MODEL_NEVER_STARTED) {
        return task;
    }
    if (task != NULL) {
        *refusal = "stopped";
    }
    else if (worker->model->options.fencing &&
             !FvModel_LeaseCoversLocked(worker, start->term, now_ns)) {
        *refusal = "stale_term";
    }
    else if (!fits(worker, &start->size)) {
        *refusal = "no_capacity";
    }
    if (*refusal != NULL) {
        refuse_start(worker, start, *refusal);
        return NULL;
    }
    return run_task(worker, start, now_ns);
}

static void
wait_for_end(model_task_t *task, int64_t wait_ms)
{
    struct timespec until;

    clock_gettime(CLOCK_MONOTONIC, &until);
    until.tv_sec += (time_t)(wait_ms / Fv_MS_PER_S);
    until.tv_nsec += (long)(wait_ms % Fv_MS_PER_S * Fv_NS_PER_MS);
    if (until.tv_nsec >= Fv_NS_PER_S) {
        until.tv_sec++;
        until.tv_nsec -= Fv_NS_PER_S;
    }
    task->waiters++;
    while (task->state == MODEL_RUNNING && wait_ms > 0) {
        if (pthread_cond_timedwait(&task->ended, &task->worker->model->lock,
                                   &until) != 0) {
            break;
        }
    }
    task->waiters--;
}

static int64_t
ran_ms(const model_task_t *task, int64_t now_ns)
{
    bool running = task->state == MODEL_RUNNING;

    return ((running ? now_ns : task->ended_ns) - task->started_ns) /
           Fv_NS_PER_MS;
}

static void
describe_locked(const model_task_t *task, model_result_t *result)
{
    result->state = task->state;
    result->ran_ms = ran_ms(task, FvClock_NowNs());
    result->used = highest_use(task);
}

/* The answer is computed without the lock: it may be many megabytes. */
static void
take_answer(program_t *program, model_result_t *result)
{
    if (result->refusal == NULL && result->state == MODEL_DONE) {
        result->answer = FvProgram_Answer(program, &result->answer_length);
    }
    FvProgram_Free(program);
}

/**
 * FvModel_Start - start a task, once for each id, and wait for its end
 * @worker: the worker
 * @start: the request
 * @result: filled in
 */
void
FvModel_Start(model_worker_t *worker, const model_start_t *start,
              model_result_t *result)
{
    worker_model_t *model = worker->model;
    program_t program = {0};
    model_task_t *task;

    *result = (model_result_t){0};
    pthread_mutex_lock(&model->lock);
    task = find_or_run(worker, start, &result->refusal);
    if (task != NULL) {
        wait_for_end(task, start->wait_ms);
        describe_locked(task, result);
        FvProgram_Copy(&program, &task->program);
    }
    pthread_mutex_unlock(&model->lock);
    take_answer(&program, result);
}

/**
 * FvModel_FetchAnswer - read the answer of a task
 * @worker: the worker
 * @id: the task
 * @result: filled in; refused when the task is unknown or never started
 */
void
FvModel_FetchAnswer(model_worker_t *worker, const char *id,
                    model_result_t *result)
{
    program_t program = {0};
    model_task_t *task;

    *result = (model_result_t){0};
    pthread_mutex_lock(&worker->model->lock);
    task = find_task(worker, id);
    if (task == NULL || task->state == MODEL_NEVER_STARTED) {
        result->refusal = "unknown task";
    }
    else {
        describe_locked(task, result);
        FvProgram_Copy(&program, &task->program);
    }
    pthread_mutex_unlock(&worker->model->lock);
    take_answer(&program, result);
}

static int64_t
uptime_ms(const model_worker_t *worker, int64_t now_ns)
{
    return (now_ns - worker->model->created_ns) / Fv_NS_PER_MS;
}

static json_t *
task_json(const model_task_t *task, int64_t now_ns)
{
    return json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:o, s:o, s:I, s:I}",
                     "id", task->id, "state", state_names[task->state], "home",
                     task->home, "member", task->member, "workload",
                     task->workload, "class", task->class_name, "size",
                     FvRecord_ResourcesToJson(&task->size), "used",
                     FvRecord_ResourcesToJson(&task->used), "ran_ms",
                     (json_int_t)ran_ms(task, now_ns), "uptime_ms",
                     (json_int_t)uptime_ms(task->worker, now_ns));
}

/**
 * FvModelTask_ChangedLocked - the tasks that a renewal reports
 * @worker: the worker
 * @seen: last sequence the holder has processed; 0, or one this worker never
 *        reached, reports all running and recently ended tasks
 * @now_ns: current time
 *
 * Return: a new array.
 */
json_t *
FvModelTask_ChangedLocked(const model_worker_t *worker, int64_t seen,
                          int64_t now_ns)
{
    bool all = seen <= 0 || seen > worker->sequence;
    json_t *tasks = json_array();

    for (const model_task_t *task = worker->newest;
         task != NULL && (all || task->sequence > seen); task = task->older) {
        bool recent = task->state == MODEL_RUNNING ||
                      now_ns - task->ended_ns <= TASK_REPORT_NS;

        if (!all || recent) {
            json_array_append_new(tasks, task_json(task, now_ns));
        }
    }
    return tasks;
}

/**
 * FvModelTask_StopLapsedLocked - stop what must not outlive the lease
 * @worker: a worker whose lease ended long enough ago
 * @now_ns: current time
 */
void
FvModelTask_StopLapsedLocked(model_worker_t *worker, int64_t now_ns)
{
    model_task_t *last = worker->newest;
    model_task_t *task = worker->oldest;

    /* A stopped task moves behind the last one. */
    while (task != NULL) {
        model_task_t *next = task != last ? task->newer : NULL;

        if (task->state == MODEL_RUNNING && task->stop_on_expiry) {
            stop_task(task, "lapsed", now_ns);
        }
        task = next;
    }
}

static json_t *
unknown_json(const model_worker_t *worker, const char *id)
{
    return json_pack("{s:s, s:s, s:I}", "id", id, "state",
                     state_names[MODEL_NEVER_STARTED], "uptime_ms",
                     (json_int_t)uptime_ms(worker, FvClock_NowNs()));
}

/**
 * FvModel_Query - state of a task
 * @worker: the worker
 * @id: the task
 *
 * Return: a TASK.
 */
json_t *
FvModel_Query(model_worker_t *worker, const char *id)
{
    const model_task_t *task;
    json_t *reply;

    pthread_mutex_lock(&worker->model->lock);
    task = find_task(worker, id);
    reply = task != NULL ? task_json(task, FvClock_NowNs())
                         : unknown_json(worker, id);
    pthread_mutex_unlock(&worker->model->lock);
    return reply;
}

/* Remembers the id, so that a start that is still on its way is refused. */
static model_task_t *
remember_stop(model_worker_t *worker, const char *id, int64_t now_ns)
{
    model_task_t *task = new_task(worker, id);

    task->state = MODEL_NEVER_STARTED;
    task->started_ns = now_ns;
    task->ended_ns = now_ns;
    FvModel_SetTimerLocked(worker->model, &task->life,
                           now_ns + TASK_STOP_REMEMBERED_NS);
    FvModel_RecordLocked(worker, RECORD_STOPPED, task,
                         state_names[MODEL_NEVER_STARTED]);
    return task;
}

/**
 * FvModel_Stop - stop a task or remember that it must not start
 * @worker: the worker
 * @id: the task
 *
 * Return: a TASK with the state after the stop.
 */
json_t *
FvModel_Stop(model_worker_t *worker, const char *id)
{
    int64_t now_ns = FvClock_NowNs();
    model_task_t *task;
    json_t *reply;

    pthread_mutex_lock(&worker->model->lock);
    task = find_task(worker, id);
    if (task == NULL) {
        task = remember_stop(worker, id, now_ns);
    }
    else if (task->state == MODEL_RUNNING) {
        stop_task(task, "stop", now_ns);
    }
    reply = task_json(task, now_ns);
    pthread_mutex_unlock(&worker->model->lock);
    return reply;
}

/**
 * FvModel_Checkpoint - save a task's state and stop it
 * @worker: the worker
 * @id: the task
 *
 * Return: a TASK, or NULL when the task is unknown.
 */
json_t *
FvModel_Checkpoint(model_worker_t *worker, const char *id)
{
    int64_t now_ns = FvClock_NowNs();
    model_task_t *task;
    json_t *reply = NULL;

    pthread_mutex_lock(&worker->model->lock);
    task = find_task(worker, id);
    if (task != NULL) {
        if (task->state == MODEL_RUNNING) {
            stop_task(task, "checkpoint", now_ns);
        }
        reply = task_json(task, now_ns);
    }
    pthread_mutex_unlock(&worker->model->lock);
    return reply;
}

static void
set_speed(model_task_t *task, int percent, int64_t now_ns)
{
    int64_t worked_ns = (now_ns - task->resumed_ns) * task->percent / 100;

    if (task->left_ns >= 0) {
        task->left_ns =
            task->left_ns > worked_ns ? task->left_ns - worked_ns : 0;
    }
    task->percent = percent;
    schedule_end(task, now_ns);
    schedule_usage(task, now_ns);
}

/**
 * FvModel_Throttle - change the speed of a running task
 * @worker: the worker
 * @id: the task
 * @percent: 0 pauses it, 100 is full speed
 *
 * Return: a TASK, or NULL when the task is unknown.
 */
json_t *
FvModel_Throttle(model_worker_t *worker, const char *id, int percent)
{
    int64_t now_ns = FvClock_NowNs();
    model_task_t *task;
    json_t *reply = NULL;

    pthread_mutex_lock(&worker->model->lock);
    task = find_task(worker, id);
    if (task != NULL) {
        if (task->state == MODEL_RUNNING) {
            set_speed(task, percent, now_ns);
        }
        reply = task_json(task, now_ns);
    }
    pthread_mutex_unlock(&worker->model->lock);
    return reply;
}

/**
 * FvModel_List - all running and kept tasks
 * @worker: the worker
 *
 * Return: {"tasks": [...]}.
 */
json_t *
FvModel_List(model_worker_t *worker)
{
    int64_t now_ns = FvClock_NowNs();
    json_t *tasks = json_array();

    pthread_mutex_lock(&worker->model->lock);
    for (const model_task_t *task = worker->oldest; task != NULL;
         task = task->newer) {
        json_array_append_new(tasks, task_json(task, now_ns));
    }
    pthread_mutex_unlock(&worker->model->lock);
    return json_pack("{s:o}", "tasks", tasks);
}
