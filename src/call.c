/*
 * HTTP client over libevent with pooled connections, one request at a time on
 * each. The connections to one server are bounded; further calls wait for one,
 * the most urgent first. A connection that fails or times out is closed;
 * whether the server executed its request is then unknown, unless the request
 * was never written.
 */

#include "call-pool.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/util.h>
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Idle connections beyond the number kept at rest are closed after this. */
#define Fv_EXCESS_CONNECTION_MS 2000
#define Fv_SWEEP_MS 1000

static void dispatch(fv_destination_t *destination);

/* --- Calls -------------------------------------------------------------- */

static void
free_pending(fv_pending_call_t *pending)
{
    if (pending->wait_limit != NULL) {
        event_free(pending->wait_limit);
    }
    free(pending->call.body);
    free(pending);
}

static void
report_failure(evutil_socket_t fd, short what, void *context)
{
    fv_pending_call_t *pending = context;
    fv_call_answer_t none = {.not_sent = pending->not_sent,
                             .refused = pending->refused,
                             .waited_ms = pending->waited_ms};

    (void)fd;
    (void)what;
    pending->done(pending->context, &none);
    free_pending(pending);
}

/* Reports from the event loop, since the callers of the pool do not expect the
 * callback meanwhile. */
static void
fail_later(struct event_base *base, fv_pending_call_t *pending, bool not_sent,
           const char *cause)
{
    struct timeval at_once = {0};

    pending->not_sent = not_sent;
    if (not_sent) {
        FvMetrics_Add(Fv_COUNTER_CALLS_NOT_SENT, 1);
        FvLog_Event(
            Fv_LOG_INFO, "call_not_sent",
            "address=%s path=%s waited_ms=%" PRId64 " cause=%s",
            pending->destination != NULL ? pending->destination->address : "",
            pending->call.path, pending->waited_ms, cause);
    }
    if (event_base_once(base, -1, EV_TIMEOUT, report_failure, pending,
                        &at_once) != 0) {
        abort(); /* without its callback the caller would wait forever */
    }
}

static void
leave_queue(fv_pending_call_t *pending)
{
    DL_DELETE(pending->destination->waiting, pending);
    pending->destination->waiting_count--;
    pending->waited_ms = FvClock_NowMs() - pending->queued_ms;
    if (pending->wait_limit != NULL) {
        event_del(pending->wait_limit);
    }
}

static void
wait_limit_reached(evutil_socket_t fd, short what, void *context)
{
    fv_pending_call_t *pending = context;

    (void)fd;
    (void)what;
    leave_queue(pending);
    fail_later(pending->destination->pool->base, pending, true,
               "no_connection");
}

static void
dispatch_blocked(fv_call_pool_t *pool)
{
    fv_destination_t *destination = pool->blocked;

    if (destination != NULL &&
        (pool->open < pool->open_max || pool->idle != NULL)) {
        DL_DELETE2(pool->blocked, destination, blocked_prev, blocked_next);
        destination->blocked = false;
        dispatch(destination);
    }
}

/* libevent does not tell a connect that timed out from one that failed. */
static bool
has_timed_out(const fv_pending_call_t *pending)
{
    return FvClock_NowMs() - pending->queued_ms - pending->waited_ms >=
           pending->terms.timeout_ms;
}

static void
call_failed(enum evhttp_request_error error, void *context)
{
    fv_pending_call_t *pending = context;

    pending->closed = error == EVREQ_HTTP_EOF;
}

static void
call_finished(struct evhttp_request *request, void *context)
{
    fv_pending_call_t *pending = context;
    fv_connection_slot_t *slot = pending->slot;
    fv_destination_t *destination = pending->destination;
    fv_call_pool_t *pool = destination->pool;
    fv_call_answer_t answer = {.waited_ms = pending->waited_ms};

    if (request != NULL && evhttp_request_get_response_code(request) != 0) {
        struct evbuffer *body = evhttp_request_get_input_buffer(request);

        answer.status = evhttp_request_get_response_code(request);
        answer.length = evbuffer_get_length(body);
        answer.body = (const char *)evbuffer_pullup(body, -1);
    }
    pending->refused = answer.status == 0 && !slot->written &&
                       !has_timed_out(pending) &&
                       EVUTIL_SOCKET_ERROR() != ECONNRESET;
    if (pending->sending) {
        pending->failed = true;
        return;
    }
    answer.not_sent = answer.status == 0 && !slot->written;
    answer.refused = pending->refused;
    answer.closed = answer.status == 0 && slot->written && pending->closed;
    FvCallConnection_Release(slot, answer.status != 0, has_timed_out(pending));
    pool->in_callback = slot;
    pending->done(pending->context, &answer);
    pool->in_callback = NULL;
    free_pending(pending);
    dispatch(destination);
    dispatch_blocked(pool);
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
send_request(fv_pending_call_t *pending)
{
    fv_destination_t *destination = pending->destination;
    const fv_call_t *call = &pending->call;
    struct evhttp_request *request =
        evhttp_request_new(call_finished, pending);
    struct evkeyvalq *headers;
    int64_t timeout_ms = pending->terms.timeout_ms;
    struct timeval timeout = {
        .tv_sec = (time_t)(timeout_ms / 1000),
        .tv_usec = (suseconds_t)(timeout_ms % 1000 * 1000),
    };

    if (request == NULL) {
        return false;
    }
    evhttp_request_set_error_cb(request, call_failed);
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
    if (strcmp(destination->address, destination->pool->preferred) == 0 &&
        !pending->failed) {
        bufferevent_priority_set(
            evhttp_connection_get_bufferevent(pending->slot->connection),
            Fv_PRIORITY_PREFERRED);
    }
    return true;
}

static void
begin_call(fv_pending_call_t *pending, fv_connection_slot_t *slot)
{
    pending->slot = slot;
    slot->pending = pending;
    slot->written = false;
    if (pending->terms.urgency == Fv_CALL_LONG_POLL) {
        slot->destination->long_polls++;
    }
    pending->sending = true;
    if (!send_request(pending)) {
        pending->failed = true;
    }
    pending->sending = false;
    if (pending->failed) {
        bool written = slot->written;

        FvCallConnection_Release(slot, false, true);
        fail_later(pending->destination->pool->base, pending, !written,
                   "refused");
        return;
    }
    free(pending->call.body);
    pending->call.body = NULL;
}

/* Sends waiting calls for as long as there are connections for them. */
static void
dispatch(fv_destination_t *destination)
{
    fv_pending_call_t *pending;
    fv_pending_call_t *next;

    for (pending = destination->waiting; pending != NULL; pending = next) {
        fv_connection_slot_t *slot =
            FvCallConnection_Obtain(destination, &pending->terms);

        next = pending->next;
        if (slot != NULL) {
            leave_queue(pending);
            begin_call(pending, slot);
        }
    }
}

static int
compare_urgency(const fv_pending_call_t *a, const fv_pending_call_t *b)
{
    return (int)a->terms.urgency - (int)b->terms.urgency;
}

static void
enqueue(fv_pending_call_t *pending)
{
    fv_destination_t *destination = pending->destination;
    fv_pending_call_t *next = destination->waiting;

    while (next != NULL && compare_urgency(next, pending) <= 0) {
        next = next->next;
    }
    if (next == NULL) {
        DL_APPEND(destination->waiting, pending);
    }
    else {
        DL_PREPEND_ELEM(destination->waiting, next, pending);
    }
    destination->waiting_count++;
}

static void
limit_wait(fv_pending_call_t *pending)
{
    int64_t limit_ms = pending->terms.timeout_ms;
    struct timeval limit = {
        .tv_sec = (time_t)(limit_ms / 1000),
        .tv_usec = (suseconds_t)(limit_ms % 1000 * 1000),
    };

    FvMetrics_Add(Fv_COUNTER_CALL_WAITS, 1);
    pending->wait_limit = event_new(pending->destination->pool->base, -1, 0,
                                    wait_limit_reached, pending);
    if (pending->wait_limit == NULL) {
        abort(); /* the caller could wait forever */
    }
    event_add(pending->wait_limit, &limit);
}

/* --- The pool ----------------------------------------------------------- */

static void
remove_destination(fv_call_pool_t *pool, fv_destination_t *destination)
{
    if (destination->blocked) {
        DL_DELETE2(pool->blocked, destination, blocked_prev, blocked_next);
    }
    /* uthash unlinks the entry, which the analyzer does not see. */
    /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
    HASH_DEL(pool->destinations, destination);
    free(destination);
}

static void
sweep_destination(fv_destination_t *destination, int64_t now_ms)
{
    fv_connection_slot_t *slot;
    fv_connection_slot_t *next;

    for (slot = destination->slots; slot != NULL; slot = next) {
        next = slot->next;
        if (!slot->open) {
            FvCallConnection_Free(slot);
        }
        else if (slot->pending == NULL &&
                 (slot->leaving ||
                  (destination->open > destination->bounds->rest_max &&
                   now_ms - slot->used_ms >= Fv_EXCESS_CONNECTION_MS))) {
            FvCallConnection_CloseIdle(slot);
        }
    }
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
        FvCallConnection_CloseIdle(pool->idle);
    }
    for (destination = pool->destinations; destination != NULL;
         destination = next) {
        next = destination->hh.next;
        sweep_destination(destination, now_ms);
        if (destination->slots == NULL && destination->waiting == NULL) {
            remove_destination(pool, destination);
        }
    }
    dispatch_blocked(pool);
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
    fv_pending_call_t *next_pending;

    if (pool == NULL) {
        return;
    }
    event_free(pool->sweep);
    for (destination = pool->destinations; destination != NULL;
         destination = next) {
        next = destination->hh.next;
        while (destination->slots != NULL) {
            FvCallConnection_Free(destination->slots);
        }
        for (fv_pending_call_t *pending = destination->waiting;
             pending != NULL; pending = next_pending) {
            next_pending = pending->next;
            free_pending(pending);
        }
        remove_destination(pool, destination);
    }
    free(pool);
}

/**
 * FvCallPool_OnClosed - learn of the ends of servers
 * @pool: the pool
 * @closed: called when a server closes a connection at rest; it may not send
 *          calls to that server; NULL to learn of none
 * @context: passed to @closed
 */
void
FvCallPool_OnClosed(fv_call_pool_t *pool, fv_connection_closed_t closed,
                    void *context)
{
    pool->closed = closed;
    pool->closed_context = context;
}

static void
fail_connecting(fv_destination_t *destination, fv_call_urgency_t kind)
{
    fv_connection_slot_t *next;

    for (fv_connection_slot_t *slot = destination->slots; slot != NULL;
         slot = next) {
        fv_pending_call_t *pending = slot->pending;

        next = slot->next;
        if (pending != NULL && !slot->written &&
            pending->terms.urgency == kind) {
            FvCallConnection_Release(slot, false, true);
            FvCallConnection_Free(slot);
            fail_later(destination->pool->base, pending, true, "server_gone");
        }
    }
}

/**
 * FvCallPool_FailUnsent - fail the calls to a server of which nothing was
 * written yet
 * @pool: the pool
 * @address: the server's address
 * @kind: the kind of call to fail
 *
 * The calls end without an answer, after this function has returned.
 */
void
FvCallPool_FailUnsent(fv_call_pool_t *pool, const char *address,
                      fv_call_urgency_t kind)
{
    fv_destination_t *destination;
    fv_pending_call_t *pending;
    fv_pending_call_t *next;

    HASH_FIND_STR(pool->destinations, address, destination);
    if (destination == NULL) {
        return;
    }
    for (pending = destination->waiting; pending != NULL; pending = next) {
        next = pending->next;
        if (pending->terms.urgency == kind) {
            leave_queue(pending);
            fail_later(pool->base, pending, true, "server_gone");
        }
    }
    fail_connecting(destination, kind);
}

static void
close_destination(fv_destination_t *destination)
{
    fv_call_pool_t *pool = destination->pool;
    fv_connection_slot_t *slot;
    fv_connection_slot_t *next;

    while (destination->waiting != NULL) {
        fv_pending_call_t *pending = destination->waiting;

        leave_queue(pending);
        fail_later(pool->base, pending, true, "closed");
    }
    for (slot = destination->slots; slot != NULL; slot = next) {
        fv_pending_call_t *pending = slot->pending;

        next = slot->next;
        if (slot == pool->in_callback) {
            slot->leaving = true; /* libevent still uses it */
            continue;
        }
        if (pending != NULL) {
            fail_later(pool->base, pending, !slot->written, "closed");
            FvCallConnection_Release(slot, false, true);
            FvCallConnection_Free(slot);
        }
        else if (slot->open) {
            FvCallConnection_CloseIdle(slot);
        }
        else {
            FvCallConnection_Free(slot);
        }
    }
}

/**
 * FvCallPool_Close - close the connections to a kind of server
 * @pool: the pool
 * @bounds: the bounds that the calls to these servers have
 *
 * Calls that wait or are in progress end without an answer, after this
 * function has returned.
 */
void
FvCallPool_Close(fv_call_pool_t *pool, const fv_call_bounds_t *bounds)
{
    for (fv_destination_t *destination = pool->destinations;
         destination != NULL; destination = destination->hh.next) {
        if (destination->bounds == bounds) {
            close_destination(destination);
        }
    }
    dispatch_blocked(pool);
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

/**
 * FvCallPool_MayLongPoll - whether a server has a connection to spare for a
 * long poll
 * @pool: the pool
 * @address: the server
 *
 * Return: false when it takes no new connections and has one at most.
 */
bool
FvCallPool_MayLongPoll(const fv_call_pool_t *pool, const char *address)
{
    fv_destination_t *destination = NULL;

    HASH_FIND_STR(pool->destinations, address, destination);
    return destination == NULL || destination->limited_for_ms == 0 ||
           destination->open > 1;
}

/**
 * FvCallPool_NoteIncarnation - note which process has sent an answer
 * @pool: the pool, in the callback of the answer
 * @incarnation: the process; not 0
 */
void
FvCallPool_NoteIncarnation(fv_call_pool_t *pool, int64_t incarnation)
{
    if (pool->in_callback != NULL && pool->in_callback->open) {
        pool->in_callback->incarnation = incarnation;
    }
}

/**
 * FvCallPool_LacksConnection - whether calls to an incarnation of a server
 * wait for another connection to it
 * @pool: the pool
 * @address: the server
 * @incarnation: the process
 *
 * Return: true when more of them wait than there are connections that they
 * can share, and a call to any incarnation may add one.
 */
bool
FvCallPool_LacksConnection(const fv_call_pool_t *pool, const char *address,
                           int64_t incarnation)
{
    fv_destination_t *destination = NULL;
    uint32_t waiting = 0;
    uint32_t known = 0;
    uint32_t shared = 0;

    HASH_FIND_STR(pool->destinations, address, destination);
    if (destination == NULL || incarnation == 0) {
        return false;
    }
    for (const fv_pending_call_t *pending = destination->waiting;
         pending != NULL; pending = pending->next) {
        waiting += pending->terms.incarnation == incarnation ? 1 : 0;
    }
    for (const fv_connection_slot_t *slot = destination->slots; slot != NULL;
         slot = slot->next) {
        if (slot->open && slot->incarnation == incarnation) {
            known++;
            shared += slot->pending == NULL ||
                              slot->pending->terms.urgency != Fv_CALL_LONG_POLL
                          ? 1
                          : 0;
        }
    }
    return waiting > shared &&
           (known < destination->open ||
            (destination->limited_for_ms == 0 &&
             destination->open < destination->bounds->open_max));
}

static fv_destination_t *
find_or_add_destination(fv_call_pool_t *pool, const char *address,
                        const fv_call_bounds_t *bounds)
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
    destination->pool = pool;
    destination->bounds = bounds;
    FvText_Copy(destination->address, sizeof(destination->address), address);
    snprintf(destination->ip, sizeof(destination->ip), "%.*s",
             (int)(colon - address), address);
    destination->port = (uint16_t)strtoul(colon + 1, NULL, 10);
    HASH_ADD_STR(pool->destinations, address, destination);
    return destination;
}

/**
 * FvCallPool_Send - send a request, at once or when a connection is free
 * @pool: the pool
 * @address: IPv4 address and port
 * @call: the request; the pool takes its body
 * @terms: their timeout_ms limits the wait for a connection, and then each
 *         read, write or connect on it
 * @done: called once with the answer, after this function has returned
 * @context: passed to @done
 */
void
FvCallPool_Send(fv_call_pool_t *pool, const char *address, fv_call_t *call,
                const fv_call_terms_t *terms, fv_call_done_t done,
                void *context)
{
    fv_pending_call_t *pending = calloc(1, sizeof(*pending));

    if (pending == NULL) {
        abort(); /* without its callback the caller would wait forever */
    }
    *pending = (fv_pending_call_t){
        .destination = find_or_add_destination(pool, address, terms->bounds),
        .call = *call,
        .terms = *terms,
        .queued_ms = FvClock_NowMs(),
        .done = done,
        .context = context};
    call->body = NULL;
    if (pending->destination == NULL) {
        fail_later(pool->base, pending, true, "no_address");
        return;
    }
    enqueue(pending);
    dispatch(pending->destination);
    if (pending->slot == NULL) {
        limit_wait(pending);
    }
}
