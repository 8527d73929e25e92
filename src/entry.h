/*
 * Modules of an entry host on the users' platform: one process with one event
 * loop. Any host can be elected leader of the cell and then runs the
 * scheduler; the others forward callers' requests to the leader.
 */

#ifndef ENTRY_H
#define ENTRY_H

#include "caller-connection.h"
#include "customer.h"
#include "platform.h"
#include "scheduler.h"

#include <event2/event.h>

/* entry-settings.c */
typedef struct fv_entry_settings {
    char host[Fv_NAME_SIZE];
    char data_center[Fv_NAME_SIZE];
    char region[Fv_NAME_SIZE];
    char address[Fv_ADDRESS_SIZE]; /* IPv4 address without a port */
    char callers_address[Fv_ADDRESS_SIZE];
    char ready_address[Fv_ADDRESS_SIZE];
    char metrics_address[Fv_ADDRESS_SIZE];
    int32_t link_port;
    double cpu_cores; /* CPU share times the number of cores */
    double memory_mb; /* that this process may use */
    int64_t memory_mib;
    char store_address[Fv_ADDRESS_SIZE];
    int32_t store_lease_min_ms;
    char advice_address[Fv_ADDRESS_SIZE]; /* "": no advice service */
    int32_t descriptors_max;              /* of the process */
    int32_t lease_max_ms;
    int32_t stop_timeout_ms; /* longest that stopping a run takes */
    int32_t gang_timeout_ms; /* longest wait for all gang members */
    int32_t drain_ms;        /* from SIGTERM until the process is killed */
    int32_t keep_ended_s;
    int32_t store_value_max_bytes;
    bool learn_worker_speeds; /* and place tasks by them */
    fv_caller_settings_t callers;
    fv_log_level_t log_level;
} fv_entry_settings_t;

/* File descriptors that the platform reserves for files. */
#define Fv_DESCRIPTORS_RESERVED 200

bool FvEntrySettings_Load(const char *path, fv_entry_settings_t *settings,
                          FILE *errors);

/* call.c: outgoing HTTP with pooled connections. */
typedef struct fv_call_pool fv_call_pool_t;
typedef void (*fv_call_done_t)(void *context, const fv_call_answer_t *answer);

/* In the order in which calls get a connection. */
typedef enum fv_call_urgency {
    Fv_CALL_STOP,
    Fv_CALL_START,
    Fv_CALL_RENEWAL,  /* may be lost without harm */
    Fv_CALL_LONG_POLL /* the server delays the answer */
} fv_call_urgency_t;

/* Bounds of the connections to one server. */
typedef struct fv_call_bounds {
    uint32_t open_max;
    uint32_t rest_max; /* kept when they are not needed */
    /* A connection is not opened while as many calls as there are connections
     * without a long poll can wait for these: a round trip either way. */
    bool waits_for_shared;
    /* The server has a limit of its own and resets connections beyond it. */
    bool server_limits;
} fv_call_bounds_t;

typedef struct fv_call_terms {
    const fv_call_bounds_t *bounds; /* a constant of the kind of server */
    fv_call_urgency_t urgency;
    int64_t timeout_ms;
    /* Of the server's process; the call is sent only on a connection that has
     * carried an answer of this one. 0: on any */
    int64_t incarnation;
} fv_call_terms_t;

/* Priorities of the event loop; all other events have the lower one. */
#define Fv_PRIORITIES 2
#define Fv_PRIORITY_PREFERRED 0

/* The server at an address has closed a connection at rest. */
typedef void (*fv_connection_closed_t)(void *context, const char *address);

fv_call_pool_t *FvCallPool_New(struct event_base *base, uint32_t open_max);
void FvCallPool_OnClosed(fv_call_pool_t *pool, fv_connection_closed_t closed,
                         void *context);
void FvCallPool_Prefer(fv_call_pool_t *pool, const char *address);
void FvCallPool_Free(fv_call_pool_t *pool);
void FvCallPool_FailUnsent(fv_call_pool_t *pool, const char *address,
                           fv_call_urgency_t kind);
void FvCallPool_Close(fv_call_pool_t *pool, const fv_call_bounds_t *bounds);
uint32_t FvCallPool_Open(const fv_call_pool_t *pool);
bool FvCallPool_MayLongPoll(const fv_call_pool_t *pool, const char *address);
void FvCallPool_NoteIncarnation(fv_call_pool_t *pool, int64_t incarnation);
bool FvCallPool_LacksConnection(const fv_call_pool_t *pool,
                                const char *address, int64_t incarnation);
void FvCallPool_Send(fv_call_pool_t *pool, const char *address,
                     fv_call_t *call, const fv_call_terms_t *terms,
                     fv_call_done_t done, void *context);

/* kv-client.c: client of the platform's key-value store. */
typedef struct fv_kv_client fv_kv_client_t;

typedef struct fv_kv_result {
    fv_kv_error_t error;
    int64_t revision; /* of the transaction */
    int64_t lease;
    int64_t ttl_ms;
    fv_kv_items_t items;
} fv_kv_result_t;

typedef void (*fv_kv_done_t)(void *context, const fv_kv_result_t *result);

/* Callbacks of a watch on a prefix: a snapshot of all keys, then every
 * change. A new snapshot follows when changes were missed. */
typedef struct fv_kv_watcher {
    const char *prefix;
    void (*begin)(void *context); /* a snapshot follows */
    void (*item)(void *context, const fv_kv_item_t *item);
    void (*loaded)(void *context); /* the snapshot is complete */
    /* Changes are gathered this long: the store charges for each watch call,
     * however many changes it returns. */
    int32_t coalesce_ms;
    void *context;
} fv_kv_watcher_t;

typedef struct fv_kv_watch fv_kv_watch_t;

/* watch-pace.c */
typedef enum fv_watch_step {
    Fv_WATCH_GATHER,   /* current: pause, so that changes gather */
    Fv_WATCH_CONTINUE, /* behind: ask again at once */
    Fv_WATCH_READ_ALL  /* too far behind */
} fv_watch_step_t;

typedef struct fv_watch_pace {
    int64_t known_revision; /* when the last call was sent */
    int64_t sent_ms;
    int64_t current_at_ms;   /* all changes up to this time were received */
    int64_t behind_since_ms; /* 0: current at the latest answer */
} fv_watch_pace_t;

void FvWatchPace_Reset(fv_watch_pace_t *pace, int64_t now_ms);
void FvWatchPace_Sent(fv_watch_pace_t *pace, int64_t known_revision,
                      int64_t now_ms);
fv_watch_step_t FvWatchPace_Answered(fv_watch_pace_t *pace, int64_t revision,
                                     uint32_t count, int64_t now_ms);
int64_t FvWatchPace_AgeMs(const fv_watch_pace_t *pace, int64_t now_ms);

/* A store that is slow takes 100 times the usual time, 400 ms, and the network
 * adds up to 40 ms; a renewal that takes longer has failed. */
#define Fv_KV_RENEW_TIMEOUT_MS 450

/* Time limit of other calls. The platform's store responds in 4 ms, across
 * regions in 44 ms. When degraded, it takes up to 100 times as long. */
#define Fv_KV_TIMEOUT_MS 1000

fv_kv_client_t *FvKvClient_New(struct event_base *base, fv_call_pool_t *pool,
                               const char *address);
void FvKvClient_Free(fv_kv_client_t *kv);
void FvKvClient_Range(fv_kv_client_t *kv, const char *prefix,
                      const char *after, fv_kv_done_t done, void *context);
void FvKvClient_Get(fv_kv_client_t *kv, const char *key, fv_kv_done_t done,
                    void *context);
void FvKvClient_Txn(fv_kv_client_t *kv, const fv_kv_expect_t *expects,
                    uint32_t expect_count, const fv_kv_put_t *puts,
                    uint32_t put_count, int64_t timeout_ms, fv_kv_done_t done,
                    void *context);
void FvKvClient_Grant(fv_kv_client_t *kv, int64_t ttl_ms, fv_kv_done_t done,
                      void *context);
void FvKvClient_Renew(fv_kv_client_t *kv, int64_t lease, fv_kv_done_t done,
                      void *context);
void FvKvClient_Revoke(fv_kv_client_t *kv, int64_t lease);
fv_kv_watch_t *FvKvClient_Watch(fv_kv_client_t *kv,
                                const fv_kv_watcher_t *watcher);
int64_t FvKvClient_WatchAgeMs(const fv_kv_watch_t *watch, int64_t now_ms);
void FvKvClient_CancelWatch(fv_kv_watch_t *watch);

/* Keys in the store. */
#define Fv_KEY_CONTROL "fireflyvalve/control/"
#define Fv_KEY_LEADER Fv_KEY_CONTROL "leader"
#define Fv_KEY_GENERATION Fv_KEY_CONTROL "generation"
#define Fv_KEY_HOSTS Fv_KEY_CONTROL "hosts/"
/* Workers without a lease; see leader-unreached.c. */
#define Fv_KEY_UNREACHED Fv_KEY_CONTROL "unreached"
#define Fv_KEY_JOBS "fireflyvalve/jobs/"
#define Fv_KEY_PROGRESS "fireflyvalve/progress/"
#define Fv_KEY_ENDED "fireflyvalve/ended/"
#define Fv_KEY_STREAMS "fireflyvalve/lanes/" /* see records.c */
#define Fv_KEY_WORKER_LIST                                                    \
    "fireflyvalve/roster" /* workers that may get orders */

/* records.c: ordered, batched writes of the leader, fenced by its epoch. */
typedef struct fv_record_writer fv_record_writer_t;
typedef void (*fv_records_done_t)(void *context);

typedef struct fv_record {
    char key[Fv_KEY_SIZE];
    fv_buffer_t value; /* empty: the key is removed */
    bool expires;      /* attached to a lease that outlives retention_ms */
} fv_record_t;

typedef struct fv_records_owner {
    int64_t epoch;               /* create revision of the leader's key */
    int64_t retention_ms;        /* of records that expire */
    void (*lost)(void *context); /* another host is leader */
    void *context;
} fv_records_owner_t;

fv_record_writer_t *FvRecordWriter_New(struct event_base *base,
                                       fv_kv_client_t *kv,
                                       const fv_records_owner_t *owner,
                                       const int64_t *stream_revisions);
void FvRecordWriter_Free(fv_record_writer_t *writer);
/* Entries that are written in one transaction. */
typedef struct fv_records_group {
    const char *order_key; /* groups with the same key are written in order */
    bool replaces; /* may be merged into an unsent group of the same order
                      key and first entry, which then gets the new value */
    fv_record_t *entries; /* at most 29; takes ownership of their values */
    uint32_t count;
    bool urgent;            /* a caller waits for this write */
    fv_records_done_t done; /* called when written, or NULL */
    /* Called if the group is withdrawn before it is sent; NULL: it must not
     * be. A group for which a later one of its order key waits is kept. */
    fv_records_done_t withdrawn;
    void *context;
} fv_records_group_t;

bool FvRecordWriter_Write(fv_record_writer_t *writer,
                          const fv_records_group_t *group);
int64_t FvRecordWriter_StalledMs(const fv_record_writer_t *writer,
                                 int64_t now_ms);
bool FvRecordWriter_Stalled(const fv_record_writer_t *writer, int64_t now_ms);
void FvRecordWriter_WithdrawUnsent(fv_record_writer_t *writer);
void FvRecordWriter_NotifyWritten(fv_record_writer_t *writer,
                                  fv_records_done_t done, void *context);
uint32_t FvRecordWriter_Backlog(const fv_record_writer_t *writer);

#define Fv_RECORD_STREAMS 8
void FvRecordWriter_StreamKey(uint32_t stream, char *key, size_t size);

/* election.c: leader election. */
typedef struct fv_election fv_election_t;

typedef struct fv_peer_entry {
    char name[Fv_NAME_SIZE];
    char link_address[Fv_ADDRESS_SIZE];
    double cpu_cores;
    double memory_mb; /* 0: not known */
    bool listed;      /* in the registry of hosts */
} fv_peer_entry_t;

/* The leader before this host. */
typedef struct fv_predecessor {
    char host[Fv_NAME_SIZE]; /* "": none, or not known */
    int64_t epoch;           /* 0: none */
    int64_t began_by_ms;     /* a time at which it had been elected */
} fv_predecessor_t;

typedef struct fv_election_events {
    void (*won)(void *context, int64_t epoch, int32_t generation);
    void (*lost)(void *context, const char *cause);
    /* The store refused or did not answer lease renewals of this leader;
     * @sent_ago_ms: since the latest of them was sent. */
    void (*store_failing)(void *context, int64_t sent_ago_ms);
    /* A renewal that was sent at sent_ms has succeeded: this host led then. */
    void (*renewed)(void *context, uint64_t renewal, int64_t sent_ms);
    void (*hosts_changed)(void *context);
    void *context;
} fv_election_events_t;

fv_election_t *FvElection_New(struct event_base *base, fv_kv_client_t *kv,
                              const fv_entry_settings_t *settings,
                              const fv_election_events_t *events);
void FvElection_Free(fv_election_t *election);
bool FvElection_MaySendOrders(fv_election_t *election, int64_t now_ms);
int64_t FvElection_LeaseLeftMs(const fv_election_t *election, int64_t now_ms);
uint64_t FvElection_ProveLease(fv_election_t *election);
void FvElection_Resign(fv_election_t *election, int64_t pause_ms,
                       const char *cause);
void FvElection_LeaderDead(fv_election_t *election, const char *host,
                           const char *cause);
void FvElection_LeaderLostStore(fv_election_t *election, const char *host,
                                int64_t sent_ago_ms);
void FvElection_RemoveHost(fv_election_t *election, const char *name,
                           int64_t epoch);
bool FvElection_KnowsHosts(const fv_election_t *election);
uint32_t FvElection_Hosts(const fv_election_t *election,
                          const fv_peer_entry_t **hosts);
double FvElection_SmallestMemoryMb(const fv_election_t *election);
int64_t FvElection_OrderGraceMs(void);
int64_t FvElection_UnreachedSince(const fv_election_t *election,
                                  const char *line);
const fv_predecessor_t *FvElection_Predecessor(const fv_election_t *election);

/* host-link.c: msgpack frames over TCP between hosts. */
typedef enum fv_cell_message_kind {
    Fv_CELL_MESSAGE_GREETING = 1, /* leader: number = epoch, name = host */
    Fv_CELL_MESSAGE_JOIN,      /* host: number = config version, name = host */
    Fv_CELL_MESSAGE_HEARTBEAT, /* both: number = config version */
    Fv_CELL_MESSAGE_CONFIG,    /* both: body = the configuration */
    Fv_CELL_MESSAGE_REQUEST,   /* host: number = verb, name = queue,
                                  key = job, body = submission */
    Fv_CELL_MESSAGE_REPLY,     /* leader: number = outcome, name = state,
                                  key = host */
    Fv_CELL_MESSAGE_ADVICE_REQUEST, /* leader: key = step, body = worker ids */
    Fv_CELL_MESSAGE_ADVICE_REPLY,   /* host: number = 1 when answered,
                                       body = worker ids and tickets */
    Fv_CELL_MESSAGE_STORE_FAILING,  /* leader: the store fails its calls,
                                       number = sent_ago_ms */
    Fv_CELL_MESSAGE_CALLER          /* host: how the next request was checked;
                                       not delivered, see host-link.c */
} fv_cell_message_kind_t;

typedef struct fv_cell_message {
    fv_cell_message_kind_t kind;
    int64_t id;
    int64_t number;
    const char *name;
    const char *key;
    const char *body;
    size_t body_length;
    const char *customer; /* of a request; NULL or "": none */
    fv_caller_check_t check;
} fv_cell_message_t;

typedef struct fv_links fv_links_t;
typedef struct fv_link_peer fv_link_peer_t;

typedef struct fv_links_events {
    /* The message's strings are valid until the callback returns. */
    void (*message)(void *context, fv_link_peer_t *peer,
                    const fv_cell_message_t *message);
    void (*opened)(void *context, fv_link_peer_t *peer);
    void (*closed)(void *context, fv_link_peer_t *peer);
    void *context;
} fv_links_events_t;

fv_links_t *FvLinks_New(struct event_base *base,
                        const fv_entry_settings_t *settings,
                        const fv_links_events_t *events);
void FvLinks_Free(fv_links_t *links);
fv_link_peer_t *FvLinks_Dial(fv_links_t *links, const char *name,
                             const char *address);
void FvLinks_Close(fv_link_peer_t *peer);
void FvLinks_CloseDialed(fv_links_t *links);
uint32_t FvLinks_Unfinished(const fv_links_t *links);
void FvLinks_Send(fv_link_peer_t *peer, const fv_cell_message_t *message);
const char *FvLinks_Name(const fv_link_peer_t *peer);
const char *FvLinks_Error(const fv_link_peer_t *peer);
void FvLinks_SetName(fv_link_peer_t *peer, const char *name);
bool FvLinks_Dialed(const fv_link_peer_t *peer);
void FvLinks_CloseSilent(fv_links_t *links, int64_t silent_ms);

#define Fv_CANCEL_LOG_LINES_PER_S 50 /* of each host */

/* Callers' requests and the leader's replies in messages between hosts. */
typedef enum fv_verb {
    Fv_VERB_SUBMIT = 1,
    Fv_VERB_STATE,
    Fv_VERB_CANCEL,
    Fv_VERB_WAITING /* how many jobs of the queue wait */
} fv_verb_t;

typedef enum fv_reply {
    Fv_REPLY_ACCEPTED = 1,
    Fv_REPLY_STATE,   /* name = the state */
    Fv_REPLY_COUNT,   /* name = a number */
    Fv_REPLY_GONE,    /* no such job */
    Fv_REPLY_REFUSED, /* rejected, will never run; name = seconds to wait
                         before a retry */
    Fv_REPLY_MALFORMED,
    Fv_REPLY_NOT_READY, /* not processed; send the request again */
    Fv_REPLY_FORBIDDEN, /* the job belongs to another customer */
    Fv_REPLY_EXCESS,    /* as Fv_REPLY_REFUSED, since the customer submits more
                           than its weight allows while the cell is full */
} fv_reply_t;

/* frontend.c: HTTP server for callers and the platform's load balancer. */
typedef struct fv_frontend fv_frontend_t;

typedef struct fv_frontend_events {
    /* Forwards a request to the leader; false when no leader is known. */
    bool (*forward)(void *context, const fv_cell_message_t *message);
    bool (*ready)(void *context);
    /* Whether the configuration is recent enough to refuse a call by it. */
    bool (*is_config_current)(void *context);
    void *context;
} fv_frontend_events_t;

fv_frontend_t *FvFrontend_New(struct event_base *base,
                              const fv_entry_settings_t *settings,
                              const fv_frontend_events_t *events);
void FvFrontend_Free(fv_frontend_t *frontend);
void FvFrontend_SetConfig(fv_frontend_t *frontend,
                          const fv_cell_config_t *config,
                          fv_customers_t *customers);
void FvFrontend_Reply(fv_frontend_t *frontend,
                      const fv_cell_message_t *message, bool current);
void FvFrontend_LeaderChanged(fv_frontend_t *frontend);
void FvFrontend_LeaderLost(fv_frontend_t *frontend);
void FvFrontend_Drain(fv_frontend_t *frontend);
void FvFrontend_StopAccepting(fv_frontend_t *frontend, bool at_once);
bool FvFrontend_IsAccepting(const fv_frontend_t *frontend);
void FvFrontend_AnswerAll(fv_frontend_t *frontend);
uint32_t FvFrontend_OpenRequests(const fv_frontend_t *frontend);
void FvFrontend_CountTraffic(const fv_frontend_t *frontend,
                             fv_caller_traffic_t *traffic);

/* cell-leader.c: the leader's side: scheduling, orders, recording. */
typedef struct fv_leader fv_leader_t;

typedef struct fv_leader_events {
    bool (*may_send_orders)(void *context, int64_t now_ms);
    /* By the last renewal that succeeded; negative once it has expired. */
    int64_t (*lease_left_ms)(void *context, int64_t now_ms);
    /* Returns the number of a renewal for FvLeader_LeaseProved. */
    uint64_t (*prove_lease)(void *context);
    /* Since when this host has seen a line in the stored list of unreached
     * workers; 0: it has not. */
    int64_t (*unreached_since)(void *context, const char *line);
    /* Has one of the hosts call the advice service; false when none is
     * free. */
    bool (*request_advice)(void *context, const fv_cell_message_t *message,
                           int64_t cost_us);
    void (*deposed)(void *context, const char *cause);
    /* Whether a host is linked to this leader; such a host has stepped down if
     * it was leader before. */
    bool (*is_linked)(void *context, const char *host);
    /* Whether all registered hosts are linked to this leader. */
    bool (*are_all_linked)(void *context);
    /* Memory of the smallest registered host. */
    double (*smallest_memory_mb)(void *context);
    const fv_cell_config_t *(*config)(void *context);
    /* The configuration as read from the store before this leader serves. */
    void (*config_read)(void *context, const fv_kv_item_t *item);
    void (*handed_over)(void *context); /* may resign now */
    void *context;
} fv_leader_events_t;

typedef void (*fv_leader_reply_t)(void *context,
                                  const fv_cell_message_t *reply);

fv_leader_t *FvLeader_New(struct event_base *base, fv_call_pool_t *pool,
                          fv_kv_client_t *kv,
                          const fv_entry_settings_t *settings,
                          const fv_leader_events_t *events,
                          const fv_predecessor_t *predecessor, int64_t epoch,
                          int32_t generation);
void FvLeader_Free(fv_leader_t *leader);
void FvLeader_CloseConnections(fv_call_pool_t *pool);
void FvLeader_HandOver(fv_leader_t *leader);
bool FvLeader_IsServing(const fv_leader_t *leader);
void FvLeader_HandleRequest(fv_leader_t *leader,
                            const fv_cell_message_t *message,
                            fv_leader_reply_t reply, void *context);
void FvLeader_LeaseProved(fv_leader_t *leader, uint64_t renewal,
                          int64_t sent_ms);
void FvLeader_DropReplies(fv_leader_t *leader, const void *context);
void FvLeader_HandleAdvice(fv_leader_t *leader,
                           const fv_cell_message_t *message);

/* advice-client.c: this host's calls to the advice service. */
typedef struct fv_advice_client fv_advice_client_t;
typedef void (*fv_advice_done_t)(void *context,
                                 const fv_cell_message_t *answer);

fv_advice_client_t *FvAdviceClient_New(fv_call_pool_t *pool,
                                       const char *address);
void FvAdviceClient_Free(fv_advice_client_t *client);
void FvAdviceClient_Request(fv_advice_client_t *client,
                            const fv_cell_message_t *request,
                            fv_advice_done_t done, void *context);

/* entry.c */
int FvEntry_Run(const char *settings_path);

#endif
