/*
 * Guards against starts above a customer's cap with real processes: while the
 * leader is killed, after the cap was lowered, and with late orders. The
 * stand-in's workers check each start. Also against excess that is accepted in
 * a full cell.
 */

#include "entry-cell.h"
#include "fake-server.h"
#include "suite.h"

#include <string.h>

#define HOSTS 3
#define WORKERS 4
#define READY_TIMEOUT_MS 15000
#define APPLY_MS 2500 /* the users' bound for a configuration */
#define DONE_TIMEOUT_MS 30000

#define TASKS 12
#define RUN_MS 800
#define TASK_CPU 500
#define CAP_CPU 2000
#define LOW_CAP_CPU 1000

static entry_cell_t cell;
static int64_t version;

static void
set_cap(int cap, int weight)
{
    char body[256];

    snprintf(body, sizeof(body),
             "{\"config\":%lld,\"tenants\":[{\"name\":\"east\","
             "\"apiKeys\":[\"e1\"],\"weight\":%d,\"cap\":{\"cpu\":%d}}]}",
             (long long)++version, weight, cap);
    CU_ASSERT(FvEntryCell_PlatformFault(&cell, body));
    CU_ASSERT_FATAL(FvEntryCell_WaitConfig(&cell, version, APPLY_MS));
}

static void
open_cell(const char *name, int weight)
{
    CU_ASSERT_FATAL(FvEntryCell_Start(
        &cell, &(entry_cell_options_t){
                   .name = name, .hosts = HOSTS, .workers = WORKERS}));
    CU_ASSERT_FATAL(FvEntryCell_WaitReady(&cell, READY_TIMEOUT_MS));
    version = 1;
    set_cap(CAP_CPU, weight);
}

/* Submits a job at a host that is no leader, and repeats the call while hosts
 * refuse it for a moment. @cap: that the workers check */
static int
submit(const char *id, int tasks, int cpu, int cap)
{
    char path[64];
    char body[320];
    int status = 0;

    snprintf(path, sizeof(path), "/slow/%s", id);
    snprintf(body, sizeof(body),
             "{\"taskSpec\":\"run_ms=%d cpu=%d customer=1 cap=%d\","
             "\"steps\":[{\"count\":%d,\"cpu\":%d,\"memMb\":10,"
             "\"estimatedMs\":%d}]}",
             RUN_MS, cpu, cap, tasks, cpu, RUN_MS);
    for (int i = 0; i < 20 && (status == 0 || status == 503); i++) {
        FvFake_SleepMs(i > 0 ? 200 : 0);
        status = FvEntryCell_CallAs(&cell, i % HOSTS, "e1", "POST", path, body,
                                    NULL, 0);
    }
    return status;
}

static bool
is_completed(const char *id)
{
    char path[64];
    char state[32] = "";

    snprintf(path, sizeof(path), "/slow/%s", id);
    for (int i = 0; i < HOSTS && state[0] == '\0'; i++) {
        FvEntryCell_CallAs(&cell, i, "e1", "GET", path, NULL, state,
                           sizeof(state));
    }
    return strcmp(state, "completed") == 0;
}

static void
expect_completed(const char *id)
{
    int64_t until_ms = FvClock_NowMs() + DONE_TIMEOUT_MS;
    bool completed = false;

    while (!completed && FvClock_NowMs() < until_ms) {
        FvFake_SleepMs(100);
        completed = is_completed(id);
    }
    CU_ASSERT_TRUE(completed);
}

static void
close_cell(void)
{
    json_t *report = FvEntryCell_Report(&cell);

    CU_ASSERT_EQUAL(FvJson_Int(report, "violations", -1), 0);
    if (FvJson_Int(report, "violations", -1) != 0) {
        printf("  %s\n", FvJson_String(report, "first"));
    }
    json_decref(report);
    FvEntryCell_Stop(&cell);
}

/* Four tasks at a time, before and after the leader is killed, with orders
 * that are carried out late. */
static void
test_leader_is_killed(void)
{
    int64_t began_ms;
    int leader;

    open_cell("entry-caps", 50);
    CU_ASSERT(FvEntryCell_PlatformFault(
        &cell, "{\"latePerMille\":100,\"lateMaxMs\":1500}"));
    began_ms = FvClock_NowMs();
    CU_ASSERT_EQUAL(submit("5c0e7a21d94b0001", TASKS, TASK_CPU, CAP_CPU), 200);
    CU_ASSERT_EQUAL(submit("5c0e7a21d94b0002", TASKS, TASK_CPU, CAP_CPU), 200);
    FvFake_SleepMs(2 * RUN_MS);
    leader = FvEntryCell_Leader(&cell);
    CU_ASSERT_FATAL(leader >= 0);
    FvProcess_Kill(&cell.hosts[leader].process);
    CU_ASSERT_FATAL(FvEntryCell_WaitLeader(&cell, leader, 5000) >= 0);
    expect_completed("5c0e7a21d94b0001");
    expect_completed("5c0e7a21d94b0002");
    /* All at one time would take two or three run times. */
    CU_ASSERT(FvClock_NowMs() - began_ms >=
              2 * TASKS * TASK_CPU / CAP_CPU * RUN_MS);
    close_cell();
}

/* Starts of later jobs keep to the lower cap. Tasks that run go on. */
static void
test_lowered_cap(void)
{
    json_t *report;

    open_cell("entry-caps-lowered", 50);
    CU_ASSERT_EQUAL(submit("5c0e7a21d94b0001", TASKS, TASK_CPU, CAP_CPU), 200);
    FvFake_SleepMs(RUN_MS);
    set_cap(LOW_CAP_CPU, 50);
    CU_ASSERT_EQUAL(submit("5c0e7a21d94b0003", TASKS, TASK_CPU, LOW_CAP_CPU),
                    200);
    CU_ASSERT_EQUAL(
        submit("5c0e7a21d94b0004", 1, LOW_CAP_CPU + 1, LOW_CAP_CPU), 503);
    expect_completed("5c0e7a21d94b0001");
    expect_completed("5c0e7a21d94b0003");
    report = FvEntryCell_Report(&cell);
    CU_ASSERT_EQUAL(FvJson_Int(report, "stops", -1), 0);
    json_decref(report);
    close_cell();
}

/* One job a second, and the cap is taken by the first one. */
static void
test_excess(void)
{
    int leader;

    open_cell("entry-caps-excess", 1);
    leader = FvEntryCell_Leader(&cell);
    CU_ASSERT_EQUAL(submit("5c0e7a21d94b0001", TASKS, TASK_CPU, CAP_CPU), 200);
    FvFake_SleepMs(RUN_MS / 2); /* until its tasks have started */
    CU_ASSERT_EQUAL(submit("5c0e7a21d94b0002", 1, TASK_CPU, CAP_CPU), 429);
    CU_ASSERT(FvEntryCell_WaitLog(&cell, leader, "cause=excess", 2000));
    expect_completed("5c0e7a21d94b0001");
    CU_ASSERT_EQUAL(submit("5c0e7a21d94b0002", 1, TASK_CPU, CAP_CPU), 200);
    expect_completed("5c0e7a21d94b0002");
    close_cell();
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a new leader starts tasks above a cap", test_leader_is_killed},
        {"tasks start above a lowered cap, or are stopped for it",
         test_lowered_cap},
        {"excess is accepted in a full cell", test_excess},
    };

    return Fv_RUN_SUITE("entry_caps", cases);
}
