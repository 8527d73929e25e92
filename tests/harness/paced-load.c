/*
 * Load generator with a fixed rate for a test cell.
 */

#include "paced-load.h"

#include "caller.h"
#include "fake-server.h"
#include "thread.h"

#include <stdlib.h>
#include <string.h>

#define LOAD_REPLY_TIMEOUT_MS 10000
/* Calls that are still due this long after the end are skipped, so that a run
 * is bounded. */
#define LOAD_OVERRUN_MAX_US 2000000
#define LOAD_PAYLOAD_SIZE 128

typedef struct load_thread {
    paced_load_t *load;
    int number;
    int64_t call;
    rng_t rng;
    http_session_t *session;
    char payload[LOAD_PAYLOAD_SIZE];
} load_thread_t;

static const char *
choose_member(const load_thread_t *thread)
{
    const topology_t *topology = &thread->load->cluster->topology;

    return topology->members[(size_t)(thread->call + thread->number) %
                             topology->member_count];
}

static int
choose_host(const load_thread_t *thread)
{
    const paced_load_t *load = thread->load;
    int host_count =
        load->host_count > 0 ? load->host_count : load->cluster->host_count;

    return (int)((thread->call * load->threads + thread->number) % host_count);
}

static void
fill_payload(load_thread_t *thread)
{
    const paced_load_t *load = thread->load;
    long long run_ms =
        FvRng_Between(&thread->rng, load->run_min_ms, load->run_max_ms);

    snprintf(thread->payload, sizeof(thread->payload),
             "{\"run_ms\": %lld, \"answer_bytes\": %lld}", run_ms,
             (long long)load->answer_bytes);
}

static void
add_job(paced_load_t *load, const paced_job_t *job)
{
    pthread_mutex_lock(&load->lock);
    load->jobs =
        realloc(load->jobs, (load->job_count + 1) * sizeof(paced_job_t));
    if (load->jobs == NULL) {
        abort();
    }
    load->jobs[load->job_count++] = *job;
    pthread_mutex_unlock(&load->lock);
}

static void
record_reply(paced_load_t *load, int status, int64_t elapsed_us)
{
    if (status == 200 || status == 202) {
        FvSamples_Add(&load->latencies_us, elapsed_us);
        return;
    }
    pthread_mutex_lock(&load->lock);
    load->refused++;
    pthread_mutex_unlock(&load->lock);
}

static void
submit_job(load_thread_t *thread)
{
    paced_load_t *load = thread->load;
    paced_job_t job = {.member = choose_member(thread),
                       .workload = load->workload,
                       .host = choose_host(thread),
                       .sent_us = FvFake_WallUs(),
                       .deadline_ms = load->deadline_ms};
    submit_t submit = {.member = job.member,
                       .workload = job.workload,
                       .payload = thread->payload,
                       .deadline_ms = job.deadline_ms,
                       .session = thread->session};
    job_reply_t reply;

    if (load->name != NULL) {
        snprintf(job.key, sizeof(job.key), "%s-%d-%lld", load->name,
                 thread->number, (long long)thread->call);
        submit.key = job.key;
    }
    else {
        submit.raw = true;
        submit.wait_ms = LOAD_REPLY_TIMEOUT_MS;
    }
    FvApi_Submit(load->cluster, job.host, &submit, &reply);
    record_reply(load, reply.status, reply.http.elapsed_us);
    job.accepted = reply.status == 200 || reply.status == 202;
    FvApi_FreeJobReply(&reply);
    if (load->name != NULL) {
        add_job(load, &job);
    }
}

static json_t *
build_direct_body(const load_thread_t *thread)
{
    return json_pack(
        "{s:o, s:i, s:s, s:s, s:s, s:s, s:{s:i, s:i, s:i}, s:s, s:i, s:o}",
        "id",
        json_sprintf("direct:%llu-%d-%lld:1:0",
                     (unsigned long long)thread->load->seed, thread->number,
                     (long long)thread->call),
        "term", 0, "home", "direct", "member", "direct", "workload", "direct",
        "class", "interactive", "size", "cpu_millis", 1, "memory_bytes", 1,
        "slots", 1, "on_lapse", "continue", "wait_ms", LOAD_REPLY_TIMEOUT_MS,
        "payload_base64",
        FvApi_EncodeBase64(thread->payload, strlen(thread->payload)));
}

/* fake-worker must run without fencing, as these calls have no lease. */
static void
call_worker(load_thread_t *thread)
{
    const cluster_t *cluster = thread->load->cluster;
    int turn = choose_host(thread) + (int)thread->call;
    const cluster_rack_t *rack = &cluster->racks[turn % cluster->rack_count];
    json_t *body = build_direct_body(thread);
    char *text = json_dumps(body, JSON_COMPACT);
    char url[Fv_URL_SIZE];
    http_call_t call = {.method = "POST",
                        .url = url,
                        .body = text,
                        .body_length = strlen(text)};
    http_reply_t reply;

    snprintf(url, sizeof(url), "http://%s/%s%d/v1/tasks", rack->address,
             rack->prefix,
             1 + (int)thread->call % rack->site->workers_per_rack);
    FvHttpSession_Run(thread->session, &call, &reply);
    record_reply(thread->load, reply.status, reply.elapsed_us);
    FvHttp_FreeReply(&reply);
    json_decref(body);
    free(text);
}

/* Returns at once when the time has passed, so that a late thread catches up
 * and the number of calls is fixed. */
static void
wait_until(int64_t due_us)
{
    int64_t early_us = due_us - FvFake_WallUs();

    if (early_us > 0) {
        FvFake_SleepMs(early_us / 1000);
    }
}

static void *
run_thread(void *context)
{
    paced_load_t *load = context;
    load_thread_t thread = {.load = load, .session = FvHttpSession_New()};
    int64_t interval_us = (int64_t)(1e6 * load->threads / load->rate_per_s);
    int64_t end_us = load->started_us + load->duration_ms * 1000;
    int64_t due_us;

    pthread_mutex_lock(&load->lock);
    thread.number = load->next_thread++;
    pthread_mutex_unlock(&load->lock);
    due_us = load->started_us + interval_us * thread.number / load->threads;
    FvRng_Init(&thread.rng, load->seed + (uint64_t)thread.number);
    while (due_us < end_us && FvFake_WallUs() < end_us + LOAD_OVERRUN_MAX_US) {
        wait_until(due_us);
        due_us += interval_us;
        fill_payload(&thread);
        if (load->workload != NULL) {
            submit_job(&thread);
        }
        else {
            call_worker(&thread);
        }
        thread.call++;
    }
    FvHttpSession_Free(thread.session);
    return NULL;
}

/**
 * FvPacedLoad_Start - start the threads
 * @load: the load; closed with FvPacedLoad_Close()
 */
void
FvPacedLoad_Start(paced_load_t *load)
{
    FvSamples_Open(&load->latencies_us);
    pthread_mutex_init(&load->lock, NULL);
    load->started_us = FvFake_WallUs();
    for (int i = 0; i < load->threads; i++) {
        FvThread_Start(&load->handles[i], run_thread, load);
    }
}

/**
 * FvPacedLoad_Join - wait for the end of the load
 * @load: the load
 */
void
FvPacedLoad_Join(paced_load_t *load)
{
    for (int i = 0; i < load->threads; i++) {
        pthread_join(load->handles[i], NULL);
    }
}

/**
 * FvPacedLoad_Run - run the load and wait for its end
 * @load: the load; closed with FvPacedLoad_Close()
 */
void
FvPacedLoad_Run(paced_load_t *load)
{
    FvPacedLoad_Start(load);
    FvPacedLoad_Join(load);
}

/**
 * FvPacedLoad_Close - release the samples and jobs
 * @load: the load
 */
void
FvPacedLoad_Close(paced_load_t *load)
{
    FvSamples_Close(&load->latencies_us);
    pthread_mutex_destroy(&load->lock);
    free(load->jobs);
    load->jobs = NULL;
}
