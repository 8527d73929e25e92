/*
 * The workers of one kind fail all that they start for some seconds, while
 * clients hand in gangs for that kind. Checks that a gang which comes when
 * they are sound again is run.
 */

#include "driver.h"

#include <stdio.h>
#include <string.h>

#define HOSTS 3
#define WORKERS 48
#define KIND_B_WORKERS 4 /* 0.083 of all; the sheet's share: 0.085 */
#define FAILS_MS 6500    /* the sheet: 6.5 s */
#define SMALL_JOBS 18    /* handed in meanwhile; agenda exports: 4.34 a s */
#define SMALL_TASKS 3
#define SMALL_MS 300 /* between them */
#define RUN_MS 2000
#define CALM_MS 6000

#define TASK_CPU 9000
#define LAST_TASKS 6
#define LAST_JOB "5c0e7a21d94bffff"
#define LAST_PATH "/export/" LAST_JOB
#define FINISH_MS 14000 /* finish_s */
#define IDLE_MS 3000

static int
submit(int host, const char *path, int tasks)
{
    char body[512];

    snprintf(body, sizeof(body),
             "{\"taskSpec\":\"run_ms=%d cpu=%d mem=19000 gang=%d\",\"steps\":"
             "[{\"count\":%d,\"cpu\":%d,\"memMb\":19000,\"estimatedMs\":%d,"
             "\"gang\":true,\"requiredLabel\":\"b\"}]}",
             RUN_MS, TASK_CPU, tasks, tasks, TASK_CPU, RUN_MS);
    return request_until_answered(host % HOSTS, "POST", path, body, NULL, 0);
}

static bool
waits_without_need(void)
{
    char state[256];
    char body[96];

    snprintf(body, sizeof(body), "{\"job\":\"%s\",\"cpu\":%d,\"kind-b\":1}",
             LAST_JOB, TASK_CPU);
    return control("/state", body, state, sizeof(state)) &&
           number_of(state, "running", 1) == 0 &&
           number_of(state, "fitting", 0) >= 2 * LAST_TASKS &&
           number_of(state, "usedPercent", 100) < 50;
}

int
main(void)
{
    char answer[256] = "";
    int64_t idle_since_ms = 0;
    int64_t fails_until_ms;
    int64_t ends_ms;

    start_cell(HOSTS, WORKERS);
    fails_until_ms = now_ms() + FAILS_MS;
    for (int i = 0; trouble() && i < KIND_B_WORKERS; i++) {
        char body[64];

        snprintf(body, sizeof(body), "{\"worker\":%d,\"ms\":%d}", i, FAILS_MS);
        control("/fail", body, NULL, 0);
    }
    for (int i = 0; i < SMALL_JOBS; i++) {
        char path[64];

        snprintf(path, sizeof(path), "/export/5c0e7a21d94b%04x", i);
        submit(i, path, SMALL_TASKS);
        sleep_ms(SMALL_MS);
    }
    sleep_ms(fails_until_ms + CALM_MS - now_ms());
    if (submit(0, LAST_PATH, LAST_TASKS) != 200) {
        return finish(NOT_RUN, "not run: the last job was not accepted");
    }
    note("the end of the traffic; jobs are asked for %d ms later", FINISH_MS);
    sleep_ms(FINISH_MS);
    ends_ms = now_ms() + 2 * IDLE_MS;
    while (now_ms() < ends_ms) {
        request_until_answered(1, "GET", LAST_PATH, NULL, answer,
                               sizeof(answer));
        if (strstr(answer, "completed") != NULL) {
            return finish(HELD, "held: the last job is completed");
        }
        if (!waits_without_need()) {
            idle_since_ms = 0;
        }
        else if (idle_since_ms == 0) {
            idle_since_ms = now_ms();
        }
        else if (now_ms() - idle_since_ms > IDLE_MS) {
            return finish(BROKEN, "LOST: for 3 s the accepted job has nothing "
                                  "running, with room for it twice over");
        }
        sleep_ms(200);
    }
    return finish(HELD, "held: the last job runs");
}
