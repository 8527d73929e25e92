/*
 * The election: claims whose answers are lost, and what a leader may do
 * without its lease.
 */

#include "fake_kv.h"

#include <stdio.h>

#define TTL_MS 1300

typedef struct outcome {
    uint32_t won;
    uint32_t lost;
    uint32_t store_failing;
    int64_t epoch;
    int32_t generation;
} outcome_t;

static outcome_t outcome;
static struct event_base *base;
static fv_election_t *election;
static const fv_entry_settings_t settings = {
    .host = "akl-1", .address = "127.0.0.1", .link_port = 1, .cpu_cores = 1};

static void
won(void *context, int64_t epoch, int32_t generation)
{
    (void)context;
    outcome.won++;
    outcome.epoch = epoch;
    outcome.generation = generation;
}

static void
lost(void *context, const char *cause)
{
    (void)context;
    (void)cause;
    outcome.lost++;
}

static void
store_failing(void *context, int64_t sent_ago_ms)
{
    (void)context;
    (void)sent_ago_ms;
    outcome.store_failing++;
}

static void
hosts_changed(void *context)
{
    (void)context;
}

/* Opens an election at which nobody leads, after @generation leaders. */
static void
open_election(const char *generation)
{
    fv_kv_item_t item = {
        .key = (char *)Fv_KEY_GENERATION,
        .value = {.data = (uint8_t *)generation, .length = strlen(generation)},
        .revision = 5};

    fake_kv_reset();
    outcome = (outcome_t){0};
    base = event_base_new();
    election = FvElection_New(
        base, NULL, &settings,
        &(fv_election_events_t){.won = won,
                                .lost = lost,
                                .store_failing = store_failing,
                                .hosts_changed = hosts_changed});
    fake_kv.follower.begin(fake_kv.follower.context);
    fake_kv.follower.item(fake_kv.follower.context, &item);
    fake_kv.follower.loaded(fake_kv.follower.context);
}

static void
close_election(void)
{
    FvElection_Free(election);
    event_base_free(base);
}

/* Runs until this host has sent its claim, and returns that call. */
static fake_kv_call_t *
send_claim(void)
{
    fake_kv_run(base, 350);
    fake_kv_answer(
        fake_kv_latest(FAKE_KV_GRANT),
        (fv_kv_result_t){.error = Fv_KV_OK, .lease = 7, .ttl_ms = TTL_MS});
    return fake_kv_latest(FAKE_KV_TXN);
}

static void
test_generation_rises(void)
{
    fake_kv_call_t *claim;

    open_election("41");
    claim = send_claim();
    CU_ASSERT_STRING_EQUAL(claim->puts[1].key, Fv_KEY_GENERATION);
    CU_ASSERT_STRING_EQUAL(claim->puts[1].value, "42");
    fake_kv_answer(claim,
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 900});
    CU_ASSERT_EQUAL(outcome.won, 1);
    CU_ASSERT_EQUAL(outcome.epoch, 900);
    CU_ASSERT_EQUAL(outcome.generation, 42);
    close_election();
}

/* Pattern: the store goes silent within a claim and then answers 503. */
static void
test_claim_in_doubt_is_looked_up_with_pauses(void)
{
    fake_kv_call_t *claim;

    open_election("1");
    claim = send_claim();
    fake_kv_answer(claim, (fv_kv_result_t){.error = Fv_KV_UNCONFIRMED});
    CU_ASSERT_EQUAL(fake_kv_count(FAKE_KV_GET), 1);
    fake_kv_answer(fake_kv_latest(FAKE_KV_GET),
                   (fv_kv_result_t){.error = Fv_KV_UNAVAILABLE});
    CU_ASSERT_EQUAL(fake_kv_count(FAKE_KV_GET), 1);
    fake_kv_run(base, 350);
    CU_ASSERT_EQUAL(fake_kv_count(FAKE_KV_GET), 2);
    fake_kv_answer_item(fake_kv_latest(FAKE_KV_GET), Fv_KV_OK, Fv_KEY_LEADER,
                        claim->puts[0].value, 901);
    CU_ASSERT_EQUAL(outcome.won, 1);
    CU_ASSERT_EQUAL(outcome.epoch, 901);
    close_election();
}

static void
test_claim_of_another_host_is_not_taken_for_ours(void)
{
    fake_kv_call_t *claim;

    open_election("1");
    claim = send_claim();
    fake_kv_answer(claim, (fv_kv_result_t){.error = Fv_KV_UNCONFIRMED});
    fake_kv_answer_item(fake_kv_latest(FAKE_KV_GET), Fv_KV_OK, Fv_KEY_LEADER,
                        "akl-1 2 ffffffffffffffff", 901);
    CU_ASSERT_EQUAL(outcome.won, 0);
    CU_ASSERT_EQUAL(fake_kv.revoked, 1);
    close_election();
}

/* Pattern: the leader is frozen, and its lease has been someone else's since.
 */
static void
test_frozen_leader_orders_nothing_before_a_renewal(void)
{
    int64_t later_ms;

    open_election("1");
    fake_kv_answer(send_claim(),
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 900});
    CU_ASSERT_TRUE(FvElection_MaySendOrders(election, FvClock_NowMs()));
    later_ms = FvClock_NowMs() + 1200;
    CU_ASSERT_FALSE(FvElection_MaySendOrders(election, later_ms));
    CU_ASSERT_FALSE(FvElection_MaySendOrders(election, later_ms + 10));
    fake_kv_run(base, 1450);
    fake_kv_answer(fake_kv_latest(FAKE_KV_RENEW),
                   (fv_kv_result_t){.error = Fv_KV_NOT_FOUND});
    CU_ASSERT_EQUAL(outcome.lost, 1);
    CU_ASSERT_FALSE(FvElection_MaySendOrders(election, later_ms + 20));
    close_election();
}

/* Pattern: the leader freezes while the answer to its renewal is on its way;
 * the lease has run out when it wakes and reads the answer. */
static void
test_renewal_before_a_freeze_proves_nothing(void)
{
    fake_kv_call_t *before;
    int64_t later_ms;

    open_election("1");
    fake_kv_answer(send_claim(),
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 900});
    while (fake_kv_count(FAKE_KV_RENEW) == 0) {
        fake_kv_run(base, 10);
    }
    before = fake_kv_latest(FAKE_KV_RENEW);
    later_ms = FvClock_NowMs() + 1200;
    CU_ASSERT_FALSE(FvElection_MaySendOrders(election, later_ms));
    fake_kv_answer(before, (fv_kv_result_t){.error = Fv_KV_OK});
    CU_ASSERT_FALSE(FvElection_MaySendOrders(election, later_ms + 10));
    close_election();
}

/* Pattern: the store loses the answers of two calls in five, or a connection
 * to it goes silent for good. */
static void
test_unanswered_renewals_do_not_end_the_lease(void)
{
    fake_kv_call_t *claim_call;
    int64_t granted_ms;

    open_election("1");
    claim_call = send_claim();
    granted_ms = FvClock_NowMs();
    fake_kv_answer(claim_call,
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 900});
    while (fake_kv_count(FAKE_KV_RENEW) < 3) {
        fake_kv_run(base, 10);
    }
    CU_ASSERT(FvClock_NowMs() - granted_ms < fake_kv.granted_ttl_ms);
    fake_kv_answer(fake_kv_latest(FAKE_KV_RENEW),
                   (fv_kv_result_t){.error = Fv_KV_OK});
    CU_ASSERT_TRUE(FvElection_MaySendOrders(election, FvClock_NowMs()));
    CU_ASSERT_EQUAL(outcome.lost, 0);
    close_election();
}

/* Pattern: the answer to a renewal of an earlier leadership of this host comes
 * after it was won again. */
static void
test_late_renewal_is_not_of_the_new_lease(void)
{
    fake_kv_call_t *old;

    open_election("1");
    fake_kv_answer(send_claim(),
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 900});
    while (fake_kv_count(FAKE_KV_RENEW) == 0) {
        fake_kv_run(base, 10);
    }
    old = fake_kv_latest(FAKE_KV_RENEW);
    FvElection_Resign(election, 0, "test");
    fake_kv_run(base, 350);
    fake_kv_answer(
        fake_kv_latest(FAKE_KV_GRANT),
        (fv_kv_result_t){.error = Fv_KV_OK, .lease = 8, .ttl_ms = TTL_MS});
    fake_kv_answer(fake_kv_latest(FAKE_KV_TXN),
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 950});
    CU_ASSERT_EQUAL(outcome.won, 2);
    fake_kv_answer(old, (fv_kv_result_t){.error = Fv_KV_NOT_FOUND});
    CU_ASSERT_EQUAL(outcome.lost, 1); /* the resignation */
    close_election();
}

static void
tell_leader(const char *value, bool deleted)
{
    fv_kv_item_t item = {
        .key = (char *)Fv_KEY_LEADER,
        .value = {.data = (uint8_t *)value, .length = strlen(value)},
        .revision = 7,
        .deleted = deleted};

    fake_kv.follower.item(fake_kv.follower.context, &item);
}

/* Pattern: the leader's process is killed and starts again within the life of
 * its lease. */
static void
test_restarted_leader_ends_its_old_lease(void)
{
    open_election("1");
    tell_leader("akl-1 1 aaaaaaaaaaaaaaaa 77", false);
    fake_kv_run(base, 20);
    CU_ASSERT_EQUAL(fake_kv.revoked, 1);
    CU_ASSERT_EQUAL(fake_kv.revoked_lease, 77);
    tell_leader("", true);
    send_claim();
    CU_ASSERT_EQUAL(fake_kv_count(FAKE_KV_GRANT), 1);
    close_election();
}

/* Pattern: the leader's process is killed; its host refuses connections. */
static void
test_lease_of_dead_leader_is_ended_once(void)
{
    open_election("1");
    tell_leader("big-1 1 aaaaaaaaaaaaaaaa 78", false);
    FvElection_LeaderDead(election, "big-2", "test");
    fake_kv_run(base, 450);
    CU_ASSERT_EQUAL(fake_kv.revoked, 0); /* another host leads by now */
    FvElection_LeaderDead(election, "big-1", "test");
    fake_kv_run(base, 450);
    CU_ASSERT_EQUAL(fake_kv.revoked, 1);
    CU_ASSERT_EQUAL(fake_kv.revoked_lease, 78);
    close_election();
}

/* Pattern: all hosts find the leader dead; one of them was faster. */
static void
test_new_leader_is_not_ended_for_the_old_one(void)
{
    open_election("1");
    tell_leader("big-1 1 aaaaaaaaaaaaaaaa 78", false);
    FvElection_LeaderDead(election, "big-1", "test");
    tell_leader("big-2 2 bbbbbbbbbbbbbbbb 79", false);
    fake_kv_run(base, 450);
    CU_ASSERT_EQUAL(fake_kv.revoked, 0);
    close_election();
}

/* A leader does not take the news of its own entry for a predecessor's. */
static void
test_leader_keeps_its_own_lease(void)
{
    fake_kv_call_t *claim_call;

    open_election("1");
    claim_call = send_claim();
    tell_leader(claim_call->puts[0].value, false);
    fake_kv_answer(claim_call,
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 900});
    tell_leader(claim_call->puts[0].value, false);
    fake_kv_run(base, 150);
    CU_ASSERT_EQUAL(fake_kv.revoked, 0);
    CU_ASSERT_EQUAL(outcome.lost, 0);
    close_election();
}

/* Pattern: the store turns the leader away and serves the other hosts. */
static void
test_leader_refused_alone_is_replaced(void)
{
    open_election("1");
    tell_leader("big-1 1 aaaaaaaaaaaaaaaa 78", false);
    FvElection_LeaderLostStore(election, "big-1", 0);
    FvElection_LeaderLostStore(election, "big-1", 0);
    CU_ASSERT_EQUAL(fake_kv_count(FAKE_KV_GET), 1);
    fake_kv_answer_item(fake_kv_latest(FAKE_KV_GET), Fv_KV_OK, Fv_KEY_LEADER,
                        "big-1 1 aaaaaaaaaaaaaaaa 78", 7);
    FvElection_LeaderLostStore(election, "big-1",
                               0); /* sent before that read */
    fake_kv_run(base, 200);
    CU_ASSERT_EQUAL(fake_kv.revoked, 0);
    FvElection_LeaderLostStore(election, "big-1", 20);
    fake_kv_run(base, 120);
    CU_ASSERT_EQUAL(fake_kv.revoked, 1);
    close_election();
}

/* Pattern: the store was silent for all, and is back. The leader's calls of
 * before time out one after the other, up to half a second later. */
static void
test_leader_keeps_its_place_after_an_outage(void)
{
    open_election("1");
    tell_leader("big-1 1 aaaaaaaaaaaaaaaa 78", false);
    FvElection_LeaderLostStore(election, "big-1", 450);
    fake_kv_answer_item(fake_kv_latest(FAKE_KV_GET), Fv_KV_OK, Fv_KEY_LEADER,
                        "big-1 1 aaaaaaaaaaaaaaaa 78", 7);
    for (uint32_t i = 0; i < 5; i++) {
        fake_kv_run(base, 80);
        FvElection_LeaderLostStore(election, "big-1", 450);
    }
    fake_kv_run(base, 120);
    CU_ASSERT_EQUAL(fake_kv.revoked, 0);
    FvElection_LeaderLostStore(election, "big-1", 100); /* it still fails */
    fake_kv_run(base, 120);
    CU_ASSERT_EQUAL(fake_kv.revoked, 1);
    close_election();
}

/* Pattern: the store is away for all hosts. */
static void
test_leader_refused_with_all_stays(void)
{
    open_election("1");
    tell_leader("big-1 1 aaaaaaaaaaaaaaaa 78", false);
    for (uint32_t i = 0; i < 10; i++) {
        FvElection_LeaderLostStore(election, "big-1", 0);
        if (!fake_kv_latest(FAKE_KV_GET)->answered) {
            fake_kv_answer(fake_kv_latest(FAKE_KV_GET),
                           (fv_kv_result_t){.error = Fv_KV_UNAVAILABLE});
        }
        fake_kv_run(base, 100);
    }
    CU_ASSERT_EQUAL(fake_kv.revoked, 0);
    CU_ASSERT_EQUAL(fake_kv_count(FAKE_KV_GET), 2);
    close_election();
}

static void
test_refused_leader_says_so(void)
{
    open_election("1");
    fake_kv_answer(send_claim(),
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 900});
    for (uint32_t i = 1; i <= 3; i++) {
        while (fake_kv_count(FAKE_KV_RENEW) < i) {
            fake_kv_run(base, 20);
        }
        fake_kv_answer(fake_kv_latest(FAKE_KV_RENEW),
                       (fv_kv_result_t){.error = Fv_KV_UNAVAILABLE});
    }
    CU_ASSERT_EQUAL(outcome.store_failing, 2);
    CU_ASSERT_EQUAL(outcome.lost, 0);
    close_election();
}

/* Pattern: the store turns the leader away at once. Until it is replaced no
 * job can be taken in, so it has to know within a few round trips. */
static void
test_refused_leader_tries_again_soon(void)
{
    open_election("1");
    fake_kv_answer(send_claim(),
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 900});
    while (fake_kv_count(FAKE_KV_RENEW) < 1) {
        fake_kv_run(base, 20);
    }
    fake_kv_answer(fake_kv_latest(FAKE_KV_RENEW),
                   (fv_kv_result_t){.error = Fv_KV_UNAVAILABLE});
    for (uint32_t i = 0; i < 8; i++) {
        fake_kv_run(base, 100);
        if (!fake_kv_latest(FAKE_KV_RENEW)->answered) {
            fake_kv_answer(fake_kv_latest(FAKE_KV_RENEW),
                           (fv_kv_result_t){.error = Fv_KV_UNAVAILABLE});
        }
    }
    CU_ASSERT(outcome.store_failing >= 5);
    close_election();
}

static void
tell_host(const char *name, const char *value, bool deleted)
{
    char key[Fv_KEY_SIZE];
    fv_kv_item_t item = {.key = key, .deleted = deleted, .revision = 6};

    snprintf(key, sizeof(key), "%s%s", Fv_KEY_HOSTS, name);
    item.value =
        (fv_buffer_t){.data = (uint8_t *)value, .length = strlen(value)};
    fake_kv.follower.item(fake_kv.follower.context, &item);
}

/* Pattern: machines are replaced under new names for weeks. */
static void
test_removed_hosts_count_no_more(void)
{
    const fv_peer_entry_t *hosts;

    open_election("1");
    /* Its entry was removed while it could not be reached. */
    fake_kv_answer(fake_kv_latest(FAKE_KV_TXN),
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 6});
    tell_host("akl-1", "", true);
    fake_kv_run(base, 150);
    CU_ASSERT_EQUAL(fake_kv_count(FAKE_KV_TXN), 2);
    CU_ASSERT_STRING_EQUAL(fake_kv_latest(FAKE_KV_TXN)->puts[0].key,
                           Fv_KEY_HOSTS "akl-1");
    close_election();

    open_election("1");
    for (uint32_t i = 0; i < Fv_HOSTS_MAX; i++) {
        char name[Fv_NAME_SIZE];

        snprintf(name, sizeof(name), "old-%u", i);
        tell_host(name, "127.0.0.1:9 8.000", false);
        tell_host(name, "", true);
    }
    tell_host("new", "127.0.0.1:9 0.500", false);
    CU_ASSERT_EQUAL(FvElection_Hosts(election, &hosts), 1);
    CU_ASSERT_STRING_EQUAL(hosts[0].name, "new");
    close_election();
}

/* Pattern: the largest host has left; the others must not wait for it. */
static void
test_removed_host_is_not_waited_for(void)
{
    fv_kv_item_t leader = {.key = (char *)Fv_KEY_LEADER, .revision = 7};

    open_election("1");
    fake_kv.follower.item(fake_kv.follower.context, &leader);
    tell_host("big", "127.0.0.1:9 8.000", false);
    tell_host("big", "", true);
    leader.deleted = true;
    fake_kv.follower.item(fake_kv.follower.context, &leader);
    fake_kv_run(base, 250);
    CU_ASSERT_EQUAL(fake_kv_count(FAKE_KV_GRANT), 1);
    close_election();
}

static void
test_gone_host_is_removed(void)
{
    fake_kv_call_t *call;

    open_election("1");
    FvElection_RemoveHost(election, "old");
    call = fake_kv_latest(FAKE_KV_TXN);
    CU_ASSERT_STRING_EQUAL(call->puts[0].key, Fv_KEY_HOSTS "old");
    CU_ASSERT_TRUE(call->puts[0].removed);
    close_election();
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"two leaders number their runs alike", test_generation_rises},
        {"a claim in doubt is looked up without a pause, or lost",
         test_claim_in_doubt_is_looked_up_with_pauses},
        {"a host takes another's claim for its own",
         test_claim_of_another_host_is_not_taken_for_ours},
        {"a frozen leader gives orders before its lease is renewed",
         test_frozen_leader_orders_nothing_before_a_renewal},
        {"a renewal sent before a freeze lets the leader order after it",
         test_renewal_before_a_freeze_proves_nothing},
        {"two lost answers end a leader's lease",
         test_unanswered_renewals_do_not_end_the_lease},
        {"the end of an old lease ends a new leadership",
         test_late_renewal_is_not_of_the_new_lease},
        {"the lease of a restarted leader's old process is waited out",
         test_restarted_leader_ends_its_old_lease},
        {"the lease of a dead leader is waited out",
         test_lease_of_dead_leader_is_ended_once},
        {"a new leader is ended in place of the dead one",
         test_new_leader_is_not_ended_for_the_old_one},
        {"a leader ends its own lease", test_leader_keeps_its_own_lease},
        {"a leader that the store refuses alone keeps its lease",
         test_leader_refused_alone_is_replaced},
        {"an outage of the store replaces the leader",
         test_leader_refused_with_all_stays},
        {"a leader is replaced because an outage has ended",
         test_leader_keeps_its_place_after_an_outage},
        {"a refused leader tells no one", test_refused_leader_says_so},
        {"a refused leader waits for its next renewal",
         test_refused_leader_tries_again_soon},
        {"hosts that are gone fill the registry for good",
         test_removed_hosts_count_no_more},
        {"an election waits for a host that is gone",
         test_removed_host_is_not_waited_for},
        {"a host that is gone keeps its entry", test_gone_host_is_removed},
    };

    return Fv_RUN_SUITE("election", cases);
}
