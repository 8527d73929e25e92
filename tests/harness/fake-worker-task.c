/*
 * Tasks of fake-worker. A task is a timer, not a process.
 */

#include "fake-worker-set-internal.h"

#include <search.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define TASK_REPORT_AGE_MAX_NS (60 * Fv_NS_PER_S)
#define TASK_STOP_RETENTION_NS (24 * 3600 * Fv_NS_PER_S)

static const char *const state_names[] = {"running", "done", "failed",
                                          "stopped", "never_started"};

/**
 * FvFakeTask_StateName - name of a task state
 * @state: the state
 *
 * Return: the name used by the protocol.
 */
const char *
FvFakeTask_StateName(fake_task_state_t state)
{
    return state_names[state];
}

static int
compare_ids(const void *a, const void *b)
{
    return strcmp(((const fake_task_t *)a)->id, ((const fake_task_t *)b)->id);
}

static fake_task_t *
find_task(const fake_worker_t *worker, const char *id)
{
    fake_task_t wanted;
    void *found;

    snprintf(wanted.id, sizeof(wanted.id), "%s", id);
    found = tfind(&wanted, &worker->tasks, compare_ids);
    return found != NULL ? *(fake_task_t **)found : NULL;
}

static void
unlink_task(fake_worker_t *worker, fake_task_t *task)
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

/* Assigns the next event sequence number, so that the next renewal reports the
 * task. */
static void
mark_changed(fake_task_t *task)
{
    fake_worker_t *worker = task->worker;

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
add_allocated(fake_worker_t *worker, const fv_resources_t *size, int sign)
{
    worker->allocated.cpu_millis += sign * size->cpu_millis;
    worker->allocated.memory_bytes += sign * size->memory_bytes;
    worker->allocated.accelerators += sign * size->accelerators;
    worker->allocated.slots += sign * size->slots;
    worker->running += sign;
    worker->set->counts.running += sign;
}

static bool
fits(const fake_worker_t *worker, const fv_resources_t *size)
{
    const fv_resources_t *capacity = &worker->set->options.capacity;
    const fv_resources_t *allocated = &worker->allocated;

    return allocated->cpu_millis + size->cpu_millis <= capacity->cpu_millis &&
           allocated->memory_bytes + size->memory_bytes <=
               capacity->memory_bytes &&
           allocated->accelerators + size->accelerators <=
               capacity->accelerators &&
           allocated->slots + size->slots <= capacity->slots;
}

static void
free_task(fake_task_t *task)
{
    fake_worker_t *worker = task->worker;

    unlink_task(worker, task);
    FvTimerHeap_Cancel(&worker->set->timers, &task->end_timer);
    FvTimerHeap_Cancel(&worker->set->timers, &task->usage_timer);
    tdelete(task, &worker->tasks, compare_ids);
    FvTaskProgram_Free(&task->program);
    pthread_cond_destroy(&task->ended);
    free(task);
}

static void
end_task(fake_task_t *task, fake_task_state_t state, int64_t now_ns)
{
    fake_worker_t *worker = task->worker;
    fake_worker_set_t *set = worker->set;

    task->state = state;
    task->ended_ns = now_ns;
    add_allocated(worker, &task->size, -1);
    mark_changed(task);
    FvFakeWorkerSet_SetTimerLocked(set, &task->end_timer,
                                   now_ns + set->options.retention_ms *
                                                Fv_NS_PER_MS);
    pthread_cond_broadcast(&task->ended);
}

static void
finish_task(fake_task_t *task, int64_t now_ns)
{
    fake_task_state_t state =
        task->program.fail ? FAKE_TASK_FAILED : FAKE_TASK_DONE;

    end_task(task, state, now_ns);
    task->worker->set->counts.ended++;
    FvFakeWorker_RecordLocked(task->worker, RECORD_END, task,
                              state_names[state]);
}

static void
stop_task(fake_task_t *task, const char *reason, int64_t now_ns)
{
    end_task(task, FAKE_TASK_STOPPED, now_ns);
    task->worker->set->counts.stopped++;
    FvFakeWorker_RecordLocked(task->worker, RECORD_STOPPED, task, reason);
}

static void
on_end_timer(void *owner, int64_t now_ns)
{
    fake_task_t *task = owner;

    if (task->state == FAKE_TASK_RUNNING) {
        finish_task(task, now_ns);
    }
    else if (task->waiters == 0) {
        free_task(task);
    }
    else {
        FvFakeWorkerSet_SetTimerLocked(task->worker->set, &task->end_timer,
                                       now_ns + Fv_NS_PER_S);
    }
}

/* Usage at full speed; a size that the program does not set is the declared
 * one. */
static fv_resources_t
peak_usage(const fake_task_t *task)
{
    const task_program_t *program = &task->program;
    fv_resources_t use = task->size;

    if (program->use_cpu_millis >= 0) {
        use.cpu_millis = program->use_cpu_millis;
    }
    if (program->use_memory_bytes >= 0) {
        use.memory_bytes = program->use_memory_bytes;
    }
    return use;
}

/* A throttled task uses processor time in proportion to its speed. */
static void
report_usage(fake_task_t *task)
{
    task->used = peak_usage(task);
    task->used.cpu_millis = task->used.cpu_millis * task->speed_percent / 100;
    mark_changed(task);
}

static void
on_usage_timer(void *owner, int64_t now_ns)
{
    (void)now_ns;
    report_usage(owner);
}

static void
schedule_end(fake_task_t *task, int64_t now_ns)
{
    fake_worker_set_t *set = task->worker->set;

    task->work_left_at_ns = now_ns;
    if (task->work_left_ns < 0 || task->speed_percent == 0) {
        FvTimerHeap_Cancel(&set->timers, &task->end_timer);
    }
    else {
        FvFakeWorkerSet_SetTimerLocked(set, &task->end_timer,
                                       now_ns + task->work_left_ns * 100 /
                                                    task->speed_percent);
    }
}

static void
schedule_usage(fake_task_t *task, int64_t now_ns)
{
    fake_worker_set_t *set = task->worker->set;

    FvFakeWorkerSet_SetTimerLocked(set, &task->usage_timer,
                                   now_ns + set->options.usage_lag_ms *
                                                Fv_NS_PER_MS);
}

static fake_task_t *
new_task(fake_worker_t *worker, const char *id)
{
    fake_task_t *task = calloc(1, sizeof(*task));
    pthread_condattr_t attr;

    if (task == NULL) {
        abort();
    }
    pthread_condattr_init(&attr);
    pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
    pthread_cond_init(&task->ended, &attr);
    snprintf(task->id, sizeof(task->id), "%s", id);
    task->worker = worker;
    task->speed_percent = 100;
    task->end_timer = (heap_timer_t){.fire = on_end_timer, .owner = task};
    task->usage_timer = (heap_timer_t){.fire = on_usage_timer, .owner = task};
    if (tsearch(task, &worker->tasks, compare_ids) == NULL) {
        abort();
    }
    return task;
}

static fake_task_t *
run_task(fake_worker_t *worker, const fake_task_start_t *start, int64_t now_ns)
{
    fake_task_t *task = new_task(worker, start->id);

    snprintf(task->home_host, sizeof(task->home_host), "%s", start->home_host);
    snprintf(task->member, sizeof(task->member), "%s", start->member);
    snprintf(task->workload, sizeof(task->workload), "%s", start->workload);
    snprintf(task->class_name, sizeof(task->class_name), "%s",
             start->class_name);
    task->term = start->term;
    task->size = start->size;
    task->stop_on_expiry = start->stop_on_expiry;
    FvTaskProgram_Copy(&task->program, &start->program);
    if (worker->mode == FAKE_WORKER_FAIL_ALL) {
        task->program.fail = true;
        task->program.run_ms = 1;
    }
    task->started_ns = now_ns;
    task->work_left_ns = task->program.run_ms * Fv_NS_PER_MS;
    add_allocated(worker, &task->size, 1);
    mark_changed(task);
    schedule_end(task, now_ns);
    schedule_usage(task, now_ns);
    worker->set->counts.started++;
    FvFakeWorker_RecordLocked(worker, RECORD_START, task, "");
    return task;
}

static void
reject_start(fake_worker_t *worker, const fake_task_start_t *start,
             const char *reason)
{
    fake_task_t refused = {.term = start->term, .size = start->size};

    snprintf(refused.id, sizeof(refused.id), "%s", start->id);
    snprintf(refused.member, sizeof(refused.member), "%s", start->member);
    snprintf(refused.workload, sizeof(refused.workload), "%s",
             start->workload);
    worker->set->counts.refused++;
    FvFakeWorker_RecordLocked(worker, RECORD_REFUSED, &refused, reason);
}

/* Finds the task or starts it. When the start is refused, sets *refusal and
 * returns NULL. */
static fake_task_t *
find_or_start(fake_worker_t *worker, const fake_task_start_t *start,
              const char **refusal)
{
    fake_task_t *task = find_task(worker, start->id);
    int64_t now_ns = FvClock_NowNs();

    *refusal = NULL;
    if (task != NULL && task->state != FAKE_TASK_NEVER_STARTED) {
        return task;
    }
    if (task != NULL) {
        *refusal = "stopped";
    }
    else if (worker->set->options.fencing &&
             !FvFakeWorker_LeaseCoversLocked(worker, start->term, now_ns)) {
        *refusal = "stale_term";
    }
    else if (!fits(worker, &start->size)) {
        *refusal = "no_capacity";
    }
    if (*refusal != NULL) {
        reject_start(worker, start, *refusal);
        return NULL;
    }
    return run_task(worker, start, now_ns);
}

static void
wait_for_end(fake_task_t *task, int64_t wait_ms)
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
    while (task->state == FAKE_TASK_RUNNING && wait_ms > 0) {
        if (pthread_cond_timedwait(&task->ended, &task->worker->set->lock,
                                   &until) != 0) {
            break;
        }
    }
    task->waiters--;
}

static int64_t
ran_ms(const fake_task_t *task, int64_t now_ns)
{
    bool running = task->state == FAKE_TASK_RUNNING;

    return ((running ? now_ns : task->ended_ns) - task->started_ns) /
           Fv_NS_PER_MS;
}

static void
describe_locked(const fake_task_t *task, fake_task_result_t *result)
{
    result->state = task->state;
    result->ran_ms = ran_ms(task, FvClock_NowNs());
    result->used = peak_usage(task);
}

/* Called without the lock, as an answer may have many megabytes. */
static void
compute_answer(task_program_t *program, fake_task_result_t *result)
{
    if (result->refusal == NULL && result->state == FAKE_TASK_DONE) {
        result->answer =
            FvTaskProgram_MakeAnswer(program, &result->answer_length);
    }
    FvTaskProgram_Free(program);
}

/**
 * FvFakeWorker_StartTask - start a task unless its id is known, and wait for
 * its end
 * @worker: the worker
 * @start: the request
 * @result: filled in
 */
void
FvFakeWorker_StartTask(fake_worker_t *worker, const fake_task_start_t *start,
                       fake_task_result_t *result)
{
    fake_worker_set_t *set = worker->set;
    task_program_t program = {0};
    fake_task_t *task;

    *result = (fake_task_result_t){0};
    pthread_mutex_lock(&set->lock);
    task = find_or_start(worker, start, &result->refusal);
    if (task != NULL) {
        wait_for_end(task, start->wait_ms);
        describe_locked(task, result);
        FvTaskProgram_Copy(&program, &task->program);
    }
    pthread_mutex_unlock(&set->lock);
    compute_answer(&program, result);
}

/**
 * FvFakeWorker_FetchAnswer - compute the answer of a task
 * @worker: the worker
 * @id: the task
 * @result: filled in; refused when the task is unknown or never started
 */
void
FvFakeWorker_FetchAnswer(fake_worker_t *worker, const char *id,
                         fake_task_result_t *result)
{
    task_program_t program = {0};
    fake_task_t *task;

    *result = (fake_task_result_t){0};
    pthread_mutex_lock(&worker->set->lock);
    task = find_task(worker, id);
    if (task == NULL || task->state == FAKE_TASK_NEVER_STARTED) {
        result->refusal = "unknown task";
    }
    else {
        describe_locked(task, result);
        FvTaskProgram_Copy(&program, &task->program);
    }
    pthread_mutex_unlock(&worker->set->lock);
    compute_answer(&program, result);
}

static int64_t
uptime_ms(const fake_worker_t *worker, int64_t now_ns)
{
    return (now_ns - worker->set->created_ns) / Fv_NS_PER_MS;
}

static json_t *
task_json(const fake_task_t *task, int64_t now_ns)
{
    return json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:o, s:o, s:I, s:I}",
                     "id", task->id, "state", state_names[task->state], "home",
                     task->home_host, "member", task->member, "workload",
                     task->workload, "class", task->class_name, "size",
                     FvRecord_ResourcesToJson(&task->size), "used",
                     FvRecord_ResourcesToJson(&task->used), "ran_ms",
                     (json_int_t)ran_ms(task, now_ns), "uptime_ms",
                     (json_int_t)uptime_ms(task->worker, now_ns));
}

/**
 * FvFakeWorker_ListChangedTasksLocked - list the tasks that a renewal reports
 * @worker: the worker
 * @seen: last sequence that the holder has processed; 0 or a number above the
 *        worker's last one reports all running and recently ended tasks
 * @now_ns: current time
 *
 * Return: a new array.
 */
json_t *
FvFakeWorker_ListChangedTasksLocked(const fake_worker_t *worker, int64_t seen,
                                    int64_t now_ns)
{
    bool all = seen <= 0 || seen > worker->sequence;
    json_t *tasks = json_array();

    for (const fake_task_t *task = worker->newest;
         task != NULL && (all || task->sequence > seen); task = task->older) {
        bool recent = task->state == FAKE_TASK_RUNNING ||
                      now_ns - task->ended_ns <= TASK_REPORT_AGE_MAX_NS;

        if (!all || recent) {
            json_array_append_new(tasks, task_json(task, now_ns));
        }
    }
    return tasks;
}

/**
 * FvFakeWorker_StopExpiredTasksLocked - stop the tasks that end with the lease
 * @worker: a worker whose lease ended at least ttl_stop_ms ago
 * @now_ns: current time
 */
void
FvFakeWorker_StopExpiredTasksLocked(fake_worker_t *worker, int64_t now_ns)
{
    fake_task_t *last = worker->newest;
    fake_task_t *task = worker->oldest;

    /* Stopping a task moves it to the end of the list. */
    while (task != NULL) {
        fake_task_t *next = task != last ? task->newer : NULL;

        if (task->state == FAKE_TASK_RUNNING && task->stop_on_expiry) {
            stop_task(task, "lapsed", now_ns);
        }
        task = next;
    }
}

static json_t *
unknown_json(const fake_worker_t *worker, const char *id)
{
    return json_pack("{s:s, s:s, s:I}", "id", id, "state",
                     state_names[FAKE_TASK_NEVER_STARTED], "uptime_ms",
                     (json_int_t)uptime_ms(worker, FvClock_NowNs()));
}

/**
 * FvFakeWorker_QueryTask - read the state of a task
 * @worker: the worker
 * @id: the task
 *
 * Return: a TASK.
 */
json_t *
FvFakeWorker_QueryTask(fake_worker_t *worker, const char *id)
{
    const fake_task_t *task;
    json_t *reply;

    pthread_mutex_lock(&worker->set->lock);
    task = find_task(worker, id);
    reply = task != NULL ? task_json(task, FvClock_NowNs())
                         : unknown_json(worker, id);
    pthread_mutex_unlock(&worker->set->lock);
    return reply;
}

/* Adds the id, so that a start that is still in transit is refused. */
static fake_task_t *
add_stopped_id(fake_worker_t *worker, const char *id, int64_t now_ns)
{
    fake_task_t *task = new_task(worker, id);

    task->state = FAKE_TASK_NEVER_STARTED;
    task->started_ns = now_ns;
    task->ended_ns = now_ns;
    FvFakeWorkerSet_SetTimerLocked(worker->set, &task->end_timer,
                                   now_ns + TASK_STOP_RETENTION_NS);
    FvFakeWorker_RecordLocked(worker, RECORD_STOPPED, task,
                              state_names[FAKE_TASK_NEVER_STARTED]);
    return task;
}

/**
 * FvFakeWorker_StopTask - stop a task, or refuse its later start when it is
 * unknown
 * @worker: the worker
 * @id: the task
 *
 * Return: a TASK with the state after the stop.
 */
json_t *
FvFakeWorker_StopTask(fake_worker_t *worker, const char *id)
{
    int64_t now_ns = FvClock_NowNs();
    fake_task_t *task;
    json_t *reply;

    pthread_mutex_lock(&worker->set->lock);
    task = find_task(worker, id);
    if (task == NULL) {
        task = add_stopped_id(worker, id, now_ns);
    }
    else if (task->state == FAKE_TASK_RUNNING) {
        stop_task(task, "stop", now_ns);
    }
    reply = task_json(task, now_ns);
    pthread_mutex_unlock(&worker->set->lock);
    return reply;
}

/**
 * FvFakeWorker_CheckpointTask - save a task's state and stop it
 * @worker: the worker
 * @id: the task
 *
 * Return: a TASK, or NULL when the task is unknown.
 */
json_t *
FvFakeWorker_CheckpointTask(fake_worker_t *worker, const char *id)
{
    int64_t now_ns = FvClock_NowNs();
    fake_task_t *task;
    json_t *reply = NULL;

    pthread_mutex_lock(&worker->set->lock);
    task = find_task(worker, id);
    if (task != NULL) {
        if (task->state == FAKE_TASK_RUNNING) {
            stop_task(task, "checkpoint", now_ns);
        }
        reply = task_json(task, now_ns);
    }
    pthread_mutex_unlock(&worker->set->lock);
    return reply;
}

static void
set_speed(fake_task_t *task, int speed_percent, int64_t now_ns)
{
    int64_t worked_ns =
        (now_ns - task->work_left_at_ns) * task->speed_percent / 100;

    if (task->work_left_ns >= 0) {
        task->work_left_ns = task->work_left_ns > worked_ns
                                 ? task->work_left_ns - worked_ns
                                 : 0;
    }
    task->speed_percent = speed_percent;
    schedule_end(task, now_ns);
    schedule_usage(task, now_ns);
}

/**
 * FvFakeWorker_ThrottleTask - change the speed of a running task
 * @worker: the worker
 * @id: the task
 * @speed_percent: 0 pauses it, 100 is full speed
 *
 * Return: a TASK, or NULL when the task is unknown.
 */
json_t *
FvFakeWorker_ThrottleTask(fake_worker_t *worker, const char *id,
                          int speed_percent)
{
    int64_t now_ns = FvClock_NowNs();
    fake_task_t *task;
    json_t *reply = NULL;

    pthread_mutex_lock(&worker->set->lock);
    task = find_task(worker, id);
    if (task != NULL) {
        if (task->state == FAKE_TASK_RUNNING) {
            set_speed(task, speed_percent, now_ns);
        }
        reply = task_json(task, now_ns);
    }
    pthread_mutex_unlock(&worker->set->lock);
    return reply;
}

/**
 * FvFakeWorker_ListTasks - list the running tasks and the retained ended ones
 * @worker: the worker
 *
 * Return: {"tasks": [...]}.
 */
json_t *
FvFakeWorker_ListTasks(fake_worker_t *worker)
{
    int64_t now_ns = FvClock_NowNs();
    json_t *tasks = json_array();

    pthread_mutex_lock(&worker->set->lock);
    for (const fake_task_t *task = worker->oldest; task != NULL;
         task = task->newer) {
        json_array_append_new(tasks, task_json(task, now_ns));
    }
    pthread_mutex_unlock(&worker->set->lock);
    return json_pack("{s:o}", "tasks", tasks);
}
