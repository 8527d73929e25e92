/*
 * Load generator for a test cell.
 */

#include "load.h"

#include "fake-server.h"
#include "task-program.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#define WORKLOADS                                                             \
    "[{\"name\":\"lookup\",\"someone_waits\":true,\"start_within\":\"2 s\","  \
    "\"may_repeat\":true,\"may_overlap\":true,"                               \
    "\"size\":{\"processors\":0.25,\"memory\":\"64 MiB\"},"                   \
    "\"run_time\":\"20 ms\",\"may_queue\":1000},"                             \
    "{\"name\":\"export\",\"someone_waits\":false,"                           \
    "\"finish_within\":\"10 min\",\"may_repeat\":true,"                       \
    "\"may_overlap\":false,"                                                  \
    "\"size\":{\"processors\":0.5,\"memory\":\"64 MiB\"},"                    \
    "\"run_time\":\"1 s\"},"                                                  \
    "{\"name\":\"check\",\"someone_waits\":true,\"start_within\":\"5 s\","    \
    "\"finish_within\":\"1 min\",\"may_repeat\":false,"                       \
    "\"may_overlap\":false,"                                                  \
    "\"size\":{\"processors\":0.5,\"memory\":\"64 MiB\"},"                    \
    "\"run_time\":\"100 ms\",\"may_queue\":1000}]"
#define MEMBER(WEIGHT)                                                        \
    "{\"weight\":" WEIGHT ",\"quota\":{\"processors\":1000,"                  \
    "\"memory\":\"4000 GiB\",\"tasks\":1000},\"workloads\":" WORKLOADS "}"

const char LOAD_ANSWERS[] =
    "{\"kotuku\":" MEMBER("2") ",\"measur\":" MEMBER("1") "}";

/**
 * FvLoad_Random - next random number (splitmix64)
 * @state: state of the generator; initially the seed
 *
 * Return: the number.
 */
uint64_t
FvLoad_Random(uint64_t *state)
{
    uint64_t number;

    FvTaskProgram_FillRandom(*state, (uint8_t *)&number, sizeof(number));
    *state = number;
    return number;
}

/**
 * FvLoad_WallUs - read the clock that the workers' records use
 *
 * Return: microseconds since the Unix epoch.
 */
int64_t
FvLoad_WallUs(void)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    return now.tv_sec * INT64_C(1000000) + now.tv_nsec / 1000;
}

static bool
is_right(const load_call_t *call, const job_reply_t *reply)
{
    uint8_t *expected;
    bool answer_correct;

    if (call->received_bytes != (size_t)call->answer_bytes) {
        return false;
    }
    expected = malloc(call->received_bytes + sizeof(uint64_t));
    if (expected == NULL) {
        abort();
    }
    FvTaskProgram_FillRandom(call->seed, expected, call->received_bytes);
    answer_correct =
        memcmp(expected, reply->http.body, call->received_bytes) == 0;
    free(expected);
    return answer_correct;
}

/**
 * FvLoad_Submit - submit one job and check its answer
 * @cluster: the cell
 * @call: the request; the reply is filled in
 * @wait_ms: how long the host may wait for the job to end
 */
void
FvLoad_Submit(cluster_t *cluster, load_call_t *call, int64_t wait_ms)
{
    char payload[160];
    submit_t submit = {.member = call->member,
                       .key = call->key,
                       .workload = call->workload,
                       .payload = payload,
                       .wait_ms = wait_ms,
                       .raw = true};
    job_reply_t reply;

    snprintf(payload, sizeof(payload),
             "{\"run_ms\":%lld,\"answer_bytes\":%lld,\"seed\":%llu}",
             (long long)call->run_ms, (long long)call->answer_bytes,
             (unsigned long long)call->seed);
    call->sent_us = FvLoad_WallUs();
    FvApi_Submit(cluster, call->host, &submit, &reply);
    call->ended_us = FvLoad_WallUs();
    call->status = reply.status;
    snprintf(call->state, sizeof(call->state), "%s", reply.state);
    snprintf(call->outcome, sizeof(call->outcome), "%s", reply.outcome);
    snprintf(call->reason, sizeof(call->reason), "%s", reply.reason);
    call->received_bytes = 0;
    call->answer_correct = false;
    if (reply.http.outcome[0] != 0 && strcmp(reply.outcome, "done") == 0) {
        call->received_bytes = reply.http.body_length;
        call->answer_correct = is_right(call, &reply);
    }
    FvApi_FreeJobReply(&reply);
}

static void
add_call(load_t *load, const load_call_t *call)
{
    pthread_mutex_lock(&load->lock);
    if (load->count == load->capacity) {
        load->capacity = load->capacity * 2 + 256;
        load->calls =
            realloc(load->calls, load->capacity * sizeof(*load->calls));
        if (load->calls == NULL) {
            abort();
        }
    }
    load->calls[load->count++] = *call;
    pthread_mutex_unlock(&load->lock);
}

static void *
run_caller(void *context)
{
    load_t *load = context;
    int thread = atomic_fetch_add(&load->next_thread, 1);
    uint64_t state = load->seed + (uint64_t)thread;

    for (int i = 0;
         (load->calls_per_thread == 0 || i < load->calls_per_thread) &&
         !atomic_load(&load->stop);
         i++) {
        static const char *const members[] = LOAD_MEMBERS;
        load_call_t call = {.member = members[thread % 2],
                            .seed = FvLoad_Random(&state) >> 16};

        snprintf(call.key, sizeof(call.key), "%s-%d-%d", load->name, thread,
                 i);
        load->choose_request(load, FvLoad_Random(&state), &call);
        FvLoad_Submit(load->cluster, &call, load->wait_ms);
        add_call(load, &call);
        FvFake_SleepMs(load->pause_ms);
    }
    return NULL;
}

/**
 * FvLoad_Start - start the threads
 * @load: settings of the load; end it with FvLoad_Stop() or FvLoad_Wait()
 *
 * Return: false if a thread cannot be created.
 */
bool
FvLoad_Start(load_t *load)
{
    pthread_mutex_init(&load->lock, NULL);
    for (int i = 0; i < load->threads; i++) {
        if (pthread_create(&load->handles[i], NULL, run_caller, load) != 0) {
            load->threads = i;
            return false;
        }
    }
    return true;
}

/**
 * FvLoad_Wait - wait until all threads have made their calls
 * @load: a load with a limited number of calls
 */
void
FvLoad_Wait(load_t *load)
{
    for (int i = 0; i < load->threads; i++) {
        pthread_join(load->handles[i], NULL);
    }
    load->threads = 0;
}

/**
 * FvLoad_Stop - stop making calls and wait for those in progress
 * @load: the load
 */
void
FvLoad_Stop(load_t *load)
{
    atomic_store(&load->stop, true);
    FvLoad_Wait(load);
}

/**
 * FvLoad_Free - free the recorded calls of a stopped load
 * @load: the load
 */
void
FvLoad_Free(load_t *load)
{
    free(load->calls);
    load->calls = NULL;
    load->count = 0;
    load->capacity = 0;
    pthread_mutex_destroy(&load->lock);
}
