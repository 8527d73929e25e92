/*
 * Leader election. The leader is the host named in the leader key, which is
 * attached to a lease of the store. The key's create revision is the epoch and
 * serves as the fencing token of every order.
 */

#include "election.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* An unresponsive leader is replaced after this; it is the shortest lease that
 * the store grants. Four renewals are sent per lease without waiting for
 * answers: the store may lose two answers in five, and a connection may go
 * silent for good. */
#define Fv_LEADER_TTL_MS 1000
#define Fv_LEADER_RENEW_MS 200

/* How long a leader keeps sending orders after its last renewal while the
 * store does not answer. It covers most outages of the store, which last 3.3
 * to 5.4 s. Workers reject its orders once they have seen a newer epoch. */
#define Fv_LEADER_ORDER_GRACE_MS 6000

/* Delay before a claim when there is no leader; hosts with less CPU than the
 * largest wait longer. */
#define Fv_CLAIM_JITTER_MS 80
#define Fv_CLAIM_SMALL_HOST_DELAY_MS 300
#define Fv_CLAIM_RETRY_MS 150

/* After this many consecutive failed renewals a leader asks the other hosts to
 * replace it if the store answers them. A failed renewal is retried at every
 * tick; a renewal costs a tenth of a read. */
#define Fv_FAILED_RENEWALS_MAX 2
#define Fv_FAILED_RENEW_RETRY_MS 90

/* When the leader reports failing renewals, a host reads the leader key to see
 * whether the store answers it, at most once per interval. Only a renewal that
 * failed after that read succeeded shows that the store fails the leader
 * alone; an earlier one may have met an outage that is over. The transit time
 * of the leader's message is allowed for. */
#define Fv_STORE_CHECK_INTERVAL_MS 500
#define Fv_MESSAGE_TRANSIT_MS 70

/* A gap between ticks above Fv_SUSPENDED_MS means that the process was
 * suspended. */
#define Fv_TICK_MS 100
#define Fv_SUSPENDED_MS 1000

/**
 * FvElection_OrderGraceMs - how long a leader may send orders after its lease
 * has ended, by expiry or because another host ended it
 *
 * Return: the time in milliseconds.
 */
int64_t
FvElection_OrderGraceMs(void)
{
    return Fv_LEADER_ORDER_GRACE_MS;
}

/**
 * FvElection_Predecessor - the leader before this host
 * @election: the election
 *
 * A claim writes the generation key in the same transaction as the leader key
 * and fails when the generation key has changed. So the host in that key and
 * its revision are those of the predecessor, whoever wrote other keys last.
 *
 * Return: the leader; its epoch is 0 when there was none.
 */
const fv_predecessor_t *
FvElection_Predecessor(const fv_election_t *election)
{
    return &election->predecessor;
}

/* Spreads the reactions of all hosts to the same event; the largest hosts act
 * first. */
static int64_t
random_claim_delay_ms(const fv_election_t *election)
{
    char hex[9];
    int64_t delay_ms;

    FvText_RandomHex(hex, sizeof(hex));
    delay_ms = (int64_t)(strtoul(hex, NULL, 16) % Fv_CLAIM_JITTER_MS) + 1;
    return delay_ms + (FvElectionHosts_IsLargest(election)
                           ? 0
                           : Fv_CLAIM_SMALL_HOST_DELAY_MS);
}

static void
arm_action_timer(fv_election_t *election, int64_t delay_ms)
{
    struct timeval delay = {.tv_sec = delay_ms / Fv_MS_PER_S,
                            .tv_usec = (suseconds_t)(delay_ms % Fv_MS_PER_S) *
                                       Fv_US_PER_MS};

    event_add(election->action_timer, &delay);
}

static void
claim_after(fv_election_t *election, int64_t now_ms, int64_t delay_ms)
{
    election->claim_at_ms = now_ms + delay_ms;
    if (election->claim_at_ms < election->no_claim_until_ms) {
        election->claim_at_ms = election->no_claim_until_ms;
    }
    arm_action_timer(election, election->claim_at_ms - now_ms);
}

static void
schedule_claim(fv_election_t *election, int64_t now_ms)
{
    if (election->claim_at_ms == 0 && election->state == Fv_CLAIM_NONE) {
        claim_after(election, now_ms, random_claim_delay_ms(election));
    }
}

static void
lose_leadership(fv_election_t *election, const char *cause)
{
    bool was_leader = election->state == Fv_CLAIM_HELD;

    election->state = Fv_CLAIM_NONE;
    election->lease = 0;
    if (was_leader) {
        FvMetrics_Add(Fv_COUNTER_LEASE_LOSSES, 1);
        FvLog_Event(Fv_LOG_WARN, "leadership_lost",
                    "cause=%s lead_age_ms=%" PRId64, cause,
                    FvClock_NowMs() - election->renewed_ms);
        election->events.lost(election->events.context, cause);
    }
    if (!election->leader_known) {
        schedule_claim(election, FvClock_NowMs());
    }
}

static void
claim_failed(fv_election_t *election)
{
    election->state = Fv_CLAIM_NONE;
    election->claim_at_ms = 0;
    if (!election->leader_known) {
        claim_after(election, FvClock_NowMs(), Fv_CLAIM_RETRY_MS);
    }
}

static void
abandon_claim(fv_election_t *election)
{
    FvKvClient_Revoke(election->kv, election->lease);
    claim_failed(election);
}

/* This host may have resigned since it began its claim. */
static bool
is_claim_wanted(const fv_election_t *election)
{
    return FvClock_NowMs() >= election->no_claim_until_ms;
}

static void
claim_won(fv_election_t *election, int64_t revision)
{
    if (!is_claim_wanted(election)) {
        abandon_claim(election);
        return;
    }
    election->state = Fv_CLAIM_HELD;
    election->claim_at_ms = 0;
    election->needs_renewal =
        election->suspension_detected_ms >= election->renewed_ms;
    election->failed_renewals = 0;
    election->proof_renewal = 0;
    election->proof_wanted = false;
    election->next_renew_ms =
        election->needs_renewal ? 0 : FvClock_NowMs() + Fv_LEADER_RENEW_MS;
    FvLog_Event(Fv_LOG_INFO, "leadership_won",
                "epoch=%" PRId64 " generation=%d ttl_ms=%" PRId64, revision,
                election->claimed_generation, election->ttl_ms);
    election->events.won(election->events.context, revision,
                         election->claimed_generation);
}

/* The generation counts leaderships; it distinguishes a leader's runs from
 * those of earlier leaders. */
static void
update_generation(fv_election_t *election, const fv_kv_item_t *item)
{
    if (strcmp(item->key, Fv_KEY_GENERATION) == 0 &&
        item->value.data != NULL &&
        item->revision > election->generation_revision) {
        election->generation_revision = item->revision;
        election->last_leader = (fv_predecessor_t){
            .epoch = item->revision, .began_by_ms = FvClock_NowMs()};
        election->last_generation = 0;
        sscanf((const char *)item->value.data, "%" SCNd32 " %63s",
               &election->last_generation, election->last_leader.host);
    }
}

static void claim_checked(void *context, const fv_kv_result_t *result);

/* Reads whether an unconfirmed claim succeeded. */
static void
check_claim(fv_election_t *election)
{
    election->state = Fv_CLAIM_CHECKING;
    election->check_at_ms = 0;
    FvKvClient_Get(election->kv, Fv_KEY_LEADER, claim_checked, election);
}

static void
claim_checked(void *context, const fv_kv_result_t *result)
{
    fv_election_t *election = context;

    if (election->state != Fv_CLAIM_CHECKING) {
        return;
    }
    if (result->error == Fv_KV_OK && result->items.count == 1 &&
        result->items.items[0].value.data != NULL &&
        strstr((const char *)result->items.items[0].value.data,
               election->nonce) != NULL) {
        claim_won(election, result->items.items[0].revision);
        return;
    }
    if (result->error == Fv_KV_OK || result->error == Fv_KV_NOT_FOUND) {
        abandon_claim(election);
        return;
    }
    election->check_at_ms = FvClock_NowMs() + Fv_CLAIM_RETRY_MS;
}

static void
claim_written(void *context, const fv_kv_result_t *result)
{
    fv_election_t *election = context;

    if (election->state != Fv_CLAIM_WRITING) {
        return;
    }
    if (result->error == Fv_KV_OK) {
        claim_won(election, result->revision);
    }
    else if (result->error == Fv_KV_UNCONFIRMED) {
        check_claim(election);
    }
    else {
        for (uint32_t i = 0; i < result->items.count; i++) {
            update_generation(election, &result->items.items[i]);
        }
        abandon_claim(election);
    }
}

static void
claim_granted(void *context, const fv_kv_result_t *result)
{
    fv_election_t *election = context;
    char value[Fv_URL_SIZE];
    char generation[Fv_NAME_SIZE * 2];
    char host_key[Fv_KEY_SIZE];
    char host[Fv_URL_SIZE];

    if (election->state != Fv_CLAIM_GRANTING) {
        return;
    }
    if (result->error != Fv_KV_OK) {
        claim_failed(election);
        return;
    }
    election->lease = result->lease;
    if (!is_claim_wanted(election)) {
        abandon_claim(election);
        return;
    }
    election->ttl_ms = result->ttl_ms;
    election->state = Fv_CLAIM_WRITING;
    election->claimed_generation = election->last_generation + 1;
    election->predecessor = election->last_leader;
    FvText_RandomHex(election->nonce, sizeof(election->nonce));
    snprintf(value, sizeof(value), "%s %d %s %" PRId64,
             election->settings->host, election->claimed_generation,
             election->nonce, election->lease);
    snprintf(generation, sizeof(generation), "%d %s",
             election->claimed_generation, election->settings->host);
    /* A successor takes hosts that are not registered for stopped. */
    FvElectionHosts_FormatEntry(election, host_key, host);
    FvKvClient_Txn(
        election->kv,
        (fv_kv_expect_t[]){{Fv_KEY_LEADER, 0},
                           {Fv_KEY_GENERATION, election->generation_revision}},
        2,
        (fv_kv_put_t[]){
            {.key = Fv_KEY_LEADER,
             .value = value,
             .length = strlen(value),
             .lease = election->lease},
            {.key = Fv_KEY_GENERATION,
             .value = generation,
             .length = strlen(generation)},
            {.key = host_key, .value = host, .length = strlen(host)}},
        3, Fv_KV_TIMEOUT_MS, claim_written, election);
}

static void
start_claim(fv_election_t *election, int64_t now_ms)
{
    int64_t ttl_ms = Fv_LEADER_TTL_MS;

    if (ttl_ms < election->settings->store_lease_min_ms) {
        ttl_ms = election->settings->store_lease_min_ms;
    }
    election->claim_at_ms = 0;
    election->state = Fv_CLAIM_GRANTING;
    election->renewed_ms = now_ms;
    FvKvClient_Grant(election->kv, ttl_ms, claim_granted, election);
}

typedef struct fv_renewal {
    fv_election_t *election;
    uint64_t number;
    int64_t lease;
    int64_t sent_ms;
} fv_renewal_t;

static void
note_failed_renewal(fv_election_t *election, int64_t sent_ms)
{
    int64_t now_ms = FvClock_NowMs();
    int64_t again_ms = sent_ms + Fv_FAILED_RENEW_RETRY_MS;

    election->failed_renewals++;
    if (election->next_renew_ms > again_ms) {
        election->next_renew_ms = again_ms;
    }
    if (election->failed_renewals == Fv_FAILED_RENEWALS_MAX) {
        FvLog_Event(Fv_LOG_WARN, "leader_refused", "renewals=%u",
                    election->failed_renewals);
    }
    if (election->failed_renewals >= Fv_FAILED_RENEWALS_MAX) {
        election->events.store_failing(election->events.context,
                                       now_ms - sent_ms);
    }
}

static void renew(fv_election_t *election, int64_t now_ms);

static void
end_proof(fv_election_t *election, uint64_t renewal)
{
    if (election->proof_renewal != renewal) {
        return;
    }
    election->proof_renewal = 0;
    if (election->proof_wanted) {
        election->proof_wanted = false;
        FvElection_ProveLease(election);
    }
}

static void
renewed(void *context, const fv_kv_result_t *result)
{
    fv_renewal_t *renewal = context;
    fv_election_t *election = renewal->election;

    if (election->state != Fv_CLAIM_HELD ||
        election->lease != renewal->lease) {
        goto done;
    }
    if (result->error == Fv_KV_OK) {
        if (renewal->sent_ms > election->renewed_ms) {
            election->renewed_ms = renewal->sent_ms;
        }
        if (renewal->sent_ms >= election->suspension_detected_ms) {
            election->needs_renewal = false;
        }
        election->failed_renewals = 0;
        end_proof(election, renewal->number);
        election->events.renewed(election->events.context, renewal->number,
                                 renewal->sent_ms);
    }
    else if (result->error == Fv_KV_NOT_FOUND) {
        lose_leadership(election, "lease_ended");
    }
    else {
        note_failed_renewal(election, renewal->sent_ms);
        end_proof(election, renewal->number);
    }
done:
    free(renewal);
}

static void
renew(fv_election_t *election, int64_t now_ms)
{
    fv_renewal_t *renewal = calloc(1, sizeof(*renewal));

    if (renewal == NULL) {
        return; /* the next tick tries again */
    }
    *renewal = (fv_renewal_t){.election = election,
                              .number = ++election->renewals_sent,
                              .lease = election->lease,
                              .sent_ms = now_ms};
    election->next_renew_ms = now_ms + Fv_LEADER_RENEW_MS;
    FvKvClient_Renew(election->kv, election->lease, renewed, renewal);
}

/* Returns whether the process may have been suspended. */
static bool
detect_suspension(fv_election_t *election, int64_t now_ms)
{
    bool suspended = election->last_tick_ms != 0 &&
                     now_ms - election->last_tick_ms > Fv_SUSPENDED_MS;

    if (suspended) {
        FvLog_Event(Fv_LOG_WARN, "process_stood_still", "for_ms=%" PRId64,
                    now_ms - election->last_tick_ms);
        election->needs_renewal = true;
        election->suspension_detected_ms = now_ms;
        election->next_renew_ms = now_ms;
    }
    election->last_tick_ms = now_ms;
    return suspended;
}

/* Revokes the lease of a dead leader, so that it is replaced at once. */
static void
revoke_leader_lease(fv_election_t *election)
{
    election->revoke_lease_at_ms = 0;
    FvLog_Event(Fv_LOG_WARN, "leader_lease_ended",
                "leader=%s lease=%" PRId64 " cause=%s", election->leader_host,
                election->leader_lease, election->revoke_cause);
    FvKvClient_Revoke(election->kv, election->leader_lease);
}

static void
run_due_action(fv_election_t *election, int64_t now_ms)
{
    if (election->state != Fv_CLAIM_NONE || !election->loaded) {
        return;
    }
    if (election->leader_known) {
        if (election->revoke_lease_at_ms != 0 &&
            now_ms >= election->revoke_lease_at_ms) {
            revoke_leader_lease(election);
        }
    }
    else if (election->claim_at_ms != 0 && now_ms >= election->claim_at_ms &&
             now_ms >= election->no_claim_until_ms) {
        start_claim(election, now_ms);
    }
}

static void
action_timer(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    run_due_action(context, FvClock_NowMs());
}

static void
schedule_lease_revocation(fv_election_t *election, const char *cause,
                          int64_t delay_ms)
{
    election->revoke_lease_at_ms = FvClock_NowMs() + delay_ms;
    election->revoke_cause = cause;
    arm_action_timer(election, delay_ms);
}

/**
 * FvElection_LeaderDead - revoke the lease of a leader that is known to be
 * dead
 * @election: the election
 * @host: the leader's host; ignored when it is no longer leader
 * @cause: how it is known, for the log; a literal
 *
 * Without this the leader is only replaced when its lease expires.
 */
void
FvElection_LeaderDead(fv_election_t *election, const char *host,
                      const char *cause)
{
    if (election->leader_known && election->state == Fv_CLAIM_NONE &&
        election->leader_lease != 0 &&
        strcmp(election->leader_host, host) == 0 &&
        election->revoke_lease_at_ms == 0) {
        schedule_lease_revocation(election, cause,
                                  random_claim_delay_ms(election));
    }
}

static void
store_checked(void *context, const fv_kv_result_t *result)
{
    fv_election_t *election = context;

    election->store_answered_ms =
        result->error == Fv_KV_OK ? FvClock_NowMs() : 0;
}

/**
 * FvElection_LeaderLostStore - handle the leader's report of failing calls
 * @election: the election
 * @host: the leader's host
 * @sent_ago_ms: how long ago the latest failed call was sent
 *
 * The leader is replaced when the store answers this host. Only the largest
 * hosts check this, so that an outage of the store for all costs few calls.
 */
void
FvElection_LeaderLostStore(fv_election_t *election, const char *host,
                           int64_t sent_ago_ms)
{
    int64_t now_ms = FvClock_NowMs();
    int64_t answered_ago_ms = now_ms - election->store_answered_ms;

    if (!FvElectionHosts_IsLargest(election)) {
        return;
    }
    if (election->store_answered_ms != 0 &&
        answered_ago_ms < Fv_STORE_CHECK_INTERVAL_MS + sent_ago_ms) {
        if (answered_ago_ms - sent_ago_ms >= Fv_MESSAGE_TRANSIT_MS) {
            FvElection_LeaderDead(election, host, "refused_by_the_store");
        }
    }
    else if (now_ms - election->store_checked_ms >=
             Fv_STORE_CHECK_INTERVAL_MS) {
        election->store_checked_ms = now_ms;
        FvKvClient_Get(election->kv, Fv_KEY_LEADER, store_checked, election);
    }
}

static void
tick(evutil_socket_t fd, short what, void *context)
{
    fv_election_t *election = context;
    int64_t now_ms = FvClock_NowMs();

    (void)fd;
    (void)what;
    detect_suspension(election, now_ms);
    if (!election->registered && !election->registering) {
        FvElectionHosts_Register(election);
    }
    if (election->state == Fv_CLAIM_HELD) {
        if (now_ms >= election->next_renew_ms) {
            renew(election, now_ms);
        }
        if (now_ms > election->renewed_ms + Fv_LEADER_ORDER_GRACE_MS) {
            lose_leadership(election, "store_unreachable");
        }
    }
    else if (election->state == Fv_CLAIM_CHECKING &&
             election->check_at_ms != 0 && now_ms >= election->check_at_ms) {
        check_claim(election);
    }
    else {
        run_due_action(election, now_ms);
    }
}

/**
 * FvElection_MaySendOrders - whether this host may send orders to workers now
 * @election: the election
 * @now_ms: the time
 *
 * Return: false when it is not leader, or was suspended and has not renewed
 * its lease since.
 */
bool
FvElection_MaySendOrders(fv_election_t *election, int64_t now_ms)
{
    detect_suspension(election, now_ms);
    return election->state == Fv_CLAIM_HELD && !election->needs_renewal &&
           now_ms <= election->renewed_ms + Fv_LEADER_ORDER_GRACE_MS;
}

/**
 * FvElection_LeaseLeftMs - how long this leader's lease certainly lasts
 * @election: the election
 * @now_ms: the time
 *
 * Another host may have ended it earlier.
 *
 * Return: the time left, negative after its end; 0 when not leader.
 */
int64_t
FvElection_LeaseLeftMs(const fv_election_t *election, int64_t now_ms)
{
    return election->state == Fv_CLAIM_HELD
               ? election->renewed_ms + election->ttl_ms - now_ms
               : 0;
}

/**
 * FvElection_ProveLease - have the store show that this host leads
 * @election: the election
 *
 * A renewal that succeeds shows that no other host led when the store received
 * it, and so at some time after it was sent. One renewal at a time is sent for
 * this, besides the regular ones; none while renewals fail.
 *
 * Return: number of the first renewal that is sent after the call began; the
 * event renewed reports the numbers of those that succeed.
 */
uint64_t
FvElection_ProveLease(fv_election_t *election)
{
    if (election->proof_renewal != 0) {
        election->proof_wanted = true;
        return election->renewals_sent + 1;
    }
    if (election->state != Fv_CLAIM_HELD || election->failed_renewals > 0) {
        return election->renewals_sent + 1; /* a regular one */
    }
    election->proof_renewal = election->renewals_sent + 1;
    renew(election, FvClock_NowMs());
    return election->proof_renewal;
}

/**
 * FvElection_Resign - give up leadership
 * @election: the election
 * @pause_ms: how long not to claim it again
 * @cause: reason for the log
 */
void
FvElection_Resign(fv_election_t *election, int64_t pause_ms, const char *cause)
{
    int64_t lease = election->lease;

    election->no_claim_until_ms = FvClock_NowMs() + pause_ms;
    if (election->state == Fv_CLAIM_HELD) {
        lose_leadership(election, cause);
        FvKvClient_Revoke(election->kv, lease);
    }
}

static void
control_begin(void *context)
{
    fv_election_t *election = context;

    election->reading = true;
    election->leader_known = false;
    for (uint32_t i = 0; i < election->host_count; i++) {
        election->hosts[i].listed = false;
    }
}

/* A leader with this host's name that is not this process was an earlier
 * process of this host, which has ended. */
static void
check_predecessor(fv_election_t *election)
{
    if (election->loaded && election->leader_known &&
        election->state == Fv_CLAIM_NONE && election->leader_lease != 0 &&
        strcmp(election->leader_host, election->settings->host) == 0) {
        schedule_lease_revocation(election, "process_restarted", 0);
    }
}

static void
read_leader(fv_election_t *election, const fv_kv_item_t *item)
{
    election->leader_host[0] = '\0';
    election->leader_lease = 0;
    election->revoke_lease_at_ms = 0;
    if (item->value.data == NULL ||
        sscanf((const char *)item->value.data, "%63s %*d %*s %" SCNd64,
               election->leader_host, &election->leader_lease) != 2) {
        FvLog_Event(Fv_LOG_WARN, "leader_entry_unreadable",
                    "revision=%" PRId64, item->revision);
    }
}

static void
update_leader(fv_election_t *election, const fv_kv_item_t *item)
{
    election->leader_known = !item->deleted;
    if (item->deleted) {
        FvLog_Event(Fv_LOG_INFO, "leader_gone", "revision=%" PRId64,
                    item->revision);
        election->next_renew_ms = 0; /* a leader renews at once */
        schedule_claim(election, FvClock_NowMs());
        return;
    }
    election->claim_at_ms = 0;
    read_leader(election, item);
    check_predecessor(election);
}

static void
control_item(void *context, const fv_kv_item_t *item)
{
    fv_election_t *election = context;

    if (strcmp(item->key, Fv_KEY_LEADER) == 0) {
        update_leader(election, item);
    }
    else if (strcmp(item->key, Fv_KEY_GENERATION) == 0) {
        update_generation(election, item);
    }
    else if (strcmp(item->key, Fv_KEY_UNREACHED) == 0) {
        FvElectionUnreached_Update(election, item);
    }
    else if (strncmp(item->key, Fv_KEY_HOSTS, strlen(Fv_KEY_HOSTS)) == 0) {
        FvElectionHosts_Update(election, item);
    }
}

static void
control_loaded(void *context)
{
    fv_election_t *election = context;

    election->loaded = true;
    election->reading = false;
    if (!election->leader_known) {
        schedule_claim(election, FvClock_NowMs());
    }
    check_predecessor(election);
    election->events.hosts_changed(election->events.context);
}

/**
 * FvElection_New - join the election
 * @base: the event loop
 * @kv: the store
 * @settings: this host
 * @events: callbacks
 *
 * Return: the election, or NULL when memory is exhausted.
 */
fv_election_t *
FvElection_New(struct event_base *base, fv_kv_client_t *kv,
               const fv_entry_settings_t *settings,
               const fv_election_events_t *events)
{
    fv_election_t *election = calloc(1, sizeof(*election));
    struct timeval interval = {.tv_usec = Fv_TICK_MS * 1000};

    if (election == NULL) {
        return NULL;
    }
    election->base = base;
    election->kv = kv;
    election->settings = settings;
    election->events = *events;
    election->tick = event_new(base, -1, EV_PERSIST, tick, election);
    election->action_timer = event_new(base, -1, 0, action_timer, election);
    event_add(election->tick, &interval);
    election->watch =
        FvKvClient_Watch(kv, &(fv_kv_watcher_t){.prefix = Fv_KEY_CONTROL,
                                                .begin = control_begin,
                                                .item = control_item,
                                                .loaded = control_loaded,
                                                .context = election});
    FvElectionHosts_Register(election);
    return election;
}

/**
 * FvElection_Free - leave the election
 * @election: the election, or NULL
 */
void
FvElection_Free(fv_election_t *election)
{
    if (election == NULL) {
        return;
    }
    FvKvClient_CancelWatch(election->watch);
    event_free(election->tick);
    event_free(election->action_timer);
    FvElectionUnreached_Free(election);
    free(election);
}
