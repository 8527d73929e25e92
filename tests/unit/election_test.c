/*
 * Leader election: claims whose answers are lost, expiry and renewal of the
 * leader's lease, and replacement of a leader that has failed.
 */

#include "election_fixture.h"

static void
test_generation_increases(void)
{
    fake_kv_call_t *claim;

    open_election("41");
    claim = send_claim();
    CU_ASSERT_STRING_EQUAL(claim->puts[1].key, Fv_KEY_GENERATION);
    CU_ASSERT_STRING_EQUAL(claim->puts[1].value, "42 akl-1");
    fake_kv_answer(claim,
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 900});
    CU_ASSERT_EQUAL(outcome.won, 1);
    CU_ASSERT_EQUAL(outcome.epoch, 900);
    CU_ASSERT_EQUAL(outcome.generation, 42);
    close_election();
}

/* The worker list names its latest writer, which may be an earlier leader. A
 * host that was elected by an earlier version has not left its name. */
static void
test_predecessor_is_the_latest_leader(void)
{
    static const struct {
        const char *generation;
        const char *host;
    } cases[] = {{"41 host-b", "host-b"}, {"41", ""}};

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        int64_t opened_ms = FvClock_NowMs();
        const fv_predecessor_t *predecessor;

        open_election(cases[i].generation);
        fake_kv_answer(send_claim(),
                       (fv_kv_result_t){.error = Fv_KV_OK, .revision = 900});
        predecessor = FvElection_Predecessor(election);
        CU_ASSERT_STRING_EQUAL(predecessor->host, cases[i].host);
        CU_ASSERT_EQUAL(predecessor->epoch, 5);
        CU_ASSERT(predecessor->began_by_ms >= opened_ms);
        CU_ASSERT(predecessor->began_by_ms <= FvClock_NowMs());
        CU_ASSERT_EQUAL(outcome.generation, 42);
        close_election();
    }
}

static void
deliver_unreached(const char *text, bool deleted)
{
    char copy[128];
    fv_kv_item_t item = {.key = (char *)Fv_KEY_UNREACHED, .deleted = deleted};

    FvText_Copy(copy, sizeof(copy), text);
    if (!deleted) {
        item.value =
            (fv_buffer_t){.data = (uint8_t *)copy, .length = strlen(copy)};
    }
    fake_kv.watcher.item(fake_kv.watcher.context, &item);
}

/* A worker returned and is silent again: its lease of the time between has
 * not expired when that of the first silence has. */
static void
test_unreached_entries_have_their_own_times(void)
{
    int64_t first_ms;

    open_election("1");
    deliver_unreached("w1 5 1\nw2 5 2\n", false);
    first_ms = FvElection_UnreachedSince(election, "w1 5 1");
    CU_ASSERT(first_ms > 0);
    /* The loop's clock is coarse and may end it early. */
    while (FvClock_NowMs() < first_ms + 20) {
        fake_kv_run_loop(base, 20);
    }
    deliver_unreached("w1 5 1\nw2 5 3\n", false);
    CU_ASSERT_EQUAL(FvElection_UnreachedSince(election, "w1 5 1"), first_ms);
    CU_ASSERT_EQUAL(FvElection_UnreachedSince(election, "w2 5 2"), 0);
    CU_ASSERT(FvElection_UnreachedSince(election, "w2 5 3") >= first_ms + 20);
    deliver_unreached("", true);
    CU_ASSERT_EQUAL(FvElection_UnreachedSince(election, "w1 5 1"), 0);
    close_election();
}

/* The store stops answering during a claim and then answers 503. The claim
 * has to be read back with a delay between attempts. */
static void
test_unconfirmed_claim_is_read_back(void)
{
    fake_kv_call_t *claim;

    open_election("1");
    claim = send_claim();
    fake_kv_answer(claim, (fv_kv_result_t){.error = Fv_KV_UNCONFIRMED});
    CU_ASSERT_EQUAL(fake_kv_count(FAKE_KV_GET), 1);
    fake_kv_answer(fake_kv_latest(FAKE_KV_GET),
                   (fv_kv_result_t){.error = Fv_KV_UNAVAILABLE});
    CU_ASSERT_EQUAL(fake_kv_count(FAKE_KV_GET), 1);
    fake_kv_run_loop(base, 350);
    CU_ASSERT_EQUAL(fake_kv_count(FAKE_KV_GET), 2);
    fake_kv_answer_item(fake_kv_latest(FAKE_KV_GET), Fv_KV_OK, Fv_KEY_LEADER,
                        claim->puts[0].value, 901);
    CU_ASSERT_EQUAL(outcome.won, 1);
    CU_ASSERT_EQUAL(outcome.epoch, 901);
    close_election();
}

static void
test_claim_of_another_host_does_not_win(void)
{
    fake_kv_call_t *claim;

    open_election("1");
    claim = send_claim();
    fake_kv_answer(claim, (fv_kv_result_t){.error = Fv_KV_UNCONFIRMED});
    fake_kv_answer_item(fake_kv_latest(FAKE_KV_GET), Fv_KV_OK, Fv_KEY_LEADER,
                        "akl-1 2 ffffffffffffffff", 901);
    CU_ASSERT_EQUAL(outcome.won, 0);
    CU_ASSERT_EQUAL(fake_kv.revoke_count, 1);
    close_election();
}

/* The leader's process is suspended, and another host has taken the lease
 * meanwhile. */
static void
test_suspended_leader_sends_no_orders(void)
{
    int64_t later_ms;

    open_election("1");
    fake_kv_answer(send_claim(),
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 900});
    CU_ASSERT_TRUE(FvElection_MaySendOrders(election, FvClock_NowMs()));
    later_ms = FvClock_NowMs() + 1200;
    CU_ASSERT_FALSE(FvElection_MaySendOrders(election, later_ms));
    CU_ASSERT_FALSE(FvElection_MaySendOrders(election, later_ms + 10));
    fake_kv_run_loop(base, 1450);
    fake_kv_answer(fake_kv_latest(FAKE_KV_RENEW),
                   (fv_kv_result_t){.error = Fv_KV_NOT_FOUND});
    CU_ASSERT_EQUAL(outcome.lost, 1);
    CU_ASSERT_FALSE(FvElection_MaySendOrders(election, later_ms + 20));
    close_election();
}

/* The host is suspended while the answer to its claim is in transit. The lease
 * has expired when the process resumes and reads the answer. */
static void
test_claim_before_a_suspension(void)
{
    fake_kv_call_t *claim;
    int64_t later_ms;

    open_election("1");
    claim = send_claim();
    later_ms = FvClock_NowMs() + 1500;
    CU_ASSERT_FALSE(FvElection_MaySendOrders(election, later_ms));
    fake_kv_answer(claim,
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 900});
    CU_ASSERT_EQUAL(outcome.won, 1);
    CU_ASSERT_FALSE(FvElection_MaySendOrders(election, later_ms + 10));
    close_election();
}

/* The leader is suspended while the answer to its renewal is in transit. The
 * lease has expired when the process resumes and reads the answer. */
static void
test_renewal_before_a_suspension(void)
{
    fake_kv_call_t *before;
    int64_t later_ms;

    open_election("1");
    fake_kv_answer(send_claim(),
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 900});
    while (fake_kv_count(FAKE_KV_RENEW) == 0) {
        fake_kv_run_loop(base, 10);
    }
    before = fake_kv_latest(FAKE_KV_RENEW);
    later_ms = FvClock_NowMs() + 1200;
    CU_ASSERT_FALSE(FvElection_MaySendOrders(election, later_ms));
    fake_kv_answer(before, (fv_kv_result_t){.error = Fv_KV_OK});
    CU_ASSERT_FALSE(FvElection_MaySendOrders(election, later_ms + 10));
    close_election();
}

/* Another host has ended the lease right after its last renewal, and counts
 * the grace from then. */
static void
test_orders_end_with_the_grace(void)
{
    fake_kv_call_t *claim_call;
    int64_t now_ms;
    int64_t renewed_ms; /* at the earliest */
    int64_t renewed_by_ms;

    open_election("1");
    renewed_ms = FvClock_NowMs();
    claim_call = send_claim();
    renewed_by_ms = FvClock_NowMs();
    fake_kv_answer(claim_call,
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 900});
    for (now_ms = renewed_by_ms;
         now_ms <= renewed_ms + FvElection_OrderGraceMs(); now_ms += 100) {
        CU_ASSERT_TRUE(FvElection_MaySendOrders(election, now_ms));
    }
    CU_ASSERT_FALSE(FvElection_MaySendOrders(
        election, renewed_by_ms + FvElection_OrderGraceMs() + 1));
    close_election();
}

/* The store may have renewed the lease as soon as the call was sent. */
static void
test_renewal_proves_the_time_of_sending(void)
{
    int64_t sent_ms;

    open_election("1");
    fake_kv_answer(send_claim(),
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 900});
    FvElection_ProveLease(election);
    sent_ms = FvClock_NowMs();
    fake_kv_run_loop(base, 50);
    fake_kv_answer(fake_kv_latest(FAKE_KV_RENEW),
                   (fv_kv_result_t){.error = Fv_KV_OK});
    CU_ASSERT(outcome.renewed_sent_ms > 0);
    CU_ASSERT(outcome.renewed_sent_ms <= sent_ms);
    close_election();
}

/* A caller asks while another one's proof is under way. */
static void
test_proof_is_sent_after_the_question(void)
{
    uint32_t sent;
    uint64_t first;
    uint64_t second;

    open_election("1");
    fake_kv_answer(send_claim(),
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 900});
    sent = fake_kv_count(FAKE_KV_RENEW);
    first = FvElection_ProveLease(election);
    CU_ASSERT_EQUAL(fake_kv_count(FAKE_KV_RENEW), sent + 1);
    second = FvElection_ProveLease(election);
    CU_ASSERT_EQUAL(FvElection_ProveLease(election), second);
    CU_ASSERT_EQUAL(fake_kv_count(FAKE_KV_RENEW), sent + 1);
    fake_kv_answer(fake_kv_latest(FAKE_KV_RENEW),
                   (fv_kv_result_t){.error = Fv_KV_OK});
    CU_ASSERT_EQUAL(outcome.renewed, first);
    CU_ASSERT(outcome.renewed < second);
    CU_ASSERT_EQUAL(fake_kv_count(FAKE_KV_RENEW), sent + 2);
    fake_kv_answer(fake_kv_latest(FAKE_KV_RENEW),
                   (fv_kv_result_t){.error = Fv_KV_OK});
    CU_ASSERT_EQUAL(outcome.renewed, second);
    CU_ASSERT_EQUAL(fake_kv_count(FAKE_KV_RENEW), sent + 2);
    close_election();
}

/* Callers go on asking while the store refuses renewals, or once the lease has
 * ended. */
static void
test_no_proof_without_the_store(void)
{
    uint32_t sent;

    open_election("1");
    fake_kv_answer(send_claim(),
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 900});
    FvElection_ProveLease(election);
    FvElection_ProveLease(election);
    sent = fake_kv_count(FAKE_KV_RENEW);
    fake_kv_answer(fake_kv_latest(FAKE_KV_RENEW),
                   (fv_kv_result_t){.error = Fv_KV_UNAVAILABLE});
    FvElection_ProveLease(election);
    CU_ASSERT_EQUAL(fake_kv_count(FAKE_KV_RENEW), sent);
    fake_kv_run_loop(base, 150);
    CU_ASSERT_EQUAL(fake_kv_count(FAKE_KV_RENEW), sent + 1);
    CU_ASSERT_EQUAL(outcome.renewed, 0);
    fake_kv_answer(fake_kv_latest(FAKE_KV_RENEW),
                   (fv_kv_result_t){.error = Fv_KV_NOT_FOUND});
    CU_ASSERT_EQUAL(outcome.lost, 1);
    FvElection_ProveLease(election);
    CU_ASSERT_EQUAL(fake_kv_count(FAKE_KV_RENEW), sent + 1);
    CU_ASSERT_EQUAL(outcome.renewed, 0);
    close_election();
}

/* The store loses the answers to two calls in five, or a connection to it
 * stops answering for good. */
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
        fake_kv_run_loop(base, 10);
    }
    CU_ASSERT(FvClock_NowMs() - granted_ms < fake_kv.granted_ttl_ms);
    fake_kv_answer(fake_kv_latest(FAKE_KV_RENEW),
                   (fv_kv_result_t){.error = Fv_KV_OK});
    CU_ASSERT_TRUE(FvElection_MaySendOrders(election, FvClock_NowMs()));
    CU_ASSERT_EQUAL(outcome.lost, 0);
    close_election();
}

/* The answer to a renewal from an earlier term of this host arrives after the
 * host has been elected again. */
static void
test_late_renewal_answer(void)
{
    fake_kv_call_t *old;

    open_election("1");
    fake_kv_answer(send_claim(),
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 900});
    while (fake_kv_count(FAKE_KV_RENEW) == 0) {
        fake_kv_run_loop(base, 10);
    }
    old = fake_kv_latest(FAKE_KV_RENEW);
    FvElection_Resign(election, 0, "test");
    fake_kv_run_loop(base, 350);
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
deliver_leader_entry(const char *value, bool deleted)
{
    fv_kv_item_t item = {
        .key = (char *)Fv_KEY_LEADER,
        .value = {.data = (uint8_t *)value, .length = strlen(value)},
        .revision = 7,
        .deleted = deleted};

    fake_kv.watcher.item(fake_kv.watcher.context, &item);
}

/* The leader's process is killed and restarts before its lease expires. */
static void
test_restarted_leader_revokes_its_old_lease(void)
{
    open_election("1");
    deliver_leader_entry("akl-1 1 aaaaaaaaaaaaaaaa 77", false);
    fake_kv_run_loop(base, 20);
    CU_ASSERT_EQUAL(fake_kv.revoke_count, 1);
    CU_ASSERT_EQUAL(fake_kv.revoked_lease, 77);
    deliver_leader_entry("", true);
    send_claim();
    CU_ASSERT_EQUAL(fake_kv_count(FAKE_KV_GRANT), 1);
    close_election();
}

/* The leader's process is killed, and its host refuses connections. */
static void
test_lease_of_dead_leader_is_revoked_once(void)
{
    open_election("1");
    deliver_leader_entry("big-1 1 aaaaaaaaaaaaaaaa 78", false);
    FvElection_LeaderDead(election, "big-2", "test");
    fake_kv_run_loop(base, 450);
    CU_ASSERT_EQUAL(fake_kv.revoke_count, 0); /* big-2 does not lead */
    FvElection_LeaderDead(election, "big-1", "test");
    fake_kv_run_loop(base, 450);
    CU_ASSERT_EQUAL(fake_kv.revoke_count, 1);
    CU_ASSERT_EQUAL(fake_kv.revoked_lease, 78);
    close_election();
}

/* All hosts find the leader dead, and one of them has already replaced it. */
static void
test_lease_of_new_leader_is_not_revoked(void)
{
    open_election("1");
    deliver_leader_entry("big-1 1 aaaaaaaaaaaaaaaa 78", false);
    FvElection_LeaderDead(election, "big-1", "test");
    deliver_leader_entry("big-2 2 bbbbbbbbbbbbbbbb 79", false);
    fake_kv_run_loop(base, 450);
    CU_ASSERT_EQUAL(fake_kv.revoke_count, 0);
    close_election();
}

/* The watch delivers the leader's own entry, which must not be mistaken for
 * that of its earlier process. */
static void
test_leader_keeps_its_own_lease(void)
{
    fake_kv_call_t *claim_call;

    open_election("1");
    claim_call = send_claim();
    deliver_leader_entry(claim_call->puts[0].value, false);
    fake_kv_answer(claim_call,
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 900});
    deliver_leader_entry(claim_call->puts[0].value, false);
    fake_kv_run_loop(base, 150);
    CU_ASSERT_EQUAL(fake_kv.revoke_count, 0);
    CU_ASSERT_EQUAL(outcome.lost, 0);
    close_election();
}

/* The store refuses the leader's calls and serves the other hosts. */
static void
test_leader_without_store_is_replaced(void)
{
    open_election("1");
    deliver_leader_entry("big-1 1 aaaaaaaaaaaaaaaa 78", false);
    FvElection_LeaderLostStore(election, "big-1", 0);
    FvElection_LeaderLostStore(election, "big-1", 0);
    CU_ASSERT_EQUAL(fake_kv_count(FAKE_KV_GET), 1);
    fake_kv_answer_item(fake_kv_latest(FAKE_KV_GET), Fv_KV_OK, Fv_KEY_LEADER,
                        "big-1 1 aaaaaaaaaaaaaaaa 78", 7);
    FvElection_LeaderLostStore(election, "big-1",
                               0); /* sent before that read */
    fake_kv_run_loop(base, 200);
    CU_ASSERT_EQUAL(fake_kv.revoke_count, 0);
    FvElection_LeaderLostStore(election, "big-1", 20);
    fake_kv_run_loop(base, 120);
    CU_ASSERT_EQUAL(fake_kv.revoke_count, 1);
    close_election();
}

/* The store is back after an outage for all hosts. The leader's calls from
 * before time out one after the other, up to half a second later. */
static void
test_leader_is_kept_after_a_store_outage(void)
{
    open_election("1");
    deliver_leader_entry("big-1 1 aaaaaaaaaaaaaaaa 78", false);
    FvElection_LeaderLostStore(election, "big-1", 450);
    fake_kv_answer_item(fake_kv_latest(FAKE_KV_GET), Fv_KV_OK, Fv_KEY_LEADER,
                        "big-1 1 aaaaaaaaaaaaaaaa 78", 7);
    for (uint32_t i = 0; i < 5; i++) {
        fake_kv_run_loop(base, 80);
        FvElection_LeaderLostStore(election, "big-1", 450);
    }
    fake_kv_run_loop(base, 120);
    CU_ASSERT_EQUAL(fake_kv.revoke_count, 0);
    FvElection_LeaderLostStore(election, "big-1", 100); /* fails after it */
    fake_kv_run_loop(base, 120);
    CU_ASSERT_EQUAL(fake_kv.revoke_count, 1);
    close_election();
}

/* The store is unavailable for all hosts. */
static void
test_leader_is_kept_during_a_store_outage(void)
{
    open_election("1");
    deliver_leader_entry("big-1 1 aaaaaaaaaaaaaaaa 78", false);
    for (uint32_t i = 0; i < 10; i++) {
        FvElection_LeaderLostStore(election, "big-1", 0);
        if (!fake_kv_latest(FAKE_KV_GET)->answered) {
            fake_kv_answer(fake_kv_latest(FAKE_KV_GET),
                           (fv_kv_result_t){.error = Fv_KV_UNAVAILABLE});
        }
        fake_kv_run_loop(base, 100);
    }
    CU_ASSERT_EQUAL(fake_kv.revoke_count, 0);
    CU_ASSERT_EQUAL(fake_kv_count(FAKE_KV_GET), 2);
    close_election();
}

static void
test_leader_reports_failing_store(void)
{
    open_election("1");
    fake_kv_answer(send_claim(),
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 900});
    for (uint32_t i = 1; i <= 3; i++) {
        while (fake_kv_count(FAKE_KV_RENEW) < i) {
            fake_kv_run_loop(base, 20);
        }
        fake_kv_answer(fake_kv_latest(FAKE_KV_RENEW),
                       (fv_kv_result_t){.error = Fv_KV_UNAVAILABLE});
    }
    CU_ASSERT_EQUAL(outcome.store_failing, 2);
    CU_ASSERT_EQUAL(outcome.lost, 0);
    close_election();
}

/* The store refuses the leader's calls at once. No job can be accepted until
 * the leader is replaced, so it has to find out within a few round trips. */
static void
test_failed_renewal_is_retried_soon(void)
{
    open_election("1");
    fake_kv_answer(send_claim(),
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 900});
    while (fake_kv_count(FAKE_KV_RENEW) < 1) {
        fake_kv_run_loop(base, 20);
    }
    fake_kv_answer(fake_kv_latest(FAKE_KV_RENEW),
                   (fv_kv_result_t){.error = Fv_KV_UNAVAILABLE});
    for (uint32_t i = 0; i < 8; i++) {
        fake_kv_run_loop(base, 100);
        if (!fake_kv_latest(FAKE_KV_RENEW)->answered) {
            fake_kv_answer(fake_kv_latest(FAKE_KV_RENEW),
                           (fv_kv_result_t){.error = Fv_KV_UNAVAILABLE});
        }
    }
    CU_ASSERT(outcome.store_failing >= 5);
    close_election();
}

/* SIGTERM comes before a claim, during its first call, during its second one,
 * and before it is repeated. */
static void
test_no_claim_after_resignation(void)
{
    fake_kv_call_t *claim;

    open_election("41");
    FvElection_Resign(election, INT32_MAX, "shutdown");
    fake_kv_run_loop(base, 500);
    CU_ASSERT_EQUAL(fake_kv_count(FAKE_KV_GRANT), 0);
    close_election();

    open_election("41");
    fake_kv_run_loop(base, 350);
    FvElection_Resign(election, INT32_MAX, "shutdown");
    fake_kv_answer(
        fake_kv_latest(FAKE_KV_GRANT),
        (fv_kv_result_t){.error = Fv_KV_OK, .lease = 7, .ttl_ms = TTL_MS});
    fake_kv_run_loop(base, 300);
    CU_ASSERT_STRING_NOT_EQUAL(fake_kv_latest(FAKE_KV_TXN)->puts[0].key,
                               Fv_KEY_LEADER);
    CU_ASSERT_EQUAL(fake_kv_count(FAKE_KV_GRANT), 1);
    CU_ASSERT_EQUAL(fake_kv.revoked_lease, 7);
    close_election();

    open_election("41");
    claim = send_claim();
    FvElection_Resign(election, INT32_MAX, "shutdown");
    fake_kv_answer(claim,
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 900});
    CU_ASSERT_EQUAL(outcome.won, 0);
    CU_ASSERT_EQUAL(fake_kv.revoked_lease, 7);
    close_election();

    open_election("41");
    claim = send_claim();
    FvElection_Resign(election, INT32_MAX, "shutdown");
    fake_kv_answer(claim, (fv_kv_result_t){.error = Fv_KV_CONFLICT});
    fake_kv_run_loop(base, 300);
    CU_ASSERT_EQUAL(fake_kv_count(FAKE_KV_GRANT), 1);
    close_election();
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a host suspended during its claim sends orders when it resumes",
         test_claim_before_a_suspension},
        {"a renewal proves that this host led when the answer came",
         test_renewal_proves_the_time_of_sending},
        {"a renewal sent before a question proves the lease",
         test_proof_is_sent_after_the_question},
        {"each question renews a lease that the store does not renew",
         test_no_proof_without_the_store},
        {"two leaders use one generation, and so the same run numbers",
         test_generation_increases},
        {"another host than the latest leader is taken for the predecessor",
         test_predecessor_is_the_latest_leader},
        {"the time of an earlier silence is taken for that of the present one",
         test_unreached_entries_have_their_own_times},
        {"an unconfirmed claim is read back without a delay, or lost",
         test_unconfirmed_claim_is_read_back},
        {"a host mistakes another host's claim for its own",
         test_claim_of_another_host_does_not_win},
        {"a resumed leader sends orders before its lease is renewed",
         test_suspended_leader_sends_no_orders},
        {"a renewal sent before a suspension allows orders after it",
         test_renewal_before_a_suspension},
        {"a leader gives orders after a successor may free its tasks",
         test_orders_end_with_the_grace},
        {"two lost renewal answers let the leader's lease expire",
         test_unanswered_renewals_do_not_end_the_lease},
        {"a late renewal answer for an old lease ends the new term",
         test_late_renewal_answer},
        {"a restarted leader waits until its old lease expires",
         test_restarted_leader_revokes_its_old_lease},
        {"the hosts wait until the lease of a dead leader expires",
         test_lease_of_dead_leader_is_revoked_once},
        {"the new leader's lease is revoked instead of the dead one's",
         test_lease_of_new_leader_is_not_revoked},
        {"a leader revokes its own lease", test_leader_keeps_its_own_lease},
        {"a leader that alone has no access to the store is kept",
         test_leader_without_store_is_replaced},
        {"a store outage for all hosts replaces the leader",
         test_leader_is_kept_during_a_store_outage},
        {"the leader is replaced just after a store outage has ended",
         test_leader_is_kept_after_a_store_outage},
        {"a leader does not report that the store refuses its calls",
         test_leader_reports_failing_store},
        {"a refused renewal is retried only when the next one is due",
         test_failed_renewal_is_retried_soon},
        {"a host that shuts down is elected", test_no_claim_after_resignation},
    };

    return Fv_RUN_SUITE("election", cases);
}
