/*
 * A cell of entry hosts on loopback for tests.
 */

#include "entry-cell.h"

#include "fake-server.h"
#include "http-call.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#define ENTRY_CELL_FIRST_PORT 21000
#define ENTRY_CELL_PORT_RANGES 20 /* cells that can run at the same time */
#define ENTRY_CELL_PORT_RANGE_SIZE 500
#define ENTRY_CELL_CALL_TIMEOUT_MS 3000
#define ENTRY_CELL_START_MS 300
#define ENTRY_CELL_DESCRIPTORS 1024
#define ENTRY_CELL_PLATFORM_TIMEOUT_MS 20000

/* Offsets from the first port. */
#define ENTRY_PORT_CONTROL 2
#define ENTRY_PORT_LOCK 89 /* bound while a cell uses the range */
#define ENTRY_PORT_PROXY 90
#define ENTRY_PORT_ROUTES 100
#define ENTRY_PORT_HOSTS 200
#define ENTRY_PORTS_PER_HOST 4

#define ENTRY_PLATFORM_ARGUMENTS_MAX 24

static const char *
build_path(const char *name)
{
    static _Thread_local char path[4][512];
    static _Thread_local int next;
    const char *build = getenv("BUILD");

    next = (next + 1) % 4;
    snprintf(path[next], sizeof(path[next]), "%s/%s",
             build != NULL ? build : "build", name);
    return path[next];
}

/* Reserves a range of ports, because two cells on one range would use each
 * other's hosts. Returns the first port, or 0. */
static int
lock_port_range(int first)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    for (int i = 0; fd >= 0 && i < ENTRY_CELL_PORT_RANGES; i++) {
        address.sin_port = htons((uint16_t)(first + ENTRY_PORT_LOCK));
        if (bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0) {
            return first; /* the socket stays open until the process ends */
        }
        first += ENTRY_CELL_PORT_RANGE_SIZE;
    }
    return 0;
}

/**
 * FvEntryCell_Port - a port of a host
 * @cell: the cell
 * @host: index of the host
 * @port: which one
 *
 * Return: the port.
 */
int
FvEntryCell_Port(const entry_cell_t *cell, int host, entry_port_t port)
{
    return cell->port + ENTRY_PORT_HOSTS + host * ENTRY_PORTS_PER_HOST +
           (int)port;
}

/**
 * FvEntryCell_Route - get the address of a route of fault-proxy
 * @cell: the cell
 * @host: index of the host that uses the route, or is reached by it
 * @kind: which of its routes
 * @address: receives the address
 * @size: size of @address
 */
void
FvEntryCell_Route(const entry_cell_t *cell, int host, entry_route_t kind,
                  char *address, size_t size)
{
    if (kind == ENTRY_ROUTE_LINK) {
        /* The host listens on the same port of 127.0.0.1. */
        snprintf(address, size, "127.0.1.1:%d",
                 FvEntryCell_Port(cell, host, ENTRY_PORT_LINK));
    }
    else {
        snprintf(address, size, "127.0.%d.1:%d", kind == ENTRY_ROUTE_ADVICE,
                 cell->port + ENTRY_PORT_ROUTES + host);
    }
}

static bool
start_platform(entry_cell_t *cell)
{
    const char *argv[ENTRY_PLATFORM_ARGUMENTS_MAX + 7];
    char log[512];
    char port[16];
    char workers[16];
    int count = 0;

    snprintf(log, sizeof(log), "%s/cell.log", cell->directory);
    snprintf(port, sizeof(port), "%d", cell->port);
    snprintf(workers, sizeof(workers), "%d", cell->options.workers);
    argv[count++] = build_path("fake-cell");
    argv[count++] = "--port";
    argv[count++] = port;
    argv[count++] = "--workers";
    argv[count++] = workers;
    if (cell->options.splits) {
        argv[count++] = "--proxied-links";
    }
    for (const char *const *option = cell->options.platform_options;
         option != NULL && *option != NULL &&
         count < ENTRY_PLATFORM_ARGUMENTS_MAX + 6;
         option++) {
        argv[count++] = *option;
    }
    argv[count] = NULL;
    return FvProcess_Start(&cell->platform, log, argv);
}

static bool
start_proxy(entry_cell_t *cell)
{
    static const entry_route_t kinds[] = {
        ENTRY_ROUTE_STORE, ENTRY_ROUTE_ADVICE, ENTRY_ROUTE_LINK};
    int kind_count = cell->options.splits ? 3 : 1;
    char routes[ENTRY_CELL_HOSTS_MAX * 3][160];
    char control[64];
    char log[512];
    const char *argv[ENTRY_CELL_HOSTS_MAX * 6 + 4] = {
        build_path("fault-proxy"), "--control", control};
    int count = 3;

    snprintf(log, sizeof(log), "%s/proxy.log", cell->directory);
    snprintf(control, sizeof(control), "127.0.0.1:%d",
             cell->port + ENTRY_PORT_PROXY);
    for (int i = 0; i < cell->options.hosts * kind_count; i++) {
        int host = i / kind_count;
        entry_route_t kind = kinds[i % kind_count];
        char address[64];

        FvEntryCell_Route(cell, host, kind, address, sizeof(address));
        snprintf(routes[i], sizeof(routes[i]), "%s=127.0.0.1:%d", address,
                 kind == ENTRY_ROUTE_STORE ? cell->port
                 : kind == ENTRY_ROUTE_ADVICE
                     ? cell->port + 1
                     : FvEntryCell_Port(cell, host, ENTRY_PORT_LINK));
        argv[count++] = kind == ENTRY_ROUTE_LINK ? "--link" : "--route";
        argv[count++] = routes[i];
    }
    argv[count] = NULL;
    return FvProcess_Start(&cell->proxy, log, argv);
}

static bool
write_settings(entry_cell_t *cell, int host)
{
    const entry_cell_options_t *options = &cell->options;
    char advice[64];
    FILE *file;

    snprintf(advice, sizeof(advice), "127.0.0.1:%d", cell->port + 1);
    if (options->splits) {
        FvEntryCell_Route(cell, host, ENTRY_ROUTE_ADVICE, advice,
                          sizeof(advice));
    }
    snprintf(cell->hosts[host].settings, sizeof(cell->hosts[host].settings),
             "%s/host-%d.toml", cell->directory, host);
    file = fopen(cell->hosts[host].settings, "w");
    if (file == NULL) {
        return false;
    }
    fprintf(file,
            "host = \"host-%d\"\ndata_center = \"a\"\nregion = \"a\"\n"
            "address = \"127.0.0.1\"\ncallers_address = \"127.0.0.1:%d\"\n"
            "ready_address = \"127.0.0.1:%d\"\n"
            "metrics_address = \"127.0.0.1:%d\"\nlink_port = %d\n"
            "cpu_cores = 1.0\nstore_address = \"127.0.0.1:%d\"\n"
            "store_lease_min_ms = 1000\nadvice_address = \"%s\"\n"
            "descriptors_max = %d\nlease_max_ms = 10000\n"
            "stop_timeout_ms = %d\ngang_timeout_ms = 3000\ndrain_ms = %d\n"
            "keep_ended_s = 120\nlog_level = \"%s\"\n",
            host, FvEntryCell_Port(cell, host, ENTRY_PORT_CALLERS),
            FvEntryCell_Port(cell, host, ENTRY_PORT_READY),
            FvEntryCell_Port(cell, host, ENTRY_PORT_METRICS),
            FvEntryCell_Port(cell, host, ENTRY_PORT_LINK),
            cell->port + ENTRY_PORT_ROUTES + host, advice,
            options->descriptors_max, options->stop_timeout_ms,
            options->drain_ms, options->log_level);
    if (options->memory_mb > 0) {
        fprintf(file, "memory_mb = %d\n", options->memory_mb);
    }
    if (options->more_settings != NULL) {
        fputs(options->more_settings, file);
    }
    return fclose(file) == 0;
}

/**
 * FvEntryCell_StartHost - start a host's process
 * @cell: the cell
 * @host: index of the host, which is not running
 *
 * Return: false when no process can be created.
 */
bool
FvEntryCell_StartHost(entry_cell_t *cell, int host)
{
    char log[512];
    const char *argv[] = {build_path("fireflyvalve"), "entry", "--config",
                          cell->hosts[host].settings, NULL};

    snprintf(log, sizeof(log), "%s/host-%d.log", cell->directory, host);
    return FvProcess_Start(&cell->hosts[host].process, log, argv);
}

static void
set_defaults(entry_cell_options_t *options)
{
    if (options->first_port == 0) {
        options->first_port = ENTRY_CELL_FIRST_PORT;
    }
    if (options->stop_timeout_ms == 0) {
        options->stop_timeout_ms = 100;
    }
    if (options->drain_ms == 0) {
        options->drain_ms = 6000;
    }
    if (options->descriptors_max == 0) {
        options->descriptors_max = ENTRY_CELL_DESCRIPTORS;
    }
    if (options->log_level == NULL) {
        options->log_level = "info";
    }
}

static void
remove_old_logs(const entry_cell_t *cell)
{
    char path[512];

    for (int i = 0; i < cell->options.hosts; i++) {
        snprintf(path, sizeof(path), "%s/host-%d.log", cell->directory, i);
        unlink(path);
    }
    snprintf(path, sizeof(path), "%s/cell.log", cell->directory);
    unlink(path);
}

/* All workers are served once the platform takes faults. */
static bool
wait_for_platform(entry_cell_t *cell)
{
    int64_t until_ms = FvClock_NowMs() + ENTRY_CELL_PLATFORM_TIMEOUT_MS;
    bool answered = false;

    while (!answered && !FvProcess_HasExited(&cell->platform) &&
           FvClock_NowMs() < until_ms) {
        json_t *report = FvEntryCell_Report(cell);

        answered = report != NULL;
        json_decref(report);
        FvFake_SleepMs(10);
    }
    return answered;
}

/**
 * FvEntryCell_StartPlatform - start the platform and the proxies to its store
 * @cell: the cell
 *
 * Return: false when a program cannot be started, or ends at once.
 */
bool
FvEntryCell_StartPlatform(entry_cell_t *cell)
{
    if (!start_platform(cell) || !start_proxy(cell)) {
        return false;
    }
    FvFake_SleepMs(ENTRY_CELL_START_MS);
    return wait_for_platform(cell);
}

/**
 * FvEntryCell_Start - start a cell
 * @cell: filled in
 * @options: its size and settings; the strings must stay valid
 *
 * Return: false when a program cannot be started or no range of ports is free.
 */
bool
FvEntryCell_Start(entry_cell_t *cell, const entry_cell_options_t *options)
{
    const char *build = getenv("BUILD");

    *cell = (entry_cell_t){.options = *options};
    if (options->hosts < 1 || options->hosts > ENTRY_CELL_HOSTS_MAX ||
        options->workers < 1 || options->workers > ENTRY_CELL_WORKERS_MAX) {
        return false;
    }
    set_defaults(&cell->options);
    cell->port = lock_port_range(cell->options.first_port);
    if (cell->port == 0) {
        fprintf(stderr, "%s: no free range of ports\n", options->name);
        return false;
    }
    snprintf(cell->directory, sizeof(cell->directory), "%s/%s",
             build != NULL ? build : "build", options->name);
    mkdir(cell->directory, 0755);
    remove_old_logs(cell);
    if (!options->late_platform && !FvEntryCell_StartPlatform(cell)) {
        return false;
    }
    for (int i = 0; i < options->hosts; i++) {
        if (!write_settings(cell, i) || !FvEntryCell_StartHost(cell, i)) {
            return false;
        }
    }
    return true;
}

/**
 * FvEntryCell_Stop - kill all processes of a cell
 * @cell: the cell, started in whole or in part
 */
void
FvEntryCell_Stop(entry_cell_t *cell)
{
    for (int i = 0; i < cell->options.hosts; i++) {
        FvProcess_Kill(&cell->hosts[i].process);
    }
    FvProcess_Kill(&cell->proxy);
    FvProcess_Kill(&cell->platform);
}

/**
 * FvEntryCell_PlatformEnded - check whether the platform has ended by itself
 * @cell: the cell, which has not been stopped
 *
 * Return: true if it has, which the first call prints with the exit status and
 * the signal.
 */
bool
FvEntryCell_PlatformEnded(entry_cell_t *cell)
{
    bool was_running = cell->platform.pid > 0;
    bool ended = FvProcess_HasExited(&cell->platform);

    if (was_running && ended) {
        int status = cell->platform.exit_status;

        printf("the platform's stand-in ended by itself: exit status %d, "
               "signal %d (log: %s/cell.log)\n",
               status, status > 128 ? status - 128 : 0, cell->directory);
    }
    return ended;
}

/**
 * FvEntryCell_WaitReady - wait until all hosts report ready
 * @cell: the cell
 * @timeout_ms: for how long
 *
 * Return: false when some host did not.
 */
bool
FvEntryCell_WaitReady(entry_cell_t *cell, int64_t timeout_ms)
{
    int64_t until_ms = FvClock_NowMs() + timeout_ms;
    int ready = 0;

    while (ready < cell->options.hosts && FvClock_NowMs() < until_ms) {
        ready = 0;
        for (int i = 0; i < cell->options.hosts; i++) {
            char url[128];
            http_reply_t reply;

            snprintf(url, sizeof(url), "http://127.0.0.1:%d/ready",
                     FvEntryCell_Port(cell, i, ENTRY_PORT_READY));
            FvHttp_Run(&(http_call_t){.url = url, .timeout_ms = 500}, &reply);
            ready += reply.status == 200;
            FvHttp_FreeReply(&reply);
        }
        FvFake_SleepMs(100);
    }
    return ready == cell->options.hosts;
}

typedef struct leader_entry {
    int host;
    int64_t lease;
} leader_entry_t;

/* False when there is no leader or the store is away. */
static bool
read_leader(const entry_cell_t *cell, leader_entry_t *leader)
{
    char url[160];
    json_t *item;
    const char *value;
    fv_buffer_t text = {0};
    bool found;

    snprintf(url, sizeof(url),
             "http://127.0.0.1:%d/kv-key?key=fireflyvalve/control/leader",
             cell->port);
    item = FvHttp_GetJson(url);
    value = FvJson_String(item, "value");
    found = value != NULL && FvText_DecodeBase64(value, &text) &&
            sscanf((const char *)text.data, "host-%d %*d %*s %" SCNd64,
                   &leader->host, &leader->lease) == 2;
    FvBuffer_Clear(&text);
    json_decref(item);
    return found;
}

/**
 * FvEntryCell_Leader - find the host that holds the leader's key
 * @cell: the cell
 *
 * Return: index of the host, or -1 when there is none or the store is away.
 */
int
FvEntryCell_Leader(const entry_cell_t *cell)
{
    leader_entry_t leader;

    return read_leader(cell, &leader) ? leader.host : -1;
}

/**
 * FvEntryCell_Leadership - find the leader and the lease of its key
 * @cell: the cell
 * @lease: set to the lease; each leadership has one of its own, also two of
 *         the same host
 *
 * Return: index of the host, or -1 when there is none or the store is away.
 */
int
FvEntryCell_Leadership(const entry_cell_t *cell, int64_t *lease)
{
    leader_entry_t leader;

    if (!read_leader(cell, &leader)) {
        return -1;
    }
    *lease = leader.lease;
    return leader.host;
}

/**
 * FvEntryCell_WaitLeader - wait for another leader
 * @cell: the cell
 * @former: index of the host that led before, or -1
 * @timeout_ms: the longest wait
 *
 * Return: index of the host, or -1 when there was none in time.
 */
int
FvEntryCell_WaitLeader(const entry_cell_t *cell, int former,
                       int64_t timeout_ms)
{
    int64_t until_ms = FvClock_NowMs() + timeout_ms;
    int leader = FvEntryCell_Leader(cell);

    while ((leader < 0 || leader == former) && FvClock_NowMs() < until_ms) {
        FvFake_SleepMs(10);
        leader = FvEntryCell_Leader(cell);
    }
    return leader != former ? leader : -1;
}

/**
 * FvEntryCell_WaitLeadership - wait for the next leadership
 * @cell: the cell
 * @former: lease of the one before
 * @timeout_ms: the longest wait
 *
 * A leader that was killed and started again may lead again.
 *
 * Return: index of the host that leads, or -1 when there was none in time.
 */
int
FvEntryCell_WaitLeadership(const entry_cell_t *cell, int64_t former,
                           int64_t timeout_ms)
{
    int64_t until_ms = FvClock_NowMs() + timeout_ms;
    leader_entry_t leader;
    bool found;

    while (!(found = read_leader(cell, &leader) && leader.lease != former) &&
           FvClock_NowMs() < until_ms) {
        FvFake_SleepMs(10);
    }
    return found ? leader.host : -1;
}

static bool
post_fault(int port, const char *body)
{
    char url[128];
    http_reply_t reply;
    bool succeeded;

    snprintf(url, sizeof(url), "http://127.0.0.1:%d/fault", port);
    FvHttp_Run(&(http_call_t){.url = url,
                              .body = body,
                              .body_length = strlen(body),
                              .timeout_ms = ENTRY_CELL_CALL_TIMEOUT_MS},
               &reply);
    succeeded = reply.status == 200;
    FvHttp_FreeReply(&reply);
    return succeeded;
}

/**
 * FvEntryCell_PlatformFault - inject or clear a fault of the platform
 * @cell: the cell
 * @body: the request to fake-cell, in JSON
 *
 * Return: false when it was not taken.
 */
bool
FvEntryCell_PlatformFault(const entry_cell_t *cell, const char *body)
{
    return post_fault(cell->port + ENTRY_PORT_CONTROL, body);
}

/**
 * FvEntryCell_ProxyFault - change a route of fault-proxy
 * @cell: the cell
 * @body: the request to fault-proxy, in JSON
 *
 * Return: false when it was not taken.
 */
bool
FvEntryCell_ProxyFault(const entry_cell_t *cell, const char *body)
{
    return post_fault(cell->port + ENTRY_PORT_PROXY, body);
}

/**
 * FvEntryCell_RouteFault - change the route from a host to the store
 * @cell: the cell
 * @host: index of the host, or -1 for all of them
 * @mode: mode of fault-proxy; "restore" clears the fault
 *
 * Return: false when it was not taken.
 */
bool
FvEntryCell_RouteFault(const entry_cell_t *cell, int host, const char *mode)
{
    char body[160];

    if (host < 0) {
        snprintf(body, sizeof(body), "{\"route\":\"*\",\"mode\":\"%s\"}",
                 mode);
    }
    else {
        snprintf(body, sizeof(body),
                 "{\"route\":\"127.0.0.1:%d\",\"mode\":\"%s\"}",
                 cell->port + ENTRY_PORT_ROUTES + host, mode);
    }
    return FvEntryCell_ProxyFault(cell, body);
}

/**
 * FvEntryCell_Report - read what the workers have counted
 * @cell: the cell
 *
 * Return: a new reference, or NULL.
 */
json_t *
FvEntryCell_Report(const entry_cell_t *cell)
{
    char url[128];

    snprintf(url, sizeof(url), "http://127.0.0.1:%d/report",
             cell->port + ENTRY_PORT_CONTROL);
    return FvHttp_GetJson(url);
}

/**
 * FvEntryCell_CallAs - send a customer's request on a new connection
 * @cell: the cell
 * @host: index of the host
 * @key: the customer's key, or NULL
 * @method: the method
 * @path: the path, with the queue's prefix
 * @body: the body, or NULL
 * @state: receives the job's state if the answer has one, else ""; may be NULL
 * @size: size of @state
 *
 * Return: the status; 0 without a whole answer.
 */
int
FvEntryCell_CallAs(const entry_cell_t *cell, int host, const char *key,
                   const char *method, const char *path, const char *body,
                   char *state, size_t size)
{
    char url[256];
    http_reply_t reply;
    int status;

    snprintf(url, sizeof(url), "http://127.0.0.1:%d%s",
             FvEntryCell_Port(cell, host, ENTRY_PORT_CALLERS), path);
    FvHttp_Run(&(http_call_t){.method = method,
                              .url = url,
                              .api_key = key,
                              .body = body,
                              .body_length = body ? strlen(body) : 0,
                              .timeout_ms = ENTRY_CELL_CALL_TIMEOUT_MS},
               &reply);
    status = reply.status;
    if (state != NULL) {
        json_t *document = FvHttp_ReplyJson(&reply);

        FvJson_CopyString(document, "state", state, size);
        json_decref(document);
    }
    FvHttp_FreeReply(&reply);
    return status;
}

/**
 * FvEntryCell_Call - send a caller's request on a new connection, without a
 * key
 * @cell: the cell
 * @host: index of the host
 * @method: the method
 * @path: the path, with the queue's prefix
 * @body: the body, or NULL
 * @state: receives the job's state if the answer has one, else ""; may be NULL
 * @size: size of @state
 *
 * Return: the status; 0 without a whole answer.
 */
int
FvEntryCell_Call(const entry_cell_t *cell, int host, const char *method,
                 const char *path, const char *body, char *state, size_t size)
{
    return FvEntryCell_CallAs(cell, host, NULL, method, path, body, state,
                              size);
}

/* Counts the lines of a host's log that have a text, and copies the last. */
static uint32_t
find_in_log(const entry_cell_t *cell, int host, const char *text, char *last,
            size_t size)
{
    char path[512];
    char line[4096];
    uint32_t count = 0;
    FILE *file;

    snprintf(path, sizeof(path), "%s/host-%d.log", cell->directory, host);
    file = fopen(path, "r");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        if (strstr(line, text) != NULL) {
            FvText_Copy(last, size, line);
            count++;
        }
    }
    if (file != NULL) {
        fclose(file);
    }
    return count;
}

/**
 * FvEntryCell_LogHas - search a host's log
 * @cell: the cell
 * @host: index of the host
 * @text: the text
 *
 * Return: true when a line has the text.
 */
bool
FvEntryCell_LogHas(const entry_cell_t *cell, int host, const char *text)
{
    char line[4096];

    return find_in_log(cell, host, text, line, sizeof(line)) > 0;
}

/**
 * FvEntryCell_CountLog - count lines in a host's log
 * @cell: the cell
 * @host: index of the host
 * @text: the text
 *
 * Return: the number of lines that have the text.
 */
uint32_t
FvEntryCell_CountLog(const entry_cell_t *cell, int host, const char *text)
{
    char line[4096];

    return find_in_log(cell, host, text, line, sizeof(line));
}

/**
 * FvEntryCell_WaitConfig - wait until all hosts have adopted a configuration
 * @cell: the cell
 * @version: its version
 * @timeout_ms: the longest wait
 *
 * Return: false when one has not.
 */
bool
FvEntryCell_WaitConfig(const entry_cell_t *cell, int64_t version,
                       int64_t timeout_ms)
{
    int64_t until_ms = FvClock_NowMs() + timeout_ms;
    char text[64];
    bool adopted = true;

    snprintf(text, sizeof(text), "config_adopted version=%" PRId64 " ",
             version);
    for (int i = 0; i < cell->options.hosts; i++) {
        int64_t left_ms = until_ms - FvClock_NowMs();

        adopted = adopted && FvEntryCell_WaitLog(cell, i, text,
                                                 left_ms > 0 ? left_ms : 1);
    }
    return adopted;
}

/**
 * FvEntryCell_Counter - read a counter of a host
 * @cell: the cell
 * @host: index of the host
 * @name: name of the metric
 *
 * Return: its value, or -1 when the host does not answer or does not have it.
 */
int64_t
FvEntryCell_Counter(const entry_cell_t *cell, int host, const char *name)
{
    char url[128];
    char line[128];
    http_reply_t reply;
    const char *found;
    int64_t value = -1;

    snprintf(url, sizeof(url), "http://127.0.0.1:%d/metrics",
             FvEntryCell_Port(cell, host, ENTRY_PORT_METRICS));
    snprintf(line, sizeof(line), "\n%s ", name);
    FvHttp_Run(&(http_call_t){.url = url, .timeout_ms = 1000}, &reply);
    found = reply.status == 200 && reply.body != NULL
                ? strstr((const char *)reply.body, line)
                : NULL;
    if (found != NULL) {
        value = strtoll(found + strlen(line), NULL, 10);
    }
    FvHttp_FreeReply(&reply);
    return value;
}

/**
 * FvEntryCell_WaitLog - wait until a host's log has a text
 * @cell: the cell
 * @host: index of the host
 * @text: the text
 * @timeout_ms: the longest wait
 *
 * Return: false when no line had the text in time.
 */
bool
FvEntryCell_WaitLog(const entry_cell_t *cell, int host, const char *text,
                    int64_t timeout_ms)
{
    int64_t until_ms = FvClock_NowMs() + timeout_ms;

    while (!FvEntryCell_LogHas(cell, host, text)) {
        if (FvClock_NowMs() >= until_ms) {
            return false;
        }
        FvFake_SleepMs(10);
    }
    return true;
}

/**
 * FvEntryCell_FreeAfterMs - get when a leader freed inherited tasks
 * @cell: the cell
 * @host: index of the leader's host
 *
 * Return: the time after its election, in ms, or -1 when it has not.
 */
int64_t
FvEntryCell_FreeAfterMs(const entry_cell_t *cell, int host)
{
    char line[4096];

    if (find_in_log(cell, host, "event=inherited_tasks_free", line,
                    sizeof(line)) == 0) {
        return -1;
    }
    printf("%s", line);
    return strtoll(strstr(line, "after_ms=") + 9, NULL, 10);
}
