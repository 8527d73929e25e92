/*
 * Guards against an entry host that ends after SIGTERM with a request of a
 * caller that keeps its connection until the process is gone, while answers
 * come all the time: peers suspended so that requests time out together, the
 * leader itself, all hosts overlapping, SIGHUP and a new configuration
 * between.
 */

#include "entry-cell.h"
#include "fake-server.h"
#include "kept-connection.h"
#include "suite.h"
#include "thread.h"

#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdlib.h>

#define HOSTS 3
#define CALLERS 32
#define DRAIN_MS 6000
#define READY_TIMEOUT_MS 15000
/* Above the longest wait of a request at a host. */
#define ANSWER_TIMEOUT_MS 8000
#define WARM_UP_MS 600
/* A balancer sends no new connections by then. */
#define UNREADY_MS 2000
#define SUSPENSIONS 1
/* Longer than the intervals of the process's timers, and shorter. */
#define PULSE_STOPPED_MS 70
#define PULSE_RUNNING_MS 15
#define PULSED_CALLS 12
#define PULSED_DRAINS 4
#define CROSSING_MS 150 /* a pulse and its margin */

#define BODY                                                                  \
    "{\"taskSpec\":\"run_ms=100 cpu=200\",\"steps\":[{\"count\":1,"           \
    "\"cpu\":200,\"memMb\":10,\"estimatedMs\":100}]}"

typedef struct caller {
    pthread_t thread;
    uint32_t number;
    uint32_t sent;
} caller_t;

static entry_cell_t cell;
static caller_t callers[CALLERS];
static atomic_bool stopping;
static atomic_int answered;
static atomic_int lost;
/* When each host got SIGTERM; 0: it runs. */
static _Atomic int64_t terminated_ms[HOSTS];

static bool
takes_connections(int host)
{
    int64_t since_ms = atomic_load(&terminated_ms[host]);

    return since_ms == 0 || FvClock_NowMs() < since_ms + UNREADY_MS;
}

/* Returns false when the connection is over. */
static bool
send_request(caller_t *caller, int host, kept_connection_t *connection)
{
    bool submits = caller->sent % 2 == 0;
    kept_outcome_t outcome = KEPT_CLOSED;
    kept_answer_t answer = {0};
    int64_t sent_ms = FvClock_NowMs();
    char path[64];

    snprintf(path, sizeof(path), "/fast/%08x%08x", caller->number,
             caller->sent / 2);
    caller->sent++;
    if (FvKept_Send(connection, submits ? "POST" : "GET", path,
                    submits ? BODY : NULL)) {
        outcome = FvKept_Receive(connection, ANSWER_TIMEOUT_MS, &answer);
    }
    if (outcome == KEPT_ANSWERED) {
        atomic_fetch_add(&answered, 1);
        return !connection->close_announced;
    }
    atomic_fetch_add(&lost, 1);
    printf("%s %s at host-%d: outcome %d after %lld ms, sent %lld ms after "
           "SIGTERM\n",
           submits ? "POST" : "GET", path, host, (int)outcome,
           (long long)(FvClock_NowMs() - sent_ms),
           (long long)(sent_ms - atomic_load(&terminated_ms[host])));
    return false;
}

static void *
run_caller(void *context)
{
    caller_t *caller = context;
    uint32_t turn = caller->number;

    while (!atomic_load(&stopping)) {
        int host = (int)(turn++ % HOSTS);
        kept_connection_t connection;

        if (!takes_connections(host) ||
            !FvKept_Open(&connection,
                         FvEntryCell_Port(&cell, host, ENTRY_PORT_CALLERS))) {
            FvFake_SleepMs(5);
            continue;
        }
        while (!atomic_load(&stopping) &&
               send_request(caller, host, &connection)) {
            FvFake_SleepMs((caller->number * 7 + caller->sent) % 20);
        }
        FvKept_Close(&connection);
    }
    return NULL;
}

static void
start_callers(void)
{
    static uint32_t runs;

    runs++;
    atomic_store(&stopping, false);
    atomic_store(&answered, 0);
    atomic_store(&lost, 0);
    for (uint32_t i = 0; i < CALLERS; i++) {
        callers[i] = (caller_t){.number = runs * 1000 + i};
        FvThread_Start(&callers[i].thread, run_caller, &callers[i]);
    }
    FvFake_SleepMs(WARM_UP_MS);
}

static void
stop_callers(void)
{
    atomic_store(&stopping, true);
    for (int i = 0; i < CALLERS; i++) {
        pthread_join(callers[i].thread, NULL);
    }
    printf("%d answered, %d lost\n", atomic_load(&answered),
           atomic_load(&lost));
    CU_ASSERT_TRUE(atomic_load(&answered) > CALLERS);
    CU_ASSERT_EQUAL(atomic_load(&lost), 0);
}

static void
terminate_host(int host)
{
    atomic_store(&terminated_ms[host], FvClock_NowMs());
    CU_ASSERT_TRUE_FATAL(FvProcess_Signal(&cell.hosts[host].process, SIGTERM));
}

static void
expect_exit(int host)
{
    process_t *process = &cell.hosts[host].process;
    int64_t left_ms =
        atomic_load(&terminated_ms[host]) + DRAIN_MS - FvClock_NowMs();

    CU_ASSERT_TRUE(FvProcess_Wait(process, left_ms > 0 ? left_ms : 1));
    CU_ASSERT_EQUAL(process->exit_status, 0);
}

static void
restart_host(int host)
{
    FvProcess_Kill(&cell.hosts[host].process);
    CU_ASSERT_TRUE_FATAL(FvEntryCell_StartHost(&cell, host));
    atomic_store(&terminated_ms[host], 0);
}

static void
wait_ready(void)
{
    CU_ASSERT_TRUE_FATAL(FvEntryCell_WaitReady(&cell, READY_TIMEOUT_MS));
}

static int
find_leader(void)
{
    int leader = FvEntryCell_Leader(&cell);

    CU_ASSERT_TRUE_FATAL(leader >= 0);
    return leader;
}

static void
signal_others(int host, int signal)
{
    for (int i = 0; i < HOSTS; i++) {
        if (i != host) {
            FvProcess_Signal(&cell.hosts[i].process, signal);
        }
    }
}

static void
run_with_suspended_peers(int host)
{
    start_callers();
    terminate_host(host);
    signal_others(host, SIGSTOP);
    expect_exit(host);
    signal_others(host, SIGCONT);
    stop_callers();
    restart_host(host);
    wait_ready();
}

/* All open requests time out in few rounds of the event loop, and nobody
 * answers to the limit of the drain. */
static void
test_peers_suspended(void)
{
    for (int i = 0; i < SUSPENSIONS; i++) {
        run_with_suspended_peers((find_leader() + 1) % HOSTS);
    }
}

/* Answers that the leader gives its own callers and other hosts while it hands
 * over, with SIGHUP and a new configuration in the middle of it. */
static void
test_leader_terminated(void)
{
    int leader = find_leader();

    start_callers();
    terminate_host(leader);
    FvFake_SleepMs(300);
    CU_ASSERT_TRUE(FvProcess_Signal(&cell.hosts[leader].process, SIGHUP));
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, "{\"config\":5}"));
    FvFake_SleepMs(1500);
    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, "{\"config\":9}"));
    expect_exit(leader);
    FvFake_SleepMs(500);
    stop_callers();
    CU_ASSERT_TRUE(
        FvEntryCell_LogHas(&cell, (leader + 1) % HOSTS, "version=9 before=5"));
    restart_host(leader);
    wait_ready();
}

static void
test_overlapping(void)
{
    int leader = find_leader();

    start_callers();
    terminate_host(leader);
    FvFake_SleepMs(400);
    terminate_host((leader + 1) % HOSTS);
    FvFake_SleepMs(400);
    terminate_host((leader + 2) % HOSTS);
    for (int i = 0; i < HOSTS; i++) {
        expect_exit(i);
    }
    stop_callers();
    for (int i = 0; i < HOSTS; i++) {
        restart_host(i);
    }
    wait_ready();
}

static void *
run_pulses(void *context)
{
    const process_t *process = context;

    while (!atomic_load(&stopping)) {
        FvProcess_Signal(process, SIGSTOP);
        FvFake_SleepMs(PULSE_STOPPED_MS);
        FvProcess_Signal(process, SIGCONT);
        FvFake_SleepMs(PULSE_RUNNING_MS);
    }
    return NULL;
}

/* Sends one request after the other, so that none is open after each answer.
 * A request that crosses with the end of the process is not read. */
static void
send_in_turn(kept_connection_t *connections)
{
    for (uint32_t i = 0; i < PULSED_CALLS; i++) {
        kept_answer_t answer;
        kept_outcome_t outcome;
        int64_t sent_ms = FvClock_NowMs();
        char path[64];

        snprintf(path, sizeof(path), "/fast/%016x", 0xf0000 + i);
        if (!FvKept_Send(&connections[i], "POST", path, BODY)) {
            return;
        }
        outcome = FvKept_Receive(&connections[i], ANSWER_TIMEOUT_MS, &answer);
        if (outcome != KEPT_ANSWERED) {
            printf("call %u: outcome %d after %lld ms\n", i, (int)outcome,
                   (long long)(FvClock_NowMs() - sent_ms));
            CU_ASSERT_TRUE(FvClock_NowMs() - sent_ms < CROSSING_MS);
            return;
        }
    }
}

/* The timer that times the last request out and the one that checks the drain
 * are due in the same round of the event loop, because the process stands
 * still in between. */
static void
run_pulsed_drain(int host)
{
    kept_connection_t connections[PULSED_CALLS];
    pthread_t pulses;

    for (int i = 0; i < PULSED_CALLS; i++) {
        CU_ASSERT_TRUE_FATAL(
            FvKept_Open(&connections[i],
                        FvEntryCell_Port(&cell, host, ENTRY_PORT_CALLERS)));
    }
    FvFake_SleepMs(WARM_UP_MS);
    signal_others(host, SIGSTOP);
    terminate_host(host);
    atomic_store(&stopping, false);
    FvThread_Start(&pulses, run_pulses, &cell.hosts[host].process);
    send_in_turn(connections);
    atomic_store(&stopping, true);
    pthread_join(pulses, NULL);
    expect_exit(host);
    signal_others(host, SIGCONT);
    for (int i = 0; i < PULSED_CALLS; i++) {
        FvKept_Close(&connections[i]);
    }
    restart_host(host);
    wait_ready();
}

static void
test_same_round(void)
{
    for (int i = 0; i < PULSED_DRAINS; i++) {
        run_pulsed_drain((find_leader() + 1) % HOSTS);
    }
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a request is lost while the peers are suspended",
         test_peers_suspended},
        {"a reply is lost in the round of the last check", test_same_round},
        {"a request is lost when the leader ends", test_leader_terminated},
        {"a request is lost when all hosts end one after the other",
         test_overlapping},
    };
    const entry_cell_options_t options = {.name = "entry_drain_load",
                                          .hosts = HOSTS,
                                          .workers = 6,
                                          .drain_ms = DRAIN_MS};
    int failed = 1;

    if (FvEntryCell_Start(&cell, &options) &&
        FvEntryCell_WaitReady(&cell, READY_TIMEOUT_MS)) {
        failed = Fv_RUN_SUITE("entry_drain_load", cases);
    }
    FvEntryCell_Stop(&cell);
    return failed;
}
