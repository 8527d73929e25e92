/*
 * An entry host on the users' platform: connects the HTTP frontend, the
 * election, the links between hosts and, while this host leads, the leader.
 */

#include "entry-drain.h"
#include "entry-hosts.h"

#include <errno.h>
#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define Fv_HEARTBEAT_MS 400
#define Fv_LOG_FLUSH_MS 100
#define Fv_LOG_FINISH_DIVISOR 16 /* of drain_ms, half of what is left then */
#define Fv_LINK_SILENT_MS 1600   /* four heartbeats */
#define Fv_REDIAL_MS 500

/* A host reports ready for this long without a leader. An election takes less,
 * and the load balancer drops a host only after two failed checks, 2 s. */
#define Fv_READY_GRACE_MS 2500

/* A leader that reaches less than half of the hosts resigns once, so that a
 * better connected host can take over. */
#define Fv_ISOLATED_MS 2500
#define Fv_ISOLATED_CLAIM_PAUSE_MS 1500
#define Fv_ISOLATED_RESIGN_INTERVAL_MS 30000

/* Of the descriptors beyond those for files, outgoing calls may use what the
 * callers' connections (caller-limits.c) and a share for other hosts and the
 * process itself leave: 2,249 at a host of 3,075 descriptors and 120 MB, where
 * a leader of 350 workers needs 1,464 (four for each, and 64 for services). */
#define Fv_CALL_DESCRIPTORS_MAX_SHARE 0.875
#define Fv_CALL_DESCRIPTORS_MIN_SHARE 0.25 /* beside a large setting */
#define Fv_OTHER_DESCRIPTORS_SHARE 0.0625

static void
dial_hosts(fv_entry_t *entry)
{
    const fv_peer_entry_t *hosts;
    uint32_t count = FvElection_Hosts(entry->election, &hosts);
    int64_t now_ms = FvClock_NowMs();

    if (entry->leader == NULL) {
        return;
    }
    for (uint32_t i = 0; i < count; i++) {
        fv_host_state_t *state;

        if (!hosts[i].listed ||
            strcmp(hosts[i].name, entry->settings.host) == 0) {
            continue;
        }
        state = FvEntryHosts_FindOrAdd(entry, hosts[i].name);
        if (state == NULL || state->peer != NULL ||
            now_ms - state->dialed_ms < Fv_REDIAL_MS) {
            continue;
        }
        state->dialed_ms = now_ms;
        state->peer =
            FvLinks_Dial(entry->links, hosts[i].name, hosts[i].link_address);
    }
}

/* --- Leadership --------------------------------------------------------- */

static bool
leader_may_send_orders(void *context, int64_t now_ms)
{
    fv_entry_t *entry = context;

    /* While this host leads, such a link is one to its successor. */
    return entry->leader_link == NULL &&
           FvElection_MaySendOrders(entry->election, now_ms);
}

static int64_t
leader_unreached_since(void *context, const char *line)
{
    fv_entry_t *entry = context;

    return FvElection_UnreachedSince(entry->election, line);
}

static int64_t
leader_lease_left_ms(void *context, int64_t now_ms)
{
    fv_entry_t *entry = context;

    return FvElection_LeaseLeftMs(entry->election, now_ms);
}

static uint64_t
leader_prove_lease(void *context)
{
    fv_entry_t *entry = context;

    return FvElection_ProveLease(entry->election);
}

/* Deferred to the event loop, since the caller is the leader that step_down
 * frees. */
static void
leader_deposed(void *context, const char *cause)
{
    fv_entry_t *entry = context;

    entry->step_down_cause = cause;
    event_active(entry->step_down, EV_TIMEOUT, 0);
}

static bool
leader_is_linked(void *context, const char *host)
{
    return FvEntryHosts_IsLinked(context, host);
}

static bool
leader_are_all_linked(void *context)
{
    return FvEntryHosts_AreAllLinked(context);
}

static double
leader_smallest_memory_mb(void *context)
{
    fv_entry_t *entry = context;

    return FvElection_SmallestMemoryMb(entry->election);
}

static const fv_cell_config_t *
leader_config(void *context)
{
    fv_entry_t *entry = context;

    return entry->config;
}

static void
step_down(evutil_socket_t fd, short what, void *context)
{
    fv_entry_t *entry = context;

    (void)fd;
    (void)what;
    FvElection_Resign(entry->election,
                      entry->drain_started_ms != 0 ? INT32_MAX : 0,
                      entry->step_down_cause);
}

static void
leader_handed_over(void *context)
{
    leader_deposed(context, "shutdown");
}

static void
election_won(void *context, int64_t epoch, int32_t generation)
{
    fv_entry_t *entry = context;
    fv_leader_events_t events = {.may_send_orders = leader_may_send_orders,
                                 .lease_left_ms = leader_lease_left_ms,
                                 .prove_lease = leader_prove_lease,
                                 .unreached_since = leader_unreached_since,
                                 .request_advice = FvEntryHosts_RequestAdvice,
                                 .deposed = leader_deposed,
                                 .is_linked = leader_is_linked,
                                 .are_all_linked = leader_are_all_linked,
                                 .smallest_memory_mb =
                                     leader_smallest_memory_mb,
                                 .config = leader_config,
                                 .config_read = FvEntryConfig_Read,
                                 .handed_over = leader_handed_over,
                                 .context = entry};
    const fv_predecessor_t *predecessor =
        FvElection_Predecessor(entry->election);

    entry->epoch = epoch;
    entry->leader_since_ms = FvClock_NowMs();
    entry->half_reached_ms = 0;
    entry->self = FvEntryHosts_FindOrAdd(entry, entry->settings.host);
    entry->leader =
        FvLeader_New(entry->base, entry->pool, entry->kv, &entry->settings,
                     &events, predecessor, epoch, generation);
    FvLinks_Close(entry->leader_link);
    entry->leader_link = NULL;
    dial_hosts(entry);
    FvFrontend_LeaderChanged(entry->frontend);
}

static void
election_lost(void *context, const char *cause)
{
    fv_entry_t *entry = context;

    (void)cause;
    FvLeader_Free(entry->leader);
    entry->leader = NULL;
    /* A worker serves few connections, which the next leader needs. */
    FvLeader_CloseConnections(entry->pool);
    if (entry->leader_link == NULL) {
        FvFrontend_LeaderLost(entry->frontend);
    }
    FvLinks_CloseDialed(entry->links);
    for (uint32_t i = 0; i < entry->host_state_count; i++) {
        fv_host_state_t *state = entry->host_states[i];

        state->advice_count = 0;
        state->backlog_us = 0;
        state->joined = false;
        state->peer = NULL;
        state->disconnected_since_ms = 0;
    }
}

/* Asks the linked hosts to replace this leader if the store answers them. */
static void
election_store_failing(void *context, int64_t sent_ago_ms)
{
    fv_entry_t *entry = context;

    for (uint32_t i = 0; i < entry->host_state_count; i++) {
        if (entry->host_states[i]->joined) {
            FvLinks_Send(
                entry->host_states[i]->peer,
                &(fv_cell_message_t){.kind = Fv_CELL_MESSAGE_STORE_FAILING,
                                     .number = sent_ago_ms});
        }
    }
}

static void
election_renewed(void *context, uint64_t renewal, int64_t sent_ms)
{
    fv_entry_t *entry = context;

    FvLeader_LeaseProved(entry->leader, renewal, sent_ms);
}

static void
hosts_changed(void *context)
{
    dial_hosts(context);
}

/* --- Messages ----------------------------------------------------------- */

static void
reply_to_host(void *context, const fv_cell_message_t *reply)
{
    fv_host_state_t *state = context;

    if (state->peer != NULL) {
        FvLinks_Send(state->peer, reply);
    }
}

static void
reply_to_self(void *context, const fv_cell_message_t *reply)
{
    fv_entry_t *entry = context;

    FvFrontend_Reply(entry->frontend, reply, entry->leader_link == NULL);
}

/* While this host leads, a link to a leader is one to its successor. */
static bool
frontend_forward(void *context, const fv_cell_message_t *message)
{
    fv_entry_t *entry = context;

    if (entry->leader_link != NULL) {
        FvLinks_Send(entry->leader_link, message);
        return true;
    }
    if (entry->leader != NULL && FvLeader_IsServing(entry->leader)) {
        FvLeader_HandleRequest(entry->leader, message, reply_to_self, entry);
        return true;
    }
    return false;
}

static bool
frontend_ready(void *context)
{
    fv_entry_t *entry = context;

    if (entry->leader_link != NULL ||
        (entry->leader != NULL && FvLeader_IsServing(entry->leader))) {
        entry->leader_seen_ms = FvClock_NowMs();
    }
    return entry->leader_seen_ms != 0 &&
           FvClock_NowMs() - entry->leader_seen_ms < Fv_READY_GRACE_MS;
}

static void
handle_greeting(fv_entry_t *entry, fv_link_peer_t *peer,
                const fv_cell_message_t *message)
{
    if (message->number < entry->leader_link_epoch ||
        (entry->leader != NULL && message->number < entry->epoch)) {
        FvLog_Event(Fv_LOG_INFO, "old_leader_refused",
                    "peer=%s epoch=%" PRId64 " known=%" PRId64, message->name,
                    message->number, entry->leader_link_epoch);
        FvLinks_Close(peer);
        return;
    }
    FvLinks_SetName(peer, message->name);
    if (entry->leader != NULL) {
        leader_deposed(entry, "newer_leader");
    }
    entry->leader_link = peer;
    entry->leader_config_sent_ms = 0;
    entry->leader_link_epoch = message->number;
    FvLog_Event(Fv_LOG_INFO, "leader_linked", "leader=%s epoch=%" PRId64,
                message->name, message->number);
    FvLinks_Send(peer,
                 &(fv_cell_message_t){.kind = Fv_CELL_MESSAGE_JOIN,
                                      .number = FvEntryConfig_Version(entry),
                                      .name = entry->settings.host});
    FvFrontend_LeaderChanged(entry->frontend);
}

static void
send_advice_to_leader(void *context, const fv_cell_message_t *answer)
{
    fv_entry_t *entry = context;

    if (entry->leader_link != NULL) {
        FvLinks_Send(entry->leader_link, answer);
    }
}

static void
handle_leader_message(fv_entry_t *entry, fv_link_peer_t *peer,
                      const fv_cell_message_t *message)
{
    switch (message->kind) {
    case Fv_CELL_MESSAGE_GREETING:
        handle_greeting(entry, peer, message);
        break;
    case Fv_CELL_MESSAGE_REPLY:
        FvFrontend_Reply(entry->frontend, message, peer == entry->leader_link);
        break;
    case Fv_CELL_MESSAGE_ADVICE_REQUEST:
        if (entry->advice_client != NULL) {
            FvAdviceClient_Request(entry->advice_client, message,
                                   send_advice_to_leader, entry);
        }
        break;
    case Fv_CELL_MESSAGE_STORE_FAILING:
        FvElection_LeaderLostStore(entry->election, FvLinks_Name(peer),
                                   message->number);
        break;
    default:
        break;
    }
}

static void
handle_host_message(fv_entry_t *entry, fv_host_state_t *state,
                    const fv_cell_message_t *message)
{
    switch (message->kind) {
    case Fv_CELL_MESSAGE_JOIN:
        state->joined = true;
        state->config_sent_ms = 0;
        FvEntryHosts_NoteLinked(state);
        FvEntryConfig_SendIfNewer(entry, state->peer, message->number);
        break;
    case Fv_CELL_MESSAGE_REQUEST:
        if (entry->leader != NULL &&
            !FvEntryConfig_GiveBack(entry, state, message)) {
            FvLeader_HandleRequest(entry->leader, message, reply_to_host,
                                   state);
        }
        break;
    case Fv_CELL_MESSAGE_ADVICE_REPLY:
        FvEntryHosts_LearnOverhead(state, message->id);
        FvEntryHosts_RemoveAdvice(state, message->id);
        if (entry->leader != NULL) {
            FvLeader_HandleAdvice(entry->leader, message);
        }
        break;
    default:
        break;
    }
}

static void
link_message(void *context, fv_link_peer_t *peer,
             const fv_cell_message_t *message)
{
    fv_entry_t *entry = context;
    fv_host_state_t *state;

    if (peer == entry->leader_link) {
        FvEntryConfig_NoteLeaderHeard(entry);
    }
    if (message->kind == Fv_CELL_MESSAGE_HEARTBEAT) {
        FvEntryConfig_SendIfNewer(entry, peer, message->number);
        return;
    }
    if (message->kind == Fv_CELL_MESSAGE_CONFIG) {
        FvEntryConfig_Adopt(entry, message->body, message->body_length,
                            FvLinks_Name(peer));
        return;
    }
    if (!FvLinks_Dialed(peer)) {
        handle_leader_message(entry, peer, message);
        return;
    }
    state = FvEntryHosts_Find(entry, peer);
    if (state != NULL) {
        handle_host_message(entry, state, message);
    }
}

static void
link_opened(void *context, fv_link_peer_t *peer)
{
    fv_entry_t *entry = context;

    FvLinks_Send(peer, &(fv_cell_message_t){.kind = Fv_CELL_MESSAGE_GREETING,
                                            .number = entry->epoch,
                                            .name = entry->settings.host});
}

static void
link_closed(void *context, fv_link_peer_t *peer)
{
    fv_entry_t *entry = context;
    fv_host_state_t *state = FvEntryHosts_Find(entry, peer);

    if (peer == entry->leader_link) {
        FvLog_Event(Fv_LOG_INFO, "leader_link_lost", "leader=%s",
                    FvLinks_Name(peer));
        entry->leader_seen_ms = FvClock_NowMs();
        entry->leader_link = NULL;
        if (entry->leader == NULL && entry->drain_started_ms == 0) {
            FvEntryHosts_ProbeLeader(entry, FvLinks_Name(peer));
        }
    }
    if (state != NULL) {
        FvEntryHosts_NoteLinkClosed(state, FvLinks_Error(peer));
        state->peer = NULL;
        state->joined = false;
        if (entry->leader != NULL) {
            FvLeader_DropReplies(entry->leader, state);
        }
        FvEntryHosts_FailAdvice(entry, state);
    }
}

/* --- Heartbeat ---------------------------------------------------------- */

static void
check_isolation(fv_entry_t *entry, int64_t now_ms)
{
    const fv_peer_entry_t *hosts;
    uint32_t count = FvElection_Hosts(entry->election, &hosts);
    uint32_t listed = 0;
    uint32_t reached = 1;

    for (uint32_t i = 0; i < count; i++) {
        listed += hosts[i].listed;
    }
    for (uint32_t i = 0; i < entry->host_state_count; i++) {
        reached += entry->host_states[i]->joined;
    }
    if (reached * 2 >= listed) {
        entry->half_reached_ms = now_ms;
        return;
    }
    if (now_ms - entry->leader_since_ms > Fv_ISOLATED_MS &&
        now_ms - entry->half_reached_ms > Fv_ISOLATED_MS &&
        now_ms - entry->isolation_resigned_ms >
            Fv_ISOLATED_RESIGN_INTERVAL_MS) {
        entry->isolation_resigned_ms = now_ms;
        FvElection_Resign(entry->election, Fv_ISOLATED_CLAIM_PAUSE_MS,
                          "few_hosts_reached");
    }
}

static void
remove_unreachable_host(fv_entry_t *entry, int64_t now_ms)
{
    const fv_peer_entry_t *hosts;
    uint32_t count = FvElection_Hosts(entry->election, &hosts);
    const char *unreachable =
        FvEntryHosts_FindUnreachable(entry, hosts, count, now_ms);

    if (unreachable != NULL) {
        FvElection_RemoveHost(entry->election, unreachable, entry->epoch);
    }
}

static void
heartbeat(evutil_socket_t fd, short what, void *context)
{
    fv_entry_t *entry = context;

    (void)fd;
    (void)what;
    FvEntryConfig_NoteHeartbeat(entry, FvClock_NowMs());
    FvEntryConfig_SendHeartbeats(entry);
    FvLinks_CloseSilent(entry->links, Fv_LINK_SILENT_MS);
    if (entry->leader != NULL) {
        dial_hosts(entry);
        remove_unreachable_host(entry, FvClock_NowMs());
        check_isolation(entry, FvClock_NowMs());
    }
}

/* --- Signals ------------------------------------------------------------ */

static void
check_drain(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    FvEntryDrain_Check(context);
}

static void
start_drain(evutil_socket_t fd, short what, void *context)
{
    (void)what;
    FvEntryDrain_Start(context, fd);
}

static void
reload(evutil_socket_t fd, short what, void *context)
{
    fv_entry_t *entry = context;
    fv_entry_settings_t settings;
    bool good = FvEntrySettings_Load(entry->settings_path, &settings, stderr);

    (void)fd;
    (void)what;
    FvLog_Event(good ? Fv_LOG_INFO : Fv_LOG_ERROR, "settings_reloaded",
                "good=%d", good ? 1 : 0);
    if (good) {
        entry->settings.drain_ms = settings.drain_ms;
        entry->settings.keep_ended_s = settings.keep_ended_s;
    }
}

/* --- Startup and shutdown ----------------------------------------------- */

static uint32_t
outgoing_calls_max(const fv_entry_settings_t *settings)
{
    double usable = settings->descriptors_max - Fv_DESCRIPTORS_RESERVED;
    fv_caller_limits_t limits;
    double left;

    FvCallerLimits_Derive(&limits, &settings->callers, settings->memory_mb,
                          (int64_t)usable);
    left = usable * (1 - Fv_OTHER_DESCRIPTORS_SHARE) -
           FvCallerLimits_Connections(&limits);
    if (left < usable * Fv_CALL_DESCRIPTORS_MIN_SHARE) {
        return (uint32_t)(usable * Fv_CALL_DESCRIPTORS_MIN_SHARE);
    }
    return left < usable * Fv_CALL_DESCRIPTORS_MAX_SHARE
               ? (uint32_t)left
               : (uint32_t)(usable * Fv_CALL_DESCRIPTORS_MAX_SHARE);
}

static bool
open_components(fv_entry_t *entry)
{
    entry->pool =
        FvCallPool_New(entry->base, outgoing_calls_max(&entry->settings));
    entry->kv = FvKvClient_New(entry->base, entry->pool,
                               entry->settings.store_address);
    if (entry->pool == NULL || entry->kv == NULL) {
        return false;
    }
    /* Leases and the registry's changes first: an old view of the workers
     * makes all other work worthless. */
    FvCallPool_Prefer(entry->pool, entry->settings.store_address);
    if (entry->settings.advice_address[0] != '\0') {
        entry->advice_client =
            FvAdviceClient_New(entry->pool, entry->settings.advice_address);
    }
    entry->frontend = FvFrontend_New(
        entry->base, &entry->settings,
        &(fv_frontend_events_t){.forward = frontend_forward,
                                .ready = frontend_ready,
                                .is_config_current = FvEntryConfig_IsCurrent,
                                .context = entry});
    entry->links = FvLinks_New(entry->base, &entry->settings,
                               &(fv_links_events_t){.message = link_message,
                                                    .opened = link_opened,
                                                    .closed = link_closed,
                                                    .context = entry});
    if (entry->frontend == NULL || entry->links == NULL) {
        return false;
    }
    entry->config_watch = FvEntryConfig_Watch(entry);
    entry->election = FvElection_New(
        entry->base, entry->kv, &entry->settings,
        &(fv_election_events_t){.won = election_won,
                                .lost = election_lost,
                                .store_failing = election_store_failing,
                                .renewed = election_renewed,
                                .hosts_changed = hosts_changed,
                                .context = entry});
    return entry->config_watch != NULL && entry->election != NULL;
}

static void
flush_log(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    (void)context;
    FvLog_Flush();
}

static void
create_events(fv_entry_t *entry)
{
    struct timeval interval = {.tv_usec = Fv_HEARTBEAT_MS * 1000};
    struct timeval flush = {.tv_usec = Fv_LOG_FLUSH_MS * 1000};

    entry->flush = event_new(entry->base, -1, EV_PERSIST, flush_log, NULL);
    event_add(entry->flush, &flush);

    entry->heartbeat =
        event_new(entry->base, -1, EV_PERSIST, heartbeat, entry);
    entry->step_down = event_new(entry->base, -1, 0, step_down, entry);
    entry->drain = event_new(entry->base, -1, EV_PERSIST, check_drain, entry);
    entry->sigterm = evsignal_new(entry->base, SIGTERM, start_drain, entry);
    entry->sigint = evsignal_new(entry->base, SIGINT, start_drain, entry);
    entry->sighup = evsignal_new(entry->base, SIGHUP, reload, entry);
    event_add(entry->heartbeat, &interval);
    event_add(entry->sigterm, NULL);
    event_add(entry->sigint, NULL);
    event_add(entry->sighup, NULL);
}

static void
free_event(struct event *event)
{
    if (event != NULL) {
        event_free(event);
    }
}

/* Contexts of calls in progress are not freed: the calls are not completed any
 * more, and the process exits. */
static void
close_components(fv_entry_t *entry)
{
    FvLeader_Free(entry->leader);
    entry->leader = NULL;       /* link_closed checks it */
    FvLinks_Free(entry->links); /* link_closed uses the election */
    FvLeaderProbe_Free(entry->probe);
    FvElection_Free(entry->election);
    FvFrontend_Free(entry->frontend);
    FvCallPool_Free(entry->pool);
    FvAdviceClient_Free(entry->advice_client);
    FvKvClient_Free(entry->kv);
    FvCellConfig_Free(entry->config);
    for (uint32_t i = 0; i < entry->host_state_count; i++) {
        free(entry->host_states[i]);
    }
    free_event(entry->flush);
    free_event(entry->heartbeat);
    free_event(entry->step_down);
    free_event(entry->drain);
    free_event(entry->sigterm);
    free_event(entry->sigint);
    free_event(entry->sighup);
    event_base_free(entry->base);
}

/**
 * FvEntry_Run - run an entry host until SIGTERM or SIGINT
 * @settings_path: its settings file
 *
 * Return: the exit code.
 */
int
FvEntry_Run(const char *settings_path)
{
    static fv_entry_t entry;
    int code = 1;

    entry.settings_path = settings_path;
    if (!FvEntrySettings_Load(settings_path, &entry.settings, stderr)) {
        return 2;
    }
    if (FvLog_OpenBuffered(entry.settings.log_level, entry.settings.host) !=
        0) {
        fputs("fireflyvalve: the log cannot be opened\n", stderr);
        return 1;
    }
    entry.base = event_base_new();
    if (entry.base == NULL ||
        event_base_priority_init(entry.base, Fv_PRIORITIES) != 0) {
        FvLog_Event(Fv_LOG_ERROR, "event_loop_failed", "errno=%d", errno);
        goto close_log;
    }
    create_events(&entry);
    if (!open_components(&entry)) {
        FvLog_Event(Fv_LOG_ERROR, "start_failed", NULL);
        goto close_components;
    }
    FvLog_Event(Fv_LOG_INFO, "started",
                "version=%s callers=%s cores=%.3f store=%s", Fv_VERSION,
                entry.settings.callers_address, entry.settings.cpu_cores,
                entry.settings.store_address);
    FvLog_Flush();
    event_base_dispatch(entry.base);
    code = 0;
close_components:
    close_components(&entry);
close_log:
    FvLog_Finish(entry.settings.drain_ms / Fv_LOG_FINISH_DIVISOR);
    FvLog_Close();
    return code;
}
