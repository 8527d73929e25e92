/*
 * Randomized fault soak of the entry hosts: real processes, fake-cell as the
 * platform, a proxy between each host and the store, and injected faults.
 * fake-cell counts violations at the workers. At the end every accepted job
 * must be completed, and no refused job may have run.
 */

#include "fake-server.h"
#include "fireflyvalve.h"
#include "http-call.h"
#include "process.h"

#include <argtable2.h>
#include <arpa/inet.h>
#include <curl/curl.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define SOAK_HOSTS_MAX 16
#define SOAK_WORKERS 6
#define SOAK_CLIENTS 6
#define SOAK_JOBS_MAX 20000
#define SOAK_SUBMIT_ATTEMPTS 4
#define SOAK_CALL_TIMEOUT_MS 3000
#define SOAK_COMPLETION_TIMEOUT_MS 40000
#define SOAK_FIRST_PORT 21000
#define SOAK_PORT_RANGE_SIZE 500
#define SOAK_PORT_RANGES 20 /* soaks that can run at the same time */

/* Offsets from the first port. */
#define SOAK_PORT_CONTROL 2
#define SOAK_PORT_LOCK 89 /* bound while a soak uses the range */
#define SOAK_PORT_PROXY 90
#define SOAK_PORT_ROUTES 100
#define SOAK_PORT_HOSTS 200
#define SOAK_PORTS_PER_HOST 10

typedef enum soak_state {
    SOAK_UNKNOWN, /* no final answer; the job may run */
    SOAK_ACCEPTED,
    SOAK_REFUSED, /* every attempt was rejected */
    SOAK_CANCELLED,
    SOAK_MAY_BE_CANCELLED /* the cancellation was not answered */
} soak_state_t;

typedef struct soak_job {
    char id[17];
    const char *queue;
    soak_state_t state;
} soak_job_t;

typedef struct soak_host {
    process_t process;
    char settings[512];
    bool down;
    bool suspended;
    int64_t recover_at_ms; /* when the host is restarted or resumed */
} soak_host_t;

typedef struct soak {
    uint64_t seed;
    int port;
    int hosts;
    char directory[256];
    process_t cell;
    process_t proxy;
    soak_host_t host[SOAK_HOSTS_MAX];
    pthread_mutex_t lock;
    soak_job_t jobs[SOAK_JOBS_MAX];
    uint32_t job_count;
    uint32_t reply_counts[6]; /* by first digit of the status; 0: no reply */
    atomic_bool finished;
    int64_t store_recover_at_ms;
    int64_t route_recover_at_ms;
    int64_t worker_recover_at_ms;
    int crashed_worker;
} soak_t;

static uint32_t
random_below(uint64_t *state, uint32_t limit)
{
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    return (uint32_t)(*state >> 20) % limit;
}

/* --- Processes ---------------------------------------------------------- */

static const char *
build_path(const char *name)
{
    static char path[4][512];
    static int next;
    const char *build = getenv("BUILD");

    next = (next + 1) % 4;
    snprintf(path[next], sizeof(path[next]), "%s/%s",
             build != NULL ? build : "build", name);
    return path[next];
}

static bool
start_cell(soak_t *soak)
{
    char log[512];
    char port[16];
    char workers[16];
    const char *argv[] = {
        build_path("fake-cell"), "--port", port, "--workers", workers, NULL};

    snprintf(log, sizeof(log), "%s/cell.log", soak->directory);
    snprintf(port, sizeof(port), "%d", soak->port);
    snprintf(workers, sizeof(workers), "%d", SOAK_WORKERS);
    return FvProcess_Start(&soak->cell, log, argv);
}

static bool
start_proxy(soak_t *soak)
{
    char routes[SOAK_HOSTS_MAX][64];
    char control[64];
    char log[512];
    const char *argv[SOAK_HOSTS_MAX * 2 + 4] = {build_path("fault-proxy"),
                                                "--control", control};
    int count = 3;

    snprintf(log, sizeof(log), "%s/proxy.log", soak->directory);
    snprintf(control, sizeof(control), "127.0.0.1:%d",
             soak->port + SOAK_PORT_PROXY);
    for (int i = 0; i < soak->hosts; i++) {
        snprintf(routes[i], sizeof(routes[i]), "127.0.0.1:%d=127.0.0.1:%d",
                 soak->port + SOAK_PORT_ROUTES + i, soak->port);
        argv[count++] = "--route";
        argv[count++] = routes[i];
    }
    argv[count] = NULL;
    return FvProcess_Start(&soak->proxy, log, argv);
}

static int
host_port(const soak_t *soak, int host, int offset)
{
    return soak->port + SOAK_PORT_HOSTS + host * SOAK_PORTS_PER_HOST + offset;
}

static bool
write_settings(soak_t *soak, int host)
{
    FILE *file;

    snprintf(soak->host[host].settings, sizeof(soak->host[host].settings),
             "%s/host-%d.toml", soak->directory, host);
    file = fopen(soak->host[host].settings, "w");
    if (file == NULL) {
        return false;
    }
    fprintf(file,
            "host = \"host-%d\"\ndata_center = \"a\"\nregion = \"a\"\n"
            "address = \"127.0.0.1\"\ncallers_address = \"127.0.0.1:%d\"\n"
            "ready_address = \"127.0.0.1:%d\"\n"
            "metrics_address = \"127.0.0.1:%d\"\nlink_port = %d\n"
            "cpu_cores = 1.0\nstore_address = \"127.0.0.1:%d\"\n"
            "store_lease_min_ms = 1000\nadvice_address = \"127.0.0.1:%d\"\n"
            "descriptors_max = 1024\nlease_max_ms = 10000\nstop_timeout_ms = "
            "100\ngang_timeout_ms = "
            "3000\ndrain_ms = 6000\n"
            "keep_ended_s = 120\nlog_level = \"info\"\n",
            host, host_port(soak, host, 0), host_port(soak, host, 1),
            host_port(soak, host, 2), host_port(soak, host, 3),
            soak->port + SOAK_PORT_ROUTES + host, soak->port + 1);
    return fclose(file) == 0;
}

static bool
start_host(soak_t *soak, int host)
{
    char log[512];
    const char *argv[] = {build_path("fireflyvalve"), "entry", "--config",
                          soak->host[host].settings, NULL};

    snprintf(log, sizeof(log), "%s/host-%d.log", soak->directory, host);
    soak->host[host].down = false;
    return FvProcess_Start(&soak->host[host].process, log, argv);
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
                              .timeout_ms = SOAK_CALL_TIMEOUT_MS},
               &reply);
    succeeded = reply.status == 200;
    FvHttp_FreeReply(&reply);
    return succeeded;
}

/* --- Clients ------------------------------------------------------------ */

static int
call_host(soak_t *soak, uint64_t *random, const char *method,
          const soak_job_t *job, const char *body, char *state, size_t size)
{
    char url[256];
    http_reply_t reply;
    int status;
    json_t *document;

    snprintf(
        url, sizeof(url), "http://127.0.0.1:%d/%s/%s",
        host_port(soak, (int)random_below(random, (uint32_t)soak->hosts), 0),
        job->queue, job->id);
    FvHttp_Run(&(http_call_t){.method = method,
                              .url = url,
                              .body = body,
                              .body_length = body ? strlen(body) : 0,
                              .timeout_ms = SOAK_CALL_TIMEOUT_MS},
               &reply);
    status = reply.status;
    document = FvHttp_ReplyJson(&reply);
    FvJson_CopyString(document, "state", state, size);
    json_decref(document);
    FvHttp_FreeReply(&reply);
    pthread_mutex_lock(&soak->lock);
    soak->reply_counts[status / 100 < 6 ? status / 100 : 5]++;
    pthread_mutex_unlock(&soak->lock);
    return status;
}

static soak_job_t *
new_job(soak_t *soak, uint64_t *random)
{
    soak_job_t *job = NULL;

    pthread_mutex_lock(&soak->lock);
    if (soak->job_count < SOAK_JOBS_MAX) {
        job = &soak->jobs[soak->job_count++];
        snprintf(job->id, sizeof(job->id), "%08x%08x",
                 random_below(random, UINT32_MAX), soak->job_count);
        job->queue = random_below(random, 3) == 0 ? "slow" : "fast";
        job->state = SOAK_UNKNOWN;
    }
    pthread_mutex_unlock(&soak->lock);
    return job;
}

static void
submit(soak_t *soak, uint64_t *random, soak_job_t *job)
{
    bool slow = strcmp(job->queue, "slow") == 0;
    bool rejected = true;
    char step[128];
    char body[512];
    char state[32];
    uint32_t cpu = 200 + random_below(random, 8) * 200;

    snprintf(step, sizeof(step),
             "{\"count\":%u,\"cpu\":%u,\"memMb\":10,\"estimatedMs\":200",
             1 + random_below(random, 3), cpu);
    snprintf(body, sizeof(body),
             "{\"taskSpec\":\"run_ms=%u cpu=%u\",\"steps\":[%s}%s%s%s]}",
             50 + random_below(random, slow ? 900 : 200), cpu, step,
             slow ? "," : "", slow ? step : "", slow ? ",\"after\":[0]}" : "");
    for (int i = 0; i < SOAK_SUBMIT_ATTEMPTS; i++) {
        int status =
            call_host(soak, random, "POST", job, body, state, sizeof(state));

        if (status == 200) {
            job->state = SOAK_ACCEPTED;
            return;
        }
        rejected = rejected && (status == 503 || status == 429);
        FvFake_SleepMs(200 + random_below(random, 800));
    }
    job->state = rejected ? SOAK_REFUSED : SOAK_UNKNOWN;
}

typedef struct soak_client {
    soak_t *soak;
    uint64_t random;
} soak_client_t;

static void *
run_client(void *context)
{
    soak_client_t *client = context;
    soak_t *soak = client->soak;
    char state[32];

    while (!atomic_load(&soak->finished)) {
        soak_job_t *job = new_job(soak, &client->random);

        if (job == NULL) {
            break;
        }
        submit(soak, &client->random, job);
        if (job->state == SOAK_ACCEPTED &&
            random_below(&client->random, 20) == 0) {
            job->state = call_host(soak, &client->random, "DELETE", job, NULL,
                                   state, sizeof(state)) == 200
                             ? SOAK_CANCELLED
                             : SOAK_MAY_BE_CANCELLED;
        }
        FvFake_SleepMs(random_below(&client->random, 120));
    }
    return NULL;
}

/* --- Faults ------------------------------------------------------------- */

static void
inject_host_fault(soak_t *soak, uint64_t *random, int64_t now_ms)
{
    soak_host_t *host =
        &soak->host[random_below(random, (uint32_t)soak->hosts)];
    uint32_t kind = random_below(random, 4);

    if (host->down || host->suspended) {
        return;
    }
    if (kind == 0) {
        printf("  stop %s\n", host->settings);
        FvProcess_Signal(&host->process, SIGSTOP);
        host->suspended = true;
    }
    else if (kind == 1) {
        printf("  terminate %s\n", host->settings);
        FvProcess_Signal(&host->process, SIGTERM);
        host->down = true;
    }
    else {
        printf("  kill %s\n", host->settings);
        FvProcess_Kill(&host->process);
        host->down = true;
    }
    host->recover_at_ms = now_ms + 300 + random_below(random, 3500);
}

static void
inject_store_fault(soak_t *soak, uint64_t *random, int64_t now_ms)
{
    static const char *const modes[] = {"busy", "silent", "lost"};
    char body[64];

    if (soak->store_recover_at_ms != 0) {
        return;
    }
    snprintf(body, sizeof(body), "{\"store\":\"%s\"}",
             modes[random_below(random, 3)]);
    printf("  store %s\n", body);
    post_fault(soak->port + SOAK_PORT_CONTROL, body);
    soak->store_recover_at_ms = now_ms + 300 + random_below(random, 4000);
}

static void
inject_route_fault(soak_t *soak, uint64_t *random, int64_t now_ms)
{
    static const char *const modes[] = {"cut", "blackhole", "freeze"};
    char body[160];

    if (soak->route_recover_at_ms != 0) {
        return;
    }
    snprintf(body, sizeof(body),
             "{\"route\":\"127.0.0.1:%d\",\"mode\":\"%s\"}",
             soak->port + SOAK_PORT_ROUTES +
                 (int)random_below(random, (uint32_t)soak->hosts),
             modes[random_below(random, 3)]);
    printf("  route %s\n", body);
    post_fault(soak->port + SOAK_PORT_PROXY, body);
    soak->route_recover_at_ms = now_ms + 300 + random_below(random, 5000);
}

static void
inject_worker_fault(soak_t *soak, uint64_t *random, int64_t now_ms)
{
    char body[64];

    if (soak->worker_recover_at_ms != 0) {
        return;
    }
    soak->crashed_worker = (int)random_below(random, SOAK_WORKERS);
    snprintf(body, sizeof(body), "{\"crash\":%d}", soak->crashed_worker);
    printf("  worker %s\n", body);
    post_fault(soak->port + SOAK_PORT_CONTROL, body);
    soak->worker_recover_at_ms = now_ms + 200 + random_below(random, 3000);
}

static void
clear_due_faults(soak_t *soak, int64_t now_ms)
{
    char body[96];

    for (int i = 0; i < soak->hosts; i++) {
        soak_host_t *host = &soak->host[i];

        if ((!host->down && !host->suspended) ||
            now_ms < host->recover_at_ms) {
            continue;
        }
        if (host->suspended) {
            FvProcess_Signal(&host->process, SIGCONT);
            host->suspended = false;
        }
        else if (FvProcess_HasExited(&host->process)) {
            start_host(soak, i);
        }
    }
    if (soak->store_recover_at_ms != 0 &&
        now_ms >= soak->store_recover_at_ms) {
        post_fault(soak->port + SOAK_PORT_CONTROL, "{\"store\":\"up\"}");
        soak->store_recover_at_ms = 0;
    }
    if (soak->route_recover_at_ms != 0 &&
        now_ms >= soak->route_recover_at_ms) {
        post_fault(soak->port + SOAK_PORT_PROXY,
                   "{\"route\":\"*\",\"mode\":\"restore\"}");
        soak->route_recover_at_ms = 0;
    }
    if (soak->worker_recover_at_ms != 0 &&
        now_ms >= soak->worker_recover_at_ms) {
        snprintf(body, sizeof(body), "{\"restart\":%d}", soak->crashed_worker);
        post_fault(soak->port + SOAK_PORT_CONTROL, body);
        soak->worker_recover_at_ms = 0;
    }
}

static void
inject_faults(soak_t *soak, int64_t duration_s)
{
    uint64_t random = soak->seed * UINT64_C(0x9e3779b97f4a7c15) | 1;
    int64_t end_ms = FvClock_NowMs() + duration_s * Fv_MS_PER_S;
    int64_t next_fault_ms = 0;

    while (FvClock_NowMs() < end_ms) {
        int64_t now_ms = FvClock_NowMs();

        clear_due_faults(soak, now_ms);
        if (now_ms >= next_fault_ms) {
            static void (*const injectors[])(soak_t *, uint64_t *, int64_t) = {
                inject_host_fault, inject_host_fault, inject_store_fault,
                inject_route_fault, inject_worker_fault};

            injectors[random_below(&random, 5)](soak, &random, now_ms);
            next_fault_ms = now_ms + 300 + random_below(&random, 1700);
        }
        FvFake_SleepMs(50);
    }
    clear_due_faults(soak, INT64_MAX);
}

/* --- Outcome ------------------------------------------------------------ */

static uint32_t
count_unfinished(soak_t *soak, uint64_t *random, bool print)
{
    uint32_t unfinished = 0;

    for (uint32_t i = 0; i < soak->job_count; i++) {
        soak_job_t *job = &soak->jobs[i];
        char state[32] = "";
        int status;

        if (job->state != SOAK_ACCEPTED &&
            job->state != SOAK_MAY_BE_CANCELLED) {
            continue;
        }
        status =
            call_host(soak, random, "GET", job, NULL, state, sizeof(state));
        if (status == 200 && (strcmp(state, "completed") == 0 ||
                              (job->state == SOAK_MAY_BE_CANCELLED &&
                               strcmp(state, "cancelled") == 0))) {
            job->state = SOAK_CANCELLED; /* final; skipped from now on */
            continue;
        }
        unfinished++;
        if (print) {
            printf("OPEN job=%s status=%d state=%s\n", job->id, status, state);
        }
    }
    return unfinished;
}

static uint32_t
count_refused_but_ran(const soak_t *soak, const json_t *started)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < soak->job_count; i++) {
        const soak_job_t *job = &soak->jobs[i];

        if (job->state == SOAK_REFUSED &&
            json_object_get(started, job->id) != NULL) {
            printf("REFUSED BUT RAN job=%s\n", job->id);
            count++;
        }
    }
    return count;
}

static bool
check_outcome(soak_t *soak)
{
    uint64_t random = soak->seed | 1;
    int64_t until_ms = FvClock_NowMs() + SOAK_COMPLETION_TIMEOUT_MS;
    char url[128];
    json_t *report;
    uint32_t unfinished;
    uint32_t refused_but_ran;
    int64_t violations;

    while (count_unfinished(soak, &random, false) > 0 &&
           FvClock_NowMs() < until_ms) {
        FvFake_SleepMs(500);
        clear_due_faults(soak, INT64_MAX);
    }
    unfinished = count_unfinished(soak, &random, true);
    snprintf(url, sizeof(url), "http://127.0.0.1:%d/report",
             soak->port + SOAK_PORT_CONTROL);
    report = FvHttp_GetJson(url);
    violations = FvJson_Int(report, "violations", -1);
    refused_but_ran =
        count_refused_but_ran(soak, json_object_get(report, "started"));
    printf("seed=%llu jobs=%u starts=%lld violations=%lld open=%u "
           "refused_but_ran=%u answers 2xx=%u 4xx=%u 5xx=%u none=%u %s\n",
           (unsigned long long)soak->seed, soak->job_count,
           (long long)FvJson_Int(report, "starts", 0), (long long)violations,
           unfinished, refused_but_ran, soak->reply_counts[2],
           soak->reply_counts[4], soak->reply_counts[5], soak->reply_counts[0],
           violations > 0 ? FvJson_String(report, "first") : "");
    json_decref(report);
    return violations == 0 && unfinished == 0 && refused_but_ran == 0;
}

static bool
wait_until_ready(soak_t *soak)
{
    int64_t until_ms = FvClock_NowMs() + 15000;
    int ready = 0;

    while (ready < soak->hosts && FvClock_NowMs() < until_ms) {
        ready = 0;
        for (int i = 0; i < soak->hosts; i++) {
            char url[128];
            http_reply_t reply;

            snprintf(url, sizeof(url), "http://127.0.0.1:%d/ready",
                     host_port(soak, i, 1));
            FvHttp_Run(&(http_call_t){.url = url, .timeout_ms = 500}, &reply);
            ready += reply.status == 200;
            FvHttp_FreeReply(&reply);
        }
        FvFake_SleepMs(100);
    }
    return ready == soak->hosts;
}

static bool
run_load(soak_t *soak, int64_t duration_s)
{
    pthread_t threads[SOAK_CLIENTS];
    soak_client_t clients[SOAK_CLIENTS];

    for (int i = 0; i < SOAK_CLIENTS; i++) {
        clients[i] = (soak_client_t){
            .soak = soak, .random = (soak->seed * 100 + (uint64_t)i) * 2 + 1};
        pthread_create(&threads[i], NULL, run_client, &clients[i]);
    }
    inject_faults(soak, duration_s);
    atomic_store(&soak->finished, true);
    for (int i = 0; i < SOAK_CLIENTS; i++) {
        pthread_join(threads[i], NULL);
    }
    return check_outcome(soak);
}

static int
run(soak_t *soak, int64_t duration_s)
{
    bool succeeded = false;

    snprintf(soak->directory, sizeof(soak->directory), "%s/soak-%llu",
             getenv("BUILD") ? getenv("BUILD") : "build",
             (unsigned long long)soak->seed);
    mkdir(soak->directory, 0755);
    pthread_mutex_init(&soak->lock, NULL);
    if (!start_cell(soak) || !start_proxy(soak)) {
        goto done;
    }
    FvFake_SleepMs(300);
    for (int i = 0; i < soak->hosts; i++) {
        if (!write_settings(soak, i) || !start_host(soak, i)) {
            goto done;
        }
    }
    if (!wait_until_ready(soak)) {
        printf("the hosts did not become ready\n");
        goto done;
    }
    succeeded = run_load(soak, duration_s);
done:
    for (int i = 0; i < soak->hosts; i++) {
        FvProcess_Kill(&soak->host[i].process);
    }
    FvProcess_Kill(&soak->proxy);
    FvProcess_Kill(&soak->cell);
    printf("soak seed=%llu %s (logs in %s)\n", (unsigned long long)soak->seed,
           succeeded ? "passed" : "FAILED", soak->directory);
    return succeeded ? 0 : 1;
}

/* Reserves a range of ports, because two soaks on one range would check each
 * other's hosts. Returns the first port, or 0. */
static int32_t
lock_port_range(int32_t first)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    for (int i = 0; fd >= 0 && i < SOAK_PORT_RANGES; i++) {
        address.sin_port = htons((uint16_t)(first + SOAK_PORT_LOCK));
        if (bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0) {
            return first; /* the socket stays open until the soak ends */
        }
        first += SOAK_PORT_RANGE_SIZE;
    }
    return 0;
}

int
main(int argc, char **argv)
{
    static soak_t soak;
    struct arg_int *seed = arg_int0(NULL, "seed", "N", "random seed");
    struct arg_int *duration_s = arg_int0(NULL, "seconds", "N", "duration");
    struct arg_int *hosts = arg_int0(NULL, "hosts", "N", "1 to 16");
    struct arg_int *port = arg_int0(NULL, "port", "N", "first port");
    struct arg_end *end = arg_end(4);
    void *table[] = {seed, duration_s, hosts, port, end};
    int code;

    if (arg_parse(argc, argv, table) != 0) {
        arg_print_errors(stderr, end, "soak");
        return 2;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    setvbuf(stdout, NULL, _IOLBF, 0);
    soak.seed = seed->count > 0 ? (uint64_t)seed->ival[0] : 1;
    soak.hosts = hosts->count > 0 ? hosts->ival[0] : 4;
    soak.port =
        lock_port_range(port->count > 0 ? port->ival[0] : SOAK_FIRST_PORT);
    if (soak.port == 0) {
        fprintf(stderr, "soak: no free range of ports\n");
        return 2;
    }
    if (soak.hosts < 1 || soak.hosts > SOAK_HOSTS_MAX) {
        fprintf(stderr, "soak: 1 to %d hosts\n", SOAK_HOSTS_MAX);
        return 2;
    }
    code = run(&soak, duration_s->count > 0 ? duration_s->ival[0] : 20);
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}
