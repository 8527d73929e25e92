/*
 * The HTTP server: malformed requests must not reach a handler, slow and
 * disconnected callers must not block others or leak memory, and responses
 * must be complete.
 */

#include "daemon.h"
#include "http-socket.h"
#include "kept-connection.h"
#include "suite.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define Fv_TEST_THREADS 8
#define BUSY_CALLERS 6
#define BUSY_STOPS 4
#define Fv_LARGE_ANSWER_BYTES (4 * 1024 * 1024)

#define HEAD_END "Connection: close\r\n\r\n"
#define TOKEN "Authorization: Bearer good\r\n"

static fv_daemon_t test_daemon;
static int test_port;
static pthread_t loop_thread;
static uint64_t config_version = 1;
static atomic_int handled_count;
/* Long polls without a response. */
static fv_ticket_t *open_polls[Fv_TEST_THREADS];
static atomic_int open_poll_count;

/* Stubs for the functions of the daemon that the server calls. */
uint64_t
FvConfig_ActiveVersion(void)
{
    return config_version;
}

bool
FvTokens_Authenticate(const fv_tokens_t *tokens, const char *token,
                      char member[Fv_NAME_SIZE])
{
    (void)tokens;
    return strcmp(token, "good") == 0 &&
           FvText_Copy(member, Fv_NAME_SIZE, "member-a");
}

static void
handle_echo(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    (void)daemon;
    atomic_fetch_add(&handled_count, 1);
    FvTicket_ReplyJson(ticket, 200,
                       json_pack("{s:s, s:s, s:O*}", "member", ticket->member,
                                 "key", ticket->idempotency_key, "body",
                                 ticket->body));
}

/* A long poll stays open until reply_to_open_polls(); other requests get
 * their response at once. */
static void
handle_job_get(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    (void)daemon;
    if (ticket->wait_ms > 0) {
        open_polls[atomic_fetch_add(&open_poll_count, 1)] = ticket;
    }
    else {
        FvTicket_ReplyJson(ticket, 200, json_object());
    }
    atomic_fetch_add(&handled_count, 1);
}

static void
reply_to_open_polls(void)
{
    for (int i = 0; i < atomic_load(&open_poll_count); i++) {
        FvTicket_ReplyJson(open_polls[i], 200,
                           json_pack("{s:s}", "late", "yes"));
    }
    atomic_store(&open_poll_count, 0);
}

static void
handle_large_answer(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    uint8_t *bytes = malloc(Fv_LARGE_ANSWER_BYTES);

    (void)daemon;
    memset(bytes, 'x', Fv_LARGE_ANSWER_BYTES);
    FvTicket_ReplyRaw(ticket, 200, bytes, Fv_LARGE_ANSWER_BYTES);
    free(bytes);
}

const fv_route_t Fv_ROUTES[] = {
    {"POST", "/v1/jobs", true, true, handle_echo},
    {"GET", "/v1/jobs/*", false, false, handle_job_get},
    {"GET", "/v1/jobs/*/answer", false, false, handle_large_answer},
    {.method = NULL},
};

static void *
run_loop(void *context)
{
    FvLoop_Run(context);
    return NULL;
}

/* The kernel chooses the port, so that concurrent runs on one machine do not
 * use the same one. */
static int
find_free_port(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    CU_ASSERT_FATAL(fd >= 0);
    CU_ASSERT_EQUAL_FATAL(bind(fd, (struct sockaddr *)&address, size), 0);
    getsockname(fd, (struct sockaddr *)&address, &size);
    close(fd);
    return ntohs(address.sin_port);
}

static void
start_server(uint32_t ring_capacity)
{
    test_port = find_free_port();
    test_daemon = (fv_daemon_t){
        .settings = {.http_threads = Fv_TEST_THREADS,
                     .drain_timeout_ms = 1000},
        .tokens = (fv_tokens_t *)&test_daemon, /* not dereferenced */
        .loop = FvLoop_New(ring_capacity),
        .ready = true,
    };
    snprintf(test_daemon.settings.http_address, Fv_ADDRESS_SIZE,
             "127.0.0.1:%d", test_port);
    config_version = 1;
    atomic_store(&handled_count, 0);
    atomic_store(&open_poll_count, 0);
    test_daemon.server = FvHttpServer_New(&test_daemon);
    CU_ASSERT_PTR_NOT_NULL_FATAL(test_daemon.server);
}

/*
 * Stopping CivetWeb takes up to 3 s, so tests that do not need their own
 * server share one.
 */
static void
use_shared_server(void)
{
    if (test_daemon.server == NULL) {
        start_server(64);
        pthread_create(&loop_thread, NULL, run_loop, test_daemon.loop);
    }
    atomic_store(&handled_count, 0);
}

static void
stop_server(bool loop_started)
{
    atomic_store(&test_daemon.draining, true);
    if (!loop_started) {
        FvLoop_Free(test_daemon.loop); /* replies to tickets in the ring */
    }
    FvHttpServer_Free(test_daemon.server);
    test_daemon.server = NULL;
    if (loop_started) {
        FvLoop_Stop(test_daemon.loop);
        pthread_join(loop_thread, NULL);
        FvLoop_Free(test_daemon.loop);
    }
}

static void *
stop_in_thread(void *context)
{
    (void)context;
    stop_server(true);
    return NULL;
}

static void
sleep_ms(int64_t ms)
{
    struct timespec duration = {.tv_sec = ms / 1000,
                                .tv_nsec = ms % 1000 * Fv_NS_PER_MS};

    nanosleep(&duration, NULL);
}

static void
wait_for_handled(int count)
{
    int64_t timeout_at_ms = FvClock_NowMs() + 5000;

    while (atomic_load(&handled_count) < count &&
           FvClock_NowMs() < timeout_at_ms) {
        sleep_ms(5);
    }
    CU_ASSERT_TRUE(atomic_load(&handled_count) >= count);
}

static void
expect_response(const char *request, int status, const char *text)
{
    fv_buffer_t response = {0};
    int actual_status = FvHttpSocket_Exchange(test_port, request, &response);

    CU_ASSERT_EQUAL(actual_status, status);
    CU_ASSERT_PTR_NOT_NULL(response.data);
    if (response.data != NULL && text != NULL) {
        CU_ASSERT_PTR_NOT_NULL(strstr((char *)response.data, text));
    }
    if (actual_status != status) {
        printf("\n  expected status %d, got %d: %s", status, actual_status,
               response.data ? (char *)response.data : "no response");
    }
    FvBuffer_Clear(&response);
}

static void
test_malformed_requests_are_rejected(void)
{
    use_shared_server();
    expect_response("POST /v1/jobs HTTP/1.1\r\nContent-Length: 2\r\n" HEAD_END
                    "{}",
                    401, "application/problem+json");
    expect_response("POST /v1/jobs HTTP/1.1\r\nAuthorization: Bearer bad\r\n"
                    "Content-Length: 2\r\n" HEAD_END "{}",
                    401, "WWW-Authenticate: Bearer");
    expect_response("POST /v1/jobs HTTP/1.1\r\nAuthorization: Basic good\r\n"
                    "Content-Length: 2\r\n" HEAD_END "{}",
                    401, NULL);
    expect_response("POST /v1/jobs HTTP/1.1\r\n" TOKEN
                    "Content-Length: 9\r\n" HEAD_END "{\"a\": 1,,",
                    400, "malformed JSON at line 1");
    expect_response("POST /v1/jobs HTTP/1.1\r\n" TOKEN
                    "Content-Length: 13\r\n" HEAD_END "{\"a\":1,\"a\":2}",
                    400, "malformed JSON");
    expect_response("POST /v1/jobs HTTP/1.1\r\n" TOKEN
                    "Content-Length: 3\r\n" HEAD_END "[1]",
                    400, "must be a JSON object");
    expect_response("POST /v1/jobs HTTP/1.1\r\n" TOKEN
                    "Idempotency-Key: a/b\r\nContent-Length: 2\r\n" HEAD_END
                    "{}",
                    400, "Idempotency-Key must be");
    expect_response("GET /v1/jobs/a?wait_ms=soon HTTP/1.1\r\n" TOKEN HEAD_END,
                    400, "wait_ms");
    expect_response("GET /v1/nothing HTTP/1.1\r\n" TOKEN HEAD_END, 404, NULL);
    expect_response("GET /v1/jobs/a%2Fb HTTP/1.1\r\n" TOKEN HEAD_END, 404,
                    NULL);
    expect_response("GET /v1/jobs/a%00b HTTP/1.1\r\n" TOKEN HEAD_END, 404,
                    NULL);
    expect_response("DELETE /v1/jobs HTTP/1.1\r\n" TOKEN HEAD_END, 405,
                    "Allow: POST");
    expect_response("POST /health HTTP/1.1\r\nContent-Length: 0\r\n" HEAD_END,
                    405, "Allow: GET");
    expect_response("complete nonsense\r\n\r\n", 400, NULL);
    CU_ASSERT_EQUAL(atomic_load(&handled_count), 0);
}

static void
test_valid_requests_are_handled(void)
{
    use_shared_server();
    expect_response(
        "POST /v1/jobs HTTP/1.1\r\n" TOKEN
        "Idempotency-Key: k-1\r\nContent-Length: 7\r\n" HEAD_END "{\"a\":1}",
        200, "{\"member\":\"member-a\",\"key\":\"k-1\",\"body\":{\"a\":1}}");
    expect_response("POST /v1/jobs HTTP/1.1\r\n" TOKEN
                    "Transfer-Encoding: chunked\r\n" HEAD_END
                    "3\r\n{\"a\r\n4\r\n\":1}\r\n0\r\n\r\n",
                    200, "\"body\":{\"a\":1}");
    expect_response("GET /health HTTP/1.1\r\n" HEAD_END, 200, "ok");
    expect_response("GET /ready HTTP/1.1\r\n" HEAD_END, 200, "ready");
    expect_response("GET /metrics HTTP/1.1\r\n" HEAD_END, 200,
                    "\nfireflyvalve_http_requests_total ");
}

static void
test_oversized_body(void)
{
    char *request = malloc(700000);
    int used = sprintf(request,
                       "POST /v1/jobs HTTP/1.1\r\n" TOKEN
                       "Transfer-Encoding: chunked\r\n" HEAD_END "%x\r\n",
                       600000);

    memset(request + used, ' ', 600000);
    request[used + 600000] = '\0';
    use_shared_server();
    expect_response("POST /v1/jobs HTTP/1.1\r\n" TOKEN
                    "Content-Length: 600000\r\n" HEAD_END,
                    413, "exceeds 524288 bytes");
    expect_response(request, 413, "exceeds 524288 bytes");
    expect_response("POST /v1/jobs HTTP/1.1\r\n" TOKEN
                    "Content-Length: -5\r\n" HEAD_END "{}",
                    400, NULL);
    CU_ASSERT_EQUAL(atomic_load(&handled_count), 0);
    free(request);
}

static void
test_stalled_sender_times_out(void)
{
    int64_t start_ms = FvClock_NowMs();

    use_shared_server();
    expect_response("POST /v1/jobs HTTP/1.1\r\n" TOKEN
                    "Content-Length: 100\r\n" HEAD_END "{\"a\":",
                    408, "did not arrive in time");
    CU_ASSERT_TRUE(FvClock_NowMs() - start_ms < 8000);
    CU_ASSERT_EQUAL(atomic_load(&handled_count), 0);
}

static void
test_trickling_sender_times_out(void)
{
    int64_t start_ms = FvClock_NowMs();
    fv_buffer_t response = {0};
    int fd;

    use_shared_server();
    fd = FvHttpSocket_Connect(test_port);
    FvHttpSocket_Send(fd, "POST /v1/jobs HTTP/1.1\r\n" TOKEN
                          "Content-Length: 1000\r\n" HEAD_END);
    for (int i = 0; i < 150 && FvHttpSocket_Send(fd, " "); i++) {
        sleep_ms(100);
    }
    FvHttpSocket_ReadAll(fd, &response);
    CU_ASSERT_TRUE(FvClock_NowMs() - start_ms < 15000);
    CU_ASSERT_EQUAL(atomic_load(&handled_count), 0);
    FvBuffer_Clear(&response);
    close(fd);
}

static void
test_incomplete_requests(void)
{
    int sockets[Fv_TEST_THREADS * 2];
    int64_t start_ms;

    use_shared_server();
    for (int i = 0; i < Fv_TEST_THREADS * 2; i++) {
        sockets[i] = FvHttpSocket_Connect(test_port);
        CU_ASSERT_TRUE(sockets[i] >= 0);
        FvHttpSocket_Send(sockets[i], i % 2 ? "GET /v1/jo" : "");
    }
    start_ms = FvClock_NowMs();
    expect_response("GET /v1/jobs/a HTTP/1.1\r\n" TOKEN HEAD_END, 200, NULL);
    /* Each thread times out on two of the connections, after 2 s each. */
    CU_ASSERT_TRUE(FvClock_NowMs() - start_ms < 9000);
    for (int i = 0; i < Fv_TEST_THREADS * 2; i++) {
        close(sockets[i]);
    }
}

static void *
send_requests(void *context)
{
    atomic_int *ok_count = context;

    for (int i = 0; i < 10; i++) {
        fv_buffer_t response = {0};

        if (FvHttpSocket_Exchange(test_port,
                                  "GET /v1/jobs/a HTTP/1.1\r\n" TOKEN HEAD_END,
                                  &response) == 200) {
            atomic_fetch_add(ok_count, 1);
        }
        FvBuffer_Clear(&response);
    }
    return NULL;
}

static void
test_more_connections_than_threads(void)
{
    pthread_t threads[60];
    atomic_int ok_count = 0;

    use_shared_server();
    for (int i = 0; i < 60; i++) {
        pthread_create(&threads[i], NULL, send_requests, &ok_count);
    }
    for (int i = 0; i < 60; i++) {
        pthread_join(threads[i], NULL);
    }
    CU_ASSERT_EQUAL(atomic_load(&ok_count), 600);
}

static void
test_idle_connections(void)
{
    int sockets[Fv_TEST_THREADS * 2];
    char part[1024];
    int64_t start_ms;

    use_shared_server();
    for (int i = 0; i < Fv_TEST_THREADS * 2; i++) {
        sockets[i] = FvHttpSocket_Connect(test_port);
        FvHttpSocket_Send(sockets[i], "GET /v1/jobs/a HTTP/1.1\r\n" TOKEN
                                      "Connection: keep-alive\r\n\r\n");
        CU_ASSERT_TRUE(read(sockets[i], part, sizeof(part)) > 0);
    }
    start_ms = FvClock_NowMs();
    expect_response("GET /v1/jobs/a HTTP/1.1\r\n" TOKEN HEAD_END, 200, NULL);
    CU_ASSERT_TRUE(FvClock_NowMs() - start_ms < 1000);
    for (int i = 0; i < Fv_TEST_THREADS * 2; i++) {
        close(sockets[i]);
    }
}

static void
test_full_ring_returns_503(void)
{
    int first_fd;

    if (test_daemon.server != NULL) {
        stop_server(true);
    }
    /* The loop does not run, so one request fills the ring. */
    start_server(1);
    first_fd = FvHttpSocket_Connect(test_port);
    FvHttpSocket_Send(first_fd, "GET /v1/jobs/a HTTP/1.1\r\n" TOKEN HEAD_END);
    sleep_ms(300);
    expect_response("GET /v1/jobs/b HTTP/1.1\r\n" TOKEN HEAD_END, 503,
                    "\"retry_after_ms\":500");
    stop_server(false);
    close(first_fd);
}

static void
test_drain_and_missing_config(void)
{
    const char *submit = "POST /v1/jobs HTTP/1.1\r\n" TOKEN
                         "Content-Length: 2\r\n" HEAD_END "{}";

    use_shared_server();
    config_version = 0;
    expect_response(submit, 503, "no configuration");
    config_version = 1;
    atomic_store(&test_daemon.draining, true);
    expect_response(submit, 503, "shutting down");
    expect_response("GET /v1/jobs/a HTTP/1.1\r\n" TOKEN HEAD_END, 200, NULL);
    expect_response("GET /ready HTTP/1.1\r\n" HEAD_END, 503, NULL);
    expect_response("GET /health HTTP/1.1\r\n" HEAD_END, 200, NULL);
    stop_server(true);
}

static void
test_large_answer(void)
{
    fv_buffer_t response = {0};
    const char *body;

    use_shared_server();
    CU_ASSERT_EQUAL(FvHttpSocket_Exchange(
                        test_port,
                        "GET /v1/jobs/a/answer HTTP/1.1\r\n" TOKEN HEAD_END,
                        &response),
                    200);
    body = response.data != NULL ? strstr((char *)response.data, "\r\n\r\n")
                                 : NULL;
    CU_ASSERT_PTR_NOT_NULL(body);
    if (body != NULL) {
        CU_ASSERT_EQUAL(strspn(body + 4, "x"), Fv_LARGE_ANSWER_BYTES);
        CU_ASSERT_EQUAL(strlen(body + 4), Fv_LARGE_ANSWER_BYTES);
    }
    FvBuffer_Clear(&response);
}

/* The address sanitizer reports a leaked ticket. */
static void
test_caller_disconnects(void)
{
    int fd;

    use_shared_server();
    fd = FvHttpSocket_Connect(test_port);
    FvHttpSocket_Send(fd, "GET /v1/jobs/held?wait_ms=60000 HTTP/1.1\r\n" TOKEN
                          "\r\n");
    wait_for_handled(1);
    close(fd);
    sleep_ms(100);
    CU_ASSERT_EQUAL(atomic_load(&open_poll_count), 1);
    reply_to_open_polls();
    expect_response("GET /v1/jobs/a HTTP/1.1\r\n" TOKEN HEAD_END, 200, NULL);
}

static void *
reply_after_delay(void *context)
{
    (void)context;
    sleep_ms(300);
    reply_to_open_polls();
    return NULL;
}

static void
test_stop_with_request_in_flight(void)
{
    fv_buffer_t response = {0};
    pthread_t replier;
    int fd;

    use_shared_server();
    fd = FvHttpSocket_Connect(test_port);
    FvHttpSocket_Send(fd, "GET /v1/jobs/held?wait_ms=9000 HTTP/1.1\r\n" TOKEN
                          "\r\n");
    wait_for_handled(1);
    pthread_create(&replier, NULL, reply_after_delay, NULL);
    stop_server(true);
    CU_ASSERT_EQUAL(FvHttpSocket_ReadAll(fd, &response), 200);
    CU_ASSERT_TRUE(response.data != NULL &&
                   strstr((char *)response.data, "\"late\":\"yes\""));
    pthread_join(replier, NULL);
    FvBuffer_Clear(&response);
    close(fd);
}

static void
test_long_polls_leave_free_threads(void)
{
    int sockets[Fv_TEST_THREADS];
    int64_t start_ms;

    use_shared_server();
    for (int i = 0; i < Fv_TEST_THREADS; i++) {
        sockets[i] = FvHttpSocket_Connect(test_port);
        FvHttpSocket_Send(sockets[i],
                          "GET /v1/jobs/held?wait_ms=60000 HTTP/1.1\r\n" TOKEN
                          "\r\n");
    }
    wait_for_handled(Fv_TEST_THREADS);
    start_ms = FvClock_NowMs();
    expect_response("GET /v1/jobs/a HTTP/1.1\r\n" TOKEN HEAD_END, 200, NULL);
    CU_ASSERT_TRUE(FvClock_NowMs() - start_ms < 1000);
    CU_ASSERT_EQUAL(atomic_load(&open_poll_count), Fv_TEST_THREADS / 2);
    stop_server(true);     /* times out on the open polls */
    reply_to_open_polls(); /* late replies must be harmless */
    for (int i = 0; i < Fv_TEST_THREADS; i++) {
        close(sockets[i]);
    }
}

typedef struct busy_callers {
    atomic_int replies;
    atomic_bool over;
} busy_callers_t;

static void *
call_without_pause(void *context)
{
    busy_callers_t *callers = context;

    while (!atomic_load(&callers->over)) {
        kept_connection_t connection;
        kept_answer_t answer;
        bool open = FvKept_Open(&connection, test_port);

        while (open && FvKept_Send(&connection, "GET", "/health", NULL) &&
               FvKept_Receive(&connection, 3000, &answer) == KEPT_ANSWERED) {
            atomic_fetch_add(&callers->replies, 1);
            open = !connection.close_announced;
        }
        FvKept_Close(&connection);
    }
    return NULL;
}

/* Guards against a request that is read while the server stops and gets no
 * answer. Which stop meets one depends on the moment. */
static void
test_stop_answers_what_was_read(void)
{
    for (int i = 0; i < BUSY_STOPS; i++) {
        busy_callers_t callers = {0};
        pthread_t threads[BUSY_CALLERS];
        uint64_t read_before = FvMetrics_Get(Fv_COUNTER_HTTP_REQUESTS);

        if (test_daemon.server != NULL) {
            stop_server(true);
        }
        use_shared_server();
        for (int j = 0; j < BUSY_CALLERS; j++) {
            pthread_create(&threads[j], NULL, call_without_pause, &callers);
        }
        sleep_ms(100);
        stop_server(true);
        atomic_store(&callers.over, true);
        for (int j = 0; j < BUSY_CALLERS; j++) {
            pthread_join(threads[j], NULL);
        }
        CU_ASSERT_TRUE(atomic_load(&callers.replies) > 0);
        CU_ASSERT_EQUAL(FvMetrics_Get(Fv_COUNTER_HTTP_REQUESTS) - read_before,
                        (uint64_t)atomic_load(&callers.replies));
    }
}

/* Guards against the same without luck: while the server waits for a request
 * in flight, it must not read what it could not answer later. */
static void
test_stop_reads_no_new_connection(void)
{
    fv_buffer_t response = {0};
    pthread_t stopper;
    uint64_t read_before;
    int held_fd;
    int new_fd;

    use_shared_server();
    held_fd = FvHttpSocket_Connect(test_port);
    FvHttpSocket_Send(
        held_fd, "GET /v1/jobs/held?wait_ms=60000 HTTP/1.1\r\n" TOKEN "\r\n");
    wait_for_handled(1);
    read_before = FvMetrics_Get(Fv_COUNTER_HTTP_REQUESTS);
    pthread_create(&stopper, NULL, stop_in_thread, NULL);
    sleep_ms(200);
    new_fd = FvHttpSocket_Connect(test_port);
    FvHttpSocket_Send(new_fd, "GET /health HTTP/1.1\r\n" HEAD_END);
    sleep_ms(100);
    reply_to_open_polls();
    CU_ASSERT_EQUAL(FvHttpSocket_ReadAll(held_fd, &response), 200);
    FvBuffer_Clear(&response);
    CU_ASSERT_EQUAL(FvHttpSocket_ReadAll(new_fd, &response), 0);
    FvBuffer_Clear(&response);
    pthread_join(stopper, NULL);
    CU_ASSERT_EQUAL(FvMetrics_Get(Fv_COUNTER_HTTP_REQUESTS), read_before);
    close(held_fd);
    close(new_fd);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a malformed request reaches a handler",
         test_malformed_requests_are_rejected},
        {"a valid request is rejected or altered",
         test_valid_requests_are_handled},
        {"an oversized body is read into memory", test_oversized_body},
        {"a sender that stalls occupies its thread",
         test_stalled_sender_times_out},
        {"a sender of single bytes occupies its thread",
         test_trickling_sender_times_out},
        {"connections without a complete request block callers",
         test_incomplete_requests},
        {"concurrent requests beyond the thread count are rejected",
         test_more_connections_than_threads},
        {"idle connections block callers", test_idle_connections},
        {"a full ring blocks a request instead of rejecting it",
         test_full_ring_returns_503},
        {"a job is accepted while draining or without a configuration",
         test_drain_and_missing_config},
        {"a large response is truncated", test_large_answer},
        {"the ticket of a disconnected caller is leaked",
         test_caller_disconnects},
        {"a shutdown cuts off a response", test_stop_with_request_in_flight},
        {"long polls occupy all threads", test_long_polls_leave_free_threads},
        {"a request is read during a stop and not answered",
         test_stop_answers_what_was_read},
        {"a new connection is read during a stop",
         test_stop_reads_no_new_connection},
    };

    return Fv_RUN_SUITE("http_server", cases);
}
