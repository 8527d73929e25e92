/*
 * An HTTP server with a limit of connections, within the test's event loop.
 */

#ifndef LIMITED_SERVER_H
#define LIMITED_SERVER_H

#include "entry.h"

/* Takes a number of connections, resets further ones, and answers requests on
 * the others when the test says so. */
typedef struct limited_server {
    struct event_base *base;
    struct event *listen;
    int listener;
    char address[Fv_ADDRESS_SIZE];
    uint32_t connections_max;
    uint32_t connections; /* taken */
    uint32_t accepted;
    uint32_t resets;
    uint32_t delay_ms;
    bool silent;
    bool closes;                /* the connection, instead of an answer */
    struct bufferevent *latest; /* connection accepted */
    uint32_t requests;
} limited_server_t;

void FvLimitedServer_Open(limited_server_t *server, struct event_base *base,
                          uint32_t connections_max);
void FvLimitedServer_Close(limited_server_t *server);

#endif
