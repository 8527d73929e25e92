/*
 * Guards against what goes wrong when a worker restarts under its id while a
 * start is on its way, which is repeated at the new incarnation and ends
 * before that has reported: an acknowledgement of the earlier incarnation that
 * drops the end, and an end that is never acknowledged.
 */

#include "entry-cell.h"
#include "fake-server.h"
#include "suite.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define TRIES 6
#define LEADER_MS 8000
/* Order grace and the longest lease of a worker, and a second more. */
#define RELEASE_MAX_MS 12000
#define COMPLETED_MS 6000

static const char short_job[] =
    "{\"taskSpec\":\"cpu=100 run_ms=1\",\"steps\":[{\"count\":1,"
    "\"cpu\":100,\"memMb\":1,\"estimatedMs\":50}]}";
static entry_cell_t cell;
static int last_job;

static void
submit(char *path, size_t size)
{
    snprintf(path, size, "/fast/%016x", ++last_job);
    CU_ASSERT_EQUAL(
        FvEntryCell_Call(&cell, 0, "POST", path, short_job, NULL, 0), 200);
}

static bool
completes(const char *path)
{
    int64_t until_ms = FvClock_NowMs() + COMPLETED_MS;
    char state[32] = "";

    while (strcmp(state, "completed") != 0 && FvClock_NowMs() < until_ms) {
        FvFake_SleepMs(20);
        FvEntryCell_Call(&cell, 0, "GET", path, NULL, state, sizeof(state));
    }
    return strcmp(state, "completed") == 0;
}

/* Restarts the worker again and again in the moment in which a start is on its
 * way. Returns whether it got work after each restart. */
static bool
restart_worker(const char *name)
{
    char path[64];
    bool works = true;

    last_job = 0;
    CU_ASSERT_TRUE_FATAL(
        FvEntryCell_Start(
            &cell,
            &(entry_cell_options_t){.name = name, .hosts = 1, .workers = 1}) &&
        FvEntryCell_WaitReady(&cell, 10000));
    for (int i = 0; i < TRIES && works; i++) {
        submit(path, sizeof(path));
        CU_ASSERT_TRUE_FATAL(completes(path));
        FvFake_SleepMs(300);
        submit(path, sizeof(path));
        FvFake_SleepMs(i % 5);
        CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, "{\"restart\":0}"));
        FvFake_SleepMs(1000);
        submit(path, sizeof(path));
        works = completes(path);
    }
    return works;
}

static void
test_end_is_dropped(void)
{
    json_t *report;

    restart_worker("entry-restart-twice");
    report = FvEntryCell_Report(&cell);
    CU_ASSERT_EQUAL(FvJson_Int(report, "violations", -1), 0);
    if (FvJson_Int(report, "violations", -1) != 0) {
        printf("\n    first: %s ", FvJson_String(report, "first"));
    }
    json_decref(report);
    FvEntryCell_Stop(&cell);
}

static void
test_end_is_never_acknowledged(void)
{
    CU_ASSERT_TRUE(restart_worker("entry-restart-stuck"));
    FvEntryCell_Stop(&cell);
}

static int
call(int host, const char *method, const char *path, const char *body,
     char *state, size_t size)
{
    return FvEntryCell_Call(&cell, host, method, path, body, state, size);
}

static bool
completes_within(int host, const char *path, int64_t limit_ms)
{
    int64_t until_ms = FvClock_NowMs() + limit_ms;
    char state[32] = "";

    while (strcmp(state, "completed") != 0 && FvClock_NowMs() < until_ms) {
        FvFake_SleepMs(20);
        call(host, "GET", path, NULL, state, sizeof(state));
    }
    return strcmp(state, "completed") == 0;
}

/* Worker 1 ends in the moment in which the leader is suspended, so that the
 * successor holds inherited tasks for 10.9 s. Meanwhile worker 0 restarts as
 * in the other cases. */
static void
test_tasks_are_held_for_good(void)
{
    static const char long_job[] =
        "{\"taskSpec\":\"cpu=500 run_ms=60000\",\"steps\":[{\"count\":12,"
        "\"cpu\":500,\"memMb\":10,\"estimatedMs\":60000}]}";
    int64_t since_ms;
    char path[64];
    int first;
    int second;

    CU_ASSERT_TRUE_FATAL(
        FvEntryCell_Start(&cell,
                          &(entry_cell_options_t){.name = "entry-restart-held",
                                                  .hosts = 3,
                                                  .workers = 2}) &&
        FvEntryCell_WaitReady(&cell, 10000));
    CU_ASSERT_EQUAL(
        call(0, "POST", "/slow/00000000000000a2", long_job, NULL, 0), 200);
    FvFake_SleepMs(500);
    first = FvEntryCell_Leader(&cell);
    CU_ASSERT_TRUE_FATAL(first >= 0);
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, "{\"crash\":1}"));
    CU_ASSERT_TRUE(FvProcess_Signal(&cell.hosts[first].process, SIGSTOP));
    second = FvEntryCell_WaitLeader(&cell, first, LEADER_MS);
    CU_ASSERT_TRUE_FATAL(second >= 0);
    since_ms = FvClock_NowMs();
    FvFake_SleepMs(1200);
    for (int i = 0; i < 10 && FvClock_NowMs() - since_ms < 8000; i++) {
        snprintf(path, sizeof(path), "/fast/%016x", 0x100 + 2 * i);
        if (call(second, "POST", path, short_job, NULL, 0) != 200 ||
            !completes_within(second, path, 1500)) {
            break;
        }
        FvFake_SleepMs(100);
        snprintf(path, sizeof(path), "/fast/%016x", 0x101 + 2 * i);
        call(second, "POST", path, short_job, NULL, 0);
        FvFake_SleepMs(i % 4);
        CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, "{\"restart\":0}"));
        FvFake_SleepMs(700);
    }
    while (!FvEntryCell_LogHas(&cell, second, "event=inherited_tasks_free") &&
           FvClock_NowMs() - since_ms < 2 * RELEASE_MAX_MS) {
        FvFake_SleepMs(50);
    }
    printf("\n    waited %lld ms ", (long long)(FvClock_NowMs() - since_ms));
    CU_ASSERT(FvClock_NowMs() - since_ms <= RELEASE_MAX_MS);
    FvEntryCell_Stop(&cell);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a task starts again whose end the new incarnation has dropped for "
         "an acknowledgement of the earlier one",
         test_end_is_dropped},
        {"a restarted worker whose first report lists ends gets no more work",
         test_end_is_never_acknowledged},
        {"a restarted worker whose first report lists ends holds up the tasks "
         "of earlier leaders for good",
         test_tasks_are_held_for_good},
    };

    return Fv_RUN_SUITE("entry_restart_ends", cases);
}
