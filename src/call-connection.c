/*
 * Connections of the call pool: how many a server gets, which one a call gets,
 * and what is known of a server that takes no further ones.
 */

#include "call-pool.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/util.h>
#include <errno.h>
#include <stdlib.h>
#include <utlist.h>

#define Fv_CALL_ANSWER_MAX_BYTES (8 * 1024 * 1024)

/* After a server has reset a new connection, no other is opened for this long;
 * the time is doubled for as long as the server resets new ones. */
#define Fv_LIMITED_MIN_MS 2000
#define Fv_LIMITED_MAX_MS 16000

static void
note_closed(fv_connection_slot_t *slot)
{
    slot->open = false;
    slot->closed = false;
    slot->proven = false;
    slot->leaving = false;
    slot->incarnation = 0;
    slot->destination->open--;
    slot->destination->pool->open--;
}

/**
 * FvCallConnection_Free - free a connection that is closed or no longer used
 * @slot: the connection, not one whose callback is running
 */
void
FvCallConnection_Free(fv_connection_slot_t *slot)
{
    LL_DELETE(slot->destination->slots, slot);
    evhttp_connection_set_closecb(slot->connection, NULL, NULL);
    evhttp_connection_free(slot->connection);
    free(slot);
}

/**
 * FvCallConnection_CloseIdle - close an idle connection
 * @slot: the connection, which is freed
 */
void
FvCallConnection_CloseIdle(fv_connection_slot_t *slot)
{
    DL_DELETE2(slot->destination->pool->idle, slot, idle_prev, idle_next);
    note_closed(slot);
    FvCallConnection_Free(slot);
}

static void
connection_closed(struct evhttp_connection *connection, void *context)
{
    fv_connection_slot_t *slot = context;
    fv_call_pool_t *pool = slot->destination->pool;

    (void)connection;
    if (slot->pending != NULL) {
        slot->closed = true; /* its call is about to finish */
    }
    else if (slot->open) {
        bool expired =
            FvClock_NowMs() - slot->used_ms >= Fv_IDLE_CONNECTION_MS;

        DL_DELETE2(pool->idle, slot, idle_prev, idle_next);
        note_closed(slot);
        if (!expired && pool->closed != NULL) {
            pool->closed(pool->closed_context, slot->destination->address);
        }
    }
}

static void
output_changed(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
               void *context)
{
    fv_connection_slot_t *slot = context;

    (void)buffer;
    slot->written = slot->written || info->n_added > 0;
}

static fv_connection_slot_t *
add_slot(fv_destination_t *destination)
{
    fv_connection_slot_t *slot = calloc(1, sizeof(*slot));

    if (slot == NULL) {
        return NULL;
    }
    slot->connection = evhttp_connection_base_new(
        destination->pool->base, NULL, destination->ip, destination->port);
    if (slot->connection == NULL) {
        free(slot);
        return NULL;
    }
    /* With AF_UNSPEC libevent would probe the machine's interfaces. */
    evhttp_connection_set_family(slot->connection, AF_INET);
    evhttp_connection_set_max_body_size(slot->connection,
                                        Fv_CALL_ANSWER_MAX_BYTES);
    evhttp_connection_set_closecb(slot->connection, connection_closed, slot);
    /* libevent queues a request for output once it is connected. */
    evbuffer_add_cb(bufferevent_get_output(
                        evhttp_connection_get_bufferevent(slot->connection)),
                    output_changed, slot);
    slot->destination = destination;
    LL_PREPEND(destination->slots, slot);
    return slot;
}

/* Returns a closed slot, which connects when a request is made. */
static fv_connection_slot_t *
open_slot(fv_destination_t *destination)
{
    fv_call_pool_t *pool = destination->pool;
    fv_connection_slot_t *slot = destination->slots;

    /* libevent still uses a connection whose callback is running. */
    if (pool->open >= pool->open_max && pool->idle != NULL &&
        pool->idle != pool->in_callback) {
        FvCallConnection_CloseIdle(pool->idle);
    }
    if (pool->open >= pool->open_max) {
        if (!destination->blocked) {
            destination->blocked = true;
            DL_APPEND2(pool->blocked, destination, blocked_prev, blocked_next);
        }
        return NULL;
    }
    while (slot != NULL && slot->open) {
        slot = slot->next;
    }
    if (slot == NULL) {
        slot = add_slot(destination);
    }
    if (slot != NULL) {
        slot->open = true;
        slot->probe = destination->limited_for_ms != 0;
        destination->open++;
        pool->open++;
        FvMetrics_Add(Fv_COUNTER_CONNECTIONS_OPENED, 1);
    }
    return slot;
}

/* Calls to any incarnation leave the connections to a known one to others. */
static fv_connection_slot_t *
take_idle_slot(fv_destination_t *destination, int64_t incarnation)
{
    fv_connection_slot_t *found = NULL;

    for (fv_connection_slot_t *slot = destination->slots; slot != NULL;
         slot = slot->next) {
        if (slot->open && slot->pending == NULL && !slot->leaving &&
            (incarnation == 0 || slot->incarnation == incarnation) &&
            (found == NULL || slot->incarnation == 0)) {
            found = slot;
        }
    }
    if (found != NULL) {
        DL_DELETE2(destination->pool->idle, found, idle_prev, idle_next);
    }
    return found;
}

/* A server at its limit serves the connections that it has. Another is tried
 * with a renewal, which may be lost, and not while one that carries answers
 * could be lost to it. */
static bool
may_open(const fv_destination_t *destination, const fv_call_terms_t *terms,
         int64_t now_ms)
{
    const fv_call_bounds_t *bounds = destination->bounds;
    uint32_t shared = destination->open - destination->long_polls;

    if (destination->open >= bounds->open_max || terms->incarnation != 0) {
        return false;
    }
    if (destination->limited_for_ms != 0) {
        return terms->urgency >= Fv_CALL_RENEWAL &&
               (destination->open == 0 ||
                now_ms >= destination->limited_until_ms);
    }
    return shared == 0 || !bounds->waits_for_shared ||
           destination->waiting_count > shared;
}

/**
 * FvCallConnection_Obtain - find or open a connection for a call
 * @destination: the server
 * @terms: of the call
 *
 * Return: the connection, or NULL when the call has to wait.
 */
fv_connection_slot_t *
FvCallConnection_Obtain(fv_destination_t *destination,
                        const fv_call_terms_t *terms)
{
    int64_t now_ms = FvClock_NowMs();
    bool probe = destination->limited_for_ms != 0 &&
                 destination->open < destination->bounds->rest_max;
    fv_connection_slot_t *slot = NULL;

    if (probe && may_open(destination, terms, now_ms)) {
        return open_slot(destination);
    }
    slot = take_idle_slot(destination, terms->incarnation);
    if (slot == NULL && may_open(destination, terms, now_ms)) {
        slot = open_slot(destination);
    }
    return slot;
}

/* The limit is gone when a connection opened since then is answered beside
 * another. */
static void
note_taken(const fv_connection_slot_t *slot)
{
    fv_destination_t *destination = slot->destination;

    if (slot->probe && destination->open >= destination->bounds->rest_max) {
        destination->limited_for_ms = 0;
        FvLog_Event(Fv_LOG_INFO, "connections_taken", "address=%s open=%u",
                    destination->address, destination->open);
    }
}

static void
note_reset(const fv_connection_slot_t *slot)
{
    fv_destination_t *destination = slot->destination;
    int64_t now_ms = FvClock_NowMs();
    int64_t wait_ms = destination->limited_for_ms * 2;

    FvMetrics_Add(Fv_COUNTER_CONNECTIONS_RESET, 1);
    FvLog_Event(Fv_LOG_WARN, "connection_reset",
                "address=%s open=%u waiting=%u written=%d",
                destination->address, destination->open - 1,
                destination->waiting_count, slot->written ? 1 : 0);
    if (destination->limited_for_ms != 0 &&
        now_ms < destination->limited_until_ms) {
        return; /* opened before the limit was known */
    }
    if (wait_ms < Fv_LIMITED_MIN_MS) {
        wait_ms = Fv_LIMITED_MIN_MS;
    }
    destination->limited_for_ms =
        wait_ms < Fv_LIMITED_MAX_MS ? wait_ms : Fv_LIMITED_MAX_MS;
    destination->limited_until_ms = now_ms + destination->limited_for_ms;
}

/* Tells a server that takes no further connection from one that is silent or
 * refuses all connections. */
static void
note_first_use(const fv_connection_slot_t *slot, bool answered, bool timed_out)
{
    bool reset =
        !timed_out && (slot->written || EVUTIL_SOCKET_ERROR() == ECONNRESET);

    if (slot->proven || !slot->destination->bounds->server_limits) {
        return;
    }
    if (answered) {
        note_taken(slot);
    }
    else if (reset) {
        note_reset(slot);
    }
}

/**
 * FvCallConnection_Release - end the use of a connection by a call
 * @slot: the connection
 * @answered: whether the call was answered; else the connection is closed
 * @timed_out: whether this host ended the call
 */
void
FvCallConnection_Release(fv_connection_slot_t *slot, bool answered,
                         bool timed_out)
{
    fv_call_pool_t *pool = slot->destination->pool;
    struct timeval idle = {.tv_sec = Fv_IDLE_CONNECTION_MS / 1000};

    note_first_use(slot, answered, timed_out);
    if (slot->pending->terms.urgency == Fv_CALL_LONG_POLL) {
        slot->destination->long_polls--;
    }
    slot->pending = NULL;
    slot->used_ms = FvClock_NowMs();
    /* libevent closes a connection whose request fails. */
    if (!answered || slot->closed) {
        note_closed(slot);
        return;
    }
    slot->proven = true;
    /* The call's timeout would also apply to the idle connection. */
    evhttp_connection_set_timeout_tv(slot->connection, &idle);
    DL_APPEND2(pool->idle, slot, idle_prev, idle_next);
}
