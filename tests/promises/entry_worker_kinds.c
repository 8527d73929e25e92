/*
 * Workers that restart under their id as another kind, while tasks that
 * require a kind wait for room. Each start is checked at the worker. Tickets,
 * which are valid for one life of a worker, protect half of the jobs only.
 */

#include "entry-cell.h"
#include "fake-server.h"
#include "suite.h"

#include <stdlib.h>
#include <string.h>

#define HOSTS 3
#define WORKERS 6
#define START_MS 15000
#define ROUNDS 12
#define ROUND_MS 700
#define COMPLETION_MS 15000
#define JOBS_MAX 64

static entry_cell_t cell;
static char paths[JOBS_MAX][64];
static int jobs;
static bool is_kind_b[WORKERS];

static void
change_kind(int worker, const char *when)
{
    char fault[64];

    is_kind_b[worker] = !is_kind_b[worker];
    snprintf(fault, sizeof(fault), "{\"%s\":%d,\"kind\":\"%s\"}", when, worker,
             is_kind_b[worker] ? "b" : "a");
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, fault));
}

static void
restart_as_other_kind(int worker)
{
    change_kind(worker, "restart");
}

static void
submit(int host, const char *kind)
{
    bool plain = jobs / 2 % 2 == 0;
    char body[256];

    CU_ASSERT_FATAL(jobs < JOBS_MAX);
    snprintf(paths[jobs], sizeof(paths[jobs]), "/%s/%016x",
             plain ? "plain" : "slow", jobs + 1);
    snprintf(body, sizeof(body),
             "{\"taskSpec\":\"run_ms=300 cpu=2000 %slabel=%s \",\"steps\":["
             "{\"count\":24,\"cpu\":2000,\"memMb\":64,\"estimatedMs\":300,"
             "\"requiredLabel\":\"%s\"}]}",
             plain ? "no_ticket " : "", kind, kind);
    CU_ASSERT_EQUAL(
        FvEntryCell_Call(&cell, host, "POST", paths[jobs++], body, NULL, 0),
        200);
}

static void
check_completed(void)
{
    int64_t until_ms = FvClock_NowMs() + COMPLETION_MS;

    for (int i = 0; i < jobs; i++) {
        char state[32] = "";

        while (strcmp(state, "completed") != 0 && FvClock_NowMs() < until_ms) {
            FvEntryCell_Call(&cell, i % HOSTS, "GET", paths[i], NULL, state,
                             sizeof(state));
            FvFake_SleepMs(20);
        }
        CU_ASSERT_STRING_EQUAL(state, "completed");
    }
}

static void
check_violations(void)
{
    json_t *report = FvEntryCell_Report(&cell);

    if (FvJson_Int(report, "violations", -1) != 0) {
        printf("%lld violations of %lld starts, first: %s\n",
               (long long)FvJson_Int(report, "violations", -1),
               (long long)FvJson_Int(report, "starts", -1),
               FvJson_String(report, "first"));
        CU_FAIL("a task started on a worker of another kind");
    }
    json_decref(report);
}

/* The report of the later incarnation is known at once, its entry after the
 * changes of the registry were gathered. */
static void
test_restarts_as_other_kind(void)
{
    for (int i = 0; i < WORKERS / 2; i++) {
        restart_as_other_kind(i);
    }
    FvFake_SleepMs(1000);
    for (int round = 0; round < ROUNDS; round++) {
        submit(round % HOSTS, "a");
        submit((round + 1) % HOSTS, "b");
        FvFake_SleepMs(ROUND_MS / 2);
        restart_as_other_kind(round % WORKERS);
        restart_as_other_kind((round + WORKERS / 2) % WORKERS);
        FvFake_SleepMs(ROUND_MS / 2);
    }
    check_completed();
    check_violations();
}

/* The next leader has no report of the earlier incarnation, and reads the
 * registry while the workers restart. */
static void
test_restarts_while_leader_changes(void)
{
    for (int round = 0; round < 3; round++) {
        int leader = FvEntryCell_Leader(&cell);

        submit(round % HOSTS, "a");
        submit(round % HOSTS, "b");
        FvFake_SleepMs(ROUND_MS / 2);
        if (leader >= 0) {
            FvProcess_Kill(&cell.hosts[leader].process);
            CU_ASSERT_TRUE(FvEntryCell_StartHost(&cell, leader));
        }
        for (int i = 0; i < WORKERS; i++) {
            restart_as_other_kind(i);
            FvFake_SleepMs(150);
        }
        CU_ASSERT_TRUE(FvEntryCell_WaitReady(&cell, START_MS));
    }
    check_completed();
    check_violations();
}

/* The restart closes the connections on which starts were sent. */
static void
test_restarts_at_start(void)
{
    for (int round = 0; round < ROUNDS; round++) {
        CU_ASSERT_TRUE(FvEntryCell_WaitReady(&cell, START_MS));
        for (int i = 0; i < WORKERS / 2; i++) {
            change_kind((round + 2 * i) % WORKERS, "restartAtStart");
        }
        submit(round % HOSTS, "a");
        submit((round + 1) % HOSTS, "b");
        FvFake_SleepMs(ROUND_MS);
    }
    check_completed();
    check_violations();
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a task starts on a worker that restarted as another kind",
         test_restarts_as_other_kind},
        {"a new leader starts tasks by the labels of an earlier incarnation",
         test_restarts_while_leader_changes},
        {"a start is repeated to the incarnation that its connection did not "
         "reach",
         test_restarts_at_start},
    };
    int failed = 1;

    if (FvEntryCell_Start(&cell,
                          &(entry_cell_options_t){.name = "entry-worker-kinds",
                                                  .hosts = HOSTS,
                                                  .workers = WORKERS}) &&
        FvEntryCell_WaitReady(&cell, START_MS)) {
        failed = Fv_RUN_SUITE("worker kinds", cases);
    }
    FvEntryCell_Stop(&cell);
    return failed;
}
