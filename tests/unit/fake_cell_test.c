/*
 * Guards against a platform stand-in with limits that the platform does not
 * have: the soak would then show its faults as those of the hosts.
 */

#include "entry-cell.h"
#include "kept-connection.h"
#include "suite.h"

#include <pthread.h>
#include <signal.h>
#include <string.h>

/* A host keeps up to 8 idle connections to the advice service. */
#define KEPT_CONNECTIONS (ENTRY_CELL_HOSTS_MAX * 8)
#define ADVICE_PORT_OFFSET 1
#define ANSWER_MS 1500 /* the margin of the hosts' time limit */

static bool
ask_advice(kept_connection_t *connection)
{
    static const char body[] =
        "{\"step\":\"0000000000000001.0.0\",\"workers\":[\"w0\"]}";
    kept_answer_t answer;

    return FvKept_Send(connection, "POST", "/advise", body) &&
           FvKept_Receive(connection, ANSWER_MS, &answer) == KEPT_ANSWERED &&
           answer.status == 200 && strstr(answer.body, "\"w0\"") != NULL;
}

/* With a thread for each connection, the stand-in served 96 connections and
 * left the calls on further ones unanswered. */
static void
test_kept_connections(void)
{
    static entry_cell_t cell;
    static kept_connection_t kept[KEPT_CONNECTIONS];
    int opened = 0;
    int answered = 0;
    int answered_again = 0;

    CU_ASSERT_TRUE_FATAL(FvEntryCell_Start(
        &cell, &(entry_cell_options_t){
                   .name = "fake-cell-test", .hosts = 1, .workers = 1}));
    while (opened < KEPT_CONNECTIONS && answered == opened &&
           FvKept_Open(&kept[opened], cell.port + ADVICE_PORT_OFFSET)) {
        answered += ask_advice(&kept[opened++]) ? 1 : 0;
    }
    for (int i = 0; i < opened && answered == opened; i++) {
        answered_again += ask_advice(&kept[i]) ? 1 : 0;
    }
    printf("connections %d, answered %d and %d\n", opened, answered,
           answered_again);
    CU_ASSERT_EQUAL(opened, KEPT_CONNECTIONS);
    CU_ASSERT_EQUAL(answered, KEPT_CONNECTIONS);
    CU_ASSERT_EQUAL(answered_again, KEPT_CONNECTIONS);
    for (int i = 0; i < opened; i++) {
        FvKept_Close(&kept[i]);
    }
    FvEntryCell_Stop(&cell);
}

#define FAULT_TIMEOUT_MS 10000

typedef struct early_fault {
    const entry_cell_t *cell;
    bool taken;
} early_fault_t;

static void *
post_early_fault(void *context)
{
    early_fault_t *fault = context;
    int64_t until_ms = FvClock_NowMs() + FAULT_TIMEOUT_MS;

    while (!fault->taken && FvClock_NowMs() < until_ms) {
        fault->taken =
            FvEntryCell_PlatformFault(fault->cell, "{\"crash\":79}");
    }
    return NULL;
}

/* A fault of a worker that was not served yet ended the stand-in, and the soak
 * reported the jobs that were left open as faults of the hosts. */
static void
test_fault_while_workers_start(void)
{
    static entry_cell_t cell;
    early_fault_t fault = {.cell = &cell};
    pthread_t thread;
    json_t *report;

    CU_ASSERT_TRUE_FATAL(FvEntryCell_Start(
        &cell, &(entry_cell_options_t){.name = "fake-cell-early-fault",
                                       .hosts = 1,
                                       .workers = ENTRY_CELL_WORKERS_MAX,
                                       .late_platform = true}));
    pthread_create(&thread, NULL, post_early_fault, &fault);
    CU_ASSERT_TRUE(FvEntryCell_StartPlatform(&cell));
    report = FvEntryCell_Report(&cell);
    CU_ASSERT_EQUAL(json_array_size(json_object_get(report, "connections")),
                    ENTRY_CELL_WORKERS_MAX);
    pthread_join(thread, NULL);
    CU_ASSERT_TRUE(fault.taken);
    CU_ASSERT_FALSE(FvProcess_HasExited(&cell.platform));
    json_decref(report);
    FvEntryCell_Stop(&cell);
}

/* The soak took the end of the stand-in for jobs that the hosts left open. */
static void
test_end_is_noticed(void)
{
    static entry_cell_t cell;
    int64_t until_ms;
    bool ended = false;

    CU_ASSERT_TRUE_FATAL(FvEntryCell_Start(
        &cell, &(entry_cell_options_t){
                   .name = "fake-cell-ended", .hosts = 1, .workers = 1}));
    CU_ASSERT_FALSE(FvEntryCell_PlatformEnded(&cell));
    CU_ASSERT_TRUE(FvProcess_Signal(&cell.platform, SIGSEGV));
    until_ms = FvClock_NowMs() + FAULT_TIMEOUT_MS;
    while (!ended && FvClock_NowMs() < until_ms) {
        ended = FvEntryCell_PlatformEnded(&cell);
    }
    CU_ASSERT_TRUE(ended);
    CU_ASSERT_EQUAL(cell.platform.exit_status, 128 + SIGSEGV);
    CU_ASSERT_TRUE(FvEntryCell_PlatformEnded(&cell));
    FvEntryCell_Stop(&cell);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a fault while the workers start ends the stand-in",
         test_fault_while_workers_start},
        {"the end of the stand-in is not noticed", test_end_is_noticed},
        {"kept connections use up those of the advice service",
         test_kept_connections},
    };

    return Fv_RUN_SUITE("fake_cell", cases);
}
