/*
 * Client of the key-value store, through the JSON form of the etcd v3 API.
 * Keys in this interface are relative to the configured prefix.
 */

#include "fireflyvalve.h"

#include <stdlib.h>
#include <string.h>

#define Fv_STORE_VALUE_MAX_BYTES (1024 * 1024)
#define Fv_STORE_RESPONSE_MAX_BYTES (64 * 1024 * 1024)
#define Fv_STORE_LINE_MAX_BYTES (4 * 1024 * 1024)

/* The store handles several hundred writes a second within milliseconds each.
 * Calls beyond the limit are queued, so that a burst of claims doesn't open a
 * connection for each. */
#define Fv_STORE_OUTSTANDING_MAX 64

/* Delay before a watch that ended is reopened. */
#define Fv_STORE_WATCH_RETRY_MS 500

typedef struct fv_store_call_type {
    const char *path;
    bool writes;
    bool (*parse)(fv_store_t *store, const json_t *body,
                  fv_store_result_t *result);
} fv_store_call_type_t;

typedef struct fv_store_call {
    const fv_store_call_type_t *type;
    fv_store_t *store;
    char *body;
    fv_store_done_t done;
    void *context;
    struct fv_store_call *next; /* in the queue of calls not yet sent */
} fv_store_call_t;

typedef struct fv_store_watch {
    bool enabled;
    bool open;
    uint64_t request;
    char *key_prefix;
    int64_t next_revision;
    fv_store_done_t event;
    void *context;
    fv_buffer_t line;
    fv_timer_t retry;
} fv_store_watch_t;

struct fv_store {
    fv_http_client_t *client;
    fv_loop_t *loop;
    char url[Fv_URL_SIZE];
    char prefix[Fv_NAME_SIZE];
    int32_t timeout_ms;
    int32_t outstanding;
    fv_store_call_t *queue_first;
    fv_store_call_t *queue_last;
    fv_store_watch_t watch;
};

static void open_watch(fv_store_t *store);

/**
 * FvStore_New - create a client
 * @client: HTTP client that sends the calls
 * @loop: loop that runs the timers
 * @url: base URL of the store
 * @prefix: prefix of all keys
 * @timeout_ms: timeout of a call
 *
 * Return: the client, or NULL when memory is exhausted.
 */
fv_store_t *
FvStore_New(fv_http_client_t *client, fv_loop_t *loop, const char *url,
            const char *prefix, int32_t timeout_ms)
{
    fv_store_t *store = calloc(1, sizeof(*store));

    if (store == NULL) {
        return NULL;
    }
    store->client = client;
    store->loop = loop;
    store->timeout_ms = timeout_ms;
    FvText_Copy(store->url, sizeof(store->url), url);
    FvText_Copy(store->prefix, sizeof(store->prefix), prefix);
    return store;
}

/**
 * FvStore_Free - free a client
 * @store: the client, or NULL
 */
void
FvStore_Free(fv_store_t *store)
{
    fv_store_call_t *call;

    if (store == NULL) {
        return;
    }
    call = store->queue_first;
    while (call != NULL) {
        fv_store_call_t *next = call->next;

        free(call->body);
        free(call);
        call = next;
    }
    free(store->watch.key_prefix);
    FvBuffer_Clear(&store->watch.line);
    free(store);
}

static void
free_kvs(fv_store_result_t *result)
{
    for (uint32_t i = 0; i < result->kv_count; i++) {
        free(result->kvs[i].key);
        free(result->kvs[i].value);
    }
    free(result->kvs);
    result->kvs = NULL;
    result->kv_count = 0;
}

static bool
parse_kv(const fv_store_t *store, const json_t *object, fv_store_kv_t *kv)
{
    const char *key_text = FvJson_String(object, "key");
    const char *value_text = FvJson_String(object, "value");
    size_t prefix_length = strlen(store->prefix) + 1;
    fv_buffer_t key = {0};
    fv_buffer_t value = {0};

    if (key_text == NULL || !FvText_DecodeBase64(key_text, &key)) {
        return false;
    }
    if (key.length < prefix_length ||
        !FvText_DecodeBase64(value_text ? value_text : "", &value)) {
        FvBuffer_Clear(&key);
        return false;
    }
    memmove(key.data, key.data + prefix_length,
            key.length - prefix_length + 1);
    *kv = (fv_store_kv_t){
        .key = (char *)key.data,
        .value = (char *)value.data,
        .value_length = value.length,
        .mod_revision = FvJson_Int(object, "mod_revision", 0),
    };
    return true;
}

/* Appends the key-value pairs of one range response to the result. */
static bool
parse_kvs(fv_store_t *store, const json_t *list, fv_store_result_t *result)
{
    size_t count = json_array_size(list);
    fv_store_kv_t *grown;

    if (count == 0) {
        return true;
    }
    grown = realloc(result->kvs, (result->kv_count + count) * sizeof(*grown));
    if (grown == NULL) {
        return false;
    }
    result->kvs = grown;
    for (size_t i = 0; i < count; i++) {
        if (!parse_kv(store, json_array_get(list, i),
                      &result->kvs[result->kv_count])) {
            return false;
        }
        result->kv_count++;
    }
    return true;
}

static bool
parse_range(fv_store_t *store, const json_t *body, fv_store_result_t *result)
{
    result->succeeded = true;
    return parse_kvs(store, json_object_get(body, "kvs"), result);
}

static bool
parse_txn(fv_store_t *store, const json_t *body, fv_store_result_t *result)
{
    const json_t *responses = json_object_get(body, "responses");
    size_t index;
    json_t *response;

    result->succeeded = FvJson_Bool(body, "succeeded", false);
    json_array_foreach(responses, index, response)
    {
        const json_t *range = json_object_get(response, "response_range");

        if (!parse_kvs(store, json_object_get(range, "kvs"), result)) {
            return false;
        }
    }
    return true;
}

static bool
parse_grant(fv_store_t *store, const json_t *body, fv_store_result_t *result)
{
    (void)store;
    result->lease = FvJson_Int(body, "ID", 0);
    result->succeeded = result->lease != 0;
    return result->succeeded;
}

static const fv_store_call_type_t range_call = {
    .path = "/v3/kv/range",
    .writes = false,
    .parse = parse_range,
};

static const fv_store_call_type_t txn_call = {
    .path = "/v3/kv/txn",
    .writes = true,
    .parse = parse_txn,
};

static const fv_store_call_type_t grant_call = {
    .path = "/v3/lease/grant",
    .writes = true,
    .parse = parse_grant,
};

/*
 * A write that failed after it was sent is unconfirmed: the store may have
 * applied it. A read has no effect, so it just failed.
 */
static fv_store_error_t
translate_error(const fv_store_call_t *call,
                const fv_http_response_t *response)
{
    switch (response->error) {
    case Fv_HTTP_OK:
        break;
    case Fv_HTTP_NOT_SENT:
    case Fv_HTTP_EXPIRED:
        return Fv_STORE_UNAVAILABLE;
    case Fv_HTTP_TOO_LARGE:
        return Fv_STORE_MALFORMED;
    case Fv_HTTP_UNCONFIRMED:
        return call->type->writes ? Fv_STORE_UNCONFIRMED
                                  : Fv_STORE_UNAVAILABLE;
    }
    if (response->status == 200) {
        return Fv_STORE_OK;
    }
    if (response->status >= 500) {
        return call->type->writes ? Fv_STORE_UNCONFIRMED
                                  : Fv_STORE_UNAVAILABLE;
    }
    return Fv_STORE_REJECTED;
}

static void
parse_response(const fv_store_call_t *call, const fv_http_response_t *response,
               fv_store_result_t *result)
{
    json_t *body = json_loadb((const char *)response->body,
                              response->body_length, 0, NULL);
    bool parsed = false;

    if (body != NULL) {
        result->revision =
            FvJson_Int(json_object_get(body, "header"), "revision", 0);
        parsed = call->type->parse(call->store, body, result);
        json_decref(body);
    }
    if (!parsed) {
        result->error =
            call->type->writes ? Fv_STORE_UNCONFIRMED : Fv_STORE_MALFORMED;
    }
}

static void send_queued(fv_store_t *store);

static void
finish_call(void *context, fv_http_response_t *response)
{
    fv_store_call_t *call = context;
    fv_store_t *store = call->store;
    fv_store_result_t result = {0};

    store->outstanding--;

    result.error = translate_error(call, response);
    if (result.error == Fv_STORE_OK) {
        parse_response(call, response, &result);
    }
    else {
        FvMetrics_Add(Fv_COUNTER_STORE_ERRORS, 1);
    }
    if (result.error == Fv_STORE_UNCONFIRMED) {
        FvMetrics_Add(Fv_COUNTER_STORE_UNCONFIRMED, 1);
    }
    call->done(call->context, &result);
    free_kvs(&result);
    free(call);
    send_queued(store);
}

static void
send_now(fv_store_t *store, fv_store_call_t *call)
{
    fv_http_request_t request = {
        .method = "POST",
        .timeout_ms = store->timeout_ms,
        .body = call->body,
        .body_length = call->body ? strlen(call->body) : 0,
        .response_max_bytes = Fv_STORE_RESPONSE_MAX_BYTES,
        .send_once = call->type->writes,
        .done = finish_call,
        .context = call,
    };

    call->body = NULL;
    store->outstanding++;
    snprintf(request.url, sizeof(request.url), "%s%s", store->url,
             call->type->path);
    FvMetrics_Add(call->type->writes ? Fv_COUNTER_STORE_WRITES
                                     : Fv_COUNTER_STORE_READS,
                  1);
    FvHttpClient_Send(store->client, &request);
}

static void
send_queued(fv_store_t *store)
{
    while (store->queue_first != NULL &&
           store->outstanding < Fv_STORE_OUTSTANDING_MAX) {
        fv_store_call_t *call = store->queue_first;

        store->queue_first = call->next;
        if (store->queue_first == NULL) {
            store->queue_last = NULL;
        }
        send_now(store, call);
    }
}

/* Queues a call and takes ownership of the body. */
static void
send_call(fv_store_t *store, const fv_store_call_type_t *type, json_t *body,
          fv_store_done_t done, void *context)
{
    fv_store_call_t *call = calloc(1, sizeof(*call));

    if (call == NULL) {
        abort();
    }
    *call = (fv_store_call_t){
        .type = type, .store = store, .done = done, .context = context};
    call->body = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    if (store->queue_last != NULL) {
        store->queue_last->next = call;
    }
    else {
        store->queue_first = call;
    }
    store->queue_last = call;
    send_queued(store);
}

/**
 * FvStore_Commit - send a transaction
 * @store: the store
 * @txn: the transaction; ownership passes to the store
 * @done: called with the result
 * @context: for @done
 */
void
FvStore_Commit(fv_store_t *store, fv_store_txn_t *txn, fv_store_done_t done,
               void *context)
{
    send_call(store, &txn_call, FvStoreTxn_TakeBody(txn, store->prefix), done,
              context);
}

/**
 * FvStore_Get - read one key
 * @store: the store
 * @key: the key
 * @done: called with the key-value pair, or none when the key is absent
 * @context: for @done
 */
void
FvStore_Get(fv_store_t *store, const char *key, fv_store_done_t done,
            void *context)
{
    json_t *body =
        json_pack("{s:o}", "key", FvStoreKey_Encode(store->prefix, key));

    send_call(store, &range_call, body, done, context);
}

/**
 * FvStore_List - read all keys with a prefix
 * @store: the store
 * @key_prefix: the prefix; not empty
 * @done: called with the key-value pairs
 * @context: for @done
 */
void
FvStore_List(fv_store_t *store, const char *key_prefix, fv_store_done_t done,
             void *context)
{
    json_t *body = json_pack(
        "{s:o, s:o}", "key", FvStoreKey_Encode(store->prefix, key_prefix),
        "range_end", FvStoreKey_EncodeRangeEnd(store->prefix, key_prefix));

    send_call(store, &range_call, body, done, context);
}

/**
 * FvStore_GrantLease - create a lease that keys can be attached to
 * @store: the store
 * @ttl_s: time to live
 * @done: called with the lease
 * @context: for @done
 */
void
FvStore_GrantLease(fv_store_t *store, int64_t ttl_s, fv_store_done_t done,
                   void *context)
{
    char text[24];

    snprintf(text, sizeof(text), "%lld", (long long)ttl_s);
    send_call(store, &grant_call, json_pack("{s:s}", "TTL", text), done,
              context);
}

static bool
parse_watch_events(fv_store_t *store, const json_t *events,
                   fv_store_result_t *result)
{
    size_t count = json_array_size(events);

    result->kvs = calloc(count ? count : 1, sizeof(*result->kvs));
    if (result->kvs == NULL) {
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        const json_t *event = json_array_get(events, i);
        const char *type = FvJson_String(event, "type");
        fv_store_kv_t *kv = &result->kvs[result->kv_count];

        if (!parse_kv(store, json_object_get(event, "kv"), kv)) {
            return false;
        }
        kv->deleted = type != NULL && strcmp(type, "DELETE") == 0;
        result->kv_count++;
    }
    return true;
}

static void
retry_watch(void *owner)
{
    open_watch(owner);
}

static void
schedule_watch(fv_store_t *store)
{
    fv_store_watch_t *watch = &store->watch;

    watch->retry.fire = retry_watch;
    watch->retry.owner = store;
    FvLoop_SetTimer(store->loop, &watch->retry,
                    FvClock_NowMs() + Fv_STORE_WATCH_RETRY_MS);
}

/* The store may keep the stream of a watch that it has canceled open. */
static void
reopen_watch(fv_store_t *store)
{
    fv_store_watch_t *watch = &store->watch;

    FvLog_Event(Fv_LOG_WARN, "store_watch_canceled", "next_revision=%lld",
                (long long)watch->next_revision);
    FvHttpClient_Cancel(store->client, watch->request);
    watch->open = false;
    schedule_watch(store);
}

static void
handle_watch_line(fv_store_t *store, const char *text, size_t length)
{
    json_t *line = json_loadb(text, length, 0, NULL);
    const json_t *body = json_object_get(line, "result");
    const json_t *events = json_object_get(body, "events");
    fv_store_result_t result = {.succeeded = true};

    result.revision =
        FvJson_Int(json_object_get(body, "header"), "revision", 0);
    if (FvJson_Bool(body, "canceled", false) ||
        json_object_get(line, "error") != NULL) {
        /* Changes lost to compaction are read with the configuration head. */
        int64_t compacted = FvJson_Int(body, "compact_revision", 0);

        if (compacted > store->watch.next_revision) {
            store->watch.next_revision = compacted;
        }
        reopen_watch(store);
    }
    else if (json_array_size(events) > 0) {
        if (parse_watch_events(store, events, &result)) {
            store->watch.next_revision = result.revision + 1;
            store->watch.event(store->watch.context, &result);
        }
        free_kvs(&result);
    }
    json_decref(line);
}

static void
receive_watch(void *context, const uint8_t *data, size_t length)
{
    fv_store_t *store = context;
    fv_store_watch_t *watch = &store->watch;
    uint8_t *newline;

    if (watch->line.length + length > Fv_STORE_LINE_MAX_BYTES ||
        !FvBuffer_Append(&watch->line, data, length)) {
        FvBuffer_Clear(&watch->line);
        return;
    }
    while ((newline = memchr(watch->line.data, '\n', watch->line.length)) !=
           NULL) {
        size_t used = (size_t)(newline - watch->line.data) + 1;

        handle_watch_line(store, (const char *)watch->line.data, used);
        if (watch->line.data == NULL) {
            return;
        }
        memmove(watch->line.data, watch->line.data + used,
                watch->line.length - used);
        watch->line.length -= used;
    }
}

static void
finish_watch(void *context, fv_http_response_t *response)
{
    fv_store_t *store = context;
    fv_store_watch_t *watch = &store->watch;

    (void)response;
    watch->open = false;
    FvBuffer_Clear(&watch->line);
    if (watch->enabled) {
        schedule_watch(store);
    }
}

static void
open_watch(fv_store_t *store)
{
    fv_store_watch_t *watch = &store->watch;
    char revision[24];
    json_t *body;
    fv_http_request_t request = {
        .method = "POST",
        .done = finish_watch,
        .data = receive_watch,
        .context = store,
    };

    snprintf(revision, sizeof(revision), "%lld",
             (long long)watch->next_revision);
    body = json_pack(
        "{s:{s:o, s:o, s:s}}", "create_request", "key",
        FvStoreKey_Encode(store->prefix, watch->key_prefix), "range_end",
        FvStoreKey_EncodeRangeEnd(store->prefix, watch->key_prefix),
        "start_revision", revision);
    request.body = json_dumps(body, JSON_COMPACT);
    request.body_length = request.body ? strlen(request.body) : 0;
    json_decref(body);
    snprintf(request.url, sizeof(request.url), "%s/v3/watch", store->url);
    FvMetrics_Add(Fv_COUNTER_STORE_WATCHES, 1);
    FvBuffer_Clear(&watch->line);
    watch->open = true;
    watch->request = FvHttpClient_Send(store->client, &request);
}

/**
 * FvStore_Watch - watch the keys with a prefix for changes
 * @store: the store
 * @key_prefix: the prefix
 * @start_revision: first revision to report
 * @event: called with the changes of each response
 * @context: for @event
 *
 * A watch that ends is reopened after the last revision seen. A store has a
 * single watch; a new one replaces it.
 */
void
FvStore_Watch(fv_store_t *store, const char *key_prefix,
              int64_t start_revision, fv_store_done_t event, void *context)
{
    fv_store_watch_t *watch = &store->watch;

    FvStore_StopWatch(store);
    watch->enabled = true;
    watch->key_prefix = strdup(key_prefix);
    watch->next_revision = start_revision;
    watch->event = event;
    watch->context = context;
    open_watch(store);
}

/**
 * FvStore_StopWatch - stop the watch, if any
 * @store: the store
 */
void
FvStore_StopWatch(fv_store_t *store)
{
    fv_store_watch_t *watch = &store->watch;

    if (watch->open) {
        FvHttpClient_Cancel(store->client, watch->request);
        watch->open = false;
    }
    FvLoop_CancelTimer(store->loop, &watch->retry);
    FvBuffer_Clear(&watch->line);
    free(watch->key_prefix);
    watch->key_prefix = NULL;
    watch->enabled = false;
}
