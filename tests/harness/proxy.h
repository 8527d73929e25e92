/*
 * Routes of fault-proxy. One thread polls all sockets; FvProxy_ApplyFault()
 * passes it a command and waits until the command is executed.
 */

#ifndef PROXY_H
#define PROXY_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct proxy proxy_t;

typedef enum proxy_mode {
    PROXY_MODE_RESTORE,   /* forward with the route's default delay */
    PROXY_MODE_CUT,       /* refuse new connections, reset open ones */
    PROXY_MODE_BLACKHOLE, /* accept, read and discard */
    PROXY_MODE_FREEZE,    /* do not accept, read or write until restored */
    PROXY_MODE_UNCHANGED  /* change the delay or the byte limit only */
} proxy_mode_t;

/* Directions of a connection whose bytes wait in the sockets until they are
 * released, as those of a link that loses packets wait to be sent again. */
#define PROXY_HOLD_UP 1u   /* from the client */
#define PROXY_HOLD_DOWN 2u /* to the client */

/* Index 0 stands for connections whose caller is not known. */
#define PROXY_CALLERS_MAX 71

typedef struct proxy_fault {
    proxy_mode_t mode;
    int64_t delay_us;        /* in each direction; -1: unchanged */
    int64_t cut_after_bytes; /* of the response; -1: unchanged */
    const uint8_t *held;     /* PROXY_HOLD_* of each caller; NULL: unchanged */
} proxy_fault_t;

proxy_t *FvProxy_New(void);
bool FvProxy_AddRoute(proxy_t *proxy, const char *listen, const char *target,
                      int64_t delay_us, bool tells_callers);
bool FvProxy_Start(proxy_t *proxy);
bool FvProxy_ParseMode(const char *name, proxy_mode_t *mode);
bool FvProxy_ApplyFault(proxy_t *proxy, const char *route,
                        const proxy_fault_t *fault);
json_t *FvProxy_Counts(proxy_t *proxy);

#endif
