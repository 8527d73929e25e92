/*
 * The store, the workers and the advice service of the stand-in.
 */

#include "platform.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <event2/thread.h>
#include <jansson.h>
#include <netinet/in.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <uthash.h>

#define TICK_MS 10
#define ENDS_LISTED_MAX 500
#define PAGE_ITEMS_MAX 500
#define PAGE_BYTES_MAX (1024 * 1024)
#define EVENTS_MAX 20000
#define TXN_ENTRIES_MAX 32
#define LISTEN_BACKLOG 64

typedef struct item {
    char key[256];
    char *value; /* base64 */
    int64_t revision;
    int64_t created;
    int64_t lease;
    UT_hash_handle hh;
} item_t;

typedef struct change {
    char key[256];
    char *value; /* NULL: deleted */
    int64_t revision;
    int64_t created;
    int64_t lease;
} change_t;

typedef struct lease {
    int64_t id;
    int64_t ttl_ms;
    int64_t until_ms;
    UT_hash_handle hh;
} lease_t;

typedef struct waiting {
    struct evhttp_request *request;
    char prefix[256]; /* of a watch */
    int64_t after;
    int64_t until_ms;
    struct waiting *next;
} waiting_t;

typedef struct task {
    char name[64];
    task_facts_t facts;
    UT_hash_handle hh;
} task_t;

typedef struct run {
    char task[64];
    int number;
    int64_t started_ms;
    int64_t ends_ms;
    int64_t stop_ms; /* 0: not being stopped */
    int64_t cpu_millis;
    int64_t memory_mib;
    bool lasts;
    task_t *facts;
    UT_hash_handle hh;
} run_t;

typedef struct ended {
    int64_t number;
    char task[64];
    int run;
    const char *how;
} ended_t;

typedef struct tombstone {
    char task[64];
    int run;
    UT_hash_handle hh;
} tombstone_t;

typedef struct worker {
    int index;
    char id[32];
    int port;
    struct evconnlistener *listener;
    bool lost;
    int64_t began_ms;
    int64_t born_ms;
    int64_t fence;
    int64_t deadline_ms; /* on its clock; 0: none */
    int64_t last_end;
    int64_t sequence;
    int64_t beat_ms;
    run_t *runs;
    tombstone_t *tombstones;
    ended_t *ends;
    size_t end_count;
    size_t end_capacity;
    waiting_t *holds;
} worker_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct event_base *base;
static FILE *record_file;
static platform_options_t options;
static int store_port;
static int advice_port;

static item_t *items;
static change_t changes[EVENTS_MAX];
static uint64_t change_count;
static int64_t revision = 10;
static int64_t last_lease = 100;
static lease_t *leases;
static waiting_t *watches;
static int leader_changes;

static worker_t workers[WORKERS_MAX];
static task_t *tasks;

int64_t
platform_now_ms(void)
{
    struct timespec now;

    clock_gettime(CLOCK_BOOTTIME, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static int64_t
wall_ms(void)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
platform_lock(void)
{
    pthread_mutex_lock(&lock);
}

void
platform_unlock(void)
{
    pthread_mutex_unlock(&lock);
}

void
platform_record(const char *format, ...)
{
    static int64_t began_ms;
    va_list arguments;

    if (began_ms == 0) {
        began_ms = platform_now_ms();
    }
    flockfile(record_file);
    fprintf(record_file, "%.3f ",
            (double)(platform_now_ms() - began_ms) / 1000);
    va_start(arguments, format);
    vfprintf(record_file, format, arguments);
    va_end(arguments);
    fputc('\n', record_file);
    funlockfile(record_file);
}

/* --- Answers ------------------------------------------------------------ */

/* Takes the body. */
static void
answer(struct evhttp_request *request, int status, json_t *body)
{
    struct evbuffer *buffer = evbuffer_new();
    char *text = json_dumps(body, JSON_COMPACT);

    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Content-Type", "application/json");
    evbuffer_add(buffer, text, strlen(text));
    evhttp_send_reply(request, status, "Answer", buffer);
    evbuffer_free(buffer);
    free(text);
    json_decref(body);
}

static json_t *
read_body(struct evhttp_request *request)
{
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    size_t length = evbuffer_get_length(input);

    return json_loadb((const char *)evbuffer_pullup(input, -1), length, 0,
                      NULL);
}

static int64_t
read_int(const json_t *object, const char *key)
{
    return json_integer_value(json_object_get(object, key));
}

static const char *
read_text(const json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));

    return text != NULL ? text : "";
}

/* --- Store -------------------------------------------------------------- */

static json_t *
item_json(const char *key, const char *value, int64_t at, int64_t created,
          int64_t lease)
{
    return json_pack("{s:s, s:s, s:I, s:I, s:I}", "key", key, "value", value,
                     "revision", (json_int_t)at, "created",
                     (json_int_t)created, "lease", (json_int_t)lease);
}

static void
add_change(const char *key, const char *value, int64_t created, int64_t lease)
{
    change_t *change = &changes[change_count % EVENTS_MAX];

    free(change->value);
    *change = (change_t){.value = value != NULL ? strdup(value) : NULL,
                         .revision = revision,
                         .created = created,
                         .lease = lease};
    snprintf(change->key, sizeof(change->key), "%s", key);
    change_count++;
}

static void
put(const char *key, const char *value, int64_t lease)
{
    item_t *item = NULL;

    HASH_FIND_STR(items, key, item);
    if (item == NULL) {
        item = calloc(1, sizeof(*item));
        snprintf(item->key, sizeof(item->key), "%s", key);
        item->created = revision;
        HASH_ADD_STR(items, key, item);
        leader_changes += strcmp(key, "fireflyvalve/control/leader") == 0;
    }
    free(item->value);
    item->value = strdup(value);
    item->revision = revision;
    item->lease = lease;
    add_change(key, value, item->created, lease);
}

static void
delete_item(item_t *item)
{
    add_change(item->key, NULL, 0, 0);
    HASH_DEL(items, item);
    free(item->value);
    free(item);
}

static bool
has_prefix(const char *text, const char *prefix)
{
    return strncmp(text, prefix, strlen(prefix)) == 0;
}

/* NULL when there is no change. */
static json_t *
changes_since(const char *prefix, int64_t after)
{
    json_t *list = json_array();
    uint64_t from = change_count > EVENTS_MAX ? change_count - EVENTS_MAX : 0;

    while (from < change_count &&
           changes[(change_count - 1) % EVENTS_MAX].revision > after &&
           changes[from % EVENTS_MAX].revision <= after) {
        uint64_t middle = from + (change_count - from) / 2;

        if (middle > from && changes[middle % EVENTS_MAX].revision <= after) {
            from = middle;
        }
        else {
            from++;
        }
    }
    for (uint64_t i = from; i < change_count; i++) {
        const change_t *change = &changes[i % EVENTS_MAX];

        if (change->revision <= after || !has_prefix(change->key, prefix)) {
            continue;
        }
        json_array_append_new(
            list,
            change->value != NULL
                ? item_json(change->key, change->value, change->revision,
                            change->created, change->lease)
                : json_pack("{s:s, s:I, s:b}", "key", change->key, "revision",
                            (json_int_t)change->revision, "deleted", 1));
    }
    if (json_array_size(list) == 0) {
        json_decref(list);
        return NULL;
    }
    return list;
}

static void
answer_watch(struct evhttp_request *request, json_t *list)
{
    answer(request, 200,
           json_pack("{s:o, s:I}", "events",
                     list != NULL ? list : json_array(), "at",
                     (json_int_t)revision));
}

static void
serve_watches(void)
{
    waiting_t **link = &watches;
    int64_t now_ms = platform_now_ms();

    while (*link != NULL) {
        waiting_t *watch = *link;
        json_t *list = changes_since(watch->prefix, watch->after);

        if (list == NULL && now_ms < watch->until_ms) {
            link = &watch->next;
            continue;
        }
        *link = watch->next;
        answer_watch(watch->request, list);
        free(watch);
    }
}

static bool
end_lease(int64_t id)
{
    lease_t *lease = NULL;
    item_t *item;
    item_t *next;

    HASH_FIND(hh, leases, &id, sizeof(id), lease);
    if (lease == NULL) {
        return false;
    }
    HASH_DEL(leases, lease);
    free(lease);
    revision++;
    HASH_ITER(hh, items, item, next)
    {
        if (item->lease == id) {
            delete_item(item);
        }
    }
    return true;
}

static void
expire_leases(void)
{
    int64_t now_ms = platform_now_ms();
    lease_t *lease;
    lease_t *next;

    HASH_ITER(hh, leases, lease, next)
    {
        if (lease->until_ms <= now_ms) {
            end_lease(lease->id);
        }
    }
}

static int
by_key(const void *left, const void *right)
{
    return strcmp((*(item_t *const *)left)->key,
                  (*(item_t *const *)right)->key);
}

static void
handle_range(struct evhttp_request *request, const char *prefix,
             const char *after)
{
    unsigned total = HASH_COUNT(items);
    item_t **found = calloc(total + 1, sizeof(*found));
    json_t *list = json_array();
    bool more = false;
    size_t bytes = 0;
    size_t count = 0;

    for (item_t *item = items; item != NULL; item = item->hh.next) {
        if (has_prefix(item->key, prefix) && strcmp(item->key, after) > 0) {
            found[count++] = item;
        }
    }
    qsort(found, count, sizeof(*found), by_key);
    for (size_t i = 0; i < count; i++) {
        const item_t *item = found[i];

        if (i == PAGE_ITEMS_MAX || (i > 0 && bytes > PAGE_BYTES_MAX)) {
            more = true;
            break;
        }
        bytes += strlen(item->value);
        json_array_append_new(list,
                              item_json(item->key, item->value, item->revision,
                                        item->created, item->lease));
    }
    free(found);
    answer(request, 200,
           json_pack("{s:o, s:b, s:I}", "items", list, "hasMore", more, "at",
                     (json_int_t)revision));
}

static int64_t
revision_of(const char *key)
{
    item_t *item = NULL;

    HASH_FIND_STR(items, key, item);
    return item != NULL ? item->revision : 0;
}

static int
check_txn(const json_t *body)
{
    const json_t *expected = json_object_get(body, "expected");
    const json_t *puts = json_object_get(body, "puts");
    size_t index;
    json_t *row;

    if (json_array_size(expected) + json_array_size(puts) +
            json_array_size(json_object_get(body, "remove")) >
        TXN_ENTRIES_MAX) {
        return 400;
    }
    json_array_foreach(expected, index, row)
    {
        if (revision_of(read_text(row, "key")) != read_int(row, "revision")) {
            return 412;
        }
    }
    json_array_foreach(puts, index, row)
    {
        int64_t id = read_int(row, "lease");
        lease_t *lease = NULL;

        HASH_FIND(hh, leases, &id, sizeof(id), lease);
        if (id != 0 && lease == NULL) {
            return 404;
        }
    }
    return 200;
}

static void
handle_txn(struct evhttp_request *request, const json_t *body)
{
    int status = check_txn(body);
    json_t *list = json_array();
    size_t index;
    json_t *row;

    if (status == 412) {
        json_array_foreach(json_object_get(body, "expected"), index, row)
        {
            item_t *item = NULL;

            HASH_FIND_STR(items, read_text(row, "key"), item);
            if (item != NULL) {
                json_array_append_new(
                    list, item_json(item->key, item->value, item->revision,
                                    item->created, item->lease));
            }
        }
    }
    if (status == 200) {
        revision++;
        json_array_foreach(json_object_get(body, "puts"), index, row)
        {
            put(read_text(row, "key"), read_text(row, "value"),
                read_int(row, "lease"));
        }
        json_array_foreach(json_object_get(body, "remove"), index, row)
        {
            item_t *item = NULL;

            HASH_FIND_STR(items, json_string_value(row), item);
            if (item != NULL) {
                delete_item(item);
            }
        }
    }
    answer(request, status,
           json_pack("{s:I, s:o}", "revision", (json_int_t)revision, "items",
                     list));
    serve_watches();
}

static const char *
query_value(const struct evkeyvalq *query, const char *key)
{
    const char *value = evhttp_find_header(query, key);

    return value != NULL ? value : "";
}

static void
handle_watch(struct evhttp_request *request, const struct evkeyvalq *query)
{
    waiting_t *watch = calloc(1, sizeof(*watch));

    watch->request = request;
    watch->after = strtoll(query_value(query, "after"), NULL, 10);
    watch->until_ms =
        platform_now_ms() + strtoll(query_value(query, "waitMs"), NULL, 10);
    snprintf(watch->prefix, sizeof(watch->prefix), "%s",
             query_value(query, "prefix"));
    watch->next = watches;
    watches = watch;
    serve_watches();
}

static void
handle_get(struct evhttp_request *request, const char *key)
{
    item_t *item = NULL;

    HASH_FIND_STR(items, key, item);
    if (item == NULL) {
        answer(request, 404, json_object());
        return;
    }
    answer(request, 200,
           item_json(item->key, item->value, item->revision, item->created,
                     item->lease));
}

static void
handle_grant(struct evhttp_request *request, const json_t *body)
{
    lease_t *lease = calloc(1, sizeof(*lease));

    lease->id = ++last_lease;
    lease->ttl_ms = read_int(body, "ttlMs");
    lease->until_ms = platform_now_ms() + lease->ttl_ms;
    HASH_ADD(hh, leases, id, sizeof(lease->id), lease);
    answer(request, 200,
           json_pack("{s:I, s:I}", "lease", (json_int_t)lease->id, "ttlMs",
                     (json_int_t)lease->ttl_ms));
}

static void
handle_keep(struct evhttp_request *request, int64_t id)
{
    lease_t *lease = NULL;

    HASH_FIND(hh, leases, &id, sizeof(id), lease);
    if (lease == NULL) {
        answer(request, 404, json_object());
        return;
    }
    lease->until_ms = platform_now_ms() + lease->ttl_ms;
    answer(request, 200,
           json_pack("{s:I, s:I}", "lease", (json_int_t)id, "ttlMs",
                     (json_int_t)lease->ttl_ms));
}

static void
handle_store(struct evhttp_request *request, void *context)
{
    const char *uri = evhttp_request_get_uri(request);
    struct evkeyvalq query = {0};
    const char *at = strchr(uri, '?');
    json_t *body = read_body(request);

    (void)context;
    if (at != NULL) {
        evhttp_parse_query_str(at + 1, &query);
    }
    platform_lock();
    expire_leases();
    if (has_prefix(uri, "/kv-key")) {
        handle_get(request, query_value(&query, "key"));
    }
    else if (has_prefix(uri, "/kv-range")) {
        handle_range(request, query_value(&query, "prefix"),
                     query_value(&query, "after"));
    }
    else if (has_prefix(uri, "/kv-watch")) {
        handle_watch(request, &query);
    }
    else if (has_prefix(uri, "/kv-txn")) {
        handle_txn(request, body);
    }
    else if (has_prefix(uri, "/kv-lease-end/")) {
        bool ended = end_lease(strtoll(uri + 14, NULL, 10));

        answer(request, ended ? 200 : 404, json_object());
        serve_watches();
    }
    else if (has_prefix(uri, "/kv-lease")) {
        handle_grant(request, body);
    }
    else if (has_prefix(uri, "/kv-keep/")) {
        handle_keep(request, strtoll(uri + 9, NULL, 10));
    }
    else {
        answer(request, 404, json_object());
    }
    platform_unlock();
    evhttp_clear_headers(&query);
    json_decref(body);
}

/* --- Workers ------------------------------------------------------------ */

static int64_t
worker_clock_ms(const worker_t *worker)
{
    return platform_now_ms() - worker->began_ms + 1;
}

static task_t *
find_task(const char *name)
{
    task_t *task = NULL;

    HASH_FIND_STR(tasks, name, task);
    if (task == NULL) {
        task = calloc(1, sizeof(*task));
        snprintf(task->name, sizeof(task->name), "%s", name);
        HASH_ADD_STR(tasks, name, task);
    }
    return task;
}

static void
bury(worker_t *worker, const char *task, int run)
{
    tombstone_t *tombstone = NULL;

    HASH_FIND_STR(worker->tombstones, task, tombstone);
    if (tombstone == NULL) {
        tombstone = calloc(1, sizeof(*tombstone));
        snprintf(tombstone->task, sizeof(tombstone->task), "%s", task);
        HASH_ADD_STR(worker->tombstones, task, tombstone);
    }
    tombstone->run = run > tombstone->run ? run : tombstone->run;
}

static int
buried_run(worker_t *worker, const char *task)
{
    tombstone_t *tombstone = NULL;

    HASH_FIND_STR(worker->tombstones, task, tombstone);
    return tombstone != NULL ? tombstone->run : 0;
}

static void
remove_run(worker_t *worker, run_t *run)
{
    run->facts->facts.running--;
    run->facts->facts.running_until_ms = platform_now_ms();
    HASH_DEL(worker->runs, run);
    free(run);
}

static void
end_run(worker_t *worker, run_t *run, const char *how)
{
    ended_t *end;

    if (worker->end_count == worker->end_capacity) {
        worker->end_capacity = worker->end_capacity * 2 + 64;
        worker->ends = realloc(worker->ends,
                               worker->end_capacity * sizeof(*worker->ends));
    }
    end = &worker->ends[worker->end_count++];
    *end = (ended_t){
        .number = ++worker->last_end, .run = run->number, .how = how};
    snprintf(end->task, sizeof(end->task), "%s", run->task);
    platform_record("end worker=%s task=%s run=%d how=%s", worker->id,
                    run->task, run->number, how);
    run->facts->facts.done =
        run->facts->facts.done || strcmp(how, "done") == 0;
    bury(worker, run->task, run->number);
    remove_run(worker, run);
}

static json_t *
report_json(const worker_t *worker)
{
    json_t *running = json_array();
    json_t *ended = json_array();
    int64_t now_ms = platform_now_ms();

    for (const run_t *run = worker->runs; run != NULL; run = run->hh.next) {
        int64_t length_ms = run->ends_ms - run->started_ms + 1;
        int percent =
            run->lasts ? 100
                       : (int)((now_ms - run->started_ms) * 100 / length_ms);

        if (run->stop_ms == 0) {
            json_array_append_new(
                running, json_pack("[s, i, s, i, i]", run->task, run->number,
                                   "", percent > 100 ? 100 : percent, 0));
        }
    }
    for (size_t i = 0; i < worker->end_count && i < ENDS_LISTED_MAX; i++) {
        const ended_t *end = &worker->ends[i];

        json_array_append_new(
            ended, json_pack("[I, s, i, s, s]", (json_int_t)end->number,
                             end->task, end->run, end->how, ""));
    }
    return json_pack("{s:I, s:I, s:o, s:o}", "clockMs",
                     (json_int_t)worker_clock_ms(worker), "born",
                     (json_int_t)worker->born_ms, "running", running, "ended",
                     ended);
}

static void
serve_holds(worker_t *worker)
{
    waiting_t **link = &worker->holds;
    int64_t now_ms = platform_now_ms();

    while (*link != NULL) {
        waiting_t *hold = *link;

        if (worker->end_count == 0 && now_ms < hold->until_ms) {
            link = &hold->next;
            continue;
        }
        *link = hold->next;
        answer(hold->request, 200, report_json(worker));
        free(hold);
    }
}

static void
tick_worker(worker_t *worker)
{
    int64_t now_ms = platform_now_ms();
    bool lapsed = worker->deadline_ms != 0 &&
                  worker_clock_ms(worker) > worker->deadline_ms;
    run_t *run;
    run_t *next;

    if (worker->lost) {
        return;
    }
    HASH_ITER(hh, worker->runs, run, next)
    {
        if (lapsed) {
            end_run(worker, run, "lapsed");
        }
        else if (run->stop_ms != 0 && now_ms >= run->stop_ms) {
            end_run(worker, run, "stopped");
        }
        else if (run->stop_ms == 0 && !run->lasts && now_ms >= run->ends_ms) {
            end_run(worker, run, "done");
        }
    }
    serve_holds(worker);
}

static void
extend_deadline(worker_t *worker, const json_t *body)
{
    int64_t deadline_ms = read_int(body, "deadlineMs");
    int64_t most_ms = worker_clock_ms(worker) + LEASE_MAX_MS;

    if (deadline_ms > most_ms) {
        deadline_ms = most_ms;
    }
    if (deadline_ms > worker->deadline_ms) {
        worker->deadline_ms = deadline_ms;
    }
}

static void
refuse(struct evhttp_request *request, const worker_t *worker,
       const char *reason)
{
    answer(request, 409,
           json_pack("{s:I, s:s}", "clockMs",
                     (json_int_t)worker_clock_ms(worker), "reason", reason));
}

static void
acknowledge(worker_t *worker, int64_t last_seen)
{
    size_t kept = 0;

    for (size_t i = 0; i < worker->end_count; i++) {
        if (worker->ends[i].number > last_seen) {
            worker->ends[kept++] = worker->ends[i];
        }
    }
    worker->end_count = kept;
}

static void
handle_hold(struct evhttp_request *request, worker_t *worker,
            const json_t *body)
{
    int64_t wait_ms = read_int(body, "waitMs");
    waiting_t *hold;

    extend_deadline(worker, body);
    acknowledge(worker, read_int(body, "lastSeen"));
    if (wait_ms <= 0 || worker->end_count > 0) {
        answer(request, 200, report_json(worker));
        return;
    }
    hold = calloc(1, sizeof(*hold));
    hold->request = request;
    hold->until_ms = platform_now_ms() + wait_ms;
    hold->next = worker->holds;
    worker->holds = hold;
}

static void
answer_done(struct evhttp_request *request, const worker_t *worker)
{
    answer(request, 200,
           json_pack("{s:I}", "clockMs", (json_int_t)worker_clock_ms(worker)));
}

static int64_t
spec_number(const char *spec, const char *name, int64_t fallback)
{
    const char *found = strstr(spec, name);

    return found != NULL ? strtoll(found + strlen(name), NULL, 10) : fallback;
}

static void
begin_run(worker_t *worker, const json_t *body)
{
    const char *spec = read_text(body, "taskSpec");
    run_t *run = calloc(1, sizeof(*run));
    int64_t now_ms = platform_now_ms();

    snprintf(run->task, sizeof(run->task), "%s", read_text(body, "task"));
    run->number = (int)read_int(body, "runId");
    run->started_ms = now_ms;
    run->ends_ms = now_ms + spec_number(spec, "run_ms=", 500);
    run->cpu_millis = spec_number(spec, "cpu=", 100);
    run->memory_mib = spec_number(spec, "mem=", 1);
    run->lasts = strstr(spec, "lasts") != NULL;
    run->facts = find_task(run->task);
    run->facts->facts.starts++;
    run->facts->facts.running++;
    HASH_ADD_STR(worker->runs, task, run);
    platform_record("start worker=%s task=%s run=%d", worker->id, run->task,
                    run->number);
}

static void
handle_start(struct evhttp_request *request, worker_t *worker,
             const json_t *body)
{
    const char *task = read_text(body, "task");
    int number = (int)read_int(body, "runId");
    run_t *run = NULL;

    HASH_FIND_STR(worker->runs, task, run);
    extend_deadline(worker, body);
    if (run != NULL && run->number == number && run->stop_ms == 0) {
        answer_done(request, worker);
    }
    else if (number <= buried_run(worker, task) || run != NULL) {
        refuse(request, worker, "old");
    }
    else if (worker->deadline_ms <= worker_clock_ms(worker)) {
        refuse(request, worker, "late");
    }
    else {
        begin_run(worker, body);
        answer_done(request, worker);
    }
}

static void
handle_stop(struct evhttp_request *request, worker_t *worker,
            const json_t *body)
{
    const char *task = read_text(body, "task");
    int number = (int)read_int(body, "runId");
    run_t *run = NULL;

    HASH_FIND_STR(worker->runs, task, run);
    bury(worker, task, number);
    if (run != NULL && run->number <= number && run->stop_ms == 0) {
        run->stop_ms = platform_now_ms() + STOP_MAX_MS / 4;
    }
    answer_done(request, worker);
}

static void
carry_out(struct evhttp_request *request, worker_t *worker)
{
    const char *uri = evhttp_request_get_uri(request);
    const char *instance = evhttp_find_header(
        evhttp_request_get_input_headers(request), "X-Expect-Instance");
    json_t *body;

    platform_lock();
    if (worker->lost) {
        platform_unlock();
        return; /* never answered */
    }
    body = read_body(request);
    tick_worker(worker);
    if (instance != NULL && strcmp(instance, worker->id) != 0) {
        answer(request, 421, json_object());
    }
    else if (read_int(body, "fencingToken") < worker->fence) {
        refuse(request, worker, "fence");
    }
    else {
        worker->fence = read_int(body, "fencingToken");
        if (strcmp(uri, "/hold") == 0) {
            handle_hold(request, worker, body);
        }
        else if (strcmp(uri, "/run-start") == 0) {
            handle_start(request, worker, body);
        }
        else if (strcmp(uri, "/run-stop") == 0) {
            handle_stop(request, worker, body);
        }
        else {
            answer(request, 404, json_object());
        }
    }
    json_decref(body);
    platform_unlock();
}

typedef struct delayed {
    struct evhttp_request *request;
    worker_t *worker;
} delayed_t;

static void
delay_over(evutil_socket_t fd, short what, void *context)
{
    delayed_t delayed = *(delayed_t *)context;

    (void)fd;
    (void)what;
    free(context);
    carry_out(delayed.request, delayed.worker);
}

static void
handle_worker(struct evhttp_request *request, void *context)
{
    struct timeval delay = {.tv_usec = options.delay_ms * 1000};
    delayed_t *delayed;

    if (options.delay_ms == 0) {
        carry_out(request, context);
        return;
    }
    delayed = calloc(1, sizeof(*delayed));
    *delayed = (delayed_t){.request = request, .worker = context};
    event_base_once(base, -1, EV_TIMEOUT, delay_over, delayed, &delay);
}

static char *
encode_base64(const char *text)
{
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    size_t length = strlen(text);
    char *out = calloc(length * 4 / 3 + 8, 1);
    size_t used = 0;

    for (size_t i = 0; i < length; i += 3) {
        uint32_t bits = (uint32_t)(unsigned char)text[i] << 16;

        bits |= i + 1 < length ? (uint32_t)(unsigned char)text[i + 1] << 8 : 0;
        bits |= i + 2 < length ? (uint32_t)(unsigned char)text[i + 2] : 0;
        out[used++] = digits[bits >> 18];
        out[used++] = digits[bits >> 12 & 63];
        out[used++] = i + 1 < length ? digits[bits >> 6 & 63] : '=';
        out[used++] = i + 2 < length ? digits[bits & 63] : '=';
    }
    return out;
}

static void
put_json(const char *key, json_t *value)
{
    char *text = json_dumps(value, JSON_COMPACT);
    char *encoded = encode_base64(text);

    revision++;
    put(key, encoded, 0);
    free(encoded);
    free(text);
    json_decref(value);
}

static void
beat(worker_t *worker)
{
    char key[64];
    char address[64];
    char machine[48];
    int64_t now_ms = platform_now_ms();
    item_t *item = NULL;

    snprintf(key, sizeof(key), "servers/%s", worker->id);
    if (worker->lost) {
        HASH_FIND_STR(items, key, item);
        if (item != NULL && now_ms - worker->beat_ms > 3 * HEARTBEAT_MS) {
            platform_record("entry removed worker=%s", worker->id);
            revision++;
            delete_item(item);
        }
        return;
    }
    if (now_ms - worker->beat_ms < HEARTBEAT_MS) {
        return;
    }
    worker->beat_ms = now_ms;
    snprintf(address, sizeof(address), "127.0.0.1:%d", worker->port);
    snprintf(machine, sizeof(machine), "m-%s", worker->id);
    put_json(key, json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:s, "
                            "s:{s:i, s:i, s:i}, s:[s, s], s:I, s:I}",
                            "service", "app", "address", address, "zone", "a",
                            "version", "1", "slots", 8, "state", "ready",
                            "coldRemainingMs", 0, "machine", machine,
                            "capacity", "cpu", options.cpu_millis, "memMb",
                            options.memory_mib, "gpus", 0, "labels", "a", "r1",
                            "sequence", (json_int_t)++worker->sequence, "born",
                            (json_int_t)worker->born_ms));
}

static void
tick(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    (void)context;
    platform_lock();
    expire_leases();
    for (int i = 0; i < options.workers; i++) {
        tick_worker(&workers[i]);
        beat(&workers[i]);
    }
    serve_watches();
    platform_unlock();
}

/* The queues of the cases have no recommendation. */
static void
handle_advice(struct evhttp_request *request, void *context)
{
    (void)context;
    answer(request, 404, json_object());
}

/* --- Start -------------------------------------------------------------- */

static struct evconnlistener *
serve(void (*handler)(struct evhttp_request *, void *), void *context,
      int *port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof(address);
    struct evhttp *server = evhttp_new(base);
    struct evconnlistener *listener = evconnlistener_new_bind(
        base, NULL, NULL, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
        LISTEN_BACKLOG, (struct sockaddr *)&address, sizeof(address));

    if (listener == NULL || evhttp_bind_listener(server, listener) == NULL) {
        return NULL;
    }
    getsockname(evconnlistener_get_fd(listener), (struct sockaddr *)&address,
                &length);
    *port = ntohs(address.sin_port);
    evhttp_set_max_body_size(server, 64 * 1024 * 1024);
    evhttp_set_timeout(server, 3600);
    evhttp_set_gencb(server, handler, context);
    return listener;
}

static void *
run_loop(void *context)
{
    (void)context;
    event_base_dispatch(base);
    return NULL;
}

static void
write_config(void)
{
    put_json("op/config",
             json_pack("{s:i, s:[{s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:f, "
                       "s:i}], s:[{s:s, s:b}], s:{}}",
                       "version", 3, "routes", "name", "batch", "host",
                       QUEUE_HOST, "prefix", QUEUE_PREFIX, "service", "app",
                       "kind", "non_idempotent", "priority", 1, "maxAttempts",
                       4, "stretch", 4.0, "targetLatencyMs", 3000, "services",
                       "name", "app", "enforceCapacity", 0, "limits"));
}

bool
platform_start(const platform_options_t *given, FILE *record)
{
    static const struct timeval interval = {.tv_usec = TICK_MS * 1000};
    pthread_t thread;

    options = *given;
    record_file = record;
    evthread_use_pthreads();
    base = event_base_new();
    if (serve(handle_store, NULL, &store_port) == NULL ||
        serve(handle_advice, NULL, &advice_port) == NULL) {
        return false;
    }
    for (int i = 0; i < options.workers; i++) {
        worker_t *worker = &workers[i];

        worker->index = i;
        worker->began_ms = platform_now_ms();
        worker->born_ms = wall_ms();
        snprintf(worker->id, sizeof(worker->id), "worker%02d", i);
        worker->listener = serve(handle_worker, worker, &worker->port);
        if (worker->listener == NULL) {
            return false;
        }
    }
    write_config();
    event_add(event_new(base, -1, EV_PERSIST, tick, NULL), &interval);
    return pthread_create(&thread, NULL, run_loop, NULL) == 0;
}

int
platform_store_port(void)
{
    return store_port;
}

int
platform_advice_port(void)
{
    return advice_port;
}

/* --- For the scenarios -------------------------------------------------- */

task_facts_t
platform_task(const char *name)
{
    task_facts_t facts = {0};
    task_t *task = NULL;

    platform_lock();
    HASH_FIND_STR(tasks, name, task);
    if (task != NULL) {
        facts = task->facts;
    }
    platform_unlock();
    return facts;
}

int
platform_runs(int worker)
{
    int count;

    platform_lock();
    count = (int)HASH_COUNT(workers[worker].runs);
    platform_unlock();
    return count;
}

int
platform_all_runs(void)
{
    int count = 0;

    for (int i = 0; i < options.workers; i++) {
        count += platform_runs(i);
    }
    return count;
}

int
platform_job_runs(const char *job)
{
    int count = 0;

    platform_lock();
    for (int i = 0; i < options.workers; i++) {
        for (const run_t *run = workers[i].runs; run != NULL;
             run = run->hh.next) {
            count += has_prefix(run->task, job);
        }
    }
    platform_unlock();
    return count;
}

int
platform_done_count(const char *job)
{
    int count = 0;

    platform_lock();
    for (const task_t *task = tasks; task != NULL; task = task->hh.next) {
        count += task->facts.done && has_prefix(task->name, job);
    }
    platform_unlock();
    return count;
}

int
platform_worker_of(const char *task)
{
    int found = -1;

    platform_lock();
    for (int i = 0; i < options.workers; i++) {
        run_t *run = NULL;

        HASH_FIND_STR(workers[i].runs, task, run);
        found = run != NULL ? i : found;
    }
    platform_unlock();
    return found;
}

int64_t
platform_cpu(void)
{
    int64_t sum = 0;

    platform_lock();
    for (int i = 0; i < options.workers; i++) {
        sum += workers[i].lost ? 0 : options.cpu_millis;
    }
    platform_unlock();
    return sum;
}

int64_t
platform_free_cpu(void)
{
    int64_t sum = platform_cpu();

    platform_lock();
    for (int i = 0; i < options.workers; i++) {
        for (const run_t *run = workers[i].runs; run != NULL;
             run = run->hh.next) {
            sum -= run->cpu_millis;
        }
    }
    platform_unlock();
    return sum;
}

void
platform_lose_worker(int index)
{
    worker_t *worker = &workers[index];
    run_t *run;
    run_t *next;

    platform_lock();
    worker->lost = true;
    /* Nothing is accepted any more; one connection may wait in the kernel. */
    evconnlistener_disable(worker->listener);
    listen(evconnlistener_get_fd(worker->listener), 0);
    HASH_ITER(hh, worker->runs, run, next)
    {
        platform_record("lost worker=%s task=%s run=%d", worker->id, run->task,
                        run->number);
        remove_run(worker, run);
    }
    platform_record("lost worker=%s", worker->id);
    platform_unlock();
}

static char *
decode_base64_word(const char *encoded, char *text, size_t size)
{
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    uint32_t bits = 0;
    int held = 0;
    size_t used = 0;

    for (; *encoded != '\0' && *encoded != '=' && used + 1 < size; encoded++) {
        const char *digit = strchr(digits, *encoded);

        bits = bits << 6 | (uint32_t)(digit != NULL ? digit - digits : 0);
        held += 6;
        if (held >= 8) {
            held -= 8;
            text[used++] = (char)(bits >> held & 255);
            if (text[used - 1] == ' ') {
                used--;
                break;
            }
        }
    }
    text[used] = '\0';
    return text;
}

void
platform_leader(char *name, size_t size)
{
    item_t *item = NULL;

    name[0] = '\0';
    platform_lock();
    HASH_FIND_STR(items, "fireflyvalve/control/leader", item);
    if (item != NULL) {
        decode_base64_word(item->value, name, size);
    }
    platform_unlock();
}

int
platform_leader_changes(void)
{
    int count;

    platform_lock();
    count = leader_changes;
    platform_unlock();
    return count;
}
