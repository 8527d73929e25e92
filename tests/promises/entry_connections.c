/*
 * Guards against workers that no leader can reach: a worker serves 64
 * connections, and those of hosts that are suspended or lost their power stay
 * open. Checks what the workers count and whether jobs end.
 */

#include "entry-cell.h"
#include "fake-server.h"
#include "suite.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HOSTS 6
#define WORKERS 2
#define WORKER_CONNECTIONS 64
#define WORKER_PORT_OFFSET 3
#define READY_MS 10000
#define JOB_MS 10000
#define SUSPENDED_LEADERS 4

static const char *const platform_options[] = {"--connections", "64", NULL};
static const char many_tasks[] =
    "{\"taskSpec\":\"cpu=80 run_ms=100\",\"steps\":[{\"count\":150,"
    "\"cpu\":80,\"memMb\":10,\"estimatedMs\":100}]}";
static const char few_tasks[] =
    "{\"taskSpec\":\"cpu=80 run_ms=100\",\"steps\":[{\"count\":12,"
    "\"cpu\":80,\"memMb\":10,\"estimatedMs\":100}]}";

static bool
open_cell(entry_cell_t *cell, const char *name)
{
    const entry_cell_options_t options = {.name = name,
                                          .hosts = HOSTS,
                                          .workers = WORKERS,
                                          .platform_options =
                                              platform_options};

    return FvEntryCell_Start(cell, &options) &&
           FvEntryCell_WaitReady(cell, READY_MS);
}

static int
running_host(const entry_cell_t *cell, const bool *suspended)
{
    for (int i = 0; i < cell->options.hosts; i++) {
        if (!suspended[i] && cell->hosts[i].process.pid != 0) {
            return i;
        }
    }
    return -1;
}

/* Submits a job and waits for its end. */
static bool
run_job(const entry_cell_t *cell, int host, int number, const char *document,
        int64_t limit_ms)
{
    int64_t until_ms = FvClock_NowMs() + limit_ms;
    bool accepted = false;
    char path[64];
    char state[32] = "";

    snprintf(path, sizeof(path), "/slow/%016x", number);
    while (FvClock_NowMs() < until_ms && strcmp(state, "completed") != 0) {
        if (!accepted) {
            accepted = FvEntryCell_Call(cell, host, "POST", path, document,
                                        NULL, 0) == 200;
        }
        else {
            FvEntryCell_Call(cell, host, "GET", path, NULL, state,
                             sizeof(state));
        }
        FvFake_SleepMs(50);
    }
    return strcmp(state, "completed") == 0;
}

static int64_t
sum_of(const json_t *report, const char *name)
{
    int64_t sum = 0;
    size_t index;
    json_t *row;

    json_array_foreach(json_object_get(report, "connections"), index, row)
    {
        sum += FvJson_Int(row, name, 0);
    }
    return sum;
}

static void
check_violations(const json_t *report)
{
    if (FvJson_Int(report, "violations", -1) != 0) {
        printf("first violation: %s\n", FvJson_String(report, "first"));
    }
    CU_ASSERT_EQUAL(FvJson_Int(report, "violations", -1), 0);
}

/* Each leader starts many tasks at once on each worker and is suspended, every
 * second one killed; a killed host starts again. */
static void
test_leaders_come_and_go(void)
{
    static entry_cell_t cell;
    bool suspended[HOSTS] = {false};
    json_t *report;
    int64_t open_most = 0;

    CU_ASSERT_TRUE_FATAL(open_cell(&cell, "entry-connections"));
    for (int i = 0; i < SUSPENDED_LEADERS * 2; i++) {
        int leader;
        int next;
        int64_t lease = 0;

        CU_ASSERT_TRUE(run_job(&cell, running_host(&cell, suspended), i + 1,
                               many_tasks, JOB_MS));
        report = FvEntryCell_Report(&cell);
        if (sum_of(report, "open") > open_most) {
            open_most = sum_of(report, "open");
        }
        json_decref(report);
        leader = FvEntryCell_Leadership(&cell, &lease);
        CU_ASSERT_TRUE_FATAL(leader >= 0);
        if (i % 2 == 0) {
            FvProcess_Kill(&cell.hosts[leader].process);
            CU_ASSERT_TRUE(FvEntryCell_StartHost(&cell, leader));
        }
        else {
            suspended[leader] = true;
            CU_ASSERT_TRUE(
                FvProcess_Signal(&cell.hosts[leader].process, SIGSTOP));
        }
        /* A killed host may lead again; a suspended one cannot. */
        next = FvEntryCell_WaitLeadership(&cell, lease, JOB_MS);
        CU_ASSERT_TRUE_FATAL(next >= 0);
        CU_ASSERT_FALSE(suspended[next]);
    }
    CU_ASSERT_TRUE(run_job(&cell, running_host(&cell, suspended), 100,
                           many_tasks, JOB_MS));
    report = FvEntryCell_Report(&cell);
    printf("open most %" PRId64 " at the end %" PRId64 " refused %" PRId64
           "\n",
           open_most, sum_of(report, "open"), sum_of(report, "refused"));
    CU_ASSERT_EQUAL(sum_of(report, "refused"), 0);
    check_violations(report);
    json_decref(report);
    FvEntryCell_Stop(&cell);
}

static int
connect_to(int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port),
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* All connections of the workers are held by peers that are gone; the leader
 * is killed, which frees its own, and all of them but one are taken too. */
static void
test_one_connection_is_left(void)
{
    static entry_cell_t cell;
    static const bool suspended[HOSTS] = {false};
    int held[WORKERS][WORKER_CONNECTIONS];
    json_t *report;
    int leader;

    CU_ASSERT_TRUE_FATAL(open_cell(&cell, "entry-connections-one"));
    CU_ASSERT_TRUE(run_job(&cell, 0, 1, many_tasks, JOB_MS));
    leader = FvEntryCell_Leader(&cell);
    CU_ASSERT_TRUE_FATAL(leader >= 0);
    FvProcess_Kill(&cell.hosts[leader].process);
    for (int w = 0; w < WORKERS; w++) {
        for (int i = 0; i < WORKER_CONNECTIONS - 1; i++) {
            held[w][i] = connect_to(cell.port + WORKER_PORT_OFFSET + w);
            CU_ASSERT(held[w][i] >= 0);
        }
    }
    leader = FvEntryCell_WaitLeader(&cell, leader, JOB_MS);
    CU_ASSERT_TRUE_FATAL(leader >= 0);
    for (int i = 0; i < 5; i++) {
        CU_ASSERT_TRUE(run_job(&cell, running_host(&cell, suspended), i + 2,
                               few_tasks, JOB_MS));
    }
    CU_ASSERT_TRUE(FvEntryCell_LogHas(&cell, leader, "connection_reset"));
    report = FvEntryCell_Report(&cell);
    printf("refused %" PRId64 "\n", sum_of(report, "refused"));
    CU_ASSERT(sum_of(report, "refused") <= 8 * WORKERS);
    check_violations(report);
    json_decref(report);
    for (int w = 0; w < WORKERS; w++) {
        for (int i = 0; i < WORKER_CONNECTIONS - 1; i++) {
            close(held[w][i]);
        }
    }
    FvEntryCell_Stop(&cell);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"the connections of former leaders use up those of the workers",
         test_leaders_come_and_go},
        {"a worker with one free connection is not reached",
         test_one_connection_is_left},
    };

    return Fv_RUN_SUITE("entry_connections", cases);
}
