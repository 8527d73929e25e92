/*
 * Stand-in for the users' platform: the store, the advice service and the
 * workers, in one process with one event loop.
 *
 * Ports from --port on: store, advice service, control, then the workers. What
 * the workers are told and what they run is written to --record.
 *
 * A task's text tells the stand-in what the task does: "run_ms=N", "cpu=N" and
 * "mem=N" (what its step declares), "gang=N" (members of its gang) and
 * "ticket" (its queue has a recommendation).
 */

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define WORKERS_MAX 64
#define WORKERS_PER_RACK 8
#define PAGE_ITEMS 500
#define TICK_MS 10
#define HEARTBEAT_MS 1500
#define HEARTBEATS_MISSED 3
#define FOREIGN_AFTER_MS 100 /* of another writer's entry, after a heartbeat */
#define FAILS_AFTER_MS 50
#define STOP_MS 300 /* of stopTimeoutMs 900 */
#define GANG_TIMEOUT_MS 3000
#define LEASE_MAX_MS 10000
#define TICKET_VALID_MS 2500
#define DECISION_MS 10
#define WAIT_MAX_MS 2000
#define KIND_B_WORKERS 4 /* the others are of kind a */
#define WORKER_CPU 32000
#define WORKER_MEMORY 131072

typedef struct item {
    char key[256];
    char *value; /* base64 */
    int64_t revision;
    int64_t created;
    int64_t lease;
    struct item *next;
} item_t;

typedef struct change {
    int64_t revision;
    char key[256];
    char *value; /* NULL: removed */
    int64_t lease;
} change_t;

typedef struct lease {
    int64_t id;
    int64_t ttl_ms;
    int64_t ends_ms;
    struct lease *next;
} lease_t;

/* A watch or a hold that waits. */
typedef struct waiting {
    struct evhttp_request *request;
    char prefix[256];
    int64_t after;
    int64_t until_ms;
    int worker; /* -1: a watch */
    struct waiting *next;
} waiting_t;

typedef struct run {
    char task[64];
    int64_t run;
    int64_t cpu;
    int64_t memory;
    int64_t run_ms;
    int gang; /* members; 0: no gang */
    bool fails; /* by its worker's fault, as soon as its work begins */
    int64_t started_ms;
    int64_t work_ms; /* when its work began; 0: waits for its gang */
    int64_t stop_ms; /* when its stop is done; 0: none */
    struct run *next;
} run_t;

typedef struct ended {
    int64_t number;
    char task[64];
    int64_t run;
    const char *how;
    struct ended *next;
} ended_t;

/* Highest run of a task that was stopped or has ended. */
typedef struct past {
    char task[64];
    int64_t run;
    struct past *next;
} past_t;

typedef struct worker {
    int index;
    char id[32];
    char address[64];
    bool up;
    int64_t born_wall_ms;
    int64_t born_ms;
    int64_t token;
    int64_t lease_end; /* on its clock */
    int64_t last_number;
    int64_t sequence;
    int64_t heartbeat_ms;
    int64_t fails_until_ms; /* until then it fails all that it starts */
    int beats; /* since the foreign entry was asked for */
    char *foreign; /* to be written under its id after its next heartbeat */
    run_t *runs;
    ended_t *ends;
    past_t *pasts;
    struct evhttp *server;
    struct evhttp_bound_socket *socket;
} worker_t;

static struct event_base *base;
static FILE *record_file;
static int64_t epoch_ms;
static int first_port;
static int worker_count;
static worker_t workers[WORKERS_MAX];
static item_t *items; /* sorted by key */
static lease_t *leases;
static int64_t last_lease = 1000;
static int64_t revision = 1;
static change_t *changes;
static size_t change_count;
static waiting_t *waitings;
static int64_t over_capacity;

static int64_t
clock_ms(clockid_t clock)
{
    struct timespec now;

    clock_gettime(clock, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static int64_t
now_ms(void)
{
    return clock_ms(CLOCK_MONOTONIC);
}

static void record(const char *format, ...)
    __attribute__((format(printf, 1, 2)));

static void
record(const char *format, ...)
{
    va_list arguments;

    fprintf(record_file, "%8.3f ", (double)(now_ms() - epoch_ms) / 1000);
    va_start(arguments, format);
    vfprintf(record_file, format, arguments);
    va_end(arguments);
    fputc('\n', record_file);
    fflush(record_file);
}

static void
copy(char *target, size_t size, const char *source)
{
    snprintf(target, size, "%s", source != NULL ? source : "");
}

/* --- HTTP ---------------------------------------------------------------- */

static void
reply(struct evhttp_request *request, int status, json_t *body)
{
    struct evbuffer *buffer = evbuffer_new();
    char *text = json_dumps(body, JSON_COMPACT);

    evbuffer_add(buffer, text, strlen(text));
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Content-Type", "application/json");
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
    json_t *body =
        json_loadb(length > 0 ? (char *)evbuffer_pullup(input, -1) : "{}",
                   length > 0 ? length : 2, 0, NULL);

    return body != NULL ? body : json_object();
}

static int64_t
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

static struct evhttp *
serve(int port, void (*handler)(struct evhttp_request *, void *),
      void *context, struct evhttp_bound_socket **socket)
{
    struct evhttp *server = evhttp_new(base);
    struct evhttp_bound_socket *bound =
        evhttp_bind_socket_with_handle(server, "127.0.0.1", (uint16_t)port);

    if (bound == NULL) {
        fprintf(stderr, "cannot listen on port %d\n", port);
        exit(2);
    }
    evhttp_set_timeout(server, 120);
    evhttp_set_gencb(server, handler, context);
    if (socket != NULL) {
        *socket = bound;
    }
    return server;
}

/* --- Store --------------------------------------------------------------- */

static char *
encode_base64(const char *data, size_t length)
{
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    char *text = malloc(length / 3 * 4 + 5);
    size_t used = 0;

    for (size_t i = 0; i < length; i += 3) {
        size_t left = length - i;
        uint32_t bits = (uint32_t)(unsigned char)data[i] << 16;

        bits |= left > 1 ? (uint32_t)(unsigned char)data[i + 1] << 8 : 0;
        bits |= left > 2 ? (uint32_t)(unsigned char)data[i + 2] : 0;
        text[used++] = digits[bits >> 18];
        text[used++] = digits[bits >> 12 & 63];
        text[used++] = left > 1 ? digits[bits >> 6 & 63] : '=';
        text[used++] = left > 2 ? digits[bits & 63] : '=';
    }
    text[used] = '\0';
    return text;
}

static item_t *
find_item(const char *key)
{
    item_t *item = items;

    while (item != NULL && strcmp(item->key, key) != 0) {
        item = item->next;
    }
    return item;
}

static json_t *
item_json(const item_t *item)
{
    return json_pack("{s:s, s:s, s:I, s:I, s:I}", "key", item->key, "value",
                     item->value, "revision", (json_int_t)item->revision,
                     "created", (json_int_t)item->created, "lease",
                     (json_int_t)item->lease);
}

static void
note_change(const char *key, const char *value, int64_t lease)
{
    change_t *change;

    changes = realloc(changes, (change_count + 1) * sizeof(*changes));
    change = &changes[change_count++];
    *change = (change_t){.revision = revision,
                         .value = value != NULL ? strdup(value) : NULL,
                         .lease = lease};
    copy(change->key, sizeof(change->key), key);
}

/* Sets a key at the present revision. */
static void
put_item(const char *key, const char *value, int64_t lease)
{
    item_t **link = &items;
    item_t *item;

    while (*link != NULL && strcmp((*link)->key, key) < 0) {
        link = &(*link)->next;
    }
    item = *link;
    if (item == NULL || strcmp(item->key, key) != 0) {
        item = calloc(1, sizeof(*item));
        copy(item->key, sizeof(item->key), key);
        item->created = revision;
        item->next = *link;
        *link = item;
    }
    free(item->value);
    item->value = strdup(value);
    item->revision = revision;
    item->lease = lease;
    note_change(key, value, lease);
}

static void
remove_item(const char *key)
{
    item_t **link = &items;

    while (*link != NULL && strcmp((*link)->key, key) != 0) {
        link = &(*link)->next;
    }
    if (*link != NULL) {
        item_t *item = *link;

        *link = item->next;
        note_change(key, NULL, 0);
        free(item->value);
        free(item);
    }
}

static void
put_text(const char *key, const char *text)
{
    char *value = encode_base64(text, strlen(text));

    revision++;
    put_item(key, value, 0);
    free(value);
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
    item_t *item;

    revision++;
    for (item = items; item != NULL;) {
        item_t *next = item->next;

        if (item->lease == id) {
            remove_item(item->key);
        }
        item = next;
    }
    while (*link != NULL && (*link)->id != id) {
        link = &(*link)->next;
    }
    if (*link != NULL) {
        lease_t *lease = *link;

        *link = lease->next;
        free(lease);
    }
}

static bool
has_prefix(const char *key, const char *prefix)
{
    return strncmp(key, prefix, strlen(prefix)) == 0;
}

static json_t *
range(const char *prefix, const char *after)
{
    json_t *list = json_array();
    bool more = false;

    for (const item_t *item = items; item != NULL; item = item->next) {
        if (!has_prefix(item->key, prefix) ||
            (after != NULL && strcmp(item->key, after) <= 0)) {
            continue;
        }
        if (json_array_size(list) == PAGE_ITEMS) {
            more = true;
            break;
        }
        json_array_append_new(list, item_json(item));
    }
    return json_pack("{s:o, s:b, s:I}", "items", list, "hasMore", more, "at",
                     (json_int_t)revision);
}

static json_t *
events(const char *prefix, int64_t after)
{
    json_t *list = json_array();
    size_t first = change_count;

    while (first > 0 && changes[first - 1].revision > after) {
        first--;
    }
    for (size_t i = first; i < change_count; i++) {
        const change_t *change = &changes[i];

        if (!has_prefix(change->key, prefix)) {
            continue;
        }
        json_array_append_new(
            list,
            change->value != NULL
                ? json_pack("{s:s, s:s, s:I, s:I}", "key", change->key,
                            "value", change->value, "revision",
                            (json_int_t)change->revision, "lease",
                            (json_int_t)change->lease)
                : json_pack("{s:s, s:I, s:b}", "key", change->key, "revision",
                            (json_int_t)change->revision, "deleted", 1));
    }
    return list;
}

static json_t *
transact(const json_t *body, int *status)
{
    const json_t *expected = json_object_get(body, "expected");
    json_t *found = json_array();
    bool holds = true;
    size_t i;
    json_t *row;

    json_array_foreach(expected, i, row)
    {
        const item_t *item = find_item(get_text(row, "key"));

        holds = holds && (item != NULL ? item->revision : 0) ==
                             get_int(row, "revision");
        if (item != NULL) {
            json_array_append_new(found, item_json(item));
        }
    }
    if (!holds) {
        *status = 412;
        return json_pack("{s:o}", "items", found);
    }
    json_decref(found);
    json_array_foreach(json_object_get(body, "puts"), i, row)
    {
        if (get_int(row, "lease") != 0 &&
            find_lease(get_int(row, "lease")) == NULL) {
            *status = 404;
            return json_object();
        }
        if (has_prefix(get_text(row, "key"), "op/") ||
            has_prefix(get_text(row, "key"), "servers/")) {
            *status = 403;
            return json_object();
        }
    }
    revision++;
    json_array_foreach(json_object_get(body, "puts"), i, row)
    {
        put_item(get_text(row, "key"), get_text(row, "value"),
                 get_int(row, "lease"));
    }
    json_array_foreach(json_object_get(body, "remove"), i, row)
    {
        remove_item(json_string_value(row));
    }
    *status = 200;
    return json_pack("{s:I}", "revision", (json_int_t)revision);
}

static void
wait_for(struct evhttp_request *request, const char *prefix, int64_t after,
         int64_t wait_ms, int worker)
{
    waiting_t *waiting = calloc(1, sizeof(*waiting));

    *waiting = (waiting_t){.request = request,
                           .after = after,
                           .until_ms = now_ms() + wait_ms,
                           .worker = worker,
                           .next = waitings};
    copy(waiting->prefix, sizeof(waiting->prefix), prefix);
    waitings = waiting;
}

static void
handle_store(struct evhttp_request *request, void *context)
{
    struct evkeyvalq query;
    const char *uri = evhttp_request_get_uri(request);
    json_t *body = read_body(request);
    int64_t id = 0;
    lease_t *lease;
    int status = 404;

    (void)context;
    evhttp_parse_query_str(strchr(uri, '?') ? strchr(uri, '?') + 1 : "",
                           &query);
    if (has_prefix(uri, "/kv-key?")) {
        item_t *item = find_item(evhttp_find_header(&query, "key"));

        reply(request, item != NULL ? 200 : 404,
              item != NULL ? item_json(item) : json_object());
    }
    else if (has_prefix(uri, "/kv-range?")) {
        reply(request, 200,
              range(evhttp_find_header(&query, "prefix"),
                    evhttp_find_header(&query, "after")));
    }
    else if (has_prefix(uri, "/kv-watch?")) {
        wait_for(request, evhttp_find_header(&query, "prefix"),
                 strtoll(evhttp_find_header(&query, "after"), NULL, 10),
                 strtoll(evhttp_find_header(&query, "waitMs"), NULL, 10), -1);
    }
    else if (strcmp(uri, "/kv-txn") == 0) {
        json_t *answer = transact(body, &status);

        reply(request, status, answer);
    }
    else if (strcmp(uri, "/kv-lease") == 0) {
        lease = calloc(1, sizeof(*lease));
        *lease = (lease_t){.id = ++last_lease,
                           .ttl_ms = get_int(body, "ttlMs"),
                           .next = leases};
        lease->ends_ms = now_ms() + lease->ttl_ms;
        leases = lease;
        reply(request, 200,
              json_pack("{s:I, s:I}", "lease", (json_int_t)lease->id, "ttlMs",
                        (json_int_t)lease->ttl_ms));
    }
    else if (sscanf(uri, "/kv-keep/%" SCNd64, &id) == 1) {
        lease = find_lease(id);
        if (lease != NULL) {
            lease->ends_ms = now_ms() + lease->ttl_ms;
        }
        reply(request, lease != NULL ? 200 : 404,
              lease != NULL
                  ? json_pack("{s:I}", "ttlMs", (json_int_t)lease->ttl_ms)
                  : json_object());
    }
    else if (sscanf(uri, "/kv-lease-end/%" SCNd64, &id) == 1) {
        status = find_lease(id) != NULL ? 200 : 404;
        end_lease(id);
        reply(request, status, json_object());
    }
    else {
        reply(request, 400, json_object());
    }
    evhttp_clear_headers(&query);
    json_decref(body);
}

/* --- Advice -------------------------------------------------------------- */

/* The workers of kind b and three of four others may run a step. */
static bool
is_allowed(const char *step, const worker_t *worker)
{
    uint32_t hash = 0;

    for (const char *c = step; *c != '\0'; c++) {
        hash = hash * 31 + (uint32_t)*c;
    }
    return worker->index < KIND_B_WORKERS ||
           (hash + (uint32_t)worker->index) % 4 != 0;
}

static worker_t *
find_worker(const char *id)
{
    for (int i = 0; i < worker_count; i++) {
        if (strcmp(workers[i].id, id) == 0) {
            return &workers[i];
        }
    }
    return NULL;
}

static void
send_advice(evutil_socket_t fd, short what, void *context)
{
    struct evhttp_request *request = context;
    json_t *body = read_body(request);
    json_t *rows = json_array();
    size_t i;
    json_t *row;

    (void)fd;
    (void)what;
    json_array_foreach(json_object_get(body, "workers"), i, row)
    {
        worker_t *worker = find_worker(json_string_value(row));
        char ticket[160];

        if (worker == NULL || !is_allowed(get_text(body, "step"), worker)) {
            continue;
        }
        snprintf(ticket, sizeof(ticket), "%s/%s/%" PRId64 "/%" PRId64,
                 get_text(body, "step"), worker->id, worker->born_wall_ms,
                 now_ms() + TICKET_VALID_MS);
        json_array_append_new(rows, json_pack("[s, s]", worker->id, ticket));
    }
    record("advice step=%s asked=%zu allowed=%zu", get_text(body, "step"),
           json_array_size(json_object_get(body, "workers")),
           json_array_size(rows));
    reply(request, 200, json_pack("{s:o}", "allowedWorkers", rows));
    json_decref(body);
}

static void
handle_advice(struct evhttp_request *request, void *context)
{
    struct timeval delay = {.tv_usec = DECISION_MS * 1000};

    (void)context;
    event_base_once(base, -1, EV_TIMEOUT, send_advice, request, &delay);
}

/* --- Workers ------------------------------------------------------------- */

static int64_t
worker_clock(const worker_t *worker)
{
    return now_ms() - worker->born_ms + 1;
}

/* Length of "ID.K.STEP." */
static size_t
step_length(const char *task)
{
    const char *dot = strrchr(task, '.');

    return dot != NULL ? (size_t)(dot - task) + 1 : 0;
}

static int64_t
number_in(const char *text, const char *name, int64_t fallback)
{
    const char *found = strstr(text, name);

    return found != NULL ? strtoll(found + strlen(name), NULL, 10) : fallback;
}

static past_t *
find_past(worker_t *worker, const char *task, bool add)
{
    past_t *past = worker->pasts;

    while (past != NULL && strcmp(past->task, task) != 0) {
        past = past->next;
    }
    if (past == NULL && add) {
        past = calloc(1, sizeof(*past));
        copy(past->task, sizeof(past->task), task);
        past->next = worker->pasts;
        worker->pasts = past;
    }
    return past;
}

static void
note_past(worker_t *worker, const char *task, int64_t run)
{
    past_t *past = find_past(worker, task, true);

    past->run = run > past->run ? run : past->run;
}

static void
end_run(worker_t *worker, run_t *run, const char *how)
{
    run_t **link = &worker->runs;
    ended_t **last = &worker->ends;
    ended_t *ended = calloc(1, sizeof(*ended));

    while (*link != run) {
        link = &(*link)->next;
    }
    *link = run->next;
    while (*last != NULL) {
        last = &(*last)->next;
    }
    *last = ended;
    ended->number = ++worker->last_number;
    copy(ended->task, sizeof(ended->task), run->task);
    ended->run = run->run;
    ended->how = how;
    note_past(worker, run->task, run->run);
    record("end task=%s run=%" PRId64 " worker=%s how=%s", run->task, run->run,
           worker->id, how);
    free(run);
}

/* The first other member of a gang's run that is not being stopped. */
static run_t *
find_member(const char *task, int64_t run, worker_t **owner)
{
    for (int i = 0; i < worker_count; i++) {
        for (run_t *other = workers[i].runs; other != NULL;
             other = other->next) {
            if (other->gang > 0 && other->run == run && other->stop_ms == 0 &&
                strncmp(other->task, task, step_length(task)) == 0) {
                *owner = &workers[i];
                return other;
            }
        }
    }
    return NULL;
}

static void
end_members(const char *task, int64_t run, const char *how)
{
    worker_t *owner;
    run_t *member;

    while ((member = find_member(task, run, &owner)) != NULL) {
        end_run(owner, member, how);
    }
}

/* The work of a gang begins when all members of a run are present. */
static void
begin_gang(const run_t *started)
{
    int present = 0;

    for (int pass = 0; pass < 2; pass++) {
        for (int i = 0; i < worker_count; i++) {
            for (run_t *run = workers[i].runs; run != NULL; run = run->next) {
                if (run->gang == 0 || run->run != started->run ||
                    run->stop_ms != 0 ||
                    strncmp(run->task, started->task,
                            step_length(started->task)) != 0) {
                    continue;
                }
                present += pass == 0;
                if (pass == 1) {
                    run->work_ms = now_ms();
                }
            }
        }
        if (present < started->gang) {
            return;
        }
    }
}

static void
finish_run(worker_t *worker, run_t *run, const char *how, const char *others)
{
    char task[64];
    int64_t number = run->run;
    bool gang = run->gang > 0;

    copy(task, sizeof(task), run->task);
    end_run(worker, run, how);
    if (gang && others != NULL) {
        end_members(task, number, others);
    }
}

/* Ends the first run that is due; false when there is none. */
static bool
end_due_run(worker_t *worker)
{
    int64_t now = now_ms();
    bool lapsed = worker_clock(worker) > worker->lease_end;

    for (run_t *run = worker->runs; run != NULL; run = run->next) {
        if (run->stop_ms != 0 && run->stop_ms <= now) {
            finish_run(worker, run, "stopped", "broken");
            return true;
        }
        if (lapsed) {
            finish_run(worker, run, "lapsed", "broken");
            return true;
        }
        if (run->stop_ms == 0 && run->work_ms != 0 && run->fails &&
            run->work_ms + FAILS_AFTER_MS <= now) {
            finish_run(worker, run, "failed", "broken");
            return true;
        }
        if (run->stop_ms == 0 && run->work_ms != 0 &&
            run->work_ms + run->run_ms <= now) {
            finish_run(worker, run, "done", "done");
            return true;
        }
        if (run->stop_ms == 0 && run->work_ms == 0 &&
            run->started_ms + GANG_TIMEOUT_MS <= now) {
            finish_run(worker, run, "alone", NULL);
            return true;
        }
    }
    return false;
}

static json_t *
report(const worker_t *worker)
{
    json_t *running = json_array();
    json_t *ended = json_array();

    for (const run_t *run = worker->runs; run != NULL; run = run->next) {
        int64_t percent = run->work_ms == 0 ? 0
                                            : (now_ms() - run->work_ms) * 100 /
                                                  (run->run_ms + 1);

        if (run->stop_ms == 0) {
            json_array_append_new(
                running, json_pack("[s, I, s, I, I]", run->task,
                                   (json_int_t)run->run, "",
                                   (json_int_t)percent, (json_int_t)run->cpu));
        }
    }
    for (const ended_t *end = worker->ends;
         end != NULL && json_array_size(ended) < PAGE_ITEMS; end = end->next) {
        json_array_append_new(
            ended, json_pack("[I, s, I, s, s]", (json_int_t)end->number,
                             end->task, (json_int_t)end->run, end->how, ""));
    }
    return json_pack("{s:I, s:I, s:o, s:o}", "clockMs",
                     (json_int_t)worker_clock(worker), "born",
                     (json_int_t)worker->born_wall_ms, "running", running,
                     "ended", ended);
}

static void
refuse(struct evhttp_request *request, const worker_t *worker,
       const char *reason)
{
    reply(request, 409,
          json_pack("{s:I, s:s}", "clockMs", (json_int_t)worker_clock(worker),
                    "reason", reason));
}

static void
confirm(struct evhttp_request *request, const worker_t *worker)
{
    reply(request, 200,
          json_pack("{s:I}", "clockMs", (json_int_t)worker_clock(worker)));
}

static void
extend_lease(worker_t *worker, const json_t *body)
{
    int64_t end = get_int(body, "deadlineMs");

    if (end > worker_clock(worker) + LEASE_MAX_MS) {
        end = worker_clock(worker) + LEASE_MAX_MS;
    }
    worker->lease_end = end > worker->lease_end ? end : worker->lease_end;
}

static bool
is_ticket_valid(const worker_t *worker, const char *task, const char *ticket)
{
    char start[160];
    int64_t until;

    snprintf(start, sizeof(start), "%.*s/%s/%" PRId64 "/",
             (int)step_length(task) - 1, task, worker->id,
             worker->born_wall_ms);
    until = has_prefix(ticket, start)
                ? strtoll(ticket + strlen(start), NULL, 10)
                : 0;
    return until >= now_ms();
}

static void
begin_run(worker_t *worker, const json_t *body)
{
    const char *text = get_text(body, "taskSpec");
    run_t *run = calloc(1, sizeof(*run));
    int64_t cpu = 0;
    int64_t memory = 0;

    *run = (run_t){.run = get_int(body, "runId"),
                   .cpu = number_in(text, "cpu=", 0),
                   .memory = number_in(text, "mem=", 0),
                   .run_ms = number_in(text, "run_ms=", 100),
                   .gang = (int)number_in(text, "gang=", 0),
                   .fails = now_ms() < worker->fails_until_ms,
                   .started_ms = now_ms(),
                   .next = worker->runs};
    run->work_ms = run->gang > 0 ? 0 : now_ms();
    copy(run->task, sizeof(run->task), get_text(body, "task"));
    worker->runs = run;
    for (const run_t *other = worker->runs; other != NULL;
         other = other->next) {
        cpu += other->cpu;
        memory += other->memory;
    }
    record("start task=%s run=%" PRId64 " worker=%s cpu_used=%" PRId64
           " of %d memory_used=%" PRId64 " of %d%s",
           run->task, run->run, worker->id, cpu, WORKER_CPU, memory,
           WORKER_MEMORY,
           cpu > WORKER_CPU || memory > WORKER_MEMORY ? " OVER_CAPACITY" : "");
    over_capacity += cpu > WORKER_CPU || memory > WORKER_MEMORY;
    begin_gang(run);
}

static void
start_task(struct evhttp_request *request, worker_t *worker,
           const json_t *body)
{
    const char *task = get_text(body, "task");
    int64_t number = get_int(body, "runId");
    const past_t *past = find_past(worker, task, false);

    extend_lease(worker, body);
    for (const run_t *run = worker->runs; run != NULL; run = run->next) {
        if (strcmp(run->task, task) == 0 && run->run == number &&
            run->stop_ms == 0) {
            confirm(request, worker);
            return;
        }
    }
    if (past != NULL && number <= past->run) {
        refuse(request, worker, "old");
    }
    else if (worker->lease_end <= worker_clock(worker)) {
        refuse(request, worker, "late");
    }
    else if (strstr(get_text(body, "taskSpec"), "ticket") != NULL &&
             !is_ticket_valid(worker, task, get_text(body, "ticket"))) {
        refuse(request, worker, "ticket");
    }
    else {
        begin_run(worker, body);
        confirm(request, worker);
    }
}

static void
stop_task(struct evhttp_request *request, worker_t *worker,
          const json_t *body)
{
    record("stop task=%s run=%" PRId64 " worker=%s", get_text(body, "task"),
           get_int(body, "runId"), worker->id);
    for (run_t *run = worker->runs; run != NULL; run = run->next) {
        if (strcmp(run->task, get_text(body, "task")) == 0 &&
            run->run == get_int(body, "runId") && run->stop_ms == 0) {
            run->stop_ms = now_ms() + STOP_MS;
        }
    }
    note_past(worker, get_text(body, "task"), get_int(body, "runId"));
    confirm(request, worker);
}

static void
hold(struct evhttp_request *request, worker_t *worker, const json_t *body)
{
    int64_t wait_ms = get_int(body, "waitMs");

    extend_lease(worker, body);
    while (worker->ends != NULL &&
           worker->ends->number <= get_int(body, "lastSeen")) {
        ended_t *end = worker->ends;

        worker->ends = end->next;
        free(end);
    }
    if (wait_ms > 0 && worker->ends == NULL) {
        wait_for(request, "", 0, wait_ms < WAIT_MAX_MS ? wait_ms : WAIT_MAX_MS,
                 worker->index);
    }
    else {
        reply(request, 200, report(worker));
    }
}

static void
handle_worker(struct evhttp_request *request, void *context)
{
    worker_t *worker = context;
    const char *uri = evhttp_request_get_uri(request);
    const char *instance = evhttp_find_header(
        evhttp_request_get_input_headers(request), "X-Expect-Instance");
    json_t *body = read_body(request);

    if (instance != NULL && strcmp(instance, worker->id) != 0) {
        reply(request, 421, json_object());
    }
    else if (get_int(body, "fencingToken") < worker->token) {
        refuse(request, worker, "fence");
    }
    else {
        worker->token = get_int(body, "fencingToken");
        while (end_due_run(worker)) {
        }
        if (strcmp(uri, "/run-start") == 0) {
            start_task(request, worker, body);
        }
        else if (strcmp(uri, "/run-stop") == 0) {
            stop_task(request, worker, body);
        }
        else if (strcmp(uri, "/hold") == 0) {
            hold(request, worker, body);
        }
        else {
            reply(request, 404, json_object());
        }
    }
    json_decref(body);
}

static json_t *
entry_json(worker_t *worker)
{
    char rack[16];

    snprintf(rack, sizeof(rack), "r%d", worker->index / WORKERS_PER_RACK);
    return json_pack(
        "{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:I, s:I, s:{s:i, s:i, s:i}, "
        "s:[s, s]}",
        "service", "programme-app", "address", worker->address, "zone",
        "akl-a", "version", "v1", "slots", 8, "state", "ready",
        "coldRemainingMs", 0, "sequence", (json_int_t)++worker->sequence,
        "born", (json_int_t)worker->born_wall_ms, "capacity", "cpu",
        WORKER_CPU, "memMb", WORKER_MEMORY, "gpus", 0, "labels",
        worker->index < KIND_B_WORKERS ? "b" : "a", rack);
}

static void
write_entry(worker_t *worker)
{
    json_t *entry = entry_json(worker);
    char *text = json_dumps(entry, JSON_COMPACT);
    char key[64];

    snprintf(key, sizeof(key), "servers/%s", worker->id);
    put_text(key, text);
    worker->heartbeat_ms = now_ms();
    free(text);
    json_decref(entry);
}

static void
start_worker(worker_t *worker)
{
    worker->up = true;
    worker->born_wall_ms = clock_ms(CLOCK_REALTIME);
    worker->born_ms = now_ms();
    worker->server =
        serve(first_port + 3 + worker->index, handle_worker, worker,
              &worker->socket);
    write_entry(worker);
}

/* A process that is gone closes its connections and refuses new ones. */
static void
crash_worker(worker_t *worker)
{
    waiting_t **link = &waitings;

    record("crash worker=%s", worker->id);
    worker->up = false;
    while (*link != NULL) {
        waiting_t *waiting = *link;

        if (waiting->worker != worker->index) {
            link = &waiting->next;
            continue;
        }
        *link = waiting->next;
        free(waiting);
    }
    evhttp_free(worker->server);
    while (worker->runs != NULL) {
        run_t *run = worker->runs;
        char task[64];
        int64_t number = run->run;
        bool gang = run->gang > 0;

        copy(task, sizeof(task), run->task);
        worker->runs = run->next;
        free(run);
        if (gang) {
            end_members(task, number, "broken");
        }
    }
    while (worker->ends != NULL) {
        ended_t *end = worker->ends;

        worker->ends = end->next;
        free(end);
    }
    while (worker->pasts != NULL) {
        past_t *past = worker->pasts;

        worker->pasts = past->next;
        free(past);
    }
    worker->token = 0;
    worker->lease_end = 0;
    worker->last_number = 0;
    worker->sequence = 0;
}

/* --- Control ------------------------------------------------------------- */

/* Runs of a job; the free capacity of the workers that may run it, in tasks of
 * this size: those of kind b, or those that the advice service allows; and the share of all capacity in use. */
static json_t *
state_json(const char *job, int64_t cpu, bool advised, int first_workers)
{
    char step[64];
    int running = 0;
    int64_t fitting = 0;
    int64_t used = 0;

    snprintf(step, sizeof(step), "%s.0.0", job);
    for (int i = 0; i < worker_count; i++) {
        int64_t free_cpu = workers[i].up ? WORKER_CPU : 0;

        for (const run_t *run = workers[i].runs; run != NULL;
             run = run->next) {
            running += has_prefix(run->task, job);
            free_cpu -= run->cpu;
            used += run->cpu;
        }
        if (cpu > 0 && free_cpu > 0 && i < first_workers &&
            (!advised || is_allowed(step, &workers[i]))) {
            fitting += free_cpu / cpu;
        }
    }
    return json_pack("{s:i, s:I, s:I, s:I}", "running", running, "fitting",
                     (json_int_t)fitting, "usedPercent",
                     (json_int_t)(used * 100 / WORKER_CPU / worker_count),
                     "overCapacity", (json_int_t)over_capacity);
}

/* The worker that runs a task of a job; -1: none. */
static int
worker_of(const char *job)
{
    for (int i = 0; i < worker_count; i++) {
        for (const run_t *run = workers[i].runs; run != NULL;
             run = run->next) {
            if (has_prefix(run->task, job)) {
                return i;
            }
        }
    }
    return -1;
}

static void
handle_control(struct evhttp_request *request, void *context)
{
    const char *uri = evhttp_request_get_uri(request);
    json_t *body = read_body(request);
    int index = (int)get_int(body, "worker");

    (void)context;
    if (index < 0 || index >= worker_count) {
        reply(request, 400, json_object());
    }
    else if (strcmp(uri, "/state") == 0) {
        reply(request, 200,
              state_json(get_text(body, "job"), get_int(body, "cpu"),
                         get_int(body, "kind-b") == 0,
                         get_int(body, "kind-b") != 0 ? KIND_B_WORKERS
                                                      : worker_count));
    }
    else if (strcmp(uri, "/worker-of") == 0) {
        reply(request, 200,
              json_pack("{s:i}", "worker", worker_of(get_text(body, "job"))));
    }
    else if (strcmp(uri, "/fail") == 0) {
        record("worker=%s fails all that it starts for %" PRId64 " ms",
               workers[index].id, get_int(body, "ms"));
        workers[index].fails_until_ms = now_ms() + get_int(body, "ms");
        reply(request, 200, json_object());
    }
    else if (strcmp(uri, "/crash") == 0) {
        crash_worker(&workers[index]);
        reply(request, 200, json_object());
    }
    else if (strcmp(uri, "/start") == 0) {
        record("start of the process of worker=%s", workers[index].id);
        start_worker(&workers[index]);
        reply(request, 200, json_object());
    }
    else if (strcmp(uri, "/foreign") == 0) {
        /* Another writer's entry under the id of a worker. */
        json_t *entry = entry_json(&workers[index]);

        json_object_del(entry, get_text(body, "without"));
        json_object_update(entry, json_object_get(body, "with"));
        free(workers[index].foreign);
        workers[index].foreign = json_dumps(entry, JSON_COMPACT);
        workers[index].beats = 0;
        json_decref(entry);
        reply(request, 200, json_object());
    }
    else {
        reply(request, 404, json_object());
    }
    json_decref(body);
}

/* --- Time ---------------------------------------------------------------- */

static void
answer_waiting(void)
{
    waiting_t **link = &waitings;

    while (*link != NULL) {
        waiting_t *waiting = *link;
        bool due = waiting->until_ms <= now_ms();
        json_t *answer = NULL;

        if (waiting->worker >= 0) {
            worker_t *worker = &workers[waiting->worker];

            if (due || worker->ends != NULL) {
                answer = report(worker);
            }
        }
        else if (due || waiting->after < revision) {
            json_t *list = events(waiting->prefix, waiting->after);

            if (due || json_array_size(list) > 0) {
                answer = json_pack("{s:o, s:I}", "events", list, "at",
                                   (json_int_t)revision);
            }
            else {
                json_decref(list);
            }
        }
        if (answer == NULL) {
            link = &waiting->next;
            continue;
        }
        *link = waiting->next;
        reply(waiting->request, 200, answer);
        free(waiting);
    }
}

static void
write_foreign_entry(worker_t *worker)
{
    char key[64];

    snprintf(key, sizeof(key), "servers/%s", worker->id);
    put_text(key, worker->foreign);
    record("another writer's entry %s %s", key, worker->foreign);
    free(worker->foreign);
    worker->foreign = NULL;
}

static void
tick(evutil_socket_t fd, short what, void *context)
{
    int64_t now = now_ms();

    (void)fd;
    (void)what;
    (void)context;
    for (lease_t *lease = leases; lease != NULL;) {
        lease_t *next = lease->next;

        if (lease->ends_ms <= now) {
            end_lease(lease->id);
        }
        lease = next;
    }
    for (int i = 0; i < worker_count; i++) {
        worker_t *worker = &workers[i];
        char key[64];

        while (worker->up && end_due_run(worker)) {
        }
        if (worker->up && now - worker->heartbeat_ms >= HEARTBEAT_MS) {
            write_entry(worker);
            worker->beats++;
        }
        if (worker->foreign != NULL && worker->beats > 0 &&
            now - worker->heartbeat_ms >= FOREIGN_AFTER_MS) {
            write_foreign_entry(worker);
        }
        snprintf(key, sizeof(key), "servers/%s", worker->id);
        if (!worker->up && find_item(key) != NULL &&
            now - worker->heartbeat_ms >= HEARTBEATS_MISSED * HEARTBEAT_MS) {
            revision++;
            remove_item(key);
        }
    }
    answer_waiting();
}

static void
write_config(void)
{
    put_text("op/config",
             "{\"version\":7,\"routes\":["
             "{\"name\":\"programme-rebuild\",\"host\":\"nony24.example\","
             "\"prefix\":\"/rebuild/\",\"service\":\"programme-app\","
             "\"kind\":\"non_idempotent\",\"priority\":1,\"maxAttempts\":2,"
             "\"stretch\":2.2,\"targetLatencyMs\":1200,\"recommendation\":{"
             "\"decisionMs\":10,\"perWorkerMs\":0,\"validityMs\":2500}},"
             "{\"name\":\"agenda-export\",\"host\":\"nony24.example\","
             "\"prefix\":\"/export/\",\"service\":\"programme-app\","
             "\"kind\":\"non_idempotent\",\"priority\":2,\"maxAttempts\":4,"
             "\"stretch\":4.0,\"targetLatencyMs\":3000}],"
             "\"services\":[{\"name\":\"programme-app\","
             "\"enforceCapacity\":false}],\"limits\":{}}");
}

int
main(int argc, char **argv)
{
    struct timeval interval = {.tv_usec = TICK_MS * 1000};
    struct event *timer;

    if (argc != 5) {
        fprintf(stderr, "usage: cell PORT WORKERS RECORD EPOCH_MS\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    first_port = atoi(argv[1]);
    worker_count = atoi(argv[2]);
    record_file = fopen(argv[3], "a");
    epoch_ms = strtoll(argv[4], NULL, 10);
    base = event_base_new();
    if (record_file == NULL || base == NULL || worker_count < 1 ||
        worker_count > WORKERS_MAX) {
        return 2;
    }
    write_config();
    serve(first_port, handle_store, NULL, NULL);
    serve(first_port + 1, handle_advice, NULL, NULL);
    for (int i = 0; i < worker_count; i++) {
        workers[i].index = i;
        snprintf(workers[i].id, sizeof(workers[i].id), "w%d", i);
        snprintf(workers[i].address, sizeof(workers[i].address),
                 "127.0.0.1:%d", first_port + 3 + i);
        start_worker(&workers[i]);
    }
    serve(first_port + 2, handle_control, NULL, NULL);
    timer = event_new(base, -1, EV_PERSIST, tick, NULL);
    event_add(timer, &interval);
    event_base_dispatch(base);
    return 0;
}
