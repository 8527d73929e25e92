/*
 * Client of the platform's key-value store.
 */

#include "entry.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Long-poll time of a watch. A dead connection goes unnoticed for this long,
 * which must be well below 6.5 s, the sum of the platform's time limits for
 * applying a configuration and for a loss of contact with a host. */
#define Fv_WATCH_POLL_MS 3000
#define Fv_WATCH_TIMEOUT_MS 3600

/* Delay before a watch is retried after an error. */
#define Fv_WATCH_RETRY_MS 200

/* The store's calls are few and independent of each other; each gets its own
 * connection. */
static const fv_call_bounds_t store_bounds = {.open_max = 32, .rest_max = 32};

/* Of a call's path, for the log. */
#define Fv_KV_LOGGED_PATH_SIZE 64

typedef enum fv_kv_response_type {
    Fv_KV_RESPONSE_ITEM,
    Fv_KV_RESPONSE_PAGE,
    Fv_KV_RESPONSE_EVENTS,
    Fv_KV_RESPONSE_REVISION,
    Fv_KV_RESPONSE_LEASE
} fv_kv_response_type_t;

typedef struct fv_kv_call {
    fv_kv_client_t *kv;
    fv_kv_response_type_t expected;
    char path[Fv_KV_LOGGED_PATH_SIZE];
    fv_kv_done_t done;
    void *context;
} fv_kv_call_t;

struct fv_kv_client {
    struct event_base *base;
    fv_call_pool_t *pool;
    char address[Fv_ADDRESS_SIZE];
    fv_dependency_t state;
    int64_t latest_revision; /* in any answer */
    fv_kv_watch_t *watches;
};

struct fv_kv_watch {
    fv_kv_client_t *kv;
    fv_kv_watcher_t watcher;
    struct event *retry;
    int64_t revision;          /* latest one seen; 0: read a new snapshot */
    int64_t snapshot_revision; /* of the snapshot's first page */
    char *after;               /* last key of the previous page */
    fv_watch_pace_t pace;
    int64_t reading_since_ms; /* start of the latest complete reading */
    bool call_active;
    bool cancelled;
    fv_kv_watch_t *next;
};

static void advance_watch(fv_kv_watch_t *watch);

/**
 * FvKvClient_New - create a client
 * @base: the event loop
 * @pool: pool that sends the calls
 * @address: the store's address
 *
 * Return: the client, or NULL when memory is exhausted.
 */
fv_kv_client_t *
FvKvClient_New(struct event_base *base, fv_call_pool_t *pool,
               const char *address)
{
    fv_kv_client_t *kv = calloc(1, sizeof(*kv));

    if (kv != NULL) {
        kv->base = base;
        kv->pool = pool;
        FvText_Copy(kv->address, sizeof(kv->address), address);
    }
    return kv;
}

/**
 * FvKvClient_Free - free a client
 * @kv: the client, or NULL
 *
 * Its call pool must have been freed before.
 */
void
FvKvClient_Free(fv_kv_client_t *kv)
{
    if (kv == NULL) {
        return;
    }
    while (kv->watches != NULL) {
        fv_kv_watch_t *watch = kv->watches;

        kv->watches = watch->next;
        event_free(watch->retry);
        free(watch->after);
        free(watch);
    }
    free(kv);
}

static void
update_state(fv_kv_call_t *call, fv_kv_error_t error,
             const fv_call_answer_t *answer)
{
    fv_kv_client_t *kv = call->kv;
    bool at_start = kv->state == Fv_DEPENDENCY_UNKNOWN;
    bool answered = error != Fv_KV_UNAVAILABLE && error != Fv_KV_UNCONFIRMED;

    if (!answered) {
        FvMetrics_Add(error == Fv_KV_UNCONFIRMED ? Fv_COUNTER_STORE_UNCONFIRMED
                                                 : Fv_COUNTER_STORE_ERRORS,
                      1);
    }
    if (!FvDependency_Note(&kv->state, answered)) {
        return;
    }
    if (answered) {
        FvLog_Event(Fv_LOG_INFO, "store_regained", "address=%s status=%d",
                    kv->address, answer->status);
        return;
    }
    FvLog_Event(Fv_LOG_WARN, "store_lost",
                "address=%s status=%d error=%s call=%s at_start=%d",
                kv->address, answer->status, FvCallAnswer_Error(answer),
                call->path, at_start ? 1 : 0);
}

static bool
decode_response(fv_kv_response_type_t expected, const fv_call_answer_t *answer,
                fv_kv_result_t *result)
{
    switch (expected) {
    case Fv_KV_RESPONSE_ITEM:
        return FvPlatform_DecodeKvItem(answer, &result->items);
    case Fv_KV_RESPONSE_PAGE:
        return FvPlatform_DecodeKvPage(answer, &result->items);
    case Fv_KV_RESPONSE_EVENTS:
        return FvPlatform_DecodeKvEvents(answer, &result->items);
    case Fv_KV_RESPONSE_REVISION:
        return FvPlatform_DecodeKvRevision(answer, &result->revision);
    case Fv_KV_RESPONSE_LEASE:
    default:
        return FvPlatform_DecodeKvLease(answer, &result->lease,
                                        &result->ttl_ms);
    }
}

static void
note_revision(fv_kv_client_t *kv, const fv_kv_result_t *result)
{
    int64_t revision = result->revision > result->items.revision
                           ? result->revision
                           : result->items.revision;

    if (result->error == Fv_KV_OK && revision > kv->latest_revision) {
        kv->latest_revision = revision;
    }
}

static void
handle_response(void *context, const fv_call_answer_t *answer)
{
    fv_kv_call_t *call = context;
    fv_kv_result_t result = {.error = FvPlatform_DecodeKvError(answer)};

    update_state(call, result.error, answer);
    if ((result.error == Fv_KV_OK &&
         !decode_response(call->expected, answer, &result)) ||
        (result.error == Fv_KV_CONFLICT &&
         !FvPlatform_DecodeKvItems(answer, &result.items))) {
        result.error = Fv_KV_MALFORMED;
    }
    note_revision(call->kv, &result);
    call->done(call->context, &result);
    FvKvItems_Clear(&result.items);
    free(call);
}

static void
send_call(fv_kv_client_t *kv, fv_call_t *call, fv_kv_response_type_t expected,
          fv_call_urgency_t urgency, int64_t timeout_ms, fv_kv_done_t done,
          void *context)
{
    fv_kv_call_t *pending = calloc(1, sizeof(*pending));

    if (pending == NULL) {
        abort(); /* without @done being called, the caller would hang */
    }
    *pending = (fv_kv_call_t){
        .kv = kv, .expected = expected, .done = done, .context = context};
    FvText_Copy(pending->path, sizeof(pending->path), call->path);
    FvCallPool_Send(kv->pool, kv->address, call,
                    &(fv_call_terms_t){.bounds = &store_bounds,
                                       .urgency = urgency,
                                       .timeout_ms = timeout_ms},
                    handle_response, pending);
}

/**
 * FvKvClient_Get - read one key
 * @kv: the client
 * @key: the key
 * @done: called with the item
 * @context: passed to @done
 */
void
FvKvClient_Get(fv_kv_client_t *kv, const char *key, fv_kv_done_t done,
               void *context)
{
    fv_call_t call;

    FvMetrics_Add(Fv_COUNTER_STORE_READS, 1);
    FvPlatform_KvGet(&call, key);
    send_call(kv, &call, Fv_KV_RESPONSE_ITEM, Fv_CALL_START, Fv_KV_TIMEOUT_MS,
              done, context);
}

/**
 * FvKvClient_Range - read a page of the keys with a prefix
 * @kv: the client
 * @prefix: the prefix
 * @after: last key of the previous page, or NULL for the first page
 * @done: called with the items
 * @context: passed to @done
 */
void
FvKvClient_Range(fv_kv_client_t *kv, const char *prefix, const char *after,
                 fv_kv_done_t done, void *context)
{
    fv_call_t call;

    FvMetrics_Add(Fv_COUNTER_STORE_READS, 1);
    FvPlatform_KvRange(&call, prefix, after);
    send_call(kv, &call, Fv_KV_RESPONSE_PAGE, Fv_CALL_START, Fv_KV_TIMEOUT_MS,
              done, context);
}

/**
 * FvKvClient_Txn - write keys atomically
 * @kv: the client
 * @expects: revisions that keys must have
 * @expect_count: number of expected revisions
 * @puts: the writes
 * @put_count: number of writes
 * @timeout_ms: time limit of the answer
 * @done: called with the revision or, on a conflict, the expected keys' items
 * @context: passed to @done
 */
void
FvKvClient_Txn(fv_kv_client_t *kv, const fv_kv_expect_t *expects,
               uint32_t expect_count, const fv_kv_put_t *puts,
               uint32_t put_count, int64_t timeout_ms, fv_kv_done_t done,
               void *context)
{
    fv_call_t call;

    FvMetrics_Add(Fv_COUNTER_STORE_WRITES, 1);
    FvPlatform_KvTxn(&call, expects, expect_count, puts, put_count);
    send_call(kv, &call, Fv_KV_RESPONSE_REVISION, Fv_CALL_START, timeout_ms,
              done, context);
}

/**
 * FvKvClient_Grant - create a lease
 * @kv: the client
 * @ttl_ms: time to live
 * @done: called with the lease
 * @context: passed to @done
 */
void
FvKvClient_Grant(fv_kv_client_t *kv, int64_t ttl_ms, fv_kv_done_t done,
                 void *context)
{
    fv_call_t call;

    FvMetrics_Add(Fv_COUNTER_STORE_WRITES, 1);
    FvPlatform_KvGrant(&call, ttl_ms);
    send_call(kv, &call, Fv_KV_RESPONSE_LEASE, Fv_CALL_START, Fv_KV_TIMEOUT_MS,
              done, context);
}

/**
 * FvKvClient_Renew - renew a lease
 * @kv: the client
 * @lease: the lease
 * @done: called with the lease's remaining time
 * @context: passed to @done
 */
void
FvKvClient_Renew(fv_kv_client_t *kv, int64_t lease, fv_kv_done_t done,
                 void *context)
{
    fv_call_t call;

    FvMetrics_Add(Fv_COUNTER_LEASE_RENEWALS, 1);
    FvPlatform_KvRenew(&call, lease);
    send_call(kv, &call, Fv_KV_RESPONSE_LEASE, Fv_CALL_STOP,
              Fv_KV_RENEW_TIMEOUT_MS, done, context);
}

static void
log_revoke_failure(void *context, const fv_kv_result_t *result)
{
    (void)context;
    if (result->error != Fv_KV_OK && result->error != Fv_KV_MALFORMED) {
        FvLog_Event(Fv_LOG_INFO, "lease_end_unanswered", "error=%d",
                    (int)result->error);
    }
}

/**
 * FvKvClient_Revoke - revoke a lease
 * @kv: the client
 * @lease: the lease
 *
 * A failure is only logged, since the lease then expires.
 */
void
FvKvClient_Revoke(fv_kv_client_t *kv, int64_t lease)
{
    fv_call_t call;

    FvMetrics_Add(Fv_COUNTER_STORE_WRITES, 1);
    FvPlatform_KvRevoke(&call, lease);
    send_call(kv, &call, Fv_KV_RESPONSE_LEASE, Fv_CALL_START, Fv_KV_TIMEOUT_MS,
              log_revoke_failure, NULL);
}

static void
free_watch(fv_kv_watch_t *watch)
{
    fv_kv_watch_t **link = &watch->kv->watches;

    while (*link != watch) {
        link = &(*link)->next;
    }
    *link = watch->next;
    event_free(watch->retry);
    free(watch->after);
    free(watch);
}

static void
schedule_watch(fv_kv_watch_t *watch, int32_t pause_ms)
{
    struct timeval pause = {.tv_usec = pause_ms * 1000};

    event_add(watch->retry, &pause);
}

static void
on_retry_timer(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    advance_watch(context);
}

/* Frees the watch and returns false if it was cancelled during the call. */
static bool
end_call(fv_kv_watch_t *watch)
{
    watch->call_active = false;
    if (watch->cancelled) {
        free_watch(watch);
        return false;
    }
    return true;
}

static bool
deliver(fv_kv_watch_t *watch, const fv_kv_items_t *items)
{
    for (uint32_t i = 0; i < items->count && !watch->cancelled; i++) {
        watch->watcher.item(watch->watcher.context, &items->items[i]);
    }
    return !watch->cancelled;
}

static void
handle_page(void *context, const fv_kv_result_t *result)
{
    fv_kv_watch_t *watch = context;
    bool first = watch->after == NULL;
    const fv_kv_items_t *items = &result->items;

    watch->call_active = true; /* the watch isn't freed during callbacks */
    if (result->error == Fv_KV_OK && !watch->cancelled) {
        if (first) {
            watch->watcher.begin(watch->watcher.context);
            watch->snapshot_revision = items->revision;
        }
        deliver(watch, items);
        free(watch->after);
        watch->after = NULL;
        if (items->next_after != NULL) {
            watch->after = strdup(items->next_after);
        }
        else if (!watch->cancelled) {
            watch->revision = watch->snapshot_revision;
            FvWatchPace_Reset(&watch->pace, watch->reading_since_ms);
            watch->watcher.loaded(watch->watcher.context);
        }
    }
    if (!end_call(watch)) {
        return;
    }
    if (result->error == Fv_KV_OK) {
        advance_watch(watch);
        return;
    }
    free(watch->after);
    watch->after = NULL;
    watch->revision = 0;
    schedule_watch(watch, Fv_WATCH_RETRY_MS);
}

static void
handle_events(void *context, const fv_kv_result_t *result)
{
    fv_kv_watch_t *watch = context;
    fv_watch_step_t step = Fv_WATCH_GATHER;
    int64_t now_ms = FvClock_NowMs();

    watch->call_active = true;
    if (result->error == Fv_KV_OK && !watch->cancelled) {
        deliver(watch, &result->items);
        if (result->items.revision > watch->revision) {
            watch->revision = result->items.revision;
        }
        step = FvWatchPace_Answered(&watch->pace, watch->revision,
                                    result->items.count, now_ms);
    }
    if (!end_call(watch)) {
        return;
    }
    if (step == Fv_WATCH_READ_ALL) {
        FvLog_Event(Fv_LOG_WARN, "watch_behind",
                    "prefix=%s age_ms=%" PRId64 " revisions=%" PRId64,
                    watch->watcher.prefix,
                    FvWatchPace_AgeMs(&watch->pace, now_ms),
                    watch->kv->latest_revision - watch->revision);
        watch->revision = 0;
    }
    if (result->error == Fv_KV_COMPACTED) {
        FvLog_Event(Fv_LOG_INFO, "watch_history_gone", "prefix=%s",
                    watch->watcher.prefix);
        watch->revision = 0;
    }
    if (result->error == Fv_KV_OK && step == Fv_WATCH_GATHER &&
        watch->watcher.coalesce_ms > 0) {
        schedule_watch(watch, watch->watcher.coalesce_ms);
    }
    else if (result->error == Fv_KV_OK || result->error == Fv_KV_COMPACTED) {
        advance_watch(watch);
    }
    else {
        schedule_watch(watch, Fv_WATCH_RETRY_MS);
    }
}

static void
advance_watch(fv_kv_watch_t *watch)
{
    fv_call_t call;

    watch->call_active = true;
    if (watch->revision == 0) {
        if (watch->after == NULL) {
            watch->reading_since_ms = FvClock_NowMs();
        }
        FvKvClient_Range(watch->kv, watch->watcher.prefix, watch->after,
                         handle_page, watch);
        return;
    }
    FvMetrics_Add(Fv_COUNTER_STORE_WATCHES, 1);
    FvWatchPace_Sent(&watch->pace, watch->kv->latest_revision,
                     FvClock_NowMs());
    FvPlatform_KvWatch(&call, watch->watcher.prefix, watch->revision,
                       Fv_WATCH_POLL_MS);
    send_call(watch->kv, &call, Fv_KV_RESPONSE_EVENTS, Fv_CALL_LONG_POLL,
              Fv_WATCH_TIMEOUT_MS, handle_events, watch);
}

/**
 * FvKvClient_Watch - read the keys with a prefix and watch them for changes
 * @kv: the client
 * @watcher: prefix and callbacks; copied
 *
 * Return: the watch, or NULL when memory is exhausted.
 */
fv_kv_watch_t *
FvKvClient_Watch(fv_kv_client_t *kv, const fv_kv_watcher_t *watcher)
{
    fv_kv_watch_t *watch = calloc(1, sizeof(*watch));

    if (watch == NULL) {
        return NULL;
    }
    watch->kv = kv;
    watch->watcher = *watcher;
    watch->retry = event_new(kv->base, -1, 0, on_retry_timer, watch);
    if (watch->retry == NULL) {
        free(watch);
        return NULL;
    }
    watch->next = kv->watches;
    kv->watches = watch;
    advance_watch(watch);
    return watch;
}

/**
 * FvKvClient_WatchAgeMs - how old a change may be that was not delivered yet
 * @watch: the watch, which has delivered its first snapshot
 * @now_ms: the time
 *
 * Return: the age. It grows up to the time of a long poll while nothing
 * changes.
 */
int64_t
FvKvClient_WatchAgeMs(const fv_kv_watch_t *watch, int64_t now_ms)
{
    return FvWatchPace_AgeMs(&watch->pace, now_ms);
}

/**
 * FvKvClient_CancelWatch - stop a watch
 * @watch: the watch, or NULL
 */
void
FvKvClient_CancelWatch(fv_kv_watch_t *watch)
{
    if (watch == NULL) {
        return;
    }
    watch->cancelled = true;
    event_del(watch->retry);
    if (!watch->call_active) {
        free_watch(watch);
    }
}
