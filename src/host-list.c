/*
 * Polls the platform's list of hosts and workers and updates the daemon's
 * state from it.
 */

#include "daemon.h"

#include <stdlib.h>
#include <string.h>

#define Fv_HOST_LIST_POLL_MS 500
#define Fv_HOST_LIST_TIMEOUT_MS 2000

struct fv_host_list {
    fv_daemon_t *daemon;
    fv_timer_t timer;
    fv_dependency_t state;
    bool peers_changed;
    uint64_t last_applied_hash; /* of the response body */
};

static void
update_host(fv_host_list_t *list, const json_t *entry, const char *name)
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
is_in_list(const json_t *hosts, const char *name)
{
    size_t index;
    json_t *entry;

    json_array_foreach(hosts, index, entry)
    {
        const char *listed_name = FvJson_String(entry, "name");

        if (listed_name != NULL && strcmp(listed_name, name) == 0) {
            return true;
        }
    }
    return false;
}

/* Unlisted hosts are kept so that their claims can be recovered. */
static void
mark_unlisted(fv_host_list_t *list, const json_t *hosts)
{
    fv_hosts_t *known = &list->daemon->hosts;

    for (uint32_t i = 0; i < known->count; i++) {
        fv_host_t *host = known->entries[i];

        if (host->listed && host != list->daemon->self &&
            !is_in_list(hosts, host->name)) {
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
            update_host(list, entry, name);
        }
    }
    mark_unlisted(list, hosts);
    FvHolder_OnWorkers(list->daemon->holder, hosts);
}

/* Called after every poll, even if the list is unchanged: whether a host is
 * alive also depends on the time. */
static void
notify_components(fv_host_list_t *list)
{
    fv_daemon_t *daemon = list->daemon;

    if (list->peers_changed && FvLink_SetPeers(daemon->link, &daemon->hosts)) {
        list->peers_changed = false;
    }
    FvRunner_OnHosts(daemon->runner);
    FvConfigSync_OnHosts(daemon->config_sync);
}

/* The list of a large cell is about 1 MB and rarely changes. Parsing an
 * unchanged list on every poll would take more CPU time than all placement
 * decisions of the host. */
static void
apply_if_changed(fv_host_list_t *list, const fv_http_response_t *response)
{
    uint64_t hash = FvText_Hash(response->body, response->body_length, 0);
    json_t *document;
    const json_t *hosts;

    if (hash == list->last_applied_hash) {
        return;
    }
    document = json_loadb((const char *)response->body, response->body_length,
                          0, NULL);
    hosts = json_object_get(document, "hosts");
    if (json_is_array(hosts)) {
        apply_list(list, hosts);
        list->last_applied_hash = hash;
    }
    else {
        FvLog_Event(Fv_LOG_WARN, "host_list_malformed", "bytes=%zu",
                    response->body_length);
    }
    json_decref(document);
}

static void
handle_response(void *context, fv_http_response_t *response)
{
    fv_host_list_t *list = context;

    FvLoop_SetTimer(list->daemon->loop, &list->timer,
                    FvClock_NowMs() + Fv_HOST_LIST_POLL_MS);
    if (response->error != Fv_HTTP_OK || response->status != 200) {
        FvLog_Event(FvDependency_Note(&list->state, false) ? Fv_LOG_WARN
                                                           : Fv_LOG_DEBUG,
                    "host_list_unavailable", "url=%s error=%d status=%d",
                    list->daemon->settings.host_list_url, (int)response->error,
                    response->status);
        return;
    }
    if (FvDependency_Note(&list->state, true)) {
        FvLog_Event(Fv_LOG_INFO, "host_list_available", "url=%s",
                    list->daemon->settings.host_list_url);
    }
    apply_if_changed(list, response);
    notify_components(list);
}

static void
send_poll(void *owner)
{
    fv_host_list_t *list = owner;
    fv_http_request_t request = {
        .method = "GET",
        .timeout_ms = Fv_HOST_LIST_TIMEOUT_MS,
        .done = handle_response,
        .context = list,
    };

    FvText_Copy(request.url, sizeof(request.url),
                list->daemon->settings.host_list_url);
    FvHttpClient_Send(list->daemon->http, &request);
}

/**
 * FvHostList_New - start polling the host list
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
    list->timer.fire = send_poll;
    list->timer.owner = list;
    FvLoop_SetTimer(daemon->loop, &list->timer, FvClock_NowMs());
    return list;
}

/**
 * FvHostList_Free - free the poller
 * @list: the poller, or NULL
 */
void
FvHostList_Free(fv_host_list_t *list)
{
    free(list);
}
