/*
 * Guards against work that nobody has sent: tasks of a job that start after
 * its cancellation was acknowledged, because the host that answered no longer
 * led or because the submission came later. Checks the workers' records.
 */

#include "entry-cell.h"
#include "fake-server.h"
#include "kept-connection.h"
#include "suite.h"

#include <signal.h>
#include <string.h>

#define HOSTS 3
#define WORKERS 8
#define READY_TIMEOUT_MS 15000
#define ANSWER_TIMEOUT_MS 3000

#define JOBS 6

/* The second step begins 3 s after the first one has been cancelled. */
#define LONG_JOB                                                              \
    "{\"taskSpec\":\"run_ms=5000 cpu=100\",\"steps\":[{\"count\":2,"          \
    "\"cpu\":100,\"memMb\":10,\"estimatedMs\":5000},{\"count\":2,"            \
    "\"cpu\":100,\"memMb\":10,\"estimatedMs\":5000,\"after\":[0]}]}"
#define SHORT_JOB                                                             \
    "{\"taskSpec\":\"run_ms=100 cpu=100\",\"steps\":[{\"count\":2,"           \
    "\"cpu\":100,\"memMb\":10,\"estimatedMs\":100}]}"

static entry_cell_t cell;

static void
open_cell(void)
{
    CU_ASSERT_FATAL(FvEntryCell_Start(
        &cell, &(entry_cell_options_t){.name = "entry-unasked",
                                       .hosts = HOSTS,
                                       .workers = WORKERS}));
    CU_ASSERT_FATAL(FvEntryCell_WaitReady(&cell, READY_TIMEOUT_MS));
}

static void
close_cell(void)
{
    FvEntryCell_Stop(&cell);
}

static const char *
job_path(int number)
{
    static char path[2][64];
    static int next;

    next = !next;
    snprintf(path[next], sizeof(path[next]), "/slow/5c0e7a21d94b%04x", number);
    return path[next];
}

/* Sends a request to host after host until its answer is not an error of the
 * hosts. Returns the status. */
static int
call_until_answered(int first_host, const char *method, const char *path,
                    const char *body, char *state, size_t size)
{
    int status = 0;

    for (int i = 0; i < 20; i++) {
        status = FvEntryCell_Call(&cell, (first_host + i) % HOSTS, method,
                                  path, body, state, size);
        if (status != 0 && status < 500) {
            break;
        }
        FvFake_SleepMs(200);
    }
    return status;
}

/* Returns the time of the latest start of a job's tasks, 0 without any. */
static int64_t
last_start_ms(int number)
{
    json_t *report = FvEntryCell_Report(&cell);
    int64_t started_ms = FvJson_Int(json_object_get(report, "started"),
                                    job_path(number) + strlen("/slow/"), 0);

    CU_ASSERT_PTR_NOT_NULL(report);
    json_decref(report);
    return started_ms;
}

static int
wait_for_other_leader(int former, int64_t timeout_ms)
{
    int64_t until_ms = FvClock_NowMs() + timeout_ms;
    int leader = -1;

    while ((leader < 0 || leader == former) && FvClock_NowMs() < until_ms) {
        FvFake_SleepMs(50);
        leader = FvEntryCell_Leader(&cell);
    }
    CU_ASSERT_FATAL(leader >= 0 && leader != former);
    return leader;
}

/* Opens connections to a host that it has accepted and read from. */
static void
open_connections(kept_connection_t *connections, int count, int host)
{
    kept_answer_t answer;

    for (int i = 0; i < count; i++) {
        CU_ASSERT_FATAL(
            FvKept_Open(&connections[i],
                        FvEntryCell_Port(&cell, host, ENTRY_PORT_CALLERS)));
        CU_ASSERT_FATAL(FvKept_Send(&connections[i], "GET", "/slow/", NULL));
        CU_ASSERT_EQUAL(
            FvKept_Receive(&connections[i], ANSWER_TIMEOUT_MS, &answer),
            KEPT_ANSWERED);
    }
}

/* Guards against a submission that comes after its cancellation was answered
 * 410, at the same leader and at its successor. */
static void
test_submission_after_its_cancellation(void)
{
    int leader;

    open_cell();
    leader = FvEntryCell_Leader(&cell);
    CU_ASSERT_FATAL(leader >= 0);
    for (int i = 0; i < JOBS; i++) {
        CU_ASSERT_EQUAL(FvEntryCell_Call(&cell, i % HOSTS, "DELETE",
                                         job_path(i), NULL, NULL, 0),
                        410);
    }
    for (int i = 0; i < JOBS / 2; i++) {
        FvEntryCell_Call(&cell, (i + 1) % HOSTS, "POST", job_path(i),
                         SHORT_JOB, NULL, 0);
    }
    FvProcess_Kill(&cell.hosts[leader].process);
    leader = wait_for_other_leader(leader, 5000);
    for (int i = 0; i < JOBS; i++) {
        FvEntryCell_Call(&cell, leader, "POST", job_path(i), SHORT_JOB, NULL,
                         0);
    }
    CU_ASSERT_EQUAL(call_until_answered(leader, "POST", job_path(JOBS),
                                        SHORT_JOB, NULL, 0),
                    200);
    FvFake_SleepMs(3000);
    CU_ASSERT(last_start_ms(JOBS) > 0);
    for (int i = 0; i < JOBS; i++) {
        CU_ASSERT_EQUAL(last_start_ms(i), 0);
        CU_ASSERT_EQUAL(
            call_until_answered(leader, "GET", job_path(i), NULL, NULL, 0),
            410);
        CU_ASSERT_EQUAL(
            call_until_answered(leader, "DELETE", job_path(i), NULL, NULL, 0),
            410);
    }
    close_cell();
}

/* Guards against an answer from a leader that has handed over and still serves
 * its open connections. */
static void
test_leader_that_hands_over(void)
{
    kept_connection_t connections[JOBS];
    kept_answer_t answer;
    int former;
    int leader;

    open_cell();
    former = FvEntryCell_Leader(&cell);
    CU_ASSERT_FATAL(former >= 0);
    open_connections(connections, JOBS, former);
    FvProcess_Signal(&cell.hosts[former].process, SIGTERM);
    leader = wait_for_other_leader(former, 3000);
    for (int i = 0; i < JOBS; i++) {
        CU_ASSERT_EQUAL(call_until_answered(leader, "POST", job_path(i),
                                            LONG_JOB, NULL, 0),
                        200);
        CU_ASSERT(FvKept_Send(&connections[i], i % 2 == 0 ? "DELETE" : "GET",
                              job_path(i), NULL));
    }
    for (int i = 0; i < JOBS; i++) {
        CU_ASSERT_EQUAL(
            FvKept_Receive(&connections[i], ANSWER_TIMEOUT_MS, &answer),
            KEPT_ANSWERED);
        CU_ASSERT_EQUAL(answer.status, 200);
        FvKept_Close(&connections[i]);
    }
    close_cell();
}

/* Guards against requests that a host sent to the leader that it succeeds, and
 * does not handle itself then. */
static void
test_requests_of_a_successor(void)
{
    kept_connection_t connections[HOSTS];
    kept_answer_t answer;
    int former;

    open_cell();
    former = FvEntryCell_Leader(&cell);
    CU_ASSERT_FATAL(former >= 0);
    for (int i = 0; i < HOSTS; i++) {
        open_connections(&connections[i], 1, i);
    }
    FvProcess_Signal(&cell.hosts[former].process, SIGSTOP);
    for (int i = 0; i < HOSTS; i++) {
        CU_ASSERT(
            FvKept_Send(&connections[i], "POST", job_path(i), SHORT_JOB));
    }
    for (int i = 0; i < HOSTS; i++) {
        if (i != former) {
            CU_ASSERT_EQUAL(
                FvKept_Receive(&connections[i], ANSWER_TIMEOUT_MS, &answer),
                KEPT_ANSWERED);
            CU_ASSERT_EQUAL(answer.status, 200);
        }
    }
    FvProcess_Signal(&cell.hosts[former].process, SIGCONT);
    CU_ASSERT_EQUAL(
        FvKept_Receive(&connections[former], ANSWER_TIMEOUT_MS, &answer),
        KEPT_ANSWERED);
    CU_ASSERT_EQUAL(answer.status, 200);
    for (int i = 0; i < HOSTS; i++) {
        FvKept_Close(&connections[i]);
    }
    close_cell();
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a job runs that was submitted after its cancellation",
         test_submission_after_its_cancellation},
        {"a leader that handed over answers for its successor",
         test_leader_that_hands_over},
        {"a host that becomes leader leaves its own requests unanswered",
         test_requests_of_a_successor},
    };

    return Fv_RUN_SUITE("entry_unasked", cases);
}
