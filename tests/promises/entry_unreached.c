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
#define FREE_MS 12500
/* The longest lease of a worker from its entry in the list, and 400 ms for a
 * busy machine; an election takes a part of it. */
#define RELEASE_MAX_MS 5300
/* Order grace and the longest lease of a worker, less 100 ms for the time at
 * which this test notices the leader. */
#define RELEASE_MIN_MS 10700

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

static int
wait_for_leader(const entry_cell_t *cell, int former)
{
    int64_t until_ms = FvClock_NowMs() + LEADER_MS;
    int leader = FvEntryCell_Leader(cell);

    while ((leader < 0 || leader == former) && FvClock_NowMs() < until_ms) {
        FvFake_SleepMs(10);
        leader = FvEntryCell_Leader(cell);
    }
    return leader != former ? leader : -1;
}

static void
wait_for_log(const entry_cell_t *cell, int host, const char *text)
{
    int64_t until_ms = FvClock_NowMs() + LEADER_MS;

    while (!FvEntryCell_LogHas(cell, host, text) &&
           FvClock_NowMs() < until_ms) {
        FvFake_SleepMs(10);
    }
    CU_ASSERT_TRUE(FvEntryCell_LogHas(cell, host, text));
}

/* Reads the after_ms of the latest inherited_tasks_free event of a host. */
static int64_t
free_after_ms(const entry_cell_t *cell, int host)
{
    char path[512];
    char line[4096];
    int64_t after_ms = -1;
    FILE *file;

    snprintf(path, sizeof(path), "%s/host-%d.log", cell->directory, host);
    file = fopen(path, "r");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        if (strstr(line, "event=inherited_tasks_free") != NULL) {
            printf("%s", line);
            after_ms = strtoll(strstr(line, "after_ms=") + 9, NULL, 10);
        }
    }
    if (file != NULL) {
        fclose(file);
    }
    return after_ms;
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
    second = wait_for_leader(&cell, first);
    CU_ASSERT_TRUE_FATAL(second >= 0);
    FvFake_SleepMs(RELEASE_MAX_MS + 700);
    after_ms = free_after_ms(&cell, second);
    CU_ASSERT(after_ms > 0 && after_ms <= RELEASE_MAX_MS);
    FvEntryCell_Stop(&cell);
}

/* Worker 1 is silent, returns and gets leases again, before it ends in the
 * moment in which its leader is suspended. */
static void
test_worker_that_returned_holds_tasks(void)
{
    static entry_cell_t cell;
    int first;
    int second;

    open_cell(&cell);
    first = FvEntryCell_Leader(&cell);
    CU_ASSERT_TRUE_FATAL(first >= 0);
    start_long_tasks(&cell);
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, "{\"crash\":1}"));
    wait_for_log(&cell, first, "event=unreached_workers count=1");
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, "{\"restart\":1}"));
    wait_for_log(&cell, first, "event=unreached_workers count=0");
    FvFake_SleepMs(1000);
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, "{\"crash\":1}"));
    CU_ASSERT_TRUE(FvProcess_Signal(&cell.hosts[first].process, SIGSTOP));
    second = wait_for_leader(&cell, first);
    CU_ASSERT_TRUE_FATAL(second >= 0);
    FvFake_SleepMs(FREE_MS);
    CU_ASSERT(free_after_ms(&cell, second) >= RELEASE_MIN_MS);
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
