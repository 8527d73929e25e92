/*
 * Guards against submissions that are refused, or wait, when the store is back
 * after an outage: behind the records that the outage has held up, or behind a
 * call that was lost in it. Load: a store outage in a cell at work.
 */

#include "entry-cell.h"
#include "fake-server.h"
#include "suite.h"

#include <stdio.h>

#define HOSTS 3
#define WORKERS 8
#define READY_MS 10000
#define JOBS 60
#define OUTAGE_MS 3000
/* An ordinary acceptance takes 10 to 50 ms; a retry of a held-up write and the
 * first new one are added. */
#define ACCEPTED_WITHIN_MS 700
#define PROBE_MS 20

static entry_cell_t cell;

static const char work[] =
    "{\"taskSpec\":\"cpu=500 run_ms=150\",\"steps\":[{\"count\":40,"
    "\"cpu\":500,\"memMb\":10,\"estimatedMs\":150}]}";
static const char probe[] =
    "{\"taskSpec\":\"cpu=100 run_ms=50\",\"steps\":[{\"count\":1,"
    "\"cpu\":100,\"memMb\":10,\"estimatedMs\":50}]}";

static int
submit(int number, const char *document)
{
    char path[64];

    snprintf(path, sizeof(path), "/slow/%016x", number);
    return FvEntryCell_Call(&cell, number % HOSTS, "POST", path, document,
                            NULL, 0);
}

/* @mode: of the routes of all hosts to the store */
static void
fault_store_routes(const char *mode)
{
    char address[64];
    char body[160];

    for (int i = 0; i < HOSTS; i++) {
        FvEntryCell_Route(&cell, i, ENTRY_ROUTE_STORE, address,
                          sizeof(address));
        snprintf(body, sizeof(body), "{\"route\":\"%s\",\"mode\":\"%s\"}",
                 address, mode);
        CU_ASSERT_TRUE(FvEntryCell_ProxyFault(&cell, body));
    }
}

/* Returns the time from the store's return to the first acceptance. @lost:
 * what is sent in the outage is never answered */
static int64_t
first_acceptance_ms(const char *name, const char *outage, bool lost)
{
    int64_t back_ms;
    int refused = 0;
    int number = 1000;

    CU_ASSERT_TRUE_FATAL(
        FvEntryCell_Start(&cell, &(entry_cell_options_t){.name = name,
                                                         .hosts = HOSTS,
                                                         .workers = WORKERS,
                                                         .splits = lost}) &&
        FvEntryCell_WaitReady(&cell, READY_MS));
    for (int i = 1; i <= JOBS; i++) {
        CU_ASSERT_EQUAL(submit(i, work), 200);
    }
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, outage));
    if (lost) {
        fault_store_routes("blackhole");
    }
    FvFake_SleepMs(OUTAGE_MS);
    CU_ASSERT_EQUAL(submit(number++, probe), 503);
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, "{\"store\":\"up\"}"));
    if (lost) {
        fault_store_routes("restore");
    }
    back_ms = FvClock_NowMs();
    while (submit(number++, probe) != 200 &&
           FvClock_NowMs() - back_ms < READY_MS) {
        refused++;
        FvFake_SleepMs(PROBE_MS);
    }
    back_ms = FvClock_NowMs() - back_ms;
    printf("\n    accepted %lld ms after the return, %d refused before ",
           (long long)back_ms, refused);
    FvEntryCell_Stop(&cell);
    return back_ms;
}

static void
test_store_answered_503(void)
{
    CU_ASSERT(first_acceptance_ms("entry-store-busy",
                                  "{\"pauseLeases\":true,\"store\":"
                                  "\"busy\"}",
                                  false) <= ACCEPTED_WITHIN_MS);
}

static void
test_store_closed_connections(void)
{
    CU_ASSERT(first_acceptance_ms("entry-store-closing",
                                  "{\"pauseLeases\":true,\"store\":"
                                  "\"silent\"}",
                                  false) <= ACCEPTED_WITHIN_MS);
}

static void
test_calls_were_lost(void)
{
    CU_ASSERT(first_acceptance_ms("entry-store-lost",
                                  "{\"pauseLeases\":true,\"store\":"
                                  "\"silent\"}",
                                  true) <= ACCEPTED_WITHIN_MS);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"submissions wait after an outage in which the store answered 503",
         test_store_answered_503},
        {"submissions wait after an outage in which connections were closed",
         test_store_closed_connections},
        {"submissions wait after an outage in which calls were lost",
         test_calls_were_lost},
    };

    return Fv_RUN_SUITE("entry_store_return", cases);
}
