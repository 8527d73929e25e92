/*
 * Guards against splits of the platform stand-in that cut off too little or
 * too much: tests of split cells would then test nothing, or show faults of
 * the stand-in as those of the hosts.
 */

#include "entry-cell.h"
#include "fake-server.h"
#include "http-call.h"
#include "kept-connection.h"
#include "suite.h"

#include <string.h>

#define LEADER_MS 10000
#define SILENT_MS 300
#define ANSWER_MS 2000
#define LEADER_KEY "fireflyvalve/control/leader"

static entry_cell_t cell;
static int leader;

static int
call(const char *address, const char *path, const char *body)
{
    char url[256];
    http_reply_t reply;
    int status;

    snprintf(url, sizeof(url), "http://%s%s", address, path);
    FvHttp_Run(&(http_call_t){.url = url,
                              .body = body,
                              .body_length = body != NULL ? strlen(body) : 0,
                              .timeout_ms = SILENT_MS},
               &reply);
    status = reply.status;
    FvHttp_FreeReply(&reply);
    return status;
}

static int
call_route(int host, entry_route_t kind)
{
    char address[64];

    FvEntryCell_Route(&cell, host, kind, address, sizeof(address));
    return kind == ENTRY_ROUTE_STORE
               ? call(address, "/kv-key?key=" LEADER_KEY, NULL)
               : call(address, "/advise", "{\"step\":\"s\",\"workers\":[]}");
}

static json_t *
read_key(const char *key)
{
    char url[256];

    snprintf(url, sizeof(url), "http://127.0.0.1:%d/kv-key?key=%s", cell.port,
             key);
    return FvHttp_GetJson(url);
}

static int64_t
leader_token(void)
{
    json_t *item = read_key(LEADER_KEY);
    int64_t token = FvJson_Int(item, "created", 0);

    json_decref(item);
    return token;
}

/* The body of an order that the worker answers at once. */
static void
build_stop(char *body, size_t size, int64_t token)
{
    snprintf(body, size, "{\"fencingToken\":%lld,\"task\":\"t\",\"runId\":1}",
             (long long)token);
}

static int
order(int worker, int64_t token)
{
    char address[64];
    char body[128];

    snprintf(address, sizeof(address), "127.0.0.1:%d", cell.port + 3 + worker);
    build_stop(body, sizeof(body), token);
    return call(address, "/run-stop", body);
}

static int64_t
count_stops(void)
{
    json_t *report = FvEntryCell_Report(&cell);
    int64_t count = FvJson_Int(report, "stops", -1);

    json_decref(report);
    return count;
}

static void
open_cell(void)
{
    CU_ASSERT_TRUE_FATAL(FvEntryCell_Start(
        &cell, &(entry_cell_options_t){.name = "fake-split-test",
                                       .hosts = 3,
                                       .workers = 2,
                                       .splits = true}));
    CU_ASSERT_TRUE_FATAL(FvEntryCell_WaitReady(&cell, LEADER_MS));
    leader = FvEntryCell_WaitLeader(&cell, -1, LEADER_MS);
    CU_ASSERT_TRUE_FATAL(leader >= 0);
}

/* Everything is reached on its own side, and nothing on the other one. */
static void
test_both_directions(void)
{
    entry_split_t split = {.advice = true};
    int other = (leader + 1) % 3;
    int64_t token = leader_token();

    split.hosts[other] = true;
    split.workers[1] = true;
    CU_ASSERT_TRUE(FvEntryCell_Split(&cell, &split));
    CU_ASSERT_EQUAL(call_route(leader, ENTRY_ROUTE_STORE), 200);
    CU_ASSERT_EQUAL(call_route(leader, ENTRY_ROUTE_ADVICE), 0);
    CU_ASSERT_EQUAL(call_route(other, ENTRY_ROUTE_STORE), 0);
    CU_ASSERT_EQUAL(call_route(other, ENTRY_ROUTE_ADVICE), 200);
    CU_ASSERT_EQUAL(order(0, token), 200);
    CU_ASSERT_EQUAL(order(1, token), 0);
    CU_ASSERT_EQUAL(order(1, 0), 409); /* no leader's token */
    CU_ASSERT_TRUE(FvEntryCell_Split(&cell, NULL));
    CU_ASSERT_EQUAL(call_route(leader, ENTRY_ROUTE_ADVICE), 200);
    CU_ASSERT_EQUAL(call_route(other, ENTRY_ROUTE_STORE), 200);
}

/* A call on a connection from before the split is neither answered nor reset,
 * and goes on after the split. */
static void
test_open_connection(void)
{
    entry_split_t split = {0};
    kept_connection_t connection;
    kept_answer_t answer;
    char body[128];

    split.workers[0] = true;
    build_stop(body, sizeof(body), leader_token());
    CU_ASSERT_TRUE_FATAL(FvKept_Open(&connection, cell.port + 3));
    CU_ASSERT_TRUE(FvEntryCell_Split(&cell, &split));
    CU_ASSERT_TRUE(FvKept_Send(&connection, "POST", "/run-stop", body));
    CU_ASSERT_EQUAL(FvKept_Receive(&connection, SILENT_MS, &answer),
                    KEPT_TIMED_OUT);
    CU_ASSERT_TRUE(FvEntryCell_Split(&cell, NULL));
    CU_ASSERT_EQUAL(FvKept_Receive(&connection, ANSWER_MS, &answer),
                    KEPT_ANSWERED);
    FvKept_Close(&connection);
}

/* Requests arrive and answers do not, or the reverse. */
static void
test_one_direction(void)
{
    entry_split_t split = {.from_first_arrives = true};
    int64_t token = leader_token();
    int64_t stops = count_stops();

    split.workers[0] = true;
    CU_ASSERT_TRUE(FvEntryCell_Split(&cell, &split));
    CU_ASSERT_EQUAL(order(0, token), 0);
    CU_ASSERT_EQUAL(count_stops(), stops + 1);
    split.from_first_arrives = false;
    split.from_second_arrives = true;
    CU_ASSERT_TRUE(FvEntryCell_Split(&cell, &split));
    CU_ASSERT_EQUAL(order(0, token), 0);
    CU_ASSERT_EQUAL(count_stops(), stops + 1);
    CU_ASSERT_TRUE(FvEntryCell_Split(&cell, NULL));
}

/* The leader's heartbeats reach the hosts of its side only. */
static void
test_links(void)
{
    entry_split_t split = {0};
    int other = (leader + 1) % 3;
    int near = (leader + 2) % 3;

    split.hosts[other] = true;
    CU_ASSERT_TRUE(FvEntryCell_Split(&cell, &split));
    CU_ASSERT_TRUE(FvEntryCell_WaitLog(&cell, other, "event=leader_link_lost",
                                       LEADER_MS));
    CU_ASSERT_FALSE(FvEntryCell_LogHas(&cell, near, "event=leader_link_lost"));
    CU_ASSERT_EQUAL(FvEntryCell_CountLog(&cell, other, "event=leader_linked"),
                    1);
    CU_ASSERT_TRUE(FvEntryCell_Split(&cell, NULL));
    FvFake_SleepMs(2000);
    CU_ASSERT_EQUAL(FvEntryCell_CountLog(&cell, other, "event=leader_linked"),
                    2);
}

/* Hosts take a leader for dead whose port refuses connections. */
static void
test_dead_host_refuses(void)
{
    char address[64];
    char linked[64];
    char probed[64];
    int next;

    FvEntryCell_Route(&cell, leader, ENTRY_ROUTE_LINK, address,
                      sizeof(address));
    FvProcess_Kill(&cell.hosts[leader].process);
    FvFake_SleepMs(200);
    CU_ASSERT_EQUAL(call_route(leader, ENTRY_ROUTE_STORE), 200);
    next = FvEntryCell_WaitLeader(&cell, leader, LEADER_MS);
    CU_ASSERT_TRUE_FATAL(next >= 0);
    snprintf(probed, sizeof(probed),
             "event=leader_probed leader=host-%d dead=1", leader);
    CU_ASSERT_TRUE(FvEntryCell_LogHas(&cell, next, probed));
    CU_ASSERT_TRUE(FvEntryCell_StartHost(&cell, leader));
    snprintf(linked, sizeof(linked), "event=leader_linked leader=host-%d",
             next);
    CU_ASSERT_TRUE(FvEntryCell_WaitLog(&cell, leader, linked, LEADER_MS));
    FvEntryCell_Stop(&cell);
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"the cell does not start", open_cell},
        {"a split cuts off one side's own parts, or reaches the other's",
         test_both_directions},
        {"a split ends the connections that were open", test_open_connection},
        {"a split in one direction is one in both", test_one_direction},
        {"a split reaches the links of one side, or none", test_links},
        {"the proxy before a dead host accepts connections",
         test_dead_host_refuses},
    };

    return Fv_RUN_SUITE("fake_split", cases);
}
