/*
 * An entry host on the users' platform: joins the front, the election, the
 * links between hosts and, when this host wins, the leader.
 */

#include "entry-hosts.h"

#include <errno.h>
#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define Fv_BEAT_MS 400
#define Fv_LOG_FLUSH_MS 100
#define Fv_LINK_SILENT_MS 1600 /* four beats */
#define Fv_REDIAL_MS 500

/* A host stays ready for this long without a leader: an election is over by
 * then, and the balancer drops a host only after two misses, 2 s. */
#define Fv_READY_GRACE_MS 2500

/* A leader that reaches less than half of the hosts steps back once, so that
 * a better connected one can take over. */
#define Fv_LONELY_MS 2500
#define Fv_LONELY_PAUSE_MS 1500
#define Fv_LONELY_AGAIN_MS 30000

/* After SIGTERM: the balancer asks twice, once a second, before it sends no
 * more connections. */
#define Fv_DRAIN_LEAST_MS 2300
#define Fv_DRAIN_MARGIN_MS 800
#define Fv_DRAIN_CHECK_MS 50

/* A leader hands over within this, or resigns as it is: the longest stop on
 * the sheets (0.9 s), its way and two writes at a slow store. */
#define Fv_HANDOVER_MAX_MS 2000

/* Descriptors that the platform keeps for files (DEPLOY, processor and
 * memory), and the share of the others that outgoing calls may take; callers
 * and other hosts connect on the rest. */
#define Fv_DESCRIPTORS_RESERVED 200
#define Fv_CALL_DESCRIPTORS_SHARE 0.875

/* --- Configuration ------------------------------------------------------ */

static int64_t
config_version(const fv_entry_t *entry)
{
    return entry->config != NULL ? entry->config->version : 0;
}

static void
send_config(fv_entry_t *entry, fv_link_peer_t *peer)
{
    FvLinks_Send(peer, &(fv_cell_message_t){
                           .kind = Fv_CELL_MESSAGE_CONFIG,
                           .number = config_version(entry),
                           .body = entry->config->document,
                           .body_length = entry->config->document_length});
}

/* Tells linked hosts, for those that cannot read the store. */
static void
spread_config(fv_entry_t *entry)
{
    if (entry->uplink != NULL) {
        FvLinks_Send(entry->uplink,
                     &(fv_cell_message_t){.kind = Fv_CELL_MESSAGE_HEARTBEAT,
                                          .number = config_version(entry)});
    }
    for (uint32_t i = 0; i < entry->host_state_count; i++) {
        if (entry->host_states[i]->joined) {
            FvLinks_Send(
                entry->host_states[i]->peer,
                &(fv_cell_message_t){.kind = Fv_CELL_MESSAGE_HEARTBEAT,
                                     .number = config_version(entry)});
        }
    }
}

static void
adopt_config(fv_entry_t *entry, const char *document, size_t length,
             const char *source)
{
    fv_cell_config_t *config = FvPlatform_DecodeConfig(document, length);
    fv_cell_config_t *old = entry->config;

    if (config == NULL) {
        FvLog_Event(Fv_LOG_ERROR, "config_unreadable", "source=%s bytes=%zu",
                    source, length);
        return;
    }
    if (config->version <= config_version(entry)) {
        FvCellConfig_Free(config);
        return;
    }
    FvLog_Event(Fv_LOG_INFO, "config_adopted",
                "version=%" PRId64 " before=%" PRId64 " queues=%u source=%s",
                config->version, config_version(entry), config->queue_count,
                source);
    entry->config = config;
    FvFrontend_SetConfig(entry->front, config);
    FvCellConfig_Free(old);
    spread_config(entry);
}

static void
config_begin(void *context)
{
    (void)context; /* versions tell what is new */
}

static void
config_item(void *context, const fv_kv_item_t *item)
{
    if (strcmp(item->key, FvPlatform_ConfigKey) == 0 &&
        item->value.data != NULL) {
        adopt_config(context, (const char *)item->value.data,
                     item->value.length, "store");
    }
}

static void
compare_version(fv_entry_t *entry, fv_link_peer_t *peer, int64_t version)
{
    if (version < config_version(entry)) {
        send_config(entry, peer);
    }
}

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
        state = FvEntryHosts_Obtain(entry, hosts[i].name);
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
leader_may_order(void *context, int64_t now_ms)
{
    fv_entry_t *entry = context;

    return FvElection_MaySendOrders(entry->election, now_ms);
}

/* The leader ends once its call stack has unwound. */
static void
leader_deposed(void *context, const char *cause)
{
    fv_entry_t *entry = context;

    entry->depose_cause = cause;
    event_active(entry->depose, EV_TIMEOUT, 0);
}

static bool
leader_follows(void *context, const char *host)
{
    fv_entry_t *entry = context;

    for (uint32_t i = 0; i < entry->host_state_count; i++) {
        if (strcmp(entry->host_states[i]->name, host) == 0) {
            return entry->host_states[i]->joined ||
                   entry->host_states[i] == entry->self;
        }
    }
    return false;
}

static const fv_cell_config_t *
leader_config(void *context)
{
    fv_entry_t *entry = context;

    return entry->config;
}

static void
depose(evutil_socket_t fd, short what, void *context)
{
    fv_entry_t *entry = context;

    (void)fd;
    (void)what;
    FvElection_Resign(entry->election, entry->term_ms != 0 ? INT32_MAX : 0,
                      entry->depose_cause);
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
    fv_leader_events_t events = {.may_send_orders = leader_may_order,
                                 .ask = FvEntryHosts_RequestAdvice,
                                 .deposed = leader_deposed,
                                 .is_linked = leader_follows,
                                 .config = leader_config,
                                 .handed_over = leader_handed_over,
                                 .context = entry};

    entry->epoch = epoch;
    entry->led_since_ms = FvClock_NowMs();
    entry->lonely_since_ms = 0;
    entry->self = FvEntryHosts_Obtain(entry, entry->settings.host);
    entry->leader = FvLeader_New(entry->base, entry->pool, entry->kv,
                                 &entry->settings, &events, epoch, generation);
    if (entry->dead_epoch != 0 &&
        entry->dead_epoch == FvElection_PredecessorEpoch(entry->election)) {
        FvLeader_PredecessorDied(entry->leader, entry->dead_since_ms);
    }
    FvLinks_Close(entry->uplink);
    entry->uplink = NULL;
    dial_hosts(entry);
    FvFrontend_LeaderChanged(entry->front);
}

static void
election_lost(void *context, const char *cause)
{
    fv_entry_t *entry = context;

    (void)cause;
    FvLeader_Free(entry->leader);
    entry->leader = NULL;
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

/* Asks the linked hosts to replace this leader, if the store answers them. */
static void
election_refused(void *context, int64_t sent_ago_ms)
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

    FvFrontend_Reply(entry->front, reply, true);
}

static bool
front_forwards(void *context, const fv_cell_message_t *message)
{
    fv_entry_t *entry = context;

    if (entry->leader != NULL && FvLeader_IsServing(entry->leader)) {
        FvLeader_HandleRequest(entry->leader, message, reply_to_self, entry);
        return true;
    }
    if (entry->uplink != NULL) {
        FvLinks_Send(entry->uplink, message);
        return true;
    }
    return false;
}

static bool
front_ready(void *context)
{
    fv_entry_t *entry = context;

    if (entry->uplink != NULL ||
        (entry->leader != NULL && FvLeader_IsServing(entry->leader))) {
        entry->leader_seen_ms = FvClock_NowMs();
    }
    return entry->leader_seen_ms != 0 &&
           FvClock_NowMs() - entry->leader_seen_ms < Fv_READY_GRACE_MS;
}

static void
greeted(fv_entry_t *entry, fv_link_peer_t *peer,
        const fv_cell_message_t *message)
{
    if (message->number < entry->uplink_epoch ||
        (entry->leader != NULL && message->number < entry->epoch)) {
        FvLog_Event(Fv_LOG_INFO, "old_leader_refused",
                    "peer=%s epoch=%" PRId64 " known=%" PRId64, message->name,
                    message->number, entry->uplink_epoch);
        FvLinks_Close(peer);
        return;
    }
    FvLinks_SetName(peer, message->name);
    if (entry->leader != NULL) {
        leader_deposed(entry, "newer_leader");
    }
    entry->uplink = peer;
    entry->uplink_epoch = message->number;
    FvLog_Event(Fv_LOG_INFO, "leader_linked", "leader=%s epoch=%" PRId64,
                message->name, message->number);
    FvLinks_Send(peer, &(fv_cell_message_t){.kind = Fv_CELL_MESSAGE_JOIN,
                                            .number = config_version(entry),
                                            .name = entry->settings.host});
    FvFrontend_LeaderChanged(entry->front);
}

static void
uplink_advice(void *context, const fv_cell_message_t *answer)
{
    fv_entry_t *entry = context;

    if (entry->uplink != NULL) {
        FvLinks_Send(entry->uplink, answer);
    }
}

static void
message_of_leader(fv_entry_t *entry, fv_link_peer_t *peer,
                  const fv_cell_message_t *message)
{
    switch (message->kind) {
    case Fv_CELL_MESSAGE_GREETING:
        greeted(entry, peer, message);
        break;
    case Fv_CELL_MESSAGE_REPLY:
        FvFrontend_Reply(entry->front, message,
                         peer == entry->uplink && entry->leader == NULL);
        break;
    case Fv_CELL_MESSAGE_ADVICE_REQUEST:
        if (entry->advice != NULL) {
            FvAdviceClient_Request(entry->advice, message, uplink_advice,
                                   entry);
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
message_of_host(fv_entry_t *entry, fv_host_state_t *state,
                const fv_cell_message_t *message)
{
    switch (message->kind) {
    case Fv_CELL_MESSAGE_JOIN:
        state->joined = true;
        compare_version(entry, state->peer, message->number);
        break;
    case Fv_CELL_MESSAGE_REQUEST:
        if (entry->leader != NULL) {
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

    if (message->kind == Fv_CELL_MESSAGE_HEARTBEAT) {
        compare_version(entry, peer, message->number);
        return;
    }
    if (message->kind == Fv_CELL_MESSAGE_CONFIG) {
        adopt_config(entry, message->body, message->body_length,
                     FvLinks_Name(peer));
        return;
    }
    if (!FvLinks_Dialed(peer)) {
        message_of_leader(entry, peer, message);
        return;
    }
    state = FvEntryHosts_Find(entry, peer);
    if (state != NULL) {
        message_of_host(entry, state, message);
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

    if (peer == entry->uplink) {
        FvLog_Event(Fv_LOG_INFO, "leader_link_lost", "leader=%s",
                    FvLinks_Name(peer));
        entry->leader_seen_ms = FvClock_NowMs();
        entry->uplink = NULL;
        if (entry->leader == NULL && entry->term_ms == 0) {
            FvEntryHosts_ProbeLeader(entry, FvLinks_Name(peer),
                                     entry->uplink_epoch);
        }
    }
    if (state != NULL) {
        if (state->joined) {
            FvLog_Event(Fv_LOG_INFO, "host_link_lost", "peer=%s", state->name);
        }
        state->peer = NULL;
        state->joined = false;
        if (entry->leader != NULL) {
            FvLeader_DropReplies(entry->leader, state);
        }
        FvEntryHosts_FailAdvice(entry, state);
    }
}

/* --- Beats -------------------------------------------------------------- */

static void
check_lonely(fv_entry_t *entry, int64_t now_ms)
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
        entry->lonely_since_ms = now_ms;
        return;
    }
    if (now_ms - entry->led_since_ms > Fv_LONELY_MS &&
        now_ms - entry->lonely_since_ms > Fv_LONELY_MS &&
        now_ms - entry->lonely_resigned_ms > Fv_LONELY_AGAIN_MS) {
        entry->lonely_resigned_ms = now_ms;
        FvElection_Resign(entry->election, Fv_LONELY_PAUSE_MS,
                          "few_hosts_reached");
    }
}

static void
forget_gone_host(fv_entry_t *entry, int64_t now_ms)
{
    const fv_peer_entry_t *hosts;
    uint32_t count = FvElection_Hosts(entry->election, &hosts);
    const char *gone =
        FvEntryHosts_FindUnreachable(entry, hosts, count, now_ms);

    if (gone != NULL) {
        FvElection_RemoveHost(entry->election, gone);
    }
}

static void
beat(evutil_socket_t fd, short what, void *context)
{
    fv_entry_t *entry = context;

    (void)fd;
    (void)what;
    spread_config(entry);
    FvLinks_CloseSilent(entry->links, Fv_LINK_SILENT_MS);
    if (entry->leader != NULL) {
        dial_hosts(entry);
        forget_gone_host(entry, FvClock_NowMs());
        check_lonely(entry, FvClock_NowMs());
    }
}

/* --- Signals ------------------------------------------------------------ */

static void
drain_check(evutil_socket_t fd, short what, void *context)
{
    fv_entry_t *entry = context;
    int64_t draining_ms = FvClock_NowMs() - entry->term_ms;
    uint32_t open = FvFrontend_OpenRequests(entry->front);

    (void)fd;
    (void)what;
    if (entry->leader != NULL && draining_ms >= Fv_HANDOVER_MAX_MS) {
        FvElection_Resign(entry->election, INT32_MAX, "shutdown_unprepared");
    }
    if ((open == 0 && draining_ms >= Fv_DRAIN_LEAST_MS) ||
        draining_ms >= entry->settings.drain_ms - Fv_DRAIN_MARGIN_MS) {
        FvLog_Event(Fv_LOG_INFO, "stopped",
                    "after_ms=%" PRId64 " open_requests=%u", draining_ms,
                    open);
        event_base_loopbreak(entry->base);
    }
}

static void
terminate(evutil_socket_t fd, short what, void *context)
{
    fv_entry_t *entry = context;
    struct timeval interval = {.tv_usec = Fv_DRAIN_CHECK_MS * 1000};

    (void)what;
    if (entry->term_ms != 0) {
        return;
    }
    entry->term_ms = FvClock_NowMs();
    FvLog_Event(Fv_LOG_INFO, "stopping", "signal=%d open_requests=%u", fd,
                FvFrontend_OpenRequests(entry->front));
    FvFrontend_Drain(entry->front);
    if (entry->leader != NULL) {
        FvLeader_HandOver(entry->leader);
    }
    else {
        FvElection_Resign(entry->election, INT32_MAX, "shutdown");
    }
    event_add(entry->drain, &interval);
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

/* --- Life --------------------------------------------------------------- */

static uint32_t
calls_max(const fv_entry_settings_t *settings)
{
    return (uint32_t)((settings->descriptors_max - Fv_DESCRIPTORS_RESERVED) *
                      Fv_CALL_DESCRIPTORS_SHARE);
}

static bool
open_parts(fv_entry_t *entry)
{
    entry->pool = FvCallPool_New(entry->base, calls_max(&entry->settings));
    entry->kv = FvKvClient_New(entry->base, entry->pool,
                               entry->settings.store_address);
    if (entry->pool == NULL || entry->kv == NULL) {
        return false;
    }
    if (entry->settings.advice_address[0] != '\0') {
        entry->advice =
            FvAdviceClient_New(entry->pool, entry->settings.advice_address);
    }
    entry->front =
        FvFrontend_New(entry->base, &entry->settings,
                       &(fv_frontend_events_t){.forward = front_forwards,
                                               .ready = front_ready,
                                               .context = entry});
    entry->links = FvLinks_New(entry->base, &entry->settings,
                               &(fv_links_events_t){.message = link_message,
                                                    .opened = link_opened,
                                                    .closed = link_closed,
                                                    .context = entry});
    if (entry->front == NULL || entry->links == NULL) {
        return false;
    }
    entry->config_watch = FvKvClient_Watch(
        entry->kv, &(fv_kv_watcher_t){.prefix = FvPlatform_ConfigKey,
                                      .begin = config_begin,
                                      .item = config_item,
                                      .loaded = config_begin,
                                      .context = entry});
    entry->election = FvElection_New(
        entry->base, entry->kv, &entry->settings,
        &(fv_election_events_t){.won = election_won,
                                .lost = election_lost,
                                .store_failing = election_refused,
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
open_events(fv_entry_t *entry)
{
    struct timeval interval = {.tv_usec = Fv_BEAT_MS * 1000};
    struct timeval flush = {.tv_usec = Fv_LOG_FLUSH_MS * 1000};

    entry->flush = event_new(entry->base, -1, EV_PERSIST, flush_log, NULL);
    event_add(entry->flush, &flush);

    entry->beat = event_new(entry->base, -1, EV_PERSIST, beat, entry);
    entry->depose = event_new(entry->base, -1, 0, depose, entry);
    entry->drain = event_new(entry->base, -1, EV_PERSIST, drain_check, entry);
    entry->sigterm = evsignal_new(entry->base, SIGTERM, terminate, entry);
    entry->sigint = evsignal_new(entry->base, SIGINT, terminate, entry);
    entry->sighup = evsignal_new(entry->base, SIGHUP, reload, entry);
    event_add(entry->beat, &interval);
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

/* Closes what was opened. What calls in progress refer to is left to the end
 * of the process, since they are not answered any more. */
static void
close_parts(fv_entry_t *entry)
{
    FvLeader_Free(entry->leader);
    entry->leader = NULL;       /* closing links looks for it */
    FvLinks_Free(entry->links); /* a closed link looks for the election */
    FvLeaderProbe_Free(entry->probe);
    FvElection_Free(entry->election);
    FvFrontend_Free(entry->front);
    FvCallPool_Free(entry->pool);
    FvAdviceClient_Free(entry->advice);
    FvKvClient_Free(entry->kv);
    FvCellConfig_Free(entry->config);
    for (uint32_t i = 0; i < entry->host_state_count; i++) {
        free(entry->host_states[i]);
    }
    free_event(entry->flush);
    free_event(entry->beat);
    free_event(entry->depose);
    free_event(entry->drain);
    free_event(entry->sigterm);
    free_event(entry->sigint);
    free_event(entry->sighup);
    event_base_free(entry->base);
}

/**
 * FvEntry_Run - run an entry host until it is told to stop
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
    if (entry.base == NULL) {
        FvLog_Event(Fv_LOG_ERROR, "event_loop_failed", "errno=%d", errno);
        goto close_log;
    }
    open_events(&entry);
    if (!open_parts(&entry)) {
        FvLog_Event(Fv_LOG_ERROR, "start_failed", NULL);
        goto close_parts;
    }
    FvLog_Event(Fv_LOG_INFO, "started",
                "version=%s callers=%s cores=%.3f store=%s", Fv_VERSION,
                entry.settings.callers_address, entry.settings.cpu_cores,
                entry.settings.store_address);
    FvLog_Flush();
    event_base_dispatch(entry.base);
    code = 0;
close_parts:
    close_parts(&entry);
close_log:
    FvLog_Flush();
    FvLog_Close();
    return code;
}
