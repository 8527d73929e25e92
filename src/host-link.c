/*
 * Connections between hosts. A frame is a 4-byte big-endian length and one
 * msgpack array. The leader dials every registered host; the host sends its
 * callers' requests to the leader over the same connection.
 */

#include "entry.h"
#include "msgpack-fields.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

#define Fv_LINK_FRAME_MAX_BYTES (2 * 1024 * 1024)
#define Fv_LINK_FIELDS 6
#define Fv_LINK_CHECK_FIELDS 2
#define Fv_LINK_HEADER_BYTES 4

/* How long a closed connection may make no progress before it is dropped. */
#define Fv_LINK_FINISH_S 1

/* Limit of unsent data; a peer that does not read gets no more messages. */
#define Fv_LINK_BACKLOG_MAX_BYTES (8 * 1024 * 1024)

struct fv_link_peer {
    fv_links_t *links;
    struct bufferevent *stream;
    char name[Fv_NAME_SIZE];
    bool dialed;
    bool opened;
    bool closing;
    const char *error; /* why it ended; NULL: this host closed it */
    int64_t last_received_ms;
    /* Of the latest message Fv_CELL_MESSAGE_CALLER. */
    int64_t checked_request; /* its id; 0: none */
    char customer[Fv_NAME_SIZE];
    fv_caller_check_t check;
    fv_link_peer_t *next;
};

struct fv_links {
    struct event_base *base;
    fv_links_events_t events;
    struct evconnlistener *listener;
    fv_link_peer_t *peers;
    fv_link_peer_t *finishing; /* closed, until the peer has everything */
};

/**
 * FvLinks_Name - the peer's host name
 * @peer: the peer
 *
 * Return: its name, "" while it is not known.
 */
const char *
FvLinks_Name(const fv_link_peer_t *peer)
{
    return peer->name;
}

/**
 * FvLinks_Error - why a connection ended
 * @peer: the peer
 *
 * Return: a text for the log; NULL when this host closed it.
 */
const char *
FvLinks_Error(const fv_link_peer_t *peer)
{
    return peer->error;
}

/**
 * FvLinks_SetName - set the peer's host name
 * @peer: the peer
 * @name: its name
 */
void
FvLinks_SetName(fv_link_peer_t *peer, const char *name)
{
    if (!FvText_Copy(peer->name, sizeof(peer->name), name)) {
        FvLog_Event(Fv_LOG_WARN, "peer_name_too_long", "name=%s", name);
    }
}

/**
 * FvLinks_Dialed - whether this host opened the connection
 * @peer: the peer
 *
 * Return: false when the peer opened it.
 */
bool
FvLinks_Dialed(const fv_link_peer_t *peer)
{
    return peer->dialed;
}

static void
unlink_peer(fv_link_peer_t **link, const fv_link_peer_t *peer)
{
    while (*link != peer) {
        link = &(*link)->next;
    }
    *link = peer->next;
}

static bool
detach_peer(fv_link_peer_t *peer)
{
    fv_links_t *links = peer->links;

    if (peer->closing) {
        return false;
    }
    peer->closing = true;
    unlink_peer(&links->peers, peer);
    links->events.closed(links->events.context, peer);
    return true;
}

static void
free_peer(fv_link_peer_t *peer)
{
    bufferevent_free(peer->stream);
    free(peer);
}

static void
close_peer(fv_link_peer_t *peer)
{
    if (detach_peer(peer)) {
        free_peer(peer);
    }
}

static void
discard_input(struct bufferevent *stream, void *context)
{
    struct evbuffer *input = bufferevent_get_input(stream);

    (void)context;
    evbuffer_drain(input, evbuffer_get_length(input));
}

static void
end_output(struct bufferevent *stream, void *context)
{
    (void)context;
    shutdown(bufferevent_getfd(stream), SHUT_WR);
}

static void
finish_changed(struct bufferevent *stream, short what, void *context)
{
    fv_link_peer_t *peer = context;
    size_t unsent_bytes = evbuffer_get_length(bufferevent_get_output(stream));

    (void)what;
    if (unsent_bytes > 0) {
        FvLog_Event(Fv_LOG_INFO, "link_cut", "peer=%s unsent_bytes=%zu",
                    peer->name, unsent_bytes);
    }
    unlink_peer(&peer->links->finishing, peer);
    free_peer(peer);
}

/* Closes a connection once the peer has read everything and closed its end.
 * Input is read until then: a close with unread input would reset the
 * connection, and the peer would lose what it has not received. */
static void
finish_peer(fv_link_peer_t *peer)
{
    const struct timeval timeout = {.tv_sec = Fv_LINK_FINISH_S};
    fv_links_t *links = peer->links;
    struct evbuffer *output = bufferevent_get_output(peer->stream);

    if (!detach_peer(peer)) {
        return;
    }
    if (!peer->opened) {
        free_peer(peer);
        return;
    }
    peer->next = links->finishing;
    links->finishing = peer;
    bufferevent_setcb(peer->stream, discard_input, end_output, finish_changed,
                      peer);
    bufferevent_set_timeouts(peer->stream, &timeout, &timeout);
    if (evbuffer_get_length(output) == 0) {
        end_output(peer->stream, peer);
    }
}

/**
 * FvLinks_Close - close a connection
 * @peer: the peer, or NULL
 */
void
FvLinks_Close(fv_link_peer_t *peer)
{
    if (peer != NULL) {
        close_peer(peer);
    }
}

static fv_link_peer_t *
find_dialed(const fv_links_t *links)
{
    fv_link_peer_t *peer = links->peers;

    while (peer != NULL && !peer->dialed) {
        peer = peer->next;
    }
    return peer;
}

static fv_link_peer_t *
find_silent(const fv_links_t *links, int64_t since_ms)
{
    fv_link_peer_t *peer = links->peers;

    /* A closed peer is unlinked, which the analyzer does not see. */
    /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
    while (peer != NULL && peer->last_received_ms >= since_ms) {
        peer = peer->next;
    }
    return peer;
}

/**
 * FvLinks_CloseDialed - close all connections that this host opened
 * @links: the links
 *
 * What was sent still reaches the peers; see FvLinks_Unfinished().
 */
void
FvLinks_CloseDialed(fv_links_t *links)
{
    fv_link_peer_t *peer;

    while ((peer = find_dialed(links)) != NULL) {
        finish_peer(peer);
    }
}

/**
 * FvLinks_CloseSilent - close connections on which nothing was received
 * @links: the links
 * @silent_ms: for how long
 */
void
FvLinks_CloseSilent(fv_links_t *links, int64_t silent_ms)
{
    int64_t since_ms = FvClock_NowMs() - silent_ms;
    fv_link_peer_t *peer;

    while ((peer = find_silent(links, since_ms)) != NULL) {
        FvLog_Event(Fv_LOG_INFO, "link_silent", "peer=%s", peer->name);
        peer->error = "silent";
        close_peer(peer);
    }
}

/* Keeps how the request that follows was checked. It is a message of its own,
 * which earlier builds ignore: they reject a request with further fields. */
static bool
keep_check(fv_link_peer_t *peer, const fv_cell_message_t *message)
{
    msgpack_unpacked unpacked;
    fv_field_reader_t reader;
    bool good =
        FvFields_Open(&reader, &unpacked, message->body, message->body_length);

    peer->check = (fv_caller_check_t){
        .digest = message->number,
        .config_version = FvFields_Int(&reader, 0, INT64_MAX),
        .waited_ms = FvFields_Int(&reader, 0, INT64_MAX),
    };
    good = good && !reader.failed &&
           FvText_Copy(peer->customer, sizeof(peer->customer), message->name);
    peer->checked_request = good ? message->id : 0;
    msgpack_unpacked_destroy(&unpacked);
    return good;
}

static bool
handle_message(fv_link_peer_t *peer, fv_cell_message_t *message)
{
    if (message->kind == Fv_CELL_MESSAGE_CALLER) {
        return keep_check(peer, message);
    }
    if (message->kind == Fv_CELL_MESSAGE_REQUEST &&
        peer->checked_request != 0 && message->id == peer->checked_request) {
        message->customer = peer->customer;
        message->check = peer->check;
    }
    peer->links->events.message(peer->links->events.context, peer, message);
    return true;
}

static bool
decode_frame(fv_link_peer_t *peer, const char *data, size_t length)
{
    char name[Fv_KEY_SIZE];
    char key[Fv_KEY_SIZE];
    fv_cell_message_t message = {.name = name, .key = key};
    msgpack_unpacked unpacked;
    fv_field_reader_t reader;
    bool good;

    if (FvFields_Open(&reader, &unpacked, data, length)) {
        message.kind =
            (fv_cell_message_kind_t)FvFields_Int(&reader, 0, INT32_MAX);
        message.id = FvFields_Int(&reader, INT64_MIN, INT64_MAX);
        message.number = FvFields_Int(&reader, INT64_MIN, INT64_MAX);
        FvFields_Text(&reader, name, sizeof(name));
        FvFields_Text(&reader, key, sizeof(key));
        message.body = FvFields_ViewBytes(&reader, &message.body_length);
    }
    /* Later builds may add fields. */
    good = !reader.failed && handle_message(peer, &message);
    msgpack_unpacked_destroy(&unpacked);
    return good;
}

static bool
is_open(const fv_links_t *links, const fv_link_peer_t *peer)
{
    for (const fv_link_peer_t *other = links->peers; other != NULL;
         other = other->next) {
        if (other == peer) {
            return true;
        }
    }
    return false;
}

static void
read_frames(struct bufferevent *stream, void *context)
{
    fv_link_peer_t *peer = context;
    fv_links_t *links = peer->links;
    struct evbuffer *input = bufferevent_get_input(stream);

    peer->last_received_ms = FvClock_NowMs();
    for (;;) {
        uint8_t header[Fv_LINK_HEADER_BYTES];
        uint32_t length;
        char *frame;
        bool good;

        if (evbuffer_copyout(input, header, sizeof(header)) <
            (ev_ssize_t)sizeof(header)) {
            return;
        }
        memcpy(&length, header, sizeof(length));
        length = ntohl(length);
        if (length > Fv_LINK_FRAME_MAX_BYTES) {
            FvMetrics_Add(Fv_COUNTER_LINK_REJECTED, 1);
            close_peer(peer);
            return;
        }
        if (evbuffer_get_length(input) < sizeof(header) + length) {
            return;
        }
        evbuffer_drain(input, sizeof(header));
        frame = malloc((size_t)length + 1);
        if (frame == NULL) {
            close_peer(peer);
            return;
        }
        evbuffer_remove(input, frame, length);
        FvMetrics_Add(Fv_COUNTER_LINK_BYTES_RECEIVED, length + sizeof(header));
        good = decode_frame(peer, frame, length);
        free(frame);
        if (!is_open(links, peer)) {
            return; /* closed while handling the message */
        }
        if (!good) {
            FvMetrics_Add(Fv_COUNTER_LINK_REJECTED, 1);
            close_peer(peer);
            return;
        }
    }
}

static void
state_changed(struct bufferevent *stream, short what, void *context)
{
    fv_link_peer_t *peer = context;

    (void)stream;
    if (what & BEV_EVENT_CONNECTED) {
        peer->opened = true;
        peer->last_received_ms = FvClock_NowMs();
        peer->links->events.opened(peer->links->events.context, peer);
        return;
    }
    peer->error = (what & BEV_EVENT_ERROR) != 0
                      ? evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR())
                      : "closed";
    close_peer(peer);
}

static void
disable_nagle(evutil_socket_t fd)
{
    int on = 1;

    if (setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on)) != 0) {
        FvLog_Event(Fv_LOG_DEBUG, "nodelay_refused", NULL);
    }
}

static fv_link_peer_t *
add_peer(fv_links_t *links, evutil_socket_t fd)
{
    fv_link_peer_t *peer = calloc(1, sizeof(*peer));

    if (peer == NULL) {
        return NULL;
    }
    peer->links = links;
    peer->last_received_ms = FvClock_NowMs();
    peer->stream = bufferevent_socket_new(
        links->base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    if (peer->stream == NULL) {
        free(peer);
        return NULL;
    }
    bufferevent_setcb(peer->stream, read_frames, NULL, state_changed, peer);
    peer->next = links->peers;
    links->peers = peer;
    return peer;
}

/**
 * FvLinks_Dial - connect to a host
 * @links: the links
 * @name: its name
 * @address: its link address
 *
 * Return: the peer, or NULL when no connection can be started.
 */
fv_link_peer_t *
FvLinks_Dial(fv_links_t *links, const char *name, const char *address)
{
    struct sockaddr_in target;
    fv_link_peer_t *peer;

    if (!FvText_ParseAddress(address, &target)) {
        FvLog_Event(Fv_LOG_WARN, "peer_address_malformed", "peer=%s", name);
        return NULL;
    }
    peer = add_peer(links, -1);
    if (peer == NULL) {
        return NULL;
    }
    peer->dialed = true;
    FvLinks_SetName(peer, name);
    if (bufferevent_socket_connect(peer->stream, (struct sockaddr *)&target,
                                   sizeof(target)) != 0) {
        close_peer(peer);
        return NULL;
    }
    disable_nagle(bufferevent_getfd(peer->stream));
    bufferevent_enable(peer->stream, EV_READ | EV_WRITE);
    return peer;
}

static void
accepted(struct evconnlistener *listener, evutil_socket_t fd,
         struct sockaddr *address, int length, void *context)
{
    fv_link_peer_t *peer = add_peer(context, fd);

    (void)listener;
    (void)address;
    (void)length;
    if (peer == NULL) {
        evutil_closesocket(fd);
        return;
    }
    disable_nagle(fd);
    bufferevent_enable(peer->stream, EV_READ | EV_WRITE);
}

static void
send_frame(fv_link_peer_t *peer, const fv_cell_message_t *message)
{
    msgpack_sbuffer packed;
    msgpack_packer packer;
    uint32_t length;
    struct evbuffer *output = bufferevent_get_output(peer->stream);

    msgpack_sbuffer_init(&packed);
    msgpack_packer_init(&packer, &packed, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, Fv_LINK_FIELDS);
    msgpack_pack_int(&packer, (int)message->kind);
    msgpack_pack_int64(&packer, message->id);
    msgpack_pack_int64(&packer, message->number);
    FvPack_Text(&packer, message->name);
    FvPack_Text(&packer, message->key);
    FvPack_Bytes(&packer, message->body, message->body_length);
    length = htonl((uint32_t)packed.size);
    evbuffer_add(output, &length, sizeof(length));
    evbuffer_add(output, packed.data, packed.size);
    FvMetrics_Add(Fv_COUNTER_LINK_BYTES_SENT, packed.size + sizeof(length));
    msgpack_sbuffer_destroy(&packed);
}

static void
send_check(fv_link_peer_t *peer, const fv_cell_message_t *request)
{
    msgpack_sbuffer packed;
    msgpack_packer packer;

    msgpack_sbuffer_init(&packed);
    msgpack_packer_init(&packer, &packed, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, Fv_LINK_CHECK_FIELDS);
    msgpack_pack_int64(&packer, request->check.config_version);
    msgpack_pack_int64(&packer, request->check.waited_ms);
    send_frame(peer, &(fv_cell_message_t){.kind = Fv_CELL_MESSAGE_CALLER,
                                          .id = request->id,
                                          .number = request->check.digest,
                                          .name = request->customer,
                                          .body = packed.data,
                                          .body_length = packed.size});
    msgpack_sbuffer_destroy(&packed);
}

/**
 * FvLinks_Send - send a message
 * @peer: the peer
 * @message: the message; dropped when the peer does not read
 */
void
FvLinks_Send(fv_link_peer_t *peer, const fv_cell_message_t *message)
{
    if (evbuffer_get_length(bufferevent_get_output(peer->stream)) >
        Fv_LINK_BACKLOG_MAX_BYTES) {
        FvLog_Event(Fv_LOG_WARN, "link_backlog", "peer=%s kind=%d", peer->name,
                    (int)message->kind);
        return; /* heartbeats are dropped too, so the peer closes */
    }
    if (message->kind == Fv_CELL_MESSAGE_REQUEST &&
        message->check.config_version != 0) {
        send_check(peer, message);
    }
    send_frame(peer, message);
}

/**
 * FvLinks_New - listen for connections from leaders
 * @base: the event loop
 * @settings: this host
 * @events: callbacks
 *
 * Return: the links, or NULL when the address cannot be bound.
 */
fv_links_t *
FvLinks_New(struct event_base *base, const fv_entry_settings_t *settings,
            const fv_links_events_t *events)
{
    fv_links_t *links = calloc(1, sizeof(*links));
    char text[Fv_ADDRESS_SIZE * 2];
    struct sockaddr_in address;

    if (links == NULL) {
        return NULL;
    }
    links->base = base;
    links->events = *events;
    snprintf(text, sizeof(text), "%s:%d", settings->address,
             settings->link_port);
    if (FvText_ParseAddress(text, &address)) {
        links->listener = evconnlistener_new_bind(
            base, accepted, links, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
            -1, (struct sockaddr *)&address, sizeof(address));
    }
    if (links->listener == NULL) {
        free(links);
        return NULL;
    }
    return links;
}

/**
 * FvLinks_Unfinished - number of closed connections whose peers lack something
 * @links: the links
 *
 * Return: the number.
 */
uint32_t
FvLinks_Unfinished(const fv_links_t *links)
{
    uint32_t count = 0;

    for (const fv_link_peer_t *peer = links->finishing; peer != NULL;
         peer = peer->next) {
        count++;
    }
    return count;
}

/**
 * FvLinks_Free - close all connections
 * @links: the links, or NULL
 */
void
FvLinks_Free(fv_links_t *links)
{
    if (links == NULL) {
        return;
    }
    for (fv_link_peer_t *peer = links->peers; peer != NULL;) {
        fv_link_peer_t *next = peer->next;

        close_peer(peer);
        peer = next;
    }
    for (fv_link_peer_t *peer = links->finishing; peer != NULL;) {
        fv_link_peer_t *next = peer->next;

        free_peer(peer);
        peer = next;
    }
    evconnlistener_free(links->listener);
    free(links);
}
