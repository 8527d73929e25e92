/*
 * Connections of callers, as the kernel and the event loop see them.
 */

#ifndef CALLER_CONNECTION_H
#define CALLER_CONNECTION_H

#include "caller-limits.h"

#include <event2/http.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

/* Of a request, by docs/platform.md. */
#define Fv_BODY_MAX_BYTES 262144
#define Fv_HEADERS_MAX_BYTES 16384

/* Buffers of a connection in the kernel. A body of 262,144 bytes takes 16
 * round trips of at most 46 ms with this receive buffer, a quarter of the
 * usual deadline of 3,000 ms; answers have a few hundred bytes. */
#define Fv_CALLER_RECEIVE_BYTES 16384
#define Fv_CALLER_SEND_BYTES 8192

typedef struct fv_caller_connections fv_caller_connections_t;

/* Numbers of connections; one may count in several fields. */
typedef struct fv_caller_traffic {
    uint32_t connections;
    uint32_t receiving;      /* with bytes of a request not yet handled */
    uint32_t unwritten;      /* with bytes of a reply left in the process */
    uint32_t unacknowledged; /* with bytes that the caller's host has not
                                acknowledged */
} fv_caller_traffic_t;

fv_caller_connections_t *
FvCallerConnections_New(struct event_base *base,
                        const fv_caller_limits_t *limits);
void FvCallerConnections_Free(fv_caller_connections_t *connections);
void FvCallerConnections_Attach(fv_caller_connections_t *connections,
                                struct evhttp *server, fv_caller_port_t port);
bool FvCallerConnections_Listen(fv_caller_connections_t *connections,
                                fv_caller_port_t port,
                                const struct sockaddr_in *address);
bool
FvCallerConnections_IsListening(const fv_caller_connections_t *connections,
                                fv_caller_port_t port);
void FvCallerConnections_StopListening(fv_caller_connections_t *connections,
                                       fv_caller_port_t port, bool at_once);
void FvCallerConnections_RequestRead(fv_caller_connections_t *connections,
                                     struct evhttp_request *request);
bool FvCallerConnections_HasInput(struct evhttp_request *request);
bool FvCallerConnections_HasRoom(fv_caller_connections_t *connections);
void FvCallerConnections_Linger(fv_caller_connections_t *connections);
void FvCallerConnections_Reap(fv_caller_connections_t *connections);
void FvCallerConnections_Count(const fv_caller_connections_t *connections,
                               fv_caller_traffic_t *traffic);

#endif
