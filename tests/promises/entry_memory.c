/*
 * Guards against jobs that end each leader in turn by its memory: a leader,
 * and the next one that reads its records, hold all accepted jobs.
 */

#include "bench.h"
#include "entry-cell.h"
#include "fake-server.h"
#include "suite.h"

#include <inttypes.h>
#include <string.h>

#define HOSTS 3
#define READY_MS 10000
#define LEADER_MS 5000

/* What the settings give a host; the default. */
#define MEMORY_MAX_KIB (128 * 1024)

#define BURST_JOBS 30
#define STEPS 16
#define ANSWER_MS 5000

static const char small_job[] =
    "{\"taskSpec\":\"cpu=100 run_ms=50\",\"steps\":[{\"count\":1,"
    "\"cpu\":100,\"memMb\":10,\"estimatedMs\":50}]}";
static const char small_path[] = "/slow/00000000000000a1";

/* Its 65,536 tasks wait for a kind of worker that there is not. */
static void
format_large_job(char *body, size_t size)
{
    size_t length =
        (size_t)snprintf(body, size, "{\"taskSpec\":\"\",\"steps\":[");

    for (int i = 0; i < STEPS; i++) {
        length += (size_t)snprintf(
            body + length, size - length,
            "%s{\"count\":4096,\"cpu\":100,\"memMb\":10,\"estimatedMs\":50,"
            "\"requiredLabel\":\"absent\"}",
            i > 0 ? "," : "");
    }
    snprintf(body + length, size - length, "]}");
}

static void
format_path(char *path, size_t size, int job)
{
    snprintf(path, size, "/slow/000000000000b0%02x", job);
}

static void
check_memory(const entry_cell_t *cell)
{
    for (int i = 0; i < HOSTS; i++) {
        int64_t kib = FvUsage_PeakRssKib(cell->hosts[i].process.pid);

        CU_ASSERT(kib > 0 && kib < MEMORY_MAX_KIB);
        printf("host-%d %" PRId64 " KiB ", i, kib);
    }
}

/* Returns the status once a leader has answered. */
static int
call(const entry_cell_t *cell, const char *method, const char *path,
     const char *body)
{
    int64_t until_ms = FvClock_NowMs() + ANSWER_MS;
    int status;

    do {
        status =
            FvEntryCell_Call(cell, HOSTS - 1, method, path, body, NULL, 0);
        if (status == 503 || status == 504 || status == 0) {
            FvFake_SleepMs(100);
        }
    } while ((status == 503 || status == 504 || status == 0) &&
             strcmp(method, "POST") != 0 && FvClock_NowMs() < until_ms);
    return status;
}

static void
test_burst_of_large_jobs(void)
{
    static const entry_cell_options_t options = {
        .name = "entry-memory", .hosts = HOSTS, .workers = 2};
    static entry_cell_t cell;
    static char body[4096];
    bool accepted[BURST_JOBS] = {false};
    char path[64];
    int accepted_count = 0;
    int refused_count = 0;
    int64_t lease;
    int leader;

    format_large_job(body, sizeof(body));
    CU_ASSERT_TRUE_FATAL(FvEntryCell_Start(&cell, &options) &&
                         FvEntryCell_WaitReady(&cell, READY_MS));
    CU_ASSERT_EQUAL(call(&cell, "POST", small_path, small_job), 200);
    for (int i = 0; i < BURST_JOBS; i++) {
        int status;

        format_path(path, sizeof(path), i);
        status = call(&cell, "POST", path, body);
        accepted[i] = status == 200;
        accepted_count += status == 200;
        refused_count += status == 503;
    }
    printf("accepted %d refused %d ", accepted_count, refused_count);
    CU_ASSERT(accepted_count > 0);
    CU_ASSERT_EQUAL(accepted_count + refused_count, BURST_JOBS);
    check_memory(&cell);

    leader = FvEntryCell_Leadership(&cell, &lease);
    CU_ASSERT_TRUE_FATAL(leader >= 0);
    FvProcess_Kill(&cell.hosts[leader].process);
    CU_ASSERT_TRUE(FvEntryCell_StartHost(&cell, leader));
    CU_ASSERT_TRUE(FvEntryCell_WaitLeadership(&cell, lease, LEADER_MS) >= 0);
    CU_ASSERT_EQUAL(call(&cell, "GET", small_path, NULL), 200);
    for (int i = 0; i < BURST_JOBS; i++) {
        format_path(path, sizeof(path), i);
        CU_ASSERT_EQUAL(call(&cell, "GET", path, NULL),
                        accepted[i] ? 200 : 410);
    }
    check_memory(&cell);

    /* There is room again once they have ended. */
    for (int i = 0; i < BURST_JOBS; i++) {
        format_path(path, sizeof(path), i);
        if (accepted[i]) {
            CU_ASSERT_EQUAL(call(&cell, "DELETE", path, NULL), 200);
        }
    }
    FvFake_SleepMs(500);
    format_path(path, sizeof(path), BURST_JOBS);
    CU_ASSERT_EQUAL(call(&cell, "POST", path, body), 200);
    FvEntryCell_Stop(&cell);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a burst of large jobs ends each leader in turn by its memory",
         test_burst_of_large_jobs},
    };

    return Fv_RUN_SUITE("entry_memory", cases);
}
