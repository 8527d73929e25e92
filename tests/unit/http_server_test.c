/*
 * Bad input, slow and vanishing callers must not reach a handler, block other
 * callers or leak; a caller must get its whole response.
 */

#include "daemon.h"
#include "http-socket.h"
#include "suite.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define Fv_TEST_THREADS 8
#define Fv_BIG_ANSWER_BYTES (4 * 1024 * 1024)

#define HEAD_END "Connection: close\r\n\r\n"
#define TOKEN "Authorization: Bearer good\r\n"

static fv_daemon_t fake;
static int test_port;
static pthread_t loop_thread;
static uint64_t fake_version = 1;
static atomic_int handled;
static fv_ticket_t *held[Fv_TEST_THREADS]; /* long polls not yet answered */
static atomic_int held_count;

/* The parts of the daemon that the server asks. */
uint64_t
FvConfig_ActiveVersion(void)
{
    return fake_version;
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
echo(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    (void)daemon;
    atomic_fetch_add(&handled, 1);
    FvTicket_ReplyJson(ticket, 200,
                       json_pack("{s:s, s:s, s:O*}", "member", ticket->member,
                                 "key", ticket->idempotency_key, "body",
                                 ticket->body));
}

/* A long poll stays open until answer_held(); others end at once. */
static void
hold(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    (void)daemon;
    if (ticket->wait_ms > 0) {
        held[atomic_fetch_add(&held_count, 1)] = ticket;
    }
    else {
        FvTicket_ReplyJson(ticket, 200, json_object());
    }
    atomic_fetch_add(&handled, 1);
}

static void
answer_held(void)
{
    for (int i = 0; i < atomic_load(&held_count); i++) {
        FvTicket_ReplyJson(held[i], 200, json_pack("{s:s}", "late", "yes"));
    }
    atomic_store(&held_count, 0);
}

static void
answer(fv_daemon_t *daemon, fv_ticket_t *ticket)
{
    uint8_t *bytes = malloc(Fv_BIG_ANSWER_BYTES);

    (void)daemon;
    memset(bytes, 'x', Fv_BIG_ANSWER_BYTES);
    FvTicket_ReplyRaw(ticket, 200, bytes, Fv_BIG_ANSWER_BYTES);
    free(bytes);
}

const fv_route_t Fv_ROUTES[] = {
    {"POST", "/v1/jobs", true, true, echo},
    {"GET", "/v1/jobs/*", false, false, hold},
    {"GET", "/v1/jobs/*/answer", false, false, answer},
    {.method = NULL},
};

static void *
run_loop(void *context)
{
    FvLoop_Run(context);
    return NULL;
}

/* Asks the kernel for a port, so that two runs on one machine do not meet. */
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
set_up(uint32_t ring_capacity)
{
    test_port = find_free_port();
    fake = (fv_daemon_t){
        .settings = {.http_threads = Fv_TEST_THREADS,
                     .drain_timeout_ms = 1000},
        .tokens = (fv_tokens_t *)&fake, /* never dereferenced here */
        .loop = FvLoop_New(ring_capacity),
        .ready = true,
    };
    snprintf(fake.settings.http_address, Fv_ADDRESS_SIZE, "127.0.0.1:%d",
             test_port);
    fake_version = 1;
    atomic_store(&handled, 0);
    atomic_store(&held_count, 0);
    fake.server = FvHttpServer_New(&fake);
    CU_ASSERT_PTR_NOT_NULL_FATAL(fake.server);
}

/*
 * Stopping CivetWeb takes up to 3 s, so tests that need no server of their
 * own share one.
 */
static void
set_up_shared(void)
{
    if (fake.server == NULL) {
        set_up(64);
        pthread_create(&loop_thread, NULL, run_loop, fake.loop);
    }
    atomic_store(&handled, 0);
}

static void
tear_down(bool loop_started)
{
    atomic_store(&fake.draining, true);
    if (!loop_started) {
        FvLoop_Free(fake.loop); /* answers what is left in the ring */
    }
    FvHttpServer_Free(fake.server);
    fake.server = NULL;
    if (loop_started) {
        FvLoop_Stop(fake.loop);
        pthread_join(loop_thread, NULL);
        FvLoop_Free(fake.loop);
    }
}

static void
pause_ms(int64_t ms)
{
    struct timespec pause = {.tv_sec = ms / 1000,
                             .tv_nsec = ms % 1000 * Fv_NS_PER_MS};

    nanosleep(&pause, NULL);
}

static void
wait_for_handled(int count)
{
    int64_t give_up_ms = FvClock_NowMs() + 5000;

    while (atomic_load(&handled) < count && FvClock_NowMs() < give_up_ms) {
        pause_ms(5);
    }
    CU_ASSERT_TRUE(atomic_load(&handled) >= count);
}

static void
expect(const char *request, int status, const char *text)
{
    fv_buffer_t response = {0};
    int got = FvHttpSocket_Exchange(test_port, request, &response);

    CU_ASSERT_EQUAL(got, status);
    CU_ASSERT_PTR_NOT_NULL(response.data);
    if (response.data != NULL && text != NULL) {
        CU_ASSERT_PTR_NOT_NULL(strstr((char *)response.data, text));
    }
    if (got != status) {
        printf("\n  expected %d, got %d: %s", status, got,
               response.data ? (char *)response.data : "nothing");
    }
    FvBuffer_Clear(&response);
}

static void
test_bad_requests(void)
{
    set_up_shared();
    expect("POST /v1/jobs HTTP/1.1\r\nContent-Length: 2\r\n" HEAD_END "{}",
           401, "application/problem+json");
    expect("POST /v1/jobs HTTP/1.1\r\nAuthorization: Bearer bad\r\n"
           "Content-Length: 2\r\n" HEAD_END "{}",
           401, "WWW-Authenticate: Bearer");
    expect("POST /v1/jobs HTTP/1.1\r\nAuthorization: Basic good\r\n"
           "Content-Length: 2\r\n" HEAD_END "{}",
           401, NULL);
    expect("POST /v1/jobs HTTP/1.1\r\n" TOKEN "Content-Length: 9\r\n" HEAD_END
           "{\"a\": 1,,",
           400, "malformed JSON at line 1");
    expect("POST /v1/jobs HTTP/1.1\r\n" TOKEN "Content-Length: 13\r\n" HEAD_END
           "{\"a\":1,\"a\":2}",
           400, "malformed JSON");
    expect("POST /v1/jobs HTTP/1.1\r\n" TOKEN "Content-Length: 3\r\n" HEAD_END
           "[1]",
           400, "must be a JSON object");
    expect("POST /v1/jobs HTTP/1.1\r\n" TOKEN
           "Idempotency-Key: a/b\r\nContent-Length: 2\r\n" HEAD_END "{}",
           400, "Idempotency-Key must be");
    expect("GET /v1/jobs/a?wait_ms=soon HTTP/1.1\r\n" TOKEN HEAD_END, 400,
           "wait_ms");
    expect("GET /v1/nothing HTTP/1.1\r\n" TOKEN HEAD_END, 404, NULL);
    expect("GET /v1/jobs/a%2Fb HTTP/1.1\r\n" TOKEN HEAD_END, 404, NULL);
    expect("GET /v1/jobs/a%00b HTTP/1.1\r\n" TOKEN HEAD_END, 404, NULL);
    expect("DELETE /v1/jobs HTTP/1.1\r\n" TOKEN HEAD_END, 405, "Allow: POST");
    expect("POST /health HTTP/1.1\r\nContent-Length: 0\r\n" HEAD_END, 405,
           "Allow: GET");
    expect("complete nonsense\r\n\r\n", 400, NULL);
    CU_ASSERT_EQUAL(atomic_load(&handled), 0);
}

static void
test_good_request(void)
{
    set_up_shared();
    expect(
        "POST /v1/jobs HTTP/1.1\r\n" TOKEN
        "Idempotency-Key: k-1\r\nContent-Length: 7\r\n" HEAD_END "{\"a\":1}",
        200, "{\"member\":\"member-a\",\"key\":\"k-1\",\"body\":{\"a\":1}}");
    expect("POST /v1/jobs HTTP/1.1\r\n" TOKEN
           "Transfer-Encoding: chunked\r\n" HEAD_END
           "3\r\n{\"a\r\n4\r\n\":1}\r\n0\r\n\r\n",
           200, "\"body\":{\"a\":1}");
    expect("GET /health HTTP/1.1\r\n" HEAD_END, 200, "ok");
    expect("GET /ready HTTP/1.1\r\n" HEAD_END, 200, "ready");
    expect("GET /metrics HTTP/1.1\r\n" HEAD_END, 200,
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
    set_up_shared();
    expect("POST /v1/jobs HTTP/1.1\r\n" TOKEN
           "Content-Length: 600000\r\n" HEAD_END,
           413, "exceeds 524288 bytes");
    expect(request, 413, "exceeds 524288 bytes");
    expect("POST /v1/jobs HTTP/1.1\r\n" TOKEN "Content-Length: -5\r\n" HEAD_END
           "{}",
           400, NULL);
    CU_ASSERT_EQUAL(atomic_load(&handled), 0);
    free(request);
}

static void
test_slow_sender(void)
{
    int64_t start_ms = FvClock_NowMs();

    set_up_shared();
    expect("POST /v1/jobs HTTP/1.1\r\n" TOKEN
           "Content-Length: 100\r\n" HEAD_END "{\"a\":",
           408, "did not arrive in time");
    CU_ASSERT_TRUE(FvClock_NowMs() - start_ms < 8000);
    CU_ASSERT_EQUAL(atomic_load(&handled), 0);
}

static void
test_trickling_sender(void)
{
    int64_t start_ms = FvClock_NowMs();
    fv_buffer_t response = {0};
    int fd;

    set_up_shared();
    fd = FvHttpSocket_Connect(test_port);
    FvHttpSocket_Send(fd, "POST /v1/jobs HTTP/1.1\r\n" TOKEN
                          "Content-Length: 1000\r\n" HEAD_END);
    for (int i = 0; i < 150 && FvHttpSocket_Send(fd, " "); i++) {
        pause_ms(100);
    }
    FvHttpSocket_ReadAll(fd, &response);
    CU_ASSERT_TRUE(FvClock_NowMs() - start_ms < 15000);
    CU_ASSERT_EQUAL(atomic_load(&handled), 0);
    FvBuffer_Clear(&response);
    close(fd);
}

static void
test_half_open_connections(void)
{
    int sockets[Fv_TEST_THREADS * 2];
    int64_t start_ms;

    set_up_shared();
    for (int i = 0; i < Fv_TEST_THREADS * 2; i++) {
        sockets[i] = FvHttpSocket_Connect(test_port);
        CU_ASSERT_TRUE(sockets[i] >= 0);
        FvHttpSocket_Send(sockets[i], i % 2 ? "GET /v1/jo" : "");
    }
    start_ms = FvClock_NowMs();
    expect("GET /v1/jobs/a HTTP/1.1\r\n" TOKEN HEAD_END, 200, NULL);
    /* Two rounds of timeouts free the threads, each in 2 s. */
    CU_ASSERT_TRUE(FvClock_NowMs() - start_ms < 9000);
    for (int i = 0; i < Fv_TEST_THREADS * 2; i++) {
        close(sockets[i]);
    }
}

static void *
request_many(void *context)
{
    atomic_int *served = context;

    for (int i = 0; i < 10; i++) {
        fv_buffer_t response = {0};

        if (FvHttpSocket_Exchange(test_port,
                                  "GET /v1/jobs/a HTTP/1.1\r\n" TOKEN HEAD_END,
                                  &response) == 200) {
            atomic_fetch_add(served, 1);
        }
        FvBuffer_Clear(&response);
    }
    return NULL;
}

static void
test_too_many_connections(void)
{
    pthread_t threads[60];
    atomic_int served = 0;

    set_up_shared();
    for (int i = 0; i < 60; i++) {
        pthread_create(&threads[i], NULL, request_many, &served);
    }
    for (int i = 0; i < 60; i++) {
        pthread_join(threads[i], NULL);
    }
    CU_ASSERT_EQUAL(atomic_load(&served), 600);
}

static void
test_idle_connections(void)
{
    int sockets[Fv_TEST_THREADS * 2];
    char part[1024];
    int64_t start_ms;

    set_up_shared();
    for (int i = 0; i < Fv_TEST_THREADS * 2; i++) {
        sockets[i] = FvHttpSocket_Connect(test_port);
        FvHttpSocket_Send(sockets[i], "GET /v1/jobs/a HTTP/1.1\r\n" TOKEN
                                      "Connection: keep-alive\r\n\r\n");
        CU_ASSERT_TRUE(read(sockets[i], part, sizeof(part)) > 0);
    }
    start_ms = FvClock_NowMs();
    expect("GET /v1/jobs/a HTTP/1.1\r\n" TOKEN HEAD_END, 200, NULL);
    CU_ASSERT_TRUE(FvClock_NowMs() - start_ms < 1000);
    for (int i = 0; i < Fv_TEST_THREADS * 2; i++) {
        close(sockets[i]);
    }
}

static void
test_full_ring(void)
{
    int first;

    if (fake.server != NULL) {
        tear_down(true);
    }
    set_up(1); /* the loop is not running, so one request fills the ring */
    first = FvHttpSocket_Connect(test_port);
    FvHttpSocket_Send(first, "GET /v1/jobs/a HTTP/1.1\r\n" TOKEN HEAD_END);
    pause_ms(300);
    expect("GET /v1/jobs/b HTTP/1.1\r\n" TOKEN HEAD_END, 503,
           "\"retry_after_ms\":500");
    tear_down(false);
    close(first);
}

static void
test_draining_and_no_config(void)
{
    const char *submit = "POST /v1/jobs HTTP/1.1\r\n" TOKEN
                         "Content-Length: 2\r\n" HEAD_END "{}";

    set_up_shared();
    fake_version = 0;
    expect(submit, 503, "no configuration");
    fake_version = 1;
    atomic_store(&fake.draining, true);
    expect(submit, 503, "shutting down");
    expect("GET /v1/jobs/a HTTP/1.1\r\n" TOKEN HEAD_END, 200, NULL);
    expect("GET /ready HTTP/1.1\r\n" HEAD_END, 503, NULL);
    expect("GET /health HTTP/1.1\r\n" HEAD_END, 200, NULL);
    tear_down(true);
}

static void
test_large_answer(void)
{
    fv_buffer_t response = {0};
    const char *body;

    set_up_shared();
    CU_ASSERT_EQUAL(FvHttpSocket_Exchange(
                        test_port,
                        "GET /v1/jobs/a/answer HTTP/1.1\r\n" TOKEN HEAD_END,
                        &response),
                    200);
    body = response.data != NULL ? strstr((char *)response.data, "\r\n\r\n")
                                 : NULL;
    CU_ASSERT_PTR_NOT_NULL(body);
    if (body != NULL) {
        CU_ASSERT_EQUAL(strspn(body + 4, "x"), Fv_BIG_ANSWER_BYTES);
        CU_ASSERT_EQUAL(strlen(body + 4), Fv_BIG_ANSWER_BYTES);
    }
    FvBuffer_Clear(&response);
}

/* The address sanitizer reports the ticket when it leaks. */
static void
test_vanished_caller(void)
{
    int fd;

    set_up_shared();
    fd = FvHttpSocket_Connect(test_port);
    FvHttpSocket_Send(fd, "GET /v1/jobs/held?wait_ms=60000 HTTP/1.1\r\n" TOKEN
                          "\r\n");
    wait_for_handled(1);
    close(fd);
    pause_ms(100);
    CU_ASSERT_EQUAL(atomic_load(&held_count), 1);
    answer_held();
    expect("GET /v1/jobs/a HTTP/1.1\r\n" TOKEN HEAD_END, 200, NULL);
}

static void *
release_held(void *context)
{
    (void)context;
    pause_ms(300);
    answer_held();
    return NULL;
}

static void
test_stop_with_request_in_flight(void)
{
    fv_buffer_t response = {0};
    pthread_t releaser;
    int fd;

    set_up_shared();
    fd = FvHttpSocket_Connect(test_port);
    FvHttpSocket_Send(fd, "GET /v1/jobs/held?wait_ms=9000 HTTP/1.1\r\n" TOKEN
                          "\r\n");
    wait_for_handled(1);
    pthread_create(&releaser, NULL, release_held, NULL);
    tear_down(true);
    CU_ASSERT_EQUAL(FvHttpSocket_ReadAll(fd, &response), 200);
    CU_ASSERT_TRUE(response.data != NULL &&
                   strstr((char *)response.data, "\"late\":\"yes\""));
    pthread_join(releaser, NULL);
    FvBuffer_Clear(&response);
    close(fd);
}

static void
test_long_polls_leave_threads(void)
{
    int sockets[Fv_TEST_THREADS];
    int64_t start_ms;

    set_up_shared();
    for (int i = 0; i < Fv_TEST_THREADS; i++) {
        sockets[i] = FvHttpSocket_Connect(test_port);
        FvHttpSocket_Send(sockets[i],
                          "GET /v1/jobs/held?wait_ms=60000 HTTP/1.1\r\n" TOKEN
                          "\r\n");
    }
    wait_for_handled(Fv_TEST_THREADS);
    start_ms = FvClock_NowMs();
    expect("GET /v1/jobs/a HTTP/1.1\r\n" TOKEN HEAD_END, 200, NULL);
    CU_ASSERT_TRUE(FvClock_NowMs() - start_ms < 1000);
    CU_ASSERT_EQUAL(atomic_load(&held_count), Fv_TEST_THREADS / 2);
    tear_down(true); /* gives up on the held polls */
    answer_held();   /* too late, and must do no harm */
    for (int i = 0; i < Fv_TEST_THREADS; i++) {
        close(sockets[i]);
    }
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a bad request reaches a handler", test_bad_requests},
        {"a good request is refused or altered", test_good_request},
        {"an oversized body is read into memory", test_oversized_body},
        {"a slow sender keeps its thread", test_slow_sender},
        {"a trickling sender keeps its thread", test_trickling_sender},
        {"half-open connections block callers", test_half_open_connections},
        {"more callers than threads are refused", test_too_many_connections},
        {"idle connections block callers", test_idle_connections},
        {"a full ring blocks a caller", test_full_ring},
        {"work is accepted in a drain or without a configuration",
         test_draining_and_no_config},
        {"a large answer is cut", test_large_answer},
        {"a vanished caller leaks its ticket", test_vanished_caller},
        {"a stop cuts off a response", test_stop_with_request_in_flight},
        {"long polls block other callers", test_long_polls_leave_threads},
    };

    return Fv_RUN_SUITE("http_server", cases);
}
