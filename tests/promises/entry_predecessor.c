/*
 * Guards against a successor that frees the tasks of earlier leaders while one
 * of these may still renew leases of workers: 6 s beyond its own lease, and a
 * worker's lease lasts 4.9 s more. A suspended leader stands for one that is
 * cut off. Checks the time at which tasks become free.
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
#define FREE_MS 15000
/* Order grace and the longest lease of a worker, less 100 ms for the time at
 * which this test notices the leader. */
#define RELEASE_MIN_MS 10700

/* The longest lease of a worker; a second more until all hosts are linked. */
#define LEASE_MS 4800
#define RESTART_RELEASE_MAX_MS 6000

static const char job[] =
    "{\"taskSpec\":\"cpu=100 run_ms=50\",\"steps\":[{\"count\":8,"
    "\"cpu\":100,\"memMb\":10,\"estimatedMs\":50}]}";

static void
open_cell(entry_cell_t *cell)
{
    const entry_cell_options_t options = {
        .name = "entry-predecessor", .hosts = HOSTS, .workers = WORKERS};
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

/* Host A leads, then B, which changes nothing in the list of workers and so
 * does not write it. B is suspended; A is linked to the third leader. */
static void
test_predecessor_is_not_the_writer_of_the_list(void)
{
    static entry_cell_t cell;
    char linked[64];
    char predecessor[64];
    int first;
    int second;
    int third;

    open_cell(&cell);
    first = FvEntryCell_Leader(&cell);
    CU_ASSERT_TRUE_FATAL(first >= 0);
    FvProcess_Kill(&cell.hosts[first].process);
    second = FvEntryCell_WaitLeader(&cell, first, LEADER_MS);
    CU_ASSERT_TRUE_FATAL(second >= 0);
    CU_ASSERT_TRUE(FvEntryCell_StartHost(&cell, first));
    snprintf(linked, sizeof(linked), "event=leader_linked leader=host-%d",
             second);
    CU_ASSERT_TRUE(FvEntryCell_WaitLog(&cell, first, linked, LEADER_MS));
    /* Renews its lease of worker 1 until the end, and is then cut off. */
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, "{\"crash\":1}"));
    CU_ASSERT_TRUE(FvProcess_Signal(&cell.hosts[second].process, SIGSTOP));
    third = FvEntryCell_WaitLeader(&cell, second, LEADER_MS);
    CU_ASSERT_TRUE_FATAL(third >= 0);
    snprintf(predecessor, sizeof(predecessor), "predecessor=host-%d", second);
    FvFake_SleepMs(FREE_MS - 3000);
    CU_ASSERT(FvEntryCell_FreeAfterMs(&cell, third) >= RELEASE_MIN_MS);
    CU_ASSERT_TRUE(FvEntryCell_LogHas(&cell, third, predecessor));
    FvEntryCell_Stop(&cell);
}

/* Host A is suspended, B leads for a moment, is killed and linked to the third
 * leader: B has stopped, A has not. */
static void
test_leader_before_the_predecessor_may_send_orders(void)
{
    static entry_cell_t cell;
    int64_t second_ms;
    int64_t third_ms;
    int first;
    int second;
    int third;

    open_cell(&cell);
    first = FvEntryCell_Leader(&cell);
    CU_ASSERT_TRUE_FATAL(first >= 0);
    CU_ASSERT_TRUE(FvProcess_Signal(&cell.hosts[first].process, SIGSTOP));
    second = FvEntryCell_WaitLeader(&cell, first, LEADER_MS);
    second_ms = FvClock_NowMs();
    CU_ASSERT_TRUE_FATAL(second >= 0);
    CU_ASSERT_TRUE(
        FvEntryCell_WaitLog(&cell, second, "event=leader_serving", LEADER_MS));
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, "{\"crash\":1}"));
    FvProcess_Kill(&cell.hosts[second].process);
    third = FvEntryCell_WaitLeader(&cell, second, LEADER_MS);
    third_ms = FvClock_NowMs();
    CU_ASSERT_TRUE_FATAL(third >= 0);
    CU_ASSERT_TRUE(FvEntryCell_StartHost(&cell, second));
    FvFake_SleepMs(FREE_MS - 3000);
    CU_ASSERT(FvEntryCell_FreeAfterMs(&cell, third) + third_ms - second_ms >=
              RELEASE_MIN_MS);
    FvEntryCell_Stop(&cell);
}

/* All hosts end at one time and start again, beside a worker that has ended
 * meanwhile: no earlier leader is left, so that only the worker's lease
 * counts. A leader that saw the worker leave would take it off the worker
 * list. */
static void
test_restart_of_all_hosts_counts_as_stopped(void)
{
    static entry_cell_t cell;
    int leader;

    open_cell(&cell);
    for (int i = 0; i < HOSTS; i++) {
        FvProcess_Kill(&cell.hosts[i].process);
    }
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, "{\"crash\":1}"));
    for (int i = 0; i < HOSTS; i++) {
        CU_ASSERT_TRUE(FvEntryCell_StartHost(&cell, i));
    }
    FvFake_SleepMs(3000);
    leader = FvEntryCell_Leader(&cell);
    CU_ASSERT_TRUE_FATAL(leader >= 0);
    FvFake_SleepMs(FREE_MS - 5000);
    CU_ASSERT(FvEntryCell_FreeAfterMs(&cell, leader) >= LEASE_MS);
    CU_ASSERT(FvEntryCell_FreeAfterMs(&cell, leader) < RESTART_RELEASE_MAX_MS);
    FvEntryCell_Stop(&cell);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"the writer of the worker list is taken for the previous leader",
         test_predecessor_is_not_the_writer_of_the_list},
        {"a leader before the previous one is taken for stopped",
         test_leader_before_the_predecessor_may_send_orders},
        {"leaders that ended with all hosts are waited for",
         test_restart_of_all_hosts_counts_as_stopped},
    };

    return Fv_RUN_SUITE("entry_predecessor", cases);
}
