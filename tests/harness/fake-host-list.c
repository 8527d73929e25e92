/*
 * The host list of fake-platform. The caller must serialize all access.
 */

#include "fake-host-list.h"

#include <stdlib.h>
#include <string.h>

/* More changes than this within one delay are an error of the test. */
#define HOST_VIEW_PENDING_MAX 4096

struct fake_host_list {
    int64_t lag_ms;
    json_t *visible;
    json_t *latest;
    size_t pending_count;
    struct {
        int64_t visible_ms;
        json_t *document;
    } pending[HOST_VIEW_PENDING_MAX];
};

/**
 * FvFakeHostList_New - allocate an empty list
 * @lag_ms: delay before a change becomes visible
 *
 * Return: the list.
 */
fake_host_list_t *
FvFakeHostList_New(int64_t lag_ms)
{
    fake_host_list_t *list = calloc(1, sizeof(*list));

    if (list == NULL) {
        abort();
    }
    list->lag_ms = lag_ms;
    return list;
}

/**
 * FvFakeHostList_Replace - replace the whole list
 * @list: the list
 * @document: {"hosts": [...]}; its reference is taken
 * @now_ms: current time
 *
 * The first list is visible at once.
 *
 * Return: false if the document has no host array or too many changes are
 * pending.
 */
bool
FvFakeHostList_Replace(fake_host_list_t *list, json_t *document,
                       int64_t now_ms)
{
    if (!json_is_array(json_object_get(document, "hosts")) ||
        list->pending_count == HOST_VIEW_PENDING_MAX) {
        json_decref(document);
        return false;
    }
    json_decref(list->latest);
    list->latest = json_incref(document);
    if (list->visible == NULL) {
        list->visible = document;
        return true;
    }
    list->pending[list->pending_count].visible_ms = now_ms + list->lag_ms;
    list->pending[list->pending_count].document = document;
    list->pending_count++;
    return true;
}

static json_t *
find_host(json_t *hosts, const char *name)
{
    json_t *host;
    size_t i;

    json_array_foreach(hosts, i, host)
    {
        const char *found = json_string_value(json_object_get(host, "name"));

        if (found != NULL && strcmp(found, name) == 0) {
            return host;
        }
    }
    return NULL;
}

/**
 * FvFakeHostList_SetState - change the state of one entry
 * @list: the list
 * @name: name of the host or worker
 * @state: live or leaving; gone hides the entry until its next change
 * @now_ms: current time
 *
 * Return: false if there is no such entry.
 */
bool
FvFakeHostList_SetState(fake_host_list_t *list, const char *name,
                        const char *state, int64_t now_ms)
{
    json_t *document = json_deep_copy(list->latest);
    json_t *hosts = json_object_get(document, "hosts");
    json_t *host = find_host(hosts, name);

    if (host == NULL) {
        json_decref(document);
        return false;
    }
    json_object_set_new(host, "state", json_string(state));
    return FvFakeHostList_Replace(list, document, now_ms);
}

static void
apply_pending(fake_host_list_t *list, int64_t now_ms)
{
    size_t due = 0;

    while (due < list->pending_count &&
           list->pending[due].visible_ms <= now_ms) {
        json_decref(list->visible);
        list->visible = list->pending[due].document;
        due++;
    }
    list->pending_count -= due;
    memmove(list->pending, &list->pending[due],
            list->pending_count * sizeof(list->pending[0]));
}

static bool
is_gone(const json_t *host)
{
    const char *state = json_string_value(json_object_get(host, "state"));

    return state != NULL && strcmp(state, "gone") == 0;
}

/* Applies the overrides that the entry's "views" has for this reader. */
static json_t *
entry_for(json_t *host, const char *viewer)
{
    json_t *views = json_object_get(host, "views");
    json_t *entry = json_copy(host);

    if (views != NULL && viewer != NULL) {
        json_object_update(entry, json_object_get(views, viewer));
    }
    json_object_del(entry, "views");
    return entry;
}

/**
 * FvFakeHostList_Read - get the list as a reader sees it now
 * @list: the list
 * @viewer: name of the reader, or NULL
 * @now_ms: current time
 *
 * Return: a new document.
 */
json_t *
FvFakeHostList_Read(fake_host_list_t *list, const char *viewer, int64_t now_ms)
{
    json_t *entries = json_array();
    json_t *host;
    size_t i;

    apply_pending(list, now_ms);
    json_array_foreach(json_object_get(list->visible, "hosts"), i, host)
    {
        if (!is_gone(host)) {
            json_array_append_new(entries, entry_for(host, viewer));
        }
    }
    return json_pack("{s:o}", "hosts", entries);
}
