/*
 * The election's own objects, shared by election.c and election-hosts.c.
 */

#ifndef ELECTION_H
#define ELECTION_H

#include "entry.h"

typedef enum fv_claim_state {
    Fv_CLAIM_NONE,
    Fv_CLAIM_GRANTING,
    Fv_CLAIM_WRITING,
    Fv_CLAIM_CHECKING,
    Fv_CLAIM_HELD
} fv_claim_state_t;

struct fv_election {
    struct event_base *base;
    fv_kv_client_t *kv;
    const fv_entry_settings_t *settings;
    fv_election_events_t events;
    fv_kv_watch_t *watch;
    struct event *tick;
    char nonce[Fv_NONCE_SIZE];
    struct event *due; /* of a claim, or of ending a dead leader's lease */
    bool loaded;       /* the control keys were read */
    bool leader_known;
    char leader_host[Fv_NAME_SIZE];
    int64_t leader_lease;
    int64_t end_lease_at_ms; /* the leader is dead; 0: not known to be */
    const char *end_cause;
    bool registered;
    bool registering;
    int32_t last_generation;
    int64_t predecessor_epoch;   /* of the leadership before the claimed one */
    int64_t generation_revision; /* of its key, 0: there is none */
    int32_t claimed_generation;
    fv_claim_state_t state;
    int64_t claim_at_ms; /* 0: not planned */
    int64_t check_at_ms; /* of a claim in doubt; 0: being read, or none */
    int64_t lease;
    int64_t ttl_ms;
    int64_t granted_ms; /* when the latest renewal that succeeded was sent */
    int64_t next_renew_ms;
    uint32_t failed_renewals; /* in a row */
    int64_t store_looked_ms; /* this host's read when the leader was refused */
    int64_t store_proven_ms; /* ... and its answer; 0: none */
    int64_t last_tick_ms;
    bool verify; /* stood still: orders only after the next renewal */
    int64_t verify_after_ms; /* one that was sent since */
    int64_t abstain_until_ms;
    uint32_t host_count;
    fv_peer_entry_t hosts[Fv_HOSTS_MAX];
};

/* election-hosts.c: the hosts that take part. */
void FvElectionHosts_Register(fv_election_t *election);
void FvElectionHosts_Update(fv_election_t *election, const fv_kv_item_t *item);
bool FvElectionHosts_IsLargest(const fv_election_t *election);

#endif
