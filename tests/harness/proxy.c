/*
 * Routes and poll loop of fault-proxy.
 */

#include "proxy.h"

#include "fireflyvalve.h"
#include "proxy-connection.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define PROXY_BACKLOG 1024
/* Timeout of a poll; a command interrupts the poll. */
#define PROXY_POLL_NS Fv_NS_PER_S
/* The same while a target refuses connections. */
#define PROXY_REFUSED_POLL_NS (20 * Fv_NS_PER_MS)
/* A port of this machine accepts or refuses a connection at once. */
#define PROXY_PROBE_MS 20

/* Owner of a poll entry: the listener of a route when connection is NULL, the
 * wake-up descriptor when route is NULL too. */
typedef struct poll_owner {
    proxy_route_t *route;
    proxy_connection_t *connection;
    bool client_side;
} poll_owner_t;

typedef struct poll_set {
    struct pollfd *entries;
    poll_owner_t *owners;
    size_t count;
    size_t capacity;
} poll_set_t;

/* Sent by a control thread, executed by the poll thread. */
typedef struct proxy_command {
    const char *route;
    proxy_fault_t fault;
    bool pending;
    bool found;
} proxy_command_t;

struct proxy {
    pthread_mutex_t command_lock; /* held until a command is executed */
    pthread_mutex_t lock;
    pthread_cond_t command_done;
    proxy_command_t command;
    int wake_fd;
    uint32_t host_count; /* routes whose callers tell their names */
    proxy_route_t *routes;
    poll_set_t set;
};

/**
 * FvProxy_New - allocate a proxy without routes
 *
 * Return: the proxy.
 */
proxy_t *
FvProxy_New(void)
{
    proxy_t *proxy = calloc(1, sizeof(*proxy));

    if (proxy == NULL) {
        abort();
    }
    pthread_mutex_init(&proxy->command_lock, NULL);
    pthread_mutex_init(&proxy->lock, NULL);
    pthread_cond_init(&proxy->command_done, NULL);
    proxy->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    return proxy;
}

static bool
parse_address(const char *text, struct sockaddr_in *address)
{
    char ip[64];
    unsigned port = 0;

    *address = (struct sockaddr_in){.sin_family = AF_INET};
    if (sscanf(text, "%63[^:]:%u", ip, &port) != 2 || port > UINT16_MAX) {
        return false;
    }
    address->sin_port = htons((uint16_t)port);
    return inet_pton(AF_INET, ip, &address->sin_addr) == 1;
}

static bool
open_listener(proxy_route_t *route)
{
    int on = 1;

    route->socket =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (route->socket < 0) {
        return false;
    }
    setsockopt(route->socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(route->socket, (const struct sockaddr *)&route->listen,
             sizeof(route->listen)) != 0 ||
        listen(route->socket, PROXY_BACKLOG) != 0) {
        close(route->socket);
        route->socket = -1;
        return false;
    }
    return true;
}

/**
 * FvProxy_AddRoute - add a route before the proxy is started
 * @proxy: the proxy
 * @listen: IP:PORT to accept on; also the route's name
 * @target: IP:PORT to connect to
 * @delay_us: default delay in each direction
 * @tells_callers: the first message of a connection has the name of the host
 *                 that calls, so that its connections can be held alone
 *
 * Return: false when an address is malformed or in use.
 */
bool
FvProxy_AddRoute(proxy_t *proxy, const char *listen, const char *target,
                 int64_t delay_us, bool tells_callers)
{
    proxy_route_t *route = calloc(1, sizeof(*route));

    if (route == NULL) {
        abort();
    }
    route->default_delay_us = delay_us;
    route->delay_us = delay_us;
    route->cut_after_bytes = -1;
    route->tells_callers = tells_callers;
    route->host = tells_callers ? proxy->host_count++ : 0;
    snprintf(route->listen_text, sizeof(route->listen_text), "%s", listen);
    snprintf(route->target_text, sizeof(route->target_text), "%s", target);
    if (!parse_address(listen, &route->listen) ||
        !parse_address(target, &route->target) || !open_listener(route)) {
        free(route);
        return false;
    }
    route->next = proxy->routes;
    proxy->routes = route;
    return true;
}

static void
cut_route(proxy_route_t *route)
{
    if (route->socket >= 0) {
        close(route->socket);
        route->socket = -1;
    }
    for (proxy_connection_t *connection = route->connections;
         connection != NULL; connection = connection->next) {
        FvProxyConnection_Drop(connection, true);
    }
}

static void
discard_in_flight(proxy_route_t *route)
{
    for (proxy_connection_t *connection = route->connections;
         connection != NULL; connection = connection->next) {
        FvProxyConnection_DiscardQueued(connection);
    }
}

/* Resets the connections that lost bytes: their streams are incomplete. */
static void
restore_route(proxy_route_t *route)
{
    route->delay_us = route->default_delay_us;
    route->cut_after_bytes = -1;
    for (proxy_connection_t *connection = route->connections;
         connection != NULL; connection = connection->next) {
        if (connection->lost_bytes) {
            FvProxyConnection_Drop(connection, true);
        }
    }
}

static void
set_mode(proxy_route_t *route, proxy_mode_t mode)
{
    if (mode == PROXY_MODE_UNCHANGED) {
        return;
    }
    route->mode = mode;
    if (mode == PROXY_MODE_CUT) {
        cut_route(route);
        return;
    }
    if (mode == PROXY_MODE_BLACKHOLE) {
        discard_in_flight(route);
    }
    else if (mode == PROXY_MODE_RESTORE) {
        restore_route(route);
    }
    if (route->socket < 0 && !route->refused && !open_listener(route)) {
        fprintf(stderr, "fault-proxy: cannot listen on %s again\n",
                route->listen_text);
    }
}

static bool
target_refuses(const proxy_route_t *route)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    struct pollfd entry = {.fd = fd, .events = POLLOUT};
    int error = 0;
    socklen_t size = sizeof(error);

    if (fd < 0) {
        return false;
    }
    if (connect(fd, (const struct sockaddr *)&route->target,
                sizeof(route->target)) != 0) {
        error = errno;
    }
    if (error == EINPROGRESS && poll(&entry, 1, PROXY_PROBE_MS) > 0) {
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    }
    close(fd);
    return error == ECONNREFUSED;
}

/* Hosts take a leader whose port refuses connections for dead, so the route
 * to a host refuses them as long as the host does. */
static void
update_refusal(proxy_route_t *route)
{
    bool refuses = target_refuses(route);

    if (refuses && !route->refused && route->socket >= 0) {
        close(route->socket);
        route->socket = -1;
    }
    if (!refuses && route->refused && route->mode != PROXY_MODE_CUT &&
        !open_listener(route)) {
        return; /* tried again */
    }
    route->refused = refuses;
}

/* The end of a connection between hosts may be that of a host: looks at it
 * before the other host learns of the end. */
static void
note_end(proxy_t *proxy, const proxy_connection_t *connection)
{
    bool refused = connection->refused || connection->down.read_closed;
    uint32_t caller = connection->up.read_closed ? connection->caller : 0;

    for (proxy_route_t *route = proxy->routes; route != NULL;
         route = route->next) {
        if (route->tells_callers &&
            ((refused && route == connection->route) ||
             (caller > 0 && route->host == caller - 1))) {
            update_refusal(route);
        }
    }
}

static void
set_cut_after(proxy_route_t *route, int64_t bytes)
{
    route->cut_after_bytes = bytes;
    for (proxy_connection_t *connection = route->connections;
         connection != NULL; connection = connection->next) {
        connection->response_bytes = 0;
    }
}

static void
run_command(proxy_t *proxy)
{
    proxy_command_t *command = &proxy->command;
    bool all = strcmp(command->route, "*") == 0;

    for (proxy_route_t *route = proxy->routes; route != NULL;
         route = route->next) {
        if (!all && strcmp(command->route, route->listen_text) != 0) {
            continue;
        }
        command->found = true;
        set_mode(route, command->fault.mode);
        if (command->fault.delay_us >= 0) {
            route->delay_us = command->fault.delay_us;
        }
        if (command->fault.cut_after_bytes >= 0) {
            set_cut_after(route, command->fault.cut_after_bytes);
        }
        if (command->fault.held != NULL) {
            memcpy(route->held, command->fault.held, sizeof(route->held));
        }
    }
    command->pending = false;
    pthread_cond_broadcast(&proxy->command_done);
}

static void
add_poll_entry(poll_set_t *set, int socket, short events, poll_owner_t owner)
{
    if (set->count == set->capacity) {
        set->capacity = set->capacity * 2 + 256;
        set->entries =
            realloc(set->entries, set->capacity * sizeof(*set->entries));
        set->owners =
            realloc(set->owners, set->capacity * sizeof(*set->owners));
        if (set->entries == NULL || set->owners == NULL) {
            abort();
        }
    }
    set->entries[set->count] = (struct pollfd){.fd = socket, .events = events};
    set->owners[set->count] = owner;
    set->count++;
}

/* Omits a socket without requested events: poll() would report a closed peer
 * again on every call. */
static void
add_side(poll_set_t *set, proxy_connection_t *connection, bool client_side,
         int64_t now_ns)
{
    int socket = client_side ? connection->client : connection->target;
    short events;

    if (socket < 0) {
        return;
    }
    events = FvProxyConnection_Events(connection, client_side, now_ns);
    if (events != 0) {
        add_poll_entry(
            set, socket, events,
            (poll_owner_t){connection->route, connection, client_side});
    }
}

static void
free_closed(proxy_route_t *route)
{
    proxy_connection_t **link = &route->connections;

    while (*link != NULL) {
        proxy_connection_t *connection = *link;

        if (connection->closed) {
            *link = connection->next;
            FvProxyConnection_Free(connection);
        }
        else {
            link = &connection->next;
        }
    }
}

/* Returns the time at which the poll ends. */
static int64_t
build_poll_set(proxy_t *proxy, int64_t now_ns)
{
    int64_t due_ns = now_ns + PROXY_POLL_NS;

    proxy->set.count = 0;
    add_poll_entry(&proxy->set, proxy->wake_fd, POLLIN, (poll_owner_t){0});
    for (proxy_route_t *route = proxy->routes; route != NULL;
         route = route->next) {
        free_closed(route);
        if (route->refused) {
            update_refusal(route);
            due_ns = now_ns + PROXY_REFUSED_POLL_NS;
        }
        if (route->mode == PROXY_MODE_FREEZE) {
            continue;
        }
        if (route->socket >= 0) {
            add_poll_entry(&proxy->set, route->socket, POLLIN,
                           (poll_owner_t){route, NULL, false});
        }
        for (proxy_connection_t *connection = route->connections;
             connection != NULL; connection = connection->next) {
            int64_t next_ns = FvProxyConnection_NextDue(connection, now_ns);

            add_side(&proxy->set, connection, true, now_ns);
            add_side(&proxy->set, connection, false, now_ns);
            due_ns = next_ns < due_ns ? next_ns : due_ns;
        }
    }
    return due_ns;
}

static void
handle_entry(proxy_t *proxy, size_t index, int64_t now_ns)
{
    const poll_owner_t *owner = &proxy->set.owners[index];
    short events = proxy->set.entries[index].revents;
    uint64_t count;

    if (events == 0) {
        return;
    }
    if (owner->route == NULL) {
        (void)!read(proxy->wake_fd, &count, sizeof(count));
    }
    else if (owner->connection == NULL) {
        FvProxyConnection_Accept(owner->route, now_ns);
    }
    else {
        FvProxyConnection_Handle(owner->connection, owner->client_side, events,
                                 now_ns);
        if (owner->route->tells_callers) {
            note_end(proxy, owner->connection);
        }
    }
}

static void *
run_poll_loop(void *context)
{
    proxy_t *proxy = context;

    pthread_mutex_lock(&proxy->lock);
    for (;;) {
        int64_t now_ns = FvClock_NowNs();
        int64_t wait_ns = build_poll_set(proxy, now_ns) - now_ns;
        struct timespec wait = {.tv_sec = (time_t)(wait_ns / Fv_NS_PER_S),
                                .tv_nsec = (long)(wait_ns % Fv_NS_PER_S)};

        pthread_mutex_unlock(&proxy->lock);
        ppoll(proxy->set.entries, proxy->set.count, &wait, NULL);
        pthread_mutex_lock(&proxy->lock);
        now_ns = FvClock_NowNs();
        for (size_t i = 0; i < proxy->set.count; i++) {
            handle_entry(proxy, i, now_ns);
        }
        if (proxy->command.pending) {
            run_command(proxy);
        }
    }
    return NULL;
}

/**
 * FvProxy_Start - start the poll thread
 * @proxy: the proxy
 *
 * Return: false when the thread cannot be started.
 */
bool
FvProxy_Start(proxy_t *proxy)
{
    pthread_t thread;

    if (pthread_create(&thread, NULL, run_poll_loop, proxy) != 0) {
        return false;
    }
    pthread_detach(thread);
    return true;
}

/**
 * FvProxy_ParseMode - parse the name of a mode
 * @name: restore, cut, blackhole or freeze
 * @mode: set on success
 *
 * Return: false for another name.
 */
bool
FvProxy_ParseMode(const char *name, proxy_mode_t *mode)
{
    static const char *const names[] = {"restore", "cut", "blackhole",
                                        "freeze"};

    for (int i = 0; i < 4; i++) {
        if (strcmp(name, names[i]) == 0) {
            *mode = (proxy_mode_t)i;
            return true;
        }
    }
    return false;
}

/**
 * FvProxy_ApplyFault - change the settings of routes
 * @proxy: the proxy
 * @route: a route's listen address, or * for all
 * @fault: the new settings; effective when the function returns
 *
 * Return: false when there is no such route.
 */
bool
FvProxy_ApplyFault(proxy_t *proxy, const char *route,
                   const proxy_fault_t *fault)
{
    uint64_t one = 1;
    bool found;

    pthread_mutex_lock(&proxy->command_lock);
    pthread_mutex_lock(&proxy->lock);
    proxy->command =
        (proxy_command_t){.route = route, .fault = *fault, .pending = true};
    (void)!write(proxy->wake_fd, &one, sizeof(one));
    while (proxy->command.pending) {
        pthread_cond_wait(&proxy->command_done, &proxy->lock);
    }
    found = proxy->command.found;
    pthread_mutex_unlock(&proxy->lock);
    pthread_mutex_unlock(&proxy->command_lock);
    return found;
}

static json_t *
route_json(const proxy_route_t *route)
{
    static const char *const names[] = {"restore", "cut", "blackhole",
                                        "freeze"};

    return json_pack(
        "{s:s, s:s, s:s, s:f, s:I, s:I, s:I, s:I, s:I}", "listen",
        route->listen_text, "target", route->target_text, "mode",
        names[route->mode], "delay_ms", (double)route->delay_us / 1000,
        "bytes_up", (json_int_t)route->bytes_up, "bytes_down",
        (json_int_t)route->bytes_down, "bytes_swallowed",
        (json_int_t)route->bytes_swallowed, "accepted",
        (json_int_t)route->accepted, "open", (json_int_t)route->open);
}

/**
 * FvProxy_Counts - report the settings and counters of each route
 * @proxy: the proxy
 *
 * Return: a new document.
 */
json_t *
FvProxy_Counts(proxy_t *proxy)
{
    json_t *routes = json_array();

    pthread_mutex_lock(&proxy->lock);
    for (const proxy_route_t *route = proxy->routes; route != NULL;
         route = route->next) {
        json_array_append_new(routes, route_json(route));
    }
    pthread_mutex_unlock(&proxy->lock);
    return json_pack("{s:o}", "routes", routes);
}
