/*
 * Fake of the platform: a key-value store that implements a subset of the etcd
 * v3 JSON gateway, and the host list. Faults are injected over a control port.
 */

#include "fake-server.h"
#include "fireflyvalve.h"
#include "fake-host-list.h"
#include "kv-store.h"

#include <errno.h>
#include <pthread.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Each host has at most 64 requests in flight, and a watch. */
#define PLATFORM_THREADS 256
#define PLATFORM_CONTROL_THREADS 4
/* How often leases are checked for expiry. */
#define PLATFORM_EXPIRY_CHECK_MS 20
/* How often an idle watch checks whether its client has disconnected. */
#define PLATFORM_WATCH_POLL_MS 50

typedef enum store_mode { STORE_UP, STORE_DOWN, STORE_SLOW } store_mode_t;

typedef enum call_kind {
    CALL_RANGE,
    CALL_PUT,
    CALL_DELETE_RANGE,
    CALL_TXN,
    CALL_LEASE,
    CALL_WATCH,
    CALL_LIST,
    CALL_KIND_COUNT
} call_kind_t;

static const char *const kind_names[CALL_KIND_COUNT] = {
    "range", "put",           "delete_range", "txn",
    "lease", "watch_started", "list_reads"};

typedef struct platform {
    pthread_mutex_t lock;
    pthread_cond_t store_changed;
    kv_store_t *store;
    fake_host_list_t *hosts;
    const char *hosts_file;
    store_mode_t mode;
    int64_t slow_ms;
    int64_t answers_to_lose; /* of the next writes */
    int64_t writes_to_delay;
    int64_t write_delay_ms;
    int64_t watch_delay_ms;
    int64_t calls[CALL_KIND_COUNT];
    int64_t watches_waiting;
    int64_t answers_lost;
    int64_t refused;
} platform_t;

typedef struct store_path {
    const char *path;
    call_kind_t kind;
    kv_call_t call; /* NULL: watch */
} store_path_t;

static const store_path_t store_paths[] = {
    {"/v3/kv/range", CALL_RANGE, FvKvApi_Range},
    {"/v3/kv/put", CALL_PUT, FvKvApi_Put},
    {"/v3/kv/deleterange", CALL_DELETE_RANGE, FvKvApi_DeleteRange},
    {"/v3/kv/txn", CALL_TXN, FvKvApi_Txn},
    {"/v3/lease/grant", CALL_LEASE, FvKvApi_Grant},
    {"/v3/lease/keepalive", CALL_LEASE, FvKvApi_KeepAlive},
    {"/v3/lease/revoke", CALL_LEASE, FvKvApi_Revoke},
    {"/v3/kv/lease/revoke", CALL_LEASE, FvKvApi_Revoke},
    {"/v3/lease/timetolive", CALL_LEASE, FvKvApi_TimeToLive},
    {"/v3/watch", CALL_WATCH, NULL},
};

/* True when either branch of a transaction contains a write. */
static bool
txn_writes(const json_t *txn)
{
    static const char *const branches[] = {"success", "failure"};

    for (size_t b = 0; b < 2; b++) {
        const json_t *operation;
        size_t i;

        json_array_foreach(json_object_get(txn, branches[b]), i, operation)
        {
            const json_t *nested = json_object_get(operation, "request_txn");

            if (json_object_get(operation, "request_put") != NULL ||
                json_object_get(operation, "request_delete_range") != NULL ||
                (nested != NULL && txn_writes(nested))) {
                return true;
            }
        }
    }
    return false;
}

/* Lease requests do not count as writes: a fault that a test injects into the
 * next write must not hit a lease renewal instead. */
static bool
is_write(call_kind_t kind, const json_t *body)
{
    return kind == CALL_PUT || kind == CALL_DELETE_RANGE ||
           (kind == CALL_TXN && txn_writes(body));
}

/* Returns true and uses up one delayed write when this write is delayed. */
static bool
consume_write_delay_locked(platform_t *platform, bool write, int64_t *delay_ms)
{
    *delay_ms = platform->mode == STORE_SLOW ? platform->slow_ms : 0;
    if (!write || platform->writes_to_delay == 0) {
        return false;
    }
    platform->writes_to_delay--;
    *delay_ms = platform->write_delay_ms;
    return true;
}

static bool
consume_answer_loss_locked(platform_t *platform, bool wrote)
{
    if (!wrote || platform->answers_to_lose == 0) {
        return false;
    }
    platform->answers_to_lose--;
    platform->answers_lost++;
    return true;
}

static json_t *
error_body(const kv_error_t *error)
{
    return json_pack("{s:s, s:i, s:s}", "error", error->message, "code",
                     error->code, "message", error->message);
}

/* Executes a request; *lost tells whether its response is dropped. */
static json_t *
apply_locked(platform_t *platform, const store_path_t *path,
             const json_t *body, kv_error_t *error, bool *lost)
{
    int64_t before = platform->store->revision;
    json_t *reply = path->call(platform->store, body, FvClock_NowMs(), error);
    bool wrote = platform->store->revision != before;

    if (wrote) {
        pthread_cond_broadcast(&platform->store_changed);
    }
    *lost = consume_answer_loss_locked(platform,
                                       wrote && path->kind != CALL_LEASE);
    *lost |= platform->mode == STORE_DOWN;
    return reply;
}

static void
run_call(platform_t *platform, fake_request_t *request,
         const store_path_t *path, const json_t *body)
{
    kv_error_t error = {0};
    json_t *reply = NULL;
    bool lost = false;
    bool delayed;
    int64_t delay_ms;

    pthread_mutex_lock(&platform->lock);
    delayed = consume_write_delay_locked(platform, is_write(path->kind, body),
                                         &delay_ms);
    pthread_mutex_unlock(&platform->lock);
    FvFake_SleepMs(delay_ms);
    pthread_mutex_lock(&platform->lock);
    if (platform->mode == STORE_DOWN && !delayed) {
        lost = true;
    }
    else {
        reply = apply_locked(platform, path, body, &error, &lost);
    }
    pthread_mutex_unlock(&platform->lock);
    if (lost) {
        json_decref(reply);
        FvFake_Drop(request);
    }
    else if (reply == NULL) {
        FvFake_ReplyJson(request, error.status, error_body(&error));
    }
    else {
        FvFake_ReplyJson(request, 200, reply);
    }
}

typedef struct watch {
    platform_t *platform;
    fake_request_t *request;
    kv_range_t range;
    uint64_t next_event;
    bool compacted;
} watch_t;

static bool
send_line(fake_request_t *request, json_t *message)
{
    char *text = json_dumps(message, JSON_COMPACT);
    char *line = NULL;
    int length;
    int sent;

    json_decref(message);
    length = asprintf(&line, "%s\n", text);
    free(text);
    if (length < 0) {
        abort();
    }
    sent = mg_send_chunk(request->connection, line, (unsigned)length);
    free(line);
    return sent > 0;
}

static json_t *
event_json(const kv_event_t *event)
{
    json_t *object =
        json_pack("{s:o}", "kv", FvKvApi_EncodeEntry(&event->entry, true));

    if (event->deleted) {
        json_object_set_new(object, "type", json_string("DELETE"));
    }
    return object;
}

/* Returns the events of the next revision that changes a key of the range, if
 * their delay has passed. */
static json_t *
next_events_locked(watch_t *watch, int64_t now_ms)
{
    const kv_store_t *store = watch->platform->store;
    json_t *events = json_array();
    int64_t revision = 0;

    while (watch->next_event < store->next_event) {
        const kv_event_t *event = FvKv_GetEvent(store, watch->next_event);

        if (event->written_ms + watch->platform->watch_delay_ms > now_ms ||
            (json_array_size(events) > 0 &&
             event->entry.mod_revision != revision)) {
            break;
        }
        if (FvKv_InRange(&watch->range, &event->entry.key)) {
            revision = event->entry.mod_revision;
            json_array_append_new(events, event_json(event));
        }
        watch->next_event++;
    }
    return events;
}

static json_t *
next_message_locked(watch_t *watch)
{
    const kv_store_t *store = watch->platform->store;
    json_t *events;

    if (watch->next_event < store->first_event) {
        watch->compacted = true;
        return json_pack(
            "{s:{s:o, s:b, s:o}}", "result", "header",
            FvKvApi_EncodeHeader(store), "canceled", 1, "compact_revision",
            json_sprintf("%lld", (long long)store->compacted_revision));
    }
    events = next_events_locked(watch, FvClock_NowMs());
    if (json_array_size(events) == 0) {
        json_decref(events);
        return NULL;
    }
    return json_pack("{s:{s:o, s:o}}", "result", "header",
                     FvKvApi_EncodeHeader(store), "events", events);
}

static void
wait_for_change_locked(platform_t *platform)
{
    struct timespec until;

    clock_gettime(CLOCK_MONOTONIC, &until);
    until.tv_nsec += PLATFORM_WATCH_POLL_MS * Fv_NS_PER_MS;
    if (until.tv_nsec >= Fv_NS_PER_S) {
        until.tv_sec++;
        until.tv_nsec -= Fv_NS_PER_S;
    }
    pthread_cond_timedwait(&platform->store_changed, &platform->lock, &until);
}

/* Streams until the client disconnects, the store goes down or the history is
 * compacted. */
static void
stream_events(watch_t *watch)
{
    platform_t *platform = watch->platform;
    bool open = true;

    while (open && !watch->compacted) {
        json_t *message;
        bool down;

        pthread_mutex_lock(&platform->lock);
        message = next_message_locked(watch);
        if (message == NULL && platform->mode != STORE_DOWN) {
            wait_for_change_locked(platform);
        }
        down = platform->mode == STORE_DOWN;
        pthread_mutex_unlock(&platform->lock);
        if (message != NULL && !down) {
            open = send_line(watch->request, message);
        }
        else {
            json_decref(message);
        }
        open = open && !down && !FvFake_ClientClosed(watch->request);
    }
}

static bool
start_watch_locked(watch_t *watch, const json_t *create)
{
    const kv_store_t *store = watch->platform->store;
    int64_t revision = FvKvApi_ReadInt(create, "start_revision", 0);

    if (watch->platform->mode == STORE_DOWN) {
        return false;
    }
    watch->next_event = store->next_event;
    if (revision > 0) {
        watch->next_event = FvKv_FirstEventFrom(store, revision);
    }
    if (revision > 0 && revision < store->compacted_revision) {
        watch->next_event = store->first_event - 1;
    }
    watch->platform->watches_waiting++;
    return true;
}

static bool
send_watch_head(watch_t *watch, int64_t revision)
{
    mg_printf(watch->request->connection,
              "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
              "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n");
    return send_line(
        watch->request,
        json_pack("{s:{s:{s:o}, s:b}}", "result", "header", "revision",
                  json_sprintf("%lld", (long long)revision), "created", 1));
}

static void
run_watch(platform_t *platform, fake_request_t *request, const json_t *body)
{
    const json_t *create = json_object_get(body, "create_request");
    watch_t watch = {.platform = platform, .request = request};
    kv_error_t error = {0};
    int64_t revision;
    bool started;

    if (!FvKvApi_ParseRange(create, &watch.range, &error)) {
        FvFake_ReplyJson(request, error.status, error_body(&error));
        goto out;
    }
    pthread_mutex_lock(&platform->lock);
    started = start_watch_locked(&watch, create);
    revision = platform->store->revision;
    pthread_mutex_unlock(&platform->lock);
    if (started) {
        if (send_watch_head(&watch, revision)) {
            stream_events(&watch);
        }
        pthread_mutex_lock(&platform->lock);
        platform->watches_waiting--;
        pthread_mutex_unlock(&platform->lock);
    }
    FvFake_Drop(request);
out:
    FvKvApi_FreeRange(&watch.range);
}

static void
run_store_path(platform_t *platform, fake_request_t *request,
               const store_path_t *path)
{
    static const kv_error_t malformed = {400, 3, "malformed JSON"};
    json_t *body = FvFake_BodyJson(request);
    bool down;

    pthread_mutex_lock(&platform->lock);
    platform->calls[path->kind]++;
    down = platform->mode == STORE_DOWN;
    platform->refused += down;
    pthread_mutex_unlock(&platform->lock);
    if (down) {
        FvFake_Drop(request);
    }
    else if (body == NULL) {
        FvFake_ReplyJson(request, malformed.status, error_body(&malformed));
    }
    else if (path->call == NULL) {
        run_watch(platform, request, body);
    }
    else {
        run_call(platform, request, path, body);
    }
    json_decref(body);
}

static void
serve_host_list(platform_t *platform, fake_request_t *request)
{
    char viewer[Fv_NAME_SIZE] = "";
    json_t *list;

    if (request->query != NULL) {
        mg_get_var(request->query, strlen(request->query), "viewer", viewer,
                   sizeof(viewer));
    }
    pthread_mutex_lock(&platform->lock);
    platform->calls[CALL_LIST]++;
    list = FvFakeHostList_Read(platform->hosts, viewer, FvClock_NowMs());
    pthread_mutex_unlock(&platform->lock);
    FvFake_ReplyJson(request, 200, list);
}

static void
handle_client(fake_request_t *request, void *context)
{
    platform_t *platform = context;
    size_t count = sizeof(store_paths) / sizeof(store_paths[0]);

    if (FvFake_RequestIs(request, "GET", "/hosts")) {
        serve_host_list(platform, request);
        return;
    }
    for (size_t i = 0; i < count; i++) {
        if (FvFake_RequestIs(request, "POST", store_paths[i].path)) {
            run_store_path(platform, request, &store_paths[i]);
            return;
        }
    }
    FvFake_ReplyError(request, 404, "unknown path");
}

static bool
set_mode_locked(platform_t *platform, const json_t *body)
{
    const char *mode = json_string_value(json_object_get(body, "mode"));

    if (mode == NULL) {
        return false;
    }
    if (strcmp(mode, "up") == 0) {
        platform->mode = STORE_UP;
    }
    else if (strcmp(mode, "down") == 0) {
        platform->mode = STORE_DOWN;
    }
    else if (strcmp(mode, "slow") == 0) {
        platform->mode = STORE_SLOW;
        platform->slow_ms = FvKvApi_ReadInt(body, "delay_ms", 0);
    }
    else {
        return false;
    }
    pthread_cond_broadcast(&platform->store_changed);
    return true;
}

static bool
lose_answers_locked(platform_t *platform, const json_t *body)
{
    platform->answers_to_lose = FvKvApi_ReadInt(body, "count", 1);
    return true;
}

static bool
delay_writes_locked(platform_t *platform, const json_t *body)
{
    platform->writes_to_delay = FvKvApi_ReadInt(body, "count", 1);
    platform->write_delay_ms = FvKvApi_ReadInt(body, "delay_ms", 0);
    return true;
}

static bool
delay_watch_locked(platform_t *platform, const json_t *body)
{
    platform->watch_delay_ms = FvKvApi_ReadInt(body, "delay_ms", 0);
    return true;
}

static bool
replace_hosts_locked(platform_t *platform, const json_t *body)
{
    return FvFakeHostList_Replace(platform->hosts, json_deep_copy(body),
                                  FvClock_NowMs());
}

static bool
reload_hosts_locked(platform_t *platform, const json_t *body)
{
    json_t *document = json_load_file(platform->hosts_file, 0, NULL);

    (void)body;
    return FvFakeHostList_Replace(platform->hosts, document, FvClock_NowMs());
}

static bool
set_host_state_locked(platform_t *platform, const json_t *body)
{
    const char *name = json_string_value(json_object_get(body, "name"));
    const char *state = json_string_value(json_object_get(body, "state"));

    return name != NULL && state != NULL &&
           (strcmp(state, "live") == 0 || strcmp(state, "leaving") == 0 ||
            strcmp(state, "gone") == 0) &&
           FvFakeHostList_SetState(platform->hosts, name, state,
                                   FvClock_NowMs());
}

typedef struct control_path {
    const char *path;
    bool (*run_locked)(platform_t *platform, const json_t *body);
} control_path_t;

static const control_path_t control_paths[] = {
    {"/store", set_mode_locked},
    {"/store/lose_answers", lose_answers_locked},
    {"/store/delay_writes", delay_writes_locked},
    {"/store/delay_watch", delay_watch_locked},
    {"/hosts", replace_hosts_locked},
    {"/hosts/reload", reload_hosts_locked},
    {"/hosts/state", set_host_state_locked},
};

static json_t *
counts_json(platform_t *platform)
{
    json_t *counts = json_object();

    pthread_mutex_lock(&platform->lock);
    for (size_t i = 0; i < CALL_KIND_COUNT; i++) {
        json_object_set_new(counts, kind_names[i],
                            json_integer(platform->calls[i]));
    }
    json_object_set_new(counts, "watches_waiting",
                        json_integer(platform->watches_waiting));
    json_object_set_new(counts, "answers_lost",
                        json_integer(platform->answers_lost));
    json_object_set_new(counts, "refused", json_integer(platform->refused));
    pthread_mutex_unlock(&platform->lock);
    return counts;
}

static json_t *
dump_json(platform_t *platform)
{
    json_t *dump;

    pthread_mutex_lock(&platform->lock);
    dump = FvKvApi_Dump(platform->store);
    pthread_mutex_unlock(&platform->lock);
    return dump;
}

static void
run_control(platform_t *platform, fake_request_t *request,
            const control_path_t *path)
{
    json_t *body =
        request->body_length > 0 ? FvFake_BodyJson(request) : json_object();
    bool valid = false;

    if (body != NULL) {
        pthread_mutex_lock(&platform->lock);
        valid = path->run_locked(platform, body);
        pthread_mutex_unlock(&platform->lock);
    }
    json_decref(body);
    if (valid) {
        FvFake_ReplyJson(request, 200, json_object());
    }
    else {
        FvFake_ReplyError(request, 400, "invalid body");
    }
}

static void
handle_control(fake_request_t *request, void *context)
{
    platform_t *platform = context;
    size_t count = sizeof(control_paths) / sizeof(control_paths[0]);

    if (FvFake_RequestIs(request, "GET", "/counts")) {
        FvFake_ReplyJson(request, 200, counts_json(platform));
        return;
    }
    if (FvFake_RequestIs(request, "GET", "/dump")) {
        FvFake_ReplyJson(request, 200, dump_json(platform));
        return;
    }
    for (size_t i = 0; i < count; i++) {
        if (FvFake_RequestIs(request, "POST", control_paths[i].path)) {
            run_control(platform, request, &control_paths[i]);
            return;
        }
    }
    FvFake_ReplyError(request, 404, "unknown path");
}

static void *
expire_leases(void *context)
{
    platform_t *platform = context;

    for (;;) {
        FvFake_SleepMs(PLATFORM_EXPIRY_CHECK_MS);
        pthread_mutex_lock(&platform->lock);
        if (FvKv_ExpireLeases(platform->store, FvClock_NowMs())) {
            pthread_cond_broadcast(&platform->store_changed);
        }
        pthread_mutex_unlock(&platform->lock);
    }
    return NULL;
}

static bool
open_platform(platform_t *platform, const char *hosts_file, int64_t lag_ms)
{
    pthread_condattr_t attr;
    json_t *document = json_pack("{s:[]}", "hosts");

    pthread_condattr_init(&attr);
    pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
    pthread_mutex_init(&platform->lock, NULL);
    pthread_cond_init(&platform->store_changed, &attr);
    platform->store = FvKv_New();
    platform->hosts = FvFakeHostList_New(lag_ms);
    platform->hosts_file = hosts_file;
    if (hosts_file != NULL) {
        json_decref(document);
        document = json_load_file(hosts_file, 0, NULL);
    }
    return FvFakeHostList_Replace(platform->hosts, document, FvClock_NowMs());
}

static int
run_platform(platform_t *platform, const char *listen, const char *control)
{
    pthread_t expiry;

    if (pthread_create(&expiry, NULL, expire_leases, platform) != 0) {
        return 1;
    }
    if (FvFakeServer_Start(listen, PLATFORM_THREADS, handle_client,
                           platform) == NULL ||
        FvFakeServer_Start(control, PLATFORM_CONTROL_THREADS, handle_control,
                           platform) == NULL) {
        return 1;
    }
    FvFakeServer_RunUntilSignal();
    return 0;
}

int
main(int argc, char **argv)
{
    static platform_t platform;
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_str *listen =
        arg_str1(NULL, "listen", "IP:PORT", "store and host list");
    struct arg_str *control =
        arg_str1(NULL, "control", "IP:PORT", "fault injection and counts");
    struct arg_file *hosts =
        arg_file0(NULL, "hosts", "FILE", "host list document (JSON)");
    struct arg_int *lag = arg_int0(NULL, "list-lag-ms", "N",
                                   "delay before a list change is visible");
    struct arg_end *end = arg_end(8);
    void *table[] = {help, listen, control, hosts, lag, end};
    int code = FvFake_ParseArguments(
        argc, argv, table, help,
        "Test double of the platform's store and host list.");

    if (code >= 0) {
        return code;
    }
    if (sodium_init() < 0 ||
        !open_platform(&platform, hosts->count > 0 ? hosts->filename[0] : NULL,
                       lag->count > 0 ? lag->ival[0] : 0)) {
        fprintf(stderr, "%s: cannot read the host list\n", argv[0]);
        return 1;
    }
    return run_platform(&platform, listen->sval[0], control->sval[0]);
}
