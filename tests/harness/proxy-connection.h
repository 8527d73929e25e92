/*
 * A connection of fault-proxy: one queue of delayed chunks per direction.
 * Only the poll thread calls these functions, with the proxy's lock held.
 */

#ifndef PROXY_CONNECTION_H
#define PROXY_CONNECTION_H

#include "proxy.h"

#include <netinet/in.h>
#include <stddef.h>

typedef struct proxy_chunk {
    struct proxy_chunk *next;
    int64_t due_ns;
    size_t length; /* 0: end of the stream */
    size_t offset;
    uint8_t data[];
} proxy_chunk_t;

typedef struct proxy_pipe {
    proxy_chunk_t *head;
    proxy_chunk_t *tail;
    size_t queued_bytes;
    int64_t last_due_ns; /* lower bound of the next chunk's due_ns */
    bool read_closed;
    bool write_closed;
} proxy_pipe_t;

typedef struct proxy_connection proxy_connection_t;

typedef struct proxy_route {
    char listen_text[64];
    char target_text[64];
    struct sockaddr_in listen;
    struct sockaddr_in target;
    int socket; /* listener; -1 while connections are refused */
    proxy_mode_t mode;
    int64_t default_delay_us;
    int64_t delay_us;
    int64_t cut_after_bytes; /* -1: none */
    bool tells_callers;      /* a caller's first message has its name */
    uint32_t host;           /* number of the host that callers reach */
    bool refused;            /* nobody listens at the target */
    uint8_t held[PROXY_CALLERS_MAX]; /* PROXY_HOLD_* */
    uint64_t bytes_up;               /* forwarded to the target */
    uint64_t bytes_down;             /* forwarded to the client */
    uint64_t bytes_swallowed;        /* read and discarded in blackhole mode */
    uint64_t accepted;
    uint64_t open;
    proxy_connection_t *connections;
    struct proxy_route *next;
} proxy_route_t;

struct proxy_connection {
    proxy_route_t *route;
    int client;
    int target; /* -1: accepted in blackhole mode, or closed */
    bool connecting;
    bool refused;    /* by the target */
    bool lost_bytes; /* reset when the route is restored */
    bool closed;
    uint8_t caller;         /* number of the host plus 1; 0: not known */
    int64_t response_bytes; /* sent since cut_after_bytes was set */
    proxy_pipe_t up;        /* client to target */
    proxy_pipe_t down;      /* target to client */
    proxy_connection_t *next;
};

void FvProxyConnection_Accept(proxy_route_t *route, int64_t now_ns);
void FvProxyConnection_Drop(proxy_connection_t *connection, bool reset);
void FvProxyConnection_Free(proxy_connection_t *connection);
short FvProxyConnection_Events(const proxy_connection_t *connection,
                               bool client_side, int64_t now_ns);
void FvProxyConnection_Handle(proxy_connection_t *connection, bool client_side,
                              short events, int64_t now_ns);
void FvProxyConnection_DiscardQueued(proxy_connection_t *connection);
int64_t FvProxyConnection_NextDue(const proxy_connection_t *connection,
                                  int64_t now_ns);

#endif
