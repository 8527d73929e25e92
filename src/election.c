/*
 * Which host leads: the one whose name stands under the leader's key, which
 * is attached to a lease of the store. The revision at which the key was
 * created is the epoch, and the fencing token of every order.
 */

#include "election.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* A silent leader is replaced after this; the shortest lease that the store
 * grants. Four renewals are sent in that span whether or not earlier ones are
 * answered: the store may lose two answers in five (BENCH, kinds), and a
 * connection may go silent for good. */
#define Fv_LEADER_TTL_MS 1000
#define Fv_LEADER_RENEW_MS 200

/* How long a leader without its lease goes on giving orders while the store
 * does not answer: most outages of the store end within it (BENCH, kinds:
 * 3.3 to 5.4 s). Workers refuse its orders once a new leader was there. */
#define Fv_LEADER_ORPHAN_MS 6000

/* Wait before a free leadership is claimed; hosts with less processor time
 * than the largest wait longer. */
#define Fv_CLAIM_JITTER_MS 80
#define Fv_CLAIM_SMALL_HOST_MS 300
#define Fv_CLAIM_RETRY_MS 150

/* A leader that the store refused so often in a row, while it answers other
 * hosts, lets one of these take over; meanwhile it tries at every tick, a call
 * at a tenth of a read's price. */
#define Fv_REFUSED_RENEWALS 2
#define Fv_REFUSED_RENEW_MS 90

/* A host reads the leader's key to see whether the store answers it, at most
 * this often. A renewal of the leader that was sent later than that answer, by
 * more than the leader's word takes, and failed tells that it is refused
 * alone; earlier ones may have met an outage that has ended. */
#define Fv_STORE_LOOK_MS 500
#define Fv_REFUSAL_CROSSING_MS 70

/* A gap between two ticks that tells that the process stood still. */
#define Fv_TICK_MS 100
#define Fv_FREEZE_MS 1000

/**
 * FvElection_OrderGraceMs - how long a leader may order after its lease ended
 *
 * Return: the time.
 */
int64_t
FvElection_OrderGraceMs(void)
{
    return Fv_LEADER_ORPHAN_MS;
}

/**
 * FvElection_PredecessorEpoch - the epoch of the leadership before this host's
 * @election: the election
 *
 * A leadership is claimed under the condition that the key of generations is
 * as the one before left it, which wrote that key together with its own.
 *
 * Return: the epoch; 0 when nobody led before.
 */
int64_t
FvElection_PredecessorEpoch(const fv_election_t *election)
{
    return election->predecessor_epoch;
}

/* Spreads what all hosts do at the same news; the largest ones come first. */
static int64_t
pick_delay(const fv_election_t *election)
{
    char hex[9];
    int64_t delay_ms;

    FvText_RandomHex(hex, sizeof(hex));
    delay_ms = (int64_t)(strtoul(hex, NULL, 16) % Fv_CLAIM_JITTER_MS) + 1;
    return delay_ms +
           (FvElectionHosts_IsLargest(election) ? 0 : Fv_CLAIM_SMALL_HOST_MS);
}

static void
arm_due(fv_election_t *election, int64_t delay_ms)
{
    struct timeval delay = {.tv_sec = delay_ms / Fv_MS_PER_S,
                            .tv_usec = (suseconds_t)(delay_ms % Fv_MS_PER_S) *
                                       Fv_US_PER_MS};

    event_add(election->due, &delay);
}

static void
plan_claim(fv_election_t *election, int64_t now_ms)
{
    if (election->claim_at_ms != 0 || election->state != Fv_CLAIM_NONE) {
        return;
    }
    election->claim_at_ms = now_ms + pick_delay(election);
    if (election->claim_at_ms < election->abstain_until_ms) {
        election->claim_at_ms = election->abstain_until_ms;
    }
    arm_due(election, election->claim_at_ms - now_ms);
}

static void
lose(fv_election_t *election, const char *cause)
{
    bool held = election->state == Fv_CLAIM_HELD;

    election->state = Fv_CLAIM_NONE;
    election->lease = 0;
    if (held) {
        FvMetrics_Add(Fv_COUNTER_LEASE_LOSSES, 1);
        FvLog_Event(Fv_LOG_WARN, "leadership_lost", "cause=%s", cause);
        election->events.lost(election->events.context, cause);
    }
    if (!election->leader_known) {
        plan_claim(election, FvClock_NowMs());
    }
}

static void
claim_failed(fv_election_t *election)
{
    election->state = Fv_CLAIM_NONE;
    election->claim_at_ms = 0;
    if (!election->leader_known) {
        election->claim_at_ms = FvClock_NowMs() + Fv_CLAIM_RETRY_MS;
        arm_due(election, Fv_CLAIM_RETRY_MS);
    }
}

static void
claim_won(fv_election_t *election, int64_t revision)
{
    election->state = Fv_CLAIM_HELD;
    election->claim_at_ms = 0;
    election->verify = false;
    election->failed_renewals = 0;
    election->next_renew_ms = FvClock_NowMs() + Fv_LEADER_RENEW_MS;
    FvLog_Event(Fv_LOG_INFO, "leadership_won",
                "epoch=%" PRId64 " generation=%d ttl_ms=%" PRId64, revision,
                election->claimed_generation, election->ttl_ms);
    election->events.won(election->events.context, revision,
                         election->claimed_generation);
}

/* The number of the latest leadership, which tells its runs from those of
 * earlier leaders. */
static void
see_generation(fv_election_t *election, const fv_kv_item_t *item)
{
    if (strcmp(item->key, Fv_KEY_GENERATION) == 0 &&
        item->value.data != NULL &&
        item->revision > election->generation_revision) {
        election->generation_revision = item->revision;
        election->last_generation =
            (int32_t)strtol((const char *)item->value.data, NULL, 10);
    }
}

static void claim_checked(void *context, const fv_kv_result_t *result);

/* After an unanswered claim: is the key ours? */
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
        FvKvClient_Revoke(election->kv, election->lease);
        claim_failed(election);
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
            see_generation(election, &result->items.items[i]);
        }
        FvKvClient_Revoke(election->kv, election->lease);
        claim_failed(election);
    }
}

static void
claim_granted(void *context, const fv_kv_result_t *result)
{
    fv_election_t *election = context;
    char value[Fv_URL_SIZE];
    char generation[Fv_NAME_SIZE];

    if (election->state != Fv_CLAIM_GRANTING) {
        return;
    }
    if (result->error != Fv_KV_OK) {
        claim_failed(election);
        return;
    }
    election->lease = result->lease;
    election->ttl_ms = result->ttl_ms;
    election->state = Fv_CLAIM_WRITING;
    election->claimed_generation = election->last_generation + 1;
    election->predecessor_epoch = election->generation_revision;
    FvText_RandomHex(election->nonce, sizeof(election->nonce));
    snprintf(value, sizeof(value), "%s %d %s %" PRId64,
             election->settings->host, election->claimed_generation,
             election->nonce, election->lease);
    snprintf(generation, sizeof(generation), "%d",
             election->claimed_generation);
    FvKvClient_Txn(
        election->kv,
        (fv_kv_expect_t[]){{Fv_KEY_LEADER, 0},
                           {Fv_KEY_GENERATION, election->generation_revision}},
        2,
        (fv_kv_put_t[]){{.key = Fv_KEY_LEADER,
                         .value = value,
                         .length = strlen(value),
                         .lease = election->lease},
                        {.key = Fv_KEY_GENERATION,
                         .value = generation,
                         .length = strlen(generation)}},
        2, claim_written, election);
}

static void
claim(fv_election_t *election, int64_t now_ms)
{
    int64_t ttl_ms = Fv_LEADER_TTL_MS;

    if (ttl_ms < election->settings->store_lease_min_ms) {
        ttl_ms = election->settings->store_lease_min_ms;
    }
    election->claim_at_ms = 0;
    election->state = Fv_CLAIM_GRANTING;
    election->granted_ms = now_ms;
    FvKvClient_Grant(election->kv, ttl_ms, claim_granted, election);
}

typedef struct fv_renewal {
    fv_election_t *election;
    int64_t lease;
    int64_t sent_ms;
} fv_renewal_t;

static void
note_refused_renewal(fv_election_t *election, int64_t sent_ms)
{
    int64_t now_ms = FvClock_NowMs();
    int64_t again_ms = sent_ms + Fv_REFUSED_RENEW_MS;

    election->failed_renewals++;
    if (election->next_renew_ms > again_ms) {
        election->next_renew_ms = again_ms;
    }
    if (election->failed_renewals == Fv_REFUSED_RENEWALS) {
        FvLog_Event(Fv_LOG_WARN, "leader_refused", "renewals=%u",
                    election->failed_renewals);
    }
    if (election->failed_renewals >= Fv_REFUSED_RENEWALS) {
        election->events.store_failing(election->events.context,
                                       now_ms - sent_ms);
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
        if (renewal->sent_ms > election->granted_ms) {
            election->granted_ms = renewal->sent_ms;
        }
        if (renewal->sent_ms >= election->verify_after_ms) {
            election->verify = false;
        }
        election->failed_renewals = 0;
    }
    else if (result->error == Fv_KV_NOT_FOUND) {
        lose(election, "lease_ended");
    }
    else {
        note_refused_renewal(election, renewal->sent_ms);
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
    *renewal = (fv_renewal_t){
        .election = election, .lease = election->lease, .sent_ms = now_ms};
    election->next_renew_ms = now_ms + Fv_LEADER_RENEW_MS;
    FvKvClient_Renew(election->kv, election->lease, renewed, renewal);
}

/* Returns whether the process may have stood still. */
static bool
notice_freeze(fv_election_t *election, int64_t now_ms)
{
    bool frozen = election->last_tick_ms != 0 &&
                  now_ms - election->last_tick_ms > Fv_FREEZE_MS;

    if (frozen) {
        FvLog_Event(Fv_LOG_WARN, "process_stood_still", "for_ms=%" PRId64,
                    now_ms - election->last_tick_ms);
        election->verify = true;
        election->verify_after_ms = now_ms;
        election->next_renew_ms = now_ms;
    }
    election->last_tick_ms = now_ms;
    return frozen;
}

/* Ends the lease of a leader that is dead, so that it is replaced at once. */
static void
end_leader_lease(fv_election_t *election)
{
    election->end_lease_at_ms = 0;
    FvLog_Event(Fv_LOG_WARN, "leader_lease_ended",
                "leader=%s lease=%" PRId64 " cause=%s", election->leader_host,
                election->leader_lease, election->end_cause);
    FvKvClient_Revoke(election->kv, election->leader_lease);
}

/* Does what is due before a host leads. */
static void
seek_leadership(fv_election_t *election, int64_t now_ms)
{
    if (election->state != Fv_CLAIM_NONE || !election->loaded) {
        return;
    }
    if (election->leader_known) {
        if (election->end_lease_at_ms != 0 &&
            now_ms >= election->end_lease_at_ms) {
            end_leader_lease(election);
        }
    }
    else if (election->claim_at_ms != 0 && now_ms >= election->claim_at_ms) {
        claim(election, now_ms);
    }
}

static void
due(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    seek_leadership(context, FvClock_NowMs());
}

/* Has the lease of a dead leader ended after @delay_ms. */
static void
plan_end_of_lease(fv_election_t *election, const char *cause, int64_t delay_ms)
{
    election->end_lease_at_ms = FvClock_NowMs() + delay_ms;
    election->end_cause = cause;
    arm_due(election, delay_ms);
}

/**
 * FvElection_LeaderDead - a host is known to run no process that leads
 * @election: the election
 * @host: the host
 * @cause: how it is known, for the log; a literal
 *
 * Without this the leadership is free when the leader's lease has run out.
 */
void
FvElection_LeaderDead(fv_election_t *election, const char *host,
                      const char *cause)
{
    if (election->leader_known && election->state == Fv_CLAIM_NONE &&
        election->leader_lease != 0 &&
        strcmp(election->leader_host, host) == 0 &&
        election->end_lease_at_ms == 0) {
        plan_end_of_lease(election, cause, pick_delay(election));
    }
}

static void
store_looked_at(void *context, const fv_kv_result_t *result)
{
    fv_election_t *election = context;

    election->store_proven_ms =
        result->error == Fv_KV_OK ? FvClock_NowMs() : 0;
}

/**
 * FvElection_LeaderLostStore - the leader says that the store refuses its
 * calls
 * @election: the election
 * @host: the leader's host
 * @sent_ago_ms: how long ago the latest call that failed was sent
 *
 * When the store answers this host, the leader is replaced. The largest hosts
 * look after it, so that an outage of the store for all costs few calls.
 */
void
FvElection_LeaderLostStore(fv_election_t *election, const char *host,
                           int64_t sent_ago_ms)
{
    int64_t now_ms = FvClock_NowMs();
    int64_t proven_ms = now_ms - election->store_proven_ms;

    if (!FvElectionHosts_IsLargest(election)) {
        return;
    }
    if (election->store_proven_ms != 0 &&
        proven_ms < Fv_STORE_LOOK_MS + sent_ago_ms) {
        if (proven_ms - sent_ago_ms >= Fv_REFUSAL_CROSSING_MS) {
            FvElection_LeaderDead(election, host, "refused_by_the_store");
        }
    }
    else if (now_ms - election->store_looked_ms >= Fv_STORE_LOOK_MS) {
        election->store_looked_ms = now_ms;
        FvKvClient_Get(election->kv, Fv_KEY_LEADER, store_looked_at, election);
    }
}

static void
tick(evutil_socket_t fd, short what, void *context)
{
    fv_election_t *election = context;
    int64_t now_ms = FvClock_NowMs();

    (void)fd;
    (void)what;
    notice_freeze(election, now_ms);
    if (!election->registered && !election->registering) {
        FvElectionHosts_Register(election);
    }
    if (election->state == Fv_CLAIM_HELD) {
        if (now_ms >= election->next_renew_ms) {
            renew(election, now_ms);
        }
        if (now_ms >
            election->granted_ms + election->ttl_ms + Fv_LEADER_ORPHAN_MS) {
            lose(election, "store_unreachable");
        }
    }
    else if (election->state == Fv_CLAIM_CHECKING &&
             election->check_at_ms != 0 && now_ms >= election->check_at_ms) {
        check_claim(election);
    }
    else {
        seek_leadership(election, now_ms);
    }
}

/**
 * FvElection_MaySendOrders - whether this host may give orders to workers now
 * @election: the election
 * @now_ms: the time
 *
 * Return: false when it does not lead, or stood still and has not made sure.
 */
bool
FvElection_MaySendOrders(fv_election_t *election, int64_t now_ms)
{
    notice_freeze(election, now_ms);
    return election->state == Fv_CLAIM_HELD && !election->verify &&
           now_ms <=
               election->granted_ms + election->ttl_ms + Fv_LEADER_ORPHAN_MS;
}

/**
 * FvElection_Resign - give the leadership up
 * @election: the election
 * @pause_ms: how long not to claim it again
 * @cause: why, for the log
 */
void
FvElection_Resign(fv_election_t *election, int64_t pause_ms, const char *cause)
{
    int64_t lease = election->lease;

    election->abstain_until_ms = FvClock_NowMs() + pause_ms;
    if (election->state == Fv_CLAIM_HELD) {
        lose(election, cause);
        FvKvClient_Revoke(election->kv, lease);
    }
}

static void
control_begin(void *context)
{
    fv_election_t *election = context;

    election->leader_known = false;
    for (uint32_t i = 0; i < election->host_count; i++) {
        election->hosts[i].listed = false;
    }
}

/* A leader of this host's name that is not this process died with the process
 * before it. */
static void
check_predecessor(fv_election_t *election)
{
    if (election->loaded && election->leader_known &&
        election->state == Fv_CLAIM_NONE && election->leader_lease != 0 &&
        strcmp(election->leader_host, election->settings->host) == 0) {
        plan_end_of_lease(election, "process_restarted", 0);
    }
}

static void
read_leader(fv_election_t *election, const fv_kv_item_t *item)
{
    election->leader_host[0] = '\0';
    election->leader_lease = 0;
    election->end_lease_at_ms = 0;
    if (item->value.data == NULL ||
        sscanf((const char *)item->value.data, "%63s %*d %*s %" SCNd64,
               election->leader_host, &election->leader_lease) != 2) {
        FvLog_Event(Fv_LOG_WARN, "leader_entry_unreadable",
                    "revision=%" PRId64, item->revision);
    }
}

static void
see_leader(fv_election_t *election, const fv_kv_item_t *item)
{
    election->leader_known = !item->deleted;
    if (item->deleted) {
        FvLog_Event(Fv_LOG_INFO, "leader_gone", "revision=%" PRId64,
                    item->revision);
        election->next_renew_ms = 0; /* a leader finds out at once */
        plan_claim(election, FvClock_NowMs());
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
        see_leader(election, item);
    }
    else if (strcmp(item->key, Fv_KEY_GENERATION) == 0) {
        see_generation(election, item);
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
    if (!election->leader_known) {
        plan_claim(election, FvClock_NowMs());
    }
    check_predecessor(election);
    election->events.hosts_changed(election->events.context);
}

/**
 * FvElection_New - take part in the election
 * @base: the event loop
 * @kv: the store
 * @settings: this host
 * @events: what is told
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
    election->due = event_new(base, -1, 0, due, election);
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
    event_free(election->due);
    free(election);
}
