/*
 * Guards against a task that starts again after it has ended `done`, because
 * its end did not fit into the worker's report. Ends pile up while the store
 * is away and none can be recorded.
 */

#include "entry-cell.h"
#include "fake-server.h"
#include "suite.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 3
#define OUTAGE_MS 4500
#define COMPLETION_TIMEOUT_MS 25000

/* Far more tasks than end in one list, and more than run at one time. */
static const char many_tasks[] =
    "{\"taskSpec\":\"cpu=200 run_ms=300\",\"steps\":[{\"count\":400,"
    "\"cpu\":200,\"memMb\":1,\"estimatedMs\":300}]}";
static const char job_path[] = "/fast/00000000000000e1";
static const char *const page_options[] = {"--ends-page", "8", NULL};
static entry_cell_t cell;

static bool
start_cell(const char *name)
{
    return FvEntryCell_Start(
               &cell,
               &(entry_cell_options_t){.name = name,
                                       .hosts = HOSTS,
                                       .workers = 1,
                                       .platform_options = page_options}) &&
           FvEntryCell_WaitReady(&cell, 10000);
}

/* A host other than @except answers for the job. */
static bool
wait_completed(int except)
{
    int64_t until_ms = FvClock_NowMs() + COMPLETION_TIMEOUT_MS;
    char state[32] = "";

    while (strcmp(state, "completed") != 0 && FvClock_NowMs() < until_ms) {
        FvFake_SleepMs(100);
        FvEntryCell_Call(&cell, except == 0 ? 1 : 0, "GET", job_path, NULL,
                         state, sizeof(state));
    }
    return strcmp(state, "completed") == 0;
}

static void
check_report(void)
{
    json_t *report = FvEntryCell_Report(&cell);

    CU_ASSERT_EQUAL(FvJson_Int(report, "violations", -1), 0);
    CU_ASSERT(FvJson_Int(report, "starts", 0) >= 400);
    if (FvJson_Int(report, "violations", -1) != 0) {
        printf("\n    %lld violations in %lld starts, first: %s ",
               (long long)FvJson_Int(report, "violations", -1),
               (long long)FvJson_Int(report, "starts", -1),
               FvJson_String(report, "first"));
    }
    json_decref(report);
}

static void
submit(void)
{
    CU_ASSERT_EQUAL_FATAL(
        FvEntryCell_Call(&cell, 0, "POST", job_path, many_tasks, NULL, 0),
        200);
    FvFake_SleepMs(300);
}

/* The leader keeps its lease, and goes on to start tasks in the outage. */
static void
test_same_leader(void)
{
    CU_ASSERT_TRUE_FATAL(start_cell("entry-ends-page"));
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, "{\"pauseLeases\":true}"));
    submit();
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, "{\"store\":\"busy\"}"));
    FvFake_SleepMs(OUTAGE_MS);
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, "{\"store\":\"up\"}"));
    CU_ASSERT_TRUE(wait_completed(-1));
    check_report();
    FvEntryCell_Stop(&cell);
}

/* The leader is killed in the outage; its successor finds more ends than its
 * first report of the worker lists. */
static void
test_next_leader(void)
{
    int leader;

    CU_ASSERT_TRUE_FATAL(start_cell("entry-ends-page-next"));
    submit();
    leader = FvEntryCell_Leader(&cell);
    CU_ASSERT_TRUE_FATAL(leader >= 0);
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, "{\"store\":\"busy\"}"));
    FvFake_SleepMs(1500);
    FvProcess_Kill(&cell.hosts[leader].process);
    FvFake_SleepMs(500);
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, "{\"store\":\"up\"}"));
    CU_ASSERT_TRUE(wait_completed(leader));
    check_report();
    FvEntryCell_Stop(&cell);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a task starts again whose end is not in the report",
         test_same_leader},
        {"the next leader starts a task again whose end is not in its first "
         "report",
         test_next_leader},
    };

    return Fv_RUN_SUITE("entry_ends_page", cases);
}
