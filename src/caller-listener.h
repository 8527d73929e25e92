/*
 * A listening socket whose connections a server accepts, with breaks in which
 * they wait in the kernel.
 */

#ifndef CALLER_LISTENER_H
#define CALLER_LISTENER_H

#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <stdbool.h>

typedef struct fv_caller_listener {
    struct event_base *base;
    struct evhttp *server;
    int fd;                            /* -1: accepts no more */
    struct evhttp_bound_socket *bound; /* NULL: has a break */
} fv_caller_listener_t;

bool FvCallerListener_Open(fv_caller_listener_t *listener,
                           const struct sockaddr_in *address, int backlog);
void FvCallerListener_Pause(fv_caller_listener_t *listener);
bool FvCallerListener_Resume(fv_caller_listener_t *listener);
bool FvCallerListener_IsPaused(const fv_caller_listener_t *listener);
bool FvCallerListener_AreWaiting(const fv_caller_listener_t *listener);
void FvCallerListener_Close(fv_caller_listener_t *listener);

#endif
