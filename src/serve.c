/*
 * The daemon: startup, signals, drain and shutdown.
 */

#include "daemon.h"

#include <curl/curl.h>
#include <errno.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <urcu.h>

#define Fv_SERVE_LOOP_CAPACITY 65536
#define Fv_SERVE_DRAIN_POLL_MS 50
/* Time for the platform's load balancer to see that this host is not ready. */
#define Fv_SERVE_UNREADY_MIN_MS 500

/* CivetWeb's listener checks for a stop only after its poll of 2 s ends. */
#define Fv_SERVE_HTTP_STOP_MS 2500

/* State of the drain; its timer runs on the scheduler thread. */
typedef struct fv_drain {
    fv_daemon_t *daemon;
    fv_timer_t timer;
    int64_t drain_started_ms;
    bool flushed;
} fv_drain_t;

typedef struct fv_signal_event {
    fv_event_t event;
    fv_drain_t *drain;
} fv_signal_event_t;

/* Leaves time to stop the HTTP server, so that the whole process ends within
 * the drain timeout. */
static int64_t
drain_limit_ms(const fv_settings_t *settings)
{
    int64_t timeout_ms = settings->drain_timeout_ms;

    return timeout_ms > 2 * Fv_SERVE_HTTP_STOP_MS
               ? timeout_ms - Fv_SERVE_HTTP_STOP_MS
               : timeout_ms / 2;
}

static void
on_drain_timer(void *owner)
{
    fv_drain_t *drain = owner;
    fv_daemon_t *daemon = drain->daemon;
    int64_t elapsed_ms = FvClock_NowMs() - drain->drain_started_ms;
    bool idle = FvRunner_IsDrained(daemon->runner) &&
                FvHolder_IsDrained(daemon->holder);

    if (idle && !drain->flushed) {
        FvLedger_Flush(daemon->ledger);
        drain->flushed = true;
    }
    if ((idle && elapsed_ms >= Fv_SERVE_UNREADY_MIN_MS &&
         FvLedger_IsFlushed(daemon->ledger)) ||
        elapsed_ms >= drain_limit_ms(&daemon->settings)) {
        FvLog_Event(idle ? Fv_LOG_INFO : Fv_LOG_WARN, "drain_finished",
                    "complete=%s took_ms=%lld", idle ? "true" : "false",
                    (long long)elapsed_ms);
        FvLoop_Stop(daemon->loop);
        return;
    }
    FvLoop_SetTimer(daemon->loop, &drain->timer,
                    FvClock_NowMs() + Fv_SERVE_DRAIN_POLL_MS);
}

static void
begin_drain(fv_event_t *event)
{
    fv_drain_t *drain = ((fv_signal_event_t *)event)->drain;
    fv_daemon_t *daemon = drain->daemon;

    if (atomic_exchange(&daemon->draining, true)) {
        return;
    }
    FvLog_Event(Fv_LOG_INFO, "drain_started", "timeout_ms=%d",
                daemon->settings.drain_timeout_ms);
    atomic_store(&daemon->ready, false);
    FvHolder_Drain(daemon->holder);
    drain->drain_started_ms = FvClock_NowMs();
    drain->timer.fire = on_drain_timer;
    drain->timer.owner = drain;
    FvLoop_SetTimer(daemon->loop, &drain->timer, FvClock_NowMs());
}

static void
free_signal(fv_event_t *event)
{
    free(event);
}

static const fv_event_type_t signal_type = {
    .name = "signal",
    .run = begin_drain,
    .free = free_signal,
};

static void
post_drain(fv_daemon_t *daemon, fv_drain_t *drain)
{
    fv_signal_event_t *event = calloc(1, sizeof(*event));

    if (event == NULL) {
        return;
    }
    event->event.type = &signal_type;
    event->drain = drain;
    FvLoop_Post(daemon->loop, &event->event);
}

static void *
run_scheduler(void *context)
{
    fv_daemon_t *daemon = context;

    FvLoop_Run(daemon->loop);
    /* Wakes the main thread, which waits for signals. */
    kill(getpid(), SIGUSR1);
    return NULL;
}

/* Waits until the scheduler ends; SIGTERM and SIGINT begin the drain. */
static void
wait_for_scheduler(fv_daemon_t *daemon, const sigset_t *signals,
                   fv_drain_t *drain)
{
    int number = 0;

    while (sigwait(signals, &number) == 0 && number != SIGUSR1) {
        post_drain(daemon, drain);
    }
}

static bool
add_self(fv_daemon_t *daemon)
{
    const fv_settings_t *settings = &daemon->settings;
    fv_host_t *self = FvHosts_Add(&daemon->hosts, settings->host);

    if (self == NULL) {
        return false;
    }
    FvText_Copy(self->region, sizeof(self->region), settings->region);
    FvText_Copy(self->data_center, sizeof(self->data_center),
                settings->data_center);
    FvText_Copy(self->link_address, sizeof(self->link_address),
                settings->link_address);
    FvText_Copy(self->incarnation, sizeof(self->incarnation),
                daemon->incarnation);
    daemon->self = self;
    return true;
}

static bool
load_secrets(fv_daemon_t *daemon)
{
    char reason[Fv_REASON_SIZE] = "";

    if (!FvSettings_ReadClusterKey(daemon->settings.cluster_key_file,
                                   daemon->cluster_key, reason)) {
        FvLog_Event(Fv_LOG_ERROR, "cluster_key_unreadable", "reason=%s",
                    reason);
        return false;
    }
    daemon->tokens = FvTokens_Load(daemon->settings.tokens_file, reason);
    if (daemon->tokens == NULL) {
        FvLog_Event(Fv_LOG_ERROR, "tokens_unreadable", "reason=%s", reason);
        return false;
    }
    return true;
}

/* Creates the components of the daemon in dependency order. */
static bool
create_components(fv_daemon_t *daemon)
{
    const fv_settings_t *settings = &daemon->settings;

    return (daemon->loop = FvLoop_New(Fv_SERVE_LOOP_CAPACITY)) != NULL &&
           add_self(daemon) && load_secrets(daemon) &&
           (daemon->shares = FvShares_New()) != NULL &&
           (daemon->estimates = FvEstimates_New()) != NULL &&
           (daemon->accounts = FvAccounts_New()) != NULL &&
           (daemon->http = FvHttpClient_New(daemon->loop)) != NULL &&
           (daemon->store = FvStore_New(
                daemon->http, daemon->loop, settings->store_url,
                settings->store_prefix, settings->store_timeout_ms)) != NULL &&
           (daemon->peers = FvPeers_New(daemon)) != NULL &&
           (daemon->upstream = FvUpstream_NewJson(daemon)) != NULL &&
           (daemon->holder = FvHolder_New(daemon)) != NULL &&
           (daemon->runner = FvRunner_New(daemon)) != NULL &&
           (daemon->config_sync = FvConfigSync_New(daemon)) != NULL &&
           (daemon->ledger = FvLedger_New(daemon)) != NULL &&
           (daemon->digest_sender = FvDigestSender_New(daemon)) != NULL &&
           (daemon->link = FvLink_New(daemon)) != NULL &&
           (daemon->host_list = FvHostList_New(daemon)) != NULL;
}

/* Threads that post events are stopped before the objects that their events
 * refer to are freed. */
static void
free_components(fv_daemon_t *daemon)
{
    FvLink_Free(daemon->link);
    if (daemon->loop != NULL) {
        FvLoop_Clear(daemon->loop);
    }
    FvRunner_Free(daemon->runner);
    FvHttpServer_Free(daemon->server);
    FvConfigSync_Free(daemon->config_sync);
    FvHttpClient_Free(daemon->http);
    FvHostList_Free(daemon->host_list);
    FvDigestSender_Free(daemon->digest_sender);
    FvLedger_Free(daemon->ledger);
    FvHolder_Free(daemon->holder);
    FvUpstream_Free(daemon->upstream);
    FvPeers_Free(daemon->peers);
    FvStore_Free(daemon->store);
    FvAccounts_Free(daemon->accounts);
    FvEstimates_Free(daemon->estimates);
    FvShares_Free(daemon->shares);
    FvTokens_Free(daemon->tokens);
    FvHosts_Clear(&daemon->hosts);
    FvLoop_Free(daemon->loop);
}

static void
block_signals(sigset_t *signals)
{
    sigemptyset(signals);
    sigaddset(signals, SIGTERM);
    sigaddset(signals, SIGINT);
    sigaddset(signals, SIGUSR1);
    /* Threads inherit the mask, so only sigwait() sees the signals. */
    pthread_sigmask(SIG_BLOCK, signals, NULL);
}

static int
run_daemon(fv_daemon_t *daemon, const sigset_t *signals)
{
    fv_drain_t drain = {.daemon = daemon};
    pthread_t scheduler;

    if (pthread_create(&scheduler, NULL, run_scheduler, daemon) != 0) {
        return 1;
    }
    daemon->server = FvHttpServer_New(daemon);
    if (daemon->server == NULL) {
        FvLog_Event(Fv_LOG_ERROR, "http_listen_failed", "address=%s",
                    daemon->settings.http_address);
        FvLoop_Stop(daemon->loop);
        pthread_join(scheduler, NULL);
        return 1;
    }
    FvLog_Event(Fv_LOG_INFO, "host_started",
                "version=%s incarnation=%s http=%s link=%s", Fv_VERSION,
                daemon->incarnation, daemon->settings.http_address,
                daemon->settings.link_address);
    wait_for_scheduler(daemon, signals, &drain);
    pthread_join(scheduler, NULL);
    FvLog_Event(Fv_LOG_INFO, "host_stopped", "incarnation=%s",
                daemon->incarnation);
    return 0;
}

/**
 * FvServe_Run - run the daemon until a signal stops it
 * @settings: the checked settings
 *
 * Return: the process exit code.
 */
int
FvServe_Run(const fv_settings_t *settings)
{
    fv_daemon_t *daemon = calloc(1, sizeof(*daemon));
    int code = 1;
    sigset_t signals;

    if (daemon == NULL || sodium_init() < 0 ||
        curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK) {
        goto done;
    }
    block_signals(&signals);
    rcu_register_thread();
    daemon->settings = *settings;
    daemon->started_ms = FvClock_NowMs();
    FvText_RandomHex(daemon->incarnation, sizeof(daemon->incarnation));
    if (FvLog_Open(settings->log_level, settings->host) != 0) {
        goto unregister;
    }
    if (create_components(daemon)) {
        code = run_daemon(daemon, &signals);
    }
    free_components(daemon);
    FvLog_Close();
unregister:
    rcu_unregister_thread();
done:
    free(daemon);
    return code;
}
