/*
 * Forwarding core of fault-proxy. One thread polls all sockets; the functions
 * below hand it work and wait until it is done.
 */

#ifndef PROXY_H
#define PROXY_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct proxy proxy_t;

typedef enum proxy_mode {
    PROXY_MODE_RESTORE,   /* forward, with the route's own delay */
    PROXY_MODE_CUT,       /* refuse new and drop open connections */
    PROXY_MODE_BLACKHOLE, /* accept, read and discard */
    PROXY_MODE_FREEZE,    /* hold everything back until restored */
    PROXY_MODE_UNCHANGED  /* change other settings only */
} proxy_mode_t;

typedef struct proxy_fault {
    proxy_mode_t mode;
    int64_t delay_us;        /* one way; -1: unchanged */
    int64_t cut_after_bytes; /* of the answer; -1: unchanged */
} proxy_fault_t;

proxy_t *FvProxy_New(void);
bool FvProxy_AddRoute(proxy_t *proxy, const char *listen, const char *target,
                      int64_t delay_us);
bool FvProxy_Start(proxy_t *proxy);
bool FvProxy_ParseMode(const char *name, proxy_mode_t *mode);
bool FvProxy_ApplyFault(proxy_t *proxy, const char *route,
                        const proxy_fault_t *fault);
json_t *FvProxy_Counts(proxy_t *proxy);

#endif
