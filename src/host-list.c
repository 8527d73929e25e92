/*
 * Polls the platform's list of hosts and workers and passes it on.
 */

#include "daemon.h"

#include <stdlib.h>
#include <string.h>

#define Fv_HOST_LIST_POLL_MS 500
#define Fv_HOST_LIST_TIMEOUT_MS 2000

struct fv_host_list {
    fv_daemon_t *daemon;
    fv_timer_t timer;
    bool peers_changed;
    uint64_t applied_hash; /* of the body that was applied last */
};

static void
read_entry(fv_host_list_t *list, const json_t *entry, const char *name)
{
    fv_daemon_t *daemon = list->daemon;
    fv_host_t *host = FvHosts_Find(&daemon->hosts, name);
    const char *state = FvJson_String(entry, "state");
    char address[Fv_ADDRESS_SIZE];

    if (host == NULL) {
        host = FvHosts_Add(&daemon->hosts, name);
    }
    if (host == NULL) {
        return;
    }
    FvJson_CopyString(entry, "region", host->region, sizeof(host->region));
    FvJson_CopyString(entry, "data_center", host->data_center,
                      sizeof(host->data_center));
    FvJson_CopyString(entry, "address", address, sizeof(address));
    if (!host->listed || strcmp(address, host->link_address) != 0) {
        FvText_Copy(host->link_address, sizeof(host->link_address), address);
        list->peers_changed = true;
    }
    host->listed = true;
    host->listed_live = state != NULL && strcmp(state, "live") == 0;
}

static bool
is_listed(const json_t *hosts, const char *name)
{
    size_t index;
    json_t *entry;

    json_array_foreach(hosts, index, entry)
    {
        const char *listed = FvJson_String(entry, "name");

        if (listed != NULL && strcmp(listed, name) == 0) {
            return true;
        }
    }
    return false;
}

/* Hosts that left the list stay known, so that their claims are recovered. */
static void
mark_unlisted(fv_host_list_t *list, const json_t *hosts)
{
    fv_hosts_t *known = &list->daemon->hosts;

    for (uint32_t i = 0; i < known->count; i++) {
        fv_host_t *host = known->entries[i];

        if (host->listed && host != list->daemon->self &&
            !is_listed(hosts, host->name)) {
            host->listed = false;
            host->listed_live = false;
            host->unlisted_since_ms = FvClock_NowMs();
            list->peers_changed = true;
            FvLog_Event(Fv_LOG_INFO, "host_unlisted", "peer=%s", host->name);
        }
    }
}

static void
apply_list(fv_host_list_t *list, const json_t *hosts)
{
    size_t index;
    json_t *entry;

    json_array_foreach(hosts, index, entry)
    {
        const char *name = FvJson_String(entry, "name");
        const char *role = FvJson_String(entry, "role");

        if (role != NULL && strcmp(role, "entry") == 0 &&
            FvText_IsName(name, Fv_NAME_SIZE - 1)) {
            read_entry(list, entry, name);
        }
    }
    mark_unlisted(list, hosts);
    FvHolder_OnWorkers(list->daemon->holder, hosts);
}

/* Liveness depends on time as well, so this follows every poll. */
static void
tell_others(fv_host_list_t *list)
{
    fv_daemon_t *daemon = list->daemon;

    if (list->peers_changed && FvLink_SetPeers(daemon->link, &daemon->hosts)) {
        list->peers_changed = false;
    }
    FvRunner_OnHosts(daemon->runner);
    FvConfigSync_OnHosts(daemon->config_sync);
}

/* The list of a large cell is about a megabyte and rarely changes: reading
 * an unchanged one again would cost more than all decisions of the host. */
static void
read_list(fv_host_list_t *list, const fv_http_response_t *response)
{
    uint64_t hash = FvText_Hash(response->body, response->body_length, 0);
    json_t *document;
    const json_t *hosts;

    if (hash == list->applied_hash) {
        return;
    }
    document = json_loadb((const char *)response->body, response->body_length,
                          0, NULL);
    hosts = json_object_get(document, "hosts");
    if (json_is_array(hosts)) {
        apply_list(list, hosts);
        list->applied_hash = hash;
    }
    else {
        FvLog_Event(Fv_LOG_WARN, "host_list_malformed", "bytes=%zu",
                    response->body_length);
    }
    json_decref(document);
}

static void
receive_list(void *context, fv_http_response_t *response)
{
    fv_host_list_t *list = context;

    FvLoop_SetTimer(list->daemon->loop, &list->timer,
                    FvClock_NowMs() + Fv_HOST_LIST_POLL_MS);
    if (response->error != Fv_HTTP_OK || response->status != 200) {
        FvLog_Event(Fv_LOG_DEBUG, "host_list_unavailable",
                    "error=%d status=%d", (int)response->error,
                    response->status);
        return;
    }
    read_list(list, response);
    tell_others(list);
}

static void
poll_list(void *owner)
{
    fv_host_list_t *list = owner;
    fv_http_request_t request = {
        .method = "GET",
        .timeout_ms = Fv_HOST_LIST_TIMEOUT_MS,
        .done = receive_list,
        .context = list,
    };

    FvText_Copy(request.url, sizeof(request.url),
                list->daemon->settings.host_list_url);
    FvHttpClient_Send(list->daemon->http, &request);
}

/**
 * FvHostList_New - start polling
 * @daemon: the daemon
 *
 * Return: the poller, or NULL when memory is exhausted.
 */
fv_host_list_t *
FvHostList_New(fv_daemon_t *daemon)
{
    fv_host_list_t *list = calloc(1, sizeof(*list));

    if (list == NULL) {
        return NULL;
    }
    list->daemon = daemon;
    list->timer.fire = poll_list;
    list->timer.owner = list;
    FvLoop_SetTimer(daemon->loop, &list->timer, FvClock_NowMs());
    return list;
}

/**
 * FvHostList_Free - release the poller
 * @list: the poller, or NULL
 */
void
FvHostList_Free(fv_host_list_t *list)
{
    free(list);
}
