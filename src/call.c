/*
 * HTTP client over libevent with pooled connections, one request at a time on
 * each. A connection that fails or times out is closed; whether the server
 * executed its request is then unknown.
 */

#include "entry.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Idle connections are closed after this, well before the platform's load
 * balancers drop them. */
#define Fv_IDLE_CONNECTION_MS 30000
#define Fv_SWEEP_MS 5000
#define Fv_CALL_ANSWER_MAX_BYTES (8 * 1024 * 1024)

typedef struct fv_destination fv_destination_t;

typedef struct fv_connection_slot {
    struct evhttp_connection *connection;
    fv_destination_t *destination;
    struct fv_connection_slot *next; /* of the destination */
    struct fv_connection_slot *idle_next;
    struct fv_connection_slot *idle_prev;
    bool busy;
    int64_t used_ms;
} fv_connection_slot_t;

struct fv_destination {
    char address[Fv_ADDRESS_SIZE];
    char ip[Fv_ADDRESS_SIZE];
    uint16_t port;
    fv_connection_slot_t *slots;
    UT_hash_handle hh;
};

struct fv_call_pool {
    struct event_base *base;
    struct event *sweep;
    fv_destination_t *destinations;
    fv_connection_slot_t *idle;              /* least recently used first */
    const fv_connection_slot_t *in_callback; /* its callback is running */
    uint32_t open;
    uint32_t open_max;
    char preferred[Fv_ADDRESS_SIZE]; /* "": none */
};

typedef struct fv_pending_call {
    fv_call_pool_t *pool;
    fv_connection_slot_t *slot;
    fv_call_done_t done;
    void *context;
    bool sending; /* FvCallPool_Send has not returned yet */
    bool failed;  /* while FvCallPool_Send was running */
} fv_pending_call_t;

static void
close_idle_slot(fv_call_pool_t *pool, fv_connection_slot_t *slot)
{
    LL_DELETE(slot->destination->slots, slot);
    DL_DELETE2(pool->idle, slot, idle_prev, idle_next);
    evhttp_connection_free(slot->connection);
    free(slot);
    pool->open--;
}

static void
remove_destination(fv_call_pool_t *pool, fv_destination_t *destination)
{
    /* uthash unlinks the entry, which the analyzer does not see. */
    /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
    HASH_DEL(pool->destinations, destination);
    free(destination);
}

static void
sweep(evutil_socket_t fd, short what, void *context)
{
    fv_call_pool_t *pool = context;
    int64_t now_ms = FvClock_NowMs();
    fv_destination_t *destination;
    fv_destination_t *next;

    (void)fd;
    (void)what;
    while (pool->idle != NULL &&
           now_ms - pool->idle->used_ms >= Fv_IDLE_CONNECTION_MS) {
        close_idle_slot(pool, pool->idle);
    }
    for (destination = pool->destinations; destination != NULL;
         destination = next) {
        next = destination->hh.next;
        if (destination->slots == NULL) {
            remove_destination(pool, destination);
        }
    }
}

/**
 * FvCallPool_New - allocate an empty connection pool
 * @base: the event loop
 * @open_max: limit of connections; at the limit a new connection replaces the
 *            least recently used idle one
 *
 * Return: the pool, or NULL when memory is exhausted.
 */
fv_call_pool_t *
FvCallPool_New(struct event_base *base, uint32_t open_max)
{
    fv_call_pool_t *pool = calloc(1, sizeof(*pool));
    struct timeval interval = {.tv_sec = Fv_SWEEP_MS / 1000};

    if (pool == NULL) {
        return NULL;
    }
    pool->base = base;
    pool->open_max = open_max;
    pool->sweep = event_new(base, -1, EV_PERSIST, sweep, pool);
    if (pool->sweep == NULL) {
        free(pool);
        return NULL;
    }
    event_add(pool->sweep, &interval);
    return pool;
}

/**
 * FvCallPool_Prefer - read answers of one server before other events are
 * handled
 * @pool: the pool; its event loop has Fv_PRIORITIES priorities
 * @address: the server
 *
 * libevent reads 4 KiB in a turn of the event loop, so that a large answer
 * takes many turns; without preference each of them is as long as all other
 * events that are due.
 */
void
FvCallPool_Prefer(fv_call_pool_t *pool, const char *address)
{
    FvText_Copy(pool->preferred, sizeof(pool->preferred), address);
}

/**
 * FvCallPool_Free - close all connections; calls in progress are not completed
 * @pool: the pool, or NULL
 */
void
FvCallPool_Free(fv_call_pool_t *pool)
{
    fv_destination_t *destination;
    fv_destination_t *next;

    if (pool == NULL) {
        return;
    }
    event_free(pool->sweep);
    for (destination = pool->destinations; destination != NULL;
         destination = next) {
        next = destination->hh.next;
        while (destination->slots != NULL) {
            fv_connection_slot_t *slot = destination->slots;

            destination->slots = slot->next;
            evhttp_connection_free(slot->connection);
            free(slot);
        }
        remove_destination(pool, destination);
    }
    free(pool);
}

/**
 * FvCallPool_Open - number of open connections
 * @pool: the pool
 *
 * Return: the number, idle connections included.
 */
uint32_t
FvCallPool_Open(const fv_call_pool_t *pool)
{
    return pool->open;
}

static fv_destination_t *
find_or_add_destination(fv_call_pool_t *pool, const char *address)
{
    fv_destination_t *destination = NULL;
    const char *colon = strchr(address, ':');

    HASH_FIND_STR(pool->destinations, address, destination);
    if (destination != NULL || colon == NULL) {
        return destination;
    }
    destination = calloc(1, sizeof(*destination));
    if (destination == NULL) {
        return NULL;
    }
    FvText_Copy(destination->address, sizeof(destination->address), address);
    snprintf(destination->ip, sizeof(destination->ip), "%.*s",
             (int)(colon - address), address);
    destination->port = (uint16_t)strtoul(colon + 1, NULL, 10);
    HASH_ADD_STR(pool->destinations, address, destination);
    return destination;
}

static fv_connection_slot_t *
obtain_slot(fv_call_pool_t *pool, fv_destination_t *destination)
{
    fv_connection_slot_t *slot;

    for (slot = destination->slots; slot != NULL; slot = slot->next) {
        if (!slot->busy) {
            DL_DELETE2(pool->idle, slot, idle_prev, idle_next);
            return slot;
        }
    }
    /* libevent still uses a connection whose callback is running. */
    if (pool->open >= pool->open_max && pool->idle != NULL &&
        pool->idle != pool->in_callback) {
        close_idle_slot(pool, pool->idle);
    }
    if (pool->open >= pool->open_max) {
        return NULL;
    }
    slot = calloc(1, sizeof(*slot));
    if (slot == NULL) {
        return NULL;
    }
    slot->connection = evhttp_connection_base_new(
        pool->base, NULL, destination->ip, destination->port);
    if (slot->connection == NULL) {
        free(slot);
        return NULL;
    }
    /* With AF_UNSPEC libevent would probe the machine's interfaces. */
    evhttp_connection_set_family(slot->connection, AF_INET);
    evhttp_connection_set_max_body_size(slot->connection,
                                        Fv_CALL_ANSWER_MAX_BYTES);
    slot->destination = destination;
    LL_PREPEND(destination->slots, slot);
    pool->open++;
    return slot;
}

static void
release_slot(fv_call_pool_t *pool, fv_connection_slot_t *slot)
{
    slot->busy = false;
    slot->used_ms = FvClock_NowMs();
    DL_APPEND2(pool->idle, slot, idle_prev, idle_next);
}

static void
call_finished(struct evhttp_request *request, void *context)
{
    fv_pending_call_t *pending = context;
    fv_call_answer_t answer = {0};
    struct timeval idle = {.tv_sec = Fv_IDLE_CONNECTION_MS / 1000};

    if (request != NULL && evhttp_request_get_response_code(request) != 0) {
        struct evbuffer *body = evhttp_request_get_input_buffer(request);

        answer.status = evhttp_request_get_response_code(request);
        answer.length = evbuffer_get_length(body);
        answer.body = (const char *)evbuffer_pullup(body, -1);
    }
    if (pending->sending) {
        pending->failed = true;
        return;
    }
    release_slot(pending->pool, pending->slot);
    /* The call's timeout would also apply to the idle connection. */
    evhttp_connection_set_timeout_tv(pending->slot->connection, &idle);
    pending->pool->in_callback = pending->slot;
    pending->done(pending->context, &answer);
    pending->pool->in_callback = NULL;
    free(pending);
}

static enum evhttp_cmd_type
method_of(const fv_call_t *call)
{
    if (strcmp(call->method, "POST") == 0) {
        return EVHTTP_REQ_POST;
    }
    return strcmp(call->method, "DELETE") == 0 ? EVHTTP_REQ_DELETE
                                               : EVHTTP_REQ_GET;
}

static bool
send_request(fv_pending_call_t *pending, const fv_destination_t *destination,
             fv_call_t *call, int64_t timeout_ms)
{
    struct evhttp_request *request =
        evhttp_request_new(call_finished, pending);
    struct evkeyvalq *headers;
    struct timeval timeout = {
        .tv_sec = (time_t)(timeout_ms / 1000),
        .tv_usec = (suseconds_t)(timeout_ms % 1000 * 1000),
    };

    if (request == NULL) {
        return false;
    }
    headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", destination->address);
    if (call->instance[0] != '\0') {
        evhttp_add_header(headers, FvPlatform_InstanceHeader, call->instance);
    }
    if (call->body != NULL) {
        evhttp_add_header(headers, "Content-Type", "application/json");
        evbuffer_add(evhttp_request_get_output_buffer(request), call->body,
                     strlen(call->body));
    }
    evhttp_connection_set_timeout_tv(pending->slot->connection, &timeout);
    if (evhttp_make_request(pending->slot->connection, request,
                            method_of(call), call->path) != 0) {
        return false;
    }
    /* A connection that is opened for the request has lost its priority. */
    if (strcmp(destination->address, pending->pool->preferred) == 0 &&
        !pending->failed) {
        bufferevent_priority_set(
            evhttp_connection_get_bufferevent(pending->slot->connection),
            Fv_PRIORITY_PREFERRED);
    }
    return true;
}

static void
report_failure(evutil_socket_t fd, short what, void *context)
{
    fv_pending_call_t *pending = context;
    fv_call_answer_t none = {0};

    (void)fd;
    (void)what;
    pending->done(pending->context, &none);
    free(pending);
}

/**
 * FvCallPool_Send - send a request
 * @pool: the pool
 * @address: IPv4 address and port
 * @call: the request; its body is freed
 * @timeout_ms: timeout of each read, write or connect on the connection
 * @done: called once with the answer, after this function has returned
 * @context: passed to @done
 */
void
FvCallPool_Send(fv_call_pool_t *pool, const char *address, fv_call_t *call,
                int64_t timeout_ms, fv_call_done_t done, void *context)
{
    fv_destination_t *destination = find_or_add_destination(pool, address);
    fv_pending_call_t *pending = calloc(1, sizeof(*pending));
    struct timeval at_once = {0};

    if (pending == NULL) {
        abort(); /* without its callback the caller would wait forever */
    }
    *pending = (fv_pending_call_t){
        .pool = pool, .done = done, .context = context, .sending = true};
    if (destination != NULL) {
        pending->slot = obtain_slot(pool, destination);
    }
    if (pending->slot != NULL) {
        pending->slot->busy = true;
        if (!send_request(pending, destination, call, timeout_ms)) {
            pending->failed = true;
        }
        if (pending->failed) {
            release_slot(pool, pending->slot);
        }
    }
    pending->sending = false;
    if (pending->slot == NULL || pending->failed) {
        FvLog_Event(Fv_LOG_ERROR, "call_not_sent", "address=%s path=%s",
                    address, call->path);
        if (event_base_once(pool->base, -1, EV_TIMEOUT, report_failure,
                            pending, &at_once) != 0) {
            abort();
        }
    }
    free(call->body);
    call->body = NULL;
}
