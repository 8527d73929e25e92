/*
 * Guards against a host that callers beyond the limits keep from its work:
 * headers and bodies without end, and many idle connections. Callers within
 * the limits are served: they send requests ahead and read the answers, or
 * send the largest request, beside the others.
 */

#include "crowd.h"
#include "fake-server.h"
#include "http-socket.h"
#include "kept-connection.h"
#include "suite.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MEMORY_MB 32
#define DESCRIPTORS_MAX 512
#define DESCRIPTORS_RESERVED 200 /* for files, as on the users' platform */
#define READY_MS 15000
#define SENDING_MS 60000

#define SLOW_CLIENTS 40
#define SLOW_PAUSE_MS 100
#define HEADER_CLIENTS 150
#define HEADER_BYTES 16000
#define BODY_BYTES 262144
#define BODY_CLIENTS 150
#define CHUNK_CLIENTS 40
#define CHUNKS 1500 /* of each client */
#define IDLE_CLIENTS 400
#define PIPELINED_REQUESTS 3000

/* The smallest hosts of the users' platform. */
#define SMALLEST_MEMORY_MB 120
#define SMALLEST_DESCRIPTORS 3075
#define KEPT_CALLERS 400
#define KEPT_ROUNDS 3
#define ANSWER_MS 30000

static entry_cell_t cell;
static crowd_t crowd;

static bool
open_cell_of(const entry_cell_options_t *options)
{
    if (!FvEntryCell_Start(&cell, options) ||
        !FvEntryCell_WaitReady(&cell, READY_MS)) {
        return false;
    }
    FvCrowd_Watch(&crowd, &cell, 0);
    return FvCrowd_Call(&crowd, ENTRY_PORT_CALLERS, "/fast/") == 200;
}

static bool
open_cell(const char *name, const char *more_settings)
{
    return open_cell_of(
        &(entry_cell_options_t){.name = name,
                                .hosts = 1,
                                .workers = 1,
                                .memory_mb = MEMORY_MB,
                                .descriptors_max = DESCRIPTORS_MAX,
                                .more_settings = more_settings});
}

static bool
connect_clients(int clients)
{
    return FvCrowd_Connect(
        &crowd, FvEntryCell_Port(&cell, 0, ENTRY_PORT_CALLERS), clients);
}

/* What must hold beside any crowd. */
static void
check_host(void)
{
    int status = FvCrowd_Call(&crowd, ENTRY_PORT_CALLERS, "/fast/");
    int ready_status = FvCrowd_Call(&crowd, ENTRY_PORT_READY, "/ready");

    FvCrowd_Measure(&crowd);
    FvCrowd_Print(&crowd);
    CU_ASSERT_TRUE(crowd.peak.alive);
    CU_ASSERT(crowd.peak.memory_kib <= MEMORY_MB * 1024);
    CU_ASSERT(crowd.peak.descriptors <=
              DESCRIPTORS_MAX - DESCRIPTORS_RESERVED);
    CU_ASSERT_EQUAL(status, 200);
    CU_ASSERT_EQUAL(ready_status, 200);
}

static void
close_cell(void)
{
    FvCrowd_Close(&crowd);
    FvEntryCell_Stop(&cell);
}

static void
test_slow_headers(void)
{
    static const crowd_script_t script = {.head = "GET /fast/ HTTP/1.1\r\n",
                                          .repeat = "A: b\r\n",
                                          .pause_ms = SLOW_PAUSE_MS,
                                          .write_max = 1,
                                          .duration_ms = SENDING_MS};

    CU_ASSERT_TRUE_FATAL(
        open_cell("entry-slow-headers", "caller_header_ms = 1000\n"));
    CU_ASSERT_TRUE(connect_clients(SLOW_CLIENTS));
    FvCrowd_Send(&crowd, &script, MEMORY_MB * 1024);
    check_host();
    CU_ASSERT_EQUAL(FvCrowd_Open(&crowd), 0);
    close_cell();
}

/* Each short line of a header takes many times its bytes. */
static void
test_large_headers(void)
{
    static const crowd_script_t script = {.head = "GET /fast/ HTTP/1.1\r\n",
                                          .repeat = "a:b\n",
                                          .bytes_max = HEADER_BYTES,
                                          .duration_ms = SENDING_MS};

    CU_ASSERT_TRUE_FATAL(open_cell("entry-large-headers", NULL));
    CU_ASSERT_TRUE(connect_clients(HEADER_CLIENTS));
    FvCrowd_Send(&crowd, &script, MEMORY_MB * 1024);
    check_host();
    close_cell();
}

static void
test_slow_bodies(void)
{
    static const crowd_script_t script = {
        .head = "POST /fast/00000000000000a1 HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                "Content-Length: 262144\r\n\r\n",
        .repeat = "x",
        .pause_ms = SLOW_PAUSE_MS,
        .write_max = 200,
        .duration_ms = SENDING_MS};

    CU_ASSERT_TRUE_FATAL(
        open_cell("entry-slow-bodies",
                  "caller_header_ms = 1000\ncaller_body_ms = 1000\n"));
    CU_ASSERT_TRUE(connect_clients(SLOW_CLIENTS));
    FvCrowd_Send(&crowd, &script, MEMORY_MB * 1024);
    check_host();
    CU_ASSERT_EQUAL(FvCrowd_Open(&crowd), 0);
    close_cell();
}

/* The last bytes of each body never come. */
static void
test_unfinished_bodies(void)
{
    static const crowd_script_t script = {
        .head = "POST /fast/00000000000000a1 HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                "Content-Length: 262144\r\n\r\n",
        .repeat = "x",
        .bytes_max = BODY_BYTES,
        .duration_ms = SENDING_MS};

    CU_ASSERT_TRUE_FATAL(open_cell("entry-unfinished-bodies", NULL));
    CU_ASSERT_TRUE(connect_clients(BODY_CLIENTS));
    FvCrowd_Send(&crowd, &script, MEMORY_MB * 1024);
    check_host();
    close_cell();
}

/* A chunk of one byte that comes alone keeps a buffer of its own. */
static void
test_tiny_chunks(void)
{
    static const char head[] =
        "POST /fast/00000000000000a1 HTTP/1.1\r\nHost: 127.0.0.1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n";
    static const char *const pieces[] = {"1\r\n", "x", "\r\n"};
    const int on = 1;

    CU_ASSERT_TRUE_FATAL(open_cell("entry-tiny-chunks", NULL));
    CU_ASSERT_TRUE(connect_clients(CHUNK_CLIENTS));
    for (int i = 0; i < CHUNK_CLIENTS; i++) {
        setsockopt(crowd.fds[i], IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        send(crowd.fds[i], head, strlen(head), MSG_NOSIGNAL);
    }
    for (int round = 0;
         round < CHUNKS * 3 && crowd.peak.memory_kib < 2 * MEMORY_MB * 1024;
         round++) {
        const char *piece = pieces[round % 3];

        for (int i = 0; i < CHUNK_CLIENTS; i++) {
            send(crowd.fds[i], piece, strlen(piece), MSG_NOSIGNAL);
        }
        FvFake_SleepMs(1);
        if (round % 30 == 0) {
            FvCrowd_Measure(&crowd);
        }
    }
    check_host();
    close_cell();
}

static void
test_idle_connections(void)
{
    static const crowd_script_t script = {.duration_ms = SENDING_MS};

    CU_ASSERT_TRUE_FATAL(open_cell("entry-idle", NULL));
    CU_ASSERT_TRUE(connect_clients(IDLE_CLIENTS));
    FvCrowd_Send(&crowd, &script, MEMORY_MB * 1024);
    check_host();
    close_cell();
}

/* Sends what the connection takes and reads what has come, so that neither
 * side waits for the other. */
static bool
exchange(int fd, const fv_buffer_t *requests, fv_buffer_t *answers)
{
    int64_t until_ms = FvClock_NowMs() + ANSWER_MS;
    size_t sent = 0;
    char part[65536];

    fcntl(fd, F_SETFL, O_NONBLOCK);
    while (FvClock_NowMs() < until_ms) {
        struct pollfd state = {
            .fd = fd,
            .events =
                (short)(POLLIN | (sent < requests->length ? POLLOUT : 0))};
        ssize_t count;

        if (poll(&state, 1, 100) < 0) {
            return false;
        }
        if ((state.revents & POLLOUT) != 0) {
            count = send(fd, requests->data + sent, requests->length - sent,
                         MSG_NOSIGNAL);
            sent += count > 0 ? (size_t)count : 0;
        }
        if ((state.revents & (POLLIN | POLLHUP)) != 0) {
            count = recv(fd, part, sizeof(part), 0);
            if (count == 0) {
                return sent == requests->length;
            }
            if (count > 0) {
                FvBuffer_Append(answers, part, (size_t)count);
            }
        }
    }
    return false;
}

/* Requests alternate between two paths, whose answers differ. */
static void
test_reading_pipeliner(void)
{
    static const char first[] = "GET /fast/ HTTP/1.1\r\n"
                                "Host: 127.0.0.1\r\n\r\n";
    static const char second[] = "GET /absent/ HTTP/1.1\r\n"
                                 "Host: 127.0.0.1\r\n\r\n";
    static const char last[] = "GET /fast/ HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                               "Connection: close\r\n\r\n";
    fv_buffer_t requests = {0};
    fv_buffer_t answers = {0};
    const char *next;
    int in_order = 0;
    int fd;

    CU_ASSERT_TRUE_FATAL(open_cell("entry-pipeliner", NULL));
    for (int i = 0; i < PIPELINED_REQUESTS; i++) {
        const char *request = i % 2 == 0 ? first : second;

        FvBuffer_Append(&requests, request, strlen(request));
    }
    FvBuffer_Append(&requests, last, strlen(last));
    fd = FvHttpSocket_Connect(
        (uint16_t)FvEntryCell_Port(&cell, 0, ENTRY_PORT_CALLERS));
    CU_ASSERT_TRUE_FATAL(fd >= 0);
    CU_ASSERT_TRUE(exchange(fd, &requests, &answers));
    close(fd);
    FvBuffer_Append(&answers, "", 1);
    next = strstr((const char *)answers.data, "HTTP/1.1 ");
    while (next != NULL &&
           strtol(next + 9, NULL, 10) == (in_order % 2 == 0 ? 200 : 404)) {
        in_order++;
        next = strstr(next + 1, "HTTP/1.1 ");
    }
    CU_ASSERT_EQUAL(in_order, PIPELINED_REQUESTS + 1);
    FvBuffer_Clear(&requests);
    FvBuffer_Clear(&answers);
    check_host();
    close_cell();
}

/* A job of 262,144 bytes with a header of nearly 16,384, while callers that
 * send nothing have all connections. */
static void
test_largest_request(void)
{
    static const char begin[] = "{\"taskSpec\":\"";
    static const char end[] =
        "\",\"steps\":[{\"count\":1,\"cpu\":100,\"memMb\":10,"
        "\"estimatedMs\":50}]}";
    static char text[BODY_BYTES];
    static char body[BODY_BYTES + 1];
    static char padding[HEADER_BYTES + 1];
    static const crowd_script_t script = {.duration_ms = SENDING_MS};
    kept_connection_t caller;
    kept_answer_t answer;
    char head[256];

    memset(text, 'x', sizeof(text));
    snprintf(body, sizeof(body), "%s%.*s%s", begin,
             (int)(BODY_BYTES - strlen(begin) - strlen(end)), text, end);
    CU_ASSERT_EQUAL(strlen(body), BODY_BYTES);
    memset(padding, 'y', HEADER_BYTES);
    CU_ASSERT_TRUE_FATAL(open_cell("entry-largest-request", NULL));
    CU_ASSERT_TRUE(connect_clients(IDLE_CLIENTS));
    FvCrowd_Send(&crowd, &script, MEMORY_MB * 1024);
    CU_ASSERT_TRUE_FATAL(
        FvKept_Open(&caller, FvEntryCell_Port(&cell, 0, ENTRY_PORT_CALLERS)));
    snprintf(head, sizeof(head),
             "POST /fast/00000000000000a1 HTTP/1.1\r\nHost: 127.0.0.1\r\n"
             "Content-Length: %d\r\nX-Padding: ",
             BODY_BYTES);
    CU_ASSERT_TRUE(FvHttpSocket_Send(caller.fd, head));
    CU_ASSERT_TRUE(FvHttpSocket_Send(caller.fd, padding));
    CU_ASSERT_TRUE(FvHttpSocket_Send(caller.fd, "\r\n\r\n"));
    CU_ASSERT_TRUE(FvHttpSocket_Send(caller.fd, body));
    CU_ASSERT_EQUAL(FvKept_Receive(&caller, ANSWER_MS, &answer),
                    KEPT_ANSWERED);
    CU_ASSERT_EQUAL(answer.status, 200);
    FvKept_Close(&caller);
    check_host();
    close_cell();
}

/* A host of the smallest size keeps its connections with several hundred
 * callers. */
static void
test_kept_connections(void)
{
    static const entry_cell_options_t options = {
        .name = "entry-kept-connections",
        .hosts = 1,
        .workers = 1,
        .memory_mb = SMALLEST_MEMORY_MB,
        .descriptors_max = SMALLEST_DESCRIPTORS};
    static kept_connection_t callers[KEPT_CALLERS];
    kept_answer_t answer;
    int served = 0;

    CU_ASSERT_TRUE_FATAL(open_cell_of(&options));
    for (int i = 0; i < KEPT_CALLERS; i++) {
        CU_ASSERT_TRUE_FATAL(FvKept_Open(
            &callers[i], FvEntryCell_Port(&cell, 0, ENTRY_PORT_CALLERS)));
    }
    for (int round = 0; round < KEPT_ROUNDS; round++) {
        for (int i = 0; i < KEPT_CALLERS; i++) {
            FvKept_Send(&callers[i], "GET", "/fast/", NULL);
        }
        for (int i = 0; i < KEPT_CALLERS; i++) {
            served += FvKept_Receive(&callers[i], ANSWER_MS, &answer) ==
                          KEPT_ANSWERED &&
                      answer.status == 200;
        }
    }
    CU_ASSERT_EQUAL(served, KEPT_CALLERS * KEPT_ROUNDS);
    CU_ASSERT_EQUAL(
        FvEntryCell_Counter(&cell, 0, "fireflyvalve_callers_displaced_total"),
        0);
    for (int i = 0; i < KEPT_CALLERS; i++) {
        FvKept_Close(&callers[i]);
    }
    close_cell();
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"slow headers keep connections for good", test_slow_headers},
        {"unfinished headers of short lines take all memory",
         test_large_headers},
        {"slow bodies keep connections for good", test_slow_bodies},
        {"unfinished bodies take all memory", test_unfinished_bodies},
        {"a body in tiny chunks takes all memory", test_tiny_chunks},
        {"idle connections take all descriptors", test_idle_connections},
        {"a caller that sends ahead and reads loses an answer",
         test_reading_pipeliner},
        {"callers within the limits lose their connections",
         test_kept_connections},
        {"the largest request is refused beside idle connections",
         test_largest_request},
    };

    return Fv_RUN_SUITE("entry_caller_limits", cases);
}
