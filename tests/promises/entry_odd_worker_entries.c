/*
 * Another writer's odd entries among those of the workers, while hosts lead
 * and change. They name no worker to use, and the others work on.
 */

#include "entry-cell.h"
#include "fake-server.h"
#include "suite.h"

#include <stdlib.h>
#include <string.h>

#define HOSTS 3
#define WORKERS 4
#define START_MS 15000
#define JOB_MS 3000
#define LEADER_MS 8000
#define LONG_BYTES (1024 * 1024)
#define DEPTH 100000
#define WATCHED_MS 2500

static entry_cell_t cell;
static int jobs;

static void
put_entry(const char *id, const void *value, size_t length)
{
    char *encoded = FvText_EncodeBase64(value, length);
    json_t *fault = json_pack("{s:s, s:s}", "entry", id, "value", encoded);
    char *body = json_dumps(fault, JSON_COMPACT);

    CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, body));
    free(body);
    free(encoded);
    json_decref(fault);
}

static void
put_document(const char *id, const char *service, const char *address,
             const char *capacity, const char *born)
{
    char text[512];

    snprintf(text, sizeof(text),
             "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"a\","
             "\"state\":\"ready\",\"labels\":[\"a\",\"r1\"],"
             "\"capacity\":{\"cpu\":%s,\"memMb\":%s,\"gpus\":0},\"born\":%s}",
             service, address, capacity, capacity, born);
    put_entry(id, text, strlen(text));
}

static void
put_filled(const char *id, char byte, size_t length)
{
    char *value = malloc(length);

    CU_ASSERT_PTR_NOT_NULL_FATAL(value);
    if (value == NULL) {
        abort();
    }
    memset(value, byte, length);
    put_entry(id, value, length);
    free(value);
}

static void
put_odd_entries(void)
{
    char unused[64];
    char long_id[193];

    snprintf(unused, sizeof(unused), "127.0.0.1:%d",
             cell.port + ENTRY_CELL_WORKERS_MAX);
    memset(long_id, 'z', sizeof(long_id) - 1);
    long_id[sizeof(long_id) - 1] = '\0';
    put_filled("a-nested", '[', DEPTH);
    put_filled("a-long", 'x', LONG_BYTES);
    put_filled("a-bytes", '\xff', 64);
    put_entry("a-empty", "", 0);
    put_document("a-number", "app", unused, "92233720368547758070", "1");
    put_document("a-port", "app", "127.0.0.1:99999", "1", "1");
    put_document("a-port-0", "app", "127.0.0.1:0", "1", "1");
    put_document("a huge", "app", unused, "9223372036854775807", "1");
    put_document("z-huge", "app", unused, "9223372036854775807", "1");
    put_document("z-negative", "app", unused, "-9223372036854775807", "1");
    put_document("z-no-service", "", unused, "1", "1");
    put_document("z-words", "app 127.0.0.1:1", unused, "1", "1");
    put_document("z words", "app", unused, "1", "1");
    put_document("z-old", "app", "127.0.0.1:1 x", "1", "-1");
    put_document(long_id, "app", unused, "1", "1");
}

static void
submit(char *path, size_t size, int host, int tasks, int run_ms)
{
    char body[256];

    snprintf(path, size, "/slow/%016x", ++jobs);
    snprintf(
        body, sizeof(body),
        "{\"taskSpec\":\"run_ms=%d \",\"steps\":[{\"count\":%d,\"cpu\":500,"
        "\"memMb\":64,\"estimatedMs\":%d}]}",
        run_ms, tasks, run_ms);
    CU_ASSERT_EQUAL(FvEntryCell_Call(&cell, host, "POST", path, body, NULL, 0),
                    200);
}

static bool
is_completed(const char *path, int host, int64_t timeout_ms)
{
    int64_t until_ms = FvClock_NowMs() + timeout_ms;
    char state[32] = "";

    while (strcmp(state, "completed") != 0 && FvClock_NowMs() < until_ms) {
        FvEntryCell_Call(&cell, host, "GET", path, NULL, state, sizeof(state));
        FvFake_SleepMs(50);
    }
    if (strcmp(state, "completed") != 0) {
        printf("job %s: %s\n", path, state);
    }
    return strcmp(state, "completed") == 0;
}

static int
report_number(const char *name)
{
    json_t *report = FvEntryCell_Report(&cell);
    int number = (int)FvJson_Int(report, name, -1);

    json_decref(report);
    return number;
}

/* Starts on all workers but the first. */
static int
count_other_starts(void)
{
    json_t *report = FvEntryCell_Report(&cell);
    json_t *list = json_object_get(report, "worker_starts");
    int starts = 0;

    for (size_t i = 1; i < json_array_size(list); i++) {
        starts += (int)json_integer_value(json_array_get(list, i));
    }
    json_decref(report);
    return starts;
}

static bool
all_hosts_run(void)
{
    bool running = true;

    for (int i = 0; i < HOSTS; i++) {
        running = running && !FvProcess_HasExited(&cell.hosts[i].process);
    }
    return running;
}

/* The leader reads the entries with the first reading of the registry and as
 * changes of it. */
static void
test_others_work_on(void)
{
    char path[64];

    put_odd_entries();
    for (int i = 0; i < 5; i++) {
        submit(path, sizeof(path), i % HOSTS, 8, 100);
        put_odd_entries();
        CU_ASSERT_TRUE(is_completed(path, i % HOSTS, JOB_MS));
    }
    CU_ASSERT_TRUE(all_hosts_run());
}

/* A killed leader's successor reads the stored worker list. One that waits
 * for workers that do not exist starts inherited tasks 4.9 s later. */
static void
test_successor_is_not_held_up(void)
{
    char path[64];
    int leader = FvEntryCell_WaitLeader(&cell, -1, LEADER_MS);
    int64_t killed_ms;
    int successor;

    CU_ASSERT_TRUE_FATAL(leader >= 0);
    submit(path, sizeof(path), (leader + 1) % HOSTS, 8, 1500);
    FvProcess_Kill(&cell.hosts[leader].process);
    killed_ms = FvClock_NowMs();
    successor = FvEntryCell_WaitLeader(&cell, leader, LEADER_MS);
    CU_ASSERT_TRUE_FATAL(successor >= 0 && successor != leader);
    CU_ASSERT_TRUE(FvEntryCell_StartHost(&cell, leader));
    CU_ASSERT_TRUE(is_completed(path, (leader + 1) % HOSTS, LEADER_MS));
    while (!FvEntryCell_LogHas(&cell, successor, "inherited_tasks_free") &&
           FvClock_NowMs() < killed_ms + 2 * LEADER_MS) {
        FvFake_SleepMs(50);
    }
    printf("inherited tasks free %lld ms after the kill\n",
           (long long)(FvClock_NowMs() - killed_ms));
    CU_ASSERT_TRUE(FvClock_NowMs() < killed_ms + 4000);
    CU_ASSERT_TRUE(all_hosts_run());
}

/* w0 answers calls that are meant for another worker with 421. */
static void
test_unknown_service_is_not_polled(void)
{
    char address[64];
    int calls = report_number("wrong_instance_calls");

    snprintf(address, sizeof(address), "127.0.0.1:%d", cell.port + 3);
    put_document("a-stranger", "unknown", address, "8000", "1");
    FvFake_SleepMs(WATCHED_MS);
    CU_ASSERT_EQUAL(report_number("wrong_instance_calls"), calls);
}

/* The entries of all workers but the first become unreadable, or of a state
 * that is not named. A job then needs the first one twice. */
static void
test_replaced_entry_names_no_worker(void)
{
    static const char *const values[] = {
        "{\"state\":\"resting\"}",
        "{\"service\":\"app\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\","
        "\"state\":\"resting\",\"labels\":[],\"capacity\":{\"cpu\":8000,"
        "\"memMb\":16384}}"};
    char path[64];
    int starts;

    for (int i = 1; i < WORKERS; i++) {
        char text[64];

        snprintf(text, sizeof(text), "{\"silent\":%d}", i);
        CU_ASSERT_TRUE(FvEntryCell_PlatformFault(&cell, text));
        snprintf(text, sizeof(text), "w%d", i);
        put_entry(text, values[i % 2], strlen(values[i % 2]));
    }
    FvFake_SleepMs(1000);
    starts = count_other_starts();
    for (int i = 0; i < 3; i++) {
        submit(path, sizeof(path), i, 24, 50);
        CU_ASSERT_TRUE(is_completed(path, i, JOB_MS));
    }
    CU_ASSERT_EQUAL(count_other_starts(), starts);
    CU_ASSERT_EQUAL(report_number("violations"), 0);
    CU_ASSERT_TRUE(all_hosts_run());
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"an odd registry entry ends hosts or stops the others' work",
         test_others_work_on},
        {"a successor waits for workers that an odd entry made up",
         test_successor_is_not_held_up},
        {"a worker of a service that no queue names is polled",
         test_unknown_service_is_not_polled},
        {"a worker whose entry became unreadable gets tasks",
         test_replaced_entry_names_no_worker},
    };
    int failed = 1;

    if (FvEntryCell_Start(
            &cell, &(entry_cell_options_t){.name = "entry-odd-worker-entries",
                                           .hosts = HOSTS,
                                           .workers = WORKERS}) &&
        FvEntryCell_WaitReady(&cell, START_MS)) {
        failed = Fv_RUN_SUITE("odd worker entries", cases);
    }
    FvEntryCell_Stop(&cell);
    return failed;
}
