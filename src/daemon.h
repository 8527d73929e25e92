/*
 * Objects of the daemon (fireflyvalve serve). They are used only on the
 * scheduler thread unless a comment says otherwise.
 */

#ifndef DAEMON_H
#define DAEMON_H

#include "fireflyvalve.h"

#include <pthread.h>
#include <uthash.h>

#define Fv_LINK_FRAME_MAX_BYTES (1024 * 1024)
#define Fv_ANSWER_CHUNK_BYTES (64 * 1024)
#define Fv_RESERVATION_TTL_MS 2000
/* Time for a worker to stop its tasks once its lease has expired. */
#define Fv_EXPIRY_STOP_MS 2000
/* Assumed bound on the difference between the wall clocks of two hosts. */
#define Fv_CLOCK_SKEW_MS 1000
#define Fv_DEFAULT_START_WINDOW_MS INT64_C(3600000)

typedef struct fv_daemon fv_daemon_t;

/*
 * ticket.c: one caller request. The HTTP thread fills it in, posts it to the
 * scheduler and waits. The scheduler replies exactly once, either from the
 * handler or later.
 */
typedef struct fv_ticket fv_ticket_t;
typedef struct fv_route fv_route_t;

struct fv_ticket {
    fv_event_t event; /* first member; the ticket is posted as an event */
    fv_daemon_t *daemon;
    const fv_route_t *route;
    char member[Fv_NAME_SIZE];         /* authenticated caller */
    char idempotency_key[Fv_KEY_SIZE]; /* empty when absent */
    char params[2][Fv_KEY_SIZE];       /* path segments matched by * */
    bool raw_answer;                   /* ?answer=raw */
    int64_t wait_ms;                   /* ?wait_ms=N */
    json_t *body;                      /* parsed request body, or NULL */

    int32_t status;
    json_t *reply; /* JSON reply, or NULL for a raw one */
    uint8_t *raw;  /* raw reply */
    size_t raw_length;
    char outcome[16];       /* Fireflyvalve-Outcome header when not empty */
    char job[Fv_KEY_SIZE];  /* Fireflyvalve-Job header when not empty */
    int64_t retry_after_ms; /* Retry-After when positive */

    /* Private to ticket.c. */
    pthread_mutex_t lock;
    pthread_cond_t replied;
    bool done; /* a reply is present, or the wait was abandoned */
    bool scheduler_replied;
    bool event_handled; /* false if the loop stopped before the event ran */
    atomic_int references;
};

/*
 * For the scheduler thread: exactly one call for each ticket. A JSON reply
 * passes into the ticket's ownership; raw data is copied.
 */
void FvTicket_ReplyJson(fv_ticket_t *ticket, int32_t status, json_t *reply);
void FvTicket_ReplyRaw(fv_ticket_t *ticket, int32_t status,
                       const uint8_t *data, size_t length);
void FvTicket_ReplyProblem(fv_ticket_t *ticket, int32_t status,
                           const char *outcome, int64_t retry_after_ms,
                           const char *format, ...)
    __attribute__((format(printf, 5, 6)));

/* For the HTTP thread. */
fv_ticket_t *FvTicket_New(fv_daemon_t *daemon, const fv_route_t *route);
bool FvTicket_Post(fv_ticket_t *ticket);
void FvTicket_Wait(fv_ticket_t *ticket);
void FvTicket_Release(fv_ticket_t *ticket);

/* http-reply.c: writes HTTP responses; used on HTTP threads. */
struct mg_connection;

typedef struct fv_http_reply {
    int32_t status;
    const char *content_type;
    const void *body;
    size_t length;
    int64_t retry_after_ms; /* Retry-After when positive */
    const char *job;        /* Fireflyvalve-Job, or NULL */
    const char *outcome;    /* Fireflyvalve-Outcome, or NULL */
    const char *allow;      /* Allow, or NULL */
    bool close;             /* close the connection after this reply */
    bool head;              /* send no body */
} fv_http_reply_t;

const char *FvHttpReply_StatusText(int32_t status);
json_t *FvHttpReply_MakeProblem(int32_t status, const char *outcome,
                                int64_t retry_after_ms, const char *detail);
void FvHttpReply_Send(struct mg_connection *connection,
                      const fv_http_reply_t *reply);
void FvHttpReply_SendProblem(struct mg_connection *connection,
                             const fv_http_reply_t *reply, const char *format,
                             ...) __attribute__((format(printf, 3, 4)));
void FvHttpReply_SendTicket(struct mg_connection *connection,
                            const fv_ticket_t *ticket, bool close);

/* Time limit for the headers of a request and for each read of its body. */
#define Fv_HTTP_READ_TIMEOUT_MS 2000

/* http-body.c: reads a request body, with limits on size and time. */
typedef enum fv_http_body_error {
    Fv_HTTP_BODY_OK,
    Fv_HTTP_BODY_TOO_LARGE,
    Fv_HTTP_BODY_TIMED_OUT,
    Fv_HTTP_BODY_TRUNCATED,
    Fv_HTTP_BODY_NO_MEMORY
} fv_http_body_error_t;

fv_http_body_error_t FvHttpBody_Read(struct mg_connection *connection,
                                     fv_buffer_t *body);

/* http-server.c: CivetWeb, authentication, limits, the route table. */
struct fv_route {
    const char *method;
    const char *pattern;          /* path in which * matches one segment */
    bool needs_config;            /* 503 while no configuration is active */
    bool rejected_while_draining; /* 503 while the host drains */
    void (*handle)(fv_daemon_t *daemon, fv_ticket_t *ticket);
};

typedef struct fv_http_server fv_http_server_t;

fv_http_server_t *FvHttpServer_New(fv_daemon_t *daemon);
void FvHttpServer_Free(fv_http_server_t *server);
extern const fv_route_t Fv_ROUTES[]; /* api.c; ends with a NULL method */

/* api.c, api-*.c: handlers, run on the scheduler thread. */
void FvApiJobs_Submit(fv_daemon_t *daemon, fv_ticket_t *ticket);
void FvApiJobs_Status(fv_daemon_t *daemon, fv_ticket_t *ticket);
void FvApiJobs_Answer(fv_daemon_t *daemon, fv_ticket_t *ticket);
void FvApiJobs_Cancel(fv_daemon_t *daemon, fv_ticket_t *ticket);
void FvApiCell_Hosts(fv_daemon_t *daemon, fv_ticket_t *ticket);
void FvApiCell_Workers(fv_daemon_t *daemon, fv_ticket_t *ticket);
void FvApiCell_Shares(fv_daemon_t *daemon, fv_ticket_t *ticket);
void FvApiCell_Usage(fv_daemon_t *daemon, fv_ticket_t *ticket);
void FvApiConfig_PutAnswers(fv_daemon_t *daemon, fv_ticket_t *ticket);
void FvApiConfig_GenerateProposal(fv_daemon_t *daemon, fv_ticket_t *ticket);
void FvApiConfig_ListProposals(fv_daemon_t *daemon, fv_ticket_t *ticket);
void FvApiConfig_ShowProposal(fv_daemon_t *daemon, fv_ticket_t *ticket);
void FvApiConfig_DiffProposal(fv_daemon_t *daemon, fv_ticket_t *ticket);
void FvApiConfig_Approve(fv_daemon_t *daemon, fv_ticket_t *ticket);
void FvApiConfig_Reject(fv_daemon_t *daemon, fv_ticket_t *ticket);
void FvApiConfig_Show(fv_daemon_t *daemon, fv_ticket_t *ticket);
void FvApiConfig_Status(fv_daemon_t *daemon, fv_ticket_t *ticket);

/* proposal-view.c: the store records that a request about proposals needs. */
typedef struct fv_proposal_view fv_proposal_view_t;
typedef void (*fv_proposal_view_done_t)(fv_proposal_view_t *view);

struct fv_proposal_view {
    fv_daemon_t *daemon;
    fv_ticket_t *ticket;
    json_t *head; /* NULL at version 0 */
    int64_t head_revision;
    json_t *proposal; /* NULL when it does not exist */
    json_t *votes;    /* by member */
    fv_proposal_view_done_t on_loaded;
    /* Used by votes only. */
    bool approves;
    bool activates;   /* the pending transaction activates the proposal */
    bool unconfirmed; /* an earlier transaction may have taken effect */
    int32_t attempts;
};

fv_proposal_view_t *FvProposalView_New(fv_daemon_t *daemon,
                                       fv_ticket_t *ticket);
void FvProposalView_Load(fv_proposal_view_t *view,
                         fv_proposal_view_done_t on_loaded);
void FvProposalView_Free(fv_proposal_view_t *view);
void FvProposalView_VoteKey(const fv_proposal_view_t *view, const char *member,
                            char key[Fv_URL_SIZE]);
void FvProposalView_GroupByProposal(const fv_store_result_t *result,
                                    json_t *proposals, json_t *votes);
void FvApiConfig_ReplyStoreError(fv_ticket_t *ticket, fv_store_error_t error);

/* wire.c: messages between entry hosts. */
typedef enum fv_message_type {
    Fv_MESSAGE_CHALLENGE,
    Fv_MESSAGE_HELLO,
    Fv_MESSAGE_WELCOME,
    Fv_MESSAGE_DIGEST,
    Fv_MESSAGE_RESERVE,
    Fv_MESSAGE_RESERVE_REPLY,
    Fv_MESSAGE_START,
    Fv_MESSAGE_TASK_REPLY, /* reply to start, stop and query */
    Fv_MESSAGE_ANSWER_CHUNK,
    Fv_MESSAGE_STOP,
    Fv_MESSAGE_QUERY,
    Fv_MESSAGE_RELEASE,
    Fv_MESSAGE_LEASE_QUERY,
    Fv_MESSAGE_LEASE_STATE,
    Fv_MESSAGE_JOB_STATUS,
    Fv_MESSAGE_JOB_CANCEL,
    Fv_MESSAGE_JOB_REPLY,
    Fv_MESSAGE_CONFIG_GET,
    Fv_MESSAGE_CONFIG,
    Fv_MESSAGE_COUNT
} fv_message_type_t;

typedef enum fv_refusal {
    Fv_REFUSAL_NONE,
    Fv_REFUSAL_NO_CAPACITY,
    Fv_REFUSAL_NOT_HOLDER,
    Fv_REFUSAL_EXPIRED, /* reservation or lease; the task was not started */
    Fv_REFUSAL_NEVER_FITS,
    Fv_REFUSAL_STOPPED, /* the task id was stopped earlier */
    Fv_REFUSAL_DRAINING,
    Fv_REFUSAL_UNCONFIRMED /* the worker may have started it */
} fv_refusal_t;

const char *FvRefusal_Name(fv_refusal_t refusal);

typedef struct fv_hello {
    char cluster[Fv_NAME_SIZE];
    char host[Fv_NAME_SIZE];
    char incarnation[Fv_NONCE_SIZE];
    char region[Fv_NAME_SIZE];
    char data_center[Fv_NAME_SIZE];
    char nonce[Fv_NONCE_SIZE];
    char mac[Fv_HASH256_HEX_SIZE];
} fv_hello_t;

typedef struct fv_task_request {
    char id[Fv_TASK_ID_SIZE]; /* reserve: the job's MEMBER:KEY:ATTEMPT */
    char worker[Fv_NAME_SIZE];
    char home_host[Fv_NAME_SIZE]; /* host that accepted the job */
    char member[Fv_NAME_SIZE];
    char workload[Fv_NAME_SIZE];
    fv_class_t class_id;
    fv_resources_t size;
    int32_t first; /* reserve: index of the first task wanted */
    int32_t count; /* reserve: number of tasks wanted */
    bool reserved; /* start: a reservation under this id must exist */
    bool stop_on_expiry;
    bool send_once;  /* start: not idempotent */
    int64_t wait_ms; /* start, query: time to wait for the end */
    uint8_t *payload;
    size_t payload_length;
} fv_task_request_t;

typedef struct fv_task_reply {
    char id[Fv_TASK_ID_SIZE];
    char worker[Fv_NAME_SIZE];
    fv_task_state_t state;
    fv_refusal_t refusal;
    int64_t ran_ms;
    int64_t uptime_ms; /* of the worker process */
    fv_resources_t used;
    size_t answer_length; /* of the whole answer */
    uint64_t answer_hash; /* XXH64 of the whole answer */
    uint8_t *answer;      /* on the wire: the first chunk only */
    size_t received;      /* bytes of answer received so far */
} fv_task_reply_t;

typedef struct fv_reserve_reply {
    fv_refusal_t refusal;
    uint32_t count;
    char workers[Fv_TASKS_MAX][Fv_NAME_SIZE];
} fv_reserve_reply_t;

typedef struct fv_message {
    fv_message_type_t type;
    uint64_t request_id; /* 0: no reply expected */
    union {
        fv_hello_t hello; /* challenge, hello, welcome */
        fv_host_digest_t *digest;
        fv_task_request_t task_request; /* reserve, start, stop, query,
                                           release, lease_query */
        fv_reserve_reply_t *reserved;
        fv_task_reply_t task_reply; /* task, chunk */
        struct {
            bool held;
            int64_t expired_for_ms; /* since it may last have been held */
        } lease_state;
        struct {
            char *text; /* JSON of a job or a configuration */
            char member[Fv_NAME_SIZE];
            char key[Fv_KEY_SIZE];
        } document;
    } body;
} fv_message_t;

typedef enum fv_wire_error {
    Fv_WIRE_OK,
    Fv_WIRE_MALFORMED,
    Fv_WIRE_TOO_LARGE,
    Fv_WIRE_NO_MEMORY
} fv_wire_error_t;

fv_wire_error_t FvWire_Pack(const fv_message_t *message, fv_buffer_t *frame);
fv_wire_error_t FvWire_Unpack(const uint8_t *payload, size_t length,
                              fv_message_t *message);
void FvWire_Clear(fv_message_t *message);

/* connection.c: buffers and framing of one TCP connection between hosts. */
typedef enum fv_connection_state {
    Fv_CONNECTION_CONNECTING,
    Fv_CONNECTION_HANDSHAKE,
    Fv_CONNECTION_READY,
    Fv_CONNECTION_CLOSED
} fv_connection_state_t;

typedef struct fv_connection {
    int fd;
    uint64_t id;
    bool dialed;
    fv_connection_state_t state;
    char host[Fv_NAME_SIZE]; /* dialed: expected; accepted: authenticated */
    char nonce[Fv_NONCE_SIZE];
    int64_t deadline_ms;
    fv_buffer_t in;
    size_t in_consumed;
    fv_buffer_t out;
    size_t out_sent;
    struct fv_connection *next;
} fv_connection_t;

fv_connection_t *FvConnection_New(int fd, bool dialed);
void FvConnection_Free(fv_connection_t *connection);
bool FvConnection_Queue(fv_connection_t *connection,
                        const fv_message_t *message);
bool FvConnection_QueueFrame(fv_connection_t *connection,
                             const fv_buffer_t *frame);
bool FvConnection_Flush(fv_connection_t *connection);
bool FvConnection_Read(fv_connection_t *connection);
bool FvConnection_NextMessage(fv_connection_t *connection,
                              fv_message_t *message, fv_wire_error_t *error);

/* handshake.c: mutual authentication by the shared cluster key. */
void FvHandshake_Challenge(const fv_daemon_t *daemon, const char *nonce,
                           fv_hello_t *challenge);
void FvHandshake_Hello(const fv_daemon_t *daemon, const fv_hello_t *challenge,
                       const char *nonce, fv_hello_t *hello);
bool FvHandshake_AcceptHello(const fv_daemon_t *daemon, const char *nonce,
                             const fv_hello_t *hello, fv_hello_t *welcome);
bool FvHandshake_AcceptWelcome(const fv_daemon_t *daemon, const char *nonce,
                               const char *host, const fv_hello_t *welcome);

/* link.c: TCP connections to the other entry hosts, on its own thread. */
typedef struct fv_link fv_link_t;

typedef enum fv_link_error {
    Fv_LINK_OK,
    Fv_LINK_NOT_SENT,    /* no connection; nothing was sent */
    Fv_LINK_UNCONFIRMED, /* the connection failed or the reply timed out */
    Fv_LINK_REFUSED
} fv_link_error_t;

fv_link_t *FvLink_New(fv_daemon_t *daemon);
void FvLink_Free(fv_link_t *link);
bool FvLink_SetPeers(fv_link_t *link, const fv_hosts_t *hosts);
size_t FvLink_SendTo(fv_link_t *link, const char *host,
                     const fv_message_t *message);
size_t FvLink_ReplyOn(fv_link_t *link, uint64_t connection,
                      const fv_message_t *message);

/* peer.c: requests between hosts; a host may also send one to itself. */
typedef struct fv_peers fv_peers_t;
typedef void (*fv_peer_done_t)(void *context, fv_link_error_t error,
                               fv_message_t *reply);

/* Destination of the reply to a request; copied by value. */
typedef struct fv_reply_to {
    char host[Fv_NAME_SIZE];
    uint64_t connection; /* 0: this host */
    uint64_t request_id;
} fv_reply_to_t;

fv_peers_t *FvPeers_New(fv_daemon_t *daemon);
void FvPeers_Free(fv_peers_t *peers);
void FvPeers_Call(fv_peers_t *peers, const char *host, fv_message_t *message,
                  int64_t timeout_ms, fv_peer_done_t done, void *context);
void FvPeers_Notify(fv_peers_t *peers, const char *host,
                    const fv_message_t *message);
void FvPeers_Reply(fv_peers_t *peers, const fv_reply_to_t *to,
                   fv_message_t *reply);
void FvPeers_OnMessage(fv_peers_t *peers, const char *host,
                       uint64_t connection, fv_message_t *message);
void FvPeers_OnLinkUp(fv_peers_t *peers, const fv_hello_t *welcome);
void FvPeers_OnLinkDown(fv_peers_t *peers, const char *host);

/* host-list.c: polls the platform's list of hosts and workers. */
typedef struct fv_host_list fv_host_list_t;

fv_host_list_t *FvHostList_New(fv_daemon_t *daemon);
void FvHostList_Free(fv_host_list_t *list);

/* upstream.c: the protocol between a host and its workers, as a vtable. */
typedef struct fv_upstream fv_upstream_t;

typedef enum fv_upstream_error {
    Fv_UPSTREAM_OK,
    Fv_UPSTREAM_NOT_SENT,
    Fv_UPSTREAM_REFUSED, /* the worker did not act on the request */
    Fv_UPSTREAM_UNCONFIRMED,
    Fv_UPSTREAM_MALFORMED
} fv_upstream_error_t;

typedef struct fv_lease_reply {
    fv_upstream_error_t error;
    uint64_t term;
    int64_t ttl_ms;
    int64_t sequence; /* of the worker's last event */
    /* On a refusal: time until the other holder's lease expires. */
    int64_t expires_in_ms;
    bool leaving;
    fv_resources_t capacity;
    int32_t connection_limit;
    uint32_t task_count;
    fv_task_t *tasks;
} fv_lease_reply_t;

typedef void (*fv_lease_done_t)(void *context, const fv_lease_reply_t *reply);
/* The callee may take ownership of reply->answer by setting it to NULL. */
typedef void (*fv_task_done_t)(void *context, fv_upstream_error_t error,
                               fv_task_reply_t *reply);

typedef struct fv_upstream_type {
    const char *name;
    void (*lease)(fv_upstream_t *upstream, const fv_worker_t *worker,
                  uint64_t term, fv_lease_done_t done, void *context);
    void (*release)(fv_upstream_t *upstream, const fv_worker_t *worker,
                    fv_lease_done_t done, void *context);
    void (*start)(fv_upstream_t *upstream, const fv_worker_t *worker,
                  const fv_task_request_t *request, int64_t not_after_ns,
                  fv_task_done_t done, void *context);
    void (*query)(fv_upstream_t *upstream, const char *base_url,
                  const char *task_id, fv_task_done_t done, void *context);
    void (*answer)(fv_upstream_t *upstream, const char *base_url,
                   const char *task_id, fv_task_done_t done, void *context);
    void (*stop)(fv_upstream_t *upstream, const char *base_url,
                 const char *task_id, fv_task_done_t done, void *context);
    void (*checkpoint)(fv_upstream_t *upstream, const char *base_url,
                       const char *task_id, fv_task_done_t done,
                       void *context);
    void (*throttle)(fv_upstream_t *upstream, const char *base_url,
                     const char *task_id, int32_t percent, fv_task_done_t done,
                     void *context);
} fv_upstream_type_t;

struct fv_upstream {
    const fv_upstream_type_t *type;
    fv_daemon_t *daemon;
};

fv_upstream_t *FvUpstream_NewJson(fv_daemon_t *daemon);
void FvUpstream_Free(fv_upstream_t *upstream);

/* holder.c: the leases this host holds; tracks every listed worker. */
typedef struct fv_holder fv_holder_t;

/* A query that is replied to when a task ends. */
typedef struct fv_task_waiter {
    struct fv_managed_worker *managed;
    char task_id[Fv_TASK_ID_SIZE];
    fv_reply_to_t to;
    fv_timer_t timer;
    struct fv_task_waiter *next;
} fv_task_waiter_t;

typedef struct fv_managed_worker {
    fv_holder_t *holder;
    fv_worker_t *worker;
    fv_timer_t timer;
    bool is_preferred_holder; /* this host should hold the lease */
    bool call_pending;        /* a lease call is outstanding */
    /* The outcome of the last lease call is unknown. The worker is probed
     * before the lease is requested again, because the delayed request may
     * still extend the lease. */
    bool lease_call_unconfirmed;
    bool probe_pending;
    int64_t sent_ns; /* boot; read before the lease call was sent */
    /* Boot; latest expiry of a grant whose response was lost. */
    int64_t unconfirmed_grant_expires_ns;
    int64_t not_preferred_since_ms;
    int32_t starts_pending;
    bool listed_leaving;
    bool reported_leaving;    /* by the worker, possibly before the list */
    uint64_t list_generation; /* last list that contained the worker */
    fv_task_waiter_t *waiters;
    UT_hash_handle hh;
} fv_managed_worker_t;

struct fv_holder {
    fv_daemon_t *daemon;
    fv_managed_worker_t *managed_workers; /* by worker name */
    fv_placement_t *placement;
    fv_timer_t tick;
    uint64_t alive_hosts_hash;
    uint64_t list_generation;
    bool list_changed;
    bool draining;
    fv_resources_t total_capacity; /* of the leased workers */
    int64_t last_preemption_ms;    /* boot; last task checkpointed */
};

fv_holder_t *FvHolder_New(fv_daemon_t *daemon);
void FvHolder_Free(fv_holder_t *holder);
void FvHolder_OnWorkers(fv_holder_t *holder, const json_t *listed);
fv_managed_worker_t *FvHolder_Find(const fv_holder_t *holder,
                                   const char *worker);
fv_task_t *FvHolder_AddTask(fv_managed_worker_t *managed,
                            const fv_task_t *task);
void FvHolder_RemoveTask(fv_managed_worker_t *managed, fv_task_t *task);
void FvHolder_Drain(fv_holder_t *holder);
bool FvHolder_IsDrained(const fv_holder_t *holder);
void FvHolder_Summarize(const fv_holder_t *holder, fv_host_digest_t *digest);
uint32_t FvHolder_CountListed(const fv_holder_t *holder);
json_t *FvHolder_ToJson(const fv_holder_t *holder);

/* holder-tasks.c: task requests to the workers leased by this host. */
void FvHolder_Reserve(fv_holder_t *holder, const fv_task_request_t *request,
                      const fv_reply_to_t *to);
void FvHolder_Start(fv_holder_t *holder, const fv_task_request_t *request,
                    const fv_reply_to_t *to);
void FvHolder_Stop(fv_holder_t *holder, const fv_task_request_t *request,
                   const fv_reply_to_t *to);
void FvHolder_Query(fv_holder_t *holder, const fv_task_request_t *request,
                    const fv_reply_to_t *to);
void FvHolder_Release(fv_holder_t *holder, const fv_task_request_t *request);
void FvHolder_LeaseQuery(fv_holder_t *holder, const fv_task_request_t *request,
                         const fv_reply_to_t *to);
/* preemption.c: preemption of tasks for more urgent work. */
void FvPreemption_FreeCapacityFor(fv_holder_t *holder,
                                  const fv_task_request_t *request);

void FvHolder_OnTaskEnded(fv_managed_worker_t *managed, const char *task_id);
void FvHolder_RefuseWaiters(fv_managed_worker_t *managed);

/* config-sync.c: watches and distributes the active configuration. */
typedef struct fv_config_sync fv_config_sync_t;

fv_config_sync_t *FvConfigSync_New(fv_daemon_t *daemon);
void FvConfigSync_Free(fv_config_sync_t *config_sync);
void FvConfigSync_OnHosts(fv_config_sync_t *config_sync);
void FvConfigSync_OnProposalActivated(fv_config_sync_t *config_sync,
                                      json_t *head, json_t *contracts);
void FvConfigSync_OnPeerVersion(fv_config_sync_t *config_sync,
                                const char *host, uint64_t version);
void FvConfigSync_OnConfigGet(fv_config_sync_t *config_sync,
                              const fv_message_t *request,
                              const fv_reply_to_t *to);
void FvConfigSync_OnConfig(fv_config_sync_t *config_sync,
                           const fv_message_t *message);

/* runner.c: runs the jobs that this host accepted; see runner.h. */
typedef struct fv_runner fv_runner_t;

fv_runner_t *FvRunner_New(fv_daemon_t *daemon);
void FvRunner_Free(fv_runner_t *runner);
void FvRunner_ScheduleDispatch(fv_runner_t *runner);
void FvRunner_OnHosts(fv_runner_t *runner);
void FvRunner_OnConfig(fv_runner_t *runner);
void FvRunner_OnJobStatus(fv_runner_t *runner, const fv_message_t *request,
                          const fv_reply_to_t *to);
void FvRunner_OnJobCancel(fv_runner_t *runner, const fv_message_t *request,
                          const fv_reply_to_t *to);
void FvRunner_QueueCounts(const fv_runner_t *runner,
                          int32_t counts[Fv_CLASS_COUNT]);
bool FvRunner_IsDrained(const fv_runner_t *runner);

/* digest.c: sends this host's digest to its peers, also as a heartbeat. */
typedef struct fv_digest_sender fv_digest_sender_t;

fv_digest_sender_t *FvDigestSender_New(fv_daemon_t *daemon);
void FvDigestSender_Free(fv_digest_sender_t *sender);

/* ledger.c: saves this host's accounts and run time estimates. */
typedef struct fv_ledger fv_ledger_t;

fv_ledger_t *FvLedger_New(fv_daemon_t *daemon);
void FvLedger_Free(fv_ledger_t *ledger);
void FvLedger_Flush(fv_ledger_t *ledger);
bool FvLedger_IsFlushed(const fv_ledger_t *ledger);
void FvLedger_ReplyUsage(fv_ledger_t *ledger, fv_ticket_t *ticket);

/* cell.c: whether a task fits anywhere in the cell. */
bool FvCell_CanEverFit(const fv_daemon_t *daemon,
                       const fv_workload_t *workload);

/* serve.c: starts and stops the daemon. */
struct fv_daemon {
    fv_settings_t settings;
    char incarnation[Fv_NONCE_SIZE];
    int64_t started_ms; /* boot */
    uint8_t cluster_key[32];
    fv_tokens_t *tokens;
    fv_loop_t *loop;
    fv_http_client_t *http;
    fv_http_server_t *server;
    fv_store_t *store;
    fv_hosts_t hosts;
    fv_host_t *self;
    fv_link_t *link;
    fv_peers_t *peers;
    fv_host_list_t *host_list;
    fv_upstream_t *upstream;
    fv_holder_t *holder;
    fv_config_sync_t *config_sync;
    fv_runner_t *runner;
    fv_digest_sender_t *digest_sender;
    fv_ledger_t *ledger;
    fv_shares_t *shares;
    fv_estimates_t *estimates;
    fv_accounts_t *accounts;
    atomic_bool ready;
    atomic_bool draining;
};

int FvServe_Run(const fv_settings_t *settings);

#endif
