/*
 * A listening socket whose connections a server accepts, with breaks in which
 * they wait in the kernel. libevent goes on accepting until the kernel has no
 * more, also when its listener is disabled meanwhile; it stops when the
 * listener is freed, so the listener is freed and made again on the socket.
 */

#include "caller-listener.h"

#include "caller-connection.h"

#include <event2/listener.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

/* Accepted sockets get the buffer sizes of the listening one. */
static bool
set_options(int fd)
{
    const int on = 1;
    const int receive_bytes = Fv_CALLER_RECEIVE_BYTES;
    const int send_bytes = Fv_CALLER_SEND_BYTES;

    return setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0 &&
           setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on)) == 0 &&
           setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                      sizeof(receive_bytes)) == 0 &&
           setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &send_bytes,
                      sizeof(send_bytes)) == 0;
}

/**
 * FvCallerListener_Open - listen and accept
 * @listener: the listener, with its event loop and server
 * @address: where to listen
 * @backlog: connections that the kernel holds until they are accepted
 *
 * Return: false when the address cannot be bound.
 */
bool
FvCallerListener_Open(fv_caller_listener_t *listener,
                      const struct sockaddr_in *address, int backlog)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

    listener->fd = fd;
    if (fd >= 0 && set_options(fd) &&
        bind(fd, (const struct sockaddr *)address, sizeof(*address)) == 0 &&
        listen(fd, backlog) == 0 && FvCallerListener_Resume(listener)) {
        return true;
    }
    FvCallerListener_Close(listener);
    return false;
}

/**
 * FvCallerListener_Pause - leave further connections in the kernel
 * @listener: the listener; its server may be accepting one
 */
void
FvCallerListener_Pause(fv_caller_listener_t *listener)
{
    if (listener->bound != NULL) {
        evhttp_del_accept_socket(listener->server, listener->bound);
        listener->bound = NULL;
    }
}

/**
 * FvCallerListener_Resume - accept again after a break
 * @listener: the listener, which listens
 *
 * Return: false when memory is exhausted.
 */
bool
FvCallerListener_Resume(fv_caller_listener_t *listener)
{
    struct evconnlistener *accepting = evconnlistener_new(
        listener->base, NULL, NULL, LEV_OPT_CLOSE_ON_EXEC, 0, listener->fd);

    if (accepting == NULL) {
        return false;
    }
    listener->bound = evhttp_bind_listener(listener->server, accepting);
    if (listener->bound == NULL) {
        evconnlistener_free(accepting);
    }
    return listener->bound != NULL;
}

/**
 * FvCallerListener_IsPaused - whether it has a break
 * @listener: the listener
 *
 * Return: false also when it does not listen at all.
 */
bool
FvCallerListener_IsPaused(const fv_caller_listener_t *listener)
{
    return listener->fd >= 0 && listener->bound == NULL;
}

/**
 * FvCallerListener_AreWaiting - whether the kernel has connections that were
 * not accepted yet
 * @listener: the listener, which listens
 *
 * Return: true when there are some.
 */
bool
FvCallerListener_AreWaiting(const fv_caller_listener_t *listener)
{
    struct pollfd waiting = {.fd = listener->fd, .events = POLLIN};

    return poll(&waiting, 1, 0) > 0;
}

/**
 * FvCallerListener_Close - accept no more
 * @listener: the listener
 */
void
FvCallerListener_Close(fv_caller_listener_t *listener)
{
    FvCallerListener_Pause(listener);
    if (listener->fd >= 0) {
        close(listener->fd);
    }
    listener->fd = -1;
}
