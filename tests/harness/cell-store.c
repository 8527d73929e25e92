/*
 * Key-value store of fake-cell.
 */

#include "fake-cell.h"

#include <stdlib.h>
#include <string.h>

kv_bytes_t
FvCellStore_Bytes(const char *text)
{
    return (kv_bytes_t){.data = (uint8_t *)text, .length = strlen(text)};
}

void
FvCellStore_Put(cell_t *cell, const char *key, const char *value)
{
    kv_bytes_t key_bytes = FvCellStore_Bytes(key);
    kv_bytes_t value_bytes = FvCellStore_Bytes(value);

    FvKv_Put(cell->store, &key_bytes, &value_bytes, 0, FvClock_NowMs());
    FvKv_EndWrite(cell->store);
}

/* The caller holds the lock. */
void
FvCellStore_ExpireLeases(cell_t *cell)
{
    int64_t now_ms = FvClock_NowMs();

    if (cell->pause_leases && cell->store_mode != CELL_STORE_UP) {
        cell->leases_paused_until_ms = now_ms + CELL_LEASE_RESUME_MS;
    }
    if (now_ms >= cell->leases_paused_until_ms) {
        FvKv_ExpireLeases(cell->store, now_ms);
    }
}

static json_t *
item_json(const kv_entry_t *entry)
{
    char *value = FvText_EncodeBase64(entry->value.data, entry->value.length);
    json_t *item = json_pack(
        "{s:s#, s:s, s:I, s:I, s:I}", "key", (char *)entry->key.data,
        (int)entry->key.length, "value", value ? value : "", "revision",
        (json_int_t)entry->mod_revision, "created",
        (json_int_t)entry->create_revision, "lease", (json_int_t)entry->lease);

    free(value);
    return item;
}

static bool
query_value(const fake_request_t *request, const char *name, char *value,
            size_t size)
{
    const char *query = request->query ? request->query : "";

    return mg_get_var(query, strlen(query), name, value, size) >= 0;
}

static bool
has_prefix(const kv_bytes_t *key, const char *prefix)
{
    return key->length >= strlen(prefix) &&
           memcmp(key->data, prefix, strlen(prefix)) == 0;
}

static json_t *
handle_get(cell_t *cell, fake_request_t *request, int *status)
{
    char key[256];
    kv_entry_t *entry = NULL;

    if (query_value(request, "key", key, sizeof(key))) {
        kv_bytes_t bytes = FvCellStore_Bytes(key);

        entry = FvKv_Find(cell->store, &bytes);
    }
    *status = entry != NULL ? 200 : 404;
    return entry != NULL ? item_json(entry) : json_object();
}

static json_t *
handle_range(cell_t *cell, fake_request_t *request, int *status)
{
    char prefix[256];
    char after[256];
    json_t *items = json_array();
    bool more = false;
    kv_bytes_t from;
    size_t index;

    if (!query_value(request, "prefix", prefix, sizeof(prefix))) {
        *status = 400;
        return items;
    }
    if (!query_value(request, "after", after, sizeof(after))) {
        after[0] = '\0';
    }
    from = FvCellStore_Bytes(after[0] != '\0' ? after : prefix);
    for (index = FvKv_LowerBound(cell->store, &from);
         index < cell->store->count &&
         has_prefix(&cell->store->entries[index]->key, prefix);
         index++) {
        kv_bytes_t last = FvCellStore_Bytes(after);

        if (FvKv_CompareBytes(&cell->store->entries[index]->key, &last) == 0) {
            continue;
        }
        if (json_array_size(items) == CELL_PAGE_MAX) {
            more = true;
            break;
        }
        json_array_append_new(items, item_json(cell->store->entries[index]));
    }
    *status = 200;
    return json_pack("{s:o, s:b, s:I}", "items", items, "hasMore", more, "at",
                     (json_int_t)cell->store->revision);
}

static json_t *
collect_events(cell_t *cell, const char *prefix, int64_t after)
{
    json_t *events = json_array();

    for (uint64_t n = FvKv_FirstEventFrom(cell->store, after + 1);
         n < cell->store->next_event; n++) {
        const kv_event_t *event = FvKv_GetEvent(cell->store, n);

        if (!has_prefix(&event->entry.key, prefix)) {
            continue;
        }
        json_array_append_new(
            events, event->deleted
                        ? json_pack("{s:s#, s:I, s:b}", "key",
                                    (char *)event->entry.key.data,
                                    (int)event->entry.key.length, "revision",
                                    (json_int_t)event->entry.mod_revision,
                                    "deleted", 1)
                        : item_json(&event->entry));
    }
    return events;
}

/* Takes the lock itself, because it waits for events. */
static void
handle_watch(cell_t *cell, fake_request_t *request)
{
    char prefix[256] = "";
    char text[32] = "0";
    int64_t after;
    int64_t until_ms;
    json_t *events = NULL;
    int64_t at = 0;

    query_value(request, "prefix", prefix, sizeof(prefix));
    query_value(request, "after", text, sizeof(text));
    after = strtoll(text, NULL, 10);
    query_value(request, "waitMs", text, sizeof(text));
    until_ms = FvClock_NowMs() + strtoll(text, NULL, 10);
    for (;;) {
        bool unavailable;

        pthread_mutex_lock(&cell->lock);
        events = collect_events(cell, prefix, after);
        at = cell->store->revision;
        unavailable = cell->store_mode != CELL_STORE_UP;
        pthread_mutex_unlock(&cell->lock);
        if (unavailable) {
            json_decref(events);
            FvFake_Drop(request);
            return;
        }
        if (json_array_size(events) > 0 || FvClock_NowMs() >= until_ms) {
            break;
        }
        json_decref(events);
        FvFake_SleepMs(CELL_TICK_MS);
    }
    FvFake_ReplyJson(
        request, 200,
        json_pack("{s:o, s:I}", "events", events, "at", (json_int_t)at));
}

static bool
expectation_holds(cell_t *cell, const json_t *row)
{
    kv_bytes_t key = FvCellStore_Bytes(FvJson_String(row, "key"));
    kv_entry_t *entry = FvKv_Find(cell->store, &key);

    return FvJson_Int(row, "revision", 0) ==
           (entry != NULL ? entry->mod_revision : 0);
}

static json_t *
conflict_items(cell_t *cell, const json_t *expected)
{
    json_t *items = json_array();
    size_t index;
    json_t *row;

    json_array_foreach(expected, index, row)
    {
        kv_bytes_t key = FvCellStore_Bytes(FvJson_String(row, "key"));
        kv_entry_t *entry = FvKv_Find(cell->store, &key);

        if (entry != NULL) {
            json_array_append_new(items, item_json(entry));
        }
    }
    return json_pack("{s:o}", "items", items);
}

static void
apply_txn(cell_t *cell, const json_t *body)
{
    int64_t now_ms = FvClock_NowMs();
    size_t index;
    json_t *row;

    json_array_foreach(json_object_get(body, "puts"), index, row)
    {
        kv_bytes_t key = FvCellStore_Bytes(FvJson_String(row, "key"));
        fv_buffer_t value = {0};
        kv_bytes_t bytes;

        FvText_DecodeBase64(FvJson_String(row, "value"), &value);
        bytes = (kv_bytes_t){.data = value.data, .length = value.length};
        FvCellSplit_AdaptEntry(cell, &key, &bytes);
        FvKv_Put(cell->store, &key, &bytes, FvJson_Int(row, "lease", 0),
                 now_ms);
        FvCellSplit_NoteEntry(cell, &key);
        FvBuffer_Clear(&value);
    }
    json_array_foreach(json_object_get(body, "remove"), index, row)
    {
        kv_range_t range = {.key = FvCellStore_Bytes(json_string_value(row))};

        FvKv_Delete(cell->store, &range, now_ms);
    }
    FvKv_EndWrite(cell->store);
}

static json_t *
handle_txn(cell_t *cell, fake_request_t *request, int *status)
{
    json_t *body = FvFake_BodyJson(request);
    const json_t *expected = json_object_get(body, "expected");
    size_t index;
    json_t *row;
    json_t *reply;

    *status = 200;
    json_array_foreach(expected, index, row)
    {
        if (!expectation_holds(cell, row)) {
            *status = 412;
        }
    }
    json_array_foreach(json_object_get(body, "puts"), index, row)
    {
        int64_t lease = FvJson_Int(row, "lease", 0);

        if (lease != 0 && FvKv_FindLease(cell->store, lease) == NULL) {
            *status = 404;
        }
    }
    if (*status == 200) {
        apply_txn(cell, body);
    }
    reply = *status == 412 ? conflict_items(cell, expected)
                           : json_pack("{s:I}", "revision",
                                       (json_int_t)cell->store->revision);
    json_decref(body);
    return reply;
}

static json_t *
handle_lease(cell_t *cell, fake_request_t *request, int *status)
{
    json_t *body = FvFake_BodyJson(request);
    int64_t ttl_ms = FvJson_Int(body, "ttlMs", 1000);
    kv_lease_t *lease = FvKv_GrantLease(cell->store, 0, 1, FvClock_NowMs());
    json_t *reply;

    lease->expires_ms = FvClock_NowMs() + ttl_ms;
    lease->ttl_s = ttl_ms; /* this fake uses milliseconds */
    reply = json_pack("{s:I, s:I}", "lease", (json_int_t)lease->id, "ttlMs",
                      (json_int_t)ttl_ms);
    json_decref(body);
    *status = 200;
    return reply;
}

static json_t *
handle_lease_renewal(cell_t *cell, fake_request_t *request, int *status)
{
    int64_t id = strtoll(request->path + strlen("/kv-keep/"), NULL, 10);
    kv_lease_t *lease = FvKv_FindLease(cell->store, id);

    *status = lease != NULL ? 200 : 404;
    if (lease == NULL) {
        return json_object();
    }
    lease->expires_ms = FvClock_NowMs() + lease->ttl_s;
    return json_pack("{s:I}", "ttlMs", (json_int_t)lease->ttl_s);
}

static json_t *
handle_store_call(cell_t *cell, fake_request_t *request, int *status)
{
    const char *path = request->path;

    FvCellStore_ExpireLeases(cell);
    if (strcmp(path, "/kv-key") == 0) {
        return handle_get(cell, request, status);
    }
    if (strcmp(path, "/kv-range") == 0) {
        return handle_range(cell, request, status);
    }
    if (strcmp(path, "/kv-txn") == 0) {
        return handle_txn(cell, request, status);
    }
    if (strcmp(path, "/kv-lease") == 0) {
        return handle_lease(cell, request, status);
    }
    if (strncmp(path, "/kv-keep/", 9) == 0) {
        return handle_lease_renewal(cell, request, status);
    }
    if (strncmp(path, "/kv-lease-end/", 14) == 0) {
        *status = FvKv_RevokeLease(cell->store, strtoll(path + 14, NULL, 10),
                                   FvClock_NowMs())
                      ? 200
                      : 404;
        return json_object();
    }
    *status = 400;
    return json_object();
}

void
FvCellStore_Handle(fake_request_t *request, void *context)
{
    cell_t *cell = ((cell_context_t *)context)->cell;
    cell_store_mode_t mode;
    json_t *reply = NULL;
    int status = 503;

    if (strcmp(request->path, "/kv-watch") == 0) {
        handle_watch(cell, request);
        return;
    }
    pthread_mutex_lock(&cell->lock);
    mode = cell->store_mode;
    if (mode == CELL_STORE_UP || mode == CELL_STORE_REPLY_LOST) {
        reply = handle_store_call(cell, request, &status);
    }
    pthread_mutex_unlock(&cell->lock);
    if (mode == CELL_STORE_UNRESPONSIVE || mode == CELL_STORE_REPLY_LOST) {
        json_decref(reply);
        FvFake_Drop(request);
        return;
    }
    FvFake_ReplyJson(request, status, reply ? reply : json_object());
}
