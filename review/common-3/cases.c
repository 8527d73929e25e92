/*
 * The cases.
 */

#include "driver.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define SAMPLE_MS 50
#define IDLE_MS 3000 /* for so long a job may have nothing running */
/* A state that was seen may have begun or ended a sample earlier. */
#define IDLE_SEEN_MS (IDLE_MS + 2 * SAMPLE_MS)

/* Name of the only task of a job. */
static void
task_name(const job_t *job, char *name, size_t size)
{
    snprintf(name, size, "%.16s.0.0.0", job->id);
}

/* Whether tasks of a job of equal small tasks could start: there is capacity
 * for it twice over, and under half of it is in use. */
static bool
has_room(int64_t cpu_millis)
{
    int64_t unused = platform_free_cpu();

    return unused >= 2 * cpu_millis && unused * 2 > platform_cpu();
}

/* --- A large job -------------------------------------------------------- */

#define LARGE_STEPS 8
#define LARGE_TASKS 4096 /* of each step */
#define LARGE_CPU_MILLIS 10
#define SMALL_EVERY_MS 500
#define SMALL_JOBS 60
#define SMALL_BEFORE 10 /* the large job follows these */
#define TRAFFIC_MS 25000
#define ASKED_JOBS 2 /* the latest ones, at the end */

static char *
large_body(int steps)
{
    char *body = calloc(1, 64 * 1024);
    size_t used = (size_t)sprintf(
        body, "{\"taskSpec\":\"run_ms=500 cpu=%d mem=1\",\"steps\":[",
        LARGE_CPU_MILLIS);

    for (int i = 0; i < steps; i++) {
        used += (size_t)sprintf(
            body + used,
            "%s{\"count\":%d,\"cpu\":%d,\"memMb\":1,\"estimatedMs\":500}",
            i > 0 ? "," : "", LARGE_TASKS, LARGE_CPU_MILLIS);
    }
    strcpy(body + used, "]}");
    return body;
}

/* Whether the large job has nothing running for IDLE_MS, although all of its
 * tasks that are not done could run. */
static bool
stands_still(const job_t *job, int64_t watch_ms)
{
    int64_t until_ms = platform_now_ms() + watch_ms;
    int64_t idle_since_ms = platform_now_ms();

    while (platform_now_ms() < until_ms) {
        if (platform_all_runs() > 0 ||
            platform_done_count(job->id) == job->tasks ||
            !has_room(LARGE_CPU_MILLIS)) {
            idle_since_ms = platform_now_ms();
        }
        if (platform_now_ms() - idle_since_ms >= IDLE_SEEN_MS) {
            platform_record("job=%s has nothing running for %d ms, done=%d "
                            "of=%d",
                            job->id, IDLE_MS, platform_done_count(job->id),
                            job->tasks);
            return true;
        }
        sleep_ms(SAMPLE_MS);
    }
    return false;
}

int
case_large_job(const driver_t *driver)
{
    static const char small[] =
        "{\"taskSpec\":\"run_ms=200 cpu=100 mem=1\",\"steps\":[{\"count\":1,"
        "\"cpu\":100,\"memMb\":1,\"estimatedMs\":200}]}";
    static job_t jobs[SMALL_JOBS];
    job_t large = {0};
    char state[32];
    char *body = large_body(LARGE_STEPS);
    int64_t end_ms = platform_now_ms() + TRAFFIC_MS;
    int sent = 0;
    int broken = 0;

    for (int i = 0; i < SMALL_JOBS && platform_now_ms() < end_ms; i++) {
        int64_t next_ms = platform_now_ms() + SMALL_EVERY_MS;

        sent = i + 1;

        if (i == SMALL_BEFORE && driver->trouble) {
            submit(&large, 0xa000, body, LARGE_STEPS * LARGE_TASKS);
        }
        submit(&jobs[i], 0xb000 + (uint64_t)i, small, 1);
        while (platform_now_ms() < next_ms) {
            sleep_ms(10);
        }
    }
    platform_record("end of the traffic, leaderships=%d",
                    platform_leader_changes());
    sleep_ms(FINISH_MS);
    platform_record("asking, leaderships=%d", platform_leader_changes());
    if (large.accepted && stands_still(&large, 2 * IDLE_MS)) {
        broken = 1;
    }
    for (int i = sent - 1, asked = 0; i >= 0 && asked < ASKED_JOBS; i--) {
        asked += jobs[i].accepted;
        if (jobs[i].accepted && !ask_state(&jobs[i], state, sizeof(state))) {
            platform_record("job=%s is not known or gets no answer",
                            jobs[i].id);
            broken = 1;
        }
    }
    platform_record("leaderships=%d", platform_leader_changes());
    free(body);
    return broken;
}

/* --- Its memory --------------------------------------------------------- */

#define MEMORY_STEPS 16
#define MEMORY_PLAY_MS 95000
/* By the rule: three times on a tenth of the machines, two at least. */
#define MEMORY_ENDS 3
#define MEMORY_HOSTS 2

int
case_large_job_memory(const driver_t *driver)
{
    char *body = large_body(MEMORY_STEPS);
    int64_t until_ms = platform_now_ms() + MEMORY_PLAY_MS;
    job_t large = {0};
    int broken = 0;

    sleep_ms(2000);
    if (driver->trouble) {
        submit(&large, 0xa000, body, MEMORY_STEPS * LARGE_TASKS);
    }
    free(body);
    while (platform_now_ms() < until_ms && broken == 0) {
        broken = hosts_enforce_memory(MEMORY_ENDS) >= MEMORY_HOSTS;
        sleep_ms(SAMPLE_MS);
    }
    platform_record("leaderships=%d", platform_leader_changes());
    return broken;
}

/* --- A start that is in doubt ------------------------------------------- */

#define DOUBT_JOBS 100
#define DOUBT_BEFORE 60 /* jobs until the worker is lost */
#define DOUBT_EVERY_MS 50
#define DOUBT_CPU_MILLIS 500
#define DOUBT_WATCH_MS 6000

static int
busiest_worker(int count)
{
    int best = 0;

    for (int i = 1; i < count; i++) {
        best = platform_runs(i) > platform_runs(best) ? i : best;
    }
    return best;
}

int
case_doubtful_start(const driver_t *driver)
{
    static const char body[] =
        "{\"taskSpec\":\"run_ms=600 cpu=500 mem=100\",\"steps\":[{\"count\":1,"
        "\"cpu\":500,\"memMb\":100,\"estimatedMs\":600}]}";
    static job_t jobs[DOUBT_JOBS];
    static int64_t idle_since_ms[DOUBT_JOBS];
    int64_t until_ms;
    int broken = 0;

    for (int i = 0; i < DOUBT_JOBS; i++) {
        int64_t next_ms = platform_now_ms() + DOUBT_EVERY_MS;

        if (i == DOUBT_BEFORE && driver->trouble) {
            platform_lose_worker(busiest_worker(4));
        }
        submit(&jobs[i], 0xc000 + (uint64_t)i, body, 1);
        while (platform_now_ms() < next_ms) {
            sleep_ms(5);
        }
    }
    platform_record("end of the traffic");
    sleep_ms(FINISH_MS);
    until_ms = platform_now_ms() + DOUBT_WATCH_MS;
    while (platform_now_ms() < until_ms) {
        for (int i = 0; i < DOUBT_JOBS; i++) {
            char name[64];
            task_facts_t facts;

            task_name(&jobs[i], name, sizeof(name));
            facts = platform_task(name);
            if (!jobs[i].accepted || facts.done || facts.running > 0 ||
                !has_room(DOUBT_CPU_MILLIS) || idle_since_ms[i] == 0) {
                idle_since_ms[i] = platform_now_ms();
            }
            else if (platform_now_ms() - idle_since_ms[i] >= IDLE_SEEN_MS &&
                     idle_since_ms[i] != INT64_MAX) {
                char state[32] = "";

                ask_state(&jobs[i], state, sizeof(state));
                platform_record("job=%s has nothing running for %d ms, "
                                "starts=%d state=%s",
                                jobs[i].id, IDLE_MS, facts.starts, state);
                idle_since_ms[i] = INT64_MAX;
                broken = 1;
            }
        }
        sleep_ms(SAMPLE_MS);
    }
    /* How long it takes, for the record. */
    until_ms = platform_now_ms() + 15000;
    while (broken != 0 && platform_now_ms() < until_ms) {
        int open = 0;

        for (int i = 0; i < DOUBT_JOBS; i++) {
            char name[64];

            task_name(&jobs[i], name, sizeof(name));
            open += jobs[i].accepted && !platform_task(name).done;
        }
        if (open == 0) {
            break;
        }
        sleep_ms(SAMPLE_MS);
    }
    return broken;
}

/* --- A task that lasts -------------------------------------------------- */

#define LASTING_AWAY_MS 6000 /* after its last run, by the rule */
#define LASTING_CALM_MS 4000 /* before the time that counts */

int
case_lasting_task(const driver_t *driver)
{
    static const char body[] =
        "{\"taskSpec\":\"lasts cpu=200 mem=50\",\"steps\":[{\"count\":1,"
        "\"cpu\":200,\"memMb\":50,\"longRunning\":true}]}";
    job_t job = {0};
    char name[64];
    char state[32];
    int64_t lost_ms;
    int64_t idle_since_ms = 0;
    int worker;
    int leader;
    int broken = 0;

    submit(&job, 0xd000, body, 1);
    task_name(&job, name, sizeof(name));
    sleep_ms(8000);
    worker = platform_worker_of(name);
    leader = host_leader();
    if (!job.accepted || worker < 0 || leader < 0) {
        return 2;
    }
    platform_record("task=%s worker=%d leader=%d", name, worker, leader);
    lost_ms = platform_now_ms();
    if (driver->trouble) {
        platform_lose_worker(worker);
        host_kill(leader);
    }
    while (platform_now_ms() < lost_ms + 20000) {
        int64_t now_ms = platform_now_ms();
        task_facts_t facts = platform_task(name);

        if (facts.running > 0 || now_ms < lost_ms + LASTING_CALM_MS ||
            now_ms < facts.running_until_ms + LASTING_AWAY_MS ||
            !has_room(200)) {
            idle_since_ms = now_ms;
        }
        else if (idle_since_ms != 0 &&
                 now_ms - idle_since_ms >= IDLE_SEEN_MS && broken == 0) {
            platform_record("task=%s is not running for %d ms, %" PRId64
                            " ms after its last run",
                            name, IDLE_MS, now_ms - facts.running_until_ms);
            ask_state(&job, state, sizeof(state));
            broken = 1;
        }
        sleep_ms(SAMPLE_MS);
    }
    return broken;
}

/* --- Cancelled jobs ----------------------------------------------------- */

#define GIVE_UP_JOBS 75
#define GIVE_UP_TASKS 60     /* the widest jobs of agenda-export */
#define GIVE_UP_CANCELLED 30 /* 0.4 of them */
#define GIVE_UP_START_MS 60000
#define CANCEL_MS 3000 /* cancel_ms of kotuku-cs */
#define GONE_SLACK_MS 100

typedef struct cancelled {
    int64_t acknowledged_ms; /* 0: not yet */
    bool checked;
} cancelled_t;

/* Returns how many tasks of cancelled jobs run although their time is up. */
static int
check_cancelled(const job_t *jobs, cancelled_t *cancelled)
{
    int late = 0;

    for (int i = 0; i < GIVE_UP_CANCELLED; i++) {
        int64_t since_ms = platform_now_ms() - cancelled[i].acknowledged_ms;

        if (cancelled[i].acknowledged_ms != 0 && !cancelled[i].checked &&
            since_ms >= CANCEL_MS + STOP_MAX_MS + GONE_SLACK_MS) {
            int runs = platform_job_runs(jobs[i].id);

            cancelled[i].checked = true;
            platform_record("job=%.16s runs=%d, %" PRId64
                            " ms after the acknowledgement",
                            jobs[i].id, runs, since_ms);
            late += runs;
        }
    }
    return late;
}

int
case_cancelled_jobs(const driver_t *driver)
{
    static const char body[] =
        "{\"taskSpec\":\"run_ms=90000 cpu=20 "
        "mem=10\",\"steps\":[{\"count\":60,"
        "\"cpu\":20,\"memMb\":10,\"estimatedMs\":90000}]}";
    static job_t jobs[GIVE_UP_JOBS];
    static cancelled_t cancelled[GIVE_UP_CANCELLED];
    char path[64];
    int64_t until_ms;
    int late = 0;

    for (int i = 0; i < GIVE_UP_JOBS; i++) {
        submit(&jobs[i], 0xf000 + (uint64_t)i, body, GIVE_UP_TASKS);
    }
    until_ms = platform_now_ms() + GIVE_UP_START_MS;
    while (platform_now_ms() < until_ms &&
           platform_all_runs() < GIVE_UP_JOBS * GIVE_UP_TASKS) {
        sleep_ms(SAMPLE_MS);
    }
    platform_record("runs=%d", platform_all_runs());
    sleep_ms(5000);
    for (int i = 0; driver->trouble && i < GIVE_UP_CANCELLED; i++) {
        snprintf(path, sizeof(path), QUEUE_PREFIX "%.16s", jobs[i].id);
        for (int n = 0; n <= RETRIES_MAX && cancelled[i].acknowledged_ms == 0;
             n++) {
            int status = call_host((i + n) % driver->hosts, "DELETE", path, "",
                                   NULL, 0);

            if (status / 100 == 2) {
                cancelled[i].acknowledged_ms = platform_now_ms();
            }
        }
        late += check_cancelled(jobs, cancelled);
    }
    until_ms = platform_now_ms() + CANCEL_MS + STOP_MAX_MS + 1000;
    while (platform_now_ms() < until_ms) {
        late += check_cancelled(jobs, cancelled);
        sleep_ms(10);
    }
    platform_record("tasks that run on too long: %d, runs=%d", late,
                    platform_all_runs());
    return late > 0;
}
