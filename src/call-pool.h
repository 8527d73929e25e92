/*
 * Internal types of the call pool, shared by call.c and call-connection.c.
 */

#ifndef CALL_POOL_H
#define CALL_POOL_H

#include "entry.h"

/* Idle connections are closed after this, well before the platform's load
 * balancers drop them. */
#define Fv_IDLE_CONNECTION_MS 30000

typedef struct fv_destination fv_destination_t;
typedef struct fv_pending_call fv_pending_call_t;

typedef struct fv_connection_slot {
    struct evhttp_connection *connection;
    fv_destination_t *destination;
    fv_pending_call_t *pending;      /* NULL: idle or closed */
    struct fv_connection_slot *next; /* of the destination */
    struct fv_connection_slot *idle_next;
    struct fv_connection_slot *idle_prev;
    bool open;
    bool closed;         /* by either side during the current call */
    bool probe;          /* opened while the server was at its limit */
    bool proven;         /* has carried an answer */
    bool written;        /* the current request, at least in part */
    bool leaving;        /* gets no further call and is closed by the sweep */
    int64_t incarnation; /* of the server's process; 0: not known */
    int64_t used_ms;
} fv_connection_slot_t;

struct fv_destination {
    fv_call_pool_t *pool;
    char address[Fv_ADDRESS_SIZE];
    char ip[Fv_ADDRESS_SIZE];
    uint16_t port;
    const fv_call_bounds_t *bounds;
    fv_connection_slot_t *slots; /* closed ones included */
    uint32_t open;
    uint32_t long_polls;        /* in progress */
    fv_pending_call_t *waiting; /* by urgency, then by time */
    uint32_t waiting_count;
    bool blocked;           /* waits for the limit of the pool */
    int64_t limited_for_ms; /* 0: the server takes new connections */
    int64_t limited_until_ms;
    fv_destination_t *blocked_next;
    fv_destination_t *blocked_prev;
    UT_hash_handle hh;
};

struct fv_call_pool {
    struct event_base *base;
    struct event *sweep;
    fv_destination_t *destinations;
    fv_destination_t *blocked;
    fv_connection_slot_t *idle;        /* least recently used first */
    fv_connection_slot_t *in_callback; /* its callback is running */
    uint32_t open;
    uint32_t open_max;
    char preferred[Fv_ADDRESS_SIZE]; /* "": none */
    fv_connection_closed_t closed;   /* or NULL */
    void *closed_context;
};

struct fv_pending_call {
    fv_destination_t *destination; /* NULL: the address is malformed */
    fv_connection_slot_t *slot;    /* NULL: waits */
    fv_call_t call;                /* until it is sent */
    fv_call_terms_t terms;
    int64_t queued_ms;
    int64_t waited_ms;
    struct event *wait_limit; /* NULL: did not have to wait */
    fv_call_done_t done;
    void *context;
    bool sending;  /* the request is being handed to libevent */
    bool failed;   /* meanwhile */
    bool closed;   /* the server closed the connection */
    bool not_sent; /* of a failure that is reported later */
    bool refused;
    fv_pending_call_t *prev;
    fv_pending_call_t *next;
};

/* call-connection.c */
void FvCallConnection_Free(fv_connection_slot_t *slot);
void FvCallConnection_CloseIdle(fv_connection_slot_t *slot);
fv_connection_slot_t *FvCallConnection_Obtain(fv_destination_t *destination,
                                              const fv_call_terms_t *terms);
void FvCallConnection_Release(fv_connection_slot_t *slot, bool answered,
                              bool timed_out);

#endif
