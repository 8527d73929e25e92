/*
 * Guards against a worker that is reached again and whose runs lapse all the
 * same, since it cannot be taken off the list of unreached workers while the
 * store is away.
 */

#include "entry-cell.h"
#include "fake-server.h"
#include "suite.h"

#include <stdlib.h>
#include <string.h>

#define READY_MS 10000
#define LISTED_MS 1100
#define SHORT_SILENCE_MS 300
/* Less than the time for which a leader goes on without the store (6 s). */
#define OUTAGE_MS 5300

static const char long_job[] =
    "{\"taskSpec\":\"cpu=500 run_ms=60000\",\"steps\":[{\"count\":20,"
    "\"cpu\":500,\"memMb\":10,\"estimatedMs\":60000}]}";
static entry_cell_t cell;

static int
count_starts(void)
{
    json_t *report = FvEntryCell_Report(&cell);
    int starts = (int)FvJson_Int(report, "starts", -1);

    json_decref(report);
    return starts;
}

/* Returns how many tasks started again beside an outage of the store that
 * begins just before the worker is reached again. */
static int
restarted_tasks(const char *name, bool wait_until_listed, bool outage)
{
    int64_t until_ms;
    int starts;

    CU_ASSERT_TRUE_FATAL(
        FvEntryCell_Start(
            &cell,
            &(entry_cell_options_t){.name = name, .hosts = 1, .workers = 2}) &&
        FvEntryCell_WaitReady(&cell, READY_MS));
    CU_ASSERT_EQUAL(FvEntryCell_Call(&cell, 0, "POST",
                                     "/slow/00000000000000a2", long_job, NULL,
                                     0),
                    200);
    FvFake_SleepMs(800);
    starts = count_starts();
    CU_ASSERT_EQUAL(starts, 20);
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, "{\"mute\":1}"));
    until_ms = FvClock_NowMs() + LISTED_MS;
    while (wait_until_listed && FvClock_NowMs() < until_ms &&
           !FvEntryCell_LogHas(&cell, 0, "event=unreached_workers count=1")) {
        FvFake_SleepMs(10);
    }
    FvFake_SleepMs(SHORT_SILENCE_MS);
    if (outage) {
        CU_ASSERT_TRUE(FvEntryCell_PlatformFault(
            &cell, "{\"pauseLeases\":true,\"store\":\"busy\"}"));
    }
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, "{\"reached\":1}"));
    FvFake_SleepMs(OUTAGE_MS);
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, "{\"store\":\"up\"}"));
    FvFake_SleepMs(1500);
    starts = count_starts() - starts;
    printf("\n    %d tasks started again ", starts);
    FvEntryCell_Stop(&cell);
    return starts;
}

static void
test_short_silence(void)
{
    CU_ASSERT_EQUAL(restarted_tasks("entry-unreached-short", false, true), 0);
}

static void
test_no_outage(void)
{
    CU_ASSERT_EQUAL(restarted_tasks("entry-unreached-calm", true, false), 0);
}

static void
test_outage(void)
{
    CU_ASSERT_EQUAL(restarted_tasks("entry-unreached-outage", true, true), 0);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a worker that missed single answers loses its runs in an outage",
         test_short_silence},
        {"a worker that is reached again loses its runs", test_no_outage},
        {"a worker that is reached again loses its runs in an outage",
         test_outage},
    };

    return Fv_RUN_SUITE("entry_unreached_outage", cases);
}
