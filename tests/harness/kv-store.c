/*
 * State of fake-platform's store: entries, history and leases.
 */

#include "kv-store.h"

#include <stdlib.h>
#include <string.h>

/* Bound the memory of a long run. A watch that starts from an older revision
 * is canceled with the compacted revision. */
#define KV_HISTORY_EVENTS 65536
#define KV_HISTORY_BYTES (256 * 1024 * 1024)
/* Lease ids need 64 bits, as those of etcd do, so that a client that parses
 * them as 32-bit integers fails. */
#define KV_FIRST_LEASE_ID INT64_C(7587848390000000001)

/**
 * FvKv_New - allocate an empty store
 *
 * Return: the store at revision 1, as etcd starts.
 */
kv_store_t *
FvKv_New(void)
{
    kv_store_t *store = calloc(1, sizeof(*store));

    if (store == NULL) {
        abort();
    }
    store->history = calloc(KV_HISTORY_EVENTS, sizeof(*store->history));
    if (store->history == NULL) {
        abort();
    }
    store->revision = 1;
    store->next_lease_id = KV_FIRST_LEASE_ID;
    return store;
}

/**
 * FvKv_NewBytes - allocate a byte string
 * @length: number of bytes
 *
 * Return: a string of zero bytes; freed with FvKv_FreeBytes().
 */
kv_bytes_t
FvKv_NewBytes(size_t length)
{
    kv_bytes_t bytes = {.data = calloc(1, length + 1), .length = length};

    if (bytes.data == NULL) {
        abort();
    }
    return bytes;
}

/**
 * FvKv_CopyBytes - duplicate a byte string
 * @bytes: the original
 *
 * Return: the copy; freed with FvKv_FreeBytes().
 */
kv_bytes_t
FvKv_CopyBytes(const kv_bytes_t *bytes)
{
    kv_bytes_t copy = FvKv_NewBytes(bytes->length);

    if (bytes->length > 0) {
        memcpy(copy.data, bytes->data, bytes->length);
    }
    return copy;
}

/**
 * FvKv_FreeBytes - free a byte string
 * @bytes: the string; empty afterwards
 */
void
FvKv_FreeBytes(kv_bytes_t *bytes)
{
    free(bytes->data);
    bytes->data = NULL;
    bytes->length = 0;
}

/**
 * FvKv_CompareBytes - compare two byte strings in lexicographic order
 * @a: the first
 * @b: the second
 *
 * Return: negative, 0 or positive, as memcmp() does.
 */
int
FvKv_CompareBytes(const kv_bytes_t *a, const kv_bytes_t *b)
{
    size_t shorter = a->length < b->length ? a->length : b->length;
    int order = shorter > 0 ? memcmp(a->data, b->data, shorter) : 0;

    if (order != 0) {
        return order;
    }
    return (a->length > b->length) - (a->length < b->length);
}

/**
 * FvKv_InRange - check whether a key lies in a range
 * @range: the range; an end of one zero byte includes all following keys
 * @key: the key
 *
 * Return: true when the key lies in the range.
 */
bool
FvKv_InRange(const kv_range_t *range, const kv_bytes_t *key)
{
    if (range->end.length == 0) {
        return FvKv_CompareBytes(&range->key, key) == 0;
    }
    if (FvKv_CompareBytes(key, &range->key) < 0) {
        return false;
    }
    if (range->end.length == 1 && range->end.data[0] == 0) {
        return true;
    }
    return FvKv_CompareBytes(key, &range->end) < 0;
}

/**
 * FvKv_LowerBound - find the first entry that is not below a key
 * @store: the store
 * @key: the key
 *
 * Return: index of the entry; the number of entries when all are below.
 */
size_t
FvKv_LowerBound(const kv_store_t *store, const kv_bytes_t *key)
{
    size_t low = 0;
    size_t high = store->count;

    while (low < high) {
        size_t middle = low + (high - low) / 2;

        if (FvKv_CompareBytes(&store->entries[middle]->key, key) < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/**
 * FvKv_Find - look up a key
 * @store: the store
 * @key: the key
 *
 * Return: the entry, or NULL.
 */
kv_entry_t *
FvKv_Find(const kv_store_t *store, const kv_bytes_t *key)
{
    size_t index = FvKv_LowerBound(store, key);

    if (index < store->count &&
        FvKv_CompareBytes(&store->entries[index]->key, key) == 0) {
        return store->entries[index];
    }
    return NULL;
}

static size_t
event_bytes(const kv_event_t *event)
{
    return event->entry.key.length + event->entry.value.length;
}

/* The event's whole revision counts as compacted, so that a watch never
 * receives only a part of a revision. */
static void
drop_oldest_event(kv_store_t *store)
{
    kv_event_t *event =
        &store->history[store->first_event % KV_HISTORY_EVENTS];

    store->history_bytes -= event_bytes(event);
    store->compacted_revision = event->entry.mod_revision + 1;
    FvKv_FreeBytes(&event->entry.key);
    FvKv_FreeBytes(&event->entry.value);
    store->first_event++;
}

static void
append_event(kv_store_t *store, const kv_entry_t *entry, bool deleted,
             int64_t now_ms)
{
    kv_event_t *event;

    while (store->next_event - store->first_event >= KV_HISTORY_EVENTS ||
           (store->history_bytes > KV_HISTORY_BYTES &&
            store->first_event < store->next_event)) {
        drop_oldest_event(store);
    }
    event = &store->history[store->next_event % KV_HISTORY_EVENTS];
    event->entry = *entry;
    event->entry.key = FvKv_CopyBytes(&entry->key);
    event->entry.value = FvKv_CopyBytes(&entry->value);
    event->deleted = deleted;
    event->written_ms = now_ms;
    store->history_bytes += event_bytes(event);
    store->next_event++;
    store->dirty = true;
}

static kv_entry_t *
insert_entry(kv_store_t *store, const kv_bytes_t *key)
{
    size_t index = FvKv_LowerBound(store, key);
    kv_entry_t *entry = calloc(1, sizeof(*entry));

    if (store->count == store->capacity) {
        store->capacity = store->capacity * 2 + 64;
        store->entries =
            realloc(store->entries, store->capacity * sizeof(kv_entry_t *));
    }
    if (entry == NULL || store->entries == NULL) {
        abort();
    }
    memmove(&store->entries[index + 1], &store->entries[index],
            (store->count - index) * sizeof(kv_entry_t *));
    store->entries[index] = entry;
    store->count++;
    entry->key = FvKv_CopyBytes(key);
    entry->create_revision = store->revision + 1;
    return entry;
}

/**
 * FvKv_Put - write a key as part of the current request
 * @store: the store
 * @key: the key
 * @value: the new value
 * @lease: id of the lease that the key is attached to, or 0
 * @now_ms: current time
 */
void
FvKv_Put(kv_store_t *store, const kv_bytes_t *key, const kv_bytes_t *value,
         int64_t lease, int64_t now_ms)
{
    kv_entry_t *entry = FvKv_Find(store, key);

    if (entry == NULL) {
        entry = insert_entry(store, key);
    }
    FvKv_FreeBytes(&entry->value);
    entry->value = FvKv_CopyBytes(value);
    entry->mod_revision = store->revision + 1;
    entry->version++;
    entry->lease = lease;
    append_event(store, entry, false, now_ms);
}

static void
remove_entry(kv_store_t *store, size_t index, int64_t now_ms)
{
    kv_entry_t *entry = store->entries[index];
    kv_entry_t tombstone = {.key = entry->key,
                            .mod_revision = store->revision + 1};

    append_event(store, &tombstone, true, now_ms);
    FvKv_FreeBytes(&entry->key);
    FvKv_FreeBytes(&entry->value);
    free(entry);
    store->count--;
    memmove(&store->entries[index], &store->entries[index + 1],
            (store->count - index) * sizeof(kv_entry_t *));
}

/**
 * FvKv_Delete - delete a range as part of the current request
 * @store: the store
 * @range: the range
 * @now_ms: current time
 *
 * Return: the number of deleted keys.
 */
size_t
FvKv_Delete(kv_store_t *store, const kv_range_t *range, int64_t now_ms)
{
    size_t index = FvKv_LowerBound(store, &range->key);
    size_t deleted = 0;

    while (index < store->count &&
           FvKv_InRange(range, &store->entries[index]->key)) {
        remove_entry(store, index, now_ms);
        deleted++;
    }
    return deleted;
}

/**
 * FvKv_EndWrite - end the current request
 * @store: the store; its revision is incremented if the request has written
 */
void
FvKv_EndWrite(kv_store_t *store)
{
    if (store->dirty) {
        store->revision++;
    }
    store->dirty = false;
}

/**
 * FvKv_GrantLease - grant a lease
 * @store: the store
 * @id: requested id, or 0 to have one assigned
 * @ttl_s: time to live
 * @now_ms: current time
 *
 * Return: the lease, or NULL when the id is already in use.
 */
kv_lease_t *
FvKv_GrantLease(kv_store_t *store, int64_t id, int64_t ttl_s, int64_t now_ms)
{
    kv_lease_t *lease;

    if (id != 0 && FvKv_FindLease(store, id) != NULL) {
        return NULL;
    }
    store->leases = realloc(store->leases,
                            (store->lease_count + 1) * sizeof(*store->leases));
    if (store->leases == NULL) {
        abort();
    }
    lease = &store->leases[store->lease_count++];
    lease->id = id != 0 ? id : store->next_lease_id++;
    lease->ttl_s = ttl_s;
    lease->expires_ms = now_ms + ttl_s * 1000;
    return lease;
}

/**
 * FvKv_FindLease - look up a lease
 * @store: the store
 * @id: id of the lease
 *
 * Return: the lease, valid until the next grant or revocation; or NULL.
 */
kv_lease_t *
FvKv_FindLease(kv_store_t *store, int64_t id)
{
    for (size_t i = 0; i < store->lease_count; i++) {
        if (store->leases[i].id == id) {
            return &store->leases[i];
        }
    }
    return NULL;
}

/**
 * FvKv_RevokeLease - remove a lease and delete its keys in one revision
 * @store: the store
 * @id: id of the lease
 * @now_ms: current time
 *
 * Return: false when there is no such lease.
 */
bool
FvKv_RevokeLease(kv_store_t *store, int64_t id, int64_t now_ms)
{
    kv_lease_t *lease = FvKv_FindLease(store, id);

    if (lease == NULL) {
        return false;
    }
    for (size_t i = store->count; i > 0; i--) {
        if (store->entries[i - 1]->lease == id) {
            remove_entry(store, i - 1, now_ms);
        }
    }
    FvKv_EndWrite(store);
    *lease = store->leases[--store->lease_count];
    return true;
}

/**
 * FvKv_ExpireLeases - revoke the leases whose time to live has passed
 * @store: the store
 * @now_ms: current time
 *
 * Return: true when a lease expired.
 */
bool
FvKv_ExpireLeases(kv_store_t *store, int64_t now_ms)
{
    bool expired = false;

    for (size_t i = store->lease_count; i > 0; i--) {
        if (store->leases[i - 1].expires_ms <= now_ms) {
            expired |=
                FvKv_RevokeLease(store, store->leases[i - 1].id, now_ms);
        }
    }
    return expired;
}

/**
 * FvKv_GetEvent - get an event of the history
 * @store: the store
 * @number: event number, from first_event up to next_event (exclusive)
 *
 * Return: the event, valid until the next write.
 */
const kv_event_t *
FvKv_GetEvent(const kv_store_t *store, uint64_t number)
{
    return &store->history[number % KV_HISTORY_EVENTS];
}

/**
 * FvKv_FirstEventFrom - find the event that a watch starts from
 * @store: the store
 * @revision: start revision of the watch
 *
 * Return: number of the first event at or after the revision; next_event when
 * there is none.
 */
uint64_t
FvKv_FirstEventFrom(const kv_store_t *store, int64_t revision)
{
    uint64_t low = store->first_event;
    uint64_t high = store->next_event;

    while (low < high) {
        uint64_t middle = low + (high - low) / 2;

        if (FvKv_GetEvent(store, middle)->entry.mod_revision < revision) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}
