/*
 * A gang whose tasks ask for one rack loses a worker after its tickets have
 * expired. Checks that it runs again while there is room for it.
 */

#include "driver.h"

#include <stdio.h>
#include <string.h>

#define HOSTS 3
#define WORKERS 8 /* one of them is 0.125 of all; the sheet's crashes: 0.14 */
#define TASKS 4
#define TASK_CPU 9000
#define RUN_MS 6000
#define TICKETS_EXPIRED_MS 3500 /* validityMs is 2500 */
#define DOWN_MS 4000            /* the sheet's crashes: 4.5 s */
#define FINISH_MS 14000         /* finish_s */
#define IDLE_MS 3000

#define JOB "5c0e7a21d94b36f8"
#define PATH "/rebuild/" JOB

static bool
read_cell(char *state, size_t size)
{
    char body[96];

    snprintf(body, sizeof(body), "{\"job\":\"%s\",\"cpu\":%d}", JOB, TASK_CPU);
    return control("/state", body, state, size);
}

/* Nothing of the job runs, two such gangs fit on the workers that the advice
 * service allows, and less than half of the capacity is in use. */
static bool
waits_without_need(void)
{
    char state[256];

    return read_cell(state, sizeof(state)) &&
           number_of(state, "running", 1) == 0 &&
           number_of(state, "fitting", 0) >= 2 * TASKS &&
           number_of(state, "usedPercent", 100) < 50;
}

int
main(void)
{
    char body[512];
    char answer[256] = "";
    int64_t ends_ms;
    int64_t idle_since_ms = 0;
    int worker = 0;

    start_cell(HOSTS, WORKERS);
    snprintf(body, sizeof(body),
             "{\"taskSpec\":\"run_ms=%d cpu=%d mem=19000 gang=%d ticket\","
             "\"steps\":[{\"count\":%d,\"cpu\":%d,\"memMb\":19000,"
             "\"estimatedMs\":%d,\"gang\":true,\"sameRack\":true}]}",
             RUN_MS, TASK_CPU, TASKS, TASKS, TASK_CPU, RUN_MS);
    if (request_until_answered(0, "POST", PATH, body, NULL, 0) != 200) {
        return finish(NOT_RUN, "not run: the job was not accepted");
    }
    sleep_ms(TICKETS_EXPIRED_MS);
    if (trouble()) {
        control("/worker-of", "{\"job\":\"" JOB "\"}", answer, sizeof(answer));
        worker = (int)number_of(answer, "worker", -1);
        if (worker < 0) {
            return finish(NOT_RUN, "not run: the job did not start");
        }
        snprintf(body, sizeof(body), "{\"worker\":%d}", worker);
        note("worker w%d crashes for %d ms", worker, DOWN_MS);
        control("/crash", body, NULL, 0);
        sleep_ms(DOWN_MS);
        control("/start", body, NULL, 0);
    }
    else {
        sleep_ms(DOWN_MS);
    }
    note("the end of the traffic; jobs are asked for %d ms later", FINISH_MS);
    sleep_ms(FINISH_MS);
    ends_ms = now_ms() + 2 * IDLE_MS;
    while (now_ms() < ends_ms) {
        request_until_answered(1, "GET", PATH, NULL, answer, sizeof(answer));
        if (strstr(answer, "completed") != NULL) {
            return finish(HELD, "held: the job is completed");
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
    return finish(HELD, "held: the job runs");
}
