/*
 * The process of an entry host, shared by entry.c and entry-hosts.c.
 */

#ifndef ENTRY_HOSTS_H
#define ENTRY_HOSTS_H

#include "entry.h"
#include "leader-probe.h"

#define Fv_HOST_ADVICE_MAX 64

typedef struct fv_entry fv_entry_t;

typedef struct fv_host_advice {
    int64_t id;
    int64_t cost_us;
    int64_t sent_ms;
} fv_host_advice_t;

/* A host as the leader sees it. */
typedef struct fv_host_state {
    fv_entry_t *entry;
    char name[Fv_NAME_SIZE];
    fv_link_peer_t *peer; /* NULL for this host, and while it is away */
    bool joined;
    int64_t dialed_ms;
    int64_t disconnected_since_ms; /* 0: joined, or not looked at */
    uint32_t advice_count;
    fv_host_advice_t asks[Fv_HOST_ADVICE_MAX];
    int64_t backlog_us;
    int64_t overhead_us; /* learned: what a call takes beyond its work */
} fv_host_state_t;

struct fv_entry {
    struct event_base *base;
    const char *settings_path;
    fv_entry_settings_t settings;
    fv_call_pool_t *pool;
    fv_kv_client_t *kv;
    fv_election_t *election;
    fv_links_t *links;
    fv_frontend_t *front;
    fv_advice_client_t *advice;
    fv_leader_t *leader;
    fv_kv_watch_t *config_watch;
    fv_cell_config_t *config;
    struct event *beat;
    struct event *depose;
    struct event *flush;
    struct event *drain;
    struct event *sigterm;
    struct event *sigint;
    struct event *sighup;
    const char *depose_cause;
    int64_t epoch;
    int64_t led_since_ms;
    int64_t lonely_since_ms;
    int64_t lonely_resigned_ms;
    fv_link_peer_t *uplink;
    int64_t uplink_epoch;
    int64_t leader_seen_ms;
    fv_leader_probe_t *probe; /* of the host whose link broke */
    char probed_host[Fv_NAME_SIZE];
    int64_t probed_epoch;   /* of its leadership */
    int64_t probed_lost_ms; /* when its link broke */
    int64_t dead_epoch; /* the latest leadership that is known to be dead */
    int64_t dead_since_ms;
    int64_t term_ms; /* when the drain began; 0: not draining */
    uint32_t host_state_count;
    fv_host_state_t *host_states[Fv_HOSTS_MAX];
    fv_host_state_t *self;
};

/* entry-hosts.c */
fv_host_state_t *FvEntryHosts_Obtain(fv_entry_t *entry, const char *name);
fv_host_state_t *FvEntryHosts_Find(fv_entry_t *entry,
                                   const fv_link_peer_t *peer);
const char *FvEntryHosts_FindUnreachable(fv_entry_t *entry,
                                         const fv_peer_entry_t *hosts,
                                         uint32_t count, int64_t now_ms);
void FvEntryHosts_LearnOverhead(fv_host_state_t *state, int64_t id);
void FvEntryHosts_RemoveAdvice(fv_host_state_t *state, int64_t id);
void FvEntryHosts_FailAdvice(fv_entry_t *entry, fv_host_state_t *state);
void FvEntryHosts_ProbeLeader(fv_entry_t *entry, const char *name,
                              int64_t epoch);
bool FvEntryHosts_RequestAdvice(void *context,
                                const fv_cell_message_t *message,
                                int64_t cost_us);

#endif
