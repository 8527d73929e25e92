/*
 * Runs one case: case NAME, in the repository's root, with CASE_TMP (a
 * temporary folder) and RECORD (the file that receives the record) set.
 * TROUBLE=0 leaves the disruption out. Exits with 0 when the rule held, 1 when
 * it was broken, and 2 when the case could not run.
 */

#include "platform.h"

#include <inttypes.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

static FILE *record;
static int64_t began_ms;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static bool trouble = true;

void
Record(const char *format, ...)
{
    va_list arguments;

    pthread_mutex_lock(&record_lock);
    fprintf(record, "%8.3f ", (double)(Now() - began_ms) / 1000.0);
    va_start(arguments, format);
    vfprintf(record, format, arguments);
    va_end(arguments);
    fputc('\n', record);
    fflush(record);
    pthread_mutex_unlock(&record_lock);
}

static void
sleep_ms(int64_t ms)
{
    if (ms > 0) {
        nanosleep(&(struct timespec){ms / 1000, ms % 1000 * 1000000}, NULL);
    }
}

static void
sleep_until(int64_t at_ms)
{
    sleep_ms(at_ms - Now());
}

static int
cannot_run(const char *why)
{
    Record("the case cannot run: %s", why);
    return 2;
}

static void
put_config(int attempts)
{
    char text[1024];

    snprintf(text, sizeof(text),
             "{\"version\":3,\"routes\":[{\"name\":\"export\",\"host\":"
             "\"congress.example\",\"prefix\":\"/export/\",\"service\":"
             "\"programme-app\",\"priority\":2,\"maxAttempts\":%d,"
             "\"stretch\":4.0,\"targetLatencyMs\":3000,\"kind\":"
             "\"non_idempotent\"}],\"services\":[{\"name\":\"programme-app\","
             "\"enforceCapacity\":false}],\"limits\":{}}",
             attempts);
    Platform_PutConfig(text);
}

/* Sends a submission until it is accepted, as a client does; the next attempt
 * goes to the next host. */
static bool
submit(host_t *hosts, int count, int first, const char *id, const char *body)
{
    char path[64];

    snprintf(path, sizeof(path), "/export/%s", id);
    for (int attempt = 0; attempt < 5; attempt++) {
        host_t *host = &hosts[(first + attempt) % count];
        client_t client;
        int status;

        Client_Open(&client, host->front);
        status = Client_Call(&client, "POST", path, body, 3000, NULL, 0);
        Client_Close(&client);
        Record("POST %s at host %d: %d", path, host->index + 1, status);
        if (status == 200) {
            return true;
        }
        sleep_ms(500);
    }
    return false;
}

static void
get_state(host_t *host, const char *id)
{
    char path[64];
    char answer[128] = "";
    client_t client;
    int status;

    snprintf(path, sizeof(path), "/export/%s", id);
    Client_Open(&client, host->front);
    status =
        Client_Call(&client, "GET", path, NULL, 3000, answer, sizeof(answer));
    Client_Close(&client);
    Record("GET %s at host %d: %d %s", path, host->index + 1, status, answer);
}

/* --- Judging ------------------------------------------------------------ */

/* Whether an end was taken note of at any time, without a crash of its worker
 * or a lapse of the worker's lease between the two. */
static bool
was_noted(const event_t *events, uint32_t count, uint32_t end)
{
    for (uint32_t i = end + 1; i < count; i++) {
        if (events[i].worker != events[end].worker) {
            continue;
        }
        if (events[i].kind == EVENT_LAPSE || events[i].kind == EVENT_CRASH) {
            return false;
        }
        if (events[i].kind == EVENT_NOTED &&
            events[i].number == events[end].number) {
            return true;
        }
    }
    return false;
}

/* Finds the last event of a kind for the same task before a start. */
static uint32_t
find_earlier(const event_t *events, uint32_t start, event_kind_t kind,
             const char *how)
{
    for (uint32_t i = start; i-- > 0;) {
        if (events[i].kind == kind && strcmp(events[i].how, how) == 0 &&
            strcmp(events[i].task, events[start].task) == 0) {
            return i;
        }
    }
    return start;
}

/* Whether a run ended, or its worker crashed, before another event. */
static bool
has_ended(const event_t *events, uint32_t run, uint32_t before)
{
    for (uint32_t i = run + 1; i < before; i++) {
        if (events[i].worker == events[run].worker &&
            (events[i].kind == EVENT_CRASH ||
             (events[i].kind == EVENT_END &&
              events[i].run == events[run].run &&
              strcmp(events[i].task, events[run].task) == 0))) {
            return true;
        }
    }
    return false;
}

/* TWICE: two runs of a task at one time on workers that are up, or a start
 * after a run has ended `done`, if that end is taken note of then or later. */
static uint32_t
count_twice(void)
{
    uint32_t count;
    uint32_t broken = 0;
    const event_t *events = Platform_Events(&count);

    for (uint32_t i = 0; i < count; i++) {
        uint32_t end, earlier;

        if (events[i].kind != EVENT_START) {
            continue;
        }
        earlier = find_earlier(events, i, EVENT_START, "");
        end = find_earlier(events, i, EVENT_END, "done");
        if (earlier != i && !has_ended(events, earlier, i)) {
            Record("TWICE: task %s starts as run %" PRId64
                   " while its run %" PRId64 " goes on",
                   events[i].task, events[i].run, events[earlier].run);
            broken++;
        }
        else if (end != i && was_noted(events, count, end)) {
            Record("TWICE: task %s starts again as run %" PRId64 ", %" PRId64
                   " ms after its end done, which is taken "
                   "note of then or later",
                   events[i].task, events[i].run,
                   events[i].at_ms - events[end].at_ms);
            broken++;
        }
    }
    Record("TWICE was broken by %u starts", broken);
    return broken;
}

static host_t *
leading_host(host_t *hosts, int count)
{
    int writer = Platform_LastConditionalWriter();

    return writer >= 0 && writer < count ? &hosts[writer] : NULL;
}

/* --- Case: the store is down while workers end many short tasks ---------- */

#define SHORT_JOBS 16
#define SHORT_TASKS 400
#define SHORT_MS 400
#define OUTAGE_MS 4500

static int
run_outage(void)
{
    host_t *hosts;
    char body[256];
    int64_t until_ms;

    Platform_Start(3, 3);
    put_config(2);
    for (int i = 0; i < 3; i++) {
        Platform_StartWorker(Platform_Worker(i), i % 2 ? "b" : "a");
    }
    hosts = Hosts_Start(3);
    if (!Hosts_WaitReady(3, 15000)) {
        return cannot_run("the hosts are not ready");
    }
    sleep_ms(2000);
    snprintf(body, sizeof(body),
             "{\"taskSpec\":\"cpu=320 ms=%d\",\"steps\":[{\"count\":%d,"
             "\"cpu\":320,\"memMb\":128,\"estimatedMs\":%d}]}",
             SHORT_MS, SHORT_TASKS, SHORT_MS);
    for (int i = 0; i < SHORT_JOBS; i++) {
        char id[17];

        snprintf(id, sizeof(id), "5c0e7a21d94b%04x", i + 1);
        if (!submit(hosts, 3, i, id, body)) {
            return cannot_run("a job is not accepted");
        }
    }
    sleep_ms(500);
    if (trouble) {
        Platform_SetStoreDown(true);
        sleep_ms(OUTAGE_MS);
        Platform_SetStoreDown(false);
    }
    until_ms = Now() + 60000;
    while ((Platform_Starts("5c0e7a21d94b") < SHORT_JOBS * SHORT_TASKS ||
            Platform_Running() > 0 || Platform_EndsUnseen() > 0) &&
           Now() < until_ms) {
        sleep_ms(50);
    }
    sleep_ms(1000);
    for (int i = 0; i < SHORT_JOBS; i++) {
        char id[17];

        snprintf(id, sizeof(id), "5c0e7a21d94b%04x", i + 1);
        get_state(&hosts[i % 3], id);
    }
    Record("%u runs began for %d tasks", Platform_Starts("5c0e7a21d94b"),
           SHORT_JOBS * SHORT_TASKS);
    return count_twice() > 0 ? 1 : 0;
}

/* --- Case: a worker restarts as another kind under its id ---------------- */

#define KIND_WORKERS 12
#define KIND_ROUNDS 12

static uint32_t
count_wrong_kind(void)
{
    uint32_t count;
    uint32_t broken = 0;
    const event_t *events = Platform_Events(&count);

    for (uint32_t i = 0; i < count; i++) {
        if (events[i].kind == EVENT_START &&
            strcmp(events[i].label, "a") != 0) {
            if (broken++ < 5) {
                Record("ROUTE: task %s, which requires the label a, starts on "
                       "worker %d, whose labels are %s and r1-1",
                       events[i].task, events[i].worker, events[i].label);
            }
        }
    }
    return broken;
}

static int
run_kind(void)
{
    static const char *const kinds[] = {"a", "b"};
    host_t *hosts;
    char body[256];
    int64_t until_ms;

    Platform_Start(3, KIND_WORKERS);
    put_config(4);
    for (int i = 0; i < KIND_WORKERS; i++) {
        Platform_StartWorker(Platform_Worker(i), kinds[i % 2]);
        sleep_ms(HEARTBEAT_MS / KIND_WORKERS);
    }
    hosts = Hosts_Start(3);
    if (!Hosts_WaitReady(3, 15000)) {
        return cannot_run("the hosts are not ready");
    }
    sleep_ms(2000);
    snprintf(body, sizeof(body),
             "{\"taskSpec\":\"cpu=8000 ms=2000\",\"steps\":[{\"count\":"
             "40,\"cpu\":8000,\"memMb\":1024,\"estimatedMs\":2000,"
             "\"requiredLabel\":\"a\"}]}");
    for (int i = 0; i < 20; i++) {
        char id[17];

        snprintf(id, sizeof(id), "5c0e7a21d94b%04x", i + 1);
        if (!submit(hosts, 3, i, id, body)) {
            return cannot_run("a job is not accepted");
        }
    }
    sleep_ms(1000);
    for (int i = 0; i < KIND_ROUNDS && count_wrong_kind() == 0; i++) {
        worker_t *worker = Platform_Worker(i % KIND_WORKERS);
        const char *kind = strcmp(worker->kind, "a") == 0 ? "b" : "a";

        Platform_CrashWorker(worker);
        sleep_ms(2000);
        Platform_StartWorker(worker, trouble ? kind : worker->kind);
        sleep_ms(2000);
    }
    until_ms = Now() + 3000;
    while (Platform_Running() > 0 && Now() < until_ms) {
        sleep_ms(50);
    }
    return count_wrong_kind() > 0 ? 1 : 0;
}

/* --- Case: a leader that was frozen answers a cancellation --------------- */

static uint32_t
starts_after(const char *id, int64_t at_ms)
{
    uint32_t count;
    uint32_t starts = 0;
    const event_t *events = Platform_Events(&count);

    for (uint32_t i = 0; i < count; i++) {
        if (events[i].kind == EVENT_START && events[i].at_ms > at_ms &&
            strncmp(events[i].task, id, 16) == 0) {
            starts++;
        }
    }
    return starts;
}

#define FREEZE_MS 4000
#define FREEZE_ROUNDS 4

/* Freezes the leader, has a job accepted by another host meanwhile, and sends
 * the job's DELETE to the frozen host. Returns the answer's status. */
static int
freeze_once(host_t *hosts, const char *id, const char *body)
{
    host_t *frozen = leading_host(hosts, 3);
    char path[64];
    client_t client;
    int64_t frozen_ms;
    int status;

    Client_Open(&client, frozen->front);
    status = Client_Call(&client, "GET", "/export/", NULL, 3000, NULL, 0);
    Record("GET /export/ at host %d: %d", frozen->index + 1, status);
    frozen_ms = Now();
    if (trouble) {
        Hosts_Signal(frozen, SIGSTOP);
        sleep_until(frozen_ms + 2500);
    }
    if (!submit(hosts, 3, (frozen->index + 1) % 3, id, body)) {
        Client_Close(&client);
        return -1;
    }
    sleep_until(frozen_ms + 3500);
    snprintf(path, sizeof(path), "/export/%s", id);
    Record("DELETE %s is sent to host %d", path, frozen->index + 1);
    Client_Send(&client, "DELETE", path, NULL);
    sleep_until(frozen_ms + FREEZE_MS);
    if (trouble) {
        Hosts_Signal(frozen, SIGCONT);
    }
    status = Client_Receive(&client, 3000, NULL, 0);
    Record("it is answered with %d", status);
    Client_Close(&client);
    return status;
}

static int
run_freeze(void)
{
    static const char body[] =
        "{\"taskSpec\":\"cpu=1000 ms=6000\",\"steps\":[{\"count\":4,"
        "\"cpu\":1000,\"memMb\":256,\"estimatedMs\":6000},{\"count\":4,"
        "\"cpu\":1000,\"memMb\":256,\"estimatedMs\":6000,\"after\":[0]}]}";
    int64_t answered_ms[FREEZE_ROUNDS] = {0};
    uint32_t broken = 0;
    host_t *hosts;

    Platform_Start(3, 4);
    put_config(4);
    for (int i = 0; i < 4; i++) {
        Platform_StartWorker(Platform_Worker(i), i % 2 ? "b" : "a");
    }
    hosts = Hosts_Start(3);
    if (!Hosts_WaitReady(3, 15000)) {
        return cannot_run("the hosts are not ready");
    }
    sleep_ms(2000);
    /* Something for the leader to write, so that it can be told. */
    if (!submit(hosts, 3, 0, "5c0e7a21d94bffff", body)) {
        return cannot_run("the first job is not accepted");
    }
    sleep_ms(500);
    for (int i = 0; i < FREEZE_ROUNDS; i++) {
        char id[17];
        int status;

        if (leading_host(hosts, 3) == NULL) {
            return cannot_run("no host writes to the store");
        }
        snprintf(id, sizeof(id), "5c0e7a21d94b%04x", i);
        status = freeze_once(hosts, id, body);
        if (status < 0) {
            return cannot_run("the job is not accepted");
        }
        if ((status >= 200 && status < 300) || status == 410) {
            answered_ms[i] = Now();
        }
        sleep_ms(8000);
    }
    sleep_ms(6000);
    for (int i = 0; i < FREEZE_ROUNDS; i++) {
        char id[17];
        uint32_t late;

        snprintf(id, sizeof(id), "5c0e7a21d94b%04x", i);
        get_state(&hosts[i % 3], id);
        late = answered_ms[i] != 0
                   ? starts_after(id, answered_ms[i] + CANCEL_MS)
                   : 0;
        Record("%u tasks of %s began later than %d ms after the answer to its "
               "DELETE",
               late, id, CANCEL_MS);
        broken += late;
    }
    return broken > 0 ? 1 : 0;
}

int
main(int argc, char **argv)
{
    const char *path = getenv("RECORD");
    const char *wanted = getenv("TROUBLE");
    int result = 2;

    if (argc != 2 || path == NULL || getenv("CASE_TMP") == NULL) {
        fprintf(stderr, "usage: CASE_TMP=DIR RECORD=FILE case NAME\n");
        return 2;
    }
    record = fopen(path, "w");
    if (record == NULL) {
        fprintf(stderr, "cannot write %s\n", path);
        return 2;
    }
    began_ms = Now();
    trouble = wanted == NULL || strcmp(wanted, "0") != 0;
    Record("case %s, %s the disruption", argv[1],
           trouble ? "with" : "without");
    if (strcmp(argv[1], "outage") == 0) {
        result = run_outage();
    }
    else if (strcmp(argv[1], "kind") == 0) {
        result = run_kind();
    }
    else if (strcmp(argv[1], "freeze") == 0) {
        result = run_freeze();
    }
    Hosts_EndAll();
    Record("result %d", result);
    fclose(record);
    return result;
}
