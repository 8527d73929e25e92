/*
 * Guards against a configuration that all members approved but that some host
 * does not apply within 4 s, and against a host that reverts to an older one.
 * Reads the versions from the hosts over HTTP.
 */

#include "cluster.h"
#include "fake-server.h"
#include "load.h"
#include "suite.h"
#include "thread.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define SEED UINT64_C(8101)
/* Guaranteed time until an approved configuration is active everywhere. */
#define ACTIVATION_LIMIT_MS 4000
/* Covering the 10 s between two store reads of a host would slow the test
 * down; a wrong activation shows within the guaranteed time. */
#define INACTIVE_CHECK_MS ACTIVATION_LIMIT_MS
#define OBSERVE_INTERVAL_MS 25
#define VERSIONS_MAX 64
/* How long an operator retries an unconfirmed vote. */
#define VOTE_TIMEOUT_MS 3000

static const char *const members[] = {"kotuku", "measur", "third"};
static const topology_site_t sites[] = {
    {"akl", "akl-1", 3, 1, 1},
    {"wlg", "wlg-1", 2, 1, 1},
};
static const topology_t topology = {.sites = sites,
                                    .site_count = 2,
                                    .members = members,
                                    .member_count = 3,
                                    .region_delay_ms = 20,
                                    .proxied = true};
static cluster_t cluster;
static int64_t active_version; /* expected on all hosts */

/* What a thread sees on all hosts while the tests run. */
typedef struct observer {
    pthread_t thread;
    atomic_bool stop;
    int64_t seen[CLUSTER_HOSTS_MAX];
    char digests[VERSIONS_MAX][Fv_HASH256_HEX_SIZE];
    atomic_int reverts;
    atomic_int conflicts; /* a version with two digests */
    atomic_int reads;
} observer_t;

static observer_t observer;

static void
observe_host(int host)
{
    json_t *document = NULL;
    int64_t version;
    const char *digest;

    if (FvApi_Call(&cluster, host, members[0], "GET", "/v1/config", NULL,
                   &document) == 200) {
        version = json_integer_value(json_object_get(document, "version"));
        digest = json_string_value(json_object_get(document, "digest"));
        atomic_fetch_add(&observer.reads, 1);
        if (version < observer.seen[host]) {
            atomic_fetch_add(&observer.reverts, 1);
        }
        observer.seen[host] = version;
        if (observer.digests[version % VERSIONS_MAX][0] == 0) {
            snprintf(observer.digests[version % VERSIONS_MAX],
                     Fv_HASH256_HEX_SIZE, "%s", digest);
        }
        else if (strcmp(observer.digests[version % VERSIONS_MAX], digest) !=
                 0) {
            atomic_fetch_add(&observer.conflicts, 1);
        }
    }
    json_decref(document);
}

static void *
observe(void *context)
{
    (void)context;
    while (!atomic_load(&observer.stop)) {
        for (int host = 0; host < cluster.host_count; host++) {
            observe_host(host);
        }
        FvFake_SleepMs(OBSERVE_INTERVAL_MS);
    }
    return NULL;
}

static json_t *
answers_with_weight(int weight)
{
    json_t *all = json_loads(LOAD_ANSWERS, 0, NULL);
    json_t *answers = json_deep_copy(json_object_get(all, "kotuku"));

    json_object_set_new(answers, "weight", json_integer(weight));
    json_decref(all);
    return answers;
}

/* Has MEMBER propose a new weight for itself. */
static bool
propose(int host, const char *member, int weight, proposal_reply_t *proposal)
{
    return FvApi_PutAnswers(&cluster, host, member,
                            answers_with_weight(weight)) == 200 &&
           FvApi_GenerateProposal(&cluster, host, member, proposal);
}

static bool
all_at_active_version(void *context)
{
    (void)context;
    for (int host = 0; host < cluster.host_count; host++) {
        if (cluster.hosts[host].process.pid != 0 &&
            FvApi_ConfigVersion(&cluster, host) != active_version) {
            return false;
        }
    }
    return true;
}

/* Approves at different hosts. The activation time starts at the last one. */
static bool
approve_all(const proposal_reply_t *proposal)
{
    bool approved = true;

    for (int i = 0; i < 3; i++) {
        approved =
            FvApi_Vote(&cluster, i, members[i], proposal, true) == 200 &&
            approved;
    }
    return approved;
}

static void
expect_activation(void)
{
    bool activated;

    active_version++;
    activated = FvWait_Until(all_at_active_version, NULL, ACTIVATION_LIMIT_MS);
    CU_ASSERT_TRUE(activated);
    for (int host = 0; !activated && host < cluster.host_count; host++) {
        printf("seed %llu: host-%d has version %lld, not %lld\n",
               (unsigned long long)SEED, host + 1,
               (long long)FvApi_ConfigVersion(&cluster, host),
               (long long)active_version);
    }
}

static void
test_first_activation(void)
{
    proposal_reply_t proposal;

    for (int i = 0; i < 3; i++) {
        CU_ASSERT_EQUAL_FATAL(FvApi_PutAnswers(&cluster, i, members[i],
                                               answers_with_weight(i + 1)),
                              200);
    }
    CU_ASSERT_TRUE_FATAL(
        FvApi_GenerateProposal(&cluster, 0, members[0], &proposal));
    CU_ASSERT_TRUE(approve_all(&proposal));
    expect_activation();
}

static void
test_missing_approval(void)
{
    proposal_reply_t proposal;
    json_t *unsigned_vote;

    CU_ASSERT_TRUE_FATAL(propose(0, "kotuku", 7, &proposal));
    CU_ASSERT_EQUAL(FvApi_Vote(&cluster, 1, "kotuku", &proposal, true), 200);
    CU_ASSERT_EQUAL(FvApi_Vote(&cluster, 2, "measur", &proposal, true), 200);
    /* A repeated approval must count once. */
    CU_ASSERT_EQUAL(FvApi_Vote(&cluster, 3, "measur", &proposal, true), 200);
    unsigned_vote =
        json_pack("{s:s, s:s}", "digest", proposal.digest, "member", "third");
    CU_ASSERT_EQUAL(FvApi_Call(&cluster, 0, NULL, "POST",
                               "/v1/proposals/x/approve", unsigned_vote, NULL),
                    401);
    FvFake_SleepMs(INACTIVE_CHECK_MS);
    CU_ASSERT_TRUE(all_at_active_version(NULL));
    CU_ASSERT_EQUAL(FvApi_Vote(&cluster, 4, "third", &proposal, true), 200);
    expect_activation();
}

static void
test_vote_for_another(void)
{
    char path[Fv_KEY_SIZE + 64];
    proposal_reply_t proposal;

    CU_ASSERT_TRUE_FATAL(propose(1, "kotuku", 8, &proposal));
    CU_ASSERT_EQUAL(FvApi_Vote(&cluster, 0, "kotuku", &proposal, true), 200);
    CU_ASSERT_EQUAL(FvApi_Vote(&cluster, 0, "measur", &proposal, true), 200);
    snprintf(path, sizeof(path), "/v1/proposals/%s/approve", proposal.id);
    FvApi_Call(
        &cluster, 2, "measur", "POST", path,
        json_pack("{s:s, s:s}", "digest", proposal.digest, "member", "third"),
        NULL);
    FvFake_SleepMs(500);
    CU_ASSERT_TRUE(all_at_active_version(NULL));
    CU_ASSERT_EQUAL(FvApi_Vote(&cluster, 2, "third", &proposal, false), 200);
    /* A rejection cannot be taken back. */
    CU_ASSERT_EQUAL(FvApi_Vote(&cluster, 2, "third", &proposal, true), 409);
    FvFake_SleepMs(500);
    CU_ASSERT_TRUE(all_at_active_version(NULL));
}

typedef struct voter {
    pthread_t thread;
    int host;
    const char *member;
    const proposal_reply_t *proposal;
    bool approve;
    int status;
} voter_t;

/* Retries while the store is unavailable or votes conflict, as an operator
 * would. */
static void *
run_voter(void *context)
{
    voter_t *voter = context;
    int64_t until_ms = FvClock_NowMs() + VOTE_TIMEOUT_MS;

    while (FvClock_NowMs() < until_ms) {
        voter->status = FvApi_Vote(&cluster, voter->host, voter->member,
                                   voter->proposal, voter->approve);
        if (voter->status != 503 && voter->status != 0) {
            break;
        }
        FvFake_SleepMs(50);
    }
    return NULL;
}

static void
run_voters(voter_t *voters, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        FvThread_Start(&voters[i].thread, run_voter, &voters[i]);
    }
    for (size_t i = 0; i < count; i++) {
        pthread_join(voters[i].thread, NULL);
    }
}

static void
test_two_proposals(void)
{
    proposal_reply_t proposals[2];
    uint64_t state = SEED;

    for (int round = 0; round < 4; round++) {
        voter_t voters[12];
        size_t count = 0;

        CU_ASSERT_TRUE_FATAL(propose(0, "kotuku", 20 + round, &proposals[0]));
        CU_ASSERT_TRUE_FATAL(propose(3, "measur", 40 + round, &proposals[1]));
        /* Every member approves both proposals, each through two hosts. */
        for (int i = 0; i < 12; i++) {
            voters[count++] =
                (voter_t){.host = (int)(FvLoad_Random(&state) % 5),
                          .member = members[i % 3],
                          .proposal = &proposals[(i / 3) % 2],
                          .approve = true};
        }
        run_voters(voters, count);
        expect_activation();
        CU_ASSERT_EQUAL(FvApi_ConfigVersion(&cluster, 0), active_version);
    }
}

static void
test_reject_races_approval(void)
{
    proposal_reply_t proposal;
    uint64_t state = SEED + 1;

    for (int round = 0; round < 4; round++) {
        voter_t voters[2];
        bool active;

        CU_ASSERT_TRUE_FATAL(propose(1, "kotuku", 60 + round, &proposal));
        CU_ASSERT_EQUAL(FvApi_Vote(&cluster, 0, "kotuku", &proposal, true),
                        200);
        CU_ASSERT_EQUAL(FvApi_Vote(&cluster, 3, "measur", &proposal, true),
                        200);
        for (int i = 0; i < 2; i++) {
            voters[i] = (voter_t){.host = (int)(FvLoad_Random(&state) % 5),
                                  .member = "third",
                                  .proposal = &proposal,
                                  .approve = i == 0};
        }
        run_voters(voters, 2);
        /* Exactly one of the two contrary votes decides, because a proposal
         * cannot be both rejected and active. */
        active = voters[1].status == 409;
        CU_ASSERT_TRUE(voters[1].status == 200 || voters[1].status == 409);
        if (active) {
            CU_ASSERT_EQUAL(voters[0].status, 200);
            expect_activation();
        }
        else {
            FvFake_SleepMs(300);
            CU_ASSERT_TRUE(all_at_active_version(NULL));
            CU_ASSERT_EQUAL(FvApi_Vote(&cluster, 1, "third", &proposal, true),
                            409);
        }
    }
}

static void
test_stale_votes(void)
{
    proposal_reply_t old;
    proposal_reply_t next;
    proposal_reply_t forged;

    CU_ASSERT_TRUE_FATAL(propose(0, "kotuku", 80, &old));
    CU_ASSERT_EQUAL(FvApi_Vote(&cluster, 0, "kotuku", &old, true), 200);
    CU_ASSERT_EQUAL(FvApi_Vote(&cluster, 0, "measur", &old, true), 200);
    CU_ASSERT_TRUE_FATAL(propose(2, "measur", 81, &next));
    CU_ASSERT_TRUE(approve_all(&next));
    expect_activation();
    CU_ASSERT_EQUAL(FvApi_Vote(&cluster, 4, "third", &old, true), 409);
    forged = next;
    snprintf(forged.digest, sizeof(forged.digest), "%s", old.digest);
    CU_ASSERT_EQUAL(FvApi_Vote(&cluster, 4, "third", &forged, true), 409);
    /* Approving the active proposal again has no effect. */
    CU_ASSERT_EQUAL(FvApi_Vote(&cluster, 4, "third", &next, true), 200);
    FvFake_SleepMs(500);
    CU_ASSERT_TRUE(all_at_active_version(NULL));
}

static void
test_lost_store_replies(void)
{
    proposal_reply_t proposal;
    voter_t last = {.host = 3, .member = "third", .approve = true};

    last.proposal = &proposal;
    CU_ASSERT_TRUE_FATAL(propose(0, "kotuku", 90, &proposal));
    CU_ASSERT_EQUAL(FvApi_Vote(&cluster, 0, "kotuku", &proposal, true), 200);
    CU_ASSERT_EQUAL(FvApi_Vote(&cluster, 1, "measur", &proposal, true), 200);
    CU_ASSERT_TRUE(FvCluster_ControlPlatform(&cluster, "/store/lose_answers",
                                             json_pack("{s:i}", "count", 2)));
    run_voters(&last, 1);
    CU_ASSERT_EQUAL(last.status, 200);
    expect_activation();
    CU_ASSERT_TRUE(FvCluster_ControlPlatform(&cluster, "/store/lose_answers",
                                             json_pack("{s:i}", "count", 0)));
}

static void
test_delayed_watch(void)
{
    proposal_reply_t proposal;

    CU_ASSERT_TRUE_FATAL(propose(0, "kotuku", 95, &proposal));
    CU_ASSERT_TRUE(FvCluster_ControlPlatform(
        &cluster, "/store/delay_watch", json_pack("{s:i}", "delay_ms", 8000)));
    CU_ASSERT_TRUE(approve_all(&proposal));
    expect_activation();
    CU_ASSERT_TRUE(FvCluster_ControlPlatform(
        &cluster, "/store/delay_watch", json_pack("{s:i}", "delay_ms", 0)));
}

/* The host that watches the configuration for its data centre is the one with
 * the highest rendezvous weight. */
static int
find_config_watcher(const topology_site_t *site)
{
    char key[Fv_NAME_SIZE + 16];
    int best = -1;
    uint64_t best_weight = 0;

    snprintf(key, sizeof(key), "config-watch/%s", site->data_center);
    for (int host = 0; host < cluster.host_count; host++) {
        uint64_t weight =
            FvText_RendezvousWeight(key, cluster.hosts[host].name);

        if (cluster.hosts[host].site == site && weight >= best_weight) {
            best = host;
            best_weight = weight;
        }
    }
    return best;
}

static void
restart_host(int host)
{
    CU_ASSERT_TRUE_FATAL(FvCluster_StartHost(&cluster, host));
    CU_ASSERT_TRUE_FATAL(
        FvCluster_WaitHealthy(&cluster, host, CLUSTER_START_TIMEOUT_MS));
}

static void
test_watcher_killed(void)
{
    int host = find_config_watcher(&sites[0]);
    int voter = host == 0 ? 1 : 0;
    proposal_reply_t proposal;

    CU_ASSERT_TRUE_FATAL(propose(voter, "kotuku", 100, &proposal));
    CU_ASSERT_EQUAL(FvApi_Vote(&cluster, voter, "kotuku", &proposal, true),
                    200);
    CU_ASSERT_EQUAL(FvApi_Vote(&cluster, 3, "measur", &proposal, true), 200);
    FvProcess_Kill(&cluster.hosts[host].process);
    CU_ASSERT_EQUAL(FvApi_Vote(&cluster, 4, "third", &proposal, true), 200);
    expect_activation();
    restart_host(host);
    CU_ASSERT_TRUE(
        FvWait_Until(all_at_active_version, NULL, ACTIVATION_LIMIT_MS));
}

static void
test_restart_without_store(void)
{
    CU_ASSERT_TRUE(FvCluster_ControlPlatform(
        &cluster, "/store", json_pack("{s:s}", "mode", "down")));
    FvProcess_Kill(&cluster.hosts[1].process);
    FvProcess_Kill(&cluster.hosts[4].process);
    restart_host(1);
    restart_host(4);
    CU_ASSERT_TRUE(
        FvWait_Until(all_at_active_version, NULL, ACTIVATION_LIMIT_MS));
    CU_ASSERT_TRUE(FvCluster_ControlPlatform(
        &cluster, "/store", json_pack("{s:s}", "mode", "up")));
}

static void
test_host_without_store(void)
{
    proposal_reply_t proposal;

    /* Cut off from the store, host-3 can get it only from its peers. */
    CU_ASSERT_TRUE_FATAL(propose(0, "kotuku", 110, &proposal));
    CU_ASSERT_TRUE(FvCluster_SetRoute(&cluster, ROUTE_STORE, 2, 0, "cut"));
    CU_ASSERT_EQUAL(FvApi_Vote(&cluster, 0, "kotuku", &proposal, true), 200);
    CU_ASSERT_EQUAL(FvApi_Vote(&cluster, 1, "measur", &proposal, true), 200);
    CU_ASSERT_EQUAL(FvApi_Vote(&cluster, 3, "third", &proposal, true), 200);
    expect_activation();
    CU_ASSERT_TRUE(FvCluster_SetRoute(&cluster, ROUTE_STORE, 2, 0, "restore"));
}

static void
test_never_reverted(void)
{
    atomic_store(&observer.stop, true);
    pthread_join(observer.thread, NULL);
    CU_ASSERT_EQUAL(atomic_load(&observer.reverts), 0);
    CU_ASSERT_EQUAL(atomic_load(&observer.conflicts), 0);
    CU_ASSERT_TRUE(atomic_load(&observer.reads) > 1000);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"the first configuration is not active on all hosts in 4 s",
         test_first_activation},
        {"a proposal is activated although an approval is missing",
         test_missing_approval},
        {"a member votes for another member", test_vote_for_another},
        {"two proposals with the same base are both activated",
         test_two_proposals},
        {"a rejected proposal is activated", test_reject_races_approval},
        {"votes for an outdated proposal take effect", test_stale_votes},
        {"lost store replies delay or repeat an activation",
         test_lost_store_replies},
        {"a delayed watch delays an activation past 4 s", test_delayed_watch},
        {"a killed watching host delays an activation past 4 s",
         test_watcher_killed},
        {"a host without the store does not activate in 4 s",
         test_host_without_store},
        {"a host restarted in a store outage stays unconfigured",
         test_restart_without_store},
        {"a host reverted, or two hosts differed", test_never_reverted},
    };
    int failed = 1;

    if (FvCluster_Start(&cluster, &topology) &&
        pthread_create(&observer.thread, NULL, observe, NULL) == 0) {
        failed = Fv_RUN_SUITE("config", cases);
    }
    if (failed != 0) {
        printf("config: seed %llu\n", (unsigned long long)SEED);
    }
    FvCluster_Close(&cluster);
    return failed;
}
