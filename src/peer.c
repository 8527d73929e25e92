/*
 * Requests between entry hosts: matches replies to requests, applies timeouts,
 * reassembles answers that arrive in chunks, and dispatches incoming requests
 * to their handlers. A request to this host itself uses the same functions
 * without the network.
 */

#include "daemon.h"

#include <stdlib.h>
#include <string.h>

#define Fv_PEER_CALL_BUCKETS 4096

typedef struct fv_peer_call {
    fv_peers_t *peers;
    uint64_t request_id;
    char host[Fv_NAME_SIZE];
    int64_t timeout_ms;
    fv_timer_t timer; /* timeout, or the deferred completion */
    fv_link_error_t error;
    fv_message_t reply;
    bool completion_scheduled;
    fv_peer_done_t done;
    void *context;
    struct fv_peer_call *next;
} fv_peer_call_t;

struct fv_peers {
    fv_daemon_t *daemon;
    uint64_t last_request_id;
    fv_peer_call_t *buckets[Fv_PEER_CALL_BUCKETS];
};

/**
 * FvPeers_New - allocate the table of pending requests
 * @daemon: the daemon
 *
 * Return: the table, or NULL when memory is exhausted.
 */
fv_peers_t *
FvPeers_New(fv_daemon_t *daemon)
{
    fv_peers_t *peers = calloc(1, sizeof(*peers));

    if (peers != NULL) {
        peers->daemon = daemon;
    }
    return peers;
}

static fv_peer_call_t **
find_call(fv_peers_t *peers, uint64_t request_id)
{
    fv_peer_call_t **position =
        &peers->buckets[request_id % Fv_PEER_CALL_BUCKETS];

    while (*position != NULL && (*position)->request_id != request_id) {
        position = &(*position)->next;
    }
    return position;
}

static void
free_call(fv_peer_call_t *call)
{
    FvLoop_CancelTimer(call->peers->daemon->loop, &call->timer);
    FvWire_Clear(&call->reply);
    free(call);
}

/**
 * FvPeers_Free - release all pending calls without running their callbacks
 * @peers: the table, or NULL
 */
void
FvPeers_Free(fv_peers_t *peers)
{
    if (peers == NULL) {
        return;
    }
    for (uint32_t i = 0; i < Fv_PEER_CALL_BUCKETS; i++) {
        while (peers->buckets[i] != NULL) {
            fv_peer_call_t *call = peers->buckets[i];

            peers->buckets[i] = call->next;
            free_call(call);
        }
    }
    free(peers);
}

static void
complete_call(void *owner)
{
    fv_peer_call_t *call = owner;
    fv_peer_call_t **position = find_call(call->peers, call->request_id);

    if (!call->completion_scheduled) {
        call->error = Fv_LINK_UNCONFIRMED;
    }
    *position = call->next;
    call->done(call->context, call->error, &call->reply);
    free_call(call);
}

/* Defers the callback to the event loop, so that it never runs inside
 * FvPeers_Call. */
static void
schedule_completion(fv_peer_call_t *call, fv_link_error_t error)
{
    call->completion_scheduled = true;
    call->error = error;
    FvLoop_SetTimer(call->peers->daemon->loop, &call->timer, FvClock_NowMs());
}

static bool
crosses_region(const fv_peers_t *peers, const char *host)
{
    const fv_host_t *to = FvHosts_Find(&peers->daemon->hosts, host);

    return to != NULL &&
           strcmp(to->region, peers->daemon->settings.region) != 0;
}

static void
count_cross_region_bytes(const fv_peers_t *peers, const char *host,
                         const fv_message_t *message, size_t bytes)
{
    const char *member = "";

    if (!crosses_region(peers, host)) {
        return;
    }
    switch (message->type) {
    case Fv_MESSAGE_RESERVE:
    case Fv_MESSAGE_START:
    case Fv_MESSAGE_STOP:
    case Fv_MESSAGE_QUERY:
    case Fv_MESSAGE_RELEASE:
        member = message->body.task_request.member;
        break;
    case Fv_MESSAGE_JOB_STATUS:
    case Fv_MESSAGE_JOB_CANCEL:
    case Fv_MESSAGE_JOB_REPLY:
        member = message->body.document.member;
        break;
    default:
        break;
    }
    FvMetrics_AddCrossRegionBytes(member, bytes);
}

static void
dispatch_request(fv_peers_t *peers, const fv_reply_to_t *to,
                 fv_message_t *message)
{
    fv_daemon_t *daemon = peers->daemon;
    const fv_task_request_t *request = &message->body.task_request;

    switch (message->type) {
    case Fv_MESSAGE_RESERVE:
        FvHolder_Reserve(daemon->holder, request, to);
        break;
    case Fv_MESSAGE_START:
        FvHolder_Start(daemon->holder, request, to);
        break;
    case Fv_MESSAGE_STOP:
        FvHolder_Stop(daemon->holder, request, to);
        break;
    case Fv_MESSAGE_QUERY:
        FvHolder_Query(daemon->holder, request, to);
        break;
    case Fv_MESSAGE_RELEASE:
        FvHolder_Release(daemon->holder, request);
        break;
    case Fv_MESSAGE_LEASE_QUERY:
        FvHolder_LeaseQuery(daemon->holder, request, to);
        break;
    case Fv_MESSAGE_JOB_STATUS:
        FvRunner_OnJobStatus(daemon->runner, message, to);
        break;
    case Fv_MESSAGE_JOB_CANCEL:
        FvRunner_OnJobCancel(daemon->runner, message, to);
        break;
    case Fv_MESSAGE_CONFIG_GET:
        FvConfigSync_OnConfigGet(daemon->config_sync, message, to);
        break;
    case Fv_MESSAGE_CONFIG:
        FvConfigSync_OnConfig(daemon->config_sync, message);
        break;
    default:
        FvLog_Event(Fv_LOG_WARN, "peer_message_unexpected",
                    "peer=%s message=%d", to->host, (int)message->type);
        break;
    }
}

static void
send_call(fv_peers_t *peers, fv_peer_call_t *call, fv_message_t *message)
{
    const fv_host_t *host = FvHosts_Find(&peers->daemon->hosts, call->host);
    size_t bytes;

    if (host == NULL || !host->linked) {
        schedule_completion(call, Fv_LINK_NOT_SENT);
        return;
    }
    bytes = FvLink_SendTo(peers->daemon->link, call->host, message);
    if (bytes == 0) {
        schedule_completion(call, Fv_LINK_NOT_SENT);
        return;
    }
    count_cross_region_bytes(peers, call->host, message, bytes);
}

/**
 * FvPeers_Call - send a request and wait for its reply
 * @peers: the table
 * @host: the host to send it to; may be this one
 * @message: the request; this function takes ownership and clears it
 * @timeout_ms: limit on the wait for the reply and for each further chunk of
 * it
 * @done: called once, after this function has returned; on an error the
 *        reply is empty
 * @context: passed to @done
 */
void
FvPeers_Call(fv_peers_t *peers, const char *host, fv_message_t *message,
             int64_t timeout_ms, fv_peer_done_t done, void *context)
{
    fv_daemon_t *daemon = peers->daemon;
    fv_peer_call_t *call = calloc(1, sizeof(*call));
    fv_reply_to_t to = {.connection = 0};

    if (call == NULL) {
        abort();
    }
    call->peers = peers;
    call->request_id = ++peers->last_request_id;
    call->timeout_ms = timeout_ms;
    call->done = done;
    call->context = context;
    call->timer.fire = complete_call;
    call->timer.owner = call;
    FvText_Copy(call->host, sizeof(call->host), host);
    *find_call(peers, call->request_id) = call;
    FvLoop_SetTimer(daemon->loop, &call->timer, FvClock_NowMs() + timeout_ms);
    message->request_id = call->request_id;
    if (strcmp(host, daemon->settings.host) == 0) {
        to.request_id = call->request_id;
        FvText_Copy(to.host, sizeof(to.host), host);
        dispatch_request(peers, &to, message);
    }
    else {
        send_call(peers, call, message);
    }
    FvWire_Clear(message);
}

/**
 * FvPeers_Notify - send a message that has no reply
 * @peers: the table
 * @host: the host; may be this one
 * @message: the message; the caller keeps ownership
 */
void
FvPeers_Notify(fv_peers_t *peers, const char *host,
               const fv_message_t *message)
{
    const fv_host_t *to = FvHosts_Find(&peers->daemon->hosts, host);
    size_t bytes;

    if (strcmp(host, peers->daemon->settings.host) == 0) {
        fv_reply_to_t self = {.connection = 0};
        fv_message_t copy = *message;

        FvText_Copy(self.host, sizeof(self.host), host);
        dispatch_request(peers, &self, &copy);
        return;
    }
    if (to != NULL && to->linked) {
        bytes = FvLink_SendTo(peers->daemon->link, host, message);
        count_cross_region_bytes(peers, host, message, bytes);
    }
}

/* Verifies the hash of a reassembled answer. A mismatch is treated as a lost
 * reply. */
static void
finish_answer(fv_peer_call_t *call)
{
    const fv_task_reply_t *reply = &call->reply.body.task_reply;
    uint64_t hash = FvText_Hash(reply->answer, reply->received, 0);

    if (hash != reply->answer_hash) {
        FvLog_Event(Fv_LOG_ERROR, "peer_answer_corrupt", "peer=%s task=%s",
                    call->host, reply->id);
        FvWire_Clear(&call->reply);
        schedule_completion(call, Fv_LINK_UNCONFIRMED);
        return;
    }
    schedule_completion(call, Fv_LINK_OK);
}

static void
start_answer(fv_peer_call_t *call, fv_message_t *message)
{
    fv_task_reply_t *reply = &call->reply.body.task_reply;

    call->reply = *message;
    *message = (fv_message_t){0};
    if (reply->received == reply->answer_length) {
        finish_answer(call);
        return;
    }
    reply->answer = realloc(reply->answer, reply->answer_length);
    if (reply->answer == NULL) {
        schedule_completion(call, Fv_LINK_UNCONFIRMED);
    }
}

static void
append_answer_chunk(fv_peer_call_t *call, const fv_message_t *message)
{
    fv_task_reply_t *reply = &call->reply.body.task_reply;
    const fv_task_reply_t *chunk = &message->body.task_reply;

    if (call->reply.type != Fv_MESSAGE_TASK_REPLY ||
        chunk->received > reply->answer_length - reply->received) {
        FvWire_Clear(&call->reply);
        schedule_completion(call, Fv_LINK_UNCONFIRMED);
        return;
    }
    memcpy(reply->answer + reply->received, chunk->answer, chunk->received);
    reply->received += chunk->received;
    if (reply->received == reply->answer_length) {
        finish_answer(call);
        return;
    }
    FvLoop_SetTimer(call->peers->daemon->loop, &call->timer,
                    FvClock_NowMs() + call->timeout_ms);
}

/* Passes a reply to its call. Returns false if no call waits for it. */
static bool
deliver_reply(fv_peers_t *peers, const char *host, fv_message_t *message)
{
    fv_peer_call_t *call = *find_call(peers, message->request_id);

    if (message->request_id == 0 || call == NULL ||
        call->completion_scheduled || strcmp(call->host, host) != 0) {
        return false;
    }
    if (message->type == Fv_MESSAGE_TASK_REPLY) {
        start_answer(call, message);
    }
    else if (message->type == Fv_MESSAGE_ANSWER_CHUNK) {
        append_answer_chunk(call, message);
    }
    else {
        call->reply = *message;
        *message = (fv_message_t){0};
        schedule_completion(call, Fv_LINK_OK);
    }
    return true;
}

static void
reply_in_chunks(fv_peers_t *peers, const fv_reply_to_t *to,
                const fv_message_t *whole)
{
    const fv_task_reply_t *answer = &whole->body.task_reply;
    size_t offset = 0;

    do {
        fv_message_t part = *whole;
        fv_task_reply_t *reply = &part.body.task_reply;
        size_t bytes;

        part.type =
            offset == 0 ? Fv_MESSAGE_TASK_REPLY : Fv_MESSAGE_ANSWER_CHUNK;
        part.request_id = to->request_id;
        reply->answer = answer->answer ? answer->answer + offset : NULL;
        reply->received = answer->answer_length - offset;
        if (reply->received > Fv_ANSWER_CHUNK_BYTES) {
            reply->received = Fv_ANSWER_CHUNK_BYTES;
        }
        bytes = FvLink_ReplyOn(peers->daemon->link, to->connection, &part);
        if (bytes == 0) {
            return;
        }
        count_cross_region_bytes(peers, to->host, &part, bytes);
        offset += reply->received;
    } while (offset < answer->answer_length);
}

/**
 * FvPeers_Reply - send the reply to a request
 * @peers: the table
 * @to: where the request came from
 * @reply: the reply; this function takes ownership and clears it
 */
void
FvPeers_Reply(fv_peers_t *peers, const fv_reply_to_t *to, fv_message_t *reply)
{
    reply->request_id = to->request_id;
    if (reply->type == Fv_MESSAGE_TASK_REPLY) {
        fv_task_reply_t *task = &reply->body.task_reply;

        task->received = task->answer_length;
        task->answer_hash = FvText_Hash(task->answer, task->answer_length, 0);
    }
    if (to->connection == 0) {
        deliver_reply(peers, to->host, reply);
    }
    else if (reply->type == Fv_MESSAGE_TASK_REPLY) {
        reply_in_chunks(peers, to, reply);
    }
    else {
        size_t bytes =
            FvLink_ReplyOn(peers->daemon->link, to->connection, reply);

        count_cross_region_bytes(peers, to->host, reply, bytes);
    }
    FvWire_Clear(reply);
}

static void
apply_digest(fv_peers_t *peers, fv_host_t *host, fv_message_t *message)
{
    fv_daemon_t *daemon = peers->daemon;
    fv_host_digest_t *digest = message->body.digest;

    digest->received_ms = FvClock_NowMs();
    host->digest = *digest;
    for (uint32_t i = 0; i < digest->usage_count; i++) {
        FvShares_SetRemote(daemon->shares, host->name, digest->usage[i].member,
                           &digest->usage[i].used);
    }
    if (digest->config_version > FvConfig_ActiveVersion()) {
        FvConfigSync_OnPeerVersion(daemon->config_sync, host->name,
                                   digest->config_version);
    }
    FvRunner_ScheduleDispatch(daemon->runner);
}

/**
 * FvPeers_OnMessage - handle a message received by the link thread
 * @peers: the table
 * @host: the sender, as authenticated by the handshake
 * @connection: id of the connection on which it arrived
 * @message: the message; this function may take ownership of its contents
 */
void
FvPeers_OnMessage(fv_peers_t *peers, const char *host, uint64_t connection,
                  fv_message_t *message)
{
    fv_host_t *from = FvHosts_Find(&peers->daemon->hosts, host);
    fv_reply_to_t to = {.connection = connection,
                        .request_id = message->request_id};

    if (from != NULL) {
        from->last_heard_ms = FvClock_NowMs();
    }
    if (message->type == Fv_MESSAGE_DIGEST) {
        if (from != NULL) {
            apply_digest(peers, from, message);
        }
        return;
    }
    FvText_Copy(to.host, sizeof(to.host), host);
    switch (message->type) {
    case Fv_MESSAGE_RESERVE_REPLY:
    case Fv_MESSAGE_TASK_REPLY:
    case Fv_MESSAGE_ANSWER_CHUNK:
    case Fv_MESSAGE_LEASE_STATE:
    case Fv_MESSAGE_JOB_REPLY:
        deliver_reply(peers, host, message);
        break;
    case Fv_MESSAGE_CONFIG:
        /* Either the reply to a config_get or sent without a request. */
        if (!deliver_reply(peers, host, message)) {
            dispatch_request(peers, &to, message);
        }
        break;
    default:
        dispatch_request(peers, &to, message);
        break;
    }
}

/**
 * FvPeers_OnLinkUp - record that the connection to a host is ready
 * @peers: the table
 * @welcome: the host's welcome message
 */
void
FvPeers_OnLinkUp(fv_peers_t *peers, const fv_hello_t *welcome)
{
    fv_host_t *host = FvHosts_Find(&peers->daemon->hosts, welcome->host);

    FvLog_Event(Fv_LOG_INFO, "link_up", "peer=%s incarnation=%s",
                welcome->host, welcome->incarnation);
    if (host == NULL) {
        return;
    }
    host->linked = true;
    host->last_heard_ms = FvClock_NowMs();
    FvText_Copy(host->incarnation, sizeof(host->incarnation),
                welcome->incarnation);
}

/**
 * FvPeers_OnLinkDown - fail the calls that wait for a host
 * @peers: the table
 * @name: the host whose connection failed
 */
void
FvPeers_OnLinkDown(fv_peers_t *peers, const char *name)
{
    fv_host_t *host = FvHosts_Find(&peers->daemon->hosts, name);

    FvLog_Event(Fv_LOG_INFO, "link_down", "peer=%s", name);
    if (host != NULL) {
        host->linked = false;
        FvShares_RemoveHost(peers->daemon->shares, name);
    }
    for (uint32_t i = 0; i < Fv_PEER_CALL_BUCKETS; i++) {
        for (fv_peer_call_t *call = peers->buckets[i]; call != NULL;
             call = call->next) {
            if (!call->completion_scheduled && strcmp(call->host, name) == 0) {
                FvWire_Clear(&call->reply);
                schedule_completion(call, Fv_LINK_UNCONFIRMED);
            }
        }
    }
}
