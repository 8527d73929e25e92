/*
 * Faults of the soak: signals and restarts of hosts, one by one, in series and
 * overlapping; the store, the routes to it, and the workers.
 */

#include "soak.h"

#include "fake-server.h"

#include <signal.h>
#include <string.h>

#define SOAK_ACTIONS_MAX 512
#define SOAK_POLL_MS 20
#define SOAK_FIXED_WORKERS 3
#define SOAK_STUTTER_MS 70
#define SOAK_STOP_MAX_MS 90 /* below the stop timeout of the hosts, 100 ms */

/* Longest time until a late order is carried out; tickets of the platform
 * stand-in are valid for 2 s. */
#define SOAK_LATE_MAX_MS 1700

typedef enum soak_action_kind {
    SOAK_ACTION_NONE,
    SOAK_ACTION_SUSPEND,
    SOAK_ACTION_TERMINATE,
    SOAK_ACTION_KILL,
    SOAK_ACTION_RELOAD,
    SOAK_ACTION_STUTTER
} soak_action_kind_t;

/* A signal to a host that is due later. */
typedef struct soak_action {
    soak_action_kind_t kind;
    int host;
    int64_t at_ms;
    int64_t for_ms; /* until the host is resumed or restarted */
} soak_action_t;

typedef struct soak_faults {
    soak_t *soak;
    uint64_t random;
    soak_action_t actions[SOAK_ACTIONS_MAX];
} soak_faults_t;

static uint32_t
draw(soak_faults_t *faults, uint32_t limit)
{
    return FvSoak_Random(&faults->random, limit);
}

static void
plan(soak_faults_t *faults, soak_action_kind_t kind, int host, int64_t at_ms,
     int64_t for_ms)
{
    for (int i = 0; i < SOAK_ACTIONS_MAX; i++) {
        if (faults->actions[i].kind == SOAK_ACTION_NONE) {
            faults->actions[i] = (soak_action_t){
                .kind = kind, .host = host, .at_ms = at_ms, .for_ms = for_ms};
            return;
        }
    }
}

/* Several timers of a process are due at one time when it goes on. Much
 * shorter than what a request may take. */
static void
stutter(process_t *process)
{
    if (!FvProcess_HasExited(process)) {
        FvProcess_Signal(process, SIGSTOP);
        FvFake_SleepMs(SOAK_STUTTER_MS);
        FvProcess_Signal(process, SIGCONT);
    }
}

static void
run_action(soak_t *soak, const soak_action_t *action, int64_t now_ms)
{
    static const char *const names[] = {"",     "suspend", "terminate",
                                        "kill", "reload",  "stutter"};
    soak_host_t *host = &soak->host[action->host];
    process_t *process = &soak->cell.hosts[action->host].process;

    pthread_mutex_lock(&soak->lock);
    if (action->kind == SOAK_ACTION_STUTTER) {
        stutter(process);
    }
    if (host->down || host->suspended || action->kind == SOAK_ACTION_STUTTER) {
        pthread_mutex_unlock(&soak->lock);
        return;
    }
    printf("  %s host %d for %lld ms\n", names[action->kind], action->host,
           (long long)action->for_ms);
    switch (action->kind) {
    case SOAK_ACTION_SUSPEND:
        host->suspended = true;
        FvProcess_Signal(process, SIGSTOP);
        break;
    case SOAK_ACTION_TERMINATE:
        host->down = true;
        host->terminated_ms = now_ms;
        FvProcess_Signal(process, SIGTERM);
        break;
    case SOAK_ACTION_KILL:
        host->down = true;
        /* Until the process has gone, its port accepts connections that
         * nobody will answer. */
        host->killed_ms = INT64_MAX;
        FvProcess_Kill(process);
        host->killed_ms = FvClock_NowMs();
        break;
    case SOAK_ACTION_RELOAD:
    case SOAK_ACTION_STUTTER:
    case SOAK_ACTION_NONE:
    default:
        FvProcess_Signal(process, SIGHUP);
        break;
    }
    host->recover_at_ms = now_ms + action->for_ms;
    pthread_mutex_unlock(&soak->lock);
}

static void
run_due_actions(soak_faults_t *faults, int64_t now_ms)
{
    for (int i = 0; i < SOAK_ACTIONS_MAX; i++) {
        soak_action_t *action = &faults->actions[i];

        if (action->kind != SOAK_ACTION_NONE && action->at_ms <= now_ms) {
            run_action(faults->soak, action, now_ms);
            action->kind = SOAK_ACTION_NONE;
        }
    }
}

/* Any host, half of the time the leader. */
static int
choose_host(soak_faults_t *faults)
{
    int leader =
        draw(faults, 2) == 0 ? FvEntryCell_Leader(&faults->soak->cell) : -1;

    return leader >= 0 && leader < faults->soak->hosts
               ? leader
               : (int)draw(faults, (uint32_t)faults->soak->hosts);
}

static int64_t
draw_length_ms(soak_faults_t *faults)
{
    return 300 + draw(faults, 4700);
}

static void
signal_one_host(soak_faults_t *faults, int64_t now_ms)
{
    static const soak_action_kind_t kinds[] = {
        SOAK_ACTION_SUSPEND,   SOAK_ACTION_SUSPEND, SOAK_ACTION_TERMINATE,
        SOAK_ACTION_TERMINATE, SOAK_ACTION_KILL,    SOAK_ACTION_RELOAD};

    plan(faults, kinds[draw(faults, 6)], choose_host(faults), now_ms,
         draw_length_ms(faults));
}

/* The same signal to one host after the other, with short pauses. */
static void
signal_hosts_in_turn(soak_faults_t *faults, int64_t now_ms)
{
    static const soak_action_kind_t kinds[] = {
        SOAK_ACTION_SUSPEND, SOAK_ACTION_TERMINATE, SOAK_ACTION_TERMINATE,
        SOAK_ACTION_KILL, SOAK_ACTION_RELOAD};
    soak_action_kind_t kind = kinds[draw(faults, 5)];
    int64_t gap_ms = 100 + draw(faults, 2000);
    int count = 2 + (int)draw(faults, (uint32_t)faults->soak->hosts);
    int first = choose_host(faults);

    for (int i = 0; i < count; i++) {
        plan(faults, kind, (first + i) % faults->soak->hosts,
             now_ms + i * gap_ms, draw_length_ms(faults));
    }
}

/* A short suspension of the leader again and again; some are too short to be
 * noticed by the process. */
static void
suspend_in_series(soak_faults_t *faults, int64_t now_ms)
{
    int host = choose_host(faults);

    for (int i = 0; i < 4; i++) {
        plan(faults, SOAK_ACTION_SUSPEND, host, now_ms + i * 1500,
             500 + draw(faults, 700));
    }
}

/* One host is terminated while most others are suspended. */
static void
terminate_beside_suspended(soak_faults_t *faults, int64_t now_ms)
{
    int leaving = choose_host(faults);

    plan(faults, SOAK_ACTION_TERMINATE, leaving, now_ms, 7000);
    for (int64_t at_ms = 2200; at_ms < 5200; at_ms += 2 * SOAK_STUTTER_MS) {
        plan(faults, SOAK_ACTION_STUTTER, leaving, now_ms + at_ms, 0);
    }
    for (int i = 0; i < faults->soak->hosts; i++) {
        if (i != leaving && draw(faults, 4) != 0) {
            plan(faults, SOAK_ACTION_SUSPEND, i, now_ms + draw(faults, 600),
                 draw_length_ms(faults));
        }
    }
}

static void
kill_many_hosts(soak_faults_t *faults, int64_t now_ms)
{
    int64_t for_ms = draw_length_ms(faults);

    for (int i = 0; i < faults->soak->hosts; i++) {
        if (draw(faults, 3) != 0) {
            plan(faults, SOAK_ACTION_KILL, i, now_ms, for_ms);
        }
    }
}

static void
disturb_store(soak_faults_t *faults, int64_t now_ms)
{
    static const char *const modes[] = {"busy", "silent", "lost"};
    soak_t *soak = faults->soak;
    char body[64];

    if (soak->store_recover_at_ms != 0) {
        return;
    }
    snprintf(body, sizeof(body), "{\"store\":\"%s\"}", modes[draw(faults, 3)]);
    printf("  store %s\n", body);
    FvEntryCell_PlatformFault(&soak->cell, body);
    soak->store_recover_at_ms = now_ms + draw_length_ms(faults);
}

static void
disturb_route(soak_faults_t *faults, int64_t now_ms)
{
    static const char *const modes[] = {"cut", "blackhole", "freeze"};
    soak_t *soak = faults->soak;
    int host = choose_host(faults);
    const char *mode = modes[draw(faults, 3)];

    if (soak->route_recover_at_ms != 0) {
        return;
    }
    printf("  route of host %d: %s\n", host, mode);
    FvEntryCell_RouteFault(&soak->cell, host, mode);
    soak->route_recover_at_ms = now_ms + 300 + draw(faults, 5000);
}

static void
crash_workers(soak_faults_t *faults, int64_t now_ms)
{
    soak_t *soak = faults->soak;
    uint32_t count = 1 + draw(faults, (uint32_t)soak->workers / 4 + 1);
    char body[64];

    for (uint32_t i = 0; i < count; i++) {
        uint32_t worker = draw(faults, (uint32_t)soak->workers);

        if (soak->worker_recover_at_ms[worker] != 0) {
            continue;
        }
        snprintf(body, sizeof(body), "{\"crash\":%u}", worker);
        printf("  worker %s\n", body);
        FvEntryCell_PlatformFault(&soak->cell, body);
        soak->worker_recover_at_ms[worker] = now_ms + 200 + draw(faults, 3000);
    }
}

static void
restart_worker(soak_faults_t *faults, uint32_t worker)
{
    soak_t *soak = faults->soak;
    char body[64];

    if (soak->worker_recover_at_ms[worker] != 0) {
        return;
    }
    if (worker < SOAK_FIXED_WORKERS) {
        snprintf(body, sizeof(body), "{\"restart\":%u}", worker);
    }
    else {
        snprintf(body, sizeof(body), "{\"restart\":%u,\"kind\":\"%s\"}",
                 worker, draw(faults, 2) == 0 ? "a" : "b");
    }
    printf("  worker %s\n", body);
    FvEntryCell_PlatformFault(&soak->cell, body);
}

/* Some workers restart at once, at times as another kind. The first ones keep
 * theirs, so that every job can end. */
static void
restart_workers(soak_faults_t *faults, int64_t now_ms)
{
    uint32_t workers = (uint32_t)faults->soak->workers;

    (void)now_ms;
    for (uint32_t count = 1 + draw(faults, workers); count > 0; count--) {
        restart_worker(faults, draw(faults, workers));
    }
}

static void
change_config(soak_faults_t *faults, int64_t now_ms)
{
    soak_t *soak = faults->soak;
    char body[64];

    (void)now_ms;
    for (uint32_t count = 1 + draw(faults, 3); count > 0; count--) {
        snprintf(body, sizeof(body), "{\"config\":%lld}",
                 (long long)++soak->config_version);
        printf("  %s\n", body);
        FvEntryCell_PlatformFault(&soak->cell, body);
    }
}

/* For some seconds, stops take time and are carried out late. */
static void
delay_stops(soak_faults_t *faults, int64_t now_ms)
{
    soak_t *soak = faults->soak;
    char body[64];

    if (soak->stops_recover_at_ms != 0) {
        return;
    }
    snprintf(body, sizeof(body), "{\"stopMs\":%u,\"stopDelayMs\":%u}",
             draw(faults, SOAK_STOP_MAX_MS), draw(faults, 2) * 600);
    printf("  stops %s\n", body);
    FvEntryCell_PlatformFault(&soak->cell, body);
    soak->stops_recover_at_ms = now_ms + draw_length_ms(faults);
}

/* For some seconds many orders are not answered and carried out late, while
 * some workers go on out of reach of the hosts. */
static void
delay_orders(soak_faults_t *faults, int64_t now_ms)
{
    soak_t *soak = faults->soak;
    uint32_t mute = 1 + draw(faults, (uint32_t)soak->workers / 3 + 1);
    char body[64];

    if (soak->orders_recover_at_ms == 0) {
        snprintf(body, sizeof(body), "{\"latePerMille\":%u,\"lateMaxMs\":%u}",
                 150 + draw(faults, 350),
                 200 + draw(faults, SOAK_LATE_MAX_MS));
        printf("  orders %s\n", body);
        FvEntryCell_PlatformFault(&soak->cell, body);
        soak->orders_recover_at_ms = now_ms + 1000 + draw(faults, 5000);
    }
    for (uint32_t i = 0; i < mute; i++) {
        uint32_t worker = draw(faults, (uint32_t)soak->workers);

        if (soak->mute_until_ms[worker] == 0) {
            snprintf(body, sizeof(body), "{\"mute\":%u}", worker);
            printf("  worker %s\n", body);
            FvEntryCell_PlatformFault(&soak->cell, body);
            soak->mute_until_ms[worker] = now_ms + 500 + draw(faults, 7000);
        }
    }
}

static void
recover_orders(soak_t *soak, int64_t now_ms)
{
    char body[64];

    if (soak->orders_recover_at_ms != 0 &&
        now_ms >= soak->orders_recover_at_ms) {
        FvEntryCell_PlatformFault(&soak->cell, "{\"latePerMille\":0}");
        soak->orders_recover_at_ms = 0;
    }
    for (int i = 0; i < soak->workers; i++) {
        if (soak->mute_until_ms[i] != 0 && now_ms >= soak->mute_until_ms[i]) {
            snprintf(body, sizeof(body), "{\"reached\":%d}", i);
            FvEntryCell_PlatformFault(&soak->cell, body);
            soak->mute_until_ms[i] = 0;
        }
    }
}

static void
recover_hosts(soak_t *soak, int64_t now_ms)
{
    for (int i = 0; i < soak->hosts; i++) {
        soak_host_t *host = &soak->host[i];
        process_t *process = &soak->cell.hosts[i].process;

        pthread_mutex_lock(&soak->lock);
        if (host->suspended && now_ms >= host->recover_at_ms) {
            FvProcess_Signal(process, SIGCONT);
            host->suspended = false;
            host->resumed_ms = FvClock_NowMs();
        }
        else if (host->down && now_ms >= host->recover_at_ms &&
                 FvProcess_HasExited(process)) {
            host->down = false;
            FvEntryCell_StartHost(&soak->cell, i);
        }
        pthread_mutex_unlock(&soak->lock);
    }
}

static void
clear_due_but_split(soak_t *soak, int64_t now_ms)
{
    char body[96];

    recover_hosts(soak, now_ms);
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
    if (soak->stops_recover_at_ms != 0 &&
        now_ms >= soak->stops_recover_at_ms) {
        FvEntryCell_PlatformFault(&soak->cell,
                                  "{\"stopMs\":0,\"stopDelayMs\":0}");
        soak->stops_recover_at_ms = 0;
    }
    recover_orders(soak, now_ms);
    for (int i = 0; i < soak->workers; i++) {
        if (soak->worker_recover_at_ms[i] != 0 &&
            now_ms >= soak->worker_recover_at_ms[i]) {
            snprintf(body, sizeof(body), "{\"restart\":%d}", i);
            FvEntryCell_PlatformFault(&soak->cell, body);
            soak->worker_recover_at_ms[i] = 0;
        }
    }
}

/**
 * FvSoakFaults_ClearDue - end the faults that are over
 * @soak: the soak
 * @now_ms: the time; INT64_MAX ends all
 */
void
FvSoakFaults_ClearDue(soak_t *soak, int64_t now_ms)
{
    clear_due_but_split(soak, now_ms);
    FvSoakSplits_ClearDue(soak, now_ms);
}

/**
 * FvSoakFaults_Inject - inject faults for some time, then end all of them
 * @soak: the soak, whose clients are running
 * @duration_s: how long
 */
void
FvSoakFaults_Inject(soak_t *soak, int64_t duration_s)
{
    static void (*const injectors[])(soak_faults_t *,
                                     int64_t) = {signal_one_host,
                                                 signal_one_host,
                                                 signal_hosts_in_turn,
                                                 suspend_in_series,
                                                 kill_many_hosts,
                                                 terminate_beside_suspended,
                                                 disturb_store,
                                                 disturb_route,
                                                 crash_workers,
                                                 restart_workers,
                                                 change_config,
                                                 delay_stops,
                                                 terminate_beside_suspended};
    static soak_faults_t faults;
    /* Draws of its own, so that the others stay those of earlier seeds. */
    static soak_faults_t orders;
    int64_t end_ms = FvClock_NowMs() + duration_s * Fv_MS_PER_S;
    int64_t next_fault_ms = 0;
    int64_t next_delay_ms = 0;

    faults = (soak_faults_t){
        .soak = soak, .random = soak->seed * UINT64_C(0x9e3779b97f4a7c15) | 1};
    orders = (soak_faults_t){
        .soak = soak, .random = soak->seed * UINT64_C(0xd1342543de82ef95) | 1};
    while (FvClock_NowMs() < end_ms) {
        int64_t now_ms = FvClock_NowMs();

        FvSoakKeys_Inject(soak, now_ms);
        FvSoakFaults_ClearDue(soak, now_ms);
        if (!FvSoakSplits_Inject(soak, now_ms)) {
            memset(faults.actions, 0, sizeof(faults.actions));
            clear_due_but_split(soak, INT64_MAX);
            FvFake_SleepMs(SOAK_POLL_MS);
            continue;
        }
        run_due_actions(&faults, now_ms);
        if (now_ms >= next_fault_ms) {
            injectors[draw(&faults, sizeof(injectors) / sizeof(injectors[0]))](
                &faults, now_ms);
            next_fault_ms = now_ms + 300 + draw(&faults, 2200);
        }
        if (now_ms >= next_delay_ms) {
            next_delay_ms = now_ms + 2000 + draw(&orders, 5000);
            delay_orders(&orders, now_ms);
        }
        FvFake_SleepMs(SOAK_POLL_MS);
    }
    FvSoakFaults_ClearDue(soak, INT64_MAX);
}
