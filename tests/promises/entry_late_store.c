/*
 * Guards against hosts that refuse all requests and do not say why: they are
 * started before the store, at whose address nothing listens.
 */

#include "entry-cell.h"
#include "fake-server.h"
#include "suite.h"

#include <stdlib.h>
#include <string.h>

#define HOSTS 3
#define LOGGED_WITHIN_MS 2000
#define READY_MS 10000
#define REQUESTS 300
#define REQUESTS_MS 3000
#define REFUSALS_LOGGED_PER_S 10

static const char job[] =
    "{\"taskSpec\":\"cpu=100 run_ms=50\",\"steps\":[{\"count\":1,"
    "\"cpu\":100,\"memMb\":10,\"estimatedMs\":50}]}";

static const entry_cell_options_t options = {.name = "entry-late-store",
                                             .hosts = HOSTS,
                                             .workers = 1,
                                             .late_platform = true};

static void
wait_until_lost(const entry_cell_t *cell, uint32_t times)
{
    for (int i = 0; i < HOSTS; i++) {
        for (int64_t waited_ms = 0;
             waited_ms < LOGGED_WITHIN_MS &&
             FvEntryCell_CountLog(cell, i, "event=store_lost") < times;
             waited_ms += 20) {
            FvFake_SleepMs(20);
        }
        CU_ASSERT_EQUAL(FvEntryCell_CountLog(cell, i, "event=store_lost"),
                        times);
    }
}

static void
test_store_is_absent_at_the_start(void)
{
    static entry_cell_t cell;
    int64_t until_ms;
    uint32_t logged;

    CU_ASSERT_TRUE_FATAL(FvEntryCell_Start(&cell, &options));
    wait_until_lost(&cell, 1);
    CU_ASSERT_TRUE(FvEntryCell_LogHas(&cell, 0, "error=connection_refused"));
    CU_ASSERT_TRUE(FvEntryCell_LogHas(&cell, 0, "at_start=1"));
    until_ms = FvClock_NowMs() + REQUESTS_MS;
    for (int i = 0; i < REQUESTS; i++) {
        CU_ASSERT_EQUAL(FvEntryCell_Call(&cell, 0, "POST",
                                         "/slow/00000000000000a1", job, NULL,
                                         0),
                        503);
    }
    while (FvClock_NowMs() < until_ms) {
        FvFake_SleepMs(20);
    }
    logged = FvEntryCell_CountLog(&cell, 0, "event=request_refused");
    CU_ASSERT(logged > 0);
    CU_ASSERT(logged <= (REQUESTS_MS / 1000 + 1) * REFUSALS_LOGGED_PER_S);
    CU_ASSERT_TRUE(FvEntryCell_LogHas(&cell, 0, "cause=no_configuration"));
    CU_ASSERT_EQUAL(
        FvEntryCell_Counter(&cell, 0, "fireflyvalve_http_not_forwarded_total"),
        REQUESTS);
    CU_ASSERT_EQUAL(
        FvEntryCell_Counter(&cell, 0, "fireflyvalve_dependencies_lost_total"),
        1);
    wait_until_lost(&cell, 1);

    CU_ASSERT_TRUE_FATAL(FvEntryCell_StartPlatform(&cell));
    CU_ASSERT_TRUE_FATAL(FvEntryCell_WaitReady(&cell, READY_MS));
    for (int i = 0; i < HOSTS; i++) {
        CU_ASSERT_EQUAL(FvEntryCell_CountLog(&cell, i, "event=store_regained"),
                        1);
    }
    CU_ASSERT_EQUAL(FvEntryCell_Call(&cell, 0, "POST",
                                     "/slow/00000000000000a1", job, NULL, 0),
                    200);

    /* It is started again at once, and takes its port again. */
    FvProcess_Kill(&cell.platform);
    FvProcess_Kill(&cell.proxy);
    wait_until_lost(&cell, 2);
    CU_ASSERT_TRUE_FATAL(FvEntryCell_StartPlatform(&cell));
    CU_ASSERT_TRUE(FvEntryCell_WaitReady(&cell, READY_MS));
    FvEntryCell_Stop(&cell);
}

/* A leader tries a registered host again and again. */
static void
test_host_is_out_of_reach(void)
{
    static const entry_cell_options_t with_platform = {
        .name = "entry-lost-host", .hosts = HOSTS, .workers = 1};
    static entry_cell_t cell;
    char linked[64];
    char lost[64];
    int leader;
    int other;

    CU_ASSERT_TRUE_FATAL(FvEntryCell_Start(&cell, &with_platform) &&
                         FvEntryCell_WaitReady(&cell, READY_MS));
    leader = FvEntryCell_Leader(&cell);
    CU_ASSERT_TRUE_FATAL(leader >= 0);
    other = (leader + 1) % HOSTS;
    snprintf(lost, sizeof(lost), "event=host_link_lost peer=host-%d", other);
    snprintf(linked, sizeof(linked), "event=host_linked peer=host-%d", other);
    FvProcess_Kill(&cell.hosts[other].process);
    CU_ASSERT_TRUE(FvEntryCell_WaitLog(&cell, leader, lost, LOGGED_WITHIN_MS));
    FvFake_SleepMs(REQUESTS_MS);
    CU_ASSERT_EQUAL(FvEntryCell_CountLog(&cell, leader, lost), 1);
    CU_ASSERT_TRUE(FvEntryCell_StartHost(&cell, other));
    CU_ASSERT_TRUE(FvEntryCell_WaitLog(&cell, leader, linked, READY_MS));
    CU_ASSERT_EQUAL(FvEntryCell_CountLog(&cell, leader, linked), 1);
    FvEntryCell_Stop(&cell);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"hosts without a store refuse requests and log no cause",
         test_store_is_absent_at_the_start},
        {"a host that is out of reach is logged again at each attempt, or its "
         "return is not",
         test_host_is_out_of_reach},
    };

    return Fv_RUN_SUITE("entry_late_store", cases);
}
