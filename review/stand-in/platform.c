/*
 * The platform's store and workers.
 */

#include "platform.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define PAGE_ITEMS 500
#define PAGE_BYTES 1000000
#define TICK_MS 5
#define EVENTS_MAX 400000

typedef struct item {
    char *key;
    char *value; /* base64 */
    int64_t revision;
    int64_t created;
    int64_t lease;
} item_t;

typedef struct change {
    char *key;
    char *value; /* NULL: deleted */
    int64_t revision;
    int64_t created;
    int64_t lease;
} change_t;

typedef struct lease {
    int64_t id;
    int64_t ttl_ms;
    int64_t ends_ms;
    struct lease *next;
} lease_t;

typedef struct port {
    int host;         /* whose port of the store this is */
    worker_t *worker; /* NULL: the store */
    int connections;
    int connections_most;
    struct evconnlistener *listener;
} port_t;

typedef struct connection {
    port_t *port;
    struct bufferevent *stream;
    struct pending *pending; /* the request that is not answered yet */
} connection_t;

/* A request whose answer waits: for the latency, for a change or for an end.
 */
typedef struct pending {
    connection_t *connection; /* NULL: closed by the caller */
    char uri[512];
    char instance[NAME_MAX_BYTES];
    char *body;
    int64_t due_ms;
    /* what happens then */
    enum { ANSWER, STORE, WORKER, WATCH, HOLD } step;
    int status;
    json_t *answer;
    int host;         /* whose store port took the call */
    worker_t *worker; /* WORKER, HOLD */
    int64_t incarnation;
    char prefix[256]; /* WATCH */
    int64_t after;
    int64_t until_ms; /* WATCH, HOLD */
    struct pending *next;
} pending_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct event_base *base;
static item_t *items;
static uint32_t item_count, item_room;
static change_t *changes;
static uint32_t change_count, change_room;
static int64_t revision = 100;
static lease_t *leases;
static int64_t last_lease;
static pending_t *pendings;
static worker_t *workers;
static int worker_count;
static int store_ports[HOSTS_MAX];
static int last_writer = -1;
static int64_t last_write_ms;
static bool store_down;
static int64_t last_tick_ms;
static event_t *events;
static uint32_t event_count;

int64_t
Now(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t
WallNow(void)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
Lock(void)
{
    pthread_mutex_lock(&lock);
}

void
Unlock(void)
{
    pthread_mutex_unlock(&lock);
}

static void
add_event(event_kind_t kind, const worker_t *worker, const char *task,
          int64_t run, const char *how, int64_t number)
{
    event_t *event;

    if (event_count == EVENTS_MAX) {
        return;
    }
    event = &events[event_count++];
    *event = (event_t){.kind = kind,
                       .at_ms = Now(),
                       .worker = worker->index,
                       .incarnation = worker->born_ms,
                       .run = run,
                       .number = number};
    snprintf(event->task, sizeof(event->task), "%s", task);
    snprintf(event->how, sizeof(event->how), "%s", how);
    snprintf(event->label, sizeof(event->label), "%s", worker->kind);
    if (kind == EVENT_START) {
        Record("start task=%s run=%" PRId64 " worker=%s kind=%s", task, run,
               worker->id, worker->kind);
    }
    else if (kind == EVENT_END) {
        Record("end task=%s run=%" PRId64 " worker=%s how=%s", task, run,
               worker->id, how);
    }
    else if (kind == EVENT_LAPSE) {
        Record("the lease of worker %s lapses", worker->id);
    }
}

/* --- Store -------------------------------------------------------------- */

static uint32_t
find_place(const char *key)
{
    uint32_t low = 0, high = item_count;

    while (low < high) {
        uint32_t middle = (low + high) / 2;

        if (strcmp(items[middle].key, key) < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

static item_t *
find_item(const char *key)
{
    uint32_t place = find_place(key);

    return place < item_count && strcmp(items[place].key, key) == 0
               ? &items[place]
               : NULL;
}

static void
add_change(const item_t *item, bool deleted)
{
    if (change_count == change_room) {
        change_room = change_room * 2 + 1024;
        changes = realloc(changes, change_room * sizeof(*changes));
    }
    changes[change_count++] =
        (change_t){.key = strdup(item->key),
                   .value = deleted ? NULL : strdup(item->value),
                   .revision = revision,
                   .created = item->created,
                   .lease = item->lease};
}

static void
put_item(const char *key, const char *value, int64_t lease)
{
    item_t *item = find_item(key);

    if (item == NULL) {
        uint32_t place = find_place(key);

        if (item_count == item_room) {
            item_room = item_room * 2 + 256;
            items = realloc(items, item_room * sizeof(*items));
        }
        memmove(&items[place + 1], &items[place],
                (item_count - place) * sizeof(*items));
        item_count++;
        item = &items[place];
        *item = (item_t){.key = strdup(key), .created = revision};
    }
    free(item->value);
    item->value = strdup(value);
    item->revision = revision;
    item->lease = lease;
    add_change(item, false);
}

static void
remove_item(const char *key)
{
    item_t *item = find_item(key);

    if (item == NULL) {
        return;
    }
    add_change(item, true);
    free(item->key);
    free(item->value);
    memmove(item, item + 1,
            (size_t)(&items[item_count] - item - 1) * sizeof(*items));
    item_count--;
}

static lease_t *
find_lease(int64_t id)
{
    lease_t *lease = leases;

    while (lease != NULL && lease->id != id) {
        lease = lease->next;
    }
    return lease;
}

static void
end_lease(int64_t id)
{
    lease_t **link = &leases;

    while (*link != NULL && (*link)->id != id) {
        link = &(*link)->next;
    }
    if (*link != NULL) {
        lease_t *lease = *link;

        *link = lease->next;
        free(lease);
    }
    revision++;
    for (uint32_t i = item_count; i-- > 0;) {
        if (items[i].lease == id) {
            remove_item(items[i].key);
        }
    }
}

static json_t *
item_json(const item_t *item)
{
    return json_pack("{s:s, s:s, s:I, s:I, s:I}", "key", item->key, "value",
                     item->value, "revision", (json_int_t)item->revision,
                     "created", (json_int_t)item->created, "lease",
                     (json_int_t)item->lease);
}

static json_int_t
get_int(const json_t *object, const char *key)
{
    return json_integer_value(json_object_get(object, key));
}

static const char *
get_text(const json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));

    return text != NULL ? text : "";
}

static int
run_txn(const json_t *body, int host, json_t **answer)
{
    const json_t *expected = json_object_get(body, "expected");
    size_t index;
    json_t *row;
    bool holds = true;

    json_array_foreach(expected, index, row)
    {
        const item_t *item = find_item(get_text(row, "key"));

        holds =
            holds && get_int(row, "revision") == (item ? item->revision : 0);
    }
    if (!holds) {
        json_t *rows = json_array();

        json_array_foreach(expected, index, row)
        {
            const item_t *item = find_item(get_text(row, "key"));

            if (item != NULL) {
                json_array_append_new(rows, item_json(item));
            }
        }
        *answer = json_pack("{s:o}", "items", rows);
        return 412;
    }
    json_array_foreach(json_object_get(body, "puts"), index, row)
    {
        if (get_int(row, "lease") != 0 &&
            find_lease(get_int(row, "lease")) == NULL) {
            return 404;
        }
        if (strncmp(get_text(row, "key"), "op/", 3) == 0 ||
            strncmp(get_text(row, "key"), "servers/", 8) == 0) {
            return 403;
        }
        if (strlen(get_text(row, "value")) / 4 * 3 > 1048576) {
            return 400;
        }
    }
    revision++;
    json_array_foreach(json_object_get(body, "puts"), index, row)
    {
        put_item(get_text(row, "key"), get_text(row, "value"),
                 get_int(row, "lease"));
    }
    json_array_foreach(json_object_get(body, "remove"), index, row)
    {
        remove_item(json_string_value(row));
    }
    if (json_array_size(expected) > 0) {
        last_writer = host;
        last_write_ms = Now();
    }
    *answer = json_pack("{s:I}", "revision", (json_int_t)revision);
    return 200;
}

static int
run_range(const char *prefix, const char *after, json_t **answer)
{
    json_t *rows = json_array();
    size_t bytes = 0;
    bool more = false;
    uint32_t i = find_place(after[0] != '\0' ? after : prefix);

    for (;
         i < item_count && strncmp(items[i].key, prefix, strlen(prefix)) == 0;
         i++) {
        if (after[0] != '\0' && strcmp(items[i].key, after) == 0) {
            continue;
        }
        if (json_array_size(rows) == PAGE_ITEMS || bytes > PAGE_BYTES) {
            more = true;
            break;
        }
        bytes += strlen(items[i].value);
        json_array_append_new(rows, item_json(&items[i]));
    }
    *answer = json_pack("{s:o, s:b, s:I}", "items", rows, "hasMore", more,
                        "at", (json_int_t)revision);
    return 200;
}

static json_t *
collect_changes(const char *prefix, int64_t after)
{
    json_t *rows = NULL;
    uint32_t low = 0, high = change_count;

    while (low < high) {
        uint32_t middle = (low + high) / 2;

        if (changes[middle].revision <= after) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    for (uint32_t i = low; i < change_count; i++) {
        const change_t *change = &changes[i];

        if (strncmp(change->key, prefix, strlen(prefix)) != 0) {
            continue;
        }
        rows = rows != NULL ? rows : json_array();
        json_array_append_new(
            rows,
            change->value == NULL
                ? json_pack("{s:s, s:I, s:b}", "key", change->key, "revision",
                            (json_int_t)change->revision, "deleted", 1)
                : json_pack("{s:s, s:s, s:I, s:I, s:I}", "key", change->key,
                            "value", change->value, "revision",
                            (json_int_t)change->revision, "created",
                            (json_int_t)change->created, "lease",
                            (json_int_t)change->lease));
    }
    return rows;
}

static const char *
query_value(struct evkeyvalq *query, const char *name)
{
    const char *value = evhttp_find_header(query, name);

    return value != NULL ? value : "";
}

/* Returns false when the call waits for changes. */
static bool
run_store_call(pending_t *pending)
{
    const char *uri = pending->uri;
    json_t *body = json_loads(pending->body, 0, NULL);
    struct evkeyvalq query;
    char path[256];

    snprintf(path, sizeof(path), "%.*s", (int)strcspn(uri, "?"), uri);
    evhttp_parse_query_str(strchr(uri, '?') ? strchr(uri, '?') + 1 : "",
                           &query);
    pending->status = 400;
    pending->answer = NULL;
    if (strcmp(path, "/kv-key") == 0) {
        const item_t *item = find_item(query_value(&query, "key"));

        pending->status = item != NULL ? 200 : 404;
        if (item != NULL) {
            pending->answer = item_json(item);
            json_object_set_new(pending->answer, "at", json_integer(revision));
        }
    }
    else if (strcmp(path, "/kv-range") == 0) {
        pending->status =
            run_range(query_value(&query, "prefix"),
                      query_value(&query, "after"), &pending->answer);
    }
    else if (strcmp(path, "/kv-watch") == 0) {
        snprintf(pending->prefix, sizeof(pending->prefix), "%s",
                 query_value(&query, "prefix"));
        pending->after = strtoll(query_value(&query, "after"), NULL, 10);
        pending->until_ms =
            Now() + strtoll(query_value(&query, "waitMs"), NULL, 10);
        pending->step = WATCH;
        evhttp_clear_headers(&query);
        json_decref(body);
        return false;
    }
    else if (strcmp(path, "/kv-txn") == 0) {
        pending->status = run_txn(body, pending->host, &pending->answer);
    }
    else if (strcmp(path, "/kv-lease") == 0) {
        lease_t *lease = calloc(1, sizeof(*lease));

        lease->id = ++last_lease;
        lease->ttl_ms = get_int(body, "ttlMs");
        lease->ends_ms = Now() + lease->ttl_ms;
        lease->next = leases;
        leases = lease;
        pending->status = 200;
        pending->answer =
            json_pack("{s:I, s:I}", "lease", (json_int_t)lease->id, "ttlMs",
                      (json_int_t)lease->ttl_ms);
    }
    else if (strncmp(path, "/kv-keep/", 9) == 0) {
        lease_t *lease = find_lease(strtoll(path + 9, NULL, 10));

        pending->status = lease != NULL ? 200 : 404;
        if (lease != NULL) {
            lease->ends_ms = Now() + lease->ttl_ms;
            pending->answer =
                json_pack("{s:I}", "ttlMs", (json_int_t)lease->ttl_ms);
        }
    }
    else if (strncmp(path, "/kv-lease-end/", 14) == 0) {
        int64_t id = strtoll(path + 14, NULL, 10);

        pending->status = find_lease(id) != NULL ? 200 : 404;
        if (pending->status == 200) {
            end_lease(id);
        }
    }
    evhttp_clear_headers(&query);
    json_decref(body);
    return true;
}

/* --- Workers ------------------------------------------------------------ */

static tombstone_t *
get_tombstone(worker_t *worker, const char *task, bool add)
{
    uint32_t hash = 5381;
    tombstone_t *tombstone;

    for (const char *c = task; *c != '\0'; c++) {
        hash = hash * 33 + (unsigned char)*c;
    }
    tombstone = worker->tombstones[hash % 4096];
    while (tombstone != NULL && strcmp(tombstone->task, task) != 0) {
        tombstone = tombstone->next;
    }
    if (tombstone == NULL && add) {
        tombstone = calloc(1, sizeof(*tombstone));
        snprintf(tombstone->task, sizeof(tombstone->task), "%s", task);
        tombstone->next = worker->tombstones[hash % 4096];
        worker->tombstones[hash % 4096] = tombstone;
    }
    return tombstone;
}

static void
bury(worker_t *worker, const char *task, int64_t run)
{
    tombstone_t *tombstone = get_tombstone(worker, task, true);

    if (run > tombstone->run) {
        tombstone->run = run;
    }
}

static void
end_run(worker_t *worker, run_t **link, const char *how)
{
    run_t *run = *link;
    end_t *end = calloc(1, sizeof(*end));

    *link = run->next;
    end->number = ++worker->last_end;
    end->run = run->run;
    snprintf(end->task, sizeof(end->task), "%s", run->task);
    snprintf(end->how, sizeof(end->how), "%s", how);
    if (worker->ends_last != NULL) {
        worker->ends_last->next = end;
    }
    else {
        worker->ends = end;
    }
    worker->ends_last = end;
    bury(worker, run->task, run->run);
    add_event(EVENT_END, worker, run->task, run->run, how, end->number);
    free(run);
}

static void
advance_worker(worker_t *worker)
{
    int64_t now_ms = Now();
    run_t **link = &worker->runs;

    if (worker->up && worker->leased && worker->lease_ms <= now_ms) {
        worker->leased = false;
        add_event(EVENT_LAPSE, worker, "", 0, "", 0);
    }
    while (worker->up && *link != NULL) {
        if ((*link)->ends_ms <= now_ms) {
            end_run(worker, link, "done");
        }
        else if ((*link)->stopped_ms != 0 && (*link)->stopped_ms <= now_ms) {
            end_run(worker, link, "stopped");
        }
        else if (worker->lease_ms <= now_ms) {
            end_run(worker, link, "lapsed");
        }
        else {
            link = &(*link)->next;
        }
    }
}

static int64_t
worker_clock(const worker_t *worker)
{
    return Now() - worker->clock_base_ms;
}

static void
extend_lease(worker_t *worker, const json_t *body)
{
    int64_t until_ms = get_int(body, "deadlineMs") + worker->clock_base_ms;

    if (get_int(body, "deadlineMs") == 0) {
        return;
    }
    if (until_ms > Now() + MAX_HOLD_MS) {
        until_ms = Now() + MAX_HOLD_MS;
    }
    if (until_ms > worker->lease_ms) {
        worker->lease_ms = until_ms;
        worker->leased = until_ms > Now();
    }
}

static json_t *
refusal(const worker_t *worker, const char *reason)
{
    return json_pack("{s:I, s:s}", "clockMs", (json_int_t)worker_clock(worker),
                     "reason", reason);
}

static int64_t
spec_number(const char *spec, const char *name, int64_t fallback)
{
    const char *found = strstr(spec, name);

    return found != NULL ? strtoll(found + strlen(name), NULL, 10) : fallback;
}

static int
start_run(worker_t *worker, const json_t *body, json_t **answer)
{
    const char *task = get_text(body, "task");
    const char *spec = get_text(body, "taskSpec");
    int64_t number = get_int(body, "runId");
    const tombstone_t *tombstone = get_tombstone(worker, task, false);
    run_t *run;

    extend_lease(worker, body);
    for (run = worker->runs; run != NULL; run = run->next) {
        if (run->run == number && strcmp(run->task, task) == 0) {
            *answer = json_pack("{s:I}", "clockMs",
                                (json_int_t)worker_clock(worker));
            return 200;
        }
    }
    if (tombstone != NULL && number <= tombstone->run) {
        *answer = refusal(worker, "old");
        return 409;
    }
    if (worker->lease_ms <= Now()) {
        *answer = refusal(worker, "late");
        return 409;
    }
    run = calloc(1, sizeof(*run));
    snprintf(run->task, sizeof(run->task), "%s", task);
    run->run = number;
    run->cpu = spec_number(spec, "cpu=", 0);
    run->started_ms = Now();
    run->ends_ms = Now() + spec_number(spec, "ms=", 1000);
    run->next = worker->runs;
    worker->runs = run;
    add_event(EVENT_START, worker, task, number, "", 0);
    *answer = json_pack("{s:I}", "clockMs", (json_int_t)worker_clock(worker));
    return 200;
}

static int
stop_run(worker_t *worker, const json_t *body, json_t **answer)
{
    const char *task = get_text(body, "task");
    int64_t number = get_int(body, "runId");
    run_t **link = &worker->runs;

    bury(worker, task, number);
    while (*link != NULL) {
        if ((*link)->run <= number && strcmp((*link)->task, task) == 0) {
            end_run(worker, link, "stopped");
        }
        else {
            link = &(*link)->next;
        }
    }
    *answer = json_pack("{s:I}", "clockMs", (json_int_t)worker_clock(worker));
    return 200;
}

static json_t *
report(worker_t *worker)
{
    json_t *running = json_array();
    json_t *ended = json_array();

    for (const run_t *run = worker->runs; run != NULL; run = run->next) {
        json_array_append_new(
            running,
            json_pack("[s, I, s, i, I]", run->task, (json_int_t)run->run, "",
                      (int)((Now() - run->started_ms) * 100 /
                            (run->ends_ms - run->started_ms + 1)),
                      (json_int_t)run->cpu));
    }
    for (const end_t *end = worker->ends;
         end != NULL && json_array_size(ended) < PAGE_ITEMS; end = end->next) {
        json_array_append_new(
            ended, json_pack("[I, s, I, s, s]", (json_int_t)end->number,
                             end->task, (json_int_t)end->run, end->how, ""));
    }
    return json_pack("{s:I, s:I, s:o, s:o}", "clockMs",
                     (json_int_t)worker_clock(worker), "born",
                     (json_int_t)worker->born_ms, "running", running, "ended",
                     ended);
}

static void
note_ends(worker_t *worker, int64_t last_seen)
{
    while (worker->ends != NULL && worker->ends->number <= last_seen) {
        end_t *end = worker->ends;

        add_event(EVENT_NOTED, worker, end->task, end->run, end->how,
                  end->number);
        worker->ends = end->next;
        if (worker->ends == NULL) {
            worker->ends_last = NULL;
        }
        free(end);
    }
}

/* Returns false when the call waits for an end. */
static bool
run_worker_call(pending_t *pending)
{
    worker_t *worker = pending->worker;
    const char *path = pending->uri;
    json_t *body = json_loads(pending->body, 0, NULL);
    bool answered = true;

    advance_worker(worker);
    pending->answer = NULL;
    if (pending->instance[0] != '\0' &&
        strcmp(pending->instance, worker->id) != 0) {
        pending->status = 421;
    }
    else if (body == NULL) {
        pending->status = 400;
    }
    else if (get_int(body, "fencingToken") < worker->fence) {
        pending->status = 409;
        pending->answer = refusal(worker, "fence");
    }
    else {
        worker->fence = get_int(body, "fencingToken");
        if (strcmp(path, "/run-start") == 0) {
            pending->status = start_run(worker, body, &pending->answer);
        }
        else if (strcmp(path, "/run-stop") == 0) {
            pending->status = stop_run(worker, body, &pending->answer);
        }
        else if (strcmp(path, "/hold") == 0) {
            int64_t wait_ms = get_int(body, "waitMs");

            extend_lease(worker, body);
            note_ends(worker, get_int(body, "lastSeen"));
            pending->status = 200;
            pending->step = HOLD;
            pending->until_ms = Now() + (wait_ms < 2000 ? wait_ms : 2000);
            answered = false;
        }
        else {
            pending->status = 404;
        }
    }
    json_decref(body);
    return answered;
}

static void
put_text(const char *key, const char *text)
{
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    size_t length = strlen(text);
    char *encoded = calloc(length * 4 / 3 + 8, 1);
    char *out = encoded;

    for (size_t i = 0; i < length; i += 3) {
        size_t left = length - i;
        uint32_t word = (uint32_t)(unsigned char)text[i] << 16;

        word |= left > 1 ? (uint32_t)(unsigned char)text[i + 1] << 8 : 0;
        word |= left > 2 ? (uint32_t)(unsigned char)text[i + 2] : 0;
        *out++ = digits[word >> 18 & 63];
        *out++ = digits[word >> 12 & 63];
        *out++ = left > 1 ? digits[word >> 6 & 63] : '=';
        *out++ = left > 2 ? digits[word & 63] : '=';
    }
    revision++;
    put_item(key, encoded, 0);
    free(encoded);
}

static void
write_entry(worker_t *worker)
{
    char key[NAME_MAX_BYTES + 16];
    json_t *entry = json_pack(
        "{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:I, s:I, s:{s:I, s:I, s:i}, "
        "s:[s, s]}",
        "service", "programme-app", "address", worker->address, "zone",
        "akl-a", "version", "1", "slots", 8, "state", "ready",
        "coldRemainingMs", 0, "sequence", (json_int_t)++worker->sequence,
        "born", (json_int_t)worker->born_ms, "capacity", "cpu",
        (json_int_t)worker->cpu, "memMb", (json_int_t)worker->memory_mb,
        "gpus", 0, "labels", worker->kind, "r1-1");
    char *text = json_dumps(entry, JSON_COMPACT);

    snprintf(key, sizeof(key), "servers/%s", worker->id);
    put_text(key, text);
    worker->next_beat_ms = Now() + HEARTBEAT_MS;
    worker->entry_lapses_ms = Now() + 3 * HEARTBEAT_MS;
    free(text);
    json_decref(entry);
}

/* --- Server ------------------------------------------------------------- */

static void
free_connection(connection_t *connection)
{
    port_t *port = connection->port;

    if (connection->pending != NULL) {
        connection->pending->connection = NULL;
    }
    bufferevent_free(connection->stream);
    free(connection);
    port->connections--;
}

static void
send_answer(pending_t *pending)
{
    connection_t *connection = pending->connection;
    char *text = pending->answer != NULL
                     ? json_dumps(pending->answer, JSON_COMPACT)
                     : strdup("{}");

    json_decref(pending->answer);
    pending->answer = NULL;
    if (connection != NULL) {
        connection->pending = NULL;
        evbuffer_add_printf(bufferevent_get_output(connection->stream),
                            "HTTP/1.1 %d Status\r\nContent-Type: "
                            "application/json\r\nContent-Length: %zu\r\n"
                            "\r\n%s",
                            pending->status, strlen(text), text);
        bufferevent_enable(connection->stream, EV_READ);
        /* Another request may have been read with the last one. */
        bufferevent_trigger(connection->stream, EV_READ, 0);
    }
    free(text);
}

/* Closes the connection of a call to a worker that has crashed. */
static void
drop(pending_t *pending)
{
    json_decref(pending->answer);
    pending->answer = NULL;
    if (pending->connection != NULL) {
        free_connection(pending->connection);
    }
}

/* Returns true when the call is finished. */
static bool
advance_call(pending_t *pending, int64_t now_ms)
{
    if (pending->worker != NULL &&
        (!pending->worker->up ||
         (pending->incarnation != 0 &&
          pending->incarnation != pending->worker->born_ms))) {
        drop(pending);
        return true;
    }
    if (pending->step == WATCH) {
        if (store_down) {
            pending->status = 503;
            send_answer(pending);
            return true;
        }
        pending->answer = collect_changes(pending->prefix, pending->after);
        if (pending->answer == NULL && now_ms < pending->until_ms) {
            return false;
        }
        pending->status = 200;
        pending->answer =
            json_pack("{s:o, s:I}", "events",
                      pending->answer != NULL ? pending->answer : json_array(),
                      "at", (json_int_t)revision);
        send_answer(pending);
        return true;
    }
    if (pending->step == HOLD) {
        advance_worker(pending->worker);
        if (pending->worker->ends == NULL && now_ms < pending->until_ms) {
            return false;
        }
        pending->answer = report(pending->worker);
        pending->step = ANSWER;
        pending->due_ms = now_ms + pending->worker->one_way_ms;
    }
    if (now_ms < pending->due_ms) {
        return false;
    }
    if (pending->step == STORE) {
        if (store_down) {
            pending->status = 503;
        }
        else if (!run_store_call(pending)) {
            return false;
        }
        send_answer(pending);
        return true;
    }
    if (pending->step == WORKER) {
        pending->incarnation = pending->worker->born_ms;
        if (!run_worker_call(pending)) {
            return advance_call(pending, now_ms);
        }
        pending->step = ANSWER;
        pending->due_ms = now_ms + pending->worker->one_way_ms;
        if (now_ms < pending->due_ms) {
            return false;
        }
    }
    send_answer(pending);
    return true;
}

static void
free_pending(pending_t *pending)
{
    free(pending->body);
    free(pending);
}

static void
advance_calls(void)
{
    int64_t now_ms = Now();
    pending_t **link = &pendings;

    while (*link != NULL) {
        pending_t *pending = *link;

        if (pending->connection == NULL || advance_call(pending, now_ms)) {
            json_decref(pending->answer);
            *link = pending->next;
            free_pending(pending);
        }
        else {
            link = &pending->next;
        }
    }
}

static void
tick(evutil_socket_t fd, short what, void *context)
{
    int64_t now_ms = Now();

    (void)fd;
    (void)what;
    (void)context;
    Lock();
    for (lease_t *lease = leases, *next; lease != NULL; lease = next) {
        next = lease->next;
        if (store_down) {
            lease->ends_ms += now_ms - last_tick_ms; /* leases pause */
        }
        else if (lease->ends_ms <= now_ms) {
            end_lease(lease->id);
        }
    }
    last_tick_ms = now_ms;
    for (int i = 0; i < worker_count; i++) {
        worker_t *worker = &workers[i];
        char key[NAME_MAX_BYTES + 16];

        advance_worker(worker);
        if (store_down) {
            worker->entry_lapses_ms = Now() + 3 * HEARTBEAT_MS;
        }
        else if (worker->up && worker->next_beat_ms <= now_ms) {
            write_entry(worker);
        }
        else if (worker->entry_lapses_ms != 0 &&
                 worker->entry_lapses_ms <= now_ms) {
            snprintf(key, sizeof(key), "servers/%s", worker->id);
            revision++;
            remove_item(key);
            worker->entry_lapses_ms = 0;
        }
    }
    advance_calls();
    Unlock();
}

/* Copies the value of a header; empty when it is missing. */
static void
copy_header(const char *head, const char *name, char *value, size_t size)
{
    const char *found = strcasestr(head, name);

    value[0] = '\0';
    if (found != NULL) {
        found += strlen(name);
        found += strspn(found, " ");
        snprintf(value, size, "%.*s", (int)strcspn(found, "\r"), found);
    }
}

static void
read_request(struct bufferevent *stream, void *context)
{
    connection_t *connection = context;
    port_t *port = connection->port;
    struct evbuffer *input = bufferevent_get_input(stream);
    struct evbuffer_ptr end = evbuffer_search(input, "\r\n\r\n", 4, NULL);
    char length_text[32];
    char method[16] = "";
    size_t head_length, length;
    pending_t *pending;
    char *head;

    if (end.pos < 0 || connection->pending != NULL) {
        return;
    }
    head_length = (size_t)end.pos + 4;
    head = calloc(head_length + 1, 1);
    evbuffer_copyout(input, head, head_length);
    copy_header(head, "\r\nContent-Length:", length_text, sizeof(length_text));
    length = strtoul(length_text, NULL, 10);
    if (evbuffer_get_length(input) < head_length + length) {
        free(head);
        return;
    }
    Lock();
    pending = calloc(1, sizeof(*pending));
    evbuffer_drain(input, head_length);
    pending->body = calloc(length + 1, 1);
    evbuffer_remove(input, pending->body, length);
    sscanf(head, "%15s %511s", method, pending->uri);
    copy_header(head, "\r\nX-Expect-Instance:", pending->instance,
                sizeof(pending->instance));
    free(head);
    pending->connection = connection;
    connection->pending = pending;
    pending->host = port->host;
    pending->worker = port->worker;
    pending->step = port->worker != NULL ? WORKER : STORE;
    pending->due_ms = Now() + (port->worker != NULL ? port->worker->one_way_ms
                                                    : STORE_ANSWER_MS);
    pending->next = pendings;
    pendings = pending;
    if (port->worker != NULL && port->worker->one_way_ms == 0 &&
        advance_call(pending, Now())) {
        pendings = pending->next;
        free_pending(pending);
    }
    Unlock();
}

static void
connection_closed(struct bufferevent *stream, short what, void *context)
{
    (void)stream;
    (void)what;
    Lock();
    free_connection(context);
    Unlock();
}

static void
accepted(struct evconnlistener *listener, evutil_socket_t fd,
         struct sockaddr *address, int length, void *context)
{
    port_t *port = context;
    connection_t *connection;

    (void)listener;
    (void)address;
    (void)length;
    Lock();
    connection = calloc(1, sizeof(*connection));
    connection->port = port;
    connection->stream = bufferevent_socket_new(
        base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(connection->stream, read_request, NULL,
                      connection_closed, connection);
    bufferevent_enable(connection->stream, EV_READ | EV_WRITE);
    port->connections++;
    if (port->connections > port->connections_most) {
        port->connections_most = port->connections;
    }
    Unlock();
}

static int
listen_any(port_t *port)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size = sizeof(address);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    port->listener = evconnlistener_new_bind(
        base, accepted, port, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 1024,
        (struct sockaddr *)&address, sizeof(address));
    if (port->listener == NULL ||
        getsockname(evconnlistener_get_fd(port->listener),
                    (struct sockaddr *)&address, &size) != 0) {
        fprintf(stderr, "no port is free\n");
        exit(2);
    }
    return ntohs(address.sin_port);
}

static void *
serve(void *context)
{
    (void)context;
    event_base_dispatch(base);
    return NULL;
}

void
Platform_Start(int host_count, int workers_wanted)
{
    struct timeval interval = {.tv_usec = TICK_MS * 1000};
    pthread_t thread;

    base = event_base_new();
    last_tick_ms = Now();
    events = calloc(EVENTS_MAX, sizeof(*events));
    workers = calloc((size_t)workers_wanted, sizeof(*workers));
    worker_count = workers_wanted;
    for (int i = 0; i < host_count; i++) {
        port_t *port = calloc(1, sizeof(*port));

        port->host = i;
        store_ports[i] = listen_any(port);
    }
    for (int i = 0; i < workers_wanted; i++) {
        port_t *port = calloc(1, sizeof(*port));
        worker_t *worker = &workers[i];

        port->worker = worker;
        worker->index = i;
        worker->cpu = 32000;
        worker->memory_mb = 131072;
        snprintf(worker->id, sizeof(worker->id), "w-%02d-7f3a", i);
        snprintf(worker->address, sizeof(worker->address), "127.0.0.1:%d",
                 listen_any(port));
    }
    event_add(event_new(base, -1, EV_PERSIST, tick, NULL), &interval);
    pthread_create(&thread, NULL, serve, NULL);
}

void
Platform_SetStoreDown(bool down)
{
    Lock();
    store_down = down;
    Record("the store is %s", down ? "down: 503 to every call" : "back");
    Unlock();
}

int
Platform_StorePort(int host)
{
    return store_ports[host];
}

worker_t *
Platform_Worker(int index)
{
    return &workers[index];
}

void
Platform_PutConfig(const char *text)
{
    Lock();
    put_text("op/config", text);
    Unlock();
}

void
Platform_StartWorker(worker_t *worker, const char *kind)
{
    Lock();
    if (kind != worker->kind) {
        snprintf(worker->kind, sizeof(worker->kind), "%s", kind);
    }
    worker->born_ms = WallNow();
    worker->clock_base_ms = Now() - 1000;
    worker->up = true;
    worker->sequence = 0;
    write_entry(worker);
    Record("worker %s starts, kind %s", worker->id, kind);
    Unlock();
}

void
Platform_CrashWorker(worker_t *worker)
{
    Lock();
    Record("worker %s crashes", worker->id);
    add_event(EVENT_CRASH, worker, "", 0, "", 0);
    worker->up = false;
    worker->fence = 0;
    worker->lease_ms = 0;
    worker->leased = false;
    worker->last_end = 0;
    while (worker->runs != NULL) {
        run_t *run = worker->runs;

        worker->runs = run->next;
        free(run);
    }
    while (worker->ends != NULL) {
        end_t *end = worker->ends;

        worker->ends = end->next;
        free(end);
    }
    worker->ends_last = NULL;
    for (int i = 0; i < 4096; i++) {
        while (worker->tombstones[i] != NULL) {
            tombstone_t *tombstone = worker->tombstones[i];

            worker->tombstones[i] = tombstone->next;
            free(tombstone);
        }
    }
    Unlock();
}

int
Platform_LastConditionalWriter(void)
{
    int writer;

    Lock();
    writer = last_writer;
    Unlock();
    return writer;
}

int64_t
Platform_LastConditionalWriteMs(void)
{
    int64_t at_ms;

    Lock();
    at_ms = last_write_ms;
    Unlock();
    return at_ms;
}

const event_t *
Platform_Events(uint32_t *count)
{
    *count = event_count;
    return events;
}

uint32_t
Platform_Starts(const char *prefix)
{
    uint32_t count = 0;

    Lock();
    for (uint32_t i = 0; i < event_count; i++) {
        count += events[i].kind == EVENT_START &&
                 strncmp(events[i].task, prefix, strlen(prefix)) == 0;
    }
    Unlock();
    return count;
}

uint32_t
Platform_Running(void)
{
    uint32_t count = 0;

    Lock();
    for (int i = 0; i < worker_count; i++) {
        for (const run_t *run = workers[i].runs; run != NULL;
             run = run->next) {
            count++;
        }
    }
    Unlock();
    return count;
}

uint32_t
Platform_EndsUnseen(void)
{
    uint32_t count = 0;

    Lock();
    for (int i = 0; i < worker_count; i++) {
        for (const end_t *end = workers[i].ends; end != NULL;
             end = end->next) {
            count++;
        }
    }
    Unlock();
    return count;
}
