/*
 * Starts and stops the processes of a test cell.
 */

#include "cluster.h"

#include "fake-server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CLUSTER_POLL_MS 10
#define CLUSTER_PROBE_TIMEOUT_MS 1000

/* A command line, ended by NULL; owns its strings. */
typedef struct arguments {
    char **values;
    size_t count;
} arguments_t;

static void
add_argument(arguments_t *arguments, const char *value)
{
    arguments->values =
        realloc(arguments->values, (arguments->count + 2) * sizeof(char *));
    if (arguments->values == NULL) {
        abort();
    }
    arguments->values[arguments->count++] = strdup(value);
    arguments->values[arguments->count] = NULL;
}

static void
add_option(arguments_t *arguments, const char *name, const char *value)
{
    add_argument(arguments, name);
    add_argument(arguments, value);
}

static void
add_int_option(arguments_t *arguments, const char *name, int64_t value)
{
    char text[32];

    if (value > 0) {
        snprintf(text, sizeof(text), "%lld", (long long)value);
        add_option(arguments, name, text);
    }
}

static void
add_executable(arguments_t *arguments, const char *name)
{
    const char *build = getenv("BUILD");
    char path[512];

    snprintf(path, sizeof(path), "%s/%s", build != NULL ? build : "build",
             name);
    add_argument(arguments, path);
}

/* Frees the arguments. */
static bool
start_executable(const cluster_t *cluster, process_t *process,
                 const char *name, arguments_t *arguments)
{
    char log_name[Fv_NAME_SIZE + 8];
    char log_path[512];
    bool started;

    snprintf(log_name, sizeof(log_name), "%s.log", name);
    FvCluster_FilePath(cluster, log_name, log_path, sizeof(log_path));
    started = FvProcess_Start(process, log_path,
                              (const char *const *)arguments->values);
    for (size_t i = 0; i < arguments->count; i++) {
        free(arguments->values[i]);
    }
    free(arguments->values);
    return started;
}

/**
 * FvWait_Until - poll until a condition holds
 * @condition: called every 10 ms
 * @context: passed to @condition
 * @timeout_ms: timeout
 *
 * Return: false on timeout.
 */
bool
FvWait_Until(bool (*condition)(void *context), void *context,
             int64_t timeout_ms)
{
    int64_t until_ms = FvClock_NowMs() + timeout_ms;

    while (!condition(context)) {
        if (FvClock_NowMs() >= until_ms) {
            return false;
        }
        FvFake_SleepMs(CLUSTER_POLL_MS);
    }
    return true;
}

static bool
accepts_connections(void *context)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    char ip[Fv_ADDRESS_SIZE];
    unsigned port = 0;
    bool connected;
    int descriptor;

    if (sscanf(context, "%63[^:]:%u", ip, &port) != 2) {
        return false;
    }
    address.sin_port = htons((uint16_t)port);
    inet_pton(AF_INET, ip, &address.sin_addr);
    descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    connected = connect(descriptor, (const struct sockaddr *)&address,
                        sizeof(address)) == 0;
    close(descriptor);
    return connected;
}

/**
 * FvCluster_WaitListening - wait until an address accepts connections
 * @address: IP:PORT
 * @timeout_ms: timeout
 *
 * Return: false on timeout.
 */
bool
FvCluster_WaitListening(const char *address, int64_t timeout_ms)
{
    return FvWait_Until(accepts_connections, (void *)address, timeout_ms);
}

/**
 * FvCluster_StartPlatform - start fake-platform with an empty store
 * @cluster: the cell
 *
 * Return: false when the process does not listen in time.
 */
bool
FvCluster_StartPlatform(cluster_t *cluster)
{
    arguments_t arguments = {0};
    char hosts[512];

    FvCluster_FilePath(cluster, "hosts.json", hosts, sizeof(hosts));
    add_executable(&arguments, "fake-platform");
    add_option(&arguments, "--listen", cluster->platform_address);
    add_option(&arguments, "--control", cluster->platform_control);
    add_option(&arguments, "--hosts", hosts);
    add_int_option(&arguments, "--list-lag-ms", cluster->topology.list_lag_ms);
    return start_executable(cluster, &cluster->platform, "platform",
                            &arguments) &&
           FvCluster_WaitListening(cluster->platform_address,
                                   CLUSTER_START_TIMEOUT_MS) &&
           FvCluster_WaitListening(cluster->platform_control,
                                   CLUSTER_START_TIMEOUT_MS);
}

static void
add_rack_options(arguments_t *arguments, const topology_t *topology)
{
    add_int_option(arguments, "--cpu-millis", topology->capacity.cpu_millis);
    add_int_option(arguments, "--memory-bytes",
                   topology->capacity.memory_bytes);
    add_int_option(arguments, "--accelerators",
                   topology->capacity.accelerators);
    add_int_option(arguments, "--slots", topology->capacity.slots);
    add_int_option(arguments, "--connections", topology->connections);
    add_int_option(arguments, "--threads", topology->worker_threads);
    add_int_option(arguments, "--usage-lag-ms", topology->usage_lag_ms);
    add_int_option(arguments, "--ttl-stop-ms", topology->ttl_stop_ms);
    if (topology->no_fencing) {
        add_argument(arguments, "--no-fencing");
    }
}

/**
 * FvCluster_StartRack - start the fake-worker process of a rack
 * @cluster: the cell
 * @rack: index of the rack
 *
 * After a restart the workers have no tasks; events are appended to the same
 * record file.
 *
 * Return: false when the process does not listen in time.
 */
bool
FvCluster_StartRack(cluster_t *cluster, int rack)
{
    cluster_rack_t *entry = &cluster->racks[rack];
    arguments_t arguments = {0};

    add_executable(&arguments, "fake-worker");
    add_option(&arguments, "--listen", entry->address);
    add_option(&arguments, "--prefix", entry->prefix);
    add_option(&arguments, "--record", entry->record_path);
    add_int_option(&arguments, "--workers", entry->site->workers_per_rack);
    add_int_option(&arguments, "--threads", cluster->topology.rack_threads);
    add_rack_options(&arguments, &cluster->topology);
    return start_executable(cluster, &entry->process, entry->name,
                            &arguments) &&
           FvCluster_WaitListening(entry->address, CLUSTER_START_TIMEOUT_MS);
}

static bool
start_proxy(cluster_t *cluster)
{
    arguments_t arguments = {0};
    char route[3 * Fv_ADDRESS_SIZE];

    add_executable(&arguments, "fault-proxy");
    add_option(&arguments, "--control", cluster->proxy_control);
    for (int i = 0; i < cluster->route_count; i++) {
        snprintf(route, sizeof(route), "%s=%s,%g", cluster->routes[i].listen,
                 cluster->routes[i].target, cluster->routes[i].delay_ms);
        add_option(&arguments, "--route", route);
    }
    return start_executable(cluster, &cluster->proxy, "proxy", &arguments) &&
           FvCluster_WaitListening(cluster->proxy_control,
                                   CLUSTER_START_TIMEOUT_MS);
}

/**
 * FvCluster_StartHost - start fireflyvalve on a host, without waiting for it
 * @cluster: the cell
 * @host: index of the host
 *
 * Return: false when no process can be created.
 */
bool
FvCluster_StartHost(cluster_t *cluster, int host)
{
    cluster_host_t *entry = &cluster->hosts[host];
    arguments_t arguments = {0};

    add_executable(&arguments, "fireflyvalve");
    add_argument(&arguments, "serve");
    add_option(&arguments, "--config", entry->config_path);
    return start_executable(cluster, &entry->process, entry->name, &arguments);
}

typedef struct probe {
    cluster_t *cluster;
    int host;
    const char *path;
} probe_t;

static bool
answers_200(void *context)
{
    const probe_t *probe = context;
    char url[Fv_URL_SIZE];
    http_call_t call = {.url = url, .timeout_ms = CLUSTER_PROBE_TIMEOUT_MS};
    http_reply_t reply;

    FvApi_HostUrl(probe->cluster, probe->host, probe->path, url, sizeof(url));
    FvHttp_Run(&call, &reply);
    FvHttp_FreeReply(&reply);
    return reply.status == 200;
}

/**
 * FvCluster_WaitHealthy - wait until a host's /health returns 200
 * @cluster: the cell
 * @host: index of the host
 * @timeout_ms: timeout
 *
 * Return: false on timeout.
 */
bool
FvCluster_WaitHealthy(cluster_t *cluster, int host, int64_t timeout_ms)
{
    probe_t probe = {cluster, host, "/health"};

    return FvWait_Until(answers_200, &probe, timeout_ms);
}

/**
 * FvCluster_WaitReady - wait until a host's /ready returns 200
 * @cluster: the cell
 * @host: index of the host
 * @timeout_ms: timeout
 *
 * Return: false on timeout.
 */
bool
FvCluster_WaitReady(cluster_t *cluster, int host, int64_t timeout_ms)
{
    probe_t probe = {cluster, host, "/ready"};

    return FvWait_Until(answers_200, &probe, timeout_ms);
}

static bool
plan_host(cluster_t *cluster, const topology_site_t *site)
{
    int index = cluster->host_count;
    cluster_host_t *host = &cluster->hosts[index];

    if (index == CLUSTER_HOSTS_MAX) {
        return false;
    }
    cluster->host_count++;
    host->site = site;
    snprintf(host->name, sizeof(host->name), "host-%d", index + 1);
    return FvCluster_AllocateAddress(cluster, host->http_address) &&
           FvCluster_AllocateAddress(cluster, host->link_address);
}

static bool
plan_rack(cluster_t *cluster, const topology_site_t *site)
{
    int index = cluster->rack_count;
    cluster_rack_t *rack = &cluster->racks[index];
    char name[Fv_NAME_SIZE];

    if (index == CLUSTER_RACKS_MAX) {
        return false;
    }
    cluster->rack_count++;
    rack->site = site;
    snprintf(rack->name, sizeof(rack->name), "rack-%d", index + 1);
    snprintf(rack->prefix, sizeof(rack->prefix), "r%d-w", index + 1);
    snprintf(name, sizeof(name), "rack-%d.record", index + 1);
    FvCluster_FilePath(cluster, name, rack->record_path,
                       sizeof(rack->record_path));
    return FvCluster_AllocateAddress(cluster, rack->address);
}

static bool
plan_sites(cluster_t *cluster)
{
    const topology_t *topology = &cluster->topology;
    bool planned =
        FvCluster_AllocateAddress(cluster, cluster->platform_address) &&
        FvCluster_AllocateAddress(cluster, cluster->platform_control) &&
        FvCluster_AllocateAddress(cluster, cluster->proxy_control);

    for (size_t i = 0; i < topology->site_count; i++) {
        const topology_site_t *site = &topology->sites[i];

        for (int host = 0; planned && host < site->hosts; host++) {
            planned = plan_host(cluster, site);
        }
        for (int rack = 0; planned && rack < site->racks; rack++) {
            planned = plan_rack(cluster, site);
        }
    }
    return planned && FvCluster_PlanRoutes(cluster);
}

static bool
start_fakes(cluster_t *cluster)
{
    bool started = FvCluster_StartPlatform(cluster);

    for (int rack = 0; started && rack < cluster->rack_count; rack++) {
        started = FvCluster_StartRack(cluster, rack);
    }
    if (started && cluster->topology.proxied && cluster->route_count > 0) {
        started = start_proxy(cluster);
    }
    return started;
}

/**
 * FvCluster_Open - prepare a cell and start its fakes, but no host
 * @cluster: filled in; the caller calls FvCluster_Close() also after a failure
 * @topology: layout of the cell; its sites and members must outlive @cluster
 *
 * Return: false when a process could not be started. KEEP_TEST_FILES=1 in the
 * environment keeps the logs in the cell's directory.
 */
bool
FvCluster_Open(cluster_t *cluster, const topology_t *topology)
{
    *cluster = (cluster_t){.topology = *topology};
    if (cluster->topology.cluster == NULL) {
        cluster->topology.cluster = "test-cell";
    }
    return sodium_init() >= 0 && FvCluster_PrepareDirectory(cluster) &&
           plan_sites(cluster) && FvCluster_WriteFiles(cluster) &&
           start_fakes(cluster);
}

/**
 * FvCluster_Start - open a cell and start all its hosts
 * @cluster: filled in; the caller calls FvCluster_Close() also after a failure
 * @topology: layout of the cell; its sites and members must outlive @cluster
 *
 * Return: false when a process is not healthy in time.
 */
bool
FvCluster_Start(cluster_t *cluster, const topology_t *topology)
{
    bool started = FvCluster_Open(cluster, topology);

    for (int host = 0; started && host < cluster->host_count; host++) {
        started = FvCluster_StartHost(cluster, host);
    }
    for (int host = 0; started && host < cluster->host_count; host++) {
        started =
            FvCluster_WaitHealthy(cluster, host, CLUSTER_START_TIMEOUT_MS);
    }
    return started;
}

/**
 * FvCluster_Close - kill the cell's processes and remove its files
 * @cluster: the cell
 */
void
FvCluster_Close(cluster_t *cluster)
{
    for (int host = 0; host < cluster->host_count; host++) {
        FvProcess_Kill(&cluster->hosts[host].process);
    }
    for (int rack = 0; rack < cluster->rack_count; rack++) {
        FvProcess_Kill(&cluster->racks[rack].process);
    }
    FvProcess_Kill(&cluster->proxy);
    FvProcess_Kill(&cluster->platform);
    FvCluster_RemoveDirectory(cluster);
    free(cluster->routes);
    cluster->routes = NULL;
    cluster->route_count = 0;
}
