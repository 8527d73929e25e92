/*
 * Guards against a job of an exclusive workload that runs in two places at
 * the same time: two hosts that both believe the job theirs, or a second
 * attempt while the first one still runs on a worker out of reach.
 */

#include "fake-server.h"
#include "promise.h"

#include <signal.h>

#define EXCLUSIVE_SEED 101
#define JOBS_PER_HOST 2
#define JOB_RUN_MS 3500
/* Outlives the worker's own stop. */
#define JOB_LONG_MS 6000
#define START_LIMIT_MS 8000
/* The list notices a host's loss within this time. */
#define LIST_LAG_MS 500
/* Longer than lease, silence limit and takeover together, so that the others
 * have taken over when the host comes back. */
#define ABSENCE_MS 10000
/* The worker's own stop: lease of 3 s and 2 s without a holder. */
#define STOP_LIMIT_MS 6500
/* Section 8 of the design: the last holder's lease ends after 3 s, then
 * 3,800 ms pass, and the home asks about every second. */
#define RERUN_LIMIT_MS (3000 + 3800 + 2500)
/* The list drops the home, a silence of 6 s proves it gone, its successor
 * reads its claims every 2 s and waits 2,300 ms for its reservations to
 * expire. */
#define TAKEOVER_LIMIT_MS (LIST_LAG_MS + 6000 + 2000 + 2300 + RERUN_LIMIT_MS)
/* A lease call whose answer is lost may have been granted up to its own time
 * limit of 1.5 s after the expiry, for another 3 s. */
#define RERUN_SILENT_LIMIT_MS (RERUN_LIMIT_MS + 1500 + 3000)

/* Two rebuilds and a gang from each host; returns when all have started. */
static bool
start_jobs(promise_t *promise, promise_place_t *places)
{
    char key[Fv_KEY_SIZE];
    int first = promise->caller_count;
    bool started = true;

    for (int host = 0; host < promise->cluster.host_count; host++) {
        for (int i = 0; i < JOBS_PER_HOST; i++) {
            snprintf(key, sizeof(key), "rebuild-%d-%d", host, i);
            FvPromise_Caller(promise, host, "rebuild", key, JOB_RUN_MS);
        }
        snprintf(key, sizeof(key), "gang-%d", host);
        FvPromise_Caller(promise, host, "gang", key, JOB_RUN_MS);
    }
    FvPromise_StartCallers(promise, first);
    for (int i = first; started && i < promise->caller_count; i++) {
        started = FvPromise_WaitStart(promise, promise->callers[i].key, 0,
                                      START_LIMIT_MS, &places[i]);
    }
    return started;
}

/* A host that holds the lease under a job of another host; it is also home of
 * jobs of its own. */
static int
choose_victim(promise_t *promise, const promise_place_t *places)
{
    for (int i = 0; i < promise->caller_count; i++) {
        if (places[i].holder >= 0 &&
            places[i].holder != promise->callers[i].host) {
            return places[i].holder;
        }
    }
    FvPromise_Fail(promise, "no job runs under another host's lease");
    return 0;
}

static void
kill_host(promise_t *promise, int host)
{
    FvPromise_KillHost(promise, host, LIST_LAG_MS);
}

static void
freeze_host(promise_t *promise, int host)
{
    cluster_host_t *entry = &promise->cluster.hosts[host];

    FvProcess_Signal(&entry->process, SIGSTOP);
    FvFake_SleepMs(LIST_LAG_MS);
    FvCluster_SetState(&promise->cluster, entry->name, "gone");
    FvFake_SleepMs(ABSENCE_MS - LIST_LAG_MS);
    FvProcess_Signal(&entry->process, SIGCONT);
    FvCluster_SetState(&promise->cluster, entry->name, "live");
}

static void
cut_host_off(promise_t *promise, int host)
{
    cluster_host_t *entry = &promise->cluster.hosts[host];

    FvPromise_Expect(
        promise, FvCluster_IsolateHost(&promise->cluster, host, "blackhole"),
        "a host can be cut off");
    FvFake_SleepMs(LIST_LAG_MS);
    FvCluster_SetState(&promise->cluster, entry->name, "gone");
    FvFake_SleepMs(ABSENCE_MS - LIST_LAG_MS);
    FvCluster_IsolateHost(&promise->cluster, host, "restore");
    FvCluster_SetState(&promise->cluster, entry->name, "live");
}

static void
run_host_loss(promise_t *promise, void (*lose)(promise_t *promise, int host))
{
    promise_place_t places[16] = {0};

    if (start_jobs(promise, places)) {
        FvFake_SleepMs(FvDraw_Between(&promise->draw, 0, 500));
        lose(promise, choose_victim(promise, places));
    }
    FvPromise_JoinCallers(promise);
}

static void
run_host_killed(promise_t *promise)
{
    run_host_loss(promise, kill_host);
}

static void
run_host_frozen(promise_t *promise)
{
    run_host_loss(promise, freeze_host);
}

static void
run_host_cut_off(promise_t *promise)
{
    run_host_loss(promise, cut_host_off);
}

static void
expect_self_stop(promise_t *promise, const char *key, int64_t cut_us,
                 int64_t limit_ms)
{
    records_t records;
    const record_t *stop;

    FvCluster_ReadRecords(&promise->cluster, &records);
    stop = FvRecords_Find(&records, RECORD_STOPPED, PROMISE_MEMBER, key, 0);
    if (stop == NULL) {
        FvPromise_Fail(promise, "the worker never stopped %s by itself", key);
    }
    else if (stop->at_us - cut_us > limit_ms * 1000) {
        FvPromise_Fail(promise,
                       "the worker stopped %s only %lld us after "
                       "it was cut off",
                       key, (long long)(stop->at_us - cut_us));
    }
    FvRecords_Free(&records);
}

/* The worker stays out of reach until the end of the case. */
static void
run_worker_cut_off(promise_t *promise, const char *mode, int64_t limit_ms)
{
    promise_place_t place;
    promise_place_t again;
    int64_t cut_us;

    FvPromise_Caller(promise, 0, "rebuild", "r1", JOB_LONG_MS)->limit_ms =
        30000;
    FvPromise_StartCallers(promise, 0);
    if (FvPromise_WaitStart(promise, "r1", 0, START_LIMIT_MS, &place)) {
        FvCluster_SetRoute(&promise->cluster, ROUTE_RACK, CLUSTER_ALL,
                           place.rack, mode);
        cut_us = FvFake_WallUs();
        FvPromise_WaitStart(promise, "r1", 1, limit_ms, &again);
        expect_self_stop(promise, "r1", cut_us, STOP_LIMIT_MS);
    }
    FvPromise_JoinCallers(promise);
}

static void
run_worker_refusing(promise_t *promise)
{
    run_worker_cut_off(promise, "cut", RERUN_LIMIT_MS);
}

static void
run_worker_silent(promise_t *promise)
{
    run_worker_cut_off(promise, "blackhole", RERUN_SILENT_LIMIT_MS);
}

/* The home and the way to the worker are lost at once: the successor finds a
 * task that its worker has stopped by itself, and must run the job again. */
static void
run_home_and_worker_lost(promise_t *promise)
{
    promise_place_t place;
    promise_place_t again;

    FvPromise_Caller(promise, 0, "rebuild", "r1", JOB_LONG_MS)->limit_ms =
        30000;
    FvPromise_StartCallers(promise, 0);
    if (FvPromise_WaitStart(promise, "r1", 0, START_LIMIT_MS, &place)) {
        FvCluster_SetRoute(&promise->cluster, ROUTE_RACK, CLUSTER_ALL,
                           place.rack, "cut");
        kill_host(promise, 0);
        FvPromise_WaitStart(promise, "r1", 1, TAKEOVER_LIMIT_MS, &again);
    }
    FvPromise_JoinCallers(promise);
}

static void
run_same_key(promise_t *promise)
{
    char key[Fv_KEY_SIZE];

    for (int i = 0; i < 40; i++) {
        snprintf(key, sizeof(key), "same-%d", i);
        for (int host = 0; host < promise->cluster.host_count; host++) {
            caller_t *caller = FvPromise_Caller(
                promise, host, i % 4 == 0 ? "gang" : "rebuild", key, 150);

            caller->after_ms = FvDraw_Between(&promise->draw, 0, 20) + i * 50;
        }
    }
    FvPromise_StartCallers(promise, 0);
    FvPromise_JoinCallers(promise);
}

int
main(void)
{
    const promise_case_t cases[] = {
        {"a job started again while it runs, after a host was killed",
         promise_topology, run_host_killed, false},
        {"a job started again while it runs, after a host was frozen",
         promise_topology, run_host_frozen, false},
        {"a job started again while it runs, after a host was cut off",
         promise_topology, run_host_cut_off, false},
        {"a job started again while its unreachable worker still runs it",
         promise_topology, run_worker_refusing, false},
        {"a job started again while its silent worker still runs it",
         promise_topology, run_worker_silent, false},
        {"a job that is not run again after its home and its worker were lost",
         promise_topology, run_home_and_worker_lost, false},
        {"one key accepted by several hosts runs at several places",
         promise_topology, run_same_key, false},
    };

    return FvPromise_Main("exclusive", cases, sizeof(cases) / sizeof(cases[0]),
                          EXCLUSIVE_SEED);
}
