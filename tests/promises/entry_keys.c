/*
 * Guards against calls that are served under a removed key, and against calls
 * that are refused although their key exists, with real processes: one host is
 * cut from the store, the leader is killed, and configurations follow each
 * other closely.
 */

#include "entry-cell.h"
#include "fake-server.h"
#include "http-call.h"
#include "kept-connection.h"
#include "suite.h"

#include <signal.h>
#include <string.h>

#define HOSTS 4
#define WORKERS 4
#define READY_TIMEOUT_MS 15000

/* The users' bounds from the store's answer: the shortest time in which a
 * configuration has to be in force, and what a host without the store may take
 * beyond it. */
#define APPLY_MS 2500
#define WITHOUT_STORE_MS 8000

#define STORM_VERSIONS 25
#define STORM_PAUSE_MS 60

#define JOB_EAST "/slow/5c0e7a21d94b0001"
#define JOB_WEST "/slow/5c0e7a21d94b0002"
#define SHORT_JOB                                                             \
    "{\"taskSpec\":\"run_ms=4000 cpu=100\",\"steps\":[{\"count\":2,"          \
    "\"cpu\":100,\"memMb\":10,\"estimatedMs\":4000}]}"

static entry_cell_t cell;
static int64_t version;

static void
write_customers(const char *customers)
{
    char body[512];

    snprintf(body, sizeof(body), "{\"config\":%lld,\"tenants\":%s}",
             (long long)++version, customers);
    CU_ASSERT(FvEntryCell_PlatformFault(&cell, body));
}

static void
open_cell(const char *name, bool splits)
{
    CU_ASSERT_FATAL(
        FvEntryCell_Start(&cell, &(entry_cell_options_t){.name = name,
                                                         .hosts = HOSTS,
                                                         .workers = WORKERS,
                                                         .splits = splits}));
    CU_ASSERT_FATAL(FvEntryCell_WaitReady(&cell, READY_TIMEOUT_MS));
    version = 1;
    write_customers("[{\"name\":\"east\",\"apiKeys\":[\"e1\",\"e2\"]},"
                    "{\"name\":\"west\",\"apiKeys\":[\"w1\"]}]");
    CU_ASSERT_FATAL(FvEntryCell_WaitConfig(&cell, version, APPLY_MS));
}

static int
call(int host, const char *key, const char *method, const char *path)
{
    return FvEntryCell_CallAs(&cell, host, key, method, path,
                              strcmp(method, "POST") == 0 ? SHORT_JOB : NULL,
                              NULL, 0);
}

/* Repeats a call that hosts refuse for a moment, as while a leader changes. */
static int
call_until_answered(int host, const char *key, const char *method,
                    const char *path)
{
    int status = 0;

    for (int i = 0; i < 20 && (status == 0 || status >= 500); i++) {
        FvFake_SleepMs(i > 0 ? 200 : 0);
        status = call(host, key, method, path);
    }
    return status;
}

static void
expect_everywhere(const char *key, const char *path, int status, int without)
{
    for (int i = 0; i < HOSTS; i++) {
        if (i != without) {
            CU_ASSERT_EQUAL(call_until_answered(i, key, "GET", path), status);
        }
    }
}

/* Calls a host with a removed key until it refuses it. Returns how long that
 * took from the change. */
static int64_t
refused_after_ms(int host, const char *key, int64_t changed_ms)
{
    int64_t until_ms = changed_ms + APPLY_MS + WITHOUT_STORE_MS + 1000;
    int status = 0;

    while (status != 401 && FvClock_NowMs() < until_ms) {
        status = call(host, key, "GET", "/slow/");
        CU_ASSERT(status == 200 || status == 401);
    }
    return status == 401 ? FvClock_NowMs() - changed_ms : INT64_MAX;
}

static void
check_answers_of_hosts(void)
{
    expect_everywhere(NULL, "/slow/", 401, -1);
    expect_everywhere("e3", "/slow/", 401, -1);
    expect_everywhere("e3", "/none/", 404, -1);
    expect_everywhere(NULL, "/plain/", 200, -1);
    expect_everywhere("w1", "/slow/", 200, -1);
    CU_ASSERT_EQUAL(call_until_answered(0, "e1", "POST", JOB_EAST), 200);
    CU_ASSERT_EQUAL(call_until_answered(1, "w1", "POST", JOB_WEST), 200);
    expect_everywhere("w1", JOB_EAST, 403, -1);
    expect_everywhere("e2", JOB_EAST, 200, -1);
    CU_ASSERT_EQUAL(call_until_answered(1, "w1", "DELETE", JOB_EAST), 403);
    CU_ASSERT_EQUAL(call_until_answered(2, "w1", "POST", JOB_EAST), 403);
}

/* The host without the store learns of the removal by its link, from this
 * leader and from the next one. */
static void
test_removed_keys(void)
{
    int64_t changed_ms;
    int64_t after_ms;
    char state[32] = "";
    int leader;
    int status;
    int cut;

    open_cell("entry-keys", false);
    check_answers_of_hosts();
    leader = FvEntryCell_Leader(&cell);
    CU_ASSERT_FATAL(leader >= 0);
    cut = (leader + 1) % HOSTS;
    CU_ASSERT(FvEntryCell_RouteFault(&cell, cut, "blackhole"));
    FvFake_SleepMs(300);
    write_customers("[{\"name\":\"east\",\"apiKeys\":[\"e2\"]},"
                    "{\"name\":\"west\",\"apiKeys\":[]}]");
    changed_ms = FvClock_NowMs();
    after_ms = refused_after_ms(leader, "e1", changed_ms);
    /* From then on the leader returns calls that others still admit. */
    status = call(cut, "e1", "GET", "/slow/");
    printf("  the leader has refused e1 after %lld ms, then the host without "
           "the store answered %d\n",
           (long long)after_ms, status);
    CU_ASSERT_EQUAL(status, 401);
    CU_ASSERT(after_ms <= APPLY_MS);
    for (int i = 0; i < HOSTS; i++) {
        after_ms = refused_after_ms(i, "e1", changed_ms);
        CU_ASSERT(after_ms <= APPLY_MS + (i == cut ? WITHOUT_STORE_MS : 0));
    }
    expect_everywhere("w1", "/slow/", 401, -1);
    expect_everywhere("e2", JOB_EAST, 200, -1);
    FvProcess_Kill(&cell.hosts[leader].process);
    CU_ASSERT_FATAL(FvEntryCell_WaitLeader(&cell, leader, 5000) >= 0);
    expect_everywhere("e2", "/slow/", 200, leader);
    expect_everywhere("e1", "/slow/", 401, leader);
    expect_everywhere("e2", JOB_WEST, 403, leader);
    /* A job that was accepted under a removed key goes on. */
    for (int i = 0; i < 40 && strcmp(state, "completed") != 0; i++) {
        FvFake_SleepMs(250);
        FvEntryCell_CallAs(&cell, cut, "e2", "GET", JOB_EAST, NULL, state,
                           sizeof(state));
    }
    CU_ASSERT_STRING_EQUAL(state, "completed");
    expect_everywhere("e2", JOB_WEST, 403, leader);
    FvEntryCell_Stop(&cell);
}

/* A version with another key every 60 ms, to a host without the store too. */
static void
test_storm_of_configurations(void)
{
    char customers[256];
    int64_t end_ms;
    int counts[6] = {0}; /* by the first digit of the status */
    int leader;

    open_cell("entry-keys-storm", false);
    leader = FvEntryCell_Leader(&cell);
    CU_ASSERT(
        FvEntryCell_RouteFault(&cell, (leader + 1) % HOSTS, "blackhole"));
    FvFake_SleepMs(300);
    for (int i = 0; i < STORM_VERSIONS; i++) {
        snprintf(customers, sizeof(customers),
                 "[{\"name\":\"east\",\"apiKeys\":[\"e1\",\"x%d\"]}]", i);
        end_ms = FvClock_NowMs() + STORM_PAUSE_MS;
        write_customers(customers);
        for (int host = 0; FvClock_NowMs() < end_ms; host++) {
            counts[call(host % HOSTS, "e1", "GET", "/slow/") / 100]++;
        }
    }
    printf("  %d served, %d refused with 4xx, %d with 5xx, %d unanswered\n",
           counts[2], counts[4], counts[5], counts[0]);
    CU_ASSERT(counts[2] > STORM_VERSIONS);
    CU_ASSERT(FvEntryCell_Counter(&cell, leader,
                                  "fireflyvalve_requests_given_back_total") >
              0);
    CU_ASSERT_EQUAL(counts[4] + counts[5] + counts[0], 0);
    CU_ASSERT(FvEntryCell_WaitConfig(&cell, version, APPLY_MS));
    /* The last one is bad and changes nothing. */
    write_customers("[{\"name\":\"east\",\"apiKeys\":[\"e9\"],\"weight\":0}]");
    FvFake_SleepMs(APPLY_MS);
    CU_ASSERT(FvEntryCell_LogHas(&cell, leader, "weight_not_positive"));
    expect_everywhere("e1", "/slow/", 200, -1);
    expect_everywhere("e9", "/slow/", 401, -1);
    for (int i = 0; i < HOSTS; i++) {
        CU_ASSERT_FALSE(FvEntryCell_LogHas(&cell, i, "\"e1\""));
        CU_ASSERT_FALSE(FvEntryCell_LogHas(&cell, i, "=e1"));
    }
    FvEntryCell_Stop(&cell);
}

/* Returns when a host that is alone has stopped to refuse a key that it does
 * not know, in ms from the change that added it. */
static int64_t
refuses_key_for_ms(int host, const char *key, int64_t changed_ms)
{
    int status = 401;

    while (status == 401 &&
           FvClock_NowMs() < changed_ms + APPLY_MS + WITHOUT_STORE_MS) {
        FvFake_SleepMs(50);
        status = call(host, key, "GET", "/slow/");
    }
    CU_ASSERT_EQUAL(status, 503);
    return FvClock_NowMs() - changed_ms;
}

/* It reaches neither the store nor a leader, or its process stands still. */
static void
test_key_added_without_a_host(void)
{
    entry_split_t split = {0};
    kept_connection_t connection;
    kept_answer_t answer;
    int alone;

    open_cell("entry-keys-alone", true);
    alone = (FvEntryCell_Leader(&cell) + 1) % HOSTS;
    split.hosts[alone] = true;
    CU_ASSERT(FvEntryCell_Split(&cell, &split));
    write_customers("[{\"name\":\"east\",\"apiKeys\":[\"e2\",\"e8\"]}]");
    printf("  the host that is alone refuses the added key for %lld ms\n",
           (long long)refuses_key_for_ms(alone, "e8", FvClock_NowMs()));
    CU_ASSERT_EQUAL(call(alone, NULL, "GET", "/none/"), 503);
    CU_ASSERT(FvEntryCell_Split(&cell, NULL));
    expect_everywhere("e8", "/slow/", 200, -1);
    CU_ASSERT_FATAL(FvKept_Open(
        &connection, FvEntryCell_Port(&cell, alone, ENTRY_PORT_CALLERS)));
    FvProcess_Signal(&cell.hosts[alone].process, SIGSTOP);
    write_customers("[{\"name\":\"east\",\"apiKeys\":[\"e9\"]}]");
    FvFake_SleepMs(APPLY_MS);
    connection.api_key = "e9";
    CU_ASSERT(FvKept_Send(&connection, "GET", "/slow/", NULL));
    FvProcess_Signal(&cell.hosts[alone].process, SIGCONT);
    CU_ASSERT_EQUAL(FvKept_Receive(&connection, APPLY_MS, &answer),
                    KEPT_ANSWERED);
    CU_ASSERT(answer.status == 200 || answer.status == 503);
    FvKept_Close(&connection);
    expect_everywhere("e9", "/slow/", 200, -1);
    expect_everywhere("e8", "/slow/", 401, -1);
    FvEntryCell_Stop(&cell);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a call is served under a removed key, or refused under another one",
         test_removed_keys},
        {"a storm of configurations makes calls fail",
         test_storm_of_configurations},
        {"a host out of touch refuses a key that was added",
         test_key_added_without_a_host},
    };

    return Fv_RUN_SUITE("entry_keys", cases);
}
