/*
 * Internals of the election, shared by election.c and election-hosts.c.
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

typedef struct fv_unreached_entry fv_unreached_entry_t;

struct fv_election {
    struct event_base *base;
    fv_kv_client_t *kv;
    const fv_entry_settings_t *settings;
    fv_election_events_t events;
    fv_kv_watch_t *watch;
    struct event *tick;
    char nonce[Fv_NONCE_SIZE];
    struct event *action_timer; /* for a claim or a lease revocation */
    bool loaded;                /* the control keys have been read */
    bool reading;               /* they are being read again, page by page */
    bool leader_known;
    char leader_host[Fv_NAME_SIZE];
    int64_t leader_lease;
    int64_t revoke_lease_at_ms; /* of a dead leader; 0: not scheduled */
    const char *revoke_cause;
    bool registered;
    bool registering;
    int32_t last_generation;
    int64_t generation_revision;  /* of the generation key; 0: no key */
    fv_predecessor_t last_leader; /* that wrote the generation key */
    fv_predecessor_t predecessor; /* the same before this host's claim */
    int32_t claimed_generation;
    fv_claim_state_t state;
    int64_t claim_at_ms; /* 0: not scheduled */
    int64_t check_at_ms; /* of an unconfirmed claim; 0: none, or in progress */
    int64_t lease;
    int64_t ttl_ms;
    int64_t renewed_ms; /* when the latest successful renewal was sent */
    int64_t next_renew_ms;
    uint32_t failed_renewals; /* consecutive */
    uint64_t renewals_sent;
    uint64_t proof_renewal; /* sent for a proof, unanswered; 0: none */
    bool proof_wanted;      /* by a request that came after it was sent */
    /* This host's own read of the store after the leader reported failing
     * calls: when it was sent, and when it succeeded (0: it did not). */
    int64_t store_checked_ms;
    int64_t store_answered_ms;
    int64_t last_tick_ms;
    /* The process was suspended and the lease may have expired: no orders
     * until a renewal sent after suspension_detected_ms succeeds. */
    bool needs_renewal;
    int64_t suspension_detected_ms;
    int64_t no_claim_until_ms;
    fv_unreached_entry_t *unreached;
    uint32_t host_count;
    fv_peer_entry_t hosts[Fv_HOSTS_MAX];
};

/* election-hosts.c: the registry of hosts. */
void FvElectionHosts_FormatEntry(const fv_election_t *election, char *key,
                                 char *value);
void FvElectionHosts_Register(fv_election_t *election);
void FvElectionHosts_Update(fv_election_t *election, const fv_kv_item_t *item);
bool FvElectionHosts_IsLargest(const fv_election_t *election);

/* election-unreached.c: the list of unreached workers. */
void FvElectionUnreached_Update(fv_election_t *election,
                                const fv_kv_item_t *item);
void FvElectionUnreached_Free(fv_election_t *election);

#endif
