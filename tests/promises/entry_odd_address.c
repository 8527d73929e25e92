/*
 * Guards against a leader that lets its peer set the pace of the calls: an
 * address of another writer's entry at which something else answers 200, a
 * worker that answers at once, and a worker that never counts as known.
 */

#include "entry-cell.h"
#include "fake-server.h"
#include "suite.h"

#include <stdlib.h>
#include <string.h>

#define READY_MS 10000
#define WATCHED_MS 3000
/* Three calls a second. */
#define SILENT_CALLS_MAX 20
/* Ten a second, and some at the change. */
#define CALLS_MAX 36

static entry_cell_t cell;

static void
start_cell(const char *name)
{
    CU_ASSERT_TRUE_FATAL(
        FvEntryCell_Start(
            &cell,
            &(entry_cell_options_t){.name = name, .hosts = 1, .workers = 1}) &&
        FvEntryCell_WaitReady(&cell, READY_MS));
    FvFake_SleepMs(500);
}

static void
put_entry(const char *id, int port, int64_t started_wall_ms)
{
    char text[512];
    char *encoded;
    json_t *fault;
    char *body;

    snprintf(text, sizeof(text),
             "{\"service\":\"app\",\"address\":\"127.0.0.1:%d\","
             "\"zone\":\"a\",\"state\":\"ready\",\"labels\":[\"a\",\"r1\"],"
             "\"capacity\":{\"cpu\":8000,\"memMb\":64,\"gpus\":0},"
             "\"born\":%lld}",
             port, (long long)started_wall_ms);
    encoded = FvText_EncodeBase64(text, strlen(text));
    fault = json_pack("{s:s, s:s}", "entry", id, "value", encoded);
    body = json_dumps(fault, JSON_COMPACT);
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, body));
    free(body);
    free(encoded);
    json_decref(fault);
}

static int
count_lines(const char *text)
{
    char path[512];
    char line[4096];
    int count = 0;
    FILE *file;

    snprintf(path, sizeof(path), "%s/host-0.log", cell.directory);
    file = fopen(path, "r");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        count += strstr(line, text) != NULL;
    }
    if (file != NULL) {
        fclose(file);
    }
    return count;
}

static int
count_renewals(void)
{
    json_t *report = FvEntryCell_Report(&cell);
    int count = (int)json_integer_value(
        json_array_get(json_object_get(report, "worker_renewals"), 0));

    json_decref(report);
    return count;
}

static int
count_watched_renewals(void)
{
    int count = count_renewals();

    FvFake_SleepMs(WATCHED_MS);
    count = count_renewals() - count;
    printf("\n    %d calls in %d ms ", count, WATCHED_MS);
    return count;
}

/* The address is that of a host's health checks. */
static void
test_something_else_answers(void)
{
    int calls;

    start_cell("entry-odd-address");
    put_entry("other", FvEntryCell_Port(&cell, 0, ENTRY_PORT_READY), 1);
    FvFake_SleepMs(WATCHED_MS);
    calls = count_lines("event=report_malformed");
    printf("\n    %d calls in %d ms ", calls, WATCHED_MS);
    CU_ASSERT(calls > 0 && calls <= SILENT_CALLS_MAX);
    FvEntryCell_Stop(&cell);
}

static void
test_worker_answers_at_once(void)
{
    int calls;

    start_cell("entry-odd-hasty");
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, "{\"hasty\":0}"));
    calls = count_watched_renewals();
    CU_ASSERT(calls > 0 && calls <= CALLS_MAX);
    FvEntryCell_Stop(&cell);
}

/* Another writer's entry under the id of a worker has a later start than the
 * worker's reports. */
static void
test_entry_has_a_later_start(void)
{
    int calls;

    start_cell("entry-odd-born");
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, "{\"silent\":0}"));
    put_entry("w0", cell.port + 3, FvClock_WallMs() + 3600000);
    calls = count_watched_renewals();
    CU_ASSERT(calls > 0 && calls <= CALLS_MAX);
    FvEntryCell_Stop(&cell);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"an address at which something else answers is called without a "
         "pause",
         test_something_else_answers},
        {"a worker that answers at once is called without a pause",
         test_worker_answers_at_once},
        {"a worker with an entry of a later start is called without a pause",
         test_entry_has_a_later_start},
    };

    return Fv_RUN_SUITE("entry_odd_address", cases);
}
