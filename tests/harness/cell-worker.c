/*
 * Workers of fake-cell, and the rules that every start is checked against.
 */

#include "fake-cell.h"

#include <stdlib.h>
#include <string.h>

static void
add_violation(cell_t *cell, const char *rule, const char *task, int32_t run,
              const char *worker)
{
    fprintf(stderr, "VIOLATION %s task=%s run=%d worker=%s\n", rule, task, run,
            worker);
    if (cell->violations++ == 0) {
        snprintf(cell->first_violation, sizeof(cell->first_violation),
                 "%s task=%s run=%d worker=%s", rule, task, run, worker);
    }
}

static cell_task_t *
get_task(cell_t *cell, const char *name)
{
    cell_task_t *task = NULL;

    HASH_FIND_STR(cell->tasks, name, task);
    if (task == NULL) {
        task = calloc(1, sizeof(*task));
        snprintf(task->name, sizeof(task->name), "%s", name);
        HASH_ADD_STR(cell->tasks, name, task);
    }
    return task;
}

static int32_t
update_tombstone(cell_t *cell, const cell_worker_t *worker, const char *task,
                 int32_t new_run)
{
    cell_tombstone_t *tombstone = NULL;
    char key[128];

    snprintf(key, sizeof(key), "%s %s", worker->id, task);
    HASH_FIND_STR(cell->tombstones, key, tombstone);
    if (tombstone == NULL && new_run > 0) {
        tombstone = calloc(1, sizeof(*tombstone));
        snprintf(tombstone->key, sizeof(tombstone->key), "%s", key);
        HASH_ADD_STR(cell->tombstones, key, tombstone);
    }
    if (tombstone != NULL && new_run > tombstone->run) {
        tombstone->run = new_run;
    }
    return tombstone != NULL ? tombstone->run : 0;
}

static void
end_run(cell_t *cell, cell_worker_t *worker, cell_run_t **link,
        const char *outcome)
{
    cell_run_t *run = *link;
    cell_end_t *end = calloc(1, sizeof(*end));
    cell_end_t **last = &worker->ends;

    *link = run->next;
    get_task(cell, run->task)->running--;
    update_tombstone(cell, worker, run->task, run->run);
    end->number = ++worker->last_end_number;
    snprintf(end->task, sizeof(end->task), "%s", run->task);
    end->run = run->run;
    end->at_ms = FvClock_NowMs();
    if (end->at_ms > run->ends_ms) {
        end->at_ms = run->ends_ms; /* ticks may be late */
    }
    end->outcome = outcome;
    while (*last != NULL) {
        last = &(*last)->next;
    }
    *last = end;
    free(run);
}

static void
stop_run(cell_t *cell, cell_worker_t *worker, const char *task, int32_t number,
         int64_t now_ms)
{
    for (cell_run_t *run = worker->runs; run != NULL; run = run->next) {
        if (strcmp(run->task, task) == 0 && run->run <= number &&
            !run->stopping) {
            run->stopping = true;
            run->ends_ms = now_ms + cell->stop_ms;
        }
    }
    update_tombstone(cell, worker, task, number);
}

static void begin_late_run(cell_t *cell, cell_worker_t *worker,
                           const cell_late_order_t *late, int64_t now_ms);

static void
carry_out_late_orders(cell_t *cell, cell_worker_t *worker, int64_t now_ms)
{
    cell_late_order_t **link = &worker->late_orders;

    while (*link != NULL) {
        cell_late_order_t *late = *link;
        int64_t token;

        if (late->at_ms > now_ms) {
            link = &late->next;
            continue;
        }
        *link = late->next;
        token = FvJson_Int(late->body, "fencingToken", 0);
        if (token >= worker->fencing_token) {
            worker->fencing_token = token;
            if (late->stop) {
                stop_run(cell, worker, FvJson_String(late->body, "task"),
                         (int32_t)FvJson_Int(late->body, "runId", 0),
                         late->at_ms);
            }
            else {
                begin_late_run(cell, worker, late, now_ms);
            }
        }
        json_decref(late->body);
        free(late);
    }
}

/* Ends the runs that are finished, and all of them when the lease expires. */
static void
end_due_runs(cell_t *cell, cell_worker_t *worker, int64_t now_ms)
{
    cell_run_t **link = &worker->runs;

    carry_out_late_orders(cell, worker, now_ms);
    while (*link != NULL) {
        bool lapsed = worker->lease_end_ms <= now_ms &&
                      worker->lease_end_ms <= (*link)->ends_ms;

        if ((*link)->ends_ms <= now_ms && !lapsed) {
            end_run(cell, worker, link,
                    (*link)->stopping ? "stopped"
                    : (*link)->fails  ? "failed"
                                      : "done");
        }
        else if (lapsed) {
            end_run(cell, worker, link, "lapsed");
        }
        else {
            link = &(*link)->next;
        }
    }
    for (cell_end_t *end = worker->ends;
         end != NULL && worker->lease_end_ms <= now_ms; end = end->next) {
        end->lapsed = end->lapsed || worker->lease_end_ms > end->at_ms;
    }
}

static void
extend_lease(cell_worker_t *worker, const json_t *body, int64_t now_ms)
{
    int64_t end_ms = FvJson_Int(body, "deadlineMs", 0);

    if (end_ms > now_ms + CELL_LEASE_MAX_MS) {
        end_ms = now_ms + CELL_LEASE_MAX_MS;
    }
    if (end_ms > worker->lease_end_ms) {
        worker->lease_end_ms = end_ms;
    }
}

static json_t *
reply_refused(int64_t now_ms, const char *reason, int *status)
{
    *status = 409;
    return json_pack("{s:I, s:s}", "clockMs", (json_int_t)now_ms, "reason",
                     reason);
}

static bool
reject_stale_token(cell_worker_t *worker, const json_t *body)
{
    int64_t fencing_token = FvJson_Int(body, "fencingToken", 0);

    if (fencing_token < worker->fencing_token) {
        return true;
    }
    worker->fencing_token = fencing_token;
    return false;
}

static int64_t
read_payload_number(const char *text, const char *name, int64_t fallback)
{
    const char *found = strstr(text, name);

    return found != NULL ? strtoll(found + strlen(name), NULL, 10) : fallback;
}

/* A payload may name the label that its step requires. */
static void
check_label(cell_t *cell, const cell_worker_t *worker, const char *payload,
            const char *task, int32_t run)
{
    const char *label = strstr(payload, "label=");

    if (label != NULL && strncmp(label + strlen("label="), worker->kind,
                                 strlen(worker->kind)) != 0) {
        add_violation(cell, "wrong label", task, run, worker->id);
    }
}

/* Share of its cap up to which a customer may be when a task starts. */
#define CELL_CAP_PERCENT 110

/* A payload may name its customer by a number, and the highest cap that is in
 * force for it. */
static void
check_cap(cell_t *cell, const cell_run_t *run, const char *payload,
          const cell_worker_t *worker)
{
    int64_t cap = read_payload_number(payload, "cap=", 0);
    int64_t used = -run->cpu_millis;

    for (uint32_t w = 0; cap > 0 && w < cell->worker_count; w++) {
        for (const cell_run_t *other = cell->workers[w].runs; other != NULL;
             other = other->next) {
            used += other->customer == run->customer ? other->cpu_millis : 0;
        }
    }
    if (cap > 0 && used * 100 > cap * CELL_CAP_PERCENT) {
        add_violation(cell, "above its customer's cap", run->task, run->run,
                      worker->id);
    }
}

static void
begin_run(cell_t *cell, cell_worker_t *worker, const json_t *body,
          const char *name, int32_t number, int64_t received_ms,
          int64_t now_ms)
{
    const char *payload = FvJson_String(body, "taskSpec");
    cell_run_t *run = calloc(1, sizeof(*run));
    cell_task_t *task = get_task(cell, name);
    int64_t used = 0;

    payload = payload ? payload : "";
    *run = (cell_run_t){
        .run = number,
        .cpu_millis = read_payload_number(payload, "cpu=", 0),
        .customer = read_payload_number(payload, "customer=", 0),
        .started_ms = now_ms,
        .fails = strstr(payload, "fails") != NULL,
        .ends_ms = now_ms + read_payload_number(payload, "run_ms=", 100),
        .next = worker->runs};
    snprintf(run->task, sizeof(run->task), "%s", name);
    worker->runs = run;
    cell->starts++;
    worker->starts++;
    if (task->running > 0) {
        add_violation(cell, "runs twice at one time", name, number,
                      worker->id);
    }
    if (task->done_acknowledged && received_ms >= task->done_acknowledged_ms) {
        add_violation(cell, "started after its end", name, number, worker->id);
    }
    task->running++;
    task->starts++;
    task->last_start_ms = now_ms;
    if (received_ms > task->last_order_ms) {
        task->last_order_ms = received_ms;
    }
    cell->late_starts += received_ms < now_ms;
    for (const cell_run_t *other = worker->runs; other != NULL;
         other = other->next) {
        used += other->cpu_millis;
    }
    check_label(cell, worker, payload, name, number);
    check_cap(cell, run, payload, worker);
    if (used > CELL_CPU_MILLIS) {
        add_violation(cell, "over capacity", name, number, worker->id);
    }
}

/* Tasks of the queue without a recommendation say so in their payload. */
static bool
accepts_ticket(const cell_worker_t *worker, const json_t *body, int64_t now_ms)
{
    const char *payload = FvJson_String(body, "taskSpec");
    const char *ticket = FvJson_String(body, "ticket");
    char *life = NULL;

    if (ticket == NULL) {
        return payload != NULL && strstr(payload, "no_ticket") != NULL;
    }
    return strtoll(ticket, &life, 10) >= now_ms && *life == '.' &&
           strtoll(life + 1, NULL, 10) == worker->started_wall_ms;
}

static json_t *
start_run(cell_t *cell, cell_worker_t *worker, const json_t *body,
          int64_t received_ms, int64_t now_ms, int *status)
{
    const char *name = FvJson_String(body, "task");
    int32_t number = (int32_t)FvJson_Int(body, "runId", 0);

    *status = 400;
    if (name == NULL || number < 1) {
        return json_object();
    }
    if (reject_stale_token(worker, body)) {
        return reply_refused(now_ms, "fence", status);
    }
    extend_lease(worker, body, now_ms);
    for (const cell_run_t *run = worker->runs; run != NULL; run = run->next) {
        if (strcmp(run->task, name) == 0 && run->run == number &&
            !run->stopping) {
            *status = 200;
            return json_pack("{s:I}", "clockMs", (json_int_t)now_ms);
        }
    }
    if (number <= update_tombstone(cell, worker, name, 0)) {
        return reply_refused(now_ms, "old", status);
    }
    if (worker->lease_end_ms <= now_ms) {
        return reply_refused(now_ms, "late", status);
    }
    if (!accepts_ticket(worker, body, now_ms)) {
        return reply_refused(now_ms, "ticket", status);
    }
    begin_run(cell, worker, body, name, number, received_ms, now_ms);
    *status = 200;
    return json_pack("{s:I}", "clockMs", (json_int_t)now_ms);
}

static void
begin_late_run(cell_t *cell, cell_worker_t *worker,
               const cell_late_order_t *late, int64_t now_ms)
{
    int status;

    json_decref(start_run(cell, worker, late->body, late->received_ms, now_ms,
                          &status));
}

/* Keeps an order for later, at random if the delay is 0. Returns false when it
 * is to be carried out now. */
static bool
put_off(cell_t *cell, cell_worker_t *worker, json_t *body, bool stop,
        int64_t delay_ms)
{
    int64_t now_ms = FvClock_NowMs();
    cell_late_order_t *late;

    if (delay_ms == 0 && cell->late_per_mille > 0 &&
        (uint32_t)rand_r(&cell->random) % 1000 < cell->late_per_mille) {
        delay_ms = 1 + rand_r(&cell->random) % cell->late_max_ms;
    }
    if (delay_ms == 0 || FvJson_String(body, "task") == NULL) {
        return false;
    }
    late = calloc(1, sizeof(*late));
    *late = (cell_late_order_t){.body = json_incref(body),
                                .stop = stop,
                                .received_ms = now_ms,
                                .at_ms = now_ms + delay_ms,
                                .next = worker->late_orders};
    worker->late_orders = late;
    return true;
}

static json_t *
handle_start(cell_t *cell, cell_worker_t *worker, json_t *body, int *status)
{
    int64_t now_ms = FvClock_NowMs();

    if (put_off(cell, worker, body, false, 0)) {
        *status = 0;
        return NULL;
    }
    return start_run(cell, worker, body, now_ms, now_ms, status);
}

static json_t *
handle_stop(cell_t *cell, cell_worker_t *worker, json_t *body, int *status)
{
    const char *name = FvJson_String(body, "task");
    int32_t number = (int32_t)FvJson_Int(body, "runId", 0);
    int64_t now_ms = FvClock_NowMs();

    *status = name != NULL ? 200 : 400;
    if (name == NULL) {
        return json_object();
    }
    cell->stops++;
    if (put_off(cell, worker, body, true, cell->stop_delay_ms)) {
        *status = 0;
        return NULL;
    }
    if (reject_stale_token(worker, body)) {
        return reply_refused(now_ms, "fence", status);
    }
    stop_run(cell, worker, name, number, now_ms);
    end_due_runs(cell, worker, now_ms);
    return json_pack("{s:I}", "clockMs", (json_int_t)now_ms);
}

static void
acknowledge_ends(cell_t *cell, cell_worker_t *worker, int64_t last_seen)
{
    while (worker->ends != NULL && worker->ends->number <= last_seen) {
        cell_end_t *end = worker->ends;

        if (strcmp(end->outcome, "done") == 0) {
            cell_task_t *task = get_task(cell, end->task);

            if (!task->done_acknowledged) {
                task->done_acknowledged_ms = FvClock_NowMs();
            }
            task->done_acknowledged = true;
            if (!end->lapsed && task->last_start_ms > end->at_ms) {
                add_violation(cell,
                              "started between its end and the "
                              "acknowledgement",
                              end->task, end->run, worker->id);
            }
        }
        worker->ends = end->next;
        free(end);
    }
}

static json_t *
report_json(const cell_t *cell, const cell_worker_t *worker, int64_t now_ms)
{
    json_t *running = json_array();
    json_t *ended = json_array();

    for (const cell_run_t *run = worker->runs; run != NULL; run = run->next) {
        int64_t total_ms = run->ends_ms - run->started_ms + 1;

        if (run->stopping) {
            continue;
        }
        json_array_append_new(
            running,
            json_pack("[s, i, s, i, i]", run->task, run->run, "",
                      (int)((now_ms - run->started_ms) * 100 / total_ms), 0));
    }
    for (const cell_end_t *end = worker->ends;
         end != NULL && json_array_size(ended) < cell->ends_page;
         end = end->next) {
        json_array_append_new(
            ended, json_pack("[I, s, i, s, s]", (json_int_t)end->number,
                             end->task, end->run, end->outcome, ""));
    }
    return json_pack("{s:I, s:I, s:o, s:o}", "clockMs", (json_int_t)now_ms,
                     "born", (json_int_t)worker->started_wall_ms, "running",
                     running, "ended", ended);
}

/* A connection ends with the process that accepted it, and with it what was
 * sent on it and not read yet. */
static bool
is_connection_gone(const fake_request_t *request, const cell_worker_t *worker)
{
    return worker->down || worker->mute ||
           FvFake_ConnectedNs(request) < worker->listens_ns;
}

/* Traces the order of a restart, the ends of the connections from before and
 * the starts: the time is that of the hosts' logs. */
static void
trace(const cell_worker_t *worker, const char *event,
      const fake_request_t *request)
{
    int64_t now_ns = FvClock_NowNs();

    fprintf(stderr,
            "%lld %s worker=%s kind=%s listens_ms_ago=%.1f path=%s peer=%d "
            "connected_ms_ago=%.1f replies=%u\n",
            (long long)FvClock_WallMs(), event, worker->id, worker->kind,
            (double)(now_ns - worker->listens_ns) / Fv_NS_PER_MS,
            request != NULL ? request->path : "",
            request != NULL ? FvFake_PeerPort(request) : 0,
            request != NULL
                ? (double)(now_ns - FvFake_ConnectedNs(request)) / Fv_NS_PER_MS
                : 0,
            request != NULL ? FvFake_Replies(request) : 0);
}

static void
drop_request(const cell_worker_t *worker, fake_request_t *request)
{
    if (worker->listens_ns != 0 &&
        FvFake_ConnectedNs(request) < worker->listens_ns) {
        trace(worker, "CLOSED", request);
    }
    FvFake_Drop(request);
}

/* Without a reply the connection is closed. */
static void
send_reply(cell_t *cell, const cell_worker_t *worker, fake_request_t *request,
           const json_t *body, int status, json_t *reply)
{
    if (reply != NULL &&
        FvCellSplit_Wait(cell, worker, request,
                         FvJson_Int(body, "fencingToken", 0), true) &&
        !is_connection_gone(request, worker)) {
        FvFake_ReplyJson(request, status, reply);
        return;
    }
    json_decref(reply);
    drop_request(worker, request);
}

/* Takes the lock itself, because it waits for a run to end. */
static void
handle_hold(cell_t *cell, cell_worker_t *worker, fake_request_t *request,
            const json_t *body)
{
    int64_t until_ms = FvClock_NowMs() + FvJson_Int(body, "waitMs", 0);
    int64_t look_ms = FvClock_NowMs();
    bool closed = false;
    int status = 200;
    json_t *reply = NULL;

    pthread_mutex_lock(&cell->lock);
    if (!is_connection_gone(request, worker) &&
        reject_stale_token(worker, body)) {
        reply = reply_refused(FvClock_NowMs(), "fence", &status);
    }
    else if (!is_connection_gone(request, worker)) {
        extend_lease(worker, body, FvClock_NowMs());
        acknowledge_ends(cell, worker, FvJson_Int(body, "lastSeen", 0));
    }
    while (reply == NULL && !closed && !is_connection_gone(request, worker)) {
        int64_t now_ms = FvClock_NowMs();

        end_due_runs(cell, worker, now_ms);
        if (worker->ends != NULL || now_ms >= until_ms || worker->hasty) {
            worker->renewals++;
            reply = report_json(cell, worker, now_ms);
            break;
        }
        pthread_mutex_unlock(&cell->lock);
        FvFake_SleepMs(CELL_TICK_MS);
        if (now_ms >= look_ms) {
            look_ms = now_ms + CELL_CLOSED_CHECK_MS;
            closed = FvFake_ClientClosed(request);
        }
        pthread_mutex_lock(&cell->lock);
    }
    pthread_mutex_unlock(&cell->lock);
    send_reply(cell, worker, request, body, status, reply);
}

static bool
is_for_another_worker(const fake_request_t *request,
                      const cell_worker_t *worker)
{
    const char *instance =
        mg_get_header(request->connection, "X-Expect-Instance");

    return instance != NULL && strcmp(instance, worker->id) != 0;
}

void
FvCellWorker_Handle(fake_request_t *request, void *context)
{
    cell_context_t *target = context;
    cell_t *cell = target->cell;
    json_t *body = FvFake_BodyJson(request);
    json_t *reply = NULL;
    int status = 400;

    if (is_connection_gone(request, target->worker) || body == NULL ||
        !FvCellSplit_Wait(cell, target->worker, request,
                          FvJson_Int(body, "fencingToken", 0), false) ||
        is_connection_gone(request, target->worker)) {
        json_decref(body);
        drop_request(target->worker, request);
        return;
    }
    if (is_for_another_worker(request, target->worker)) {
        pthread_mutex_lock(&cell->lock);
        cell->wrong_instance_calls++;
        pthread_mutex_unlock(&cell->lock);
        json_decref(body);
        FvFake_ReplyJson(request, 421, json_object());
        return;
    }
    if (strcmp(request->path, "/hold") == 0) {
        handle_hold(cell, target->worker, request, body);
        json_decref(body);
        return;
    }
    pthread_mutex_lock(&cell->lock);
    end_due_runs(cell, target->worker, FvClock_NowMs());
    if (strcmp(request->path, "/run-start") == 0 &&
        target->worker->kind_at_start[0] != '\0') {
        FvCellWorker_Restart(cell, target->worker,
                             target->worker->kind_at_start);
    }
    if (is_connection_gone(request, target->worker)) {
        status = 0;
    }
    else if (strcmp(request->path, "/run-start") == 0) {
        uint32_t violations = cell->violations;

        reply = handle_start(cell, target->worker, body, &status);
        if (cell->violations != violations) {
            trace(target->worker, "START", request);
        }
    }
    else if (strcmp(request->path, "/run-stop") == 0) {
        reply = handle_stop(cell, target->worker, body, &status);
    }
    pthread_mutex_unlock(&cell->lock);
    if (status != 0 && reply == NULL) {
        reply = json_object();
    }
    send_reply(cell, target->worker, request, body, status, reply);
    json_decref(body);
}

static void
write_entry(cell_t *cell, cell_worker_t *worker)
{
    char key[64];
    json_t *entry = json_pack(
        "{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:{s:i, s:i, s:i}, s:[s, s], "
        "s:I, s:I, s:I}",
        "service", "app", "address", worker->address, "zone", "a", "version",
        "v1", "slots", 8, "state", "ready", "coldRemainingMs", 0, "capacity",
        "cpu", CELL_CPU_MILLIS, "memMb", CELL_MEMORY_MIB, "gpus", 0, "labels",
        worker->kind, "r1", "clockMs", (json_int_t)FvClock_NowMs(), "sequence",
        (json_int_t)++worker->sequence, "born",
        (json_int_t)worker->started_wall_ms);
    char *text = json_dumps(entry, JSON_COMPACT);

    snprintf(key, sizeof(key), "servers/%s", worker->id);
    FvCellStore_Put(cell, key, text);
    free(text);
    json_decref(entry);
}

static void
remove_entry(cell_t *cell, const cell_worker_t *worker)
{
    char key_text[64];
    kv_range_t range;

    snprintf(key_text, sizeof(key_text), "servers/%s", worker->id);
    range = (kv_range_t){.key = FvCellStore_Bytes(key_text)};
    FvKv_Delete(cell->store, &range, FvClock_NowMs());
    FvKv_EndWrite(cell->store);
}

void
FvCellWorker_Tick(cell_t *cell, int64_t now_ms)
{
    for (uint32_t i = 0; i < cell->worker_count; i++) {
        cell_worker_t *worker = &cell->workers[i];

        end_due_runs(cell, worker, now_ms);
        if (!worker->down && !worker->silent &&
            !FvCellSplit_IsWorkerCut(cell, worker) &&
            worker->next_heartbeat_ms <= now_ms) {
            worker->next_heartbeat_ms = now_ms + CELL_HEARTBEAT_MS;
            write_entry(cell, worker);
        }
    }
}

static void
drop_state(cell_t *cell, cell_worker_t *worker)
{
    while (worker->runs != NULL) {
        cell_run_t *run = worker->runs;

        worker->runs = run->next;
        get_task(cell, run->task)->running--;
        free(run);
    }
    while (worker->ends != NULL) {
        cell_end_t *end = worker->ends;

        worker->ends = end->next;
        free(end);
    }
    while (worker->late_orders != NULL) {
        cell_late_order_t *late = worker->late_orders;

        worker->late_orders = late->next;
        json_decref(late->body);
        free(late);
    }
    worker->fencing_token = 0;
    worker->last_end_number = 0;
    worker->lease_end_ms = 0;
}

void
FvCellWorker_Crash(cell_t *cell, cell_worker_t *worker)
{
    worker->down = true;
    FvFakeServer_CloseConnections(worker->server);
    drop_state(cell, worker);
    remove_entry(cell, worker);
}

void
FvCellWorker_Restart(cell_t *cell, cell_worker_t *worker, const char *kind)
{
    FvFakeServer_CloseConnections(worker->server);
    drop_state(cell, worker);
    worker->down = false;
    worker->sequence = 0;
    worker->started_wall_ms = FvClock_WallMs();
    worker->listens_ns = FvClock_NowNs() + CELL_RESTART_NS;
    worker->next_heartbeat_ms = 0;
    if (kind != NULL) {
        snprintf(worker->kind, sizeof(worker->kind), "%s", kind);
    }
    worker->kind_at_start[0] = '\0';
    trace(worker, "RESTART", NULL);
}
