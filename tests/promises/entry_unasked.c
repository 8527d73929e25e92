/*
 * Guards against work that nobody has sent: tasks of a job that start after
 * its cancellation was acknowledged, because the host that answered no longer
 * led or because the submission came later. Checks the workers' records.
 */

#include "entry-cell.h"
#include "fake-server.h"
#include "http-call.h"
#include "kept-connection.h"
#include "suite.h"

#include <signal.h>
#include <string.h>

#define HOSTS 3
#define WORKERS 8
#define READY_TIMEOUT_MS 15000
#define ANSWER_TIMEOUT_MS 3000
/* The users' bound from the acknowledgement to the last start of a task. */
#define CANCEL_MS 3000
/* A request that no leader can answer is rejected within this time. */
#define REJECTED_MS 1000

#define JOBS 6
#define SUSPENSIONS 3
#define SUSPENDED_MORE_MS 1000 /* after the jobs were accepted */
#define OUTAGE_MS 5000

/* A leader that does not reach the store gives orders for 7 s. */
#define CUT_OFF_MS 5000
/* "127.0.0.1:1 1.000" */
#define UNUSED_LINK_ENTRY "MTI3LjAuMC4xOjEgMS4wMDA="

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
    int leader = FvEntryCell_WaitLeader(&cell, former, timeout_ms);

    CU_ASSERT_FATAL(leader >= 0);
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

/* Suspends the leader until its successor has accepted jobs, and sends their
 * cancellations and questions about them on connections that were open to it
 * before. Sets the time of the acknowledgement of each job that it cancels. */
static void
suspend_leader(int first_job, int64_t *acknowledged_ms)
{
    kept_connection_t cancels[JOBS];
    kept_connection_t questions[JOBS];
    kept_answer_t answer;
    int leader = FvEntryCell_Leader(&cell);

    CU_ASSERT_FATAL(leader >= 0);
    open_connections(cancels, JOBS, leader);
    open_connections(questions, JOBS, leader);
    FvProcess_Signal(&cell.hosts[leader].process, SIGSTOP);
    wait_for_other_leader(leader, 3000);
    for (int i = 0; i < JOBS; i++) {
        CU_ASSERT_EQUAL(call_until_answered(leader + 1, "POST",
                                            job_path(first_job + i), LONG_JOB,
                                            NULL, 0),
                        200);
        FvKept_Send(&questions[i], "GET", job_path(first_job + i), NULL);
        FvKept_Send(&cancels[i], "DELETE", job_path(first_job + i), NULL);
    }
    FvFake_SleepMs(SUSPENDED_MORE_MS);
    FvProcess_Signal(&cell.hosts[leader].process, SIGCONT);
    for (int i = 0; i < JOBS; i++) {
        CU_ASSERT_EQUAL(
            FvKept_Receive(&questions[i], ANSWER_TIMEOUT_MS, &answer),
            KEPT_ANSWERED);
        CU_ASSERT_NOT_EQUAL(answer.status, 410);
        CU_ASSERT_EQUAL(
            FvKept_Receive(&cancels[i], ANSWER_TIMEOUT_MS, &answer),
            KEPT_ANSWERED);
        if (answer.status != 200 && answer.status != 410) {
            answer.status = call_until_answered(
                leader, "DELETE", job_path(first_job + i), NULL, NULL, 0);
        }
        CU_ASSERT_EQUAL(answer.status, 200);
        acknowledged_ms[i] = FvClock_NowMs();
        FvKept_Close(&cancels[i]);
        FvKept_Close(&questions[i]);
    }
}

/* Guards against a host that leads no more and answers from its memory. */
static void
test_suspended_leader(void)
{
    int64_t acknowledged_ms[SUSPENSIONS * JOBS];

    open_cell();
    for (int i = 0; i < SUSPENSIONS; i++) {
        suspend_leader(i * JOBS, acknowledged_ms + (ptrdiff_t)(i * JOBS));
    }
    FvFake_SleepMs(CANCEL_MS + 2500);
    for (int i = 0; i < SUSPENSIONS * JOBS; i++) {
        char state[32] = "";

        CU_ASSERT(last_start_ms(i) <= acknowledged_ms[i] + CANCEL_MS);
        call_until_answered(0, "GET", job_path(i), NULL, state, sizeof(state));
        CU_ASSERT_STRING_EQUAL(state, "cancelled");
    }
    close_cell();
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

/* Guards against "no such job" from a leader that cannot know whether another
 * host leads: the store answers nobody. */
static void
test_unknown_job_in_an_outage(void)
{
    int64_t down_ms;
    char state[32];
    int known = 0;
    int absent = 0;
    int slow = 0;

    open_cell();
    CU_ASSERT_EQUAL(
        call_until_answered(0, "POST", job_path(0), LONG_JOB, NULL, 0), 200);
    down_ms = FvClock_NowMs();
    CU_ASSERT(FvEntryCell_RouteFault(&cell, -1, "blackhole"));
    FvFake_SleepMs(300);
    for (int i = 1; FvClock_NowMs() < down_ms + OUTAGE_MS; i++) {
        int64_t sent_ms = FvClock_NowMs();

        absent += FvEntryCell_Call(&cell, i % HOSTS, "GET", job_path(i), NULL,
                                   NULL, 0) == 410;
        slow += FvClock_NowMs() - sent_ms > REJECTED_MS;
        absent += FvEntryCell_Call(&cell, i % HOSTS, "DELETE", job_path(i),
                                   NULL, NULL, 0) == 410;
        known += FvEntryCell_Call(&cell, i % HOSTS, "GET", job_path(0), NULL,
                                  state, sizeof(state)) == 200;
        FvFake_SleepMs(50);
    }
    CU_ASSERT_EQUAL(absent, 0);
    CU_ASSERT_EQUAL(slow, 0);
    CU_ASSERT(known > 0);
    CU_ASSERT(FvEntryCell_RouteFault(&cell, -1, "restore"));
    CU_ASSERT_EQUAL(call_until_answered(0, "GET", job_path(1), NULL, NULL, 0),
                    410);
    CU_ASSERT_EQUAL(
        call_until_answered(0, "DELETE", job_path(0), NULL, NULL, 0), 200);
    close_cell();
}

/* Has the other hosts dial a port where nobody listens in place of a host's.
 */
static void
hide_link_port(int host)
{
    char url[128];
    char body[256];
    http_reply_t reply;

    snprintf(url, sizeof(url), "http://127.0.0.1:%d/kv-txn", cell.port);
    snprintf(body, sizeof(body),
             "{\"puts\":[{\"key\":\"fireflyvalve/control/hosts/host-%d\","
             "\"value\":\"" UNUSED_LINK_ENTRY "\"}]}",
             host);
    FvHttp_Run(&(http_call_t){.method = "POST",
                              .url = url,
                              .body = body,
                              .body_length = strlen(body),
                              .timeout_ms = ANSWER_TIMEOUT_MS},
               &reply);
    CU_ASSERT_EQUAL(reply.status, 200);
    FvHttp_FreeReply(&reply);
}

/* Guards against two leaders for callers: one is cut off from the store and
 * from its successor, no worker tells it of that one, and its callers still
 * reach it. */
static void
test_leader_cut_off_from_its_successor(void)
{
    char state[32];
    char crash[32];
    int64_t cut_ms;
    int former;
    int leader;
    int absent = 0;
    int counted = 0;
    int acknowledged = 0;

    open_cell();
    former = FvEntryCell_Leader(&cell);
    CU_ASSERT_FATAL(former >= 0);
    for (int i = 0; i < WORKERS; i++) {
        snprintf(crash, sizeof(crash), "{\"crash\":%d}", i);
        CU_ASSERT(FvEntryCell_PlatformFault(&cell, crash));
    }
    hide_link_port(former);
    CU_ASSERT(FvEntryCell_RouteFault(&cell, former, "blackhole"));
    cut_ms = FvClock_NowMs();
    leader = wait_for_other_leader(former, 5000);
    for (int i = 0; i < JOBS; i++) {
        CU_ASSERT_EQUAL(call_until_answered(leader, "POST", job_path(i),
                                            LONG_JOB, NULL, 0),
                        200);
    }
    for (int i = 0; FvClock_NowMs() < cut_ms + CUT_OFF_MS; i++) {
        const char *path = job_path(i % JOBS);

        absent +=
            FvEntryCell_Call(&cell, former, "GET", path, NULL, NULL, 0) == 410;
        counted += FvEntryCell_Call(&cell, former, "GET", "/slow/", NULL, NULL,
                                    0) == 200;
        if (i < JOBS) {
            int status =
                FvEntryCell_Call(&cell, former, "DELETE", path, NULL, NULL, 0);

            acknowledged += status == 410 || status == 200;
        }
    }
    CU_ASSERT_EQUAL(absent, 0);
    CU_ASSERT_EQUAL(counted, 0);
    CU_ASSERT_EQUAL(acknowledged, 0);
    for (int i = 0; i < JOBS; i++) {
        FvEntryCell_Call(&cell, leader, "GET", job_path(i), NULL, state,
                         sizeof(state));
        CU_ASSERT_STRING_EQUAL(state, "queued");
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
        {"a suspended leader answers for its successor",
         test_suspended_leader},
        {"a job runs that was submitted after its cancellation",
         test_submission_after_its_cancellation},
        {"an unknown job is reported as absent in an outage",
         test_unknown_job_in_an_outage},
        {"a leader cut off from its successor answers for it",
         test_leader_cut_off_from_its_successor},
        {"a leader that handed over answers for its successor",
         test_leader_that_hands_over},
        {"a host that becomes leader leaves its own requests unanswered",
         test_requests_of_a_successor},
    };

    return Fv_RUN_SUITE("entry_unasked", cases);
}
