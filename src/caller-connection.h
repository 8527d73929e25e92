/*
 * Connections of callers, as the kernel and the event loop see them.
 */

#ifndef CALLER_CONNECTION_H
#define CALLER_CONNECTION_H

#include <event2/http.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct fv_caller_connections fv_caller_connections_t;

/* Numbers of connections; one may count in several fields. */
typedef struct fv_caller_traffic {
    uint32_t connections;
    uint32_t receiving;      /* with bytes of a request not yet handled */
    uint32_t unwritten;      /* with bytes of a reply left in the process */
    uint32_t unacknowledged; /* with bytes that the caller's host has not
                                acknowledged */
} fv_caller_traffic_t;

fv_caller_connections_t *FvCallerConnections_New(struct event_base *base);
void FvCallerConnections_Free(fv_caller_connections_t *connections);
void FvCallerConnections_Attach(fv_caller_connections_t *connections,
                                struct evhttp *server);
void FvCallerConnections_RequestRead(fv_caller_connections_t *connections,
                                     struct evhttp_request *request);
bool FvCallerConnections_HasInput(struct evhttp_request *request);
void FvCallerConnections_Linger(fv_caller_connections_t *connections);
void FvCallerConnections_Reap(fv_caller_connections_t *connections);
void FvCallerConnections_Count(const fv_caller_connections_t *connections,
                               fv_caller_traffic_t *traffic);

#endif
