/*
 * Guards against an entry host that ends after SIGTERM while a request that it
 * has read is without a whole answer at its caller. Each case brings about one
 * way in which a reply or a request is still under way at the end.
 */

#include "entry-cell.h"
#include "fake-server.h"
#include "http-socket.h"
#include "kept-connection.h"
#include "suite.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HOSTS 3
#define DRAIN_MS 6000
#define READY_TIMEOUT_MS 15000
#define ANSWER_TIMEOUT_MS 4000
/* More replies than the buffers of a slow caller's connection hold. */
#define PIPELINED_REQUESTS 3000
#define PIPELINED_PAUSE_MS 2000
#define UNREADY_MS 2300 /* for how long the balancer may send connections */

#define BODY                                                                  \
    "{\"taskSpec\":\"run_ms=100 cpu=200\",\"steps\":[{\"count\":1,"           \
    "\"cpu\":200,\"memMb\":10,\"estimatedMs\":100}]}"
#define HEAD "Host: 127.0.0.1\r\n"

static entry_cell_t cell;

static int
choose_follower(void)
{
    int leader = FvEntryCell_Leader(&cell);

    CU_ASSERT_TRUE_FATAL(leader >= 0);
    return (leader + 1) % HOSTS;
}

static int
callers_port(int host)
{
    return FvEntryCell_Port(&cell, host, ENTRY_PORT_CALLERS);
}

/* Returns the time of the signal. */
static int64_t
terminate_host(int host)
{
    CU_ASSERT_TRUE_FATAL(FvProcess_Signal(&cell.hosts[host].process, SIGTERM));
    return FvClock_NowMs();
}

static void
wait_until(int64_t time_ms)
{
    int64_t left_ms = time_ms - FvClock_NowMs();

    if (left_ms > 0) {
        FvFake_SleepMs(left_ms);
    }
}

static void
expect_exit(int host, int64_t until_ms)
{
    process_t *process = &cell.hosts[host].process;
    int64_t left_ms = until_ms - FvClock_NowMs();

    CU_ASSERT_TRUE(FvProcess_Wait(process, left_ms > 0 ? left_ms : 1));
    CU_ASSERT_EQUAL(process->exit_status, 0);
}

static void
restart_host(int host)
{
    FvProcess_Kill(&cell.hosts[host].process);
    CU_ASSERT_TRUE_FATAL(FvEntryCell_StartHost(&cell, host));
    CU_ASSERT_TRUE_FATAL(FvEntryCell_WaitReady(&cell, READY_TIMEOUT_MS));
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
send_with_deadline(const kept_connection_t *connection, const char *job,
                   const char *deadline_ms)
{
    char text[512];

    snprintf(text, sizeof(text),
             "POST /fast/%s HTTP/1.1\r\n" HEAD
             "X-Deadline-Ms: %s\r\nContent-Length: %zu\r\n\r\n" BODY,
             job, deadline_ms, strlen(BODY));
    CU_ASSERT_TRUE(FvHttpSocket_Send(connection->fd, text));
}

static void
send_first_half(const kept_connection_t *connection, const char *job)
{
    char text[512];

    snprintf(text, sizeof(text),
             "POST /fast/%s HTTP/1.1\r\n" HEAD "Content-Length: %zu\r\n\r\n",
             job, strlen(BODY));
    CU_ASSERT_TRUE(FvHttpSocket_Send(connection->fd, text));
    snprintf(text, sizeof(text), "%.20s", BODY);
    CU_ASSERT_TRUE(FvHttpSocket_Send(connection->fd, text));
}

/* A caller whose connection holds little. */
static int
connect_slow_caller(int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port),
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int receive_bytes = 2304;
    int segment_bytes = 536;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
               sizeof(receive_bytes));
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
               sizeof(segment_bytes));
    CU_ASSERT_EQUAL_FATAL(
        connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
    return fd;
}

/* Waits until the replies fill the buffers. */
static void
send_many(int fd)
{
    for (int i = 0; i < PIPELINED_REQUESTS; i++) {
        CU_ASSERT_TRUE_FATAL(
            FvHttpSocket_Send(fd, "GET /fast/ HTTP/1.1\r\n" HEAD "\r\n"));
    }
    FvFake_SleepMs(PIPELINED_PAUSE_MS);
}

static int
count_replies(const fv_buffer_t *text)
{
    const char *next = (const char *)text->data;
    int count = 0;

    while (next != NULL && (next = strstr(next, "HTTP/1.1 ")) != NULL) {
        count++;
        next++;
    }
    return count;
}

static bool
ends_with(const fv_buffer_t *text, const char *end)
{
    size_t length = strlen(end);

    return text->length >= length &&
           memcmp(text->data + text->length - length, end, length) == 0;
}

/* Guards against replies that are cut because their caller reads them slowly:
 * it has sent many requests and begins to read after the process could have
 * ended. */
static void
test_slow_reader(void)
{
    int host = choose_follower();
    int fd = connect_slow_caller(callers_port(host));
    fv_buffer_t replies = {0};
    int64_t signal_ms;
    int count;

    send_many(fd);
    signal_ms = terminate_host(host);
    wait_until(signal_ms + UNREADY_MS + 300);
    FvHttpSocket_ReadAll(fd, &replies);
    FvBuffer_Append(&replies, "", 1);
    replies.length--;
    count = count_replies(&replies);
    printf("slow reader: %d of %d replies\n", count, PIPELINED_REQUESTS);
    CU_ASSERT_EQUAL(count, PIPELINED_REQUESTS);
    CU_ASSERT_TRUE(ends_with(&replies, "}"));
    CU_ASSERT_TRUE(strstr((const char *)replies.data, "Connection: close") !=
                   NULL);
    expect_exit(host, signal_ms + DRAIN_MS);
    FvBuffer_Clear(&replies);
    close(fd);
    restart_host(host);
}

/* Guards against a request that is cut because its end arrives after the
 * process could have ended, and against a kept connection that is not served
 * or not told to close meanwhile. */
static void
test_half_received(void)
{
    int host = choose_follower();
    kept_connection_t half;
    kept_connection_t idle;
    kept_answer_t answer;
    int64_t signal_ms;

    CU_ASSERT_TRUE_FATAL(FvKept_Open(&half, callers_port(host)));
    CU_ASSERT_TRUE_FATAL(FvKept_Open(&idle, callers_port(host)));
    CU_ASSERT_TRUE(FvKept_Send(&idle, "GET", "/fast/", NULL));
    CU_ASSERT_EQUAL(FvKept_Receive(&idle, ANSWER_TIMEOUT_MS, &answer),
                    KEPT_ANSWERED);
    CU_ASSERT_FALSE(idle.close_announced);
    send_first_half(&half, "00000000000000a1");
    signal_ms = terminate_host(host);
    wait_until(signal_ms + UNREADY_MS - 300);
    CU_ASSERT_TRUE(FvKept_Send(&idle, "GET", "/fast/", NULL));
    CU_ASSERT_EQUAL(FvKept_Receive(&idle, ANSWER_TIMEOUT_MS, &answer),
                    KEPT_ANSWERED);
    CU_ASSERT_EQUAL(answer.status, 200);
    CU_ASSERT_TRUE(idle.close_announced);
    wait_until(signal_ms + UNREADY_MS + 300);
    CU_ASSERT_TRUE(FvHttpSocket_Send(half.fd, BODY + 20));
    CU_ASSERT_EQUAL(FvKept_Receive(&half, ANSWER_TIMEOUT_MS, &answer),
                    KEPT_ANSWERED);
    CU_ASSERT_EQUAL(answer.status, 200);
    CU_ASSERT_TRUE(half.close_announced);
    expect_exit(host, signal_ms + DRAIN_MS);
    FvKept_Close(&half);
    FvKept_Close(&idle);
    restart_host(host);
}

/* Guards against requests that are open at the limit of the drain and end
 * without an answer. The other hosts are suspended, so that nobody answers. */
static void
test_limit(void)
{
    int host = choose_follower();
    kept_connection_t sent;
    kept_connection_t late;
    kept_connection_t half;
    kept_answer_t answer;
    int64_t signal_ms;

    CU_ASSERT_TRUE_FATAL(FvKept_Open(&sent, callers_port(host)));
    CU_ASSERT_TRUE_FATAL(FvKept_Open(&late, callers_port(host)));
    CU_ASSERT_TRUE_FATAL(FvKept_Open(&half, callers_port(host)));
    send_first_half(&half, "00000000000000b1");
    signal_others(host, SIGSTOP);
    signal_ms = terminate_host(host);
    send_with_deadline(&sent, "00000000000000b2", "30000");
    CU_ASSERT_EQUAL(FvKept_Receive(&sent, DRAIN_MS, &answer), KEPT_ANSWERED);
    CU_ASSERT_EQUAL(answer.status, 504);
    CU_ASSERT_TRUE(sent.close_announced);
    CU_ASSERT_TRUE(FvClock_NowMs() < signal_ms + DRAIN_MS);
    /* The half request keeps the process. */
    send_with_deadline(&late, "00000000000000b3", "30000");
    CU_ASSERT_EQUAL(FvKept_Receive(&late, DRAIN_MS, &answer), KEPT_ANSWERED);
    CU_ASSERT_EQUAL(answer.status, 503);
    CU_ASSERT_TRUE(late.close_announced);
    expect_exit(host, signal_ms + DRAIN_MS);
    CU_ASSERT_TRUE(FvEntryCell_LogHas(&cell, host, "receiving=1"));
    signal_others(host, SIGCONT);
    FvKept_Close(&sent);
    FvKept_Close(&late);
    FvKept_Close(&half);
    restart_host(host);
}

/* Guards against an end without an answer when the process itself stood still
 * until its limit had passed. */
static void
test_suspended_past_limit(void)
{
    int host = choose_follower();
    process_t *process = &cell.hosts[host].process;
    kept_connection_t caller;
    kept_answer_t answer;
    int64_t signal_ms;

    CU_ASSERT_TRUE_FATAL(FvKept_Open(&caller, callers_port(host)));
    signal_others(host, SIGSTOP);
    send_with_deadline(&caller, "00000000000000c1", "30000");
    FvFake_SleepMs(200);
    signal_ms = terminate_host(host);
    FvFake_SleepMs(200);
    FvProcess_Signal(process, SIGSTOP);
    wait_until(signal_ms + DRAIN_MS);
    FvProcess_Signal(process, SIGCONT);
    CU_ASSERT_EQUAL(FvKept_Receive(&caller, ANSWER_TIMEOUT_MS, &answer),
                    KEPT_ANSWERED);
    CU_ASSERT_EQUAL(answer.status, 504);
    expect_exit(host, signal_ms + DRAIN_MS + 1000);
    signal_others(host, SIGCONT);
    FvKept_Close(&caller);
    restart_host(host);
}

/* Guards against a reset of connections that the kernel has accepted and the
 * process has not: it stands still while a caller connects and sends. */
static void
test_connection_in_queue(void)
{
    int host = choose_follower();
    process_t *process = &cell.hosts[host].process;
    kept_connection_t caller;
    kept_answer_t answer;
    int64_t signal_ms = terminate_host(host);

    wait_until(signal_ms + UNREADY_MS - 200);
    FvProcess_Signal(process, SIGSTOP);
    CU_ASSERT_TRUE_FATAL(FvKept_Open(&caller, callers_port(host)));
    CU_ASSERT_TRUE(FvKept_Send(&caller, "GET", "/fast/", NULL));
    wait_until(signal_ms + UNREADY_MS + 200);
    FvProcess_Signal(process, SIGCONT);
    CU_ASSERT_EQUAL(FvKept_Receive(&caller, ANSWER_TIMEOUT_MS, &answer),
                    KEPT_ANSWERED);
    CU_ASSERT_TRUE(caller.close_announced);
    expect_exit(host, signal_ms + DRAIN_MS);
    FvKept_Close(&caller);
    restart_host(host);
}

/* Replaces a value of the host's settings by one of the same length. */
static void
change_setting(int host, const char *before, const char *after)
{
    char text[2048] = "";
    FILE *file = fopen(cell.hosts[host].settings, "r+");
    char *place;

    if (file == NULL) {
        CU_FAIL_FATAL("the settings cannot be opened");
        return;
    }
    CU_ASSERT_TRUE(fread(text, 1, sizeof(text) - 1, file) > 0);
    place = strstr(text, before);
    CU_ASSERT_PTR_NOT_NULL(place);
    if (place != NULL) {
        memcpy(place, after, strlen(after));
    }
    rewind(file);
    fputs(text, file);
    CU_ASSERT_EQUAL(fclose(file), 0);
}

/* Guards against limits that a change of the settings leaves as they were. */
static void
test_limit_changed(void)
{
    int host = choose_follower();
    kept_connection_t caller;
    kept_answer_t answer;
    int64_t signal_ms;
    int64_t answered_ms;

    CU_ASSERT_TRUE_FATAL(FvKept_Open(&caller, callers_port(host)));
    signal_others(host, SIGSTOP);
    signal_ms = terminate_host(host);
    send_with_deadline(&caller, "00000000000000d1", "30000");
    FvFake_SleepMs(200);
    change_setting(host, "drain_ms = 6000", "drain_ms = 4000");
    FvProcess_Signal(&cell.hosts[host].process, SIGHUP);
    CU_ASSERT_EQUAL(FvKept_Receive(&caller, DRAIN_MS, &answer), KEPT_ANSWERED);
    answered_ms = FvClock_NowMs() - signal_ms;
    CU_ASSERT_EQUAL(answer.status, 504);
    CU_ASSERT_TRUE(answered_ms > 2900 && answered_ms < 4000);
    expect_exit(host, signal_ms + 4000);
    signal_others(host, SIGCONT);
    change_setting(host, "drain_ms = 4000", "drain_ms = 6000");
    FvKept_Close(&caller);
    restart_host(host);
}

/* Guards against a drain that lasts to its limit because of a caller that has
 * gone without reading its replies. */
static void
test_gone_caller(void)
{
    int host = choose_follower();
    const struct linger reset = {.l_onoff = 1};
    int fd = connect_slow_caller(callers_port(host));
    int64_t signal_ms;

    send_many(fd);
    signal_ms = terminate_host(host);
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    close(fd);
    expect_exit(host, signal_ms + UNREADY_MS + 1000);
    restart_host(host);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a reply is cut because its caller reads slowly", test_slow_reader},
        {"a request that arrives slowly is cut", test_half_received},
        {"a request that is open at the limit gets no answer", test_limit},
        {"a request is lost because the process stood still",
         test_suspended_past_limit},
        {"a connection in the kernel's queue is reset",
         test_connection_in_queue},
        {"a change of drain_ms is left out", test_limit_changed},
        {"a caller that has gone delays the end", test_gone_caller},
    };
    const entry_cell_options_t options = {.name = "entry_drain",
                                          .hosts = HOSTS,
                                          .workers = 3,
                                          .drain_ms = DRAIN_MS};
    int failed = 1;

    if (FvEntryCell_Start(&cell, &options) &&
        FvEntryCell_WaitReady(&cell, READY_TIMEOUT_MS)) {
        failed = Fv_RUN_SUITE("entry_drain", cases);
    }
    FvEntryCell_Stop(&cell);
    return failed;
}
