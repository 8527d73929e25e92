/*
 * Limits of callers' connections: a caller within the limits of the pages must
 * never meet one, and among those beyond them the right one must give way.
 */

#include "caller-limits.h"

#include "caller-connection.h"
#include "suite.h"

#include <string.h>
#include <utlist.h>

#define NOW_MS INT64_C(1000000)
#define SMALL_HOST_MB 120
#define SMALL_HOST_DESCRIPTORS (3075 - 200)
#define MB INT64_C(1048576)

static const fv_caller_settings_t defaults = {.header_ms = 6000,
                                              .body_ms = 30000,
                                              .unread_ms = 15000,
                                              .idle_ms = 30000,
                                              .read_ahead_kb = 16};

static fv_caller_limits_t
derive(double memory_mb, int64_t descriptors)
{
    fv_caller_limits_t limits;

    FvCallerLimits_Derive(&limits, &defaults, memory_mb, descriptors);
    return limits;
}

/* Feeds text in pieces as a slow network would. */
static void
receive(fv_caller_facts_t *facts, const char *text, size_t piece,
        int64_t now_ms)
{
    size_t length = strlen(text);

    for (size_t at = 0; at < length; at += piece) {
        FvCallerFacts_Received(facts, now_ms);
        FvCallerFacts_ScanHeader(facts, text + at,
                                 length - at < piece ? length - at : piece);
    }
}

static fv_caller_facts_t
idle_since(int64_t since_ms)
{
    return (fv_caller_facts_t){.idle_since_ms = since_ms};
}

static fv_caller_facts_t
receiving_since(int64_t since_ms, fv_caller_peer_t *peer)
{
    return (fv_caller_facts_t){.request_since_ms = since_ms, .peer = peer};
}

static fv_caller_facts_t
answering_since(int64_t since_ms)
{
    return (fv_caller_facts_t){
        .answering = true, .output_bytes = 10, .output_progress_ms = since_ms};
}

static fv_caller_facts_t
handling(void)
{
    return (fv_caller_facts_t){.handling = true, .request_since_ms = 1};
}

static fv_caller_facts_t *
find_victim(fv_caller_facts_t *facts, int count, fv_caller_cause_t cause)
{
    fv_caller_facts_t *first = NULL;

    for (int i = 0; i < count; i++) {
        DL_PREPEND(first, &facts[i]);
    }
    return FvCallerLimits_FindVictim(first,
                                     cause == Fv_CALLER_CAUSE_MEMORY
                                         ? Fv_CALLER_PORT_COUNT
                                         : Fv_CALLER_PORT_CALLERS,
                                     cause, NOW_MS);
}

/* Guards against a host that has no room for several hundred callers, or gives
 * them more than it has. */
static void
test_small_host(void)
{
    fv_caller_limits_t limits = derive(SMALL_HOST_MB, SMALL_HOST_DESCRIPTORS);
    fv_caller_facts_t none = {0};

    CU_ASSERT(limits.connections_max[Fv_CALLER_PORT_CALLERS] >= 400);
    CU_ASSERT(limits.connections_max[Fv_CALLER_PORT_READY] >= 16);
    CU_ASSERT_EQUAL(limits.memory_max_bytes, SMALL_HOST_MB * MB / 4);
    CU_ASSERT((int64_t)(FvCallerLimits_Connections(&limits) - 3) *
                  FvCallerFacts_Bytes(&none) <=
              limits.memory_max_bytes * 3 / 4);
    /* Outgoing calls of a leader of 350 workers, and 1/16 for other hosts. */
    CU_ASSERT(FvCallerLimits_Connections(&limits) +
                  SMALL_HOST_DESCRIPTORS / 16 + 350 * 4 + 64 <
              SMALL_HOST_DESCRIPTORS);
}

static void
test_descriptors_bound_connections(void)
{
    fv_caller_limits_t limits = derive(512, 824);

    CU_ASSERT(FvCallerLimits_Connections(&limits) <= 824 * 3 / 16 + 3);
    CU_ASSERT(limits.connections_max[Fv_CALLER_PORT_CALLERS] > 100);
    limits = derive(512, 56);
    CU_ASSERT_EQUAL(limits.connections_max[Fv_CALLER_PORT_CALLERS], 8);
    CU_ASSERT_EQUAL(limits.connections_max[Fv_CALLER_PORT_READY], 4);
}

static void
test_settings_apply(void)
{
    fv_caller_settings_t settings = defaults;
    fv_caller_limits_t limits;

    settings.connections_max = 33;
    settings.memory_mb = 5;
    FvCallerLimits_Derive(&limits, &settings, SMALL_HOST_MB,
                          SMALL_HOST_DESCRIPTORS);
    CU_ASSERT_EQUAL(limits.connections_max[Fv_CALLER_PORT_CALLERS], 33);
    CU_ASSERT_EQUAL(limits.memory_max_bytes, 5 * MB);
}

/* Guards against a request that is cut although it is within the limits:
 * 16,384 bytes of header in two-byte lines and 262,144 of body, in pieces of
 * 500 bytes, for its whole deadline of 3,000 ms. */
static void
test_largest_request(void)
{
    static char header[Fv_HEADERS_MAX_BYTES + 1];
    static char body[Fv_BODY_MAX_BYTES + 1];
    fv_caller_limits_t limits = derive(SMALL_HOST_MB, SMALL_HOST_DESCRIPTORS);
    fv_caller_facts_t facts = {0};

    for (size_t i = 0; i + 4 <= Fv_HEADERS_MAX_BYTES; i += 4) {
        header[i] = 'a';
        header[i + 1] = ':';
        header[i + 2] = i + 4 == Fv_HEADERS_MAX_BYTES ? '\n' : 'b';
        header[i + 3] = '\n';
    }
    memset(body, '\n', sizeof(body) - 1);
    receive(&facts, header, 500, NOW_MS - 3000);
    CU_ASSERT_TRUE(facts.header_read);
    receive(&facts, body, 500, NOW_MS);
    CU_ASSERT_EQUAL(facts.request_bytes,
                    Fv_HEADERS_MAX_BYTES + Fv_BODY_MAX_BYTES);
    CU_ASSERT(facts.header_lines <= Fv_HEADERS_MAX_BYTES / 4);
    CU_ASSERT_EQUAL(FvCallerLimits_Check(&limits, &facts, NOW_MS),
                    Fv_CALLER_CAUSE_NONE);
    CU_ASSERT(FvCallerFacts_Bytes(&facts) < limits.memory_max_bytes / 25);
}

static void
test_header_end_is_found(void)
{
    static const char request[] =
        "\r\nPOST / HTTP/1.1\r\nHost: a\r\n\r\nx\n\ny";

    for (size_t piece = 1; piece <= sizeof(request); piece++) {
        fv_caller_facts_t facts = {0};

        receive(&facts, request, piece, NOW_MS);
        CU_ASSERT_TRUE(facts.header_read);
        CU_ASSERT_EQUAL(facts.header_lines, 2);
    }
}

static void
test_slow_requests(void)
{
    fv_caller_limits_t limits = derive(SMALL_HOST_MB, SMALL_HOST_DESCRIPTORS);
    fv_caller_facts_t facts = {0};

    receive(&facts, "GET / HTTP/1.1\r\n", 1, NOW_MS);
    CU_ASSERT_EQUAL(FvCallerLimits_Check(&limits, &facts, NOW_MS + 5999),
                    Fv_CALLER_CAUSE_NONE);
    CU_ASSERT_EQUAL(FvCallerLimits_Check(&limits, &facts, NOW_MS + 6000),
                    Fv_CALLER_CAUSE_HEADER);
    FvCallerFacts_Forgive(&facts, 6000);
    CU_ASSERT_EQUAL(FvCallerLimits_Check(&limits, &facts, NOW_MS + 6000),
                    Fv_CALLER_CAUSE_NONE);
    receive(&facts, "Content-Length: 9\r\n\r\n", 1, NOW_MS + 6000);
    CU_ASSERT_EQUAL(FvCallerLimits_Check(&limits, &facts, NOW_MS + 41999),
                    Fv_CALLER_CAUSE_NONE);
    CU_ASSERT_EQUAL(FvCallerLimits_Check(&limits, &facts, NOW_MS + 42000),
                    Fv_CALLER_CAUSE_BODY);
}

/* Guards against memory that is not counted: that of header lines, and of the
 * pieces of a body in chunks. */
static void
test_counted_memory(void)
{
    fv_caller_facts_t facts = {0};
    int64_t before = FvCallerFacts_Bytes(&facts);

    receive(&facts, "POST / HTTP/1.1\r\n", 100, NOW_MS);
    FvCallerFacts_InputTaken(&facts);
    for (int i = 0; i < 1000; i++) {
        receive(&facts, "a:b\n", 4, NOW_MS);
        FvCallerFacts_InputTaken(&facts);
    }
    CU_ASSERT(FvCallerFacts_Bytes(&facts) - before > 1000 * 100);
    CU_ASSERT(FvCallerFacts_Bytes(&facts) - before < 1000 * 130);
    receive(&facts, "\r\n", 2, NOW_MS);
    before = FvCallerFacts_Bytes(&facts);
    for (int i = 0; i < 1000; i++) {
        receive(&facts, "x", 1, NOW_MS);
        FvCallerFacts_InputTaken(&facts);
    }
    CU_ASSERT(FvCallerFacts_Bytes(&facts) - before > 1000 * 1024);
    FvCallerFacts_Answered(&facts, NOW_MS);
    CU_ASSERT_EQUAL(FvCallerFacts_Bytes(&facts),
                    FvCallerFacts_Bytes(&(fv_caller_facts_t){0}));
}

static void
test_states(void)
{
    fv_caller_facts_t facts = idle_since(NOW_MS);

    CU_ASSERT_EQUAL(FvCallerFacts_State(&facts), Fv_CALLER_IDLE);
    receive(&facts, "GET / HTTP/1.1\r\n\r\n", 100, NOW_MS);
    CU_ASSERT_EQUAL(FvCallerFacts_State(&facts), Fv_CALLER_RECEIVING);
    FvCallerFacts_RequestRead(&facts);
    CU_ASSERT_EQUAL(FvCallerFacts_State(&facts), Fv_CALLER_HANDLING);
    FvCallerFacts_OutputChanged(&facts, 100, NOW_MS);
    CU_ASSERT_EQUAL(FvCallerFacts_State(&facts), Fv_CALLER_ANSWERING);
    FvCallerFacts_OutputChanged(&facts, 0, NOW_MS);
    FvCallerFacts_Answered(&facts, NOW_MS + 1);
    CU_ASSERT_EQUAL(FvCallerFacts_State(&facts), Fv_CALLER_IDLE);
    CU_ASSERT_EQUAL(facts.idle_since_ms, NOW_MS + 1);
    CU_ASSERT_EQUAL(facts.request_bytes, 0);
    CU_ASSERT_FALSE(facts.header_read);
}

/* Guards against a caller that reads slowly being taken for one that does not
 * read. */
static void
test_unread_answers(void)
{
    fv_caller_limits_t limits = derive(SMALL_HOST_MB, SMALL_HOST_DESCRIPTORS);
    fv_caller_facts_t facts = answering_since(NOW_MS);

    CU_ASSERT_EQUAL(FvCallerLimits_Check(&limits, &facts, NOW_MS + 14999),
                    Fv_CALLER_CAUSE_NONE);
    FvCallerFacts_OutputChanged(&facts, 9, NOW_MS + 14999);
    CU_ASSERT_EQUAL(FvCallerLimits_Check(&limits, &facts, NOW_MS + 15000),
                    Fv_CALLER_CAUSE_NONE);
    CU_ASSERT_EQUAL(FvCallerLimits_Check(&limits, &facts, NOW_MS + 30000),
                    Fv_CALLER_CAUSE_UNREAD);
}

/* Guards against a request that was read in whole and ends without an answer
 * because of a limit. */
static void
test_handled_requests_stay(void)
{
    fv_caller_limits_t limits = derive(SMALL_HOST_MB, SMALL_HOST_DESCRIPTORS);
    fv_caller_facts_t facts[] = {handling(), handling(),
                                 answering_since(NOW_MS - 999)};

    CU_ASSERT_EQUAL(FvCallerLimits_Check(&limits, &facts[0], NOW_MS * 2),
                    Fv_CALLER_CAUSE_NONE);
    CU_ASSERT_PTR_NULL(find_victim(facts, 3, Fv_CALLER_CAUSE_CONNECTIONS));
    CU_ASSERT_PTR_NULL(find_victim(facts, 3, Fv_CALLER_CAUSE_MEMORY));
}

static void
test_order_of_victims(void)
{
    fv_caller_peer_t few = {.connections = 2, .bytes = 900};
    fv_caller_peer_t many = {.connections = 9, .bytes = 100};
    fv_caller_facts_t facts[] = {
        handling(),
        idle_since(NOW_MS - 5),
        idle_since(NOW_MS - 7),
        receiving_since(NOW_MS - 4000, &few),
        receiving_since(NOW_MS - 3000, &many),
        receiving_since(NOW_MS - 2000, &many),
        answering_since(NOW_MS - 1000),
    };

    CU_ASSERT_PTR_EQUAL(find_victim(facts, 7, Fv_CALLER_CAUSE_CONNECTIONS),
                        &facts[6]);
    CU_ASSERT_PTR_EQUAL(find_victim(facts, 6, Fv_CALLER_CAUSE_CONNECTIONS),
                        &facts[2]);
    facts[1] = handling();
    facts[2] = handling();
    CU_ASSERT_PTR_EQUAL(find_victim(facts, 6, Fv_CALLER_CAUSE_CONNECTIONS),
                        &facts[4]);
    CU_ASSERT_PTR_EQUAL(find_victim(facts, 6, Fv_CALLER_CAUSE_MEMORY),
                        &facts[3]);
}

/* Guards against a burst of callers that displace each other while their
 * requests arrive; memory cannot wait for them. */
static void
test_fresh_requests_stay(void)
{
    fv_caller_peer_t peer = {.connections = 2};
    fv_caller_facts_t facts[] = {receiving_since(NOW_MS - 999, &peer),
                                 receiving_since(NOW_MS - 500, &peer)};

    CU_ASSERT_PTR_NULL(find_victim(facts, 2, Fv_CALLER_CAUSE_CONNECTIONS));
    CU_ASSERT_PTR_EQUAL(find_victim(facts, 2, Fv_CALLER_CAUSE_MEMORY),
                        &facts[0]);
}

/* Guards against an answer that is lost on its way since a part of the next
 * request has come and its connection is closed. */
static void
test_answer_on_its_way(void)
{
    fv_caller_facts_t facts[] = {receiving_since(NOW_MS - 5, NULL),
                                 receiving_since(NOW_MS - 4, NULL)};

    facts[0].idle_since_ms = NOW_MS - 6;
    facts[1].idle_since_ms = NOW_MS - 1000;
    CU_ASSERT_TRUE(FvCallerFacts_Spare(&facts[0], NOW_MS));
    CU_ASSERT_FALSE(FvCallerFacts_Spare(&facts[1], NOW_MS));
    CU_ASSERT_PTR_EQUAL(find_victim(facts, 2, Fv_CALLER_CAUSE_MEMORY),
                        &facts[1]);
    CU_ASSERT_PTR_NULL(find_victim(facts, 1, Fv_CALLER_CAUSE_MEMORY));
}

/* Guards against callers that take the balancer's connections. */
static void
test_ports_are_apart(void)
{
    fv_caller_peer_t peer = {.connections = 2};
    fv_caller_facts_t facts[] = {idle_since(NOW_MS - 100),
                                 receiving_since(NOW_MS - 10, &peer)};

    facts[0].port = Fv_CALLER_PORT_READY;
    CU_ASSERT_PTR_NULL(find_victim(facts, 2, Fv_CALLER_CAUSE_CONNECTIONS));
    CU_ASSERT_PTR_EQUAL(find_victim(facts, 2, Fv_CALLER_CAUSE_MEMORY),
                        &facts[1]);
    CU_ASSERT_PTR_EQUAL(find_victim(facts, 1, Fv_CALLER_CAUSE_MEMORY),
                        &facts[0]);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"a small host has room for few callers, or none left",
         test_small_host},
        {"callers take the descriptors of others",
         test_descriptors_bound_connections},
        {"a set limit is left out", test_settings_apply},
        {"a request within the limits is cut", test_largest_request},
        {"the end of a header is missed", test_header_end_is_found},
        {"a slow request goes on for good", test_slow_requests},
        {"memory of a request is not counted", test_counted_memory},
        {"a connection is taken for another state", test_states},
        {"a slow reader is taken for one that does not read",
         test_unread_answers},
        {"a request that was read in whole loses its connection",
         test_handled_requests_stay},
        {"the wrong connection gives way", test_order_of_victims},
        {"arriving requests displace each other", test_fresh_requests_stay},
        {"an answer is lost on its way", test_answer_on_its_way},
        {"callers displace the balancer's checks", test_ports_are_apart},
    };

    return Fv_RUN_SUITE("caller_limits", cases);
}
