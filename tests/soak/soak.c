/*
 * Randomized fault soak of the entry hosts: real processes, fake-cell as the
 * platform, a proxy between each host and the store, and injected faults.
 * fake-cell counts violations at the workers. At the end every accepted job
 * must be completed, and no refused job may have run.
 */

#include "entry-cell.h"
#include "fake-server.h"

#include <argtable2.h>
#include <curl/curl.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define SOAK_HOSTS_MAX 16
#define SOAK_WORKERS 6
#define SOAK_CLIENTS 6
#define SOAK_JOBS_MAX 20000
#define SOAK_SUBMIT_ATTEMPTS 4
#define SOAK_COMPLETION_TIMEOUT_MS 40000

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
    bool down;
    bool suspended;
    int64_t recover_at_ms; /* when the host is restarted or resumed */
} soak_host_t;

typedef struct soak {
    uint64_t seed;
    int hosts;
    entry_cell_t cell;
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

/* --- Clients ------------------------------------------------------------ */

static int
call_host(soak_t *soak, uint64_t *random, const char *method,
          const soak_job_t *job, const char *body, char *state, size_t size)
{
    char path[64];
    int status;

    snprintf(path, sizeof(path), "/%s/%s", job->queue, job->id);
    status = FvEntryCell_Call(&soak->cell,
                              (int)random_below(random, (uint32_t)soak->hosts),
                              method, path, body, state, size);
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
    int index = (int)random_below(random, (uint32_t)soak->hosts);
    soak_host_t *host = &soak->host[index];
    process_t *process = &soak->cell.hosts[index].process;
    uint32_t kind = random_below(random, 4);

    if (host->down || host->suspended) {
        return;
    }
    if (kind == 0) {
        printf("  stop host %d\n", index);
        FvProcess_Signal(process, SIGSTOP);
        host->suspended = true;
    }
    else if (kind == 1) {
        printf("  terminate host %d\n", index);
        FvProcess_Signal(process, SIGTERM);
        host->down = true;
    }
    else {
        printf("  kill host %d\n", index);
        FvProcess_Kill(process);
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
    FvEntryCell_PlatformFault(&soak->cell, body);
    soak->store_recover_at_ms = now_ms + 300 + random_below(random, 4000);
}

static void
inject_route_fault(soak_t *soak, uint64_t *random, int64_t now_ms)
{
    static const char *const modes[] = {"cut", "blackhole", "freeze"};
    int host = (int)random_below(random, (uint32_t)soak->hosts);
    const char *mode = modes[random_below(random, 3)];

    if (soak->route_recover_at_ms != 0) {
        return;
    }
    printf("  route of host %d: %s\n", host, mode);
    FvEntryCell_RouteFault(&soak->cell, host, mode);
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
    FvEntryCell_PlatformFault(&soak->cell, body);
    soak->worker_recover_at_ms = now_ms + 200 + random_below(random, 3000);
}

static void
clear_due_faults(soak_t *soak, int64_t now_ms)
{
    char body[96];

    for (int i = 0; i < soak->hosts; i++) {
        soak_host_t *host = &soak->host[i];
        process_t *process = &soak->cell.hosts[i].process;

        if ((!host->down && !host->suspended) ||
            now_ms < host->recover_at_ms) {
            continue;
        }
        if (host->suspended) {
            FvProcess_Signal(process, SIGCONT);
            host->suspended = false;
        }
        else if (FvProcess_HasExited(process)) {
            host->down = false;
            FvEntryCell_StartHost(&soak->cell, i);
        }
    }
    if (soak->store_recover_at_ms != 0 &&
        now_ms >= soak->store_recover_at_ms) {
        FvEntryCell_PlatformFault(&soak->cell, "{\"store\":\"up\"}");
        soak->store_recover_at_ms = 0;
    }
    if (soak->route_recover_at_ms != 0 &&
        now_ms >= soak->route_recover_at_ms) {
        FvEntryCell_RouteFault(&soak->cell, -1, "restore");
        soak->route_recover_at_ms = 0;
    }
    if (soak->worker_recover_at_ms != 0 &&
        now_ms >= soak->worker_recover_at_ms) {
        snprintf(body, sizeof(body), "{\"restart\":%d}", soak->crashed_worker);
        FvEntryCell_PlatformFault(&soak->cell, body);
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
    report = FvEntryCell_Report(&soak->cell);
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
run(soak_t *soak, int first_port, int64_t duration_s)
{
    char name[64];
    bool succeeded = false;

    snprintf(name, sizeof(name), "soak-%llu", (unsigned long long)soak->seed);
    pthread_mutex_init(&soak->lock, NULL);
    if (!FvEntryCell_Start(
            &soak->cell, &(entry_cell_options_t){.name = name,
                                                 .hosts = soak->hosts,
                                                 .workers = SOAK_WORKERS,
                                                 .first_port = first_port})) {
        goto done;
    }
    if (!FvEntryCell_WaitReady(&soak->cell, 15000)) {
        printf("the hosts did not become ready\n");
        goto done;
    }
    succeeded = run_load(soak, duration_s);
done:
    FvEntryCell_Stop(&soak->cell);
    printf("soak seed=%llu %s (logs in %s)\n", (unsigned long long)soak->seed,
           succeeded ? "passed" : "FAILED", soak->cell.directory);
    return succeeded ? 0 : 1;
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
    if (soak.hosts < 1 || soak.hosts > SOAK_HOSTS_MAX) {
        fprintf(stderr, "soak: 1 to %d hosts\n", SOAK_HOSTS_MAX);
        return 2;
    }
    code = run(&soak, port->count > 0 ? port->ival[0] : 0,
               duration_s->count > 0 ? duration_s->ival[0] : 20);
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}
