/*
 * In-memory key-value store of fake-platform with the semantics of etcd v3:
 * one revision per write request, leases, and a bounded history for watches.
 * The caller serializes all access.
 */

#ifndef KV_STORE_H
#define KV_STORE_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct kv_bytes {
    uint8_t *data;
    size_t length;
} kv_bytes_t;

typedef struct kv_entry {
    kv_bytes_t key;
    kv_bytes_t value;
    int64_t create_revision;
    int64_t mod_revision;
    int64_t version;
    int64_t lease;
} kv_entry_t;

/* One key when end is empty; otherwise the keys from key up to end
 * (exclusive). */
typedef struct kv_range {
    kv_bytes_t key;
    kv_bytes_t end;
} kv_range_t;

typedef struct kv_event {
    kv_entry_t entry;
    int64_t written_ms;
    bool deleted;
} kv_event_t;

typedef struct kv_lease {
    int64_t id;
    int64_t ttl_s;
    int64_t expires_ms;
} kv_lease_t;

typedef struct kv_store {
    int64_t revision;
    int64_t compacted_revision; /* oldest revision a watch can start from */
    kv_entry_t **entries;       /* ordered by key */
    size_t count;
    size_t capacity;
    kv_event_t *history; /* ring; event N is at N % KV_HISTORY_EVENTS */
    uint64_t first_event;
    uint64_t next_event;
    size_t history_bytes;
    kv_lease_t *leases;
    size_t lease_count;
    int64_t next_lease_id;
    bool dirty; /* the current request has written */
} kv_store_t;

/* kv-store.c */
kv_store_t *FvKv_New(void);
kv_bytes_t FvKv_NewBytes(size_t length);
kv_bytes_t FvKv_CopyBytes(const kv_bytes_t *bytes);
void FvKv_FreeBytes(kv_bytes_t *bytes);
int FvKv_CompareBytes(const kv_bytes_t *a, const kv_bytes_t *b);
bool FvKv_InRange(const kv_range_t *range, const kv_bytes_t *key);
size_t FvKv_LowerBound(const kv_store_t *store, const kv_bytes_t *key);
kv_entry_t *FvKv_Find(const kv_store_t *store, const kv_bytes_t *key);
void FvKv_Put(kv_store_t *store, const kv_bytes_t *key,
              const kv_bytes_t *value, int64_t lease, int64_t now_ms);
size_t FvKv_Delete(kv_store_t *store, const kv_range_t *range, int64_t now_ms);
void FvKv_EndWrite(kv_store_t *store);
kv_lease_t *FvKv_GrantLease(kv_store_t *store, int64_t id, int64_t ttl_s,
                            int64_t now_ms);
kv_lease_t *FvKv_FindLease(kv_store_t *store, int64_t id);
bool FvKv_RevokeLease(kv_store_t *store, int64_t id, int64_t now_ms);
bool FvKv_ExpireLeases(kv_store_t *store, int64_t now_ms);
const kv_event_t *FvKv_GetEvent(const kv_store_t *store, uint64_t number);
uint64_t FvKv_FirstEventFrom(const kv_store_t *store, int64_t revision);

/* kv-api.c: requests and responses in JSON. */
typedef struct kv_error {
    int status; /* HTTP; 0: none */
    int code;   /* gRPC */
    const char *message;
} kv_error_t;

typedef json_t *(*kv_call_t)(kv_store_t *store, const json_t *request,
                             int64_t now_ms, kv_error_t *error);

json_t *FvKvApi_Range(kv_store_t *store, const json_t *request, int64_t now_ms,
                      kv_error_t *error);
json_t *FvKvApi_Put(kv_store_t *store, const json_t *request, int64_t now_ms,
                    kv_error_t *error);
json_t *FvKvApi_DeleteRange(kv_store_t *store, const json_t *request,
                            int64_t now_ms, kv_error_t *error);
json_t *FvKvApi_Txn(kv_store_t *store, const json_t *request, int64_t now_ms,
                    kv_error_t *error);
json_t *FvKvApi_Grant(kv_store_t *store, const json_t *request, int64_t now_ms,
                      kv_error_t *error);
json_t *FvKvApi_KeepAlive(kv_store_t *store, const json_t *request,
                          int64_t now_ms, kv_error_t *error);
json_t *FvKvApi_Revoke(kv_store_t *store, const json_t *request,
                       int64_t now_ms, kv_error_t *error);
json_t *FvKvApi_TimeToLive(kv_store_t *store, const json_t *request,
                           int64_t now_ms, kv_error_t *error);
bool FvKvApi_ParseRange(const json_t *request, kv_range_t *range,
                        kv_error_t *error);
void FvKvApi_FreeRange(kv_range_t *range);
int64_t FvKvApi_ReadInt(const json_t *request, const char *name,
                        int64_t fallback);
json_t *FvKvApi_EncodeHeader(const kv_store_t *store);
json_t *FvKvApi_EncodeEntry(const kv_entry_t *entry, bool with_value);
json_t *FvKvApi_Dump(const kv_store_t *store);

#endif
