/*
 * Guards against a task that starts again while its run is being stopped,
 * which no report lists. The stop is the last order of a leader that dies, and
 * its worker carries it out late.
 */

#include "entry-cell.h"
#include "fake-server.h"
#include "suite.h"

#include <signal.h>

#define HOSTS 3
#define STOP_MS 900
#define OUTAGE_MS 1200

/* Its progress is so slow that it counts as stalled and is stopped. */
static const char stalling_task[] =
    "{\"taskSpec\":\"cpu=1000 run_ms=900000\",\"steps\":[{\"count\":4,"
    "\"cpu\":1000,\"memMb\":10,\"estimatedMs\":1000}]}";
static entry_cell_t cell;

static int64_t
read_counter(const char *name)
{
    json_t *report = FvEntryCell_Report(&cell);
    int64_t value = FvJson_Int(report, name, -1);

    json_decref(report);
    return value;
}

static bool
wait_for_counter(const char *name, int64_t value, int64_t timeout_ms)
{
    int64_t until_ms = FvClock_NowMs() + timeout_ms;

    while (read_counter(name) < value) {
        if (FvClock_NowMs() >= until_ms) {
            return false;
        }
        FvFake_SleepMs(10);
    }
    return true;
}

/* Returns the leader once it has stopped the tasks of a job. */
static int
stop_stalled_tasks(const char *name, const char *faults)
{
    int leader;

    CU_ASSERT_TRUE_FATAL(
        FvEntryCell_Start(
            &cell, &(entry_cell_options_t){.name = name,
                                           .hosts = HOSTS,
                                           .workers = 1,
                                           .stop_timeout_ms = STOP_MS}) &&
        FvEntryCell_WaitReady(&cell, 10000));
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, faults));
    CU_ASSERT_EQUAL(FvEntryCell_Call(&cell, 0, "POST",
                                     "/fast/00000000000000e2", stalling_task,
                                     NULL, 0),
                    200);
    CU_ASSERT_TRUE_FATAL(wait_for_counter("stops", 4, 10000));
    leader = FvEntryCell_Leader(&cell);
    CU_ASSERT_TRUE_FATAL(leader >= 0);
    return leader;
}

/* The next leader starts the tasks again, at the right time. */
static void
check_second_runs(void)
{
    CU_ASSERT_TRUE(wait_for_counter("starts", 8, 10000));
    CU_ASSERT_EQUAL(read_counter("violations"), 0);
    FvEntryCell_Stop(&cell);
}

static void
test_leader_killed_after_stop(void)
{
    int leader = stop_stalled_tasks("entry-late-stop",
                                    "{\"stopMs\":900,\"stopDelayMs\":1000}");

    FvProcess_Kill(&cell.hosts[leader].process);
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, "{\"store\":\"busy\"}"));
    FvFake_SleepMs(OUTAGE_MS);
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(
        &cell, "{\"store\":\"up\",\"stopDelayMs\":0}"));
    check_second_runs();
}

/* The leader waits until the stops that it sent have taken effect before it
 * resigns, but cannot know when one without an answer does. */
static void
test_leader_terminated_after_stop(void)
{
    int leader = stop_stalled_tasks("entry-late-stop-planned",
                                    "{\"stopMs\":900,\"stopDelayMs\":1000}");

    kill(cell.hosts[leader].process.pid, SIGTERM);
    FvFake_SleepMs(300);
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, "{\"stopDelayMs\":0}"));
    check_second_runs();
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a task starts while a dead leader's late stop ends its run",
         test_leader_killed_after_stop},
        {"a task starts while a former leader's late stop ends its run",
         test_leader_terminated_after_stop},
    };

    return Fv_RUN_SUITE("entry_late_stop", cases);
}
