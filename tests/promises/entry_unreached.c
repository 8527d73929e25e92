/*
 * Guards against a successor that holds the tasks of earlier leaders for a
 * worker on which certainly nothing runs any more, and against one that frees
 * them although that worker was reached again. Checks the time at which tasks
 * become free.
 */

#include "entry-cell.h"
#include "fake-server.h"
#include "suite.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 4
#define WORKERS 2
#define READY_MS 10000
#define LEADER_MS 8000
#define UNREACHED_MS 1800 /* until the stored list has the worker */
#define FREE_MS 26000
/* The longest lease of a worker from its entry in the list, and 400 ms for a
 * busy machine; an election takes a part of it. */
#define RELEASE_MAX_MS 5300
/* The longest delay of an order and the longest lease, both from the restart
 * of a worker, less 4 s between it and the election. */
#define RESTARTED_MIN_MS 18000
#define RESTARTED_MAX_MS 24000

static const char job[] =
    "{\"taskSpec\":\"cpu=100 run_ms=50\",\"steps\":[{\"count\":8,"
    "\"cpu\":100,\"memMb\":10,\"estimatedMs\":50}]}";

static void
open_cell(entry_cell_t *cell)
{
    const entry_cell_options_t options = {
        .name = "entry-unreached", .hosts = HOSTS, .workers = WORKERS};
    char state[32] = "";

    CU_ASSERT_TRUE_FATAL(FvEntryCell_Start(cell, &options) &&
                         FvEntryCell_WaitReady(cell, READY_MS));
    CU_ASSERT_EQUAL(FvEntryCell_Call(cell, 0, "POST", "/slow/00000000000000a1",
                                     job, NULL, 0),
                    200);
    for (int i = 0; i < 60 && strcmp(state, "completed") != 0; i++) {
        FvFake_SleepMs(50);
        FvEntryCell_Call(cell, 0, "GET", "/slow/00000000000000a1", NULL, state,
                         sizeof(state));
    }
    CU_ASSERT_STRING_EQUAL(state, "completed");
}

/* Starts tasks on both workers that last until the end of the test. */
static void
start_long_tasks(const entry_cell_t *cell)
{
    static const char long_job[] =
        "{\"taskSpec\":\"cpu=1000 run_ms=60000\",\"steps\":[{\"count\":12,"
        "\"cpu\":1000,\"memMb\":10,\"estimatedMs\":60000}]}";

    CU_ASSERT_EQUAL(FvEntryCell_Call(cell, 0, "POST", "/slow/00000000000000a2",
                                     long_job, NULL, 0),
                    200);
    FvFake_SleepMs(500);
}

/* Worker 1 ends and stays silent; its leader is suspended when it has noticed
 * that. */
static void
test_silent_worker_does_not_hold_tasks(void)
{
    static entry_cell_t cell;
    int64_t after_ms;
    int first;
    int second;

    open_cell(&cell);
    first = FvEntryCell_Leader(&cell);
    CU_ASSERT_TRUE_FATAL(first >= 0);
    start_long_tasks(&cell);
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, "{\"crash\":1}"));
    FvFake_SleepMs(UNREACHED_MS);
    CU_ASSERT_TRUE(FvProcess_Signal(&cell.hosts[first].process, SIGSTOP));
    second = FvEntryCell_WaitLeader(&cell, first, LEADER_MS);
    CU_ASSERT_TRUE_FATAL(second >= 0);
    FvFake_SleepMs(RELEASE_MAX_MS + 700);
    after_ms = FvEntryCell_FreeAfterMs(&cell, second);
    CU_ASSERT(after_ms > 0 && after_ms <= RELEASE_MAX_MS);
    FvEntryCell_Stop(&cell);
}

/* Worker 1 is silent, returns and gets leases again, before it ends in the
 * moment in which its leader is suspended. An order to the process before its
 * restart may still grant it the longest lease. */
static void
test_worker_that_returned_holds_tasks(void)
{
    static entry_cell_t cell;
    int64_t after_ms;
    int first;
    int second;

    open_cell(&cell);
    first = FvEntryCell_Leader(&cell);
    CU_ASSERT_TRUE_FATAL(first >= 0);
    start_long_tasks(&cell);
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, "{\"crash\":1}"));
    CU_ASSERT_TRUE(FvEntryCell_WaitLog(
        &cell, first, "event=unreached_workers count=1", LEADER_MS));
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, "{\"restart\":1}"));
    CU_ASSERT_TRUE(FvEntryCell_WaitLog(
        &cell, first, "event=unreached_workers count=0", LEADER_MS));
    FvFake_SleepMs(1000);
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, "{\"crash\":1}"));
    CU_ASSERT_TRUE(FvProcess_Signal(&cell.hosts[first].process, SIGSTOP));
    second = FvEntryCell_WaitLeader(&cell, first, LEADER_MS);
    CU_ASSERT_TRUE_FATAL(second >= 0);
    FvFake_SleepMs(FREE_MS);
    after_ms = FvEntryCell_FreeAfterMs(&cell, second);
    CU_ASSERT(after_ms >= RESTARTED_MIN_MS && after_ms <= RESTARTED_MAX_MS);
    FvEntryCell_Stop(&cell);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a worker that was silent for the previous leader holds up tasks",
         test_silent_worker_does_not_hold_tasks},
        {"a worker that got leases again is taken for silent",
         test_worker_that_returned_holds_tasks},
    };

    return Fv_RUN_SUITE("entry_unreached", cases);
}
