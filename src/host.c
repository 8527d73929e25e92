/*
 * Entry hosts of the cell, known from the platform's list and from their
 * heartbeats, and the choice of the live host responsible for a rack or for a
 * dead host's claims.
 */

#include "fireflyvalve.h"

#include <stdlib.h>
#include <string.h>

/* Three missed digests: they arrive every 500 ms within the region and every
 * 2,000 ms from other regions. */
#define Fv_HOST_TIMEOUT_MS 1500
#define Fv_HOST_REMOTE_TIMEOUT_MS 6000

/**
 * FvHosts_Find - look up a host by name
 * @hosts: the hosts
 * @name: the name
 *
 * Return: the host or NULL.
 */
fv_host_t *
FvHosts_Find(const fv_hosts_t *hosts, const char *name)
{
    for (uint32_t i = 0; i < hosts->count; i++) {
        if (strcmp(hosts->entries[i]->name, name) == 0) {
            return hosts->entries[i];
        }
    }
    return NULL;
}

/**
 * FvHosts_Add - add a host
 * @hosts: the hosts
 * @name: its name, which must not be present yet
 *
 * Return: the new host, or NULL when there are too many or memory is
 * exhausted.
 */
fv_host_t *
FvHosts_Add(fv_hosts_t *hosts, const char *name)
{
    fv_host_t *host;

    if (hosts->count == Fv_HOSTS_MAX) {
        return NULL;
    }
    host = calloc(1, sizeof(*host));
    if (host == NULL) {
        return NULL;
    }
    FvText_Copy(host->name, sizeof(host->name), name);
    hosts->entries[hosts->count++] = host;
    return host;
}

/**
 * FvHosts_Clear - release all hosts
 * @hosts: the hosts
 */
void
FvHosts_Clear(fv_hosts_t *hosts)
{
    for (uint32_t i = 0; i < hosts->count; i++) {
        free(hosts->entries[i]);
    }
    hosts->count = 0;
}

/**
 * FvHost_IsAlive - whether a host is listed, connected and sends heartbeats
 * @host: the host
 * @self: this host
 * @now_ms: boot time
 *
 * Return: true for this host, and for a host that the platform lists as live,
 * that is connected, and whose last message is within the timeout.
 */
bool
FvHost_IsAlive(const fv_host_t *host, const fv_host_t *self, int64_t now_ms)
{
    bool same_region = strcmp(host->region, self->region) == 0;
    int64_t timeout_ms =
        same_region ? Fv_HOST_TIMEOUT_MS : Fv_HOST_REMOTE_TIMEOUT_MS;

    if (host == self) {
        return true;
    }
    return host->listed_live && host->linked &&
           now_ms - host->last_heard_ms <= timeout_ms;
}

/* Scope 0 is the data centre, 1 the region, 2 the whole cell. */
static bool
in_scope(const fv_host_t *host, const char *data_center, const char *region,
         int scope)
{
    if (scope == 0) {
        return strcmp(host->data_center, data_center) == 0;
    }
    return scope == 2 || strcmp(host->region, region) == 0;
}

/* Chooses the live host in scope with the highest rendezvous weight. */
static const fv_host_t *
rendezvous_pick(const fv_hosts_t *hosts, const fv_host_t *self,
                const char *key, const char *data_center, const char *region,
                int scope, int64_t now_ms)
{
    const fv_host_t *best = NULL;
    uint64_t best_weight = 0;

    for (uint32_t i = 0; i < hosts->count; i++) {
        const fv_host_t *host = hosts->entries[i];
        uint64_t weight;

        if (!in_scope(host, data_center, region, scope) ||
            host->digest.draining || !FvHost_IsAlive(host, self, now_ms)) {
            continue;
        }
        weight = FvText_RendezvousWeight(key, host->name);
        if (best == NULL || weight > best_weight) {
            best = host;
            best_weight = weight;
        }
    }
    return best;
}

/**
 * FvHosts_PreferredLeaseHolder - the host that should hold the leases of a
 * rack
 * @hosts: the hosts
 * @self: this host
 * @data_center: the data centre of the rack
 * @region: the region of the data centre
 * @rack: the rack
 * @now_ms: boot time
 *
 * Return: the host with the highest rendezvous weight among the live hosts of
 * the data centre, else of the region, else of the cell; NULL when none is
 * alive. Draining hosts are left out.
 */
const fv_host_t *
FvHosts_PreferredLeaseHolder(const fv_hosts_t *hosts, const fv_host_t *self,
                             const char *data_center, const char *region,
                             const char *rack, int64_t now_ms)
{
    const fv_host_t *best = NULL;

    for (int scope = 0; scope <= 2 && best == NULL; scope++) {
        best = rendezvous_pick(hosts, self, rack, data_center, region, scope,
                               now_ms);
    }
    return best;
}

/**
 * FvHosts_Successor - the host that takes over a dead host's claims
 * @hosts: the hosts
 * @self: this host
 * @dead_host: name of the dead host
 * @now_ms: boot time
 *
 * Return: the host with the highest rendezvous weight among the live hosts
 * that do not drain, or NULL.
 */
const fv_host_t *
FvHosts_Successor(const fv_hosts_t *hosts, const fv_host_t *self,
                  const char *dead_host, int64_t now_ms)
{
    return rendezvous_pick(hosts, self, dead_host, "", "", 2, now_ms);
}
