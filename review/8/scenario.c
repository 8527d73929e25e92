/*
 * Clients hand in jobs that are to run every minute for six weeks. Checks that
 * the hosts stay within their memory, and that the jobs accepted before and
 * after are still known.
 *
 * The driver does what the platform does: it kills a process that exceeds its
 * memory, and starts it again after a short delay.
 */

#include "driver.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define HOSTS 3
#define WORKERS 8
#define MEMORY_MAX_KIB (260 * 1024) /* the sheet: 260 MB */
#define RESTART_MS 500
#define LOOK_MS 10

#define PLAIN_JOBS 4
/* The sheet's burst: 1.8 times 4.34 agenda exports a second for 4 s, 31. */
#define SCHEDULED_JOBS 14
#define BURST_MS 4000
#define RETRIES_END_MS 18000 /* no more of them later, for the time limit */
#define REPEATS 60480 /* minutes of six weeks */
#define FINISH_MS 14000
#define ASKED_MS 6000 /* each job is asked for this long */

static int ends[HOSTS];
static volatile bool watching = true;

static void *
enforce_memory(void *context)
{
    int64_t restart_ms[HOSTS] = {0};

    (void)context;
    while (watching) {
        for (int i = 0; i < HOSTS; i++) {
            long kib = host_memory_kib(i);

            if (kib > MEMORY_MAX_KIB) {
                kill_host(i);
                ends[i]++;
                restart_ms[i] = now_ms() + RESTART_MS;
                note("host %d exceeds its memory: %ld KiB; killed", i, kib);
            }
            if (restart_ms[i] != 0 && now_ms() >= restart_ms[i]) {
                restart_ms[i] = 0;
                start_host(i);
            }
        }
        sleep_ms(LOOK_MS);
    }
    return NULL;
}

static void
format_path(char *path, size_t size, int job)
{
    snprintf(path, size, "/export/5c0e7a21d94b%04x", job);
}

static bool
submit(int job, const char *body)
{
    char path[64];

    format_path(path, sizeof(path), job);
    return request_until_answered(job % HOSTS, "POST", path, body, NULL, 0) ==
           200;
}

static bool
is_answered(int job)
{
    int64_t until_ms = now_ms() + ASKED_MS;
    char path[64];

    format_path(path, sizeof(path), job);
    for (int host = job; now_ms() < until_ms; host++) {
        if (request(host % HOSTS, "GET", path, NULL, 3000, NULL, 0) == 200) {
            return true;
        }
        sleep_ms(200);
    }
    note("LOST: accepted job %s gets no answer", path);
    return false;
}

int
main(void)
{
    static const char plain[] =
        "{\"taskSpec\":\"run_ms=3400 cpu=2000 mem=7200\",\"steps\":[{"
        "\"count\":10,\"cpu\":2000,\"memMb\":7200,\"estimatedMs\":3400}]}";
    bool accepted[PLAIN_JOBS + SCHEDULED_JOBS] = {false};
    char body[512];
    char verdict[160];
    pthread_t watch;
    int64_t burst_ms;
    int unanswered = 0;
    int often = 0;

    start_cell(HOSTS, WORKERS);
    pthread_create(&watch, NULL, enforce_memory, NULL);
    for (int i = 0; i < PLAIN_JOBS; i++) {
        accepted[i] = submit(i, plain);
    }
    if (!accepted[0]) {
        return finish(NOT_RUN, "not run: no job was accepted");
    }
    snprintf(body, sizeof(body),
             "{\"taskSpec\":\"run_ms=1000 cpu=2000 mem=7200\","
             "\"repeatCount\":%d,\"startAtMs\":%lld,\"intervalMs\":60000,"
             "\"steps\":[{\"count\":1,\"cpu\":2000,\"memMb\":7200,"
             "\"estimatedMs\":1000}]}",
             REPEATS, ((long long)time(NULL) + 3600) * 1000);
    burst_ms = now_ms();
    for (int i = 0; trouble() && i < SCHEDULED_JOBS; i++) {
        if (now_ms() > burst_ms + RETRIES_END_MS) {
            break;
        }
        accepted[PLAIN_JOBS + i] = submit(PLAIN_JOBS + i, body);
        sleep_ms(BURST_MS / SCHEDULED_JOBS);
    }
    note("the end of the traffic; jobs are asked for %d ms later", FINISH_MS);
    sleep_ms(FINISH_MS);
    for (int i = 0; i < PLAIN_JOBS + 2; i++) {
        unanswered += accepted[i] && !is_answered(i);
    }
    watching = false;
    pthread_join(watch, NULL);
    for (int i = 0; i < HOSTS; i++) {
        often += ends[i] >= 3;
    }
    snprintf(verdict, sizeof(verdict),
             "%s: %d accepted jobs get no answer; %d of %d hosts were killed "
             "three times or more for their memory",
             unanswered > 0 || often >= 2 ? "LOST, Fault" : "held", unanswered,
             often, HOSTS);
    return finish(unanswered > 0 || often >= 2 ? BROKEN : HELD, verdict);
}
