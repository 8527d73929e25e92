/*
 * Randomized fault soak of the entry hosts: real processes, fake-cell as the
 * platform, a proxy between each host and the store, and injected faults.
 * fake-cell counts violations at the workers. At the end every accepted job
 * must be completed, no refused job may have run, no task of a cancelled job
 * may have started late, no call may have passed under a removed key, and no
 * request may have ended without an answer.
 */

#include "soak.h"

#include "fake-server.h"

#include <argtable2.h>
#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#define SOAK_COMPLETION_TIMEOUT_MS 40000
#define SOAK_START_TIMEOUT_MS 30000
#define SOAK_SPLIT_SEEDS 3 /* one of so many splits the cell */
#define SOAK_KEY_SEEDS 2   /* one of so many has customers */

/* The longest time from the acknowledgement of a cancellation to a start of
 * one of the job's tasks. */
#define SOAK_CANCEL_MS 3000

/**
 * FvSoak_Random - draw a pseudorandom number (xorshift)
 * @state: state of the generator, not 0
 * @limit: above the numbers
 *
 * Return: the number.
 */
uint32_t
FvSoak_Random(uint64_t *state, uint32_t limit)
{
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    return (uint32_t)(*state >> 20) % limit;
}

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
            FvSoakClients_Call(soak, random, "GET", job, state, sizeof(state));
        if (status == 200 && (strcmp(state, "completed") == 0 ||
                              (job->state == SOAK_MAY_BE_CANCELLED &&
                               strcmp(state, "cancelled") == 0))) {
            job->state = SOAK_ENDED; /* skipped from now on */
            continue;
        }
        unfinished++;
        if (print) {
            printf("OPEN job=%s status=%d state=%s\n", job->id, status, state);
        }
    }
    return unfinished;
}

/* @started: the time of the latest start of each job */
static uint32_t
count_unasked(const soak_t *soak, const json_t *started)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < soak->job_count; i++) {
        const soak_job_t *job = &soak->jobs[i];
        int64_t started_ms = FvJson_Int(started, job->id, 0);

        if (job->state == SOAK_REFUSED && started_ms != 0) {
            printf("REFUSED BUT RAN job=%s\n", job->id);
            count++;
        }
        if (job->cancelled_ms != 0 &&
            started_ms > job->cancelled_ms + SOAK_CANCEL_MS) {
            printf("STARTED AFTER ITS CANCELLATION job=%s, %lld ms after host "
                   "%d answered %d\n",
                   job->id, (long long)(started_ms - job->cancelled_ms),
                   job->cancel_host, job->cancel_status);
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
    uint32_t unasked;
    int64_t violations;

    /* Without the platform, open jobs tell nothing of the hosts. */
    while (!FvEntryCell_PlatformEnded(&soak->cell) &&
           count_unfinished(soak, &random, false) > 0 &&
           FvClock_NowMs() < until_ms) {
        FvFake_SleepMs(500);
        FvSoakFaults_ClearDue(soak, INT64_MAX);
    }
    if (FvEntryCell_PlatformEnded(&soak->cell)) {
        return false;
    }
    unfinished = count_unfinished(soak, &random, true);
    report = FvEntryCell_Report(&soak->cell);
    violations = FvJson_Int(report, "violations", -1);
    unasked = count_unasked(soak, json_object_get(report, "started"));
    printf("seed=%llu jobs=%u starts=%lld late=%lld violations=%lld open=%u "
           "unasked=%u keys=%u "
           "lost=%u closed_early=%u wrong=%u stale=%u answers 2xx=%u 4xx=%u "
           "5xx=%u "
           "none=%u %s\n",
           (unsigned long long)soak->seed, soak->job_count,
           (long long)FvJson_Int(report, "starts", 0),
           (long long)FvJson_Int(report, "late_starts", 0),
           (long long)violations, unfinished, unasked, soak->key_violations,
           soak->lost, soak->closed_early, soak->wrong_answers, soak->stale,
           soak->reply_counts[2], soak->reply_counts[4], soak->reply_counts[5],
           soak->reply_counts[0],
           violations > 0 ? FvJson_String(report, "first") : "");
    json_decref(report);
    return violations == 0 && unfinished == 0 && unasked == 0 &&
           soak->key_violations == 0 && soak->lost == 0 &&
           soak->wrong_answers == 0;
}

static bool
run_load(soak_t *soak, int64_t duration_s)
{
    pthread_t threads[SOAK_CLIENTS_MAX];
    pthread_t probes[SOAK_PROBES];

    if (!FvSoakClients_Start(soak, threads) ||
        !FvSoakProbes_Start(soak, probes)) {
        return false;
    }
    FvSoakFaults_Inject(soak, duration_s);
    atomic_store(&soak->finished, true);
    for (int i = 0; i < soak->clients; i++) {
        pthread_join(threads[i], NULL);
    }
    for (int i = 0; i < SOAK_PROBES; i++) {
        pthread_join(probes[i], NULL);
    }
    return check_outcome(soak);
}

static int
run(soak_t *soak, int first_port, int64_t duration_s)
{
    /* The platform's limit of connections, and pages that fill in seconds. */
    static const char *const platform[] = {"--connections", "64",
                                           "--ends-page", "12", NULL};
    entry_cell_options_t options = {.hosts = soak->hosts,
                                    .workers = soak->workers,
                                    .platform_options = platform,
                                    .splits = soak->splits,
                                    .first_port = first_port};
    char name[64];
    bool succeeded = false;

    snprintf(name, sizeof(name), "soak-%llu", (unsigned long long)soak->seed);
    options.name = name;
    pthread_mutex_init(&soak->lock, NULL);
    if (!FvEntryCell_Start(&soak->cell, &options)) {
        goto done;
    }
    if (!FvEntryCell_WaitReady(&soak->cell, SOAK_START_TIMEOUT_MS)) {
        printf("the hosts did not become ready\n");
        goto done;
    }
    if (!FvSoakKeys_Start(soak)) {
        printf("a host did not adopt the customers\n");
        goto done;
    }
    succeeded = run_load(soak, duration_s);
done:
    FvEntryCell_Stop(&soak->cell);
    printf("soak seed=%llu %s (logs in %s)\n", (unsigned long long)soak->seed,
           succeeded ? "passed" : "FAILED", soak->cell.directory);
    return succeeded ? 0 : 1;
}

static int
option(const struct arg_int *argument, int fallback)
{
    return argument->count > 0 ? argument->ival[0] : fallback;
}

int
main(int argc, char **argv)
{
    static soak_t soak;
    struct arg_int *seed = arg_int0(NULL, "seed", "N", "random seed");
    struct arg_int *duration_s = arg_int0(NULL, "seconds", "N", "duration");
    struct arg_int *hosts = arg_int0(NULL, "hosts", "N", "1 to 70");
    struct arg_int *workers = arg_int0(NULL, "workers", "N", "1 to 80");
    struct arg_int *clients = arg_int0(NULL, "clients", "N", "1 to 256");
    struct arg_int *port = arg_int0(NULL, "port", "N", "first port");
    struct arg_int *splits = arg_int0(
        NULL, "splits", "0|1", "split the cell (with every third seed)");
    struct arg_int *keys =
        arg_int0(NULL, "keys", "0|1", "customers (with every second seed)");
    struct arg_end *end = arg_end(4);
    void *table[] = {seed, duration_s, hosts, workers, clients,
                     port, splits,     keys,  end};
    int code = 2;

    if (arg_parse(argc, argv, table) != 0) {
        arg_print_errors(stderr, end, "soak");
        goto done;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    setvbuf(stdout, NULL, _IOLBF, 0);
    soak.config_version = 1;
    soak.seed = (uint64_t)option(seed, 1);
    soak.splits = option(splits, soak.seed % SOAK_SPLIT_SEEDS == 0) != 0;
    soak.keys = option(keys, soak.seed % SOAK_KEY_SEEDS == 0) != 0;
    /* With four hosts, one that ends leaves no half on either side. */
    soak.hosts = option(hosts, soak.splits ? 6 : 4);
    soak.workers = option(workers, soak.splits ? 8 : 6);
    soak.clients = option(clients, 12);
    if (soak.hosts < 1 || soak.hosts > ENTRY_CELL_HOSTS_MAX ||
        soak.workers < 1 || soak.workers > ENTRY_CELL_WORKERS_MAX ||
        soak.clients < 1 || soak.clients > SOAK_CLIENTS_MAX) {
        fprintf(stderr,
                "soak: 1 to %d hosts, 1 to %d workers, 1 to %d "
                "clients\n",
                ENTRY_CELL_HOSTS_MAX, ENTRY_CELL_WORKERS_MAX,
                SOAK_CLIENTS_MAX);
        goto done;
    }
    code = run(&soak, option(port, 0), option(duration_s, 60));
done:
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}
