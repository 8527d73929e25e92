/*
 * Stand-in for the users' platform: the store, workers that take orders, and
 * the advice service, in one process. It judges what it sees: a task that runs
 * twice at one time or again after its end was acknowledged, and a worker that
 * is given more than it can hold.
 */

#include "fake-server.h"
#include "fireflyvalve.h"
#include "kv-store.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define CELL_WORKERS_MAX 32
#define CELL_STORE_THREADS 96
/* A thread a connection: four hosts that lead in turn keep some open. */
#define CELL_WORKER_THREADS 96
#define CELL_CPU_MILLIS 8000
#define CELL_MEMORY_MIB 16384
#define CELL_HEARTBEAT_MS 500
#define CELL_TICK_MS 10
#define CELL_TICKET_MS 2000
#define CELL_LEASE_MAX_MS 10000
#define CELL_ENDS_MAX 500

typedef enum cell_store_mode {
    CELL_STORE_UP,
    CELL_STORE_BUSY,   /* 503 */
    CELL_STORE_SILENT, /* no answer, nothing done */
    CELL_STORE_LOST    /* done, no answer */
} cell_store_mode_t;

typedef struct cell_run {
    char task[64];
    int32_t run;
    int64_t cpu_millis;
    int64_t started_ms;
    int64_t ends_ms;
    bool fails;
    struct cell_run *next;
} cell_run_t;

typedef struct cell_end {
    int64_t number;
    char task[64];
    int32_t run;
    const char *how;
    struct cell_end *next;
} cell_end_t;

/* What is known of a task over all workers. */
typedef struct cell_task {
    char name[64];
    int32_t highest_run;
    uint32_t starts;
    uint32_t running;
    bool done_acknowledged;
    UT_hash_handle hh;
} cell_task_t;

typedef struct cell_worker {
    char id[32];
    char address[64];
    bool down;
    int64_t born_ms;
    int64_t fence;
    int64_t lease_end_ms;
    int64_t last_end;
    int64_t sequence;
    cell_run_t *runs;
    cell_end_t *ends;
    int64_t next_heartbeat_ms;
} cell_worker_t;

/* Highest run of a task that a worker stopped or ended. */
typedef struct cell_tombstone {
    char key[128]; /* worker and task */
    int32_t run;
    UT_hash_handle hh;
} cell_tombstone_t;

typedef struct cell {
    pthread_mutex_t lock;
    kv_store_t *store;
    cell_store_mode_t store_mode;
    uint32_t worker_count;
    cell_worker_t workers[CELL_WORKERS_MAX];
    cell_task_t *tasks;
    cell_tombstone_t *tombstones;
    uint32_t violations;
    uint32_t starts;
    char first_violation[256];
} cell_t;

typedef struct cell_context {
    cell_t *cell;
    cell_worker_t *worker;
} cell_context_t;

static void
violate(cell_t *cell, const char *rule, const char *task, int32_t run,
        const char *worker)
{
    fprintf(stderr, "VIOLATION %s task=%s run=%d worker=%s\n", rule, task, run,
            worker);
    if (cell->violations++ == 0) {
        snprintf(cell->first_violation, sizeof(cell->first_violation),
                 "%s task=%s run=%d worker=%s", rule, task, run, worker);
    }
}

static kv_bytes_t
bytes_of(const char *text)
{
    return (kv_bytes_t){.data = (uint8_t *)text, .length = strlen(text)};
}

/* --- Store -------------------------------------------------------------- */

static json_t *
item_json(const kv_entry_t *entry)
{
    char *value = FvText_Base64(entry->value.data, entry->value.length);
    json_t *item = json_pack(
        "{s:s#, s:s, s:I, s:I, s:I}", "key", (char *)entry->key.data,
        (int)entry->key.length, "value", value ? value : "", "revision",
        (json_int_t)entry->mod_revision, "created",
        (json_int_t)entry->create_revision, "lease", (json_int_t)entry->lease);

    free(value);
    return item;
}

static bool
query_value(const fake_request_t *request, const char *name, char *value,
            size_t size)
{
    const char *query = request->query ? request->query : "";

    return mg_get_var(query, strlen(query), name, value, size) >= 0;
}

static bool
has_prefix(const kv_bytes_t *key, const char *prefix)
{
    return key->length >= strlen(prefix) &&
           memcmp(key->data, prefix, strlen(prefix)) == 0;
}

static json_t *
run_get(cell_t *cell, fake_request_t *request, int *status)
{
    char key[256];
    kv_entry_t *entry = NULL;

    if (query_value(request, "key", key, sizeof(key))) {
        kv_bytes_t bytes = bytes_of(key);

        entry = FvKv_Find(cell->store, &bytes);
    }
    *status = entry != NULL ? 200 : 404;
    return entry != NULL ? item_json(entry) : json_object();
}

static json_t *
run_range(cell_t *cell, fake_request_t *request, int *status)
{
    char prefix[256];
    char after[256];
    json_t *items = json_array();
    bool more = false;
    kv_bytes_t from;
    size_t index;

    if (!query_value(request, "prefix", prefix, sizeof(prefix))) {
        *status = 400;
        return items;
    }
    if (!query_value(request, "after", after, sizeof(after))) {
        after[0] = '\0';
    }
    from = bytes_of(after[0] != '\0' ? after : prefix);
    for (index = FvKv_LowerBound(cell->store, &from);
         index < cell->store->count &&
         has_prefix(&cell->store->entries[index]->key, prefix);
         index++) {
        kv_bytes_t last = bytes_of(after);

        if (FvKv_CompareBytes(&cell->store->entries[index]->key, &last) == 0) {
            continue;
        }
        if (json_array_size(items) == CELL_ENDS_MAX) {
            more = true;
            break;
        }
        json_array_append_new(items, item_json(cell->store->entries[index]));
    }
    *status = 200;
    return json_pack("{s:o, s:b, s:I}", "items", items, "hasMore", more, "at",
                     (json_int_t)cell->store->revision);
}

static json_t *
collect_events(cell_t *cell, const char *prefix, int64_t after)
{
    json_t *events = json_array();

    for (uint64_t n = FvKv_FirstEventFrom(cell->store, after + 1);
         n < cell->store->next_event; n++) {
        const kv_event_t *event = FvKv_Event(cell->store, n);

        if (!has_prefix(&event->entry.key, prefix)) {
            continue;
        }
        json_array_append_new(
            events, event->deleted
                        ? json_pack("{s:s#, s:I, s:b}", "key",
                                    (char *)event->entry.key.data,
                                    (int)event->entry.key.length, "revision",
                                    (json_int_t)event->entry.mod_revision,
                                    "deleted", 1)
                        : item_json(&event->entry));
    }
    return events;
}

/* Called without the lock; waits for events. */
static void
run_watch(cell_t *cell, fake_request_t *request)
{
    char prefix[256] = "";
    char text[32] = "0";
    int64_t after;
    int64_t until_ms;
    json_t *events = NULL;
    int64_t at = 0;

    query_value(request, "prefix", prefix, sizeof(prefix));
    query_value(request, "after", text, sizeof(text));
    after = strtoll(text, NULL, 10);
    query_value(request, "waitMs", text, sizeof(text));
    until_ms = FvClock_NowMs() + strtoll(text, NULL, 10);
    for (;;) {
        bool cut;

        pthread_mutex_lock(&cell->lock);
        events = collect_events(cell, prefix, after);
        at = cell->store->revision;
        cut = cell->store_mode != CELL_STORE_UP;
        pthread_mutex_unlock(&cell->lock);
        if (cut) {
            json_decref(events);
            FvFake_Drop(request);
            return;
        }
        if (json_array_size(events) > 0 || FvClock_NowMs() >= until_ms) {
            break;
        }
        json_decref(events);
        FvFake_SleepMs(CELL_TICK_MS);
    }
    FvFake_ReplyJson(
        request, 200,
        json_pack("{s:o, s:I}", "events", events, "at", (json_int_t)at));
}

static bool
expectation_holds(cell_t *cell, const json_t *row)
{
    kv_bytes_t key = bytes_of(FvJson_String(row, "key"));
    kv_entry_t *entry = FvKv_Find(cell->store, &key);

    return FvJson_Int(row, "revision", 0) ==
           (entry != NULL ? entry->mod_revision : 0);
}

static json_t *
conflict_items(cell_t *cell, const json_t *expected)
{
    json_t *items = json_array();
    size_t index;
    json_t *row;

    json_array_foreach(expected, index, row)
    {
        kv_bytes_t key = bytes_of(FvJson_String(row, "key"));
        kv_entry_t *entry = FvKv_Find(cell->store, &key);

        if (entry != NULL) {
            json_array_append_new(items, item_json(entry));
        }
    }
    return json_pack("{s:o}", "items", items);
}

static void
apply_txn(cell_t *cell, const json_t *body)
{
    int64_t now_ms = FvClock_NowMs();
    size_t index;
    json_t *row;

    json_array_foreach(json_object_get(body, "puts"), index, row)
    {
        kv_bytes_t key = bytes_of(FvJson_String(row, "key"));
        fv_buffer_t value = {0};
        kv_bytes_t bytes;

        FvText_FromBase64(FvJson_String(row, "value"), &value);
        bytes = (kv_bytes_t){.data = value.data, .length = value.length};
        FvKv_Put(cell->store, &key, &bytes, FvJson_Int(row, "lease", 0),
                 now_ms);
        FvBuffer_Clear(&value);
    }
    json_array_foreach(json_object_get(body, "remove"), index, row)
    {
        kv_range_t range = {.key = bytes_of(json_string_value(row))};

        FvKv_Delete(cell->store, &range, now_ms);
    }
    FvKv_EndWrite(cell->store);
}

static json_t *
run_txn(cell_t *cell, fake_request_t *request, int *status)
{
    json_t *body = FvFake_BodyJson(request);
    const json_t *expected = json_object_get(body, "expected");
    size_t index;
    json_t *row;
    json_t *reply;

    *status = 200;
    json_array_foreach(expected, index, row)
    {
        if (!expectation_holds(cell, row)) {
            *status = 412;
        }
    }
    json_array_foreach(json_object_get(body, "puts"), index, row)
    {
        int64_t lease = FvJson_Int(row, "lease", 0);

        if (lease != 0 && FvKv_FindLease(cell->store, lease) == NULL) {
            *status = 404;
        }
    }
    if (*status == 200) {
        apply_txn(cell, body);
    }
    reply = *status == 412 ? conflict_items(cell, expected)
                           : json_pack("{s:I}", "revision",
                                       (json_int_t)cell->store->revision);
    json_decref(body);
    return reply;
}

static json_t *
run_lease(cell_t *cell, fake_request_t *request, int *status)
{
    json_t *body = FvFake_BodyJson(request);
    int64_t ttl_ms = FvJson_Int(body, "ttlMs", 1000);
    kv_lease_t *lease = FvKv_Grant(cell->store, 0, 1, FvClock_NowMs());
    json_t *reply;

    lease->expires_ms = FvClock_NowMs() + ttl_ms;
    lease->ttl_s = ttl_ms; /* kept in milliseconds here */
    reply = json_pack("{s:I, s:I}", "lease", (json_int_t)lease->id, "ttlMs",
                      (json_int_t)ttl_ms);
    json_decref(body);
    *status = 200;
    return reply;
}

static json_t *
run_keep(cell_t *cell, fake_request_t *request, int *status)
{
    int64_t id = strtoll(request->path + strlen("/kv-keep/"), NULL, 10);
    kv_lease_t *lease = FvKv_FindLease(cell->store, id);

    *status = lease != NULL ? 200 : 404;
    if (lease == NULL) {
        return json_object();
    }
    lease->expires_ms = FvClock_NowMs() + lease->ttl_s;
    return json_pack("{s:I}", "ttlMs", (json_int_t)lease->ttl_s);
}

static json_t *
run_store_call(cell_t *cell, fake_request_t *request, int *status)
{
    const char *path = request->path;

    FvKv_ExpireLeases(cell->store, FvClock_NowMs());
    if (strcmp(path, "/kv-key") == 0) {
        return run_get(cell, request, status);
    }
    if (strcmp(path, "/kv-range") == 0) {
        return run_range(cell, request, status);
    }
    if (strcmp(path, "/kv-txn") == 0) {
        return run_txn(cell, request, status);
    }
    if (strcmp(path, "/kv-lease") == 0) {
        return run_lease(cell, request, status);
    }
    if (strncmp(path, "/kv-keep/", 9) == 0) {
        return run_keep(cell, request, status);
    }
    if (strncmp(path, "/kv-lease-end/", 14) == 0) {
        *status = FvKv_Revoke(cell->store, strtoll(path + 14, NULL, 10),
                              FvClock_NowMs())
                      ? 200
                      : 404;
        return json_object();
    }
    *status = 400;
    return json_object();
}

static void
handle_store(fake_request_t *request, void *context)
{
    cell_t *cell = ((cell_context_t *)context)->cell;
    cell_store_mode_t mode;
    json_t *reply = NULL;
    int status = 503;

    if (strcmp(request->path, "/kv-watch") == 0) {
        run_watch(cell, request);
        return;
    }
    pthread_mutex_lock(&cell->lock);
    mode = cell->store_mode;
    if (mode == CELL_STORE_UP || mode == CELL_STORE_LOST) {
        reply = run_store_call(cell, request, &status);
    }
    pthread_mutex_unlock(&cell->lock);
    if (mode == CELL_STORE_SILENT || mode == CELL_STORE_LOST) {
        json_decref(reply);
        FvFake_Drop(request);
        return;
    }
    FvFake_ReplyJson(request, status, reply ? reply : json_object());
}

/* --- Workers ------------------------------------------------------------ */

static cell_task_t *
obtain_task(cell_t *cell, const char *name)
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
tombstone_run(cell_t *cell, const cell_worker_t *worker, const char *task,
              int32_t raise_to)
{
    cell_tombstone_t *stone = NULL;
    char key[128];

    snprintf(key, sizeof(key), "%s %s", worker->id, task);
    HASH_FIND_STR(cell->tombstones, key, stone);
    if (stone == NULL && raise_to > 0) {
        stone = calloc(1, sizeof(*stone));
        snprintf(stone->key, sizeof(stone->key), "%s", key);
        HASH_ADD_STR(cell->tombstones, key, stone);
    }
    if (stone != NULL && raise_to > stone->run) {
        stone->run = raise_to;
    }
    return stone != NULL ? stone->run : 0;
}

static void
end_run(cell_t *cell, cell_worker_t *worker, cell_run_t **link,
        const char *how)
{
    cell_run_t *run = *link;
    cell_end_t *end = calloc(1, sizeof(*end));
    cell_end_t **last = &worker->ends;

    *link = run->next;
    obtain_task(cell, run->task)->running--;
    tombstone_run(cell, worker, run->task, run->run);
    end->number = ++worker->last_end;
    snprintf(end->task, sizeof(end->task), "%s", run->task);
    end->run = run->run;
    end->how = how;
    while (*last != NULL) {
        last = &(*last)->next;
    }
    *last = end;
    free(run);
}

/* Ends what is done, and everything when the lease has run out. */
static void
advance_worker(cell_t *cell, cell_worker_t *worker, int64_t now_ms)
{
    cell_run_t **link = &worker->runs;

    while (*link != NULL) {
        if ((*link)->ends_ms <= now_ms) {
            end_run(cell, worker, link, (*link)->fails ? "failed" : "done");
        }
        else if (worker->lease_end_ms <= now_ms) {
            end_run(cell, worker, link, "lapsed");
        }
        else {
            link = &(*link)->next;
        }
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
refuse(int64_t now_ms, const char *reason, int *status)
{
    *status = 409;
    return json_pack("{s:I, s:s}", "clockMs", (json_int_t)now_ms, "reason",
                     reason);
}

static bool
fenced(cell_worker_t *worker, const json_t *body)
{
    int64_t fence = FvJson_Int(body, "fencingToken", 0);

    if (fence < worker->fence) {
        return true;
    }
    worker->fence = fence;
    return false;
}

static int64_t
read_number(const char *text, const char *name, int64_t fallback)
{
    const char *found = strstr(text, name);

    return found != NULL ? strtoll(found + strlen(name), NULL, 10) : fallback;
}

static void
begin_run(cell_t *cell, cell_worker_t *worker, const json_t *body,
          const char *name, int32_t number, int64_t now_ms)
{
    const char *payload = FvJson_String(body, "taskSpec");
    cell_run_t *run = calloc(1, sizeof(*run));
    cell_task_t *task = obtain_task(cell, name);
    int64_t used = 0;

    payload = payload ? payload : "";
    *run =
        (cell_run_t){.run = number,
                     .cpu_millis = read_number(payload, "cpu=", 0),
                     .started_ms = now_ms,
                     .fails = strstr(payload, "fails") != NULL,
                     .ends_ms = now_ms + read_number(payload, "run_ms=", 100),
                     .next = worker->runs};
    snprintf(run->task, sizeof(run->task), "%s", name);
    worker->runs = run;
    cell->starts++;
    if (task->running > 0) {
        violate(cell, "runs twice at one time", name, number, worker->id);
    }
    if (task->done_acknowledged) {
        violate(cell, "started after its end", name, number, worker->id);
    }
    task->running++;
    task->starts++;
    for (const cell_run_t *other = worker->runs; other != NULL;
         other = other->next) {
        used += other->cpu_millis;
    }
    if (used > CELL_CPU_MILLIS) {
        violate(cell, "over capacity", name, number, worker->id);
    }
}

static json_t *
run_start(cell_t *cell, cell_worker_t *worker, const json_t *body, int *status)
{
    const char *name = FvJson_String(body, "task");
    int32_t number = (int32_t)FvJson_Int(body, "runId", 0);
    const char *ticket = FvJson_String(body, "ticket");
    int64_t now_ms = FvClock_NowMs();

    *status = 400;
    if (name == NULL || number < 1) {
        return json_object();
    }
    if (fenced(worker, body)) {
        return refuse(now_ms, "fence", status);
    }
    extend_lease(worker, body, now_ms);
    for (const cell_run_t *run = worker->runs; run != NULL; run = run->next) {
        if (strcmp(run->task, name) == 0 && run->run == number) {
            *status = 200;
            return json_pack("{s:I}", "clockMs", (json_int_t)now_ms);
        }
    }
    if (number <= tombstone_run(cell, worker, name, 0)) {
        return refuse(now_ms, "old", status);
    }
    if (worker->lease_end_ms <= now_ms) {
        return refuse(now_ms, "late", status);
    }
    if (ticket == NULL || strtoll(ticket, NULL, 10) < now_ms) {
        return refuse(now_ms, "ticket", status);
    }
    begin_run(cell, worker, body, name, number, now_ms);
    *status = 200;
    return json_pack("{s:I}", "clockMs", (json_int_t)now_ms);
}

static json_t *
run_stop(cell_t *cell, cell_worker_t *worker, const json_t *body, int *status)
{
    const char *name = FvJson_String(body, "task");
    int32_t number = (int32_t)FvJson_Int(body, "runId", 0);
    cell_run_t **link = &worker->runs;

    *status = name != NULL ? 200 : 400;
    if (name == NULL) {
        return json_object();
    }
    if (fenced(worker, body)) {
        return refuse(FvClock_NowMs(), "fence", status);
    }
    while (*link != NULL) {
        if (strcmp((*link)->task, name) == 0 && (*link)->run <= number) {
            end_run(cell, worker, link, "stopped");
        }
        else {
            link = &(*link)->next;
        }
    }
    tombstone_run(cell, worker, name, number);
    return json_pack("{s:I}", "clockMs", (json_int_t)FvClock_NowMs());
}

static void
acknowledge(cell_t *cell, cell_worker_t *worker, int64_t seen)
{
    while (worker->ends != NULL && worker->ends->number <= seen) {
        cell_end_t *end = worker->ends;

        if (strcmp(end->how, "done") == 0) {
            obtain_task(cell, end->task)->done_acknowledged = true;
        }
        worker->ends = end->next;
        free(end);
    }
}

static json_t *
report_json(cell_worker_t *worker, int64_t now_ms)
{
    json_t *running = json_array();
    json_t *ended = json_array();

    for (const cell_run_t *run = worker->runs; run != NULL; run = run->next) {
        int64_t total_ms = run->ends_ms - run->started_ms + 1;

        json_array_append_new(
            running,
            json_pack("[s, i, s, i, i]", run->task, run->run, "",
                      (int)((now_ms - run->started_ms) * 100 / total_ms), 0));
    }
    for (const cell_end_t *end = worker->ends;
         end != NULL && json_array_size(ended) < CELL_ENDS_MAX;
         end = end->next) {
        json_array_append_new(
            ended, json_pack("[I, s, i, s, s]", (json_int_t)end->number,
                             end->task, end->run, end->how, ""));
    }
    return json_pack("{s:I, s:I, s:o, s:o}", "clockMs", (json_int_t)now_ms,
                     "born", (json_int_t)worker->born_ms, "running", running,
                     "ended", ended);
}

/* Called without the lock; waits for an end. */
static void
run_hold(cell_t *cell, cell_worker_t *worker, fake_request_t *request,
         const json_t *body)
{
    int64_t until_ms = FvClock_NowMs() + FvJson_Int(body, "waitMs", 0);
    int64_t born_ms = worker->born_ms;
    int status = 200;
    json_t *reply = NULL;

    pthread_mutex_lock(&cell->lock);
    if (fenced(worker, body)) {
        reply = refuse(FvClock_NowMs(), "fence", &status);
    }
    else {
        extend_lease(worker, body, FvClock_NowMs());
        acknowledge(cell, worker, FvJson_Int(body, "lastSeen", 0));
    }
    while (reply == NULL) {
        int64_t now_ms = FvClock_NowMs();

        advance_worker(cell, worker, now_ms);
        if (worker->ends != NULL || now_ms >= until_ms || worker->down ||
            worker->born_ms != born_ms) {
            reply = report_json(worker, now_ms);
            break;
        }
        pthread_mutex_unlock(&cell->lock);
        FvFake_SleepMs(CELL_TICK_MS);
        pthread_mutex_lock(&cell->lock);
    }
    pthread_mutex_unlock(&cell->lock);
    FvFake_ReplyJson(request, status, reply);
}

static void
handle_worker(fake_request_t *request, void *context)
{
    cell_context_t *target = context;
    cell_t *cell = target->cell;
    json_t *body = FvFake_BodyJson(request);
    json_t *reply = NULL;
    int status = 400;

    if (target->worker->down || body == NULL) {
        json_decref(body);
        FvFake_Drop(request);
        return;
    }
    if (strcmp(request->path, "/hold") == 0) {
        run_hold(cell, target->worker, request, body);
        json_decref(body);
        return;
    }
    pthread_mutex_lock(&cell->lock);
    advance_worker(cell, target->worker, FvClock_NowMs());
    if (strcmp(request->path, "/run-start") == 0) {
        reply = run_start(cell, target->worker, body, &status);
    }
    else if (strcmp(request->path, "/run-stop") == 0) {
        reply = run_stop(cell, target->worker, body, &status);
    }
    pthread_mutex_unlock(&cell->lock);
    json_decref(body);
    FvFake_ReplyJson(request, status, reply ? reply : json_object());
}

static void
write_entry(cell_t *cell, cell_worker_t *worker)
{
    char key_text[64];
    kv_bytes_t key;
    kv_bytes_t value;
    json_t *entry = json_pack(
        "{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:{s:i, s:i, s:i}, s:[s, s], "
        "s:I, s:I, s:I}",
        "service", "app", "address", worker->address, "zone", "a", "version",
        "v1", "slots", 8, "state", "ready", "coldRemainingMs", 0, "capacity",
        "cpu", CELL_CPU_MILLIS, "memMb", CELL_MEMORY_MIB, "gpus", 0, "labels",
        "a", "r1", "clockMs", (json_int_t)FvClock_NowMs(), "sequence",
        (json_int_t)++worker->sequence, "born", (json_int_t)worker->born_ms);
    char *text = json_dumps(entry, JSON_COMPACT);

    snprintf(key_text, sizeof(key_text), "servers/%s", worker->id);
    key = bytes_of(key_text);
    value = bytes_of(text);
    FvKv_Put(cell->store, &key, &value, 0, FvClock_NowMs());
    FvKv_EndWrite(cell->store);
    free(text);
    json_decref(entry);
}

static void
remove_entry(cell_t *cell, const cell_worker_t *worker)
{
    char key_text[64];
    kv_range_t range;

    snprintf(key_text, sizeof(key_text), "servers/%s", worker->id);
    range = (kv_range_t){.key = bytes_of(key_text)};
    FvKv_Delete(cell->store, &range, FvClock_NowMs());
    FvKv_EndWrite(cell->store);
}

static void *
run_ticks(void *context)
{
    cell_t *cell = context;

    for (;;) {
        int64_t now_ms = FvClock_NowMs();

        pthread_mutex_lock(&cell->lock);
        FvKv_ExpireLeases(cell->store, now_ms);
        for (uint32_t i = 0; i < cell->worker_count; i++) {
            cell_worker_t *worker = &cell->workers[i];

            advance_worker(cell, worker, now_ms);
            if (!worker->down && worker->next_heartbeat_ms <= now_ms) {
                worker->next_heartbeat_ms = now_ms + CELL_HEARTBEAT_MS;
                write_entry(cell, worker);
            }
        }
        pthread_mutex_unlock(&cell->lock);
        FvFake_SleepMs(CELL_TICK_MS);
    }
    return NULL;
}

/* A crash: what ran is gone, and so is all memory of it. */
static void
crash_worker(cell_t *cell, cell_worker_t *worker)
{
    worker->down = true;
    while (worker->runs != NULL) {
        cell_run_t *run = worker->runs;

        worker->runs = run->next;
        obtain_task(cell, run->task)->running--;
        free(run);
    }
    while (worker->ends != NULL) {
        cell_end_t *end = worker->ends;

        worker->ends = end->next;
        free(end);
    }
    worker->fence = 0;
    worker->last_end = 0;
    worker->lease_end_ms = 0;
    remove_entry(cell, worker);
}

/* --- Advice and control ------------------------------------------------- */

static void
handle_advice(fake_request_t *request, void *context)
{
    json_t *body = FvFake_BodyJson(request);
    const char *step = FvJson_String(body, "step");
    json_t *rows = json_array();
    char ticket[32];
    size_t index;
    json_t *worker;

    (void)context;
    snprintf(ticket, sizeof(ticket), "%" PRId64,
             FvClock_NowMs() + CELL_TICKET_MS);
    json_array_foreach(json_object_get(body, "workers"), index, worker)
    {
        const char *id = json_string_value(worker);
        uint64_t draw = FvText_Hash(
            id, strlen(id), step ? FvText_Hash(step, strlen(step), 0) : 0);

        if (draw % 4 != 0 || strcmp(id, "w0") == 0) {
            json_array_append_new(rows, json_pack("[s, s]", id, ticket));
        }
    }
    json_decref(body);
    FvFake_SleepMs(2);
    FvFake_ReplyJson(request, 200,
                     json_pack("{s:o, s:i}", "allowedWorkers", rows,
                               "validityMs", CELL_TICKET_MS));
}

static void
apply_fault(cell_t *cell, const json_t *body)
{
    static const char *const modes[] = {"up", "busy", "silent", "lost"};
    const char *mode = FvJson_String(body, "store");
    int64_t crash = FvJson_Int(body, "crash", -1);
    int64_t restart = FvJson_Int(body, "restart", -1);

    for (size_t i = 0; mode != NULL && i < 4; i++) {
        if (strcmp(mode, modes[i]) == 0) {
            cell->store_mode = (cell_store_mode_t)i;
        }
    }
    if (crash >= 0 && crash < cell->worker_count) {
        crash_worker(cell, &cell->workers[crash]);
    }
    if (restart >= 0 && restart < cell->worker_count) {
        cell->workers[restart].down = false;
        cell->workers[restart].born_ms = FvClock_WallMs();
    }
}

static void
handle_control(fake_request_t *request, void *context)
{
    cell_t *cell = ((cell_context_t *)context)->cell;
    json_t *body = FvFake_BodyJson(request);
    json_t *reply = NULL;

    pthread_mutex_lock(&cell->lock);
    if (FvFake_Is(request, "POST", "/fault")) {
        apply_fault(cell, body);
        reply = json_object();
    }
    else if (FvFake_Is(request, "GET", "/report")) {
        json_t *started = json_object();
        cell_task_t *task;
        cell_task_t *next;

        for (task = cell->tasks; task != NULL; task = next) {
            next = task->hh.next;
            char job[17];

            snprintf(job, sizeof(job), "%.16s", task->name);
            if (task->starts > 0) {
                json_object_set_new(started, job, json_true());
            }
        }
        reply = json_pack("{s:i, s:i, s:s, s:o}", "violations",
                          (int)cell->violations, "starts", (int)cell->starts,
                          "first", cell->first_violation, "started", started);
    }
    pthread_mutex_unlock(&cell->lock);
    json_decref(body);
    FvFake_ReplyJson(request, reply ? 200 : 404,
                     reply ? reply : json_object());
}

static void
write_config(cell_t *cell)
{
    static const char config[] =
        "{\"version\":1,\"routes\":[{\"name\":\"fast\",\"host\":\"127.0.0.1\","
        "\"prefix\":\"/fast/\",\"kind\":\"non_idempotent\","
        "\"targetLatencyMs\":500,\"priority\":0,\"service\":\"app\","
        "\"maxAttempts\":2,\"stretch\":1.5,\"recommendation\":{"
        "\"decisionMs\":2,\"perWorkerMs\":0.1,\"validityMs\":2000}},"
        "{\"name\":\"slow\",\"host\":\"127.0.0.1\",\"prefix\":\"/slow/"
        "\",\"kind\":"
        "\"non_idempotent\",\"targetLatencyMs\":2000,\"priority\":1,"
        "\"service\":\"app\",\"maxAttempts\":3,\"stretch\":4.0,"
        "\"recommendation\":{\"decisionMs\":2,\"perWorkerMs\":0.1,"
        "\"validityMs\":2000}}],\"services\":[],\"limits\":{}}";
    kv_bytes_t key = bytes_of("op/config");
    kv_bytes_t value = bytes_of(config);

    FvKv_Put(cell->store, &key, &value, 0, FvClock_NowMs());
    FvKv_EndWrite(cell->store);
}

static bool
serve_port(cell_t *cell, cell_worker_t *worker, int port, int threads,
           fake_handler_t handler)
{
    cell_context_t *context = calloc(1, sizeof(*context));
    char address[64];

    *context = (cell_context_t){.cell = cell, .worker = worker};
    snprintf(address, sizeof(address), "127.0.0.1:%d", port);
    if (worker != NULL) {
        snprintf(worker->address, sizeof(worker->address), "%s", address);
    }
    return FvFakeServer_Start(address, threads, handler, context) != NULL;
}

static int
run(int port, int workers)
{
    static cell_t cell = {.lock = PTHREAD_MUTEX_INITIALIZER};
    pthread_t ticks;

    cell.store = FvKv_New();
    write_config(&cell);
    cell.worker_count = (uint32_t)workers;
    if (!serve_port(&cell, NULL, port, CELL_STORE_THREADS, handle_store) ||
        !serve_port(&cell, NULL, port + 1, CELL_WORKER_THREADS,
                    handle_advice) ||
        !serve_port(&cell, NULL, port + 2, 4, handle_control)) {
        return 1;
    }
    for (int i = 0; i < workers; i++) {
        cell_worker_t *worker = &cell.workers[i];

        snprintf(worker->id, sizeof(worker->id), "w%d", i);
        worker->born_ms = FvClock_WallMs();
        if (!serve_port(&cell, worker, port + 3 + i, CELL_WORKER_THREADS,
                        handle_worker)) {
            return 1;
        }
    }
    pthread_create(&ticks, NULL, run_ticks, &cell);
    FvFakeServer_RunUntilSignal();
    return 0;
}

int
main(int argc, char **argv)
{
    struct arg_int *port = arg_int1(NULL, "port", "N", "first port");
    struct arg_int *workers = arg_int1(NULL, "workers", "N", "1 to 32");
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_end *end = arg_end(4);
    void *table[] = {port, workers, help, end};
    int code = FvFake_ParseArguments(argc, argv, table, help,
                                     "Stand-in for the users' platform.");

    if (code < 0) {
        code = workers->ival[0] >= 1 && workers->ival[0] <= CELL_WORKERS_MAX
                   ? run(port->ival[0], workers->ival[0])
                   : 2;
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}
