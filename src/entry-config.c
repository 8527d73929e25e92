/*
 * The configuration of an entry host: read from the store, or from the hosts
 * that it is linked to while it cannot reach the store.
 */

#include "entry-hosts.h"

#include <inttypes.h>
#include <string.h>

/* Lines a second that a source of bad configurations may add to the log. */
#define Fv_REFUSED_CONFIG_LINES_PER_S 2
#define Fv_GIVE_BACK_LINES_PER_S 10

/* A host that lags gets the configuration at most this often, below the time
 * of a heartbeat, 400 ms. Each version brings heartbeats from all hosts: with
 * one every 60 ms, 30 hosts that lag by one would take 40 Mbit/s of the leader
 * for 10 KB; some hosts have 10 Mbit/s. */
#define Fv_CONFIG_RESEND_MS 300

/* A host that lags gets the configuration with a request that is given back,
 * at most this often: a tenth of the 400 ms that the request waits is left for
 * the way, and a storm of configurations must not fill the leader's link. */
#define Fv_CONFIG_RETURN_MS 150

/* For how long a configuration counts as current without a sign that it is. A
 * watch of the store tells nothing for 3.8 s at worst: a long poll whose
 * answer is lost, and the pause before the next. */
#define Fv_CONFIG_CURRENT_MS 4000

/* A gap between heartbeats (400 ms) above this means that the process was
 * suspended. What the leader sent before is read within the time below. */
#define Fv_STOOD_STILL_MS 1000
#define Fv_OLD_MESSAGES_MS 300

/**
 * FvEntryConfig_Version - version of the configuration in force
 * @entry: this process
 *
 * Return: the version; 0 without a configuration.
 */
int64_t
FvEntryConfig_Version(const fv_entry_t *entry)
{
    return entry->config != NULL ? entry->config->version : 0;
}

static void
send_config(fv_entry_t *entry, fv_link_peer_t *peer)
{
    FvLinks_Send(peer, &(fv_cell_message_t){
                           .kind = Fv_CELL_MESSAGE_CONFIG,
                           .number = FvEntryConfig_Version(entry),
                           .body = entry->config->document,
                           .body_length = entry->config->document_length});
}

static void
send_heartbeat(const fv_entry_t *entry, fv_link_peer_t *peer)
{
    FvLinks_Send(peer,
                 &(fv_cell_message_t){.kind = Fv_CELL_MESSAGE_HEARTBEAT,
                                      .number = FvEntryConfig_Version(entry)});
}

/**
 * FvEntryConfig_SendHeartbeats - send heartbeats with the configuration's
 * version
 * @entry: this process
 *
 * A peer with a newer version sends its configuration, since some hosts may
 * not reach the store.
 */
void
FvEntryConfig_SendHeartbeats(fv_entry_t *entry)
{
    if (entry->leader_link != NULL) {
        send_heartbeat(entry, entry->leader_link);
    }
    for (uint32_t i = 0; i < entry->host_state_count; i++) {
        if (entry->host_states[i]->joined) {
            send_heartbeat(entry, entry->host_states[i]->peer);
        }
    }
}

static void
log_refusal(fv_entry_t *entry, const char *source, size_t length,
            const char *reason)
{
    fv_log_level_t level =
        FvLog_LevelWithin(&entry->config_log, Fv_REFUSED_CONFIG_LINES_PER_S,
                          FvClock_NowMs()) == Fv_LOG_INFO
            ? Fv_LOG_ERROR
            : Fv_LOG_DEBUG;

    FvMetrics_Add(Fv_COUNTER_CONFIGS_REFUSED, 1);
    if (reason == NULL) {
        FvLog_Event(level, "config_unreadable", "source=%s bytes=%zu", source,
                    length);
        return;
    }
    FvLog_Event(level, "config_refused",
                "source=%s bytes=%zu reason=%s in_force=%" PRId64, source,
                length, reason, FvEntryConfig_Version(entry));
}

static void
replace_config(fv_entry_t *entry, fv_cell_config_t *config,
               fv_customers_t *customers)
{
    fv_cell_config_t *old = entry->config;

    if (old != NULL && old->customers_digest != config->customers_digest) {
        FvCustomersPast_Note(&entry->customers_past, old->customers_digest,
                             FvClock_NowMs());
    }
    entry->config = config;
    FvFrontend_SetConfig(entry->frontend, config, customers);
    FvCellConfig_Free(old);
}

/**
 * FvEntryConfig_Adopt - put a configuration in force if it is newer and good
 * @entry: this process
 * @document: the configuration
 * @length: its length
 * @source: where it comes from, for the log
 */
void
FvEntryConfig_Adopt(fv_entry_t *entry, const char *document, size_t length,
                    const char *source)
{
    const char *reason;
    fv_cell_config_t *config =
        FvPlatform_DecodeConfig(document, length, &reason);
    fv_customers_t *customers;

    if (config == NULL) {
        log_refusal(entry, source, length, reason);
        return;
    }
    if (config->version <= FvEntryConfig_Version(entry)) {
        FvCellConfig_Free(config);
        return;
    }
    customers = FvCustomers_New(config);
    if (customers == NULL) {
        log_refusal(entry, source, length, "no_memory");
        FvCellConfig_Free(config);
        return;
    }
    config->customers_digest = FvCustomers_Digest(config);
    FvLog_Event(Fv_LOG_INFO, "config_adopted",
                "version=%" PRId64 " before=%" PRId64
                " queues=%u customers=%u source=%s",
                config->version, FvEntryConfig_Version(entry),
                config->queue_count, config->customer_count, source);
    replace_config(entry, config, customers);
    FvEntryConfig_SendHeartbeats(entry);
}

static void
ignore_begin(void *context)
{
    (void)context; /* known versions are ignored */
}

static void
note_loaded(void *context)
{
    fv_entry_t *entry = context;

    entry->config_watch_loaded = true;
}

/**
 * FvEntryConfig_Read - put a configuration in force as read from the store
 * @context: this process
 * @item: the store's item
 */
void
FvEntryConfig_Read(void *context, const fv_kv_item_t *item)
{
    if (strcmp(item->key, FvPlatform_ConfigKey) == 0 &&
        item->value.data != NULL) {
        FvEntryConfig_Adopt(context, (const char *)item->value.data,
                            item->value.length, "store");
    }
}

/**
 * FvEntryConfig_Watch - read the configuration from the store, and its changes
 * @entry: this process
 *
 * Return: the watch, or NULL when memory is exhausted.
 */
fv_kv_watch_t *
FvEntryConfig_Watch(fv_entry_t *entry)
{
    return FvKvClient_Watch(entry->kv,
                            &(fv_kv_watcher_t){.prefix = FvPlatform_ConfigKey,
                                               .begin = ignore_begin,
                                               .item = FvEntryConfig_Read,
                                               .loaded = note_loaded,
                                               .context = entry});
}

/**
 * FvEntryConfig_SendIfNewer - send the configuration to a host with an older
 * one
 * @entry: this process
 * @peer: the host
 * @version: of the host's configuration
 */
void
FvEntryConfig_SendIfNewer(fv_entry_t *entry, fv_link_peer_t *peer,
                          int64_t version)
{
    fv_host_state_t *state = FvEntryHosts_Find(entry, peer);
    int64_t *sent_ms =
        state != NULL ? &state->config_sent_ms : &entry->leader_config_sent_ms;
    int64_t now_ms = FvClock_NowMs();

    if (version < FvEntryConfig_Version(entry) &&
        now_ms - *sent_ms >= Fv_CONFIG_RESEND_MS) {
        *sent_ms = now_ms;
        send_config(entry, peer);
    }
}

/**
 * FvEntryConfig_GiveBack - return a request that was checked by customers that
 * are not in force any more
 * @entry: this process, which leads
 * @state: the host that sent it
 * @request: the request
 *
 * The host gets the configuration with it, checks the request again and sends
 * it again or refuses it.
 *
 * Return: false when the check counts; then nothing was done.
 */
bool
FvEntryConfig_GiveBack(fv_entry_t *entry, fv_host_state_t *state,
                       const fv_cell_message_t *request)
{
    int64_t now_ms = FvClock_NowMs();

    if (FvCustomersPast_Allows(&entry->customers_past, entry->config,
                               &request->check, now_ms)) {
        return false;
    }
    FvMetrics_Add(Fv_COUNTER_REQUESTS_GIVEN_BACK, 1);
    FvLog_Event(FvLog_LevelWithin(&entry->give_back_log,
                                  Fv_GIVE_BACK_LINES_PER_S, now_ms),
                "request_given_back",
                "job=%s queue=%s to=%s config_version=%" PRId64
                " in_force=%" PRId64,
                request->key, request->name, state->name,
                request->check.config_version, FvEntryConfig_Version(entry));
    if (now_ms - state->config_returned_ms >= Fv_CONFIG_RETURN_MS) {
        state->config_returned_ms = now_ms;
        send_config(entry, state->peer);
    }
    FvLinks_Send(state->peer,
                 &(fv_cell_message_t){.kind = Fv_CELL_MESSAGE_REPLY,
                                      .id = request->id,
                                      .number = Fv_REPLY_NOT_READY,
                                      .key = entry->settings.host});
    return true;
}

static bool
stood_still(const fv_entry_t *entry, int64_t now_ms)
{
    return entry->last_heartbeat_ms != 0 &&
           now_ms - entry->last_heartbeat_ms > Fv_STOOD_STILL_MS;
}

/**
 * FvEntryConfig_NoteHeartbeat - note that the event loop runs
 * @entry: this process
 * @now_ms: the time
 */
void
FvEntryConfig_NoteHeartbeat(fv_entry_t *entry, int64_t now_ms)
{
    if (stood_still(entry, now_ms)) {
        entry->resumed_ms = now_ms;
    }
    entry->last_heartbeat_ms = now_ms;
}

/**
 * FvEntryConfig_NoteLeaderHeard - note a message of the leader
 * @entry: this process
 *
 * A message that may have waited here while the process was suspended is no
 * sign that the leader can be reached.
 */
void
FvEntryConfig_NoteLeaderHeard(fv_entry_t *entry)
{
    int64_t now_ms = FvClock_NowMs();

    if (!stood_still(entry, now_ms) &&
        now_ms - entry->resumed_ms > Fv_OLD_MESSAGES_MS) {
        entry->leader_heard_ms = now_ms;
    }
}

/**
 * FvEntryConfig_IsCurrent - whether a call may be refused by the configuration
 * @context: this process
 *
 * A host that reaches neither the store nor a leader does not learn of added
 * routes and keys.
 *
 * Return: true while this host would have learned of a change.
 */
bool
FvEntryConfig_IsCurrent(void *context)
{
    fv_entry_t *entry = context;
    int64_t now_ms = FvClock_NowMs();

    if (stood_still(entry, now_ms)) {
        return false;
    }
    if (entry->leader_link == NULL &&
        FvElection_MaySendOrders(entry->election, now_ms)) {
        return true;
    }
    return (entry->leader_heard_ms != 0 &&
            now_ms - entry->leader_heard_ms < Fv_CONFIG_CURRENT_MS) ||
           (entry->config_watch_loaded &&
            FvKvClient_WatchAgeMs(entry->config_watch, now_ms) <
                Fv_CONFIG_CURRENT_MS);
}
