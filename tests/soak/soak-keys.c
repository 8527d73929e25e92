/*
 * Keys in the soak: two customers with a lasting key each, and a key that is
 * replaced every few seconds. A probe calls with keys that were removed, with
 * one that never existed, and with the key of the wrong customer.
 */

#include "soak.h"

#include "fake-server.h"

#include <string.h>

#define KEYS_FIRST_MS 1000
#define KEYS_PAUSE_MS 4000
#define KEYS_START_MS 5000
#define KEYS_PROBE_MS 30

/* The users' bounds: the shortest time in which a configuration is in force,
 * and what a host without the store may take beyond it. */
#define KEYS_APPLY_MS 2500
#define KEYS_WITHOUT_STORE_MS 8000

/* Thousandths of a core for each worker that a customer may use, of 8,000, and
 * of the whole cell at least, which admits the largest task when it is halved.
 */
#define CAP_OF_WORKER 1500
#define CAP_MIN 3200

/* The second customer submits more jobs a second, so that many are excess. */
#define WEIGHT_EAST 1000
#define WEIGHT_WEST 2

static const char *const lasting_keys[] = {"lasting-east", "lasting-west"};

/**
 * FvSoakKeys_Cap - the highest cap of each customer
 * @soak: the soak
 *
 * Return: the cap in CPU; 0 in a cell without customers.
 */
int
FvSoakKeys_Cap(const soak_t *soak)
{
    int cap = soak->workers * CAP_OF_WORKER;

    return !soak->keys ? 0 : cap < CAP_MIN ? CAP_MIN : cap;
}

/* Every second version has half of the caps. */
static void
write_customers(soak_t *soak)
{
    int cap = FvSoakKeys_Cap(soak) / (soak->key_turns % 2 == 0 ? 1 : 2);
    char body[384];

    snprintf(body, sizeof(body),
             "{\"config\":%lld,\"tenants\":[{\"name\":\"east\",\"apiKeys\":"
             "[\"%s\",\"turn-%u\"],\"weight\":%d,\"cap\":{\"cpu\":%d}},"
             "{\"name\":\"west\",\"apiKeys\":[\"%s\"],\"weight\":%d,"
             "\"cap\":{\"cpu\":%d}}]}",
             (long long)++soak->config_version, lasting_keys[0],
             soak->key_turns, WEIGHT_EAST, cap, lasting_keys[1], WEIGHT_WEST,
             cap);
    FvEntryCell_PlatformFault(&soak->cell, body);
}

/**
 * FvSoakKeys_Start - give the cell customers
 * @soak: the soak, whose hosts are ready
 *
 * Return: false when a host does not adopt them.
 */
bool
FvSoakKeys_Start(soak_t *soak)
{
    if (!soak->keys) {
        return true;
    }
    write_customers(soak);
    return FvEntryCell_WaitConfig(&soak->cell, soak->config_version,
                                  KEYS_START_MS);
}

/**
 * FvSoakKeys_OfJob - key of the customer to whom a job belongs
 * @soak: the soak
 * @number: of the job
 *
 * Return: the key, or NULL in a cell without customers.
 */
const char *
FvSoakKeys_OfJob(const soak_t *soak, uint32_t number)
{
    return soak->keys ? lasting_keys[number % 2] : NULL;
}

/**
 * FvSoakKeys_Inject - replace a key when it is due
 * @soak: the soak
 * @now_ms: the time
 */
void
FvSoakKeys_Inject(soak_t *soak, int64_t now_ms)
{
    if (!soak->keys) {
        return;
    }
    if (soak->store_recover_at_ms != 0 || soak->route_recover_at_ms != 0 ||
        soak->split_until_ms != 0) {
        atomic_store(&soak->disturbed_ms, now_ms);
    }
    if (soak->next_key_ms == 0) {
        soak->next_key_ms = now_ms + KEYS_FIRST_MS;
    }
    if (now_ms >= soak->next_key_ms) {
        uint32_t removed = soak->key_turns++;

        write_customers(soak);
        pthread_mutex_lock(&soak->lock);
        soak->removed_ms[removed % SOAK_REMOVED_KEYS] = FvClock_NowMs();
        soak->removed_count = removed + 1;
        pthread_mutex_unlock(&soak->lock);
        soak->next_key_ms = now_ms + KEYS_PAUSE_MS;
    }
}

static void
note_violation(soak_t *soak, const char *what, const char *key, int host,
               int status, int64_t since_ms)
{
    pthread_mutex_lock(&soak->lock);
    soak->key_violations++;
    pthread_mutex_unlock(&soak->lock);
    printf("%s %s: host %d answered %d, %lld ms after the change\n", what, key,
           host, status, (long long)since_ms);
}

/* Whether the answer shows that the call was handled. */
static bool
is_handled(int status)
{
    return status != 0 && status != 401 && status < 500;
}

static void
call_with_removed_key(soak_t *soak, int host, uint32_t draw)
{
    uint32_t count;
    uint32_t turn;
    int64_t removed_ms;
    int64_t sent_ms = FvClock_NowMs();
    char key[32];
    int status;

    pthread_mutex_lock(&soak->lock);
    count = soak->removed_count < SOAK_REMOVED_KEYS ? soak->removed_count
                                                    : SOAK_REMOVED_KEYS;
    turn = count > 0 ? soak->removed_count - 1 - draw % count : 0;
    removed_ms = soak->removed_ms[turn % SOAK_REMOVED_KEYS];
    pthread_mutex_unlock(&soak->lock);
    if (count == 0) {
        return;
    }
    snprintf(key, sizeof(key), "turn-%u", turn);
    status = FvEntryCell_CallAs(&soak->cell, host, key, "GET", "/slow/", NULL,
                                NULL, 0);
    if (is_handled(status) &&
        sent_ms > removed_ms + KEYS_APPLY_MS +
                      (atomic_load(&soak->disturbed_ms) >= removed_ms
                           ? KEYS_WITHOUT_STORE_MS
                           : 0)) {
        note_violation(soak, "REMOVED KEY PASSED", key, host, status,
                       sent_ms - removed_ms);
    }
}

static void
call_with_wrong_key(soak_t *soak, int host, uint32_t draw)
{
    uint32_t number;
    const soak_job_t *job;
    char path[64];
    int status = FvEntryCell_CallAs(&soak->cell, host, "never", "GET",
                                    "/slow/", NULL, NULL, 0);

    if (is_handled(status)) {
        note_violation(soak, "UNKNOWN KEY PASSED", "never", host, status, 0);
    }
    pthread_mutex_lock(&soak->lock);
    number = soak->job_count > 0 ? draw % soak->job_count : 0;
    job = &soak->jobs[number];
    pthread_mutex_unlock(&soak->lock);
    if (job->state != SOAK_ACCEPTED || strcmp(job->queue, "plain") == 0) {
        return; /* the queue is public */
    }
    snprintf(path, sizeof(path), "/%s/%s", job->queue, job->id);
    status = FvEntryCell_CallAs(&soak->cell, host,
                                job->key == lasting_keys[0] ? lasting_keys[1]
                                                            : lasting_keys[0],
                                "GET", path, NULL, NULL, 0);
    if (status / 100 == 2) {
        note_violation(soak, "FOREIGN JOB READ", job->id, host, status, 0);
    }
}

/**
 * FvSoakKeys_Probe - call with keys that must not pass
 * @soak: the soak; its member finished ends the probe
 * @random: state of the random numbers
 */
void
FvSoakKeys_Probe(soak_t *soak, uint64_t *random)
{
    while (soak->keys && !atomic_load(&soak->finished)) {
        int host = (int)FvSoak_Random(random, (uint32_t)soak->hosts);
        uint32_t draw = FvSoak_Random(random, UINT32_MAX);

        if (FvSoak_Random(random, 3) == 0) {
            call_with_wrong_key(soak, host, draw);
        }
        else {
            call_with_removed_key(soak, host, draw);
        }
        FvFake_SleepMs(KEYS_PROBE_MS);
    }
}
