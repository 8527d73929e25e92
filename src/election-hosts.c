/*
 * The registry of hosts that take part in the election.
 */

#include "election.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define Fv_LARGER_HOST_RATIO 1.1 /* smaller differences are ignored */

/**
 * FvElection_Hosts - the registered hosts
 * @election: the election
 * @hosts: set to the list
 *
 * Return: how many.
 */
uint32_t
FvElection_Hosts(const fv_election_t *election, const fv_peer_entry_t **hosts)
{
    *hosts = election->hosts;
    return election->host_count;
}

/**
 * FvElection_KnowsHosts - whether the list of registered hosts is complete
 * @election: the election
 *
 * Return: false while the registry is being read, when a host that is not
 * listed may be registered.
 */
bool
FvElection_KnowsHosts(const fv_election_t *election)
{
    return election->loaded && !election->reading;
}

/**
 * FvElectionHosts_IsLargest - whether no other host has more CPU
 * @election: the election
 *
 * Return: true when this host is among the largest.
 */
bool
FvElectionHosts_IsLargest(const fv_election_t *election)
{
    for (uint32_t i = 0; i < election->host_count; i++) {
        if (election->hosts[i].listed &&
            election->hosts[i].cpu_cores >
                election->settings->cpu_cores * Fv_LARGER_HOST_RATIO) {
            return false;
        }
    }
    return true;
}

/**
 * FvElection_SmallestMemoryMb - memory of the smallest registered host
 * @election: the election
 *
 * Return: megabytes. A host of an earlier build does not tell its own, and
 * counts as this one.
 */
double
FvElection_SmallestMemoryMb(const fv_election_t *election)
{
    double smallest_mb = election->settings->memory_mb;

    for (uint32_t i = 0; i < election->host_count; i++) {
        const fv_peer_entry_t *host = &election->hosts[i];

        if (host->listed && host->memory_mb > 0 &&
            host->memory_mb < smallest_mb) {
            smallest_mb = host->memory_mb;
        }
    }
    return smallest_mb;
}

static void
registration_written(void *context, const fv_kv_result_t *result)
{
    fv_election_t *election = context;

    election->registering = false;
    election->registered = result->error == Fv_KV_OK;
}

/**
 * FvElectionHosts_FormatEntry - format this host's entry in the registry
 * @election: the election
 * @key: receives its key, at most Fv_KEY_SIZE bytes
 * @value: receives its value, at most Fv_URL_SIZE bytes
 */
void
FvElectionHosts_FormatEntry(const fv_election_t *election, char *key,
                            char *value)
{
    const fv_entry_settings_t *settings = election->settings;

    snprintf(key, Fv_KEY_SIZE, "%s%s", Fv_KEY_HOSTS, settings->host);
    snprintf(value, Fv_URL_SIZE, "%s:%d %.3f %.0f", settings->address,
             settings->link_port, settings->cpu_cores, settings->memory_mb);
}

/**
 * FvElectionHosts_Register - write this host's entry in the registry
 * @election: the election
 */
void
FvElectionHosts_Register(fv_election_t *election)
{
    char key[Fv_KEY_SIZE];
    char value[Fv_URL_SIZE];

    FvElectionHosts_FormatEntry(election, key, value);
    election->registering = true;
    FvKvClient_Txn(
        election->kv, NULL, 0,
        &(fv_kv_put_t){.key = key, .value = value, .length = strlen(value)}, 1,
        Fv_KV_TIMEOUT_MS, registration_written, election);
}

static void
host_removed(void *context, const fv_kv_result_t *result)
{
    (void)context; /* on failure the leader tries again later */
    if (result->error != Fv_KV_OK) {
        FvLog_Event(Fv_LOG_INFO, "host_not_removed", "error=%d",
                    (int)result->error);
    }
}

/**
 * FvElection_RemoveHost - remove an unreachable host from the registry
 * @election: the election
 * @name: the host; if it is still alive it registers again
 * @epoch: of the leader that did not reach it; a later leader may do so, and
 *         takes all hosts that led for registered
 */
void
FvElection_RemoveHost(fv_election_t *election, const char *name, int64_t epoch)
{
    char key[Fv_KEY_SIZE];

    FvLog_Event(Fv_LOG_WARN, "host_gone", "peer=%s", name);
    snprintf(key, sizeof(key), "%s%s", Fv_KEY_HOSTS, name);
    FvKvClient_Txn(election->kv,
                   &(fv_kv_expect_t){.key = Fv_KEY_LEADER, .revision = epoch},
                   1, &(fv_kv_put_t){.key = key}, 1, Fv_KV_TIMEOUT_MS,
                   host_removed, election);
}

/* Finds or adds a host's entry; a new host may reuse that of a removed one. */
static fv_peer_entry_t *
find_or_add_host(fv_election_t *election, const char *name)
{
    fv_peer_entry_t *reusable = NULL;

    for (uint32_t i = 0; i < election->host_count; i++) {
        fv_peer_entry_t *host = &election->hosts[i];

        if (strcmp(host->name, name) == 0) {
            return host;
        }
        reusable = host->listed ? reusable : host;
    }
    if (reusable == NULL && election->host_count < Fv_HOSTS_MAX) {
        reusable = &election->hosts[election->host_count++];
    }
    if (reusable != NULL) {
        *reusable = (fv_peer_entry_t){0};
        FvText_Copy(reusable->name, sizeof(reusable->name), name);
    }
    return reusable;
}

/**
 * FvElectionHosts_Update - apply a host's entry as read from the store
 * @election: the election
 * @item: the entry, or its removal
 */
void
FvElectionHosts_Update(fv_election_t *election, const fv_kv_item_t *item)
{
    fv_peer_entry_t *host =
        find_or_add_host(election, item->key + strlen(Fv_KEY_HOSTS));
    char address[Fv_ADDRESS_SIZE];
    double cores;
    double memory_mb = 0;

    if (host == NULL) {
        FvLog_Event(Fv_LOG_ERROR, "host_not_kept", "key=%s most=%d", item->key,
                    Fv_HOSTS_MAX);
        return;
    }
    host->listed = !item->deleted;
    if (item->deleted && strcmp(host->name, election->settings->host) == 0) {
        election->registered = false; /* the next tick registers again */
    }
    if (!item->deleted && item->value.data != NULL &&
        sscanf((const char *)item->value.data, "%63s %lf %lf", address, &cores,
               &memory_mb) >= 2) {
        FvText_Copy(host->link_address, sizeof(host->link_address), address);
        host->cpu_cores = cores;
        host->memory_mb = memory_mb;
    }
    if (election->loaded) {
        election->events.hosts_changed(election->events.context);
    }
}
