/*
 * The configuration of an entry host: read from the store, or from the hosts
 * that it is linked to while it cannot reach the store.
 */

#include "entry-hosts.h"

#include <inttypes.h>
#include <string.h>

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
    fv_cell_config_t *old = entry->config;

    if (config == NULL && reason == NULL) {
        FvLog_Event(Fv_LOG_ERROR, "config_unreadable", "source=%s bytes=%zu",
                    source, length);
    }
    if (config == NULL && reason != NULL) {
        FvLog_Event(Fv_LOG_ERROR, "config_refused",
                    "source=%s bytes=%zu reason=%s", source, length, reason);
    }
    if (config == NULL) {
        return;
    }
    if (config->version <= FvEntryConfig_Version(entry)) {
        FvCellConfig_Free(config);
        return;
    }
    FvLog_Event(Fv_LOG_INFO, "config_adopted",
                "version=%" PRId64 " before=%" PRId64
                " queues=%u customers=%u source=%s",
                config->version, FvEntryConfig_Version(entry),
                config->queue_count, config->customer_count, source);
    entry->config = config;
    FvFrontend_SetConfig(entry->frontend, config);
    FvCellConfig_Free(old);
    FvEntryConfig_SendHeartbeats(entry);
}

static void
ignore_snapshot(void *context)
{
    (void)context; /* known versions are ignored */
}

static void
read_item(void *context, const fv_kv_item_t *item)
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
                                               .begin = ignore_snapshot,
                                               .item = read_item,
                                               .loaded = ignore_snapshot,
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
    if (version < FvEntryConfig_Version(entry)) {
        send_config(entry, peer);
    }
}
