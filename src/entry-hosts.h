/*
 * State of an entry host's process, shared by entry.c and entry-*.c.
 */

#ifndef ENTRY_HOSTS_H
#define ENTRY_HOSTS_H

#include "entry.h"
#include "leader-probe.h"

#define Fv_HOST_ADVICE_MAX 64

typedef struct fv_entry fv_entry_t;

/* A call to the advice service that a host makes for the leader. */
typedef struct fv_host_advice {
    int64_t id;
    int64_t cost_us;
    int64_t sent_ms;
} fv_host_advice_t;

/* The leader's view of a host, itself included. */
typedef struct fv_host_state {
    fv_entry_t *entry;
    char name[Fv_NAME_SIZE];
    fv_link_peer_t *peer; /* NULL for this host, or while not connected */
    bool joined;
    fv_dependency_t reach;
    int64_t dialed_ms;
    int64_t config_sent_ms;
    int64_t config_returned_ms; /* sent with a request that was given back */
    int64_t disconnected_since_ms; /* 0: joined, or not checked yet */
    uint32_t advice_count;
    fv_host_advice_t advice_requests[Fv_HOST_ADVICE_MAX];
    int64_t backlog_us;  /* cost of the open advice requests */
    int64_t overhead_us; /* measured time of a call beyond its cost */
} fv_host_state_t;

struct fv_entry {
    struct event_base *base;
    const char *settings_path;
    fv_entry_settings_t settings;
    fv_call_pool_t *pool;
    fv_kv_client_t *kv;
    fv_election_t *election;
    fv_links_t *links;
    fv_frontend_t *frontend;
    fv_advice_client_t *advice_client;
    fv_leader_t *leader;
    fv_kv_watch_t *config_watch;
    bool config_watch_loaded; /* has delivered a snapshot */
    fv_cell_config_t *config;
    fv_customers_past_t customers_past;
    int64_t leader_config_sent_ms; /* to the leader */
    fv_log_quota_t config_log;
    fv_log_quota_t give_back_log;
    int64_t last_heartbeat_ms; /* when the event loop last sent heartbeats */
    int64_t resumed_ms;        /* the process had stood still before */
    int64_t leader_heard_ms;   /* a message that was sent since */
    struct event *heartbeat;
    struct event *step_down;
    struct event *flush;
    struct event *drain;
    struct event *sigterm;
    struct event *sigint;
    struct event *sighup;
    const char *step_down_cause;
    int64_t epoch;
    int64_t leader_since_ms;
    int64_t half_reached_ms; /* last time half of the hosts were joined */
    int64_t isolation_resigned_ms;
    fv_link_peer_t *leader_link;
    int64_t leader_link_epoch;
    int64_t leader_seen_ms;
    fv_leader_probe_t *probe; /* of the leader whose link broke */
    char probed_host[Fv_NAME_SIZE];
    int64_t drain_started_ms; /* 0: not draining */
    bool drain_answered;      /* all that was open has been answered */
    uint32_t host_state_count;
    fv_host_state_t *host_states[Fv_HOSTS_MAX];
    fv_host_state_t *self; /* set when this host becomes leader */
};

/* entry-config.c */
int64_t FvEntryConfig_Version(const fv_entry_t *entry);
void FvEntryConfig_SendHeartbeats(fv_entry_t *entry);
void FvEntryConfig_Adopt(fv_entry_t *entry, const char *document,
                         size_t length, const char *source);
fv_kv_watch_t *FvEntryConfig_Watch(fv_entry_t *entry);
void FvEntryConfig_Read(void *context, const fv_kv_item_t *item);
void FvEntryConfig_SendIfNewer(fv_entry_t *entry, fv_link_peer_t *peer,
                               int64_t version);
bool FvEntryConfig_GiveBack(fv_entry_t *entry, fv_host_state_t *state,
                            const fv_cell_message_t *request);
void FvEntryConfig_NoteHeartbeat(fv_entry_t *entry, int64_t now_ms);
void FvEntryConfig_NoteLeaderHeard(fv_entry_t *entry);
bool FvEntryConfig_IsCurrent(void *context);

/* entry-hosts.c */
fv_host_state_t *FvEntryHosts_FindOrAdd(fv_entry_t *entry, const char *name);
fv_host_state_t *FvEntryHosts_Find(fv_entry_t *entry,
                                   const fv_link_peer_t *peer);
void FvEntryHosts_NoteLinked(fv_host_state_t *state);
void FvEntryHosts_NoteLinkClosed(fv_host_state_t *state, const char *error);
const char *FvEntryHosts_FindUnreachable(fv_entry_t *entry,
                                         const fv_peer_entry_t *hosts,
                                         uint32_t count, int64_t now_ms);
bool FvEntryHosts_IsLinked(const fv_entry_t *entry, const char *name);
bool FvEntryHosts_AreAllLinked(const fv_entry_t *entry);
void FvEntryHosts_LearnOverhead(fv_host_state_t *state, int64_t id);
void FvEntryHosts_RemoveAdvice(fv_host_state_t *state, int64_t id);
void FvEntryHosts_FailAdvice(fv_entry_t *entry, fv_host_state_t *state);
void FvEntryHosts_ProbeLeader(fv_entry_t *entry, const char *name);
bool FvEntryHosts_RequestAdvice(void *context,
                                const fv_cell_message_t *message,
                                int64_t cost_us);

#endif
