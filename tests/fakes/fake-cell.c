/*
 * Fake of the cell's platform: the store, workers that execute orders, and the
 * advice service, in one process. It counts violations: concurrent runs of one
 * task, a start after an end of the task that was acknowledged before or is
 * later, and a worker loaded beyond its capacity.
 */

#include "fake-cell.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

static cell_worker_t *
find_worker(cell_t *cell, const json_t *body, const char *name)
{
    int64_t index = FvJson_Int(body, name, -1);

    return index >= 0 && index < cell->worker_count ? &cell->workers[index]
                                                    : NULL;
}

/* Writes bytes, given in base64, as another writer's entry of the registry. */
static void
write_foreign_entry(cell_t *cell, const char *id, const char *encoded)
{
    char key[256];
    fv_buffer_t value = {0};

    snprintf(key, sizeof(key), "servers/%s", id);
    if (encoded != NULL && FvText_DecodeBase64(encoded, &value)) {
        kv_bytes_t key_bytes = FvCellStore_Bytes(key);
        kv_bytes_t bytes = {.data = value.data, .length = value.length};

        FvKv_Put(cell->store, &key_bytes, &bytes, 0, FvClock_NowMs());
        FvKv_EndWrite(cell->store);
    }
    FvBuffer_Clear(&value);
}

/* In a cell with customers the last route, "plain", is public. */
#define PUBLIC_ROUTE 3

static void
write_config(cell_t *cell, int64_t version)
{
    static const char config[] =
        "{\"version\":%" PRId64
        ",\"routes\":[{\"name\":\"fast\",\"host\":\"127.0.0.1\","
        "\"prefix\":\"/fast/\",\"kind\":\"non_idempotent\","
        "\"targetLatencyMs\":500,\"priority\":0,\"service\":\"app\","
        "\"maxAttempts\":2,\"stretch\":1.5,\"recommendation\":{"
        "\"decisionMs\":2,\"perWorkerMs\":0.1,\"validityMs\":2000}},"
        "{\"name\":\"slow\",\"host\":\"127.0.0.1\",\"prefix\":\"/slow/"
        "\",\"kind\":"
        "\"non_idempotent\",\"targetLatencyMs\":2000,\"priority\":1,"
        "\"service\":\"app\",\"maxAttempts\":3,\"stretch\":4.0,"
        "\"recommendation\":{\"decisionMs\":2,\"perWorkerMs\":0.1,"
        "\"validityMs\":2000}},"
        "{\"name\":\"long\",\"host\":\"127.0.0.1\",\"prefix\":\"/long/"
        "\",\"kind\":"
        "\"non_idempotent\",\"targetLatencyMs\":2000,\"priority\":2,"
        "\"service\":\"app\",\"maxAttempts\":3,\"stretch\":4.0,"
        "\"recommendation\":{\"decisionMs\":2,\"perWorkerMs\":0.1,"
        "\"validityMs\":2000}},"
        "{\"name\":\"plain\",\"host\":\"127.0.0.1\",\"prefix\":\"/plain/"
        "\",\"kind\":"
        "\"non_idempotent\",\"targetLatencyMs\":2000,\"priority\":1,"
        "\"service\":\"app\",\"maxAttempts\":3,\"stretch\":4.0}],"
        "\"services\":[],\"limits\":{}}";
    char text[sizeof(config) + 24];
    json_t *document;
    char *encoded;

    snprintf(text, sizeof(text), config, version);
    document = json_loads(text, 0, NULL);
    if (cell->customers != NULL) {
        json_object_set(document, "tenants", cell->customers);
        json_object_set_new(
            json_array_get(json_object_get(document, "routes"), PUBLIC_ROUTE),
            "public", json_true());
    }
    encoded = json_dumps(document, JSON_COMPACT);
    FvCellStore_Put(cell, "op/config", encoded);
    free(encoded);
    json_decref(document);
}

static void
apply_fault(cell_t *cell, const json_t *body)
{
    static const char *const modes[] = {"up", "busy", "silent", "lost"};
    const char *mode = FvJson_String(body, "store");
    cell_worker_t *crashed = find_worker(cell, body, "crash");
    cell_worker_t *restarted = find_worker(cell, body, "restart");
    cell_worker_t *at_start = find_worker(cell, body, "restartAtStart");
    cell_worker_t *silent = find_worker(cell, body, "silent");
    cell_worker_t *hasty = find_worker(cell, body, "hasty");
    cell_worker_t *mute = find_worker(cell, body, "mute");
    cell_worker_t *reached = find_worker(cell, body, "reached");
    const char *entry = FvJson_String(body, "entry");
    const json_t *split = json_object_get(body, "split");
    json_t *customers = json_object_get(body, "tenants");
    int64_t config_version = FvJson_Int(body, "config", 0);

    if (customers != NULL) {
        json_decref(cell->customers); /* of this and later versions */
        cell->customers = json_incref(customers);
    }
    cell->pause_leases = FvJson_Bool(body, "pauseLeases", cell->pause_leases);
    cell->stop_ms = FvJson_Int(body, "stopMs", cell->stop_ms);
    cell->stop_delay_ms = FvJson_Int(body, "stopDelayMs", cell->stop_delay_ms);
    cell->late_per_mille =
        (uint32_t)FvJson_Int(body, "latePerMille", cell->late_per_mille);
    cell->late_max_ms = FvJson_Int(body, "lateMaxMs", cell->late_max_ms);

    for (size_t i = 0; mode != NULL && i < 4; i++) {
        if (strcmp(mode, modes[i]) == 0) {
            cell->store_mode = (cell_store_mode_t)i;
        }
    }
    if (crashed != NULL) {
        FvCellWorker_Crash(cell, crashed);
    }
    if (restarted != NULL) {
        FvCellWorker_Restart(cell, restarted, FvJson_String(body, "kind"));
    }
    if (at_start != NULL && FvJson_String(body, "kind") != NULL) {
        snprintf(at_start->kind_at_start, sizeof(at_start->kind_at_start),
                 "%s", FvJson_String(body, "kind"));
    }
    if (silent != NULL) {
        silent->silent = true;
    }
    if (hasty != NULL) {
        hasty->hasty = true;
    }
    if (mute != NULL) {
        mute->mute = true;
    }
    if (reached != NULL) {
        reached->mute = false;
    }
    if (entry != NULL) {
        write_foreign_entry(cell, entry, FvJson_String(body, "value"));
    }
    if (split != NULL) {
        FvCellSplit_Apply(cell, split);
    }
    if (config_version > 0) {
        write_config(cell, config_version);
    }
}

/* Connections of each worker. */
static json_t *
connections_json(const cell_t *cell)
{
    json_t *rows = json_array();

    for (uint32_t i = 0; i < cell->worker_count; i++) {
        const fake_server_t *server = cell->workers[i].server;

        json_array_append_new(rows, json_pack("{s:i, s:i}", "open",
                                              FvFakeServer_Connections(server),
                                              "refused",
                                              FvFakeServer_Refused(server)));
    }
    return rows;
}

static void
handle_control(fake_request_t *request, void *context)
{
    cell_t *cell = ((cell_context_t *)context)->cell;
    json_t *body = FvFake_BodyJson(request);
    json_t *reply = NULL;

    pthread_mutex_lock(&cell->lock);
    if (FvFake_RequestIs(request, "POST", "/fault")) {
        apply_fault(cell, body);
        reply = json_object();
    }
    else if (FvFake_RequestIs(request, "GET", "/report")) {
        json_t *started = json_object();
        json_t *worker_starts = json_array();
        json_t *worker_renewals = json_array();
        cell_task_t *task;
        cell_task_t *next;

        for (task = cell->tasks; task != NULL; task = next) {
            next = task->hh.next;
            char job[17];

            snprintf(job, sizeof(job), "%.16s", task->name);
            if (task->last_order_ms > FvJson_Int(started, job, 0)) {
                json_object_set_new(started, job,
                                    json_integer(task->last_order_ms));
            }
        }
        for (uint32_t i = 0; i < cell->worker_count; i++) {
            json_array_append_new(worker_starts,
                                  json_integer(cell->workers[i].starts));
            json_array_append_new(worker_renewals,
                                  json_integer(cell->workers[i].renewals));
        }
        reply = json_pack("{s:i, s:i, s:i, s:i, s:s, s:o, s:o, s:o, s:i, s:o}",
                          "late_starts", (int)cell->late_starts, "violations",
                          (int)cell->violations, "starts", (int)cell->starts,
                          "stops", (int)cell->stops, "first",
                          cell->first_violation, "started", started,
                          "worker_starts", worker_starts, "worker_renewals",
                          worker_renewals, "wrong_instance_calls",
                          (int)cell->wrong_instance_calls, "connections",
                          connections_json(cell));
    }
    pthread_mutex_unlock(&cell->lock);
    json_decref(body);
    FvFake_ReplyJson(request, reply ? 200 : 404,
                     reply ? reply : json_object());
}

static void *
run_ticks(void *context)
{
    cell_t *cell = context;

    for (;;) {
        int64_t now_ms = FvClock_NowMs();

        pthread_mutex_lock(&cell->lock);
        FvCellStore_ExpireLeases(cell);
        FvCellWorker_Tick(cell, now_ms);
        pthread_mutex_unlock(&cell->lock);
        FvFake_SleepMs(CELL_TICK_MS);
    }
    return NULL;
}

static bool
serve_port(cell_t *cell, cell_worker_t *worker, int port, int threads,
           fake_handler_t handler)
{
    cell_context_t *context = calloc(1, sizeof(*context));
    char address[64];
    fake_server_t *server;

    *context = (cell_context_t){.cell = cell, .worker = worker};
    snprintf(address, sizeof(address), "127.0.0.1:%d", port);
    server = FvFakeServer_Start(address, threads, handler, context);
    if (worker != NULL) {
        snprintf(worker->address, sizeof(worker->address), "%s", address);
        worker->server = server;
    }
    return server != NULL;
}

static int
run(int port, int workers, int ends_page, int connections, bool proxied_links)
{
    static cell_t cell = {.lock = PTHREAD_MUTEX_INITIALIZER};
    pthread_t ticks;

    cell.store = FvKv_New();
    write_config(&cell, 1);
    cell.worker_count = (uint32_t)workers;
    cell.ends_page = (uint32_t)ends_page;
    cell.proxied_links = proxied_links;
    if (!serve_port(&cell, NULL, port, CELL_STORE_THREADS,
                    FvCellStore_Handle) ||
        !FvCellAdvice_Start(&cell, port + 1)) {
        return 1;
    }
    for (int i = 0; i < workers; i++) {
        cell_worker_t *worker = &cell.workers[i];

        snprintf(worker->id, sizeof(worker->id), "w%d", i);
        snprintf(worker->kind, sizeof(worker->kind), "a");
        worker->started_wall_ms = FvClock_WallMs();
        if (!serve_port(&cell, worker, port + 3 + i, CELL_WORKER_THREADS,
                        FvCellWorker_Handle)) {
            return 1;
        }
        FvFakeServer_LimitConnections(worker->server, connections);
    }
    pthread_create(&ticks, NULL, run_ticks, &cell);
    /* Faults and reports concern servers of workers. */
    if (!serve_port(&cell, NULL, port + 2, 4, handle_control)) {
        return 1;
    }
    FvFakeServer_RunUntilSignal();
    return 0;
}

int
main(int argc, char **argv)
{
    struct arg_int *port = arg_int1(NULL, "port", "N", "first port");
    struct arg_int *workers = arg_int1(NULL, "workers", "N", "1 to 80");
    struct arg_int *ends_page = arg_int0(
        NULL, "ends-page", "N", "ends that a report lists at most (500)");
    struct arg_int *connections =
        arg_int0(NULL, "connections", "N", "connections that a worker serves");
    struct arg_lit *proxied_links =
        arg_lit0(NULL, "proxied-links",
                 "hosts are entered with the addresses of their proxies");
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_end *end = arg_end(4);
    void *table[] = {port,          workers, ends_page, connections,
                     proxied_links, help,    end};
    int code;

    ends_page->ival[0] = CELL_PAGE_MAX;
    code = FvFake_ParseArguments(argc, argv, table, help,
                                 "Stand-in for the users' platform.");
    if (code < 0) {
        code = workers->ival[0] >= 1 && workers->ival[0] <= CELL_WORKERS_MAX &&
                       ends_page->ival[0] >= 1
                   ? run(port->ival[0], workers->ival[0], ends_page->ival[0],
                         connections->count > 0 ? connections->ival[0] : 0,
                         proxied_links->count > 0)
                   : 2;
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}
