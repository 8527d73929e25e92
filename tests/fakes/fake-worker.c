/*
 * Fake of one or many workers: serves the workers' HTTP API from one process.
 */

#include "fake-server.h"
#include "fake-worker-set.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* The 64 connections of two workers, and spare ones. No more, because a test
 * program runs dozens of these processes and a machine has at most 32,768
 * threads by default. */
#define WORKER_THREADS 160
#define WORKER_HANG_POLL_MS 20
#define WORKER_RETENTION_MS (10 * 60 * 1000)
#define WORKER_CPU_MILLIS 32000
#define WORKER_MEMORY_BYTES "137438953472"
#define WORKER_SLOTS 8
#define WORKER_CONNECTIONS 64
#define WORKER_USAGE_LAG_MS 1000
#define WORKER_TTL_STOP_MS 2000

/* A request to a worker; path is relative to the worker's base URL. */
typedef struct worker_call {
    fake_request_t *request;
    fake_worker_t *worker;
    const char *path;
    char id[Fv_TASK_ID_SIZE];
} worker_call_t;

static void
reply_lease(worker_call_t *call,
            json_t *(*run)(fake_worker_t *, const json_t *, int *))
{
    json_t *body = FvFake_BodyJson(call->request);
    json_t *reply;
    int status;

    if (body == NULL) {
        FvFake_ReplyError(call->request, 400, "malformed JSON");
        return;
    }
    reply = run(call->worker, body, &status);
    json_decref(body);
    FvFake_ReplyJson(call->request, status, reply);
}

static void
run_lease(worker_call_t *call)
{
    reply_lease(call, FvFakeWorker_Lease);
}

static void
run_release(worker_call_t *call)
{
    reply_lease(call, FvFakeWorker_Release);
}

static void
copy_field(const json_t *body, const char *name, char *target, size_t size)
{
    const char *text = json_string_value(json_object_get(body, name));

    snprintf(target, size, "%s", text != NULL ? text : "");
}

static bool
read_program(const json_t *body, task_program_t *program)
{
    const json_t *field = json_object_get(body, "payload_base64");
    const char *text = json_string_value(field);
    size_t size = json_string_length(field);
    uint8_t *payload = malloc(size + 1);
    size_t length = 0;
    bool valid;

    if (payload == NULL) {
        abort();
    }
    valid = text == NULL ||
            sodium_base642bin(payload, size + 1, text, size, NULL, &length,
                              NULL, sodium_base64_VARIANT_ORIGINAL) == 0;
    if (valid) {
        FvTaskProgram_Parse(program, payload, length);
    }
    free(payload);
    return valid;
}

static bool
is_task_id(const char *text)
{
    size_t length = strspn(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                 "abcdefghijklmnopqrstuvwxyz"
                                 "0123456789._:-");

    return length > 0 && length < Fv_TASK_ID_SIZE && text[length] == 0;
}

static bool
read_start(const json_t *body, fake_task_start_t *start)
{
    const char *id = json_string_value(json_object_get(body, "id"));
    const char *on_lapse =
        json_string_value(json_object_get(body, "on_lapse"));

    if (id == NULL || !is_task_id(id) ||
        !read_program(body, &start->program)) {
        return false;
    }
    snprintf(start->id, sizeof(start->id), "%s", id);
    copy_field(body, "home", start->home_host, sizeof(start->home_host));
    copy_field(body, "member", start->member, sizeof(start->member));
    copy_field(body, "workload", start->workload, sizeof(start->workload));
    copy_field(body, "class", start->class_name, sizeof(start->class_name));
    start->term = (uint64_t)json_integer_value(json_object_get(body, "term"));
    start->wait_ms = json_integer_value(json_object_get(body, "wait_ms"));
    start->stop_on_expiry = on_lapse != NULL && strcmp(on_lapse, "stop") == 0;
    FvRecord_ResourcesFromJson(json_object_get(body, "size"), &start->size);
    /* A task uses at least one slot. */
    if (start->size.slots < 1) {
        start->size.slots = 1;
    }
    return true;
}

static void
reply_result(worker_call_t *call, fake_task_result_t *result)
{
    char headers[256];

    if (result->state == FAKE_TASK_RUNNING) {
        FvFake_ReplyJson(call->request, 202,
                         json_pack("{s:s, s:I}", "state", "running", "ran_ms",
                                   (json_int_t)result->ran_ms));
        return;
    }
    snprintf(headers, sizeof(headers),
             "Task-State: %s\r\nTask-Ran-Ms: %lld\r\n"
             "Task-Cpu-Millis: %lld\r\nTask-Memory-Bytes: %lld\r\n",
             FvFakeTask_StateName(result->state), (long long)result->ran_ms,
             (long long)result->used.cpu_millis,
             (long long)result->used.memory_bytes);
    FvFake_Reply(call->request, 200, "application/octet-stream", headers,
                 result->answer, result->answer_length);
    free(result->answer);
}

static void
run_start(worker_call_t *call)
{
    json_t *body = FvFake_BodyJson(call->request);
    fake_task_start_t start = {0};
    fake_task_result_t result;

    if (body == NULL || !read_start(body, &start)) {
        FvFake_ReplyError(call->request, 400, "malformed start");
        json_decref(body);
        return;
    }
    json_decref(body);
    FvFakeWorker_StartTask(call->worker, &start, &result);
    FvTaskProgram_Free(&start.program);
    if (result.refusal != NULL) {
        int status = strcmp(result.refusal, "no_capacity") == 0 ? 503 : 409;

        FvFake_ReplyError(call->request, status, result.refusal);
        return;
    }
    reply_result(call, &result);
}

static void
run_list(worker_call_t *call)
{
    FvFake_ReplyJson(call->request, 200, FvFakeWorker_ListTasks(call->worker));
}

static void
run_query(worker_call_t *call)
{
    FvFake_ReplyJson(call->request, 200,
                     FvFakeWorker_QueryTask(call->worker, call->id));
}

static void
run_answer(worker_call_t *call)
{
    fake_task_result_t result;

    FvFakeWorker_FetchAnswer(call->worker, call->id, &result);
    if (result.refusal != NULL) {
        FvFake_ReplyError(call->request, 404, result.refusal);
        return;
    }
    reply_result(call, &result);
}

static void
reply_task(worker_call_t *call, json_t *task)
{
    if (task == NULL) {
        FvFake_ReplyError(call->request, 404, "unknown task");
    }
    else {
        FvFake_ReplyJson(call->request, 200, task);
    }
}

static void
run_stop(worker_call_t *call)
{
    reply_task(call, FvFakeWorker_StopTask(call->worker, call->id));
}

static void
run_checkpoint(worker_call_t *call)
{
    reply_task(call, FvFakeWorker_CheckpointTask(call->worker, call->id));
}

static void
run_throttle(worker_call_t *call)
{
    json_t *body = FvFake_BodyJson(call->request);
    const json_t *percent = json_object_get(body, "percent");
    json_int_t value = json_integer_value(percent);

    if (!json_is_integer(percent) || value < 0 || value > 100) {
        FvFake_ReplyError(call->request, 400, "percent must be 0 to 100");
    }
    else {
        reply_task(call, FvFakeWorker_ThrottleTask(call->worker, call->id,
                                                   (int)value));
    }
    json_decref(body);
}

/* A task path is /v1/tasks/ID followed by a suffix. */
typedef struct worker_path {
    const char *method;
    const char *path;   /* the whole path; NULL: a task path */
    const char *suffix; /* of a task path */
    void (*run)(worker_call_t *call);
} worker_path_t;

static const worker_path_t worker_paths[] = {
    {"POST", "/v1/lease", NULL, run_lease},
    {"POST", "/v1/lease/release", NULL, run_release},
    {"POST", "/v1/tasks", NULL, run_start},
    {"GET", "/v1/tasks", NULL, run_list},
    {"GET", NULL, "", run_query},
    {"GET", NULL, "/answer", run_answer},
    {"POST", NULL, "/stop", run_stop},
    {"POST", NULL, "/checkpoint", run_checkpoint},
    {"POST", NULL, "/throttle", run_throttle},
};
#define WORKER_PATH_COUNT (sizeof(worker_paths) / sizeof(worker_paths[0]))

static int64_t call_counts[WORKER_PATH_COUNT];

static const char *const call_names[WORKER_PATH_COUNT] = {
    "lease",  "release", "start",      "list",    "query",
    "answer", "stop",    "checkpoint", "throttle"};

static bool
matches_task_path(worker_call_t *call, const char *suffix)
{
    static const char prefix[] = "/v1/tasks/";
    const char *id = call->path + sizeof(prefix) - 1;
    size_t length;

    if (strncmp(call->path, prefix, sizeof(prefix) - 1) != 0) {
        return false;
    }
    length = strcspn(id, "/");
    if (length == 0 || length >= sizeof(call->id) ||
        strcmp(id + length, suffix) != 0) {
        return false;
    }
    snprintf(call->id, sizeof(call->id), "%.*s", (int)length, id);
    return is_task_id(call->id);
}

static bool
matches_path(worker_call_t *call, const worker_path_t *path)
{
    if (strcmp(call->request->method, path->method) != 0) {
        return false;
    }
    if (path->path != NULL) {
        return strcmp(call->path, path->path) == 0;
    }
    return matches_task_path(call, path->suffix);
}

static void
run_call(worker_call_t *call)
{
    for (size_t i = 0; i < WORKER_PATH_COUNT; i++) {
        if (matches_path(call, &worker_paths[i])) {
            __atomic_add_fetch(&call_counts[i], 1, __ATOMIC_RELAXED);
            worker_paths[i].run(call);
            return;
        }
    }
    FvFake_ReplyError(call->request, 404, "unknown path");
}

/* A hanging worker executes its requests when it recovers, except those whose
 * client has disconnected. */
static bool
wait_while_hanging(worker_call_t *call)
{
    while (FvFakeWorker_GetMode(call->worker) == FAKE_WORKER_HANG) {
        if (FvFake_ClientClosed(call->request)) {
            return false;
        }
        FvFake_SleepMs(WORKER_HANG_POLL_MS);
    }
    return true;
}

static void
serve_worker(fake_request_t *request, fake_worker_t *worker, const char *path)
{
    worker_call_t call = {.request = request, .worker = worker, .path = path};

    if (!FvFakeWorker_OpenConnection(worker)) {
        FvFake_ReplyError(request, 503, "no_connections");
        return;
    }
    if (wait_while_hanging(&call)) {
        run_call(&call);
    }
    else {
        FvFake_Drop(request);
    }
    FvFakeWorker_CloseConnection(worker);
}

static bool
parse_mode(const char *name, fake_worker_mode_t *mode)
{
    static const char *const names[] = {"up", "fail_all", "hang", "leaving"};

    for (int i = 0; name != NULL && i < 4; i++) {
        if (strcmp(name, names[i]) == 0) {
            *mode = (fake_worker_mode_t)i;
            return true;
        }
    }
    return false;
}

static void
serve_control(fake_worker_set_t *set, fake_request_t *request)
{
    json_t *body = FvFake_BodyJson(request);
    const char *worker = json_string_value(json_object_get(body, "worker"));
    const char *name = json_string_value(json_object_get(body, "mode"));
    fake_worker_mode_t mode;

    if (worker != NULL && parse_mode(name, &mode) &&
        FvFakeWorkerSet_SetMode(set, worker, mode)) {
        FvFake_ReplyJson(request, 200, json_object());
    }
    else {
        FvFake_ReplyError(request, 400, "invalid body");
    }
    json_decref(body);
}

static void
serve_counts(fake_worker_set_t *set, fake_request_t *request)
{
    fake_worker_counts_t counts;
    json_t *reply;

    FvFakeWorkerSet_GetCounts(set, &counts);
    reply = json_pack(
        "{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "granted",
        (json_int_t)counts.granted, "renewed", (json_int_t)counts.renewed,
        "lease_refused", (json_int_t)counts.lease_refused, "started",
        (json_int_t)counts.started, "ended", (json_int_t)counts.ended,
        "stopped", (json_int_t)counts.stopped, "refused",
        (json_int_t)counts.refused, "running", (json_int_t)counts.running,
        "connections", (json_int_t)counts.connections);
    for (size_t i = 0; i < WORKER_PATH_COUNT; i++) {
        char name[32];

        snprintf(name, sizeof(name), "calls_%s", call_names[i]);
        json_object_set_new(
            reply, name,
            json_integer(__atomic_load_n(&call_counts[i], __ATOMIC_RELAXED)));
    }
    FvFake_ReplyJson(request, 200, reply);
}

static void
handle_request(fake_request_t *request, void *context)
{
    fake_worker_set_t *set = context;
    char name[Fv_NAME_SIZE];
    size_t length = strcspn(request->path + 1, "/");
    fake_worker_t *worker;

    if (FvFake_RequestIs(request, "POST", "/control")) {
        serve_control(set, request);
        return;
    }
    if (FvFake_RequestIs(request, "GET", "/counts")) {
        serve_counts(set, request);
        return;
    }
    snprintf(name, sizeof(name), "%.*s", (int)length, request->path + 1);
    worker = FvFakeWorkerSet_Find(set, name);
    if (worker == NULL) {
        FvFake_ReplyError(request, 404, "unknown worker");
        return;
    }
    serve_worker(request, worker, request->path + 1 + length);
}

typedef struct worker_arguments {
    struct arg_lit *help;
    struct arg_str *listen;
    struct arg_int *workers;
    struct arg_str *prefix;
    struct arg_int *cpu_millis;
    struct arg_str *memory_bytes;
    struct arg_int *accelerators;
    struct arg_int *slots;
    struct arg_int *connections;
    struct arg_lit *no_fencing;
    struct arg_int *usage_lag_ms;
    struct arg_int *ttl_stop_ms;
    struct arg_int *retention_ms;
    struct arg_int *threads;
    struct arg_file *record;
    struct arg_end *end;
} worker_arguments_t;

static void
declare_arguments(worker_arguments_t *arguments)
{
    *arguments = (worker_arguments_t){
        .help = arg_lit0(NULL, "help", "print this help"),
        .listen =
            arg_str1(NULL, "listen", "IP:PORT", "workers and control paths"),
        .workers = arg_int0(NULL, "workers", "N", "number of workers (1)"),
        .prefix = arg_str0(NULL, "prefix", "NAME",
                           "worker I is PREFIX followed by I, from 1 (w)"),
        .cpu_millis = arg_int0(NULL, "cpu-millis", "N", "(32000)"),
        .memory_bytes =
            arg_str0(NULL, "memory-bytes", "N", "(" WORKER_MEMORY_BYTES ")"),
        .accelerators = arg_int0(NULL, "accelerators", "N", "(0)"),
        .slots = arg_int0(NULL, "slots", "N", "(8)"),
        .connections = arg_int0(NULL, "connections", "N",
                                "requests in progress per worker (64)"),
        .no_fencing = arg_lit0(NULL, "no-fencing",
                               "accept starts under a superseded term"),
        .usage_lag_ms = arg_int0(NULL, "usage-lag-ms", "N", "(1000)"),
        .ttl_stop_ms = arg_int0(NULL, "ttl-stop-ms", "N",
                                "time from the end of a lease to the stop of "
                                "its tasks (2000)"),
        .retention_ms = arg_int0(NULL, "keep-ms", "N",
                                 "how long ended tasks are kept (600000)"),
        .threads =
            arg_int0(NULL, "threads", "N", "connections served at once (160)"),
        .record = arg_file0(NULL, "record", "FILE",
                            "append one JSON line for each event"),
        .end = arg_end(8),
    };
}

static int
int_or_default(const struct arg_int *argument, int fallback)
{
    return argument->count > 0 ? argument->ival[0] : fallback;
}

static const char *
text_or_default(const struct arg_str *argument, const char *fallback)
{
    return argument->count > 0 ? argument->sval[0] : fallback;
}

static bool
open_record(const worker_arguments_t *arguments, FILE **record)
{
    *record = NULL;
    if (arguments->record->count == 0) {
        return true;
    }
    *record = fopen(arguments->record->filename[0], "a");
    return *record != NULL;
}

static int
run_workers(const worker_arguments_t *arguments)
{
    fake_worker_options_t options = {
        .workers = int_or_default(arguments->workers, 1),
        .prefix = text_or_default(arguments->prefix, "w"),
        .capacity = {.cpu_millis = int_or_default(arguments->cpu_millis,
                                                  WORKER_CPU_MILLIS),
                     .memory_bytes =
                         strtoll(text_or_default(arguments->memory_bytes,
                                                 WORKER_MEMORY_BYTES),
                                 NULL, 10),
                     .accelerators =
                         int_or_default(arguments->accelerators, 0),
                     .slots = int_or_default(arguments->slots, WORKER_SLOTS)},
        .connections =
            int_or_default(arguments->connections, WORKER_CONNECTIONS),
        .fencing = arguments->no_fencing->count == 0,
        .usage_lag_ms =
            int_or_default(arguments->usage_lag_ms, WORKER_USAGE_LAG_MS),
        .ttl_stop_ms =
            int_or_default(arguments->ttl_stop_ms, WORKER_TTL_STOP_MS),
        .retention_ms =
            int_or_default(arguments->retention_ms, WORKER_RETENTION_MS)};
    fake_worker_set_t *set;

    if (sodium_init() < 0 || options.workers < 1 ||
        !open_record(arguments, &options.record)) {
        fprintf(stderr, "fake-worker: cannot open the record\n");
        return 1;
    }
    set = FvFakeWorkerSet_New(&options);
    if (set == NULL ||
        FvFakeServer_Start(arguments->listen->sval[0],
                           int_or_default(arguments->threads, WORKER_THREADS),
                           handle_request, set) == NULL) {
        return 1;
    }
    FvFakeServer_RunUntilSignal();
    return 0;
}

int
main(int argc, char **argv)
{
    worker_arguments_t arguments;
    int code;

    declare_arguments(&arguments);
    code =
        FvFake_ParseArguments(argc, argv, (void **)&arguments, arguments.help,
                              "Test double of one or many workers.");
    return code >= 0 ? code : run_workers(&arguments);
}
