/*
 * TCP connections to the other entry hosts, on a thread of its own.
 *
 * Each host dials every other one and sends its requests and digests on the
 * connection that it dialed; replies return on the same connection. The first
 * three messages (challenge, hello, welcome) authenticate both sides by the
 * shared cluster key.
 */

#include "daemon.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define Fv_LINK_COMMAND_RING_SIZE 16384
#define Fv_LINK_CONNECTIONS_MAX 1024
#define Fv_LINK_HANDSHAKE_TIMEOUT_MS 2000
/* The dialing side sends a digest at least every 2 s, so a longer silence
 * means that it or the network has failed. */
#define Fv_LINK_IDLE_TIMEOUT_MS 15000
#define Fv_LINK_BACKOFF_MIN_MS 100
#define Fv_LINK_BACKOFF_MAX_MS 2000
#define Fv_LINK_POLL_TIMEOUT_MS 200

typedef struct fv_peer_address {
    char host[Fv_NAME_SIZE];
    char address[Fv_ADDRESS_SIZE];
    fv_connection_t *connection;
    int64_t dial_at_ms;
    int64_t backoff_ms;
} fv_peer_address_t;

typedef enum fv_link_command_kind {
    Fv_LINK_SET_PEERS,
    Fv_LINK_SEND_TO_HOST,
    Fv_LINK_SEND_ON_CONNECTION
} fv_link_command_kind_t;

typedef struct fv_link_command {
    fv_link_command_kind_t kind;
    char host[Fv_NAME_SIZE];
    uint64_t connection;
    fv_buffer_t frame;
    uint32_t peer_count;
    fv_peer_address_t *peers;
} fv_link_command_t;

struct fv_link {
    fv_daemon_t *daemon;
    pthread_t thread;
    bool thread_started;
    atomic_bool stop_requested;
    fv_ring_t *commands;
    int wake_fd;
    int listen_fd;
    uint64_t last_connection_id;
    uint32_t connection_count;
    fv_connection_t *connections;
    uint32_t peer_count;
    fv_peer_address_t *peers;
};

typedef enum fv_link_event_kind {
    Fv_LINK_EVENT_UP,
    Fv_LINK_EVENT_DOWN,
    Fv_LINK_EVENT_MESSAGE
} fv_link_event_kind_t;

/* Posted by the link thread to the scheduler thread. */
typedef struct fv_link_event {
    fv_event_t event;
    fv_daemon_t *daemon;
    fv_link_event_kind_t event_kind;
    char host[Fv_NAME_SIZE];
    uint64_t connection;
    fv_message_t message;
} fv_link_event_t;

static void
run_link_event(fv_event_t *event)
{
    fv_link_event_t *link_event = (fv_link_event_t *)event;
    fv_peers_t *peers = link_event->daemon->peers;

    switch (link_event->event_kind) {
    case Fv_LINK_EVENT_UP:
        FvPeers_OnLinkUp(peers, &link_event->message.body.hello);
        break;
    case Fv_LINK_EVENT_DOWN:
        FvPeers_OnLinkDown(peers, link_event->host);
        break;
    case Fv_LINK_EVENT_MESSAGE:
        FvPeers_OnMessage(peers, link_event->host, link_event->connection,
                          &link_event->message);
        break;
    }
}

static void
free_link_event(fv_event_t *event)
{
    fv_link_event_t *link_event = (fv_link_event_t *)event;

    FvWire_Clear(&link_event->message);
    free(link_event);
}

static const fv_event_type_t link_event_type = {
    .name = "link",
    .run = run_link_event,
    .free = free_link_event,
};

/* Posts an event to the scheduler thread; takes ownership of the message. */
static void
post_link_event(fv_link_t *link, fv_link_event_kind_t event_kind,
                const fv_connection_t *connection, fv_message_t *message)
{
    fv_link_event_t *event = calloc(1, sizeof(*event));

    if (event == NULL) {
        abort();
    }
    event->event.type = &link_event_type;
    event->daemon = link->daemon;
    event->event_kind = event_kind;
    event->connection = connection->id;
    FvText_Copy(event->host, sizeof(event->host), connection->host);
    if (message != NULL) {
        event->message = *message;
        *message = (fv_message_t){0};
    }
    FvLoop_Post(link->daemon->loop, &event->event);
}

static fv_connection_t *
add_connection(fv_link_t *link, int fd, bool dialed)
{
    fv_connection_t *connection = FvConnection_New(fd, dialed);

    if (connection == NULL) {
        close(fd);
        return NULL;
    }
    connection->id = ++link->last_connection_id;
    connection->deadline_ms = FvClock_NowMs() + Fv_LINK_HANDSHAKE_TIMEOUT_MS;
    connection->next = link->connections;
    link->connections = connection;
    link->connection_count++;
    return connection;
}

static fv_peer_address_t *
find_peer_by_connection(fv_link_t *link, const fv_connection_t *connection)
{
    for (uint32_t i = 0; i < link->peer_count; i++) {
        if (link->peers[i].connection == connection) {
            return &link->peers[i];
        }
    }
    return NULL;
}

static void
schedule_redial(fv_peer_address_t *peer)
{
    int64_t backoff_ms = peer->backoff_ms;

    if (backoff_ms == 0) {
        backoff_ms = Fv_LINK_BACKOFF_MIN_MS;
    }
    /* Jitter spreads the attempts of hosts that lost the same peer. */
    peer->dial_at_ms = FvClock_NowMs() + backoff_ms / 2 +
                       randombytes_uniform((uint32_t)backoff_ms);
    peer->backoff_ms = backoff_ms * 2 > Fv_LINK_BACKOFF_MAX_MS
                           ? Fv_LINK_BACKOFF_MAX_MS
                           : backoff_ms * 2;
}

/* Marks a connection closed; free_closed_connections releases it. */
static void
close_connection(fv_link_t *link, fv_connection_t *connection)
{
    fv_peer_address_t *peer;

    if (connection->state == Fv_CONNECTION_CLOSED) {
        return;
    }
    if (connection->dialed && connection->state == Fv_CONNECTION_READY) {
        post_link_event(link, Fv_LINK_EVENT_DOWN, connection, NULL);
    }
    peer = find_peer_by_connection(link, connection);
    if (peer != NULL) {
        peer->connection = NULL;
        schedule_redial(peer);
    }
    close(connection->fd);
    connection->state = Fv_CONNECTION_CLOSED;
}

static void
free_closed_connections(fv_link_t *link)
{
    fv_connection_t **position = &link->connections;

    while (*position != NULL) {
        fv_connection_t *connection = *position;

        if (connection->state != Fv_CONNECTION_CLOSED) {
            position = &connection->next;
            continue;
        }
        *position = connection->next;
        link->connection_count--;
        FvConnection_Free(connection);
    }
}

/* Starts the handshake on an accepted connection. */
static void
send_challenge(fv_link_t *link, fv_connection_t *connection)
{
    fv_message_t message = {.type = Fv_MESSAGE_CHALLENGE};

    FvHandshake_Challenge(link->daemon, connection->nonce,
                          &message.body.hello);
    connection->state = Fv_CONNECTION_HANDSHAKE;
    if (!FvConnection_Queue(connection, &message)) {
        close_connection(link, connection);
    }
}

static bool
answer_challenge(fv_link_t *link, fv_connection_t *connection,
                 const fv_hello_t *challenge)
{
    fv_message_t message = {.type = Fv_MESSAGE_HELLO};

    FvHandshake_Hello(link->daemon, challenge, connection->nonce,
                      &message.body.hello);
    return FvConnection_Queue(connection, &message);
}

static bool
accept_hello(fv_link_t *link, fv_connection_t *connection,
             const fv_hello_t *hello)
{
    fv_message_t message = {.type = Fv_MESSAGE_WELCOME};

    if (!FvHandshake_AcceptHello(link->daemon, connection->nonce, hello,
                                 &message.body.hello)) {
        return false;
    }
    FvText_Copy(connection->host, sizeof(connection->host), hello->host);
    connection->state = Fv_CONNECTION_READY;
    connection->deadline_ms = FvClock_NowMs() + Fv_LINK_IDLE_TIMEOUT_MS;
    return FvConnection_Queue(connection, &message);
}

static bool
accept_welcome(fv_link_t *link, fv_connection_t *connection,
               fv_message_t *message)
{
    fv_peer_address_t *peer = find_peer_by_connection(link, connection);

    if (!FvHandshake_AcceptWelcome(link->daemon, connection->nonce,
                                   connection->host, &message->body.hello)) {
        return false;
    }
    connection->state = Fv_CONNECTION_READY;
    if (peer != NULL) {
        peer->backoff_ms = 0;
    }
    post_link_event(link, Fv_LINK_EVENT_UP, connection, message);
    return true;
}

static bool
handle_handshake(fv_link_t *link, fv_connection_t *connection,
                 fv_message_t *message)
{
    if (connection->dialed && message->type == Fv_MESSAGE_CHALLENGE) {
        return answer_challenge(link, connection, &message->body.hello);
    }
    if (connection->dialed && message->type == Fv_MESSAGE_WELCOME) {
        return accept_welcome(link, connection, message);
    }
    if (!connection->dialed && message->type == Fv_MESSAGE_HELLO) {
        return accept_hello(link, connection, &message->body.hello);
    }
    return false;
}

static bool
handle_message(fv_link_t *link, fv_connection_t *connection,
               fv_message_t *message)
{
    if (connection->state != Fv_CONNECTION_READY) {
        return handle_handshake(link, connection, message);
    }
    if (message->type <= Fv_MESSAGE_WELCOME) {
        return false;
    }
    connection->deadline_ms = FvClock_NowMs() + Fv_LINK_IDLE_TIMEOUT_MS;
    post_link_event(link, Fv_LINK_EVENT_MESSAGE, connection, message);
    return true;
}

/* Reads available input and handles all complete messages in it. */
static void
read_input(fv_link_t *link, fv_connection_t *connection)
{
    fv_message_t message;
    fv_wire_error_t error;
    bool keep_open = FvConnection_Read(connection);

    while (keep_open &&
           FvConnection_NextMessage(connection, &message, &error)) {
        keep_open =
            error == Fv_WIRE_OK && handle_message(link, connection, &message);
        FvWire_Clear(&message);
        if (!keep_open) {
            FvMetrics_Add(Fv_COUNTER_LINK_REJECTED, 1);
            FvLog_Event(Fv_LOG_WARN, "link_closed",
                        "peer=%s reason=malformed_or_refused_frame",
                        connection->host);
        }
    }
    if (!keep_open) {
        close_connection(link, connection);
    }
}

static void
set_socket_options(int fd)
{
    int on = 1;
    int timeout_ms = Fv_LINK_IDLE_TIMEOUT_MS;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
               sizeof(timeout_ms));
}

static void
accept_connections(fv_link_t *link)
{
    int fd;

    while ((fd = accept4(link->listen_fd, NULL, NULL,
                         SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        fv_connection_t *connection;

        if (link->connection_count >= Fv_LINK_CONNECTIONS_MAX) {
            FvMetrics_Add(Fv_COUNTER_LINK_REJECTED, 1);
            close(fd);
            continue;
        }
        set_socket_options(fd);
        connection = add_connection(link, fd, false);
        if (connection != NULL) {
            send_challenge(link, connection);
        }
    }
}

static void
dial(fv_link_t *link, fv_peer_address_t *peer)
{
    struct sockaddr_in address;
    int fd;

    peer->dial_at_ms = INT64_MAX;
    if (!FvText_ParseAddress(peer->address, &address)) {
        FvLog_Event(Fv_LOG_ERROR, "link_address_invalid", "peer=%s address=%s",
                    peer->host, peer->address);
        return;
    }
    fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        schedule_redial(peer);
        return;
    }
    set_socket_options(fd);
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        schedule_redial(peer);
        return;
    }
    peer->connection = add_connection(link, fd, true);
    if (peer->connection != NULL) {
        FvText_Copy(peer->connection->host, Fv_NAME_SIZE, peer->host);
    }
}

static void
finish_connect(fv_link_t *link, fv_connection_t *connection)
{
    int error = 0;
    socklen_t size = sizeof(error);

    getsockopt(connection->fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        close_connection(link, connection);
        return;
    }
    connection->state = Fv_CONNECTION_HANDSHAKE;
}

static fv_peer_address_t *
find_peer(fv_peer_address_t *peers, uint32_t count, const char *host)
{
    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(peers[i].host, host) == 0) {
            return &peers[i];
        }
    }
    return NULL;
}

/* Replaces the list of peers. Connections to peers whose address has not
 * changed are kept. */
static void
apply_peers(fv_link_t *link, fv_link_command_t *command)
{
    for (uint32_t i = 0; i < link->peer_count; i++) {
        fv_peer_address_t *old = &link->peers[i];
        fv_peer_address_t *kept =
            find_peer(command->peers, command->peer_count, old->host);

        if (kept != NULL && strcmp(kept->address, old->address) == 0) {
            *kept = *old;
        }
        else if (old->connection != NULL) {
            close_connection(link, old->connection);
        }
    }
    free(link->peers);
    link->peers = command->peers;
    link->peer_count = command->peer_count;
    command->peers = NULL;
}

static fv_connection_t *
find_connection(fv_link_t *link, const fv_link_command_t *command)
{
    fv_connection_t *connection = link->connections;

    if (command->kind == Fv_LINK_SEND_TO_HOST) {
        fv_peer_address_t *peer =
            find_peer(link->peers, link->peer_count, command->host);

        return peer ? peer->connection : NULL;
    }
    while (connection != NULL && connection->id != command->connection) {
        connection = connection->next;
    }
    return connection;
}

static void
run_link_commands(fv_link_t *link)
{
    fv_link_command_t *command;

    while ((command = FvRing_Pop(link->commands, 0)) != NULL) {
        if (command->kind == Fv_LINK_SET_PEERS) {
            apply_peers(link, command);
        }
        else {
            fv_connection_t *connection = find_connection(link, command);

            if (connection != NULL &&
                connection->state == Fv_CONNECTION_READY &&
                !FvConnection_QueueFrame(connection, &command->frame)) {
                FvLog_Event(Fv_LOG_WARN, "link_closed",
                            "peer=%s reason=too_slow", connection->host);
                close_connection(link, connection);
            }
        }
        FvBuffer_Clear(&command->frame);
        free(command->peers);
        free(command);
    }
}

static void
handle_timeouts(fv_link_t *link)
{
    int64_t now_ms = FvClock_NowMs();

    for (fv_connection_t *connection = link->connections; connection != NULL;
         connection = connection->next) {
        bool times_out =
            connection->state != Fv_CONNECTION_READY || !connection->dialed;

        if (times_out && now_ms > connection->deadline_ms) {
            close_connection(link, connection);
        }
    }
    for (uint32_t i = 0; i < link->peer_count; i++) {
        fv_peer_address_t *peer = &link->peers[i];

        if (peer->connection == NULL && now_ms >= peer->dial_at_ms) {
            dial(link, peer);
        }
    }
}

static uint32_t
fill_poll_set(const fv_link_t *link, struct pollfd *set,
              fv_connection_t **polled)
{
    uint32_t count = 2;

    set[0] = (struct pollfd){.fd = link->wake_fd, .events = POLLIN};
    set[1] = (struct pollfd){.fd = link->listen_fd, .events = POLLIN};
    for (fv_connection_t *connection = link->connections;
         connection != NULL && count < 2 * Fv_LINK_CONNECTIONS_MAX + 2;
         connection = connection->next) {
        short events = POLLIN;

        if (connection->state == Fv_CONNECTION_CONNECTING) {
            events = POLLOUT;
        }
        else if (connection->out.length > connection->out_sent) {
            events |= POLLOUT;
        }
        polled[count] = connection;
        set[count++] = (struct pollfd){.fd = connection->fd, .events = events};
    }
    return count;
}

static void
handle_poll_events(fv_link_t *link, fv_connection_t *connection, short events)
{
    if (connection->state == Fv_CONNECTION_CLOSED || events == 0) {
        return;
    }
    if (connection->state == Fv_CONNECTION_CONNECTING) {
        finish_connect(link, connection);
        return;
    }
    if (events & (POLLIN | POLLHUP | POLLERR)) {
        read_input(link, connection);
    }
}

static void
flush_output(fv_link_t *link)
{
    for (fv_connection_t *connection = link->connections; connection != NULL;
         connection = connection->next) {
        if (connection->state == Fv_CONNECTION_HANDSHAKE ||
            connection->state == Fv_CONNECTION_READY) {
            if (!FvConnection_Flush(connection)) {
                close_connection(link, connection);
            }
        }
    }
}

static void *
run_link(void *context)
{
    static struct pollfd set[2 * Fv_LINK_CONNECTIONS_MAX + 2];
    static fv_connection_t *polled[2 * Fv_LINK_CONNECTIONS_MAX + 2];
    fv_link_t *link = context;

    while (!atomic_load(&link->stop_requested)) {
        uint32_t count = fill_poll_set(link, set, polled);

        poll(set, count, Fv_LINK_POLL_TIMEOUT_MS);
        if (set[0].revents != 0) {
            eventfd_t value;

            eventfd_read(link->wake_fd, &value);
        }
        for (uint32_t i = 2; i < count; i++) {
            handle_poll_events(link, polled[i], set[i].revents);
        }
        if (set[1].revents != 0) {
            accept_connections(link);
        }
        run_link_commands(link);
        handle_timeouts(link);
        flush_output(link);
        free_closed_connections(link);
    }
    return NULL;
}

static int
open_listener(const char *text)
{
    struct sockaddr_in address;
    int on = 1;
    int fd;

    if (!FvText_ParseAddress(text, &address)) {
        return -1;
    }
    fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, SOMAXCONN) != 0) {
        FvLog_Event(Fv_LOG_ERROR, "link_listen_failed", "address=%s error=%s",
                    text, strerror(errno));
        close(fd);
        return -1;
    }
    return fd;
}

/**
 * FvLink_New - listen for peers and start the link thread
 * @daemon: the daemon; its settings, key and loop must be set
 *
 * Return: the link, or NULL on failure.
 */
fv_link_t *
FvLink_New(fv_daemon_t *daemon)
{
    fv_link_t *link = calloc(1, sizeof(*link));

    if (link == NULL) {
        return NULL;
    }
    link->daemon = daemon;
    link->listen_fd = open_listener(daemon->settings.link_address);
    link->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    link->commands = FvRing_New(Fv_LINK_COMMAND_RING_SIZE);
    if (link->listen_fd < 0 || link->wake_fd < 0 || link->commands == NULL ||
        pthread_create(&link->thread, NULL, run_link, link) != 0) {
        FvLink_Free(link);
        return NULL;
    }
    link->thread_started = true;
    return link;
}

/**
 * FvLink_Free - stop the link thread and close all connections
 * @link: the link, or NULL
 */
void
FvLink_Free(fv_link_t *link)
{
    if (link == NULL) {
        return;
    }
    if (link->thread_started) {
        atomic_store(&link->stop_requested, true);
        eventfd_write(link->wake_fd, 1);
        pthread_join(link->thread, NULL);
        run_link_commands(link);
    }
    for (fv_connection_t *connection = link->connections; connection != NULL;
         connection = connection->next) {
        close_connection(link, connection);
    }
    free_closed_connections(link);
    if (link->listen_fd >= 0) {
        close(link->listen_fd);
    }
    if (link->wake_fd >= 0) {
        close(link->wake_fd);
    }
    free(link->peers);
    FvRing_Free(link->commands);
    free(link);
}

static bool
push_link_command(fv_link_t *link, const fv_link_command_t *command)
{
    fv_link_command_t *copy = malloc(sizeof(*copy));

    if (copy == NULL) {
        return false;
    }
    *copy = *command;
    if (!FvRing_TryPush(link->commands, copy)) {
        free(copy);
        return false;
    }
    eventfd_write(link->wake_fd, 1);
    return true;
}

/**
 * FvLink_SetPeers - set the hosts to keep connections to
 * @link: the link
 * @hosts: the known hosts; this host and unlisted ones are ignored
 *
 * Return: false if the command ring is full or memory is exhausted; the caller
 * has to repeat the call.
 */
bool
FvLink_SetPeers(fv_link_t *link, const fv_hosts_t *hosts)
{
    fv_link_command_t command = {.kind = Fv_LINK_SET_PEERS};

    command.peers = calloc(hosts->count + 1, sizeof(*command.peers));
    if (command.peers == NULL) {
        return false;
    }
    for (uint32_t i = 0; i < hosts->count; i++) {
        const fv_host_t *host = hosts->entries[i];
        fv_peer_address_t *peer = &command.peers[command.peer_count];

        if (host == link->daemon->self || !host->listed ||
            host->link_address[0] == '\0') {
            continue;
        }
        FvText_Copy(peer->host, sizeof(peer->host), host->name);
        FvText_Copy(peer->address, sizeof(peer->address), host->link_address);
        command.peer_count++;
    }
    if (!push_link_command(link, &command)) {
        free(command.peers);
        return false;
    }
    return true;
}

static size_t
push_frame(fv_link_t *link, fv_link_command_t *command,
           const fv_message_t *message)
{
    fv_wire_error_t error = FvWire_Pack(message, &command->frame);
    size_t length = command->frame.length;

    if (error != Fv_WIRE_OK || !push_link_command(link, command)) {
        FvLog_Event(Fv_LOG_WARN, "link_send_failed",
                    "peer=%s message=%d error=%d", command->host,
                    (int)message->type, (int)error);
        FvBuffer_Clear(&command->frame);
        return 0;
    }
    return length;
}

/**
 * FvLink_SendTo - send on the connection dialed to a host
 * @link: the link
 * @host: the host's name
 * @message: the message; the caller keeps ownership
 *
 * The message is dropped without an error if the connection is not ready.
 *
 * Return: the size of the frame in bytes, or 0 if it was certainly not sent.
 */
size_t
FvLink_SendTo(fv_link_t *link, const char *host, const fv_message_t *message)
{
    fv_link_command_t command = {.kind = Fv_LINK_SEND_TO_HOST};

    FvText_Copy(command.host, sizeof(command.host), host);
    return push_frame(link, &command, message);
}

/**
 * FvLink_ReplyOn - send on the connection on which a request arrived
 * @link: the link
 * @connection: the connection's id
 * @message: the message; the caller keeps ownership
 *
 * Return: the size of the frame in bytes, or 0 if it was certainly not sent.
 */
size_t
FvLink_ReplyOn(fv_link_t *link, uint64_t connection,
               const fv_message_t *message)
{
    fv_link_command_t command = {.kind = Fv_LINK_SEND_ON_CONNECTION,
                                 .connection = connection};

    return push_frame(link, &command, message);
}
